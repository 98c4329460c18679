"""What subcommands print: results on standard output, errors on error."""

import functools
import sys

from amaranthslip import errors


@functools.singledispatch
def print_error(error: Exception) -> None:
    """Print an error for a person, one line for each mistake in a group."""
    print(f'error: {error}', file=sys.stderr)


@print_error.register
def _(error: errors.SettingsInvalid) -> None:
    for mistake in error.exceptions:
        print_error(mistake)
    count = len(error.exceptions)
    print(f'{error.message}: {count} mistake(s)', file=sys.stderr)
