"""A fleet in process whose engines crash under one part of a prompt."""

import collections
import itertools
import random
import time

import gevent

from tests.support import exchanges
from tests.support import operated

DEADLY_PART = 'dead01'
# Seconds after which the users' rule counts requests with the part.
STABLE_SECONDS = 3.0
# Crashes after which the rule's time begins.
CRASHES_BEFORE = 5
_RUN_SECONDS = 0.1
_RESTART_SECONDS = 1.5
_BOUNDS = {'revoke_milliseconds': 60000, 'apply_milliseconds': 30000}


def write_prefix(parts):
    """Return the header value for parts of equal length."""
    return ','.join(f'{each}:100' for each in parts)


def read_parts(request):
    """Return the ids of a request's parts at a backend server."""
    text = request.headers['amaranthslip-prompt-prefix']
    return [each.partition(':')[0] for each in text.split(',')]


class Outcome:
    """One request of a client, and what became of it."""

    __slots__ = ('sent_at', 'parts', 'status', 'complete')

    def __init__(self, parts):
        self.sent_at = time.monotonic()
        self.parts = parts
        self.status = 0
        self.complete = False


class Fleet:
    """Instances in front of engines that some part of a prompt crashes.

    An engine begins its answer, and ends 0.1 s later if the request has the
    deadly part before its last one. It is back some time after that.

    Parameters
    ----------
    instances, engines : int
        Numbers of instances and of engines.
    unframed : bool
        Whether answers have neither a length nor chunks.
    """

    def __init__(self, *, instances, engines, seed=1, unframed=False):
        self.sides = []
        # (time, parts) of each request that reached an engine, and the time
        # of each crash that the deadly part caused.
        self.arrivals = []
        self.crashes = []
        self.outcomes = []
        self.unframed = unframed
        self.random = random.Random(seed)
        self._births = itertools.count(1)
        self._numbers = itertools.count(1)
        self._tasks = []
        for number in range(instances):
            self.sides.append(self._build_side(f'e{number}'))
        first = self.sides[0]
        first.configure()
        for number in range(engines):
            self._start_engine(f'llm-{number}')
        for side in self.sides:
            side.start()
        for side in self.sides:
            side.wait_for_members(instances)

    def _build_side(self, name):
        return operated.InstanceFixture(
            platform_of=self.sides[0] if self.sides else None,
            bounds=_BOUNDS,
            instance={'name': name},
        )

    def close(self):
        """End all tasks, instances and engines."""
        gevent.killall(self._tasks)
        for side in reversed(self.sides):
            side.close()

    def replace_side(self, number):
        """Replace an instance by a new one, as after a kill."""
        old = self.sides[number]
        new = self._build_side(f'n{next(self._numbers)}')
        new.start()
        self.sides[number] = new
        # The first instance owns the store and the engines.
        if number:
            old.close()

    def _start_engine(self, name):
        backend = operated.Backend(name, service='llm')
        backend.born = next(self._births)
        backend.default_plan = self._serve
        self.sides[0].register(backend)

    def _restart_engine(self, name):
        gevent.sleep(_RESTART_SECONDS)
        self._start_engine(name)

    def end_engine(self, name):
        """Crash one engine for a reason of its own."""
        backend = self.sides[0].backends[name]
        if not backend.crashed:
            backend.crash()
            self._tasks.append(gevent.spawn(self._restart_engine, name))

    def list_engines(self):
        """Return the names of the engines."""
        return sorted(self.sides[0].backends)

    def _serve(self, backend, sock, request):
        parts = read_parts(request)
        self.arrivals.append((time.monotonic(), parts))
        if self.unframed:
            sock.sendall(operated.write_unframed_head(backend, request))
            sock.sendall(operated.write_events(1, 1))
        else:
            sock.sendall(operated.write_stream_head(backend, request))
            sock.sendall(exchanges.write_chunk(operated.write_events(1, 1)))
        gevent.sleep(_RUN_SECONDS)
        if DEADLY_PART in parts[:-1]:
            self.crashes.append(time.monotonic())
            self.end_engine(backend.name)
            return False
        if self.unframed:
            sock.sendall(operated.write_events(2, 3))
            return False
        sock.sendall(exchanges.write_chunk(operated.write_events(2, 3)))
        sock.sendall(b'0\r\n\r\n')
        return True

    def send(self, parts):
        """Send one request in the background, to an instance at random."""
        outcome = Outcome(parts)
        self.outcomes.append(outcome)
        side = self.random.choice(self.sides)
        number = next(self._numbers)

        def run():
            try:
                answer = side.send_request(
                    '/chat/x',
                    attempt=f'a-{number}',
                    body=b'%d' % number,
                    Amaranthslip_Model='m',
                    Amaranthslip_Token_Usage='300,20',
                    Amaranthslip_Prompt_Prefix=write_prefix(parts),
                )
            except OSError:
                return
            outcome.status, outcome.complete = answer.status, answer.complete

        self._tasks.append(gevent.spawn(run))

    def send_for(self, seconds, interval_seconds, build_parts):
        """Send requests at equal intervals in the background."""

        def run():
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                self.send(build_parts(next(self._numbers)))
                gevent.sleep(interval_seconds)

        task = gevent.spawn(run)
        self._tasks.append(task)
        return task

    @property
    def bound_from(self):
        """Time from which the rule counts requests with the part."""
        if len(self.crashes) < CRASHES_BEFORE:
            return float('inf')
        return self.crashes[CRASHES_BEFORE - 1] + STABLE_SECONDS

    def count_late_arrivals(self):
        """Return how many deadly requests reached engines too late."""
        return sum(
            at > self.bound_from and DEADLY_PART in parts[:-1]
            for at, parts in self.arrivals
        )

    def list_sound(self, since):
        """Return the outcomes of sound requests sent from a time on."""
        return [
            each
            for each in self.outcomes
            if since <= each.sent_at and DEADLY_PART not in each.parts[:-1]
        ]


def compute_served_share(outcomes):
    """Return the share of requests that got a whole answer."""
    counts = collections.Counter(
        each.status == 200 and each.complete for each in outcomes
    )
    return counts[True] / max(1, counts.total())
