"""Requests in progress, and whether new ones are accepted."""

import contextlib
import typing

from gevent import event

from amaranthslip import errors

# Reason of the refusals of an instance that is being stopped.
STOPPING = 'stopping'
# Retry-After in seconds for requests that come while the instance stops.
_STOPPING_RETRY_SECONDS = 1.0
# Seconds in which requests that a stop ends are answered.
LAST_ANSWERS_SECONDS = 0.2


class Ending(typing.Protocol):
    """A wait for an answer, as `deadlines.DeadlineTimer` limits it."""

    def end(self) -> None:
        """End the wait now, because the process is about to end."""


def build_stop_refusal() -> errors.RequestRefused:
    """Return the refusal of an instance that is being stopped."""
    return errors.RequestRefused(
        STOPPING,
        'this instance is being stopped; send the request again, another'
        ' instance will take it',
        retry_after=_STOPPING_RETRY_SECONDS,
    )


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

    __slots__ = (
        'stopping',
        'nearly_full',
        'refusing',
        '_count',
        '_idle',
        '_waits',
    )

    def __init__(self) -> None:
        self.stopping = False
        self.nearly_full = False
        self.refusing = False
        self._count = 0
        self._waits: set[Ending] = set()
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

    def check_accepting(self) -> None:
        """Raise RequestRefused if new requests are refused."""
        if self.refusing:
            raise build_stop_refusal()

    def add_wait(self, wait: Ending) -> None:
        """Add a wait for an answer, which a stop may have to end."""
        self._waits.add(wait)

    def remove_wait(self, wait: Ending) -> None:
        """Remove a wait that has ended."""
        self._waits.discard(wait)

    def end_waits(self, seconds: float) -> None:
        """Let all requests end with what is known of them, and wait for that.

        Their callers would otherwise see a closed connection, and could not
        tell a request that was never sent from one that may have run.
        """
        for each in list(self._waits):
            each.end()
        self.wait(seconds)

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
