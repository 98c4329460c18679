"""Members in one process over real sockets, with a forwarder each way."""

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

# A fifth of the defaults.
TIMES = {
    'probe_seconds': 0.2,
    'probe_timeout_seconds': 0.1,
    'suspect_seconds': 0.6,
}


class InstanceList:
    """The platform's list, as a test lets it stand."""

    def __init__(self) -> None:
        self.members: list[members.Member] = []

    def read(self) -> list[members.Member]:
        return list(self.members)


class LiveMember:
    """One start of an instance: links, roster and detector."""

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
            incarnation=incarnations.draw(wall),
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
            heard_version=self.versions.__setitem__,
            read_version=lambda: 7,
        )
        self.links.start()

    def _receive(self, sender: str, message: object) -> None:
        self.detector.receive(sender, message)

    def close(self) -> None:
        self.detector.close()
        self.links.close()

    def read_live(self) -> set[str]:
        return {member.name for member in self.roster.live()}

    def count(self, event: str) -> float:
        return self.metrics.read('members', event)


class LiveFleet:
    """Members by name; each pair may have a forwarder of its own each way."""

    def __init__(
        self, names: typing.Sequence[str], *, forwarded: bool = True
    ) -> None:
        self.stack = contextlib.ExitStack()
        self.list = InstanceList()
        self.members: dict[str, LiveMember] = {}
        self.ways: dict[tuple[str, str], proxy.Listener] = {}
        self._forwarder = self.stack.enter_context(proxy.Proxy())
        self._via: dict[str, dict[str, str]] = {name: {} for name in names}
        for name in names:
            self.add(name)
        for first in names:
            for second in names:
                if forwarded and first != second:
                    self._open_way(first, second)

    def add(self, name: str, **options: typing.Any) -> LiveMember:
        """Start the links of a member, new or in another one's place."""
        via = self._via.setdefault(name, {})
        given = options.pop('instance_list', self.list)
        member = LiveMember(name, given, via=via, **options)
        self.members[name] = member
        self.stack.callback(member.close)
        for (_, second), way in self.ways.items():
            if second == name:
                way.target = member.links.address
        return member

    def list_all(self) -> None:
        """Make the platform's list name everyone."""
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
        """Return the forwarders from one side to the other, both ways."""
        return [
            way
            for (one, other), way in self.ways.items()
            if (one in first and other in second)
            or (one in second and other in first)
        ]

    def agrees(self, names: set[str]) -> bool:
        """Tell whether these see just one another as live."""
        return all(self.members[name].read_live() == names for name in names)

    def _open_way(self, first: str, second: str) -> None:
        way = self._forwarder.listen(
            self.members[second].links.address, name=f'{first}>{second}'
        )
        self.ways[first, second] = way
        self._via[first][second] = way.address


def build_listed(
    name: str,
    address: str,
    *,
    state: members.MemberState = members.MemberState.ALIVE,
) -> members.Member:
    """Return an entry of the platform's list: it knows no incarnation."""
    return members.Member(
        name=name,
        incarnation=0,
        address=address,
        failure_domain='poa-a',
        region='rs-sul',
        state=state,
    )
