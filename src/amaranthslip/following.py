"""Follows the platform's store: configuration, backend servers, instances.

One long poll over all keys serves the three: each call is priced, and a
waiting one counts as one call, however many keys it covers. A few instances
of the fleet poll, and pass on what they hear; see `configuration.sources`.
"""

import contextlib
import logging
import random as random_

import gevent

from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import relaying as relaying_module
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip import entries as entries_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip import pauses as pauses_module
from amaranthslip.platform import keyvalue

_LOG = logging.getLogger(__name__)

# Seconds that an instance listens for others before it watches: one that
# does not know them yet takes itself for the only watcher.
_ALONE_SECONDS = 1.5
# Calls of others than watchers that fail one after the other, beyond which
# the wait before the next grows no more.
_MOST_DOUBLINGS = 2


class Follower:
    """Keeps what the store says in force on this instance.

    Parameters
    ----------
    staleness : Staleness
        How long each wait may be.
    key_value : KeyValue
        The client of the store.
    entries : Entries
        Where entries come into force.
    freshness : Freshness
        Told up to when all changes are in force.
    relaying : Relaying
        Passes changes on, or says that others will.
    metrics : Metrics
        Counts `store_calls` by their cause.
    random : random.Random
        Jitter of the backoff.
    pauses : Pauses
        How it waits.
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
        '_lost_at',
        '_failures',
        '_pauses',
        '_stamping',
        '_missed_at',
        '_proved',
        '_place',
        '_started',
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
        pauses: pauses_module.Pauses | None = None,
        stamping: pauses_module.Pauses | None = None,
    ) -> None:
        self._staleness = staleness
        self._key_value = key_value
        self._entries = entries
        self._freshness = freshness
        self._relaying = relaying
        self._metrics = metrics
        self._random = random or random_.Random()
        # Of the store, up to which all is known here; None: nothing is.
        self._revision: int | None = None
        # When the store first failed to answer, of late; None: it answers.
        self._lost_at: float | None = None
        self._failures = 0
        self._pauses = pauses or pauses_module.Pauses()
        self._stamping = stamping or pauses_module.Pauses()
        # Since when changes that are passed on begin after what is known
        # here; None: they don't.
        self._missed_at: float | None = None
        # The moment up to which sources proved that all changes were told.
        self._proved = float('-inf')
        # Among the watchers, at the last poll; None: it was none.
        self._place: int | None = None
        self._started = freshness.read_clock()
        self._exits = contextlib.ExitStack()

    @property
    def reaches_store(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._lost_at is None

    @property
    def missed(self) -> bool:
        """Whether sources tell of changes after some that are not known."""
        return self._missed_at is not None

    @property
    def revision(self) -> int | None:
        """Up to which of the store's revisions all is known; None: none."""
        return self._revision

    def start(self) -> None:
        """Begin to follow."""
        for task in (self.run, self.keep_stamping):
            self._exits.callback(gevent.spawn(task).kill)

    def close(self) -> None:
        """Stop following."""
        self._exits.close()

    def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                self.step()
            except errors.PlatformError as error:
                self._note_loss(error)
                self._back_off()
            except Exception:
                # Whatever one answer held, the next must still be asked
                # for: an instance that stopped following would go on with
                # revoked keys until they age out, and then refuse all.
                _LOG.exception('follow_failed')
                self._revision = None
                self._back_off()

    def keep_stamping(self) -> None:
        """Send the sources stamps, for ever.

        It goes on while this instance asks the store itself: only an echo
        shows that the sources are sound again, and that it may stop asking.
        """
        while True:
            if self._revision is not None:
                self._relaying.send_stamp(self._revision, missed=self.missed)
            self._stamping.wait(self._staleness.stamp_seconds)

    def _back_off(self) -> None:
        # Drawn, so that instances that lost the store together don't come
        # back to it together.
        watches = self._relaying.sources.place is not None
        doublings = 0 if watches else min(self._failures, _MOST_DOUBLINGS)
        self._pauses.sleep(
            self._random.uniform(
                self._staleness.least_backoff_seconds,
                self._staleness.most_backoff_seconds,
            )
            * 2**doublings
        )

    def step(self) -> None:
        """Read all, or wait for the next changes; one turn of the loop.

        Raises
        ------
        PlatformError
            The store gave no usable answer.
        """
        if self._revision is None:
            self._read_all()
            return
        try:
            if self._watches():
                self._poll('watch')
            elif self.needs_poll:
                # Waiting there tells of changes as they come: an instance
                # whose sources are gone else sent to servers that had said
                # that they leave.
                self._poll('ask')
            else:
                self._place = None
                self._listen()
        except errors.HistoryLost:
            _LOG.warning(
                'store_history_lost', extra={'revision': self._revision}
            )
            self._revision = None

    def _read_all(self) -> None:
        asked = self._freshness.read_clock()
        # One call for all three kinds of entries: instances of a large fleet
        # start together, and each call is paid for.
        self._metrics.count('store_calls', 'read_all')
        read = self._key_value.read_entries('')
        self._note_answer()
        self._entries.replace(read.entries)
        # What changed while it was read is told by whoever polls.
        self._revision = read.revision
        self._relaying.changes.restart(read.revision)
        self._confirm(asked)
        # Sources are relied on from here: they have until this knowledge is
        # old to prove themselves.
        self._proved = max(self._proved, asked)

    def _watches(self) -> bool:
        sources = self._relaying.sources
        if sources.place is None and not sources.is_alone():
            return False
        since = self._freshness.read_clock() - self._started
        return since >= _ALONE_SECONDS

    @property
    def _ask_seconds(self) -> float:
        return self._staleness.choose_ask(
            passes_on=self._relaying.has_listeners
        )

    @property
    def needs_poll(self) -> bool:
        """Whether this instance has to ask the store itself.

        What its sources told grows old where they are lost, frozen or cut
        off, from the store or from here: however that comes, only the age
        counts. It goes on asking until they echo a stamp that is young. And
        sources that started a moment ago can't tell again what it missed.
        """
        now = self._freshness.read_clock()
        if self._missed_at is not None:
            if now - self._missed_at >= self._staleness.stamp_seconds:
                return True
        return now - self._proved >= self._ask_seconds

    def take_stamp(self, sender: str, message: messages.StoreStamp) -> None:
        """Keep a listener's stamp, to echo it with what is known later."""
        self._relaying.take_stamp(sender, message)
        if message.missed and self._revision is not None:
            self._relaying.tell(
                sender, self._revision, self._entries.lapse_seconds
            )

    def take_loss(self, sender: str) -> None:
        """Take it that a watcher does not reach the store."""
        self._relaying.sources.note_lost(sender)
        self._pauses.wake()

    def _listen(self) -> None:
        # Not a moment longer than what is known may be old.
        age = self._freshness.read_clock() - self._proved
        left = self._ask_seconds - age
        self._pauses.wait(min(self._staleness.stamp_seconds, left))

    def take_changes(
        self, sender: str, message: messages.StoreChanges
    ) -> None:
        """Take what a source passed on."""
        if self._revision is None:
            return
        if message.lapse:
            self._entries.note_return(message.lapse / 1000)
        if message.after > self._revision:
            # Something between was not passed on, or came after this: it is
            # asked for at once, and until it came nothing is confirmed. Once:
            # a source that can't tell it would be asked without an end.
            if self._missed_at is None:
                self._missed_at = self._freshness.read_clock()
                self._stamping.wake()
            return
        self._missed_at = None
        news = [
            each for each in message.entries if each.revision > self._revision
        ]
        for each in news:
            self._take(each)
        self._revision = max(self._revision, message.revision)
        if message.echo:
            # All changes of before the stamp are among these, and this one
            # knows at least as many.
            self._prove(message.echo / 1000)
        if news or (self._place is None and self._relaying.is_due):
            self._relaying.pass_on(self._revision, self._entries.lapse_seconds)

    def _prove(self, at: float) -> None:
        self._proved = max(self._proved, at)
        self._confirm(at)

    def _poll(self, cause: str) -> None:
        """Wait at the store for changes, take them, and pass them on."""
        wait_seconds = self._choose_poll()
        asked = self._freshness.read_clock()
        self._metrics.count('store_calls', cause)
        changed = self._key_value.poll(
            '', after=self._revision, wait_seconds=wait_seconds
        )
        self._note_answer()
        for entry in changed.entries:
            # What was passed on meanwhile may be newer than this answer.
            if entry.revision > self._revision:
                self._take(_describe(entry))
        self._revision = max(changed.revision, self._revision)
        self._missed_at = None
        took = self._freshness.read_clock() - asked
        if not changed.entries and took >= wait_seconds:
            # The store held an empty answer back for all of its wait. It is
            # counted from the question: the answer may have been long on
            # its way, behind a partition.
            asked += wait_seconds
        self._confirm(asked)
        self._relaying.pass_on(self._revision, self._entries.lapse_seconds)
        if changed.entries:
            # What changes together is told together, by one call.
            self._pauses.sleep(self._staleness.gather_seconds)
            self._place = None

    def _choose_poll(self) -> float:
        sources = self._relaying.sources
        place = sources.place
        fresh = place != self._place
        self._place = place
        # Who takes a lost watcher's place is listened to in a moment.
        watches = place is not None and not sources.is_alone()
        return self._staleness.choose_poll(
            self._freshness.age,
            passes_on=watches or self._relaying.has_listeners,
            # All watchers begin anew after a change, at the same moment.
            place=place if fresh else None,
        )

    def _confirm(self, at: float) -> None:
        if self._entries.ready:
            self._freshness.confirm(at)

    def _take(self, entry: messages.StoreEntry) -> None:
        value = None if entry.deleted else entry.value
        self._entries.take(keyvalue.Entry(entry.key, value, entry.revision))
        self._relaying.changes.add(entry)

    def _note_loss(self, error: errors.PlatformError) -> None:
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._freshness.read_clock()
            _LOG.warning('store_lost', extra={'error': error})
        if self._relaying.sources.place is not None:
            self._relaying.tell_lost()

    def _note_answer(self) -> None:
        self._failures = 0
        self._relaying.sources.note_reached(self._relaying.sources.own)
        if self._lost_at is not None:
            if self._proved <= self._lost_at:
                # Nobody told of changes meanwhile: the store was away for
                # all, and entries lapsed though their servers live.
                self._entries.note_return()
            self._lost_at = None
            _LOG.info(
                'store_regained', extra={'age': round(self._freshness.age, 3)}
            )


def _describe(entry: keyvalue.Entry) -> messages.StoreEntry:
    return messages.StoreEntry(
        key=entry.key,
        deleted=entry.value is None,
        value=entry.value or b'',
        revision=entry.revision,
    )
