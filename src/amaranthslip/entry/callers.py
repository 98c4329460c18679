"""Callers: the connection a request came by, and whether it is still there."""

import typing

import gevent
from gevent import socket
import greenlet

from amaranthslip.entry import notes
from amaranthslip.entry import replies


class CallerLeft(gevent.GreenletExit):
    """The caller closed the connection; nobody waits for the answer.

    Thrown into the request's greenlet wherever it waits. A GreenletExit,
    so that neither this program nor the WSGI server takes it for an error.
    """


class AnswerAborted(gevent.GreenletExit):
    """An answer already begun can't be ended well.

    It leaves the WSGI server without the last chunk of the chunked coding,
    so that no caller takes the answer for a whole one.
    """


class Caller:
    """The caller's side of one request.

    Parameters
    ----------
    sock : socket
        The connection.
    start_response : callable
        Of the WSGI server.
    write_seconds : float
        How long one write may wait for a caller that does not read.
    """

    __slots__ = (
        '_socket',
        '_start_response',
        '_write',
        '_watcher',
        '_greenlet',
        '_write_seconds',
        'started',
        'closing',
        'note',
    )

    def __init__(
        self,
        sock: socket.socket,
        start_response: typing.Callable[..., typing.Any],
        *,
        write_seconds: float,
    ) -> None:
        self._socket = sock
        self._start_response = start_response
        self._write: typing.Callable[[bytes], None] | None = None
        self._watcher: typing.Any = None
        self._greenlet = greenlet.getcurrent()
        self._write_seconds = write_seconds
        self.started = False
        # Whether the connection ends with this answer.
        self.closing = False
        # Of a routed request, once it is known what it needs.
        self.note: notes.Note | None = None

    def list_fields(self) -> dict[str, typing.Any]:
        """Return what its request's last line tells of it."""
        return {} if self.note is None else self.note.list_fields()

    def watch(self) -> None:
        """Throw CallerLeft into this greenlet when the caller goes.

        A caller that leaves while its request is queued, or before the
        first byte, would else be noticed only when an answer is written,
        and an engine would work for nobody until then.
        """
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._look)

    def check(self) -> None:
        """Raise CallerLeft if the caller is known to be gone.

        The loop may be late to tell: asked before a request is sent on.
        """
        if self._peek() == b'':
            raise CallerLeft()

    def ignore(self) -> None:
        """Stop watching."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _look(self) -> None:
        # Runs in the hub, so it must not wait. Bytes mean a next request
        # that was sent early: from then on only writing shows a departure.
        data = self._peek()
        if data is None:
            return
        self._watcher.stop()
        if not data:
            self._greenlet.throw(CallerLeft())

    def _peek(self) -> bytes | None:
        """Return a byte that waits, b'' at the end, None if there is none."""
        try:
            return self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b''

    def begin(self, reply: replies.Reply, request_id: str) -> None:
        """Send the status line and headers, with the first write."""
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
        CallerLeft
            The connection is gone, or its caller does not read.
        """
        try:
            self._write(data)
        except OSError:
            # The same as a caller that is seen to leave. One that reads
            # nothing would hold an engine's slot for as long as it likes.
            raise CallerLeft() from None
