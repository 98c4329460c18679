"""One direction of a proxied connection, with its faults."""

import collections
import time
import typing

import gevent
from gevent import event
from gevent import socket

CHUNK_BYTES = 65536
_QUEUED_BYTES_LIMIT = 16 * 1024 * 1024


class Direction:
    """The faults and the count of one direction of a listener.

    A dropped direction is read and thrown away, as a network that loses
    each packet one way looks to both ends until a timeout.
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
        """End every fault of this direction."""
        self.delay_seconds = 0.0
        self.drop = False
        self.bytes_per_second = 0.0
        self.reset_after_bytes: int | None = None
        self.hold = False

    @property
    def hold(self) -> bool:
        """Whether bytes are kept back, to be released later in order."""
        return not self._released.is_set()

    @hold.setter
    def hold(self, value: bool) -> None:
        if value:
            self._released.clear()
        else:
            self._released.set()

    def wait_for_release(self) -> None:
        """Return when bytes are not held."""
        self._released.wait()


class Pipe:
    """One direction of one connection: a reader and a late writer."""

    __slots__ = (
        '_source',
        '_sink',
        '_direction',
        '_queue',
        '_queued_bytes',
        '_changed',
        '_passed',
        '_reset',
        '_on_end',
    )

    def __init__(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
        reset: typing.Callable[[], None],
        *,
        on_end: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._source = source
        self._sink = sink
        self._direction = direction
        self._reset = reset
        self._on_end = on_end
        self._queue: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._changed = event.Event()
        self._passed = 0

    def read(self) -> None:
        """Queue what comes in, with the time at which it may go on."""
        while True:
            try:
                data = self._source.recv(CHUNK_BYTES)
            except OSError:
                data = b''
            if not data:
                self._on_end()
            if data and self._direction.drop:
                continue
            due = time.monotonic() + self._direction.delay_seconds
            self._queue.append((due, data))
            self._queued_bytes += len(data)
            self._changed.set()
            if not data:
                return
            while self._queued_bytes > _QUEUED_BYTES_LIMIT or (
                self._direction.hold and self._queued_bytes > CHUNK_BYTES
            ):
                gevent.sleep(0.01)

    def write(self) -> None:
        """Pass the queue on, at the ordered time and pace."""
        direction = self._direction
        while True:
            while not self._queue:
                self._changed.clear()
                self._changed.wait()
            due, data = self._queue.popleft()
            self._queued_bytes -= len(data)
            gevent.sleep(max(0.0, due - time.monotonic()))
            direction.wait_for_release()
            if not data:
                # A dropped direction loses the end of the stream as well.
                if not direction.drop:
                    self._shut()
                return
            if direction.drop:
                continue
            if not self._pass(data):
                return

    def _shut(self) -> None:
        try:
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def _pass(self, data: bytes) -> bool:
        direction = self._direction
        limit = direction.reset_after_bytes
        if limit is not None:
            data = data[: max(0, limit - self._passed)]
        if direction.bytes_per_second:
            gevent.sleep(len(data) / direction.bytes_per_second)
        try:
            self._sink.sendall(data)
        except OSError:
            self._reset()
            return False
        self._passed += len(data)
        direction.bytes += len(data)
        if limit is not None and self._passed >= limit:
            self._reset()
            return False
        return True
