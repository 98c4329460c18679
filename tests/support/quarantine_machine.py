"""A Hypothesis state machine for the quarantine in a small fleet."""

import collections
import itertools

from hypothesis import stateful
from hypothesis import strategies

from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.platform import quarantined
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import quarantine
from bench import part_histories
from tests.support import callers

_NAMES = ('m0', 'm1', 'm2', 'm3')
_NAME_STRATEGY = strategies.sampled_from(_NAMES)
_NUMBER_STRATEGY = strategies.integers(0, 1)
_POISON = b'poison'
_POPULAR = b'popular'
# Crashes after which a request must not be run again.
_CRASH_LIMIT = 3
# Consecutive crashes under a request that did not cause them. The limits on
# tries and on the caller's attempts prevent more.
_MAX_COINCIDENTAL_CRASHES = 2


class Instance:
    """The quarantine of one instance, created empty as after a restart."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        settings = callers.build_settings()
        self.quarantine = quarantine.Quarantine(clock=fleet.read_clock)
        self.stored = quarantined.StoredQuarantine(
            settings, fleet.store, self.quarantine
        )
        self.exchange = crash_exchange.CrashExchange(
            part_histories.build_roster(name, _NAMES),
            self,
            self.quarantine,
            self.stored,
            part_histories.FakeMetrics(),
        )

    def send(self, name, message):
        self._fleet.send(self.name, name, message)
        return True

    def admits(self, fingerprint):
        try:
            self.exchange.check(fingerprint)
        except errors.RequestRefused:
            return False
        return True

    def write(self):
        """Process the queued writes, as the instance's task does."""
        while self.stored._pending:
            fingerprint, crashes = self.stored._pending.popitem()
            try:
                self.stored._write(fingerprint, crashes)
            except errors.PlatformError:
                continue

    def read(self):
        """Load all entries of the store."""
        self.stored.replace_entries(self._fleet.store.entries.values())


class Fleet:
    """Instances, the store, and messages in transit."""

    def __init__(self):
        registry.register_all()
        self.now = 100.0
        self.store = part_histories.Store()
        self.running = {name: Instance(self, name) for name in _NAMES}
        # Names of the partitioned instances, which exchange no messages and
        # do not load the store when they restart.
        self.partitioned = set()
        self._in_flight = collections.deque()

    def read_clock(self):
        return self.now

    def send(self, sender, name, message):
        if not {sender, name} & self.partitioned:
            self._in_flight.append((sender, name, codec.encode([message])))

    def deliver(self):
        """Deliver the messages in transit and all that they trigger."""
        while self._in_flight:
            sender, name, data = self._in_flight.popleft()
            if name in self.running and not {sender, name} & self.partitioned:
                (message,) = codec.decode(data)
                self.running[name].exchange.receive(sender, message)

    def connect(self, name):
        """Exchange greetings between an instance and all others."""
        for other in self.running.values():
            if other.name == name:
                continue
            for sender, receiver in ((other.name, name), (name, other.name)):
                for each in self.running[sender].exchange.greet(receiver):
                    self.send(sender, receiver, each)

    @property
    def stores_poison(self):
        """Whether the store is readable and contains the poison request."""
        suffix = '/' + _POISON.hex()
        return not self.store.down and any(
            key.endswith(suffix) for key in self.store.entries
        )

    def restart(self, name):
        """Restart an instance, and load the store if it is reachable."""
        self.running[name] = Instance(self, name)
        if not self.store.down and name not in self.partitioned:
            self.running[name].read()
        self.connect(name)

    def synchronize_all(self):
        """Clear all faults, and synchronize the instances and the store."""
        self.partitioned.clear()
        self.store.down = False
        for name in self.running:
            self.connect(name)
        self.deliver()
        for instance in self.running.values():
            instance.write()
        for instance in self.running.values():
            instance.read()


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Servers crash under one request and interrupt others, during faults.

    Oracle: once three servers have crashed under the request and all instances
    could receive the reports, no instance runs the request again, whichever
    instances restart. A request that was only running on crashed servers, and
    did not cause the crashes, is never refused.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.incarnations = itertools.count(1)
        # Crashes under the poison request: the number of all crashes, the
        # number of those that no restart can have lost, and the time of the
        # last crash.
        self.crash_count = 0
        self.durable_crash_count = 0
        self.last_crash_at = float('-inf')
        # Whether three crashes could be reported to all instances.
        self.reported_to_all = False
        # Names of instances that started while cut off from the store and from
        # all peers.
        self.unsynchronized = set()
        # For each harmless request: the number of crashes since all instances
        # received a completion, and the instance that completed it since.
        self.coincidental_crashes = collections.Counter()
        self.completing_instances = {}

    def _crash(self, name, fingerprint, server, *, last_event=0):
        self.fleet.running[name].exchange.report(
            fingerprint,
            f'server-{server}',
            next(self.incarnations),
            last_event=last_event,
        )

    @stateful.rule(name=_NAME_STRATEGY, server=strategies.integers(0, 2))
    def run_poison(self, name, server):
        if self.fleet.running[name].admits(_POISON):
            self.crash_count += 1
            self.durable_crash_count = (
                1 + (not self._is_expired()) * self.durable_crash_count
            )
            self.last_crash_at = self.fleet.now
            self._crash(name, _POISON, server)
        else:
            assert self.crash_count >= _CRASH_LIMIT, self.crash_count

    @stateful.rule(name=_NAME_STRATEGY, number=_NUMBER_STRATEGY)
    def complete_harmless(self, name, number):
        fingerprint = b'harmless-%d' % number
        assert self.fleet.running[name].admits(fingerprint), number
        self.fleet.running[name].exchange.complete(fingerprint)
        self.completing_instances[number] = name

    @stateful.rule(
        name=_NAME_STRATEGY,
        number=_NUMBER_STRATEGY,
        last_event=strategies.integers(0, 2),
    )
    def crash_under_harmless(self, name, number, last_event):
        if self.coincidental_crashes[number] >= _MAX_COINCIDENTAL_CRASHES:
            return
        fingerprint = b'harmless-%d' % number
        assert self.fleet.running[name].admits(fingerprint), number
        self.coincidental_crashes[number] += 1
        self.completing_instances.pop(number, None)
        self._crash(name, fingerprint, number, last_event=last_event)

    @stateful.rule(name=_NAME_STRATEGY)
    def crash_under_popular(self, name):
        """Crash several servers that run the same request of many callers."""
        self.fleet.running[name].exchange.complete(_POPULAR)
        for server, other in enumerate(_NAMES):
            self._crash(other, _POPULAR, server)
        if not self.fleet.partitioned:
            self.fleet.deliver()
            for instance in self.fleet.running.values():
                assert instance.admits(_POPULAR), instance.name

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 30.0, 400.0]))
    def wait(self, seconds):
        self.fleet.now += seconds

    @stateful.rule()
    def deliver(self):
        self.fleet.deliver()

    @stateful.rule(name=_NAME_STRATEGY)
    def cut_connections(self, name):
        self.fleet.partitioned.add(name)

    @stateful.rule(name=_NAME_STRATEGY)
    def restart(self, name):
        if not self.reported_to_all:
            # Crashes that only this instance has recorded may be lost.
            self.durable_crash_count = 0
        for number, completing in list(self.completing_instances.items()):
            if completing == name:
                del self.completing_instances[number]
        if name in self.fleet.partitioned:
            self.unsynchronized.add(name)
        self.fleet.restart(name)
        self.fleet.deliver()

    @stateful.precondition(
        lambda self: self.reported_to_all and self.fleet.stores_poison
    )
    @stateful.rule()
    def restart_all(self):
        """Restart all instances at once, so that only the store has state."""
        for name in _NAMES:
            self.fleet.running[name] = Instance(self.fleet, name)
        for instance in self.fleet.running.values():
            instance.read()

    @stateful.rule(down=strategies.booleans())
    def change_store(self, down):
        self.fleet.store.down = down

    @stateful.rule()
    def synchronize_all(self):
        self.fleet.synchronize_all()
        self.unsynchronized.clear()
        for number in self.completing_instances:
            self.coincidental_crashes[number] = 0
        self.completing_instances.clear()
        if not self._is_expired():
            self.reported_to_all |= self.durable_crash_count >= _CRASH_LIMIT
        if self.reported_to_all:
            self._check_stored()

    def _check_stored(self):
        """Check that the poison request is stored after repeated refusals."""
        self.check_poison_refused()
        self.fleet.now += 10.0
        self.check_poison_refused()
        self.fleet.synchronize_all()
        assert self.fleet.stores_poison

    def _is_expired(self):
        # An instance that has recorded only the first crash removes it before
        # RETENTION_SECONDS have passed since the last crash.
        since = self.fleet.now - self.last_crash_at
        return since >= quarantine.RETENTION_SECONDS / 5

    @stateful.invariant()
    def check_poison_refused(self):
        if not self.reported_to_all:
            return
        for instance in self.fleet.running.values():
            if instance.name not in self.unsynchronized:
                assert not instance.admits(_POISON), instance.name
