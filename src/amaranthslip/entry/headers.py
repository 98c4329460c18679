"""Selects the headers forwarded between callers and backend servers."""

import typing
from urllib import parse

from amaranthslip.platform import headers as wire

# RFC 9110, 7.6.1: hop-by-hop fields, which apply to one connection only, and
# older fields of the same kind.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Set by the router for the backend server. The bearer key authenticates the
# caller to the router and must not reach a backend server, which gets the
# name of the client account instead.
_REPLACED_FOR_BACKEND = frozenset(
    (
        'authorization',
        'content-length',
        'expect',
        'host',
        'x-client-account',
        'x-request-id',
    )
)
_NOT_FORWARDED_TO_PLAIN = _HOP_BY_HOP | _REPLACED_FOR_BACKEND
# In a request that another instance passed on: the version of the
# configuration that is in force there.
PASSED_VERSION = 'Amaranthslip-Passed-Version'
# Marks the answer of an instance that has not taken a passed request. No
# server's answer may have it, or a request that ran would run once more.
PASSED_DECLINED = 'Amaranthslip-Passed-Declined'
# In an answer to a request that was passed: the backend server that gave it,
# its incarnation, and how many servers may have run the request.
PASSED_SERVER = 'Amaranthslip-Passed-Server'
# On an operator's routes, the backend server gets the client account in a
# header that the platform defines. The caller's `Host` is forwarded, but
# through `BackendRequest.host` instead of the header list.
NOT_FORWARDED_ON_ROUTES = (
    _HOP_BY_HOP
    | frozenset(('authorization', 'content-length', 'expect', 'host'))
    | frozenset((PASSED_VERSION.lower(), PASSED_DECLINED.lower()))
    | wire.SYSTEM_ONLY
)
_REPLACED_FOR_CALLER = frozenset(
    (
        'content-length',
        'date',
        'x-request-id',
        PASSED_DECLINED.lower(),
        PASSED_SERVER.lower(),
    )
)

HeaderList = list[tuple[str, str]]


def collect_request_headers(
    environ: dict[str, typing.Any], client_account: str
) -> HeaderList:
    """Return the headers of a request to a plain service."""
    pairs = collect_forwarded(environ, _NOT_FORWARDED_TO_PLAIN)
    pairs.append(('X-Client-Account', client_account))
    return pairs


def collect_forwarded(
    environ: dict[str, typing.Any], excluded_names: frozenset[str]
) -> HeaderList:
    """Return the caller's headers that are forwarded unchanged.

    Parameters
    ----------
    environ : dict
        The WSGI environment of the request.
    excluded_names : frozenset of str
        Names, in lower case, that are not forwarded, in addition to those
        that the caller's `Connection` header lists.
    """
    pairs = []
    excluded_names = excluded_names | _split_names(
        environ.get('HTTP_CONNECTION', '')
    )
    if environ.get('CONTENT_TYPE'):
        pairs.append(('Content-Type', environ['CONTENT_TYPE']))
    for key, value in environ.items():
        if not key.startswith('HTTP_'):
            continue
        name = key[5:].replace('_', '-').lower()
        if name not in excluded_names:
            pairs.append((name.title(), value))
    return pairs


def strip_answer_headers(
    pairs: typing.Iterable[tuple[str, str]],
) -> HeaderList:
    """Return the headers of a backend server's answer for the caller."""
    pairs = list(pairs)
    connection_names: set[str] = set()
    for name, value in pairs:
        if name.lower() == 'connection':
            connection_names |= _split_names(value)
    excluded_names = connection_names | _HOP_BY_HOP | _REPLACED_FOR_CALLER
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in excluded_names
    ]


class AnsweringServer:
    """The server that answered a passed request.

    `runs` counts the servers that may have run the request.
    """

    __slots__ = ('name', 'incarnation', 'runs')

    def __init__(self, name: str, incarnation: int, runs: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.runs = runs

    def build_header(self) -> tuple[str, str]:
        """Return the header that names the server to an instance."""
        name = parse.quote(self.name)
        return (PASSED_SERVER, f'{self.incarnation} {self.runs} {name}')


def read_server(
    pairs: typing.Iterable[tuple[str, str]],
) -> AnsweringServer | None:
    """Return the server that the header of an instance names, if any."""
    for key, value in pairs:
        if key.lower() == PASSED_SERVER.lower():
            incarnation, runs, name = value.split(' ')
            return AnsweringServer(
                parse.unquote(name), int(incarnation), int(runs)
            )
    return None


def _split_names(value: str) -> set[str]:
    return {each.strip().lower() for each in value.split(',') if each.strip()}
