"""HTTP serving, JSON and connection faults shared by the programs."""

import argparse
import json
import signal
import socket
import typing

import gevent
from gevent import pywsgi

_BACKLOG = 1024
_SOCKET_KEY = 'standin.socket'

StartResponse = typing.Callable[..., typing.Any]
Environ = dict[str, typing.Any]
Application = typing.Callable[[Environ, StartResponse], typing.Iterable[bytes]]


class ConnectionAborted(Exception):
    """The connection was closed to simulate a fault; no response follows."""


class _Handler(pywsgi.WSGIHandler):
    """Passes the connection's socket to the application in the environ."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> Environ:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, kind, value, traceback) -> None:
        if isinstance(value, ConnectionAborted):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)


class Server(pywsgi.WSGIServer):
    """HTTP server of one simulated system, on 127.0.0.1."""

    def __init__(self, application: Application, *, port: int = 0) -> None:
        super().__init__(
            ('127.0.0.1', port),
            application,
            backlog=_BACKLOG,
            handler_class=_Handler,
            log=None,
        )


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all programs share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    return parser


def run(
    application: Application, *, port: int, **extra_fields: object
) -> None:
    """Serve until SIGTERM; print one JSON line with the port when ready."""
    server = Server(application, port=port)
    gevent.signal_handler(signal.SIGTERM, server.stop, timeout=0)
    server.start()
    ready_message = {'port': server.server_port} | extra_fields
    print(json.dumps(ready_message), flush=True)
    server.serve_forever(stop_timeout=0)


def read_json(environ: Environ) -> dict[str, typing.Any]:
    """Return the request body as a JSON object; an empty body gives {}.

    Raises
    ------
    ValueError
        The body is not a JSON object.
    """
    body = environ['wsgi.input'].read()
    value = json.loads(body) if body else {}
    if not isinstance(value, dict):
        raise ValueError('the body must be a JSON object')
    return value


def respond_json(
    start_response: StartResponse,
    value: object,
    *,
    status: str = '200 OK',
    headers: typing.Mapping[str, str] | None = None,
) -> list[bytes]:
    """Respond with a JSON value, and with additional headers."""
    body = json.dumps(value).encode()
    pairs = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        *(headers or {}).items(),
    ]
    start_response(status, pairs)
    return [body]


def abort_connection(environ: Environ) -> typing.NoReturn:
    """Close the connection before the response is complete."""
    shut_down_connection(environ)
    raise ConnectionAborted


def shut_down_connection(environ: Environ) -> None:
    """Shut down both directions of the request's connection."""
    try:
        environ[_SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def wait_for_close(environ: Environ) -> bool:
    """Wait for data or the end of the connection; return whether it ended."""
    try:
        return not environ[_SOCKET_KEY].recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def hang(environ: Environ) -> typing.NoReturn:
    """Block until the client disconnects (or sends data); don't respond."""
    wait_for_close(environ)
    raise ConnectionAborted
