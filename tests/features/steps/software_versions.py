"""Steps about engines of several software versions side by side."""

import time
import tracemalloc
from unittest import mock

import behave
import gevent

from amaranthslip.capacity import software
from amaranthslip import errors
from amaranthslip.platform import softwareversions
from amaranthslip.requests import stream_versions
from tests.support import exchanges
from tests.support import operated
from tests.support import parted_fleet
from tests.support import rollout
from tests.support import stream_fleet

_BOUNDS = {'revoke_milliseconds': 60000, 'apply_milliseconds': 30000}
_MAX_ATTEMPTS = 12
_MAX_CLIENTS = 200


@behave.given(
    '{count:d} instances in front of engines of the versions "{versions}"'
)
def start_fleet(context, count, versions):
    context.sides = []
    for number in range(count):
        side = operated.InstanceFixture(
            platform_of=context.sides[0] if context.sides else None,
            bounds=_BOUNDS | {'retry_slack': 1000},
            instance={'name': f'e{number}'},
        )
        context.add_cleanup(side.close)
        context.sides.append(side)
    first = context.sides[0]
    first.configure()
    context.engines = [
        rollout.Engine(f'llm-{number}', version)
        for number, version in enumerate(versions.split())
    ]
    for engine in context.engines:
        first.register(engine)
    for side in context.sides:
        side.start()
    for side in context.sides:
        side.wait_for_members(count)
        _wait_until_recorded(side, set(versions.split()))


def _wait_until_recorded(side, versions):
    history = side.instance._directory.software
    exchanges.wait_until(
        lambda: (
            history.find_outdated('llm') is None
            and all(history.is_recorded('llm', each) for each in versions)
        )
    )


@behave.given('each engine breaks off each stream after {count:d} more events')
def break_off(context, count):
    for engine in context.engines:
        engine.events_per_run = count


@behave.when(
    'all instances are killed at once, and the store {keeps} their entries'
)
def kill_all(context, keeps):
    for side in context.sides:
        side.instance.close()
    first = context.sides[0]
    if keeps == 'loses':
        first.lose_leased_entries()
    # The fixture that owns the store and the engines stays open.
    context.sides = [
        operated.InstanceFixture(
            platform_of=first,
            bounds=_BOUNDS | {'retry_slack': 1000},
            instance={'name': f'e{number}'},
        )
        for number in range(len(context.sides))
    ]
    for side in context.sides:
        context.add_cleanup(side.close)
        side.start()
    for side in context.sides:
        side.wait_for_members(len(context.sides))


@behave.when(
    'they take their streams up, and {name} the attempt that began them'
)
def take_up_named(context, name):
    for client in context.clients:
        client.names_attempt = name == 'name'
    _take_up(context, context.sides)


def _begin(context, count, sides):
    context.clients = [
        rollout.Client(f'client-{number}') for number in range(count)
    ]
    for number, client in enumerate(context.clients):
        for _ in range(_MAX_ATTEMPTS):
            client.send_attempt(sides[number % len(sides)])
            if not client.wait_as_told():
                break


def _take_up(context, sides):
    for number, client in enumerate(context.clients):
        for attempt in range(1, _MAX_ATTEMPTS):
            if client.complete:
                break
            client.send_attempt(sides[(number + attempt) % len(sides)])
            client.wait_as_told()


@behave.when('{count:d} clients request a stream, each once')
def request_once(context, count):
    _begin(context, count, context.sides)


@behave.when(
    '{count:d} clients request a stream, and take it up at the next instance'
    ' until it ends'
)
def request_and_take_up(context, count):
    _begin(context, count, context.sides)
    _take_up(context, context.sides)


@behave.when('clients request streams until some have begun at each version')
def request_each_version(context):
    wanted = {engine.version for engine in context.engines}
    context.clients = []
    while {v for each in context.clients for v in each.versions} != wanted:
        number = len(context.clients)
        assert number < _MAX_CLIENTS, 'a version gets no streams'
        client = rollout.Client(f'client-{number}')
        client.send_attempt(context.sides[number % len(context.sides)])
        context.clients.append(client)


@behave.when('the unfinished streams are recorded')
def record_streams(context):
    for side in context.sides:
        side.instance._stream_recorder.update()


@behave.given('a fleet whose service has two versions')
def start_two_versions(context):
    context.fleet = stream_fleet.Fleet(1, 4)
    context.fleet.replace_engine()
    context.fleet.sync()


@behave.when('equal requests begin at {versions} at different instances')
def begin_equal(context, versions):
    for name, version in zip(('e0', 'e1'), versions.split(' and ')):
        context.fleet.running[name].versions.note_begun(
            f'attempt-{name}',
            stream_fleet.SERVICE,
            version,
            request_key=stream_versions.build_request_key(b'equal'),
        )


@behave.when('all instances are killed and {when} restarted')
def restart_fleet(context, when):
    context.fleet.sync()
    context.fleet.restart_all()


@behave.then('without the attempt, each instance knows {version}')
def check_request(context, version):
    for instance in context.fleet.running.values():
        record = instance.versions.find(
            '',
            stream_fleet.SERVICE,
            request_key=stream_versions.build_request_key(b'equal'),
        )
        found = 'none' if record is None else record.software_version
        assert found == version, (instance.name, found)


@behave.given('the records of an instance')
def start_records(context):
    context.fleet = stream_fleet.Fleet(1, 1)
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)


@behave.when(
    '{count:d} streams begin whose attempts have {length:d} characters'
)
def begin_long(context, count, length):
    versions = context.fleet.running['e0'].versions
    for number in range(count):
        context.attempt = f'{number}'.zfill(length)
        versions.note_begun(context.attempt, stream_fleet.SERVICE, 'v1')


@behave.then('the last of these streams is known')
def check_last_known(context):
    versions = context.fleet.running['e0'].versions
    record = versions.find(context.attempt, stream_fleet.SERVICE)
    assert record is not None and not record.inferred


@behave.when('{count:d} clients request a stream from the first instance')
def request_from_first(context, count):
    _begin(context, count, context.sides[:1])


@behave.when('the first instance is killed')
def kill_first(context):
    context.sides[0].instance.close()


@behave.when('they take their streams up at the others until they end')
def take_up_elsewhere(context):
    _take_up(context, context.sides[1:])


@behave.when('they take their streams up')
def take_up(context):
    _take_up(context, context.sides)


@behave.given("the store's records can't be written")
def block_records(context):
    context.record_writes = mock.patch.object(
        softwareversions.StoredVersions,
        'write',
        side_effect=errors.PlatformUnavailable('a test refuses the write'),
    )
    # What was listed at the start is recorded first.
    for side in context.sides:
        exchanges.wait_until(
            lambda: (
                side.instance._directory.software.find_outdated('llm') is None
            )
        )
    context.record_writes.start()


@behave.when("the store's records can be written again")
def unblock_records(context):
    context.record_writes.stop()


@behave.when('an engine of "{version}" is added')
def add_engine(context, version):
    engine = rollout.Engine('llm-added', version)
    context.engines.append(engine)
    context.sides[0].register(engine)
    for side in getattr(context, 'followers', context.sides):
        side.wait_until_synced()


@behave.then('all streams began at "{version}"')
def check_began(context, version):
    versions = [each.versions for each in context.clients]
    assert versions == [{version}] * len(versions), versions


@behave.then('clients get streams at "{version}" too')
def check_used(context, version):
    def use():
        client = rollout.Client(f'later-{len(context.clients)}')
        context.clients.append(client)
        client.send_attempt(context.sides[0])
        return version in client.versions

    exchanges.wait_until(use)


@behave.then('no stream has events of two versions')
def check_one_version(context):
    mixed = [
        (client.name, client.events)
        for client in context.clients
        if len(client.versions) > 1
    ]
    assert not mixed, mixed


@behave.then('every stream reached event {number:d}')
def check_reached(context, number):
    for client in context.clients:
        statuses = [each.status for each in client.answers]
        assert client.last_event == number, (client.events, statuses)


def _count_requests(context):
    return sum(len(engine.requests) for engine in context.engines)


@behave.when('a client takes up a stream that no instance knows')
def take_up_unknown(context):
    context.requests_before = _count_requests(context)
    context.answers = [
        side.send_request(
            '/chat/x',
            attempt=f'unknown-{number}',
            Resumes='unknown',
            Last_Event_Id='5',
        )
        for number, side in enumerate(context.sides)
    ]


def _check_refused(answers, code):
    for answer in answers:
        assert answer.status == 503, answer.data
        assert answer.error['code'] == code, answer.data
        assert answer.error['not_run'] is True


@behave.then('it is refused at each instance as "{code}", and was not run')
def check_unknown_refused(context, code):
    _check_refused(context.answers, code)
    assert _count_requests(context) == context.requests_before


@behave.when('the first instance is replaced by a new process')
def replace_first(context):
    old, *others = context.sides
    old.instance.close()
    side = operated.InstanceFixture(
        platform_of=old, bounds=_BOUNDS, instance={'name': 'e0'}
    )
    context.add_cleanup(side.close)
    side.start()
    context.sides = [side, *others]
    for each in context.sides:
        each.wait_for_members(len(context.sides))


@behave.when(
    'a client takes up a stream that no instance knows, or names none'
)
def take_up_unnamed(context):
    take_up_unknown(context)
    context.answers += [
        side.send_request(
            '/chat/x', attempt=f'unnamed-{number}', Last_Event_Id='5'
        )
        for number, side in enumerate(context.sides)
    ]


@behave.given(
    'the histories of three instances of a service that had "{old}" and has'
    ' "{new}"'
)
def build_histories(context, old, new):
    context.now = 0.0
    context.histories = []
    for _ in range(3):
        history = software.SoftwareHistory(clock=lambda: context.now)
        history.begin(first_of_fleet=True)
        for version in (old, new):
            history.add(stream_fleet.build_engine('i', 1, version))
        history.drop(stream_fleet.build_engine('i', 1, old))
        context.histories.append(history)


@behave.when(
    'they tell each other what they know, every {step:d} s for {total:d} s'
)
def exchange_histories(context, step, total):
    while context.now < total:
        context.now += step
        for sender in context.histories:
            for receiver in context.histories:
                receiver.merge(
                    stream_fleet.SERVICE,
                    sender.read_ages(stream_fleet.SERVICE),
                    sender.read_covered_seconds(stream_fleet.SERVICE),
                )


@behave.then('each knows "{version}" as the only version')
def check_only_version(context, version):
    for history in context.histories:
        found = history.find_only_version(stream_fleet.SERVICE)
        assert found == version, found


@behave.then('it goes on at each instance')
def check_goes_on(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.complete, answer.data
        assert operated.read_ids(answer) == [6, 7, 8, 9]


@behave.when('the engines of "{version}" are removed')
def remove_engines(context, version):
    for engine in context.engines:
        if engine.version == version:
            context.sides[0].remove_entry(engine.name)
    # An instance that missed an answer of the store just before keeps servers
    # whose entries are missing for two seconds.
    for side in context.sides:
        exchanges.wait_until(lambda: not _uses_version(side, version, context))


def _uses_version(side, version, context):
    removed = {
        each.name for each in context.engines if each.version == version
    }
    listed = {each['name'] for each in side.read_status()['backend_servers']}
    return bool(listed & removed)


@behave.then(
    'what began at "{version}" is refused at each instance as "{code}", and'
    ' was not run'
)
def check_gone_refused(context, version, code):
    affected = [each for each in context.clients if each.versions == {version}]
    assert affected, 'no stream began at this version'
    requests_before = _count_requests(context)
    for client in affected:
        for side in context.sides:
            client.send_attempt(side)
            _check_refused(client.answers[-1:], code)
    assert _count_requests(context) == requests_before


@behave.when(
    'each engine is replaced at its address by one of "{version}", whose entry'
    ' is delayed'
)
def replace_at_address(context, version):
    for engine in context.engines:
        engine.name = f'{engine.name}-new'
        engine.version = version


@behave.when(
    '{runs:d} random histories of {count:d} instances and engines of new'
    ' versions are played'
)
def play_histories(context, runs, count):
    context.results = []
    # Lost messages are not waited for.
    with mock.patch.object(stream_versions, '_ANSWER_TIMEOUT_SECONDS', 0.0):
        for seed in range(runs):
            fleet = stream_fleet.Fleet(seed, count)
            fleet.run(120)
            context.results += [(seed, *each) for each in fleet.results]


def _play_parted(context, runs, **options):
    context.results = []
    # Lost messages are not waited for.
    with mock.patch.object(stream_versions, '_ANSWER_TIMEOUT_SECONDS', 0.0):
        for seed in range(runs):
            fleet = parted_fleet.Fleet(seed, **options).play()
            context.results += [(seed, *each) for each in fleet.results]


@behave.when(
    '{runs:d} random histories of instances that are out of step during a'
    ' rollout are played'
)
def play_parted_histories(context, runs):
    _play_parted(context, runs)


@behave.when(
    '{runs:d} random histories of equal requests during a rollout are played'
)
def play_equal_requests(context, runs):
    _play_parted(context, runs, parted=False, equal_fraction=0.3)


@behave.then(
    'every stream that began before the rollout was known where the list was'
    ' recent'
)
def check_all_known(context):
    found = [found for _, found, _, easy in context.results if easy]
    assert found and None not in found, (found.count(None), len(found))


@behave.when('the first instance stops following the store')
def stop_following(context):
    context.sides[0].instance._follower.close()
    context.followers = context.sides[1:]


@behave.when(
    'clients request streams from the second instance, and {name} the attempt'
    ' when they take them up at the first, for {seconds:d} seconds'
)
def request_while_behind(context, name, seconds):
    behind, other = context.sides
    context.clients = []
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        client = rollout.Client(f'client-{len(context.clients)}')
        client.names_attempt = name == 'name'
        client.send_attempt(other)
        if client.events:
            client.send_attempt(behind)
        context.clients.append(client)
        gevent.sleep(0.02)


@behave.then('some of these streams began at "{version}"')
def check_some_began(context, version):
    began = {each.events[0][1] for each in context.clients if each.events}
    assert version in began, began


@behave.then('what the first instance refused was not run')
def check_refused(context):
    for client in context.clients:
        if client.answers[-1].status != 200:
            assert client.answers[-1].status == 503, client.answers[-1]
            assert b'"not_run": true' in client.answers[-1].body


@behave.then('no stream was said to have begun at another version')
def check_histories(context):
    wrong = [
        (seed, found, began)
        for seed, found, began, _ in context.results
        if found not in (None, began)
    ]
    assert not wrong, (len(wrong), wrong[:5])


@behave.then(
    'in touch, at least half of the streams that were taken up are known'
)
def check_known(context):
    found = [found for _, found, _, in_touch in context.results if in_touch]
    known = sum(each is not None for each in found)
    assert known >= 0.5 * len(found), (known, len(found))


@behave.given(
    'the history of an instance that lists "{listed}", where the store records'
    ' "{recorded}"'
)
def build_history(context, listed, recorded):
    context.now = 1000.0
    context.history = software.SoftwareHistory(
        read_settle_seconds=lambda: 2.0, clock=lambda: context.now
    )
    context.history.add(stream_fleet.build_engine('llm-1', 1, listed))
    context.history.record(stream_fleet.SERVICE, recorded.split())
    context.history.begin(first_of_fleet=False)


@behave.when('the record is lost, and {seconds:d} seconds pass')
def lose_record(context, seconds):
    context.history.forget_record(stream_fleet.SERVICE)
    context.now += seconds


@behave.then('the versions "{versions}" are to be recorded')
def check_outdated(context, versions):
    found = context.history.find_outdated(stream_fleet.SERVICE)
    assert found == frozenset(versions.split()), found
