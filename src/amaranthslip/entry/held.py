"""Bytes that an instance holds for callers and servers that read slowly."""

import collections
import contextlib
import logging
import time
import typing

from gevent import event
from gevent import socket

from amaranthslip.links import sockets
from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_

_LOG = logging.getLogger(__name__)

# Memory in bytes of an open connection, with its greenlet and buffers, and of
# an instance without connections. Without a limit, callers that retry on new
# connections and keep the old ones open make the platform end the instance for
# exceeding its memory.
_CONNECTION_BYTES = 32e3
_BASE_BYTES = 64e6
# Memory in bytes of a request's head while the request is in progress: for
# each of its bytes, and for each field, which is held as several objects.
_HEAD_BYTE_FACTOR = 12
_FIELD_BYTES = 256
# Bytes for a caller that a write waits for: the buffers of its socket and of
# the server's, each counted twice by the kernel, and the data being written.
_BLOCKED_BYTES = 5 * sockets.BUFFER_BYTES
# Fraction of the memory beside the base that heads, bodies and answers may
# each use in any case.
_MIN_FRACTION = 0.125
# Bodies up to this size in bytes are part of a connection's memory.
_SMALL_BYTES = 16384
_MIN_BLOCKED_CALLERS = 8


def count_connections(settings: settings_.Settings) -> int:
    """Return how many callers' connections may be open at once.

    The limit from the settings, reduced to what fits in the instance's
    memory if `limits.memory_megabytes` is set.
    """
    limits = settings.limits
    if not limits.memory_megabytes:
        return limits.connections
    available = limits.memory_megabytes * 1e6 - _BASE_BYTES
    return max(1, min(limits.connections, int(available / _CONNECTION_BYTES)))


def estimate_head(byte_count: int, field_count: int) -> int:
    """Return the memory in bytes that a request's head takes."""
    return byte_count * _HEAD_BYTE_FACTOR + field_count * _FIELD_BYTES


class HeldBytes:
    """Bytes held for all requests in one direction.

    Parameters
    ----------
    read_limit : callable
        Returns the bound in bytes.
    """

    __slots__ = ('_read_limit', '_count', '_changed', '_holdings')

    def __init__(self, read_limit: typing.Callable[[], float]) -> None:
        self._read_limit = read_limit
        self._count = 0
        self._changed = event.Event()
        # Bytes by request, the oldest first.
        self._holdings: dict[Holding, int] = {}

    @property
    def count(self) -> int:
        """Bytes that are held."""
        return self._count

    def has_room(self, holding: 'Holding', count: int) -> bool:
        """Return whether a request may hold so many bytes more.

        The oldest request always may: otherwise requests that each hold a
        part of a body could wait for each other.
        """
        if self._count + count <= self._read_limit():
            return True
        return next(iter(self._holdings), holding) is holding

    def add(self, holding: 'Holding', count: int) -> None:
        """Count bytes of a request as held."""
        self._count += count
        self._holdings[holding] = self._holdings.get(holding, 0) + count

    def remove(self, holding: 'Holding') -> None:
        """Release all bytes of a request."""
        count = self._holdings.pop(holding, 0)
        if count:
            self._count -= count
            changed, self._changed = self._changed, event.Event()
            changed.set()

    def wait(self, seconds: float | None) -> bool:
        """Wait until bytes are released; return whether that was in time."""
        return self._changed.wait(seconds)


class Holding:
    """The bytes held for one request in one direction.

    Attributes
    ----------
    waiting : bool
        Whether `reserve` waits, or was interrupted while it waited.
    """

    __slots__ = ('waiting', '_held', '_uncounted')

    def __init__(self, held: HeldBytes) -> None:
        self.waiting = False
        self._held = held
        self._uncounted = _SMALL_BYTES

    def reserve(self, count: int, *, seconds: float | None = None) -> bool:
        """Wait until the request may hold so many bytes more.

        Parameters
        ----------
        seconds : float or None
            Longest wait; None for any.

        Returns
        -------
        bool
            Whether the bytes are reserved.
        """
        if count <= self._uncounted:
            self._uncounted -= count
            return True
        deadline = None if seconds is None else time.monotonic() + seconds
        self.waiting = True
        while not self._held.has_room(self, count):
            left = None if deadline is None else deadline - time.monotonic()
            if left is not None and left <= 0:
                return False
            self._held.wait(left)
        self.waiting = False
        self._held.add(self, count)
        return True

    def release(self) -> None:
        """Release all bytes of the request."""
        self._held.remove(self)


class RequestMemory:
    """The bytes held for one request: its head, its body and its answer's.

    Attributes
    ----------
    head_bytes : int
        The bytes that its head takes.
    """

    __slots__ = ('head', 'body', 'answer', 'head_bytes')

    def __init__(self, memory: 'Memory', *, head_bytes: int = 0) -> None:
        self.head_bytes = head_bytes
        self.head = Holding(memory.heads)
        self.body = Holding(memory.bodies)
        self.answer = Holding(memory.answers)

    def release(self) -> None:
        """Release all bytes of the request."""
        self.head.release()
        self.body.release()
        self.answer.release()


class Memory:
    """Bounds what an instance holds for callers and servers.

    Parameters
    ----------
    settings : Settings
        The section `limits` is used. Without `memory_megabytes` there is no
        bound.
    metrics : Metrics
        Counts callers whose connection is closed as `unread`.

    Attributes
    ----------
    connections : int
        The callers' open connections.
    heads, bodies, answers : HeldBytes
        Heads and bodies of requests, and bodies of answers that are no
        streams.
    """

    __slots__ = (
        'connections',
        'heads',
        'bodies',
        'answers',
        '_settings',
        '_metrics',
        '_blocked',
    )

    def __init__(
        self, settings: settings_.Settings, metrics: metrics_.Metrics
    ) -> None:
        self.connections = 0
        self.heads = HeldBytes(self._read_head_limit)
        self.bodies = HeldBytes(self._read_limit)
        self.answers = HeldBytes(self._read_limit)
        self._settings = settings
        self._metrics = metrics
        # Connections with a write that waits, the longest one first.
        self._blocked: collections.OrderedDict[socket.socket, None] = (
            collections.OrderedDict()
        )

    def _read_limit(self) -> float:
        """Return the bound in bytes for bodies, and for answers."""
        return self._divide(self.heads.count)

    def _read_head_limit(self) -> float:
        """Return the bound in bytes for heads."""
        return self._divide(0)

    def _divide(self, used: float) -> float:
        """Return half of the memory beside connections and what is used."""
        megabytes = self._settings.limits.memory_megabytes
        if not megabytes:
            return float('inf')
        available = max(0.0, megabytes * 1e6 - _BASE_BYTES)
        free = available - self.connections * _CONNECTION_BYTES - used
        return max(available * _MIN_FRACTION, free / 2)

    @contextlib.contextmanager
    def track_blocked(self, sock: socket.socket) -> typing.Iterator[None]:
        """Count a connection as blocked by a write within the context.

        Beyond the bound, the connection that is blocked for longest is closed.
        """
        self._blocked[sock] = None
        limit = self._read_limit() / _BLOCKED_BYTES
        if len(self._blocked) > max(limit, _MIN_BLOCKED_CALLERS):
            self._close_longest()
        try:
            yield
        finally:
            self._blocked.pop(sock, None)

    def _close_longest(self) -> None:
        sock, _ = self._blocked.popitem(last=False)
        self._metrics.count('unread', 'closed')
        _LOG.warning(
            'caller_reads_slowly',
            extra={'blocked_callers': len(self._blocked) + 1},
        )
        # The write ends with an error; what the kernel holds is still sent.
        sock.shutdown(socket.SHUT_RDWR)
