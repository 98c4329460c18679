"""Steps about what the entry refuses, and whom that concerns."""

import behave

from amaranthslip.entry import server
from tests.support import callers
from tests.support import exchanges
from tests.support import sides


@behave.given('the entry allows {count:d} connections')
def limit_connections(context, count):
    sides.start_served(context, connections=count)


def _write_fault(fault):
    chat = exchanges.write_chat('LENGTH=2')
    large = exchanges.write_chat('x' * sides.BODY_BYTES)
    path = '/v1/chat/completions'
    request = exchanges.write_request
    good = request('POST', path, chat)
    chunk = exchanges.write_chunk(b'x' * (sides.BODY_BYTES + 1))
    chunked = good.partition(b'Content-Length')[0]
    length = b'Content-Length'
    match fault:
        case 'keyless':
            return request('POST', path, chat, key='')
        case 'wrongly keyed':
            return request('POST', path, chat, key='key-x')
        case 'non-JSON':
            return request('POST', path, b'{"model":')
        case 'modelless':
            return request('POST', path, {'messages': []})
        case 'forbidden':
            return request('POST', path, chat | {'model': 'other'})
        case 'misdirected':
            return request('GET', '/v2/models')
        case 'misnamed-kind':
            return request('POST', path, chat, X_Request_Kind='look')
        case 'wrong-method':
            return request('GET', path)
        case 'oversized':
            return request('POST', path, large)
        case 'oversized-chunked':
            return chunked + b'Transfer-Encoding: chunked\r\n\r\n' + chunk
        case 'long-headed':
            return request('GET', '/v1/models', X_Long='x' * 4096)
        case 'long-lined':
            return request('GET', '/' + 'x' * 9000)
        case 'folded-header':
            return good.replace(b'Host', b'X-A: b\r\n X-Forged: c\r\nHost')
        case 'two-length':
            return good.replace(length, b'Content-Length: 5\r\n' + length)
        case 'odd-length':
            return good.replace(b'Content-Length: ', b'Content-Length: +')
        case 'odd-coding':
            return chunked + b'Transfer-Encoding: gzip, chunked\r\n\r\n'
        case 'dot-path':
            return request('POST', '/services/booking/status/../bookings')
        case 'slow-headed':
            return good.partition(b'\r\n\r\n')[0]
        case 'slow-bodied':
            return good[:-1]
    raise AssertionError(fault)


@behave.when('a caller sends the entry a {fault} request')
def send_fault(context, fault):
    caller = sides.connect(context)
    caller.send(_write_fault(fault))
    context.received.append(caller.receive())
    context.faulty = caller


@behave.then('the entry refuses it with {status:d} and "{code}" as not run')
def check_refusal(context, status, code):
    received = context.received[-1]
    assert received.status == status, received.data
    assert received.error['code'] == code, received.error
    assert received.error['not_run'] is True
    assert len(received.error['message']) > 10
    assert received.error['request_id'] == received.headers['x-request-id']
    assert context.side.metrics.read('refusals', code) == 1
    if received.headers.get('connection') == 'close':
        # It holds no connection with what it never sends.
        assert context.faulty.socket.recv(1) == b''


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
    context.holding = [sides.connect(context) for _ in range(count)]
    for caller in context.holding:
        assert caller.ask('GET', '/v1/models').status == 200


@behave.then('the entry refuses a further connection with "{code}"')
def check_connection_refused(context, code):
    received = exchanges.ask(context.side, 'GET', '/v1/models')
    assert received.status == 503 and received.error['code'] == code
    assert received.error['not_run'] and received.headers['retry-after']


@behave.when('one of them leaves the entry')
def leave(context):
    context.holding[0].close()
    exchanges.wait_until(
        lambda: exchanges.ask(context.side, 'GET', '/v1/models').status == 200
    )


@behave.given(
    'the entry has {memory:d} megabytes, and allows {count:d} connections'
)
def limit_memory(context, memory, count):
    context.settings = callers.build_settings(
        limits={'memory_megabytes': memory, 'connections': count}
    )


@behave.then('{count:d} connections may be open at the entry')
def check_most(context, count):
    assert server.count_connections(context.settings) == count


@behave.when('another caller is refused by the entry')
def be_refused(context):
    caller = sides.connect(context)
    context.refused = caller.ask('GET', '/v1/models', key='key-nobody')
    assert context.refused.status == 401


@behave.then('the entry {does} its connection with the answer')
def check_closing(context, does):
    closes = context.refused.headers.get('connection', '').lower() == 'close'
    assert closes == (does == 'closes'), context.refused.headers
