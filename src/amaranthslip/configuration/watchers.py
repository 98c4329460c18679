"""Selection of the instances that watch the key-value service."""

import collections
import typing

from amaranthslip import identity
from amaranthslip.members import members

_PURPOSE = 'configuration-watch'
# With two watchers one of them may be stopped or unable to reach the service.
_WATCHERS_PER_FAILURE_DOMAIN = 2


class Roster(typing.Protocol):
    """The interface of the members' roster that is used here."""

    generation: int

    def list_live(self) -> tuple[members.Member, ...]:
        """Return the members in service."""


class Watchers:
    """The watchers of the fleet, selected by rendezvous hashing.

    A few instances per failure domain are selected. Every instance computes
    the selection from its own roster. While two rosters differ, both
    instances may watch, or neither does and both receive new versions from
    peers. This costs additional calls or a fraction of a second, and does not
    affect correctness.
    """

    __slots__ = ('_roster', '_generation', '_names')

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._generation = -1
        self._names: tuple[str, ...] = ()

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the watchers, highest rank first."""
        if self._generation != self._roster.generation:
            self._generation = self._roster.generation
            self._names = _select_watchers(self._roster.list_live())
        return self._names

    def includes(self, name: str) -> bool:
        """Return whether an instance has to watch.

        An instance whose roster lists no other live instance always watches,
        because there is no peer from which it could receive versions.
        """
        return name in self.list_names() or self.is_alone()

    def is_alone(self) -> bool:
        """Return whether the roster lists no other live instance."""
        return len(self._roster.list_live()) < 2


def _select_watchers(live: typing.Iterable[members.Member]) -> tuple[str, ...]:
    domains = collections.defaultdict(list)
    for member in live:
        rank = identity.rendezvous_hash(_PURPOSE, member.name)
        domains[member.failure_domain].append((rank, member.name))
    selected = []
    for ranked in domains.values():
        selected += sorted(ranked, reverse=True)[:_WATCHERS_PER_FAILURE_DOMAIN]
    return tuple(name for _, name in sorted(selected, reverse=True))
