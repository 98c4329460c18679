"""What membership costs one member, at several sizes of the fleet."""

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
from amaranthslip.members import beliefs
from amaranthslip.members import clock
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import rendezvous
from amaranthslip.members import roster
from amaranthslip import metrics
from bench import slope
from tests.support import live_fleet
from tests.support import member_settings
from tests.support import virtual_fleet

_KINDS = ('Hello', 'Probe', 'ProbeAnswer', 'ProbeRequest')
_AGREE_SECONDS = 300
# Long enough for the news of joining to have been passed on.
_SETTLE_SECONDS = 60.0
_MOST_IN_PROCESS = 16
_IDLE_SECONDS = 3.0
# An IP and TCP header with timestamps.
_HEADER_BYTES = 52
# A frame takes a segment and its acknowledgement; a connection three
# segments to make and four to end.
_SEGMENTS_A_FRAME = 2
_SEGMENTS_A_CONNECTION = 7
_CALLS = 300
_WATCH_SECONDS = 120.0
_HEAL_SECONDS = 600.0


class _Totals:
    """What all members of the process counted until now."""

    __slots__ = ('bytes', 'messages', 'hellos', 'processor_seconds')

    def __init__(self, counters: metrics.Metrics) -> None:
        self.bytes = sum(counters.read('control_bytes', k) for k in _KINDS)
        self.messages = sum(
            counters.read('control_messages', k) for k in _KINDS
        )
        self.hellos = counters.read('control_messages', 'Hello')
        self.processor_seconds = time.process_time()


def measure_fleet(count: int, seconds: float) -> list[slope.Slope]:
    """Measure an idle fleet over real loopback sockets.

    The members of one process share its event loop and counters; with more
    than sixteen of them it would be its queue that is measured. The
    processor time and memory of a process before its members start are
    subtracted.
    """
    shares = -(-count // _MOST_IN_PROCESS)
    with contextlib.ExitStack() as stack:
        processes = [
            stack.enter_context(_start_process(share, shares, count, seconds))
            for share in range(shares)
        ]
        listed = [json.loads(each.stdout.readline()) for each in processes]
        whole = {name: at for part in listed for name, at in part.items()}
        for each in processes:
            each.stdin.write(json.dumps(whole) + '\n')
            each.stdin.flush()
        found = [json.loads(each.stdout.readline()) for each in processes]
    return [_average(values) for values in zip(*found)]


def _start_process(
    share: int, shares: int, count: int, seconds: float
) -> subprocess.Popen:
    command = [sys.executable, '-m', 'bench.member_slopes']
    command += [str(value) for value in (share, shares, count, seconds)]
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
    """Run one share of a fleet's members, as `measure_fleet` asks."""
    share, shares, count = (int(value) for value in sys.argv[1:4])
    found = _measure_share(share, shares, count, float(sys.argv[4]))
    print(json.dumps([each.describe() for each in found]), flush=True)
    # The others measure until they have read this share's figures too.
    gevent.sleep(_SETTLE_SECONDS)


def _measure_share(
    share: int, shares: int, count: int, seconds: float
) -> list[slope.Slope]:
    idle = _measure_idle()
    start = slope.read_resident_bytes()
    counters = metrics.Metrics()
    listed = live_fleet.InstanceList()
    fleet = [
        live_fleet.LiveMember(
            f'poa-a-{index}', listed, via={}, times={}, counters=counters
        )
        for index in range(share, count, shares)
    ]
    addresses = {each.name: each.links.address for each in fleet}
    print(json.dumps(addresses), flush=True)
    whole = json.loads(sys.stdin.readline())
    listed.members = [
        live_fleet.build_listed(name, address)
        for name, address in whole.items()
    ]
    joined = _await_agreement(fleet, count)
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
            'links, roster, detector',
        ),
    ]


def _await_agreement(fleet: list[live_fleet.LiveMember], count: int) -> float:
    started = time.monotonic()
    for each in fleet:
        each.detector.start()
    with gevent.Timeout(_AGREE_SECONDS, RuntimeError('no agreement')):
        while not all(len(each.roster.live()) == count for each in fleet):
            gevent.sleep(0.1)
    return time.monotonic() - started


def _compare(
    before: _Totals, after: _Totals, share: float, idle: float
) -> list[slope.Slope]:
    sent = after.bytes - before.bytes
    count = after.messages - before.messages
    dialled = after.hellos - before.hellos
    segments = _SEGMENTS_A_FRAME * count + _SEGMENTS_A_CONNECTION * dialled
    wire = sent + _HEADER_BYTES * segments
    spent = after.processor_seconds - before.processor_seconds
    return [
        slope.Slope('messages', count / share, '/s a member'),
        slope.Slope('connections made', dialled / share, '/s a member'),
        slope.Slope('bytes sent', sent / share, 'B/s a member', 'in TCP'),
        slope.Slope(
            'bytes on the wire',
            wire / share,
            'B/s a member',
            'worked out: 52-byte headers, a segment for each message',
        ),
        slope.Slope(
            'processor',
            100 * (spent / share - idle),
            '% of a core a member',
            'sending and receiving, with the kernel',
        ),
    ]


def _measure_idle() -> float:
    started = time.process_time()
    gevent.sleep(_IDLE_SECONDS)
    return (time.process_time() - started) / _IDLE_SECONDS


class _NoOutbox:
    """An outbox for structures without sockets."""

    def send(self, name: str, message: object) -> bool:
        return True

    def set_address(self, name: str, address: str) -> None:
        pass

    def forget(self, name: str) -> None:
        pass


def measure_roster(count: int, seconds: float) -> list[slope.Slope]:
    """Measure the roster of a large fleet as a structure."""
    registry.register_all()
    known = roster.Roster(_build_member(0))
    counters = metrics.Metrics()
    settings = member_settings.build('poa-a-0')
    tracemalloc.start()
    believed = beliefs.Beliefs(
        settings, known, _NoOutbox(), counters, clock.Clock()
    )
    for index in range(1, count):
        believed.learn(beliefs.describe(_build_member(index)))
    while len(believed.rumours):
        believed.gather()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    answer = messages.ProbeAnswer(number=1, news=believed.gather_all())
    names = [member.name for member in known.live()]
    again = beliefs.describe(_build_member(1))
    return [
        slope.Slope('roster', held / count, 'bytes a known member'),
        slope.Slope('whole roster', len(codec.encode([answer])), 'bytes'),
        slope.Slope(
            'live() after a change',
            slope.time_call(
                functools.partial(_list_anew, known), count=_CALLS
            ),
            'us',
        ),
        slope.Slope(
            'pick 4 of all',
            slope.time_call(
                functools.partial(rendezvous.pick, 'key', names, 4),
                count=_CALLS,
            ),
            'us',
        ),
        slope.Slope(
            'news already known',
            slope.time_call(
                functools.partial(believed.learn, again), count=_CALLS
            ),
            'us',
        ),
        slope.Slope(
            'gather news',
            slope.time_call(believed.gather, count=_CALLS),
            'us',
        ),
    ]


def _list_anew(known: roster.Roster) -> None:
    known.note_change()
    known.live()


def _build_member(index: int) -> members.Member:
    return members.Member(
        name=f'poa-a-{index}',
        incarnation=117719059844300800 + index,
        address=f'10.0.{index // 250}.{index % 250}:7000',
        failure_domain=f'poa-{index % 18}',
        region=f'region-{index % 6}',
    )


def _open_virtual(
    count: int,
) -> tuple[virtual_fleet.Network, list[virtual_fleet.VirtualMember]]:
    """Return members without sockets that all know one another."""
    network = virtual_fleet.Network(seed=1)
    fleet = [
        virtual_fleet.VirtualMember(network, f'm{index}', seed=index)
        for index in range(count)
    ]
    for one in fleet:
        for other in fleet:
            if one is not other:
                known = copy.copy(other.member)
                one.roster.put(known)
                one.set_address(known.name, known.address)
    network.advance(5.0)
    return network, fleet


def measure_spread(count: int, seconds: float) -> list[slope.Slope]:
    """Time how a death becomes known, in virtual time, without sockets.

    The real detectors run over in-memory delivery of 1 ms; all know one
    another at the start, and their periods begin at random moments.
    """
    network, fleet = _open_virtual(count)
    fleet[0].stop()
    died = network.now
    suspected, gone = 0.0, []
    while len(gone) < count - 1 and network.now < died + _WATCH_SECONDS:
        network.advance(0.1)
        dead = members.MemberState.DEAD
        states = [one.roster.get('m0').state for one in fleet[1:]]
        if not suspected and any(states):
            suspected = network.now - died
        new = sum(state is dead for state in states) - len(gone)
        gone += [network.now - died] * new
    return [
        slope.Slope('first suspicion', suspected, 's after a death'),
        slope.Slope('half know', gone[(count - 1) // 2], 's after a death'),
        slope.Slope('last knows', gone[-1], 's after a death'),
        slope.Slope('know', len(gone), f'of {count - 1} others'),
    ]


def measure_heal(count: int, seconds: float) -> list[slope.Slope]:
    """Time how two halves of a fleet part and find each other again."""
    network, fleet = _open_virtual(count)
    halves = fleet[: count // 2], fleet[count // 2 :]
    pairs = {(a.name, b.name) for a in halves[0] for b in halves[1]}
    network.cut(pairs | {(b, a) for a, b in pairs})
    parted = _await_live(network, fleet, count // 2)
    network.heal()
    healed = _await_live(network, fleet, count)
    return [
        slope.Slope('halves part', parted, 's until all agree'),
        slope.Slope('halves rejoin', healed, 's until all agree'),
    ]


def _await_live(
    network: virtual_fleet.Network,
    fleet: list[virtual_fleet.VirtualMember],
    count: int,
) -> float:
    started = network.now
    while any(len(one.roster.live()) != count for one in fleet):
        network.advance(0.5)
        if network.now > started + _HEAL_SECONDS:
            raise RuntimeError('the members do not agree')
    return network.now - started


if __name__ == '__main__':
    main()
