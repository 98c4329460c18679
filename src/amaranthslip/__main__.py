"""The program's entry, for `python -m amaranthslip` and the binary alike.

gevent replaces the blocking calls of the standard library here, before any
other module is imported. A module that was imported earlier would keep the
real `socket`, `ssl`, `threading` or `time.sleep` under the names it took,
and its first wait would hold up every greenlet of the process: one slow peer
and no caller is answered.
"""

import signal
import sys

if sys.argv[1:2] == ['router']:
    # A hang-up tells an instance that its settings have changed, and ends a
    # process that does not expect it. Loading the rest takes some tenths of
    # a second; an instance that comes up reads the changed file anyhow.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey  # noqa: E402

monkey.patch_all()

from amaranthslip.commands import program  # noqa: E402


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(program.run_program())


if __name__ == '__main__':
    main()
