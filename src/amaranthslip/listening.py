"""A small HTTP server of one application, apart from callers' traffic."""

import contextlib
import typing

from gevent import pool
from gevent import pywsgi

# Connections at once: a balancer and a collector of metrics ask once in a
# while; a stranger who opens many must not take the process's descriptors.
_CONNECTIONS = 50

Application = typing.Callable[
    [dict[str, typing.Any], typing.Callable[..., typing.Any]], list[bytes]
]


class SmallServer:
    """Listens at one address.

    Parameters
    ----------
    address : str
        IP number and port; port 0: any free one.
    application : callable
        A WSGI application.
    """

    __slots__ = ('_server', '_exits')

    def __init__(self, address: str, application: Application) -> None:
        host, _, port = address.rpartition(':')
        self._exits = contextlib.ExitStack()
        self._server = pywsgi.WSGIServer(
            (host.strip('[]'), int(port)),
            application,
            spawn=pool.Pool(_CONNECTIONS),
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> str:
        """Where it listens, as `IP:port`, with what a port of 0 became."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def start(self) -> None:
        """Listen."""
        self._server.start()
        self._exits.callback(self._server.stop, timeout=0)

    def close(self) -> None:
        """Stop listening."""
        self._exits.close()
