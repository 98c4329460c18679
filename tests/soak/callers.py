"""Callers of a soak: the requests that they send, and their outcomes."""

import random
import re
import threading
import time
import zlib

import gevent
from gevent import timeout as timeouts

from standins import listed
from tests.soak import deployment as deployment_module
from tests.support import exchanges
from tests.support import operated

# An attempt's own deadline is 4 s. An attempt that has not ended after this
# time never will, even on a busy machine.
_ATTEMPT_TIMEOUT_SECONDS = 30.0
_MEAN_PAUSE_SECONDS = 0.02
_MODEL_HEADERS = {
    'Amaranthslip-Model': 'm',
    'Amaranthslip-Token-Usage': '300,20',
    'Amaranthslip-Prompt-Prefix': 'aa01:200,bb02:100',
}
_DEADLY_PREFIX = f'aa01:100,{listed.DEADLY_PART}:100,bb02:100'
STREAM_ROUTES = ('chat', 'once')
# Kinds of requests: route, API key and relative frequency.
REQUEST_KINDS = (
    ('read', 'key-a', 4),
    ('write', 'key-b', 4),
    ('open', '', 2),
    ('chat', 'key-a', 4),
    ('once', 'key-b', 2),
    ('read', deployment_module.REVOKED_KEY, 2),
    ('read', 'key-unknown', 1),
    ('nowhere', 'key-a', 1),
    (deployment_module.ADDED_ROUTE, 'key-a', 2),
)
# Requests that crash the server that executes them: route, key and body.
CRASHING_REQUESTS = tuple(
    (route, key, b'%s-%s-%d' % (listed.CRASH_PREFIX, route.encode(), number))
    for number in range(2)
    for route, key in (('read', 'key-a'), ('once', 'key-b'))
)
# Route and key of requests with a part that crashes servers, no two alike.
DEADLY_ROUTE = ('chat', 'key-a')
# Route whose streams a caller takes up where they were broken off, at any
# router, and how often at most.
_RESUMABLE_ROUTE = 'chat'
_MAX_CONTINUATIONS = 3
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+):(\S+)\n\n')
# Share of the attempts that send one of these requests.
_CRASHING_REQUESTS_PER_MILLE = 20
_DEADLY_REQUESTS_PER_MILLE = 10


class Attempt:
    """One attempt of a caller and its outcome."""

    __slots__ = (
        'name',
        'route',
        'key',
        'router',
        'router_start_count',
        'sent_at',
        'body',
        'answer',
        'answered_at',
        'timed_out',
        'continued',
        'deadly',
    )

    def __init__(
        self,
        name,
        route,
        key,
        router,
        *,
        body=b'',
        continued=None,
        deadly=False,
    ):
        self.name = name
        # Whether its prompt has a part that crashes servers.
        self.deadly = deadly
        # The attempt at the same stream before this one; None: the first.
        self.continued = continued
        self.route = route
        self.key = key
        self.router = router.name
        self.router_start_count = router.start_count
        self.sent_at = time.monotonic()
        self.body = body
        self.answer = None
        # Time at which the answer ended; None if there was no answer.
        self.answered_at = None
        self.timed_out = False

    @property
    def first(self):
        """The attempt that brought the first event of the stream."""
        return self.continued.first if self.continued else self

    @property
    def events(self):
        """Number, text and software version of each event received."""
        if self.status != 200:
            return []
        return [
            (int(number), text, version)
            for number, text, version in _EVENT.findall(self.answer.body)
        ]

    @property
    def last_event(self):
        """Number of the last event that the caller has; 0: none."""
        events = self.events
        if events:
            return events[-1][0]
        return self.continued.last_event if self.continued else 0

    @property
    def versions(self):
        """Software versions of all events of the stream up to here."""
        before = self.continued.versions if self.continued else set()
        return before | {version for _, _, version in self.events}

    @property
    def retry_after(self):
        """Seconds to wait before the next attempt, at most one."""
        if self.answer is None:
            return _MEAN_PAUSE_SECONDS
        return min(1.0, float(self.answer.headers.get('retry-after', 0.0)))

    @property
    def status(self):
        """The status of the answer; 0 if the connection ended without one."""
        return self.answer.status if self.answer else 0


class Callers:
    """Runs several callers for each router in a thread until `stop`."""

    def __init__(self, routers, *, seed, callers):
        self.attempts = []
        self._routers = routers
        self._seed = seed
        self._callers_per_router = callers
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        """Wait until each caller has ended its current attempt."""
        self._stop_requested.set()
        self._thread.join(2 * _ATTEMPT_TIMEOUT_SECONDS)

    def _run(self):
        gevent.joinall(
            [
                gevent.spawn(self._run_caller, router, index)
                for router in self._routers
                for index in range(self._callers_per_router)
            ],
            raise_error=True,
        )

    def _run_caller(self, router, index):
        rng = random.Random(f'{self._seed}-{router.name}-{index}')
        weights = [weight for _, _, weight in REQUEST_KINDS]
        connection, count = None, 0
        while not self._stop_requested.is_set():
            count += 1
            route, key, _ = rng.choices(REQUEST_KINDS, weights)[0]
            body = b''
            if rng.randrange(1000) < _CRASHING_REQUESTS_PER_MILLE:
                route, key, body = rng.choice(CRASHING_REQUESTS)
            name = f'{router.name}-{index}-{count}'
            deadly = rng.randrange(1000) < _DEADLY_REQUESTS_PER_MILLE
            if deadly:
                (route, key), body = DEADLY_ROUTE, name.encode()
            attempt = Attempt(
                name, route, key, router, body=body, deadly=deadly
            )
            self.attempts.append(attempt)
            connection = send(attempt, router, connection)
            self._take_up(attempt, rng)
            if connection is not None and rng.random() < 0.3:
                connection.close()
                connection = None
            gevent.sleep(rng.uniform(0, 2 * _MEAN_PAUSE_SECONDS))

    def _take_up(self, attempt, rng):
        """Continue a stream that was broken off, at any of the routers."""
        if attempt.route != _RESUMABLE_ROUTE or not attempt.last_event:
            return
        for number in range(_MAX_CONTINUATIONS):
            if attempt.status == 200 and attempt.answer.complete:
                return
            gevent.sleep(attempt.retry_after)
            router = rng.choice(self._routers)
            attempt = Attempt(
                f'{attempt.first.name}-{number}',
                attempt.route,
                attempt.key,
                router,
                body=attempt.body,
                continued=attempt,
                deadly=attempt.deadly,
            )
            self.attempts.append(attempt)
            connection = send(attempt, router)
            if connection is not None:
                connection.close()


def send(attempt, router, connection=None):
    """Send an attempt; return the connection if it is reusable.

    Parameters
    ----------
    connection : exchanges.Caller or None
        Connection to send on; by default, a new one is opened.
    """
    try:
        with gevent.Timeout(_ATTEMPT_TIMEOUT_SECONDS):
            if connection is None:
                address = operated.split_address(router.callers)
                connection = exchanges.Caller(address)
            connection.send(_build_request(attempt))
            attempt.answer = connection.receive('POST')
            attempt.answered_at = time.monotonic()
    except timeouts.Timeout:
        attempt.timed_out = True
    except OSError:
        gevent.sleep(_MEAN_PAUSE_SECONDS)
    if connection is not None and _is_reusable(attempt):
        return connection
    if connection is not None:
        connection.close()
    return None


def _is_reusable(attempt):
    if attempt.answer is None or not attempt.answer.complete:
        return False
    return attempt.answer.headers.get('connection', '') != 'close'


def _build_request(attempt):
    headers = dict(_MODEL_HEADERS) if attempt.route in STREAM_ROUTES else {}
    if attempt.deadly:
        headers['Amaranthslip-Prompt-Prefix'] = _DEADLY_PREFIX
    if attempt.continued:
        # Some callers don't name the attempt that brought the first event.
        if zlib.crc32(attempt.first.name.encode()) % 4:
            headers['Resumes'] = attempt.first.name
        headers['Last-Event-Id'] = str(attempt.continued.last_event)
    return operated.write_request(
        f'/{attempt.route}/x',
        attempt.name,
        key=attempt.key,
        body=attempt.body,
        **headers,
    )
