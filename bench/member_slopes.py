"""Measures the cost of membership per member at several fleet sizes."""

import contextlib
import copy
import functools
import json
import subprocess
import sys
import time
import tracemalloc
import typing

import gevent

from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import clock
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import rendezvous
from amaranthslip.members import roster
from amaranthslip.members import states
from amaranthslip import metrics
from bench import slope
from tests.support import live_fleet
from tests.support import member_settings
from tests.support import virtual_fleet

_KINDS = ('Hello', 'Probe', 'ProbeAnswer', 'ProbeRequest')
_JOIN_TIMEOUT_SECONDS = 300
# Long enough for the gossip about joins to end before the measurement.
_SETTLE_SECONDS = 60.0
_MAX_MEMBERS_PER_PROCESS = 16
_IDLE_SECONDS = 3.0
# IP and TCP headers of a segment with the TCP timestamp option.
_HEADER_BYTES = 52
# A frame takes one segment and its acknowledgement; a connection takes three
# segments to open and four to close.
_SEGMENTS_PER_FRAME = 2
_SEGMENTS_PER_CONNECTION = 7
_TIMED_CALLS = 300
_DETECTION_TIMEOUT_SECONDS = 120.0
_AGREEMENT_TIMEOUT_SECONDS = 600.0


class _Totals:
    """Message counters and processor time of all members in this process."""

    __slots__ = ('bytes', 'messages', 'hellos', 'processor_seconds')

    def __init__(self, counters: metrics.Metrics) -> None:
        self.bytes = sum(counters.read('control_bytes', k) for k in _KINDS)
        self.messages = sum(
            counters.read('control_messages', k) for k in _KINDS
        )
        self.hellos = counters.read('control_messages', 'Hello')
        self.processor_seconds = time.process_time()


def measure_fleet(count: int, seconds: float) -> list[slope.Slope]:
    """Measure an idle fleet over loopback sockets.

    The members of one process share its event loop and counters. With more
    than sixteen members per process, the delay in the event loop's queue would
    dominate the figures. The processor time and memory of a process before its
    members start are subtracted.
    """
    process_count = -(-count // _MAX_MEMBERS_PER_PROCESS)
    with contextlib.ExitStack() as stack:
        processes = [
            stack.enter_context(
                _start_process(process_index, process_count, count, seconds)
            )
            for process_index in range(process_count)
        ]
        reported = [json.loads(each.stdout.readline()) for each in processes]
        addresses = {
            name: address
            for part in reported
            for name, address in part.items()
        }
        for each in processes:
            each.stdin.write(json.dumps(addresses) + '\n')
            each.stdin.flush()
        figures = [json.loads(each.stdout.readline()) for each in processes]
    return [_average(values) for values in zip(*figures)]


def _start_process(
    process_index: int, process_count: int, count: int, seconds: float
) -> subprocess.Popen:
    command = [sys.executable, '-m', 'bench.member_slopes']
    command += [
        str(value) for value in (process_index, process_count, count, seconds)
    ]
    return subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def _average(values: tuple[dict[str, typing.Any], ...]) -> slope.Slope:
    mean = sum(each['value'] for each in values) / len(values)
    return slope.Slope(**{**values[0], 'value': mean})


def main() -> None:
    """Run the members of one process, as a child of `measure_fleet`."""
    process_index, process_count, count = (
        int(value) for value in sys.argv[1:4]
    )
    figures = _measure_process(
        process_index, process_count, count, float(sys.argv[4])
    )
    print(json.dumps([each.describe() for each in figures]), flush=True)
    # Keeps these members running while other processes still measure.
    gevent.sleep(_SETTLE_SECONDS)


def _measure_process(
    process_index: int, process_count: int, count: int, seconds: float
) -> list[slope.Slope]:
    idle = _measure_idle()
    start = slope.read_resident_bytes()
    counters = metrics.Metrics()
    instance_list = live_fleet.InstanceList()
    fleet = [
        live_fleet.LiveMember(
            f'poa-a-{index}',
            instance_list,
            via={},
            times={},
            counters=counters,
        )
        for index in range(process_index, count, process_count)
    ]
    own_addresses = {each.name: each.links.address for each in fleet}
    print(json.dumps(own_addresses), flush=True)
    all_addresses = json.loads(sys.stdin.readline())
    instance_list.members = [
        live_fleet.build_listed(name, address)
        for name, address in all_addresses.items()
    ]
    joined = _wait_until_joined(fleet, count)
    gevent.sleep(_SETTLE_SECONDS)
    before = _Totals(counters)
    gevent.sleep(seconds)
    after = _Totals(counters)
    memory = slope.read_resident_bytes() - start
    return [
        slope.Slope('all joined', joined, 's', 'all started at once'),
        *_compare(before, after, len(fleet) * seconds, idle / len(fleet)),
        slope.Slope(
            'memory',
            memory / len(fleet) / 1024,
            'KB a member',
            'links, roster and detector',
        ),
    ]


def _wait_until_joined(
    fleet: list[live_fleet.LiveMember], count: int
) -> float:
    started = time.monotonic()
    for each in fleet:
        each.detector.start()
    with gevent.Timeout(
        _JOIN_TIMEOUT_SECONDS, RuntimeError('the members did not all join')
    ):
        while not all(len(each.roster.list_live()) == count for each in fleet):
            gevent.sleep(0.1)
    return time.monotonic() - started


def _compare(
    before: _Totals, after: _Totals, member_seconds: float, idle: float
) -> list[slope.Slope]:
    sent = after.bytes - before.bytes
    count = after.messages - before.messages
    connections = after.hellos - before.hellos
    segments = (
        _SEGMENTS_PER_FRAME * count + _SEGMENTS_PER_CONNECTION * connections
    )
    wire = sent + _HEADER_BYTES * segments
    processor_seconds = after.processor_seconds - before.processor_seconds
    return [
        slope.Slope('messages', count / member_seconds, '/s a member'),
        slope.Slope(
            'connections made', connections / member_seconds, '/s a member'
        ),
        slope.Slope(
            'bytes sent', sent / member_seconds, 'B/s a member', 'TCP payload'
        ),
        slope.Slope(
            'bytes on the wire',
            wire / member_seconds,
            'B/s a member',
            'calculated: 52-byte headers, one segment per message',
        ),
        slope.Slope(
            'processor',
            100 * (processor_seconds / member_seconds - idle),
            '% of a core a member',
            'sending and receiving, kernel time included',
        ),
    ]


def _measure_idle() -> float:
    started = time.process_time()
    gevent.sleep(_IDLE_SECONDS)
    return (time.process_time() - started) / _IDLE_SECONDS


class _NullOutbox:
    """An outbox that discards messages, for measurements without sockets."""

    def send(self, name: str, message: object) -> bool:
        return True

    def set_address(self, name: str, address: str) -> None:
        pass

    def remove_peer(self, name: str) -> None:
        pass


def measure_roster(count: int, seconds: float) -> list[slope.Slope]:
    """Measure memory, size and call times of a large fleet's roster."""
    registry.register_all()
    known = roster.Roster(_build_member(0))
    counters = metrics.Metrics()
    settings = member_settings.build('poa-a-0')
    tracemalloc.start()
    member_states = states.MemberStates(
        settings, known, _NullOutbox(), counters, clock.Clock()
    )
    for index in range(1, count):
        member_states.apply(states.describe(_build_member(index)))
    while len(member_states.gossip):
        member_states.select_news()
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    answer = messages.ProbeAnswer(
        number=1, news=member_states.list_roster_news()
    )
    names = [member.name for member in known.list_live()]
    known_news = states.describe(_build_member(1))
    return [
        slope.Slope('roster', allocated / count, 'bytes a known member'),
        slope.Slope('whole roster', len(codec.encode([answer])), 'bytes'),
        slope.Slope(
            'live() after a change',
            slope.time_call(
                functools.partial(_list_live_after_change, known),
                count=_TIMED_CALLS,
            ),
            'us',
        ),
        slope.Slope(
            'pick 4 of all',
            slope.time_call(
                functools.partial(rendezvous.pick, 'key', names, 4),
                count=_TIMED_CALLS,
            ),
            'us',
        ),
        slope.Slope(
            'news already known',
            slope.time_call(
                functools.partial(member_states.apply, known_news),
                count=_TIMED_CALLS,
            ),
            'us',
        ),
        slope.Slope(
            'gather news',
            slope.time_call(member_states.select_news, count=_TIMED_CALLS),
            'us',
        ),
    ]


def _list_live_after_change(known: roster.Roster) -> None:
    known.invalidate()
    known.list_live()


def _build_member(index: int) -> members.Member:
    return members.Member(
        name=f'poa-a-{index}',
        incarnation=117719059844300800 + index,
        address=f'10.0.{index // 250}.{index % 250}:7000',
        failure_domain=f'poa-{index % 18}',
        region=f'region-{index % 6}',
    )


def _start_virtual_fleet(
    count: int,
) -> tuple[virtual_fleet.Network, list[virtual_fleet.VirtualMember]]:
    """Return a virtual network whose members all know each other."""
    network = virtual_fleet.Network(seed=1)
    fleet = [
        virtual_fleet.VirtualMember(network, f'm{index}', seed=index)
        for index in range(count)
    ]
    for member in fleet:
        for other in fleet:
            if member is not other:
                known = copy.copy(other.member)
                member.roster.put(known)
                member.set_address(known.name, known.address)
    network.advance(5.0)
    return network, fleet


def measure_spread(count: int, seconds: float) -> list[slope.Slope]:
    """Measure how long all members take to detect a failed member.

    The real detectors run in virtual time without sockets, with an in-memory
    delivery delay of 1 ms. All members know each other at the start, and their
    probe periods begin at random times.
    """
    network, fleet = _start_virtual_fleet(count)
    fleet[0].stop()
    failed_at = network.now
    suspected, detected = 0.0, []
    while (
        len(detected) < count - 1
        and network.now < failed_at + _DETECTION_TIMEOUT_SECONDS
    ):
        network.advance(0.1)
        dead = members.MemberState.DEAD
        states = [each.roster.get('m0').state for each in fleet[1:]]
        if not suspected and any(states):
            suspected = network.now - failed_at
        new = sum(state is dead for state in states) - len(detected)
        detected += [network.now - failed_at] * new
    return [
        slope.Slope('first suspicion', suspected, 's after a death'),
        slope.Slope(
            'half know', detected[(count - 1) // 2], 's after a death'
        ),
        slope.Slope('last knows', detected[-1], 's after a death'),
        slope.Slope('know', len(detected), f'of {count - 1} others'),
    ]


def measure_heal(count: int, seconds: float) -> list[slope.Slope]:
    """Measure how long a fleet takes to agree after a partition and its end.

    The partition separates the fleet into two halves.
    """
    network, fleet = _start_virtual_fleet(count)
    halves = fleet[: count // 2], fleet[count // 2 :]
    pairs = {(a.name, b.name) for a in halves[0] for b in halves[1]}
    network.cut(pairs | {(b, a) for a, b in pairs})
    partitioned = _wait_for_live_count(network, fleet, count // 2)
    network.heal()
    healed = _wait_for_live_count(network, fleet, count)
    return [
        slope.Slope('halves part', partitioned, 's until all agree'),
        slope.Slope('halves rejoin', healed, 's until all agree'),
    ]


def _wait_for_live_count(
    network: virtual_fleet.Network,
    fleet: list[virtual_fleet.VirtualMember],
    count: int,
) -> float:
    started = network.now
    while any(len(each.roster.list_live()) != count for each in fleet):
        network.advance(0.5)
        if network.now > started + _AGREEMENT_TIMEOUT_SECONDS:
            raise RuntimeError('the members did not agree on the live members')
    return network.now - started


if __name__ == '__main__':
    main()
