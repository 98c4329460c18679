"""Sending side of the link to one peer: a queue and a connection."""

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
_MAX_MESSAGES_PER_FRAME = 64
_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 5.0
# Consecutive connection failures after which a peer with no queued messages
# is not dialled again, although state sent to the peer was lost. With the
# backoff above this takes about 25 seconds.
_MAX_REDIALS = 10
# After a connection that lasted at least this long, the backoff restarts at
# its shortest delay.
_STABLE_SECONDS = 5.0
_READABLE = 1

BuildInitialMessages = typing.Callable[[str], typing.Sequence[object]]


class Peer:
    """Sends messages to one peer from one greenlet.

    The greenlet starts when a message is queued. It ends when the connection
    has been idle for `links.idle_seconds`, or when reconnecting is given up.

    Parameters
    ----------
    name, address : str
        The peer's name, and the address to dial.
    settings : Settings
        Its `links` section is used.
    metrics : Metrics
        Counts bytes, messages and drops.
    build_initial_messages : callable
        Called with the peer's name on each new connection; returns the
        messages to send before all others.
    """

    __slots__ = (
        'name',
        'address',
        '_settings',
        '_metrics',
        '_build_initial_messages',
        '_queue',
        '_wake',
        '_greenlet',
        '_failures',
        '_must_resend_state',
        '_next_dial_at',
        '_closed_by_peer',
    )

    def __init__(
        self,
        name: str,
        address: str,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
        build_initial_messages: BuildInitialMessages,
    ) -> None:
        self.name = name
        self.address = address
        self._settings = settings
        self._metrics = metrics
        self._build_initial_messages = build_initial_messages
        self._queue: collections.deque[object] = collections.deque()
        self._wake = event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._failures = 0
        self._must_resend_state = False
        self._next_dial_at = 0.0
        self._closed_by_peer = False

    @property
    def queued(self) -> int:
        """Number of messages in the queue."""
        return len(self._queue)

    def put(self, message: object) -> bool:
        """Queue a message; return False if the queue is full."""
        if len(self._queue) >= self._settings.links.queue_messages:
            self._metrics.count('dropped_messages', 'queue_full')
            return False
        self._queue.append(message)
        self._wake.set()
        self._ensure_running()
        return True

    def reset_backoff(self) -> None:
        """Reset the backoff, since the peer has just opened a connection."""
        if self._failures:
            self._failures = 0
            self._next_dial_at = 0.0
            self._wake.set()
            if self._must_resend_state:
                self._ensure_running()

    def close(self) -> None:
        """Close the connection; drop and count the queued messages."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._drop_queue('closed')

    def _ensure_running(self) -> None:
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        try:
            while self._queue or self._should_redial():
                self._wait_backoff()
                self._connect_and_send()
        finally:
            self._greenlet = None

    def _should_redial(self) -> bool:
        return self._must_resend_state and self._failures < _MAX_REDIALS

    def _wait_backoff(self) -> None:
        while (remaining := self._next_dial_at - time.monotonic()) > 0:
            self._wake.clear()
            self._wake.wait(remaining)

    def _connect_and_send(self) -> None:
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
                self._watch_for_close(sock, stack)
                self._send_all(sock, frames.Deflater(links.secret))
            except OSError as error:
                self._handle_connection_loss(
                    reason, error, time.monotonic() - started
                )

    def _watch_for_close(
        self, sock: socket.socket, stack: contextlib.ExitStack
    ) -> None:
        # The peer never sends on this connection, so the connection only
        # becomes readable when it was closed or reset. Without this watcher,
        # a sender with an empty queue would not detect that its last messages
        # were lost, and the peer would never receive that state.
        self._closed_by_peer = False
        watcher = gevent.get_hub().loop.io(sock.fileno(), _READABLE)
        stack.callback(watcher.close)
        stack.callback(watcher.stop)
        watcher.start(self._mark_closed, watcher)

    def _mark_closed(self, watcher: typing.Any) -> None:
        watcher.stop()
        self._closed_by_peer = True
        self._wake.set()

    def _send_all(
        self, sock: socket.socket, deflater: frames.Deflater
    ) -> None:
        self._queue.extendleft(
            reversed(self._build_initial_messages(self.name))
        )
        self._must_resend_state = False
        while self._wait_message():
            count = min(len(self._queue), _MAX_MESSAGES_PER_FRAME)
            batch = [self._queue.popleft() for _ in range(count)]
            self._send_batch(sock, deflater, batch)
            # sendall() does not yield to the hub when the socket buffer takes
            # all bytes at once; yield here, so that other greenlets run
            # while messages to a busy peer are sent.
            gevent.sleep(0)

    def _wait_message(self) -> bool:
        if not self._queue and not self._closed_by_peer:
            self._wake.clear()
            self._wake.wait(self._settings.links.idle_seconds)
        if self._closed_by_peer:
            raise ConnectionResetError('connection closed by the peer')
        return bool(self._queue)

    def _send_batch(
        self,
        sock: socket.socket,
        deflater: frames.Deflater,
        batch: list[object],
    ) -> None:
        try:
            encoded = codec.encode_with_sizes(batch)
            frame = deflater.pack(encoded.data)
        except errors.MessageInvalid as error:
            self._split_and_send(sock, deflater, batch, error)
            return
        try:
            sock.sendall(frame)
        except OSError:
            self._count_drops('connection_lost', len(batch))
            raise
        self._count_sent(batch, encoded.sizes, len(frame))

    def _split_and_send(
        self,
        sock: socket.socket,
        deflater: frames.Deflater,
        batch: list[object],
        error: errors.MessageInvalid,
    ) -> None:
        # A message that can't be encoded, or is too long, must not cause the
        # loss of the other messages in the same frame. Splitting the batch
        # repeatedly isolates and drops only that message.
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
        total_size = sum(sizes) or 1
        for message, size in zip(batch, sizes):
            kind = type(message).__name__
            share = frame_bytes * size / total_size
            self._metrics.count('control_messages', kind)
            self._metrics.count('control_bytes', kind, share)

    def _handle_connection_loss(
        self, reason: str, error: OSError, connected_seconds: float
    ) -> None:
        if connected_seconds >= _STABLE_SECONDS and reason != 'unreachable':
            self._failures = 0
        if not self._failures:
            _LOG.info(
                'link_lost',
                extra={'peer': self.name, 'reason': reason, 'error': error},
            )
        max_delay = min(
            _BACKOFF_SECONDS * 2**self._failures, _MAX_BACKOFF_SECONDS
        )
        self._failures += 1
        self._next_dial_at = (
            time.monotonic() + random.uniform(0.5, 1) * max_delay
        )
        self._must_resend_state = True
        self._drop_queue(reason)

    def _drop_queue(self, reason: str) -> None:
        self._count_drops(reason, len(self._queue))
        self._queue.clear()

    def _count_drops(self, reason: str, count: int) -> None:
        if count:
            self._metrics.count('dropped_messages', reason, count)
