"""The request that is sent to a backend server, and its bytes."""

import enum
import re
import typing

from amaranthslip import errors

# RFC 9110: a method and a field name are tokens (5.1, 9.1); a field value
# holds no control character (5.5); a request target holds no white space.
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
_TARGET = re.compile(r'/[^\x00-\x20\x7f]*')

Headers = typing.Sequence[tuple[str, str]]


class Reuse(enum.Enum):
    """On which connections a request may go out."""

    # A new one: its effect must be known, so a failure to connect must be
    # told from one that comes later.
    NEVER = 'never'
    # One that was used a moment ago, or a new one: it is not sent again.
    SURE = 'sure'
    # Any that was kept: if that breaks, it is sent again on a new one.
    ANY = 'any'


class Outgoing:
    """One request as a backend server gets it.

    Parameters
    ----------
    method, target : str
        Of the request line; the target is in origin form.
    headers : sequence of (str, str)
        Without Host, Content-Length and the hop-by-hop fields.
    body : bytes
        The whole body.
    reuse : Reuse
        Whether it may go out on a connection that was used before.
    request_id : str
        Sent as `id_header`; an answer that echoes another is not ours.
    id_header : str
        The header of the request's id.
    host : str
        The `Host` to send; the server's address by default.
    unframed_ends : bool
        Whether an answer without a length, whose connection is closed in
        order, is whole.
    may_resend : callable, optional
        Asked before a request goes out once more because the kept connection
        broke under it: its server may have run it.
    check_server : callable, optional
        Called on an open connection, before the request is sent. Raises
        BackendFailed if the server must not receive new requests.
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
        'unframed_ends',
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
        unframed_ends: bool = False,
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
        self.unframed_ends = unframed_ends
        self.may_resend = may_resend
        self.check_server = check_server

    def encode(self, address: str) -> bytes:
        """Return the bytes for the server at `address`.

        Raises
        ------
        RequestRefused
            A header or the target can't be sent as it is: were a line break
            let through, one caller could write a second request into the
            connection, and the next caller would get its answer.
        """
        host = self.host or address
        lines = [f'{self.method} {self.target} HTTP/1.1', f'Host: {host}']
        _check(_VALUE, host, 'the host')
        _check(_TOKEN, self.method, 'the method')
        _check(_TARGET, self.target, 'the request target')
        for name, value in self.headers:
            _check(_TOKEN, name, 'a header name')
            _check(_VALUE, value, f'the header {name!r}')
            lines.append(f'{name}: {value}')
        _check(_VALUE, self.request_id, 'the id')
        lines.append(f'{self.id_header}: {self.request_id}')
        if self.body or self.method in ('POST', 'PUT', 'PATCH'):
            lines.append(f'Content-Length: {len(self.body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        return head.encode('latin-1') + self.body


def _check(pattern: re.Pattern[str], text: str, what: str) -> None:
    if not pattern.fullmatch(text):
        raise errors.RequestRefused(
            'malformed',
            f'{what} holds characters that HTTP does not allow;'
            ' send it without control characters or line breaks',
            status=400,
        )
