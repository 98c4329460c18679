"""Sources: from whom an instance hears what changed in the platform's store.

Each call to the store is paid for, and its rates grow more slowly than the
fleet: whoever asks must be few, however many instances and failure domains
there are. Three instances of the fleet, its watchers, poll the store. Two of
each failure domain, its relays, hear from the watchers, and all others hear
from their relays. Every instance works this out from its own roster; two that
disagree for a while cost calls or fractions of a second, never correctness.
"""

import typing

from amaranthslip import identity
from amaranthslip.members import members

_WATCH_PURPOSE = 'store-watch'
_RELAY_PURPOSE = 'store-relay'
# Three, so that one may be lost and another stopped without a call more.
WATCHERS = 3
# Two, so that the loss of one goes unnoticed.
_RELAYS = 2
# Watchers that lost the store are replaced by the next in rank, as far down as
# this. Where all of these lost it, it is down for everybody, and others that
# tried as well would only add calls.
_CANDIDATES = 12
# Bounds for which a watcher that said that it lost the store is passed over by
# the others, and after which it tries again itself. It says so again each
# time; were it believed back before, who took its place would give that up.
_LOST_BOUNDS = 5.0
_RETRY_BOUNDS = 1.0


class Roster(typing.Protocol):
    """What is asked of the members' roster."""

    generation: int
    member: members.Member

    def live(self) -> tuple[members.Member, ...]:
        """Return the members in service."""


class Sources:
    """Who watches the store, who relays, and whom this instance hears.

    Parameters
    ----------
    roster : Roster
        Who is alive, and where.
    clock : callable
        Seconds, to forget in time who lost the store.
    bound_seconds : float
        Within which a change must be in force.
    """

    __slots__ = (
        '_roster',
        '_clock',
        '_bound_seconds',
        '_lost',
        '_generation',
        '_candidates',
        '_relays',
    )

    def __init__(
        self,
        roster: Roster,
        clock: typing.Callable[[], float],
        bound_seconds: float,
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._bound_seconds = bound_seconds
        # When each of them said that it does not reach the store.
        self._lost: dict[str, float] = {}
        self._generation = -1
        self._candidates: tuple[str, ...] = ()
        self._relays: tuple[str, ...] = ()

    @property
    def own(self) -> str:
        """This instance's name."""
        return self._roster.member.name

    def list_candidates(self) -> tuple[str, ...]:
        """Return who may be called on to watch, highest rank first."""
        self._refresh()
        return self._candidates

    def list_watchers(self) -> list[str]:
        """Return the watchers, highest rank first."""
        candidates = self.list_candidates()
        sound = [name for name in candidates if not self._is_lost(name)]
        return (sound or list(candidates))[:WATCHERS]

    def list_relays(self) -> tuple[str, ...]:
        """Return the relays of this failure domain."""
        self._refresh()
        return self._relays

    @property
    def place(self) -> int | None:
        """This instance's place among the watchers; None: it is none."""
        watchers = self.list_watchers()
        return watchers.index(self.own) if self.own in watchers else None

    def is_alone(self) -> bool:
        """Tell whether the roster knows of no other live instance."""
        return len(self._roster.live()) < 2

    def list_sources(self) -> list[str]:
        """Return whom this instance hears from.

        Watchers hear one another: one that loses the store goes on.
        """
        relays = self.list_relays()
        found = self.list_watchers()
        if self.own not in relays and self.own not in found:
            found = list(relays)
        return [name for name in found if name != self.own]

    def note_lost(self, name: str) -> None:
        """Take it that an instance does not reach the store."""
        self._lost[name] = self._clock()

    def note_reached(self, name: str) -> None:
        """Take it that an instance reaches the store."""
        self._lost.pop(name, None)

    def _is_lost(self, name: str) -> bool:
        at = self._lost.get(name)
        if at is None:
            return False
        bounds = _RETRY_BOUNDS if name == self.own else _LOST_BOUNDS
        return self._clock() - at < bounds * self._bound_seconds

    def _refresh(self) -> None:
        if self._generation == self._roster.generation:
            return
        self._generation = self._roster.generation
        live = self._roster.live()
        self._candidates = tuple(_rank_candidates(live)[:_CANDIDATES])
        domain = self._roster.member.failure_domain
        near = [each for each in live if each.failure_domain == domain]
        self._relays = tuple(
            each.name for each in _rank(_RELAY_PURPOSE, near)[:_RELAYS]
        )


def _rank(
    purpose: str, live: typing.Iterable[members.Member]
) -> list[members.Member]:
    """Return members by rendezvous hashing, the highest rank first."""
    return sorted(
        live, key=lambda each: identity.rank(purpose, each.name), reverse=True
    )


def _rank_candidates(live: typing.Iterable[members.Member]) -> list[str]:
    """Return members by rank, those first that share no failure domain.

    A failure domain that is lost then takes one watcher along.
    """
    seen: set[str] = set()
    first, others = [], []
    for each in _rank(_WATCH_PURPOSE, live):
        if each.failure_domain in seen:
            others.append(each.name)
        else:
            seen.add(each.failure_domain)
            first.append(each.name)
    return first + others
