"""Exit codes of every subcommand, as docs/OPERATIONS.md lists them."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a subcommand."""

    DONE = 0
    # An unexpected error; a traceback is printed.
    FAILED = 1
    # Invalid command-line arguments; the argument parser reports them.
    USAGE = 2
    # A settings file or a configuration document has mistakes.
    INVALID = 3
    # Another author's version was accepted first; nothing was changed.
    CONFLICT = 4
    # A submission may or may not have been accepted: check with `status`.
    UNKNOWN = 5
    # The key-value service or the router could not be reached.
    UNAVAILABLE = 6
    # The operator's name or password is wrong, or the role is not sufficient.
    FORBIDDEN = 7
    # A router stopped before all requests in progress had ended.
    CUT_OFF = 8


EXIT_CODES_HELP = (
    'Exit codes: 0 success, 1 unexpected error, 2 invalid arguments, '
    '3 mistakes in the file, 4 conflict with a newer version, 5 outcome '
    'unknown, 6 service or router unreachable, 7 not allowed, 8 stopped with '
    'requests cut off.'
)
