"""Pooled HTTP connections to one of the platform's services."""

import contextlib

import geventhttpclient
from geventhttpclient import response
from geventhttpclient import url

import gevent
from gevent import lock

from amaranthslip import errors
from amaranthslip import reading

# Further calls wait for a free connection within their time limit. In a fleet
# of 720 dispatchers, each makes a few calls a second that take a few
# milliseconds.
_MAX_CONCURRENT_CALLS = 16
# The library's timeout of each receive. It exceeds the duration of any call,
# because this module limits the whole call instead.
_SOCKET_TIMEOUT_SECONDS = 600.0
# The parser copies an unfinished header field for each block, so that small
# ones would make a long field expensive.
_RECEIVE_BYTES = 65536
# Bytes of an answer; the service returns long lists in pages.
_MAX_ANSWER_BYTES = 33554432
_HEADERS = {'Content-Type': 'application/json'}

# Errors of a broken connection: the library's parse errors for a truncated
# answer, and OSError for socket errors.
CONNECTION_ERRORS = (OSError, response.HTTPParseError)


class Answer:
    """A complete HTTP answer; names of headers are in lower case."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class RequestNotSent(errors.AmaranthslipError):
    """No connection could be made, so no byte of the request was sent."""


class RequestMaybeSent(errors.AmaranthslipError):
    """The call failed or timed out after it began to send its request."""


class _CallTimeout(gevent.Timeout):
    """The time limit of one call expired."""


class ConnectionPool:
    """Keeps idle connections; each call uses one exclusively.

    Each call uses a library client with a single connection instead of the
    library's connection pool. A timeout during a send would permanently
    occupy a slot of that pool. Here the client is discarded.

    Parameters
    ----------
    address : str
        An http or https URL, whose path is prepended to the path of each
        call.
    timeout_seconds : float
        Time limit of a whole call.
    """

    __slots__ = ('_url', '_base', '_timeout', '_call_slots', '_idle')

    def __init__(self, address: str, *, timeout_seconds: float) -> None:
        self._url = url.URL(address)
        self._base = self._url.request_uri.rstrip('/')
        self._timeout = timeout_seconds
        self._call_slots = lock.BoundedSemaphore(_MAX_CONCURRENT_CALLS)
        self._idle: list[geventhttpclient.HTTPClient] = []

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        wait_seconds: float = 0.0,
    ) -> Answer:
        """Make one call and read its complete answer.

        Parameters
        ----------
        wait_seconds : float
            How long the service may delay its answer. This is added to the
            time limit of the call.

        Raises
        ------
        RequestNotSent
            The service did not receive the request.
        RequestMaybeSent
            The service may have received the request.
        """
        # A separate class distinguishes this timeout from one that the caller
        # started, which must propagate.
        seconds = self._timeout + wait_seconds
        limit = _CallTimeout(seconds)
        with contextlib.ExitStack() as stack:
            stack.callback(limit.close)
            limit.start()
            client = self._connect(stack)
            try:
                answer = client.request(method, self._base + path, body)
                headers = {name.lower(): each for name, each in answer.items()}
                complete = Answer(
                    answer.status_code, headers, bytes(answer.read())
                )
            except (*CONNECTION_ERRORS, _CallTimeout) as error:
                client.close()
                raise RequestMaybeSent(_describe(error, seconds)) from None
            except BaseException:
                client.close()
                raise
            self._idle.append(client)
            return complete

    def _connect(
        self, stack: contextlib.ExitStack
    ) -> geventhttpclient.HTTPClient:
        client = None
        try:
            self._call_slots.acquire()
            stack.callback(self._call_slots.release)
            client = self._idle.pop() if self._idle else self._create_client()
            _connect(client)
        except (*CONNECTION_ERRORS, _CallTimeout) as error:
            if client is not None:
                client.close()
            raise RequestNotSent(_describe(error, self._timeout)) from None
        return client

    def _create_client(self) -> geventhttpclient.HTTPClient:
        client = geventhttpclient.HTTPClient.from_url(
            self._url,
            headers=_HEADERS,
            concurrency=1,
            block_size=_RECEIVE_BYTES,
            connection_timeout=self._timeout,
            network_timeout=_SOCKET_TIMEOUT_SECONDS,
        )
        # The library retries a GET whose connection breaks this number of
        # times, plus one. Without this setting it would hide an interrupted
        # watch, and two calls would be counted as one.
        client._connection_pool.size = -1
        return client

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


def _connect(client: geventhttpclient.HTTPClient) -> None:
    """Connect before the request is sent.

    A failure here has had no effect at the service. The errors of the
    library's `request` do not distinguish failures before and after sending.
    A pooled connection that the service has closed is also replaced here.
    """
    reading.prepare_connection(client, max_bytes=_MAX_ANSWER_BYTES)


def _describe(error: BaseException, timeout_seconds: float) -> str:
    if isinstance(error, (_CallTimeout, TimeoutError)):
        return f'no answer within {timeout_seconds:g} s'
    return f'{type(error).__name__}: {error}'
