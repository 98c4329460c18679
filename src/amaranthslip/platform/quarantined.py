"""Quarantined requests in the platform's store, persistent across restarts.

Each request has a leased entry, whose key ends with the fingerprint. Deleting
the entry releases the request.
"""

import collections
import json
import logging
import random as random_
import typing

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip.platform import keyvalue
from amaranthslip.platform import values as stored_values
from amaranthslip.requests import part_crashes
from amaranthslip.requests import quarantine as quarantine_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

LEASE_SECONDS = quarantine_module.RETENTION_SECONDS
# An instance that refuses a request after one third of the lease has passed
# writes the entry again.
_RENEWALS = 3
# Seconds after which a write is retried if the entry has not been loaded from
# the store, and after which a failed load is retried.
_RETRY_SECONDS = 5.0
# Seconds between reloads by an instance that does not follow the store.
_RELOAD_SECONDS = 60.0
# Seconds within which the instances write an entry again that the restored
# store lacks. Each draws a time; after the first write the others need none.
_REWRITE_SECONDS = 10.0
# Maximum numbers of queued writes and of requests with a scheduled write.
_MAX_PENDING = 64
_MAX_SCHEDULED = 1024
# The highest number of an event that messages between instances can hold.
_MAX_EVENT = 2**32 - 1

Crashes = typing.Sequence[quarantine_module.Crash | part_crashes.PartCrash]


class Quarantine(typing.Protocol):
    """Keeps the crashes of what is quarantined, by digest.

    `quarantine.Quarantine` keeps those of requests, and `suspects.Suspects`
    those of parts of prompts.
    """

    def read_clock(self) -> float:
        """Return the current monotonic time."""

    def list_quarantine_crashes(self, fingerprint: bytes) -> Crashes:
        """Return the crashes if it is quarantined, else nothing."""

    def note_repeat(self, fingerprint: bytes) -> None:
        """Extend the retention of the crashes."""

    def release(self, fingerprint: bytes) -> bool:
        """Discard the crashes; return whether there were any."""


class StoredQuarantine:
    """Writes quarantined requests to the store, and loads its entries.

    Parameters
    ----------
    settings : Settings
        Keys start with `platform.prefix`.
    key_value : KeyValue
        The client of the store.
    quarantine : Quarantine
        Receives the crashes that are loaded from the store.
    """

    _FOLDER = 'quarantine/'

    __slots__ = (
        'prefix',
        '_key_value',
        '_quarantine',
        '_pending',
        '_wake',
        '_revisions',
        '_next_write_at',
        '_rewrite_at',
        '_random',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        quarantine: Quarantine,
        *,
        random: random_.Random | None = None,
    ) -> None:
        self.prefix = settings.platform.prefix + self._FOLDER
        self._key_value = key_value
        self._quarantine = quarantine
        # Queued writes by fingerprint: the crashes, or none for a removal.
        self._pending: dict[bytes, Crashes] = {}
        self._wake = event.Event()
        # Revisions of the loaded entries by fingerprint.
        self._revisions: dict[bytes, int] = {}
        # Earliest time of the next write by fingerprint.
        self._next_write_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Time at which an entry that the restored store lacks is written.
        self._rewrite_at: dict[bytes, float] = {}
        self._random = random or random_.Random()

    def put(self, fingerprint: bytes, crashes: Crashes) -> None:
        """Queue a write of a request's entry."""
        self._schedule_write(fingerprint, _RETRY_SECONDS)
        self._enqueue(fingerprint, crashes)

    def renew(self, fingerprint: bytes, crashes: Crashes) -> None:
        """Write the entry of a repeated request again if a write is due."""
        if fingerprint not in self._next_write_at:
            self._schedule_write(fingerprint, _RETRY_SECONDS)
        if self._quarantine.read_clock() >= self._next_write_at[fingerprint]:
            self.put(fingerprint, crashes)

    def remove(self, fingerprint: bytes) -> None:
        """Queue the removal of a request's entry."""
        self._pending.pop(fingerprint, None)
        if fingerprint in self._revisions.keys() | self._next_write_at.keys():
            self._enqueue(fingerprint, ())

    def replace_entries(
        self,
        entries: typing.Iterable[keyvalue.Entry],
        *,
        restored: bool = False,
    ) -> None:
        """Load all entries, and release requests that no longer have one.

        With `restored`, requests without an entry stay quarantined, and their
        entries are written again.
        """
        deleted = set(self._revisions)
        for entry in entries:
            self.apply_entry(entry)
            deleted.discard(self._read_fingerprint(entry))
        for fingerprint in deleted:
            if restored:
                self._schedule_rewrite(fingerprint)
            elif fingerprint not in self._rewrite_at:
                self._forget(fingerprint)

    def _schedule_rewrite(self, fingerprint: bytes) -> None:
        self._rewrite_at[fingerprint] = (
            self._quarantine.read_clock()
            + self._random.uniform(0.0, _REWRITE_SECONDS)
        )
        self._wake.set()

    def apply_entry(self, entry: keyvalue.Entry) -> None:
        """Apply one entry that was changed or deleted."""
        fingerprint = self._read_fingerprint(entry)
        if fingerprint is None:
            return
        if entry.value is None:
            self._forget(fingerprint)
            return
        if self._revisions.get(fingerprint) == entry.revision:
            return
        self._revisions[fingerprint] = entry.revision
        self._rewrite_at.pop(fingerprint, None)
        self._schedule_write(fingerprint, LEASE_SECONDS / _RENEWALS)
        if self._quarantine.list_quarantine_crashes(fingerprint):
            # A write for a quarantined request extends the record. Its crashes
            # are already counted.
            self._quarantine.note_repeat(fingerprint)
            return
        self._load(fingerprint, entry)

    def _load(self, fingerprint: bytes, entry: keyvalue.Entry) -> None:
        """Count the crashes of an entry."""
        now = self._quarantine.read_clock()
        for crash in _read_crashes(entry, now):
            self._quarantine.note_crash(fingerprint, crash)

    def _encode(
        self, fingerprint: bytes, crashes: Crashes
    ) -> dict[str, typing.Any]:
        """Return the JSON values of an entry."""
        latest_at = max(each.crashed_at for each in crashes)
        return {
            'crashes': [_encode_crash(each, latest_at) for each in crashes]
        }

    def keep_loaded(self) -> None:
        """Load all entries periodically until killed.

        For an instance that does not follow the store's changes.
        """
        while True:
            wait = _RELOAD_SECONDS
            try:
                self.replace_entries(self._key_value.read_prefix(self.prefix))
            except errors.PlatformError as error:
                _LOG.info('quarantine_not_loaded', extra={'error': error})
                wait = _RETRY_SECONDS
            gevent.sleep(wait)

    def run(self) -> None:
        """Process the queued writes until killed."""
        while True:
            self._wake.wait(self._compute_rewrite_wait())
            self._wake.clear()
            self._enqueue_rewrites()
            self._write_pending()

    def _write_pending(self) -> None:
        while self._pending:
            fingerprint = next(iter(self._pending))
            crashes = self._pending.pop(fingerprint)
            try:
                self._write(fingerprint, crashes)
            except errors.PlatformError as error:
                # Retried when the request is repeated.
                _LOG.warning(
                    'quarantine_unwritten',
                    extra={
                        'fingerprint': fingerprint.hex(),
                        'error': error,
                    },
                )

    def _compute_rewrite_wait(self) -> float | None:
        """Return the seconds until the first rewrite; None if none is due."""
        if not self._rewrite_at:
            return None
        first = min(self._rewrite_at.values())
        return max(0.0, first - self._quarantine.read_clock())

    def _enqueue_rewrites(self) -> None:
        now = self._quarantine.read_clock()
        for fingerprint, due_at in list(self._rewrite_at.items()):
            if due_at > now:
                continue
            del self._rewrite_at[fingerprint]
            crashes = self._quarantine.list_quarantine_crashes(fingerprint)
            if crashes:
                self.put(fingerprint, crashes)

    def _enqueue(self, fingerprint: bytes, crashes: Crashes) -> None:
        if len(self._pending) < _MAX_PENDING:
            self._pending[fingerprint] = crashes
            self._wake.set()

    def _schedule_write(self, fingerprint: bytes, seconds: float) -> None:
        self._next_write_at[fingerprint] = (
            self._quarantine.read_clock() + seconds
        )
        self._next_write_at.move_to_end(fingerprint)
        while len(self._next_write_at) > _MAX_SCHEDULED:
            self._next_write_at.popitem(last=False)

    def _forget(self, fingerprint: bytes) -> None:
        self._revisions.pop(fingerprint, None)
        self._next_write_at.pop(fingerprint, None)
        self._rewrite_at.pop(fingerprint, None)
        self._quarantine.release(fingerprint)

    def _write(self, fingerprint: bytes, crashes: Crashes) -> None:
        key = self.prefix + fingerprint.hex()
        if not crashes:
            # The latest revision may not have been loaded by this instance.
            entry = self._key_value.get(key)
            if entry is not None:
                self._key_value.delete(key, expected=entry.revision)
            return
        lease = self._key_value.grant(LEASE_SECONDS)
        value = json.dumps(self._encode(fingerprint, crashes))
        self._key_value.put(key, value.encode(), lease=lease)

    def _read_fingerprint(self, entry: keyvalue.Entry) -> bytes | None:
        try:
            return bytes.fromhex(entry.key.removeprefix(self.prefix))
        except ValueError:
            _LOG.warning('quarantine_unreadable', extra={'key': entry.key})
            return None


def _encode_crash(
    crash: quarantine_module.Crash, latest_at: float
) -> dict[str, typing.Any]:
    """Return the JSON values of a crash.

    Its time is relative to the latest crash of the entry, because monotonic
    clocks are not comparable between instances.
    """
    return {
        'seconds_before_latest': round(latest_at - crash.crashed_at, 3),
        'server': crash.server,
        'incarnation': crash.incarnation,
        'last_event': crash.last_event,
    }


def _read_crashes(
    entry: keyvalue.Entry, now: float
) -> list[quarantine_module.Crash]:
    """Return the crashes of an entry, with the latest at the time `now`."""

    def read(values: dict[str, typing.Any]) -> list[quarantine_module.Crash]:
        return [
            quarantine_module.Crash(
                stored_values.read_text(each['server']),
                stored_values.read_count(each['incarnation']),
                last_event=stored_values.read_count(
                    each['last_event'], 0, _MAX_EVENT
                ),
                crashed_at=now
                - stored_values.read_number(each['seconds_before_latest']),
            )
            for each in values['crashes']
        ]

    try:
        return stored_values.decode(entry.value, read)
    except errors.EntryUnreadable:
        # Written by another release, or not by an instance.
        _LOG.warning('quarantine_unreadable', extra={'key': entry.key})
        return []
