"""Steps about requests in progress at an instance that is stopped."""

import behave
import gevent
from gevent import event

from tests.support import exchanges
from tests.support import operated
from tests.support import overflow_instances
from tests.support import sides

_BODY = b'a body'
_STOP_SECONDS = 0.4
_NOTICE_SECONDS = 0.1
# A time that no scenario waits for.
_FOREVER_SECONDS = 60


def _start_instance(context, *, slots=8):
    context.side = operated.InstanceFixture(
        shutdown={
            'notice_seconds': _NOTICE_SECONDS,
            'finish_seconds': _STOP_SECONDS,
        }
    )
    context.add_cleanup(context.side.close)
    routes = operated.build_configuration()['routes']
    context.side.configure(
        routes=[each | {'timeout_ms': 600_000} for each in routes]
    )
    for service in ('plain', 'llm'):
        backend = operated.Backend(f'{service}-1', service=service)
        backend.slots = slots
        context.side.register(backend)
    context.side.start()


def _list_requests(context):
    return [
        request
        for backend in context.side.backends.values()
        for request in backend.requests
    ]


def _send(context, path, attempt='a-1'):
    return operated.spawn(
        context.side.send_request,
        path,
        attempt=attempt,
        Amaranthslip_Deadline_Ms='600000',
    )


def _begin_body(context, data):
    context.caller = exchanges.Caller(context.side.address)
    context.add_cleanup(context.caller.close)
    context.caller.send(data.removesuffix(_BODY))


@behave.given(
    'an instance on the platform that is stopped while it reads a body'
)
def stop_while_reading(context):
    _start_instance(context)
    progress = context.side.instance._progress
    _begin_body(context, operated.write_request('/write/x', 'a-1', body=_BODY))
    exchanges.wait_until(progress.count_requests)
    context.stopping = operated.spawn(context.side.instance.stop)
    exchanges.wait_until(lambda: progress.refusing)


@behave.given('an entry that drains while it reads a body')
def drain_while_reading(context):
    sides.start_served(context, body_seconds=30)
    context.side.settings.shutdown = context.side.settings.shutdown.replace(
        notice_seconds=_NOTICE_SECONDS
    )
    _begin_body(
        context,
        exchanges.write_request(
            'POST', '/services/booking/bookings', _BODY, Idempotency_Key='k'
        ),
    )
    progress = context.side.entry._progress
    exchanges.wait_until(progress.count_requests)
    context.stopping = operated.spawn(context.side.entry.drain)
    exchanges.wait_until(lambda: progress.refusing)


@behave.when('the rest of the body comes')
def send_rest(context):
    context.caller.send(_BODY)
    context.received = context.caller.receive('POST')


def _check_answer(context, status, code):
    assert context.received.status == status, context.received.data
    assert context.received.error['code'] == code, context.received.data
    return context.received


@behave.then('the caller gets 503 "stopping", and no server got the request')
def check_refused_unsent(context):
    received = _check_answer(context, 503, 'stopping')
    assert float(received.headers['retry-after']) > 0
    assert received.error['not_run']
    context.stopping.get()
    if hasattr(context, 'plain'):
        assert not context.plain.service._requests
    else:
        assert _list_requests(context) == []


@behave.given(
    'an instance on the platform whose servers are busy until after its stop'
)
def start_busy(context):
    _start_instance(context, slots=1)
    context.release = event.Event()
    context.add_cleanup(context.release.set)

    def respond(backend, sock, request):
        if request.target.startswith('/once'):
            sock.sendall(operated.write_stream_head(backend, request))
            events = operated.write_events(1, 3)
            sock.sendall(exchanges.write_chunk(events))
        context.release.wait()
        return False

    for each in context.side.backends.values():
        each.default_plan = respond


def _stop(context, waiting):
    context.side.instance.stop()
    context.received = waiting.get()


def _hold_places(context, instance):
    """Let the requests of an instance wait for a place for good."""
    keepers = instance._entry.application._forwarding._keepers
    keepers_class, original = type(keepers), type(keepers).reserve

    def reserve(self, request):
        if self is keepers:
            gevent.sleep(_FOREVER_SECONDS)
        return original(self, request)

    keepers_class.reserve = reserve
    context.add_cleanup(setattr, keepers_class, 'reserve', original)


@behave.when('it is stopped while a request waits for a place')
def stop_while_waiting(context):
    _hold_places(context, context.side.instance)
    waiting = _send(context, '/chat/x')
    progress = context.side.instance._progress
    exchanges.wait_until(progress.count_requests)
    _stop(context, waiting)


@behave.when('it is stopped while {request} runs')
def stop_while_running(context, request):
    path = {
        'a request that may run once': '/write/x',
        'a request that may be repeated': '/read/x',
        'a stream': '/once/x',
    }[request]
    running = _send(context, path)
    exchanges.wait_until(lambda: _list_requests(context))
    _stop(context, running)


@behave.then('that caller gets {status:d} "{code}"')
def check_status_and_code(context, status, code):
    _check_answer(context, status, code)


@behave.then('its request was not sent')
def check_not_sent(context):
    assert _list_requests(context) == []
    assert context.received.error['not_run']


@behave.then('that caller gets events and no end of the stream')
def check_cut(context):
    assert context.received.body == operated.write_events(1, 3)
    assert not context.received.complete


@behave.given(
    'an instance at its limit, whose requests wait at a peer for a place'
)
def wait_at_peer(context):
    first, second = overflow_instances.start(
        context, 2, finish_seconds=_STOP_SECONDS, notice_seconds=0
    )
    context.side, context.peer = first, second
    overflow_instances.overload(first, 'e1', second.address)
    _hold_places(context, second.instance)
    context.waiting = _send(context, '/write/x')
    exchanges.wait_until(second.instance._progress.count_requests)


@behave.when('the peer is stopped, and the server has a place again')
def stop_peer(context):
    context.peer.instance.stop()
    context.received = context.waiting.get()


@behave.then(
    'the caller gets the answer of the server, which ran the request once'
)
def check_run_once(context):
    assert context.received.status == 200, context.received.data
    assert len(_list_requests(context)) == 1


@behave.given(
    'an instance at its limit, which passed a stream to a peer that has sent 3'
    ' events'
)
def pass_stream(context):
    first, second = overflow_instances.start(
        context, 2, finish_seconds=_STOP_SECONDS, notice_seconds=0
    )
    context.side, context.peer = first, second
    engine = first.backends[overflow_instances.ENGINE]
    engine.default_plan = operated.stream(1, 9)
    # Requests that an instance runs itself allow for its retries.
    first.send_request('/chat/x', attempt='a-0')
    engine.requests.clear()
    overflow_instances.overload(first, 'e1', second.address)

    def respond(backend, sock, request):
        after = int(request.headers.get('last-event-id', 0))
        if after:
            return operated.stream(after + 1, 9)(backend, sock, request)
        sock.sendall(operated.write_stream_head(backend, request))
        events = operated.write_events(1, 3)
        sock.sendall(exchanges.write_chunk(events))
        return bool(sock.recv(1))

    engine.default_plan = respond
    context.waiting = _send(context, '/chat/x')
    exchanges.wait_until(lambda: _list_requests(context))


@behave.then('the caller gets the events 1 to 9 once each, and the end of it')
def check_whole_stream(context):
    assert context.received.complete, context.received.data
    assert context.received.body == operated.write_events(1, 9)


@behave.then(
    'the server was asked to go on after event 3, and nobody counted the'
    ' request twice'
)
def check_resumed(context):
    first, second = map(operated.Request, _list_requests(context))
    assert 'last-event-id' not in first.headers
    assert second.headers['last-event-id'] == '3'
    assert second.attempt == first.attempt
    assert context.side.instance.metrics.read('retry_budget', 'used') == 1
