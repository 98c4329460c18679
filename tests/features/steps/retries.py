"""Steps about retries: when a request is resent, and when it is not."""

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


def _close_on_second_request(script, sock):
    script.read(sock)
    sock.sendall(exchanges.write_answer(b'ok'))
    script.read(sock)


def _close_after_request(script, sock):
    script.read(sock)


def _stay_silent(script, sock):
    script.read(sock)
    sock.recv(1)


@behave.given(
    'an entry with retries in front of a stopped server and a running one'
)
def start_with_stopped_and_running(context):
    context.running_server = sides.add_script(context, _answer_all)
    stopped_address = exchanges.find_free_address()
    _start(context, stopped_address, context.running_server.address)


@behave.given('an entry with retries in front of a stopped server')
def start_with_stopped(context):
    _start(context, exchanges.find_free_address())


@behave.given(
    'an entry with retries in front of a server that closes each connection'
    ' on its second request'
)
def start_closing_second(context):
    context.running_server = sides.add_script(
        context, _close_on_second_request
    )
    _start(context, context.running_server.address)


@behave.given(
    'an entry with retries in front of a server that reads requests and'
    ' closes, and a running one'
)
def start_closing_and_running(context):
    context.running_server = sides.add_script(context, _answer_all)
    _start(
        context,
        sides.add_script(context, _close_after_request).address,
        context.running_server.address,
    )


@behave.given(
    'an entry with retries in front of a server that reads requests and closes'
)
def start_closing(context):
    _start(context, sides.add_script(context, _close_after_request).address)


@behave.given(
    'an entry with retries and a deadline of {seconds:f} s, with {condition}'
)
def start_with_deadline(context, seconds, condition):
    script = sides.add_script(context, _stay_silent)
    _start(context, script.address, deadline=seconds)
    if condition == 'no free slot':
        context.side.scheduler.gate.clear()


def _send_request(context, method, path):
    received = exchanges.send_request(context.side, method, path, b'{}')
    context.answers.append(received)


@behave.when('a caller of the entry sends a booking')
def send_booking(context):
    _send_request(context, 'POST', _BOOKINGS)


@behave.when('a caller of the entry sends a status query')
def send_query(context):
    _send_request(context, 'GET', _STATUS)


@behave.when('a caller of the entry sends a status query, and then a booking')
def send_query_and_booking(context):
    send_query(context)
    send_booking(context)


@behave.when('a caller of the entry sends {count:d} status queries')
def send_queries(context, count):
    for _ in range(count):
        send_query(context)


@behave.then('the booking is answered, and the server executed it once')
@behave.then('the booking is answered, and the server received it once')
def check_booking(context):
    assert context.answers[-1].status == 200, context.answers[-1].data
    received = [
        each
        for each in context.running_server.requests
        if each.startswith(b'POST')
    ]
    assert len(received) == 1, received


@behave.then('the booking was sent on a separate connection')
def check_connections(context):
    assert context.running_server.connections == 2
    assert len(context.running_server.requests) == 2


@behave.then('the retry counter "{reason}" is {count:d}')
def check_counter(context, reason, count):
    assert context.side.metrics.read('retries', reason) == count
    ended = [each.outcome for each in context.side.scheduler.grants]
    assert ended == [outcomes.Outcome.FAILED, outcomes.Outcome.DONE]


@behave.then('each status query to the entry is answered')
def check_queries(context):
    assert [each.status for each in context.answers] == [200] * 3


@behave.then('no retry was charged to the budget')
def check_no_retry(context):
    assert len(context.side.scheduler.grants) == len(context.answers)
    # The second request was resent, because its connection was stale.
    assert len(context.running_server.requests) > len(context.answers)


@behave.then('the entry with retries answers {status:d} as {outcome}')
def check_outcome(context, status, outcome):
    received = context.answers[-1]
    assert received.status == status, received.data
    error = received.error
    assert error['not_run'] is (outcome == 'not run'), error
    unknown = error['code'] == 'outcome_unknown'
    assert unknown is (outcome == 'unknown'), error
    assert ('retry-after' in received.headers) is (outcome == 'not run')
    assert context.side.scheduler.in_use == 0


@behave.then('the running server behind the entry received no request')
def check_no_request(context):
    assert context.running_server.requests == []


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


@behave.when(
    'an account retries {count:d} requests up to {limit:d} times each'
)
def retry_repeatedly(context, count, limit):
    context.allowed = 0
    for _ in range(count):
        context.budget.note_request('large')
        for tries in range(1, limit + 1):
            wait = context.budget.take_retry(
                'large', 'cut', tries=tries, deadline=2000
            )
            context.allowed += wait is not None


@behave.then(
    'the account was allowed at most 10 retries plus a fifth of its requests'
)
def check_budget(context):
    assert 28 <= context.allowed <= 30, context.allowed
    assert context.metrics.read('retries', 'cut') == context.allowed


@behave.then('the retry budget of another account is still full')
def check_other_account(context):
    taken = [
        context.budget.take_retry('small', 'reset', tries=1, deadline=2000)
        for _ in range(10)
    ]
    assert None not in taken


@behave.then('the denied retries are counted as "{reason}"')
def check_denied(context, reason):
    denied = context.metrics.read('retries_denied', reason)
    assert denied == 300 - context.allowed


@behave.when('retries are requested with increasing numbers of tries')
def draw_waits(context):
    context.waits = {}
    for tries in (1, 2, 3, 20):
        context.waits[tries] = []
        for _ in range(400):
            context.budget.note_request('a')
            wait = context.budget.take_retry(
                'a', 'cut', tries=tries, deadline=2000
            )
            context.waits[tries].append(wait)


@behave.then(
    'the retry waits range up to twice their mean, which grows to {limit:g} s'
)
def check_waits(context, limit):
    for tries, mean in ((1, 0.05), (2, 0.1), (3, 0.2), (20, limit)):
        waits = context.waits[tries]
        assert max(waits) <= 2 * mean and max(waits) > 1.9 * mean
        assert min(waits) < 0.1 * mean
        assert abs(sum(waits) / len(waits) - mean) < 0.1 * mean


@behave.then('no retry is allowed whose wait would end after the deadline')
def check_deadline(context):
    for _ in range(200):
        context.budget.note_request('b')
        wait = context.budget.take_retry('b', 'cut', tries=20, deadline=1001)
        assert wait is None or context.now[0] + wait < 1001
    assert context.metrics.read('retries_denied', 'deadline') > 50
