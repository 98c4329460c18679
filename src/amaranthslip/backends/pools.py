"""Pools: the connections to one backend server, with how long each is idle."""

import re
import select
import time
import typing

from gevent import socket
from geventhttpclient import connectionpool

from amaranthslip.links import sockets
from amaranthslip import settings as settings_

# Connections to one server at once. Slots bound the requests in progress
# long before; this only keeps a mistake there from using up descriptors.
_POOL_SIZE = 1024
# Seconds after which a server is taken to close an idle connection, where it
# does not say: the shortest default of widespread HTTP servers.
_UNTOLD_IDLE_SECONDS = 5.0
# The part of that time in which a connection may carry a request that can be
# sent again, and one that can't: the server's timer began before this one's,
# and a closing that crosses the request looks like a server that died with it.
_KEPT_PART = 0.8
_SURE_PART = 0.5
_TIMEOUT = re.compile(r'\btimeout\s*=\s*(\d+)', re.ASCII | re.IGNORECASE)


def read_idle_seconds(keep_alive: str) -> float | None:
    """Return the idle timeout that a `Keep-Alive` header tells, in seconds.

    Returns
    -------
    float or None
        None: it tells none (RFC 2068, 19.7.1.1, writes `timeout=5`).
    """
    found = _TIMEOUT.search(keep_alive)
    return float(found.group(1)) if found else None


class ServerPool(connectionpool.ConnectionPool):
    """The library's pool, whose connections are known by their idle time.

    Parameters
    ----------
    address : str
        IP number and port.
    settings : Settings
        Uses `backends`.
    clock : callable
        Seconds that only grow.
    """

    def __init__(
        self,
        address: str,
        settings: settings_.Settings,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        host, port = sockets.split_address(address)
        super().__init__(
            host,
            port,
            host,
            port,
            size=_POOL_SIZE,
            connection_timeout=settings.backends.connect_seconds,
        )
        # Seconds without an acknowledgement after which the kernel ends a
        # connection.
        self._lost_seconds = settings.backends.lost_seconds
        self._clock = clock
        self._returned: dict[socket.socket, float] = {}
        self._idle_seconds = _UNTOLD_IDLE_SECONDS

    def take(self, *, sure: bool) -> socket.socket | None:
        """Return a kept connection, the one used last; None: none is fit.

        Parameters
        ----------
        sure : bool
            For a request that must not meet a server's closing.
        """
        part = _SURE_PART if sure else _KEPT_PART
        since = self._clock() - part * self._idle_seconds
        while not self._socket_queue.empty():
            sock = self._socket_queue.get(block=False)
            if self._returned[sock] >= since and self._is_socket_alive(sock):
                del self._returned[sock]
                self._semaphore.acquire()
                return sock
            self._drop(sock)
        return None

    def connect(self) -> socket.socket:
        """Return a new connection.

        Raises
        ------
        OSError
            The server can't be reached.
        """
        self._semaphore.acquire()
        try:
            return self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise

    def note_idle_seconds(self, seconds: float) -> None:
        """Take the time after which the server closes idle connections."""
        self._idle_seconds = seconds

    def return_socket(self, sock: socket.socket) -> None:
        """Keep a connection whose answer was read to its end."""
        if not self._closed:
            self._returned[sock] = self._clock()
        super().return_socket(sock)

    def drop_idle(self) -> None:
        """Close the idle connections: one of their server's broke.

        Connections that went silent, or whose server went dark, did so
        together; each would else cost one more request.
        """
        while not self._socket_queue.empty():
            self._drop(self._socket_queue.get(block=False))

    def _drop(self, sock: socket.socket) -> None:
        del self._returned[sock]
        sock.close()

    def _create_socket(self) -> socket.socket:
        # Addresses are IP numbers: the library's look-up of names would
        # take a thread for each connection.
        family = socket.AF_INET
        if ':' in self._connection_host:
            family = socket.AF_INET6
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.connection_timeout)
            sock.connect((self._connection_host, self._connection_port))
            sockets.watch_liveness(
                sock,
                lost_seconds=self._lost_seconds,
                idle_seconds=max(1, int(self._lost_seconds)),
                interval_seconds=1,
            )
        except BaseException:
            sock.close()
            raise
        return sock

    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        # The library asks select(), which takes no descriptor above 1023:
        # a busy instance would drop every pooled connection. An idle
        # connection that is readable has ended or holds bytes of no one's.
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)
