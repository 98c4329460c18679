"""Steps about what becomes of requests that were passed to a peer."""

from unittest import mock

import behave
import gevent
from gevent import event
from gevent import server
from gevent import socket

from amaranthslip.backends import idling
from amaranthslip.backends import outgoing
from amaranthslip.backends import responses
from amaranthslip.links import sockets
from tests.support import exchanges
from tests.support import operated
from tests.support import overflow_instances

_BODY = b'the body of the request'
_REQUESTS = {
    'a request that may run once': ('/write/x', 'POST', _BODY),
    'a request that may be repeated': ('/read/x', 'POST', _BODY),
    'a request for a stream': ('/once/x', 'POST', _BODY),
    'a request without a body': ('/write/x', 'GET', b''),
}
_HEAD_END = b'\r\n\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# A time that no scenario waits for.
_FOREVER_SECONDS = 60
_EVENTS = (1, 3)
# Longer than a peer that was asked may be silent.
_SILENCE_SECONDS = 0.2


class _Peer:
    """A peer that follows a script on each of its connections."""

    def __init__(self, script):
        self.received = b''
        self._script = script
        self._server = exchanges.ScriptedServer(self._serve)
        self.address = operated.split_address(self._server.address)
        self.close = self._server.close

    def _serve(self, scripted_server, sock):
        self._script(self, sock)

    def read_until(self, sock, marker):
        data = b''
        while marker not in data:
            piece = sock.recv(65536)
            if not piece:
                return
            data += piece
            self.received += piece


def _read_nothing(peer, sock):
    gevent.sleep(_FOREVER_SECONDS)


def _read_head(peer, sock):
    peer.read_until(sock, _HEAD_END)
    # What is sent without being asked for would arrive now.
    peer.read_until(sock, _BODY)


def _close(peer, sock):
    peer.read_until(sock, _HEAD_END)


def _take(peer, sock):
    peer.read_until(sock, _HEAD_END)
    sock.sendall(_CONTINUE)
    if _BODY not in peer.received:
        peer.read_until(sock, _BODY)


def _take_and_stop(peer, sock):
    _take(peer, sock)
    gevent.sleep(_FOREVER_SECONDS)


def _take_and_send_head(peer, sock):
    _take(peer, sock)
    sock.sendall(exchanges.STREAM_HEAD)
    gevent.sleep(_FOREVER_SECONDS)


def _take_and_send_event(peer, sock):
    _take(peer, sock)
    chunk = exchanges.write_chunk(operated.write_events(1, 1))
    sock.sendall(exchanges.STREAM_HEAD + chunk)
    gevent.sleep(_FOREVER_SECONDS)


_SCRIPTS = {
    'reads nothing': _read_nothing,
    'reads the head and does not go on': _read_head,
    'closes each connection': _close,
    'asks for the request and does not answer': _take_and_stop,
    'asks for the request and sends a head only': _take_and_send_head,
    'asks for the request and sends one event': _take_and_send_event,
    'asks for the request and closes the connection': _take,
}


@behave.given('an instance at its limit whose peer {behaviour}')
def start_with_peer(context, behaviour):
    context.instances = overflow_instances.start(context, 1)
    (context.first,) = context.instances
    context.peer = _Peer(_SCRIPTS[behaviour])
    context.add_cleanup(context.peer.close)
    # The only member that this instance knows to be alive is itself.
    overflow_instances.overload(context.first, 'e0', context.peer.address)
    engine = context.first.backends[overflow_instances.ENGINE]
    engine.default_plan = operated.stream(*_EVENTS)


@behave.given('the routes have a timeout of {milliseconds:d} milliseconds')
def set_timeouts(context, milliseconds):
    routes = operated.build_configuration()['routes']
    context.first.configure(
        2, routes=[each | {'timeout_ms': milliseconds} for each in routes]
    )
    context.first.wait_until_synced()


@behave.when('a caller sends {request} to the first instance')
def send(context, request):
    path, method, body = _REQUESTS[request]
    context.received = context.first.send_request(
        path,
        method=method,
        body=body,
        # Longer than a scenario: only the route's timeout ends the request.
        Amaranthslip_Deadline_Ms='600000',
    )


def _list_requests(context):
    return [
        request
        for backend in context.first.backends.values()
        for request in backend.requests
    ]


@behave.then(
    'the caller gets the answer from the server, which ran the request once'
)
def check_answered(context):
    assert context.received.status == 200, context.received.data
    assert context.received.complete, context.received.data
    assert context.received.body in (
        overflow_instances.SERVER.encode(),
        operated.write_events(*_EVENTS),
    ), context.received.body
    assert len(_list_requests(context)) == 1, _list_requests(context)


@behave.then('the peer got no end of the request')
def check_no_end(context):
    received = context.peer.received
    assert _BODY not in received, received
    assert not received.endswith(b'0\r\n\r\n'), received


@behave.then('the caller gets a stream without an end')
def check_no_stream_end(context):
    assert context.received.status == 200, context.received.data
    assert not context.received.complete, context.received.data


class _Gate:
    """The callers' port of an instance whose process stands still.

    The kernel accepts and acknowledges what is sent to it. `open` lets the
    instance read that, and what follows.
    """

    def __init__(self, address):
        self._address = address
        self._held = []
        self._server = server.StreamServer(('127.0.0.1', 0), self._hold)
        self._server.start()
        self.address = ('127.0.0.1', self._server.server_port)

    def _hold(self, sock, address):
        data = bytearray()
        self._held.append(data)
        while piece := sock.recv(65536):
            data += piece

    def open(self, *, with_end):
        """Let the instance read; return its connections."""
        connections = []
        for data in self._held:
            sock = socket.create_connection(self._address)
            sock.sendall(data)
            if with_end:
                sock.shutdown(socket.SHUT_WR)
            connections.append(sock)
        return connections

    def close(self):
        self._server.stop(timeout=0)


@behave.given(
    'two instances, the first of which is at its limit, and the second stands'
    ' still'
)
def start_with_still_peer(context):
    context.first, context.second = overflow_instances.start(context, 2)
    context.gate = _Gate(context.second.address)
    context.add_cleanup(context.gate.close)
    overflow_instances.overload(context.first, 'e1', context.gate.address)


@behave.when(
    'the second instance goes on, and the end of its connections {arrives}'
)
def go_on(context, arrives):
    for each in context.gate.open(with_end=arrives == 'arrives'):
        context.add_cleanup(each.close)
    metrics = context.second.instance.metrics
    exchanges.wait_until(lambda: metrics.read('passed_requests', 'taken') == 1)
    # An answer to another request shows that the instance goes on.
    context.second.send_request('/nowhere/x', attempt='a-2')


@behave.then('the server got no other request')
def check_no_other(context):
    assert len(_list_requests(context)) == 1, _list_requests(context)


@behave.when(
    'a caller leaves while the second instance stands still with a place for'
    ' its request'
)
def leave_during_pause(context):
    context.first, context.second = context.instances
    keepers = context.second.instance._entry.application._forwarding._keepers
    reserve = keepers.reserve
    caller = exchanges.Caller(context.second.address)

    def reserve_and_pause(request):
        place = reserve(request)
        # Nothing else of the process runs between these two.
        caller.close()
        return place

    keepers_class = type(keepers)
    original = keepers_class.reserve
    keepers_class.reserve = lambda self, request: reserve_and_pause(request)
    context.add_cleanup(setattr, keepers_class, 'reserve', original)
    caller.send(operated.write_request('/write/x', 'a-1', body=_BODY))
    metrics = context.second.instance.metrics
    exchanges.wait_until(lambda: metrics.read('requests', 'caller_left') == 1)


@behave.then('the server got no request')
def check_no_request(context):
    assert _list_requests(context) == []


@behave.when(
    'a caller waits for a server through the second instance, for longer than'
    ' a peer may be silent'
)
def wait_long(context):
    context.first, context.second = context.instances
    context.release = event.Event()
    context.add_cleanup(context.release.set)
    server_ = context.first.backends[overflow_instances.SERVER]

    def respond(backend, sock, request):
        if request.attempt == 'a-1':
            context.release.wait()
        return operated.answer('200 OK', b'fine')(backend, sock, request)

    server_.default_plan = respond
    operated.spawn(context.first.send_request, '/write/x', attempt='a-1')
    exchanges.wait_until(lambda: _list_requests(context))
    gevent.sleep(_SILENCE_SECONDS)


@behave.when(
    'a caller sends a request that may run once while the first instance'
    ' stands still until each time limit has passed'
)
def send_behind(context):
    context.first, context.second = context.instances
    receive = responses.Response._receive

    def receive_late(self):
        # The bytes arrive, and then the timeout is reported before them.
        exchanges.wait_until(lambda: sockets.count_unread_bytes(self._socket))
        with mock.patch.object(
            socket.socket, 'recv', side_effect=socket.timeout
        ):
            receive(self)

    with mock.patch.object(responses.Response, '_receive', receive_late):
        context.received = context.first.send_request('/write/x')


@behave.when('another caller sends a request to the first instance')
def send_another(context):
    context.received = context.first.send_request('/write/x', attempt='a-2')


@behave.then('the second instance has taken {count:d} requests')
def check_taken(context, count):
    assert context.received.status == 200, context.received.data
    metrics = context.second.instance.metrics
    assert metrics.read('passed_requests', 'taken') == count


@behave.when('the peer was asked for a request {seconds:g} seconds ago')
def ask_peer(context, seconds):
    context.asked = context.overflow.take_peer()
    context.overflow.note_asked(context.asked)
    context.now += seconds


@behave.when('the peer has not taken it in time')
def end_asking(context):
    context.overflow.note_asked_end(context.asked)
    context.overflow.pause(context.asked, silent=True)
    context.overflow.note_end(context.asked)


@behave.then('the peer is chosen for one request at a time')
def check_one_at_a_time(context):
    context.asked = context.overflow.take_peer()
    context.overflow.note_asked(context.asked)
    assert context.overflow.take_peer() is None


@behave.when('the peer answers')
def answer(context):
    context.overflow.note_sign(context.asked)


@behave.then('the peer is chosen for several requests')
def check_several(context):
    for _ in range(3):
        context.overflow.note_asked(context.overflow.take_peer())


@behave.given('all servers say in their answers that they leave')
def plan_leaving(context):
    context.first = context.instances[0]
    for each in context.first.backends.values():
        each.leaving = True
    engine = context.first.backends[overflow_instances.ENGINE]
    engine.default_plan = operated.stream(*_EVENTS)


@behave.then(
    'the caller gets the word that the server leaves, and no other header of'
    ' instances'
)
def check_leaving(context):
    assert context.received.status == 200, context.received.data
    assert context.received.headers['server-leaving'] == '1'
    assert not [
        each for each in context.received.headers if 'passed' in each
    ], context.received.headers
    assert len(_list_requests(context)) == 1


@behave.when('the first instance runs its requests itself again')
def run_itself(context):
    context.first.instance.loop_usage.fraction = 0.0
    for _ in range(100):
        context.first.instance.overflow.adjust(0.1)


@behave.then('the second request was not run')
def check_second_unsent(context):
    assert context.received.status == 503, context.received.data
    assert len(_list_requests(context)) == 1, _list_requests(context)


@behave.given(
    'a response whose idle timeout is reported after its bytes have arrived'
)
def build_response(context):
    near, far = socket.socketpair()
    context.add_cleanup(near.close)
    context.add_cleanup(far.close)
    request = outgoing.BackendRequest(
        method='GET',
        target='/',
        headers=(),
        body=b'',
        reuse=outgoing.Reuse.NEVER,
        request_id='a-1',
    )
    context.response = responses.Response(near, mock.Mock(), request)
    context.response.set_idle_timeout(_FOREVER_SECONDS)
    context.add_cleanup(context.response.close)
    far.sendall(b'HTTP/1.1 200 OK\r\n')


@behave.when('the bytes are received')
def receive_bytes(context):
    with mock.patch.object(
        socket.socket, 'recv', side_effect=idling.IdleTimeout
    ):
        context.response._receive()


@behave.then('its idle watch does not wait')
def check_idle_watch(context):
    assert not context.response._idle_watch.waiting
