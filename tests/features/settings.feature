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
