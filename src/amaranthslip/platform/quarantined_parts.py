"""Quarantined parts of prompts in the platform's store.

Each part has a leased entry, whose key ends with its digest. Deleting the
entry releases the part. The entry also counts the trials of the part.
"""

import json
import logging
import random as random_
import typing

from amaranthslip import errors
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.platform import values as stored_values
from amaranthslip.requests import part_crashes
from amaranthslip.requests import part_trials
from amaranthslip.requests import suspects as suspects_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)


class StoredParts(quarantined.StoredQuarantine):
    """Writes quarantined parts of prompts to the store, and loads them.

    An entry also counts the trials of the part.

    Parameters
    ----------
    settings : Settings
        Keys start with `platform.prefix`.
    key_value : KeyValue
        The client of the store.
    quarantine : Suspects
        Receives the crashes that are loaded from the store.
    """

    _FOLDER = 'quarantined-parts/'

    __slots__ = ('_trials', '_reservations')

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        quarantine: suspects_module.Suspects,
        *,
        random: random_.Random | None = None,
    ) -> None:
        super().__init__(settings, key_value, quarantine, random=random)
        # The trials that the loaded entries count, and the trials to reserve.
        self._trials: dict[bytes, part_trials.TrialState] = {}
        self._reservations: dict[bytes, typing.Callable[[bool], None]] = {}

    def read_trials(self, digest: bytes) -> part_trials.TrialState | None:
        """Return the state of a part's trials; None without an entry."""
        return self._trials.get(digest)

    def reserve_trial(
        self, digest: bytes, notify: typing.Callable[[bool], None]
    ) -> None:
        """Reserve a trial asynchronously; tell `notify` the result."""
        self._reservations[digest] = notify
        self._wake.set()

    def apply_entry(self, entry: keyvalue.Entry) -> None:
        """Apply one entry that was changed or deleted."""
        digest = self._read_fingerprint(entry)
        if digest is not None and entry.value is not None:
            state = _read_trials(entry, self._quarantine.read_clock())
            known = self._trials.get(digest)
            # A restored store may have counted fewer trials.
            if known is None or known.count < state.count:
                self._trials[digest] = state
            if self._quarantine.list_quarantine_crashes(digest):
                # A trial may have crashed a server since.
                self._load(digest, entry)
        super().apply_entry(entry)

    def _forget(self, fingerprint: bytes) -> None:
        self._trials.pop(fingerprint, None)
        self._reservations.pop(fingerprint, None)
        super()._forget(fingerprint)

    def _load(self, fingerprint: bytes, entry: keyvalue.Entry) -> None:
        now = self._quarantine.read_clock()
        try:
            crashes = stored_values.decode(
                entry.value,
                lambda values: [
                    self._read_crash(each, now) for each in values['crashes']
                ],
            )
        except errors.EntryUnreadable:
            # Written by another release, or not by an instance.
            _LOG.warning('quarantine_unreadable', extra={'key': entry.key})
            return
        for crash in crashes:
            self._quarantine.note_crash(fingerprint, crash)

    def _read_crash(
        self, values: dict[str, typing.Any], now: float
    ) -> part_crashes.PartCrash:
        """Return a crash of an entry, the latest of which counts as `now`."""
        account = bytes.fromhex(values['account'])
        sent_before = stored_values.read_number(values['sent_seconds_before'])
        server_crash = self._quarantine.find_crash(
            stored_values.read_text(values['server']),
            stored_values.read_count(values['incarnation']),
            now - stored_values.read_number(values['seconds_before_latest']),
        )
        return part_crashes.PartCrash(
            server_crash, account, server_crash.crashed_at - sent_before
        )

    def _encode(
        self, fingerprint: bytes, crashes: quarantined.Crashes
    ) -> dict[str, typing.Any]:
        state = self._trials.get(fingerprint)
        latest_at = max(each.server_crash.crashed_at for each in crashes)
        return {
            'trials': state.count if state else 0,
            'crashes_at_trial': state.crash_count if state else 0,
            'crashes': [
                _encode_part_crash(each, latest_at) for each in crashes
            ],
        }

    def _write_pending(self) -> None:
        while self._reservations:
            digest, notify = self._reservations.popitem()
            reserved = False
            try:
                reserved = self._write_reservation(digest)
            except errors.PlatformError as error:
                _LOG.info(
                    'part_trial_not_reserved',
                    extra={'part': digest.hex(), 'error': error},
                )
            notify(reserved)
        super()._write_pending()

    def _write_reservation(self, digest: bytes) -> bool:
        """Count one more trial in an entry; return False if it changed."""
        revision = self._revisions.get(digest)
        crashes = self._quarantine.list_quarantine_crashes(digest)
        if revision is None or not crashes:
            return False
        values = self._encode(digest, crashes)
        values['trials'] += 1
        values['crashes_at_trial'] = part_crashes.count_servers(crashes)
        swapped = self._key_value.swap(
            self.prefix + digest.hex(),
            json.dumps(values).encode(),
            expected=revision,
            lease=self._key_value.grant(quarantined.LEASE_SECONDS),
        )
        if swapped is None:
            return False
        self._trials[digest] = part_trials.TrialState(
            values['trials'],
            values['crashes_at_trial'],
            self._quarantine.read_clock(),
        )
        return True


def _encode_part_crash(
    crash: part_crashes.PartCrash, latest_at: float
) -> dict[str, typing.Any]:
    """Return the JSON values of a crash under a part; see `_encode_crash`."""
    server_crash = crash.server_crash
    return {
        'seconds_before_latest': round(latest_at - server_crash.crashed_at, 3),
        'server': server_crash.server,
        'incarnation': server_crash.incarnation,
        'account': crash.account.hex(),
        'sent_seconds_before': round(
            max(0.0, server_crash.crashed_at - crash.sent_at), 3
        ),
    }


def _read_trials(entry: keyvalue.Entry, now: float) -> part_trials.TrialState:
    """Return the state of the trials that an entry has; none by default."""
    try:
        return stored_values.decode(
            entry.value,
            lambda values: part_trials.TrialState(
                stored_values.read_count(values['trials']),
                stored_values.read_count(values['crashes_at_trial']),
                now,
            ),
        )
    except errors.EntryUnreadable:
        return part_trials.TrialState(0, 0, now)
