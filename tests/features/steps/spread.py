"""Steps for the propagation of versions across a fleet."""

import collections
import time

import behave
import gevent
from hdrh import histogram

from amaranthslip.configuration import messages
from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from tests.support import configured
from tests.support import documents
from tests.support import fake_fleet
from tests.support import fake_keyvalue

# Longer than the announcements of one version by one instance.
_ANNOUNCEMENTS_SECONDS = 3.0


def _submit(context, base, share):
    """Submit directly to the service, as the command line does."""
    direct = store.Store(
        configured.build_settings(), context.service.connect()
    )
    changed = configured.change_share(context.values, context.account, share)
    writer = submission.Submission(direct)
    return writer.submit(changed, base=base, author='operator')


def _wait_until(condition, seconds=60):
    timeout_error = AssertionError(
        f'the condition was not met within {seconds} s'
    )
    with gevent.Timeout(seconds, timeout_error):
        while not condition():
            gevent.sleep(0.02)


def _make_service(context):
    context.service = fake_keyvalue.FakeKeyValue()
    context.values = configured.read_consortium()
    context.account = 'co-lan'
    _submit(context, 0, 1)


@behave.given(
    'a service with version 1 of a configuration of {count:d} accounts'
)
def make_large_service(context, count):
    # The number of accounts is large enough for a complete read to take
    # sixteen calls.
    context.service = fake_keyvalue.FakeKeyValue()
    context.values = documents.build_large(count)
    context.account = 'account-1'
    _submit(context, 0, 50)


@behave.given(
    'a fleet of {count:d} instances with version 1 of the configuration in '
    'force'
)
def make_fleet(context, count):
    _make_service(context)
    context.fleet = fake_fleet.FakeFleet(context.service, count)
    context.fleet.fill_rosters()
    context.fleet.start()
    context.add_cleanup(context.fleet.close)
    context.fleet.wait_for(1)
    context.reverted = []
    for instance in context.fleet:
        _record_reverts(context, instance)


def _record_reverts(context, instance):
    """Record each revert of an instance until it restarts."""
    instance_holder = instance.holder

    def watch():
        highest = instance_holder.document.version
        while True:
            instance_holder.wait(instance_holder.generation)
            if instance_holder.document.version < highest:
                context.reverted.append(instance.name)
            highest = instance_holder.document.version

    context.add_cleanup(gevent.spawn(watch).kill)


@behave.given(
    "a fifth of the fleet's messages is lost, half of it can't reach the "
    'service and half of the watches have silently stopped'
)
def inject_faults(context):
    context.fleet.loss_fraction = 1 / 5
    for instance in list(context.fleet)[::2]:
        instance.client.cut = True
    del context.service.watches[::2]


@behave.when('{count:d} versions are accepted one after the other')
def accept_versions(context, count):
    context.times = histogram.HdrHistogram(1, 60 * 1000, 3)
    for base in range(1, count + 1):
        _submit(context, base, base)
        for seconds in context.fleet.wait_for(base + 1):
            context.times.record_value(max(1, int(seconds * 1000)))


@behave.then(
    'each version was in force on every instance, at the printed times'
)
def check_times(context):
    assert context.times.get_total_count() == 6 * 8
    for percentile in (50, 90, 99, 100):
        value = context.times.get_value_at_percentile(percentile)
        print(f'{percentile} % of instances applied it within {value} ms')
    counts = collections.Counter()
    for item in context.times.get_recorded_iterator():
        step = item.value_iterated_to // 100
        counts[step] += item.count_at_value_iterated_to
    for step, count in sorted(counts.items()):
        print(f'{step * 100:5} ms {"#" * count} {count}')


@behave.when('all watches silently stop and version 2 is accepted')
def stop_watches(context):
    context.service.watches_stopped = True
    _submit(context, 1, 2)


@behave.when(
    "the fleet's probes stop, only one watcher can reach the service and "
    'version 2 is accepted'
)
def spread_without_probes(context):
    context.fleet.probe_greenlet.kill()
    leave_one_watcher(context)


@behave.when(
    'only one watcher can reach the service and version 2 is accepted'
)
def leave_one_watcher(context):
    watching = [
        each for each in context.fleet if each.spread.describe().watching
    ]
    for instance in context.fleet:
        instance.client.cut = instance is not watching[0]
    _submit(context, 1, 2)


@behave.when(
    "the fleet's probes stop and one instance misses the announcements of"
    ' version 2'
)
def miss_announcements(context):
    context.fleet.probe_greenlet.kill()
    missing = _find_listener(context.fleet)
    missing.isolated = True
    _submit(context, 1, 2)
    context.fleet.wait_for(2)
    gevent.sleep(_ANNOUNCEMENTS_SECONDS)
    missing.isolated = False
    assert missing.version == 1


def _find_listener(fleet):
    """Return an instance that does not watch the service."""
    return next(each for each in fleet if not each.spread.describe().watching)


@behave.when(
    "the fleet's probes stop and all pulls fail while version 2 is announced"
)
def fail_pulls(context):
    fleet = context.fleet
    fleet.probe_greenlet.kill()

    def remove_version(message):
        if isinstance(message, messages.ManifestAnswer):
            return messages.ManifestAnswer(version=0, data=b'')
        return message

    fleet.transform = remove_version
    _submit(context, 1, 2)
    _wait_until(lambda: _list_failed_pulls(fleet))
    gevent.sleep(_ANNOUNCEMENTS_SECONDS)
    fleet.transform = lambda message: message
    lagging = _find_listener(fleet)
    assert lagging.version == 1
    assert lagging in _list_failed_pulls(fleet)


def _list_failed_pulls(fleet):
    return [
        each
        for each in fleet
        if each.metrics.read('configuration', 'pull_failed')
    ]


@behave.then('an instance counted a missed announcement')
def check_missed(context):
    counts = [
        each.metrics.read('configuration', 'announcement_missed')
        for each in context.fleet
    ]
    assert sum(counts) >= 1, counts


@behave.then('version {version:d} is in force on every instance')
def check_all_instances(context, version):
    context.fleet.wait_for(version)
    versions = {each.version for each in context.fleet}
    assert versions == {version}, versions
    assert not context.reverted, context.reverted


@behave.given(
    'one instance of the fleet was isolated before versions 2 and 3 came '
    'into force'
)
def isolate_instance(context):
    context.lagging, context.restarting, *_ = context.fleet
    context.lagging.isolated = True
    context.lagging.client.cut = True
    _submit(context, 1, 2)
    _submit(context, 2, 3)
    context.fleet.wait_for(3)


@behave.when(
    'the service goes down, the lagging instance is reachable again and '
    'another one restarts {times:d} times'
)
def restart_in_outage(context, times):
    context.service.down = True
    context.first_versions = []
    fleet = context.fleet
    lagging, restarting = context.lagging.name, context.restarting.name
    # The lagging instance still answers, but no longer searches for versions.
    context.lagging.spread.close()
    context.lagging.isolated = False
    for _ in range(times):
        # At first the restarted instance reaches only the lagging one.
        fleet.can_reach = lambda sender, target: (
            {sender, target} == {lagging, restarting}
            or not {sender, target} & {lagging, restarting}
        )
        before = fleet.sent_counts[lagging]
        fleet.restart(context.restarting)
        instance_holder = context.restarting.holder
        while (
            fleet.sent_counts[lagging] < before + 2
            and not instance_holder.ready
        ):
            gevent.sleep(0.02)
        fleet.can_reach = lambda sender, target: True
        instance_holder.wait(0, timeout=60)
        context.first_versions.append(instance_holder.document.version)


@behave.then('the restarted instance always started with version {version:d}')
def check_first_versions(context, version):
    assert context.lagging.version == 1
    assert set(context.first_versions) == {version}, context.first_versions


@behave.then('no instance of the fleet ever reverted to a lower version')
def check_no_revert(context):
    assert not context.reverted, context.reverted


@behave.when(
    'the service is down and one instance restarts isolated from its peers'
)
def restart_isolated(context):
    context.service.down = True
    context.isolated_instance, *_ = context.fleet
    context.isolated_instance.isolated = True
    context.fleet.restart(context.isolated_instance)


@behave.then('that instance is not ready while it is isolated')
def check_not_ready(context):
    instance_metrics = context.isolated_instance.metrics
    _wait_until(
        lambda: instance_metrics.read('configuration', 'check_failed') > 1
    )
    status = context.isolated_instance.spread.describe()
    assert not status.ready and status.version == 0


@behave.then(
    'that instance is ready with version {version:d} once it reaches its peers'
)
def check_ready(context, version):
    context.isolated_instance.isolated = False
    _wait_until(lambda: context.isolated_instance.holder.ready)
    assert context.isolated_instance.version == version


@behave.when(
    'the fleet is partitioned into halves, one without the service, and '
    'version 2 is accepted'
)
def partition_fleet(context):
    names = list(context.fleet.instances)
    context.separated = set(names[::2])
    context.fleet.can_reach = lambda sender, target: (
        (sender in context.separated) == (target in context.separated)
    )
    for name in context.separated:
        context.fleet.instances[name].client.cut = True
    _submit(context, 1, 2)


@behave.then('version 2 is in force in one half and version 1 in the other')
def check_both_sides(context):
    def is_connected(instance):
        return instance.name not in context.separated

    connected = [each for each in context.fleet if is_connected(each)]
    _wait_until(lambda: all(each.version == 2 for each in connected))
    for instance in context.fleet:
        assert instance.version == (2 if is_connected(instance) else 1)


@behave.when('the partition of the fleet ends')
def end_partition(context):
    context.fleet.can_reach = lambda sender, target: True


@behave.when(
    'versions 2 and 3 are accepted and the service is restored to version 1'
)
def restore_backup(context):
    backup = context.service.snapshot()
    _submit(context, 1, 2)
    _submit(context, 2, 3)
    context.fleet.wait_for(3)
    context.service.restore(backup)


def _list_watcher_statuses(context):
    found = [each.spread.describe() for each in context.fleet]
    return [status for status in found if status.watching]


@behave.then('every watcher of the fleet reports that the service is outdated')
def check_outdated(context):
    _wait_until(
        lambda: all(
            each.store_outdated for each in _list_watcher_statuses(context)
        )
    )
    counted = sum(
        each.metrics.read('configuration', 'store_outdated')
        for each in context.fleet
    )
    assert counted >= len(_list_watcher_statuses(context)) > 0


@behave.when('a router of the fleet submits with base version {base:d}')
def submit_through_router(context, base):
    router, *_ = context.fleet
    changed = configured.change_share(context.values, 'sao-mai', 8)
    router.submission.submit(changed, base=base, author='operator')


@behave.then('no watcher of the fleet reports that the service is outdated')
def check_no_longer_outdated(context):
    _wait_until(
        lambda: (
            not any(
                each.store_outdated for each in _list_watcher_statuses(context)
            )
        )
    )


@behave.when(
    'versions 2 and 3 are accepted, the service is restored to version 1 and '
    'two others are submitted'
)
def fork_after_restore(context):
    restore_backup(context)
    _submit(context, 1, 5)
    _submit(context, 2, 6)


@behave.then(
    'a watcher of the fleet reports two documents with the same number'
)
def check_forked(context):
    _wait_until(
        lambda: any(each.forked for each in _list_watcher_statuses(context))
    )


@behave.when(
    'one part in three from peers is damaged and version 2 is accepted'
)
def damage_part_answers(context):
    context.part_answers = 0

    def transform(message):
        if not isinstance(message, messages.PartAnswer):
            return message
        context.part_answers += 1
        if context.part_answers % 3 == 1:
            return messages.PartAnswer(
                digest=message.digest, data=message.data[::-1]
            )
        return message

    context.fleet.transform = transform
    for instance in list(context.fleet)[1:]:
        instance.client.cut = True
    _submit(context, 1, 2)
    context.fleet.wait_for(2)
    assert context.part_answers > 0


class _CallRates:
    """Samples the number of calls to the service every 0.1 s."""

    def __init__(self, service):
        self.service = service
        self.samples = []
        self.counting = gevent.spawn(self._count)

    def _count(self):
        while True:
            calls = sum(self.service.calls.values())
            self.samples.append((time.monotonic(), calls))
            gevent.sleep(0.1)

    def reset(self):
        self.samples.clear()

    def find_max(self):
        """Return the maximum calls in any second, and the mean rate."""
        max_calls = 0
        for window_start, before in self.samples:
            increases = [
                calls - before
                for sampled_at, calls in self.samples
                if window_start <= sampled_at <= window_start + 1.0
            ]
            max_calls = max(max_calls, *increases)
        (first_time, first_total), (last_time, total) = (
            self.samples[0],
            self.samples[-1],
        )
        return max_calls, (total - first_total) / max(
            last_time - first_time, 0.1
        )


@behave.when(
    '{count:d} instances start simultaneously, idle, apply a change and '
    'restart during an outage'
)
def start_many(context, count):
    fleet = fake_fleet.FakeFleet(context.service, count)
    context.add_cleanup(fleet.close)
    rates = _CallRates(context.service)
    context.add_cleanup(rates.counting.kill)
    context.max_calls = {}

    def record_rate(name):
        gevent.sleep(0.2)
        max_calls, mean = rates.find_max()
        context.max_calls[name] = max_calls
        print(f'{name}: at most {max_calls} calls per second, {mean:.1f} mean')
        rates.reset()

    fleet.start(probes=False)
    fleet.wait_for(1)
    record_rate('start with empty rosters')
    fleet.fill_rosters()
    gevent.sleep(3)
    rates.reset()
    gevent.sleep(5)
    record_rate('idle')
    fleet.messages.clear()
    fleet.bytes = 0
    _submit(context, 1, 2)
    times = sorted(fleet.wait_for(2))
    print(f'change: half after {times[count // 2]:.2f} s, all {times[-1]:.2f}')
    record_rate('change')
    print(f'change: {dict(fleet.messages)}, {fleet.bytes // count} bytes each')
    context.service.down = True
    fleet.restart_all()
    gevent.sleep(3)
    assert {each.version for each in fleet} == {0}
    record_rate('outage, all instances restarted')
    context.service.down = False
    fleet.wait_for(2)
    record_rate('service available again')


@behave.then(
    'the service never received more than {limit:d} reads in a second'
)
def check_max_rate(context, limit):
    assert len(context.max_calls) == 5, context.max_calls
    assert max(context.max_calls.values()) <= limit, context.max_calls
