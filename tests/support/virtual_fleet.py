"""Detectors in one process, with a virtual clock and in-memory delivery."""

import heapq
import itertools
import random
import typing

import gevent
from gevent import event

from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import detector
from amaranthslip.members import incarnations
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import roster
from amaranthslip.members import seeds
from amaranthslip import metrics
from tests.support import member_settings

_WALL_START = 1_700_000_000.0
_YIELDS = 3
Delivery = tuple[str, object]


def _let_run() -> None:
    for _ in range(_YIELDS):
        gevent.sleep(0)


class Network:
    """Virtual time, and who reaches whom after how long."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.blocked: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = 0.001
        self.running: dict[str, 'VirtualMember'] = {}
        self._random = random.Random(seed)
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._connected: set[tuple[str, str]] = set()

    def call_at(self, when: float, action: typing.Callable) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def advance(self, seconds: float) -> None:
        """Run everything that is due, in the order of virtual time."""
        until = self.now + seconds
        _let_run()
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            _let_run()
        self.now = until

    def cut(self, pairs: typing.Iterable[tuple[str, str]]) -> None:
        self.blocked.update(pairs)
        self._connected -= self.blocked

    def heal(self) -> None:
        self.blocked.clear()
        self.loss = 0.0
        self.delay = 0.001

    def disconnect(self, name: str) -> None:
        """The connections of an instance that ended."""
        self._connected = {p for p in self._connected if name not in p}

    def send(self, sender: 'VirtualMember', name: str, message: object):
        pair = (sender.name, name)
        lost = self._random.random() < self.loss
        if pair in self.blocked or name not in self.running or lost:
            self._connected.discard(pair)
            return
        batch = [message]
        if pair not in self._connected:
            self._connected.add(pair)
            batch.insert(0, sender.build_hello())
        data = codec.encode(batch)
        target = self.running[name]
        self.call_at(
            self.now + self.delay,
            lambda: target.take(sender.name, codec.decode(data)),
        )


class MemberClock:
    """A member's view of virtual time; while it is paused nothing wakes."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self.paused = False
        self._late: list[event.Event] = []

    def now(self) -> float:
        return self._network.now

    def sleep(self, seconds: float) -> None:
        woken = event.Event()
        self._network.call_at(
            self._network.now + seconds, lambda: self._wake(woken)
        )
        woken.wait()

    def resume(self) -> None:
        self.paused = False
        for woken in self._late:
            woken.set()
        self._late.clear()

    def _wake(self, woken: event.Event) -> None:
        if self.paused:
            self._late.append(woken)
        else:
            woken.set()


class WatchedRoster(roster.Roster):
    """A roster that fails the test when an incarnation runs backwards."""

    __slots__ = ()

    def put(self, member: members.Member) -> None:
        old = self.get(member.name)
        if old is not None and member.incarnation < old.incarnation:
            raise AssertionError(f'{member.name} went back at {self.member}')
        super().put(member)


class VirtualMember:
    """One start of an instance: roster and detector, as in a process."""

    def __init__(
        self,
        network: Network,
        name: str,
        *,
        seed: int = 1,
        clock_back_seconds: float = 0.0,
        instance_list: seeds.InstanceList | None = None,
    ) -> None:
        registry.register_all()
        self.name = name
        self.network = network
        self.clock = MemberClock(network)
        self.member = members.Member(
            name=name,
            incarnation=incarnations.draw(
                _WALL_START + network.now - clock_back_seconds
            ),
            address=f'127.0.0.1:{7000 + int(name[1:])}',
            failure_domain='poa-a',
            region='rs-sul',
        )
        self.metrics = metrics.Metrics()
        self.roster = WatchedRoster(self.member)
        self._known: set[str] = set()
        self._held: list[Delivery] = []
        self.detector = detector.Detector(
            member_settings.build(name),
            self.roster,
            self,
            self.metrics,
            instance_list=instance_list,
            clock=self.clock,
            seed=seed,
        )
        network.running[name] = self
        self.detector.start()

    def send(self, name: str, message: object) -> bool:
        if name not in self._known:
            return False
        self.network.send(self, name, message)
        return True

    def set_address(self, name: str, address: str) -> None:
        self._known.add(name)

    def forget(self, name: str) -> None:
        self._known.discard(name)

    def build_hello(self) -> messages.Hello:
        return messages.Hello(
            name=self.name,
            incarnation=self.member.incarnation,
            address=self.member.address,
            failure_domain=self.member.failure_domain,
            region=self.member.region,
        )

    def take(self, sender: str, batch: list[object]) -> None:
        if self.network.running.get(self.name) is not self:
            return
        for message in batch:
            if self.clock.paused:
                self._held.append((sender, message))
            else:
                self.detector.receive(sender, message)

    def pause(self) -> None:
        self.clock.paused = True

    def resume(self) -> None:
        """Go on: its timers run first, then what waited in its sockets."""
        self.clock.resume()
        _let_run()
        held, self._held = self._held, []
        for sender, message in held:
            self.detector.receive(sender, message)

    def stop(self) -> None:
        del self.network.running[self.name]
        self.network.disconnect(self.name)
        self.detector.close()

    def read_live(self) -> list[str]:
        return [member.name for member in self.roster.live()]

    def read_states(self) -> dict[str, members.MemberState]:
        return {member.name: member.state for member in self.roster}
