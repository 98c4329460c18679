"""Pooled HTTP connections to one address of the platform's services."""

import contextlib

import geventhttpclient
from geventhttpclient import response
from geventhttpclient import url

import gevent
from gevent import lock

from amaranthslip import errors

# Calls at once; more wait inside their own time limit. A dispatcher of 720
# makes a few calls a second, each of some milliseconds.
_CONCURRENCY = 16
# The library's own limit, for each receive: longer than any call, as the
# limit of the whole call is kept here.
_MOST_SECONDS = 600.0
_HEADERS = {'Content-Type': 'application/json'}

# What a call that broke raises: the library's parse errors for an answer
# that ended early, OSError for the socket's.
BROKEN = (OSError, response.HTTPParseError)


class Answer:
    """An HTTP answer that arrived whole."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class NeverSent(errors.AmaranthslipError):
    """No connection was had, so that no byte of the call has left."""


class MaybeSent(errors.AmaranthslipError):
    """The connection broke, or time ran out, with the call on its way."""


class _CallTimeout(gevent.Timeout):
    """The limit of one call is over."""


class Connections:
    """Keeps idle connections; each call has one for itself.

    One library client of one connection is used for each call, not one with
    a pool: where a time limit ends a call in the midst of sending, that
    pool would never get its place back. Here the client is thrown away.

    Parameters
    ----------
    address : str
        An http or https URL; its path is put before each call's.
    timeout_seconds : float
        Limit of one call from beginning to end.
    """

    __slots__ = ('_url', '_base', '_timeout', '_places', '_idle')

    def __init__(self, address: str, *, timeout_seconds: float) -> None:
        self._url = url.URL(address)
        self._base = self._url.request_uri.rstrip('/')
        self._timeout = timeout_seconds
        self._places = lock.BoundedSemaphore(_CONCURRENCY)
        self._idle: list[geventhttpclient.HTTPClient] = []

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        wait_seconds: float = 0.0,
    ) -> Answer:
        """Make one call and read its answer whole.

        Parameters
        ----------
        wait_seconds : float
            How long the service was asked to hold its answer back; it has
            the limit of a call on top.

        Raises
        ------
        NeverSent
            The service surely knows nothing of the call.
        MaybeSent
            It may know of it.
        """
        # A class of its own, so that a limit that the caller set around this
        # call is not taken for this one and passes through.
        seconds = self._timeout + wait_seconds
        limit = _CallTimeout(seconds)
        with contextlib.ExitStack() as stack:
            stack.callback(limit.close)
            limit.start()
            client = self._connect(stack)
            try:
                answer = client.request(method, self._base + path, body)
                whole = Answer(answer.status_code, bytes(answer.read()))
            except (*BROKEN, _CallTimeout) as error:
                client.close()
                raise MaybeSent(_describe(error, seconds)) from None
            except BaseException:
                client.close()
                raise
            self._idle.append(client)
            return whole

    def _connect(
        self, stack: contextlib.ExitStack
    ) -> geventhttpclient.HTTPClient:
        client = None
        try:
            self._places.acquire()
            stack.callback(self._places.release)
            client = self._idle.pop() if self._idle else self._open()
            _connect(client)
        except (*BROKEN, _CallTimeout) as error:
            if client is not None:
                client.close()
            raise NeverSent(_describe(error, self._timeout)) from None
        return client

    def _open(self) -> geventhttpclient.HTTPClient:
        client = geventhttpclient.HTTPClient.from_url(
            self._url,
            headers=_HEADERS,
            concurrency=1,
            connection_timeout=self._timeout,
            network_timeout=_MOST_SECONDS,
        )
        # The library repeats a GET by itself when its connection breaks, as
        # often as this number says, plus one. A watch that was cut would
        # then go on unseen, and each call be counted for two.
        client._connection_pool.size = -1
        return client

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


def _connect(client: geventhttpclient.HTTPClient) -> None:
    """Connect before the request is made.

    What fails here has surely had no effect, which the errors of the
    library's `request` do not tell from a failure after it was sent. A
    pooled connection that the service has closed is seen and replaced here.
    """
    pool = client._connection_pool
    pool.return_socket(pool.get_socket())


def _describe(error: BaseException, timeout_seconds: float) -> str:
    if isinstance(error, (_CallTimeout, TimeoutError)):
        return f'no answer within {timeout_seconds:g} s'
    return f'{type(error).__name__}: {error}'
