"""A Hypothesis state machine for requests to cold servers in a small fleet."""

import collections
import itertools
import math

from hypothesis import stateful
from hypothesis import strategies

from amaranthslip.capacity import coldquotas
from amaranthslip.capacity import coldstarts
from amaranthslip.capacity import directory
from amaranthslip.configuration import document
from amaranthslip.configuration import freshness
from amaranthslip.configuration import holder
from amaranthslip import errors
from amaranthslip.members import roster
from amaranthslip.platform import coldquotas as stored_coldquotas
from amaranthslip.platform import keyvalue
from bench import part_histories
from tests.support import callers

NAMES = ('m0', 'm1', 'm2', 'm3', 'm4')
COLD_RATE = 6.0
COLD_SECONDS = 3.0
# Requests per second that a cold server must not exceed.
BOUND = COLD_RATE * 1.25 + 0.5
# Age at which an instance stops all requests whose key it can't confirm.
_TRUSTED_SECONDS = 4.5
_SERVERS = ('s0', 's1')
# Requests that an instance sends to a server at once if nothing limits it.
BURST = 12
_NAME_STRATEGY = strategies.sampled_from(NAMES)
_SERVER_STRATEGY = strategies.sampled_from(_SERVERS)


def build_document():
    """Return a configuration with a service whose cold servers are limited."""
    return document.Document(
        version=1,
        services=[
            document.OperatedService(
                name='llm',
                kind=document.ServiceKind.MODEL,
                cold_start_seconds=COLD_SECONDS,
                cold_rate=COLD_RATE,
            )
        ],
    )


def build_server(name, incarnation, cold_seconds):
    """Return a server of the limited service."""
    return document.ListedServer(
        name=name,
        service='llm',
        address=f'10.0.0.{len(name)}:80',
        failure_domain='a',
        slots=8,
        leaving=False,
        incarnation=incarnation,
        cold_seconds=cold_seconds,
    )


class Store:
    """The log of an in-memory store, in which the keys have revisions."""

    def __init__(self):
        self.log = []
        self.entries = {}

    def write(self, key, value):
        """Write a key, or delete it if the value is None."""
        entry = keyvalue.Entry(key, value, len(self.log) + 1)
        self.log.append(entry)
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = entry


class Client:
    """An instance's connection to the store."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def grant(self, seconds):
        self._check()
        return 1

    def swap(self, key, value, *, expected, lease):
        self._check()
        if expected == 0 and key in self._fleet.store.entries:
            return None
        self._fleet.store.write(key, value)
        return len(self._fleet.store.log)

    def _check(self):
        if self._name in self._fleet.cut:
            raise errors.PlatformUnavailable('no connection; try again later')


class Instance:
    """One instance, created with what the store holds at its start."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        clock = fleet.read_clock
        settings = callers.build_settings(
            bounds={
                'cold_rate_factor': 1.25,
                'cold_slack': 0.5,
                'apply_milliseconds': 3000,
                'drain_milliseconds': 3000,
            }
        )
        self.holder = holder.Holder()
        self.holder.apply(build_document())
        self.directory = directory.Directory(clock=clock)
        self.freshness = freshness.Freshness(clock=clock)
        self.quotas = stored_coldquotas.StoredQuotas(
            settings, Client(fleet, name)
        )
        self.cold_starts = coldstarts.ColdStarts(
            name,
            settings,
            self.directory,
            self.holder,
            self.quotas,
            self.freshness,
            clock=clock,
        )
        self.roster = roster.Roster(part_histories.build_member(name))
        for other in NAMES:
            self.roster.put(part_histories.build_member(other))
        self.assigner = coldquotas.QuotaAssigner(
            self.roster,
            self.directory,
            self.cold_starts,
            self.quotas,
            clock=clock,
        )
        self._revision = 0
        self._read_all()

    def _read_all(self):
        for entry in self._fleet.store.entries.values():
            self._apply(entry)
        self._revision = len(self._fleet.store.log)
        self.freshness.confirm(self._fleet.now)

    def follow(self):
        """Apply the store's changes, as they were made."""
        for entry in self._fleet.store.log[self._revision :]:
            self._apply(entry)
        self._revision = len(self._fleet.store.log)
        self.freshness.confirm(self._fleet.now)

    def _apply(self, entry):
        kind, _, name = entry.key.partition('/')
        if entry.key.startswith(self.quotas.prefix):
            self.quotas.apply_entry(entry)
        elif kind == 'servers' and entry.value is None:
            self.directory.remove(name)
        elif kind == 'servers':
            self.directory.put(entry.value)
        elif entry.value is None:
            self.directory.end_evacuation(name)
        else:
            self.directory.evacuate(name)

    def send(self, server_name):
        """Send a request if the instance would; return whether it did."""
        server = self.directory.get(server_name)
        if server is None or self.directory.is_evacuated(server):
            return False
        if self.freshness.age > _TRUSTED_SECONDS:
            return False
        return self.cold_starts.take(server)


class Fleet:
    """Instances, and the store that they follow."""

    def __init__(self):
        self.now = 100.0
        self.store = Store()
        # Names of the instances that are cut off from the store.
        self.cut = set()
        self.running = {name: Instance(self, name) for name in NAMES}

    def read_clock(self):
        return self.now


class ColdStartMachine(stateful.RuleBasedStateMachine):
    """Servers start and become cold while instances disagree on the fleet.

    Oracle: no second contains more requests to a cold server than the
    operator allows, whatever the instances know of each other.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.incarnations = itertools.count(1)
        # Server: the end of its cold time, and the arrivals while it was cold.
        self.cold_until = dict.fromkeys(_SERVERS, -math.inf)
        self.arrivals = collections.defaultdict(list)
        self.evacuated_at = None
        self.quotas_written_at = 0.0
        self.fleet.now += 10.0
        for server in _SERVERS:
            self.start_server(server)
        self.settle()

    def _put_server(self, name, cold_seconds, incarnation=None):
        if incarnation is None:
            incarnation = next(self.incarnations)
        self.fleet.store.write(
            f'servers/{name}', build_server(name, incarnation, cold_seconds)
        )

    @stateful.rule(server=_SERVER_STRATEGY)
    def start_server(self, server):
        # Each start has an incarnation of its own, so that requests sent to
        # the earlier one are not run.
        self.arrivals[server].clear()
        self.cold_until[server] = self.fleet.now + COLD_SECONDS
        for instance in self.fleet.running.values():
            instance.directory.remove(server)
        self._put_server(server, COLD_SECONDS)

    @stateful.rule(server=_SERVER_STRATEGY)
    def report_warm(self, server):
        entry = self.fleet.store.entries.get(f'servers/{server}')
        if entry is not None and self.cold_until[server] <= self.fleet.now:
            self._put_server(server, 0.0, entry.value.incarnation)

    @stateful.rule()
    def evacuate(self):
        if self.evacuated_at is None:
            self.evacuated_at = self.fleet.now
            self.fleet.store.write('evacuate/a', b'{}')

    @stateful.rule()
    def end_evacuation(self):
        """The servers become cold just before the evacuation ends."""
        if self.evacuated_at is None:
            return
        if self.fleet.now - self.evacuated_at < _TRUSTED_SECONDS:
            return
        if not self._assign_during_evacuation():
            return
        self.evacuated_at = None
        for server in _SERVERS:
            self.cold_until[server] = self.fleet.now + COLD_SECONDS
            self.arrivals[server].clear()
        self.fleet.store.write('evacuate/a', None)

    def _assign_during_evacuation(self):
        """Let the instances that reach the store assign missing quotas."""
        self.settle()
        prefix = self.fleet.running['m0'].quotas.prefix
        return all(
            prefix + server in self.fleet.store.entries
            for server in _SERVERS
            if f'servers/{server}' in self.fleet.store.entries
        )

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.6, 1.0]))
    def wait(self, seconds):
        self.fleet.now += seconds

    @stateful.rule()
    def wait_long(self):
        self.fleet.now += 5.0

    @stateful.rule(name=_NAME_STRATEGY)
    def follow(self, name):
        if name not in self.fleet.cut:
            self.fleet.running[name].follow()

    @stateful.rule()
    def settle(self):
        """Let all instances follow the store, and assign missing quotas."""
        for name in NAMES:
            self.follow(name)
            self.assign(name)
        for name in NAMES:
            self.follow(name)

    @stateful.rule(name=_NAME_STRATEGY)
    def cut_off(self, name):
        self.fleet.cut.add(name)

    @stateful.rule()
    def reconnect_all(self):
        self.fleet.cut.clear()

    @stateful.rule(name=_NAME_STRATEGY)
    def restart(self, name):
        if name not in self.fleet.cut:
            self.fleet.running[name] = Instance(self.fleet, name)

    @stateful.rule(name=_NAME_STRATEGY, other=_NAME_STRATEGY)
    def lose_sight(self, name, other):
        if name != other:
            self.fleet.running[name].roster.remove(other)

    @stateful.rule(name=_NAME_STRATEGY, other=_NAME_STRATEGY)
    def regain_sight(self, name, other):
        if name != other:
            self.fleet.running[name].roster.put(
                part_histories.build_member(other)
            )

    @stateful.rule(name=_NAME_STRATEGY)
    def assign(self, name):
        try:
            self.fleet.running[name].assigner.step()
        except errors.PlatformUnavailable:
            return
        self.quotas_written_at = self.fleet.now

    @stateful.rule()
    def expire_quotas(self):
        """End the leases, which last longer than any copy is trusted."""
        if self.fleet.now - self.quotas_written_at < 2 * _TRUSTED_SECONDS:
            return
        prefix = self.fleet.running['m0'].quotas.prefix
        for key in list(self.fleet.store.entries):
            if key.startswith(prefix):
                self.fleet.store.write(key, None)

    @stateful.rule(name=_NAME_STRATEGY)
    def send(self, name):
        for server in _SERVERS:
            for _ in range(BURST):
                if not self.fleet.running[name].send(server):
                    break
                if self.fleet.now < self.cold_until[server]:
                    self.arrivals[server].append(self.fleet.now)

    @stateful.rule()
    def send_from_all(self):
        for name in NAMES:
            self.send(name)

    @stateful.rule()
    def start_servers(self):
        for server in _SERVERS:
            self.start_server(server)

    @stateful.invariant()
    def check_rate(self):
        for server, times in self.arrivals.items():
            for end in times:
                count = sum(end - 1.0 < each <= end for each in times)
                assert count <= BOUND, (server, count)
