"""Steps about instances that have limited processor time."""

import behave

from bench import hot_instances


@behave.when(
    '{count:d} random histories of instances with limited processor time are'
    ' played'
)
def play_histories(context, count):
    context.histories = {
        seed: hot_instances.Simulation(seed).play()
        for seed in range(1, count + 1)
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
