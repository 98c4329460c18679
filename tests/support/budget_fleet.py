"""A fleet's retry budgets on one virtual clock, judged by the users' rule."""

import bisect

from amaranthslip.members import census
from amaranthslip.members import equal_parts
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.requests import budget
from tests.support import callers

SERVICE = 'llm'
RATIO = 0.2
SLACK = 52
WINDOW_SECONDS = 10.0
# Shared: its histograms take longer to build than the rest of a process.
_METRICS = metrics.Metrics()


class Listing:
    """A process's copy of the platform's list of instances.

    `list_names` returns the names on the list. `found_any_at_start` is whether
    there were any when the process started.
    """

    def __init__(self, name, list_names, read_clock, *, found_any_at_start):
        self.name = name
        self.list_names = list_names
        self.found_any_at_start = found_any_at_start
        self._read_clock = read_clock
        self._listed_since = None
        self.update()

    def update(self):
        """Note since when the process's instance is on the list."""
        if self.name not in self.list_names():
            self._listed_since = None
        elif self._listed_since is None:
            self._listed_since = self._read_clock()

    def read_listed_seconds(self, name):
        """Return for how long the process's instance is listed, or None."""
        assert name == self.name
        if self._listed_since is None:
            return None
        return self._read_clock() - self._listed_since


def build_budget(
    settings,
    name,
    census_,
    listing,
    read_age,
    read_clock,
    *,
    read_lag=lambda: 0.0,
):
    """Return the retry budget of an instance on a virtual clock."""
    part = equal_parts.EqualPart(
        settings,
        name,
        budget.compute_charged_seconds(settings),
        census_,
        listing,
        Freshness(read_age),
        clock=read_clock,
    )
    return budget.FleetBudget(
        settings,
        part,
        _METRICS,
        read_lag=read_lag,
        clock=read_clock,
    )


class Freshness:
    """Fake freshness of the copy of the store."""

    def __init__(self, read_age):
        self._read_age = read_age

    @property
    def age(self):
        return self._read_age()


class Instance:
    """One process: its roster and its retry budget."""

    def __init__(self, fleet, name, *, restarted=False):
        self.name = name
        self.roster = roster.Roster(build_member(name))
        self.census = census.Census(
            self.roster, lambda: fleet.listed, clock=fleet.read_clock
        )
        self.listing = Listing(
            name,
            lambda: fleet.listed,
            fleet.read_clock,
            found_any_at_start=restarted,
        )
        self.budget = build_budget(
            fleet.settings,
            name,
            self.census,
            self.listing,
            lambda: 0.0,
            fleet.read_clock,
        )

    def retry(self):
        """Send a retry if the budget allows it; return whether it does."""
        self.listing.update()
        right = self.budget.reserve_retry(SERVICE)
        return right is not None and right.use()

    def set_reachable(self, reachable, others):
        """Record all others as members, those out of reach as dead."""
        for other in others:
            if other != self.name:
                state = (
                    members.MemberState.ALIVE
                    if other in reachable
                    else members.MemberState.DEAD
                )
                self.roster.put(build_member(other, state))


class Fleet:
    """Instances that send requests of one service, and retry failures.

    The arrivals are recorded as engines see them: one for each request, and
    one for each retry that a budget allows.
    """

    def __init__(self, count):
        self.now = 0.0
        self.names = [f'i{number}' for number in range(count)]
        # The names on the platform's list.
        self.listed = list(self.names)
        self.settings = callers.build_settings(
            bounds={
                'retry_ratio': RATIO,
                'retry_slack': SLACK,
                'retry_window_seconds': WINDOW_SECONDS,
            }
        )
        self.running = {name: Instance(self, name) for name in self.names}
        self.part_by_name = dict.fromkeys(self.names, frozenset(self.names))
        self.request_times = []
        self.retry_times = []
        for name in self.names:
            self._join(name)

    def read_clock(self):
        """Return the time of the virtual clock in seconds."""
        return self.now

    def _join(self, name):
        self.running[name].set_reachable(self.part_by_name[name], self.names)

    def partition(self, parts):
        """Split the fleet into parts of equal size that don't communicate."""
        for number in range(parts):
            part = frozenset(self.names[number::parts])
            self.part_by_name |= dict.fromkeys(part, part)
        for name in self.names:
            self._join(name)

    def restart(self, *, joins):
        """Replace all processes; they know other members only if they join."""
        for name in self.names:
            self.running[name] = Instance(self, name, restarted=True)
            if joins:
                self._join(name)

    def remove(self, name):
        """Stop an instance for good; the others and the list drop it."""
        del self.running[name]
        self.names.remove(name)
        self.listed.remove(name)
        for instance in self.running.values():
            instance.roster.remove(name)

    def send_failing_requests(self, count, seconds):
        """Send requests evenly over a time; each is retried until refused."""
        for number in range(count):
            instance = self.running[self.names[number % len(self.names)]]
            self.request_times.append(self.now)
            instance.budget.note_request(SERVICE)
            while instance.retry():
                self.retry_times.append(self.now)
            self.now += seconds / count

    def compute_worst_excess(self):
        """Return the most retries beyond what one window allows."""
        return max(
            self._count(self.retry_times, end) - self._compute_allowed(end)
            for end in self.retry_times
        )

    def compute_best_use(self):
        """Return the largest fraction that was used of a window's limit."""
        return max(
            self._count(self.retry_times, end) / self._compute_allowed(end)
            for end in self.retry_times
        )

    def _compute_allowed(self, end):
        requests = max(
            self._count(self.request_times, end - shift * WINDOW_SECONDS)
            for shift in (0.0, 0.5, 1.0)
        )
        return RATIO * requests + SLACK

    def _count(self, times, end):
        """Return how many times lie in the window that ends at a time."""
        first = bisect.bisect_left(times, end - WINDOW_SECONDS)
        return bisect.bisect_right(times, end) - first


def build_member(name, state=members.MemberState.ALIVE):
    """Return a member, by default a live one."""
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='a',
        region='r',
        state=state,
    )
