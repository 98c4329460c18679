"""The command line `amaranthslip SUBCOMMAND ...`."""

import sys
import typing

import cappa

from amaranthslip.commands import check
from amaranthslip.commands import exits
from amaranthslip.commands import explain
from amaranthslip.commands import router
from amaranthslip.commands import status
from amaranthslip.commands import submit
from amaranthslip.commands import summarize


@cappa.command(
    name='amaranthslip',
    help='A router fleet that shares model capacity fairly.',
    description=exits.EXIT_CODES_HELP,
)
class Program:
    """The program; each attribute is a subcommand."""

    router = staticmethod(router.run_router)
    submit = staticmethod(submit.submit_document)
    check = staticmethod(check.check_file)
    status = staticmethod(status.show_status)
    explain = staticmethod(explain.explain_request)
    summarize = staticmethod(summarize.summarize_requests)


def run_program(argv: typing.Sequence[str] | None = None) -> int:
    """Run one subcommand.

    Parameters
    ----------
    argv : sequence of str, optional
        The arguments after the program's name; by default those of the
        process.

    Returns
    -------
    int
        One of `exits.ExitCode`.
    """
    arguments = sys.argv[1:] if argv is None else list(argv)
    return int(cappa.invoke(Program, argv=arguments, completion=False))
