"""Simulates followers in three failure domains and a store, in virtual time.

Each member runs the real follower in a greenlet of its own. Waits, messages
and answers of the store take virtual seconds, and faults begin and end at
given times.
"""

import json
import random

import gevent
from gevent import event

from amaranthslip.capacity import directory
from amaranthslip.configuration import freshness
from amaranthslip.configuration import holder
from amaranthslip.configuration import messages
from amaranthslip.configuration import relaying
from amaranthslip.configuration import staleness
from amaranthslip import entries
from amaranthslip import errors
from amaranthslip import following
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import coldquotas
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.platform import quarantined_parts
from amaranthslip.platform import softwareversions
from amaranthslip.platform import storedstreams
from amaranthslip.requests import quarantine
from amaranthslip.requests import stream_records
from amaranthslip.requests import suspects
from tests.support import callers
from tests.support import operated
from tests.support import virtual_fleet

# Seconds that a message between members takes, and an answer of the store.
_MESSAGE_SECONDS = 0.003
_ANSWER_SECONDS = 0.005
# Seconds after the end of its poll when a call without an answer times out.
_CALL_TIMEOUT_SECONDS = 1.0
# The shortest wait: virtual time has to advance with each wait.
_MIN_WAIT_SECONDS = 1e-6
# Members by failure domain. In each domain one member watches and two relay;
# the other members of the first domain receive changes from its relays.
DOMAINS = {
    'a': ('a1', 'a2', 'a3', 'a4', 'a5', 'a6'),
    'b': ('b1', 'b2'),
    'c': ('c1', 'c2'),
}
NAMES = tuple(name for names in DOMAINS.values() for name in names)
# Faults of members that relay changes to others. A `cut` member gets no answer
# from the store, a `refused` one gets errors, and a `mute` one neither sends
# nor receives messages.
FAULTS = ('killed', 'cut', 'refused', 'frozen', 'slow', 'mute', 'restarted')
# Shared by all members of all simulations: no test reads these metrics, and
# they are slow to build.
_SHARED_METRICS = metrics.Metrics()


class Waiter:
    """Waits in virtual time; a frozen member resumes when its fault ends."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name
        self._woken = event.Event()

    def sleep(self, seconds):
        self._simulation.sleep(self._name, seconds)

    def wait(self, seconds):
        self._woken = event.Event()
        self._simulation.sleep(self._name, seconds, woken=self._woken)

    def wake(self):
        self._woken.set()


class Store:
    """Holds one configuration version; polls wait for the next one."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.entry = None
        # One event for each waiting poll, set by the next write.
        self.waiting = []
        self.write(1)

    def write(self, version):
        text = json.dumps(operated.build_configuration(version))
        self.entry = keyvalue.Entry('op/config', text.encode(), version)
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            each.set()


class Client:
    """One member's client of the store; its calls fail by injected faults."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name
        self.calls = 0
        # Whether the store closed the kept-alive connection, so that the next
        # call fails.
        self.connection_closed = False

    def _call_store(self, wait_seconds=0.0):
        self.calls += 1
        fault = self._simulation.find_store_fault(self._name)
        if fault == 'refused' or self.connection_closed:
            self.connection_closed = False
            self._simulation.sleep(self._name, _ANSWER_SECONDS)
            raise errors.PlatformUnavailable('connection refused')
        if fault == 'cut':
            self._simulation.sleep(
                self._name, wait_seconds + _CALL_TIMEOUT_SECONDS
            )
            raise errors.PlatformUnavailable('no answer')
        self._simulation.sleep(self._name, _ANSWER_SECONDS)

    def read_entries(self, prefix):
        self._call_store()
        entry = self._simulation.store.entry
        return keyvalue.Entries([entry], entry.revision)

    def poll(self, prefix, *, after, wait_seconds):
        self._call_store(wait_seconds)
        store = self._simulation.store
        began_at = self._simulation.now
        broken_at = self._simulation.find_break_time(self._name)
        if store.entry.revision <= after:
            changed = event.Event()
            store.waiting.append(changed)
            self._simulation.sleep(
                self._name, wait_seconds, woken=changed, cut=broken_at
            )
        fault = self._simulation.find_store_fault(self._name)
        if fault == 'refused':
            raise errors.PlatformUnavailable('connection reset')
        if fault == 'cut':
            # The store's answer is lost, and the call ends by its timeout.
            remaining = (
                began_at
                + wait_seconds
                + _CALL_TIMEOUT_SECONDS
                - self._simulation.now
            )
            self._simulation.sleep(self._name, remaining)
            raise errors.PlatformUnavailable('no answer')
        entries = [store.entry] if store.entry.revision > after else []
        return keyvalue.Entries(entries, store.entry.revision)


class Member:
    """One instance's follower, its store client and its message transport."""

    def __init__(self, simulation, index, name):
        self.name = name
        self._simulation = simulation
        self.greenlets = []
        clock_offset = 3600.0 * index
        self.client = Client(simulation, name)
        self.holder = holder.Holder()
        self.freshness = freshness.Freshness(
            clock=lambda: simulation.now + clock_offset
        )
        known_members = roster.Roster(_build_member(name))
        for other in NAMES:
            if other != name:
                known_members.put(_build_member(other))
        settings = simulation.settings
        staleness_limits = staleness.Staleness(settings)
        self.relaying = relaying.Relaying(
            known_members, self, self.freshness, staleness_limits
        )
        self.follower = following.Follower(
            staleness_limits,
            self.client,
            build_entries(
                settings,
                self.client,
                self.holder,
                directory.Directory(),
                _SHARED_METRICS,
            ),
            self.freshness,
            self.relaying,
            _SHARED_METRICS,
            random=random.Random(index),
            pauses=Waiter(simulation, name),
            stamp_pauses=Waiter(simulation, name),
        )

    def start(self):
        for task in (self.follower.run, self.follower.run_stamp_loop):
            self.greenlets.append(gevent.spawn(task))

    def stop(self):
        gevent.killall(self.greenlets)
        self.greenlets = []

    def send(self, name, message):
        self._simulation.send_message(self.name, name, message)
        return True

    def receive(self, sender, message):
        receive(self.follower, sender, message)


def receive(follower, sender, message):
    """Hand a message of another instance to a follower."""
    if isinstance(message, messages.StoreStamp):
        follower.receive_stamp(sender, message)
    elif isinstance(message, messages.StoreChanges):
        follower.receive_changes(sender, message)
    else:
        follower.receive_store_loss(sender)


def build_entries(settings, store, version_holder, servers, entry_metrics):
    """Return what applies the entries of a store on one instance."""
    return entries.Entries(
        version_holder,
        servers,
        instances.StoredInstances(settings, store, has_follower=True),
        (
            quarantined.StoredQuarantine(
                settings, store, quarantine.Quarantine()
            ),
            quarantined_parts.StoredParts(
                settings, store, suspects.Suspects()
            ),
        ),
        coldquotas.StoredQuotas(settings, store),
        softwareversions.StoredVersions(settings, store, servers.software),
        storedstreams.StoredStreams(
            settings, store, stream_records.StreamRecords()
        ),
        entry_metrics,
    )


def _build_member(name):
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain=name[0],
        region='r',
    )


class Simulation:
    """Members of three failure domains, a store, and injected faults."""

    def __init__(self, bound_seconds):
        self.network = virtual_fleet.Network(seed=1)
        self.bound = bound_seconds
        milliseconds = bound_seconds * 1000
        self.settings = callers.build_settings(
            bounds={
                'apply_milliseconds': milliseconds,
                'drain_milliseconds': milliseconds,
            },
            platform={'poll_seconds': 30.0},
        )
        self.store = Store(self)
        # By member: (kind of fault, start, end), in virtual seconds.
        self.faults = {}
        # By member that the store turns away, without a fault of its own:
        # (`refused` or `cut`, start, end), in virtual seconds.
        self.turned_away = {}
        # By pair of failure domains: since when no message passes between
        # them.
        self.partitions = {}
        self.members = {}
        for index, name in enumerate(NAMES):
            self.members[name] = Member(self, index, name)
        sources = self.members['a1'].relaying.sources
        self.watchers = sources.list_watchers()
        self.relays = list(sources.list_relays())
        self.listeners = [
            each
            for each in self.members.values()
            if each.name not in (*self.watchers, *self._list_all_relays())
        ]
        for member in self.members.values():
            member.start()

    def _list_all_relays(self):
        return [
            name
            for member in self.members.values()
            for name in member.relaying.sources.list_relays()
        ]

    @property
    def now(self):
        return self.network.now

    def close(self):
        for member in self.members.values():
            member.stop()

    def advance(self, seconds):
        self.network.advance(seconds)

    def find_fault(self, name):
        kind, since, until = self.faults.get(name, ('', 0.0, 0.0))
        return kind if since <= self.now < until else ''

    def find_store_fault(self, name):
        """Return the fault of a member's calls to the store, or ''."""
        kind, since, until = self.turned_away.get(name, ('', 0.0, 0.0))
        if since <= self.now < until:
            return kind
        return self.find_fault(name)

    def find_break_time(self, name):
        """Return when a fault breaks off a waiting poll, or None."""
        kind, since, _ = self.turned_away.get(
            name, self.faults.get(name, ('', 0.0, 0.0))
        )
        return since if kind == 'refused' and since > self.now else None

    def list_targets(self, target):
        """Return the names of the members that a target describes."""
        return {
            'a watcher': self.watchers[:1],
            'all watchers': self.watchers,
            'a relay': self.relays[:1],
            'all relays': self.relays,
            'both levels': {*self.watchers, *self.relays},
            'a domain': DOMAINS[self.watchers[0][0]],
        }[target]

    def inject_fault(self, kind, names, since, until):
        """Inject a fault, and let the next call of each non-watcher fail.

        Parameters
        ----------
        kind : str
            One of `FAULTS`.
        names : iterable of str
            The members that the fault affects.
        since, until : float
            Start and end of the fault, in virtual seconds.
        """
        for member in self.members.values():
            member.client.connection_closed = member.name not in self.watchers
        for name in names:
            self.faults[name] = (kind, since, until)
            if kind in ('killed', 'restarted'):
                self.network.call_at(since, self.members[name].stop)
            if kind == 'restarted':
                restart_at = since + 0.2 * self.bound
                self.network.call_at(
                    restart_at, lambda name=name: self._start(name)
                )

    def turn_away(self, kind, name, since, until):
        """Let the store refuse or not answer one member's calls."""
        self.turned_away[name] = (kind, since, until)

    def partition(self, domain, since):
        """Drop all messages between a failure domain and the others."""
        for other in DOMAINS:
            if other != domain:
                self.partitions[frozenset((domain, other))] = since

    def _start(self, name):
        self.faults.pop(name)
        self.members[name] = Member(self, NAMES.index(name), name)
        self.members[name].start()

    def sleep(self, name, seconds, *, woken=None, cut=None):
        """Wait in virtual time on behalf of a member.

        The wait ends after `seconds`, when `woken` is set, or at the time
        `cut`, and is extended while a fault delays the member.
        """
        done = event.Event() if woken is None else woken
        due = self.now + max(_MIN_WAIT_SECONDS, seconds)
        if cut is not None:
            due = min(due, cut)
        self.network.call_at(self._find_handling_time(name, due), done.set)
        done.wait()
        handled_at = self._find_handling_time(name, self.now)
        if handled_at > self.now:
            resumed = event.Event()
            self.network.call_at(handled_at, resumed.set)
            resumed.wait()

    def _find_handling_time(self, name, due):
        """Return when a member handles an event that is due at a time."""
        kind, since, until = self.faults.get(name, ('', 0.0, 0.0))
        if not since <= due < until:
            return due
        if kind == 'frozen':
            return until
        if kind == 'slow':
            return due + 0.1 * self.bound
        return due

    def send_message(self, sender, name, message):
        if self.find_fault(sender) in ('mute', 'killed'):
            return
        partitioned_at = self.partitions.get(frozenset((sender[0], name[0])))
        if partitioned_at is not None and self.now >= partitioned_at:
            return
        due = self.now + _MESSAGE_SECONDS
        if self.find_fault(sender) == 'slow':
            due += 0.1 * self.bound
        self.network.call_at(due, lambda: self._deliver(sender, name, message))

    def _deliver(self, sender, name, message):
        handled_at = self._find_handling_time(name, self.now)
        if handled_at > self.now and self.find_fault(name) == 'frozen':
            self.network.call_at(
                handled_at, lambda: self._deliver(sender, name, message)
            )
            return
        if self.find_fault(name) in ('mute', 'killed', 'restarted'):
            return
        self.members[name].receive(sender, message)
