"""Steps about requests that two servers could frame in two ways."""

import contextlib

import behave
import gevent

from tests.support import exchanges
from tests.support import operated

_LENGTH = b'Content-Length: '
_CHUNKED = b'Transfer-Encoding: chunked'
_HEAD_END = b'\r\n\r\n'
_BODY = b'0\r\n\r\n'
_FOLLOWING = operated.write_request('/write/hidden', 'a-2')
# A request with a chunked body up to the first chunk.
_IN_CHUNKS = operated.write_request('/write/x', 'a-1')
_IN_CHUNKS = _IN_CHUNKS.replace(_LENGTH + b'0', _CHUNKED)
_REQUEST = operated.write_request('/write/x', 'a-1', body=_BODY)
_SIZE = b'%d' % len(_BODY)
_OWN = _LENGTH + _SIZE
_END = b'0\r\n\r\n'


def _state(*lines, version=b'HTTP/1.1'):
    """Return the request with other lines in place of its length."""
    data = _REQUEST.replace(_OWN, b'\r\n'.join(lines))
    return data.replace(b'HTTP/1.1', version)


_HEADS = {
    'a length beside a chunked coding': _state(
        _LENGTH + b'%d' % (len(_BODY) + len(_FOLLOWING)), _CHUNKED
    ),
    'a chunked coding beside a length': _state(_CHUNKED, _OWN),
    'a length and a coding in HTTP/1.0': _state(
        _OWN, _CHUNKED, b'Connection: keep-alive', version=b'HTTP/1.0'
    ),
    'a coding in HTTP/1.0': _state(_CHUNKED, version=b'HTTP/1.0'),
    'a coding in HTTP/1.0 that keeps alive': _state(
        _CHUNKED, b'Connection: keep-alive', version=b'HTTP/1.0'
    ),
    'an unknown coding': _state(b'Transfer-Encoding: identity'),
    'a list of codings': _state(b'Transfer-Encoding: gzip, chunked'),
    'a repeated coding': _state(_CHUNKED, _CHUNKED),
    'a repeated coding, the last unknown': _state(
        _CHUNKED, b'Transfer-Encoding: x'
    ),
    'an empty coding': _state(b'Transfer-Encoding:'),
    'a coding after a no-break space': _state(
        b'Transfer-Encoding: \xa0chunked'
    ),
    'a coding before a next-line character': _state(_CHUNKED + b'\x85'),
    'a coding before a vertical tab': _state(_CHUNKED + b'\x0b'),
    'a coding with a blank in its name': _state(
        b'Transfer-Encoding : chunked', _OWN
    ),
    'a folded coding': _state(b'Transfer-Encoding:', b' chunked'),
    'two lengths': _state(_OWN, _LENGTH + b'0'),
    'a repeated length': _state(_OWN, _OWN),
    'a list of lengths': _state(_LENGTH + _SIZE + b', ' + _SIZE),
    'an empty length': _state(_LENGTH),
    'a signed length': _state(_LENGTH + b'+' + _SIZE),
    'a length with an underscore': _state(_LENGTH + b'0_' + _SIZE),
    'a hexadecimal length': _state(_LENGTH + b'0x5'),
    'a length after a no-break space': _state(_LENGTH + b'\xa0' + _SIZE),
    'a length in other digits': _state(_LENGTH + b'\xb2'),
    'a head that ends without CR': _REQUEST.replace(_HEAD_END, b'\r\n\n'),
    'a header line that ends without CR': _state(b'X-A: b\n' + _OWN),
    'a request line that ends without CR': _REQUEST.replace(
        b'HTTP/1.1\r\n', b'HTTP/1.1\n'
    ),
    'a carriage return inside a header line': _state(b'X-A: b\r' + _OWN),
    'a no-break space in its request line': _REQUEST.replace(
        b'POST ', b'POST\xa0'
    ),
    'a tab in its request line': _REQUEST.replace(b' HTTP', b'\tHTTP'),
    'a request for a tunnel': _REQUEST.replace(b'POST', b'CONNECT'),
    'two attempt ids': _state(b'Amaranthslip-Attempt-Id: a-3', _OWN),
    'two hosts': _state(b'Host: %s' % operated.HOST.encode(), _OWN),
}
_BODIES = {
    'an empty chunk size': b'\r\nab\r\n',
    'a signed chunk size': b'+2\r\nab\r\n',
    'a hexadecimal prefix of a chunk size': b'0x2\r\nab\r\n',
    'a blank before a chunk size': b' 2\r\nab\r\n',
    'a chunk size that ends without CR': b'2\nab\r\n',
    'a chunk extension that ends without CR': b'2;a=b\nab\r\n',
    'a CR inside a chunk extension': b'2;a\r=b\r\nab\r\n',
    'a chunk longer than its size': b'2\r\nabc\r\n',
    'a chunk that ends without CR': b'2\r\nab\n',
    'a last chunk that ends without CR': b'2\r\nab\r\n0\n\n',
    'a trailer that is no field': b'0\r\n@\r\n\r\n',
    'a trailer that ends without CR': b'0\r\nX-A: b\n\r\n',
    'a folded trailer': b'0\r\nX-A: b\r\n c\r\n\r\n',
}
_CLOSING = {
    'HTTP/1.0': _state(_OWN, version=b'HTTP/1.0'),
    'HTTP/1.0 that keeps alive': _state(
        _OWN, b'Connection: keep-alive', version=b'HTTP/1.0'
    ),
    'the connection option close': _state(_OWN, b'Connection: Close'),
    'several connection options': _state(_OWN, b'Connection: TE, close'),
    'several lines of them': _state(
        _OWN, b'Connection: TE', b'Connection: close'
    ),
}
_FORMS = {
    'one byte each': b'1\r\na\r\n1\r\nb\r\n' + _END,
    'a chunk of 5000 bytes': b'1388\r\n' + b'x' * 5000 + b'\r\n' + _END,
    'leading zeros': b'0002\r\nab\r\n000\r\n\r\n',
    'capital digits': b'A\r\n0123456789\r\n' + _END,
    'extensions': b'2;a="b;c"\r\nab\r\n0;d\r\n\r\n',
    'a blank before extensions': b'2 ; a\r\nab\r\n' + _END,
    'trailers': b'2\r\nab\r\n0\r\nX-A: b\r\nContent-Length: 9\r\n\r\n',
    'no bytes': _END,
}
_EXPECTED = {
    'a chunk of 5000 bytes': b'x' * 5000,
    'capital digits': b'0123456789',
    'no bytes': b'',
}


def _send(context, data):
    """Send bytes on one connection; keep all answers that come back."""
    caller = exchanges.Caller(context.side.address)
    context.add_cleanup(caller.close)
    caller.send(data)
    context.caller = caller
    context.answer = caller.receive()


def _list_requests(context):
    return [
        operated.Request(data)
        for each in context.side.backends.values()
        for data in each.requests
    ]


@behave.when('a request with {form} is sent, followed by another one')
def send_with_following(context, form):
    data = {**_HEADS, **_CLOSING}.get(form)
    if data is None:
        data = _IN_CHUNKS + _BODIES[form]
    _send(context, data + _FOLLOWING)


@behave.when(
    'a body in chunks with {form} is sent, and another request behind it'
)
def send_chunks(context, form):
    context.expected = _EXPECTED.get(form, b'ab')
    _send(context, _IN_CHUNKS + _FORMS[form] + _FOLLOWING)


@behave.when('a request without fields is sent, and another request behind it')
def send_without_fields(context):
    _send(context, b'GET /read/x HTTP/1.1\r\n\r\n' + _FOLLOWING)


@behave.then(
    'the first one is answered {status:d}, and the second one arrived as it'
    ' was sent'
)
def check_second(context, status):
    assert context.answer.status == status, context.answer.data
    assert context.caller.receive().status == 200
    (received,) = _list_requests(context)
    assert received.target == '/write/hidden', received.target


@behave.when(
    'a request and one behind it are sent in two parts, cut at each byte'
)
def send_in_parts(context):
    context.statuses = []
    for cut in range(1, len(_REQUEST) + 4):
        following = operated.write_request('/write/x', f'b-{cut}')
        data = _REQUEST.replace(b'a-1', b'c-%d' % cut) + following
        caller = exchanges.Caller(context.side.address)
        with contextlib.closing(caller):
            caller.send(data[:cut])
            gevent.sleep(0.003)
            caller.send(data[cut:])
            context.statuses += [caller.receive().status for _ in range(2)]


@behave.then('both requests are answered each time')
def check_all(context):
    assert context.statuses and set(context.statuses) == {200}, (
        context.statuses
    )


@behave.when('a request is begun whose first header line ends without CR')
def send_part(context):
    _send(context, b'GET /read/x HTTP/1.1\r\nHost: x\n')


@behave.when('a request is sent whose body reads as another one')
def send_nested(context):
    data = operated.write_request('/write/x', 'a-1', body=_FOLLOWING)
    _send(context, data)


@behave.when('trailers without end follow a body in chunks')
def send_trailers(context):
    trailers = b'X-A: b\r\n' * 100000
    _send(context, _IN_CHUNKS + b'2\r\nab\r\n0\r\n' + trailers)


@behave.then('it is answered with {status:d}, and its connection is closed')
def check_closed(context, status):
    received = context.answer
    assert received.status == status, received.data
    assert received.complete, received.data
    assert received.headers['connection'] == 'close', received.data
    # The head of a second answer would have come with the first, or now.
    assert received.data.count(b'HTTP/1.1 ') == 1, received.data
    try:
        assert context.caller.socket.recv(1) == b''
    except ConnectionError:
        pass


@behave.then('both requests are answered, and arrived as they were sent')
def check_both(context):
    assert context.answer.status == 200, context.answer.data
    assert context.caller.receive().status == 200
    received = {each.attempt: each for each in _list_requests(context)}
    assert set(received) == {'a-1', 'a-2'}, received
    assert received['a-1'].body == context.expected, received['a-1'].body
    assert received['a-2'].target == '/write/hidden'
