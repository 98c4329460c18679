"""Retry budget of each service, divided among all instances."""

import collections
import time
import typing

from amaranthslip import settings as settings_

# Fraction of the computed retry limit that an instance uses. The margin covers
# members that join or leave, because instances can temporarily count
# different numbers of members.
_LIMIT_FRACTION = 0.8
_BUCKETS_PER_WINDOW = 10


class _ServiceCounts:
    """Counts of one service, as buckets of [number, requests, retries].

    The number identifies the time slice that the bucket covers.
    """

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=2 * _BUCKETS_PER_WINDOW
        )


class FleetBudget:
    """Limits the retries of this instance, separately for each service.

    In each window, all instances together may retry `retry_ratio` of the
    requests for a service, plus `retry_slack` retries. Each instance applies
    the ratio to its own requests and uses an equal part of the slack.
    No messages are exchanged for this: if each instance stays within its own
    part, the total stays within the limit.

    Parameters
    ----------
    settings : Settings
        `bounds.retry_ratio`, `retry_window_seconds` and `retry_slack`.
    count_instances : callable
        Returns the number of live instances, which share the slack.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_settings', '_count_instances', '_clock', '_services')

    def __init__(
        self,
        settings: settings_.Settings,
        count_instances: typing.Callable[[], int],
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._count_instances = count_instances
        self._clock = clock
        self._services: dict[str, _ServiceCounts] = {}

    def note_request(self, service: str) -> None:
        """Count a new request, which increases the budget."""
        self._find_current_bucket(service)[1] += 1

    def take_retry(self, service: str) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        bounds = self._settings.bounds
        bucket = self._find_current_bucket(service)
        oldest = bucket[0] - _BUCKETS_PER_WINDOW
        requests = retries = 0.0
        for number, requested, retried in self._services[service].buckets:
            if number > oldest:
                requests += requested
                retries += retried
        slack = bounds.retry_slack / max(1, self._count_instances())
        if retries + 1 > _LIMIT_FRACTION * (
            bounds.retry_ratio * requests + slack
        ):
            return False
        bucket[2] += 1
        return True

    def _find_current_bucket(self, service: str) -> list[float]:
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts()
        window = self._settings.bounds.retry_window_seconds
        number = int(self._clock() * _BUCKETS_PER_WINDOW / window)
        if not counts.buckets or counts.buckets[-1][0] != number:
            counts.buckets.append([number, 0.0, 0.0])
        return counts.buckets[-1]
