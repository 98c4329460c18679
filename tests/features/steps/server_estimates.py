"""Steps about estimates of servers that instances share."""

import behave

from amaranthslip.capacity import estimates
from amaranthslip.configuration import routes
from amaranthslip import identity
from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.requests import prompts
from amaranthslip.shares import load_messages
from amaranthslip.shares import places
from amaranthslip.shares import server_estimates
from bench import patterns

registry.register_all()
_SERVER = 'engine-0'


class _Fleet:
    """Three instances of `bench.patterns`; messages pass the codec."""

    def __init__(self, adaptive='always', servers=2):
        self.now = 100.0
        self.adaptive = adaptive
        self.names = ['one', 'two', 'three']
        self.servers = [patterns.build_server(each) for each in range(servers)]
        self.holder = patterns.build_holder()
        self.messages = []
        self.counts = []
        self.instances = {}
        for name in self.names:
            self.instances[name] = patterns.Instance(self, name)

    def read_clock(self):
        return self.now

    def count(self, name, label, amount=1):
        """Note a counter that is increased."""
        self.counts.append((name, label))

    def deliver(self, sender, name, message):
        self.messages.append(message)
        (message,) = codec.decode(codec.encode([message]))
        instance = self.instances[name]
        if isinstance(
            message, (load_messages.DemandReport, load_messages.DemandLevel)
        ):
            instance.reports.receive(sender, message)
        else:
            instance.keepers.receive(sender, message)

    @property
    def keeper(self):
        """The instance that keeps the server."""
        name = self.instances['one'].keepers.find_keeper(_SERVER)
        return self.instances[name]

    @property
    def other(self):
        """An instance that does not keep it."""
        return next(
            each for each in self.instances.values() if each is not self.keeper
        )


def _find_engine(instance, name=_SERVER):
    return instance.placement.engines.get(name)


def _list_engines(fleet):
    return [_find_engine(each) for each in fleet.instances.values()]


def _build_request(fleet, *, plain):
    route = routes.Route(
        name='r',
        host='h',
        prefix='/',
        kind=routes.RouteKind.IDEMPOTENT if plain else routes.RouteKind.STREAM,
        destinations=[],
        timeout_seconds=10.0,
        objective_seconds=5.0,
        gap_seconds=0.4,
    )
    prompt = prompts.Prompt(
        model='m',
        parts=[prompts.PromptPart(f'own-{fleet.now}', 5000)],
        prompt_tokens=5000,
        max_output_tokens=10,
    )
    return places.PlacementRequest(
        service=patterns.SERVICE,
        client_account='',
        route=route,
        prompt=None if plain else prompt,
        arrived=fleet.now,
        deadline=fleet.now + 10,
        regions=None,
    )


def _reserve(fleet, *, plain=False):
    request = _build_request(fleet, plain=plain)
    request.excluded_servers.update(
        each.name for each in fleet.servers if each.name != _SERVER
    )
    return fleet.other.keepers.reserve(request)


@behave.given('three adapting instances')
def start(context):
    context.fleet = _Fleet()


@behave.given('three adapting instances with {count:d} servers')
def start_many(context, count):
    context.fleet = _Fleet(servers=count)


@behave.given('three instances that do not adapt')
def start_registered(context):
    # The servers of `bench.patterns` do not register a start.
    context.fleet = _Fleet(adaptive='registered')


@behave.when('an instance gets an answer of a server that another one keeps')
def answer(context):
    fleet = context.fleet
    place = _reserve(fleet)
    fleet.now += 5000 / 90000 + 0.02
    place.note_load(
        estimates.ReportedLoad(running=3, waiting=1, slots=8, slowdown=1.5)
    )
    place.start()
    fleet.now += 0.5
    place.note_pause(0.1)
    place.succeed()


@behave.then('the keeper knows the load that the server reported')
def check_load(context):
    load = _find_engine(context.fleet.keeper).estimate.load
    values = (load.running, load.waiting, load.slots, load.slowdown)
    assert values == (3, 1, 8, 1.5), values


@behave.then('the keeper has a reading rate closer to that of the server')
def check_closer(context):
    rate = _find_engine(context.fleet.keeper).queue.rate
    assert 45000 < rate < 110000, rate


@behave.when(
    'an instance gets {count:d} plain answers, each {factor:d} times as slow'
    ' with {running:d} requests'
)
def answer_plain(context, count, factor, running):
    fleet = context.fleet
    times = fleet.other.placement.engines.usual_times
    times.record(patterns.SERVICE, 'r', 0.1)
    for number in range(count):
        others = [
            _reserve(fleet, plain=True)
            for _ in range(running - 1 if number % 2 else 0)
        ]
        place = _reserve(fleet, plain=True)
        fleet.now += 0.1 * (factor if others else 1)
        place.succeed()
        for other in others:
            other.cancel()


@behave.then(
    "the keeper has lowered the server's limit, and only it counts the change"
)
def check_lowered(context):
    assert _find_engine(context.fleet.keeper).estimate.read_limit() <= 5
    changes = [
        label
        for name, label in context.fleet.counts
        if name == 'server_limits'
    ]
    # Two counts of the same change would follow each other.
    expected = ['lowered', 'raised'] * len(changes)
    assert changes and changes == expected[: len(changes)], changes


@behave.then('nobody knows a load, and no message has a field that is new')
def check_nothing(context):
    fleet = context.fleet
    assert all(each.estimate.load is None for each in _list_engines(fleet))
    for message in fleet.messages:
        for name in ('slots', 'began_running', 'slowdown', 'estimates'):
            assert not getattr(message, name, 0), (type(message), name)


@behave.when('a keeper has learnt a rate of {rate:d} tokens a second')
def learn_rate(context, rate):
    fleet = context.fleet
    engine = _find_engine(fleet.keeper)
    engine.queue.rate = float(rate)
    engine.estimate.note_load(
        estimates.ReportedLoad(running=1, waiting=0, slots=8), fleet.now
    )


@behave.when('all instances report their demand twice')
def report(context):
    for _ in range(2):
        context.fleet.now += 0.5
        for instance in context.fleet.instances.values():
            instance.reports.report()


@behave.then('all instances expect that rate, the aggregator included')
def check_all(context):
    rates = [each.queue.rate for each in _list_engines(context.fleet)]
    assert rates == [90000.0] * 3, rates


def _build_state(**changes):
    values = {
        'server': identity.hash_name(_SERVER),
        'incarnation': 1,
        'rate': 50000.0,
        'congestion': 0.0,
        'limit': 8,
        'seconds': 0.0,
        'running': 0,
        'held': 0,
        'backlog': 0.0,
        'age_ms': 0,
    }
    return load_messages.ServerState(**(values | changes))


def _build_estimates(fleet):
    return server_estimates.ServerEstimates(
        fleet.other.placement.engines,
        fleet.other.keepers.find_keeper,
        fleet.other.name,
        clock=fleet.read_clock,
    )


@behave.then('an entry of another incarnation is ignored')
def check_incarnation(context):
    known = _build_estimates(context.fleet)
    known.receive([_build_state(incarnation=2)])
    assert known.find(_SERVER) is None
    assert _find_engine(context.fleet.other).queue.rate == 25000.0


@behave.then('an entry that is {seconds:f} s old is ignored')
def check_old(context, seconds):
    known = _build_estimates(context.fleet)
    known.receive([_build_state(age_ms=int(1000 * seconds))])
    assert known.find(_SERVER) is None


@behave.then('an entry is forgotten after {seconds:f} s')
def check_forgotten(context, seconds):
    known = _build_estimates(context.fleet)
    known.receive([_build_state()])
    assert known.find(_SERVER) is not None
    context.fleet.now += seconds
    assert known.find(_SERVER) is None
    assert not known.list_for('one')


@behave.then('an older entry does not replace a newer one')
def check_newer(context):
    known = _build_estimates(context.fleet)
    known.receive([_build_state(rate=60000.0)])
    known.receive([_build_state(rate=30000.0, age_ms=100)])
    assert known.find(_SERVER).state.rate == 60000.0
    assert _find_engine(context.fleet.other).queue.rate == 60000.0


@behave.when(
    'an entry with {rate:d} tokens a second reaches it that is {seconds:d} s'
    ' older'
)
def receive_late(context, rate, seconds):
    fleet = context.fleet
    state = _build_state(rate=float(rate), age_ms=1000 * seconds)
    message = load_messages.DemandLevel(
        level=0.0, accounts=[], estimates=[state]
    )
    fleet.keeper.reports.receive('three', message)


@behave.then('the keeper still expects {rate:d} tokens a second')
def check_still(context, rate):
    assert _find_engine(context.fleet.keeper).queue.rate == rate


@behave.when('all servers have answered')
def answer_all(context):
    fleet = context.fleet
    load = estimates.ReportedLoad(running=1, waiting=0, slots=8)
    for instance in fleet.instances.values():
        for engine in instance.placement.engines.list_all():
            engine.estimate.note_load(load, fleet.now)


@behave.then(
    '{count:d} answers to one instance tell of all servers, each of at most'
    ' {most:d}'
)
def check_turns(context, count, most):
    fleet = context.fleet
    known = _build_estimates(fleet)
    for instance in fleet.instances.values():
        if instance is not fleet.other:
            keeper = server_estimates.ServerEstimates(
                instance.placement.engines,
                instance.keepers.find_keeper,
                instance.name,
                clock=fleet.read_clock,
            )
            known.receive(keeper.list_kept())
            fleet.now += 0.1
            known.receive(keeper.list_kept())
    told = [known.list_for('x') for _ in range(count)]
    assert max(map(len, told)) <= most, told
    names = {state.server for states in told for state in states}
    assert len(names) == len(fleet.servers), len(names)


@behave.given(
    'the event loop of one that is not the keeper lags by {seconds:f} s'
)
def lag(context, seconds):
    context.fleet.other.keepers._read_lag = lambda: seconds


@behave.then("the keeper has not lowered the server's limit")
def check_kept(context):
    limit = _find_engine(context.fleet.keeper).estimate.read_limit()
    assert limit == patterns.SLOTS, limit


@behave.when("the server's entry has {slots:d} slots instead of 64")
def change_slots(context, slots):
    for instance in context.fleet.instances.values():
        server = patterns.build_server(0)
        assert server.slots == patterns.SLOTS == 64
        assert _find_engine(instance).estimate.read_limit() == 64
        server.slots = slots
        instance.directory.put(server)


@behave.then('its limit is {limit:d} at each instance')
def check_limits(context, limit):
    limits = [
        each.estimate.read_limit() for each in _list_engines(context.fleet)
    ]
    assert limits == [limit] * 3, limits


@behave.when('the server restarts')
def restart(context):
    server = patterns.build_server(0, incarnation=2)
    context.fleet.keeper.directory.put(server)


@behave.then('the keeper knows nothing of it')
def check_unknown(context):
    engine = _find_engine(context.fleet.keeper)
    assert engine.estimate.load is None
    assert engine.queue.rate == 25000.0, engine.queue.rate
