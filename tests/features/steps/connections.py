"""Steps for pooled connections to one backend server."""

import behave
import gevent

from amaranthslip.backends import connections
from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip import errors
from tests.support import callers
from tests.support import exchanges

_REUSE = {'once': outgoing.Reuse.RECENT, 'again': outgoing.Reuse.ANY}


def _start_server(context, handle_connection):
    context.now = 100.0
    context.server = exchanges.ScriptedServer(handle_connection)
    context.add_cleanup(context.server.close)
    context.connections = connections.Connections(
        callers.build_settings(), clock=lambda: context.now
    )
    context.add_cleanup(context.connections.close)
    context.backend = document.BackendServer(
        name='s-1',
        service='llm',
        address=context.server.address,
        failure_domain='a',
    )


def _send(context, reuse, **options):
    request = outgoing.BackendRequest(
        method='GET',
        target='/x',
        headers=[],
        body=b'',
        reuse=reuse,
        request_id='r',
        **options,
    )
    with context.connections.send(context.backend, request) as answer:
        return answer.read_body(1000)


@behave.given('a server that announces an idle timeout of {seconds:d} seconds')
def start_with_idle_timeout(context, seconds):
    def handle_connection(script, sock):
        while script.read(sock):
            answer = exchanges.write_answer(
                b'ok', Keep_Alive=f'timeout={seconds}'
            )
            sock.sendall(answer)

    _start_server(context, handle_connection)


@behave.given(
    'a slow server that announces an idle timeout of {seconds:d} seconds'
)
def start_slow(context, seconds):
    def handle_connection(script, sock):
        while script.read(sock):
            gevent.sleep(0.02)
            answer = exchanges.write_answer(
                b'ok', Keep_Alive=f'timeout={seconds}'
            )
            sock.sendall(answer)

    _start_server(context, handle_connection)


@behave.given(
    'a slow server to which an instance keeps {count:d} idle connections at'
    ' most'
)
def start_limited(context, count):
    start_slow(context, 10)
    context.connections._read_idle_limit = lambda server: count


@behave.when('the connections stay idle for {seconds:d} seconds')
def advance_clock(context, seconds):
    context.now += seconds


@behave.given('a server that announces no idle timeout')
def start_without_idle_timeout(context):
    def handle_connection(script, sock):
        while script.read(sock):
            sock.sendall(exchanges.write_answer(b'ok'))

    _start_server(context, handle_connection)


@behave.given('a server that closes each connection at its second request')
def start_closing_server(context):
    def handle_connection(script, sock):
        script.read(sock)
        # Delay the response, so that simultaneous requests overlap and each
        # of them needs its own connection.
        gevent.sleep(0.02)
        sock.sendall(exchanges.write_answer(b'ok'))
        script.read(sock)
        sock.close()

    _start_server(context, handle_connection)


@behave.when(
    '{count:d} requests that may be sent once are sent one after the other'
)
def send_sequentially(context, count):
    for _ in range(count):
        assert _send(context, outgoing.Reuse.RECENT) == b'ok'


@behave.when(
    '{count:d} requests whose outcome must be known are sent one after the'
    ' other'
)
def send_with_known_outcome(context, count):
    for _ in range(count):
        assert _send(context, outgoing.Reuse.NEVER) == b'ok'


@behave.when(
    'a request that may be sent {times} is sent after {seconds:d} idle seconds'
)
def send_after(context, times, seconds):
    _send(context, _REUSE[times])
    context.now += seconds
    assert _send(context, _REUSE[times]) == b'ok'


@behave.when('{count:d} requests at once leave {idle:d} idle connections')
def send_at_once(context, count, idle):
    greenlets = [
        gevent.spawn(_send, context, outgoing.Reuse.RECENT)
        for _ in range(count)
    ]
    gevent.joinall(greenlets, raise_error=True)
    assert context.server.connections == idle, context.server.connections


@behave.when('a request that may be sent once is sent as the server closes')
def send_during_close(context):
    if not context.server.connections:
        _send(context, outgoing.Reuse.RECENT)
    context.failure = None
    try:
        _send(context, outgoing.Reuse.RECENT)
    except errors.BackendFailed as failure:
        context.failure = failure


@behave.when('another request that may be sent once is sent')
def send_another(context):
    assert _send(context, outgoing.Reuse.RECENT) == b'ok'


@behave.then('{count:d} of {total:d} connections to the server is open')
def check_open(context, count, total):
    assert context.server.connections == total
    exchanges.wait_until(lambda: context.server.open_connections == count)


def _raise_leaving():
    raise errors.BackendFailed('leaving', 'the server is leaving', sent=False)


@behave.when('a request is sent to a server that has begun to leave')
def send_to_leaving(context):
    try:
        _send(context, outgoing.Reuse.ANY, check_server=_raise_leaving)
    except errors.BackendFailed as failure:
        context.failure = failure
    exchanges.wait_until(lambda: context.server.connections)


@behave.then('the request fails and is reported as not sent')
def check_not_sent(context):
    assert context.failure is not None
    assert not context.failure.sent, context.failure


@behave.then('the request fails and is reported as one that may have run')
def check_failure(context):
    assert context.failure is not None
    assert context.failure.sent, context.failure


@behave.then(
    'the server received {requests:d} requests on {count:d} connection'
)
@behave.then(
    'the server received {requests:d} requests on {count:d} connections'
)
def check_connections(context, requests, count):
    received = [request for request in context.server.requests if request]
    assert len(received) == requests, len(received)
    assert context.server.connections == count, context.server.connections
