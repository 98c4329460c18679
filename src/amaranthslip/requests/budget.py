"""Retry budget of each service, divided among all instances.

In any window, the retries that arrive at the servers of a service must not
exceed `retry_ratio` of its requests, plus `retry_slack`, over all instances.
The requests are those of the same window, of the one before, or of the one
half a window before, whichever has most.

Limits of single instances add up to a limit of the fleet only if all of them
refer to the same windows. Each instance therefore keeps, for every window W
that has a retry, with P as the window before it:

    retries in W <= retry_ratio * (requests in W + requests in P) / 2
                    + its part of retry_slack

The sum over all instances is at most the mean of the limits for W and P, and
thus at most the larger one, whichever instance each request reached. A
process that replaces another starts without requests, so that its sum with
its predecessor holds as well. No messages are exchanged for this.
`docs/design/retry-budget.md` compares this with other ways.
"""

import collections
import logging
import typing

from amaranthslip.configuration import freshness as freshness_module
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_BUCKETS_PER_WINDOW = 40
# Buckets by which a retry may arrive after it is charged, or a request be
# counted after its caller sent it: a tenth of a window.
_MARGIN_BUCKETS = 4
# Buckets before the current one in which a window of retries may begin, and
# buckets before its first one whose requests certainly lie in both windows.
_RETRY_BUCKETS = _BUCKETS_PER_WINDOW + _MARGIN_BUCKETS
_REQUEST_BUCKETS = _BUCKETS_PER_WINDOW - _MARGIN_BUCKETS - 1
# Lag of the event loop in seconds above which requests may have waited unread
# for longer than the margin, and seconds for which such requests are read.
_MAX_LAG_SECONDS = 0.3
_CATCH_UP_SECONDS = 1.0
# Seconds between two log lines about the same service.
_LOG_INTERVAL_SECONDS = 1.0


class Part(typing.Protocol):
    """This instance's part of a limit that is divided equally.

    `members.equal_parts.EqualPart` is an implementation.
    """

    def read(self) -> float:
        """Return the fraction that this instance may use now; may be 0."""

    @property
    def withheld(self) -> str:
        """Why the last `read` returned 0; empty if it did not."""


def compute_charged_seconds(settings: settings_module.Settings) -> float:
    """Return the time within which retries may arrive in one window."""
    window = settings.bounds.retry_window_seconds
    return window * (_RETRY_BUCKETS + 1) / _BUCKETS_PER_WINDOW


class _Bucket:
    """Requests and retries of one service in one slice of time."""

    __slots__ = ('number', 'requests', 'retries')

    def __init__(self, number: int) -> None:
        self.number = number
        self.requests = 0
        self.retries = 0


class _ServiceCounts:
    """Counts of one service; the last bucket is the current one.

    `reserved` is the number of retries that are reserved and not sent.
    `headroom` is how many could be sent now without any slack, None until it
    is computed for the current bucket. `logged_at` is when the log last
    reported that the budget is exhausted.
    """

    __slots__ = ('buckets', 'reserved', 'headroom', 'logged_at')

    def __init__(self) -> None:
        self.buckets: collections.deque[_Bucket] = collections.deque(
            maxlen=_RETRY_BUCKETS + _REQUEST_BUCKETS + 1
        )
        self.reserved = 0
        self.headroom: float | None = None
        self.logged_at = float('-inf')


class RetryReservation:
    """The right to one retry, which counts when the retry is sent.

    Parameters
    ----------
    budget : FleetBudget
        The budget that granted it.
    service : str
        The service at which the retry may arrive.
    """

    __slots__ = ('service', '_budget', '_open')

    def __init__(self, budget: 'FleetBudget', service: str) -> None:
        self.service = service
        self._budget = budget
        self._open = True

    def use(self) -> bool:
        """Charge the retry, which is sent now.

        Returns
        -------
        bool
            False if the budget does not allow it any more, because requests
            that it was based on are too old by now.
        """
        return self._close() and self._budget.charge(self)

    def release(self) -> None:
        """Give the right back, unless it was used."""
        if self._close():
            self._budget.note_released()

    def _close(self) -> bool:
        """End the reservation; return False if it had ended before."""
        if not self._open:
            return False
        self._open = False
        self._budget.end_reservation(self.service)
        return True


class FleetBudget:
    """Limits the retries of this instance, separately for each service.

    Parameters
    ----------
    settings : Settings
        `bounds.retry_ratio`, `retry_window_seconds` and `retry_slack`.
    part : Part
        This instance's part of the slack.
    metrics : Metrics
        Counts `retry_budget`.
    read_lag : callable
        Returns the seconds by which the event loop is late.
    clock : callable
        Returns seconds, including the time that the host is suspended.
    """

    __slots__ = (
        '_settings',
        '_part',
        '_metrics',
        '_read_lag',
        '_clock',
        '_started_at',
        '_catching_up_until',
        '_services',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        part: Part,
        metrics: metrics_module.Metrics,
        *,
        read_lag: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = freshness_module.read_clock,
    ) -> None:
        self._settings = settings
        self._part = part
        self._metrics = metrics
        self._read_lag = read_lag
        self._clock = clock
        self._started_at = clock()
        self._catching_up_until = float('-inf')
        self._services: dict[str, _ServiceCounts] = {}

    def note_request(self, service: str) -> None:
        """Count a new request, which increases the budget.

        Requests that are read after a pause of this process are not counted.
        Their callers may have sent them before the windows that would count
        them.
        """
        now = self._clock()
        if self._read_lag() > _MAX_LAG_SECONDS:
            self._catching_up_until = now + _CATCH_UP_SECONDS
        if now < self._catching_up_until:
            return
        counts = self._advance(service)
        counts.buckets[-1].requests += 1
        # Every window of retries that ends now counts the current bucket.
        if counts.headroom is not None:
            counts.headroom += self._settings.bounds.retry_ratio / 2

    def reserve_retry(self, service: str) -> RetryReservation | None:
        """Reserve one retry; return None if the budget is exhausted.

        The caller must use or release the reservation.
        """
        counts = self._advance(service)
        if self._read_headroom(counts) < counts.reserved + 1:
            self._metrics.count('retry_budget', 'denied')
            self._log_exhausted(service, counts)
            return None
        counts.reserved += 1
        self._metrics.count('retry_budget', 'reserved')
        return RetryReservation(self, service)

    def charge(self, reservation: RetryReservation) -> bool:
        """Count a retry as sent; see `RetryReservation.use`."""
        counts = self._advance(reservation.service)
        if self._read_headroom(counts) < 1:
            self._metrics.count('retry_budget', 'lapsed')
            return False
        counts.buckets[-1].retries += 1
        counts.headroom -= 1
        self._metrics.count('retry_budget', 'used')
        return True

    def end_reservation(self, service: str) -> None:
        """Stop counting a reservation."""
        self._services[service].reserved -= 1

    def note_released(self) -> None:
        """Count a reservation that was not used."""
        self._metrics.count('retry_budget', 'released')

    def _read_headroom(self, counts: _ServiceCounts) -> float:
        """Return how many retries could be sent now; may be negative."""
        if counts.headroom is None:
            counts.headroom = self._compute_headroom(counts)
        slack = self._settings.bounds.retry_slack * self._part.read()
        return counts.headroom + slack

    def _compute_headroom(self, counts: _ServiceCounts) -> float:
        """Return the headroom of the tightest window, without slack.

        Each window that holds a retry sent now begins in the current bucket
        or in one of the `_RETRY_BUCKETS` before it. Of the buckets that lie
        partly in a window, the retries count and the requests don't.
        """
        ratio = self._settings.bounds.retry_ratio / 2
        current = counts.buckets[-1]
        older = reversed(counts.buckets)
        candidate = next(older)
        requests = retries = 0
        headroom = float('inf')
        for bucket in reversed(counts.buckets):
            if bucket.number < current.number - _RETRY_BUCKETS:
                break
            retries += bucket.retries
            if not bucket.retries and bucket is not current:
                # The window from the next bucket on has the same retries and
                # fewer requests.
                continue
            oldest = bucket.number - _REQUEST_BUCKETS
            while candidate is not None and candidate.number >= oldest:
                requests += candidate.requests
                candidate = next(older, None)
            headroom = min(headroom, ratio * requests - retries)
        return headroom

    def _log_exhausted(self, service: str, counts: _ServiceCounts) -> None:
        now = self._clock()
        if now - counts.logged_at < _LOG_INTERVAL_SECONDS:
            return
        counts.logged_at = now
        part = self._part.read()
        _LOG.info(
            'retry_budget_exhausted',
            extra={
                'service': service,
                'requests': sum(each.requests for each in counts.buckets),
                'retries': sum(each.retries for each in counts.buckets),
                'reserved': counts.reserved,
                'slack': round(self._settings.bounds.retry_slack * part, 2),
                'slack_withheld': self._part.withheld or 'no',
                'running_ms': int((now - self._started_at) * 1000),
            },
        )

    def _advance(self, service: str) -> _ServiceCounts:
        """Return a service's counts; the last bucket is the current one."""
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts()
        window = self._settings.bounds.retry_window_seconds
        number = int(self._clock() * _BUCKETS_PER_WINDOW / window)
        if not counts.buckets or counts.buckets[-1].number < number:
            counts.buckets.append(_Bucket(number))
            counts.headroom = None
        return counts
