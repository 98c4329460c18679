"""Limits, delays and counters of retries."""

import random as random_
import time
import typing

from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_

# Capacity of an account's token bucket: the number of retries that a client
# account can make without earlier requests. It lets an account with little
# traffic tolerate the failure of a backend server.
_BUCKET_CAPACITY = 10.0
# Mean wait in seconds before the first retry, and the limit of the mean wait.
_INITIAL_MEAN_WAIT_SECONDS = 0.05
_MAX_MEAN_WAIT_SECONDS = 2.0


class RetryBudget:
    """A token bucket of retries for each client account.

    Each request adds `backends.retry_ratio` of a retry, and each retry
    consumes one. Without a budget, the retries would multiply the load on
    servers that fail under load, and the fleet would never recover. With a
    separate budget for each account, the failing requests of one account do
    not consume the retries of other accounts.
    """

    __slots__ = (
        '_settings',
        '_metrics',
        '_random',
        '_clock',
        '_missing_retries',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        metrics: metrics_.Metrics,
        *,
        random: random_.Random | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._random = random or random_.Random()
        self._clock = clock
        # Retries missing from each bucket. Full buckets are not stored, so the
        # table contains only accounts that made retries recently.
        self._missing_retries: dict[str, float] = {}

    def note_request(self, client_account: str) -> None:
        """Count a new request, which adds a fraction of a retry."""
        missing = self._missing_retries.get(client_account)
        if missing is None:
            return
        missing -= self._settings.backends.retry_ratio
        if missing <= 0:
            del self._missing_retries[client_account]
        else:
            self._missing_retries[client_account] = missing

    def take_retry(
        self,
        client_account: str,
        reason: str,
        *,
        tries: int,
        deadline: float,
    ) -> float | None:
        """Consume one retry, and return the seconds to wait before it.

        Parameters
        ----------
        client_account : str
            The account whose budget is used.
        reason : str
            Why the last try failed; used as the label of the counter.
        tries : int
            Number of tries so far, at least one.
        deadline : float
            Deadline of the request, in seconds of `clock`.

        Returns
        -------
        float or None
            None if the budget is exhausted or the wait would end at or after
            the deadline. The request then gets its final answer immediately.
        """
        wait = self._draw_wait(tries)
        if self._clock() + wait >= deadline:
            self._metrics.count('retries_denied', 'deadline')
            return None
        missing = self._missing_retries.get(client_account, 0.0) + 1.0
        if missing > _BUCKET_CAPACITY:
            self._metrics.count('retries_denied', 'budget')
            return None
        self._missing_retries[client_account] = missing
        self._metrics.count('retries', reason)
        return wait

    def _draw_wait(self, tries: int) -> float:
        # The wait is drawn from the range between zero and twice the mean, so
        # that requests that failed together are not retried together.
        mean = min(
            _INITIAL_MEAN_WAIT_SECONDS * 2.0 ** (tries - 1),
            _MAX_MEAN_WAIT_SECONDS,
        )
        return self._random.uniform(0.0, 2.0 * mean)
