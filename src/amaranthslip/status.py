"""Status: what one instance knows of the fleet, for operators."""

import typing

from amaranthslip.configuration import spread
from amaranthslip.members import roster
from amaranthslip.shares import dispatcher
from amaranthslip.shares import scheduler


class Status:
    """Gathers what the status page, the API and the command line show.

    Parameters
    ----------
    members : Roster
        Who is alive.
    versions : Spread
        The configuration in force here.
    queues : Scheduler
        What waits here.
    slots : Dispatcher
        The backend servers that this instance owns.
    """

    __slots__ = ('_members', '_versions', '_queues', '_slots', '_heard')

    def __init__(
        self,
        members: roster.Roster,
        versions: spread.Spread,
        queues: scheduler.Scheduler,
        slots: dispatcher.Dispatcher,
    ) -> None:
        self._members = members
        self._versions = versions
        self._queues = queues
        self._slots = slots
        self._heard: dict[str, int] = {}

    def hear_version(self, name: str, version: int) -> None:
        """Note which version a member said to have in force."""
        self._heard[name] = version

    def describe(self) -> dict[str, typing.Any]:
        """Return the status as values for JSON."""
        versions = self._versions.describe()
        own = self._members.member.name
        self._heard[own] = versions.version
        return {
            'instance': own,
            'ready': versions.ready,
            'version': versions.version,
            'store_version': versions.store_version,
            'store_outdated': versions.store_outdated,
            'forked': versions.forked,
            'members': [self._describe_member(each) for each in self._members],
            'queued': self._queues.describe(),
            'owned_servers': self._slots.describe(),
        }

    def _describe_member(self, member: typing.Any) -> dict[str, typing.Any]:
        version = self._heard.get(member.name, 0)
        return member.describe() | {'version': version}
