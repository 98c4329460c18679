"""Steps about the guarantees of a fleet of real processes."""

import pathlib
import tempfile
import time

import behave

from bench import deployments
from bench import fleet
from bench import records
from tests.support import promises

_ACCOUNTS = ['account-1', 'account-2', 'account-3']
_CALLERS_PER_ROUTER = 2
_ANSWER_TOKENS = 60
# An engine generates this for three seconds, which is longer than
# `shutdown.notice_seconds` of a router.
_LONG_ANSWER_TOKENS = 600
_SLOTS = 4
# About a third of the defaults, to limit the duration of a scenario.
_SETTINGS = {
    'shutdown': {'notice_seconds': 1.0},
    'members': {
        'probe_seconds': 0.3,
        'probe_timeout_seconds': 0.2,
        'suspect_seconds': 0.9,
    },
    'links': {'lost_seconds': 2.0},
}


@behave.given('a process fleet')
def start_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.process_fleet = fleet.Fleet(
        deployments.build_small_deployment(routers=3, slots=_SLOTS),
        pathlib.Path(folder.name),
        settings=_SETTINGS,
        through_proxy=True,
    )
    context.process_fleet.__enter__()
    context.add_cleanup(context.process_fleet.__exit__)
    promises.wait_until(lambda: _has_full_membership(context.process_fleet))


def _has_full_membership(running_fleet):
    names = set(running_fleet.routers)
    return all(
        promises.list_alive_members(router) == names
        for router in running_fleet.routers.values()
    )


@behave.given('a process fleet under load of {count:d} accounts')
def start_loaded_fleet(context, count):
    start_fleet(context)
    _start_load(context, _ACCOUNTS[:count])


def _start_load(context, accounts):
    context.load = promises.Load(
        context.process_fleet,
        accounts=accounts,
        callers=_CALLERS_PER_ROUTER,
        length=_ANSWER_TOKENS,
    )
    context.add_cleanup(context.load.stop)
    for router in context.process_fleet.routers.values():
        _wait_for_answers(context, [router.callers], 0.0)


def _wait_for_answers(context, entries, since, *, count=3):
    load = context.load
    promises.wait_until(
        lambda: (
            load.count(records.DONE, entries=entries, since=since) >= count
        ),
        lambda: promises.describe_records(
            load.select(entries=entries, since=since)
        ),
    )


def _list_engines(context):
    backends = context.process_fleet.backends
    return [each for name, each in backends.items() if 'engine' in name]


@behave.when('a dispatching router of the process fleet is killed')
def kill_dispatcher(context):
    running_fleet = context.process_fleet
    owners = [
        name
        for name, router in running_fleet.routers.items()
        if any(
            'engine' in str(server)
            for server in promises.read_status(router)['owned_servers']
        )
    ]
    assert owners, 'no router dispatches to an engine'
    context.killed = owners[0]
    running_fleet.kill(context.killed)
    context.killed_at = time.monotonic()
    context.others = [
        router
        for name, router in running_fleet.routers.items()
        if name != context.killed
    ]


@behave.then(
    'callers at the other routers of the process fleet got complete answers'
)
def check_answers_at_other_routers(context):
    others = [router.callers for router in context.others]
    names = {router.name for router in context.others}
    for router in context.others:
        promises.wait_until(
            lambda router=router: promises.list_alive_members(router) == names
        )
        _wait_for_answers(context, [router.callers], context.killed_at)
    found = context.load.select(entries=others)
    wrong_answers = [
        each
        for each in found
        if each.outcome in (records.WRONG, records.FAILED)
    ]
    assert not wrong_answers, promises.describe_records(wrong_answers)


@behave.then('all slots of the process fleet are in use again')
def check_slots(context):
    def is_full():
        return all(
            engine.read_stats()['running'] == _SLOTS
            for engine in _list_engines(context)
        )

    promises.wait_until(is_full)
    context.load.stop()


@behave.then(
    'no engine of the process fleet got more than its slots and the grants '
    'of one router'
)
def check_engine_load(context):
    # The new dispatcher may not know the slots that the former one had
    # granted. It may therefore grant each slot at most once more.
    for engine in _list_engines(context):
        stats = engine.read_stats()
        assert stats['max_running'] <= _SLOTS, stats
        assert stats['max_waiting'] <= _SLOTS, stats


def _count_executions(context):
    stats = context.process_fleet.backends['bookings-1'].read_stats()
    # The service also counts the routers' load queries, under an empty name.
    # Each booking of these callers has a name.
    return {
        name: executions
        for name, executions in stats['executions'].items()
        if name
    }


def _book(context, router, booking):
    address = context.process_fleet.routers[router].callers
    return promises.book(address, booking, key=f'key-of-{booking}')


@behave.given(
    'the booking server of the process fleet executes a booking and never '
    'answers'
)
def hang_booking(context):
    context.process_fleet.backends['bookings-1'].fail('hang_after', count=1)


@behave.when(
    'a caller of the process fleet sends a booking, and its router is killed'
)
def book_and_kill(context):
    first = promises.BackgroundCall(_book, context, 'router-2', 'b-1')
    promises.wait_until(lambda: _count_executions(context).get('b-1'))
    context.process_fleet.kill('router-2')
    assert isinstance(first.wait(), Exception), first.result


@behave.then(
    'retries at another router of the process fleet end with "{code}"'
)
def retry_booking(context, code):
    answers = []

    def send_booking():
        answers.append(_book(context, 'router-3', 'b-1'))
        return answers[-1].code == code

    promises.wait_until(send_booking, lambda: answers)
    assert {each.code for each in answers} <= {'in_progress', code}, answers
    assert not any(each.not_run for each in answers), answers


@behave.then('the booking at the process fleet was executed exactly once')
def check_single_execution(context):
    assert _count_executions(context) == {'b-1': 1}, _count_executions(context)


@behave.when(
    'the key-value service of the process fleet loses its answers during '
    '{count:d} bookings'
)
def book_with_lost_answers(context, count):
    context.process_fleet.key_value.fail('lose_answers')
    context.answers = {}
    for index in range(count):
        booking = f'b-{index}'
        context.answers[booking] = [
            (_book(context, router, booking), _count_executions(context))
            for router in ('router-1', 'router-2', 'router-3')
        ]
    context.process_fleet.key_value.fail('up')


@behave.then(
    'each answer to the bookings at the process fleet is correct, and no '
    'booking was executed twice'
)
def check_booking_answers(context):
    for booking, answers in context.answers.items():
        before = 0
        for answer, counts in answers:
            executions = counts.get(booking, 0)
            found = booking, answers
            assert executions <= 1, found
            if answer.status == 200:
                assert (before, executions) == (0, 1), found
            elif answer.not_run:
                assert executions == before, found
            elif answer.status == 409:
                assert before == executions == 1, found
            before = executions


@behave.when(
    'the key-value service of the process fleet is down during {count:d} '
    'bookings'
)
def book_without_service(context, count):
    context.process_fleet.key_value.fail('down')
    context.bookings = [f'b-{index}' for index in range(count)]
    context.answers = [
        _book(context, 'router-1', each) for each in context.bookings
    ]


@behave.then(
    'each booking at the process fleet was refused as not run, and none '
    'was executed'
)
def check_refused_bookings(context):
    for answer in context.answers:
        found = answer.status, answer.code, answer.not_run
        assert found == (503, 'claims_unavailable', True), found
        assert answer.retry_after, answer
    assert _count_executions(context) == {}, _count_executions(context)


@behave.when(
    'the key-value service of the process fleet recovers and the bookings '
    'are retried'
)
def retry_with_service(context):
    context.process_fleet.key_value.fail('up')
    for booking in context.bookings:
        promises.wait_until(
            lambda each=booking: _book(context, 'router-3', each).status == 200
        )


@behave.then('each booking at the process fleet was executed exactly once')
def check_executions_after_retry(context):
    once = dict.fromkeys(context.bookings, 1)
    assert _count_executions(context) == once, _count_executions(context)


@behave.given('long answers in progress at every router of the process fleet')
def start_long_answers(context):
    context.load = promises.Load(
        context.process_fleet,
        accounts=_ACCOUNTS[:2],
        callers=1,
        length=_LONG_ANSWER_TOKENS,
        once=True,
    )
    count = 2 * len(context.process_fleet.routers)
    promises.wait_until(
        lambda: (
            len(context.load.records) == count
            and all(each.tokens for each in context.load.records)
        )
    )


@behave.when('a router of the process fleet receives SIGTERM')
def stop_router(context):
    context.process_fleet.begin_stop('router-1')


@behave.then(
    'the stopping router of the process fleet refuses new requests as not run'
)
def check_refusals(context):
    answers = []

    def send_booking():
        answers.append(_book(context, 'router-1', f'new-{len(answers)}'))
        return getattr(answers[-1], 'code', '') == 'stopping'

    promises.wait_until(send_booking, lambda: answers)
    refusal = answers.pop()
    assert (refusal.status, refusal.not_run) == (503, True), refusal
    assert refusal.retry_after, refusal
    assert all(each.status == 200 for each in answers), answers
    executions = _count_executions(context)
    assert set(executions) == {f'new-{i}' for i in range(len(answers))}, (
        executions
    )


@behave.then(
    'the stopping router of the process fleet exits with code 0, with all '
    'answers complete'
)
def check_graceful_end(context):
    code = context.process_fleet.routers['router-1'].process.wait(60)
    context.load.wait()
    found = context.load.records
    assert code == 0, code
    assert all(each.outcome == records.DONE for each in found), (
        promises.describe_records(found)
    )


@behave.when(
    'a router of the process fleet is paused until its peers declare it dead'
)
def pause_router(context):
    running_fleet = context.process_fleet
    running_fleet.pause('router-2')
    others = {'router-1', 'router-3'}
    for name in others:
        promises.wait_until(
            lambda each=running_fleet.routers[name]: (
                promises.list_alive_members(each) == others
            )
        )


@behave.when(
    'a booking waits at the paused router of the process fleet and is '
    'retried at another'
)
def book_at_paused(context):
    context.first = promises.BackgroundCall(_book, context, 'router-2', 'b-1')
    context.second = _book(context, 'router-3', 'b-1')
    assert context.second.status == 200, context.second


@behave.when('an operator of the process fleet submits a new version')
def submit_version(context):
    document = context.process_fleet.deployment.document
    document['client_accounts'][0]['share'] = 9
    _submit(context)


def _submit(context):
    running_fleet = context.process_fleet
    routers = list(running_fleet.routers.values())
    context.versions = promises.VersionWatch(routers)
    context.add_cleanup(context.versions.stop)
    running_fleet.submit(base=1)
    promises.wait_until(
        lambda: promises.read_status(routers[0])['version'] == 2
    )


@behave.when('the paused router of the process fleet resumes')
def resume_router(context):
    context.process_fleet.resume('router-2')


@behave.then(
    'the booking that waited at the paused router was not executed again'
)
def check_waiting_booking(context):
    first = context.first.wait()
    assert (first.status, first.code) == (409, 'already_done'), first
    check_single_execution(context)


@behave.then(
    'every router of the process fleet reaches version {version:d}, and '
    'none reverts to an older one'
)
def check_versions(context, version):
    routers = context.process_fleet.routers.values()

    def read_versions():
        return [promises.read_status(each)['version'] for each in routers]

    promises.wait_until(
        lambda: set(read_versions()) == {version}, read_versions
    )
    versions = context.versions.observed
    promises.wait_until(
        lambda: all(each[-1:] == [version] for each in versions.values()),
        lambda: versions,
    )
    context.versions.stop()
    for versions in context.versions.observed.values():
        # 0 means that the router has restarted without state and is not yet
        # ready.
        ready_versions = [each for each in versions if each]
        assert ready_versions == sorted(ready_versions), (
            context.versions.observed
        )


@behave.then(
    'every caller of the process fleet got complete answers to its own '
    'requests'
)
def check_all_answers(context):
    since = time.monotonic()
    for router in context.process_fleet.routers.values():
        _wait_for_answers(context, [router.callers], since)
    context.load.stop()
    wrong_answers = [
        each
        for each in context.load.records
        if each.outcome not in (records.DONE, records.REFUSED)
    ]
    assert not wrong_answers, promises.describe_records(wrong_answers)


@behave.when(
    'the process fleet is partitioned until each side sees only its own '
    'routers alive'
)
def partition(context):
    running_fleet = context.process_fleet
    sides = {'router-1'}, {'router-2', 'router-3'}
    running_fleet.network.partition(sides[0])
    for side in sides:
        for name in side:
            promises.wait_until(
                lambda each=running_fleet.routers[name], side=side: (
                    promises.list_alive_members(each) == side
                )
            )
    context.partitioned_at = time.monotonic()


@behave.then('both sides of the process fleet give complete answers')
def check_both_sides(context):
    for router in context.process_fleet.routers.values():
        _wait_for_answers(context, [router.callers], context.partitioned_at)


@behave.when('the partition of the process fleet ends')
def end_partition(context):
    context.process_fleet.network.heal()


@behave.then('every router of the process fleet sees all routers alive again')
def check_full_membership(context):
    promises.wait_until(lambda: _has_full_membership(context.process_fleet))


@behave.when(
    'a router of the process fleet restarts with the key-value service down'
)
def restart_without_service(context):
    context.process_fleet.key_value.fail('down')
    context.process_fleet.kill('router-3')
    context.process_fleet.restart('router-3')
    context.process_fleet.wait_until_ready(['router-3'])


@behave.then(
    'the restarted router of the process fleet gives complete answers'
)
def check_restarted(context):
    context.load = promises.Load(
        context.process_fleet,
        accounts=_ACCOUNTS[:1],
        callers=1,
        length=_ANSWER_TOKENS,
    )
    context.add_cleanup(context.load.stop)
    check_all_answers(context)


@behave.when('an operator of the process fleet marks an engine as leaving')
def mark_leaving(context):
    servers = context.process_fleet.deployment.document['backend_servers']
    servers_by_name = {server['name']: server for server in servers}
    servers_by_name['engine-2']['leaving'] = True
    _submit(context)


@behave.then(
    'the leaving engine of the process fleet finishes its requests and '
    'gets no more'
)
def check_leaving(context):
    engine = context.process_fleet.backends['engine-2']
    promises.wait_until(
        lambda: not engine.read_stats()['running'], engine.read_stats
    )
    before, since = engine.read_stats()['requests'], time.monotonic()
    assert before, 'the engine received no request before it left'
    for router in context.process_fleet.routers.values():
        _wait_for_answers(context, [router.callers], since, count=6)
    assert engine.read_stats()['requests'] == before
