"""What all scripts have in common: their deployment, record and exit code."""

import contextlib
import os
import pathlib
import sys
import tempfile
import traceback
import typing

from review.harness import engine as engine_module
from review.harness import fleet
from review.harness import record

# Exit codes.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Deployment:
    """A store, engines and routers; a context manager that ends them.

    Parameters
    ----------
    log : Record
        The record of the case.

    Attributes
    ----------
    folder : Path
        A temporary folder for settings and outputs of processes.
    """

    def __init__(self, log: record.Record) -> None:
        self.log = log
        self.store: fleet.Store
        self.engines: list[engine_module.Engine] = []
        self.routers: list[fleet.Router] = []
        self.folder = pathlib.Path()
        self._exits = contextlib.ExitStack()

    def __enter__(self) -> typing.Self:
        folder = self._exits.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.store = fleet.Store(self.folder)
        self._exits.callback(self.store.close)
        try:
            self.store.start()
        except BaseException:
            self._exits.close()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self._exits.close()

    def start_engines(self, service: str, count: int, **options: typing.Any):
        """Start engines of one service."""
        for number in range(count):
            engine = engine_module.Engine(
                f'{service}-{number}',
                service,
                self.store.address,
                self.log,
                **options,
            )
            self._exits.callback(engine.close)
            engine.start()
            self.engines.append(engine)

    def start_routers(self, count: int, *, memory_megabytes: int = 300):
        """Start routers and wait until they are ready."""
        for number in range(count):
            router = fleet.Router(
                f'edge-{number}',
                self.folder,
                self.store.address,
                memory_megabytes=memory_megabytes,
            )
            self._exits.callback(router.close)
            router.start()
            self.routers.append(router)
        for router in self.routers:
            router.wait_until_ready()


def run(
    path: str, check: typing.Callable[[Deployment, bool], bool]
) -> typing.NoReturn:
    """Run a case and exit.

    Parameters
    ----------
    path : str
        The script's `__file__`; the record goes beside it.
    check : callable
        Gets the deployment, and whether there is to be trouble; returns
        whether the rule was broken.
    """
    log = record.Record(pathlib.Path(path).parent / 'record.txt')
    code = NOT_RUN
    try:
        with Deployment(log) as deployment:
            trouble = os.environ.get('TROUBLE') != '0'
            code = BROKEN if check(deployment, trouble) else HELD
    except Exception:
        log.log(traceback.format_exc())
    finally:
        log.log(f'exit code {code}')
        log.close()
    sys.exit(code)
