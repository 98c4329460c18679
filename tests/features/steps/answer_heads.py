"""Steps about servers that stop within the head of an answer."""

import functools
import itertools

import behave
import gevent
from gevent import socket

from tests.support import exchanges
from tests.support import operated

_LAST_EVENT = 9
_ENDS = ('close', 'reset')
# Requests at a time; fewer than the servers have slots.
_CONCURRENT = 12
_SEAL = b'Amaranthslip-Server-Seal: s\r\n'
_START = b'HTTP/1.1 200 OK\r\n' + _SEAL
_ID = b'Amaranthslip-Attempt-Id: ATTEMPT\r\n'
_EVENTS = b'Content-Type: text/event-stream\r\n'
_LENGTH = b'Content-Length: 0\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_HEADS = {
    'an answer with a length': _START + _ID + _LENGTH,
    'an answer in chunks': _START + _ID + _CHUNKED,
    'an unframed answer': _START + _ID + b'\r\n',
    'an answer without body': (
        b'HTTP/1.1 204 No Content\r\n' + _SEAL + _ID + b'\r\n'
    ),
    'a failure': b'HTTP/1.1 503 Busy\r\n' + _SEAL + _ID + _LENGTH,
    'an answer after hints': (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' + _START + _ID + _LENGTH
    ),
    'a stream in chunks': _START + _EVENTS + _ID + _CHUNKED,
    'an unframed stream': _START + _EVENTS + _ID + b'\r\n',
}


@behave.given('an instance whose servers stop within the head of {answer}')
def start_instance(context, answer):
    # Servers that fail every second request must not be left out.
    context.side = operated.InstanceFixture(
        bounds={'revoke_milliseconds': 60000, 'apply_milliseconds': 30000},
        backends={'eject_fraction': 0.0},
    )
    context.add_cleanup(context.side.close)
    context.side.configure()
    for service in ('plain', 'llm'):
        for number in (1, 2):
            context.side.register(
                operated.Backend(f'{service}-{number}', service=service)
            )
    context.side.start()
    context.head = _HEADS[answer]
    context.results = []
    context.numbers = itertools.count()
    # By attempt.
    context.plans = {}

    def respond(backend, sock, request):
        pending = context.plans[request.attempt]
        plan = pending.pop(0) if pending else _answer_whole
        return plan(backend, sock, request)

    for each in context.side.backends.values():
        each.default_plan = respond


def _cut(context, length, end):
    """Return a plan that sends a part of the head, and ends."""

    def respond(backend, sock, request):
        context.cut_count += 1
        head = context.head.replace(b'ATTEMPT', request.attempt.encode())
        assert len(head) == len(context.head)
        sock.sendall(head[:length])
        if end == 'reset':
            # The part arrives before the reset, which discards unread bytes.
            gevent.sleep(0.001)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, exchanges.RESET
            )
        return False

    return respond


def _answer_whole(backend, sock, request):
    if backend.service == 'plain':
        return operated.answer('200 OK', b'whole')(backend, sock, request)
    after = int(request.headers.get('last-event-id', 0))
    return operated.stream(after + 1, _LAST_EVENT)(backend, sock, request)


def _send(context, path, plans, *, method='POST', **headers):
    """Send one request whose servers follow the plans; return its answer."""
    # As long as the placeholder, so that each cut is at its byte.
    attempt = f'a-{next(context.numbers):05}'
    context.plans[attempt] = list(plans)
    caller = exchanges.Caller(context.side.address)
    caller.send(
        operated.write_request(path, attempt, method=method, **headers)
    )
    try:
        return caller.receive(method)
    finally:
        caller.close()


def _cut_all(context, path, *, before=(), kept=False, **options):
    """Send a request for each byte and each end of the head.

    Parameters
    ----------
    before : sequence of callable
        The plans of the servers that get the request before.
    kept : bool
        Whether requests before them leave connections that are kept.
    """
    context.cut_count = 0
    cuts = list(itertools.product(range(len(context.head)), _ENDS))
    for start in range(0, len(cuts), _CONCURRENT):
        if kept:
            _run(_send, [(context, path, ())] * _CONCURRENT)
        batch = cuts[start : start + _CONCURRENT]
        context.results += _run(
            functools.partial(_send, **options),
            [(context, path, [*before, _cut(context, *cut)]) for cut in batch],
        )
    assert context.cut_count >= len(cuts), context.cut_count


def _run(function, calls):
    greenlets = [gevent.spawn(function, *call) for call in calls]
    gevent.joinall(greenlets, raise_error=True)
    return [each.value for each in greenlets]


@behave.when(
    'requests for "{path}" are cut at each byte, by each end, on new and kept'
    ' connections'
)
def cut_requests(context, path):
    for kept in (False, True):
        _cut_all(context, path, kept=kept)


@behave.when(
    'HEAD requests for "{path}" are cut at each byte, by each end, on new and'
    ' kept connections'
)
def cut_head_requests(context, path):
    for kept in (False, True):
        _cut_all(context, path, kept=kept, method='HEAD')


@behave.when(
    'streams that clients take up after event {number:d} are cut at each byte,'
    ' by each end'
)
def cut_taken_up(context, number):
    _cut_all(context, '/chat/x', Last_Event_Id=str(number))


@behave.when(
    'streams break off after event {number:d} and their next engine is cut at'
    ' each byte, by each end'
)
def cut_resumed(context, number):
    before = [operated.stream(1, number, end=False)]
    _cut_all(context, '/chat/x', before=before)


def _check(context, is_right):
    assert context.results
    wrong = [each.data for each in context.results if not is_right(each)]
    assert not wrong, (len(wrong), wrong[:3])


@behave.then('each of them gets a failure that promises nothing')
def check_failures(context):
    _check(context, lambda each: each.status == 502 and each.complete)


@behave.then('each of them gets the answer of the second server')
def check_answers(context):
    _check(
        context,
        lambda each: (
            (each.status, each.body, each.complete) == (200, b'whole', True)
        ),
    )


def _has_events(answer, first, last, *, complete):
    ids = list(range(first, last + 1))
    return answer.status == 200 and (
        (operated.read_ids(answer), answer.complete) == (ids, complete)
    )


@behave.then('each of them gets all events once')
def check_events(context):
    _check(
        context, lambda each: _has_events(each, 1, _LAST_EVENT, complete=True)
    )


@behave.then('each of them gets the events from {number:d} on once')
def check_rest(context, number):
    _check(
        context,
        lambda each: _has_events(each, number, _LAST_EVENT, complete=True),
    )


@behave.then('each of them gets the events up to {number:d} and no end')
def check_part(context, number):
    _check(context, lambda each: _has_events(each, 1, number, complete=False))
