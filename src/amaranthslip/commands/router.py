"""The subcommand `router`: runs one instance until it is told to stop."""

import importlib
import pathlib
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import output
from amaranthslip import errors
from amaranthslip import logs
from amaranthslip import settings as settings_module


@cappa.command(
    name='router',
    help='Run one router until SIGTERM.',
    description='Serves callers, peers and operators at the addresses in '
    'SETTINGS. On SIGTERM it refuses new requests, finishes those in '
    'progress, and exits with 0. ' + exits.EXIT_CODES_HELP,
)
def run_router(
    settings: typing.Annotated[
        pathlib.Path, cappa.Arg(help='The TOML file of this instance.')
    ],
) -> int:
    """Run one router."""
    try:
        checked = settings_module.read_settings(settings)
    except errors.SettingsInvalid as invalid:
        return output.fail(invalid)
    logs.configure(checked)
    # The router brings in every part of the program; the short subcommands
    # start several times quicker without it.
    process = importlib.import_module('amaranthslip.process')
    finished = process.run(checked, settings)
    return exits.ExitCode.DONE if finished else exits.ExitCode.CUT_OFF
