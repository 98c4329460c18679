"""Decodes the entries by which backend servers register themselves."""

import json
import re
import typing

from amaranthslip.configuration import document

# Each backend server's entry stands below this, under its name.
PREFIX = 'servers/'

_ADDRESS = re.compile(r'[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}')
_LEAVING = 'draining'
_STATES = ('ready', _LEAVING)


def read_backend_server(
    key: str, value: bytes
) -> document.ListedServer | None:
    """Return the backend server of an entry.

    None where the entry names none that can be used: another writer's, a
    state that isn't known, fields that are missing or of another type. The
    other entries hold all the same.
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
        leaving=state == _LEAVING,
        # The Unix millisecond of its start: a server that comes back under
        # its name has forgotten its cache, and counts from nothing.
        incarnation=started,
    )


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
