"""Receives the bytes of callers, and finds the callers that send none."""

import contextlib
import time
import typing

from gevent import socket

from amaranthslip.entry import held
from amaranthslip.entry import stalls
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip import metrics as metrics_

# Bytes that are received at once beyond those that were asked for. Part of a
# connection's memory.
_READ_AHEAD_BYTES = 4096
# Bytes that count as progress: a few of them now and then do not.
_PROGRESS_BYTES = 256
# Buffer in the kernel for a connection, and while it sends a large body. The
# kernel holds up to twice as many bytes.
RECEIVE_BUFFER_BYTES = 8192
WIDE_RECEIVE_BUFFER_BYTES = 32768
WIDE_BYTES = 2 * (WIDE_RECEIVE_BUFFER_BYTES - RECEIVE_BUFFER_BYTES)


class CallerEvicted(OSError):
    """Memory or a connection is needed that this caller holds unused."""


def build_stalled_error() -> errors.RequestRefused:
    """Return the refusal of a request whose caller was evicted."""
    return errors.RequestRefused(
        'stalled',
        'the request stopped before its end, and its room is needed; send it'
        ' at once',
        status=408,
    )


class Receiver:
    """Reads one caller's connection; the WSGI server's input file.

    Nothing is held while it waits, beyond what was received and not consumed.

    Parameters
    ----------
    sock : socket
        A gevent socket.
    senders : Senders
        Knows the connections that wait for their callers.

    Attributes
    ----------
    closed : bool
        Whether the file is closed.
    memory : RequestMemory or None
        The bytes held for the request that arrives; None between requests.
    stalled_since : float
        Monotonic time of the latest progress, later by the time for which
        the connection did not wait for its caller.
    stalled_bytes : int
        Bytes that were received since then.
    begun_at : float
        Monotonic time at which the request began to arrive.
    received_bytes : int
        Bytes of the request that were received.
    served : bool
        Whether a request of the connection was answered.
    evicted : bool
        Whether the connection is closed for others.
    is_wide : bool
        Whether the kernel may hold more, for a large body.
    """

    __slots__ = (
        '_sock',
        '_senders',
        '_data',
        '_start',
        '_waited_until',
        'is_wide',
        'closed',
        'memory',
        'stalled_since',
        'stalled_bytes',
        'begun_at',
        'received_bytes',
        'served',
        'evicted',
    )

    def __init__(self, sock: socket.socket, senders: 'Senders') -> None:
        self._sock = sock
        self._senders = senders
        self.evicted = False
        self._data = bytearray()
        self._start = 0
        self.is_wide = False
        self.closed = False
        self.memory: held.RequestMemory | None = None
        self.stalled_since = self.begun_at = time.monotonic()
        # Monotonic time until which it last waited for its caller.
        self._waited_until = self.stalled_since
        self.stalled_bytes = self.received_bytes = 0
        self.served = False

    def begin_request(self, memory: held.RequestMemory) -> None:
        """Note that the first byte of a request has arrived."""
        self.memory = memory
        self.begun_at = time.monotonic()
        self.received_bytes = 0
        self._note_progress()

    def end_request(self) -> None:
        """Note that a request was answered."""
        self.memory = None
        self.served = True
        self._note_progress()
        if self.is_wide:
            self.is_wide = False
            self._limit_buffer(RECEIVE_BUFFER_BYTES)

    def begin_waiting(self) -> None:
        """Note that the connection waits for its caller from now on."""
        # While it did not, the caller could make no progress.
        self.stalled_since += time.monotonic() - self._waited_until

    def end_waiting(self) -> None:
        """Note that the connection does not wait for its caller."""
        self._waited_until = time.monotonic()

    def _note_progress(self) -> None:
        self.stalled_since = self._waited_until = time.monotonic()
        self.stalled_bytes = 0

    def widen(self) -> None:
        """Let the kernel hold more, for a body that takes several windows."""
        if not self.is_wide:
            self.is_wide = True
            self._limit_buffer(WIDE_RECEIVE_BUFFER_BYTES)

    def _limit_buffer(self, byte_count: int) -> None:
        if self._senders.limits_buffers:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, byte_count
                )

    @property
    def buffered(self) -> bytearray:
        """The bytes that were received and not consumed; not to be kept."""
        if self._start:
            del self._data[: self._start]
            self._start = 0
        return self._data

    def skip(self, count: int) -> None:
        """Consume bytes that are buffered."""
        self._start += count

    def peek(self, count: int) -> bytes:
        """Return up to `count` bytes, unconsumed; b'' at the end."""
        if not self._count_buffered():
            self._receive()
        return bytes(self._data[self._start : self._start + count])

    def readline(self, max_bytes: int) -> bytes:
        """Return the next line, or as much of it as `max_bytes` allows.

        Raises
        ------
        RequestRefused
            There is no memory for a line that long.
        """

        def find_end(data: bytearray, searched: int) -> int:
            return data.find(b'\n', searched, max_bytes) + 1

        return self.read_until(find_end, max_bytes)

    def read_until(
        self, find_end: typing.Callable[[bytearray, int], int], max_bytes: int
    ) -> bytes:
        """Return the bytes up to an end, which is looked for as they arrive.

        Parameters
        ----------
        find_end : callable
            Takes the bytes that have arrived, and how many of them it was
            given before; returns how many are wanted, or 0 if the end is not
            among them.

        Returns
        -------
        bytes
            `max_bytes` if as many arrive without the end; fewer at the end of
            the stream.

        Raises
        ------
        RequestRefused
            There is no memory for so many bytes.
        """
        searched = reserved = 0
        while True:
            if end := find_end(self.buffered, searched):
                return self._take(end)
            count = self._count_buffered()
            if count >= max_bytes:
                return self._take(max_bytes)
            while self.memory is not None and (
                count > _READ_AHEAD_BYTES + reserved
            ):
                held.reserve(self.memory.head, _READ_AHEAD_BYTES)
                reserved += _READ_AHEAD_BYTES
            if not self._receive():
                return self._take(count)
            searched = count

    def read(self, count: int) -> bytes:
        """Return `count` bytes, or fewer at the end of the stream."""
        pieces = []
        while count and (piece := self.read_some(count)):
            pieces.append(piece)
            count -= len(piece)
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    def read_some(self, max_bytes: int) -> bytes:
        """Return what has arrived, at least a byte; b'' at the end."""
        count = self._count_buffered()
        if not count:
            if max_bytes > _READ_AHEAD_BYTES:
                return self._receive_bytes(max_bytes)
            self._receive()
            count = self._count_buffered()
        return self._take(min(count, max_bytes))

    def wait_for_bytes(self) -> int:
        """Return how many bytes have arrived; 0 at the end of the stream.

        Nothing is consumed, so that memory can be reserved for them first.
        """
        if count := self._count_buffered():
            return count
        if self._is_ended():
            return 0
        return sockets.count_unread_bytes(self._sock)

    def _is_ended(self) -> bool:
        try:
            return not self._sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            with self._senders.track(self):
                return not self._sock.recv(1, socket.MSG_PEEK)

    def _count_buffered(self) -> int:
        return len(self._data) - self._start

    def _take(self, count: int) -> bytes:
        end = self._start + count
        data = bytes(self._data[self._start : end])
        if end == len(self._data):
            self._data.clear()
            self._start = 0
        else:
            self._start = end
        return data

    def _receive(self) -> bool:
        """Add bytes to the buffered ones; return False at the end."""
        piece = self._receive_bytes(_READ_AHEAD_BYTES)
        self.buffered.extend(piece)
        return bool(piece)

    def _receive_bytes(self, max_bytes: int) -> bytes:
        try:
            data = self._sock._sock.recv(max_bytes)
        except BlockingIOError:
            with self._senders.track(self):
                data = self._sock.recv(max_bytes)
        self.received_bytes += len(data)
        self.stalled_bytes += len(data)
        if self.stalled_bytes >= _PROGRESS_BYTES:
            self._note_progress()
        return data

    def count_held(self) -> int:
        """Return the bytes that closing the connection would release."""
        memory = 0 if self.memory is None else self.memory.count
        return held.CONNECTION_BYTES + memory

    def read_rate(self, now: float) -> float:
        """Return the rate at which the request arrives, in bytes a second."""
        return self.received_bytes / (now - self.begun_at)

    def evict(self) -> None:
        """Raise CallerEvicted where the connection waits for its caller."""
        self.evicted = True
        socket.cancel_wait(
            self._sock._read_event,
            CallerEvicted('the caller stands still'),
        )

    def close(self) -> None:
        """Drop what is buffered; the socket is closed by its owner."""
        self.closed = True
        self._data.clear()


class Senders:
    """The connections that wait for bytes of their callers.

    Parameters
    ----------
    metrics : Metrics
        Counts evicted callers.

    Attributes
    ----------
    limits_buffers : bool
        Whether the buffers of the kernel are limited.
    """

    __slots__ = ('_metrics', '_waiting', 'limits_buffers')

    def __init__(
        self, metrics: metrics_.Metrics, *, limits_buffers: bool
    ) -> None:
        self._metrics = metrics
        self._waiting: set[Receiver] = set()
        self.limits_buffers = limits_buffers

    @contextlib.contextmanager
    def track(self, receiver: Receiver) -> typing.Iterator[None]:
        """Count a connection as waiting within the context."""
        receiver.begin_waiting()
        self._waiting.add(receiver)
        try:
            yield
        finally:
            self._waiting.discard(receiver)
            receiver.end_waiting()

    def evict_stalled(self, byte_count: int) -> int:
        """Evict callers that stand still, those without any progress first.

        Parameters
        ----------
        byte_count : int
            The bytes that are needed.

        Returns
        -------
        int
            The number of callers.
        """
        return self._evict(self._list_stalled(), byte_count)

    def evict_slow(self, byte_count: int) -> int:
        """Evict callers whose requests take long, the slowest ones first."""
        return self._evict(self._list_slow(), byte_count)

    def _evict(self, chosen: list[Receiver], byte_count: int) -> int:
        count = 0
        for receiver in chosen:
            if byte_count <= 0:
                break
            byte_count -= receiver.count_held()
            self._waiting.discard(receiver)
            receiver.evict()
            self._metrics.count(
                'evictions', 'idle' if receiver.memory is None else 'request'
            )
            count += 1
        return count

    def _list_stalled(self) -> list[Receiver]:
        now = time.monotonic()
        stalled = [
            each
            for each in self._waiting
            if now - each.stalled_since >= stalls.STALLED_SECONDS
        ]
        return sorted(stalled, key=_rank_stalled)

    def _list_slow(self) -> list[Receiver]:
        now = time.monotonic()
        slow = [
            each
            for each in self._waiting
            if each.memory is not None
            and now - each.begun_at >= stalls.SLOW_SECONDS
            and each.read_rate(now) < stalls.SLOW_SENDING_RATE
        ]
        return sorted(slow, key=lambda each: each.read_rate(now))


def _rank_stalled(receiver: Receiver) -> tuple[bool, int, float]:
    """Return who is evicted first: idle kept connections are the last."""
    is_idle = receiver.served and receiver.memory is None
    return is_idle, receiver.stalled_bytes, receiver.stalled_since


def limit_buffer(sock: socket.socket) -> None:
    """Limit what the kernel holds of a connection that is served."""
    sockets.limit_buffers(sock, receive_bytes=RECEIVE_BUFFER_BYTES)
