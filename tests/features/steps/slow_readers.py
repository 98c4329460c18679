"""Steps about callers and engines that read slowly."""

import re
import time
from unittest import mock

import behave
import gevent
from gevent import event
from gevent import socket

from amaranthslip.capacity import outliers
from tests.support import exchanges
from tests.support import operated

# Bytes of padding in each event, and events that exceed what the sockets'
# buffers hold.
_PAD = b'x' * 16384
_MAX_EVENTS = 4000
# Seconds without progress after which an engine cuts off its answer.
_UNREAD_SECONDS = 0.5
_RECEIVE_BYTES = 4194304
# Long enough for an answer to be received before it on a busy machine.
_DEADLINE_SECONDS = 3.0


def _write_event(number):
    return exchanges.write_chunk(b'id: %d\ndata: %s\n\n' % (number, _PAD))


def _stream_events(context, sock, first, last):
    """Send events; note the last one and whether the answer was cut off."""
    for number in range(first, last + 1):
        try:
            sock.sendall(_write_event(number))
        except socket.timeout:
            context.cut_at = number
            return
    sock.sendall(b'0\r\n\r\n')
    context.last_event = last


def _plan_engines(context, respond_first):
    """Set the plan of the engine that gets the first request."""
    context.cut_at = context.last_event = None
    plans = [respond_first]

    def respond(backend, sock, request):
        sock.sendall(operated.write_stream_head(backend, request))
        if plans:
            context.first = backend
            return plans.pop()(sock)
        after = int(request.headers['last-event-id'])
        _stream_events(context, sock, after + 1, after + 3)

    for each in context.side.backends.values():
        each.default_plan = respond


@behave.given('the failures that are charged to servers are recorded')
def record_failures(context):
    context.charged = []
    note_failure = outliers.Outliers.note_failure

    def record(self, server, *args, **options):
        context.charged.append(server)
        return note_failure(self, server, *args, **options)

    patch = mock.patch.object(outliers.Outliers, 'note_failure', record)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.given(
    'the first engine cuts off answers that stay unread, by a {end:w}'
)
def cut_unread(context, end):
    def respond(sock):
        sock.settimeout(_UNREAD_SECONDS)
        _stream_events(context, sock, 1, _MAX_EVENTS)
        if end == 'reset':
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, exchanges.RESET
            )
        return False

    _plan_engines(context, respond)


@behave.given(
    'the first engine is cut off {seconds:g} s after its caller caught up'
)
def cut_later(context, seconds):
    def respond(sock):
        for number in range(1, 1001):
            sock.sendall(_write_event(number))
        context.caught_up.wait()
        gevent.sleep(seconds)
        sock.sendall(_write_event(1001))
        return False

    context.caught_up = event.Event()
    _plan_engines(context, respond)


@behave.given('the first engine sends more than the connections hold')
def send_much(context):
    _plan_engines(
        context, lambda sock: _stream_events(context, sock, 1, _MAX_EVENTS)
    )


@behave.given(
    'the first engine sends a whole answer that the connections hold'
)
def send_whole(context):
    _plan_engines(context, lambda sock: _stream_events(context, sock, 1, 400))


@behave.given('a write to a caller may go without progress for {seconds:g} s')
def limit_writes(context, seconds):
    settings = context.side.settings
    settings.limits = settings.limits.replace(write_seconds=seconds)


@behave.given('all plain servers answer with {megabytes:d} megabytes')
def answer_long(context, megabytes):
    context.body = b'x' * (megabytes * 1000000)
    for each in context.side.backends.values():
        each.default_plan = operated.answer('200 OK', context.body)


def _request(context, path, **options):
    """Send a request on a connection with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.settimeout(20)
    sock.connect(context.side.address)
    context.add_cleanup(sock.close)
    sock.sendall(operated.write_request(path, 'a-1', **options))
    return sock


def _read_rest(context, sock, *, pause_seconds=0.0):
    """Read the answer up to its end or cut."""
    received = bytearray()
    while not received.endswith(b'\r\n0\r\n\r\n'):
        gevent.sleep(pause_seconds)
        try:
            data = sock.recv(_RECEIVE_BYTES)
        except ConnectionError:
            break
        if not data:
            break
        received += data
    context.received = bytes(received)
    sock.close()


@behave.when(
    'a caller of "{path}" reads nothing until then, and {manner} afterwards'
)
def pause_until_cut(context, path, manner):
    sock = _request(context, path)
    exchanges.wait_until(lambda: context.cut_at)
    gevent.sleep(0.1)
    pause_seconds = 0.02 if manner == 'slowly' else 0.0
    _read_rest(context, sock, pause_seconds=pause_seconds)


@behave.when(
    'a caller of "{path}" pauses for {seconds:g} s and reads all afterwards'
)
def pause(context, path, seconds):
    sock = _request(context, path)
    gevent.sleep(seconds)
    context.caught_up.set()
    _read_rest(context, sock)


@behave.when(
    'a caller of "{path}" reads {what} {seconds:g} s after its deadline'
)
def pass_deadline(context, path, what, seconds):
    milliseconds = str(int(1000 * _DEADLINE_SECONDS))
    sock = _request(context, path, Amaranthslip_Deadline_Ms=milliseconds)
    gevent.sleep(_DEADLINE_SECONDS + seconds)
    if what == 'all':
        _read_rest(context, sock)
    else:
        sock.close()


@behave.when('a caller of "{path}" takes {seconds:g} s to read the answer')
def read_slowly(context, path, seconds):
    sock = _request(context, path)
    pause_seconds = seconds * 65536 / len(context.body)
    received = 0
    started = time.monotonic()
    while received < len(context.body):
        gevent.sleep(pause_seconds)
        data = sock.recv(65536)
        if not data:
            break
        received += len(data)
    assert time.monotonic() - started >= seconds / 2, 'read too fast'
    context.received_length = received


@behave.then('the caller receives no end of the stream')
def check_cut(context):
    assert not context.received.endswith(b'\r\n0\r\n\r\n')


@behave.then('the caller receives each event once, and the end of the stream')
def check_whole(context):
    assert context.received.endswith(b'\r\n0\r\n\r\n')
    ids = [int(each) for each in re.findall(rb'id: (\d+)', context.received)]
    assert ids == list(range(1, context.last_event + 1)), ids[-3:]


@behave.then('the caller receives the whole answer')
def check_length(context):
    assert context.received_length >= len(context.body)


@behave.then("the cut is logged as the caller's and charged to no engine")
def check_uncharged(context):
    assert context.log.find('caller_reads_slowly')
    check_no_failure(context)


@behave.then('no failure is charged to an engine')
def check_no_failure(context):
    gevent.sleep(0.05)
    assert not context.charged, context.charged
    metrics = context.side.instance.metrics
    assert not metrics.read('tries_failed', 'cut')
    assert not metrics.read('crashes', 'llm')


@behave.then('the failure is charged to the first engine')
def check_charged(context):
    assert context.charged == [context.first.name]
    assert not context.log.find('caller_reads_slowly')
