"""Random histories of a fleet whose instances have limited processor time.

    python -m bench.hot_instances --seeds 20 [--keep]

The instances of `bench.patterns`, in virtual time, where each attempt takes
time of its instance: to refuse its connection unread, to refuse it after its
head, to pass it to another instance, or to decide on it and run it. Attempts
wait unread until their instance has time, and their callers leave after a
while. A load balancer sends all callers of some accounts to one instance, and
to the next one while that is not ready. Accounts flood at drawn times, and
engines are lost. With `--keep`, instances pass no requests on. Prints for each
seed which accounts were short of their part, and how attempts ended.
"""

import argparse
import collections
import functools
import itertools
import math
import random

from amaranthslip.commands import fairness
from amaranthslip.entry import overflow
from amaranthslip.entry import pressure
from amaranthslip.members import usage_messages
from amaranthslip import settings as settings_module
from amaranthslip.shares import places
from bench import patterns

SECONDS = 16.0
_STEP_SECONDS = 0.1
# Processor time of an instance in seconds, of half a core: for an attempt that
# is run, one that is refused after the decision, after its head, or unread,
# one that is passed, and one whose caller has left.
_RUN_SECONDS = 0.008
_DECIDE_SECONDS = 0.003
_HEAD_SECONDS = 0.0015
_UNREAD_SECONDS = 0.0005
_PASS_SECONDS = 0.003
_LEFT_SECONDS = 0.0005
# Lag in seconds above which attempts are refused after their head, and the
# Retry-After of such a refusal.
_BEHIND_SECONDS = 0.08
_BUSY_RETRY_SECONDS = (0.02, 0.1)
# Callers leave after this time without being read, and the part of their time
# that they wait at most.
_PATIENCE_SECONDS = 1.0
_PATIENCE_FRACTION = 1 / 3
# Seconds for which an instance is not ready before callers go elsewhere, and
# between its reports of usage.
_MOVE_SECONDS = 2.0
_REPORT_SECONDS = 0.5
_USAGE_TIME_CONSTANT_SECONDS = 0.4
_MAX_LISTED = 8
_SETTINGS = {
    'instance': {'name': 'm0', 'failure_domain': 'a', 'region': 'r'},
    'addresses': {
        'callers': '127.0.0.1:0',
        'operators': '127.0.0.1:0',
        'peers': '127.0.0.1:0',
    },
    'platform': {'key_value': 'http://127.0.0.1:1'},
}


class History:
    """What is drawn for one history.

    Attributes
    ----------
    floods : list of (int, float, float, float)
        Number of an account, when it floods from and to, and its weight.
    lone : frozenset of int
        Accounts whose callers all come to one instance at a time.
    lost : list of (int, float, float)
        Number of an engine, and when it is lost from and to.
    """

    def __init__(self, seed, *, scale):
        rng = random.Random(seed)
        self.scale = scale
        self.floods = []
        for number in rng.sample(range(6), rng.choice([1, 2, 3])):
            begin = rng.uniform(1.0, 8.0)
            end = begin + rng.uniform(5.0, 14.0)
            self.floods.append((number, begin, end, rng.uniform(8.0, 30.0)))
        flooding = [each[0] for each in self.floods]
        self.lone = frozenset(each for each in flooding if rng.random() < 0.8)
        self.lost = []
        if rng.random() < 0.5:
            count = patterns.ENGINES * scale
            begin = rng.uniform(4.0, 10.0)
            for number in rng.sample(range(count), max(1, count // 6)):
                self.lost.append((number, begin, begin + 2.5))
        self.load = rng.uniform(1.0, 1.6)

    def build_pattern(self):
        """Return the pattern of the load."""
        return patterns.Pattern(
            'hot_instances',
            rate_factor=lambda kind, at: self._scale_rate(at),
            account_weight=self._weigh,
            size_spread=1.1,
            token_rate_factor=4.0,
            engine_lost=self._is_lost,
            reports_demand=True,
            retries=2,
        )

    def _weigh(self, number, at):
        weight = 1.0 / (1 + number) ** 0.6
        for flooding, begin, end, factor in self.floods:
            if flooding == number and begin <= at < end:
                weight += factor
        return weight

    def _scale_rate(self, at):
        # The accounts that don't flood request the same all the time.
        usual = sum(1.0 / (1 + number) ** 0.6 for number in range(16))
        total = sum(self._weigh(number, at) for number in range(16))
        return self.load * min(3.0, total / usual)

    def _is_lost(self, number, at):
        return any(
            number == lost and begin <= at < end
            for lost, begin, end in self.lost
        )


class Waiting:
    """One attempt that waits to be read by an instance."""

    __slots__ = (
        'kind',
        'account',
        'prompt',
        'first_arrival',
        'retries',
        'arrived',
        'passed_by',
    )

    def __init__(self, kind, account, prompt, first_arrival, retries, arrived):
        self.kind = kind
        self.account = account
        self.prompt = prompt
        self.first_arrival = first_arrival
        self.retries = retries
        self.arrived = arrived
        # The instance that passed it on, and the peer as that one knows it.
        self.passed_by = None

    def has_left(self, now):
        """Return whether its caller waits no longer to be read."""
        left = self.first_arrival + self.kind.timeout - self.arrived
        patience = min(_PATIENCE_SECONDS, _PATIENCE_FRACTION * left)
        return self.passed_by is None and now - self.arrived > patience


class Processor:
    """The processor time of one instance, and what waits for it."""

    def __init__(self, simulation, name, *, passes):
        self.name = name
        self.usage = 0.0
        self.queue = collections.deque()
        self._simulation = simulation
        self._passes = passes
        self._busy_until = 0.0
        self._worked = 0.0
        clock = simulation.read_clock
        self.lag = pressure.LagMonitor(
            settings_module.check_settings(_SETTINGS), clock=clock
        )
        self.not_ready_since = math.inf
        self.overflow = overflow.Overflow(
            lambda: self.usage if passes else 0.0,
            **self._list_limits(passes),
            clock=clock,
            random=random.Random(name),
        )

    def _list_limits(self, passes):
        if not passes:
            return {}
        return {
            'read_lag': self.read_lag,
            'read_max_lag': lambda: _BEHIND_SECONDS,
        }

    def put(self, waiting):
        """Let an attempt wait to be read."""
        self.queue.append(waiting)
        if len(self.queue) == 1:
            self._schedule()

    def _schedule(self):
        now = self._simulation.read_clock()
        wait = max(0.0, self._busy_until - now)
        self._simulation.call_later(wait, self._handle_next)

    def _handle_next(self):
        now = self._simulation.read_clock()
        waiting = self.queue[0]
        seconds = self._handle(waiting, now)
        self.queue.popleft()
        self._busy_until = now + seconds
        self._worked += seconds
        if self.queue:
            self._schedule()

    def read_lag(self):
        """Return for how long the oldest attempt has waited, in seconds."""
        if not self.queue:
            return 0.0
        return self._simulation.read_clock() - self.queue[0].arrived

    def _handle(self, waiting, now):
        """Handle one attempt; return the processor time that it takes."""
        simulation = self._simulation
        if waiting.has_left(now):
            simulation.end_unread(waiting, self.name)
            return _LEFT_SECONDS
        if waiting.passed_by is None:
            if self.overflow.refuses_connection(waiting.account):
                simulation.refuse_busy(waiting, self.name, 'unread')
                return _UNREAD_SECONDS
            if self._is_behind(waiting):
                simulation.refuse_busy(waiting, self.name, 'busy')
                return _HEAD_SECONDS
            if self.overflow.wants_to_pass() and self._pass(waiting):
                return _PASS_SECONDS
        served = simulation.decide(waiting, self.name)
        return _RUN_SECONDS if served else _DECIDE_SECONDS

    def _is_behind(self, waiting):
        if self._passes:
            return self.overflow.is_behind(waiting.account)
        return self.read_lag() > _BEHIND_SECONDS

    def _pass(self, waiting):
        peer = self.overflow.take_peer()
        if peer is None:
            return False
        other = self._simulation.processors[peer.name]
        if (
            not other.overflow.takes_requests()
            or other.read_lag() > _BEHIND_SECONDS
        ):
            self.overflow.note_end(peer)
            self.overflow.pause(peer)
            return False
        waiting.passed_by = (self, peer)
        other.put(waiting)
        return True

    def finish_step(self):
        """Turn the work of a step into usage and readiness."""
        busy = min(1.0, self._worked / _STEP_SECONDS)
        self._worked = max(0.0, self._worked - _STEP_SECONDS)
        weight = 1 - math.exp(-_STEP_SECONDS / _USAGE_TIME_CONSTANT_SECONDS)
        self.usage += weight * (busy - self.usage)
        self.overflow.adjust(_STEP_SECONDS)
        # The lag is sampled twice in each step.
        now = self._simulation.read_clock()
        for _ in range(2):
            self.lag._due_at = now - self.read_lag()
            self.lag.sample()
        if not self.lag.overloaded:
            self.not_ready_since = math.inf
        elif self.not_ready_since == math.inf:
            self.not_ready_since = now

    @property
    def gets_callers(self):
        """Whether the load balancer sends callers here."""
        now = self._simulation.read_clock()
        return now - self.not_ready_since < _MOVE_SECONDS


class Simulation(patterns.Simulation):
    """One history."""

    def __init__(self, seed, *, scale=2, passes=True):
        self.history = History(seed, scale=scale)
        self.ends = collections.Counter()
        super().__init__(
            self.history.build_pattern(), 'placement', seed=seed, scale=scale
        )
        self.processors = {
            name: Processor(self, name, passes=passes) for name in self.names
        }
        self._steps = itertools.count()
        # By account, the instance that its callers come to.
        self._targets = {
            number: self._random.randrange(len(self.names))
            for number in self.history.lone
        }

    def play(self, seconds=SECONDS):
        """Play the history; return it."""
        self._schedule_step(seconds)
        self.run(seconds)
        return self

    def _schedule_step(self, seconds):
        def step():
            for each in self.processors.values():
                each.finish_step()
            if next(self._steps) % round(_REPORT_SECONDS / _STEP_SECONDS) == 0:
                self._report_usage()
            if self.read_clock() < seconds:
                self._schedule_step(seconds)

        self.call_later(_STEP_SECONDS, step)

    def _report_usage(self):
        idle = [
            usage_messages.PeerUsage(
                name=each.name, callers='127.0.0.1:1', usage=each.usage
            )
            for each in self.processors.values()
            if each.usage <= overflow.MAX_TAKING_USAGE
            and not each.lag.overloaded
        ]
        for each in self.processors.values():
            others = [peer for peer in idle if peer.name != each.name]
            count = min(_MAX_LISTED, len(others))
            each.overflow.set_peers(self._random.sample(others, count))

    def _send_request(self, kind, account, prompt, first_arrival, retries):
        waiting = Waiting(
            kind, account, prompt, first_arrival, retries, self.read_clock()
        )
        self.processors[self._choose_target(account)].put(waiting)

    def _choose_target(self, account):
        number = int(account.rpartition('-')[2])
        if number not in self._targets:
            ready = [
                name
                for name in self.names
                if self.processors[name].gets_callers
            ]
            return self._random.choice(ready or self.names)
        for _ in self.names:
            name = self.names[self._targets[number] % len(self.names)]
            if self.processors[name].gets_callers:
                break
            self._targets[number] += 1
        return name

    def _build_placement_request(self, waiting):
        request = places.PlacementRequest(
            service=patterns.SERVICE,
            client_account=waiting.account,
            route=patterns.build_route(waiting.kind),
            prompt=waiting.prompt,
            arrived=waiting.arrived,
            deadline=waiting.first_arrival + waiting.kind.timeout,
        )
        request.fingerprint = waiting.prompt.last_id.encode()
        return request

    def _end_attempt(self, waiting, instance, end):
        self.ends[end] += 1
        self.result.attempts.append(
            patterns.Attempt(
                instance,
                self._build_placement_request(waiting),
                served=False,
                in_time=False,
            )
        )

    def _return_later(self, waiting, wait):
        deadline = waiting.first_arrival + waiting.kind.timeout
        if waiting.retries and self.read_clock() + wait < deadline:
            self.call_later(
                wait,
                functools.partial(
                    self._send_request,
                    waiting.kind,
                    waiting.account,
                    waiting.prompt,
                    waiting.first_arrival,
                    waiting.retries - 1,
                ),
            )

    def end_unread(self, waiting, instance):
        """End an attempt whose caller has left."""
        self._end_attempt(waiting, instance, 'left unread')
        self._return_later(waiting, 0.0)

    def refuse_busy(self, waiting, instance, end):
        """End an attempt for which its instance has no time."""
        self._end_attempt(waiting, instance, end)
        wait = self._random.uniform(*_BUSY_RETRY_SECONDS)
        self._return_later(waiting, wait)

    def decide(self, waiting, name):
        """Place a request, or refuse it; return whether it is run."""
        if waiting.passed_by is not None:
            by, peer = waiting.passed_by
            by.overflow.note_end(peer)
            self.ends['passed'] += 1
        before = self.result.granted_tokens[waiting.account]
        self._entry = name
        super()._send_request(
            waiting.kind,
            waiting.account,
            waiting.prompt,
            waiting.first_arrival,
            waiting.retries,
        )
        served = self.result.granted_tokens[waiting.account] > before
        self.ends['run' if served else 'refused'] += 1
        return served

    def _choose_instance(self, account):
        return self.instances[self._entry]

    def list_short(self):
        """Return the accounts that were short of their part in 6 seconds."""
        return [
            each
            for each in fairness.find_short_accounts(self.result.attempts)
            if each.start + fairness.WINDOW_SECONDS <= SECONDS
        ]


def main():
    """Print a line for each seed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--scale', type=int, default=2)
    parser.add_argument('--keep', action='store_true')
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.seeds):
        played = Simulation(
            seed, scale=options.scale, passes=not options.keep
        ).play()
        short = [
            (
                each.account,
                each.start,
                round(each.granted / max(1.0, each.due), 2),
                'lone'
                if int(each.account.rpartition('-')[2]) in played.history.lone
                else 'all',
            )
            for each in played.list_short()
        ]
        print(seed, dict(played.ends), short, flush=True)


if __name__ == '__main__':
    main()
