"""Steps about bringing versions into force across a fleet."""

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


def _submit(context, base, share):
    """Submit straight to the service, as the command line does."""
    direct = store.Store(
        configured.build_settings(), context.service.connect()
    )
    changed = configured.change_share(context.values, context.account, share)
    writer = submission.Submission(direct)
    return writer.submit(changed, base=base, author='operator')


def _wait_until(condition, seconds=60):
    late = AssertionError(f'not so within {seconds} s')
    with gevent.Timeout(seconds, late):
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
    # Many enough for sixteen calls to read them all.
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
    context.fleet.introduce()
    context.fleet.start()
    context.add_cleanup(context.fleet.close)
    context.fleet.wait_for(1)
    context.lowered = []
    for instance in context.fleet:
        _guard(context, instance)


def _guard(context, instance):
    """Note each time that an instance goes back, until it restarts."""
    held = instance.holder

    def watch():
        highest = held.document.version
        while True:
            held.wait(held.generation)
            if held.document.version < highest:
                context.lowered.append(instance.name)
            highest = held.document.version

    context.add_cleanup(gevent.spawn(watch).kill)


@behave.given(
    "a fifth of the fleet's messages is lost, half of it can't reach the "
    'service and one watch in two says nothing'
)
def break_network(context):
    context.fleet.loss = 1 / 5
    for instance in list(context.fleet)[::2]:
        instance.client.cut = True
    del context.service.watchers[::2]


@behave.when('{count:d} versions are accepted one after the other')
def accept_versions(context, count):
    context.times = histogram.HdrHistogram(1, 60 * 1000, 3)
    for base in range(1, count + 1):
        _submit(context, base, base)
        for seconds in context.fleet.wait_for(base + 1):
            context.times.record_value(max(1, int(seconds * 1000)))


@behave.then(
    'each version was in force on every instance, at the times printed'
)
def print_times(context):
    assert context.times.get_total_count() == 6 * 8
    for percentile in (50, 90, 99, 100):
        value = context.times.get_value_at_percentile(percentile)
        print(f'{percentile} % of instances had it after {value} ms')
    counts = collections.Counter()
    for item in context.times.get_recorded_iterator():
        step = item.value_iterated_to // 100
        counts[step] += item.count_at_value_iterated_to
    for step, count in sorted(counts.items()):
        print(f'{step * 100:5} ms {"#" * count} {count}')


@behave.when('all watches silently stop and version 2 is accepted')
def stop_watches(context):
    context.service.silent = True
    _submit(context, 1, 2)


@behave.when(
    "the fleet's probes stop, only one watcher can reach the service and "
    'version 2 is accepted'
)
def spread_without_probes(context):
    context.fleet.probing.kill()
    cut_watchers(context)


@behave.when(
    'only one watcher can reach the service and version 2 is accepted'
)
def cut_watchers(context):
    watching = [
        each for each in context.fleet if each.spread.describe().watching
    ]
    for instance in context.fleet:
        instance.client.cut = instance is not watching[0]
    _submit(context, 1, 2)


@behave.then('version {version:d} is in force on every instance')
def check_everywhere(context, version):
    context.fleet.wait_for(version)
    versions = {each.version for each in context.fleet}
    assert versions == {version}, versions
    assert not context.lowered, context.lowered


@behave.given(
    'one instance of the fleet was cut off before versions 2 and 3 came into '
    'force'
)
def isolate_instance(context):
    context.lagging, context.restarting, *_ = context.fleet
    context.lagging.isolated = True
    context.lagging.client.cut = True
    _submit(context, 1, 2)
    _submit(context, 2, 3)
    context.fleet.wait_for(3)


@behave.when(
    'the service goes down, the lagging instance is back and another one '
    'restarts {times:d} times'
)
def restart_in_outage(context, times):
    context.service.down = True
    context.firsts = []
    fleet = context.fleet
    lagging, restarting = context.lagging.name, context.restarting.name
    # It answers, but its own looking for versions is over.
    context.lagging.spread.close()
    context.lagging.isolated = False
    for _ in range(times):
        # At first the restarted one reaches the lagging one only.
        fleet.can_reach = lambda sender, target: (
            {sender, target} == {lagging, restarting}
            or not {sender, target} & {lagging, restarting}
        )
        before = fleet.senders[lagging]
        fleet.restart(context.restarting)
        held = context.restarting.holder
        while fleet.senders[lagging] < before + 2 and not held.ready:
            gevent.sleep(0.02)
        fleet.can_reach = lambda sender, target: True
        held.wait(0, timeout=60)
        context.firsts.append(held.document.version)


@behave.then('the restarted instance always started with version {version:d}')
def check_firsts(context, version):
    assert context.lagging.version == 1
    assert set(context.firsts) == {version}, context.firsts


@behave.then('no instance of the fleet ever went back to a lower version')
def check_lowered(context):
    assert not context.lowered, context.lowered


@behave.when(
    "the service is down and one instance restarts out of everyone's reach"
)
def restart_alone(context):
    context.service.down = True
    context.alone, *_ = context.fleet
    context.alone.isolated = True
    context.fleet.restart(context.alone)


@behave.then('that instance is not ready for as long as it reaches nobody')
def check_not_ready(context):
    failures = context.alone.metrics
    _wait_until(lambda: failures.read('configuration', 'check_failed') > 1)
    status = context.alone.spread.describe()
    assert not status.ready and status.version == 0


@behave.then('once it reaches its peers it is ready with version {version:d}')
def check_ready(context, version):
    context.alone.isolated = False
    _wait_until(lambda: context.alone.holder.ready)
    assert context.alone.version == version


@behave.when(
    'the fleet is cut in halves, one without the service, and version 2 is '
    'accepted'
)
def cut_fleet(context):
    names = list(context.fleet.instances)
    context.late = set(names[::2])
    context.fleet.can_reach = lambda sender, target: (
        (sender in context.late) == (target in context.late)
    )
    for name in context.late:
        context.fleet.instances[name].client.cut = True
    _submit(context, 1, 2)


@behave.then('version 2 is in force in one half and version 1 in the other')
def check_halves(context):
    def is_early(instance):
        return instance.name not in context.late

    early = [each for each in context.fleet if is_early(each)]
    _wait_until(lambda: all(each.version == 2 for each in early))
    for instance in context.fleet:
        assert instance.version == (2 if is_early(instance) else 1)


@behave.when('the halves of the fleet rejoin')
def rejoin(context):
    context.fleet.can_reach = lambda sender, target: True


@behave.when(
    'versions 2 and 3 are accepted and the service is restored to version 1'
)
def restore_older(context):
    saved = context.service.snapshot()
    _submit(context, 1, 2)
    _submit(context, 2, 3)
    context.fleet.wait_for(3)
    context.service.restore(saved)


def _list_watching(context):
    found = [each.spread.describe() for each in context.fleet]
    return [status for status in found if status.watching]


@behave.then('every watcher of the fleet reports that the service is outdated')
def check_outdated(context):
    _wait_until(
        lambda: all(each.store_outdated for each in _list_watching(context))
    )
    counted = sum(
        each.metrics.read('configuration', 'store_outdated')
        for each in context.fleet
    )
    assert counted >= len(_list_watching(context)) > 0


@behave.when('a router of the fleet submits on top of version {base:d}')
def submit_through_router(context, base):
    router, *_ = context.fleet
    changed = configured.change_share(context.values, 'sao-mai', 8)
    router.submission.submit(changed, base=base, author='operator')


@behave.then('no watcher of the fleet reports that the service is outdated')
def check_no_longer_outdated(context):
    _wait_until(
        lambda: (
            not any(each.store_outdated for each in _list_watching(context))
        )
    )


@behave.when(
    'versions 2 and 3 are accepted, the service is restored to version 1 and '
    'two others submitted'
)
def fork_versions(context):
    restore_older(context)
    _submit(context, 1, 5)
    _submit(context, 2, 6)


@behave.then('a watcher of the fleet reports two documents with one number')
def check_forked(context):
    _wait_until(lambda: any(each.forked for each in _list_watching(context)))


@behave.when(
    'one instance in three sends damaged parts and version 2 is accepted'
)
def damage_answers(context):
    context.damaged = 0

    def tamper(message):
        if not isinstance(message, messages.PartAnswer):
            return message
        context.damaged += 1
        if context.damaged % 3 == 1:
            return messages.PartAnswer(
                digest=message.digest, data=message.data[::-1]
            )
        return message

    context.fleet.tamper = tamper
    for instance in list(context.fleet)[1:]:
        instance.client.cut = True
    _submit(context, 1, 2)
    context.fleet.wait_for(2)
    assert context.damaged > 0


class _Rates:
    """Counts the service's calls in each tenth of a second."""

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

    def find_most(self):
        """Return the most calls within any second, and the mean rate."""
        most = 0
        for began, before in self.samples:
            within = [
                calls - before
                for at, calls in self.samples
                if began <= at <= began + 1.0
            ]
            most = max(most, *within)
        (first, least), (last, total) = self.samples[0], self.samples[-1]
        return most, (total - least) / max(last - first, 0.1)


@behave.when(
    '{count:d} instances start at once, idle, see a change, and come back '
    'after an outage'
)
def start_many(context, count):
    fleet = fake_fleet.FakeFleet(context.service, count)
    context.add_cleanup(fleet.close)
    rates = _Rates(context.service)
    context.add_cleanup(rates.counting.kill)
    context.most = {}

    def note(name):
        gevent.sleep(0.2)
        most, mean = rates.find_most()
        context.most[name] = most
        print(f'{name}: at most {most} calls in a second, {mean:.1f} mean')
        rates.reset()

    fleet.start(probes=False)
    fleet.wait_for(1)
    note('start, nobody known')
    fleet.introduce()
    gevent.sleep(3)
    rates.reset()
    gevent.sleep(5)
    note('idle')
    fleet.messages.clear()
    fleet.bytes = 0
    _submit(context, 1, 2)
    times = sorted(fleet.wait_for(2))
    print(f'change: half after {times[count // 2]:.2f} s, all {times[-1]:.2f}')
    note('change')
    print(f'change: {dict(fleet.messages)}, {fleet.bytes // count} bytes each')
    context.service.down = True
    fleet.restart_all()
    gevent.sleep(3)
    assert {each.version for each in fleet} == {0}
    note('outage, all restarted')
    context.service.down = False
    fleet.wait_for(2)
    note('service back')


@behave.then('the service never got more than {limit:d} reads in a second')
def check_most(context, limit):
    assert len(context.most) == 5, context.most
    assert max(context.most.values()) <= limit, context.most
