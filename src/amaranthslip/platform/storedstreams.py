"""Unfinished streams of each process in the platform's store.

Each process has one leased entry. It is read by processes that start later.
"""

import base64
import json
import logging
import typing
import uuid

from amaranthslip import errors
from amaranthslip.platform import keyvalue
from amaranthslip.platform import values as stored_values
from amaranthslip.requests import stream_records
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_FOLDER = 'streams/'
# An entry remains for at least two thirds of this time after its process has
# ended.
_LEASE_SECONDS = 90.0
_RENEW_SECONDS = 30.0


class StoredStreams:
    """Reads the entries of all processes, and writes that of this process.

    Parameters
    ----------
    settings : Settings
        Keys start with `platform.prefix`, and name the instance.
    key_value : KeyValue
        The client of the store.
    records : StreamRecords
        Gets what other processes have recorded.
    """

    __slots__ = (
        'prefix',
        '_key_value',
        '_records',
        '_key',
        '_lease',
        '_renewed_at',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        records: stream_records.StreamRecords,
    ) -> None:
        self.prefix = settings.platform.prefix + _FOLDER
        self._key_value = key_value
        self._records = records
        # A process of the same name may still have streams in its entry.
        self._key = f'{self.prefix}{settings.instance.name}/{uuid.uuid4().hex}'
        self._lease = 0
        self._renewed_at = float('-inf')

    def replace_entries(
        self, entries: typing.Iterable[keyvalue.Entry]
    ) -> None:
        """Replace what is known of other processes by a full read."""
        self._records.replace(
            streams
            for entry in entries
            if entry.key != self._key
            for streams in _read_streams(entry)
        )

    def write(
        self,
        streams: typing.Iterable[stream_records.VersionStreams],
        now: float,
    ) -> None:
        """Write the unfinished streams of this process.

        Parameters
        ----------
        now : float
            Monotonic time in seconds, which tells when to renew the lease.

        Raises
        ------
        PlatformError
            The store did not confirm the write.
        """
        if now - self._renewed_at >= _RENEW_SECONDS:
            if not self._lease or not self._key_value.renew(self._lease):
                self._lease = 0
                self._lease = self._key_value.grant(_LEASE_SECONDS)
            self._renewed_at = now
        values = [
            {
                'service': each.service,
                'version': each.software_version,
                'streams': base64.b64encode(each.digests).decode(),
            }
            for each in streams
        ]
        self._key_value.put(
            self._key, json.dumps(values).encode(), lease=self._lease
        )


def _read_streams(
    entry: keyvalue.Entry,
) -> list[stream_records.VersionStreams]:
    try:
        return stored_values.decode(
            entry.value, lambda values: [_read_one(each) for each in values]
        )
    except errors.EntryUnreadable:
        # Written by another release, or not by an instance.
        _LOG.warning('streams_unreadable', extra={'key': entry.key})
        return []


def _read_one(values: dict[str, typing.Any]) -> stream_records.VersionStreams:
    digests = base64.b64decode(values['streams'], validate=True)
    if len(digests) % stream_records.DIGEST_BYTES:
        raise ValueError('a digest that is cut off')
    return stream_records.VersionStreams(
        stored_values.read_text(values['service']),
        stored_values.read_version(values['version']),
        digests,
    )
