"""The subcommand `router`: runs one instance until SIGTERM or SIGINT."""

import pathlib
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import starting


@cappa.command(
    name='router',
    help='Run one router until SIGTERM.',
    description='Serves clients, peers and operators at the addresses in '
    'SETTINGS. On SIGTERM it refuses new requests, finishes those in '
    'progress, and exits with 0. ' + exits.EXIT_CODES_HELP,
)
def run_router(
    settings: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='The TOML settings file of this instance.'),
    ],
) -> int:
    """Run one router."""
    return starting.start_router(settings)
