"""Exit codes of every subcommand, as docs/OPERATIONS.md lists them."""

import enum


class ExitCode(enum.IntEnum):
    """How a subcommand ended."""

    DONE = 0
    # An error that the program did not foresee; it prints a traceback.
    FAILED = 1
    # The command line itself is wrong; the command line's library says so.
    USAGE = 2
    # A settings file or a configuration document has mistakes.
    INVALID = 3
    # Another writer's version was accepted first; nothing was changed.
    CONFLICT = 4
    # A submission may or may not have been accepted: ask `status`.
    UNKNOWN = 5
    # The key-value service or the router could not be reached.
    UNAVAILABLE = 6
    # The operator's name or password, or its role, does not allow this.
    FORBIDDEN = 7
    # A router stopped before every request in progress had ended.
    CUT_OFF = 8


EXIT_CODES_HELP = (
    'Exit codes: 0 done, 1 unforeseen error, 2 wrong command line, '
    '3 mistakes in the file, 4 conflict with a newer version, 5 outcome '
    'unknown, 6 service or router out of reach, 7 not allowed, 8 stopped with '
    'requests cut off.'
)
