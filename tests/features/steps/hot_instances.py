"""Steps about instances that have limited processor time."""

import behave

from amaranthslip.entry import overflow
from bench import hot_instances

_MAX_LAG_SECONDS = 0.08


@behave.when(
    'the random histories {first:d} to {last:d} of instances with limited'
    ' processor time are played'
)
def play_histories(context, first, last):
    context.histories = {
        seed: hot_instances.Simulation(seed).play()
        for seed in range(first, last + 1)
    }


@behave.then('no account was short of its part in any 6 seconds of them')
def check_short(context):
    short = {
        seed: [
            (each.account, each.start, each.granted, each.due)
            for each in history.list_short()
        ]
        for seed, history in context.histories.items()
    }
    assert not any(short.values()), short


@behave.then(
    'at most {fraction:g} of the attempts were left unread until their callers'
    ' left'
)
def check_unread(context, fraction):
    for seed, history in context.histories.items():
        left = history.ends['left unread']
        assert left <= fraction * history.ends.total(), (seed, history.ends)


def _build_overflow(context):
    context.lag = 0.0
    context.overflow = overflow.Overflow(
        lambda: 1.0,
        read_lag=lambda: context.lag,
        read_max_lag=lambda: _MAX_LAG_SECONDS,
    )


@behave.given(
    'an instance that is behind, to which "{flooding}" brings {many:d}'
    ' connections and "{other}" {few:d}'
)
def bring_connections(context, flooding, many, other, few):
    _build_overflow(context)
    for host in many * [flooding] + few * [other]:
        context.overflow.refuses_connection(host)
    context.lag = 1.2 * _MAX_LAG_SECONDS


@behave.when('it is behind by three times as much')
def fall_behind(context):
    context.lag *= 3


@behave.then('it refuses a connection from "{host}"')
def check_refuses(context, host):
    assert context.overflow.refuses_connection(host)


@behave.then('it accepts a connection from "{host}"')
def check_accepts(context, host):
    assert not context.overflow.refuses_connection(host)


@behave.given(
    'an instance that is behind, to which {count:d} hosts bring a connection'
    ' each'
)
def bring_hosts(context, count):
    _build_overflow(context)
    for number in range(count):
        context.overflow.refuses_connection(f'host-{number}')


@behave.then('it counts at most {count:d} hosts')
def check_hosts(context, count):
    assert len(context.overflow._arrivals._current) <= count
