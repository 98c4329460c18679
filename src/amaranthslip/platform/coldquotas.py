"""The quotas of cold servers in the platform's store.

Each server has a leased entry, whose key ends with the name of the server.
"""

import json
import logging
import typing

from amaranthslip import errors
from amaranthslip.platform import keyvalue
from amaranthslip.platform import values as stored_values
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_FOLDER = 'cold-quotas/'
# The platform allows at most ten minutes.
_LEASE_SECONDS = 600.0
# A higher quota of requests per second is a mistake.
_MAX_REQUESTS = 1_000_000

_Quotas = typing.Mapping[str, int]


class StoredQuotas:
    """Reads the quotas of cold servers, and writes missing ones.

    Parameters
    ----------
    settings : Settings
        Keys start with `platform.prefix`.
    key_value : KeyValue
        The client of the store.
    """

    __slots__ = ('prefix', '_key_value', '_quotas')

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
    ) -> None:
        self.prefix = settings.platform.prefix + _FOLDER
        self._key_value = key_value
        self._quotas: dict[str, _Quotas] = {}

    def read(self, server: str) -> _Quotas | None:
        """Return a server's requests per second by instance, or None."""
        return self._quotas.get(server)

    def replace_entries(
        self, entries: typing.Iterable[keyvalue.Entry]
    ) -> None:
        """Replace all known quotas by those of a full read."""
        self._quotas.clear()
        for entry in entries:
            self.apply_entry(entry)

    def apply_entry(self, entry: keyvalue.Entry) -> None:
        """Apply one entry that was changed or deleted."""
        server = entry.key.removeprefix(self.prefix)
        if entry.value is None:
            self._quotas.pop(server, None)
        else:
            self._quotas[server] = _read_quotas(server, entry.value)

    def assign(self, quotas: typing.Mapping[str, _Quotas]) -> None:
        """Write the quotas of servers that have none yet.

        Quotas that another instance wrote meanwhile are kept. The quotas are
        used once they arrive as entries.

        Raises
        ------
        PlatformError
            Some quotas may not have been written.
        """
        lease = self._key_value.grant(_LEASE_SECONDS)
        for server, each in quotas.items():
            value = json.dumps({'requests_per_second': dict(each)})
            self._key_value.swap(
                self.prefix + server, value.encode(), expected=0, lease=lease
            )


def _read_quotas(server: str, value: bytes) -> _Quotas:
    """Return the quotas of an entry; empty if it can't be decoded."""
    try:
        return stored_values.decode(
            value,
            lambda values: {
                stored_values.read_text(name): stored_values.read_count(
                    count, 0, _MAX_REQUESTS
                )
                for name, count in values['requests_per_second'].items()
            },
        )
    except errors.EntryUnreadable:
        # Written by another release, or not by an instance. Nothing is sent
        # to the server while it is cold.
        _LOG.warning('cold_quotas_unreadable', extra={'server': server})
        return {}
