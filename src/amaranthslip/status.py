"""The status of the fleet as known to one instance, for operators."""

import typing

from amaranthslip.configuration import spread
from amaranthslip.members import roster
from amaranthslip.shares import dispatcher
from amaranthslip.shares import scheduler


class Status:
    """Collects the status for the status page, API and command line.

    Parameters
    ----------
    members : Roster
        The members and their states.
    versions : VersionPropagator
        The configuration version in force at this instance.
    queues : Scheduler
        The requests queued at this instance.
    slots : Dispatcher
        The backend servers that this instance owns.
    """

    __slots__ = (
        '_members',
        '_versions',
        '_queues',
        '_slots',
        '_reported_versions',
    )

    def __init__(
        self,
        members: roster.Roster,
        versions: spread.VersionPropagator,
        queues: scheduler.Scheduler,
        slots: dispatcher.Dispatcher,
    ) -> None:
        self._members = members
        self._versions = versions
        self._queues = queues
        self._slots = slots
        self._reported_versions: dict[str, int] = {}

    def record_version(self, name: str, version: int) -> None:
        """Record the version that a member reports to have in force."""
        self._reported_versions[name] = version

    def describe(self) -> dict[str, typing.Any]:
        """Return the status as values for JSON."""
        versions = self._versions.describe()
        own = self._members.member.name
        self._reported_versions[own] = versions.version
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
        version = self._reported_versions.get(member.name, 0)
        return member.describe() | {'version': version}
