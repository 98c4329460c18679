"""Relays changes of the store to instances that don't poll it themselves.

See `sources` for which instances receive changes from which others.
"""

import collections
import typing

from amaranthslip.configuration import changes as changes_module
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import sources as sources_module
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip.members import roster as roster_module

# Stamps kept for each listener, to find the newest one that arrived before a
# confirmation.
_MAX_STAMPS_PER_LISTENER = 16


class _Listener:
    """An instance that sends stamps, and what it knows of the store."""

    __slots__ = ('stamps', 'revision', 'last_stamp_at')

    def __init__(self) -> None:
        # (arrival time of a stamp on this instance's clock, the stamp, which
        # is a time on the listener's clock).
        self.stamps: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_MAX_STAMPS_PER_LISTENER
        )
        # The store revision up to which all changes are known to the listener
        # or were sent to it.
        self.revision = 0
        self.last_stamp_at = 0.0

    def record_stamp(self, now: float, message: messages.StoreStamp) -> None:
        """Keep a stamp, and the listener's revision that comes with it."""
        self.stamps.append((now, message.stamp))
        self.last_stamp_at = now
        if message.missed:
            self.revision = message.revision
        else:
            self.revision = max(self.revision, message.revision)

    def find_stamp(self, latest_arrival: float) -> int:
        """Return the newest stamp that arrived by a time; 0: none."""
        for arrived_at, stamp in reversed(self.stamps):
            if arrived_at <= latest_arrival:
                return stamp
        return 0


class Relaying:
    """Sends and receives relayed changes on one instance.

    The age of a message can't be derived from its arrival time: a partition
    may have delayed it by seconds, and clocks differ between instances. Each
    listener therefore sends stamps of its own clock, and its source echoes the
    newest stamp that had arrived when the source last knew that it had all
    changes. A source may in turn rely on the echoes of its own stamps, so
    that there may be any number of levels between an instance and the store.

    Parameters
    ----------
    roster : Roster
        The live instances and their failure domains.
    outbox : object
        `send(name, message) -> bool`.
    freshness : Freshness
        Supplies the clock that stamps are read from.
    staleness : Staleness
        How long listeners and watchers that lost the store are remembered.
    """

    __slots__ = (
        'sources',
        'changes',
        '_outbox',
        '_freshness',
        '_staleness',
        '_listeners',
        '_last_relayed_at',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        freshness: freshness_module.Freshness,
        staleness: staleness_module.Staleness,
    ) -> None:
        self.sources = sources_module.Sources(
            roster, freshness.read_clock, staleness.bound_seconds
        )
        self.changes = changes_module.Changes()
        self._outbox = outbox
        self._freshness = freshness
        self._staleness = staleness
        self._listeners: dict[str, _Listener] = {}
        # When changes were last relayed to all listeners.
        self._last_relayed_at = float('-inf')

    def send_stamp(
        self, revision: int, *, missed: bool, deputy_asks: int | None = None
    ) -> None:
        """Send the sources a stamp, and the store revision known here.

        Parameters
        ----------
        revision : int
            The store revision up to which all changes are known here.
        missed : bool
            Whether changes after `revision` did not arrive, so that the
            sources have to send them again.
        deputy_asks : int or None
            How often deputies were asked since the sources fell silent; None
            if they are not needed.
        """
        message = messages.StoreStamp(
            stamp=int(self._freshness.read_clock() * 1000),
            revision=revision,
            missed=missed,
        )
        names = self.sources.list_sources()
        if deputy_asks is not None:
            names += self.sources.list_deputies(deputy_asks)
        for name in dict.fromkeys(names):
            self._outbox.send(name, message)

    def record_stamp(self, sender: str, message: messages.StoreStamp) -> bool:
        """Keep a listener's stamp; return whether the listener is new."""
        listener = self._listeners.get(sender)
        is_new = listener is None
        if listener is None:
            listener = self._listeners[sender] = _Listener()
        listener.record_stamp(self._freshness.read_clock(), message)
        return is_new

    @property
    def has_listeners(self) -> bool:
        """Whether other instances rely on the changes relayed from here."""
        self._drop_silent_listeners()
        return bool(self._listeners)

    def forget(self, name: str) -> None:
        """Drop the stamps and the loss report of a restarted instance."""
        self._listeners.pop(name, None)
        self.sources.mark_store_reached(name)

    def announce_store_loss(self) -> None:
        """Report to other instances that this one does not reach the store.

        The candidates that are next in rank learn that they have to watch the
        store, and listeners learn that their watchers changed.
        """
        self.sources.mark_store_lost(self.sources.own_name)
        recipients = {*self.sources.list_candidates(), *self._listeners}
        for name in sorted(recipients - {self.sources.own_name}):
            self._outbox.send(name, messages.StoreUnreachable())

    @property
    def is_message_due(self) -> bool:
        """Whether listeners need a message even if nothing changed."""
        elapsed = self._freshness.read_clock() - self._last_relayed_at
        return elapsed >= self._staleness.stamp_interval_seconds

    def relay_changes(self, revision: int, grace_seconds: float = 0.0) -> None:
        """Send all listeners the changes up to a store revision.

        Parameters
        ----------
        revision : int
            The store revision up to which all changes are known here.
        grace_seconds : float
            Seconds for which servers whose entry is missing stay in use.
        """
        self._drop_silent_listeners()
        self._last_relayed_at = self._freshness.read_clock()
        for name in self._listeners:
            self.send_changes(name, revision, grace_seconds)

    def send_changes(
        self, name: str, revision: int, grace_seconds: float
    ) -> None:
        """Send one listener the changes it lacks; see `relay_changes`."""
        listener = self._listeners[name]
        after = max(listener.revision, self.changes.start)
        sent = self._outbox.send(
            name,
            messages.StoreChanges(
                after=after,
                revision=max(after, revision),
                echo=listener.find_stamp(self._freshness.confirmed),
                entries=self.changes.list_since(after),
                lapse=int(grace_seconds * 1000),
            ),
        )
        if sent:
            listener.revision = max(after, revision)

    def _drop_silent_listeners(self) -> None:
        """Drop listeners that changed to other sources, or are gone."""
        oldest = self._freshness.read_clock() - self._staleness.bound_seconds
        silent = [
            name
            for name, listener in self._listeners.items()
            if listener.last_stamp_at < oldest
        ]
        for name in silent:
            del self._listeners[name]
