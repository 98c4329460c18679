"""The budget of second tries that the whole fleet shares, by service."""

import collections
import time
import typing

from amaranthslip import settings as settings_

# This instance's part of the fleet's slack is cut to this fraction: members
# join and leave, and each may believe in another number of them.
_CAUTION = 0.8
_BUCKETS = 10


class _Service:
    """Counts of one service; each bucket is [number, requests, retries]."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=2 * _BUCKETS
        )


class FleetBudget:
    """How many second tries this instance may still make, by service.

    In each window a service takes `retry_ratio` of its requests, and a
    slack besides, as second tries, over all instances. Each keeps to the
    ratio of its own requests and to an even part of the slack: no message
    is needed, and the sum holds whatever the others do.

    Parameters
    ----------
    settings : Settings
        `bounds.retry_ratio`, `retry_window_seconds` and `retry_slack`.
    count_instances : callable
        How many instances share the slack now.
    clock : callable
        Seconds that only grow.
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
        self._services: dict[str, _Service] = {}

    def note_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._bucket(service)[1] += 1

    def take(self, service: str) -> bool:
        """Take one second try; False: the budget is spent."""
        bounds = self._settings.bounds
        bucket = self._bucket(service)
        oldest = bucket[0] - _BUCKETS
        requests = retries = 0.0
        for number, asked, retried in self._services[service].buckets:
            if number > oldest:
                requests += asked
                retries += retried
        slack = bounds.retry_slack / max(1, self._count_instances())
        if retries + 1 > _CAUTION * (bounds.retry_ratio * requests + slack):
            return False
        bucket[2] += 1
        return True

    def _bucket(self, service: str) -> list[float]:
        entry = self._services.get(service)
        if entry is None:
            entry = self._services[service] = _Service()
        window = self._settings.bounds.retry_window_seconds
        number = int(self._clock() * _BUCKETS / window)
        if not entry.buckets or entry.buckets[-1][0] != number:
            entry.buckets.append([number, 0.0, 0.0])
        return entry.buckets[-1]
