"""Who watches the key-value service: a few instances per failure domain."""

import collections
import typing

from amaranthslip import identity
from amaranthslip.members import members

_PURPOSE = 'configuration-watch'
# Two, so that one of them may be stopped or unable to reach the service.
_PER_FAILURE_DOMAIN = 2


class Roster(typing.Protocol):
    """What is asked of the members' roster."""

    generation: int

    def live(self) -> tuple[members.Member, ...]:
        """Return the members in service."""


class Watchers:
    """The watchers of the fleet, picked by rendezvous hashing.

    Every instance works them out from its own roster. Two that disagree
    for a while watch both, or neither watches and peers tell them: it
    costs calls or fractions of a second, never correctness.
    """

    __slots__ = ('_roster', '_generation', '_names')

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._generation = -1
        self._names: tuple[str, ...] = ()

    def names(self) -> tuple[str, ...]:
        """Return the watchers, highest rank first."""
        if self._generation != self._roster.generation:
            self._generation = self._roster.generation
            self._names = _pick(self._roster.live())
        return self._names

    def includes(self, name: str) -> bool:
        """Tell whether an instance is to watch.

        One that is alone, or that its roster does not list, watches too:
        it has nobody else to hear from.
        """
        return name in self.names() or self.is_alone()

    def is_alone(self) -> bool:
        """Tell whether the roster knows of no other live instance."""
        return len(self._roster.live()) < 2


def _pick(live: typing.Iterable[members.Member]) -> tuple[str, ...]:
    domains = collections.defaultdict(list)
    for member in live:
        rank = identity.rank(_PURPOSE, member.name)
        domains[member.failure_domain].append((rank, member.name))
    picked = []
    for ranked in domains.values():
        picked += sorted(ranked, reverse=True)[:_PER_FAILURE_DOMAIN]
    return tuple(name for _, name in sorted(picked, reverse=True))
