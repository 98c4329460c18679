"""One peer, as the sending side sees it: a queue and a connection."""

import collections
import contextlib
import logging
import random
import time
import typing

import gevent
from gevent import event
from gevent import socket

from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import sockets
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)
_MOST_IN_FRAME = 64
_BACKOFF_SECONDS = 0.1
_BACKOFF_MOST_SECONDS = 5.0
# Redials without a message to send, after state was lost: some 25 seconds.
_MOST_REDIALS = 10
# A connection that lived this long makes the next backoff start anew.
_STEADY_SECONDS = 5.0
_READABLE = 1

Greet = typing.Callable[[str], typing.Sequence[object]]


class Peer:
    """Sends messages to one peer, from one greenlet while there are any.

    Parameters
    ----------
    name, address : str
        The peer's name, and the address to dial.
    settings : Settings
        Its `links` section is used.
    metrics : Metrics
        Counts bytes, messages and drops.
    greet : callable
        Called with the peer's name on each new connection; returns the
        messages that go before all others.
    """

    __slots__ = (
        'name',
        'address',
        '_settings',
        '_metrics',
        '_greet',
        '_queue',
        '_wake',
        '_greenlet',
        '_failures',
        '_owes_state',
        '_dial_after',
        '_answered',
    )

    def __init__(
        self,
        name: str,
        address: str,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
        greet: Greet,
    ) -> None:
        self.name = name
        self.address = address
        self._settings = settings
        self._metrics = metrics
        self._greet = greet
        self._queue: collections.deque[object] = collections.deque()
        self._wake = event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._failures = 0
        self._owes_state = False
        self._dial_after = 0.0
        self._answered = False

    @property
    def queued(self) -> int:
        """How many messages wait to be sent."""
        return len(self._queue)

    def put(self, message: object) -> bool:
        """Queue a message; False where the queue is full."""
        if len(self._queue) >= self._settings.links.queue_messages:
            self._metrics.count('dropped_messages', 'queue_full')
            return False
        self._queue.append(message)
        self._wake.set()
        self._ensure_running()
        return True

    def hurry(self) -> None:
        """Dial without waiting: the peer has just shown that it lives."""
        if self._failures:
            self._failures = 0
            self._dial_after = 0.0
            self._wake.set()
            if self._owes_state:
                self._ensure_running()

    def close(self) -> None:
        """End the connection; what is queued is dropped and counted."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._drop('closed')

    def _ensure_running(self) -> None:
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        try:
            while self._queue or self._may_redial():
                self._wait_backoff()
                self._use_connection()
        finally:
            self._greenlet = None

    def _may_redial(self) -> bool:
        return self._owes_state and self._failures < _MOST_REDIALS

    def _wait_backoff(self) -> None:
        while (left := self._dial_after - time.monotonic()) > 0:
            self._wake.clear()
            self._wake.wait(left)

    def _use_connection(self) -> None:
        links = self._settings.links
        started = time.monotonic()
        reason = 'unreachable'
        with contextlib.ExitStack() as stack:
            try:
                sock = sockets.dial(
                    self.address,
                    dial_seconds=links.dial_seconds,
                    lost_seconds=links.lost_seconds,
                )
                stack.callback(sock.close)
                started = time.monotonic()
                reason = 'connection_lost'
                self._watch_closing(sock, stack)
                self._send_all(sock, frames.Deflater(links.secret))
            except OSError as error:
                self._note_loss(reason, error, time.monotonic() - started)

    def _watch_closing(
        self, sock: socket.socket, stack: contextlib.ExitStack
    ) -> None:
        # The other side never sends on this connection: when it becomes
        # readable, it was closed or reset. Without this watch, a sender
        # that has nothing to say would not learn that what it said last
        # was lost, and the peer would miss that state for good.
        self._answered = False
        watcher = gevent.get_hub().loop.io(sock.fileno(), _READABLE)
        stack.callback(watcher.close)
        stack.callback(watcher.stop)
        watcher.start(self._note_closing, watcher)

    def _note_closing(self, watcher: typing.Any) -> None:
        watcher.stop()
        self._answered = True
        self._wake.set()

    def _send_all(
        self, sock: socket.socket, deflater: frames.Deflater
    ) -> None:
        self._queue.extendleft(reversed(self._greet(self.name)))
        self._owes_state = False
        while self._wait_message():
            count = min(len(self._queue), _MOST_IN_FRAME)
            batch = [self._queue.popleft() for _ in range(count)]
            self._send_batch(sock, deflater, batch)
            # A socket that takes everything at once never yields; other
            # greenlets must get their turn beside a busy peer.
            gevent.sleep(0)

    def _wait_message(self) -> bool:
        if not self._queue and not self._answered:
            self._wake.clear()
            self._wake.wait(self._settings.links.idle_seconds)
        if self._answered:
            raise ConnectionResetError('closed by the peer')
        return bool(self._queue)

    def _send_batch(
        self,
        sock: socket.socket,
        deflater: frames.Deflater,
        batch: list[object],
    ) -> None:
        try:
            encoded = codec.encode_sized(batch)
            frame = deflater.pack(encoded.data)
        except errors.MessageInvalid as error:
            self._send_halves(sock, deflater, batch, error)
            return
        try:
            sock.sendall(frame)
        except OSError:
            self._count_drops('connection_lost', len(batch))
            raise
        self._count_sent(batch, encoded.sizes, len(frame))

    def _send_halves(
        self,
        sock: socket.socket,
        deflater: frames.Deflater,
        batch: list[object],
        error: errors.MessageInvalid,
    ) -> None:
        # One message that can't be written, or is too long, must not take
        # those with it that happened to be in the same frame.
        if len(batch) == 1:
            kind = type(batch[0]).__name__
            _LOG.error(
                'message_unsendable', extra={'kind': kind, 'error': error}
            )
            self._count_drops('unsendable', 1)
            return
        middle = len(batch) // 2
        self._send_batch(sock, deflater, batch[:middle])
        self._send_batch(sock, deflater, batch[middle:])

    def _count_sent(
        self, batch: list[object], sizes: list[int], frame_bytes: int
    ) -> None:
        whole = sum(sizes) or 1
        for message, size in zip(batch, sizes):
            kind = type(message).__name__
            share = frame_bytes * size / whole
            self._metrics.count('control_messages', kind)
            self._metrics.count('control_bytes', kind, share)

    def _note_loss(
        self, reason: str, error: OSError, lived_seconds: float
    ) -> None:
        if lived_seconds >= _STEADY_SECONDS and reason != 'unreachable':
            self._failures = 0
        if not self._failures:
            _LOG.info(
                'link_lost',
                extra={'peer': self.name, 'reason': reason, 'error': error},
            )
        longest = min(
            _BACKOFF_SECONDS * 2**self._failures, _BACKOFF_MOST_SECONDS
        )
        self._failures += 1
        self._dial_after = time.monotonic() + random.uniform(0.5, 1) * longest
        self._owes_state = True
        self._drop(reason)

    def _drop(self, reason: str) -> None:
        self._count_drops(reason, len(self._queue))
        self._queue.clear()

    def _count_drops(self, reason: str, count: int) -> None:
        if count:
            self._metrics.count('dropped_messages', reason, count)
