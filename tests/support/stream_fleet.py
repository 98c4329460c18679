"""Instances that exchange records of streams, on one virtual clock.

Messages are delivered at once, or lost: between the sides of a partition, and
to frozen instances. Engines of several versions come and go, and instances
that are parted from the store don't learn of it. While the store is down,
nobody does, and the record of versions stays as it is.
"""

import random

from amaranthslip.capacity import directory
from amaranthslip.configuration import document
from amaranthslip.configuration import staleness
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip.requests import stream_records
from amaranthslip.requests import stream_versions
from tests.support import callers

SERVICE = 'llm'
_ENGINES = 6
_STEP_SECONDS = 0.5
_MAX_STREAM_SECONDS = 20.0
_STALENESS = staleness.Staleness(callers.build_settings())


class Instance:
    """One process: its list of servers and its records of streams."""

    def __init__(self, fleet, name, *, first_of_fleet):
        self.name = name
        self._fleet = fleet
        self.synced_at = fleet.now
        self.roster = roster.Roster(build_member(name))
        self.directory = directory.Directory(
            read_settle_seconds=lambda: _STALENESS.settle_seconds,
            clock=lambda: fleet.now,
        )
        for service, versions in fleet.records.items():
            self.directory.software.record(service, versions)
        self.directory.replace(list(fleet.engines.values()))
        self.directory.software.begin(first_of_fleet=first_of_fleet)
        self.streams = stream_records.StreamRecords(clock=lambda: fleet.now)
        self.streams.replace(
            each for streams in fleet.stored.values() for each in streams
        )
        self.versions = stream_versions.StreamVersions(
            callers.build_settings(),
            self.roster,
            self,
            self.directory.software,
            lambda: fleet.now - self.synced_at,
            self.streams,
            list_names=fleet.list_present,
            clock=lambda: fleet.now,
        )
        self.sync()

    def sync(self):
        """Apply the store's list of servers and the known members."""
        self.apply_store()
        for name in self._fleet.names:
            if name != self.name:
                self.roster.put(build_member(name))

    def apply_store(self):
        """Apply the store's list of servers; record versions and streams."""
        self.synced_at = self._fleet.now
        history = self.directory.software
        self.directory.replace(list(self._fleet.engines.values()))
        for service, versions in self._fleet.records.items():
            history.record(service, versions)
        outdated = history.find_outdated(SERVICE)
        if outdated is not None:
            self._fleet.records[SERVICE] = outdated
            history.record(SERVICE, outdated)
        if len(history.read_ages(SERVICE)) > 1:
            self._fleet.stored[id(self)] = self.streams.collect([SERVICE])

    def tell_requests(self):
        """Tell holders what they have to know since a version joined."""
        self.versions.tell_requests()

    def list_admitted(self):
        """Return the servers at which this instance may begin a stream."""
        history = self.directory.software
        known = self.directory.list_ready(SERVICE)
        versions = {each.software_version for each in known}
        recorded = {v for v in versions if history.is_recorded(SERVICE, v)}
        settled = {v for v in versions if history.is_settled(SERVICE, v)}
        return [
            each
            for each in known
            if each.software_version in (recorded or settled)
        ]

    def send(self, name, message):
        if self._fleet.may_pass(self.name, name):
            self._fleet.running[name].versions.receive(self.name, message)
        return True


class Stream:
    """A stream, and whether its caller can expect that it goes on."""

    def __init__(self, attempt, version, began_at, *, in_touch):
        self.attempt = attempt
        self.version = version
        self.began_at = began_at
        self.in_touch = in_touch


class Fleet:
    """A fleet that goes through a random history of rollouts and faults."""

    def __init__(self, seed, count=9):
        self.random = random.Random(seed)
        self.now = 0.0
        self.names = [f'e{number}' for number in range(count)]
        self.engines = {}
        self.frozen = set()
        # Names on the smaller side of a partition; they don't reach the store.
        self.parted = set()
        # By service, what the store records of its versions.
        self.records = {}
        # By name and number of a process, the unfinished streams it recorded.
        self.stored = {}
        self.store_down = False
        self._started = 0
        self._rollout = 1
        for _ in range(_ENGINES):
            self._start_engine('v1')
        self.running = {}
        for name in self.names:
            self.running[name] = self.build_instance(name)
        self.streams = []
        # (Version found or None, version that began the stream, whether all
        # was in touch).
        self.results = []

    def build_instance(self, name):
        """Return a process that runs from the beginning."""
        return Instance(self, name, first_of_fleet=True)

    def list_present(self):
        """Return the names on the platform's list."""
        return self.names

    def may_pass(self, sender, receiver):
        if {sender, receiver} & self.frozen:
            return False
        return (sender in self.parted) == (receiver in self.parted)

    def run(self, steps):
        for _ in range(steps):
            self.now += _STEP_SECONDS
            self._change()
            self.sync()
            for _ in range(4):
                self._begin_stream()
            self._take_streams_up()

    def sync(self):
        """Let the instances that reach the store apply its entries."""
        for name, instance in self.running.items():
            if not self.store_down and name not in self.parted | self.frozen:
                instance.sync()

    def _change(self):
        change = self.random.choice(
            (
                self.replace_engine,
                self._part,
                self._freeze,
                self._restart,
                self.restart_all,
                self._lose_store,
            )
        )
        if self.random.random() < 0.3:
            change()

    def _start_engine(self, version):
        self._started += 1
        name = f'i-{self._started}'
        self.engines[name] = build_engine(name, self._started, version)

    def replace_engine(self):
        if self.store_down:
            return
        oldest = min(
            self.engines.values(),
            key=lambda each: (each.software_version, each.incarnation),
        )
        if oldest.software_version == f'v{self._rollout}':
            self._rollout += 1
        self._start_engine(f'v{self._rollout}')
        del self.engines[oldest.name]

    def _part(self):
        count = self.random.randrange(len(self.names) // 2)
        self.parted = set(self.random.sample(self.names, count))

    def _freeze(self):
        count = self.random.randrange(3)
        self.frozen = set(self.random.sample(self.names, count))

    def _restart(self):
        for name in self.random.sample(self.names, self.random.randrange(4)):
            if name not in self.parted and not self.store_down:
                self.running[name] = Instance(self, name, first_of_fleet=False)

    def restart_all(self):
        # Not while the store is down: a process that starts reads it first.
        if self.store_down:
            return
        self.parted, self.frozen = set(), set()
        for name in self.names:
            self.running[name] = Instance(self, name, first_of_fleet=False)

    def _lose_store(self):
        self.store_down = not self.store_down

    def _begin_stream(self):
        name = self.random.choice(self.names)
        if name in self.frozen:
            return
        server = self.draw_server(name)
        if server is None or server.name not in self.engines:
            return
        attempt = f'attempt-{len(self.results)}-{self.random.random()}'
        self.running[name].versions.note_begun(
            attempt, SERVICE, server.software_version
        )
        in_touch = not self.parted and not self.frozen
        self.streams.append(
            Stream(
                attempt, server.software_version, self.now, in_touch=in_touch
            )
        )

    def draw_server(self, name):
        """Return a server at which an instance begins a stream, or None."""
        admitted = self.running[name].list_admitted()
        return self.random.choice(admitted) if admitted else None

    def _take_streams_up(self):
        kept = []
        for stream in self.streams:
            if self.now - stream.began_at > _MAX_STREAM_SECONDS:
                continue
            kept.append(stream)
            if self.random.random() < 0.1:
                self._take_up(stream)
        self.streams = kept

    def _take_up(self, stream):
        name = self.random.choice(self.names)
        if name in self.frozen:
            return
        record = self.running[name].versions.find(stream.attempt, SERVICE)
        in_touch = stream.in_touch and not self.parted and not self.frozen
        found = None if record is None else record.software_version
        self.results.append((found, stream.version, in_touch))


def build_engine(name, number, version):
    """Return an engine; engines of any version use its address again."""
    return document.ListedServer(
        name=name,
        service=SERVICE,
        address=f'10.0.0.{number % (_ENGINES + 1)}:1',
        failure_domain='a',
        slots=8,
        leaving=False,
        incarnation=number,
        software_version=version,
    )


def build_member(name):
    """Return a member of the fleet."""
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='a',
        region='r',
    )
