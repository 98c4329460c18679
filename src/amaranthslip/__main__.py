"""The entry point of `python -m amaranthslip` and of the packaged binary.

gevent replaces the blocking calls of the standard library here, before any
other module is imported. A module that is imported earlier would keep
references to the unpatched `socket`, `ssl`, `threading` or `time.sleep`. Its
first blocking call would block every greenlet of the process, so that a
single slow peer would stop the answers to all callers.
"""

import importlib
import pathlib
import signal
import sys
import typing

_ARGUMENTS = sys.argv[1:]

if _ARGUMENTS[:1] == ['router']:
    # SIGHUP notifies an instance that its settings have changed, and ends a
    # process without a handler. The signal is ignored during the imports,
    # which take some tenths of a second; the starting instance reads the
    # changed file in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey  # noqa: E402

monkey.patch_all()


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(_run(_ARGUMENTS))


def _run(arguments: typing.Sequence[str]) -> int:
    match arguments:
        case ['router', path] if not path.startswith('-'):
            # Start an instance without importing the argument parser, so
            # that the instance is ready sooner.
            starting = importlib.import_module(
                'amaranthslip.commands.starting'
            )
            return int(starting.start_router(pathlib.Path(path)))
        case _:
            program = importlib.import_module('amaranthslip.commands.program')
            return program.run_program(arguments)


if __name__ == '__main__':
    main()
