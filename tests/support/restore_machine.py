"""Stateful test of followers, relays and a store that is restored.

Members run the real follower, relaying and directory. The store is restored
from copies some changes old, and what the operator and the servers wrote is
written again in the same order. Messages are delivered in order, or lost.
"""

import json

from hypothesis import stateful
from hypothesis import strategies

from amaranthslip.capacity import directory
from amaranthslip.configuration import freshness
from amaranthslip.configuration import holder
from amaranthslip.configuration import relaying
from amaranthslip.configuration import revisions
from amaranthslip.configuration import staleness
from amaranthslip import errors
from amaranthslip import following
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import keyvalue
from bench import patterns
from tests.support import callers
from tests.support import operated
from tests.support import store_followers

_NAMES = ('one', 'two', 'three', 'four', 'five')
_CONFIGURATION = 'op/config'
_EVACUATION = 'op/evacuate/a'
# Copies of the store that are kept; the oldest is the first to be dropped.
_MAX_COPIES = 4
# Seconds after which a fleet that nothing disturbs knows the store's state.
_SETTLE_SECONDS = 12.0
_SETTLE_STEP_SECONDS = 0.2
_METRICS = metrics.Metrics()
_members = strategies.sampled_from(_NAMES)


class NoWait:
    """Waits of a follower that end at once: rules decide when time passes."""

    def sleep(self, seconds):
        pass

    def wait(self, seconds):
        pass

    def wake(self):
        pass


class Store:
    """A store with eras; its writers write again what a restore loses."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.items = {}
        # Changes by number since the start or the last restore.
        self.history = []
        self.copies = []
        self.first_number = 1
        # What operator and servers wrote, and how much of it the store has.
        self.written = []
        self.stored_count = 0

    def write(self, key, value):
        """Write as operator or server; None removes the key."""
        self._copy()
        self.written.append((key, value))
        self.rewrite(len(self.written))

    def rewrite(self, count):
        """Write again up to `count` changes that a restore lost."""
        for key, value in self.written[self.stored_count : count]:
            self.number += 1
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, self.number)
            self.history.append((self.number, key, value))
        self.stored_count = max(self.stored_count, count)

    def _copy(self):
        self.copies.append((self.number, dict(self.items), self.stored_count))
        del self.copies[:-_MAX_COPIES]

    def restore(self, index):
        number, items, stored_count = self.copies[index % len(self.copies)]
        del self.copies[index % len(self.copies) + 1 :]
        self.era += 1
        self.number, self.items = number, dict(items)
        self.first_number = number
        self.stored_count = stored_count
        self.history.clear()

    # The calls of a client.

    def read_entries(self, prefix):
        return keyvalue.Entries(
            [
                keyvalue.Entry(key, value, revisions.join(self.era, number))
                for key, (value, number) in sorted(self.items.items())
            ],
            revisions.join(self.era, self.number),
        )

    def poll(self, prefix, *, after, wait_seconds):
        number = revisions.read_number(after)
        if revisions.read_era(after) != self.era or number < self.first_number:
            raise errors.HistoryLost('the changes are not available')
        return keyvalue.Entries(
            [
                keyvalue.Entry(key, value, revisions.join(self.era, changed))
                for changed, key, value in self.history
                if changed > number
            ],
            revisions.join(self.era, self.number),
        )


class Member:
    """One instance's follower and what it knows."""

    def __init__(self, machine, name):
        self.name = name
        self._machine = machine
        self.directory = directory.Directory(clock=machine.read_clock)
        self.holder = holder.Holder()
        self.freshness = freshness.Freshness(clock=machine.read_clock)
        known_members = roster.Roster(patterns.build_member(name))
        for other in _NAMES:
            if other != name:
                known_members.put(patterns.build_member(other))
        settings = callers.build_settings()
        limits = staleness.Staleness(settings)
        self.relaying = relaying.Relaying(
            known_members, self, self.freshness, limits
        )
        store = machine.store
        self.follower = following.Follower(
            limits,
            store,
            store_followers.build_entries(
                settings, store, self.holder, self.directory, _METRICS
            ),
            self.freshness,
            self.relaying,
            _METRICS,
            pauses=NoWait(),
            stamp_pauses=NoWait(),
        )

    def send(self, name, message):
        self._machine.messages.append((self.name, name, message))
        return True

    def step(self):
        try:
            self.follower.step()
        except errors.PlatformError as error:
            self.follower._record_failure(error)
        if self.follower.revision is not None:
            self.relaying.send_stamp(
                self.follower.revision, missed=self.follower.has_gap
            )

    def receive(self, sender, message):
        store_followers.receive(self.follower, sender, message)

    def list_ready(self):
        return {each.name for each in self.directory.list_ready('llm')}


class RestoreMachine(stateful.RuleBasedStateMachine):
    """Draws changes, copies, restores, losses of messages and restarts."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.messages = []
        self.store = Store()
        self.version = 0
        self.server_count = 0
        self.states = {}
        self.evacuated = False
        self.configure()
        self.members = {name: Member(self, name) for name in _NAMES}
        # By member: servers that it knew as leaving, and its highest version.
        self.seen_leaving = {name: set() for name in _NAMES}
        self.seen_versions = dict.fromkeys(_NAMES, 0)
        self.seen_evacuated = dict.fromkeys(_NAMES, False)

    def read_clock(self):
        return self.now

    def _write_server(self, name, state):
        self.states[name] = state
        value = None
        if state != 'gone':
            value = json.dumps(
                {
                    'service': 'llm',
                    'address': '127.0.0.1:1',
                    'zone': 'a',
                    'slots': 4,
                    'state': state,
                    'cold_remaining_ms': 0,
                }
            ).encode()
        self.store.write(f'servers/{name}', value)

    def configure(self):
        self.version += 1
        text = json.dumps(operated.build_configuration(self.version))
        self.store.write(_CONFIGURATION, text.encode())

    @stateful.rule()
    def write_version(self):
        self.configure()

    @stateful.initialize()
    def register_servers(self):
        for _ in range(3):
            self.register_server()
        self.run_fleet(12)

    @stateful.rule()
    def register_server(self):
        self.server_count += 1
        self._write_server(f's-{self.server_count}', 'ready')

    @stateful.rule(
        index=strategies.integers(0, 3),
        drain=strategies.booleans(),
        rounds=strategies.integers(0, 4),
    )
    def end_server(self, index, drain, rounds):
        live = [name for name, state in self.states.items() if state != 'gone']
        if not live:
            return
        name = live[index % len(live)]
        leaves = drain and self.states[name] == 'ready'
        self._write_server(name, 'draining' if leaves else 'gone')
        self.run_fleet(rounds)

    @stateful.rule(rounds=strategies.integers(0, 4))
    def change_evacuation(self, rounds):
        self.evacuated = not self.evacuated
        for name in _NAMES:
            self.seen_evacuated[name] = False
        self.store.write(_EVACUATION, b'{}' if self.evacuated else None)
        self.run_fleet(rounds)

    @stateful.rule(
        index=strategies.integers(0, 3),
        rewritten=strategies.integers(0, 2),
        rounds=strategies.integers(0, 4),
    )
    def restore_store(self, index, rewritten, rounds):
        if self.store.copies:
            self.store.restore(index)
            self._rewrite(rewritten)
            self.run_fleet(rounds)

    @stateful.rule(count=strategies.integers(1, 4))
    def write_again(self, count):
        self._rewrite(count)

    def _rewrite(self, count):
        total = len(self.store.written)
        self.store.rewrite(min(total, self.store.stored_count + count))

    @stateful.rule(name=_members)
    def step_member(self, name):
        self.members[name].step()

    @stateful.rule(rounds=strategies.integers(1, 8))
    def run_fleet(self, rounds):
        """Let all members step, and deliver their messages, for a while."""
        for _ in range(rounds):
            self.now += _SETTLE_STEP_SECONDS
            for member in self.members.values():
                member.step()
            for _ in range(2):
                batch, self.messages = self.messages, []
                self._deliver(batch)

    @stateful.rule(
        count=strategies.integers(1, 12), lost=strategies.booleans()
    )
    def deliver_messages(self, count, lost):
        now, self.messages = self.messages[:count], self.messages[count:]
        if not lost:
            self._deliver(now)

    def _deliver(self, batch):
        for sender, name, message in batch:
            self.members[name].receive(sender, message)

    @stateful.rule(name=_members, skipped=strategies.integers(0, 4))
    def restart_member(self, name, skipped):
        if skipped:
            # Rare, as a member that starts has nothing to remember.
            return
        self.messages = [
            each for each in self.messages if name not in each[:2]
        ]
        for member in self.members.values():
            member.relaying.forget(name)
        self.members[name] = Member(self, name)
        self.seen_leaving[name] = set()
        self.seen_versions[name] = 0
        self.seen_evacuated[name] = False

    @stateful.invariant()
    def check_forbidden(self):
        """What a member knew to be forbidden stays so across restores."""
        for name, member in self.members.items():
            version = member.holder.document.version
            assert version >= self.seen_versions[name], name
            self.seen_versions[name] = version
            leaving = {
                each.name
                for each in member.directory.list_all()
                if each.leaving and self.states[each.name] != 'ready'
            }
            self.seen_leaving[name] |= leaving
            if self.evacuated and member.directory.list_evacuated():
                self.seen_evacuated[name] = True
            if self.seen_evacuated[name]:
                assert member.directory.list_evacuated(), name
            used = member.list_ready() & self.seen_leaving[name]
            assert not used, (name, used)

    def teardown(self):
        """Without disturbances, all members learn the state of the store."""
        self.store.rewrite(len(self.store.written))
        self.run_fleet(round(_SETTLE_SECONDS / _SETTLE_STEP_SECONDS))
        self.check_forbidden()
        expected = {
            name for name, state in self.states.items() if state == 'ready'
        }
        for name, member in self.members.items():
            assert member.holder.document.version == self.version, name
            assert bool(member.directory.list_evacuated()) == self.evacuated
            ready = set() if self.evacuated else expected
            assert member.list_ready() == ready, (name, ready)
