"""Requests to backend servers and their HTTP/1.1 encoding."""

import enum
import re
import typing

from amaranthslip import errors

# RFC 9110: a method and a field name are tokens (9.1, 5.1); a field value
# contains no control character (5.5); a request target contains no white
# space.
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FIELD_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
_REQUEST_TARGET = re.compile(r'/[^\x00-\x20\x7f]*')
# The end of a body in chunks (RFC 9112, 7.1).
_LAST_CHUNK = b'0\r\n\r\n'

Headers = typing.Sequence[tuple[str, str]]


class Reuse(enum.Enum):
    """The connections on which a request may be sent."""

    # Only a new connection. The outcome of the request must be known, so a
    # failure to connect must be distinguishable from a later failure.
    NEVER = 'never'
    # A pooled connection that was used very recently, or a new one. The
    # request is not resent if the connection breaks.
    RECENT = 'sure'
    # Any pooled connection, or a new one. If a pooled connection breaks, the
    # request may be resent on a new one.
    ANY = 'any'


class BackendRequest:
    """One request in the form in which a backend server receives it.

    Parameters
    ----------
    method, target : str
        Parts of the request line; the target is in origin form.
    headers : sequence of (str, str)
        Without Host, Content-Length and the hop-by-hop fields.
    body : bytes
        The whole body.
    reuse : Reuse
        Whether the request may be sent on a pooled connection.
    request_id : str
        Sent as `id_header`; a response that echoes another id belongs to
        another request.
    id_header : str
        Name of the header that carries the request id.
    host : str
        Value of the `Host` header; the server's address by default.
    accept_unframed : bool
        Whether a response without a length is complete when the server closes
        the connection without a reset.
    continue_seconds : float or None
        Seconds that the server has to ask for the body (RFC 9110, 10.1.1),
        which is sent only then: until then the request can't run. None to send
        all at once.
    may_resend : callable, optional
        Called before a request is resent because its pooled connection broke;
        returns whether to resend it. The server may already have run it.
    check_server : callable, optional
        Called on an open connection, before the bytes are sent without which
        the request can't run. Raises BackendFailed if the server must not
        receive new requests.
    """

    __slots__ = (
        'method',
        'target',
        'headers',
        'body',
        'reuse',
        'request_id',
        'id_header',
        'host',
        'accept_unframed',
        'continue_seconds',
        'may_resend',
        'check_server',
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reuse: Reuse,
        request_id: str,
        id_header: str = 'X-Request-Id',
        host: str = '',
        accept_unframed: bool = False,
        continue_seconds: float | None = None,
        may_resend: typing.Callable[[], bool] = lambda: True,
        check_server: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.reuse = reuse
        self.request_id = request_id
        self.id_header = id_header
        self.host = host
        self.accept_unframed = accept_unframed
        self.continue_seconds = continue_seconds
        self.may_resend = may_resend
        self.check_server = check_server

    def encode(self, address: str) -> tuple[bytes, bytes]:
        """Encode the request for the server at `address`.

        Returns
        -------
        bytes, bytes
            What is sent at once, and what the server has to ask for.

        Raises
        ------
        RequestRefused
            The method, the target, the host, the request id or a header
            contains a forbidden character. With a line break, a caller could
            inject a second request into the connection, and the next caller
            would get its response.
        """
        host = self.host or address
        lines = [f'{self.method} {self.target} HTTP/1.1', f'Host: {host}']
        _validate(_FIELD_VALUE, host, 'the host')
        _validate(_TOKEN, self.method, 'the method')
        _validate(_REQUEST_TARGET, self.target, 'the request target')
        for name, value in self.headers:
            _validate(_TOKEN, name, 'a header name')
            _validate(_FIELD_VALUE, value, f'the header {name!r}')
            lines.append(f'{name}: {value}')
        _validate(_FIELD_VALUE, self.request_id, 'the id')
        lines.append(f'{self.id_header}: {self.request_id}')
        body = self.body
        if self.continue_seconds is not None:
            lines.append('Expect: 100-continue')
        if self.continue_seconds is not None and not body:
            # There has to be something to ask for.
            lines.append('Transfer-Encoding: chunked')
            body = _LAST_CHUNK
        elif body or self.method in ('POST', 'PUT', 'PATCH'):
            lines.append(f'Content-Length: {len(body)}')
        header_block = '\r\n'.join(lines) + '\r\n\r\n'
        head = header_block.encode('latin-1')
        if self.continue_seconds is None:
            return head + body, b''
        return head, body


def _validate(pattern: re.Pattern[str], text: str, subject: str) -> None:
    if not pattern.fullmatch(text):
        raise errors.RequestRefused(
            'malformed',
            f'{subject} holds characters that HTTP does not allow;'
            ' send it without control characters or line breaks',
            status=400,
        )
