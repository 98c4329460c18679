"""The subcommand `status`: the fleet as one of its routers sees it."""

import json
import pathlib
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import operators
from amaranthslip.commands import output
from amaranthslip import errors


@cappa.command(
    name='status',
    help='Show version, members, queues and health of the fleet.',
    description="Asks one router's operators' port. The operator's name and "
    'password come from the options or from the environment variables '
    'AMARANTHSLIP_OPERATOR and AMARANTHSLIP_PASSWORD. '
    + exits.EXIT_CODES_HELP,
)
def show_status(
    url: typing.Annotated[
        str,
        cappa.Arg(
            long=True, help="A router's operators' port: http://IP:PORT."
        ),
    ],
    operator: typing.Annotated[
        str, cappa.Arg(long=True, help="The operator's name.")
    ] = '',
    password_file: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Holds the operator's password."),
    ] = None,
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='Print JSON for programs.')
    ] = False,
) -> int:
    """Show the status."""
    try:
        credentials = operators.read_credentials(operator, password_file)
        with operators.Operators(url, credentials) as port:
            status = port.read_status()
    except errors.AmaranthslipError as error:
        return output.fail(error)
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        print('\n'.join(_write_lines(status)))
    return exits.ExitCode.DONE


def _write_lines(value: object, *, indent: str = '') -> typing.Iterator[str]:
    """Yield a JSON value as indented lines; lists of tables as one a line."""
    if isinstance(value, dict):
        for key, item in value.items():
            if isinstance(item, (dict, list)) and item:
                yield f'{indent}{key}:'
                yield from _write_lines(item, indent=indent + '  ')
            else:
                yield f'{indent}{key}: {_write_plain(item)}'
    elif isinstance(value, list):
        for item in value:
            yield f'{indent}{_write_row(item)}'


def _write_row(item: object) -> str:
    if not isinstance(item, dict):
        return _write_plain(item)
    return '  '.join(f'{key}={_write_plain(x)}' for key, x in item.items())


def _write_plain(item: object) -> str:
    return '-' if item in (None, [], {}, '') else str(item)
