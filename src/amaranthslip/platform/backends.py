"""Decodes the registration entries of backend servers."""

import json
import logging
import math
import re
import typing

from amaranthslip.configuration import document

# The key of a backend server's entry is this prefix and the server's name.
PREFIX = 'servers/'

_LOG = logging.getLogger(__name__)

_ADDRESS = re.compile(r'[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}')
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
    format, an unknown state, or fields that are missing or of another type.
    Such an entry does not affect the other entries.
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
    if not all(isinstance(each, str) for each in texts):
        return None
    if not _is_count(slots) or slots < 1 or not _is_count(started):
        return None
    if state not in _STATES or not _ADDRESS.fullmatch(address):
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
    if isinstance(version, str):
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


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
