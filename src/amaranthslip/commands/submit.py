"""The subcommand `submit`: submits a configuration document."""

import getpass
import pathlib
import sys
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import operators
from amaranthslip.commands import output
from amaranthslip.configuration import files
from amaranthslip.configuration import store as store_module
from amaranthslip.configuration import submission as submission_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip.platform import keyvalue
from amaranthslip import settings as settings_module


@cappa.command(
    name='submit',
    help='Submit a configuration document as the next version.',
    description='Checks the whole document, and accepts it only if the '
    'version that it was made from is still the latest. Otherwise nothing '
    'is applied and the difference is printed. --settings calls the '
    "platform's key-value service directly, which also works before any "
    "router runs; --url calls the operators' port of a router. The "
    "operator's name and password come from the options or from the "
    'environment variables AMARANTHSLIP_OPERATOR and AMARANTHSLIP_PASSWORD. '
    + exits.EXIT_CODES_HELP,
)
def submit_document(
    file: typing.Annotated[
        pathlib.Path, cappa.Arg(help='The document, a .toml or .json file.')
    ],
    base: typing.Annotated[
        int,
        cappa.Arg(
            long=True,
            help='The version that the document was made from; 0 for none.',
        ),
    ],
    settings: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="A router's settings file."),
    ] = None,
    url: typing.Annotated[
        str,
        cappa.Arg(
            long=True, help="A router's operators' port: http://IP:PORT."
        ),
    ] = '',
    operator: typing.Annotated[
        str, cappa.Arg(long=True, help="The operator's name.")
    ] = '',
    password_file: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="File with the operator's password."),
    ] = None,
) -> int:
    """Submit one document."""
    if (settings is None) == (not url):
        print('error: use either --settings or --url', file=sys.stderr)
        return exits.ExitCode.USAGE
    try:
        values = files.read_values(file)
        if settings is not None:
            version = _submit_directly(
                values, base, settings, str(file), author=operator
            )
        else:
            credentials = operators.read_credentials(operator, password_file)
            with operators.OperatorsClient(url, credentials) as client:
                version = client.submit(values, base=base, source=str(file))
    except (errors.AmaranthslipError, errors.SettingsInvalid) as error:
        return output.fail(error)
    print(f'accepted as version {version}')
    return exits.ExitCode.DONE


def _submit_directly(
    values: object,
    base: int,
    settings: pathlib.Path,
    source: str,
    *,
    author: str,
) -> int:
    checked = settings_module.read_settings(settings)
    with keyvalue.KeyValue(checked, metrics_module.Metrics()) as client:
        submission = submission_module.Submission(
            store_module.Store(checked, client)
        )
        accepted = submission.submit(
            values,
            base=base,
            author=author or getpass.getuser(),
            source=source,
        )
    return accepted.version
