"""Steps for versions on router processes under load and faults."""

import datetime
import pathlib
import re
import tempfile
import threading
import time

import behave
from hdrh import histogram

from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip import metrics
from amaranthslip.platform import keyvalue
from bench import callers
from bench import demo
from bench import deployments
from bench import fleet
from bench import plans
from tests.support import configured

_IN_FORCE_LINE = re.compile(
    r'time=(\S+).*configuration_in_force version=(\d+)'
)
_LOAD_SECONDS = 25.0
_PAUSE_SECONDS = 1.5
_TIMEOUT_SECONDS = 30


def _read_applied_versions(router):
    """Return the versions in a router's log, with their times."""
    text = router.process.read_output()
    applied = []
    for timestamp, version in _IN_FORCE_LINE.findall(text):
        applied_at = datetime.datetime.fromisoformat(timestamp.strip('"'))
        applied.append((int(version), applied_at.timestamp()))
    return applied


@behave.given(
    '{count:d} routers with a configuration in force, a proxy between them '
    'and callers'
)
def start_routers(context, count):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.fleet = fleet.Fleet(
        deployments.build_small_deployment(routers=count),
        pathlib.Path(directory.name),
        settings={
            'shutdown': {'notice_seconds': 0.2},
            'logging': {'level': 'info'},
        },
        through_proxy=True,
    )
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    entries = [each.callers for each in context.fleet.routers.values()]
    plan = plans.Plan(
        traffics=demo.build_traffics(entries), seconds=_LOAD_SECONDS
    )
    context.callers = callers.Callers(plan)
    load = threading.Thread(target=context.callers.run)
    load.start()
    context.add_cleanup(load.join)


def _connect(context):
    url = f'http://{context.fleet.key_value.address}'
    settings = configured.build_settings(platform={'key_value': url})
    client = keyvalue.KeyValue(settings, metrics.Metrics())
    context.add_cleanup(client.close)
    return submission.Submission(store.Store(settings, client))


@behave.when(
    '{count:d} versions are submitted to the service while it loses answers '
    'and watches send no events'
)
def submit_versions(context, count):
    writer = _connect(context)
    running_fleet = context.fleet
    names = list(running_fleet.routers)
    context.accepted = {}
    for number in range(count):
        if number == 2:
            running_fleet.key_value.fail(
                'lose_some', fraction=0.3, silent_watches=True
            )
        elif number == 3:
            running_fleet.network.partition({names[3]})
        elif number == 4:
            running_fleet.kill(names[5])
            running_fleet.restart(names[5])
        elif number == 5:
            running_fleet.network.heal()
        document = configured.change_share(
            running_fleet.deployment.document, 'account-1', number + 2
        )
        version = number + 2
        snapshot = writer.submit(document, base=version - 1, author='bot')
        context.accepted[snapshot.version] = time.time()
        time.sleep(_PAUSE_SECONDS)
    context.last_version = count + 1


@behave.then(
    'every router put the last version in force and none ever reverted'
)
def check_last_version(context):
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    routers = context.fleet.routers.values()
    while time.monotonic() < deadline:
        applied = [_read_applied_versions(router) for router in routers]
        if all(
            each and each[-1][0] == context.last_version for each in applied
        ):
            break
        time.sleep(0.1)
    for router, each in zip(routers, applied, strict=True):
        versions = [version for version, _ in each]
        assert versions and versions[-1] == context.last_version, (
            router.name,
            versions,
        )
        assert versions == sorted(set(versions)), (router.name, versions)


@behave.then('the times until versions came into force are printed')
def check_propagation_times(context):
    times = histogram.HdrHistogram(1, 60000, 3)
    for router in context.fleet.routers.values():
        for version, applied_at in _read_applied_versions(router):
            accepted = context.accepted.get(version)
            if accepted is not None:
                milliseconds = int((applied_at - accepted) * 1000)
                times.record_value(max(1, milliseconds))
    count = times.get_total_count()
    assert count >= len(context.fleet.routers), count
    for percentile in (50, 90, 99, 100):
        value = times.get_value_at_percentile(percentile)
        print(f'{percentile} % of {count} applied it within {value} ms')
    ended = len(context.callers.observation.records)
    print(f'{ended} requests ended during the scenario')
