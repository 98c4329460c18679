"""Passes the store's changes on to instances that don't watch it themselves.

A watch of each instance costs a call for each change and instance: 5,400 of
them on a day of 67 instances, more than all else that is paid for. Two
watchers in each failure domain hear of changes and pass them on.
"""

import collections
import typing

from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import watchers as watchers_module
from amaranthslip.members import roster as roster_module

# Stamps kept of each peer, to find the newest from before a confirmation: they
# reach back 0.8 of the bound, further than a poll and the pause after it.
_STAMPS = 8


class Relaying:
    """One instance's part in passing changes on.

    How old a message is can't be told from when it came: behind a partition
    it may have been held up for seconds, and clocks differ. So whoever
    listens sends stamps of its own clock, and a watcher returns the newest
    that it had when it last knew that nothing had changed.

    Parameters
    ----------
    roster : Roster
        Who is alive, and where.
    outbox : object
        `send(name, message) -> bool`.
    freshness : Freshness
        Whose clock stamps are of.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_freshness',
        '_watchers',
        '_stamps',
        '_lost',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        freshness: freshness_module.Freshness,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._freshness = freshness
        self._watchers = watchers_module.Watchers(roster)
        self._stamps: dict[str, collections.deque[tuple[float, int]]] = {}
        # Watchers that said that they don't reach the store.
        self._lost: set[str] = set()

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is to watch the store itself."""
        return self._watchers.includes(self._roster.member.name)

    def send_stamp(self) -> None:
        """Send the watchers of this failure domain a stamp."""
        stamp = int(self._freshness.read_clock() * 1000)
        for name in self._list_watchers():
            self._outbox.send(name, messages.StoreStamp(stamp=stamp))

    def take_stamp(self, sender: str, message: messages.StoreStamp) -> None:
        """Keep a listener's stamp."""
        kept = self._stamps.get(sender)
        if kept is None:
            kept = collections.deque(maxlen=_STAMPS)
            self._stamps[sender] = kept
        kept.append((self._freshness.read_clock(), message.stamp))

    @property
    def has_watcher(self) -> bool:
        """Whether a watcher of this failure domain may reach the store."""
        return any(each not in self._lost for each in self._list_watchers())

    @property
    def has_listeners(self) -> bool:
        """Whether others rely on what this watcher passes on."""
        return bool(self._list_listeners())

    def note_lost(self, name: str) -> None:
        """Take it that a watcher does not reach the store."""
        self._lost.add(name)

    def note_reached(self, name: str) -> None:
        """Take it that a watcher reaches the store."""
        self._lost.discard(name)

    def tell_lost(self) -> None:
        """Tell the listeners that this watcher does not reach the store."""
        for name in self._list_listeners():
            self._outbox.send(name, messages.StoreUnreachable())

    def forget(self, name: str) -> None:
        """Drop the stamps of an instance that restarted."""
        self._stamps.pop(name, None)
        self._lost.discard(name)

    def pass_on(
        self,
        after: int,
        revision: int,
        entries: typing.Sequence[messages.StoreEntry],
    ) -> None:
        """Tell the listeners of this failure domain what changed."""
        confirmed = self._freshness.confirmed
        for name in self._list_listeners():
            self._outbox.send(
                name,
                messages.StoreChanges(
                    after=after,
                    revision=revision,
                    echo=self._find_stamp(name, confirmed),
                    entries=entries,
                ),
            )

    def _find_stamp(self, name: str, before: float) -> int:
        for came, stamp in reversed(self._stamps.get(name, ())):
            if came <= before:
                return stamp
        return 0

    def _list_near(self) -> list[str]:
        own = self._roster.member
        return [
            each.name
            for each in self._roster.live()
            if each.failure_domain == own.failure_domain
            and each.name != own.name
        ]

    def _list_watchers(self) -> list[str]:
        watchers = self._watchers.names()
        return [name for name in self._list_near() if name in watchers]

    def _list_listeners(self) -> list[str]:
        watchers = self._watchers.names()
        return [name for name in self._list_near() if name not in watchers]
