"""The subcommand `status`: the fleet's status as one router reports it."""

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
    description="Queries a router's operators' port. The operator's name and "
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
        cappa.Arg(long=True, help="File with the operator's password."),
    ] = None,
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='Print the status as JSON.')
    ] = False,
) -> int:
    """Show the status."""
    try:
        credentials = operators.read_credentials(operator, password_file)
        with operators.OperatorsClient(url, credentials) as client:
            status = client.read_status()
    except errors.AmaranthslipError as error:
        return output.fail(error)
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        print('\n'.join(_format_lines(status)))
    return exits.ExitCode.DONE


def _format_lines(value: object, *, indent: str = '') -> typing.Iterator[str]:
    """Yield a JSON value as indented lines, each list item on one line."""
    if isinstance(value, dict):
        for key, item in value.items():
            if isinstance(item, (dict, list)) and item:
                yield f'{indent}{key}:'
                yield from _format_lines(item, indent=indent + '  ')
            else:
                yield f'{indent}{key}: {_format_scalar(item)}'
    elif isinstance(value, list):
        for item in value:
            yield f'{indent}{_format_item(item)}'


def _format_item(item: object) -> str:
    if not isinstance(item, dict):
        return _format_scalar(item)
    return '  '.join(f'{key}={_format_scalar(x)}' for key, x in item.items())


def _format_scalar(item: object) -> str:
    return '-' if item in (None, [], {}, '') else str(item)
