"""Writes that wait for callers, and the callers that give way there."""

import contextlib
import logging
import time
import typing

from gevent import socket

from amaranthslip.entry import stalls
from amaranthslip.links import sockets
from amaranthslip import metrics as metrics_

_LOG = logging.getLogger(__name__)

# Bytes for a caller that a write waits for: the buffer of its socket, counted
# twice by the kernel, and the data being written.
BLOCKED_BYTES = 3 * sockets.BUFFER_BYTES


class RequestBytes(typing.Protocol):
    """What is held for a request."""

    @property
    def count(self) -> int:
        """All bytes that are held."""


class BlockedWrite:
    """A write that waits until its caller takes bytes.

    Parameters
    ----------
    sock : socket
        The caller's connection, with bytes that the caller has not taken.
    memory : RequestBytes or None
        What is held for the request that is answered.

    Attributes
    ----------
    sock : socket
        The caller's connection.
    begun_at : float
        Monotonic time at which the write began to wait.
    stalled_since : float
        Monotonic time at which the caller was last seen to have taken bytes.
    """

    __slots__ = (
        'sock',
        'begun_at',
        'stalled_since',
        '_memory',
        '_unsent_bytes',
        '_taken_bytes',
    )

    def __init__(
        self, sock: socket.socket, memory: RequestBytes | None
    ) -> None:
        self.sock = sock
        self._memory = memory
        self.begun_at = self.stalled_since = time.monotonic()
        self._unsent_bytes = sockets.count_unsent_bytes(sock)
        self._taken_bytes = 0

    def measure(self, accepted_bytes: int = 0) -> None:
        """Look how much the caller has taken.

        Parameters
        ----------
        accepted_bytes : int
            Bytes that the kernel has accepted since the last look.
        """
        unsent_bytes = sockets.count_unsent_bytes(self.sock)
        taken_bytes = self._unsent_bytes + accepted_bytes - unsent_bytes
        self._unsent_bytes = unsent_bytes
        if taken_bytes > 0:
            self._taken_bytes += taken_bytes
            self.stalled_since = time.monotonic()

    def read_rate(self, now: float) -> float:
        """Return the rate at which the caller takes bytes, per second."""
        return self._taken_bytes / max(now - self.begun_at, 0.001)

    def count_held(self) -> int:
        """Return the bytes that closing the connection would release."""
        memory = 0 if self._memory is None else self._memory.count
        return BLOCKED_BYTES + memory

    def close(self) -> None:
        """End the write with an error; what the kernel holds is still sent."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class BlockedWrites:
    """The writes that wait for their callers.

    Parameters
    ----------
    metrics : Metrics
        Counts evicted callers, and those that are closed as `unread`.
    """

    __slots__ = ('_metrics', '_writes')

    def __init__(self, metrics: metrics_.Metrics) -> None:
        self._metrics = metrics
        # The one that began to wait first is the first.
        self._writes: dict[BlockedWrite, None] = {}

    def __len__(self) -> int:
        return len(self._writes)

    @contextlib.contextmanager
    def track(
        self, sock: socket.socket, memory: RequestBytes | None
    ) -> typing.Iterator[BlockedWrite]:
        """Count a connection as blocked by a write within the context."""
        write = BlockedWrite(sock, memory)
        self._writes[write] = None
        try:
            yield write
        finally:
            self._writes.pop(write, None)

    def close_longest_stalled(self) -> None:
        """Close the connection whose caller has taken nothing for longest."""
        longest = min(self._measure(), key=lambda each: each.stalled_since)
        del self._writes[longest]
        longest.close()
        self._metrics.count('unread', 'closed')
        _LOG.warning(
            'caller_reads_slowly',
            extra={'blocked_callers': len(self._writes) + 1},
        )

    def evict_stalled(self, byte_count: int) -> int:
        """Evict callers that take nothing, the longest ones first.

        Returns
        -------
        int
            The number of callers.
        """
        bound = time.monotonic() - stalls.STALLED_SECONDS
        stalled = [
            each for each in self._measure() if each.stalled_since <= bound
        ]
        stalled.sort(key=lambda each: each.stalled_since)
        return self._evict(stalled, byte_count)

    def evict_slow(self, byte_count: int) -> int:
        """Evict callers that have taken long, the slowest ones first."""
        now = time.monotonic()
        slow = [
            each
            for each in self._measure()
            if now - each.begun_at >= stalls.SLOW_SECONDS
            and each.read_rate(now) < stalls.SLOW_READING_RATE
        ]
        slow.sort(key=lambda each: each.read_rate(now))
        return self._evict(slow, byte_count)

    def _measure(self) -> list[BlockedWrite]:
        for write in self._writes:
            write.measure()
        return list(self._writes)

    def _evict(self, chosen: list[BlockedWrite], byte_count: int) -> int:
        count = 0
        for write in chosen:
            if byte_count <= 0:
                break
            byte_count -= write.count_held()
            del self._writes[write]
            write.close()
            self._metrics.count('evictions', 'answer')
            count += 1
        return count
