"""Steps about the requests of plain services that adapt."""

import json
import types

import behave
import gevent

from amaranthslip.backends import idle_limits
from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip.platform import configurations
from amaranthslip.shares import places
from amaranthslip.shares import queue_ceilings
from bench import patterns
from bench import plain_deployments
from bench import plain_load


def _start(context, way):
    context.fleet = plain_load.Simulation(
        plain_deployments.DEPLOYMENTS['second'], way, 1.0
    )
    context.places, context.refusals = [], []


@behave.given('a fleet whose services adapt')
def start_adaptive(context):
    _start(context, 'keepers')


@behave.given('a fleet whose services do not adapt')
def start_fixed(context):
    _start(context, 'local')


@behave.given('a usual time of {milliseconds:d} ms')
def set_usual(context, milliseconds):
    for instance in context.fleet.instances.values():
        instance.placement.engines.usual_times.record(
            plain_deployments.SERVICE, 'plain', milliseconds / 1000
        )


def _reserve(context, names, count):
    fleet = context.fleet
    for name in names:
        for _ in range(count):
            _reserve_request(context, name, fleet.build_request())


def _reserve_request(context, name, request):
    keepers = context.fleet.instances[name].keepers

    def reserve():
        try:
            context.places.append(keepers.reserve(request))
        except errors.RequestRefused as refusal:
            context.refusals.append(refusal)

    context.fleet.wait_until_done(gevent.spawn(reserve))


def _count_running(fleet, server):
    """Return the requests at a server, as its keeper counts them."""
    keeper = next(
        each
        for each in fleet.instances.values()
        if each.keepers.find_keeper(server) == each.name
    )
    engine = keeper.placement.engines.get(server)
    return keeper.placement.plain._read_running(engine, fleet.read_clock())


@behave.when('each instance reserves {count:d} places')
def reserve_each(context, count):
    _reserve(context, context.fleet.names, count)


@behave.when('{instances:d} instances reserve {count:d} places each')
def reserve_some(context, instances, count):
    _reserve(context, context.fleet.names[:instances], count)


@behave.when('an instance reserves {count:d} places')
def reserve_one(context, count):
    _reserve(context, context.fleet.names[:1], count)


@behave.then('no server has more than {count:d} places')
def check_bound(context, count):
    names = [each.server.name for each in context.places]
    held = {each: names.count(each) for each in names}
    assert 6 < max(held.values()) <= count, held
    for name in held:
        assert _count_running(context.fleet, name) == held[name], name


@behave.then('the others were refused for the load, with a time to come back')
def check_refused(context):
    assert len(context.refusals) + len(context.places) == 177
    for refusal in context.refusals:
        assert (refusal.status, refusal.reason) == (503, 'overload')
        assert refusal.retry_after >= 0.1, refusal.retry_after
    counted = context.fleet.counts['plain_refusals full']
    assert counted == len(context.refusals), counted


@behave.then('{count:d} places were reserved without a message')
def check_no_message(context, count):
    assert len(context.places) == count, context.refusals
    assert not context.fleet.counts['PlaceAsk']


@behave.then('{count:d} places were reserved')
def check_reserved(context, count):
    assert len(context.places) == count, context.refusals


@behave.given(
    'the keepers expect {factor:d} times as long at the first server'
)
def slow_down(context, factor):
    for instance in context.fleet.instances.values():
        estimate = instance.placement.engines.get('plain-0').estimate
        instance.placement.engines.get(
            'plain-0'
        ).estimate = types.SimpleNamespace(
            read_limit=estimate.read_limit,
            expect_seconds=lambda *values: (
                factor * estimate.expect_seconds(*values)
            ),
        )


@behave.then('the first server has {count:d} places')
def check_first(context, count):
    names = [each.server.name for each in context.places]
    assert names.count('plain-0') == count, names


@behave.when('an instance reserves a place with {milliseconds:d} ms left')
def reserve_late(context, milliseconds):
    request = context.fleet.build_request()
    request.deadline = request.arrived + milliseconds / 1000
    _reserve_request(context, context.fleet.names[0], request)


@behave.then('it is refused for the load, and the servers run nothing')
def check_refused_late(context):
    assert [each.reason for each in context.refusals] == ['overload']
    assert context.fleet.counts['plain_refusals late'] == 1
    check_idle(context)


@behave.then('the servers run nothing')
def check_idle(context):
    context.fleet.drain()
    for server in context.fleet.servers:
        for instance in context.fleet.instances.values():
            engine = instance.placement.engines.get(server.name)
            running = instance.placement.plain._read_running(
                engine, context.fleet.read_clock()
            )
            assert not running, (instance.name, server.name, running)


@behave.when('the deadline of a request passes while its instance asks')
def expire_in_ask(context):
    fleet = context.fleet
    kept = {
        fleet.instances[fleet.names[0]].keepers.find_keeper(each.name)
        for each in fleet.servers
    }
    name = next(each for each in fleet.names if each not in kept)
    greenlet = gevent.spawn(
        fleet.instances[name].keepers.reserve, fleet.build_request()
    )
    # The keeper has counted the request, and its answer is on the way.
    gevent.sleep(0)
    fleet.step()
    greenlet.kill()
    assert fleet.counts['PlaceAnswer'] == 1, fleet.counts
    fleet.drain()


@behave.given('no message is delivered')
def freeze(context):
    context.fleet.deliver = lambda sender, name, message: None


@behave.given('{count:d} requests at a server')
def send(context, count):
    context.execute_steps('given a usual time of 90 ms')
    while len(context.places) < count:
        _reserve(context, context.fleet.names, 1)
        for place in context.places:
            if place.server.name != 'plain-0':
                place.cancel()
        context.places = [
            each for each in context.places if each.server.name == 'plain-0'
        ]


def _set_keeper_state(context, state):
    fleet = context.fleet
    for instance in fleet.instances.values():
        if instance.name != context.keeper:
            member = patterns.build_member(context.keeper)
            member.state = state
            instance.roster.put(member)


@behave.when('another instance keeps the server while the requests end')
def move_keeper(context):
    fleet = context.fleet
    keepers = fleet.instances[fleet.names[0]].keepers
    context.keeper = keepers.find_keeper('plain-0')
    context.places = [
        each
        for each in context.places
        if each._manager is not fleet.instances[context.keeper].placement
    ]
    _set_keeper_state(context, members.MemberState.DEAD)
    # The keeper itself believes in another one that ranks before it.
    keepers = fleet.instances[context.keeper].keepers
    keepers._roster.invalidate()
    keepers._keeper_by_server.clear()
    own = keepers._roster.member.state
    keepers._roster.member.state = members.MemberState.DEAD
    keepers._roster.invalidate()
    keepers.find_keeper('plain-0')
    for place in context.places:
        place.succeed()
    fleet.drain()
    keepers._roster.member.state = own


@behave.when('the first one keeps it again')
def return_keeper(context):
    _set_keeper_state(context, members.MemberState.ALIVE)
    context.fleet.instances[context.keeper].roster.invalidate()
    context.fleet.advance(1.0)


@behave.when('their ends are lost, and {seconds:d} seconds pass')
def lose_ends(context, seconds):
    context.execute_steps('given no message is delivered')
    for place in context.places:
        place.cancel()
    context.fleet.drain()
    context.fleet.advance(seconds)
    for instance in context.fleet.instances.values():
        instance.keepers.drop_expired()


@behave.when('a server rejects a request while {count:d} others run')
def reject(context, count):
    context.ceiling = queue_ceilings.QueueCeiling()
    context.ceiling.note_rejection(count, 6, 100.0)


@behave.then('it gets 8 at once, 9 after 1 second, and 6 after 20 rejections')
def check_ceiling(context):
    assert context.ceiling.read(100.5) == 8
    assert context.ceiling.read(101.0) == 9
    for number in range(20):
        context.ceiling.note_rejection(3, 6, 101.0 + number)
    assert context.ceiling.read(120.0) == 6


@behave.given('servers that accept {count:d} requests, and have them')
def fill(context, count):
    fleet = context.fleet
    for instance in fleet.instances.values():
        for server in fleet.servers:
            engine = instance.placement.engines.get(server.name)
            instance.placement.plain.note_rejection(engine, count, 100.0)
    _reserve(context, fleet.names[:count], len(fleet.servers))
    assert len(context.places) == count * len(fleet.servers)


def _step_for(fleet, seconds):
    """Process the events of some seconds."""
    end = fleet.read_clock() + seconds
    while fleet.read_next_time() < end:
        fleet.step()


def _spawn_waiting(context, name):
    """Start a request that waits for a place at the first server."""
    fleet = context.fleet
    keepers = fleet.instances[name].keepers
    request = fleet.build_request()
    request.excluded_servers = {each.name for each in fleet.servers[1:]}

    def reserve():
        try:
            return keepers.reserve(request)
        except errors.RequestRefused as refusal:
            return refusal

    greenlet = gevent.spawn(reserve)
    gevent.sleep(0)
    _step_for(fleet, 0.02)
    assert not greenlet.dead, greenlet.value
    return greenlet


def _find_keeper(fleet):
    """Return the keeper of the first server, and another instance."""
    keeper = fleet.instances[fleet.names[0]].keepers.find_keeper('plain-0')
    return keeper, next(each for each in fleet.names if each != keeper)


def _free_place(context):
    place = next(
        each for each in context.places if each.server.name == 'plain-0'
    )
    context.places.remove(place)
    place.succeed()


@behave.when(
    '{instance} asks for a place, then another one, and one becomes free'
)
def ask_to_wait(context, instance):
    fleet = context.fleet
    keeper, other = _find_keeper(fleet)
    context.started_at = fleet.read_clock()
    name = keeper if instance == 'the keeper' else other
    context.first = _spawn_waiting(context, name)
    context.second = _spawn_waiting(context, other)
    _free_place(context)


@behave.then('{instance} has the place, and the other one is refused in time')
def check_order(context, instance):
    fleet = context.fleet
    fleet.wait_until_done(context.first)
    fleet.wait_until_done(context.second)
    assert isinstance(context.first.value, places.Place), context.first.value
    refusal = context.second.value
    assert isinstance(refusal, errors.RequestRefused), refusal
    took = fleet.read_clock() - context.started_at
    assert took < 0.4, took
    # The keeper hears that the other one no longer waits.
    _step_for(fleet, 0.01)
    running = _count_running(fleet, 'plain-0')
    assert running == 6, running


@behave.when('a request ends while it waits, and a place becomes free')
def end_waiting(context):
    fleet = context.fleet
    for name in _find_keeper(fleet):
        greenlet = _spawn_waiting(context, name)
        greenlet.kill()
        # Less than the time for which a request waits.
        _step_for(fleet, 0.01)
    _free_place(context)
    _step_for(fleet, 0.01)


@behave.then('the servers run {count:d} requests')
def check_total(context, count):
    names = [each.name for each in context.fleet.servers]
    running = [_count_running(context.fleet, each) for each in names]
    assert sum(running) == count, running


@behave.when(
    'the {deployment} deployment is offered {load:g} times its capacity'
)
def simulate(context, deployment, load):
    context.counts = {}
    for way in plain_load.WAYS:
        counts = context.counts[way] = None
        for seed in (1, 2):
            simulation = plain_load.Simulation(
                plain_deployments.DEPLOYMENTS[deployment], way, load, seed=seed
            )
            played = simulation.run(3.0)
            counts = played if counts is None else counts + played
        context.counts[way] = counts


@behave.then('at most {fraction:g} of the requests are rejected by a server')
def check_rejected(context, fraction):
    counts = context.counts['keepers']
    assert counts['rejected'] <= fraction * counts['arrivals'], counts


@behave.then(
    'at least {factor:g} times as many are in time as without keepers'
)
def check_in_time(context, factor):
    before = context.counts['local']['in_time']
    assert context.counts['keepers']['in_time'] >= factor * before, (
        context.counts
    )


@behave.when("the operator's service has the connections {value}")
def decode(context, value):
    values = {
        'version': 1,
        'services': [{'name': 's', 'max_connections': json.loads(value)}],
    }
    holder = types.SimpleNamespace(
        document=configurations.read_document(json.dumps(values).encode())
    )
    engines = types.SimpleNamespace(generation=1, adapts=lambda name: True)
    limits = idle_limits.IdleLimits(holder, engines, lambda: 59)
    context.limit = limits.read(types.SimpleNamespace(service='s'))


@behave.then('an instance of 59 keeps {count} idle connections to a server')
def check_limit(context, count):
    assert str(context.limit) == count, context.limit
