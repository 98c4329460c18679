"""Steps about which instances call the store, and the sources of others."""

import json

import behave

from amaranthslip.capacity import directory
from amaranthslip.configuration import changes
from amaranthslip.configuration import freshness
from amaranthslip.configuration import holder
from amaranthslip.configuration import messages
from amaranthslip.configuration import relaying
from amaranthslip.configuration import sources
from amaranthslip.configuration import staleness
from amaranthslip import errors
from amaranthslip import following
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import keyvalue
from bench import patterns
from tests.support import callers
from tests.support import operated
from tests.support import store_followers

_BOUND_SECONDS = 4.0


def _build_member(index, domains):
    return members.Member(
        name=f'instance-{index}',
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain=f'domain-{index % domains}',
        region='r',
    )


@behave.given('a fleet of {count:d} instances in {domains:d} failure domains')
def build_fleet(context, count, domains):
    context.now = 100.0
    context.domains = domains
    everyone = [_build_member(index, domains) for index in range(count)]
    context.fleet = {}
    for own in everyone:
        known = roster.Roster(own)
        for other in everyone:
            known.put(other)
        context.fleet[own.name] = sources.Sources(
            known, lambda: context.now, _BOUND_SECONDS
        )
    context.domain_of = {each.name: each.failure_domain for each in everyone}


def _list_watchers(context):
    return [
        name
        for name, each in context.fleet.items()
        if each.watcher_index is not None
    ]


@behave.then(
    '{count:d} instances watch the store, in as many failure domains as'
    ' possible'
)
def check_watchers(context, count):
    watchers = _list_watchers(context)
    assert len(watchers) == count, watchers
    domains = {context.domain_of[name] for name in watchers}
    assert len(domains) == min(count, context.domains)


@behave.then(
    'each other instance has {low:d} to {high:d} sources, in its failure'
    ' domain or watchers'
)
def check_sources(context, low, high):
    watchers = _list_watchers(context)
    for name, each in context.fleet.items():
        found = each.list_sources()
        assert name in watchers or low <= len(found) <= high, (name, found)
        for source in found:
            same_domain = context.domain_of[source] == context.domain_of[name]
            assert same_domain or source in watchers, (name, source)


@behave.then('no instance is a source of more than {most:d} others')
def check_load(context, most):
    counts = dict.fromkeys(context.fleet, 0)
    for each in context.fleet.values():
        for source in each.list_sources():
            counts[source] += 1
    assert max(counts.values()) <= most, max(counts.values())


@behave.when('all watchers report that they lost the store')
def report_losses(context):
    context.replaced = _list_watchers(context)
    for each in context.fleet.values():
        for name in context.replaced:
            each.mark_store_lost(name)


@behave.then('the {count:d} instances that are next in rank watch')
def check_replaced(context, count):
    watchers = _list_watchers(context)
    assert len(watchers) == count, watchers
    ranking = next(iter(context.fleet.values())).list_candidates()
    assert sorted(watchers) == sorted(ranking[count : 2 * count])


@behave.then(
    'each replaced watcher calls the store again after {count:d} bound'
)
def check_retry(context, count):
    context.now += count * _BOUND_SECONDS
    for name in context.replaced:
        assert context.fleet[name].watcher_index is not None, name
    others = set(_list_watchers(context)) - set(context.replaced)
    assert len(others) == len(context.replaced), others


@behave.then('the replaced watchers watch again after {count:d} more bounds')
def check_watch_again(context, count):
    context.now += count * _BOUND_SECONDS
    assert sorted(_list_watchers(context)) == sorted(context.replaced)


@behave.when('each watcher in turn loses the store')
def lose_store_in_turn(context):
    context.past_watchers = set()
    for _ in range(len(context.fleet)):
        watchers = _list_watchers(context)
        context.past_watchers.update(watchers)
        for each in context.fleet.values():
            each.mark_store_lost(watchers[0])


@behave.then('no more than {most:d} instances have watched')
def check_past_watchers(context, most):
    assert len(context.past_watchers) <= most, len(context.past_watchers)


@behave.given(
    'changes of the store up to revision {last:d}, of which {kept:d} are kept'
)
def keep_changes(context, last, kept):
    before = changes._MAX_KEYS
    changes._MAX_KEYS = kept
    context.add_cleanup(setattr, changes, '_MAX_KEYS', before)
    context.changes = changes.Changes()
    for revision in range(1, last + 1):
        context.changes.add(
            messages.StoreEntry(
                key=f'key-{revision}',
                deleted=False,
                value=b'x',
                revision=revision,
            )
        )


@behave.then(
    'a listener at revision {known:d} is sent {first:d}, {second:d}, {third:d}'
)
def check_sent(context, known, first, second, third):
    sent = [each.revision for each in context.changes.list_since(known)]
    assert sent == [first, second, third], sent


@behave.then(
    'a listener at revision {known:d} is sent the changes after revision'
    ' {start:d}'
)
def check_start(context, known, start):
    # The start is above the listener's revision, so that the listener detects
    # that changes are missing and polls the store.
    assert known < context.changes.start == start, context.changes.start


class Store:
    """A store with one server, whose entry a poll returns as deleted."""

    def __init__(self, values):
        self._values = values

    def poll(self, prefix, *, after, wait_seconds):
        gone = keyvalue.Entry('servers/s-1', None, after + 1)
        return keyvalue.Entries([gone], after + 1)

    def read_entries(self, prefix):
        configuration = json.dumps(operated.build_configuration(1)).encode()
        server = json.dumps(self._values).encode()
        found = [
            keyvalue.Entry('op/config', configuration, 1),
            keyvalue.Entry('servers/s-1', server, 2),
        ]
        return keyvalue.Entries(found, 2)


@behave.given('an instance that lists a server and has a source')
def start_listener(context):
    context.now = 100.0
    backend = operated.Backend('s-1', service='llm')
    context.add_cleanup(backend.close)
    settings = callers.build_settings()
    staleness_limits = staleness.Staleness(settings)
    store_freshness = freshness.Freshness(clock=lambda: context.now)
    store = Store(backend.build_entry())
    counts = metrics.Metrics()
    context.directory = directory.Directory(clock=lambda: context.now)
    context.follower = following.Follower(
        staleness_limits,
        store,
        store_followers.build_entries(
            settings, store, holder.Holder(), context.directory, counts
        ),
        store_freshness,
        relaying.Relaying(
            roster.Roster(patterns.build_member('one')),
            None,
            store_freshness,
            staleness_limits,
        ),
        counts,
    )
    context.follower.step()
    assert context.directory.get('s-1') is not None


@behave.when(
    "the source reports that the store is back, and the server's entry gone"
)
def report_store_return(context):
    gone = messages.StoreEntry(
        key='servers/s-1', deleted=True, value=b'', revision=3
    )
    context.follower.receive_changes(
        'two',
        messages.StoreChanges(
            after=2, revision=3, echo=0, entries=[gone], lapse=1500
        ),
    )


@behave.then('the server stays in use')
def check_used(context):
    context.now += 1.4
    assert context.directory.get('s-1') is not None


@behave.then('the server is removed when its grace time is over')
def check_removed_late(context):
    context.now += 0.2
    assert context.directory.get('s-1') is None


@behave.when('the store refuses its call, and its source then sends {sent}')
def refuse_call(context, sent):
    follower = context.follower
    context.now += 0.1
    follower._record_failure(errors.PlatformUnavailable('connection refused'))
    context.now += 0.1
    if sent == 'an echo':
        stamp = int(context.now * 1000)
        context.now += 0.1
        follower.receive_changes(
            'two', messages.StoreChanges(after=2, revision=2, echo=stamp)
        )


@behave.when("the store answers again, and the server's entry is gone")
def answer_call(context):
    context.follower._poll('ask')


@behave.then('the server is removed at once')
def check_removed(context):
    assert context.directory.get('s-1') is None
