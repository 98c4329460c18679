"""Steps about changes of the store that watchers relay."""

import json

import behave

from amaranthslip.capacity import directory
from amaranthslip.configuration import freshness
from amaranthslip.configuration import holder
from amaranthslip.configuration import relaying
from amaranthslip.configuration import revisions
from amaranthslip.configuration import staleness
from amaranthslip import following
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import keyvalue
from bench import patterns
from tests.support import callers
from tests.support import operated
from tests.support import store_followers

# Six members of one failure domain, three of them watchers and two relays.
_NAMES = ('one', 'two', 'three', 'four', 'five', 'seven')


class Store:
    """A store with one configuration version; counts calls."""

    def __init__(self):
        self.revision = 1
        self.entry = None
        self.calls = 0
        # Seconds that the last poll asked the store to wait.
        self.last_wait_seconds = 0.0
        # Changes of other keys, and a callback that runs once while an answer
        # of `poll` is in transit.
        self.changes = []
        self.during_poll = None
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
        self.last_wait_seconds = wait_seconds
        entries = [
            each
            for each in (self.entry, *self.changes)
            if each.revision > after
        ]
        answer = keyvalue.Entries(entries, self.revision)
        during_poll, self.during_poll = self.during_poll, None
        if during_poll is not None:
            during_poll()
        return answer

    def write_server(self, value):
        self.revision += 1
        self.changes.append(
            keyvalue.Entry('servers/s-1', value, self.revision)
        )


class WakeCounter:
    """Counts how often a member was asked to send a stamp at once."""

    def __init__(self):
        self.count = 0

    def wake(self):
        self.count += 1


class Member:
    """One instance's follower, with its own clock."""

    def __init__(self, context, name, clock_offset):
        self.name = name
        self._context = context
        self.directory = directory.Directory()
        self.freshness = freshness.Freshness(
            clock=lambda: context.now + clock_offset
        )
        self.holder = holder.Holder()
        known_members = roster.Roster(patterns.build_member(name))
        for other in _NAMES:
            if other != name:
                known_members.put(patterns.build_member(other))
        settings = callers.build_settings()
        staleness_limits = staleness.Staleness(settings)
        self.relaying = relaying.Relaying(
            known_members, self, self.freshness, staleness_limits
        )
        member_metrics = metrics.Metrics()
        self.follower = following.Follower(
            staleness_limits,
            context.store,
            store_followers.build_entries(
                settings,
                context.store,
                self.holder,
                self.directory,
                member_metrics,
            ),
            self.freshness,
            self.relaying,
            member_metrics,
        )
        self.follower.step()

    def send(self, name, message):
        self._context.messages.append((self.name, name, message))
        return True


def _deliver(context, kind):
    """Deliver the pending messages of a kind, and drop all others."""
    waiting, context.messages = context.messages, []
    for sender, name, message in waiting:
        if type(message).__name__ != kind or name not in context.members:
            continue
        member = context.members[name]
        if kind == 'StoreStamp':
            member.follower.receive_stamp(sender, message)
        else:
            member.follower.receive_changes(sender, message)


def _send_stamp(member):
    """Send a stamp from a member to its sources."""
    follower = member.follower
    member.relaying.send_stamp(follower.revision, missed=follower.has_gap)


def _exchange_stamps(context):
    """Deliver a stamp of the listener, and the watcher's answer."""
    _send_stamp(context.listener)
    _deliver(context, 'StoreStamp')
    _deliver(context, 'StoreChanges')


def _poll_watcher(context):
    """Run one poll of the watcher; its messages are then pending."""
    context.watcher.follower.step()


@behave.given('a listener, its watcher and a store')
def start_members(context):
    context.now = 1000.0
    context.messages = []
    context.store = Store()
    # Clocks differ by an hour, so that comparing times of two instances
    # fails the test.
    found = [
        Member(context, name, 3600.0 * index)
        for index, name in enumerate(_NAMES)
    ]
    context.members = {each.name: each for each in found}
    sources = found[0].relaying.sources
    watchers, relays = sources.list_watchers(), sources.list_relays()
    # A watcher that is also a relay, so that there is no level between it
    # and the listener.
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
    _poll_watcher(context)
    _deliver(context, 'StoreChanges')
    context.calls = context.store.calls


@behave.when(
    'the operator writes version {version:d} and the watcher receives it'
)
def write_and_poll(context, version):
    context.store.write(version)
    _poll_watcher(context)
    context.calls = context.store.calls
    _deliver(context, 'StoreChanges')


@behave.then('version {version:d} is in force at the listener')
def check_version(context, version):
    assert context.listener.holder.document.version == version


@behave.then('the listener did not call the store')
def check_calls(context):
    assert context.store.calls == context.calls


@behave.when("the watcher's message is delayed by {seconds:d} seconds")
def delay_message(context, seconds):
    _poll_watcher(context)
    context.now += seconds
    _deliver(context, 'StoreChanges')


@behave.then("the listener's knowledge is {seconds:d} seconds old or more")
def check_age(context, seconds):
    age = context.listener.freshness.age
    # The message still confirms the stamp that the watcher had before it.
    assert seconds <= age < seconds + 1, age


@behave.when(
    "the listener sends a stamp {seconds:d} seconds after the watcher's last "
    'answer'
)
def send_late_stamp(context, seconds):
    context.before = context.listener.freshness.confirmed
    context.watcher.relaying.forget(context.listener.name)
    context.now += seconds
    _send_stamp(context.listener)
    _deliver(context, 'StoreStamp')


@behave.when('the watcher relays what it knew')
def relay_changes(context):
    revision = context.watcher.follower.revision
    context.watcher.relaying.relay_changes(revision)
    _deliver(context, 'StoreChanges')


@behave.then("the listener's knowledge is not confirmed again")
def check_unconfirmed(context):
    assert context.listener.freshness.confirmed == context.before


@behave.when('a message is lost, and the next contains version {version:d}')
def lose_message(context, version):
    context.store.write(version - 1)
    _poll_watcher(context)
    context.messages.clear()
    context.store.write(version)
    _poll_watcher(context)
    _deliver(context, 'StoreChanges')
    assert context.listener.holder.document.version < version
    calls = context.store.calls
    _exchange_stamps(context)
    assert context.store.calls == calls, 'the listener polled the store'


@behave.when('the watchers send nothing for {seconds:g} seconds')
def silence_watchers(context, seconds):
    context.now += seconds
    context.listener.follower.step()


@behave.then(
    'the listener polls the store, and version {version:d} is in force'
)
@behave.then(
    'the listener asks its source again, and version {version:d} is applied'
)
def check_asked(context, version):
    assert context.listener.holder.document.version == version


@behave.then('the listener polls the store, and its knowledge is recent')
def check_fresh(context):
    assert context.store.calls > context.calls
    assert context.listener.freshness.age < 1


@behave.then('the listener waits for the next change in a long poll')
def check_waits(context):
    assert context.store.calls == context.calls + 1
    assert context.store.last_wait_seconds >= 1.0, (
        context.store.last_wait_seconds
    )


@behave.when(
    'the listener applies version {new:d}, and then a message contains '
    'version {old:d}'
)
def deliver_old_version(context, new, old):
    context.store.write(old)
    _poll_watcher(context)
    delayed, context.messages = context.messages, []
    context.store.write(new)
    _poll_watcher(context)
    _deliver(context, 'StoreChanges')
    # The listener's sources are silent until it polls the store itself.
    context.now += 1.5
    context.listener.follower.step()
    context.messages = delayed
    _deliver(context, 'StoreChanges')


@behave.when(
    'the operator writes version {version:d} and the watchers send nothing '
    'for {seconds:g} seconds'
)
def write_unreceived(context, version, seconds):
    context.store.write(version)
    context.now += seconds
    context.listener.follower.step()


@behave.when('the watcher polls for {seconds:g} seconds without a change')
def poll_without_changes(context, seconds):
    step = 0.2
    for number in range(round(seconds / step)):
        context.now += step
        _send_stamp(context.listener)
        _deliver(context, 'StoreStamp')
        assert not context.listener.follower.needs_poll
        if number % 4 == 3:
            _poll_watcher(context)
            context.calls = context.store.calls
            _deliver(context, 'StoreChanges')


@behave.when('the watcher gets stamps, but no answer for {seconds:g} seconds')
def send_stamps_without_answer(context, seconds):
    for _ in range(round(seconds / 0.2)):
        context.now += 0.2
        _send_stamp(context.listener)
        _deliver(context, 'StoreStamp')
    _deliver(context, 'StoreChanges')


@behave.then('the listener has to poll the store itself')
def check_needs_poll(context):
    assert context.listener.follower.needs_poll


@behave.when(
    "a server registers, and leaves while the listener's poll is answered"
)
def leave_during_poll(context):
    entry = operated.Backend('s-1', service='llm')
    context.add_cleanup(entry.close)
    context.store.write_server(json.dumps(entry.build_entry()).encode())

    def leave():
        context.store.write_server(None)
        _poll_watcher(context)
        _deliver(context, 'StoreChanges')

    context.store.during_poll = leave
    # The listener's sources are silent until it polls the store itself.
    context.now += 1.5
    context.listener.follower.step()


@behave.then('the listener does not list the server')
def check_unlisted(context):
    assert context.listener.directory.get('s-1') is None


@behave.when(
    'the listener had to poll, and its watcher relays an earlier change'
)
def relay_older_change(context):
    context.now += 3
    context.listener.follower.step()
    assert context.listener.follower.needs_poll
    _send_stamp(context.listener)
    _deliver(context, 'StoreStamp')
    context.store.write(2)
    _poll_watcher(context)
    delayed, context.messages = context.messages, []
    context.store.write(3)
    context.listener.follower.step()
    context.messages = delayed
    _deliver(context, 'StoreChanges')


@behave.then('the listener need not poll')
def check_needs_no_poll(context):
    assert not context.listener.follower.needs_poll


@behave.when('the watcher relays changes that follow one that it can not send')
def relay_after_gap(context):
    context.store.write(2)
    context.watcher.follower._read_all()
    context.store.write(3)
    _poll_watcher(context)
    context.wake_counter = WakeCounter()
    context.listener.follower._stamp_pauses = context.wake_counter
    for _ in range(5):
        context.watcher.relaying.relay_changes(
            context.watcher.follower.revision
        )
        _deliver(context, 'StoreChanges')


@behave.then('the listener sends one additional stamp')
def check_one_stamp(context):
    assert context.wake_counter.count == 1, context.wake_counter.count
    context.now += 0.2
    context.listener.follower.step()


def _restore_store(context):
    """Begin a new era, in which the store has the operator's next version."""
    context.store.revision = revisions.join(1, 1)
    context.store.write(2)


@behave.when(
    'the store is restored and version 2 written, which the watcher relays'
)
def relay_after_restore(context):
    _restore_store(context)
    _poll_watcher(context)
    context.before = context.listener.freshness.confirmed
    context.calls = context.store.calls
    _deliver(context, 'StoreChanges')


@behave.then('nothing is confirmed at the listener by that message')
def check_not_confirmed(context):
    check_unconfirmed(context)
    assert context.listener.follower.revision is None


@behave.then('the listener reads the store, and version 2 is in force')
def check_read(context):
    context.listener.follower.step()
    assert context.store.calls == context.calls + 1
    check_version(context, 2)
    assert context.listener.follower.revision == context.store.revision
    assert context.listener.freshness.seconds_since_restore == 0


@behave.when(
    'the listener follows a restored store, and a message of the earlier era'
    ' arrives'
)
def deliver_earlier_era(context):
    context.store.write(3)
    _poll_watcher(context)
    delayed, context.messages = context.messages, []
    _restore_store(context)
    _poll_watcher(context)
    _deliver(context, 'StoreChanges')
    context.listener.follower.step()
    context.messages = delayed
    _deliver(context, 'StoreChanges')


@behave.then('the listener still follows the restored store')
def check_follows(context):
    check_version(context, 2)
    assert context.listener.follower.revision == context.store.revision
