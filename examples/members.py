"""Embeds fleet membership in a program: five members in one process.

    python examples/members.py

Each member has links, a roster and a detector, as an instance has. One member
stops without notice and another leaves; the remaining members detect both and
agree on the live members.
"""

import contextlib
import time

import gevent

from amaranthslip.links import links
from amaranthslip.members import detector
from amaranthslip.members import incarnations
from amaranthslip.members import members
from amaranthslip.members import rendezvous
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip import settings

_NAMES = ('poa-a-1', 'poa-a-2', 'poa-b-1', 'poa-b-2', 'canoas-1')
_UNUSED_ADDRESS = '127.0.0.1:0'


class StaticInstanceList:
    """A fixed list through which members discover each other at startup."""

    def __init__(self) -> None:
        self.members: list[members.Member] = []

    def read(self) -> list[members.Member]:
        return list(self.members)


class EmbeddedMember:
    """The membership components that an embedding program creates."""

    def __init__(self, name: str, instance_list: StaticInstanceList) -> None:
        checked = settings.check_settings(
            {
                'instance': {
                    'name': name,
                    'failure_domain': name.rpartition('-')[0],
                    'region': 'rs-sul',
                },
                'addresses': {
                    'callers': _UNUSED_ADDRESS,
                    'operators': _UNUSED_ADDRESS,
                    'peers': _UNUSED_ADDRESS,
                },
                'platform': {
                    'key_value': 'http://127.0.0.1:1',
                },
                'members': {
                    'probe_seconds': 0.2,
                    'probe_timeout_seconds': 0.1,
                    'suspect_seconds': 0.6,
                },
            }
        )
        member = members.Member(
            name=name,
            incarnation=incarnations.create(time.time()),
            address='',
            failure_domain=checked.instance.failure_domain,
            region=checked.instance.region,
        )
        counters = metrics.Metrics()
        self.roster = roster.Roster(member)
        self.links = links.Links(checked, counters, member, self._receive)
        self.detector = detector.Detector(
            checked,
            self.roster,
            self.links,
            counters,
            instance_list=instance_list,
        )
        self.links.start()
        instance_list.members.append(member)

    def _receive(self, sender: str, message: object) -> None:
        # A program with message kinds of its own handles them here.
        self.detector.receive(sender, message)

    def close(self) -> None:
        self.detector.close()
        self.links.close()

    def read_live_names(self) -> list[str]:
        return [member.name for member in self.roster.list_live()]


def wait_for_agreement(
    fleet: dict[str, EmbeddedMember], names: list[str]
) -> None:
    """Wait until each named member sees exactly the named members as live."""
    with gevent.Timeout(30):
        while any(fleet[name].read_live_names() != names for name in names):
            gevent.sleep(0.05)
    print(f'{len(names)} agree: {", ".join(names)}')


def main() -> None:
    """Show startup, a failure, a planned leave and rendezvous placement."""
    with contextlib.ExitStack() as stack:
        instance_list = StaticInstanceList()
        fleet = {}
        for name in _NAMES:
            fleet[name] = EmbeddedMember(name, instance_list)
            stack.callback(fleet[name].close)
        for each in fleet.values():
            each.detector.start()
        wait_for_agreement(fleet, sorted(_NAMES))
        fleet['poa-a-2'].close()
        wait_for_agreement(fleet, sorted(set(_NAMES) - {'poa-a-2'}))
        fleet['canoas-1'].detector.leave()
        remaining = sorted(set(_NAMES) - {'poa-a-2', 'canoas-1'})
        wait_for_agreement(fleet, remaining)
        print(
            'key "auditor" is served by',
            *rendezvous.pick('auditor', remaining, 2),
        )


if __name__ == '__main__':
    main()
