"""Headers: which fields pass between callers and backend servers."""

import typing

from amaranthslip.platform import headers as wire

# RFC 9110, 7.6.1: fields for one connection only, and the older names.
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
# Written anew for the backend server. The bearer key is this fleet's own
# and must not reach a backend server; the account's name goes instead.
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
# On an operator's routes the host passes on as well, and the backend server
# learns the account by a header of the platform's.
NOT_FORWARDED_ON_ROUTES = (
    _HOP_BY_HOP
    | frozenset(('authorization', 'content-length', 'expect', 'host'))
    | wire.SYSTEM_ONLY
)
_REPLACED_FOR_CALLER = frozenset(('content-length', 'date', 'x-request-id'))

Pairs = list[tuple[str, str]]


def collect_request_headers(
    environ: dict[str, typing.Any], client_account: str
) -> Pairs:
    """Return what a plain service gets of a caller's headers."""
    pairs = collect_forwarded(environ, _NOT_FORWARDED_TO_PLAIN)
    pairs.append(('X-Client-Account', client_account))
    return pairs


def collect_forwarded(
    environ: dict[str, typing.Any], barred: frozenset[str]
) -> Pairs:
    """Return a caller's headers that pass on unchanged.

    Parameters
    ----------
    environ : dict
        The request, as WSGI has it.
    barred : frozenset of str
        Names, in lower case, that don't pass, besides those that the caller
        names as its connection's.
    """
    pairs = []
    barred = barred | _split(environ.get('HTTP_CONNECTION', ''))
    if environ.get('CONTENT_TYPE'):
        pairs.append(('Content-Type', environ['CONTENT_TYPE']))
    for key, value in environ.items():
        if not key.startswith('HTTP_'):
            continue
        name = key[5:].replace('_', '-').lower()
        if name not in barred:
            pairs.append((name.title(), value))
    return pairs


def strip_answer_headers(pairs: typing.Iterable[tuple[str, str]]) -> Pairs:
    """Return what a caller gets of a backend server's headers."""
    pairs = list(pairs)
    named: set[str] = set()
    for name, value in pairs:
        if name.lower() == 'connection':
            named |= _split(value)
    barred = named | _HOP_BY_HOP | _REPLACED_FOR_CALLER
    return [
        (name, value) for name, value in pairs if name.lower() not in barred
    ]


def _split(value: str) -> set[str]:
    return {each.strip().lower() for each in value.split(',') if each.strip()}
