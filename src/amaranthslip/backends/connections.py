"""HTTP/1.1 requests to backend servers on pooled connections.

The pool and the parser come from geventhttpclient. Its `HTTPClient.request`
is not used: on a broken connection it resends GET, PUT and DELETE requests
automatically, and no option disables that. Here, the kind of a request decides
whether it may be resent, not its method.
"""

import enum
import errno
import time
import typing

from gevent import socket

from amaranthslip.backends import outgoing
from amaranthslip.backends import pools
from amaranthslip.backends import responses
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip import settings as settings_


class ListenerState(enum.Enum):
    """What a new connection to a server's address shows."""

    # The host is reachable, and no process listens on the port.
    REFUSED = 'refused'
    # The connection was accepted, and closed or reset by the other side.
    CLOSED = 'closed'
    # The connection was accepted and stayed open.
    OPEN = 'open'
    # No connection was established; this does not show whether the process
    # is running.
    UNREACHABLE = 'unreachable'


class Connections:
    """Sends requests to backend servers and returns their responses.

    A server may close a pooled connection at the moment a request is sent on
    it. The result is a reset or an end of stream before the first byte of the
    response, exactly as when the server executed the request and crashed, so
    whether the request ran is unknown. Therefore a request whose outcome must
    be known is sent on a new connection, and only a failure to connect is
    reported as not sent. A streaming request that is sent at most once fails
    if its connection is closed in this way, but is never executed twice. Such
    a request only uses a pooled connection that was idle so briefly that its
    server has no reason to close it yet.
    """

    __slots__ = ('_settings', '_clock', '_pools', '_read_idle_limit')

    def __init__(
        self,
        settings: settings_.Settings,
        *,
        read_idle_limit: typing.Callable[
            [document.BackendServer], int | None
        ] = lambda server: None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._read_idle_limit = read_idle_limit
        self._clock = clock
        self._pools: dict[str, pools.ServerPool] = {}

    def send(
        self,
        server: document.BackendServer,
        request: outgoing.BackendRequest,
        *,
        first_byte_seconds: float | None = None,
    ) -> responses.Response:
        """Send a request and wait for the headers of the response.

        Parameters
        ----------
        first_byte_seconds : float or None
            Timeout of the send and of the time until the headers are
            complete; `backends.first_byte_seconds` by default.

        Raises
        ------
        BackendFailed
            `sent` is False only if no connection was established, the server
            did not ask for the body that it has to ask for, or
            `request.check_server` raised the error. After a resend, `sent`
            describes the second attempt only.
        """
        parts = request.encode(server.address)
        pool = self._get_pool(server.address, server.incarnation)
        pool.idle_limit = self._read_idle_limit(server)
        seconds = first_byte_seconds
        if seconds is None:
            seconds = self._settings.backends.first_byte_seconds
        sock = None
        if request.reuse is not outgoing.Reuse.NEVER:
            sock = pool.take(
                recent_only=request.reuse is outgoing.Reuse.RECENT
            )
        if sock is None:
            return self._send_on_new(pool, parts, request, seconds)
        return self._send_on_pooled(pool, sock, parts, request, seconds)

    def probe_listener(
        self,
        address: str,
        seconds: float,
        *,
        on_accept: typing.Callable[[], None] = lambda: None,
    ) -> ListenerState:
        """Connect to a server and watch whether it keeps the connection.

        The kernel accepts connections for a process until its listening
        socket is closed, which an exiting process may do last. Only a
        connection that stays open shows that the process is running.

        Parameters
        ----------
        seconds : float
            Time for which an accepted connection is watched.
        on_accept : callable
            Called when the connection is accepted.
        """
        pool = self._get_pool(address)
        try:
            sock = pool.connect()
        except ConnectionRefusedError:
            return ListenerState.REFUSED
        except ConnectionError:
            return ListenerState.CLOSED
        except OSError:
            return ListenerState.UNREACHABLE
        stays_open = False
        try:
            on_accept()
            stays_open = pool.watch(sock, seconds)
        finally:
            if stays_open:
                pool.return_socket(sock)
            else:
                pool.release_socket(sock)
        return ListenerState.OPEN if stays_open else ListenerState.CLOSED

    def close_others(self, addresses: typing.Collection[str]) -> None:
        """Close the idle connections to all other addresses."""
        for address in self._pools.keys() - set(addresses):
            self._pools.pop(address).close()

    def close_stale(self) -> None:
        """Close idle connections that are too old, where they are limited.

        A pool closes them with its next answer only. An instance that sends a
        server nothing more would keep them until the server closes them.
        """
        for pool in self._pools.values():
            if pool.idle_limit is not None:
                pool.close_stale()

    def close(self) -> None:
        """Close the idle connections; responses in progress keep theirs."""
        self.close_others(())

    def _get_pool(
        self, address: str, incarnation: int = 0
    ) -> pools.ServerPool:
        """Return the pool of an address, without those of earlier starts.

        A server that lost its host does not close its connections.
        """
        pool = self._pools.get(address)
        if pool is not None and pool.incarnation >= incarnation:
            return pool
        if pool is not None:
            # Connections in use are closed when they are returned.
            pool.close()
        pool = pools.ServerPool(
            address,
            self._settings,
            incarnation=incarnation,
            clock=self._clock,
        )
        self._pools[address] = pool
        return pool

    def _send_on_pooled(
        self,
        pool: pools.ServerPool,
        sock: socket.socket,
        parts: tuple[bytes, bytes],
        request: outgoing.BackendRequest,
        seconds: float,
    ) -> responses.Response:
        sockets.set_keepalive(sock, True)
        answer = responses.Response(sock, pool, request)
        try:
            return self._exchange(pool, answer, request, parts, seconds)
        except errors.BackendFailed as failure:
            # Usually the server closed the connection before it received the
            # request. An idempotent request may be resent immediately on a
            # new connection. The first attempt may still have run: a server
            # that crashed during execution causes the same error.
            if failure.reason not in ('cut', 'reset'):
                raise
            pool.close_idle()
            if failure.sent and (
                request.reuse is not outgoing.Reuse.ANY
                or answer.response_started
                or not request.may_resend()
            ):
                raise
        return self._send_on_new(pool, parts, request, seconds)

    def _send_on_new(
        self,
        pool: pools.ServerPool,
        parts: tuple[bytes, bytes],
        request: outgoing.BackendRequest,
        seconds: float,
    ) -> responses.Response:
        answer = responses.Response(self._connect(pool), pool, request)
        return self._exchange(pool, answer, request, parts, seconds)

    def _exchange(
        self,
        pool: pools.ServerPool,
        answer: responses.Response,
        request: outgoing.BackendRequest,
        parts: tuple[bytes, bytes],
        seconds: float,
    ) -> responses.Response:
        data, body = parts
        try:
            if request.continue_seconds is not None:
                is_wanted = _offer(answer, request, data)
                data = body if is_wanted else b''
            if data:
                request.check_server()
                answer.set_head_timeout(seconds)
                answer.send(data)
            answer.read_headers()
            idle_seconds = answer.idle_seconds
            if idle_seconds is not None:
                pool.set_idle_seconds(idle_seconds)
            answer.set_idle_timeout(self._settings.backends.idle_seconds)
        except BaseException:
            # This includes a caller that disconnects and a deadline that
            # expires: closing the connection cancels the work at the engine.
            answer.close()
            raise
        return answer

    def _connect(self, pool: pools.ServerPool) -> socket.socket:
        try:
            sock = pool.connect()
        except OSError as error:
            name = errno.errorcode.get(error.errno or 0, str(error))
            raise errors.BackendFailed(
                'connect',
                f'no connection to the backend server ({name}); it was not'
                ' sent, so it is safe to send it again',
                sent=False,
                status=503,
            ) from None
        sockets.set_keepalive(sock, True)
        return sock


def _offer(
    answer: responses.Response, request: outgoing.BackendRequest, head: bytes
) -> bool:
    """Send a request's head; return whether the server asks for the body.

    Raises
    ------
    BackendFailed
        It neither asked nor answered in time. The request can't run.
    """
    try:
        answer.set_head_timeout(request.continue_seconds)
        answer.send(head)
        return answer.wait_until_body_wanted()
    except errors.BackendFailed as failure:
        raise errors.BackendFailed(
            failure.reason,
            f'the server did not ask for the body ({failure.reason}); the'
            ' request can not run, so it is safe to send it again',
            sent=False,
            status=503,
        ) from failure
