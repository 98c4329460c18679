"""Steps about changes of the store that watchers pass on."""

import json

import behave

from amaranthslip.capacity import directory
from amaranthslip.configuration import freshness
from amaranthslip.configuration import holder
from amaranthslip.configuration import relaying
from amaranthslip.configuration import staleness
from amaranthslip import entries
from amaranthslip import following
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.requests import quarantine
from bench import patterns
from tests.support import callers
from tests.support import operated

# Six of one failure domain: three of them watch, and two relay.
_NAMES = ('one', 'two', 'three', 'four', 'five', 'seven')


class Store:
    """A store's revisions and the operator's version; counts calls."""

    def __init__(self):
        self.revision = 1
        self.entry = None
        self.calls = 0
        # Seconds that the last poll would have waited.
        self.waited = 0.0
        # Other keys' changes, and what happens while an answer is under way.
        self.changes = []
        self.meanwhile = None
        self.write(1)

    def write(self, version):
        self.revision += 1
        text = json.dumps(operated.build_configuration(version))
        self.entry = keyvalue.Entry('op/config', text.encode(), self.revision)

    def read_entries(self, prefix):
        self.calls += 1
        return keyvalue.Entries([self.entry], self.revision)

    def poll(self, prefix, *, after, wait_seconds):
        self.calls += 1
        self.waited = wait_seconds
        entries = [
            each
            for each in (self.entry, *self.changes)
            if each.revision > after
        ]
        answer = keyvalue.Entries(entries, self.revision)
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()
        return answer

    def write_server(self, value):
        self.revision += 1
        self.changes.append(
            keyvalue.Entry('servers/s-1', value, self.revision)
        )


class Wakes:
    """Counts how often a member was to send a stamp at once."""

    def __init__(self):
        self.count = 0

    def wake(self):
        self.count += 1


class Member:
    """One instance's follower, with a clock of its own."""

    def __init__(self, context, name, ahead):
        self.name = name
        self._context = context
        self.directory = directory.Directory()
        self.freshness = freshness.Freshness(clock=lambda: context.now + ahead)
        self.holder = holder.Holder()
        known = roster.Roster(patterns.build_member(name))
        for other in _NAMES:
            if other != name:
                known.put(patterns.build_member(other))
        settings = callers.build_settings()
        waits = staleness.Staleness(settings)
        self.relaying = relaying.Relaying(known, self, self.freshness, waits)
        counts = metrics.Metrics()
        self.follower = following.Follower(
            waits,
            context.store,
            entries.Entries(
                self.holder,
                self.directory,
                instances.StoredInstances(
                    settings, context.store, follows=True
                ),
                quarantined.StoredQuarantine(
                    settings, context.store, quarantine.Quarantine()
                ),
                counts,
            ),
            self.freshness,
            self.relaying,
            counts,
        )
        self.follower.step()

    def send(self, name, message):
        self._context.messages.append((self.name, name, message))
        return True


def _deliver(context, kind):
    """Deliver the messages of a kind that are under way."""
    waiting, context.messages = context.messages, []
    for sender, name, message in waiting:
        if type(message).__name__ != kind or name not in context.members:
            continue
        member = context.members[name]
        if kind == 'StoreStamp':
            member.follower.take_stamp(sender, message)
        else:
            member.follower.take_changes(sender, message)


def _stamp(member):
    """Let a member send its sources a stamp."""
    follower = member.follower
    member.relaying.send_stamp(follower.revision, missed=follower.missed)


def _exchange_stamps(context):
    """Let the listener send a stamp, and hear the watcher's answer."""
    _stamp(context.listener)
    _deliver(context, 'StoreStamp')
    _deliver(context, 'StoreChanges')


def _watch(context):
    """Let the watcher poll once; its messages are then under way."""
    context.watcher.follower.step()


@behave.given('a listener and its watcher before a store')
def start(context):
    context.now = 1000.0
    context.messages = []
    context.store = Store()
    # Clocks that differ by an hour: none may be compared with another.
    found = [
        Member(context, name, 3600.0 * index)
        for index, name in enumerate(_NAMES)
    ]
    context.members = {each.name: each for each in found}
    sources = found[0].relaying.sources
    watchers, relays = sources.list_watchers(), sources.list_relays()
    # One that polls and passes on itself, so that no other level is between.
    context.watcher = next(
        each for each in found if each.name in watchers and each.name in relays
    )
    context.listener = next(
        each
        for each in found
        if each.name not in watchers and each.name not in relays
    )
    context.now += 2
    _exchange_stamps(context)
    _watch(context)
    _deliver(context, 'StoreChanges')
    context.calls = context.store.calls


@behave.when(
    'the operator writes version {version:d} and the watcher hears of it'
)
def write(context, version):
    context.store.write(version)
    _watch(context)
    context.calls = context.store.calls
    _deliver(context, 'StoreChanges')


@behave.then('version {version:d} is in force at the listener')
def check_version(context, version):
    assert context.listener.holder.document.version == version


@behave.then('the listener made no call for it')
def check_calls(context):
    assert context.store.calls == context.calls


@behave.when("the watcher's message is held up for {seconds:d} seconds")
def hold_up(context, seconds):
    _watch(context)
    context.now += seconds
    _deliver(context, 'StoreChanges')


@behave.then("the listener's knowledge is {seconds:d} seconds old or more")
def check_age(context, seconds):
    age = context.listener.freshness.age
    # Confirmed all the same, by the stamp of before the message.
    assert seconds <= age < seconds + 1, age


@behave.when(
    "the listener sends a stamp {seconds:d} seconds after the watcher's last "
    'answer'
)
def send_late_stamp(context, seconds):
    context.before = context.listener.freshness.confirmed
    context.watcher.relaying.forget(context.listener.name)
    context.now += seconds
    _stamp(context.listener)
    _deliver(context, 'StoreStamp')


@behave.when('the watcher passes on what it knew')
def pass_on(context):
    revision = context.watcher.follower.revision
    context.watcher.relaying.pass_on(revision)
    _deliver(context, 'StoreChanges')


@behave.then("the listener's knowledge is not confirmed by it")
def check_unconfirmed(context):
    assert context.listener.freshness.confirmed == context.before


@behave.when('a message is lost, and the next tells of version {version:d}')
def lose(context, version):
    context.store.write(version - 1)
    _watch(context)
    context.messages.clear()
    context.store.write(version)
    _watch(context)
    _deliver(context, 'StoreChanges')
    assert context.listener.holder.document.version < version
    calls = context.store.calls
    _exchange_stamps(context)
    assert context.store.calls == calls, 'it asked the store'


@behave.when('the watchers say nothing for {seconds:g} seconds')
def be_silent(context, seconds):
    context.now += seconds
    context.listener.follower.step()


@behave.then(
    'the listener asks the store, and version {version:d} is in force'
)
@behave.then(
    'the listener asks its source again, and version {version:d} is in force'
)
def check_asked(context, version):
    assert context.listener.holder.document.version == version


@behave.then('the listener asks the store, and its knowledge is fresh')
def check_fresh(context):
    assert context.store.calls > context.calls
    assert context.listener.freshness.age < 1


@behave.then('the listener waits at the store for what changes next')
def check_waits(context):
    assert context.store.calls == context.calls + 1
    assert context.store.waited >= 1.0, context.store.waited


@behave.when(
    'the listener learns version {new:d}, and then a message tells of version '
    '{old:d}'
)
def learn_old(context, new, old):
    context.store.write(old)
    _watch(context)
    late, context.messages = context.messages, []
    context.store.write(new)
    _watch(context)
    _deliver(context, 'StoreChanges')
    # Its sources were silent for so long that it asks by itself.
    context.now += 1.5
    context.listener.follower.step()
    context.messages = late
    _deliver(context, 'StoreChanges')


@behave.when(
    'the operator writes version {version:d} and the watchers say nothing for '
    '{seconds:g} seconds'
)
def write_unheard(context, version, seconds):
    context.store.write(version)
    context.now += seconds
    context.listener.follower.step()


@behave.when('the watcher polls for {seconds:g} seconds, and nothing changes')
def poll_on(context, seconds):
    step = 0.2
    for number in range(round(seconds / step)):
        context.now += step
        _stamp(context.listener)
        _deliver(context, 'StoreStamp')
        assert not context.listener.follower.needs_poll
        if number % 4 == 3:
            _watch(context)
            context.calls = context.store.calls
            _deliver(context, 'StoreChanges')


@behave.when(
    'the watcher heard nothing for {seconds:g} seconds and gets stamps'
)
def stamp_unheard(context, seconds):
    for _ in range(round(seconds / 0.2)):
        context.now += 0.2
        _stamp(context.listener)
        _deliver(context, 'StoreStamp')
    _deliver(context, 'StoreChanges')


@behave.then('the listener asks the store itself')
def check_needs_poll(context):
    assert context.listener.follower.needs_poll


@behave.when(
    "a server registers, and leaves while the listener's own poll is answered"
)
def overtake(context):
    entry = operated.Backend('s-1', service='llm')
    context.add_cleanup(entry.close)
    context.store.write_server(json.dumps(entry.build_entry()).encode())

    def leave():
        context.store.write_server(None)
        _watch(context)
        _deliver(context, 'StoreChanges')

    context.store.meanwhile = leave
    # Its sources were silent for so long that it asks by itself.
    context.now += 1.5
    context.listener.follower.step()


@behave.then('the listener does not list the server')
def check_unlisted(context):
    assert context.listener.directory.get('s-1') is None


@behave.when(
    'the listener had to ask, and its watcher tells of a change before that'
)
def tell_of_older(context):
    context.now += 3
    context.listener.follower.step()
    assert context.listener.follower.needs_poll
    _stamp(context.listener)
    _deliver(context, 'StoreStamp')
    context.store.write(2)
    _watch(context)
    late, context.messages = context.messages, []
    context.store.write(3)
    context.listener.follower.step()
    context.messages = late
    _deliver(context, 'StoreChanges')


@behave.then('the listener need not ask')
def check_relies(context):
    assert not context.listener.follower.needs_poll


@behave.when('the watcher tells of changes after one that it can not tell')
def tell_without_first(context):
    context.store.write(2)
    context.watcher.follower._read_all()
    context.store.write(3)
    _watch(context)
    context.wakes = Wakes()
    context.listener.follower._stamping = context.wakes
    for _ in range(5):
        context.watcher.relaying.pass_on(context.watcher.follower.revision)
        _deliver(context, 'StoreChanges')


@behave.then('the listener sends one stamp more than usual')
def check_woken(context):
    assert context.wakes.count == 1, context.wakes.count
    context.now += 0.2
    context.listener.follower.step()
