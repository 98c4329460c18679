"""Connection pool of one backend server, with the idle time of each socket."""

import re
import select
import time
import typing

from gevent import socket
from geventhttpclient import connectionpool

from amaranthslip.links import sockets
from amaranthslip import settings as settings_

# Maximum number of simultaneous connections to one server. The slots of a
# server limit its requests in progress far below this; the bound only keeps a
# fault in that limit from exhausting the file descriptors.
_POOL_SIZE = 1024
# Assumed idle timeout of a server that sends no Keep-Alive timeout: the
# shortest default among widely used HTTP servers.
_DEFAULT_IDLE_SECONDS = 5.0
# Fraction of the server's idle timeout during which a pooled connection may be
# used for a request that can be resent, and for one that can't. The fractions
# are below 1 because the server's idle timer starts earlier than the one here,
# and because a close that crosses the request is indistinguishable from a
# server that crashed while it executed the request.
_RESENDABLE_IDLE_FRACTION = 0.8
_SEND_ONCE_IDLE_FRACTION = 0.5
_KEEP_ALIVE_TIMEOUT = re.compile(
    r'\btimeout\s*=\s*(\d+)', re.ASCII | re.IGNORECASE
)


def read_idle_seconds(keep_alive: str) -> float | None:
    """Parse the idle timeout in a `Keep-Alive` header, in seconds.

    Returns
    -------
    float or None
        None if the header has no timeout (RFC 2068, 19.7.1.1, writes
        `timeout=5`).
    """
    match = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
    return float(match.group(1)) if match else None


class ServerPool(connectionpool.ConnectionPool):
    """The library's pool, extended to record when each socket became idle.

    Parameters
    ----------
    address : str
        IP address and port.
    settings : Settings
        Uses the sections `backends` and `limits`.
    incarnation : int
        The start of the server that the connections belong to; 0: unknown.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        address: str,
        settings: settings_.Settings,
        *,
        incarnation: int = 0,
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
        # Seconds without an acknowledgement after which the kernel closes a
        # connection.
        self._lost_seconds = settings.backends.lost_seconds
        self.incarnation = incarnation
        self._limits_memory = settings.limits.memory_megabytes > 0
        self._clock = clock
        self._idle_since: dict[socket.socket, float] = {}
        self._idle_seconds = _DEFAULT_IDLE_SECONDS
        # The most idle connections, less those in use; None for no limit.
        self.idle_limit: int | None = None

    def take(self, *, recent_only: bool) -> socket.socket | None:
        """Take the most recently used connection that is usable, if any.

        Parameters
        ----------
        recent_only : bool
            Use the shorter limit on idle time, for a request that is not
            resent if the server closes the connection.

        Returns
        -------
        socket or None
            None if no pooled connection is usable.
        """
        fraction = (
            _SEND_ONCE_IDLE_FRACTION
            if recent_only
            else _RESENDABLE_IDLE_FRACTION
        )
        limit = self._clock() - fraction * self._idle_seconds
        while not self._socket_queue.empty():
            sock = self._socket_queue.get(block=False)
            if self._idle_since[sock] >= limit and self._is_socket_alive(sock):
                del self._idle_since[sock]
                self._semaphore.acquire()
                return sock
            self._close_idle_socket(sock)
        return None

    def connect(self) -> socket.socket:
        """Return a new connection.

        Raises
        ------
        OSError
            The server can't be reached.
        """
        self._semaphore.acquire()
        self._close_excess()
        try:
            return self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise

    def watch(self, sock: socket.socket, seconds: float) -> bool:
        """Return whether an idle connection stays open for some seconds."""
        try:
            socket.wait_read(sock.fileno(), timeout=seconds)
        except socket.timeout:
            return True
        return False

    def set_idle_seconds(self, seconds: float) -> None:
        """Set the time after which the server closes idle connections."""
        self._idle_seconds = seconds

    def return_socket(self, sock: socket.socket) -> None:
        """Return a connection whose response was read completely."""
        if not self._closed:
            self._idle_since[sock] = self._clock()
        super().return_socket(sock)
        self._close_excess()

    @property
    def has_idle(self) -> bool:
        """Whether the pool holds an idle connection."""
        return not self._socket_queue.empty()

    def close_stale(self) -> None:
        """Close the connections that were idle for too long to be reused.

        Servers limit the number of connections, open or idle, from all
        instances together.
        """
        limit = self._clock() - _RESENDABLE_IDLE_FRACTION * self._idle_seconds
        # The oldest first.
        idle = self._socket_queue.queue
        while idle and self._idle_since[idle[0]] < limit:
            self._close_idle_socket(idle.pop(0))

    def _close_excess(self) -> None:
        """Close the oldest idle connections beyond the limit.

        A request that needs a new connection thereby replaces an idle one.
        """
        if self.idle_limit is None:
            return
        used = self.size - self._semaphore.counter
        allowed = max(0, self.idle_limit - used)
        idle = self._socket_queue.queue
        while len(idle) > allowed:
            self._close_idle_socket(idle.pop(0))

    def close_idle(self) -> None:
        """Close all idle connections, after one connection has broken.

        When a server becomes unreachable, or its connections stop responding,
        usually all of them are affected; each one that stayed in the pool
        would fail another request.
        """
        while not self._socket_queue.empty():
            self._close_idle_socket(self._socket_queue.get(block=False))

    def _close_idle_socket(self, sock: socket.socket) -> None:
        del self._idle_since[sock]
        sock.close()

    def _create_socket(self) -> socket.socket:
        # Addresses are IP addresses; the library's name resolution would use
        # a thread for each connection.
        family = socket.AF_INET
        if ':' in self._connection_host:
            family = socket.AF_INET6
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.connection_timeout)
            if self._limits_memory:
                sockets.limit_buffers(
                    sock, receive_bytes=sockets.SERVER_RECEIVE_BYTES
                )
            sock.connect((self._connection_host, self._connection_port))
            sockets.set_liveness_options(
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
        # The library calls select(), which accepts no descriptor above 1023,
        # so a busy instance would drop every pooled connection. An idle
        # connection that is readable was closed, or has received bytes that
        # belong to no response.
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)
