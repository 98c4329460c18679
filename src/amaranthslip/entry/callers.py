"""A caller's connection: writes the answer and detects disconnects."""

import time
import typing

import gevent
from gevent import socket
import greenlet

from amaranthslip.entry import held
from amaranthslip.entry import notes
from amaranthslip.entry import progress as progress_
from amaranthslip.entry import replies
from amaranthslip.links import sockets

# Seconds from which on a write counts as blocked. A write that fits in the
# socket's buffer takes microseconds.
_MIN_BLOCKED_WRITE_SECONDS = 0.02
# Seconds of blocked writes, in sum, after which the engine may have cut off
# its answer as unread. Engines do so after some seconds.
_MIN_UNREAD_SECONDS = 0.3
# Seconds after a blocked write in which the end of the engine's connection
# may still be the one that came meanwhile: what was received before is read
# first. Also the pause after which blocked writes are counted anew.
_CATCH_UP_SECONDS = 0.5
# Seconds between two looks at the bytes that a caller has not received yet.
_UNREAD_CHECK_SECONDS = 0.01


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed the connection, so its request is cancelled.

    Thrown into the request's greenlet wherever it waits. A subclass of
    GreenletExit, so that neither this program nor the WSGI server reports
    an error.
    """


class AnswerAborted(gevent.GreenletExit):
    """An answer failed after its first bytes were sent.

    Raised through the WSGI server, which then omits the final chunk of the
    chunked coding, so that the caller sees that the answer is incomplete.
    """


class Caller:
    """The caller's side of one request.

    Parameters
    ----------
    sock : socket
        The connection that the request came by.
    start_response : callable
        The WSGI server's function of that name.
    write_seconds : float
        Seconds without progress after which a write is given up, for a caller
        that does not read.
    memory : RequestMemory
        The bytes held for the request.
    progress : Progress
        The requests in progress at this instance.

    Attributes
    ----------
    writing : bool
        Whether the request's greenlet is in a write to the caller.
    overdue : bool
        Whether the deadline passed during a write. What was received from the
        server by then is still delivered.
    """

    __slots__ = (
        '_socket',
        '_start_response',
        '_write',
        '_watcher',
        '_greenlet',
        '_write_seconds',
        '_blocked_seconds',
        '_blocked_until',
        'writing',
        'overdue',
        'started',
        'closing',
        'memory',
        'progress',
        'summary',
    )

    def __init__(
        self,
        sock: socket.socket,
        start_response: typing.Callable[..., typing.Any],
        *,
        write_seconds: float,
        memory: held.RequestMemory,
        progress: progress_.Progress,
    ) -> None:
        self.memory = memory
        self.progress = progress
        self._socket = sock
        self._start_response = start_response
        self._write: typing.Callable[[bytes], None] | None = None
        self._watcher: typing.Any = None
        self._greenlet = greenlet.getcurrent()
        self._write_seconds = write_seconds
        # Seconds of the latest blocked writes in sum, and the monotonic time
        # at which the last one ended.
        self._blocked_seconds = 0.0
        self._blocked_until = float('-inf')
        self.writing = False
        self.overdue = False
        self.started = False
        # Whether the connection is closed after this answer.
        self.closing = False
        # Log fields of a request on an operator's route; set once the route
        # and the resources that the request needs are known.
        self.summary: notes.RequestSummary | None = None

    def list_fields(self) -> dict[str, typing.Any]:
        """Return the extra fields of the log line that ends the request."""
        return {} if self.summary is None else self.summary.list_fields()

    def watch(self) -> None:
        """Throw CallerDisconnected into this greenlet on a disconnect.

        Without this, a disconnect while the request is queued or before the
        first byte would be noticed only when the answer is written, and an
        engine would generate an answer that nobody reads until then.
        """
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._handle_readable)

    def check_connected(self) -> None:
        """Raise CallerDisconnected if the caller has disconnected.

        Reads the socket itself, because a busy event loop may report the
        disconnect late. Used before a request is sent to a server.
        """
        if self._peek() == b'':
            raise CallerDisconnected()

    def stop_watching(self) -> None:
        """Stop watching for a disconnect."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _handle_readable(self) -> None:
        # Runs in the hub, so it must not block. Readable bytes are a
        # pipelined request, which hides a later end of the stream; from then
        # on only a failed write reveals a disconnect.
        data = self._peek()
        if data is None:
            return
        self._watcher.stop()
        if not data:
            self._greenlet.throw(CallerDisconnected())
        else:
            self.memory.note_ahead(self._disconnect)

    def _disconnect(self) -> None:
        """End the request as if its caller had disconnected."""
        gevent.get_hub().loop.run_callback(self._throw_disconnect)

    def _throw_disconnect(self) -> None:
        if self._watcher is not None:
            self._greenlet.throw(CallerDisconnected())

    def _peek(self) -> bytes | None:
        """Return the next byte, unread: b'' at the end, None if none came."""
        try:
            return self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b''

    def begin(self, reply: replies.Reply, request_id: str) -> None:
        """Set the status line and headers, sent with the first write."""
        headers = [*reply.headers, ('X-Request-Id', request_id)]
        if self.closing:
            headers.append(('Connection', 'close'))
        status = replies.describe_status(reply.status)
        self._write = self._start_response(status, headers)
        self._socket.settimeout(self._write_seconds)
        self.started = True

    def write(self, data: bytes) -> None:
        """Send body bytes.

        Raises
        ------
        CallerDisconnected
            The connection is lost, or a write timed out because the caller
            does not read.
        """
        started = time.monotonic()
        self.writing = True
        try:
            self._write(data)
        except OSError:
            # Handled like a disconnect. A caller that reads nothing could
            # otherwise occupy an engine's slot indefinitely.
            raise CallerDisconnected() from None
        finally:
            self.writing = False
        now = time.monotonic()
        if now - started >= _MIN_BLOCKED_WRITE_SECONDS:
            self._note_blocked(started, now)

    def _note_blocked(self, started: float, now: float) -> None:
        if started - self._blocked_until > _CATCH_UP_SECONDS:
            self._blocked_seconds = 0.0
        self._blocked_seconds += now - started
        self._blocked_until = now

    def left_unread(self) -> bool:
        """Return whether a server's answer was left unread until now.

        That is so while writes to the caller block: nothing is read from the
        server meanwhile. A server cuts off such an answer.
        """
        return (
            self._blocked_seconds >= _MIN_UNREAD_SECONDS
            and time.monotonic() - self._blocked_until <= _CATCH_UP_SECONDS
        )

    def wait_until_received(self, seconds: float) -> bool:
        """Wait until the caller has received all that was written.

        Returns
        -------
        bool
            Whether that was so within `seconds`.
        """
        deadline = time.monotonic() + seconds
        while sockets.count_unsent_bytes(self._socket):
            if time.monotonic() >= deadline:
                return False
            gevent.sleep(_UNREAD_CHECK_SECONDS)
        return True
