"""Error output of the subcommands, and the exit code of each error."""

import functools
import sys

from amaranthslip.commands import exits
from amaranthslip import errors


def fail(error: Exception) -> exits.ExitCode:
    """Print an error to standard error and return its exit code."""
    print_error(error)
    return find_exit_code(error)


@functools.singledispatch
def print_error(error: Exception) -> None:
    """Print an error, one line for each mistake in a group."""
    print(f'error: {error}', file=sys.stderr)


@print_error.register
def _(error: errors.SettingsInvalid) -> None:
    for mistake in error.exceptions:
        print_error(mistake)
    count = len(error.exceptions)
    print(f'{error.message}: {count} mistake(s)', file=sys.stderr)


@print_error.register
def _(error: errors.ConfigurationConflict) -> None:
    print(f'conflict: {error}', file=sys.stderr)
    if error.changes_since_base:
        print(f'changes accepted since version {error.base}:', file=sys.stderr)
        print(error.changes_since_base, file=sys.stderr)
    if error.difference:
        print(
            f'changes of this document to version {error.current}:',
            file=sys.stderr,
        )
        print(error.difference, file=sys.stderr)


@print_error.register
def _(error: errors.ConfigurationOutcomeUnknown) -> None:
    print(
        f'unknown: {error} (submission {error.submission}, version '
        f'{error.version})',
        file=sys.stderr,
    )


@functools.singledispatch
def find_exit_code(error: Exception) -> exits.ExitCode:
    """Return the exit code for an error."""
    return exits.ExitCode.FAILED


@find_exit_code.register
def _(error: errors.SettingsInvalid) -> exits.ExitCode:
    return exits.ExitCode.INVALID


@find_exit_code.register
def _(error: errors.ConfigurationConflict) -> exits.ExitCode:
    return exits.ExitCode.CONFLICT


@find_exit_code.register
def _(error: errors.ConfigurationOutcomeUnknown) -> exits.ExitCode:
    return exits.ExitCode.UNKNOWN


@find_exit_code.register
def _(error: errors.OperatorRefused) -> exits.ExitCode:
    return exits.ExitCode.FORBIDDEN


@find_exit_code.register(errors.ConfigurationRefused)
@find_exit_code.register(errors.PlatformError)
@find_exit_code.register(errors.RouterUnreachable)
def _(error: Exception) -> exits.ExitCode:
    return exits.ExitCode.UNAVAILABLE
