"""Sources: from which instances an instance receives changes of the store.

Each call to the platform's store is paid for, and the store's rate limits grow
more slowly than the fleet, so the number of instances that call the store must
stay small for any number of instances and failure domains. Three instances of
the fleet, the watchers, poll the store. Two instances of each failure domain,
the relays, receive changes from the watchers, and all other instances receive
changes from their relays. Every instance derives these roles from its own
roster. Two instances whose rosters differ for a while cause additional calls
or delays of fractions of a second, but no wrong state.

An instance whose sources and calls to the store fail together asks further
instances, its deputies: any instance may know the change that it lacks.
"""

import typing

from amaranthslip import identity
from amaranthslip.members import members

_WATCHER_RANK_KEY = 'store-watch'
_RELAY_RANK_KEY = 'store-relay'
# Three, so that one may be lost and another stopped without additional calls
# to the store.
WATCHER_COUNT = 3
# Two, so that the loss of one relay does not interrupt its listeners.
_RELAYS_PER_DOMAIN = 2
# Deputies asked at once, and asks after which one at a time is asked: by then
# dozens of instances have not answered, so that the store is probably down for
# all.
_DEPUTIES_PER_ASK = 3
_FAST_ASKS = 8
# Watchers that lost the store are replaced by the next instances in rank, up
# to this rank. Where all of these lost the store, it is down for the whole
# fleet, and attempts of further instances would only add calls.
_MAX_WATCHER_CANDIDATES = 12
# Bounds for which the other instances skip a watcher that reported the loss of
# the store, and after which that watcher itself tries the store again. It
# repeats the report after each failed attempt; if its peers trusted it again
# before that, its replacement would stop polling.
_PEER_LOSS_BOUNDS = 5.0
_OWN_LOSS_BOUNDS = 1.0


class Roster(typing.Protocol):
    """The part of the members' roster that `Sources` reads."""

    generation: int
    member: members.Member

    def list_live(self) -> tuple[members.Member, ...]:
        """Return the members in service."""


class Sources:
    """Which instances watch the store, which relay, and which are sources.

    Parameters
    ----------
    roster : Roster
        The live instances and their failure domains.
    clock : callable
        Seconds, to expire reports of watchers that lost the store.
    bound_seconds : float
        Seconds within which a change must be in force.
    """

    __slots__ = (
        '_roster',
        '_clock',
        '_bound_seconds',
        '_loss_times',
        '_generation',
        '_candidates',
        '_relays',
        '_deputies',
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
        # By instance name: when it last reported that the store is
        # unreachable.
        self._loss_times: dict[str, float] = {}
        self._generation = -1
        self._candidates: tuple[str, ...] = ()
        self._relays: tuple[str, ...] = ()
        # All other live instances, in an order of this instance's own; None:
        # not determined for the present roster.
        self._deputies: list[str] | None = None

    @property
    def own_name(self) -> str:
        """This instance's name."""
        return self._roster.member.name

    def list_candidates(self) -> tuple[str, ...]:
        """Return the instances that may become watchers, by falling rank."""
        self._refresh_ranking()
        return self._candidates

    def list_watchers(self) -> list[str]:
        """Return the watchers, highest rank first."""
        candidates = self.list_candidates()
        reachable = [
            name for name in candidates if not self._has_lost_store(name)
        ]
        return (reachable or list(candidates))[:WATCHER_COUNT]

    def list_relays(self) -> tuple[str, ...]:
        """Return the relays of this failure domain."""
        self._refresh_ranking()
        return self._relays

    @property
    def watcher_index(self) -> int | None:
        """This instance's position among the watchers; None: not a watcher."""
        watchers = self.list_watchers()
        return (
            watchers.index(self.own_name)
            if self.own_name in watchers
            else None
        )

    def is_alone(self) -> bool:
        """Return whether the roster lists no other live instance."""
        return len(self._roster.list_live()) < 2

    def list_sources(self) -> list[str]:
        """Return the instances that this instance receives changes from.

        Watchers are sources of one another, so that a watcher that loses the
        store still receives changes.
        """
        relays = self.list_relays()
        found = self.list_watchers()
        if self.own_name not in relays and self.own_name not in found:
            found = list(relays)
        return [name for name in found if name != self.own_name]

    def list_deputies(self, asks: int) -> list[str]:
        """Return the instances to ask while the sources are silent.

        The watchers come first. All other instances follow in turn, in an
        order that differs between instances.

        Parameters
        ----------
        asks : int
            How often deputies were asked since the sources fell silent.
        """
        if not asks:
            return [
                name for name in self.list_watchers() if name != self.own_name
            ]
        self._refresh_ranking()
        if self._deputies is None:
            self._deputies = [
                each.name
                for each in _rank(self.own_name, self._roster.list_live())
                if each.name != self.own_name
            ]
        if not self._deputies:
            return []
        count = _DEPUTIES_PER_ASK if asks <= _FAST_ASKS else 1
        first = (asks - 1) * count
        return [
            self._deputies[position % len(self._deputies)]
            for position in range(first, first + count)
        ]

    def mark_store_lost(self, name: str) -> None:
        """Record that an instance does not reach the store."""
        self._loss_times[name] = self._clock()

    def mark_store_reached(self, name: str) -> None:
        """Record that an instance reaches the store."""
        self._loss_times.pop(name, None)

    def _has_lost_store(self, name: str) -> bool:
        lost_at = self._loss_times.get(name)
        if lost_at is None:
            return False
        bounds = (
            _OWN_LOSS_BOUNDS if name == self.own_name else _PEER_LOSS_BOUNDS
        )
        return self._clock() - lost_at < bounds * self._bound_seconds

    def _refresh_ranking(self) -> None:
        if self._generation == self._roster.generation:
            return
        self._generation = self._roster.generation
        self._deputies = None
        live = self._roster.list_live()
        self._candidates = tuple(
            _rank_candidates(live)[:_MAX_WATCHER_CANDIDATES]
        )
        domain = self._roster.member.failure_domain
        domain_members = [
            each for each in live if each.failure_domain == domain
        ]
        self._relays = tuple(
            each.name
            for each in _rank(_RELAY_RANK_KEY, domain_members)[
                :_RELAYS_PER_DOMAIN
            ]
        )


def _rank(
    key: str, live: typing.Iterable[members.Member]
) -> list[members.Member]:
    """Return members by rendezvous hashing, the highest rank first."""
    return sorted(
        live,
        key=lambda each: identity.rendezvous_hash(key, each.name),
        reverse=True,
    )


def _rank_candidates(live: typing.Iterable[members.Member]) -> list[str]:
    """Return members by rank, the first of each failure domain before others.

    The loss of one failure domain then takes at most one watcher with it,
    where there are as many failure domains as watchers.
    """
    seen: set[str] = set()
    first_in_domain, others = [], []
    for each in _rank(_WATCHER_RANK_KEY, live):
        if each.failure_domain in seen:
            others.append(each.name)
        else:
            seen.add(each.failure_domain)
            first_in_domain.append(each.name)
    return first_in_domain + others
