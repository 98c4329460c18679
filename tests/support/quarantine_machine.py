"""A Hypothesis state machine for the quarantine of a small fleet."""

import collections
import itertools

from hypothesis import stateful
from hypothesis import strategies

from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import quarantine
from tests.support import callers

_NAMES = ('m0', 'm1', 'm2', 'm3')
_NAME = strategies.sampled_from(_NAMES)
_NUMBER = strategies.integers(0, 1)
_POISON = b'poison'
_POPULAR = b'popular'
# Crashes after which a request must not be run again.
_MOST_CRASHES = 3
# Consecutive crashes under a request that did not cause them. The limits on
# tries and on the caller's attempts prevent more.
_MOST_COINCIDENCES = 2


def build_member(name):
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:7000',
        failure_domain='a',
        region='r',
    )


class FakeMetrics:
    """Discards all counts."""

    def count(self, name, label, amount=1):
        pass


class Store:
    """An in-memory key-value store with simulated outages."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.down = False

    def grant(self, seconds):
        self._check()
        return 1

    def put(self, key, value, *, lease):
        self._check()
        self.revision += 1
        self.entries[key] = keyvalue.Entry(key, value, self.revision)

    def get(self, key):
        self._check()
        return self.entries.get(key)

    def delete(self, key, *, expected):
        self._check()
        entry = self.entries.get(key)
        if entry is not None and entry.revision == expected:
            self.revision += 1
            del self.entries[key]

    def _check(self):
        if self.down:
            raise errors.PlatformUnavailable('down; try again later')


class Instance:
    """The quarantine of an instance, without its state before a restart."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        settings = callers.build_settings()
        self.quarantine = quarantine.Quarantine(clock=fleet.read_clock)
        self.stored = quarantined.StoredQuarantine(
            settings, fleet.store, self.quarantine
        )
        known = roster.Roster(build_member(name))
        for other in _NAMES:
            if other != name:
                known.put(build_member(other))
        self.exchange = crash_exchange.CrashExchange(
            known, self, self.quarantine, self.stored, FakeMetrics()
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
        self.stored.replace(self._fleet.store.entries.values())


class Fleet:
    """Instances, the store, and messages in transit."""

    def __init__(self):
        registry.register_all()
        self.now = 100.0
        self.store = Store()
        self.running = {name: Instance(self, name) for name in _NAMES}
        # Names of the partitioned instances.
        self.cut = set()
        self._in_flight = collections.deque()

    def read_clock(self):
        return self.now

    def send(self, sender, name, message):
        if not {sender, name} & self.cut:
            self._in_flight.append((sender, name, codec.encode([message])))

    def deliver(self):
        """Deliver the messages in transit and all that they trigger."""
        while self._in_flight:
            sender, name, data = self._in_flight.popleft()
            if name in self.running and not {sender, name} & self.cut:
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
    def holds_poison(self):
        """Whether the store can be read and holds the poison request."""
        suffix = '/' + _POISON.hex()
        return not self.store.down and any(
            key.endswith(suffix) for key in self.store.entries
        )

    def restart(self, name):
        """Restart an instance, and load the store if it is reachable."""
        self.running[name] = Instance(self, name)
        if not self.store.down and name not in self.cut:
            self.running[name].read()
        self.connect(name)

    def settle(self):
        """Clear all faults, and synchronize the instances and the store."""
        self.cut.clear()
        self.store.down = False
        for name in self.running:
            self.connect(name)
        self.deliver()
        for instance in self.running.values():
            instance.write()
        for instance in self.running.values():
            instance.read()


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Servers crash under one request, and cut off others; faults overlap.

    Oracle: once three servers crashed under the request and all instances
    could hear of it, none runs it again, whichever restart. A request that was
    only running on servers that crashed is never refused.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.incarnations = itertools.count(1)
        # Crashes under the poison request: all, those that cannot have been
        # lost by a restart, and the time of the last.
        self.crashed = 0
        self.remembered = 0
        self.crashed_at = float('-inf')
        # Whether three crashes could be reported to all instances.
        self.heard = False
        # Instances that started while cut off from the store and all peers.
        self.unreached = set()
        # For each innocent request: crashes since all instances learned of a
        # completion, and the instance that has completed it since.
        self.coincidences = collections.Counter()
        self.completed = {}

    def _crash(self, name, fingerprint, server, *, last_event=0):
        self.fleet.running[name].exchange.report(
            fingerprint,
            f'server-{server}',
            next(self.incarnations),
            last_event=last_event,
        )

    @stateful.rule(name=_NAME, server=strategies.integers(0, 2))
    def run_poison(self, name, server):
        if self.fleet.running[name].admits(_POISON):
            self.crashed += 1
            self.remembered = 1 + (not self._is_expired()) * self.remembered
            self.crashed_at = self.fleet.now
            self._crash(name, _POISON, server)
        else:
            assert self.crashed >= _MOST_CRASHES, self.crashed

    @stateful.rule(name=_NAME, number=_NUMBER)
    def complete_innocent(self, name, number):
        fingerprint = b'innocent-%d' % number
        assert self.fleet.running[name].admits(fingerprint), number
        self.fleet.running[name].exchange.complete(fingerprint)
        self.completed[number] = name

    @stateful.rule(
        name=_NAME, number=_NUMBER, last_event=strategies.integers(0, 2)
    )
    def crash_under_innocent(self, name, number, last_event):
        if self.coincidences[number] >= _MOST_COINCIDENCES:
            return
        fingerprint = b'innocent-%d' % number
        assert self.fleet.running[name].admits(fingerprint), number
        self.coincidences[number] += 1
        self.completed.pop(number, None)
        self._crash(name, fingerprint, number, last_event=last_event)

    @stateful.rule(name=_NAME)
    def crash_under_popular(self, name):
        """Servers go down together that all run a request of many callers."""
        self.fleet.running[name].exchange.complete(_POPULAR)
        for server, other in enumerate(_NAMES):
            self._crash(other, _POPULAR, server)
        if not self.fleet.cut:
            self.fleet.deliver()
            for instance in self.fleet.running.values():
                assert instance.admits(_POPULAR), instance.name

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 30.0, 400.0]))
    def wait(self, seconds):
        self.fleet.now += seconds

    @stateful.rule()
    def deliver(self):
        self.fleet.deliver()

    @stateful.rule(name=_NAME)
    def cut(self, name):
        self.fleet.cut.add(name)

    @stateful.rule(name=_NAME)
    def restart(self, name):
        if not self.heard:
            # Crashes known only to this instance may be lost.
            self.remembered = 0
        for number, knowing in list(self.completed.items()):
            if knowing == name:
                del self.completed[number]
        if name in self.fleet.cut:
            self.unreached.add(name)
        self.fleet.restart(name)
        self.fleet.deliver()

    @stateful.precondition(lambda self: self.heard and self.fleet.holds_poison)
    @stateful.rule()
    def restart_all(self):
        """All lose their memory at once; the store holds what must last."""
        for name in _NAMES:
            self.fleet.running[name] = Instance(self.fleet, name)
        for instance in self.fleet.running.values():
            instance.read()

    @stateful.rule(down=strategies.booleans())
    def change_store(self, down):
        self.fleet.store.down = down

    @stateful.rule()
    def settle(self):
        self.fleet.settle()
        self.unreached.clear()
        for number in self.completed:
            self.coincidences[number] = 0
        self.completed.clear()
        if not self._is_expired():
            self.heard |= self.remembered >= _MOST_CRASHES
        if self.heard:
            self._check_stored()

    def _check_stored(self):
        """Check that the store holds it, once it was refused for a while."""
        self.refused_everywhere()
        self.fleet.now += 10.0
        self.refused_everywhere()
        self.fleet.settle()
        assert self.fleet.holds_poison

    def _is_expired(self):
        # An instance that knows only of the first crash drops it earlier.
        since = self.fleet.now - self.crashed_at
        return since >= quarantine.KEEP_SECONDS / 5

    @stateful.invariant()
    def refused_everywhere(self):
        if not self.heard:
            return
        for instance in self.fleet.running.values():
            if instance.name not in self.unreached:
                assert not instance.admits(_POISON), instance.name
