"""Members in one process over real sockets, with a forwarder per direction."""

import contextlib
import time
import typing

from amaranthslip.links import links
from amaranthslip.members import detector
from amaranthslip.members import incarnations
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip import metrics
from standins import proxy
from tests.support import member_settings

# A fifth of the default times.
TIMES = {
    'probe_seconds': 0.2,
    'probe_timeout_seconds': 0.1,
    'suspect_seconds': 0.6,
}


class InstanceList:
    """The platform's list of instances, with content set by the test."""

    def __init__(self) -> None:
        self.members: list[members.Member] = []

    def read(self) -> list[members.Member]:
        return list(self.members)


class LiveMember:
    """Links, roster and detector of one start of an instance."""

    def __init__(
        self,
        name: str,
        instance_list: InstanceList | None,
        *,
        via: dict[str, str],
        wall_seconds: float | None = None,
        times: dict[str, float] | None = None,
        counters: metrics.Metrics | None = None,
    ) -> None:
        self.name = name
        self.metrics = counters or metrics.Metrics()
        self.versions: dict[str, int] = {}
        settings = member_settings.build(
            name,
            links={'via': via},
            members=TIMES if times is None else times,
        )
        wall = time.time() if wall_seconds is None else wall_seconds
        self.member = members.Member(
            name=name,
            incarnation=incarnations.create(wall),
            address='',
            failure_domain='poa-a',
            region='rs-sul',
        )
        self.roster = roster.Roster(self.member)
        self.links = links.Links(
            settings, self.metrics, self.member, self._receive
        )
        self.detector = detector.Detector(
            settings,
            self.roster,
            self.links,
            self.metrics,
            instance_list=instance_list,
            on_version=self.versions.__setitem__,
            get_version=lambda: 7,
        )
        self.links.start()

    def _receive(self, sender: str, message: object) -> None:
        self.detector.receive(sender, message)

    def close(self) -> None:
        self.detector.close()
        self.links.close()

    def read_live(self) -> set[str]:
        return {member.name for member in self.roster.list_live()}

    def count(self, event: str) -> float:
        return self.metrics.read('members', event)


class LiveFleet:
    """Members by name, with an optional forwarder per pair and direction."""

    def __init__(
        self, names: typing.Sequence[str], *, forwarded: bool = True
    ) -> None:
        self.stack = contextlib.ExitStack()
        self.list = InstanceList()
        self.members: dict[str, LiveMember] = {}
        self.forwarders: dict[tuple[str, str], proxy.Listener] = {}
        self._proxy = self.stack.enter_context(proxy.Proxy())
        self._via: dict[str, dict[str, str]] = {name: {} for name in names}
        for name in names:
            self.add(name)
        for first in names:
            for second in names:
                if forwarded and first != second:
                    self._open_forwarder(first, second)

    def add(self, name: str, **options: typing.Any) -> LiveMember:
        """Start the links of a new member, or of one that replaces another."""
        via = self._via.setdefault(name, {})
        given = options.pop('instance_list', self.list)
        member = LiveMember(name, given, via=via, **options)
        self.members[name] = member
        self.stack.callback(member.close)
        for (_, second), forwarder in self.forwarders.items():
            if second == name:
                forwarder.target = member.links.address
        return member

    def list_all(self) -> None:
        """Put all members on the platform's list."""
        self.list.members = [
            build_listed(name, member.links.address)
            for name, member in self.members.items()
        ]

    def start(self) -> None:
        self.list_all()
        for member in self.members.values():
            member.detector.start()

    def between(
        self, first: set[str], second: set[str]
    ) -> list[proxy.Listener]:
        """Return the forwarders between two sets of members, both ways."""
        return [
            forwarder
            for (one, other), forwarder in self.forwarders.items()
            if (one in first and other in second)
            or (one in second and other in first)
        ]

    def agrees(self, names: set[str]) -> bool:
        """Return whether each of these members lists exactly them as live."""
        return all(self.members[name].read_live() == names for name in names)

    def _open_forwarder(self, first: str, second: str) -> None:
        forwarder = self._proxy.listen(
            self.members[second].links.address, name=f'{first}>{second}'
        )
        self.forwarders[first, second] = forwarder
        self._via[first][second] = forwarder.address


def build_listed(
    name: str,
    address: str,
    *,
    state: members.MemberState = members.MemberState.ALIVE,
) -> members.Member:
    """Return an entry of the platform's list, which has no incarnation."""
    return members.Member(
        name=name,
        incarnation=0,
        address=address,
        failure_domain='poa-a',
        region='rs-sul',
        state=state,
    )
