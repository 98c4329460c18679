"""What every stand-in program shares: serving, JSON, and broken answers."""

import argparse
import json
import signal
import socket
import typing

import gevent
from gevent import pywsgi

_BACKLOG = 1024
_SOCKET = 'standin.socket'

StartResponse = typing.Callable[..., typing.Any]
Environ = dict[str, typing.Any]
Application = typing.Callable[[Environ, StartResponse], typing.Iterable[bytes]]


class ConnectionCut(Exception):
    """The connection was closed on purpose: no answer is to be written."""


class _Handler(pywsgi.WSGIHandler):
    """Gives the application its connection's socket."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> Environ:
        environ = super().get_environ()
        environ[_SOCKET] = self.socket
        return environ

    def handle_error(self, kind, value, traceback) -> None:
        if isinstance(value, ConnectionCut):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)


class Server(pywsgi.WSGIServer):
    """One stand-in's HTTP server on 127.0.0.1."""

    def __init__(self, application: Application, *, port: int = 0) -> None:
        super().__init__(
            ('127.0.0.1', port),
            application,
            backlog=_BACKLOG,
            handler_class=_Handler,
            log=None,
        )


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser that knows the options of every stand-in."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    return parser


def run(application: Application, *, port: int, **announced: object) -> None:
    """Serve until SIGTERM; print one JSON line with the port when ready."""
    server = Server(application, port=port)
    gevent.signal_handler(signal.SIGTERM, server.stop, timeout=0)
    server.start()
    ready = {'port': server.server_port} | announced
    print(json.dumps(ready), flush=True)
    server.serve_forever(stop_timeout=0)


def read_json(environ: Environ) -> dict[str, typing.Any]:
    """Return the request's body as a JSON object; empty is an empty one.

    Raises
    ------
    ValueError
        The body is no JSON object.
    """
    body = environ['wsgi.input'].read()
    value = json.loads(body) if body else {}
    if not isinstance(value, dict):
        raise ValueError('the body must be a JSON object')
    return value


def answer_json(
    start_response: StartResponse,
    value: object,
    *,
    status: str = '200 OK',
) -> list[bytes]:
    """Answer with one JSON value."""
    body = json.dumps(value).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start_response(status, headers)
    return [body]


def cut(environ: Environ) -> typing.NoReturn:
    """Close the connection without an answer, or in the midst of one."""
    shut(environ)
    raise ConnectionCut


def shut(environ: Environ) -> None:
    """Shut both directions of the request's connection."""
    try:
        environ[_SOCKET].shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def wait_for_close(environ: Environ) -> bool:
    """Wait for the caller's next byte or end; True: the caller has gone."""
    try:
        return not environ[_SOCKET].recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def hang(environ: Environ) -> typing.NoReturn:
    """Answer nothing until the caller has gone."""
    wait_for_close(environ)
    raise ConnectionCut
