"""Forwarding in one direction of a proxied connection, with faults."""

import collections
import time
import typing

import gevent
from gevent import event
from gevent import socket

CHUNK_BYTES = 65536
_QUEUED_BYTES_LIMIT = 16 * 1024 * 1024


class Direction:
    """Faults and byte count of one direction of a listener.

    With `drop`, received bytes are read and discarded. To both ends this looks
    like a network that loses every packet in one direction: neither detects
    the loss before a timeout.
    """

    __slots__ = (
        'delay_seconds',
        'drop',
        'bytes_per_second',
        'reset_after_bytes',
        'bytes',
        '_released',
    )

    def __init__(self) -> None:
        self.bytes = 0
        self._released = event.Event()
        self.heal()

    def heal(self) -> None:
        """Clear every fault of this direction."""
        self.delay_seconds = 0.0
        self.drop = False
        self.bytes_per_second = 0.0
        self.reset_after_bytes: int | None = None
        self.hold = False

    @property
    def hold(self) -> bool:
        """Whether bytes are buffered, to be forwarded in order later."""
        return not self._released.is_set()

    @hold.setter
    def hold(self, value: bool) -> None:
        if value:
            self._released.clear()
        else:
            self._released.set()

    def wait_for_release(self) -> None:
        """Wait until `hold` is cleared."""
        self._released.wait()


class Pipe:
    """One direction of a connection: a reader, a queue and a writer."""

    __slots__ = (
        '_source',
        '_sink',
        '_direction',
        '_queue',
        '_queued_bytes',
        '_queue_filled',
        '_forwarded_bytes',
        '_reset_connection',
        '_on_end',
    )

    def __init__(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
        reset_connection: typing.Callable[[], None],
        *,
        on_end: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._source = source
        self._sink = sink
        self._direction = direction
        self._reset_connection = reset_connection
        self._on_end = on_end
        self._queue: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._queue_filled = event.Event()
        self._forwarded_bytes = 0

    def read(self) -> None:
        """Queue received data with the earliest time to forward it."""
        while True:
            try:
                data = self._source.recv(CHUNK_BYTES)
            except OSError:
                data = b''
            if not data:
                self._on_end()
            if data and self._direction.drop:
                continue
            forward_at = time.monotonic() + self._direction.delay_seconds
            self._queue.append((forward_at, data))
            self._queued_bytes += len(data)
            self._queue_filled.set()
            if not data:
                return
            while self._queued_bytes > _QUEUED_BYTES_LIMIT or (
                self._direction.hold and self._queued_bytes > CHUNK_BYTES
            ):
                gevent.sleep(0.01)

    def write(self) -> None:
        """Forward queued data with the configured delay and rate."""
        direction = self._direction
        while True:
            while not self._queue:
                self._queue_filled.clear()
                self._queue_filled.wait()
            forward_at, data = self._queue.popleft()
            self._queued_bytes -= len(data)
            gevent.sleep(max(0.0, forward_at - time.monotonic()))
            direction.wait_for_release()
            if not data:
                # With `drop`, the end of the stream is lost as well.
                if not direction.drop:
                    self._shut_down_sink()
                return
            if direction.drop:
                continue
            if not self._forward(data):
                return

    def _shut_down_sink(self) -> None:
        try:
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def _forward(self, data: bytes) -> bool:
        direction = self._direction
        limit = direction.reset_after_bytes
        if limit is not None:
            data = data[: max(0, limit - self._forwarded_bytes)]
        if direction.bytes_per_second:
            gevent.sleep(len(data) / direction.bytes_per_second)
        try:
            self._sink.sendall(data)
        except OSError:
            self._reset_connection()
            return False
        self._forwarded_bytes += len(data)
        direction.bytes += len(data)
        if limit is not None and self._forwarded_bytes >= limit:
            self._reset_connection()
            return False
        return True
