"""Decodes the registration entries of backend servers."""

import ipaddress
import json
import logging
import math
import typing

from amaranthslip.configuration import document

# The key of a backend server's entry is this prefix and the server's name.
PREFIX = 'servers/'

_LOG = logging.getLogger(__name__)

_MAX_PORT = 65535
# A server with more slots is a mistake, as is a later start time: it would
# not fit into messages between instances.
_MAX_SLOTS = 1_000_000
_MAX_STARTED = 2**63 - 1
_ONLY_INCARNATION = 1
_DRAINING = 'draining'
# A longer cold time, of more than a day, is a mistake.
_MAX_COLD_MILLISECONDS = 86_400_000
_STATES = ('ready', _DRAINING)


def read_backend_server(
    key: str, value: bytes
) -> document.ListedServer | None:
    """Return the backend server that an entry describes.

    Returns None for an entry that cannot be used: an entry in another
    format, an unknown state, or fields that are missing, of another type or
    out of range. Such an entry does not affect the other entries. Only `born`
    may be missing, in the entries of earlier builds, or 0: the time of the
    start is then unknown.
    """
    try:
        values = json.loads(value)
        return _read_values(key.removeprefix(PREFIX), values)
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def _read_values(
    name: str, values: dict[str, typing.Any]
) -> document.ListedServer | None:
    service, address = values['service'], values['address']
    state, slots = values['state'], values['slots']
    started = values.get('born', 0)
    texts = (service, address, state, values['zone'])
    if not all(map(_is_text, texts)) or not _is_name(name):
        return None
    if not _is_count(slots, 1, _MAX_SLOTS):
        return None
    if not _is_count(started, 0, _MAX_STARTED):
        return None
    if state not in _STATES or not _is_address(address):
        return None
    return document.ListedServer(
        name=name,
        service=service,
        address=address,
        failure_domain=values['zone'],
        slots=slots,
        leaving=state == _DRAINING,
        # The server's start time in Unix milliseconds. A server that
        # restarts under the same name has lost its cache and its running
        # requests. Without it each start has a name of its own.
        incarnation=started or _ONLY_INCARNATION,
        cold_seconds=_read_cold_seconds(name, values),
        software_version=_read_software_version(name, values),
    )


def _read_software_version(name: str, values: dict[str, typing.Any]) -> str:
    version = values.get('version', '')
    if isinstance(version, str) and (not version or _is_text(version)):
        return version
    _LOG.warning(
        'software_version_invalid',
        extra={'server': name, 'version': repr(version)},
    )
    return ''


def _read_cold_seconds(name: str, values: dict[str, typing.Any]) -> float:
    milliseconds = values.get('cold_remaining_ms')
    if milliseconds is None:
        return math.inf
    if (
        isinstance(milliseconds, bool)
        or not isinstance(milliseconds, int | float)
        or not 0 <= milliseconds <= _MAX_COLD_MILLISECONDS
    ):
        _LOG.warning(
            'cold_time_invalid',
            extra={'server': name, 'milliseconds': milliseconds},
        )
        return math.inf
    return milliseconds / 1000


def _is_count(value: object, minimum: int, maximum: int) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and minimum <= value <= maximum
    )


def _is_text(value: object) -> bool:
    # Surrogates, which are not printable, can't be encoded in messages.
    return isinstance(value, str) and bool(value) and value.isprintable()


def _is_name(name: str) -> bool:
    # Requests carry the name in a header.
    return name.isascii() and name.isprintable() and name.strip() == name != ''


def _is_address(address: str) -> bool:
    # A connection to another text would look it up as a host name.
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 1 <= int(port) <= _MAX_PORT
