"""The subcommand `check`: finds every mistake of a file, changes nothing."""

import pathlib
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import output
from amaranthslip import errors
from amaranthslip import settings as settings_module


@cappa.command(
    name='check',
    help='Check a settings file.',
    description='Prints every mistake at once, with its key, what was found '
    'and what is allowed. ' + exits.EXIT_CODES_HELP,
)
def check_file(
    file: typing.Annotated[pathlib.Path, cappa.Arg(help='A TOML file.')],
) -> int:
    """Check one file."""
    try:
        settings_module.read_settings(file)
    except errors.SettingsInvalid as invalid:
        output.print_error(invalid)
        return exits.ExitCode.INVALID
    print(f'{file}: settings are valid')
    return exits.ExitCode.DONE
