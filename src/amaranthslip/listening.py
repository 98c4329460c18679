"""An HTTP server for one application, separate from callers' traffic."""

import contextlib
import typing

from gevent import pool
from gevent import pywsgi

# Simultaneous connections. A load balancer and a metrics collector connect
# occasionally; the limit prevents another client from using up the process's
# file descriptors.
_MAX_CONNECTIONS = 50

Application = typing.Callable[
    [dict[str, typing.Any], typing.Callable[..., typing.Any]], list[bytes]
]


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
        self._server = pywsgi.WSGIServer(
            (host.strip('[]'), int(port)),
            application,
            spawn=pool.Pool(_MAX_CONNECTIONS),
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
