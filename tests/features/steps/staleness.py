"""Steps about how soon a change is in force, with the real followers."""

import itertools
import re

import behave

from amaranthslip.configuration import staleness
from tests.support import store_followers

# Bounds that a world runs before a fault, and seconds at least: all polls are
# out of step by then, and whoever starts no longer takes itself for alone.
_CALM_BOUNDS = 3
_CALM_SECONDS = 3.0
# Moments of the fault within its watcher's poll, and of the change after the
# fault, in parts of the bound. The worst is a change just behind a fault that
# comes just behind the last thing that a watcher could prove.
_PHASES = (0.0, 0.08, 0.16, 0.24, 0.32, 0.4)
_OFFSETS = (-0.1, 0.005, 0.1, 0.3, 0.7, 1.2)


@behave.given('followers that must know a change within {bound:g} seconds')
def start(context, bound):
    context.bound = bound
    context.late = []
    context.needless = []


@behave.given('the part {part} of the bound is {value:g}')
def change_part(context, part, value):
    before = getattr(staleness, part)
    setattr(staleness, part, value)
    context.add_cleanup(setattr, staleness, part, before)


def _choose_calm(bound):
    return max(_CALM_SECONDS, _CALM_BOUNDS * bound)


def _find_late(context, kind, count, phase, offset):
    """Play one fault around one change; return which listeners were late."""
    world = store_followers.World(context.bound)
    try:
        since = _choose_calm(context.bound) + phase * context.bound
        change = since + offset * context.bound
        first = min(since, change)
        world.break_watchers(kind, count, since, since + 5 * context.bound)
        world.network.call_at(change, lambda: world.store.write(2))
        world.advance(first)
        world.advance(change + context.bound - first)
        return [
            (kind, count, phase, offset, each.name)
            for each in world.listeners
            if each.holder.document.version < 2
        ]
    finally:
        world.close()


@behave.when('watchers fail in every way, at every moment around a change')
def fail(context):
    for case in itertools.product(
        store_followers.FAULTS, (1, 2), _PHASES, _OFFSETS
    ):
        context.late += _find_late(context, *case)


@behave.then('every listener knows each change in time')
def check_in_time(context):
    assert not context.late, context.late


@behave.when(
    'nothing fails for {count:d} bounds, and something changes {pace}'
)
def run_calm(context, count, pace):
    world = store_followers.World(context.bound)
    try:
        world.advance(_choose_calm(context.bound))
        before = [each.client.calls for each in world.listeners]
        _play_changes(world, count * context.bound, pace)
        after = [each.client.calls for each in world.listeners]
    finally:
        world.close()
    context.needless = [b - a for a, b in zip(before, after) if b > a]


def _play_changes(world, seconds, pace):
    found = re.search(r'[0-9.]+', pace)
    step = float(found.group()) * world.bound if found else seconds
    version = 1
    until = world.now + seconds
    while world.now < until:
        world.advance(step)
        version += 1
        world.store.write(version)


@behave.then('no listener asks the store after its start')
def check_no_calls(context):
    assert not context.needless, context.needless


@behave.when('the store turns both watchers away, and a version comes at once')
def refuse(context):
    world = context.world = store_followers.World(context.bound)
    context.add_cleanup(world.close)
    since = _choose_calm(context.bound)
    world.break_watchers('refused', 2, since, since + 5 * context.bound)
    world.advance(since + 0.05)
    world.store.write(2)


@behave.then('every listener knows it within {seconds:g} seconds')
def check_soon(context, seconds):
    context.world.advance(seconds)
    for listener in context.world.listeners:
        assert listener.holder.document.version == 2, listener.name


@behave.then('a listener is late, or asks the store without need')
def check_noticed(context):
    assert context.late or context.needless
