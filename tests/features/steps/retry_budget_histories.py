"""Steps about histories of a fleet's retry budget."""

import contextlib
import logging

import behave

from tests.support import budget_histories


@contextlib.contextmanager
def _silence(name):
    """Drop the lines of a logger below errors; thousands would be captured."""
    logger = logging.getLogger(name)
    level = logger.level
    logger.setLevel(logging.ERROR)
    try:
        yield
    finally:
        logger.setLevel(level)


@behave.given('a fleet of {count:d} instances with steady requests')
def start(context, count):
    context.fleet = budget_histories.Fleet(count)


@behave.when(
    'all tries fail from {start:g} s for {seconds:g} s, and retries wait up to'
    ' {wait:g} s for a place'
)
def fail(context, start, seconds, wait):
    fleet = context.fleet
    fleet.run(start - fleet.now)
    fleet.longest_wait = wait
    fleet.begin_failing(1.0)
    fleet.run(seconds)
    fleet.begin_failing(0.0)


@behave.when('callers come to the {half} half of the instances')
def move(context, half):
    names = context.fleet.names
    middle = len(names) // 2
    chosen = names[:middle] if half == 'first' else names[middle:]
    context.fleet.move_callers(dict.fromkeys(chosen, 1.0))


@behave.when('all processes are replaced')
def replace(context):
    context.fleet.replace(list(context.fleet.names))


@behave.then('no window of the fleet has more retries than it may have')
def check_fleet(context):
    context.fleet.run(12.0)
    use = context.fleet.compute_worst_use()
    assert use <= 1.0, f'{use:.2f} times as many as allowed'


@behave.when('{histories:d} histories of {count:d} instances are drawn')
def draw(context, histories, count):
    with _silence('amaranthslip.requests.budget'):
        context.uses = {
            seed: budget_histories.DrawnHistory(seed, count).play()
            for seed in range(1, histories + 1)
        }


@behave.then('none has a window with more retries than it may have')
def check_histories(context):
    above = {
        seed: round(use, 2) for seed, use in context.uses.items() if use > 1.0
    }
    assert not above, f'by seed, times as many as allowed: {above}'
