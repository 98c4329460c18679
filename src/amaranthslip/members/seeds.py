"""The platform's list of instances, as a hint to the members."""

import logging
import random as random_
import typing

from amaranthslip import errors
from amaranthslip.members import beliefs as beliefs_module
from amaranthslip.members import members
from amaranthslip.members import outbox as outbox_module
from amaranthslip.members import roster as roster_module

_LOG = logging.getLogger(__name__)


class InstanceList(typing.Protocol):
    """The platform's client of its list of instances."""

    def read(self) -> list[members.Member]:
        """Return the instances that the platform knows, with its lag."""


class Seeds:
    """Names from the platform's list that were not yet heard from.

    The list lags by minutes, so that it decides nothing: a name on it is a
    place to try, and `leaving` on it is passed on as news, once for each
    incarnation, which the instance itself may contradict.
    """

    __slots__ = (
        '_list',
        '_roster',
        '_beliefs',
        '_outbox',
        '_unheard',
        '_untried',
        '_told',
    )

    def __init__(
        self,
        instance_list: InstanceList | None,
        roster: roster_module.Roster,
        beliefs: beliefs_module.Beliefs,
        outbox: outbox_module.Outbox,
    ) -> None:
        self._list = instance_list
        self._roster = roster
        self._beliefs = beliefs
        self._outbox = outbox
        self._unheard: list[str] = []
        self._untried: list[str] = []
        self._told: dict[str, int] = {}

    @property
    def unheard(self) -> list[str]:
        """Names on the list of which nothing was heard."""
        return [n for n in self._unheard if self._roster.get(n) is None]

    def next_untried(self) -> str | None:
        """Return a name on the list that was not yet tried, once."""
        while self._untried:
            name = self._untried.pop()
            if self._roster.get(name) is None:
                return name
        return None

    def draw_untried(self, count: int, random: random_.Random) -> list[str]:
        """Return names on the list that were not yet tried, at random.

        Where a whole fleet starts at once, all else greet the same few.
        """
        random.shuffle(self._untried)
        drawn = (self.next_untried() for _ in range(count))
        return [name for name in drawn if name is not None]

    def refresh(self) -> None:
        """Read the list once; an outage leaves what was known."""
        if self._list is None:
            return
        try:
            listed = self._list.read()
        except errors.PlatformError as error:
            _LOG.info('instance_list_unread', extra={'error': error})
            return
        self._forget_unlisted({member.name for member in listed})
        for member in listed:
            self._take_in(member)

    def _take_in(self, member: members.Member) -> None:
        known = self._roster.get(member.name)
        if known is self._roster.member:
            return
        if known is None:
            self._outbox.set_address(member.name, member.address)
            if member.name not in self._unheard:
                self._unheard.append(member.name)
                self._untried.append(member.name)
            return
        if member.state is members.MemberState.LEAVING:
            self._tell_leaving(known)
        else:
            self._told.pop(member.name, None)

    def _tell_leaving(self, known: members.Member) -> None:
        # The list goes on saying that an instance leaves long after the
        # next one started under its name. Said once for one incarnation,
        # a contradiction of the instance itself stands.
        if known.name in self._told:
            return
        self._told[known.name] = known.incarnation
        news = beliefs_module.describe(known)
        news.state = int(members.MemberState.LEAVING)
        self._beliefs.learn(news)

    def _forget_unlisted(self, names: set[str]) -> None:
        for name in set(self._unheard) - names:
            self._unheard.remove(name)
            if self._roster.get(name) is None:
                self._outbox.forget(name)
        for name in set(self._told) - names:
            del self._told[name]
