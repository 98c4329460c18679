"""Count of requests in progress, and whether new ones are accepted."""

import contextlib
import typing

from gevent import event


class Progress:
    """Counts the requests in progress, so that a shutdown can await them.

    Attributes
    ----------
    stopping : bool
        Whether each answer closes its connection, so that callers reconnect
        to other instances.
    nearly_full : bool
        Whether most of the allowed connections are open. Error answers then
        close their connections, so that idle ones don't accumulate.
    refusing : bool
        Whether new requests are refused.
    """

    __slots__ = ('stopping', 'nearly_full', 'refusing', '_count', '_idle')

    def __init__(self) -> None:
        self.stopping = False
        self.nearly_full = False
        self.refusing = False
        self._count = 0
        self._idle = event.Event()
        self._idle.set()

    @contextlib.contextmanager
    def track(self) -> typing.Iterator[None]:
        """Count one request as in progress within the context."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    def wait(self, seconds: float) -> bool:
        """Wait until no request is in progress, for at most `seconds`.

        Returns
        -------
        bool
            Whether all requests ended in time.
        """
        return self._idle.wait(seconds)

    def count_requests(self) -> int:
        """Return the number of requests in progress."""
        return self._count
