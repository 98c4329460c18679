"""Steps about retries: when a request goes out again, and when never."""

import random

import behave

from amaranthslip import metrics
from amaranthslip.requests import outcomes
from amaranthslip.requests import retries
from tests.support import callers
from tests.support import exchanges
from tests.support import sides

_BOOKINGS = '/services/booking/bookings'
_STATUS = '/services/booking/status'


def _start(context, *addresses, **options):
    sides.start(context, plain=addresses, **options)
    context.answers = []


def _answer_all(script, sock):
    while script.read(sock):
        sock.sendall(exchanges.write_answer(b'ok'))


def _cut_second(script, sock):
    script.read(sock)
    sock.sendall(exchanges.write_answer(b'ok'))
    script.read(sock)


def _cut_each(script, sock):
    script.read(sock)


def _stay_silent(script, sock):
    script.read(sock)
    sock.recv(1)


@behave.given('a retrying entry before a dead server and a live one')
def start_dead_and_live(context):
    context.live = sides.add_script(context, _answer_all)
    dead = exchanges.find_free_address()
    _start(context, dead, context.live.address)


@behave.given('a retrying entry before a dead server')
def start_dead(context):
    _start(context, exchanges.find_free_address())


@behave.given(
    "a retrying entry before a server that cuts each connection's second"
    ' request'
)
def start_cutting_second(context):
    context.live = sides.add_script(context, _cut_second)
    _start(context, context.live.address)


@behave.given(
    'a retrying entry before a server that takes requests and cuts, and a'
    ' live one'
)
def start_cutting_and_live(context):
    context.live = sides.add_script(context, _answer_all)
    _start(
        context,
        sides.add_script(context, _cut_each).address,
        context.live.address,
    )


@behave.given('a retrying entry before a server that takes requests and cuts')
def start_cutting(context):
    _start(context, sides.add_script(context, _cut_each).address)


@behave.given(
    'a retrying entry whose requests have {seconds:f} s, with {place}'
)
def start_late(context, seconds, place):
    script = sides.add_script(context, _stay_silent)
    _start(context, script.address, deadline=seconds)
    if place == 'no slot':
        context.side.scheduler.gate.clear()


def _ask(context, method, path):
    received = exchanges.ask(context.side, method, path, b'{}')
    context.answers.append(received)


@behave.when('a caller of the retrying entry books')
def book(context):
    _ask(context, 'POST', _BOOKINGS)


@behave.when('a caller of the retrying entry looks')
def look(context):
    _ask(context, 'GET', _STATUS)


@behave.when('a caller of the retrying entry looks, and then books')
def look_and_book(context):
    look(context)
    book(context)


@behave.when('a caller of the retrying entry looks {count:d} times')
def look_often(context, count):
    for _ in range(count):
        look(context)


@behave.then('the retried booking is answered and was executed once')
@behave.then('the retried booking is answered and was received once')
def check_booked(context):
    assert context.answers[-1].status == 200, context.answers[-1].data
    received = [
        each for each in context.live.requests if each.startswith(b'POST')
    ]
    assert len(received) == 1, received


@behave.then('the booking came on a connection of its own')
def check_connections(context):
    assert context.live.connections == 2
    assert len(context.live.requests) == 2


@behave.then('the retry counter "{reason}" is {count:d}')
def check_counter(context, reason, count):
    assert context.side.metrics.read('retries', reason) == count
    ended = [each.outcome for each in context.side.scheduler.grants]
    assert ended == [outcomes.Outcome.FAILED, outcomes.Outcome.DONE]


@behave.then('each look of the retrying entry is answered')
def check_looks(context):
    assert [each.status for each in context.answers] == [200] * 3


@behave.then('no retry was taken from the budget')
def check_no_retry(context):
    assert len(context.side.scheduler.grants) == len(context.answers)
    # The second request met the stale connection and went out again.
    assert len(context.live.requests) > len(context.answers)


@behave.then('the retrying entry answers {status:d} as {truth}')
def check_truth(context, status, truth):
    received = context.answers[-1]
    assert received.status == status, received.data
    error = received.error
    assert error['not_run'] is (truth == 'not run'), error
    unknown = error['code'] == 'outcome_unknown'
    assert unknown is (truth == 'unknown'), error
    assert ('retry-after' in received.headers) is (truth == 'not run')
    assert context.side.scheduler.in_use == 0


@behave.then('the live server of the retrying entry got nothing')
def check_nothing(context):
    assert context.live.requests == []


@behave.given('a retry budget with a ratio of {ratio:g}')
def start_budget(context, ratio):
    context.metrics = metrics.Metrics()
    context.now = [1000.0]
    context.budget = retries.RetryBudget(
        callers.build_settings(backends={'retry_ratio': ratio}),
        context.metrics,
        random=random.Random(7),
        clock=lambda: context.now[0],
    )


@behave.when('an account retries {count:d} requests up to {most:d} times each')
def retry_often(context, count, most):
    context.allowed = 0
    for _ in range(count):
        context.budget.note_request('large')
        for tries in range(1, most + 1):
            wait = context.budget.take(
                'large', 'cut', tries=tries, deadline=2000
            )
            context.allowed += wait is not None


@behave.then('it was allowed at most 10 retries and a fifth of its requests')
def check_budget(context):
    assert 28 <= context.allowed <= 30, context.allowed
    assert context.metrics.read('retries', 'cut') == context.allowed


@behave.then("another account's retries were untouched")
def check_other(context):
    taken = [
        context.budget.take('small', 'reset', tries=1, deadline=2000)
        for _ in range(10)
    ]
    assert None not in taken


@behave.then('the denied retries are counted as "{reason}"')
def check_denied(context, reason):
    denied = context.metrics.read('retries_denied', reason)
    assert denied == 300 - context.allowed


@behave.when('retries are asked for with growing numbers of tries')
def draw_waits(context):
    context.waits = {}
    for tries in (1, 2, 3, 20):
        context.waits[tries] = []
        for _ in range(400):
            context.budget.note_request('a')
            wait = context.budget.take('a', 'cut', tries=tries, deadline=2000)
            context.waits[tries].append(wait)


@behave.then(
    'the retry waits are spread over twice their mean up to {most:g} s'
)
def check_waits(context, most):
    for tries, mean in ((1, 0.05), (2, 0.1), (3, 0.2), (20, most)):
        waits = context.waits[tries]
        assert max(waits) <= 2 * mean and max(waits) > 1.9 * mean
        assert min(waits) < 0.1 * mean
        assert abs(sum(waits) / len(waits) - mean) < 0.1 * mean


@behave.then('no retry is allowed that would wait past the deadline')
def check_deadline(context):
    for _ in range(200):
        context.budget.note_request('b')
        wait = context.budget.take('b', 'cut', tries=20, deadline=1001)
        assert wait is None or context.now[0] + wait < 1001
    assert context.metrics.read('retries_denied', 'deadline') > 50
