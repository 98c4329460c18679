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
    "no engine of the promises' fleet got more than its slots and one router's "
    'grants'
)
def check_overlap(context):
    for engine in _list_engines(context):
        stats = engine.read_stats()
        assert stats['max_running'] <= _SLOTS, stats
        assert stats['max_waiting'] <= _SLOTS, stats
