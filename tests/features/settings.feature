Feature: Settings are checked whole at start

  Scenario: Every mistake of a settings file is named in one go
    # An operator starts a router with a file that has several mistakes.
    # If only the first were named, each start would show one more.
    Given a settings file with an unknown key, a bad address and no region
    When the settings file is read
    Then the settings mistakes name "addresses.peers", "dispatch.speed" and "instance.region"
    And each settings mistake says what is allowed

  Scenario: Defaults fill what a settings file leaves out
    Given a settings file with only what is required
    When the settings file is read
    Then the setting "dispatch.homes" is 8

  Scenario Outline: The example settings of each deployment are valid
    Given the example settings file of "<deployment>"
    When the settings file is read
    Then the setting "dispatch.homes" is 8
    And the settings place is "<place>" in "<region>"

    Examples:
      | deployment | place | region   |
      | patrimonio | poa-a | rs-sul   |
      | consorcio  | hn-a  | vn-north |

  Scenario: A settings file that changes unannounced comes into force
    # The platform renders the file anew and sends no signal. An instance that
    # only reads it at its start would keep the old bounds until it restarts.
    Given a settings file that a running instance watches
    When the file changes to a "revoke_milliseconds" of 3000
    Then the instance goes by a "revoke_milliseconds" of 3000

  Scenario: A settings file that changes to a wrong one changes nothing
    Given a settings file that a running instance watches
    When the file changes to a "revoke_milliseconds" of -1
    Then the instance goes by a "revoke_milliseconds" of 5000
    When the file is gone for a while
    Then the instance goes by a "revoke_milliseconds" of 5000

  Scenario: The settings that the platform renders are valid
    # `deploy/router.toml` is filled in by the platform at each start; a name
    # that the program does not know would keep every instance from starting.
    When the deployment's template is filled in and read
    Then there is no settings mistake
    When it is filled in for a deployment that sets no bounds
    Then there is no settings mistake

  Scenario: A start loads only what a router needs
    # All machines lose their power. On an eighth of a core an instance is back
    # as much later as it takes to load: with the libraries for arguments, help
    # texts, schemas and forms that was six seconds in which nobody is served.
    When a process loads what a router on an operator's platform needs
    Then it has loaded none of cappa, rich, jsonschema, jinja2, wtforms, werkzeug
