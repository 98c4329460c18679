"""Normalises request paths for matching them to request kinds."""

import re
from urllib import parse

from amaranthslip import errors

_SLASHES = re.compile('/{2,}')


def normalise_path(target: str) -> str:
    """Return the path that is matched against request kinds.

    The request kind decides whether a request may be retried. If the raw
    path were matched, `/%62ookings`, `//bookings` or `/x/../bookings` could
    match another kind than `/bookings`, and the booking could run twice.

    Raises
    ------
    RequestRefused
        The path contains dot segments, a backslash or control characters.
    """
    path = parse.unquote(target.partition('?')[0])
    segments = re.split(r'[/\\]', path)
    if '\\' in path or any(each in ('.', '..') for each in segments):
        raise _build_path_error('dot segments or a backslash')
    if not path.isprintable():
        raise _build_path_error('control characters')
    return _SLASHES.sub('/', path)


def _build_path_error(parts: str) -> errors.RequestRefused:
    return errors.RequestRefused(
        'malformed',
        f'the path holds {parts}; send it in its plain form',
        status=400,
    )
