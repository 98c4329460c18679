Feature: The single-file binary

  Scenario: The binary runs a router as a single process in a clean environment
    # An operator copies one file to an instance that has only Python. A bundler
    # that unpacks itself and starts a child process would leave two processes,
    # and a stop signal might reach only the first one.
    Given the binary in a folder of its own with an empty environment
    When a router is started from the binary
    Then the binary's router listens for callers and peers
    And the binary's router has no child process
    And the binary unpacked files only below the folder named by SHIV_ROOT
    When the binary's router is terminated
    Then the binary's router ends with exit code 0
