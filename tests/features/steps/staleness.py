"""Steps about how soon a change is in force, with the real followers."""

import itertools
import logging
import re

import behave

from amaranthslip.configuration import sources
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
    # Thousands of worlds lose their stores: behave would keep every line.
    logger = logging.getLogger('amaranthslip')
    context.add_cleanup(logger.setLevel, logger.level)
    logger.setLevel(logging.ERROR)
    context.late = []
    context.needless = []


@behave.given('the part {part} of the bound is {value:g}')
def change_part(context, part, value):
    before = getattr(staleness, part)
    setattr(staleness, part, value)
    context.add_cleanup(setattr, staleness, part, before)


def _choose_calm(bound):
    return max(_CALM_SECONDS, _CALM_BOUNDS * bound)


def _find_late(world, change, label):
    """Let a change come; return which sound members did not hear in time."""
    try:
        world.network.call_at(change, lambda: world.store.write(2))
        world.advance(change + world.bound)
        return [
            (*label, each.name)
            for each in world.members.values()
            if each.holder.document.version < 2
            and each.name not in world.faults
        ]
    finally:
        world.close()


def _list_moments(bound):
    """Return moments of a fault and of a change around it, in seconds."""
    for phase, offset in itertools.product(_PHASES, _OFFSETS):
        since = _choose_calm(bound) + phase * bound
        yield since, since + offset * bound


@behave.when('{target} may fail in every way, at every moment around a change')
def fail(context, target):
    for kind in store_followers.FAULTS:
        for since, change in _list_moments(context.bound):
            world = store_followers.World(context.bound)
            names = world.list_targets(target)
            until = since + 5 * context.bound
            world.break_members(kind, names, since, until)
            label = (target, kind, since, change)
            context.late += _find_late(world, change, label)
            if context.late:
                return


@behave.when('a failure domain with a watcher is lost around a change')
def lose_domain(context):
    for since, change in _list_moments(context.bound):
        world = store_followers.World(context.bound)
        names = world.list_targets('a domain')
        world.break_members('killed', names, since, since + 5 * context.bound)
        label = ('domain', since, change)
        context.late += _find_late(world, change, label)


@behave.when('a failure domain is cut off from the others around a change')
def part(context):
    for domain in store_followers.DOMAINS:
        for since, change in _list_moments(context.bound):
            world = store_followers.World(context.bound)
            world.part(domain, since)
            label = (domain, since, change)
            context.late += _find_late(world, change, label)


@behave.then('every listener knows each change in time')
def check_in_time(context):
    assert not context.late, context.late


@behave.when(
    'nothing fails for {count:d} bounds, and something changes {pace}'
)
def run_calm(context, count, pace):
    world = store_followers.World(context.bound)
    others = [
        each
        for each in world.members.values()
        if each.name not in world.watchers
    ]
    try:
        world.advance(_choose_calm(context.bound))
        before = [each.client.calls for each in others]
        _play_changes(world, count * context.bound, pace)
        after = [each.client.calls for each in others]
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


@behave.then('only watchers ask the store after its start')
def check_no_calls(context):
    assert not context.needless, context.needless


@behave.when('the store turns all watchers away, and a version comes at once')
def refuse(context):
    world = context.world = store_followers.World(context.bound)
    context.add_cleanup(world.close)
    since = _choose_calm(context.bound)
    names = world.list_targets('all watchers')
    world.break_members('refused', names, since, since + 5 * context.bound)
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


@behave.when(
    'the store turns all watchers away for {count:d} bounds, and something'
    ' changes'
)
def turn_away(context, count):
    world = context.world = store_followers.World(context.bound)
    context.add_cleanup(world.close)
    since = _choose_calm(context.bound)
    seconds = count * context.bound
    names = world.list_targets('all watchers')
    world.break_members('refused', names, since, since + seconds)
    for member in world.members.values():
        member.client.stale = False
    world.advance(since + context.bound)
    context.before = {
        name: each.client.calls for name, each in world.members.items()
    }
    _play_changes(world, seconds - context.bound, 'every 0.61 bounds')


@behave.then('after a bound, only they and the next in rank ask it')
def check_next(context):
    world = context.world
    ranks = world.members['a1'].relaying.sources.list_candidates()
    asked = {
        name
        for name, each in world.members.items()
        if each.client.calls > context.before[name]
    }
    assert asked == set(ranks[: 2 * sources.WATCHERS]), asked
