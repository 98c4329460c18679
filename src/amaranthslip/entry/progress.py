"""Progress: how many requests run here, and whether new ones are taken."""

import contextlib
import typing

from gevent import event


class Progress:
    """Counts the requests in progress, so that a stop can wait for them.

    While `stopping`, answers close their connections, so that callers go
    elsewhere; while `crowded`, refusals do, so that idle connections don't
    pile up; while `refusing`, new requests are not taken.
    """

    __slots__ = ('stopping', 'crowded', 'refusing', '_count', '_idle')

    def __init__(self) -> None:
        self.stopping = False
        self.crowded = False
        self.refusing = False
        self._count = 0
        self._idle = event.Event()
        self._idle.set()

    @contextlib.contextmanager
    def track(self) -> typing.Iterator[None]:
        """Count one request while it runs."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    def wait(self, seconds: float) -> bool:
        """Wait until none runs; return whether that came in time."""
        return self._idle.wait(seconds)

    def read(self) -> int:
        """Return how many run."""
        return self._count
