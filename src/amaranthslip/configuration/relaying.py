"""Passes the store's changes on to instances that don't ask it themselves.

See `sources` for who hears from whom.
"""

import collections
import typing

from amaranthslip.configuration import changes as changes_module
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import sources as sources_module
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip.members import roster as roster_module

# Stamps kept of each listener, to find the newest from before a confirmation.
_STAMPS = 16


class _Listener:
    """An instance that sends stamps, and what it knows of the store."""

    __slots__ = ('stamps', 'revision', 'heard')

    def __init__(self) -> None:
        # (when a stamp came, the stamp), on this instance's clock and on the
        # listener's.
        self.stamps: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_STAMPS
        )
        # Of the store, up to which it knows all, or was told.
        self.revision = 0
        self.heard = 0.0

    def take_stamp(self, now: float, message: messages.StoreStamp) -> None:
        """Keep a stamp, and what it says of the listener."""
        self.stamps.append((now, message.stamp))
        self.heard = now
        if message.missed:
            self.revision = message.revision
        else:
            self.revision = max(self.revision, message.revision)

    def find_stamp(self, before: float) -> int:
        """Return the newest stamp that came before a moment; 0: none."""
        for came, stamp in reversed(self.stamps):
            if came <= before:
                return stamp
        return 0


class Relaying:
    """One instance's part in passing changes on.

    How old a message is can't be told from when it came: behind a partition
    it may have been held up for seconds, and clocks differ. So whoever
    listens sends stamps of its own clock, and its source returns the newest
    that it had when it last knew that nothing else had changed. A source may
    itself go by what its own stamps prove, so that any number of levels may
    stand between an instance and the store.

    Parameters
    ----------
    roster : Roster
        Who is alive, and where.
    outbox : object
        `send(name, message) -> bool`.
    freshness : Freshness
        Whose clock stamps are of.
    staleness : Staleness
        How long listeners and lost watchers are remembered.
    """

    __slots__ = (
        'sources',
        'changes',
        '_outbox',
        '_freshness',
        '_staleness',
        '_listeners',
        '_passed',
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
        # When something was last passed on.
        self._passed = float('-inf')

    def send_stamp(self, revision: int, *, missed: bool) -> None:
        """Send the sources a stamp, and up to where the store is known."""
        message = messages.StoreStamp(
            stamp=int(self._freshness.read_clock() * 1000),
            revision=revision,
            missed=missed,
        )
        for name in self.sources.list_sources():
            self._outbox.send(name, message)

    def take_stamp(self, sender: str, message: messages.StoreStamp) -> None:
        """Keep a listener's stamp."""
        listener = self._listeners.get(sender)
        if listener is None:
            listener = self._listeners[sender] = _Listener()
        listener.take_stamp(self._freshness.read_clock(), message)

    @property
    def has_listeners(self) -> bool:
        """Whether others rely on what this instance passes on."""
        self._forget_silent()
        return bool(self._listeners)

    def forget(self, name: str) -> None:
        """Drop the stamps of an instance that restarted."""
        self._listeners.pop(name, None)
        self.sources.note_reached(name)

    def tell_lost(self) -> None:
        """Tell that this instance does not reach the store.

        The next in rank learn that they are to watch, listeners that others
        are their watchers now.
        """
        self.sources.note_lost(self.sources.own)
        told = {*self.sources.list_candidates(), *self._listeners}
        for name in sorted(told - {self.sources.own}):
            self._outbox.send(name, messages.StoreUnreachable())

    @property
    def is_due(self) -> bool:
        """Whether listeners wait for news, even if nothing changed."""
        since = self._freshness.read_clock() - self._passed
        return since >= self._staleness.stamp_seconds

    def pass_on(self, revision: int, lapse_seconds: float = 0.0) -> None:
        """Tell the listeners what changed up to a revision.

        Parameters
        ----------
        lapse_seconds : float
            For which servers whose entry is missing stay in use.
        """
        self._forget_silent()
        self._passed = self._freshness.read_clock()
        for name in self._listeners:
            self.tell(name, revision, lapse_seconds)

    def tell(self, name: str, revision: int, lapse_seconds: float) -> None:
        """Tell one listener what changed; see `pass_on`."""
        listener = self._listeners[name]
        after = max(listener.revision, self.changes.start)
        sent = self._outbox.send(
            name,
            messages.StoreChanges(
                after=after,
                revision=max(after, revision),
                echo=listener.find_stamp(self._freshness.confirmed),
                entries=self.changes.list_since(after),
                lapse=int(lapse_seconds * 1000),
            ),
        )
        if sent:
            listener.revision = max(after, revision)

    def _forget_silent(self) -> None:
        """Drop those that turned to other sources, or are gone."""
        since = self._freshness.read_clock() - self._staleness.bound_seconds
        silent = [
            name
            for name, listener in self._listeners.items()
            if listener.heard < since
        ]
        for name in silent:
            del self._listeners[name]
