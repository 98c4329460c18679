"""Decodes the registration entries of backend servers."""

import ipaddress
import logging
import math
import typing

from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.platform import values as stored_values

# The key of a backend server's entry is this prefix and the server's name.
PREFIX = 'servers/'

_LOG = logging.getLogger(__name__)

# A server with more slots is a mistake.
_MAX_SLOTS = 1_000_000
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
    name = key.removeprefix(PREFIX)
    try:
        return stored_values.decode(
            value, lambda values: _read_values(name, values)
        )
    except errors.EntryUnreadable:
        return None


def _read_values(
    name: str, values: dict[str, typing.Any]
) -> document.ListedServer:
    state = values['state']
    if state not in _STATES or not _is_name(name):
        raise ValueError('an unknown state, or a name that fits no header')
    started = stored_values.read_count(values.get('born', 0))
    address = stored_values.read_address(values['address'])
    # Backend servers have IPv4 addresses.
    ipaddress.IPv4Address(address.rpartition(':')[0])
    return document.ListedServer(
        name=name,
        service=stored_values.read_text(values['service']),
        address=address,
        failure_domain=stored_values.read_text(values['zone']),
        slots=stored_values.read_count(values['slots'], 1, _MAX_SLOTS),
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
    try:
        return stored_values.read_version(version)
    except ValueError as error:
        _LOG.warning(
            'software_version_invalid', extra={'server': name, 'error': error}
        )
        return ''


def _read_cold_seconds(name: str, values: dict[str, typing.Any]) -> float:
    milliseconds = values.get('cold_remaining_ms')
    if milliseconds is None:
        return math.inf
    try:
        milliseconds = stored_values.read_number(
            milliseconds, 0, _MAX_COLD_MILLISECONDS
        )
    except ValueError as error:
        _LOG.warning(
            'cold_time_invalid', extra={'server': name, 'error': error}
        )
        return math.inf
    return milliseconds / 1000


def _is_name(name: str) -> bool:
    # Requests carry the name in a header.
    return name.isascii() and name.isprintable() and name.strip() == name != ''
