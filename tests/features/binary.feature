Feature: The single-file binary

  Scenario: The binary runs a router as one process, from a clean place
    # An operator copies the one file to an instance that has Python and
    # nothing else. A bundler that unpacks and then runs a child would leave
    # two processes, of which a stop may reach only the first.
    Given the binary in a folder of its own with an empty environment
    When a router is started from the binary
    Then the binary's router listens for callers and peers
    And the binary's router has no child process
    And the binary unpacked only below the folder that SHIV_ROOT names
    When the binary's router is asked to stop
    Then the binary's router ends with exit code 0
