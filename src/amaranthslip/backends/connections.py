"""Requests and answers on pooled HTTP/1.1 connections to backend servers.

The pool and the parser are geventhttpclient's. Its `HTTPClient.request` is
not used: it repeats GET, PUT and DELETE by itself when a connection breaks,
which no option turns off, and whether a request may be repeated is decided
by its kind here, not by its method.
"""

import errno
import time
import typing

from gevent import socket

from amaranthslip.backends import answers
from amaranthslip.backends import outgoing
from amaranthslip.backends import pools
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip import settings as settings_


class Connections:
    """Sends requests to backend servers and hands out their answers.

    A server may close a kept connection in the moment a request leaves on
    it. That shows as a reset or an end before the first byte of the answer,
    exactly as a server that ran the request and died, so nobody can tell
    whether it ran. Therefore a request whose effect must be known goes out on
    a connection of its own, and only a failure to connect is called 'not
    sent'. A stream that may be sent once is lost by such a closing but does
    no harm twice: it takes a connection that its server has no reason yet to
    close.
    """

    __slots__ = ('_settings', '_clock', '_pools')

    def __init__(
        self,
        settings: settings_.Settings,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._pools: dict[str, pools.ServerPool] = {}

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
        pool = self._find_pool(server.address)
        seconds = first_byte_seconds
        if seconds is None:
            seconds = self._settings.backends.first_byte_seconds
        sock = None
        if request.reuse is not outgoing.Reuse.NEVER:
            sock = pool.take(sure=request.reuse is outgoing.Reuse.SURE)
        if sock is None:
            return self._send_fresh(pool, data, request, seconds)
        return self._send_kept(pool, sock, data, request, seconds)

    def is_listening(self, address: str) -> bool:
        """Return whether a process listens at a server's address.

        Returns
        -------
        bool
            False only if the connection is refused: the host is reachable,
            and no process listens on the port.
        """
        pool = self._find_pool(address)
        try:
            pool.return_socket(pool.connect())
        except ConnectionRefusedError:
            return False
        except OSError:
            # Other errors do not show whether the process is running.
            return True
        return True

    def keep_only(self, addresses: typing.Collection[str]) -> None:
        """Forget the idle connections to every other address."""
        for address in self._pools.keys() - set(addresses):
            self._pools.pop(address).close()

    def close(self) -> None:
        """Close the idle connections; answers being read keep theirs."""
        self.keep_only(())

    def _find_pool(self, address: str) -> pools.ServerPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = pools.ServerPool(address, self._settings, clock=self._clock)
            self._pools[address] = pool
        return pool

    def _send_kept(
        self,
        pool: pools.ServerPool,
        sock: socket.socket,
        data: bytes,
        request: outgoing.Outgoing,
        seconds: float,
    ) -> answers.Answer:
        sockets.probe_while_used(sock, True)
        answer = answers.Answer(sock, pool, request)
        try:
            return self._exchange(pool, answer, request, data, seconds)
        except errors.BackendFailed as failure:
            # Mostly the server had closed the connection before the request
            # came. One that is idempotent may go out again at once, on a
            # connection of its own. It may have run all the same: a server
            # that dies in the midst of it looks no different.
            if failure.reason not in ('cut', 'reset'):
                raise
            pool.drop_idle()
            if request.reuse is not outgoing.Reuse.ANY:
                raise
            if answer.begun or not request.may_resend():
                raise
        return self._send_fresh(pool, data, request, seconds)

    def _send_fresh(
        self,
        pool: pools.ServerPool,
        data: bytes,
        request: outgoing.Outgoing,
        seconds: float,
    ) -> answers.Answer:
        answer = answers.Answer(self._connect(pool), pool, request)
        return self._exchange(pool, answer, request, data, seconds)

    def _exchange(
        self,
        pool: pools.ServerPool,
        answer: answers.Answer,
        request: outgoing.Outgoing,
        data: bytes,
        seconds: float,
    ) -> answers.Answer:
        try:
            request.check_server()
            answer.set_timeout(seconds)
            answer.send(data)
            answer.read_headers()
            idle_seconds = answer.idle_seconds
            if idle_seconds is not None:
                pool.note_idle_seconds(idle_seconds)
            answer.watch_idle(self._settings.backends.idle_seconds)
        except BaseException:
            # Also when the caller leaves or the deadline passes meanwhile:
            # the closed connection cancels the work at the engine.
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
        sockets.probe_while_used(sock, True)
        return sock
