"""Pooled HTTP/1.1 connections to backend servers.

The pool and the parser are geventhttpclient's. Its `HTTPClient.request` is
not used: it repeats GET, PUT and DELETE by itself when a connection breaks,
which no option turns off, and whether a request may be repeated is decided
by its kind here, not by its method.
"""

import errno
import select
import typing

from gevent import socket
from geventhttpclient import connectionpool

from amaranthslip.backends import answers
from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip import settings as settings_

# Connections to one server at once. Slots bound the requests in progress
# long before; this only keeps a mistake there from using up descriptors.
_POOL_SIZE = 1024


class _Pool(connectionpool.ConnectionPool):
    # The socket made last: a socket that `get_socket` returns is new if it
    # is this one, because nothing runs between the two.
    newest: socket.socket | None = None

    # Seconds without an acknowledgement after which the kernel ends a
    # connection; set by the owner.
    lost_seconds = 0.0

    def after_connect(self, sock: socket.socket) -> None:
        sockets.watch_liveness(
            sock,
            lost_seconds=self.lost_seconds,
            idle_seconds=max(1, int(self.lost_seconds)),
            interval_seconds=1,
        )

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
            self.after_connect(sock)
        except BaseException:
            sock.close()
            raise
        self.newest = sock
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


def _open_pool(host: str, port: int, settings: settings_.Settings) -> _Pool:
    pool = _Pool(
        host,
        port,
        host,
        port,
        size=_POOL_SIZE,
        connection_timeout=settings.backends.connect_seconds,
    )
    pool.lost_seconds = settings.backends.lost_seconds
    return pool


class _ServerPools:
    """The connections to one address: kept ones, and ones used once."""

    __slots__ = ('kept', 'fresh')

    def __init__(
        self, host: str, port: int, settings: settings_.Settings
    ) -> None:
        self.kept = _open_pool(host, port, settings)
        self.fresh = _open_pool(host, port, settings)

    def close(self) -> None:
        self.kept.close()
        self.fresh.close()


class Connections:
    """Sends requests to backend servers and hands out their answers.

    A server may close a kept connection in the moment a request leaves on
    it. That shows as a reset or an end before the first byte of the answer,
    exactly as a server that ran the request and died, so nobody can tell
    whether it ran. Therefore a request that is not idempotent always goes
    out on a connection of its own, and only a failure to connect is called
    'not sent'.
    """

    __slots__ = ('_settings', '_pools')

    def __init__(self, settings: settings_.Settings) -> None:
        self._settings = settings
        self._pools: dict[str, _ServerPools] = {}

    def send(
        self,
        server: document.BackendServer,
        request: outgoing.Outgoing,
        *,
        first_byte_seconds: float | None = None,
    ) -> answers.Answer:
        """Send a request and wait for the headers of its answer.

        Parameters
        ----------
        first_byte_seconds : float or None
            How long to wait; `backends.first_byte_seconds` by default.

        Raises
        ------
        BackendFailed
            `sent` is False only where no connection was made.
        """
        data = request.encode(server.address)
        pools = self._find_pools(server.address)
        seconds = first_byte_seconds
        if seconds is None:
            seconds = self._settings.backends.first_byte_seconds
        if request.idempotent:
            return self._send_kept(pools, data, request, seconds)
        return self._send_fresh(pools, data, request, seconds)

    def keep_only(self, addresses: typing.Collection[str]) -> None:
        """Forget the idle connections to every other address."""
        for address in self._pools.keys() - set(addresses):
            self._pools.pop(address).close()

    def close(self) -> None:
        """Close the idle connections; answers being read keep theirs."""
        self.keep_only(())

    def _find_pools(self, address: str) -> _ServerPools:
        pools = self._pools.get(address)
        if pools is None:
            host, _, port = address.rpartition(':')
            pools = self._pools[address] = _ServerPools(
                host.strip('[]'), int(port), self._settings
            )
        return pools

    def _send_kept(
        self,
        pools: _ServerPools,
        data: bytes,
        request: outgoing.Outgoing,
        seconds: float,
    ) -> answers.Answer:
        sock = self._connect(pools.kept)
        used = sock is not pools.kept.newest
        pools.kept.newest = None
        answer = answers.Answer(sock, pools.kept, request, reuse=True)
        try:
            return self._exchange(answer, data, seconds)
        except errors.BackendFailed as failure:
            # Mostly the server had closed the connection before the request
            # came. Only idempotent requests get here, so it may go out again
            # at once, on a connection of its own. It may have run all the
            # same: a server that dies in the midst of it looks no different.
            if not used or failure.reason not in ('cut', 'reset'):
                raise
            if answer.begun or not request.may_resend():
                raise
        return self._send_fresh(pools, data, request, seconds)

    def _send_fresh(
        self,
        pools: _ServerPools,
        data: bytes,
        request: outgoing.Outgoing,
        seconds: float,
    ) -> answers.Answer:
        sock = self._connect(pools.fresh)
        answer = answers.Answer(sock, pools.fresh, request, reuse=False)
        return self._exchange(answer, data, seconds)

    def _exchange(
        self, answer: answers.Answer, data: bytes, seconds: float
    ) -> answers.Answer:
        try:
            answer.set_timeout(seconds)
            answer.send(data)
            answer.read_headers()
            answer.watch_idle(self._settings.backends.idle_seconds)
        except BaseException:
            # Also when the caller leaves or the deadline passes meanwhile:
            # the closed connection cancels the work at the engine.
            answer.close()
            raise
        return answer

    def _connect(self, pool: _Pool) -> socket.socket:
        try:
            sock = pool.get_socket()
            sockets.probe_while_used(sock, True)
            return sock
        except OSError as error:
            name = errno.errorcode.get(error.errno or 0, str(error))
            raise errors.BackendFailed(
                'connect',
                f'no connection to the backend server ({name}); it was not'
                ' sent, so it is safe to send it again',
                sent=False,
                status=503,
            ) from None
