"""Paths: the target that a plain service gets, and how kinds match it."""

import re
from urllib import parse

from amaranthslip import errors

_SLASHES = re.compile('/{2,}')


def normalise_path(target: str) -> str:
    """Return the path by which kinds of requests are matched.

    Whether a request may run twice hangs on its kind. Were the raw path
    matched, `/%62ookings`, `//bookings` or `/x/../bookings` would pass for
    another kind than `/bookings` and might be repeated.

    Raises
    ------
    RequestRefused
        The path holds dot segments, a backslash or control characters.
    """
    path = parse.unquote(target.partition('?')[0])
    segments = re.split(r'[/\\]', path)
    if '\\' in path or any(each in ('.', '..') for each in segments):
        raise _refuse('dot segments or a backslash')
    if not path.isprintable():
        raise _refuse('control characters')
    return _SLASHES.sub('/', path)


def _refuse(what: str) -> errors.RequestRefused:
    return errors.RequestRefused(
        'malformed',
        f'the path holds {what}; send it in its plain form',
        status=400,
    )
