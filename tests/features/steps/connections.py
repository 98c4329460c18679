"""Steps about kept connections to one backend server."""

import behave
import gevent

from amaranthslip.backends import connections
from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip import errors
from tests.support import callers
from tests.support import exchanges

_REUSE = {'once': outgoing.Reuse.SURE, 'again': outgoing.Reuse.ANY}


def _start(context, follow):
    context.now = 100.0
    context.server = exchanges.Script(follow)
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
    request = outgoing.Outgoing(
        method='GET',
        target='/x',
        headers=[],
        body=b'',
        reuse=reuse,
        request_id='r',
        **options,
    )
    with context.connections.send(context.backend, request) as answer:
        return answer.read_whole(1000)


@behave.given('a server that tells an idle timeout of {seconds:d} seconds')
def start_telling(context, seconds):
    def follow(script, sock):
        while script.read(sock):
            answer = exchanges.write_answer(
                b'ok', Keep_Alive=f'timeout={seconds}'
            )
            sock.sendall(answer)

    _start(context, follow)


@behave.given('a server that tells no idle timeout')
def start_untold(context):
    def follow(script, sock):
        while script.read(sock):
            sock.sendall(exchanges.write_answer(b'ok'))

    _start(context, follow)


@behave.given('a server that closes each connection at its second request')
def start_closing(context):
    def follow(script, sock):
        script.read(sock)
        # Requests that come at once are answered late enough to meet.
        gevent.sleep(0.02)
        sock.sendall(exchanges.write_answer(b'ok'))
        script.read(sock)
        sock.close()

    _start(context, follow)


@behave.when(
    '{count:d} requests that may be sent once come one after the other'
)
def send_some(context, count):
    for _ in range(count):
        assert _send(context, outgoing.Reuse.SURE) == b'ok'


@behave.when(
    '{count:d} requests whose effect must be known come one after the other'
)
def send_known(context, count):
    for _ in range(count):
        assert _send(context, outgoing.Reuse.NEVER) == b'ok'


@behave.when(
    'a request that may be sent {times} comes after {seconds:d} idle seconds'
)
def send_after(context, times, seconds):
    _send(context, _REUSE[times])
    context.now += seconds
    assert _send(context, _REUSE[times]) == b'ok'


@behave.when('{count:d} requests at once leave {idle:d} idle connections')
def send_at_once(context, count, idle):
    greenlets = [
        gevent.spawn(_send, context, outgoing.Reuse.SURE) for _ in range(count)
    ]
    gevent.joinall(greenlets, raise_error=True)
    assert context.server.connections == idle, context.server.connections


@behave.when('a request that may be sent once meets the closing')
def meet_closing(context):
    if not context.server.connections:
        _send(context, outgoing.Reuse.SURE)
    context.failure = None
    try:
        _send(context, outgoing.Reuse.SURE)
    except errors.BackendFailed as failure:
        context.failure = failure


@behave.when('another request that may be sent once comes')
def send_another(context):
    assert _send(context, outgoing.Reuse.SURE) == b'ok'


def _raise_leaving():
    raise errors.BackendFailed('leaving', 'the server is leaving', sent=False)


@behave.when('a request comes whose server has begun to leave')
def send_to_leaving(context):
    try:
        _send(context, outgoing.Reuse.ANY, check_server=_raise_leaving)
    except errors.BackendFailed as failure:
        context.failure = failure
    exchanges.wait_until(lambda: context.server.connections)


@behave.then('it fails as one that was not sent')
def check_not_sent(context):
    assert context.failure is not None
    assert not context.failure.sent, context.failure


@behave.then('it fails as one that may have run')
def check_failure(context):
    assert context.failure is not None
    assert context.failure.sent, context.failure


@behave.then('the server got {requests:d} requests on {count:d} connection')
@behave.then('the server got {requests:d} requests on {count:d} connections')
def check_connections(context, requests, count):
    got = [each for each in context.server.requests if each]
    assert len(got) == requests, len(got)
    assert context.server.connections == count, context.server.connections
