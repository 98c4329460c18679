Feature: Settings are fully validated at start

  Scenario: All mistakes in a settings file are reported together
    # An operator starts a router with a file that has several mistakes. If
    # only the first were reported, each start would reveal only one more.
    Given a settings file with an unknown key, an invalid address and no region
    When the settings file is read
    Then the settings mistakes name "addresses.peers", "dispatch.speed" and "instance.region"
    And each settings mistake states the allowed values

  Scenario: Missing keys of a settings file get default values
    Given a settings file with only the required keys
    When the settings file is read
    Then the setting "dispatch.homes" is 8

  Scenario Outline: The example settings of each deployment are valid
    Given the example settings file of "<deployment>"
    When the settings file is read
    Then the setting "dispatch.homes" is 8
    And the settings have the failure domain "<domain>" in "<region>"

    Examples:
      | deployment | domain | region   |
      | patrimonio | poa-a  | rs-sul   |
      | consorcio  | hn-a   | vn-north |

  Scenario: A settings file that changes without a signal is reloaded
    # The platform renders the file again and sends no signal. An instance that
    # only reads the file at start would keep the old bounds until a restart.
    Given a settings file that a running instance watches
    When the settings file changes to a "revoke_milliseconds" of 3000
    Then the running instance uses a "revoke_milliseconds" of 3000

  Scenario: A settings file that becomes invalid or missing is ignored
    Given a settings file that a running instance watches
    When the settings file changes to a "revoke_milliseconds" of -1
    Then the running instance uses a "revoke_milliseconds" of 5000
    When the settings file is removed
    Then the running instance uses a "revoke_milliseconds" of 5000

  Scenario: The settings that the platform renders are valid
    # The platform fills in `deploy/router.toml` at each start. A key that the
    # program does not know would prevent every instance from starting.
    When the deployment's template is filled in and read
    Then there is no settings mistake
    When the template is filled in for a deployment without bounds
    Then there is no settings mistake

  Scenario: A starting router does not import unneeded libraries
    # After a power failure all machines restart. On an eighth of a core, the
    # import of the libraries for arguments, help texts, schemas and forms
    # delayed each instance by six seconds, in which it served no requests.
    When a process imports the modules of a router on an operator's platform
    Then the process has imported none of cappa, rich, jsonschema, jinja2, wtforms, werkzeug
