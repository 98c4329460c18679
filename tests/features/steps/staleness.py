"""Steps that check how soon a change is in force, with the real followers."""

import itertools
import logging
import re

import behave

from amaranthslip.configuration import sources
from amaranthslip.configuration import staleness
from tests.support import store_followers

# How long a simulation runs before a fault: this many bounds, and at least
# this many seconds. By then the polls of the watchers are staggered, and the
# time after the start in which no instance watches is over.
_WARM_UP_BOUNDS = 3
_MIN_WARM_UP_SECONDS = 3.0
# Times of the fault within the watcher's poll, and of the change relative to
# the fault, as fractions of the bound. The worst case is a change just after a
# fault that comes just after a watcher last proved its knowledge.
_FAULT_PHASES = (0.0, 0.08, 0.16, 0.24, 0.32, 0.4)
_CHANGE_OFFSETS = (-0.1, 0.005, 0.1, 0.3, 0.7, 1.2)


@behave.given('followers that must apply a change within {bound:g} seconds')
def start(context, bound):
    context.bound = bound
    # Members of thousands of simulations log the loss of the store, and behave
    # would capture every line.
    logger = logging.getLogger('amaranthslip')
    context.add_cleanup(logger.setLevel, logger.level)
    logger.setLevel(logging.ERROR)
    context.late = []
    context.needless_calls = []


@behave.given('the fraction {fraction} of the bound is {value:g}')
def change_fraction(context, fraction, value):
    before = getattr(staleness, fraction)
    setattr(staleness, fraction, value)
    context.add_cleanup(setattr, staleness, fraction, before)


def _choose_warm_up(bound):
    return max(_MIN_WARM_UP_SECONDS, _WARM_UP_BOUNDS * bound)


def _find_late(simulation, change, label):
    """Write a change; return the members without a fault that are late."""
    try:
        simulation.network.call_at(change, lambda: simulation.store.write(2))
        simulation.advance(change + simulation.bound)
        return [
            (*label, each.name)
            for each in simulation.members.values()
            if each.holder.document.version < 2
            and each.name not in simulation.faults
        ]
    finally:
        simulation.close()


def _list_fault_times(bound, phases=_FAULT_PHASES):
    """Yield the times of a fault and of a change around it, in seconds."""
    for phase, offset in itertools.product(phases, _CHANGE_OFFSETS):
        since = _choose_warm_up(bound) + phase * bound
        yield since, since + offset * bound


@behave.when(
    'every fault hits {target} at each of several times around a change'
)
def inject_target_faults(context, target):
    for kind in store_followers.FAULTS:
        for since, change in _list_fault_times(context.bound):
            simulation = store_followers.Simulation(context.bound)
            names = simulation.list_targets(target)
            until = since + 5 * context.bound
            simulation.inject_fault(kind, names, since, until)
            label = (target, kind, since, change)
            context.late += _find_late(simulation, change, label)
            if context.late:
                return


@behave.when(
    'the store gives a listener {answer}, and every fault hits {target} around'
    ' a change'
)
def turn_listener_away(context, answer, target):
    kind = {'errors': 'refused', 'no answer': 'cut'}[answer]
    # The listener's own polls don't depend on the phase of the watchers'.
    phases = _FAULT_PHASES[::3]
    for fault in store_followers.FAULTS:
        for since, change in _list_fault_times(context.bound, phases):
            simulation = store_followers.Simulation(context.bound)
            until = since + 5 * context.bound
            names = simulation.list_targets(target)
            simulation.inject_fault(fault, names, since, until)
            listener = simulation.listeners[0].name
            simulation.turn_away(kind, listener, since, until)
            label = (answer, target, fault, since, change)
            context.late += _find_late(simulation, change, label)


@behave.when('a failure domain with a watcher is lost around a change')
def lose_domain(context):
    for since, change in _list_fault_times(context.bound):
        simulation = store_followers.Simulation(context.bound)
        names = simulation.list_targets('a domain')
        simulation.inject_fault(
            'killed', names, since, since + 5 * context.bound
        )
        label = ('domain', since, change)
        context.late += _find_late(simulation, change, label)


@behave.when('a failure domain is partitioned from the others around a change')
def partition_domain(context):
    for domain in store_followers.DOMAINS:
        for since, change in _list_fault_times(context.bound):
            simulation = store_followers.Simulation(context.bound)
            simulation.partition(domain, since)
            label = (domain, since, change)
            context.late += _find_late(simulation, change, label)


@behave.then('every member without a fault applies each change in time')
def check_in_time(context):
    assert not context.late, context.late


@behave.when(
    'no fault occurs for {count:d} bounds, and a version is written {pace}'
)
def run_without_faults(context, count, pace):
    simulation = store_followers.Simulation(context.bound)
    others = [
        each
        for each in simulation.members.values()
        if each.name not in simulation.watchers
    ]
    try:
        simulation.advance(_choose_warm_up(context.bound))
        before = [each.client.calls for each in others]
        _write_changes(simulation, count * context.bound, pace)
        after = [each.client.calls for each in others]
    finally:
        simulation.close()
    context.needless_calls = [b - a for a, b in zip(before, after) if b > a]


def _write_changes(simulation, seconds, pace):
    found = re.search(r'[0-9.]+', pace)
    step = float(found.group()) * simulation.bound if found else seconds
    version = 1
    until = simulation.now + seconds
    while simulation.now < until:
        simulation.advance(step)
        version += 1
        simulation.store.write(version)


@behave.then('only watchers call the store after the warm-up')
def check_no_calls(context):
    assert not context.needless_calls, context.needless_calls


@behave.when(
    'the store refuses all watchers, and a version is written at once'
)
def refuse_and_write(context):
    simulation = context.simulation = store_followers.Simulation(context.bound)
    context.add_cleanup(simulation.close)
    since = _choose_warm_up(context.bound)
    names = simulation.list_targets('all watchers')
    simulation.inject_fault('refused', names, since, since + 5 * context.bound)
    simulation.advance(since + 0.05)
    simulation.store.write(2)


@behave.then('every listener applies it within {seconds:g} seconds')
def check_within(context, seconds):
    context.simulation.advance(seconds)
    for listener in context.simulation.listeners:
        assert listener.holder.document.version == 2, listener.name


@behave.then('a member is late, or calls the store needlessly')
def check_noticed(context):
    assert context.late or context.needless_calls


@behave.when(
    'the store refuses all watchers for {count:d} bounds, and versions are'
    ' written'
)
def refuse_watchers(context, count):
    simulation = context.simulation = store_followers.Simulation(context.bound)
    context.add_cleanup(simulation.close)
    since = _choose_warm_up(context.bound)
    seconds = count * context.bound
    names = simulation.list_targets('all watchers')
    simulation.inject_fault('refused', names, since, since + seconds)
    for member in simulation.members.values():
        member.client.connection_closed = False
    simulation.advance(since + context.bound)
    context.before = {
        name: each.client.calls for name, each in simulation.members.items()
    }
    _write_changes(simulation, seconds - context.bound, 'every 0.61 bounds')


@behave.then('after one bound, only they and the next in rank call the store')
def check_next(context):
    simulation = context.simulation
    ranks = simulation.members['a1'].relaying.sources.list_candidates()
    callers = {
        name
        for name, each in simulation.members.items()
        if each.client.calls > context.before[name]
    }
    assert callers == set(ranks[: 2 * sources.WATCHER_COUNT]), callers
