"""Steps for the health of backend servers and for their load reports."""

import random

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from amaranthslip.backends import loads
from amaranthslip.capacity import health
from amaranthslip.configuration import document
from amaranthslip import metrics
from amaranthslip.requests import outcomes
from tests.support import callers
from tests.support import exchanges
from tests.support import sides

_DONE = outcomes.Outcome.DONE
_FAILED = outcomes.Outcome.FAILED
_CANCELLED = outcomes.Outcome.CANCELLED


def _build(seed=1, clock=None, counted=None):
    return health.Health(
        callers.build_settings(backends={'eject_fraction': 0.5}),
        counted or metrics.Metrics(),
        random=random.Random(seed),
        clock=clock,
    )


@behave.given('the health of a service of {count:d} servers')
def start(context, count):
    context.now = [0.0]
    context.metrics = metrics.Metrics()
    context.health = _build(
        clock=lambda: context.now[0], counted=context.metrics
    )
    context.names = [f's{number}' for number in range(count)]
    context.health.set_service(context.names)
    context.health.set_service(['other-1', 'other-2'])


def _fail(context, name, count):
    for _ in range(count):
        context.health.begin(name)
        context.health.record(name, _FAILED)


@behave.when('server "{name}" fails {count:d} requests in a row')
def fail(context, name, count):
    _fail(context, name, count - 1)
    assert context.health.admits(name)
    _fail(context, name, 1)


@behave.then('health admits no request to "{name}" for {low:d} to {high:d} s')
def check_ejected(context, name, low, high):
    start = context.now[0]
    while not context.health.admits(name):
        context.now[0] += 0.01
        assert context.now[0] - start < high + 0.1
    assert context.now[0] - start >= low
    context.readmitted_at = context.now[0]


def _probe(context, name, outcome):
    while not context.health.admits(name):
        context.now[0] += 0.1
    context.health.begin(name)
    context.health.record(name, outcome)


@behave.when('the probe of "{name}" fails')
def fail_probe(context, name):
    _probe(context, name, _FAILED)


@behave.when('the probe of "{name}" fails {count:d} times more')
def fail_probes(context, name, count):
    for _ in range(count):
        _probe(context, name, _FAILED)


@behave.when('the probe of "{name}" succeeds')
def succeed(context, name):
    _probe(context, name, _DONE)


@behave.when('the probe of "{name}" is cancelled by its caller')
def cancel_probe(context, name):
    context.health.record(name, _CANCELLED)


@behave.then('health admits concurrent requests to "{name}" again')
def check_readmitted(context, name):
    for _ in range(5):
        assert context.health.admits(name)
        context.health.begin(name)


@behave.then('the next ejection of "{name}" lasts {low:d} to {high:d} s')
def check_next_ejection(context, name, low, high):
    context.health.record(name, _DONE)
    _fail(context, name, 3)
    check_ejected(context, name, low, high)


@behave.when('the ejection time of "{name}" has passed')
def pass_time(context, name):
    context.now[0] += 2


@behave.then('health admits exactly one request to "{name}" at a time')
def check_single_probe(context, name):
    assert context.health.admits(name)
    context.health.begin(name)
    assert not context.health.admits(name)


@behave.when('the probe of "{name}" has no outcome for nearly a minute')
def delay_probe(context, name):
    context.now[0] += 59
    assert not context.health.admits(name)


@behave.then('health admits one request to "{name}" after a minute')
def check_after_minute(context, name):
    context.now[0] += 1
    check_single_probe(context, name)


@behave.when('a request to "{name}" from before the ejection succeeds')
def succeed_older(context, name):
    context.health.record(name, _DONE)


@behave.when('every server of the service fails {count:d} requests in a row')
def fail_all(context, count):
    for name in context.names:
        _fail(context, name, count)


@behave.then(
    "health still admits requests to {count:d} of the service's servers"
)
def check_still_admitted(context, count):
    admitted = [each for each in context.names if context.health.admits(each)]
    assert len(admitted) == count, admitted
    assert context.health.admits('other-1')


@behave.then('the denied ejections are counted')
def check_denied(context):
    read = context.metrics.read
    assert read('ejections', 'failures') == 2
    assert read('ejections', 'denied_fraction') == 6


@behave.given('the health of one failed server at {count:d} instances')
def start_many(context, count):
    context.now = [0.0]
    context.instances = []
    for seed in range(count):
        each = _build(seed, clock=lambda: context.now[0])
        each.set_service(['a', 'b'])
        for _ in range(3):
            each.record('a', _FAILED)
        context.instances.append(each)


@behave.then('the ejections at these instances end at different moments')
def check_spread(context):
    admitting = []
    for step in range(1, 21):
        context.now[0] = step * 0.1
        admitting.append(sum(each.admits('a') for each in context.instances))
    assert admitting[9] < 5 and admitting[-1] == len(context.instances)
    grown = [b - a for a, b in zip(admitting, admitting[1:])]
    assert max(grown) < 0.3 * len(context.instances), admitting


class _Histories(stateful.RuleBasedStateMachine):
    """Checks the invariants of health under random grants, ends and waits."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.health = _build(clock=lambda: self.now)
        self.names = ['a', 'b', 'c', 'd', 'e']
        self.health.set_service(self.names)
        self.running = []
        self.probes = {}

    @stateful.rule(name=strategies.sampled_from('abcde'))
    def grant(self, name):
        if self.health.admits(name):
            self.health.begin(name)
            self.running.append(name)
            if not self.health.admits(name):
                self.probes[name] = self.now

    @stateful.rule(
        turn=strategies.integers(0, 9),
        outcome=strategies.sampled_from([_DONE, _FAILED, _FAILED, _CANCELLED]),
    )
    def end(self, turn, outcome):
        if self.running:
            name = self.running.pop(turn % len(self.running))
            self.probes.pop(name, None)
            self.health.record(name, outcome)

    @stateful.rule(seconds=strategies.floats(0.1, 5))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def keep_fraction(self):
        admitted = [each for each in self.names if self.health.admits(each)]
        assert len(admitted) >= 3, admitted

    @stateful.invariant()
    def admit_one_probe(self):
        for name, since in self.probes.items():
            if self.now - since < 60:
                assert not self.health.admits(name)


@behave.when('health runs through many random histories')
def run_histories(context):
    context.histories = 0
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=150,
        stateful_step_count=60,
        deadline=None,
        database=None,
    )
    stateful.run_state_machine_as_test(_Histories, settings=settings)
    context.histories = 150


@behave.then('no history exceeds the ejection fraction or admits two probes')
def check_histories(context):
    assert context.histories == 150


def _start_poller(context, servers):
    context.reports = []
    context.owned = servers
    context.poller = loads.LoadPoller(
        callers.build_settings(backends={'load_interval_seconds': 0.1}),
        lambda: context.owned,
        context.reports.append,
        random=random.Random(1),
    )
    context.add_cleanup(context.poller.close)
    context.poller.start()


def _build_server(name, address):
    return document.BackendServer(
        name=name, service='llm', address=address, failure_domain='a'
    )


@behave.given('a load poller that owns two stand-in engines')
def start_poller(context):
    context.engines = [
        sides.close_after_scenario(context, exchanges.Engine(step=0.05))
        for _ in range(2)
    ]
    servers = [
        _build_server(f'e{number}', engine.address)
        for number, engine in enumerate(context.engines)
    ]
    _start_poller(context, servers)


@behave.when('one of the polled engines runs {count:d} requests')
def run_requests(context, count):
    host, port = context.engines[0].address.split(':')
    values = exchanges.write_chat('LENGTH=2000', stream=True)
    for _ in range(count):
        caller = exchanges.Caller((host, int(port)))
        context.add_cleanup(caller.close)
        caller.send(
            exchanges.write_request('POST', '/v1/chat/completions', values)
        )


@behave.then('the poller reports {count:d} running and none waiting there')
def check_report(context, count):
    def is_seen():
        return any(
            (each.server, each.running, each.waiting) == ('e0', count, 0)
            and each.cache_usage == count / 16
            for each in context.reports
        )

    exchanges.wait_until(is_seen)
    assert {each.server for each in context.reports} == {'e0', 'e1'}


@behave.when('the load poller owns only the other engine')
def own_one(context):
    context.owned = context.owned[1:]
    count = len(context.reports)
    exchanges.wait_until(lambda: len(context.reports) >= count + 8)
    context.reports.clear()


@behave.then('the poller polls only that engine')
def check_polls_one(context):
    exchanges.wait_until(lambda: len(context.reports) >= 5)
    assert {each.server for each in context.reports} == {'e1'}


@behave.given('a load poller that owns a broken engine and a stand-in engine')
def start_broken(context):
    def follow(script, sock):
        while script.read(sock):
            body = b'vllm:num_requests_running{ broken\n'
            sock.sendall(exchanges.write_answer(body))

    context.broken = sides.add_script(context, follow)
    engine = sides.close_after_scenario(context, exchanges.Engine())
    servers = [
        _build_server('broken', context.broken.address),
        _build_server('e1', engine.address),
    ]
    _start_poller(context, servers)


@behave.then('the poller repeatedly reports only the stand-in engine')
def check_broken(context):
    exchanges.wait_until(lambda: len(context.reports) >= 5)
    exchanges.wait_until(lambda: len(context.broken.requests) >= 3)
    assert {each.server for each in context.reports} == {'e1'}
