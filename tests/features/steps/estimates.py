"""Steps about the estimates of one backend server."""

import random

import behave
import gevent

from amaranthslip.capacity import estimates
from amaranthslip.capacity import prefill
from amaranthslip.capacity import slowdowns
from amaranthslip.entry import events
from amaranthslip.platform import headers
from bench import servers

_SLOTS = 8
_USUAL_SECONDS = 0.1
_SEED = 20261204
_ANSWERS_A_SECOND = 20


class _Server:
    """A server: the time of its answers, and what it reports."""

    def __init__(self, factor=lambda running, at: 1.0, report=None):
        self.estimate = estimates.ServerEstimate(_SLOTS)
        self.factor = factor
        self.report = report
        self.now = 100.0
        self.random = random.Random(_SEED)

    def answer(self, running, work=1.0, times=1.0):
        """Answer a request of so many times the usual work."""
        seconds = _USUAL_SECONDS * work * self.factor(running, self.now)
        seconds *= times * self.random.uniform(0.7, 1.3)
        self.now += 1.0 / _ANSWERS_A_SECOND
        if self.report is not None:
            self.note_load(self.report(self.now))
        self.estimate.note_end(
            running=running,
            seconds=seconds,
            usual_seconds=_USUAL_SECONDS * work,
            now=self.now,
        )

    def note_load(self, slowdown):
        """Report a slowdown."""
        load = estimates.ReportedLoad(
            running=1, waiting=0, slots=_SLOTS, slowdown=slowdown
        )
        self.estimate.note_load(load, self.now)

    def run(self, seconds, choose_work=lambda number: 1.0):
        """Answer requests for a time, with up to the limit in progress."""
        for number in range(int(seconds * _ANSWERS_A_SECOND)):
            running = self.random.randint(1, self.estimate.read_limit())
            self.answer(running, choose_work(number))


def _is_slow(at):
    return random.Random(int(at / 0.6)).random() < 0.15


@behave.given(
    'a server that slows down by {slope:f} for each request beyond {knee:d}'
)
def build_knee(context, slope, knee):
    context.server = _Server(
        lambda running, at: 1.0 + slope * max(0, running - knee)
    )


@behave.given('a server that takes {factor:d} times as long as others')
def build_slow(context, factor):
    context.server = _Server(lambda running, at: factor)


@behave.given('a server that takes as long as others')
def build_usual(context):
    context.server = _Server()


@behave.given('a server that reports what its machine does')
def build_honest(context):
    def read(at):
        return 2.5 if _is_slow(at) else 1.0

    context.server = _Server(lambda running, at: read(at), read)


@behave.given('a server that reports slowdowns at random')
def build_liar(context):
    rng = random.Random(_SEED)
    context.server = _Server(report=lambda at: rng.choice((1.0, 4.0)))


@behave.given(
    'a server whose streams pause for {seconds:f} s for each stream in'
    ' progress'
)
def build_pausing(context, seconds):
    context.pause = seconds
    context.server = _Server()


@behave.when('it answers requests for {seconds:d} s')
def run(context, seconds):
    context.server.run(seconds)


@behave.when(
    'it answers requests for {seconds:d} s, of which half take {work:d} times'
    ' the work'
)
def run_long(context, seconds, work):
    context.server.run(seconds, lambda number: work if number % 2 else 1)


@behave.when(
    'it answers requests for {seconds:d} s, in {part:f} of the time {factor:f}'
    ' times as slowly'
)
def run_shared(context, seconds, part, factor):
    context.server.run(seconds)


@behave.when('it does not slow down any more')
def recover(context):
    context.server.factor = lambda running, at: 1.0


@behave.when('one answer takes {times:d} times as long')
def delay_one(context, times):
    context.server.answer(4, times=times)


@behave.when('it reports a slowdown of {slowdown:g}')
def report(context, slowdown):
    context.server.now += 1.0
    context.server.note_load(slowdown)


@behave.when(
    'it completes streams of a route that allows pauses of {allowed:f} s'
)
def complete_streams(context, allowed):
    server = context.server
    for _ in range(200):
        server.now += 0.1
        running = server.estimate.read_limit()
        server.estimate.note_pause(
            running=running,
            pause=context.pause * running,
            allowed=allowed,
            now=server.now,
        )


@behave.then('its limit is at most {limit:d}')
def check_most(context, limit):
    assert context.server.estimate.read_limit() <= limit


@behave.then('its limit is {limit:d}')
def check_limit(context, limit):
    actual = context.server.estimate.read_limit()
    assert actual == limit, actual


@behave.then('its limit is {least:d} to {most:d}')
def check_limits(context, least, most):
    actual = context.server.estimate.read_limit()
    assert least <= actual <= most, actual


@behave.then('an answer is expected to take {least:g} to {most:g} s')
def check_expected(context, least, most):
    server = context.server
    actual = server.estimate.expect_seconds(0, _USUAL_SECONDS, server.now)
    assert least <= actual <= most, actual


@behave.then(
    'after {seconds:d} s an answer is expected to take {least:g} to {most:g} s'
)
def check_expected_later(context, seconds, least, most):
    context.server.now += seconds
    check_expected(context, least, most)


class _Answer:
    """An answer of three events, each after a pause."""

    complete = True

    def __init__(self, pause):
        self._pause = pause
        self._events = [b'id: %d\ndata: x\n\n' % each for each in (1, 2, 3)]

    def read(self):
        if not self._events:
            return b''
        gevent.sleep(self._pause)
        return self._events.pop(0)


class _Caller:
    """A caller that takes its time for each event."""

    started = False
    overdue = False

    def __init__(self, seconds):
        self._seconds = seconds

    def begin(self, reply, request_id):
        self.started = True

    def write(self, data):
        gevent.sleep(self._seconds)


@behave.when(
    'an engine pauses for {pause:f} s, and the caller takes {seconds:f} s for'
    ' each event'
)
def relay(context, pause, seconds):
    context.relay = events.EventRelay(_Caller(seconds), 'r', last_id=0)
    context.relay.relay(_Answer(pause), [], lambda: None)


@behave.then('the longest pause of the stream is {least:f} to {most:f} s')
def check_pause(context, least, most):
    actual = context.relay.longest_pause
    assert least <= actual <= most, actual


@behave.given('an engine that reads {rate:d} tokens a second')
def build_engine(context, rate):
    context.rate = rate
    context.queue = prefill.PrefillQueue(now=100.0)
    context.queue.adapt(slowdowns.Slowdown())


@behave.when('it answers {count:d} prompts of about {tokens:d} tokens')
def answer_prompts(context, count, tokens):
    now, rng = 100.0, random.Random(_SEED)
    for _ in range(count):
        prompt = tokens * rng.uniform(0.5, 1.5)
        mark = context.queue.add(prompt, now)
        now += prompt / context.rate + 0.01 + rng.uniform(0.0, 0.01)
        context.queue.start(mark, now)
        now += 0.5


@behave.then('the estimated reading rate is within {part:f} of that')
def check_rate(context, part):
    actual = context.queue.rate
    assert abs(actual / context.rate - 1) <= part, actual


@behave.then('the load header "{header}" gives {expected}')
def check_header(context, header, expected):
    pairs = [('Amaranthslip-Server-Load', header)]
    load = headers.read_answer(200, pairs).load
    actual = 'nothing'
    if load is not None:
        slowdown = load.slowdown or 'no slowdown'
        actual = f'{load.running}, {load.waiting}, {load.slots} and {slowdown}'
    assert actual == expected, actual


def _simulate(pattern, way):
    simulation = servers.Simulation(servers.PATTERNS[pattern], way)
    return simulation.run(40.0)


@behave.when('8 servers of the pattern "{pattern}" are simulated')
def simulate(context, pattern):
    context.result = _simulate(pattern, 'estimate')
    context.simple = _simulate(pattern, 'fewest')


@behave.then(
    'at least {before:f} of the answers are in time before second 20, and'
    ' {after:f} after it'
)
def check_in_time(context, before, after):
    actual = (
        context.result.compute_in_time(0.0, 20.0),
        context.result.compute_in_time(20.0, 40.0),
    )
    assert actual[0] >= before and actual[1] >= after, actual


@behave.then(
    'at most {lost:g} fewer are in time than by the fewest requests in'
    ' progress'
)
def check_simple(context, lost):
    actual = context.result.compute_in_time(0.0, 40.0)
    simple = context.simple.compute_in_time(0.0, 40.0)
    assert simple - actual <= lost, (actual, simple)
