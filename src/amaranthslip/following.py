"""Follows the entries of the platform's store.

One long poll over all keys serves configuration, backend servers, instances
and quarantined requests: each call to the store is paid for, and a long poll
counts as one call for any number of keys. A few instances of the fleet poll
and relay the changes; see `configuration.sources`.
"""

import contextlib
import logging
import random as random_

import gevent

from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import relaying as relaying_module
from amaranthslip.configuration import revisions
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip import entries as entries_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip import pauses as pauses_module
from amaranthslip.platform import keyvalue

_LOG = logging.getLogger(__name__)

# Seconds after its start before an instance watches the store: until its
# roster lists the other instances, it would rank itself as the only watcher.
_WATCH_DELAY_SECONDS = 1.5
# Limits the doublings of the backoff after consecutive failed calls of an
# instance that is not a watcher.
_MAX_BACKOFF_DOUBLINGS = 2


class Follower:
    """Applies the entries of the store and their changes on this instance.

    Parameters
    ----------
    staleness : Staleness
        The maximum length of each wait.
    key_value : KeyValue
        The client of the store.
    entries : Entries
        Applies entries to the parts of this instance.
    freshness : Freshness
        Records up to when all changes are in force.
    relaying : Relaying
        Relays changes to listeners, and reports the loss of the store.
    metrics : Metrics
        Counts `store_calls` by their cause.
    random : random.Random
        Source of the backoff's jitter.
    pauses : Waiter
        The waits of `run`.
    stamp_pauses : Waiter
        The waits of `run_stamp_loop`.
    """

    __slots__ = (
        '_staleness',
        '_key_value',
        '_entries',
        '_freshness',
        '_relaying',
        '_metrics',
        '_random',
        '_revision',
        '_era',
        '_store_lost_at',
        '_consecutive_failures',
        '_pauses',
        '_stamp_pauses',
        '_gap_since',
        '_reads_staggered',
        '_sources_confirmed_at',
        '_last_watcher_index',
        '_sources_silent',
        '_deputy_asks',
        '_started_at',
        '_exits',
    )

    def __init__(
        self,
        staleness: staleness_module.Staleness,
        key_value: keyvalue.KeyValue,
        entries: entries_module.Entries,
        freshness: freshness_module.Freshness,
        relaying: relaying_module.Relaying,
        metrics: metrics_module.Metrics,
        *,
        random: random_.Random | None = None,
        pauses: pauses_module.Waiter | None = None,
        stamp_pauses: pauses_module.Waiter | None = None,
    ) -> None:
        self._staleness = staleness
        self._key_value = key_value
        self._entries = entries
        self._freshness = freshness
        self._relaying = relaying
        self._metrics = metrics
        self._random = random or random_.Random()
        # The store revision up to which all changes are known here; None: the
        # store has to be read in full.
        self._revision: int | None = None
        # The era of the last full read; None before the first one.
        self._era: int | None = None
        # When the current series of failed calls to the store began; None: the
        # last call was answered.
        self._store_lost_at: float | None = None
        self._consecutive_failures = 0
        self._pauses = pauses or pauses_module.Waiter()
        self._stamp_pauses = stamp_pauses or pauses_module.Waiter()
        # When relayed changes first began after the revision known here, so
        # that some between are missing; None: none are missing.
        self._gap_since: float | None = None
        # Whether to wait for a random time before the next full read.
        self._reads_staggered = False
        # The time up to which sources proved that they relayed all changes.
        self._sources_confirmed_at = float('-inf')
        # The position among the watchers at the last poll; None: this instance
        # was no watcher, or the next poll has to be staggered again.
        self._last_watcher_index: int | None = None
        # Whether this instance polls because its sources confirm nothing.
        self._sources_silent = False
        # How often deputies were asked since the knowledge became old.
        self._deputy_asks = 0
        self._started_at = freshness.read_clock()
        self._exits = contextlib.ExitStack()

    @property
    def reaches_store(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._store_lost_at is None

    @property
    def has_gap(self) -> bool:
        """Whether changes between `revision` and relayed ones are missing."""
        return self._gap_since is not None

    @property
    def revision(self) -> int | None:
        """The store revision up to which all changes are known, or None."""
        return self._revision

    def start(self) -> None:
        """Start the greenlets that follow the store and send stamps."""
        for loop in (self.run, self.run_stamp_loop):
            self._exits.callback(gevent.spawn(loop).kill)

    def close(self) -> None:
        """Stop both greenlets."""
        self._exits.close()

    def run(self) -> None:
        """Follow the store until the greenlet is killed."""
        while True:
            try:
                self.step()
            except errors.PlatformError as error:
                self._record_failure(error)
                self._back_off()
            except Exception:
                # An error in processing one answer must not end the loop: an
                # instance that stopped following would accept revoked keys
                # until its knowledge is too old, and then refuse all requests.
                _LOG.exception('follow_failed')
                self._revision = None
                self._back_off()

    def run_stamp_loop(self) -> None:
        """Send the sources stamps until the greenlet is killed.

        Stamps are also sent while this instance polls the store itself: only
        an echo shows that the sources work again, so that it may stop polling.
        """
        while True:
            self._send_stamp()
            self._stamp_pauses.wait(self._staleness.stamp_interval_seconds)

    def _send_stamp(self) -> None:
        if self._revision is None:
            return
        deputy_asks = None
        if self._freshness.age >= self._fallback_age_seconds:
            # Neither the sources nor the store confirm anything. Other
            # instances may know the changes, so that this one need not route
            # by what is too old.
            deputy_asks = self._deputy_asks
            self._deputy_asks += 1
        else:
            self._deputy_asks = 0
        self._relaying.send_stamp(
            self._revision, missed=self.has_gap, deputy_asks=deputy_asks
        )

    def _back_off(self) -> None:
        # Jitter, so that instances that lost the store together don't call it
        # again at the same time.
        is_watcher = self._relaying.sources.watcher_index is not None
        doublings = (
            0
            if is_watcher
            else min(self._consecutive_failures, _MAX_BACKOFF_DOUBLINGS)
        )
        self._pauses.sleep(
            self._random.uniform(
                self._staleness.min_backoff_seconds,
                self._staleness.max_backoff_seconds,
            )
            * 2**doublings
        )

    def step(self) -> None:
        """Run one iteration: read all entries, or wait for changes.

        Raises
        ------
        PlatformError
            The store could not be reached, or its answer was unusable.
        """
        if self._revision is None:
            if self._reads_staggered:
                # Many instances learn of a new era at the same time.
                self._reads_staggered = False
                self._pauses.sleep(
                    self._random.uniform(
                        0.0, self._staleness.max_backoff_seconds
                    )
                )
            self._read_all()
            return
        try:
            if self._should_watch():
                self._poll('watch')
            elif self.needs_poll:
                # A long poll returns changes as they occur. With single reads
                # at intervals, an instance whose sources are gone would send
                # requests to servers that had announced that they leave.
                self._note_sources(silent=True)
                self._poll('ask')
            else:
                self._note_sources(silent=False)
                self._last_watcher_index = None
                self._wait_for_sources()
        except errors.HistoryLost:
            _LOG.warning(
                'store_history_lost',
                extra={'revision': self._revision, 'era': self._era},
            )
            self._revision = None

    def _read_all(self) -> None:
        started_at = self._freshness.read_clock()
        # One call for all kinds of entries: instances of a large fleet start
        # together, and each call is paid for.
        self._metrics.count('store_calls', 'read_all')
        answer = self._key_value.read_entries('')
        self._record_answer()
        era = revisions.read_era(answer.revision)
        restored = self._era is not None and era > self._era
        if restored:
            _LOG.warning(
                'store_restored', extra={'era': era, 'era_before': self._era}
            )
            self._freshness.record_restore()
        self._entries.replace_entries(answer.entries, restored=restored)
        self._era = era
        # Changes during the read arrive by the next poll, or from the sources.
        self._revision = answer.revision
        self._gap_since = None
        self._relaying.changes.reset(answer.revision)
        self._confirm(started_at)
        # From here on this instance relies on its sources: they have to echo a
        # stamp before this knowledge reaches the fallback age.
        self._sources_confirmed_at = max(
            self._sources_confirmed_at, started_at
        )

    def _should_watch(self) -> bool:
        sources = self._relaying.sources
        if sources.watcher_index is None and not sources.is_alone():
            return False
        elapsed = self._freshness.read_clock() - self._started_at
        return elapsed >= _WATCH_DELAY_SECONDS

    @property
    def _fallback_age_seconds(self) -> float:
        return self._staleness.choose_fallback_age(
            relays_changes=self._relaying.has_listeners
        )

    @property
    def needs_poll(self) -> bool:
        """Whether this instance has to poll the store itself.

        Knowledge from the sources ages when they are lost, suspended, or
        partitioned from the store or from this instance. Only the age counts,
        not its cause, and polling continues until the sources echo a recent
        stamp. Changes that are still missing after one stamp interval also
        require a poll: sources that restarted may be unable to send them.
        """
        now = self._freshness.read_clock()
        if self._gap_since is not None:
            if now - self._gap_since >= self._staleness.stamp_interval_seconds:
                return True
        return now - self._sources_confirmed_at >= self._fallback_age_seconds

    def receive_stamp(self, sender: str, message: messages.StoreStamp) -> None:
        """Record a listener's stamp, to be echoed with later changes.

        A listener that missed changes, or is new and lacks some, is sent them
        at once.
        """
        is_new = self._relaying.record_stamp(sender, message)
        if self._revision is None:
            return
        if message.missed or (is_new and message.revision < self._revision):
            self._relaying.send_changes(
                sender, self._revision, self._entries.grace_seconds
            )

    def receive_store_loss(self, sender: str) -> None:
        """Record that a watcher does not reach the store."""
        self._relaying.sources.mark_store_lost(sender)
        self._pauses.wake()

    def _note_sources(self, *, silent: bool) -> None:
        if silent == self._sources_silent:
            return
        self._sources_silent = silent
        _LOG.info(
            'sources_silent' if silent else 'sources_regained',
            extra={
                'sources': ','.join(self._relaying.sources.list_sources()),
                'age_ms': int(min(self._freshness.age, 1e9) * 1000),
                'store_failed': self._freshness.store_failed,
            },
        )

    def _wait_for_sources(self) -> None:
        # The wait ends when the knowledge reaches the fallback age.
        age = self._freshness.read_clock() - self._sources_confirmed_at
        remaining = self._fallback_age_seconds - age
        self._pauses.wait(
            min(self._staleness.stamp_interval_seconds, remaining)
        )

    def receive_changes(
        self, sender: str, message: messages.StoreChanges
    ) -> None:
        """Apply the changes that a source relayed."""
        if self._revision is None:
            return
        if revisions.read_era(message.revision) > revisions.read_era(
            self._revision
        ):
            self._leave_era()
            return
        if message.lapse:
            self._entries.start_grace_period(message.lapse / 1000)
        if message.after > self._revision:
            # Changes in between were lost, or are still under way. A stamp
            # requests them at once, and nothing is confirmed until they
            # arrive. Only the first such message triggers a stamp: otherwise
            # a source that can't send the changes would be asked in a loop.
            if self._gap_since is None:
                self._gap_since = self._freshness.read_clock()
                self._stamp_pauses.wake()
            return
        self._gap_since = None
        new_entries = [
            each for each in message.entries if each.revision > self._revision
        ]
        for each in new_entries:
            self._apply_entry(each)
        self._revision = max(self._revision, message.revision)
        confirmed_before = self._freshness.confirmed
        if message.echo:
            # The source had all changes up to the stamp when it sent this
            # message, and all of them are now known here.
            self._confirm_from_sources(message.echo / 1000)
        # An echo that confirms nothing new is not relayed: instances that are
        # each other's deputies would send messages in a circle.
        is_confirmed = self._freshness.confirmed > confirmed_before
        if new_entries or (
            is_confirmed
            and self._last_watcher_index is None
            and self._relaying.is_message_due
        ):
            self._relaying.relay_changes(
                self._revision, self._entries.grace_seconds
            )

    def _leave_era(self) -> None:
        """Read the store in full, because a source has seen a later era.

        Changes of the new era cover only what was written since, while the
        copy may also lack entries that are known here.
        """
        self._revision = None
        self._reads_staggered = True
        self._pauses.wake()

    def _confirm_from_sources(self, timestamp: float) -> None:
        self._sources_confirmed_at = max(self._sources_confirmed_at, timestamp)
        self._confirm(timestamp)

    def _poll(self, cause: str) -> None:
        """Poll the store for changes, apply them, and relay them.

        Parameters
        ----------
        cause : str
            The label of the call in `store_calls`.

        Raises
        ------
        PlatformError
            The store could not be reached, or its answer was unusable.
        """
        wait_seconds = self._choose_poll_seconds()
        confirmed_at = self._freshness.read_clock()
        self._metrics.count('store_calls', cause)
        answer = self._key_value.poll(
            '', after=self._revision, wait_seconds=wait_seconds
        )
        self._record_answer()
        if self._revision is None:
            # A source relayed a later era during the poll.
            return
        for entry in answer.entries:
            # Changes relayed during the poll may be newer than this answer.
            if entry.revision > self._revision:
                self._apply_entry(_build_store_entry(entry))
        self._revision = max(answer.revision, self._revision)
        self._gap_since = None
        elapsed = self._freshness.read_clock() - confirmed_at
        if not answer.entries and elapsed >= wait_seconds:
            # The store waited the full time and found no change. The confirmed
            # time is the start of the poll plus its wait, and not the arrival
            # of the answer, which a partition may have delayed.
            confirmed_at += wait_seconds
        self._confirm(confirmed_at)
        self._relaying.relay_changes(
            self._revision, self._entries.grace_seconds
        )
        if answer.entries:
            # Changes that occur together are fetched by one call.
            self._pauses.sleep(self._staleness.coalesce_seconds)
            self._last_watcher_index = None

    def _choose_poll_seconds(self) -> float:
        sources = self._relaying.sources
        watcher_index = sources.watcher_index
        is_first_poll = watcher_index != self._last_watcher_index
        self._last_watcher_index = watcher_index
        # A replacement for a lost watcher has no listeners yet, but gets them
        # shortly.
        is_relied_on = watcher_index is not None and not sources.is_alone()
        return self._staleness.choose_poll_seconds(
            self._freshness.age,
            relays_changes=is_relied_on or self._relaying.has_listeners,
            # After a change all watchers start their next poll at the same
            # time, so their first polls are staggered.
            watcher_index=watcher_index if is_first_poll else None,
        )

    def _confirm(self, timestamp: float) -> None:
        if self._entries.ready:
            self._freshness.confirm(timestamp)

    def _apply_entry(self, entry: messages.StoreEntry) -> None:
        if self._entries.is_read_at_start_only(entry.key):
            return
        value = None if entry.deleted else entry.value
        self._entries.apply_entry(
            keyvalue.Entry(entry.key, value, entry.revision)
        )
        self._relaying.changes.add(entry)

    def _record_failure(self, error: errors.PlatformError) -> None:
        self._consecutive_failures += 1
        self._freshness.record_store_failure()
        if self._store_lost_at is None:
            self._store_lost_at = self._freshness.read_clock()
            _LOG.warning('store_lost', extra={'error': error})
        if self._relaying.sources.watcher_index is not None:
            self._relaying.announce_store_loss()

    def _record_answer(self) -> None:
        self._consecutive_failures = 0
        self._relaying.sources.mark_store_reached(
            self._relaying.sources.own_name
        )
        if self._store_lost_at is not None:
            if self._sources_confirmed_at <= self._store_lost_at:
                # No source confirmed anything during the failure, so the store
                # was down for all instances, and entries of live servers may
                # have expired.
                self._entries.start_grace_period()
            self._store_lost_at = None
            _LOG.info(
                'store_regained', extra={'age': round(self._freshness.age, 3)}
            )


def _build_store_entry(entry: keyvalue.Entry) -> messages.StoreEntry:
    return messages.StoreEntry(
        key=entry.key,
        deleted=entry.value is None,
        value=entry.value or b'',
        revision=entry.revision,
    )
