"""Starts a router without loading the libraries of the command line.

An instance that was killed or lost power serves no requests until it is ready
again, and on a small share of a core most of that time is spent on loading
code. A router does not need the libraries for arguments, help texts and
schemas.
"""

import importlib
import pathlib

from amaranthslip.commands import exits
from amaranthslip import errors
from amaranthslip import logs
from amaranthslip import settings as settings_module


def start_router(path: pathlib.Path) -> exits.ExitCode:
    """Run one router with a settings file until SIGTERM or SIGINT."""
    try:
        checked = settings_module.read_settings(path)
    except errors.SettingsInvalid as invalid:
        output = importlib.import_module('amaranthslip.commands.output')
        return output.fail(invalid)
    logs.configure(checked)
    process = importlib.import_module('amaranthslip.process')
    finished = process.run(checked, path)
    return exits.ExitCode.DONE if finished else exits.ExitCode.CUT_OFF
