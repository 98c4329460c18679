"""HTTP responses of backend servers, read incrementally."""

import os
import time
import typing

import gevent
from gevent import socket
from geventhttpclient import response

from amaranthslip.backends import idling
from amaranthslip.backends import outgoing
from amaranthslip.backends import pools
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip import reading

# Maximum bytes per recv() call; a chunk of a stream is far smaller.
_RECEIVE_BYTES = 65536
# The same for a stream. It is held, in several copies, while its caller does
# not read; the events that arrive together rarely exceed it.
_STREAM_RECEIVE_BYTES = 8192
# A timeout of 0 would make a socket non-blocking.
_MIN_TIMEOUT_SECONDS = 0.001
# Digits of a length that counts; the conversion of thousands would fail.
_MAX_LENGTH_DIGITS = 18
_MIN_STATUS = 100
_MAX_STATUS = 599
_CONTINUE = 100
_SWITCHING = 101
# Seconds that a server has to acknowledge the rest of a request after it ended
# its side of the connection, and between two looks at that.
_ACKNOWLEDGE_SECONDS = 1.0
_ACKNOWLEDGE_POLL_SECONDS = 0.01
# Bytes of the bodies of responses to earlier requests that are skipped.
_MAX_SKIPPED_BYTES = 1048576


class _Parser(response.HTTPResponse):
    """The library's parser, extended to collect body chunks on arrival."""

    def __init__(self, request: outgoing.BackendRequest) -> None:
        super().__init__(method=request.method)
        self.body_chunks: list[bytes] = []
        # Whether the message being parsed is a response to an earlier request.
        self.stale = False
        self.skipped_byte_count = 0
        # Whether the server asked for the request's body.
        self.body_wanted = False
        self._id_header = request.id_header.lower()
        self._request_id = request.request_id

    @property
    def headers_ready(self) -> bool:
        """Whether the headers of the final response are complete."""
        return (
            self.headers_complete and not self.stale and self.get_code() >= 200
        )

    @property
    def is_delimited(self) -> bool:
        """Whether the response headers delimit the body."""
        return 'content-length' in self or 'transfer-encoding' in self

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises
        ------
        HTTPParseError
            The bytes are no valid HTTP, or a second response begins.
        """
        # The library's own method ignores errors after the headers of an
        # answer to HEAD, also where the answer was an earlier one, and takes
        # the headers that were read until then for whole.
        super(response.HTTPResponse, self).feed(data)

    def _on_header_field(self, string: str) -> None:
        if not self.headers_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        # Fields after a chunked body are trailers. Merged with the headers,
        # they could change what the headers say of the answer.
        if not self.headers_complete:
            super()._on_header_value(string)

    def _on_headers_complete(self) -> int | bool | None:
        result = super()._on_headers_complete()
        self._check_status()
        self._check_framing()
        if self.get_code() == _CONTINUE:
            self.body_wanted = True
        # A server that responds to a request twice leaves the second response
        # on the connection, where it would be mistaken for the response to
        # the next request. Such a response echoes another request id and is
        # skipped; the response to the current request follows.
        echoed = self.get(self._id_header)
        self.stale = (
            self.get_code() >= 200
            and echoed is not None
            and echoed != self._request_id
        )
        return result

    def _check_status(self) -> None:
        """Refuse a status that is none (RFC 9110, 15), or that ends HTTP.

        One below 200 would be skipped like an interim response.
        """
        code = self.get_code()
        if not _MIN_STATUS <= code <= _MAX_STATUS or code == _SWITCHING:
            raise response.HTTPProtocolViolationError(f'the status {code}')

    def _check_framing(self) -> None:
        """Refuse a response that HTTP clients could end at two places.

        The parser refuses a length beside a coding and repeated lengths.
        """
        coding = self.get('transfer-encoding')
        if coding is None:
            return
        if self.get_http_version() != 'HTTP/1.1' or (
            not isinstance(coding, str) or coding.lower() != 'chunked'
        ):
            raise response.HTTPProtocolViolationError(
                f'the transfer coding {coding!r} in {self.get_http_version()}'
            )

    def _on_body(self, buf: bytearray) -> None:
        if self.stale:
            self.skipped_byte_count += len(buf)
        else:
            self.body_chunks.append(bytes(buf))

    def _on_message_begin(self) -> None:
        # If a server responds twice, the body of its second response would be
        # appended to the first. Only a 1xx response, or a response to an
        # earlier request, may be followed by another response.
        if self.message_complete and not self.stale and self.get_code() >= 200:
            raise response.HTTPProtocolViolationError('a second answer')
        super()._on_message_begin()
        self.stale = False


class Response:
    """The response of one backend server to one request.

    The object owns the connection. After the last byte of the body the
    connection is returned to the pool; in every other case it is closed, which
    cancels the work at an engine. `status` and `headers` are set by
    `read_headers`, before the caller of `Connections.send` gets the object.
    """

    __slots__ = (
        'status',
        'headers',
        'content_type',
        '_parser',
        '_socket',
        '_pool',
        '_reusable',
        '_reuse',
        '_accept_unframed',
        '_connection_ended',
        '_send_error',
        '_idle_watch',
        '_head_deadline',
        '_head_byte_count',
        '_interrupter',
        '_receive_bytes',
    )

    def __init__(
        self,
        sock: socket.socket,
        pool: pools.ServerPool,
        request: outgoing.BackendRequest,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.content_type = ''
        self._parser = _Parser(request)
        self._socket: socket.socket | None = sock
        self._pool = pool
        # Cleared when bytes that belong to no response follow the response.
        self._reusable = True
        self._reuse = request.reuse
        self._accept_unframed = request.accept_unframed
        self._connection_ended = False
        # What broke the connection while the request was sent.
        self._send_error: OSError | None = None
        self._idle_watch: idling.IdleWatch | None = None
        # Monotonic time until which the headers have to be complete.
        self._head_deadline = 0.0
        # Bytes received since the latest ones of a body.
        self._head_byte_count = 0
        self._interrupter = reading.Interrupter()
        self._receive_bytes = _RECEIVE_BYTES

    def send(self, data: bytes) -> None:
        """Send the encoded request.

        A server may respond and close the connection before it has read a
        long body, for example with 413. The send then fails although a
        response can still be read, so connection errors other than a timeout
        are noted here and raised once nothing more can be read. The kernel
        reports an error once: a receive after it looks like an orderly end.

        Raises
        ------
        BackendFailed
            The server read nothing until the send timed out.
        """
        try:
            self._socket.sendall(data)
        except socket.timeout:
            raise self._close_with_failure(
                'send_timeout', 'took nothing for too long', status=504
            ) from None
        except OSError as error:
            self._send_error = error
            self._reusable = False

    def wait_until_body_wanted(self) -> bool:
        """Wait until the server asks for the body or responds without it.

        Returns
        -------
        bool
            False if the final response has come instead.

        Raises
        ------
        BackendFailed
            Neither came in time, or the connection ended.
        """
        parser = self._parser
        while not parser.body_wanted and not parser.headers_ready:
            self._receive_head()
        if parser.headers_ready:
            # The server may still read what comes next as the body.
            self._reusable = False
            return False
        return True

    def read_headers(self) -> None:
        """Wait for the headers of the final response.

        Raises
        ------
        BackendFailed
            No headers arrived in time, the connection ended, or the response
            is malformed.
        """
        parser = self._parser
        while not parser.headers_ready:
            self._receive_head()
        self.status = parser.get_code()
        self.headers = list(parser.items())
        self.content_type = str(parser.get('content-type', ''))

    def _receive_head(self) -> None:
        left_seconds = self._head_deadline - time.monotonic()
        self.set_timeout(max(left_seconds, _MIN_TIMEOUT_SECONDS))
        self._receive()

    @property
    def idle_seconds(self) -> float | None:
        """The server's timeout for idle connections in seconds, or None."""
        return pools.read_idle_seconds(self._parser.get('keep-alive') or '')

    @property
    def response_started(self) -> bool:
        """Whether any byte of the response has arrived."""
        return self._parser.message_begun and not self._parser.stale

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of each subsequent send and receive, in seconds."""
        if self._socket is not None:
            self._socket.settimeout(seconds)

    def set_head_timeout(self, seconds: float) -> None:
        """Limit the time until the headers are complete, in seconds."""
        self._head_deadline = time.monotonic() + seconds
        self.set_timeout(seconds)

    def set_idle_timeout(self, seconds: float) -> None:
        """Limit each subsequent wait for bytes, in seconds, with one timer."""
        self._stop_idle_watch()
        if self._socket is not None:
            self._socket.settimeout(None)
            self._idle_watch = idling.IdleWatch(seconds)

    def limit_receive(self) -> None:
        """Receive less at once, because the response is passed on at once."""
        self._receive_bytes = _STREAM_RECEIVE_BYTES

    @property
    def complete(self) -> bool:
        """Whether the last byte of the body is known to have arrived."""
        return self._parser.message_complete and not self._connection_ended

    def read(self) -> bytes:
        """Return the next bytes of the body, or b'' at its end.

        Raises
        ------
        BackendFailed
            The connection ended or timed out before the last byte. A response
            without a length or a last chunk, which ends when the connection
            is closed, counts as cut, because it can't be distinguished from
            a truncated one, except for a request with `accept_unframed`.
        """
        parser = self._parser
        while not parser.body_chunks:
            if parser.message_complete:
                self._release()
                return b''
            if self._connection_ended:
                self.close()
                return b''
            self._receive()
        body_chunks = parser.body_chunks
        data = (
            body_chunks[0] if len(body_chunks) == 1 else b''.join(body_chunks)
        )
        body_chunks.clear()
        return data

    def read_body(
        self,
        max_bytes: int,
        reserve: typing.Callable[[int], object] = lambda count: None,
    ) -> bytes:
        """Read and return the whole body.

        Parameters
        ----------
        reserve : callable
            Called with a number of bytes before so many are held; may wait,
            and nothing is read meanwhile.

        Raises
        ------
        BackendFailed
            The body was cut, or is longer than `max_bytes`.
        """
        body_chunks, length = [], 0
        reserved = min(self._read_length(), max_bytes)
        reserve(reserved)
        while chunk := self.read():
            body_chunks.append(chunk)
            length += len(chunk)
            if length > reserved:
                reserve(len(chunk))
            if length > max_bytes:
                raise self._close_with_failure(
                    'answer_too_large',
                    f'sent an answer of more than {max_bytes} bytes; ask'
                    ' for less, or raise limits.answer_bytes',
                )
        return b''.join(body_chunks)

    def _read_length(self) -> int:
        """Return the length of the body in bytes by its header, or 0."""
        if self._parser.message_complete:
            # The answer to a HEAD request states a length, and has no body.
            return sum(map(len, self._parser.body_chunks))
        length = str(self._parser.get('content-length', ''))
        if not length.isdecimal() or len(length) > _MAX_LENGTH_DIGITS:
            return 0
        return int(length)

    def drain(self, seconds: float) -> None:
        """Read the rest of a response whose content is known to be complete.

        Closes the connection if the end has not arrived after `seconds`.
        Without this read, the connection of most streams would have to be
        closed, because the last chunk often arrives in a separate packet.
        """
        deadline = time.monotonic() + seconds
        try:
            while not self._parser.message_complete:
                self.set_timeout(max(deadline - time.monotonic(), 0.001))
                self._receive()
            self._release()
        except errors.BackendFailed:
            self.close()

    def close(self) -> None:
        """Close the connection, unless it was returned to the pool."""
        self._stop_idle_watch()
        if self._socket is not None:
            sock, self._socket = self._socket, None
            self._pool.release_socket(sock)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def _receive(self) -> None:
        idle_watch = self._idle_watch
        try:
            if idle_watch is None:
                data = self._socket.recv(self._receive_bytes)
            else:
                idle_watch.waiting = True
                try:
                    data = self._socket.recv(self._receive_bytes)
                finally:
                    idle_watch.waiting = False
                idle_watch.record_activity()
        except (socket.timeout, idling.IdleTimeout):
            data = self._receive_arrived()
            if data is None:
                reason = 'idle' if self.status else 'first_byte_timeout'
                raise self._close_with_failure(
                    reason, 'sent nothing for too long', status=504
                ) from None
        except OSError as error:
            raise self._close_with_failure(
                'reset', f'broke off: {error}'
            ) from None
        if not data:
            self._end_connection()
            return
        try:
            self._parser.feed(data)
        except response.HTTPParseError as error:
            # A complete response is valid even if more bytes follow it, but
            # its connection must not be reused.
            parser = self._parser
            if not (parser.message_complete and parser.headers_ready):
                raise self._close_with_failure(
                    'malformed_answer', f'sent no valid HTTP: {error}'
                ) from None
            self._reusable = False
        self._limit_head(len(data))
        self._interrupter.note_received(len(data))

    def _receive_arrived(self) -> bytes | None:
        """Return what has arrived, or None.

        An event loop that is behind may report a timeout before the bytes that
        arrived in time.
        """
        try:
            return self._socket._sock.recv(self._receive_bytes)
        except BlockingIOError:
            return None
        except OSError as error:
            raise self._close_with_failure(
                'reset', f'broke off: {error}'
            ) from None

    def _end_connection(self) -> None:
        """Handle the end of the connection: that of an unframed body, or none.

        Raises
        ------
        BackendFailed
            The response is not whole.
        """
        if (
            not self._accept_unframed
            or not self.status
            or self._parser.is_delimited
        ):
            raise self._close_with_failure(
                'cut', 'closed the connection too early'
            )
        error = self._send_error or self._find_error()
        if error is not None:
            raise self._close_with_failure('reset', f'broke off: {error}')
        self._connection_ended = True

    def _find_error(self) -> OSError | None:
        """Return what broke the connection, although its end was orderly.

        A server that closes its connection before it has got all of the
        request resets it when the rest arrives.
        """
        deadline = time.monotonic() + _ACKNOWLEDGE_SECONDS
        while True:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                return OSError(code, os.strerror(code))
            if not sockets.count_unsent_bytes(self._socket):
                return None
            if time.monotonic() >= deadline:
                return OSError('the request was not received')
            gevent.sleep(_ACKNOWLEDGE_POLL_SECONDS)

    def _limit_head(self, byte_count: int) -> None:
        """Count bytes that may belong to no body."""
        parser = self._parser
        if parser.body_chunks or (
            parser.message_complete and parser.headers_ready
        ):
            self._head_byte_count = 0
            return
        skipped = parser.skipped_byte_count
        self._head_byte_count += byte_count
        if (
            skipped > _MAX_SKIPPED_BYTES
            or self._head_byte_count - skipped > reading.MAX_HEAD_BYTES
        ):
            raise self._close_with_failure(
                'malformed_answer',
                f'sent more than {reading.MAX_HEAD_BYTES} bytes that belong'
                ' to no body',
            )

    def _release(self) -> None:
        if self._socket is None:
            return
        if not self._reusable or self._parser.should_close():
            self.close()
            return
        self._pool.close_stale()
        if self._reuse is outgoing.Reuse.NEVER and self._pool.has_idle:
            # Each such request opens a connection. If all of them stayed
            # open, they would reach the server's limit.
            self.close()
            return
        self._stop_idle_watch()
        sock, self._socket = self._socket, None
        sock.settimeout(None)
        sockets.set_keepalive(sock, False)
        self._pool.return_socket(sock)

    def _stop_idle_watch(self) -> None:
        if self._idle_watch is not None:
            self._idle_watch.close()
            self._idle_watch = None

    def _close_with_failure(
        self, reason: str, text: str, *, status: int = 502
    ) -> errors.BackendFailed:
        self.close()
        return errors.BackendFailed(
            reason,
            f'the backend server {text}; the request may have run',
            sent=True,
            status=status,
        )
