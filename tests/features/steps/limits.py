"""Steps about requests and connections that the entry refuses."""

import behave

from amaranthslip.entry import held
from tests.support import callers
from tests.support import exchanges
from tests.support import sides


@behave.given('the entry allows {count:d} connections')
def limit_connections(context, count):
    sides.start_served(context, connections=count)


def _write_faulty_request(fault):
    chat = exchanges.write_chat('LENGTH=2')
    oversized_chat = exchanges.write_chat('x' * sides.BODY_BYTES)
    path = '/v1/chat/completions'
    request = exchanges.write_request
    valid = request('POST', path, chat)
    chunk = exchanges.write_chunk(b'x' * (sides.BODY_BYTES + 1))
    chunked = valid.partition(b'Content-Length')[0]
    length = b'Content-Length'
    match fault:
        case 'keyless':
            return request('POST', path, chat, key='')
        case 'unknown-key':
            return request('POST', path, chat, key='key-x')
        case 'non-JSON':
            return request('POST', path, b'{"model":')
        case 'model-less':
            return request('POST', path, {'messages': []})
        case 'forbidden-service':
            return request('POST', path, chat | {'model': 'other'})
        case 'unknown-path':
            return request('GET', '/v2/models')
        case 'unknown-kind':
            return request('POST', path, chat, X_Request_Kind='look')
        case 'wrong-method':
            return request('GET', path)
        case 'oversized':
            return request('POST', path, oversized_chat)
        case 'oversized-chunked':
            return chunked + b'Transfer-Encoding: chunked\r\n\r\n' + chunk
        case 'large-header':
            return request('GET', '/v1/models', X_Long='x' * 4096)
        case 'long-target':
            return request('GET', '/' + 'x' * 9000)
        case 'folded-header':
            return valid.replace(b'Host', b'X-A: b\r\n X-Forged: c\r\nHost')
        case 'two-length':
            return valid.replace(length, b'Content-Length: 5\r\n' + length)
        case 'signed-length':
            return valid.replace(b'Content-Length: ', b'Content-Length: +')
        case 'unknown-coding':
            return chunked + b'Transfer-Encoding: gzip, chunked\r\n\r\n'
        case 'dot-path':
            return request('POST', '/services/booking/status/../bookings')
        case 'slow-header':
            return valid.partition(b'\r\n\r\n')[0]
        case 'slow-body':
            return valid[:-1]
    raise AssertionError(fault)


@behave.when('a caller sends the entry a {fault} request')
def send_faulty_request(context, fault):
    caller = sides.connect(context)
    caller.send(_write_faulty_request(fault))
    context.received.append(caller.receive())
    context.refused_caller = caller


@behave.then(
    'the entry refuses the request with {status:d} and "{code}" as not run'
)
def check_refusal(context, status, code):
    received = context.received[-1]
    assert received.status == status, received.data
    assert received.error['code'] == code, received.error
    assert received.error['not_run'] is True
    assert len(received.error['message']) > 10
    assert received.error['request_id'] == received.headers['x-request-id']
    assert context.side.metrics.read('refusals', code) == 1
    if received.headers.get('connection') == 'close':
        # The entry must close the connection without waiting for the rest
        # of the request.
        assert context.refused_caller.socket.recv(1) == b''


@behave.then('another caller of the entry is still served')
def check_still_served(context):
    context.refused_grants = len(context.side.scheduler.grants)
    received = sides.ask_chat(context, exchanges.write_chat('LENGTH=2'))
    assert received.status == 200, received.data


@behave.then(
    'the entry sent no request of the refused caller to a backend server'
)
def check_nothing_sent(context):
    assert context.refused_grants == 0
    assert context.engine.engine.started == 1


@behave.when('{count:d} callers hold connections to the entry')
def hold_connections(context, count):
    context.open_callers = [sides.connect(context) for _ in range(count)]
    for caller in context.open_callers:
        assert caller.ask('GET', '/v1/models').status == 200


@behave.then('the entry refuses a further connection with "{code}"')
def check_connection_refused(context, code):
    received = exchanges.send_request(context.side, 'GET', '/v1/models')
    assert received.status == 503 and received.error['code'] == code
    assert received.error['not_run'] and received.headers['retry-after']


@behave.when('one of these callers disconnects from the entry')
def disconnect_one(context):
    context.open_callers[0].close()
    exchanges.wait_until(
        lambda: (
            exchanges.send_request(context.side, 'GET', '/v1/models').status
            == 200
        )
    )


@behave.given(
    'the entry has {memory:d} megabytes of memory and allows {count:d}'
    ' connections'
)
def limit_memory(context, memory, count):
    context.settings = callers.build_settings(
        limits={'memory_megabytes': memory, 'connections': count}
    )


@behave.then('{count:d} connections may be open at the entry')
def check_connection_limit(context, count):
    assert held.count_connections(context.settings) == count


@behave.when('another caller is refused by the entry')
def send_unknown_key(context):
    caller = sides.connect(context)
    context.refused_answer = caller.ask('GET', '/v1/models', key='key-nobody')
    assert context.refused_answer.status == 401


@behave.then('the entry {action} the connection with its answer')
def check_closing(context, action):
    closes = (
        context.refused_answer.headers.get('connection', '').lower() == 'close'
    )
    assert closes == (action == 'closes'), context.refused_answer.headers
