"""The configuration of several instances over a simulated lossy network."""

import collections
import random
import time
import typing

import gevent

from amaranthslip.configuration import holder
from amaranthslip.configuration import spread
from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip import metrics
from tests.support import configured
from tests.support import fake_keyvalue

FAILURE_DOMAINS = ('hn-a', 'hn-b', 'bn-c', 'hp-d')
PROBE_SECONDS = 0.3
_DELAY_SECONDS = 0.0015


class FakeInstance:
    """An instance with its holder, spread, roster and key-value client."""

    def __init__(
        self, fleet: 'FakeFleet', name: str, failure_domain: str
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.member = members.Member(
            name=name,
            incarnation=1,
            address='',
            failure_domain=failure_domain,
            region='vn-north',
        )
        self.client = fleet.service.connect()
        self.isolated = False
        self.create_components()

    def create_components(self) -> None:
        """Create the components anew, without a version in force."""
        settings = configured.build_settings(
            self.name, self.member.failure_domain
        )
        self.metrics = metrics.Metrics()
        self.roster = roster.Roster(self.member)
        self.holder = holder.Holder()
        self.store = store.Store(settings, self.client)
        self.spread = spread.VersionPropagator(
            settings, self.holder, self.store, self.roster, self, self.metrics
        )
        self.submission = submission.Submission(
            self.store, holder=self.holder, accepted=self.spread.accept
        )

    @property
    def version(self) -> int:
        return self.holder.document.version

    def send(self, name: str, message: object) -> bool:
        """Send a message through the network of the fleet, as an outbox."""
        return self.fleet.transmit(self, name, message)


class FakeFleet:
    """Instances and the network between them.

    `loss_fraction` is the fraction of messages that are lost. `can_reach`
    returns whether a sender reaches a target. `transform` changes messages on
    delivery. Messages are encoded and decoded by the real codec.
    """

    def __init__(
        self, service: fake_keyvalue.FakeKeyValue, count: int, *, seed: int = 1
    ) -> None:
        registry.register_all()
        self.service = service
        self.random = random.Random(seed)
        self.loss_fraction = 0.0
        self.messages: collections.Counter[str] = collections.Counter()
        self.sent_counts: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self.can_reach: typing.Callable[[str, str], bool] = (
            lambda sender, target: True
        )
        self.transform: typing.Callable[[object], object] = lambda message: (
            message
        )
        self.instances = {}
        for number in range(count):
            domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
            name = f'{domain}-{number}'
            self.instances[name] = FakeInstance(self, name, domain)
        self.probe_greenlet: gevent.Greenlet | None = None
        self.applied: list[tuple[int, str, float]] = []

    def __iter__(self) -> typing.Iterator[FakeInstance]:
        return iter(self.instances.values())

    def fill_rosters(self) -> None:
        """Add all other members to the roster of every instance."""
        for instance in self:
            self.fill_roster(instance)

    def fill_roster(self, instance: FakeInstance) -> None:
        """Add all other members to the roster of one instance."""
        for other in self:
            if other is not instance:
                instance.roster.put(other.member)

    def start(self, *, probes: bool = True) -> None:
        """Start every instance, and optionally the probes between them."""
        for instance in self:
            instance.spread.start()
        if probes:
            self.probe_greenlet = gevent.spawn(self._probe)

    def close(self) -> None:
        """Stop the probes and every instance."""
        if self.probe_greenlet is not None:
            self.probe_greenlet.kill()
        for instance in self:
            instance.spread.close()

    def restart(self, instance: FakeInstance) -> None:
        """Restart an instance without a version in force."""
        instance.spread.close()
        instance.create_components()
        self.fill_roster(instance)
        instance.spread.start()

    def restart_all(self) -> None:
        """Restart all instances, so that none has a version in force."""
        for instance in self:
            instance.spread.close()
        for instance in self:
            instance.create_components()
        self.fill_rosters()
        for instance in self:
            instance.spread.start()

    def transmit(
        self, sender: FakeInstance, name: str, message: object
    ) -> bool:
        """Deliver a message after the delay of the network, or lose it."""
        target = self.instances.get(name)
        if target is None:
            return False
        if not self._is_transmitted(sender, target):
            return True
        data = codec.encode([message])
        self.messages[type(message).__name__] += 1
        self.sent_counts[sender.name] += 1
        self.bytes += len(data)
        gevent.spawn_later(
            _DELAY_SECONDS, self._deliver, sender.name, target, data
        )
        return True

    def _is_transmitted(
        self, sender: FakeInstance, target: FakeInstance
    ) -> bool:
        if sender.isolated or target.isolated:
            return False
        if not self.can_reach(sender.name, target.name):
            return False
        return self.random.random() >= self.loss_fraction

    def _deliver(self, name: str, target: FakeInstance, data: bytes) -> None:
        for message in codec.decode(data):
            target.spread.receive(name, self.transform(message))

    def _probe(self) -> None:
        """Exchange version numbers as the probes between members do."""
        while True:
            gevent.sleep(PROBE_SECONDS)
            for sender in self:
                others = [each for each in self if each is not sender]
                target = self.random.choice(others)
                if self._is_transmitted(sender, target):
                    target.spread.record_peer_version(
                        sender.name, sender.version
                    )
                if self._is_transmitted(target, sender):
                    sender.spread.record_peer_version(
                        target.name, target.version
                    )

    def wait_for(self, version: int, *, seconds: float = 60) -> list[float]:
        """Wait until a version is in force on every reachable instance.

        Returns the time that each instance took, in seconds.
        """
        started = time.monotonic()
        waiting = [
            gevent.spawn(self._wait_for_instance, instance, version, started)
            for instance in self
            if not instance.isolated
        ]
        gevent.joinall(waiting, timeout=seconds)
        unfinished = [each for each in waiting if not each.successful()]
        versions = {each.name: each.version for each in self}
        assert not unfinished, (
            f'version {version} is not in force on all instances: {versions}'
        )
        return [each.value for each in waiting]

    def _wait_for_instance(
        self, instance: FakeInstance, version: int, started: float
    ) -> float:
        instance_holder = instance.holder
        while instance_holder.document.version < version:
            instance_holder.wait(instance_holder.generation, timeout=1)
        return time.monotonic() - started
