"""The subcommand `check`: reports all mistakes in a file, applies nothing."""

import pathlib
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import output
from amaranthslip.configuration import document as document_module
from amaranthslip.configuration import files
from amaranthslip import errors
from amaranthslip import settings as settings_module


@cappa.command(
    name='check',
    help='Check a settings file or a configuration document.',
    description='Prints every mistake at once, with its key, the value found '
    'and the values allowed. A file with any section of a configuration '
    'document is checked as a document. ' + exits.EXIT_CODES_HELP,
)
def check_file(
    file: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='A TOML file, or a document in a .json file.'),
    ],
    document: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='Check it as a configuration document.'),
    ] = False,
    settings: typing.Annotated[
        bool, cappa.Arg(long=True, help='Check it as a settings file.')
    ] = False,
) -> int:
    """Check one file."""
    try:
        if document or (not settings and _is_document(file)):
            parsed = files.read_document(file)
            print(
                f'{file}: the document is valid, with '
                f'{len(parsed.client_accounts)} client accounts, '
                f'{len(parsed.services)} services and '
                f'{len(parsed.backend_servers)} backend servers'
            )
        else:
            settings_module.read_settings(file)
            print(f'{file}: the settings are valid')
    except errors.SettingsInvalid as invalid:
        return output.fail(invalid)
    return exits.ExitCode.DONE


def _is_document(file: pathlib.Path) -> bool:
    values = files.read_values(file)
    if not isinstance(values, dict):
        return True
    return bool(values.keys() & document_module.SECTION_CLASSES.keys())
