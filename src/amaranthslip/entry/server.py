"""HTTP server for callers: gevent's server with limits on each connection.

gevent's server waits indefinitely for a request's headers, does not limit
their number, and answers malformed requests with an empty body. This handler
limits time, bytes and connections, and answers in JSON.
"""

import contextlib
import functools
import logging
import random as random_
import re
import struct
import time
import typing
import uuid

import gevent
from gevent import lock
from gevent import pool
from gevent import pywsgi
from gevent import socket

from amaranthslip.entry import application as application_
from amaranthslip.entry import blocked_writes
from amaranthslip.entry import chunks
from amaranthslip.entry import fields
from amaranthslip.entry import held
from amaranthslip.entry import progress as progress_
from amaranthslip.entry import receiving
from amaranthslip.entry import replies
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.platform import headers as wire
from amaranthslip import reading
from amaranthslip import settings as settings_

_log = logging.getLogger(__name__)

# Limits in bytes and seconds on reading, and discarding, what a refused caller
# still sends. Closing at once would reset the connection, and the caller
# could lose the answer.
_LINGER_BYTES = 262144
_LINGER_SECONDS = 1.0
# The SO_LINGER value with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Largest first piece of a body that is copied, to be sent with the headers.
_MAX_COPIED_BYTES = 65536
# Bytes that a request counts as, beside its head, until other greenlets run:
# requests that were sent ahead and are refused are handled without a wait.
_REQUEST_BYTES = 16384
# Connections that are accepted in one iteration of the event loop, and that
# wait to be served or until their callers have read a refusal.
_MAX_ACCEPTED = 50
_MAX_REFUSED = 32
# Seconds that a connection waits until one that stands still is closed.
_MAX_CONNECTION_WAIT_SECONDS = 0.1
# Fraction of the connection limit above which a refusal closes its connection,
# because refused callers retry on new connections and keep the old ones.
_CROWDED_FRACTION = 0.5
_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
# RFC 9112, 3. The library splits the line at any white space.
_REQUEST_LINE = re.compile(
    r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [^\x00-\x20\x7f]+ HTTP/1\.[01]\r\n"
)
# Fields of which a request may have only one: readers differ in which one of
# several they use.
_SINGLE_FIELDS = ('Content-Length', 'Transfer-Encoding', 'Host')
_SINGLE_FIELDS += (wire.ATTEMPT_ID,)


class _HeaderTimeout(Exception):
    """The headers did not arrive within `limits.header_seconds`."""


def _build_header_error(problem: str, status: int) -> errors.RequestRefused:
    reason = 'headers_too_large' if status == 431 else 'malformed'
    return errors.RequestRefused(
        reason,
        f'the headers {problem}; send a request as RFC 9112 has it',
        status=status,
    )


def _find_head_end(data: bytearray, searched: int, *, max_bytes: int) -> int:
    """Return the length of a head's fields and empty line, or 0.

    Parameters
    ----------
    searched : int
        Number of bytes that were looked at before.

    Raises
    ------
    RequestRefused
        A line ends without CR. Only some servers end a line there.
    """
    if data.startswith(_LINE_END):
        # Without fields, the next empty line is that of another request.
        return len(_LINE_END)
    start = max(0, searched - len(_HEAD_END) + 1)
    end = data.find(_HEAD_END, start, max_bytes) + len(_HEAD_END)
    if end < len(_HEAD_END):
        end = 0
    stop = end or max_bytes
    if data.count(b'\n', searched, stop) != data.count(
        _LINE_END, max(0, searched - 1), stop
    ):
        raise _build_header_error('hold a line without CRLF', 400)
    return end


def _check_framing(headers: fields.Fields, version: str) -> None:
    """Refuse a head whose body two servers could end at different places.

    What follows the body for one of them is another request for the other
    (request smuggling).

    Raises
    ------
    RequestRefused
        The headers state no single length or coding; see RFC 9112, 6.
    """
    for name in _SINGLE_FIELDS:
        if len(headers.get_all(name)) > 1:
            raise _build_header_error(f'hold more than one {name}', 400)
    length = headers.get('content-length')
    coding = headers.get('transfer-encoding')
    if length is not None and not (length.isascii() and length.isdigit()):
        raise _build_header_error('hold no valid length', 400)
    if coding is None:
        return
    if coding.lower() != 'chunked':
        raise _build_header_error('name a transfer coding but chunked', 400)
    if length is not None:
        raise _build_header_error('hold both a length and a coding', 400)
    if version == 'HTTP/1.0':
        raise _build_header_error('name a coding that HTTP/1.0 lacks', 400)


# Range of the Retry-After in seconds for requests that are refused because
# this instance is behind schedule. Short enough that another instance can
# still answer within the latency objective of about 0.4 s. Drawn at random, so
# that refused callers don't all retry at the same time.
_BUSY_RETRY_SECONDS = (0.02, 0.1)


class Handler(pywsgi.WSGIHandler):
    """Handles one caller's connection."""

    _timer: gevent.Timeout | None = None
    # Whether closing the connection resets it.
    _resets = False
    _interrupter: reading.Interrupter | None = None
    # Size of the head of the current request, with its request line.
    _head_bytes = 0
    _memory: held.RequestMemory | None = None
    # Collects the headers and the first bytes of the body; None otherwise.
    _collected: bytearray | None = None

    def __init__(
        self,
        sock: socket.socket,
        address: typing.Any,
        server: 'Server',
    ) -> None:
        receiver = receiving.Receiver(sock, server.senders)
        super().__init__(sock, address, server, receiver)

    def read_requestline(self) -> str:
        """Wait for a request, then read its request line."""
        limits = self.server.settings.limits
        if self._interrupter is None:
            self._interrupter = reading.Interrupter(self.server.turns)
        self._interrupter.note_received(self._head_bytes + _REQUEST_BYTES)
        if not self._wait_for_request():
            return ''
        self._memory = held.RequestMemory(self.server.memory)
        self.rfile.begin_request(self._memory)
        self._timer = gevent.Timeout.start_new(
            limits.header_seconds, _HeaderTimeout()
        )
        try:
            return super().read_requestline()
        except _HeaderTimeout:
            self._stop_timer()
            self._refuse(_build_timeout_error(limits.header_seconds))
        except receiving.CallerEvicted:
            self._stop_timer()
            self._refuse(receiving.build_stalled_error())
        except errors.RequestRefused as error:
            self._stop_timer()
            self._refuse(error)
        return ''

    def _wait_for_request(self) -> bool:
        """Return whether the first byte of a request arrives in time."""
        seconds = self.server.settings.limits.keep_alive_seconds
        try:
            with gevent.Timeout(seconds, False):
                return bool(self.rfile.peek(1))
        except receiving.CallerEvicted:
            pass
        return False

    def read_request(self, raw_requestline: str) -> bool:
        """Read and validate the headers."""
        try:
            if not _REQUEST_LINE.fullmatch(raw_requestline):
                raise _build_header_error(
                    'begin with no request line of HTTP/1', 400
                )
            if not super().read_request(raw_requestline):
                return False
        finally:
            self._stop_timer()
        if self.command == 'CONNECT':
            # Its answer would begin a tunnel, which ends the framing.
            raise _build_header_error('ask for a tunnel', 400)
        if self.request_version == 'HTTP/1.0' or self._asks_to_close():
            # A caller of HTTP/1.0 finds the end of a stream, which has no
            # length, by the end of the connection.
            self.close_connection = True
        return True

    def _asks_to_close(self) -> bool:
        return any(
            'close' in [each.strip(' \t') for each in value.lower().split(',')]
            for value in self.headers.get_all('connection')
        )

    def MessageClass(self, *args: typing.Any) -> fields.Fields:
        """Parse the header lines; the method name is set by the server.

        The framing is checked here, because the server deletes a length that
        stands beside a chunked coding.
        """
        try:
            headers = fields.Fields(self._read_header_lines())
        except fields.FieldsInvalid as error:
            raise _build_header_error(str(error), 400) from None
        _check_framing(headers, self.request_version)
        return headers

    def _read_header_lines(self) -> list[bytes]:
        """Return the header lines that precede the empty line.

        They are taken together once all have arrived: line by line, many heads
        of some thousand short fields would delay all other requests.
        """
        max_bytes = self.server.settings.limits.header_bytes
        block = self.rfile.read_until(
            functools.partial(_find_head_end, max_bytes=max_bytes), max_bytes
        )
        if block != _LINE_END and not block.endswith(_HEAD_END):
            if len(block) < max_bytes:
                raise _build_header_error('end before their empty line', 400)
            raise _build_header_error(
                f'are longer than {max_bytes} bytes', 431
            )
        lines = block.removesuffix(_LINE_END).split(_LINE_END)[:-1]
        self._head_bytes = len(self.requestline) + len(block)
        head = self._memory.head
        estimate = held.estimate_head(self._head_bytes, len(lines))
        held.reserve(head, max(0, estimate - head.count))
        return lines

    def get_environ(self) -> application_.Environ:
        """Add the socket, the raw target and the memory to the environ."""
        environ = super().get_environ()
        self.wsgi_input = environ['wsgi.input'] = self._build_input()
        environ[application_.SOCKET] = self.socket
        environ[application_.TARGET] = self.path
        environ[application_.MEMORY] = self._memory
        # The environ holds the same values.
        self.headers = None
        return environ

    def _build_input(self) -> chunks.LengthInput | chunks.ChunkedInput:
        source = self.wsgi_input
        if source.chunked_input:
            return chunks.ChunkedInput(
                source.rfile,
                source.socket,
                interrupter=self._interrupter,
                max_line_bytes=self.server.settings.limits.header_bytes,
            )
        return chunks.LengthInput(
            source.rfile,
            source.content_length,
            source.socket,
            interrupter=self._interrupter,
        )

    def handle_one_request(self) -> typing.Any:
        """Handle one request; an overlong request line gets a JSON body."""
        try:
            result = super().handle_one_request()
        finally:
            self._stop_timer()
            self._end_request()
        if not isinstance(result, tuple):
            return result
        status, data = result
        if status == '414':
            data = self._encode_error_reply(
                errors.RequestRefused(
                    'target_too_long',
                    'the request line is too long; shorten the target',
                    status=414,
                )
            )[1]
        self._send_error(data)
        return None

    def _end_request(self) -> None:
        if self._memory is not None:
            self._memory.release()
            self._memory = None
            self.rfile.end_request()

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: typing.Any = None,
    ) -> typing.Callable[[bytes], None]:
        """Set the answer's head; it says if the connection is closed."""
        names = [name.lower() for name, _ in headers]
        if self.close_connection and 'connection' not in names:
            headers = [*headers, ('Connection', 'close')]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        """Answer; the request is in progress until all is sent."""
        with self.server.progress.track():
            super().handle_one_response()
        self._forget_request()
        if self._resets or self.rfile.evicted:
            return
        if self.close_connection:
            self._linger()
        else:
            self.socket.settimeout(None)

    def _forget_request(self) -> None:
        """Drop what a kept connection would hold until its next request."""
        self.environ = self.wsgi_input = self.result = None
        self.requestline = self.path = self.response_headers = None

    def _write_with_headers(self, data: bytes) -> None:
        if len(data) > _MAX_COPIED_BYTES:
            super()._write_with_headers(data)
            return
        # The library sends the headers and the data by two system calls.
        self._collected = bytearray()
        try:
            super()._write_with_headers(data)
            collected = self._collected
        finally:
            self._collected = None
        super()._sendall(collected)

    def _sendall(self, data: bytes) -> None:
        if self._collected is not None:
            self._collected += data
            return
        self.response_length += len(data)
        self._send(data)

    def _send(self, data: bytes) -> None:
        """Send bytes; the socket's timeout applies to waits without progress.

        The library's timeout applies to the whole, and would cut off a caller
        that reads a long answer slowly but steadily.
        """
        try:
            sent_count = self.socket.send(data, 0, 0.0)
        except BlockingIOError:
            sent_count = 0
        if sent_count < len(data):
            memory = self.server.memory
            with memory.track_blocked(self.socket, self._memory) as write:
                self._send_blocked(write, memoryview(data)[sent_count:])

    def _send_blocked(
        self, write: blocked_writes.BlockedWrite, data: memoryview
    ) -> None:
        while data:
            started = time.monotonic()
            try:
                sent_count = self.socket.send(data)
            except socket.timeout:
                # The kernel reports a socket as writable only after much of
                # its buffer has been received.
                write.measure()
                if write.stalled_since < started:
                    raise
            else:
                write.measure(sent_count)
                data = data[sent_count:]

    def log_request(self) -> None:
        """Do nothing: the application logs each request with its id."""

    def _connection_upgrade_requested(self) -> bool:
        # Upgrades are not supported. The server would read the body of a
        # request treated as an upgrade up to the end of the connection.
        return False

    def _send_error_response_if_possible(self, error_code: int) -> None:
        # Only two cases get here, and neither can take an error answer: the
        # caller has disconnected, or a stream is cut off on purpose.
        self.close_connection = True
        if self._ends_with_connection():
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            self._resets = True

    def _ends_with_connection(self) -> bool:
        """Return whether the answer's end is that of its connection.

        A regular close would make a part of such an answer look whole.
        """
        return (
            self.headers_sent
            and not self.response_use_chunked
            and self.provided_content_length is None
        )

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, _HeaderTimeout):
            limits = self.server.settings.limits
            ex = _build_timeout_error(limits.header_seconds)
        elif isinstance(ex, receiving.CallerEvicted):
            ex = receiving.build_stalled_error()
        elif not isinstance(ex, errors.RequestRefused):
            ex = _build_header_error(f'can not be read ({ex})', 400)
        return self._encode_error_reply(ex)

    def _encode_error_reply(
        self, error: errors.RequestRefused
    ) -> tuple[str, bytes]:
        self.server.metrics.count('refusals', error.reason)
        request_id = uuid.uuid4().hex
        reply = replies.describe_error(error).build_reply(
            request_id, fractions=True
        )
        _log.info(
            'connection_refused',
            extra={'request_id': request_id, 'detail': str(error)},
        )
        return (
            replies.describe_status(reply.status),
            encode_reply(reply, request_id),
        )

    def _refuse(self, error: errors.RequestRefused) -> None:
        self._send_error(self._encode_error_reply(error)[1])

    def _send_error(self, data: bytes) -> None:
        """Send an answer after which the connection is closed."""
        try:
            self.socket.sendall(data)
        except OSError:
            # The caller has left.
            return

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _linger(self) -> None:
        sock, deadline = self.socket, time.monotonic() + _LINGER_SECONDS
        received = 0
        try:
            sock.shutdown(socket.SHUT_WR)
            while received < _LINGER_BYTES:
                sock.settimeout(max(deadline - time.monotonic(), 0.001))
                data = sock.recv(65536)
                if not data:
                    return
                received += len(data)
        except OSError:
            return


def _build_timeout_error(seconds: float) -> errors.RequestRefused:
    return errors.RequestRefused(
        'header_timeout',
        f'the headers took longer than {seconds:g} s; send them at once',
        status=408,
    )


def encode_reply(reply: replies.Reply, request_id: str) -> bytes:
    """Return the bytes of a complete answer that is sent without WSGI."""
    lines = [f'HTTP/1.1 {replies.describe_status(reply.status)}']
    lines += [f'{name}: {value}' for name, value in reply.headers]
    lines += [
        f'Content-Length: {len(reply.body)}',
        f'X-Request-Id: {request_id}',
        'Connection: close',
    ]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + reply.body


class Server(pywsgi.WSGIServer):
    """Listens for callers and refuses connections over the limit."""

    handler_class = Handler

    def __init__(
        self,
        listener: typing.Any,
        application: application_.Application,
        settings: settings_.Settings,
        metrics: metrics_.Metrics,
        progress: progress_.Progress,
        *,
        refuses_connection: typing.Callable[[str], bool] = lambda host: False,
    ) -> None:
        self._refuses_connection = refuses_connection
        self._random = random_.Random()
        # Connections that wait for others to close, and that are refused.
        self._refused_count = 0
        self.settings = settings
        self.metrics = metrics
        self.progress = progress
        limits_buffers = bool(settings.limits.memory_megabytes)
        self.senders = receiving.Senders(
            metrics, limits_buffers=limits_buffers
        )
        self.memory = held.Memory(settings, metrics, self.senders)
        # Shared by all who receive more than others.
        self.turns = lock.Semaphore()
        self.max_accept = _MAX_ACCEPTED
        # The pool lets `stop` find the connections. It has no size limit, so
        # that a connection over the limit gets a refusal instead of waiting.
        super().__init__(
            listener,
            application,
            backlog=held.count_backlog(settings),
            spawn=pool.Pool(),
            log=None,
            error_log=None,
        )

    def init_socket(self) -> None:
        """Listen; connections that are not accepted yet hold little."""
        super().init_socket()
        if self.senders.limits_buffers:
            self.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                held.UNACCEPTED_BYTES // 2,
            )

    def handle(self, sock: socket.socket, address: typing.Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._refuses_connection(address[0]):
            self._refuse(sock, build_busy_error(self._random))
            return
        if not self._find_room():
            self._refuse(sock, _build_full_error())
            return
        if self.senders.limits_buffers:
            receiving.limit_buffer(sock)
        self._count_connection(1)
        try:
            super().handle(sock, address)
        finally:
            self._count_connection(-1)
            self.memory.queue.note_released()

    def _count_connection(self, change: int) -> None:
        memory = self.memory
        memory.connections += change
        limit = held.count_connections(self.settings)
        self.progress.nearly_full = (
            memory.connections > _CROWDED_FRACTION * limit
        )

    def _find_room(self) -> bool:
        """Return whether a connection may be open, one closed if need be."""
        if self.memory.has_connection_room():
            return True
        if self._refused_count >= _MAX_REFUSED:
            return False
        with self._count_refused():
            deadline = time.monotonic() + _MAX_CONNECTION_WAIT_SECONDS
            while time.monotonic() < deadline:
                if not self.memory.make_room(held.CONNECTION_BYTES):
                    return False
                self.memory.queue.wait_for_release(
                    _MAX_CONNECTION_WAIT_SECONDS
                )
                if self.memory.has_connection_room():
                    return True
        return False

    @contextlib.contextmanager
    def _count_refused(self) -> typing.Iterator[None]:
        self._refused_count += 1
        try:
            yield
        finally:
            self._refused_count -= 1

    def _refuse(
        self, sock: socket.socket, error: errors.RequestRefused
    ) -> None:
        """Answer a connection without reading its request."""
        self.metrics.count('refusals', error.reason)
        request_id = uuid.uuid4().hex
        failure = replies.describe_error(error)
        reply = failure.build_reply(request_id, fractions=True)
        try:
            sock.settimeout(_LINGER_SECONDS)
            sock.sendall(encode_reply(reply, request_id))
            if self._refused_count < _MAX_REFUSED:
                with self._count_refused():
                    sock.shutdown(socket.SHUT_WR)
                    sock.recv(65536)
        except OSError:
            return


def _build_full_error() -> errors.RequestRefused:
    return errors.RequestRefused(
        'connections',
        'this instance has as many connections as it may; try again, or keep'
        ' connections alive and share them',
        retry_after=1.0,
    )


def build_busy_error(random: random_.Random) -> errors.RequestRefused:
    """Return the refusal of an instance that is behind with its work."""
    return errors.RequestRefused(
        'instance_busy',
        'this instance has no time for the request; send it again, another'
        ' instance may have room',
        retry_after=random.uniform(*_BUSY_RETRY_SECONDS),
    )
