"""Software versions of each service in the platform's store.

Each service has one entry without a lease, which outlives all instances.
"""

import json
import logging
import typing

from amaranthslip.capacity import software
from amaranthslip import errors
from amaranthslip.platform import keyvalue
from amaranthslip.platform import values as stored_values
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_FOLDER = 'software-versions/'


def _read_versions(values: typing.Any) -> list[str]:
    if not isinstance(values, list):
        raise ValueError('no list')
    return [stored_values.read_version(each) for each in values]


class StoredVersions:
    """Reads and writes the entries of the services.

    Parameters
    ----------
    settings : Settings
        Keys start with `platform.prefix`.
    key_value : KeyValue
        The client of the store.
    history : SoftwareHistory
        Gets what the store records.
    """

    __slots__ = ('prefix', '_key_value', '_history', '_revisions')

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        history: software.SoftwareHistory,
    ) -> None:
        self.prefix = settings.platform.prefix + _FOLDER
        self._key_value = key_value
        self._history = history
        # By service.
        self._revisions: dict[str, int] = {}

    def replace_entries(
        self, entries: typing.Iterable[keyvalue.Entry]
    ) -> None:
        """Replace all known entries by those of a full read."""
        entries = list(entries)
        present = {each.key for each in entries}
        for service in list(self._revisions):
            if self.prefix + service not in present:
                self._drop(service)
        for entry in entries:
            self.apply_entry(entry)

    def apply_entry(self, entry: keyvalue.Entry) -> None:
        """Apply one entry that was changed or deleted."""
        service = entry.key.removeprefix(self.prefix)
        if entry.value is None:
            self._drop(service)
            return
        self._revisions[service] = entry.revision
        try:
            versions = stored_values.decode(entry.value, _read_versions)
        except errors.EntryUnreadable:
            # Written by another release, or not by an instance.
            _LOG.warning(
                'software_versions_unreadable', extra={'service': service}
            )
            self._history.forget_record(service)
            return
        self._history.record(service, versions)

    def _drop(self, service: str) -> None:
        self._revisions.pop(service, None)
        self._history.forget_record(service)

    def write(self, service: str, versions: typing.Iterable[str]) -> None:
        """Write the versions of a service, unless its entry has changed.

        Raises
        ------
        PlatformError
            The store did not confirm the write.
        """
        key = self.prefix + service
        value = json.dumps(sorted(versions)).encode()
        revision = self._key_value.swap(
            key, value, expected=self._revisions.get(service, 0)
        )
        if revision is not None:
            self.apply_entry(keyvalue.Entry(key, value, revision))
            return
        entry = self._key_value.get(key)
        self.apply_entry(entry or keyvalue.Entry(key, None, 0))
