"""Steps about answers without end."""

import contextlib
import socket as native_socket
import subprocess
import threading as native_threading
import time

import behave
import gevent
from gevent import socket

from amaranthslip.backends import connections
from amaranthslip.backends import loads
from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import sockets
from amaranthslip.members import messages
from amaranthslip.platform import connections as platform_connections
from bench import processes
from tests.support import configured
from tests.support import exchanges
from tests.support import link_pair
from tests.support import operated

_MEBIBYTE = 1 << 20
_DRIP_SECONDS = 0.05
_TICK_SECONDS = 0.01
# Ends a step in which nothing is given up.
_STEP_SECONDS = 30.0


@behave.given('a server process that sends {kind} without end')
def start_server(context, kind):
    process = subprocess.Popen(
        processes.build_python_command(
            'tests.support.endless_server', f'--kind={kind}'
        ),
        stdout=subprocess.PIPE,
        text=True,
    )

    def stop():
        process.kill()
        process.wait()
        process.stdout.close()

    context.add_cleanup(stop)
    context.endless = process
    context.address = f'127.0.0.1:{process.stdout.readline().strip()}'


@contextlib.contextmanager
def _measure_pauses(context):
    """Record the longest time for which other greenlets did not run.

    Measured in processor time of this process: a greenlet that finds bytes to
    read each time uses it without end, and a busy machine does not add to it.
    """
    context.longest_pause = 0.0

    def measure():
        last_at = time.process_time()
        while True:
            gevent.sleep(_TICK_SECONDS)
            now = time.process_time()
            context.longest_pause = max(context.longest_pause, now - last_at)
            last_at = now

    ticker = gevent.spawn(measure)
    gevent.sleep(2 * _TICK_SECONDS)
    try:
        yield
        gevent.sleep(2 * _TICK_SECONDS)
    finally:
        ticker.kill()


def _build_server(address):
    return document.BackendServer(
        name='s-1', service='llm', address=address, failure_domain='poa-a'
    )


@behave.when('a request is sent to it with {seconds:g} s to answer')
def send_request(context, seconds):
    settings = configured.build_settings()
    client = connections.Connections(settings)
    context.add_cleanup(client.close)
    request = outgoing.BackendRequest(
        method='GET',
        target='/',
        headers=(),
        body=b'',
        reuse=outgoing.Reuse.ANY,
        request_id='r-1',
        id_header='Amaranthslip-Attempt-Id',
        accept_unframed=True,
    )
    context.failure = None
    with _measure_pauses(context):
        try:
            with (
                gevent.Timeout(_STEP_SECONDS, False),
                client.send(
                    _build_server(context.address),
                    request,
                    first_byte_seconds=seconds,
                ) as answer,
            ):
                answer.read_body(_MEBIBYTE)
        except errors.BackendFailed as failure:
            context.failure = failure


@behave.then('the request fails as one that may have run')
def check_failed(context):
    assert context.failure is not None and context.failure.sent


@behave.then('the request fails for a "{reason}"')
def check_reason(context, reason):
    assert context.failure is not None
    assert context.failure.reason == reason, context.failure.reason


@behave.then('the server could send less than {count:d} MiB')
def check_sent(context, count):
    sent = int(context.endless.stdout.readline())
    assert sent < count * _MEBIBYTE, sent


@behave.then('the longest pause of other greenlets was shorter than a second')
def check_pause(context):
    assert context.longest_pause < 1.0, context.longest_pause


@behave.when('the store is called there with {seconds:g} s to answer')
def call_store(context, seconds):
    pool = platform_connections.ConnectionPool(
        f'http://{context.address}', timeout_seconds=seconds
    )
    context.add_cleanup(pool.close)
    context.failure = None
    with _measure_pauses(context), gevent.Timeout(_STEP_SECONDS, False):
        try:
            pool.call('GET', '/-/kv-key')
        except platform_connections.RequestMaybeSent as failure:
            context.failure = failure


@behave.then('the call fails as one that may have been made')
def check_call(context):
    assert context.failure is not None


def _drip(beginning, piece):
    """Return what answers byte by byte after a beginning."""

    def respond(script, sock):
        script.read(sock)
        sock.sendall(beginning)
        while True:
            sock.sendall(piece)
            gevent.sleep(_DRIP_SECONDS)

    return respond


@behave.given(
    'a server that sends the head of its answer byte by byte without end'
)
def drip_head(context):
    script = exchanges.ScriptedServer(
        _drip(b'HTTP/1.1 200 OK\r\nX-Long: ', b'a')
    )
    context.add_cleanup(script.close)
    context.address = script.address


@behave.given(
    'a server that sends the body of its answer byte by byte without end'
)
def drip_body(context):
    script = exchanges.ScriptedServer(
        _drip(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1\r\na\r\n',
        )
    )
    context.add_cleanup(script.close)
    context.address = script.address


@behave.when('the load of the server is polled with {seconds:g} s to answer')
def poll_load(context, seconds):
    settings = configured.build_settings(
        backends={'first_byte_seconds': seconds}
    )
    context.reports = []
    poller = loads.LoadPoller(
        settings,
        lambda: [_build_server(context.address)],
        context.reports.append,
    )
    context.add_cleanup(poller.close)
    context.poll_ended = False
    with gevent.Timeout(_STEP_SECONDS, False):
        with contextlib.suppress(errors.AmaranthslipError):
            poller._fetch_report(_build_server(context.address))
        context.poll_ended = True


@behave.then('the poll ends without a report')
def check_poll(context):
    assert context.poll_ended and not context.reports


@behave.given("an instance's links with {seconds:g} s for the first message")
def start_links(context, seconds):
    context.end = link_pair.LinkEnd('m-1', links={'hello_seconds': seconds})
    context.add_cleanup(context.end.links.close)


def _drip_frame(context, beginning):
    """Send a beginning, and then a frame of 4 KiB byte by byte."""
    address = sockets.split_address(context.end.member.address)
    context.ended_by_instance = False
    with (
        gevent.Timeout(_STEP_SECONDS, False),
        socket.create_connection(address) as sock,
    ):
        sock.sendall(beginning + b'\x00\x00\x10\x00')
        while not context.ended_by_instance:
            sock.sendall(b'a')
            with contextlib.suppress(TimeoutError):
                socket.wait_read(sock.fileno(), timeout=_DRIP_SECONDS)
                context.ended_by_instance = True


@behave.when('a connection sends its first message byte by byte')
def drip_hello(context):
    _drip_frame(context, b'')


@behave.when('a connection sends its first message, and the next byte by byte')
def drip_second(context):
    hello = messages.Hello(
        name='m-2',
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='a',
        region='r',
    )
    secret = context.end.settings.links.secret
    batch = codec.encode([hello])
    _drip_frame(context, frames.Deflater(secret).pack(batch))


@behave.then('the connection is closed by the instance')
def check_closed(context):
    assert context.ended_by_instance


def _send_all(context, data):
    """Send bytes from another thread, as another process would."""
    sender = native_threading.Thread(
        target=_send_blocking, args=(context.side.address, data)
    )
    with _measure_pauses(context):
        sender.start()
        while sender.is_alive():
            gevent.sleep(_TICK_SECONDS)


def _send_blocking(address, data):
    sock = native_socket.create_connection(address)
    sock.settimeout(_STEP_SECONDS)
    with sock:
        sock.sendall(data)
        sock.shutdown(native_socket.SHUT_WR)
        while sock.recv(65536):
            pass


@behave.when('a caller sends a body of {count:d} bytes in chunks of one byte')
def send_chunks(context, count):
    head = operated.write_request('/write/x', 'a-1')
    head = head.replace(b'Content-Length: 0', b'Transfer-Encoding: chunked')
    context.side.settings.limits = context.side.settings.limits.replace(
        body_bytes=2 * count
    )
    _send_all(context, head + b'1\r\nx\r\n' * count + b'0\r\n\r\n')


@behave.when('a caller sends {count:d} requests ahead that are refused')
def send_ahead(context, count):
    fields = {f'x{number}': 'x' for number in range(1500)}
    data = operated.write_request('/write/x', 'a-1', key='gone', **fields)
    _send_all(context, data * count)


@behave.given('it is the engine of an instance on the platform')
def start_instance(context):
    context.side = operated.InstanceFixture()
    context.add_cleanup(context.side.close)
    context.side.configure()
    engine = operated.Backend('llm-1', service='llm')
    engine.close()
    context.side.write_entry(
        'llm-1', engine.build_entry(address=context.address)
    )
    context.side.start()


@behave.when('a caller asks the instance for a stream')
def ask_stream(context):
    context.received = context.side.send_request('/once/x')


@behave.then('the caller gets no event and no whole answer')
def check_no_answer(context):
    assert context.received.status != 200, context.received.data
