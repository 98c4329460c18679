"""Steps for callers that disconnect or do not read their response."""

import behave
import gevent
from gevent import event
from gevent import socket

from amaranthslip.requests import claim_messages
from amaranthslip.requests import outcomes
from tests.support import exchanges
from tests.support import sides


@behave.given('a relay and an engine for the stage {stage}')
def start_stage(context, stage):
    context.disconnected = event.Event()
    if stage == 'streaming':
        engine = sides.close_after_scenario(
            context, exchanges.Engine(step=0.01)
        )
        context.engine = engine.engine
        sides.start(context, engines=[engine.address])
        return

    def follow(script, sock):
        script.read(sock)
        assert sock.recv(1) == b''
        context.disconnected.set()

    context.engine = None
    context.script = sides.add_script(context, follow)
    side = sides.start(context, engines=[context.script.address])
    if stage == 'queued':
        side.scheduler.gate.clear()


@behave.when(
    'a caller of the relay starts a stream and disconnects while {stage}'
)
def disconnect(context, stage):
    caller = exchanges.Caller(context.side.address)
    values = exchanges.write_chat('LENGTH=2000', stream=True)
    caller.send(
        exchanges.write_request('POST', '/v1/chat/completions', values)
    )
    scheduler = context.side.scheduler
    context.stage = stage
    if stage == 'queued':
        exchanges.wait_until(lambda: scheduler.waiting == 1)
    elif stage == 'silent':
        exchanges.wait_until(lambda: context.script.requests)
    else:
        caller.read_until(b'w3.')
    caller.close()


@behave.then("the request of the relay's caller is cancelled")
def check_cancelled(context):
    scheduler = context.side.scheduler
    exchanges.wait_until(lambda: scheduler.tickets)
    if context.stage == 'queued':
        exchanges.wait_until(lambda: scheduler.waiting == 0)
        assert not scheduler.grants
        return
    exchanges.wait_until(lambda: scheduler.in_use == 0)
    assert scheduler.grants[0].outcome is outcomes.Outcome.CANCELLED
    if context.engine is None:
        assert context.disconnected.wait(20)
    else:
        exchanges.wait_until(lambda: context.engine.cancelled == 1)


@behave.then('the relay counts a disconnected caller')
def check_counted(context):
    read = context.side.metrics.read
    exchanges.wait_until(lambda: read('requests', 'caller_left') == 1)


@behave.given(
    'a relay with a write timeout of {seconds:f} s and an endless stream'
)
def start_endless(context, seconds):
    context.disconnected = event.Event()

    def follow(script, sock):
        script.read(sock)
        sock.sendall(exchanges.STREAM_HEAD)
        data = exchanges.write_chunk(b'data: {"x":"%s"}\n\n' % (b'y' * 9999))
        try:
            while True:
                sock.sendall(data)
        except OSError:
            context.disconnected.set()

    context.engine, context.stage = None, 'endless'
    script = sides.add_script(context, follow)
    limits = {'write_seconds': seconds}
    sides.start(context, engines=[script.address], limits=limits)


@behave.when('a caller of the relay starts a stream and reads nothing')
def read_nothing(context):
    values = exchanges.write_chat('x', stream=True)
    sides.connect(context).send(
        exchanges.write_request('POST', '/v1/chat/completions', values)
    )


@behave.given('a relay in front of a booking server that delays its response')
def start_booking(context):
    context.release = event.Event()

    def follow(script, sock):
        script.read(sock)
        context.release.wait()
        sock.sendall(exchanges.write_answer(b'booked'))

    context.script = sides.add_script(context, follow)
    sides.start(context, plain=[context.script.address])


@behave.when(
    'a caller of the relay sends a booking with a key and disconnects'
)
def book_and_disconnect(context):
    caller = exchanges.Caller(context.side.address)
    caller.send(
        exchanges.write_request(
            'POST', '/services/booking/bookings', b'{}', Idempotency_Key='k'
        )
    )
    exchanges.wait_until(lambda: context.script.requests)
    caller.close()


@behave.then('the relay settles the claim as DONE once the server responds')
def check_settled(context):
    claim = context.side.claims.claimed['escola-sol', 'k']
    gevent.sleep(0.05)
    assert claim.state is None and context.side.scheduler.in_use == 1
    context.release.set()
    exchanges.wait_until(lambda: claim.state is not None)
    assert claim.state is claim_messages.ClaimState.DONE
    assert len(context.script.requests) == 1


@behave.given('a relay in front of an engine that keeps its connection open')
def start_open_connection(context):
    def follow(script, sock):
        script.read(sock)
        data = exchanges.write_chunk(b'data: {"x":1}\n\ndata: [DONE]\n\n')
        sock.sendall(exchanges.STREAM_HEAD + data)
        # Blocks until the relay closes the connection.
        sock.recv(1)

    script = sides.add_script(context, follow)
    sides.start(context, engines=[script.address])


@behave.when('a caller of the relay reads its stream up to "[DONE]"')
def read_to_done(context):
    values = exchanges.write_chat('x', stream=True)
    caller = sides.connect(context)
    caller.send(
        exchanges.write_request('POST', '/v1/chat/completions', values)
    )
    caller.read_until(b'[DONE]')


@behave.then('the relay has released the slot as DONE')
def check_released(context):
    scheduler = context.side.scheduler
    assert scheduler.in_use == 0
    assert scheduler.grants[0].outcome is outcomes.Outcome.DONE


@behave.given('a relay and an engine that cuts off responses left unread')
def start_cutting(context):
    context.cut = event.Event()

    def follow(script, sock):
        script.read(sock)
        sock.settimeout(0.5)
        sock.sendall(exchanges.STREAM_HEAD)
        data = exchanges.write_chunk(b'data: {"x":"%s"}\n\n' % (b'y' * 9999))
        try:
            while True:
                sock.sendall(data)
        except OSError:
            context.cut.set()

    script = sides.add_script(context, follow)
    sides.start(context, engines=[script.address])


@behave.when(
    'a caller of the relay reads nothing until then, and slowly afterwards'
)
def read_late(context):
    sock = socket.socket()
    context.add_cleanup(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.settimeout(20)
    sock.connect(context.side.address)
    values = exchanges.write_chat('x', stream=True)
    sock.sendall(
        exchanges.write_request('POST', '/v1/chat/completions', values)
    )
    assert context.cut.wait(20)
    gevent.sleep(0.1)
    while sock.recv(4194304):
        gevent.sleep(0.02)


@behave.then('the relay counts the response as aborted for its caller')
def check_unread(context):
    read = context.side.metrics.read
    exchanges.wait_until(lambda: read('requests', 'aborted') == 1)
    assert read('unread', 'aborted') == 1


@behave.then('the only grant ended as cancelled')
def check_grant(context):
    grants = context.side.scheduler.grants
    assert [each.outcome for each in grants] == [outcomes.Outcome.CANCELLED]
