"""Answers of backend servers, read as they arrive."""

import time
import typing

from gevent import socket
from geventhttpclient import connectionpool
from geventhttpclient import response

from amaranthslip.backends import idling
from amaranthslip.backends import outgoing
from amaranthslip.backends import pools
from amaranthslip import errors
from amaranthslip.links import sockets

# Bytes a single receive may return; a chunk of a stream is far smaller.
_RECEIVE_BYTES = 65536


class _Parser(response.HTTPResponse):
    """The library's parser, which keeps the body's pieces as they come."""

    def __init__(self, request: outgoing.Outgoing) -> None:
        super().__init__(method=request.method)
        self.pieces: list[bytes] = []
        # Whether the message under way answers an earlier request.
        self.stale = False
        self._id_header = request.id_header.lower()
        self._request_id = request.request_id

    @property
    def ready(self) -> bool:
        """Whether the headers of the final answer are there."""
        return (
            self.headers_complete and not self.stale and self.get_code() >= 200
        )

    @property
    def framed(self) -> bool:
        """Whether the answer says where it ends."""
        return 'content-length' in self or 'transfer-encoding' in self

    def _on_headers_complete(self) -> int | bool | None:
        result = super()._on_headers_complete()
        # A server that answered a request twice leaves the second answer
        # on the connection, where it would be taken for the next request's.
        # It shows by the id of the request that it answers, and is passed
        # over; the right answer comes after it.
        echoed = self.get(self._id_header)
        self.stale = (
            self.get_code() >= 200
            and echoed is not None
            and echoed != self._request_id
        )
        return result

    def _on_body(self, buf: bytearray) -> None:
        if not self.stale:
            self.pieces.append(bytes(buf))

    def _on_message_begin(self) -> None:
        # A server that answers twice would have its second answer's body
        # added to the first's. Only a 1xx answer, or one of an earlier
        # request, may be followed by another.
        if self.message_complete and not self.stale and self.get_code() >= 200:
            raise response.HTTPProtocolViolationError('a second answer')
        super()._on_message_begin()
        self.stale = False


class Answer:
    """One backend server's answer to one request.

    It owns the connection: after the last byte the connection goes back to
    the pool, in every other case it is closed, which cancels the work at an
    engine. `status` and `headers` are there from the start.
    """

    __slots__ = (
        'status',
        'headers',
        'content_type',
        '_parser',
        '_socket',
        '_pool',
        '_reuse',
        '_unframed_ends',
        '_at_end_of_connection',
        '_idle',
    )

    def __init__(
        self,
        sock: socket.socket,
        pool: connectionpool.ConnectionPool,
        request: outgoing.Outgoing,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.content_type = ''
        self._parser = _Parser(request)
        self._socket: socket.socket | None = sock
        self._pool = pool
        # Unless bytes that belong to no answer came after it.
        self._reuse = True
        self._unframed_ends = request.unframed_ends
        self._at_end_of_connection = False
        self._idle: idling.IdleWatch | None = None

    def send(self, data: bytes) -> None:
        """Send the request's bytes.

        A server may answer and close before it has read a long body, such
        as with 413: the send then fails, and the answer is still there to
        be read, so that failure is left to `read_headers`.

        Raises
        ------
        BackendFailed
            The server took nothing for too long.
        """
        try:
            self._socket.sendall(data)
        except socket.timeout:
            raise self._fail(
                'send_timeout', 'took nothing for too long', status=504
            ) from None
        except OSError:
            return

    def read_headers(self) -> None:
        """Wait for the headers of the final answer.

        Raises
        ------
        BackendFailed
            None came in time or the connection ended.
        """
        parser = self._parser
        while not parser.ready:
            self._receive()
        self.status = parser.get_code()
        self.headers = list(parser.items())
        self.content_type = str(parser.get('content-type', ''))

    @property
    def idle_seconds(self) -> float | None:
        """After how long the server closes an idle connection, if it says."""
        return pools.read_idle_seconds(self._parser.get('keep-alive') or '')

    @property
    def begun(self) -> bool:
        """Whether any byte of an answer has arrived."""
        return self._parser.message_begun and not self._parser.stale

    def set_timeout(self, seconds: float) -> None:
        """Let each further wait for bytes last so long, in seconds."""
        if self._socket is not None:
            self._socket.settimeout(seconds)

    def watch_idle(self, seconds: float) -> None:
        """Let no further wait for bytes last longer, in seconds."""
        self._stop_idle()
        if self._socket is not None:
            self._socket.settimeout(None)
            self._idle = idling.IdleWatch(seconds)

    @property
    def complete(self) -> bool:
        """Whether the body's last byte is known to have arrived."""
        return self._parser.message_complete and not self._at_end_of_connection

    def read(self) -> bytes:
        """Return the body bytes that arrive next, b'' after the last.

        Raises
        ------
        BackendFailed
            The connection ended or fell silent before the last byte. An
            answer that ends with its connection, without a length or a last
            chunk, counts as cut, as it can't be told from a whole one, but
            for a request with `unframed_ends`.
        """
        parser = self._parser
        while not parser.pieces:
            if parser.message_complete:
                self._release()
                return b''
            if self._at_end_of_connection:
                self.close()
                return b''
            self._receive()
        pieces = parser.pieces
        data = pieces[0] if len(pieces) == 1 else b''.join(pieces)
        pieces.clear()
        return data

    def read_whole(self, most_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BackendFailed
            It was cut, or is longer than `most_bytes`.
        """
        pieces, length = [], 0
        while piece := self.read():
            pieces.append(piece)
            length += len(piece)
            if length > most_bytes:
                raise self._fail(
                    'answer_too_large',
                    f'sent an answer of more than {most_bytes} bytes; ask'
                    ' for less, or raise limits.answer_bytes',
                )
        return b''.join(pieces)

    def finish(self, seconds: float) -> None:
        """Read the end after the last useful byte, for at most `seconds`.

        Without it every stream would cost a connection: the last chunk
        often comes in a packet of its own.
        """
        until = time.monotonic() + seconds
        try:
            while not self._parser.message_complete:
                self.set_timeout(max(until - time.monotonic(), 0.001))
                self._receive()
            self._release()
        except errors.BackendFailed:
            self.close()

    def close(self) -> None:
        """Close the connection, if the answer still holds it."""
        self._stop_idle()
        if self._socket is not None:
            sock, self._socket = self._socket, None
            self._pool.release_socket(sock)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def _receive(self) -> None:
        idle = self._idle
        try:
            if idle is None:
                data = self._socket.recv(_RECEIVE_BYTES)
            else:
                idle.waiting = True
                data = self._socket.recv(_RECEIVE_BYTES)
                idle.waiting = False
                idle.note()
        except (socket.timeout, idling.Idle):
            reason = 'idle' if self.status else 'first_byte_timeout'
            raise self._fail(
                reason, 'sent nothing for too long', status=504
            ) from None
        except OSError as error:
            raise self._fail('reset', f'broke off: {error}') from None
        if not data:
            self._at_end_of_connection = True
            if self._unframed_ends and self.status and not self._parser.framed:
                return
            raise self._fail('cut', 'closed the connection too early')
        try:
            self._parser.feed(data)
        except response.HTTPParseError as error:
            # A whole answer with bytes after it is still that answer; the
            # parser then asks for the connection to be closed.
            if not self._parser.message_complete:
                raise self._fail(
                    'malformed_answer', f'sent no valid HTTP: {error}'
                ) from None
            self._reuse = False

    def _release(self) -> None:
        if self._socket is None:
            return
        if not self._reuse or self._parser.should_close():
            self.close()
            return
        self._stop_idle()
        sock, self._socket = self._socket, None
        sock.settimeout(None)
        sockets.probe_while_used(sock, False)
        self._pool.return_socket(sock)

    def _stop_idle(self) -> None:
        if self._idle is not None:
            self._idle.close()
            self._idle = None

    def _fail(
        self, reason: str, text: str, *, status: int = 502
    ) -> errors.BackendFailed:
        self.close()
        return errors.BackendFailed(
            reason,
            f'the backend server {text}; the request may have run',
            sent=True,
            status=status,
        )
