"""Steps about the fair share of client accounts."""

import behave

from amaranthslip.shares import demand
from amaranthslip.shares import fleet_windows

_WINDOW_SECONDS = 4.0


@behave.given('engines with a throughput of {rate:d} tokens per second')
def start(context, rate):
    context.rate = rate
    context.now = 1000.0
    context.demand = demand.Demand(
        lambda: _WINDOW_SECONDS, clock=lambda: context.now
    )


@behave.given(
    'adaptive engines with a throughput of {rate:d} tokens per second'
)
def start_adaptive(context, rate):
    start(context, rate)
    context.demand = demand.Demand(
        lambda: _WINDOW_SECONDS,
        is_adaptive=lambda: True,
        clock=lambda: context.now,
    )


@behave.given('these engines were busy for {busy:g} of the time')
def count_busy(context, busy):
    context.demand.note_servers(100, round(100 * busy))


@behave.when(
    'in {seconds:d} seconds "{account}" requests {asked:d} tokens and gets '
    '{granted:d}'
)
def count_demand(context, seconds, account, asked, granted):
    context.demand.note_requested(account, asked)
    context.demand.note_granted(account, granted)


@behave.when(
    'in the same time "{account}" requests {asked:d} tokens and gets '
    '{granted:d}'
)
def count_more_demand(context, account, asked, granted):
    count_demand(context, _WINDOW_SECONDS, account, asked, granted)


@behave.then('"{one}" is over its share, and "{other}" is not')
def check_over(context, one, other):
    assert (
        context.demand.read_share_ratios(one, context.rate).granted_ratio >= 1
    )
    assert (
        context.demand.read_share_ratios(other, context.rate).granted_ratio < 1
    )


@behave.then('"{account}" was granted at least {factor:g} times its share')
def check_least(context, account, factor):
    ratios = context.demand.read_share_ratios(account, context.rate)
    assert ratios.granted_ratio >= factor, ratios.granted_ratio


@behave.then('"{account}" was granted at most {factor:g} times its share')
def check_most(context, account, factor):
    ratios = context.demand.read_share_ratios(account, context.rate)
    assert ratios.granted_ratio <= factor, ratios.granted_ratio


@behave.when(
    "the fleet's level is {level:d} tokens with a cap of {cap}",
)
def set_level(context, level, cap):
    context.level, context.cap = level, float(cap)


@behave.when('"{one}" was granted {first:d} tokens, and "{other}" {second:d}')
def set_totals(context, one, first, other, second):
    for name in (one, other):
        context.demand.note_requested(name, 0)
    context.demand.set_fleet_level(
        context.level,
        {
            one: fleet_windows.TokenTotals(9e6, first),
            other: fleet_windows.TokenTotals(9e6, second),
        },
        seconds=3.0,
        caps=demand.Caps(context.cap),
    )


def _leaves_room(context, account):
    return context.demand.read_share_ratios(account, context.rate).leaves_room


@behave.then('"{one}" {one_leaves} room, and "{other}" {other_leaves}')
def check_room(context, one, one_leaves, other, other_leaves):
    assert _leaves_room(context, one) == (one_leaves == 'leaves')
    assert _leaves_room(context, other) == (other_leaves == 'leaves')


@behave.then('what is known of "{account}" is {seconds} seconds old')
def check_age(context, account, seconds):
    ratios = context.demand.read_share_ratios(account, context.rate)
    assert ratios.age_seconds == float(seconds), ratios.age_seconds


@behave.then(
    '{wait:g} seconds later what is known of "{account}" is {seconds}'
    ' seconds old'
)
def check_later_age(context, wait, account, seconds):
    context.now += wait
    check_age(context, account, seconds)


@behave.then(
    'in the window "{account}" was granted between {low:d} and {high:d} tokens'
)
def check_granted(context, account, low, high):
    granted = context.demand.read_totals(account).granted
    assert low <= granted <= high, granted


@behave.then(
    '{wait:g} seconds later "{account}" was granted between {low:d} and'
    ' {high:d} tokens'
)
def check_granted_later(context, wait, account, low, high):
    context.now += wait
    check_granted(context, account, low, high)


@behave.when(
    '{fraction:g} of the tokens of "{one}" and "{other}" found an idle server'
)
def note_unhindered(context, fraction, one, other):
    for account in (one, other):
        asked = context.demand.read_totals(account).asked
        context.demand.note_unhindered(account, fraction * asked)


@behave.then('the share is {tokens:d} tokens')
def check_share(context, tokens):
    level = context.demand.read_fleet_demand(context.rate).level
    assert abs(level - tokens) <= 0.001 * tokens, level


@behave.when(
    '"{account}" requested {asked:d} tokens and was granted {granted:d}'
)
def set_account_totals(context, account, asked, granted):
    context.demand.set_fleet_level(
        context.level,
        {account: fleet_windows.TokenTotals(asked, granted)},
        seconds=3.0,
        caps=demand.Caps(context.cap),
    )


@behave.then('{count:d} in 100 of the requests of "{account}" are considered')
def check_considered(context, count, account):
    ratios = context.demand.read_share_ratios(account, context.rate)
    draws = [(number + 0.5) / 100 for number in range(100)]
    considered = [each for each in draws if not ratios.holds_back(each, 0.0)]
    assert len(considered) == count, len(considered)
