"""Decoding of the values of the platform's store: the one way to read them.

Others write to the store too. A value that can't be used costs itself only,
whatever is wrong with it.
"""

import ipaddress
import json
import math
import typing

from amaranthslip import errors

_Decoded = typing.TypeVar('_Decoded')

MAX_INTEGER = 2**63 - 1
_MAX_PORT = 65535


def decode(
    value: bytes | None, read: typing.Callable[[typing.Any], _Decoded]
) -> _Decoded:
    """Return what a value encodes.

    Parameters
    ----------
    value : bytes or None
        A JSON text.
    read : callable
        Converts the decoded JSON; may raise any error.

    Raises
    ------
    EntryUnreadable
        The value can't be decoded or converted.
    """
    try:
        return read(json.loads(value))
    except Exception as error:
        # Deep nesting, numbers that are too large and texts that can't be
        # encoded raise errors of a dozen kinds. One that a list of them lacked
        # would end the reading of all entries.
        raise errors.EntryUnreadable(
            f'the value can not be decoded ({str(error)[:200]!r}); remove the'
            ' entry, or write it again'
        ) from None


def read_text(value: typing.Any) -> str:
    """Return a text that is not empty and can be printed.

    Raises
    ------
    ValueError
        It is none. Surrogates can't be encoded in messages.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f'no text: {str(value)[:40]!r}')
    return value


def read_version(value: typing.Any) -> str:
    """Return a software version, which may be empty.

    Raises
    ------
    ValueError
        It is no text.
    """
    return '' if value == '' else read_text(value)


def read_count(
    value: typing.Any, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return an integer within limits.

    Raises
    ------
    ValueError
        It is none.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f'no integer: {str(value)[:40]!r}')
    if not minimum <= value <= maximum:
        raise ValueError('an integer out of range')
    return value


def read_number(
    value: typing.Any, minimum: float = 0.0, maximum: float = 1e15
) -> float:
    """Return a number within limits, as a float.

    Raises
    ------
    ValueError
        It is none, or is not finite.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'no number: {str(value)[:40]!r}')
    if not minimum <= value <= maximum or not math.isfinite(value):
        raise ValueError('a number out of range')
    return float(value)


def read_address(value: typing.Any) -> str:
    """Return an IP address and port that can be dialled.

    Raises
    ------
    ValueError
        It is none. Another text would be looked up as a host name.
    """
    host, _, port = read_text(value).rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdecimal():
        raise ValueError('no port')
    read_count(int(port), 1, _MAX_PORT)
    return value
