"""Steps for the detection of crashed server processes."""

import functools
import subprocess
import sys

import behave
import gevent
from gevent import server as gevent_server
from gevent import socket
from gevent import subprocess as gevent_subprocess

from amaranthslip.backends import connections
from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip.entry import crashes
from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.requests import part_crashes
from standins import proxy
from tests.support import configured
from tests.support import exchanges

_BUSY_PROGRAM = 'while True: pass'


class RecordingExchange:
    """Records the reports of crashes instead of sending them."""

    def __init__(self):
        self.reported = []

    def report(self, fingerprint, server, incarnation, *, last_event):
        self.reported.append((fingerprint, server))


class FailedCall:
    """A request that failed on a server."""

    kept_connection_broke = False

    def __init__(self, number):
        self.fingerprint = b'request-%d' % number
        self.sent_parts = part_crashes.SentParts(b'', ())


class DetectionFixture:
    """A crash guard with real connections to one server at a time."""

    def __init__(self):
        self.settings = configured.build_settings()
        self.connections = connections.Connections(self.settings)
        self.listed = {}
        self.detector = crashes.CrashDetector(
            self.connections, self.listed.get
        )
        self.exchange = RecordingExchange()
        self.metrics = metrics.Metrics()
        self.guard = crashes.CrashGuard(
            self.detector, self.exchange, self.metrics
        )
        self.expected = []
        self.results = []

    def close(self):
        self.detector.close()
        self.connections.close()

    def list_server(self, name, address, *, leaving=False):
        self.listed[name] = document.BackendServer(
            name=name,
            service='llm',
            address=address,
            failure_domain='poa-a',
            leaving=leaving,
        )
        return self.listed[name]

    def send(self, server, body):
        """Send a request that the server does not answer."""
        request = outgoing.BackendRequest(
            method='POST',
            target='/',
            headers=(),
            body=body,
            reuse=outgoing.Reuse.NEVER,
            request_id='r-1',
        )
        try:
            self.connections.send(server, request)
        except errors.BackendFailed as failure:
            return failure
        raise AssertionError('the server answered')

    def fail(self, server, body):
        failure = self.send(server, body)
        call = FailedCall(len(self.expected))
        self.expected.append((call.fingerprint, server.name))
        self.results.append(self.guard.note_failure(call, server, failure))


class ClosingServer:
    """Closes its sockets one after the other, like an exiting process.

    Parameters
    ----------
    seconds : float
        Time from the close of the last connection to the close of the
        listening socket, which accepts connections until then.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._listener = socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._exiting = None

    def exit_after_requests(self, count, *, interval=0.0):
        """Exit after `count` requests; close their sockets at an interval."""
        self._exiting = gevent.spawn(self._exit, count, interval)

    def _exit(self, count, interval):
        accepted = [self._listener.accept()[0] for _ in range(count)]
        for sock in accepted:
            assert sock.recv(65536)
        for sock in accepted:
            sock.close()
            gevent.sleep(interval)
        gevent.sleep(self._seconds)
        self._listener.close()

    def close(self):
        if self._exiting is not None:
            self._exiting.kill()
        self._listener.close()


@behave.given('{count:d} busy processes')
def start_busy_processes(context, count):
    _make_fixture(context)
    for _ in range(count):
        process = gevent_subprocess.Popen(
            [sys.executable, '-c', _BUSY_PROGRAM]
        )
        context.add_cleanup(_end_process, process)


def _make_fixture(context):
    context.fixture = DetectionFixture()
    context.add_cleanup(context.fixture.close)


def _end_process(process):
    process.kill()
    process.wait()


def _start_server_process(context, name):
    process = gevent_subprocess.Popen(
        [sys.executable, '-m', 'tests.support.crashing_server'],
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(_end_process, process)
    port = int(process.stdout.readline())
    return context.fixture.list_server(name, f'127.0.0.1:{port}')


@behave.when(
    'a server process with {count:d} other connections crashes under a'
    ' request {times:d} times'
)
def crash_server_processes(context, count, times):
    for number in range(times):
        server = _start_server_process(context, f'llm-{number}')
        host, port = server.address.split(':')
        others = [
            socket.create_connection((host, int(port))) for _ in range(count)
        ]
        context.fixture.fail(server, b'crash')
        for other in others:
            other.close()


@behave.when(
    'a running server resets the connection under a request {times:d} times'
)
def reset_connections(context, times):
    server = _start_server_process(context, 'llm-0')
    for _ in range(times):
        context.fixture.fail(server, b'reset')


@behave.given(
    'a server that stops listening {seconds:g} s after its connections broke'
)
def start_closing_server(context, seconds):
    _make_fixture(context)
    context.closing_server = ClosingServer(seconds)
    context.add_cleanup(context.closing_server.close)
    context.fixture.list_server('llm-0', context.closing_server.address)


@behave.given('a server that closes each connection')
def start_refusing_server(context):
    _make_fixture(context)
    refusing = gevent_server.StreamServer(
        ('127.0.0.1', 0), lambda sock, address: sock.close()
    )
    refusing.start()
    context.add_cleanup(refusing.stop)
    address = f'127.0.0.1:{refusing.server_port}'
    context.fixture.list_server('llm-0', address)


@behave.when('a request fails on that server')
def fail_refused_request(context):
    context.fixture.fail(context.fixture.listed['llm-0'], b'x')


@behave.given('a proxy in front of the server')
def start_proxy(context):
    context.proxy = proxy.Proxy()
    context.add_cleanup(context.proxy.close)
    context.listener = context.proxy.listen(context.closing_server.address)
    context.fixture.list_server('llm-0', context.listener.address)


@behave.when("the proxy's faults are cleared")
def clear_faults(context):
    context.listener.heal()


@behave.when('another request fails on the server')
def fail_another_request(context):
    server = context.fixture.listed['llm-0']
    context.failure = context.fixture.send(server, b'x')


@behave.then('the last request was not sent')
def check_not_sent(context):
    assert not context.failure.sent, context.failure.reason


@behave.when('a request fails on the server')
def fail_request(context):
    fail_requests(context, 1, 0.0)


@behave.when(
    '{count:d} requests fail as the server closes their connections'
    ' {seconds:g} s apart'
)
def fail_requests(context, count, seconds):
    fixture = context.fixture
    context.closing_server.exit_after_requests(count, interval=seconds)
    failing = [
        gevent.spawn(fixture.fail, fixture.listed['llm-0'], b'x')
        for _ in range(count)
    ]
    gevent.joinall(failing, raise_error=True)


@behave.when('the server is listed as leaving')
def list_as_leaving(context):
    address = context.fixture.listed['llm-0'].address
    context.fixture.list_server('llm-0', address, leaving=True)


@behave.then('the request is told that the server crashed')
def check_told(context):
    assert context.fixture.results == [True]


@behave.then('the request is not told that the server crashed')
def check_not_told(context):
    assert context.fixture.results == [False]


@behave.then('each crash is reported once')
def check_reports(context):
    fixture = context.fixture
    exchanges.wait_until(
        lambda: len(fixture.exchange.reported) >= len(fixture.expected)
    )
    assert sorted(fixture.exchange.reported) == sorted(fixture.expected)
    crashes_counted = fixture.metrics.read('crashes', 'llm')
    assert crashes_counted == len(fixture.expected), crashes_counted
    print(f'{sum(fixture.results)} of {len(fixture.results)} detected at once')


@behave.then('a crash is reported under {count:d} of the requests')
def check_report_count(context, count):
    fixture = context.fixture
    exchanges.wait_until(functools.partial(_has_ended, fixture.detector))
    assert len(fixture.exchange.reported) == count, fixture.exchange.reported


@behave.then('no crash is reported')
def check_no_reports(context):
    fixture = context.fixture
    exchanges.wait_until(functools.partial(_has_ended, fixture.detector))
    assert not any(fixture.results)
    assert not fixture.exchange.reported, fixture.exchange.reported


def _has_ended(detector):
    return all(each.ended.is_set() for each in detector._checks.values())
