"""Callers of a soak: what they ask, and what became of each attempt."""

import random
import threading
import time

import gevent
from gevent import timeout as timeouts

from standins import listed
from tests.soak import deployment as deployment_module
from tests.support import exchanges
from tests.support import operated

# Seconds: an attempt's own deadline is 4 s; without an end by then it is
# stuck, however busy the machine.
_STUCK_SECONDS = 30.0
_PAUSE_SECONDS = 0.02
_PROMPT = {
    'Amaranthslip-Model': 'm',
    'Amaranthslip-Token-Usage': '300,20',
    'Amaranthslip-Prompt-Prefix': 'aa01:200,bb02:100',
}
STREAMS = ('chat', 'once')
# Kinds of requests: route, key, and how often of all.
KINDS = (
    ('read', 'key-a', 4),
    ('write', 'key-b', 4),
    ('open', '', 2),
    ('chat', 'key-a', 4),
    ('once', 'key-b', 2),
    ('read', deployment_module.REVOKED_KEY, 2),
    ('read', 'key-unknown', 1),
    ('nowhere', 'key-a', 1),
    (deployment_module.ADDED, 'key-a', 2),
)
# Requests that crash the server that runs them: route, key and body.
CRASHING_REQUESTS = tuple(
    (route, key, b'%s-%s-%d' % (listed.CRASH_PREFIX, route.encode(), number))
    for number in range(2)
    for route, key in (('read', 'key-a'), ('once', 'key-b'))
)
# Share of attempts that are made at one of these requests.
_CRASHING_PER_MILLE = 20


class Attempt:
    """One attempt of a caller, and how it ended."""

    __slots__ = (
        'name',
        'route',
        'key',
        'router',
        'starts',
        'sent',
        'body',
        'answer',
        'answered',
        'stuck',
    )

    def __init__(self, name, route, key, router, *, body=b''):
        self.name = name
        self.route = route
        self.key = key
        self.router = router.name
        self.starts = router.starts
        self.sent = time.monotonic()
        self.body = body
        self.answer = None
        # Time at which its answer ended.
        self.answered = None
        self.stuck = False

    @property
    def status(self):
        """The answer's status; 0: the connection ended without one."""
        return self.answer.status if self.answer else 0


class Callers:
    """Callers in a thread, some at each router, until `stop`."""

    def __init__(self, routers, *, seed, callers):
        self.attempts = []
        self._routers = routers
        self._seed = seed
        self._callers = callers
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        """Let each caller end its last attempt."""
        self._over.set()
        self._thread.join(2 * _STUCK_SECONDS)

    def _run(self):
        gevent.joinall(
            [
                gevent.spawn(self._call_in_turn, router, index)
                for router in self._routers
                for index in range(self._callers)
            ],
            raise_error=True,
        )

    def _call_in_turn(self, router, index):
        rng = random.Random(f'{self._seed}-{router.name}-{index}')
        weights = [weight for _, _, weight in KINDS]
        caller, count = None, 0
        while not self._over.is_set():
            count += 1
            route, key, _ = rng.choices(KINDS, weights)[0]
            body = b''
            if rng.randrange(1000) < _CRASHING_PER_MILLE:
                route, key, body = rng.choice(CRASHING_REQUESTS)
            name = f'{router.name}-{index}-{count}'
            attempt = Attempt(name, route, key, router, body=body)
            self.attempts.append(attempt)
            caller = send(attempt, router, caller)
            if caller is not None and rng.random() < 0.3:
                caller.close()
                caller = None
            gevent.sleep(rng.uniform(0, 2 * _PAUSE_SECONDS))


def send(attempt, router, caller=None):
    """Send an attempt; return its connection if it may be used again.

    Parameters
    ----------
    caller : exchanges.Caller or None
        The connection; a new one by default.
    """
    try:
        with gevent.Timeout(_STUCK_SECONDS):
            if caller is None:
                address = operated.split_address(router.callers)
                caller = exchanges.Caller(address)
            caller.send(_write_request(attempt))
            attempt.answer = caller.receive('POST')
            attempt.answered = time.monotonic()
    except timeouts.Timeout:
        attempt.stuck = True
    except OSError:
        gevent.sleep(_PAUSE_SECONDS)
    if caller is not None and _may_reuse(attempt):
        return caller
    if caller is not None:
        caller.close()
    return None


def _may_reuse(attempt):
    if attempt.answer is None or not attempt.answer.complete:
        return False
    return attempt.answer.headers.get('connection', '') != 'close'


def _write_request(attempt):
    prompt = _PROMPT if attempt.route in STREAMS else {}
    return operated.write_request(
        f'/{attempt.route}/x',
        attempt.name,
        key=attempt.key,
        body=attempt.body,
        **prompt,
    )
