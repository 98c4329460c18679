"""Steps about clients that keep to no limit of a router process."""

import contextlib

import behave
import gevent
from gevent import event

from tests.support import crowds
from tests.support import exchanges
from tests.support import limited_instance
from tests.support import operated

_MEGABYTE = 1000000
_BODY_BYTES = 262144
_HEADER_BYTES = 16384
_CONNECTIONS = 1000
# Descriptors beside those of callers' connections: files, ports, links, the
# store, servers, and the clients of the other ports.
_OTHER_DESCRIPTORS = 200
_LARGE_ANSWER = b'x' * _MEGABYTE
_AUXILIARY_TARGETS = {
    'readiness': '/-/readiness',
    'operators': '/health',
}
_MAX_ASKS = 10


@behave.given('a router process of {megabytes:d} megabytes')
def start_router(context, megabytes):
    start_limited(context, megabytes, _CONNECTIONS)


@behave.given(
    'a router process of {megabytes:d} megabytes with {connections:d}'
    ' connections'
)
def start_limited(context, megabytes, connections):
    context.megabytes = megabytes
    context.connections = connections
    context.router = _build_instance(context)
    context.release = event.Event()
    context.router.plain.default_plan = _build_plan(context)
    context.router.start()


def _build_instance(context, **options):
    instance = limited_instance.LimitedInstance(
        limits={
            'memory_megabytes': context.megabytes,
            'connections': context.connections,
        },
        caller_limits={
            'max_body_bytes': _BODY_BYTES,
            'max_header_bytes': _HEADER_BYTES,
        },
        **options,
    )
    context.add_cleanup(instance.close)
    return instance


@behave.given('another one beside it')
def start_other(context):
    context.other = _build_instance(context, beside=context.router)
    context.other.start()


def _build_plan(context):
    plain = operated.answer('200 OK', b'ordinary')
    large = operated.answer('200 OK', _LARGE_ANSWER)

    def respond(backend, sock, request):
        backend.requests.clear()
        if request.target.startswith('/write/'):
            context.release.wait()
        if request.target == '/read/large':
            return large(backend, sock, request)
        return plain(backend, sock, request)

    return respond


def _write_chunked(size, *, length=65536, cut=6):
    """Return a request whose body lacks its last bytes."""
    return crowds.write_head('x') + crowds.write_chunks(length, size)[:-cut]


_SHAPES = {
    'nothing': lambda: b'',
    'chunks of 2 bytes short of their end': lambda: _write_chunked(2),
    'chunks of 1 byte short of their end': lambda: _write_chunked(1),
    'one chunk short of its end': lambda: _write_chunked(
        _BODY_BYTES, length=_BODY_BYTES, cut=8
    ),
    'a body with a length short of its end': lambda: (
        crowds.write_head('x', coding='length', length=_BODY_BYTES)
        + b'x' * (_BODY_BYTES - 1)
    ),
    'a head of many fields short of its end': lambda: crowds.write_head(
        'x', *crowds.write_fields(_HEADER_BYTES - 1000, 0)
    )[:-2],
    'a size line short of its end': lambda: (
        crowds.write_head('x') + b'1;' + b'e' * (_HEADER_BYTES - 100)
    ),
    'trailers short of their end': lambda: (
        _write_chunked(1000, length=_BODY_BYTES, cut=2)
        + '\r\n'.join(crowds.write_fields(_HEADER_BYTES - 1000)).encode()
    ),
    'bytes ahead behind a request in progress': lambda: (
        crowds.write_head('x', coding='length', path='/write/x')
        + b'GET /'
        + b'y' * 400000
    ),
}
_SILENT = 'nothing and read nothing'
_UNREAD = 'requests whose answers they do not read'


@behave.when(
    '{count:d} callers send {what} at {rate:d} a second and come again when'
    ' refused'
)
def send_crowd(context, count, what, rate):
    _send_shapes(context, [_build_shape(what) for _ in range(count)], rate)


def _build_shape(what):
    if what == _SILENT:
        return crowds.Shape(b'', reads=False)
    if what == _UNREAD:
        head = crowds.write_head('x', coding='length', path='/read/large')
        return crowds.Shape(head, reads=False)
    return crowds.Shape(_SHAPES[what]())


def _send_shapes(context, shapes, rate):
    context.crowd = crowds.Crowd(context.router, shapes, rate=rate)
    context.add_cleanup(context.crowd.leave)
    context.crowd.come()


@behave.when(
    '{count:d} callers with shapes drawn from seed {seed:d} come at {rate:d}'
    ' a second'
)
def send_drawn(context, count, seed, rate):
    _send_draws(context, crowds.Draws, count, seed, rate)


@behave.when(
    '{count:d} callers with shapes drawn widely from seed {seed:d} come at'
    ' {rate:d} a second'
)
def send_drawn_widely(context, count, seed, rate):
    _send_draws(context, crowds.WideDraws, count, seed, rate)


def _send_draws(context, build_draws, count, seed, rate):
    draws = build_draws(
        seed, body_bytes=_BODY_BYTES, header_bytes=_HEADER_BYTES
    )
    _send_shapes(context, [draws.draw() for _ in range(count)], rate)


@behave.when(
    '{count:d} callers send whole and cut bodies in chunks of {size:d} bytes'
    ' at {rate:d} a second'
)
def send_whole_and_cut(context, count, size, rate):
    shapes = [
        _build_returning(f'crowd-{number}', size, cut=number % 2)
        for number in range(count)
    ]
    _send_shapes(context, shapes, rate)


def _build_returning(attempt, size, *, cut):
    """Return a client that comes again once its whole body is answered."""
    head = crowds.write_head(attempt, 'Connection: close')
    body = crowds.write_chunks(_BODY_BYTES, size)
    return crowds.Shape(head + (body[:-6] if cut else body))


@behave.when('the crowd stays for {seconds:g} s')
def wait(context, seconds):
    gevent.sleep(seconds)


@behave.when('the crowd leaves')
def leave(context):
    context.release.set()
    context.crowd.leave()


@behave.then('an ordinary request is answered')
@behave.then('an ordinary request is answered while the crowd is there')
def check_ordinary(context):
    _check_ordinary(context, context.router)


@behave.then('an ordinary request is answered by the other process')
def check_other_ordinary(context):
    _check_ordinary(context, context.other)


def _check_ordinary(context, router):
    answer = router.ask('ordinary')
    assert answer is not None, _describe(router)
    assert answer.status == 200, (answer.data, _describe(router))
    assert answer.body == b'ordinary', answer.data


@behave.then(
    'the process lives, and its memory and descriptors stayed in bounds'
)
def check_bounds(context):
    _check_bounds(context, context.router)


@behave.then('so did those of the other process')
def check_other_bounds(context):
    _check_bounds(context, context.other)


def _check_bounds(context, router):
    assert router.is_running(), router.read_output()
    assert router.read_peak() <= context.megabytes * _MEGABYTE, _describe(
        router
    )
    bound = context.connections + _OTHER_DESCRIPTORS
    assert router.most_descriptors <= bound, _describe(router)


def _describe(router):
    if not router.is_running():
        return router.read_output()
    return (
        f'peak {router.read_peak() / _MEGABYTE:.0f} MB, of it'
        f' {router.most_unread / _MEGABYTE:.0f} MB unread,'
        f' {router.most_descriptors} descriptors'
    )


@behave.when(
    'a caller sends {length:d} bytes in {count:d} pieces with {pause:g} s'
    ' between them'
)
def send_slowly(context, length, count, pause):
    head = crowds.write_head(
        'slow', coding='length', length=length, milliseconds=30000
    )
    context.answer = _send_pieces(
        context, head, b'x' * length, count=count, pause=pause
    )


@behave.when(
    'a caller reads an answer of a megabyte in pieces of {size:d} bytes with'
    ' {pause:g} s between them'
)
def read_slowly(context, size, pause):
    caller = exchanges.Caller(context.router.get_address())
    with contextlib.closing(caller):
        caller.send(
            crowds.write_head(
                'slow',
                'Connection: close',
                coding='length',
                path='/read/large',
                milliseconds=30000,
            )
        )
        context.received = bytearray()
        with contextlib.suppress(OSError):
            while piece := caller.socket.recv(size):
                context.received += piece
                gevent.sleep(pause)


@behave.then('this caller has received the whole answer')
def check_received(context):
    head, _, body = bytes(context.received).partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 '), (head, _describe(context.router))
    assert body == _LARGE_ANSWER, (len(body), _describe(context.router))


def _send_pieces(context, head, body, *, count, pause):
    size = -(-len(body) // count)
    caller = exchanges.Caller(context.router.get_address())
    with contextlib.closing(caller):
        caller.send(head)
        with contextlib.suppress(OSError):
            for start in range(0, len(body), size):
                caller.send(body[start : start + size])
                gevent.sleep(pause)
        return caller.receive()


_REQUESTS = {
    'the longest body in chunks of 1 byte': lambda: (
        crowds.write_head('x') + crowds.write_chunks(_BODY_BYTES, 1)
    ),
    'the longest body in one chunk': lambda: (
        crowds.write_head('x') + crowds.write_chunks(_BODY_BYTES, _BODY_BYTES)
    ),
    'the longest body with a length': lambda: (
        crowds.write_head('x', coding='length', length=_BODY_BYTES)
        + b'x' * _BODY_BYTES
    ),
    'the longest head': lambda: crowds.write_head(
        'x', *crowds.write_fields(_HEADER_BYTES - 1000, 0), coding='length'
    ),
}


@behave.when('a caller sends a request of {what}')
def send_request(context, what):
    if what in _REQUESTS:
        context.answer = _send_pieces(
            context, b'', _REQUESTS[what](), count=1, pause=0
        )
    else:
        head, data = b'', crowds.write_head('x') + crowds.write_chunks(500, 50)
        context.answer = _send_pieces(context, head, data, count=20, pause=0.1)


@behave.then('this caller is answered 200')
def check_answered(context):
    assert context.answer.status == 200, (
        context.answer.data,
        _describe(context.router),
    )


@behave.when('{count:d} clients of the {port} port {what}')
def occupy(context, count, port, what):
    shape = crowds.Shape(_write_endless(what, port), port=port)
    context.crowd = crowds.Crowd(context.router, [shape] * count, rate=200)
    context.add_cleanup(context.crowd.leave)
    context.crowd.come()


def _write_endless(what, port):
    """Return what clients send to a port that is not for callers."""
    if what == 'send nothing':
        return b''
    if what == 'send frames short of their end':
        return crowds.write_frame(crowds.FRAME_BYTES)
    target = _AUXILIARY_TARGETS[port]
    head = f'POST {target} HTTP/1.1\r\nHost: x\r\n'.encode()
    if what == 'send heads without end':
        return head + b''.join(
            b'x-%d: %s\r\n' % (number, b'x' * 8000) for number in range(250)
        )
    assert what == 'send bodies without end', what
    return (
        head
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + (crowds.write_chunks(2 * _MEGABYTE, 100, end=False))
    )


@behave.then('the {port} port answers')
def check_port(context, port):
    for _ in range(_MAX_ASKS):
        if _ask_port(context, port) == 200:
            return
        gevent.sleep(0.2)
    raise AssertionError(_describe(context.router))


def _ask_port(context, port):
    try:
        with contextlib.closing(
            exchanges.Caller(context.router.get_address(port))
        ) as caller:
            caller.socket.settimeout(3)
            target = _AUXILIARY_TARGETS[port]
            caller.send(f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            return caller.receive().status
    except OSError:
        return 0
