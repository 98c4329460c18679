"""Simulates plain services under load, in virtual time and without a network.

    python -m bench.plain_load [--seconds 10] [--seeds 3] [--deployment first]

Many instances run the real placement and keepers code and send requests to a
few simulated servers, which run six requests at once and reject those beyond
a short queue. Two thirds of the requests arrive at three instances. Callers
retry once, at the Retry-After that they got. Way `local` is that of services
that don't adapt, `keepers` that of services that do. Each request has a
greenlet, which waits in virtual time.
"""

import argparse
import collections
import functools
import heapq
import itertools
import random
import typing

import gevent
from gevent import event

from amaranthslip.capacity import estimates
from amaranthslip.configuration import holder as holder_module
from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip.shares import places
from bench import patterns
from bench import plain_deployments

WAYS = {'local': 'never', 'keepers': 'always'}
OFFERED = (0.5, 0.8, 1.0, 1.2, 1.5)
# Work differs from request to request by this fraction of its mean.
_SPREAD = 0.5
# Seconds after which it is drawn anew whether a machine is busy.
_PHASE_SECONDS = 0.6
# Bursts: the offered load is so many times as high for these seconds of each
# period, and lower for the rest, with the same mean.
_BURST_PERIOD = 2.0
_BURST_SECONDS = 0.5
_BURST_FACTOR = 2.8
_PAUSE_FACTOR = 0.4
# Fraction of the requests that arrive at the first instances.
_CROWDED_FRACTION = 2 / 3
_CROWDED_INSTANCES = 3
# Seconds that a message between instances takes: mostly between failure
# domains.
_MESSAGE_SECONDS = 0.0015
# Turns in which the greenlets that an event wakes up run.
_GREENLET_YIELDS = 3
# Seconds from a rejection to the next try, and from the loss of an instance
# until the others know of it.
_RETRY_SECONDS = 0.002
_DETECTION_SECONDS = 1.5


class Request:
    """One attempt at a request, and the place that it has."""

    __slots__ = ('placement_request', 'instance', 'retries', 'place', 'ended')

    def __init__(
        self,
        placement_request: places.PlacementRequest,
        instance: patterns.Instance,
        retries: int,
    ) -> None:
        self.placement_request = placement_request
        self.instance = instance
        self.retries = retries
        self.place: places.Place | None = None
        self.ended = False


class Server:
    """A simulated server with slots and a queue."""

    __slots__ = ('name', 'speed', 'running', 'waiting')

    def __init__(self, name: str, speed: float) -> None:
        self.name = name
        self.speed = speed
        self.running = 0
        self.waiting: collections.deque[Request] = collections.deque()


class Simulation:
    """Runs one load against one way in virtual time.

    Parameters
    ----------
    offered : float
        Requests, as a multiple of the capacity of all servers.
    queue : int
        Requests that a server accepts beyond its slots.
    lost_at : float or None
        When the instance that keeps the first server is lost.
    bursts : bool
        Whether requests come in bursts.
    """

    def __init__(
        self,
        deployment: plain_deployments.Deployment,
        way: str,
        offered: float,
        *,
        seed: int = 1,
        queue: int = plain_deployments.SLOTS,
        lost_at: float | None = None,
        bursts: bool = False,
    ) -> None:
        self.adaptive = WAYS[way]
        self.counts: collections.Counter[str] = collections.Counter()
        self.max_running = 0
        self._deployment = deployment
        self._rate = offered * deployment.capacity
        self._seed = seed
        self._queue = queue
        self._bursts = bursts
        # Apart, so that all ways get the same arrivals and busy machines.
        self._arrivals = random.Random(seed)
        self._random = random.Random(seed)
        self._now = 100.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._ids = itertools.count()
        self.names = [f'i-{each}' for each in range(deployment.instances)]
        self.servers = [
            plain_deployments.build_server(number)
            for number in range(deployment.servers)
        ]
        self.holder = holder_module.Holder()
        self.holder.apply(plain_deployments.build_document())
        self._route = plain_deployments.build_route(deployment)
        self.instances = {
            name: patterns.Instance(self, name) for name in self.names
        }
        for instance in self.instances.values():
            instance.keepers.wait_for = self._wait_for
        self._simulated = {
            each.name: Server(each.name, speed)
            for each, speed in zip(self.servers, deployment.speeds)
        }
        if lost_at is not None:
            self.call_later(lost_at, self._lose_keeper)

    def count(self, name: str, label: str, amount: float = 1) -> None:
        """Count, as `metrics.Metrics` does."""
        self.counts[f'{name} {label}'] += int(amount)

    def read_clock(self) -> float:
        """Return the virtual time, in seconds."""
        return self._now

    def deliver(self, sender: str, name: str, message: object) -> None:
        """Deliver a message to an instance, unless it is lost."""
        self.counts[type(message).__name__] += 1
        self.call_later(
            _MESSAGE_SECONDS,
            functools.partial(self._receive, sender, name, message),
        )

    def _receive(self, sender: str, name: str, message: object) -> None:
        instance = self.instances.get(name)
        if instance is not None:
            instance.keepers.receive(sender, message)

    def _wait_for(
        self, result: event.AsyncResult, seconds: float
    ) -> typing.Any:
        """Return a result's value; None if it isn't set in time."""

        def expire() -> None:
            if not result.ready():
                result.set(None)

        self.call_later(seconds, expire)
        return result.get()

    def call_later(
        self, seconds: float, action: typing.Callable[[], object]
    ) -> None:
        """Schedule a call after a delay in virtual time."""
        entry = (self._now + seconds, next(self._ids), action)
        heapq.heappush(self._events, entry)

    def build_request(self) -> places.PlacementRequest:
        """Return a request that arrives now."""
        return places.PlacementRequest(
            service=plain_deployments.SERVICE,
            client_account='a',
            route=self._route,
            prompt=None,
            arrived=self._now,
            deadline=self._now + self._deployment.timeout,
        )

    def step(self) -> None:
        """Process the next event, and run the greenlets that it wakes up."""
        self._now, _, action = heapq.heappop(self._events)
        action()
        for _ in range(_GREENLET_YIELDS):
            gevent.sleep(0)

    def read_next_time(self) -> float:
        """Return the virtual time of the next event, in seconds."""
        return self._events[0][0] if self._events else float('inf')

    def drain(self) -> None:
        """Process all events."""
        while self._events:
            self.step()

    def wait_until_done(self, greenlet: gevent.Greenlet) -> None:
        """Process events until a greenlet has ended."""
        gevent.sleep(0)
        while not greenlet.dead:
            self.step()

    def advance(self, seconds: float) -> None:
        """Let virtual time pass without processing events."""
        self._now += seconds

    def run(self, seconds: float) -> collections.Counter[str]:
        """Generate load for a time, process all events, return the counts."""
        end = self._now + seconds
        self._schedule_arrival(end)
        cleaned_at = self._now
        while self._events:
            self.step()
            if self._now - cleaned_at > 2.0:
                cleaned_at = self._now
                for instance in self.instances.values():
                    instance.keepers.drop_expired()
        return self.counts

    def _schedule_arrival(self, end: float) -> None:
        rate = self._rate
        if self._bursts:
            is_burst = self._now % _BURST_PERIOD < _BURST_SECONDS
            rate *= _BURST_FACTOR if is_burst else _PAUSE_FACTOR
        wait = self._arrivals.expovariate(rate)
        if self._now + wait > end:
            return

        def arrive() -> None:
            self.counts['arrivals'] += 1
            self._begin(retries=1)
            self._schedule_arrival(end)

        self.call_later(wait, arrive)

    def _begin(self, retries: int) -> None:
        self.counts['attempts'] += 1
        names = self.names
        if self._random.random() < _CROWDED_FRACTION:
            names = names[:_CROWDED_INSTANCES]
        instance = self.instances[self._random.choice(names)]
        placement_request = self.build_request()
        request = Request(placement_request, instance, retries)
        self.call_later(
            self._deployment.timeout, functools.partial(self._expire, request)
        )
        gevent.spawn(self._try, request)

    def _try(self, request: Request) -> None:
        if request.ended:
            return
        keepers = request.instance.keepers
        try:
            place = keepers.reserve(request.placement_request)
        except errors.RequestRefused as refusal:
            if request.ended:
                return
            request.ended = True
            self.counts['refused'] += 1
            if request.retries:
                self.call_later(
                    refusal.retry_after,
                    functools.partial(self._begin, request.retries - 1),
                )
            else:
                self.counts['unserved'] += 1
            return
        if request.ended:
            place.cancel()
            return
        server = self._simulated[place.server.name]
        if (
            server.running + len(server.waiting)
            >= plain_deployments.SLOTS + self._queue
        ):
            self.counts['rejected'] += 1
            request.placement_request.excluded_servers.add(place.server.name)
            place.reject()
            self.call_later(
                _RETRY_SECONDS,
                functools.partial(gevent.spawn, self._try, request),
            )
            return
        request.place = place
        server.waiting.append(request)
        self._start_waiting(server)

    def _start_waiting(self, server: Server) -> None:
        while server.waiting and server.running < plain_deployments.SLOTS:
            request = server.waiting.popleft()
            server.running += 1
            self.max_running = max(self.max_running, server.running)
            work = self._deployment.work_seconds * self._random.uniform(
                1 - _SPREAD, 1 + _SPREAD
            )
            work *= server.speed * self._read_slowdown(server)
            self.call_later(
                work, functools.partial(self._finish, server, request)
            )

    def _read_slowdown(self, server: Server) -> float:
        # The same phases for all ways.
        phase = int(self._now / _PHASE_SECONDS)
        drawn = random.Random(f'{self._seed} {server.name} {phase}').random()
        is_busy = drawn < self._deployment.busy_fraction
        return plain_deployments.BUSY_FACTOR if is_busy else 1.0

    def _finish(self, server: Server, request: Request) -> None:
        server.running -= 1
        self._start_waiting(server)
        if request.ended:
            return
        request.ended = True
        request.place.note_load(self._report_load(server))
        request.place.start()
        request.place.succeed()
        took = self._now - request.placement_request.arrived
        in_time = took <= self._deployment.objective
        self.counts['in_time' if in_time else 'late'] += 1

    def _report_load(self, server: Server) -> estimates.ReportedLoad:
        slowdown = None
        if self._deployment.busy_fraction:
            slowdown = server.speed * self._read_slowdown(server)
        return estimates.ReportedLoad(
            running=server.running,
            waiting=len(server.waiting),
            slots=plain_deployments.SLOTS,
            slowdown=slowdown,
        )

    def _expire(self, request: Request) -> None:
        if request.ended:
            return
        request.ended = True
        self.counts['late'] += 1
        if request.place is not None:
            server = self._simulated[request.place.server.name]
            if request in server.waiting:
                server.waiting.remove(request)
            request.place.fail()

    def _lose_keeper(self) -> None:
        """Stop the keeper of the first server; the others learn of it late."""
        keepers = self.instances[self.names[-1]].keepers
        lost = keepers.find_keeper(self.servers[0].name)
        self.names.remove(lost)
        self.instances.pop(lost).outbox.closed = True
        self.call_later(
            _DETECTION_SECONDS, functools.partial(self._note_lost, lost)
        )

    def _note_lost(self, lost: str) -> None:
        member = patterns.build_member(lost)
        member.state = members.MemberState.DEAD
        for instance in self.instances.values():
            instance.roster.put(member)


def main() -> None:
    """Run each load against each way and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--queue', type=int, default=plain_deployments.SLOTS)
    parser.add_argument('--lost-at', type=float)
    parser.add_argument('--bursts', action='store_true')
    parser.add_argument(
        '--deployment', choices=list(plain_deployments.DEPLOYMENTS)
    )
    options = parser.parse_args()
    names = (
        [options.deployment]
        if options.deployment
        else list(plain_deployments.DEPLOYMENTS)
    )
    print(
        '| deployment | offered | way | requests | in time | late | unserved |'
        ' rejected by servers | refused early |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
    for name, offered, way in itertools.product(names, OFFERED, WAYS):
        counts: collections.Counter[str] = collections.Counter()
        for seed in range(1, options.seeds + 1):
            simulation = Simulation(
                plain_deployments.DEPLOYMENTS[name],
                way,
                offered,
                seed=seed,
                queue=options.queue,
                lost_at=options.lost_at,
                bursts=options.bursts,
            )
            counts += simulation.run(options.seconds)
        figures = [
            counts[each]
            for each in (
                'arrivals',
                'in_time',
                'late',
                'unserved',
                'rejected',
                'refused',
            )
        ]
        print(
            f'| {name} | {offered:g} | {way} | '
            + ' | '.join(f'{each:,}' for each in figures)
            + ' |',
            flush=True,
        )


if __name__ == '__main__':
    main()
