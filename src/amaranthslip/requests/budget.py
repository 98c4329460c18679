"""Retry budget of each service, divided among all instances."""

import collections
import logging
import time
import typing

from amaranthslip import settings as settings_

_LOG = logging.getLogger(__name__)

# Fraction of the computed retry limit that an instance uses. The margin covers
# instances that join, because not all others know of them at once.
_LIMIT_FRACTION = 0.8
_BUCKETS_PER_WINDOW = 40
# Seconds between two log lines about the same service.
_LOG_INTERVAL_SECONDS = 1.0


class _ServiceCounts:
    """Counts of one service, as buckets of [number, requests, retries].

    The number identifies the time slice that the bucket covers.
    """

    __slots__ = ('buckets', 'logged_at')

    def __init__(self) -> None:
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=2 * _BUCKETS_PER_WINDOW
        )
        # When the log last reported that the budget is exhausted.
        self.logged_at = float('-inf')


class FleetBudget:
    """Limits the retries of this instance, separately for each service.

    In each window, all instances together may retry `retry_ratio` of the
    requests for a service, plus `retry_slack` retries. Each instance applies
    the ratio to its own requests and uses an equal part of the slack.
    No messages are exchanged for this: if each instance stays within its own
    part, the total stays within the limit. The counts are lost with a process.
    The next process of the instance therefore takes none of the slack until
    the window in which its predecessor may have used it is over.

    Parameters
    ----------
    settings : Settings
        `bounds.retry_ratio`, `retry_window_seconds` and `retry_slack`.
    count_instances : callable
        Returns the number of instances that may be running, which share the
        slack. It must not fall when others are merely out of touch.
    is_restarted : callable
        Returns whether an earlier process of this instance may have run until
        this one started.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_settings',
        '_count_instances',
        '_is_restarted',
        '_clock',
        '_started_at',
        '_services',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        count_instances: typing.Callable[[], int],
        *,
        is_restarted: typing.Callable[[], bool] = lambda: False,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._count_instances = count_instances
        self._is_restarted = is_restarted
        self._clock = clock
        self._started_at = clock()
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
            # Part of the oldest bucket lies in the window. Its retries count
            # and its requests don't, so that the limit holds in any window.
            if number > oldest:
                requests += requested
            if number >= oldest:
                retries += retried
        instances = max(1, self._count_instances())
        slack = 0.0
        if not self._may_predecessor_count():
            slack = bounds.retry_slack / instances
        if retries + 1 > _LIMIT_FRACTION * (
            bounds.retry_ratio * requests + slack
        ):
            self._log_exhausted(service, requests, retries, instances)
            return False
        bucket[2] += 1
        return True

    def _may_predecessor_count(self) -> bool:
        """Return whether retries of an earlier process may be in the window.

        Its requests are in the window too, so that the part that follows from
        them needs no such wait.
        """
        elapsed = self._clock() - self._started_at
        if elapsed > self._settings.bounds.retry_window_seconds:
            return False
        return self._is_restarted()

    def _log_exhausted(
        self, service: str, requests: float, retries: float, instances: int
    ) -> None:
        counts, now = self._services[service], self._clock()
        if now - counts.logged_at < _LOG_INTERVAL_SECONDS:
            return
        counts.logged_at = now
        _LOG.info(
            'retry_budget_exhausted',
            extra={
                'service': service,
                'requests': int(requests),
                'retries': int(retries),
                'instances': instances,
                'running_ms': int((now - self._started_at) * 1000),
            },
        )

    def _find_current_bucket(self, service: str) -> list[float]:
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts()
        window = self._settings.bounds.retry_window_seconds
        number = int(self._clock() * _BUCKETS_PER_WINDOW / window)
        if not counts.buckets or counts.buckets[-1][0] != number:
            counts.buckets.append([number, 0.0, 0.0])
        return counts.buckets[-1]
