"""Drawn histories of a fleet's retry budgets, judged by the users' rule.

Run by hand: python -m tests.support.budget_histories --help

All instances run on one virtual clock, in steps. Callers send requests, and
requests that fail are retried as often as the budgets allow. A retry waits for
a place before it is sent, and arrives a moment after it was sent. Meanwhile
rates jump, callers move between instances, processes are killed, stopped and
replaced, instances join, leave and freeze, and the store is out of reach.
"""

import argparse
import bisect
import heapq
import random

from amaranthslip.members import census
from amaranthslip.members import roster
from tests.support import budget_fleet
from tests.support import callers

SERVICE = 'llm'
RATIO = 0.2
WINDOW_SECONDS = 10.0
_STEP_SECONDS = 0.05
# By number of instances: requests per second of all, and the slack.
_SIZES = {6: (150.0, 30), 80: (1000.0, 200), 720: (5000.0, 1200)}
_DEADLINE_SECONDS = 12.0
# Longest time in seconds from the caller's send until a request is counted,
# and from the send of a retry until it arrives.
_MAX_READ_SECONDS = 0.3
_MAX_TRANSFER_SECONDS = 0.4
_HISTORY_SECONDS = 60.0
# Retries that an instance wants in each step in which all tries fail.
_IN_FLIGHT = 200


class Process:
    """One process of an instance, with its retry budget."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.running = True
        # Until when the process stands still.
        self.frozen_until = 0.0
        # Requests sent meanwhile, which it reads afterwards.
        self.unread = 0
        self._listed = fleet.store_names if fleet.is_in_touch(name) else ()
        self._synced_at = fleet.now if fleet.is_in_touch(name) else -1e9
        # Before it has read the list, a process does not know it.
        self._listing = budget_fleet.Listing(
            name,
            lambda: self._listed,
            fleet.read_clock,
            found_any_at_start=bool(self._listed)
            or not fleet.is_in_touch(name),
        )
        self.budget = budget_fleet.build_budget(
            fleet.settings,
            name,
            # It knows no other member: what it finds out is the list.
            census.Census(
                roster.Roster(budget_fleet.build_member(name)),
                lambda: self._listed,
                clock=fleet.read_clock,
            ),
            self._listing,
            lambda: fleet.now - self._synced_at,
            fleet.read_clock,
            read_lag=lambda: fleet.now - self.read_until,
        )
        # Until when it has read what callers sent.
        self.read_until = fleet.now

    def sync(self):
        """Copy the store's list of instances."""
        self._synced_at = self.fleet.now
        if self._listed is not self.fleet.store_names:
            self._listed = self.fleet.store_names
            self._listing.update()

    def reserve_retry(self):
        """Return the right to one retry, or None."""
        return self.budget.reserve_retry(SERVICE)


class Fleet:
    """A fleet, the callers' requests, and what arrives at engines."""

    def __init__(self, count, *, seed=0):
        self.random = random.Random(seed)
        self.rate, self.slack = _SIZES[count]
        self.now = 0.0
        self.settings = callers.build_settings(
            bounds={
                'retry_ratio': RATIO,
                'retry_slack': self.slack,
                'retry_window_seconds': WINDOW_SECONDS,
            }
        )
        self.names = [f'i{number}' for number in range(count)]
        self.store_names = ()
        self.store_down = False
        self.parted = set()
        self.shares = dict.fromkeys(self.names, 1.0)
        self.running = {name: Process(self, name) for name in self.names}
        # The part of the tries that fail, and the longest wait for a place.
        self.failing = 0.0
        self.longest_wait = 0.0
        self.request_times = []
        self.retry_times = []
        self.retries_wanted = 0
        # (Time, number, process, right) of the retries that wait.
        self._waiting = []
        self._last_number = 0
        self._fractions = {}
        self.sync()

    def read_clock(self):
        """Return the time of the virtual clock in seconds."""
        return self.now

    def is_in_touch(self, name):
        """Return whether an instance reaches the store."""
        return not self.store_down and name not in self.parted

    def sync(self):
        """List all instances that reach the store, and tell them."""
        reaching = [
            name
            for name, process in self.running.items()
            if self.is_in_touch(name) and process.frozen_until <= self.now
        ]
        missing = set(reaching) - set(self.store_names)
        if missing:
            self.store_names = (*self.store_names, *sorted(missing))
        for name in reaching:
            self.running[name].sync()

    def run(self, seconds):
        """Let callers send requests, and retry those that fail."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            self.now += _STEP_SECONDS
            self.sync()
            self._send_waiting()
            total = sum(self.shares.values())
            for name, share in self.shares.items():
                if share:
                    self._serve(name, self.rate * share / total)

    def begin_failing(self, part):
        """Let a part of all tries fail from now on."""
        self.failing = part

    def move_callers(self, shares):
        """Let callers come to instances in these shares from now on."""
        self.shares = shares

    def replace(self, names):
        """Kill processes and start others in their place."""
        for name in names:
            self.running[name].running = False
            self.running[name] = Process(self, name)

    def join(self, count):
        """Start further instances, and let callers come to them."""
        for _ in range(count):
            name = f'i{len(self.names)}'
            self.names.append(name)
            self.running[name] = Process(self, name)
            self.shares[name] = 1.0

    def lose_entries(self):
        """Drop all entries of the store, as if their leases had ended."""
        self.store_names = ()

    def freeze(self, names, seconds):
        """Let processes stand still for a time."""
        for name in names:
            self.running[name].frozen_until = self.now + seconds

    def _serve(self, name, rate):
        """Pass one step's requests to an instance."""
        due = self._fractions.get(name, 0.0) + rate * _STEP_SECONDS
        count = int(due)
        self._fractions[name] = due - count
        process = self.running[name]
        for _ in range(count):
            age = self.random.uniform(0.0, _MAX_READ_SECONDS)
            self.request_times.append(self.now - age)
        if process.frozen_until > self.now:
            process.unread += count
            return
        count += process.unread
        process.unread = 0
        for _ in range(count):
            process.budget.note_request(SERVICE)
        process.read_until = self.now
        wanted = int(3 * count * self.failing + 0.5)
        if self.failing == 1.0:
            # Streams that began earlier break off too.
            wanted = max(wanted, _IN_FLIGHT)
        self._retry(process, wanted)

    def _retry(self, process, wanted):
        for _ in range(wanted):
            self.retries_wanted += 1
            right = process.reserve_retry()
            if right is None:
                return
            wait = self.random.uniform(0.0, self.longest_wait)
            self._last_number += 1
            heapq.heappush(
                self._waiting,
                (self.now + wait, self._last_number, process, right),
            )

    def _send_waiting(self):
        delayed = []
        while self._waiting and self._waiting[0][0] <= self.now:
            at, number, process, right = heapq.heappop(self._waiting)
            if not process.running:
                continue
            if process.frozen_until > self.now:
                delayed.append((process.frozen_until, number, process, right))
            elif self.random.random() < 0.05:
                # The caller has left.
                right.release()
            elif right.use():
                transfer = self.random.uniform(0.0, _MAX_TRANSFER_SECONDS)
                self.retry_times.append(self.now + transfer)
        for each in delayed:
            heapq.heappush(self._waiting, each)

    def compute_worst_use(self):
        """Return the largest part that a window has of what it may have."""
        requests = sorted(self.request_times)
        retries = sorted(self.retry_times)
        worst = 0.0
        for at in retries:
            # The window that begins, and the one that ends with a retry.
            for start in (at, at - WINDOW_SECONDS + 1e-9):
                count = _count(retries, start)
                most = max(
                    _count(requests, start - shift * WINDOW_SECONDS)
                    for shift in (0.0, 0.5, 1.0)
                )
                worst = max(worst, count / (RATIO * most + self.slack))
        return worst


class DrawnHistory:
    """Changes of a fleet that a seed draws."""

    def __init__(self, seed, count):
        self.fleet = Fleet(count, seed=seed)
        self.random = random.Random(f'{seed}-{count}')
        self._rate = self.fleet.rate
        self._count = count
        # (Time, function) of what ends later.
        self._ends = []

    def play(self):
        """Play the history; return the largest use of a window."""
        fleet = self.fleet
        fleet.run(self.random.choice((0.0, 2.0, 12.0)))
        # A few kinds of trouble, so that each recurs.
        kinds = self.random.sample(
            (
                self._wait,
                self._jump,
                self._move,
                self._replace,
                self._part,
                self._lose_store,
                self._join,
                self._freeze,
            ),
            self.random.randrange(1, 5),
        )
        # Bursts of failures up to a window apart.
        pause = self.random.choice((1.0, 4.0, 8.0))
        while fleet.now < _HISTORY_SECONDS:
            for change in kinds:
                if self.random.random() < 0.6:
                    change()
            self._fail()
            self._run(self.random.uniform(0.1, 2.0))
            for change in kinds:
                if self.random.random() < 0.3:
                    change()
            self._run(self.random.uniform(0.1, 2.0) * pause)
        return fleet.compute_worst_use()

    def _run(self, seconds):
        fleet = self.fleet
        end = fleet.now + seconds
        while fleet.now < end:
            for each in [each for each in self._ends if each[0] <= fleet.now]:
                self._ends.remove(each)
                each[1]()
            fleet.run(2 * _STEP_SECONDS)

    def _end_later(self, function):
        seconds = self.random.choice((0.3, 1.0, 3.0, 6.0))
        self._ends.append((self.fleet.now + seconds, function))

    def _fail(self):
        self.fleet.begin_failing(self.random.choice((0.1, 0.6, 1.0)))
        self._end_later(lambda: self.fleet.begin_failing(0.0))

    def _wait(self):
        self.fleet.longest_wait = self.random.choice(
            (0.0, 0.5, 4.0, _DEADLINE_SECONDS)
        )

    def _jump(self):
        factor = self.random.choice((0.0, 0.1, 0.5, 1.0, 2.0, 4.0))
        self.fleet.rate = factor * self._rate

    def _move(self):
        names = self.fleet.names
        chosen = self.random.choice(
            (
                names,
                names[: len(names) // 2],
                names[len(names) // 2 :],
                names[:1],
            )
        )
        self.fleet.move_callers(
            {name: self.random.choice((0.2, 1.0, 3.0)) for name in chosen}
        )

    def _pick(self):
        names = self.fleet.names
        part = self.random.choice((1, len(names) // 3, len(names)))
        return self.random.sample(names, max(1, part))

    def _replace(self):
        self.fleet.replace(self._pick())

    def _part(self):
        self.fleet.parted = set(self._pick())
        self._end_later(self.fleet.parted.clear)

    def _lose_store(self):
        self.fleet.store_down = True
        if self.random.random() < 0.5:
            self.fleet.lose_entries()

        def end():
            self.fleet.store_down = False

        self._end_later(end)

    def _join(self):
        if len(self.fleet.names) < 2 * self._count:
            self.fleet.join(max(1, self._count // 4))

    def _freeze(self):
        self.fleet.freeze(
            self._pick(), self.random.choice((0.3, 1.0, 2.0, 5.0))
        )


def _count(times, start):
    first = bisect.bisect_left(times, start)
    return bisect.bisect_left(times, start + WINDOW_SECONDS) - first


def main():
    """Play histories and print the worst uses."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=6, choices=_SIZES)
    parser.add_argument('--histories', type=int, default=100)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    uses = []
    granted = wanted = 0
    for seed in range(arguments.seed, arguments.seed + arguments.histories):
        history = DrawnHistory(seed, arguments.instances)
        uses.append((history.play(), seed))
        granted += len(history.fleet.retry_times)
        wanted += history.fleet.retries_wanted
    uses.sort(reverse=True)
    above = sum(1 for use, _ in uses if use > 1.0)
    print(f'{len(uses)} histories, {above} above 1.00; worst:')
    for use, seed in uses[:5]:
        print(f'  {use:.3f} (seed {seed})')
    print(f'{granted} retries sent, {wanted} wanted')


if __name__ == '__main__':
    main()
