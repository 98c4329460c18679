"""Discovery of members through the platform's list of instances."""

import logging
import random as random_
import typing

from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip.members import outbox as outbox_module
from amaranthslip.members import roster as roster_module
from amaranthslip.members import states as states_module

_LOG = logging.getLogger(__name__)


class InstanceList(typing.Protocol):
    """Client of the platform's list of instances."""

    def read(self) -> list[members.Member]:
        """Return the listed instances; the list may be minutes out of date."""


class Seeds:
    """Names on the platform's list that are not yet in the roster.

    The list lags by minutes, so it is only a hint: a listed name is a member
    to probe. An entry marked as leaving is applied as news once until the mark
    or the entry disappears, and the instance itself may refute that news.
    """

    __slots__ = (
        '_list',
        '_roster',
        '_states',
        '_outbox',
        '_unknown',
        '_unprobed',
        '_announced',
    )

    def __init__(
        self,
        instance_list: InstanceList | None,
        roster: roster_module.Roster,
        states: states_module.MemberStates,
        outbox: outbox_module.Outbox,
    ) -> None:
        self._list = instance_list
        self._roster = roster
        self._states = states
        self._outbox = outbox
        self._unknown: list[str] = []
        self._unprobed: list[str] = []
        self._announced: dict[str, int] = {}

    @property
    def unknown(self) -> list[str]:
        """Names on the list that are not in the roster."""
        return [n for n in self._unknown if self._roster.get(n) is None]

    def next_unprobed(self) -> str | None:
        """Return a listed name that was not probed yet, or None.

        Each name is returned once.
        """
        while self._unprobed:
            name = self._unprobed.pop()
            if self._roster.get(name) is None:
                return name
        return None

    def draw_unprobed(self, count: int, random: random_.Random) -> list[str]:
        """Return random listed names that were not probed yet.

        Without the random choice, all instances of a fleet that starts at
        once would probe the same few members.
        """
        random.shuffle(self._unprobed)
        drawn = (self.next_unprobed() for _ in range(count))
        return [name for name in drawn if name is not None]

    def refresh(self) -> None:
        """Read the list once; if it is unreachable, keep the previous one."""
        if self._list is None:
            return
        try:
            listed = self._list.read()
        except errors.PlatformError as error:
            _LOG.info('instance_list_unreadable', extra={'error': error})
            return
        self._remove_unlisted({member.name for member in listed})
        for member in listed:
            self._process_entry(member)

    def _process_entry(self, member: members.Member) -> None:
        known = self._roster.get(member.name)
        if known is self._roster.member:
            return
        if known is None:
            self._outbox.set_address(member.name, member.address)
            if member.name not in self._unknown:
                self._unknown.append(member.name)
                self._unprobed.append(member.name)
            return
        if member.state is members.MemberState.LEAVING:
            self._announce_leaving(known)
        else:
            self._announced.pop(member.name, None)

    def _announce_leaving(self, known: members.Member) -> None:
        # The list shows an instance as leaving long after its successor has
        # started under the same name. The state is applied only once, so a
        # refutation by the instance itself remains in force.
        if known.name in self._announced:
            return
        self._announced[known.name] = known.incarnation
        news = states_module.describe(known)
        news.state = int(members.MemberState.LEAVING)
        self._states.apply(news)

    def _remove_unlisted(self, names: set[str]) -> None:
        for name in set(self._unknown) - names:
            self._unknown.remove(name)
            if self._roster.get(name) is None:
                self._outbox.remove_peer(name)
        for name in set(self._announced) - names:
            del self._announced[name]
