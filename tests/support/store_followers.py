"""Followers of three failure domains before a store, in virtual time.

Each member runs the real follower in a greenlet of its own; waits, messages
and answers of the store take virtual seconds, and faults begin and end at set
moments.
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
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.requests import quarantine
from tests.support import callers
from tests.support import operated
from tests.support import virtual_fleet

# Seconds that a message between members, and an answer of the store, take.
_MESSAGE_SECONDS = 0.003
_ANSWER_SECONDS = 0.005
# Seconds that a call which is cut off waits beyond its poll.
_CALL_SECONDS = 1.0
# Virtual time goes on with each wait, however short.
_LEAST_SECONDS = 1e-6
# By failure domain. One in each watches, two in each relay, and the others of
# the first hear from its relays.
DOMAINS = {
    'a': ('a1', 'a2', 'a3', 'a4', 'a5', 'a6'),
    'b': ('b1', 'b2'),
    'c': ('c1', 'c2'),
}
NAMES = tuple(name for names in DOMAINS.values() for name in names)
# What may happen to those who tell others.
FAULTS = ('killed', 'cut', 'refused', 'frozen', 'slow', 'mute', 'restarted')
# Of all members of all worlds: nobody reads them, and they are slow to build.
_COUNTS = metrics.Metrics()


class Pauses:
    """Waits in virtual time; a frozen member wakes when it thaws."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self._woken = event.Event()

    def sleep(self, seconds):
        self._world.sleep(self._name, seconds)

    def wait(self, seconds):
        self._woken = event.Event()
        self._world.sleep(self._name, seconds, woken=self._woken)

    def wake(self):
        self._woken.set()


class Store:
    """One operator's version; a poll waits for the next in virtual time."""

    def __init__(self, world):
        self._world = world
        self.entry = None
        # Set once there is something new; each poll has one of its own.
        self.waiting = []
        self.write(1)

    def write(self, version):
        text = json.dumps(operated.build_configuration(version))
        self.entry = keyvalue.Entry('op/config', text.encode(), version)
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            each.set()


class Client:
    """One member's client of the store, which faults may break."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self.calls = 0
        # The store has closed the connection that was kept.
        self.stale = False

    def _reach(self, wait_seconds=0.0):
        self.calls += 1
        fault = self._world.find_fault(self._name)
        if fault == 'refused' or self.stale:
            self.stale = False
            self._world.sleep(self._name, _ANSWER_SECONDS)
            raise errors.PlatformUnavailable('turned away')
        if fault == 'cut':
            self._world.sleep(self._name, wait_seconds + _CALL_SECONDS)
            raise errors.PlatformUnavailable('no answer')
        self._world.sleep(self._name, _ANSWER_SECONDS)

    def read_entries(self, prefix):
        self._reach()
        entry = self._world.store.entry
        return keyvalue.Entries([entry], entry.revision)

    def poll(self, prefix, *, after, wait_seconds):
        self._reach(wait_seconds)
        store = self._world.store
        began = self._world.now
        lost = self._world.loses_at(self._name)
        if store.entry.revision <= after:
            changed = event.Event()
            store.waiting.append(changed)
            self._world.sleep(
                self._name, wait_seconds, woken=changed, cut=lost
            )
        fault = self._world.find_fault(self._name)
        if fault == 'refused':
            raise errors.PlatformUnavailable('connection reset')
        if fault == 'cut':
            # What the store answered meanwhile never arrives.
            left = began + wait_seconds + _CALL_SECONDS - self._world.now
            self._world.sleep(self._name, left)
            raise errors.PlatformUnavailable('no answer')
        entries = [store.entry] if store.entry.revision > after else []
        return keyvalue.Entries(entries, store.entry.revision)


class Member:
    """One instance's follower, its client and its links."""

    def __init__(self, world, index, name):
        self.name = name
        self._world = world
        self.greenlets = []
        ahead = 3600.0 * index
        self.client = Client(world, name)
        self.holder = holder.Holder()
        self.freshness = freshness.Freshness(clock=lambda: world.now + ahead)
        known = roster.Roster(_build_member(name))
        for other in NAMES:
            if other != name:
                known.put(_build_member(other))
        settings = world.settings
        waits = staleness.Staleness(settings)
        self.relaying = relaying.Relaying(known, self, self.freshness, waits)
        self.follower = following.Follower(
            waits,
            self.client,
            entries.Entries(
                self.holder,
                directory.Directory(),
                instances.StoredInstances(settings, self.client, follows=True),
                quarantined.StoredQuarantine(
                    settings, self.client, quarantine.Quarantine()
                ),
                _COUNTS,
            ),
            self.freshness,
            self.relaying,
            _COUNTS,
            random=random.Random(index),
            pauses=Pauses(world, name),
            stamping=Pauses(world, name),
        )

    def start(self):
        for task in (self.follower.run, self.follower.keep_stamping):
            self.greenlets.append(gevent.spawn(task))

    def stop(self):
        gevent.killall(self.greenlets)
        self.greenlets = []

    def send(self, name, message):
        self._world.post(self.name, name, message)
        return True

    def receive(self, sender, message):
        if isinstance(message, messages.StoreStamp):
            self.follower.take_stamp(sender, message)
        elif isinstance(message, messages.StoreChanges):
            self.follower.take_changes(sender, message)
        else:
            self.follower.take_loss(sender)


def _build_member(name):
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain=name[0],
        region='r',
    )


class World:
    """Members of three failure domains, a store, and faults of members."""

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
        # By member: (kind, from, until).
        self.faults = {}
        # Pairs of failure domains between which no message arrives, and since
        # when.
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

    def loses_at(self, name):
        """Return when a waiting poll is broken off; None: it isn't."""
        kind, since, _ = self.faults.get(name, ('', 0.0, 0.0))
        return since if kind == 'refused' and since > self.now else None

    def list_targets(self, target):
        """Return the names of those to whom something happens."""
        return {
            'a watcher': self.watchers[:1],
            'all watchers': self.watchers,
            'a relay': self.relays[:1],
            'all relays': self.relays,
            'both levels': {*self.watchers, *self.relays},
            'a domain': DOMAINS[self.watchers[0][0]],
        }[target]

    def break_members(self, kind, names, since, until):
        """Let members fail, and the first call of each other, too."""
        for member in self.members.values():
            member.client.stale = member.name not in self.watchers
        for name in names:
            self.faults[name] = (kind, since, until)
            if kind in ('killed', 'restarted'):
                self.network.call_at(since, self.members[name].stop)
            if kind == 'restarted':
                back = since + 0.2 * self.bound
                self.network.call_at(back, lambda name=name: self._start(name))

    def part(self, domain, since):
        """Let no message pass between a failure domain and the others."""
        for other in DOMAINS:
            if other != domain:
                self.partitions[frozenset((domain, other))] = since

    def _start(self, name):
        self.faults.pop(name)
        self.members[name] = Member(self, NAMES.index(name), name)
        self.members[name].start()

    def sleep(self, name, seconds, *, woken=None, cut=None):
        """Wait in virtual time, on behalf of a member."""
        done = event.Event() if woken is None else woken
        due = self.now + max(_LEAST_SECONDS, seconds)
        if cut is not None:
            due = min(due, cut)
        self.network.call_at(self._thaw(name, due), done.set)
        done.wait()
        thawed = self._thaw(name, self.now)
        if thawed > self.now:
            again = event.Event()
            self.network.call_at(thawed, again.set)
            again.wait()

    def _thaw(self, name, due):
        """Return when a member comes to what is due then."""
        kind, since, until = self.faults.get(name, ('', 0.0, 0.0))
        if not since <= due < until:
            return due
        if kind == 'frozen':
            return until
        if kind == 'slow':
            return due + 0.1 * self.bound
        return due

    def post(self, sender, name, message):
        if self.find_fault(sender) in ('mute', 'killed'):
            return
        parted = self.partitions.get(frozenset((sender[0], name[0])))
        if parted is not None and self.now >= parted:
            return
        due = self.now + _MESSAGE_SECONDS
        if self.find_fault(sender) == 'slow':
            due += 0.1 * self.bound
        self.network.call_at(due, lambda: self._deliver(sender, name, message))

    def _deliver(self, sender, name, message):
        thawed = self._thaw(name, self.now)
        if thawed > self.now and self.find_fault(name) == 'frozen':
            self.network.call_at(
                thawed, lambda: self._deliver(sender, name, message)
            )
            return
        if self.find_fault(name) in ('mute', 'killed', 'restarted'):
            return
        self.members[name].receive(sender, message)
