"""Steps about who is refused, on the real placement without a network."""

import random

import behave

from amaranthslip.capacity import reading
from amaranthslip import errors
from amaranthslip.requests import prompts
from amaranthslip.shares import demand
from amaranthslip.shares import places
from bench import patterns
from tests.support import placing

ACCOUNT = 'account-1'
# Its requests' own tokens: at a tenth of the largest an engine reads for a
# good part of the objective.
UNLIKE = patterns.Kind(
    'unlike',
    rate=1.0,
    shared=(100, 1),
    sessions=(0, 1),
    own=6600,
    generated=50,
    objective=2.0,
    timeout=15.0,
    worth=1.0,
)
_SEED = 20261203


def build_need(
    context, *, kind=patterns.KINDS[0], name='own', own=500, left=5.0
):
    """Return what a request of a kind needs, with its own tokens."""
    prompt = prompts.Prompt(
        model='m',
        parts=[prompts.Part('aa', 100), prompts.Part(name, own)],
        prompt_tokens=100 + own,
        most_tokens=50,
    )
    return places.Need(
        service=patterns.SERVICE,
        account=ACCOUNT,
        route=patterns.build_route(kind),
        prompt=prompt,
        arrived=context.stage.now,
        deadline=context.stage.now + left,
    )


@behave.given('two engines with {tokens:d} tokens to read each')
def start(context, tokens):
    context.stage = placing.Stage(2)
    context.instance = patterns.Instance(context.stage, 'instance-0')
    context.placement = context.instance.placement
    for engine in context.placement.engines.list_all():
        engine.queue.add(tokens, context.stage.now)


@behave.given(
    'they have {slots:d} slots, {running:d} requests each, and streams of'
    ' {seconds:g} s'
)
def take_slots(context, slots, running, seconds):
    engines = context.placement.engines
    for engine in engines.list_all():
        engine.server.slots = slots
        engine.others_running = running
        for _ in range(500):
            engines.note_run(engine, seconds)


@behave.given('an account at {use:g} times its share')
def use_share(context, use):
    # As the instance that adds up the fleet's totals tells it.
    context.placement.demand.note_asked(ACCOUNT, 0.0)
    totals = demand.Totals(asked=100.0 * max(1.0, use), granted=100.0 * use)
    context.placement.demand.hear_level(100.0, {ACCOUNT: totals}, seconds=60.0)


@behave.given(
    'an account that asks for {asks:g} times its share and had {use:g} of it'
)
def ask_share(context, asks, use):
    context.placement.demand.note_asked(ACCOUNT, 0.0)
    totals = demand.Totals(asked=100.0 * asks, granted=100.0 * use)
    context.placement.demand.hear_level(100.0, {ACCOUNT: totals}, seconds=60.0)


@behave.when(
    'a request of {tokens:d} tokens asks for a place, the first of its route'
)
@behave.when('a request of {tokens:d} tokens of that route asks for a place')
def ask_sized(context, tokens):
    need = build_need(
        context, kind=UNLIKE, name=f'own-{tokens}', own=tokens, left=15.0
    )
    try:
        context.place = context.placement.take(need)
    except errors.RequestRefused as refusal:
        context.place, context.refusal = None, refusal


@behave.when('a request that {past} asks for a place, with {left:d} s left')
@behave.when('a request that {past} asks for another, with {left:d} s left')
def ask(context, past, left):
    need = build_need(context, left=float(left))
    need.granted = past == 'had a place before'
    try:
        context.place = context.placement.take(need)
    except errors.RequestRefused as refusal:
        context.place, context.refusal = None, refusal


@behave.given('their backoffs are {first:g} s and {second:g} s')
def set_backoffs(context, first, second):
    engines = context.placement.engines.list_all()
    for engine, seconds in zip(engines, (first, second), strict=True):
        context.instance.directory.note_backoff(engine.server, seconds)


@behave.when('{seconds:g} s pass')
def pass_time(context, seconds):
    context.stage.now += seconds


@behave.when(
    'a request that failed at the second asks for another place, with {left:d}'
    ' s left'
)
def ask_after_failure(context, left):
    need = build_need(context, left=float(left))
    _, second = context.placement.engines.list_all()
    need.excluded.add(second.server.name)
    try:
        context.place = context.placement.take(need)
    except errors.RequestRefused as refusal:
        context.place, context.refusal = None, refusal


@behave.then('its Retry-After is {least:g} to {most:g} s')
def check_retry_after(context, least, most):
    assert least <= context.refusal.retry_after <= most, context.refusal


@behave.then('it is placed at the second')
def check_second(context):
    _, second = context.placement.engines.list_all()
    assert context.place.server.name == second.server.name


@behave.then('it is placed')
def check_placed(context):
    assert context.place is not None, context.refusal


@behave.then('it is refused at once')
def check_refused(context):
    assert context.place is None


@behave.when(
    '{count:d} requests of unlike sizes ask for a place, before unlike queues'
)
def ask_unlike(context, count):
    drawn = random.Random(_SEED)
    context.sized = []
    for number in range(count):
        for engine in context.placement.engines.list_all():
            backlog = drawn.uniform(0, UNLIKE.objective) * engine.queue.rate
            engine.queue.correct(backlog, context.stage.now)
        own = min(int(drawn.lognormvariate(8.2, 1.1)), 8 * UNLIKE.own)
        sized = patterns.Sized(own)
        context.sized.append(sized)
        need = build_need(
            context, kind=UNLIKE, name=f'own-{number}', own=own, left=15.0
        )
        try:
            context.placement.take(need).withdraw()
        except errors.RequestRefused:
            continue
        sized.served = True


@behave.then(
    'of the largest tenth and of the fifth below it {part:g} times as many as'
    ' of all are placed at least'
)
def check_unlike(context, part):
    ranked = sorted(context.sized, key=lambda each: each.tokens)
    count = len(ranked)
    whole = patterns.read_served_part(ranked)
    for start, end in ((0.9, 1.0), (0.7, 0.9)):
        ranged = ranked[int(start * count) : int(end * count)]
        found = patterns.read_served_part(ranged)
        assert found >= part * whole, (start, found, whole)


@behave.then('some of all are refused')
def check_some_refused(context):
    assert patterns.read_served_part(context.sized) < 1.0


@behave.when(
    '{count:d} first events come {late:g} s later than reading explains, where'
    ' {running:d} run'
)
def come_late(context, count, late, running):
    stage = context.stage
    for engine in context.placement.engines.list_all():
        queue = engine.queue
        for _ in range(count):
            mark = queue.add(100, stage.now, running=running)
            took = 100 / queue.rate + reading.OVERHEAD_SECONDS + late
            queue.start(mark, stage.now + took)
            stage.now += 1.0


@behave.when('{many:d} run at the one engine and {few:d} at the other')
def run_unevenly(context, many, few):
    one, other = context.placement.engines.list_all()
    one.others_running, other.others_running = many, few
    context.crowded, context.calm = one, other


@behave.then(
    'a first event is expected {seconds:g} s later at the one, at least'
)
def check_expected(context, seconds):
    now = context.stage.now
    expected = [
        engine.queue.expect(500, now, engine.all_running)
        for engine in (context.crowded, context.calm)
    ]
    assert expected[0] - expected[1] >= seconds, expected


@behave.then('a request that is new is placed at the other')
def check_calm(context):
    place = context.placement.take(build_need(context))
    assert place.server.name == context.calm.server.name
