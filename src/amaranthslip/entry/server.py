"""The HTTP server for callers: gevent's, with limits on each connection.

gevent's server waits without an end for a request's headers, reads as many
as come, and answers mistakes with an empty body. This handler bounds the
time, the bytes and the connections, and answers in JSON.
"""

import logging
import time
import typing
import uuid

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket

from amaranthslip.entry import application as application_
from amaranthslip.entry import fields
from amaranthslip.entry import progress as progress_
from amaranthslip.entry import replies
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_

_log = logging.getLogger(__name__)

# Bytes and seconds for which a refused caller's further bytes are read:
# closing at once would reset the connection, and the answer be lost.
_LINGER_BYTES = 262144
_LINGER_SECONDS = 1.0
# Connections that may wait to be accepted: a balancer that lost another
# instance brings its callers all at once.
_BACKLOG = 1024
# Bytes that an open connection takes, with its greenlet and buffers, and the
# rest of an instance. Unbounded, a flood of callers that come back on new
# connections and keep the old ones ends an instance for its memory.
_CONNECTION_BYTES = 32e3
_OTHER_BYTES = 64e6
# The part of the connections that may be open beyond which refusals close
# theirs: whoever is refused comes back on a new one.
_CROWDED_PART = 0.5
_LAST_LINES = (b'\r\n', b'\n')


class _TooSlow(Exception):
    """The headers took too long."""


def _refuse_headers(what: str, status: int) -> errors.RequestRefused:
    reason = 'headers_too_large' if status == 431 else 'malformed'
    return errors.RequestRefused(
        reason,
        f'the headers {what}; send a request as RFC 9112 has it',
        status=status,
    )


class Handler(pywsgi.WSGIHandler):
    """One caller's connection."""

    _timer: gevent.Timeout | None = None

    def read_requestline(self) -> str:
        """Wait for a request, then read its first line."""
        limits = self.server.settings.limits
        begun = b''
        with gevent.Timeout(limits.keep_alive_seconds, False):
            begun = self.rfile.peek(1)
        if not begun:
            return ''
        self._timer = gevent.Timeout.start_new(
            limits.header_seconds, _TooSlow()
        )
        try:
            return super().read_requestline()
        except _TooSlow:
            self._stop_timer()
            self._refuse(_describe_slow(limits.header_seconds))
        return ''

    def read_request(self, raw_requestline: str) -> bool:
        """Read and check the headers."""
        try:
            if not super().read_request(raw_requestline):
                return False
        finally:
            self._stop_timer()
        if self.request_version not in ('HTTP/1.0', 'HTTP/1.1'):
            raise _refuse_headers('name no version of HTTP/1', 400)
        self._check_length()
        return True

    def MessageClass(self, *args: typing.Any) -> fields.Fields:
        """Read the header lines (the server's name for it)."""
        try:
            return fields.Fields(self._read_header_lines())
        except fields.FieldsInvalid as error:
            raise _refuse_headers(str(error), 400) from None

    def _read_header_lines(self) -> list[bytes]:
        """Return the lines before the empty one."""
        most_bytes = left = self.server.settings.limits.header_bytes
        lines = []
        while True:
            line = self.rfile.readline(left + 1)
            left -= len(line)
            if left < 0:
                raise _refuse_headers(
                    f'are longer than {most_bytes} bytes', 431
                )
            if line in _LAST_LINES:
                return lines
            if not line:
                raise _refuse_headers('end before their empty line', 400)
            lines.append(line)

    def get_environ(self) -> application_.Environ:
        """Add what the application needs beyond WSGI."""
        environ = super().get_environ()
        environ[application_.SOCKET] = self.socket
        environ[application_.TARGET] = self.path
        return environ

    def handle_one_request(self) -> typing.Any:
        """Handle one request, with a JSON body for a too long first line."""
        result = super().handle_one_request()
        self._stop_timer()
        if isinstance(result, tuple) and result[0] == '414':
            return self._encode(
                errors.RequestRefused(
                    'target_too_long',
                    'the request line is too long; shorten the target',
                    status=414,
                )
            )
        return result

    def handle_one_response(self) -> None:
        """Answer; the request is in progress until its last byte is out."""
        with self.server.progress.track():
            super().handle_one_response()
        if self.close_connection:
            self._linger()
        else:
            self.socket.settimeout(None)

    def log_request(self) -> None:
        """Do nothing: the application logs each request by its id."""

    def _connection_upgrade_requested(self) -> bool:
        # No upgrade is offered; taken for one, a request would have its
        # body read up to the end of the connection.
        return False

    def _send_error_response_if_possible(self, error_code: int) -> None:
        # Whatever gets here has no words left to send: the caller has left,
        # or a stream is cut off on purpose.
        self.close_connection = True

    def _check_length(self) -> None:
        coding = self.headers.get_all('transfer-encoding')
        if coding and [each.lower() for each in coding] != ['chunked']:
            raise _refuse_headers('name a transfer coding but chunked', 400)
        lengths = self.headers.get_all('content-length')
        # Two lengths, or one such as `+5`, are read differently by
        # different servers: bytes of one request pass for another.
        if len(set(lengths)) > 1 or not all(
            each.isascii() and each.isdigit() for each in lengths
        ):
            raise _refuse_headers('hold no single valid length', 400)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, _TooSlow):
            limits = self.server.settings.limits
            ex = _describe_slow(limits.header_seconds)
        elif not isinstance(ex, errors.RequestRefused):
            ex = _refuse_headers(f'can not be read ({ex})', 400)
        return self._encode(ex)

    def _encode(self, error: errors.RequestRefused) -> tuple[str, bytes]:
        self.server.metrics.count('refusals', error.reason)
        request_id = uuid.uuid4().hex
        reply = replies.describe_error(error).build_reply(request_id)
        _log.info(
            'connection_refused',
            extra={'request_id': request_id, 'detail': str(error)},
        )
        return (
            replies.describe_status(reply.status),
            encode_reply(reply, request_id),
        )

    def _refuse(self, error: errors.RequestRefused) -> None:
        try:
            self.socket.sendall(self._encode(error)[1])
        except OSError:
            return

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _linger(self) -> None:
        sock, until = self.socket, time.monotonic() + _LINGER_SECONDS
        received = 0
        try:
            sock.shutdown(socket.SHUT_WR)
            while received < _LINGER_BYTES:
                sock.settimeout(max(until - time.monotonic(), 0.001))
                data = sock.recv(65536)
                if not data:
                    return
                received += len(data)
        except OSError:
            return


def _describe_slow(seconds: float) -> errors.RequestRefused:
    return errors.RequestRefused(
        'header_timeout',
        f'the headers took longer than {seconds:g} s; send them at once',
        status=408,
    )


def encode_reply(reply: replies.Reply, request_id: str) -> bytes:
    """Return a whole answer's bytes, for connections without WSGI."""
    lines = [f'HTTP/1.1 {replies.describe_status(reply.status)}']
    lines += [f'{name}: {value}' for name, value in reply.headers]
    lines += [
        f'Content-Length: {len(reply.body)}',
        f'X-Request-Id: {request_id}',
        'Connection: close',
    ]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + reply.body


def count_connections(settings: settings_.Settings) -> int:
    """Return how many callers' connections may be open at once.

    As many as the settings say, and as the instance's memory holds where
    that is known.
    """
    limits = settings.limits
    if not limits.memory_megabytes:
        return limits.connections
    room = limits.memory_megabytes * 1e6 - _OTHER_BYTES
    return max(1, min(limits.connections, int(room / _CONNECTION_BYTES)))


class Server(pywsgi.WSGIServer):
    """Listens for callers; more connections than allowed are refused."""

    handler_class = Handler

    def __init__(
        self,
        listener: typing.Any,
        application: application_.Application,
        settings: settings_.Settings,
        metrics: metrics_.Metrics,
        progress: progress_.Progress,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.progress = progress
        self._connections = 0
        # The pool only lets `stop` find the connections; its size is none,
        # so that one too many is answered instead of left waiting.
        super().__init__(
            listener,
            application,
            backlog=_BACKLOG,
            spawn=pool.Pool(),
            log=None,
            error_log=None,
        )

    def handle(self, sock: socket.socket, address: typing.Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        most = count_connections(self.settings)
        if self._connections >= most:
            self._refuse(sock)
            return
        self._connections += 1
        self.progress.crowded = self._connections > _CROWDED_PART * most
        try:
            super().handle(sock, address)
        finally:
            self._connections -= 1
            self.progress.crowded = self._connections > _CROWDED_PART * most

    def _refuse(self, sock: socket.socket) -> None:
        error = errors.RequestRefused(
            'connections',
            'this instance has as many connections as it may; try again, or'
            ' keep connections alive and share them',
            retry_after=1.0,
        )
        self.metrics.count('refusals', error.reason)
        request_id = uuid.uuid4().hex
        reply = replies.describe_error(error).build_reply(request_id)
        try:
            sock.settimeout(_LINGER_SECONDS)
            sock.sendall(encode_reply(reply, request_id))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(65536)
        except OSError:
            return
