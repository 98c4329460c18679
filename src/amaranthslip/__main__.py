"""The program's entry, for `python -m amaranthslip` and the binary alike.

gevent replaces the blocking calls of the standard library here, before any
other module is imported. A module that was imported earlier would keep the
real `socket`, `ssl`, `threading` or `time.sleep` under the names it took,
and its first wait would hold up every greenlet of the process: one slow peer
and no caller is answered.
"""

import importlib
import pathlib
import signal
import sys
import typing

_ARGUMENTS = sys.argv[1:]

if _ARGUMENTS[:1] == ['router']:
    # A hang-up tells an instance that its settings have changed, and ends a
    # process that does not expect it. Loading the rest takes some tenths of
    # a second; an instance that comes up reads the changed file anyhow.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey  # noqa: E402

monkey.patch_all()


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(_run(_ARGUMENTS))


def _run(arguments: typing.Sequence[str]) -> int:
    match arguments:
        case ['router', path] if not path.startswith('-'):
            # The plain call of an instance, which is to be ready soon.
            starting = importlib.import_module(
                'amaranthslip.commands.starting'
            )
            return int(starting.start_router(pathlib.Path(path)))
        case _:
            program = importlib.import_module('amaranthslip.commands.program')
            return program.run_program(arguments)


if __name__ == '__main__':
    main()
