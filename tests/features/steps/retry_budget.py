"""Steps about the retry budget that all instances share."""

import json

import behave

from amaranthslip.members import census
from amaranthslip.members import equal_parts
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.requests import budget
from tests.support import budget_fleet

# The window of the limit, and the time for which a retry may be on its way.
_CHARGED_SECONDS = 11.25


@behave.given('the retry budgets of {count:d} instances')
def start(context, count):
    context.budgets = budget_fleet.Fleet(count)


@behave.when(
    '{first:d} requests fail from {start:g} s on and {second:d} from {again:g}'
    ' s on'
)
def fail_in_bursts(context, first, start, second, again):
    fleet = context.budgets
    for count, at in ((first, start), (second, again)):
        fleet.now = at
        fleet.send_failing_requests(count, 0.09)


@behave.when(
    '{count:d} requests fail in each of {times:d} s, and all instances restart'
    ' after each'
)
def fail_and_restart(context, count, times):
    for _ in range(times):
        context.budgets.send_failing_requests(count, 1.0)
        context.budgets.restart(joins=True)


@behave.when('the fleet is partitioned into {parts:d} parts')
def partition(context, parts):
    context.budgets.partition(parts)


@behave.when(
    'all instances have restarted {seconds:g} s ago and know no other member'
)
def restart(context, seconds):
    context.budgets.restart(joins=False)
    context.budgets.now += seconds


@behave.when('{count:d} requests fail within {seconds:g} s')
def fail(context, count, seconds):
    context.budgets.send_failing_requests(count, seconds)


@behave.when('the platform lists no instance any more')
def lose_entries(context):
    context.budgets.listed.clear()


@behave.when('{count:d} of them are removed for good, and {seconds:g} s pass')
def remove(context, count, seconds):
    fleet = context.budgets
    for name in fleet.names[-count:]:
        fleet.remove(name)
    for _ in range(int(seconds)):
        fleet.now += 1.0
        for instance in fleet.running.values():
            instance.census.count()


@behave.then('no window has more retries than the fleet may make')
def check_windows(context):
    excess = context.budgets.compute_worst_excess()
    assert excess <= 0, f'{excess:.0f} retries beyond the limit'


@behave.then('more than half of the budget is used')
def check_use(context):
    assert context.budgets.compute_best_use() > 0.5


def _build_entry(listed, name):
    value = {'address': '127.0.0.1:1', 'failure_domain': 'a', 'region': 'r'}
    return keyvalue.Entry(listed.prefix + name, json.dumps(value).encode(), 1)


@behave.given(
    'an instance whose first read of the store finds the entries of {first}'
    ' and {second}'
)
def read_entries(context, first, second):
    context.now = 0.0
    context.age = 0.0
    context.listed = instances.StoredInstances(
        budget_fleet.Fleet(1).settings,
        None,
        has_follower=True,
        clock=lambda: context.now,
    )
    assert context.listed.read_listed_seconds('i0') is None
    context.listed.replace_entries(
        [_build_entry(context.listed, name) for name in (first, second)]
    )


def _build_part(context, name):
    return equal_parts.EqualPart(
        budget_fleet.Fleet(1).settings,
        name,
        _CHARGED_SECONDS,
        census.Census(
            roster.Roster(budget_fleet.build_member(name)),
            context.listed.list_names,
            clock=lambda: context.now,
        ),
        context.listed,
        budget_fleet.Freshness(lambda: context.age),
        clock=lambda: context.now,
    )


@behave.when('the entry of {name} is written')
def write_entry(context, name):
    context.listed.apply_entry(_build_entry(context.listed, name))


@behave.when(
    '{seconds:g} s pass, and the entry of {name} is lost and written again'
)
def lose_entry(context, seconds, name):
    context.now += seconds
    assert _build_part(context, name).read() == 1 / 2
    key = context.listed.prefix + name
    context.listed.apply_entry(keyvalue.Entry(key, None, 2))
    assert name in context.listed.list_names(), 'others may still run'
    write_entry(context, name)


@behave.when(
    '{seconds:g} s pass, and the copy of the store becomes {age:g} s old'
)
def grow_old(context, seconds, age):
    context.now += seconds
    context.age = age


@behave.then(
    '{first} and {second} use no part of the slack until {seconds:g} s have'
    ' passed'
)
def check_both(context, first, second, seconds):
    for name in (first, second):
        start = context.now
        check_wait(context, name, seconds)
        context.now = start


@behave.then(
    '{name} uses no part of the slack until {seconds:g} s have passed'
)
def check_wait(context, name, seconds):
    part = _build_part(context, name)
    context.now += seconds - 0.01
    assert part.read() == 0.0
    assert part.withheld == 'listed_lately'
    context.now += 0.02
    assert part.read() == 1 / len(context.listed.list_names())
    assert not part.withheld


@behave.then('{name} uses no part of the slack, because of "{reason}"')
def check_reason(context, name, reason):
    part = _build_part(context, name)
    assert part.read() == 0.0
    assert part.withheld == reason


class _NoPart:
    """A part of the slack that is withheld."""

    withheld = 'unlisted'

    def read(self):
        return 0.0


@behave.given('an instance with {count:d} requests and no part of the slack')
def build_budget(context, count):
    context.now = 1000.0
    context.budget = budget.FleetBudget(
        budget_fleet.Fleet(1).settings,
        _NoPart(),
        metrics.Metrics(),
        clock=lambda: context.now,
    )
    for _ in range(count):
        context.budget.note_request(budget_fleet.SERVICE)


@behave.when('as many retries as possible are reserved')
def reserve_all(context):
    context.rights = []
    while right := context.budget.reserve_retry(budget_fleet.SERVICE):
        context.rights.append(right)


@behave.when(
    'all of them are released, and as many as possible are reserved again'
)
def release_all(context):
    for right in context.rights:
        right.release()
        right.release()
    reserve_all(context)


@behave.when('all of them are used, released and used again')
def use_all(context):
    for right in context.rights:
        assert right.use()
        right.release()
        assert not right.use()


@behave.when('{seconds:g} s pass for the budget')
def pass_time(context, seconds):
    context.now += seconds


@behave.then('{count:d} are reserved')
def check_reserved(context, count):
    assert len(context.rights) == count, len(context.rights)


@behave.then('none of them can be used')
def check_lapsed(context):
    assert context.rights
    assert not any(right.use() for right in context.rights)
