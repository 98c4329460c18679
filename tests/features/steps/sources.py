"""Steps about who asks the store, and who hears from whom."""

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
from bench import patterns
from tests.support import callers
from tests.support import operated

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
def build(context, count, domains):
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
        name for name, each in context.fleet.items() if each.place is not None
    ]


@behave.then(
    '{count:d} instances watch the store, in as many failure domains as there'
    ' are'
)
def check_watchers(context, count):
    watchers = _list_watchers(context)
    assert len(watchers) == count, watchers
    domains = {context.domain_of[name] for name in watchers}
    assert len(domains) == min(count, context.domains)


@behave.then(
    'each other instance hears from {low:d} to {high:d} others, near or'
    ' watching'
)
def check_sources(context, low, high):
    watchers = _list_watchers(context)
    for name, each in context.fleet.items():
        heard = each.list_sources()
        assert name in watchers or low <= len(heard) <= high, (name, heard)
        for source in heard:
            near = context.domain_of[source] == context.domain_of[name]
            assert near or source in watchers, (name, source)


@behave.then('nobody passes on to more than {most:d} others')
def check_load(context, most):
    counts = dict.fromkeys(context.fleet, 0)
    for each in context.fleet.values():
        for source in each.list_sources():
            counts[source] += 1
    assert max(counts.values()) <= most, max(counts.values())


@behave.when('all watchers say that they lost the store')
def lose(context):
    context.first = _list_watchers(context)
    for each in context.fleet.values():
        for name in context.first:
            each.note_lost(name)


@behave.then('{count:d} others watch, who are next in rank')
def check_replaced(context, count):
    watchers = _list_watchers(context)
    assert len(watchers) == count, watchers
    ranks = next(iter(context.fleet.values())).list_candidates()
    assert sorted(watchers) == sorted(ranks[count : 2 * count])


@behave.then(
    'each of the first ones tries again when {count:d} bound has passed'
)
def check_retry(context, count):
    context.now += count * _BOUND_SECONDS
    for name in context.first:
        assert context.fleet[name].place is not None, name
    others = set(_list_watchers(context)) - set(context.first)
    assert len(others) == len(context.first), others


@behave.then(
    'the first ones watch again when {count:d} bounds more have passed'
)
def check_back(context, count):
    context.now += count * _BOUND_SECONDS
    assert sorted(_list_watchers(context)) == sorted(context.first)


@behave.when('whoever watches loses the store, one after the other')
def lose_all(context):
    context.tried = set()
    for _ in range(len(context.fleet)):
        watchers = _list_watchers(context)
        context.tried.update(watchers)
        for each in context.fleet.values():
            each.note_lost(watchers[0])


@behave.then('no more than {most:d} instances have tried')
def check_tried(context, most):
    assert len(context.tried) <= most, len(context.tried)


@behave.given(
    'changes of the store up to revision {last:d}, of which {kept:d} are kept'
)
def keep(context, last, kept):
    before = changes._MOST_KEYS
    changes._MOST_KEYS = kept
    context.add_cleanup(setattr, changes, '_MOST_KEYS', before)
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
    'one who knows all up to revision {known:d} is told {first:d}, {second:d},'
    ' {third:d}'
)
def check_told(context, known, first, second, third):
    told = [each.revision for each in context.changes.list_since(known)]
    assert told == [first, second, third], told


@behave.then(
    'one who knows all up to revision {known:d} is told from revision'
    ' {start:d} on'
)
def check_start(context, known, start):
    # More than it knows: it sees that something is missing, and asks.
    assert known < context.changes.start == start, context.changes.start


class Source:
    """A store that is read once, with one server."""

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


@behave.given('an instance that lists a server and hears from a source')
def listen(context):
    context.now = 100.0
    backend = operated.Backend('s-1', service='llm')
    context.add_cleanup(backend.close)
    settings = callers.build_settings()
    waits = staleness.Staleness(settings)
    fresh = freshness.Freshness(clock=lambda: context.now)
    store = Source(backend.build_entry())
    counts = metrics.Metrics()
    context.directory = directory.Directory(clock=lambda: context.now)
    context.follower = following.Follower(
        waits,
        store,
        entries.Entries(
            holder.Holder(),
            context.directory,
            instances.StoredInstances(settings, store, follows=True),
            quarantined.StoredQuarantine(
                settings, store, quarantine.Quarantine()
            ),
            counts,
        ),
        fresh,
        relaying.Relaying(
            roster.Roster(patterns.build_member('one')), None, fresh, waits
        ),
        counts,
    )
    context.follower.step()
    assert context.directory.get('s-1') is not None


@behave.when(
    "the source tells that the store came back, and the server's entry is gone"
)
def come_back(context):
    gone = messages.StoreEntry(
        key='servers/s-1', deleted=True, value=b'', revision=3
    )
    context.follower.take_changes(
        'two',
        messages.StoreChanges(
            after=2, revision=3, echo=0, entries=[gone], lapse=1500
        ),
    )


@behave.then('the server stays in use')
def check_used(context):
    context.now += 1.4
    assert context.directory.get('s-1') is not None


@behave.then('it is gone when its time to come back is over')
def check_gone(context):
    context.now += 0.2
    assert context.directory.get('s-1') is None


@behave.when('the store fails it, and its source tells {told} meanwhile')
def fail_alone(context, told):
    follower = context.follower
    context.now += 0.1
    follower._note_loss(errors.PlatformUnavailable('turned away'))
    context.now += 0.1
    if told == 'news':
        stamp = int(context.now * 1000)
        context.now += 0.1
        follower.take_changes(
            'two', messages.StoreChanges(after=2, revision=2, echo=stamp)
        )


@behave.when("the store answers it, and the server's entry is gone")
def answer_alone(context):
    context.follower._poll('ask')


@behave.then('the server is out at once')
def check_out(context):
    assert context.directory.get('s-1') is None
