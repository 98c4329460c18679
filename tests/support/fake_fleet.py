"""Several instances' configuration in one process, over a lossy network."""

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
    """One instance: its holder, spread, roster and key-value client."""

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
        self.boot()

    def boot(self) -> None:
        """Begin without memory."""
        settings = configured.build_settings(
            self.name, self.member.failure_domain
        )
        self.metrics = metrics.Metrics()
        self.roster = roster.Roster(self.member)
        self.holder = holder.Holder()
        self.store = store.Store(settings, self.client)
        self.spread = spread.Spread(
            settings, self.holder, self.store, self.roster, self, self.metrics
        )
        self.submission = submission.Submission(
            self.store, holder=self.holder, accepted=self.spread.accept
        )

    @property
    def version(self) -> int:
        return self.holder.document.version

    def send(self, name: str, message: object) -> bool:
        """Be the outbox: hand over to the fleet's network."""
        return self.fleet.carry(self, name, message)


class FakeFleet:
    """Instances and the network between them.

    `loss` is the fraction of messages that vanish; `can_reach` says which
    pairs reach one another. Messages go through the real codec.
    """

    def __init__(
        self, service: fake_keyvalue.FakeKeyValue, count: int, *, seed: int = 1
    ) -> None:
        registry.register_all()
        self.service = service
        self.random = random.Random(seed)
        self.loss = 0.0
        self.messages: collections.Counter[str] = collections.Counter()
        self.senders: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self.can_reach: typing.Callable[[str, str], bool] = (
            lambda sender, target: True
        )
        self.tamper: typing.Callable[[object], object] = lambda message: (
            message
        )
        self.instances = {}
        for number in range(count):
            domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
            name = f'{domain}-{number}'
            self.instances[name] = FakeInstance(self, name, domain)
        self.probing: gevent.Greenlet | None = None
        self.applied: list[tuple[int, str, float]] = []

    def __iter__(self) -> typing.Iterator[FakeInstance]:
        return iter(self.instances.values())

    def introduce(self) -> None:
        """Let every instance know of every other."""
        for instance in self:
            self.introduce_to(instance)

    def introduce_to(self, instance: FakeInstance) -> None:
        """Let one instance know of every other."""
        for other in self:
            if other is not instance:
                instance.roster.put(other.member)

    def start(self, *, probes: bool = True) -> None:
        """Start every instance, and the probes between them."""
        for instance in self:
            instance.spread.start()
        if probes:
            self.probing = gevent.spawn(self._probe)

    def close(self) -> None:
        """Stop everything."""
        if self.probing is not None:
            self.probing.kill()
        for instance in self:
            instance.spread.close()

    def restart(self, instance: FakeInstance) -> None:
        """Replace an instance by one without memory."""
        instance.spread.close()
        instance.boot()
        self.introduce_to(instance)
        instance.spread.start()

    def restart_all(self) -> None:
        """Replace every instance at once, so that nobody remembers."""
        for instance in self:
            instance.spread.close()
        for instance in self:
            instance.boot()
        self.introduce()
        for instance in self:
            instance.spread.start()

    def carry(self, sender: FakeInstance, name: str, message: object) -> bool:
        """Deliver a message after the network's delay, or lose it."""
        target = self.instances.get(name)
        if target is None:
            return False
        if not self._passes(sender, target):
            return True
        data = codec.encode([message])
        self.messages[type(message).__name__] += 1
        self.senders[sender.name] += 1
        self.bytes += len(data)
        gevent.spawn_later(
            _DELAY_SECONDS, self._deliver, sender.name, target, data
        )
        return True

    def _passes(self, sender: FakeInstance, target: FakeInstance) -> bool:
        if sender.isolated or target.isolated:
            return False
        if not self.can_reach(sender.name, target.name):
            return False
        return self.random.random() >= self.loss

    def _deliver(self, name: str, target: FakeInstance, data: bytes) -> None:
        for message in codec.decode(data):
            target.spread.receive(name, self.tamper(message))

    def _probe(self) -> None:
        """Pass versions along as the members' probes do."""
        while True:
            gevent.sleep(PROBE_SECONDS)
            for sender in self:
                others = [each for each in self if each is not sender]
                target = self.random.choice(others)
                if self._passes(sender, target):
                    target.spread.heard_version(sender.name, sender.version)
                if self._passes(target, sender):
                    sender.spread.heard_version(target.name, target.version)

    def wait_for(self, version: int, *, seconds: float = 60) -> list[float]:
        """Wait until a version is in force everywhere.

        Returns the seconds that each instance took.
        """
        began = time.monotonic()
        waiting = [
            gevent.spawn(self._wait_for_one, instance, version, began)
            for instance in self
            if not instance.isolated
        ]
        gevent.joinall(waiting, timeout=seconds)
        late = [each for each in waiting if not each.successful()]
        versions = {each.name: each.version for each in self}
        assert not late, f'not everywhere at version {version}: {versions}'
        return [each.value for each in waiting]

    def _wait_for_one(
        self, instance: FakeInstance, version: int, began: float
    ) -> float:
        held = instance.holder
        while held.document.version < version:
            held.wait(held.generation, timeout=1)
        return time.monotonic() - began
