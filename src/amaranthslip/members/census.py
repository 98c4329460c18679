"""Census: how many instances may be running, in touch or not.

A part of a limit of the whole fleet must not depend on which instances this
one believes to be alive: in a partition each side takes the other for dead,
and the parts of all instances would add up to several times the limit.
"""

import time
import typing

from amaranthslip.members import roster as roster_module

# Seconds for which an instance counts after it was last known: the longest
# lease of an entry in the platform's list.
_RETENTION_SECONDS = 600.0
# Seconds between two reviews of the known instances while no member joins or
# dies.
_REVIEW_SECONDS = 1.0


class Census:
    """Counts the instances of the roster and of the platform's list.

    An instance counts in any state, and for some minutes after both have
    dropped it. It may run beyond a partition, and counting one too many only
    makes the parts smaller.

    Parameters
    ----------
    roster : Roster
        The members, this instance included.
    list_names : callable
        Returns the names on the platform's list.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_list_names',
        '_clock',
        '_generation',
        '_reviewed_at',
        '_known_at',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        list_names: typing.Callable[[], typing.Iterable[str]],
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._list_names = list_names
        self._clock = clock
        self._generation = -1
        self._reviewed_at = float('-inf')
        # By name: when the instance was last in the roster or on the list.
        self._known_at: dict[str, float] = {}

    def count(self) -> int:
        """Return the number of instances that may be running; at least 1."""
        now = self._clock()
        if (
            self._generation != self._roster.generation
            or now - self._reviewed_at >= _REVIEW_SECONDS
        ):
            self._review(now)
        return len(self._known_at)

    def _review(self, now: float) -> None:
        self._generation = self._roster.generation
        self._reviewed_at = now
        for member in self._roster:
            self._known_at[member.name] = now
        for name in self._list_names():
            self._known_at[name] = now
        oldest = now - _RETENTION_SECONDS
        self._known_at = {
            name: known_at
            for name, known_at in self._known_at.items()
            if known_at >= oldest
        }
