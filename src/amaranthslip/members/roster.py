"""Roster of all members known to this instance, with their states."""

import typing

from amaranthslip import identity
from amaranthslip.members import members


class Roster:
    """All known members by name, including this instance.

    Parameters
    ----------
    member : Member
        This instance. The roster stores the object itself, not a copy.
    """

    __slots__ = ('member', 'generation', '_members', '_live')

    def __init__(self, member: members.Member) -> None:
        self.member = member
        self.generation = 1
        self._members = {member.name: member}
        self._live: tuple[members.Member, ...] | None = None

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> typing.Iterator[members.Member]:
        return iter(list(self._members.values()))

    def get(self, name: str) -> members.Member | None:
        """Return a member in any state, or None if it is unknown."""
        return self._members.get(name)

    def list_live(self) -> tuple[members.Member, ...]:
        """Return the members in service, sorted by name.

        Suspected members are included: a suspicion is often wrong, and moving
        a dispatcher to another instance and back within three seconds costs
        more than a dispatcher that is slow for as long.
        """
        if self._live is None:
            names = sorted(self._members)
            found = (self._members[name] for name in names)
            self._live = tuple(
                member for member in found if is_live(member.state)
            )
        return self._live

    def list_others(self) -> list[members.Member]:
        """Return the members in service but this instance, by name."""
        return [
            each for each in self.list_live() if each.name != self.member.name
        ]

    def find_first(self, key: str) -> str:
        """Return the name of the instance that ranks first for a key.

        By rendezvous hashing over the members in service; this instance if
        there are none.
        """
        names = [each.name for each in self.list_live()] or [self.member.name]
        return max(names, key=lambda name: identity.rendezvous_hash(key, name))

    def put(self, member: members.Member) -> None:
        """Add a member, or replace its record."""
        old = self._members.get(member.name)
        self._members[member.name] = member
        if old is None or _differs(old, member):
            self.invalidate()

    def remove(self, name: str) -> None:
        """Remove a member, if it is known."""
        member = self._members.pop(name, None)
        if member is not None and is_live(member.state):
            self.invalidate()

    def invalidate(self) -> None:
        """Invalidate the cached live members and raise the generation."""
        self._live = None
        self.generation += 1


def is_live(state: members.MemberState) -> bool:
    """Return whether a member in this state may be given work."""
    return state <= members.MemberState.SUSPECT


def _differs(old: members.Member, new: members.Member) -> bool:
    if is_live(old.state) != is_live(new.state):
        return True
    return is_live(new.state) and (
        old.incarnation != new.incarnation
        or old.address != new.address
        or old.failure_domain != new.failure_domain
        or old.region != new.region
    )
