"""An HTTP server for one application, separate from callers' traffic."""

import contextlib
import typing

from gevent import pool
from gevent import pywsgi
from gevent import socket

# Simultaneous connections of a load balancer and a metrics collector, which
# connect occasionally.
_MAX_CONNECTIONS = 50
# Seconds that a connection may wait for its client.
_IDLE_SECONDS = 30.0
_MAX_HEAD_BYTES = 16384
_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)

Application = typing.Callable[
    [dict[str, typing.Any], typing.Callable[..., typing.Any]],
    typing.Iterable[bytes],
]


class _LimitedLines:
    """The lines of a request's head, up to a number of bytes in all."""

    __slots__ = ('_reader', '_left')

    def __init__(self, reader: typing.BinaryIO) -> None:
        self._reader = reader
        self._left = _MAX_HEAD_BYTES

    def readline(self, max_bytes: int) -> bytes:
        line = self._reader.readline(min(max_bytes, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            raise ValueError(
                f'the headers are longer than {_MAX_HEAD_BYTES} bytes'
            )
        return line


class Handler(pywsgi.WSGIHandler):
    """A connection with limits on time and on the head of a request.

    A body that the application does not read ends the connection. The
    library's handler would read it without limit, and stop the process while
    bytes arrive without a pause.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: typing.Any,
        server: 'LimitedServer',
    ) -> None:
        sock.settimeout(_IDLE_SECONDS)
        super().__init__(sock, address, server)

    def MessageClass(
        self, reader: typing.BinaryIO, seekable: int
    ) -> typing.Any:
        """Parse the head; the method name is set by the library."""
        return super().MessageClass(_LimitedLines(reader), seekable)

    def run_application(self) -> None:
        """Answer a request, without the rest of its body."""
        try:
            super().run_application()
        finally:
            source = self.wsgi_input
            is_read = source.position >= (source.content_length or 0)
            if source.chunked_input:
                is_read = source.chunk_length == 0
            if not is_read:
                self.close_connection = True
                source.chunked_input = False
                source.content_length = source.position

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        return ('400', _BAD_REQUEST)


class LimitedServer(pywsgi.WSGIServer):
    """A server that closes the oldest connection beyond a number of them.

    Otherwise clients that keep connections open would lock out all others.

    Parameters
    ----------
    max_connections : int
        Simultaneous connections, which limits file descriptors as well.
    """

    handler_class = Handler

    def __init__(
        self, *args: typing.Any, max_connections: int, **options: typing.Any
    ) -> None:
        super().__init__(*args, spawn=pool.Pool(), **options)
        self._max_connections = max_connections
        # The open connections, the oldest first.
        self._open: dict[socket.socket, None] = {}

    def handle(self, sock: socket.socket, address: typing.Any) -> None:
        """Serve one connection."""
        if len(self._open) >= self._max_connections:
            oldest = next(iter(self._open))
            del self._open[oldest]
            with contextlib.suppress(OSError):
                oldest.shutdown(socket.SHUT_RDWR)
        self._open[sock] = None
        try:
            super().handle(sock, address)
        finally:
            self._open.pop(sock, None)


class AuxiliaryServer:
    """Serves a WSGI application at one address.

    Parameters
    ----------
    address : str
        IP address and port; port 0 selects any free port.
    application : callable
        A WSGI application.
    """

    __slots__ = ('_server', '_exits')

    def __init__(self, address: str, application: Application) -> None:
        host, _, port = address.rpartition(':')
        self._exits = contextlib.ExitStack()
        self._server = LimitedServer(
            (host.strip('[]'), int(port)),
            application,
            max_connections=_MAX_CONNECTIONS,
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> str:
        """The listening address as `IP:port`, with the port in use."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def start(self) -> None:
        """Start listening."""
        self._server.start()
        self._exits.callback(self._server.stop, timeout=0)

    def close(self) -> None:
        """Stop listening."""
        self._exits.close()
