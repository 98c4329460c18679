"""Steps about what always holds, on a fleet of real processes."""

import pathlib
import tempfile
import time

import behave

from bench import deployments
from bench import fleet
from bench import records
from tests.support import promises

_ACCOUNTS = ['account-1', 'account-2', 'account-3']
_CALLERS = 2
_LENGTH = 60
# Three seconds of an engine, longer than a stopping router's notice.
_LONG_LENGTH = 600
_SLOTS = 4
# About a third of the defaults, so that a scenario takes seconds.
_SETTINGS = {
    'shutdown': {'notice_seconds': 1.0},
    'members': {
        'probe_seconds': 0.3,
        'probe_timeout_seconds': 0.2,
        'suspect_seconds': 0.9,
    },
    'links': {'lost_seconds': 2.0},
}


@behave.given("a promises' fleet")
def start_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.promises = fleet.Fleet(
        deployments.build_small_deployment(routers=3, slots=_SLOTS),
        pathlib.Path(folder.name),
        settings=_SETTINGS,
        through_proxy=True,
    )
    context.promises.__enter__()
    context.add_cleanup(context.promises.__exit__)
    promises.wait_until(lambda: _is_whole(context.promises))


def _is_whole(running):
    names = set(running.routers)
    return all(
        promises.list_live(router) == names
        for router in running.routers.values()
    )


@behave.given("a promises' fleet under load of {count:d} accounts")
def start_loaded_fleet(context, count):
    start_fleet(context)
    _start_load(context, _ACCOUNTS[:count])


def _start_load(context, accounts):
    context.load = promises.Load(
        context.promises, accounts=accounts, callers=_CALLERS, length=_LENGTH
    )
    context.add_cleanup(context.load.stop)
    for router in context.promises.routers.values():
        _wait_for_answers(context, [router.callers], 0.0)


def _wait_for_answers(context, entries, since, *, count=3):
    load = context.load
    promises.wait_until(
        lambda: (
            load.count(records.DONE, entries=entries, since=since) >= count
        ),
        lambda: promises.describe(load.select(entries=entries, since=since)),
    )


def _list_engines(context):
    backends = context.promises.backends
    return [each for name, each in backends.items() if 'engine' in name]


@behave.when("the promises' fleet loses a router that dispatches")
def kill_dispatcher(context):
    running = context.promises
    owners = [
        name
        for name, router in running.routers.items()
        if any(
            'engine' in str(server)
            for server in promises.read_status(router)['owned_servers']
        )
    ]
    assert owners, 'no router owns an engine'
    context.killed = owners[0]
    running.kill(context.killed)
    context.killed_at = time.monotonic()
    context.others = [
        router
        for name, router in running.routers.items()
        if name != context.killed
    ]


@behave.then(
    "callers at the other routers of the promises' fleet got whole answers"
)
def check_other_answers(context):
    others = [router.callers for router in context.others]
    names = {router.name for router in context.others}
    for router in context.others:
        promises.wait_until(
            lambda router=router: promises.list_live(router) == names
        )
        _wait_for_answers(context, [router.callers], context.killed_at)
    found = context.load.select(entries=others)
    wrong = [
        each
        for each in found
        if each.outcome in (records.WRONG, records.FAILED)
    ]
    assert not wrong, promises.describe(wrong)


@behave.then("all slots of the promises' fleet come into use again")
def check_slots(context):
    def is_full():
        return all(
            engine.read_stats()['running'] == _SLOTS
            for engine in _list_engines(context)
        )

    promises.wait_until(is_full)
    context.load.stop()


@behave.then(
    "no engine of the promises' fleet got more than its slots and the grants "
    'of one router'
)
def check_overlap(context):
    # The new dispatcher may not yet know what the former one had granted:
    # at most once more the slots.
    for engine in _list_engines(context):
        stats = engine.read_stats()
        assert stats['max_running'] <= _SLOTS, stats
        assert stats['max_waiting'] <= _SLOTS, stats


def _count_runs(context):
    stats = context.promises.backends['bookings-1'].read_stats()
    # The service counts the routers' questions for its load, too, under no
    # name; every booking of these callers has one.
    return {name: runs for name, runs in stats['executions'].items() if name}


def _book(context, router, booking):
    address = context.promises.routers[router].callers
    return promises.book(address, booking, key=f'key-of-{booking}')


@behave.given(
    "the promises' booking server runs a booking without ever answering"
)
def hang_booking(context):
    context.promises.backends['bookings-1'].fail('hang_after', count=1)


@behave.when("a caller of the promises' fleet books, and its router is killed")
def book_and_kill(context):
    first = promises.Background(_book, context, 'router-2', 'b-1')
    promises.wait_until(lambda: _count_runs(context).get('b-1'))
    context.promises.kill('router-2')
    assert isinstance(first.wait(), Exception), first.result


@behave.then(
    'retries at another router of the promises\' fleet end with "{code}"'
)
def retry_booking(context, code):
    answers = []

    def ask():
        answers.append(_book(context, 'router-3', 'b-1'))
        return answers[-1].code == code

    promises.wait_until(ask, lambda: answers)
    assert {each.code for each in answers} <= {'in_progress', code}, answers
    assert not any(each.not_run for each in answers), answers


@behave.then("the promises' booking ran exactly once")
def check_one_run(context):
    assert _count_runs(context) == {'b-1': 1}, _count_runs(context)


@behave.when(
    "the promises' key-value service loses its answers during {count:d} "
    'bookings'
)
def book_with_lost_answers(context, count):
    context.promises.key_value.fail('lose_answers')
    context.answers = {}
    for index in range(count):
        booking = f'b-{index}'
        context.answers[booking] = [
            (_book(context, router, booking), _count_runs(context))
            for router in ('router-1', 'router-2', 'router-3')
        ]
    context.promises.key_value.fail('up')


@behave.then(
    "each answer of the promises' bookings is true, and none ran twice"
)
def check_true_answers(context):
    for booking, answers in context.answers.items():
        before = 0
        for answer, counts in answers:
            runs = counts.get(booking, 0)
            found = booking, answers
            assert runs <= 1, found
            if answer.status == 200:
                assert (before, runs) == (0, 1), found
            elif answer.not_run:
                assert runs == before, found
            elif answer.status == 409:
                assert before == runs == 1, found
            before = runs


@behave.when(
    "the promises' key-value service is down during {count:d} bookings"
)
def book_without_service(context, count):
    context.promises.key_value.fail('down')
    context.bookings = [f'b-{index}' for index in range(count)]
    context.answers = [
        _book(context, 'router-1', each) for each in context.bookings
    ]


@behave.then(
    "each of the promises' bookings was refused as not run, and none ran"
)
def check_refused_bookings(context):
    for answer in context.answers:
        found = answer.status, answer.code, answer.not_run
        assert found == (503, 'claims_unavailable', True), found
        assert answer.retry_after, answer
    assert _count_runs(context) == {}, _count_runs(context)


@behave.when(
    "the promises' key-value service is back and the bookings are retried"
)
def retry_with_service(context):
    context.promises.key_value.fail('up')
    for booking in context.bookings:
        promises.wait_until(
            lambda each=booking: _book(context, 'router-3', each).status == 200
        )


@behave.then("each of the promises' bookings ran exactly once")
def check_single_runs(context):
    once = dict.fromkeys(context.bookings, 1)
    assert _count_runs(context) == once, _count_runs(context)


@behave.given(
    "long answers in progress at every router of the promises' fleet"
)
def start_long_answers(context):
    context.load = promises.Load(
        context.promises,
        accounts=_ACCOUNTS[:2],
        callers=1,
        length=_LONG_LENGTH,
        once=True,
    )
    count = 2 * len(context.promises.routers)
    promises.wait_until(
        lambda: (
            len(context.load.records) == count
            and all(each.tokens for each in context.load.records)
        )
    )


@behave.when("a router of the promises' fleet is asked to stop")
def ask_to_stop(context):
    context.promises.begin_stop('router-1')


@behave.then("it refuses new requests of the promises' callers as not run")
def check_refusals(context):
    answers = []

    def ask():
        answers.append(_book(context, 'router-1', f'new-{len(answers)}'))
        return getattr(answers[-1], 'code', '') == 'stopping'

    promises.wait_until(ask, lambda: answers)
    refusal = answers.pop()
    assert (refusal.status, refusal.not_run) == (503, True), refusal
    assert refusal.retry_after, refusal
    assert all(each.status == 200 for each in answers), answers
    runs = _count_runs(context)
    assert set(runs) == {f'new-{i}' for i in range(len(answers))}, runs


@behave.then("it ends with exit code 0, with the promises' answers whole")
def check_graceful_end(context):
    code = context.promises.routers['router-1'].process.wait(60)
    context.load.wait()
    found = context.load.records
    assert code == 0, code
    assert all(each.outcome == records.DONE for each in found), (
        promises.describe(found)
    )


@behave.when(
    "a router of the promises' fleet is paused until its peers give it up"
)
def pause_router(context):
    running = context.promises
    running.pause('router-2')
    others = {'router-1', 'router-3'}
    for name in others:
        promises.wait_until(
            lambda each=running.routers[name]: (
                promises.list_live(each) == others
            )
        )


@behave.when(
    "a promises' booking waits at the paused router and is retried elsewhere"
)
def book_at_paused(context):
    context.first = promises.Background(_book, context, 'router-2', 'b-1')
    context.second = _book(context, 'router-3', 'b-1')
    assert context.second.status == 200, context.second


@behave.when("an operator of the promises' fleet submits a new version")
def submit_version(context):
    document = context.promises.deployment.document
    document['client_accounts'][0]['share'] = 9
    _submit(context)


def _submit(context):
    running = context.promises
    routers = list(running.routers.values())
    context.versions = promises.VersionWatch(routers)
    context.add_cleanup(context.versions.stop)
    running.submit(base=1)
    promises.wait_until(
        lambda: promises.read_status(routers[0])['version'] == 2
    )


@behave.when("the paused router of the promises' fleet goes on")
def resume_router(context):
    context.promises.resume('router-2')


@behave.then('the booking that waited at the paused router did not run again')
def check_waiting_booking(context):
    first = context.first.wait()
    assert (first.status, first.code) == (409, 'already_done'), first
    check_one_run(context)


@behave.then(
    "every router of the promises' fleet comes to version {version:d}, none "
    'going back'
)
def check_versions(context, version):
    routers = context.promises.routers.values()

    def read():
        return [promises.read_status(each)['version'] for each in routers]

    promises.wait_until(lambda: set(read()) == {version}, read)
    seen = context.versions.seen
    promises.wait_until(
        lambda: all(each[-1:] == [version] for each in seen.values()),
        lambda: seen,
    )
    context.versions.stop()
    for seen in context.versions.seen.values():
        # 0 is a router that started without memory and is not yet ready.
        known = [each for each in seen if each]
        assert known == sorted(known), context.versions.seen


@behave.then(
    "every answer of the promises' fleet was its caller's own and whole"
)
def check_all_answers(context):
    since = time.monotonic()
    for router in context.promises.routers.values():
        _wait_for_answers(context, [router.callers], since)
    context.load.stop()
    wrong = [
        each
        for each in context.load.records
        if each.outcome not in (records.DONE, records.REFUSED)
    ]
    assert not wrong, promises.describe(wrong)


@behave.when(
    "the promises' fleet is partitioned until both sides see only themselves"
)
def partition(context):
    running = context.promises
    sides = {'router-1'}, {'router-2', 'router-3'}
    running.network.partition(sides[0])
    for side in sides:
        for name in side:
            promises.wait_until(
                lambda each=running.routers[name], side=side: (
                    promises.list_live(each) == side
                )
            )
    context.partitioned_at = time.monotonic()


@behave.then("both sides of the promises' fleet give whole answers")
def check_both_sides(context):
    for router in context.promises.routers.values():
        _wait_for_answers(context, [router.callers], context.partitioned_at)


@behave.when("the partition of the promises' fleet ends")
def heal(context):
    context.promises.network.heal()


@behave.then("every router of the promises' fleet sees all of them again")
def check_whole(context):
    promises.wait_until(lambda: _is_whole(context.promises))


@behave.when(
    "a router of the promises' fleet restarts with the key-value service down"
)
def restart_without_service(context):
    context.promises.key_value.fail('down')
    context.promises.kill('router-3')
    context.promises.restart('router-3')
    context.promises.wait_until_ready(['router-3'])


@behave.then("the restarted router of the promises' fleet gives whole answers")
def check_restarted(context):
    context.load = promises.Load(
        context.promises, accounts=_ACCOUNTS[:1], callers=1, length=_LENGTH
    )
    context.add_cleanup(context.load.stop)
    check_all_answers(context)


@behave.when("an operator of the promises' fleet marks an engine as leaving")
def mark_leaving(context):
    servers = context.promises.deployment.document['backend_servers']
    named = {server['name']: server for server in servers}
    named['engine-2']['leaving'] = True
    _submit(context)


@behave.then(
    "the leaving engine of the promises' fleet ends its work and gets no more"
)
def check_leaving(context):
    engine = context.promises.backends['engine-2']
    promises.wait_until(
        lambda: not engine.read_stats()['running'], engine.read_stats
    )
    before, since = engine.read_stats()['requests'], time.monotonic()
    assert before, 'the engine never had a request'
    for router in context.promises.routers.values():
        _wait_for_answers(context, [router.callers], since, count=6)
    assert engine.read_stats()['requests'] == before
