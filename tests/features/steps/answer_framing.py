"""Steps about answers that two clients could frame in two ways."""

import behave
import gevent

from tests.support import exchanges
from tests.support import operated

_START = b'HTTP/1.1 200 OK\r\nSEAL\r\nAmaranthslip-Attempt-Id: ATTEMPT\r\n'
_OLD = _START.replace(b'1.1', b'1.0')
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_LENGTH = b'Content-Length: 5\r\n'
_CHUNKS = b'\r\n5\r\nwhole\r\n0\r\n\r\n'
_BODY = b'\r\nwhole'
_FAULTS = {
    'a length beside a chunked coding': _START + _LENGTH + _CHUNKED + _CHUNKS,
    'a chunked coding beside a length': _START + _CHUNKED + _LENGTH + _CHUNKS,
    'a coding in HTTP/1.0': _OLD + _CHUNKED + _CHUNKS,
    'a repeated coding': _START + _CHUNKED + _CHUNKED + _CHUNKS,
    'a list of codings': (
        _START + b'Transfer-Encoding: gzip, chunked\r\n' + _CHUNKS
    ),
    'a coding after the chunked one': (
        _START + b'Transfer-Encoding: chunked, gzip\r\n' + _CHUNKS
    ),
    'an unknown coding': _START + b'Transfer-Encoding: identity\r\n' + _BODY,
    'two lengths': _START + _LENGTH + b'Content-Length: 3\r\n' + _BODY,
    'a list of lengths': _START + b'Content-Length: 5, 5\r\n' + _BODY,
    'a signed length': _START + b'Content-Length: +5\r\n' + _BODY,
    'a folded length': _START + b'Content-Length:\r\n 5\r\n' + _BODY,
    'a head that ends without CR': _START + _LENGTH + b'\nwhole',
    'a chunk size that ends without CR': (
        _START + _CHUNKED + _CHUNKS.replace(b'5\r', b'5')
    ),
    'a chunk longer than its size': (
        _START + _CHUNKED + _CHUNKS.replace(b'5', b'4')
    ),
    'a switch of protocols': (
        _START.replace(b'200 OK', b'101 Switching Protocols')
        + b'Connection: upgrade\r\nUpgrade: x\r\n\r\n'
    ),
}
_PATHS = {
    'a request that may run once': '/write/x',
    'a request that may be repeated': '/read/x',
    'a request for a stream': '/once/x',
}
_HINTS = b'HTTP/1.1 103 Early Hints\r\n\r\n'
_HEADS = {
    'an earlier answer with a body': (
        _START.replace(b'200 OK', b'404 Not Found').replace(b'ATT', b'x-ATT')
        + _LENGTH
        + _BODY,
        _START + _LENGTH + b'\r\n',
    ),
    'a malformed line': (_START + b'no field\r\n' + _LENGTH + b'\r\n',),
    'a malformed line after a 103': (
        _HINTS,
        _START.replace(b'200 OK', b'404 Not Found') + b'no field\r\n',
    ),
    'no HTTP after a 103': (_HINTS, b'no HTTP'),
}
_TRAILERS = (
    b'Amaranthslip-Not-Executed: 1\r\nContent-Encoding: gzip\r\n'
    b'Retry-After: 9\r\n'
)


def _plan_plain(context, *pieces):
    """Let plain servers send pieces, one by one, and keep the connection."""

    def respond(backend, sock, request):
        for piece in pieces:
            operated.send_raw(piece)(backend, sock, request)
            # Each piece is a segment of its own.
            gevent.sleep(0.02)

    for each in context.side.backends.values():
        if each.service == 'plain':
            each.default_plan = respond


@behave.given('all plain servers send an answer with {fault}')
def plan_fault(context, fault):
    _plan_plain(context, _FAULTS[fault])


def _plan_status(context, status, rest=b''):
    def respond(backend, sock, request):
        head = _START.replace(b'200 OK', status.encode() + b' Status')
        if not rest:
            head += _LENGTH + _BODY
        else:
            head = head.replace(b'SEAL\r\n', b'') + b'\r\n'
        operated.send_raw(head + rest)(backend, sock, request)

    for each in context.side.backends.values():
        each.default_plan = respond


@behave.given('all servers send the status {status} and then a whole answer')
def plan_interim(context, status):
    _plan_status(context, status, _START + _LENGTH + _BODY)


@behave.given('all servers send an answer with the status {status}')
def plan_status(context, status):
    _plan_status(context, status)


@behave.when('a caller waits for the answer to {request}')
def wait_for_answer(context, request):
    # The routes' timeouts are longer than this feature's callers wait.
    routes = operated.build_configuration()['routes']
    routes = [each | {'timeout_ms': 600_000} for each in routes]
    context.side.configure(2, routes=routes)
    context.side.wait_until_synced()
    context.answer = context.side.send_request(
        _PATHS[request], Amaranthslip_Deadline_Ms='600000'
    )


@behave.given('all plain servers send trailers {when} the head')
def plan_trailers(context, when):
    head = _START + _CHUNKED + b'\r\n'
    body = _CHUNKS.removeprefix(b'\r\n').removesuffix(b'\r\n')
    rest = body + _TRAILERS + b'\r\n'
    _plan_plain(context, *((head + rest,) if when == 'with' else (head, rest)))


@behave.given('all plain servers send {what} before their answer to HEAD ends')
def plan_head(context, what):
    _plan_plain(context, *_HEADS[what])


@behave.when('a HEAD request for "{path}" comes')
def ask_head(context, path):
    caller = exchanges.Caller(context.side.address)
    context.add_cleanup(caller.close)
    caller.send(operated.write_request(path, 'a-1', method='HEAD'))
    context.answer = caller.receive('HEAD')


@behave.then('the answer has none of the trailers')
def check_trailers(context):
    names = set(context.answer.headers)
    assert not names & {'content-encoding', 'retry-after'}, names


@behave.given('the engines break off after event {number:d}')
def plan_cut(context, number):
    for each in context.side.backends.values():
        each.default_plan = operated.stream(1, number, end=False)


@behave.when('a caller of HTTP/1.0 requests a stream from "{path}"')
def ask_old(context, path):
    context.caller = exchanges.Caller(context.side.address)
    context.add_cleanup(context.caller.close)
    data = operated.write_request(path, 'a-1')
    context.caller.send(data.replace(b'HTTP/1.1', b'HTTP/1.0'))


@behave.then("the caller's connection is reset behind event {number:d}")
def check_reset(context, number):
    received = context.caller.read_until(b'event-%d\n\n' % number)
    assert b'chunked' not in received, received
    try:
        rest = context.caller.socket.recv(1)
    except ConnectionResetError:
        return
    raise AssertionError(f'received {rest!r} instead of a reset')
