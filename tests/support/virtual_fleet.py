"""Membership detectors in one process, with virtual time and delivery."""

import copy
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
_GREENLET_YIELDS = 3
Delivery = tuple[str, object]


def _run_greenlets() -> None:
    for _ in range(_GREENLET_YIELDS):
        gevent.sleep(0)


class Network:
    """Virtual clock, and message delivery with partitions, loss and delay."""

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
        """Run all events of the next seconds, in the order of virtual time."""
        until = self.now + seconds
        _run_greenlets()
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            _run_greenlets()
        self.now = until

    def cut(self, pairs: typing.Iterable[tuple[str, str]]) -> None:
        self.blocked.update(pairs)
        self._connected -= self.blocked

    def heal(self) -> None:
        self.blocked.clear()
        self.loss = 0.0
        self.delay = 0.001

    def disconnect(self, name: str) -> None:
        """Drop all connections of an instance that has stopped."""
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
            lambda: target.receive_batch(sender.name, codec.decode(data)),
        )


class MemberClock:
    """Virtual clock of one member; while paused, no sleep returns."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self.paused = False
        self._due_sleeps: list[event.Event] = []

    def now(self) -> float:
        return self._network.now

    def sleep(self, seconds: float) -> None:
        wakeup = event.Event()
        self._network.call_at(
            self._network.now + seconds, lambda: self._wake(wakeup)
        )
        wakeup.wait()

    def resume(self) -> None:
        self.paused = False
        for wakeup in self._due_sleeps:
            wakeup.set()
        self._due_sleeps.clear()

    def _wake(self, wakeup: event.Event) -> None:
        if self.paused:
            self._due_sleeps.append(wakeup)
        else:
            wakeup.set()


class MonotonicRoster(roster.Roster):
    """Roster that fails the test when an incarnation decreases."""

    __slots__ = ()

    def put(self, member: members.Member) -> None:
        old = self.get(member.name)
        if old is not None and member.incarnation < old.incarnation:
            raise AssertionError(
                f'the incarnation of {member.name} decreased at {self.member}'
            )
        super().put(member)


class VirtualMember:
    """Roster and detector of one start of an instance."""

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
            incarnation=incarnations.create(
                _WALL_START + network.now - clock_back_seconds
            ),
            address=f'127.0.0.1:{7000 + int(name[1:])}',
            failure_domain='poa-a',
            region='rs-sul',
        )
        self.metrics = metrics.Metrics()
        self.roster = MonotonicRoster(self.member)
        self._known: set[str] = set()
        self._held_messages: list[Delivery] = []
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

    def remove_peer(self, name: str) -> None:
        self._known.discard(name)

    def build_hello(self) -> messages.Hello:
        return messages.Hello(
            name=self.name,
            incarnation=self.member.incarnation,
            address=self.member.address,
            failure_domain=self.member.failure_domain,
            region=self.member.region,
        )

    def receive_batch(self, sender: str, batch: list[object]) -> None:
        if self.network.running.get(self.name) is not self:
            return
        for message in batch:
            if self.clock.paused:
                self._held_messages.append((sender, message))
            else:
                self.detector.receive(sender, message)

    def pause(self) -> None:
        self.clock.paused = True

    def resume(self) -> None:
        """Resume: run due timers first, then handle the held messages."""
        self.clock.resume()
        _run_greenlets()
        held, self._held_messages = self._held_messages, []
        for sender, message in held:
            self.detector.receive(sender, message)

    def stop(self) -> None:
        if self.network.running.get(self.name) is self:
            del self.network.running[self.name]
            self.network.disconnect(self.name)
        self.detector.close()

    def read_live(self) -> list[str]:
        return [member.name for member in self.roster.list_live()]

    def put_live(self, name: str) -> None:
        """Replace the record of a dead member by that of before its death."""
        dead = self.roster.get(name)
        assert dead is not None and dead.state is members.MemberState.DEAD
        live = copy.copy(dead)
        live.state = members.MemberState.ALIVE
        self.roster.put(live)

    def read_states(self) -> dict[str, members.MemberState]:
        return {member.name: member.state for member in self.roster}
