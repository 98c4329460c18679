"""Steps about the memory of engines."""

import behave
import gevent

from amaranthslip.capacity import memory
from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import registry
from bench import patterns
from tests.support import machines
from tests.support import memory_machine


@behave.when(
    'the memory state machine runs {runs:d} times with {steps:d} steps'
)
def run_machine(context, runs, steps):
    machines.run_machine(
        context, memory_machine.MemoryMachine, runs=runs, steps=steps
    )


@behave.then('no run of the memory state machine failed')
def check_machine(context):
    assert context.machine_error is None, context.machine_error


def _start(context, servers, adaptive, **values):
    fleet = context.fleet = memory_machine.MemoryFleet(
        ('one', 'two', 'three'), servers, adaptive=adaptive, **values
    )
    fleet.end_takeovers()
    context.keeper = fleet.find_keeper('one')
    context.sender, context.other = (
        each for each in fleet.names if each != context.keeper
    )


@behave.given(
    'three instances and {servers:d} engine, of a service that adapts'
)
@behave.given(
    'three instances and {servers:d} engines, of a service that adapts'
)
def start_adaptive(context, servers):
    _start(context, servers, 'always')


@behave.given(
    'three instances and {servers:d} engine, of a service that does not adapt'
)
def start_not_adaptive(context, servers):
    _start(context, servers, 'never')


def _place(context, name, tokens, full=()):
    """Place a request; return the place."""
    fleet = context.fleet
    request = memory_machine.build_request(fleet.now, tokens)
    request.excluded_servers.update(full)
    return fleet.instances[name].keepers.reserve(request)


def _try_place(context, name, tokens):
    context.place = context.refusal = None
    try:
        context.place = _place(context, name, tokens)
    except errors.RequestRefused as refusal:
        context.refusal = refusal
    return context.place


def _fill(context, server, tokens):
    others = {each.name for each in context.fleet.servers} - {server}
    keeper = context.fleet.find_keeper('one', server)
    _place(context, keeper, tokens, full=others)


@behave.given('the first engine holds {tokens:d} tokens')
def fill_first(context, tokens):
    _fill(context, 'engine-0', tokens)


@behave.given('all engines hold {tokens:d} tokens')
def fill_all(context, tokens):
    for server in context.fleet.servers:
        _fill(context, server.name, tokens)


@behave.when(
    'an instance that is not its keeper places {tokens:d} tokens, and prefers'
    ' it'
)
def place_at_first(context, tokens):
    fleet = context.fleet
    for name in fleet.names:
        # The second engine has prompts to read.
        engine = fleet.find_engine(name, 'engine-1')
        engine.queue.add(400000.0, fleet.now)
    _try_place(context, context.sender, tokens)


@behave.when('an instance that is not its keeper places {tokens:d} tokens')
@behave.when('an instance places {tokens:d} tokens')
def place(context, tokens):
    context.fleet.sent.clear()
    _try_place(context, context.sender, tokens)


@behave.then('the request is at the first engine')
def check_first(context):
    assert context.place.server.name == 'engine-0', context.refusal


@behave.then('the request is at the second engine')
def check_second(context):
    assert context.place.server.name == 'engine-1', context.refusal


@behave.then("the first engine's keeper counts {tokens:d} tokens")
@behave.then('the new keeper counts {tokens:d} tokens')
def check_counted(context, tokens):
    fleet = context.fleet
    keeper = fleet.find_keeper(context.keeper)
    fleet.read_kept(keeper).has_room(fleet.find_engine(keeper), 0)
    counted = fleet.find_engine(keeper).total_held_tokens
    assert counted == tokens, counted


@behave.then(
    'it is refused as no_memory, to come back in {low:f} to {high:f} s'
)
def check_refused(context, low, high):
    assert context.refusal.reason == 'no_memory', context.refusal
    assert context.refusal.status == 503
    assert low <= context.refusal.retry_after <= high, (
        context.refusal.retry_after
    )


@behave.then('it is refused as no_memory, without a time to come back')
def check_refused_for_good(context):
    assert context.refusal.reason == 'no_memory', context.refusal
    assert context.refusal.retry_after is None


@behave.then('{count:d} keepers had no room for it')
def check_no_room(context, count):
    assert context.fleet.counts['keeper_asks', 'no_memory'] == count


@behave.then('no keeper counts it')
def check_not_counted(context):
    for server in context.fleet.servers:
        keeper = context.fleet.find_keeper('one', server.name)
        engine = context.fleet.find_engine(keeper, server.name)
        assert engine.total_held_tokens == 230000, engine.total_held_tokens


@behave.then('no keeper was asked')
def check_not_asked(context):
    assert not context.fleet.sent, context.fleet.sent


@behave.given(
    'each instance has a request of {tokens:d} tokens at the first engine'
)
def place_each(context, tokens):
    context.places = {
        name: _place(context, name, tokens) for name in context.fleet.names
    }


def _remove(context, observer, name):
    fleet = context.fleet
    fleet.read_roster(observer).remove(name)
    fleet.instances[observer].keepers.grants.report_changes()


@behave.when('the keeper of the first engine is lost, and the others see it')
def lose_keeper(context):
    fleet = context.fleet
    lost = context.keeper
    del fleet.instances[lost]
    for name in fleet.instances:
        _remove(context, name, lost)
    context.keeper = fleet.find_keeper(context.sender)


def _list_unregistered(fleet, *, listed):
    # Such an entry makes the whole service one that does not adapt.
    for instance in fleet.instances.values():
        if listed:
            instance.directory.put(patterns.build_server(9, incarnation=1))
        else:
            instance.directory.remove('engine-9')


@behave.given('the service adapts while all its entries have a start')
def register_starts(context):
    _start(context, 1, 'registered', incarnation=7)


@behave.when('an entry without a start comes, the request ends, and it goes')
def lose_registration(context):
    _list_unregistered(context.fleet, listed=True)
    assert not context.fleet.read_kept(context.keeper)._limits.read(
        patterns.SERVICE
    )
    context.first_place.succeed()
    _list_unregistered(context.fleet, listed=False)


@behave.when('the time for reports is over')
def wait(context):
    context.fleet.now += memory.MAX_TAKEOVER_SECONDS


@behave.when('the request of the instance that is not the keeper ends')
def end_other(context):
    for name in context.fleet.instances:
        if name != context.keeper:
            context.places[name].succeed()


def _find_next_keeper(context):
    """Return who keeps the first engine after its keeper, and who is left."""
    fleet = context.fleet
    roster = fleet.read_roster(context.sender)
    roster.remove(context.keeper)
    following = fleet.find_keeper(context.sender)
    roster.put(patterns.build_member(context.keeper))
    (last,) = set(fleet.names) - {context.keeper, following}
    return following, last


@behave.given(
    'a request of {tokens:d} tokens of the instance that sees changes last'
)
def place_last(context, tokens):
    following, last = _find_next_keeper(context)
    _place(context, last, tokens)
    # The next keeper learns the total by an answer.
    _place(context, following, 200).succeed()
    context.following = following


@behave.when(
    'the keeper of the first engine is lost, and only the new one sees it'
)
def lose_keeper_unseen(context):
    del context.fleet.instances[context.keeper]
    _remove(context, context.following, context.keeper)
    context.keeper = context.following


@behave.then('it refuses {large:d} tokens and grants {small:d}')
def check_new_keeper(context, large, small):
    assert _try_place(context, context.keeper, large) is None
    assert _try_place(context, context.keeper, small), context.refusal


@behave.given(
    'a request of {tokens:d} tokens of an instance that is not the keeper'
)
def place_sender(context, tokens):
    context.first_place = _place(context, context.sender, tokens)


@behave.when('the keeper stops reading')
def stop_reading(context):
    context.fleet.unread[context.keeper] = []


@behave.when('the keeper reads again')
def resume_reading(context):
    context.fleet.resume(context.keeper)


@behave.then('that instance refuses {large:d} tokens and places {small:d}')
def check_silent(context, large, small):
    assert _try_place(context, context.sender, large) is None
    assert _try_place(context, context.sender, small), context.refusal


@behave.then(
    'that instance places {count:d} requests of {tokens:d} tokens and refuses'
    ' the next'
)
def check_growth(context, count, tokens):
    for _ in range(count):
        assert _try_place(context, context.sender, tokens), context.refusal
    assert _try_place(context, context.sender, tokens) is None


@behave.when(
    'that instance places {tokens:d} tokens, and the keeper places {own:d}'
)
def place_both(context, tokens, own):
    assert _try_place(context, context.sender, tokens), context.refusal
    assert _try_place(context, context.keeper, own), context.refusal


@behave.when(
    'that instance loses sight of the keeper, ends it and sees it again'
)
def lose_sight(context):
    fleet = context.fleet
    _remove(context, context.sender, context.keeper)
    context.first_place.succeed()
    fleet.read_roster(context.sender).put(
        patterns.build_member(context.keeper)
    )
    fleet.instances[context.sender].keepers.grants.report_changes()


@behave.when('the deadline of a request passes while the keeper is asked')
def pass_deadline(context):
    try:
        with gevent.Timeout(0.005, errors.OutcomeUnknown('deadline', '')):
            _place(context, context.sender, 24000)
    except errors.OutcomeUnknown:
        return
    raise AssertionError('the request was placed before its deadline')


@behave.when("a keeper's answer of an older release is decoded")
def decode_old_answer(context):
    registry.register_all()
    batch = codec._SCHEMA.Batch.new_message()
    answer = batch.init('messages', 1)[0].init('placeAnswer')
    answer.number = 7
    answer.admitted = True
    (context.answer,) = codec.decode(batch.to_bytes())


@behave.then('it does not refuse')
def check_granted(context):
    assert context.answer.admitted
    assert not context.answer.refused
