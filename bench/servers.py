"""Simulates ways to estimate what plain servers manage, with no network.

    python -m bench.servers [--pattern NAME] [--seeds 3] [--seconds 40]

One instance sends requests to servers of unlike speed and knee, in virtual
time, with exact counts of what runs there. It selects the server of the lowest
expected time among those below their limits; requests wait while there is
none. Each way to estimate times and limits is a class with the methods of
`capacity.estimates.ServerEstimate`. The figure is the fraction of all requests
that are answered within the objective.
"""

import argparse
import heapq
import itertools
import random
import typing

from amaranthslip.capacity import estimates
from amaranthslip.capacity import slowdowns
from amaranthslip.capacity import usual_times
from bench import ways

WORK_SECONDS = 0.12
# Work of a request, relative to `WORK_SECONDS`: evenly distributed.
WORK_FACTORS = (0.6, 2.0)
OBJECTIVE_SECONDS = 0.3
# Requests wait until this part of the objective has passed; then they are
# refused.
_MAX_WAIT_PART = 0.4
# Offered work relative to what servers manage without slowing down.
_LOAD = 0.7
# Seconds left out at the start, and after a change of roles, in the figures
# `settled` of a result.
_SETTLING_SECONDS = 2.0


class Role:
    """How a server works: relative speed, knee, and slope beyond the knee.

    `slope` is the part of its work time by which a request takes longer for
    each request in progress beyond `knee`.
    """

    __slots__ = ('speed', 'knee', 'slope')

    def __init__(
        self, speed: float = 1.0, knee: int = ways.SLOTS, slope: float = 0.0
    ) -> None:
        self.speed = speed
        self.knee = knee
        self.slope = slope

    def compute_factor(self, running: int) -> float:
        """Return how much longer work takes with so many in progress."""
        return 1.0 + self.slope * max(0, running - self.knee)


class Pattern:
    """Servers' roles by time, and whether machines slow down.

    Parameters
    ----------
    roles : callable
        Maps seconds to the roles of all servers.
    shared : bool
        Whether a machine is slower by 2.5 for 0.15 of the time, which changes
        every 600 ms and is reported with each answer.
    lies : bool
        Whether the first three servers report random slowdowns.
    load : float
        Offered work relative to what servers manage without slowing down.
    """

    __slots__ = ('roles', 'shared', 'lies', 'load')

    def __init__(
        self,
        roles: typing.Callable[[float], list[Role]],
        *,
        shared: bool = False,
        lies: bool = False,
        load: float = _LOAD,
    ) -> None:
        self.roles = roles
        self.shared = shared
        self.lies = lies
        self.load = load


def _list_knees(at: float) -> list[Role]:
    # Two of eight servers slow down from two and three requests on; from
    # second 20 on, two others do.
    slow = [Role(knee=2, slope=0.5), Role(knee=3, slope=0.8)]
    usual = [Role() for _ in range(6)]
    return [*slow, *usual] if at < 20 else [*usual, *slow]


def _list_unlike(at: float) -> list[Role]:
    # Speeds over a decade, knees from an eighth of the slots on.
    turn = 0 if at < 20 else 3
    roles = [
        Role(speed=0.4 * 10 ** (number / 7), knee=knee, slope=1.0 / knee)
        for number, knee in enumerate((8, 4, 8, 1, 8, 2, 8, 6))
    ]
    return roles[turn:] + roles[:turn]


PATTERNS = {
    'equal': Pattern(lambda at: [Role() for _ in range(8)]),
    'equal_full': Pattern(lambda at: [Role() for _ in range(8)], load=0.95),
    'knees': Pattern(_list_knees),
    'unlike': Pattern(_list_unlike),
    'shared': Pattern(lambda at: [Role() for _ in range(8)], shared=True),
    'shared_knees': Pattern(_list_knees, shared=True, load=0.6),
    'lies': Pattern(_list_knees, lies=True),
}


class _Server:
    """A simulated server; requests share what it manages."""

    __slots__ = ('estimate', 'running', 'busy_factor')

    def __init__(self, estimate: typing.Any) -> None:
        self.estimate = estimate
        self.running = 0
        self.busy_factor = 1.0


class Outcome:
    """How one request ended, and when it arrived."""

    __slots__ = ('arrived', 'in_time')

    def __init__(self, arrived: float, in_time: bool) -> None:
        self.arrived = arrived
        self.in_time = in_time


class Result:
    """The outcomes of one simulation."""

    __slots__ = ('outcomes',)

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []

    def compute_in_time(self, start: float, end: float) -> float:
        """Return the part in time of the requests of a period."""
        chosen = [
            each.in_time
            for each in self.outcomes
            if start <= each.arrived < end
        ]
        return sum(chosen) / max(1, len(chosen))


class Simulation:
    """Runs one pattern with one way, in virtual time.

    A request's duration is set when it begins, from what runs then.
    """

    def __init__(self, pattern: Pattern, way: str, *, seed: int = 1) -> None:
        self.result = Result()
        self._pattern = pattern
        # Each way gets the same requests and machines.
        self._arrivals = random.Random(seed)
        self._machines = random.Random(seed)
        self._random = random.Random(seed)
        shared = slowdowns.Confirmations()
        self.servers = [
            _Server(ways.WAYS[way](shared))
            for _ in range(len(pattern.roles(0.0)))
        ]
        self._usual = usual_times.UsualTimes()
        self._now = 0.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._numbers = itertools.count()
        # Arrival and work of the requests that wait.
        self._waiting: list[tuple[float, float]] = []
        work = WORK_SECONDS * sum(WORK_FACTORS) / 2
        self._rate = pattern.load * sum(
            min(each.knee, ways.SLOTS) * each.speed / work
            for each in pattern.roles(0.0)
        )
        if pattern.shared:
            # Machines are slower by 2.5 for 0.15 of the time.
            self._rate /= 0.85 + 0.15 * 2.5

    def run(self, seconds: float) -> Result:
        """Generate load for a time and return the result."""
        self._call_later(0.0, lambda: self._arrive(seconds))
        if self._pattern.shared:
            self._call_later(0.0, lambda: self._change_machines(seconds))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _call_later(self, seconds: float, action: typing.Callable) -> None:
        entry = (self._now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def _change_machines(self, seconds: float) -> None:
        for server in self.servers:
            slow = self._machines.random() < 0.15
            server.busy_factor = 2.5 if slow else 1.0
        if self._now < seconds:
            self._call_later(0.6, lambda: self._change_machines(seconds))

    def _arrive(self, seconds: float) -> None:
        work = WORK_SECONDS * self._arrivals.uniform(*WORK_FACTORS)
        self._waiting.append((self._now, work))
        self._call_later(
            _MAX_WAIT_PART * OBJECTIVE_SECONDS, self._refuse_waiting
        )
        self._place_waiting()
        wait = self._arrivals.expovariate(self._rate)
        if self._now + wait < seconds:
            self._call_later(wait, lambda: self._arrive(seconds))

    def _refuse_waiting(self) -> None:
        oldest = self._now - _MAX_WAIT_PART * OBJECTIVE_SECONDS + 1e-9
        while self._waiting and self._waiting[0][0] <= oldest:
            arrived, _ = self._waiting.pop(0)
            self.result.outcomes.append(Outcome(arrived, False))

    def _place_waiting(self) -> None:
        while self._waiting:
            free = [
                each
                for each in self.servers
                if each.running < min(ways.SLOTS, each.estimate.read_limit())
            ]
            if not free:
                return
            arrived, work = self._waiting.pop(0)
            usual = self._usual.read('s', 'k') or WORK_SECONDS
            server = min(
                free,
                key=lambda each: (
                    each.estimate.expect_seconds(
                        each.running, usual, self._now
                    )
                    + 1e-4 * self._random.random()
                ),
            )
            self._begin(server, arrived, work)

    def _begin(self, server: _Server, arrived: float, work: float) -> None:
        number = self.servers.index(server)
        role = self._pattern.roles(self._now)[number]
        server.running += 1
        running, began = server.running, self._now
        seconds = work / role.speed * role.compute_factor(running)
        seconds *= server.busy_factor

        def end() -> None:
            server.running -= 1
            slowdown = server.busy_factor / role.speed
            if self._pattern.lies and number < 3:
                slowdown = self._random.choice((1.0, 4.0))
            load = estimates.ReportedLoad(
                running=server.running,
                waiting=0,
                slots=ways.SLOTS,
                slowdown=slowdown,
            )
            took = self._now - began
            server.estimate.note_load(load, self._now)
            server.estimate.note_end(
                running=running,
                seconds=took,
                usual_seconds=self._usual.read('s', 'k'),
                now=self._now,
            )
            self._usual.record('s', 'k', took)
            in_time = self._now - arrived <= OBJECTIVE_SECONDS
            self.result.outcomes.append(Outcome(arrived, in_time))
            self._place_waiting()

        self._call_later(seconds, end)


def _describe(pattern: str, way: str, seeds: int, seconds: float) -> str:
    results = [
        Simulation(PATTERNS[pattern], way, seed=seed).run(seconds)
        for seed in range(1, seeds + 1)
    ]
    half = seconds / 2
    periods = (
        (0.0, half),
        (half, seconds),
        (half, half + _SETTLING_SECONDS),
        (half + _SETTLING_SECONDS, seconds),
    )
    cells = []
    for start, end in periods:
        parts = [each.compute_in_time(start, end) for each in results]
        cells.append(', '.join(f'{part:.3f}' for part in parts))
    return f'| {pattern} | {way} | {" | ".join(cells)} |'


def main() -> None:
    """Run patterns and ways and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--pattern', choices=list(PATTERNS))
    parser.add_argument('--way', choices=list(ways.WAYS))
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=40.0)
    options = parser.parse_args()
    print(
        '| pattern | way | before the change | after it |'
        ' first 2 s after it | later |'
    )
    print('| --- | --- | --- | --- | --- | --- |')
    for pattern in [options.pattern] if options.pattern else PATTERNS:
        for way in [options.way] if options.way else ways.WAYS:
            print(_describe(pattern, way, options.seeds, options.seconds))


if __name__ == '__main__':
    main()
