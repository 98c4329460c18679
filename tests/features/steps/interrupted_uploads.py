"""Steps about servers that answer, and break off, while they are sent to."""

import behave
import gevent
from gevent import socket

from amaranthslip.platform import connections
from tests.support import exchanges
from tests.support import operated

_BODY = b'u' * 900_000
# More than the kernel holds of what is being sent.
_LONG_BODY = b'u' * 16_000_000
_MAX_BODY_BYTES = 1_000_000
_PAUSE_SECONDS = 0.1
_HEAD_END = b'\r\n\r\n'
# Small, so that a server that does not read keeps its sender waiting.
_RECEIVE_BYTES = 4096
_PATHS = {
    'a request that may run once': '/write/x',
    'a request that may be repeated': '/read/x',
    'a request for a stream': '/once/x',
    'a request for a stream that may be resumed': '/chat/x',
}
_WHOLE = b'the whole answer'
_PART = _WHOLE[:5]


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, exchanges.RESET)


def _reset_late(sock):
    gevent.sleep(_PAUSE_SECONDS)
    _reset(sock)


def _close(sock):
    gevent.sleep(_PAUSE_SECONDS)


def _end_and_reset(sock):
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(_PAUSE_SECONDS)
    _reset(sock)


_ENDS = {
    'a reset': _reset,
    'a late reset': _reset_late,
    'a close with unread bytes': _close,
    'an end, and a reset behind it': _end_and_reset,
}


class _EarlyServer:
    """A server that answers once it has read the head of a request."""

    def __init__(self):
        self.plan = None
        self.heads = []
        self._server = exchanges.ScriptedServer(self._serve)
        self._server.limit_receive(_RECEIVE_BYTES)
        self.address = self._server.address
        self.close = self._server.close

    def _serve(self, script, sock):
        data = b''
        while _HEAD_END not in data:
            piece = sock.recv(1024)
            if not piece:
                return
            data += piece
        head, _, body = data.partition(_HEAD_END)
        self.heads.append(head)
        request = operated.Request(head + _HEAD_END)
        self.plan(sock, request, len(body))


@behave.given(
    'an instance whose server answers uploads of 900 KB before it has read'
    ' them'
)
def start_instance(context):
    # With a limit, the kernel holds little of what is being sent.
    context.side = operated.InstanceFixture(limits={'memory_megabytes': 300})
    context.add_cleanup(context.side.close)
    limits = operated.build_configuration()['limits']
    context.side.configure(limits=limits | {'max_body_bytes': _MAX_BODY_BYTES})
    context.server = _EarlyServer()
    context.add_cleanup(context.server.close)
    for name in ('plain-1', 'llm-1', 'llm-2'):
        backend = operated.Backend(name, service=name.partition('-')[0])
        entry = backend.build_entry(address=context.server.address)
        backend.close()
        context.side.write_entry(name, entry)
    context.side.start()


def _build_head(request, *lines):
    if request.target.startswith(('/once', '/chat')):
        lines += ('Content-Type: text/event-stream',)
    return operated.write_answer_head(request, *lines)


@behave.given(
    'the server sends a part of its answer without a length, and its'
    ' connection is ended by {end}'
)
def send_part(context, end):
    def respond(sock, request, received):
        part = _PART
        if request.target.startswith('/once'):
            part = operated.write_events(1, 3)
        sock.sendall(_build_head(request) + part)
        gevent.sleep(_PAUSE_SECONDS)
        _ENDS[end](sock)

    context.server.plan = respond


@behave.given(
    'the server sends a whole answer with a length, and its connection is'
    ' ended by {end}'
)
def send_framed(context, end):
    def respond(sock, request, received):
        head = _build_head(request, f'Content-Length: {len(_WHOLE)}')
        sock.sendall(head + _WHOLE)
        gevent.sleep(_PAUSE_SECONDS)
        _ENDS[end](sock)

    context.server.plan = respond


@behave.given(
    'the server sends an answer without a length, ends its side, and reads'
    ' the rest'
)
def send_whole(context):
    def respond(sock, request, received):
        sock.sendall(_build_head(request) + _WHOLE)
        sock.shutdown(socket.SHUT_WR)
        gevent.sleep(_PAUSE_SECONDS)
        while received < len(_BODY):
            received += len(sock.recv(65536))

    context.server.plan = respond


@behave.given(
    'the server sends 3 events without a length, and resets the connection,'
    ' and then whole streams'
)
def send_events(context):
    def respond(sock, request, received):
        after = int(request.headers.get('last-event-id', 0))
        if after:
            while received < len(_BODY):
                received += len(sock.recv(65536))
            sock.sendall(_build_head(request))
            sock.sendall(operated.write_events(after + 1, 9))
            return
        sock.sendall(_build_head(request) + operated.write_events(1, 3))
        gevent.sleep(_PAUSE_SECONDS)
        _reset(sock)

    context.server.plan = respond


@behave.when('a caller of {version} uploads {request}')
def upload(context, version, request):
    data = operated.write_request(_PATHS[request], 'a-1', body=_BODY)
    caller = exchanges.Caller(context.side.address)
    context.add_cleanup(caller.close)
    caller.send(data.replace(b'HTTP/1.1', version.encode(), 1))
    context.received = caller.receive()


@behave.then('the caller gets no part as a whole answer')
def check_no_part(context):
    received = context.received
    assert context.server.heads
    assert received.status != 200 or not received.complete, received.data
    if received.status == 200 and 'transfer-encoding' not in received.headers:
        assert received.was_reset, received.data


@behave.then('the caller gets the whole answer')
def check_whole(context):
    assert context.received.status == 200, context.received.data
    assert context.received.body == _WHOLE, context.received.data


@behave.then('the caller gets the events 1 to 9 once each, and the end')
def check_events(context):
    assert context.received.complete, context.received.data
    assert context.received.body == operated.write_events(1, 9)


@behave.when(
    'the store sends a part of its answer without a length to a long call,'
    ' and resets the connection'
)
def call_store(context):
    server = _EarlyServer()
    context.add_cleanup(server.close)

    def respond(sock, request, received):
        sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"revision": 1')
        gevent.sleep(_PAUSE_SECONDS)
        _reset(sock)

    server.plan = respond
    pool = connections.ConnectionPool(
        f'http://{server.address}', timeout_seconds=10
    )
    try:
        context.answer = pool.call('POST', '/-/kv-txn', _LONG_BODY)
    except connections.RequestMaybeSent:
        context.answer = None
    finally:
        pool.close()


@behave.then('the call has no answer')
def check_no_answer(context):
    assert context.answer is None, context.answer.body
