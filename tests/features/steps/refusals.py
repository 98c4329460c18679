"""Steps about answers that promise that a request was not run."""

import behave
import gevent

from tests.support import operated

_PROMISES = frozenset((408, 421, 429, 503))
_HEAD = b'HTTP/1.1 503 Service Unavailable\r\n'
_ID = b'Amaranthslip-Attempt-Id: ATTEMPT\r\n'
_OWN = b'SEAL\r\n' + _ID
_UNSIGNED = b'HTTP/1.1 200 OK\r\n' + _ID + b'Content-Length: 2\r\n\r\nok'
_OTHER = b'HTTP/1.1 503 x\r\nAmaranthslip-Attempt-Id: other\r\n'
_OTHER += b'Amaranthslip-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
_raw = operated.send_raw


def _answer_leaving(backend, sock, request):
    backend.leaving = True
    return operated.answer('503 Service Unavailable')(backend, sock, request)


def _wait(backend, sock, request):
    sock.recv(1)
    return False


_FAULTS = {
    'closes': lambda *_: False,
    'resets': _raw(b'', end='reset'),
    'crashes': operated.crash,
    'answers nothing': _wait,
    'answers 408': operated.answer('408 Request Timeout'),
    'answers 429': operated.answer('429 Too Many Requests'),
    'answers 503': operated.answer('503 Service Unavailable'),
    'answers 503 with Retry-After': operated.answer(
        '503 Service Unavailable', Retry_After='1'
    ),
    'answers 503 and says that it leaves': _answer_leaving,
    'answers 503 unsigned': _raw(_HEAD + _ID + b'Content-Length: 0\r\n\r\n'),
    'answers 503 and breaks off': _raw(
        _HEAD + _OWN + b'Content-Length: 9\r\n\r\nhalf', end='close'
    ),
    'answers 503 without a length and resets': _raw(
        _HEAD + _OWN + b'\r\nhalf', end='reset'
    ),
    'answers 100 and closes': _raw(
        b'HTTP/1.1 100 Continue\r\n\r\n', end='close'
    ),
    'answers half a head': _raw(_HEAD + _ID, end='close'),
    'answers no HTTP': _raw(b'503 not run\r\n\r\n', end='close'),
    'answers for another request, and closes': _raw(_OTHER, end='close'),
    'answers 200 unsigned': _raw(_UNSIGNED),
    'answers 200 encoded': operated.answer(
        '200 OK', b'ok', Content_Encoding='gzip'
    ),
    'answers 200 too long': operated.answer('200 OK', b'x' * 5000),
    'answers 500': operated.answer('500 Internal Server Error'),
    'answers 502': operated.answer('502 Bad Gateway'),
    'answers 504': operated.answer('504 Gateway Timeout'),
}
_REFUSALS = {
    '503 not executed': operated.refuse(),
    '429 not executed': operated.refuse('429 Too Many Requests'),
    '421': operated.answer('421 Misdirected Request'),
}


def _list_plain(context):
    return [
        each
        for each in context.side.backends.values()
        if each.service == 'plain'
    ]


def _plan_all(context, plan):
    context.ran = []

    def respond(backend, sock, request):
        context.ran.append(backend.name)
        return plan(backend, sock, request)

    for each in _list_plain(context):
        each.default_plan = respond


def _set_routes(context, **values):
    context.version = context.version + 1
    context.side.configure(context.version, **values)
    context.side.wait_until_synced()


@behave.given(
    'an instance with a route whose requests may not run twice, and have 2'
    ' tries'
)
def start_instance(context):
    context.version = 1
    context.side = operated.InstanceFixture(
        bounds={'revoke_milliseconds': 60000, 'apply_milliseconds': 30000},
        limits={'answer_bytes': 4000},
    )
    context.add_cleanup(context.side.close)
    route = operated.build_route(
        'write', 'non_idempotent', 'plain', timeout_ms=900
    )
    context.side.configure(routes=[route])
    for number in (1, 2):
        context.side.register(
            operated.Backend(f'plain-{number}', service='plain')
        )
    context.side.start()


@behave.given('the server that gets the request {fault}')
def plan_fault(context, fault):
    _plan_all(context, _FAULTS[fault])


def _remove_entries(context, backends):
    for each in backends:
        context.side.remove_entry(each.name)
    context.side.wait_until_synced()


def _make_change(context, backend, change):
    side = context.side
    if change == 'it starts to leave':
        side.register(backend, state='draining')
    elif change == 'it restarts':
        backend.born += 1
        side.register(backend)
    elif change == 'its entry is removed':
        _remove_entries(context, [backend])
    elif change == 'all entries are removed':
        _remove_entries(context, _list_plain(context))
    elif change == 'its zone is evacuated':
        side.send_store_command('/standin/put', key='op/evacuate/a', text='1')
    elif change == 'the key is revoked':
        _set_routes(context, tenants=[])
    elif change == 'the route is removed':
        _set_routes(context, routes=[])
    elif change == 'the store is lost':
        side.send_store_command('/standin/faults', mode='refuse')
        return
    elif change == 'the instance is to stop':
        side.instance._progress.stopping = True
        side.instance._progress.refusing = True
    elif change == 'the instance lags':
        side.instance._pressure.overloaded = True
        side.settings.limits = side.settings.limits.replace(behind_seconds=0)
    else:
        gevent.sleep(1)
    side.wait_until_synced()


@behave.given('the server closes without an answer after {change}')
def plan_change(context, change):
    def respond(backend, sock, request):
        _make_change(context, backend, change)
        return False

    _plan_all(context, respond)


@behave.given('the servers refuse with {refusal}')
def plan_refusal(context, refusal):
    context.ran = []
    for each in _list_plain(context):
        if refusal == 'a closed port':
            each.crash()
        else:
            each.default_plan = _REFUSALS[refusal]


@behave.given(
    'one server refuses as not run, and the other closes without an answer'
)
def plan_both(context):
    plans = [operated.refuse()]
    context.ran = []

    def respond(backend, sock, request):
        if plans:
            return plans.pop()(backend, sock, request)
        context.ran.append(backend.name)
        return False

    for each in _list_plain(context):
        each.default_plan = respond


@behave.when('a request is sent to that route')
def send(context):
    context.answer = context.side.send_request('/write/x')


@behave.then('its answer promises nothing, and it was sent once')
def check_unpromised(context):
    assert len(context.ran) == 1, context.ran
    answer = context.answer
    assert answer.status and answer.status not in _PROMISES, answer.data
    if answer.status in (502, 504) and answer.body:
        assert not answer.error['not_run'], answer.data


@behave.then('its answer promises that it did not run')
def check_promised(context):
    assert not context.ran
    assert context.answer.status in _PROMISES, context.answer.data
    assert context.answer.error['not_run'], context.answer.data
