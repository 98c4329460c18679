"""Retries: how many, how long after, and how each is counted."""

import random as random_
import time
import typing

from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_

# Retries that a client account may make without requests before them, so
# that one with little traffic can survive the loss of a server.
_BURST = 10.0
# Seconds: the first wait's mean, and the mean that waits grow to.
_FIRST_WAIT = 0.05
_LONGEST_WAIT = 2.0


class RetryBudget:
    """A token bucket of retries for each client account.

    Each request adds `backends.retry_ratio` of a retry, each retry takes
    one. Without it, a fleet whose servers fail under load would multiply
    that load by its retries and never recover; with a budget for each
    account, one account's failing requests use up nobody else's retries.
    """

    __slots__ = ('_settings', '_metrics', '_random', '_clock', '_spent')

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
        # What is missing from each bucket; full buckets are not held, so
        # the table is as long as the accounts that retried lately.
        self._spent: dict[str, float] = {}

    def note_request(self, client_account: str) -> None:
        """Count a first try, which adds a part of a retry."""
        spent = self._spent.get(client_account)
        if spent is None:
            return
        spent -= self._settings.backends.retry_ratio
        if spent <= 0:
            del self._spent[client_account]
        else:
            self._spent[client_account] = spent

    def take(
        self,
        client_account: str,
        reason: str,
        *,
        tries: int,
        deadline: float,
    ) -> float | None:
        """Take one retry and return the seconds to wait before it.

        Parameters
        ----------
        client_account : str
            Whose budget pays.
        reason : str
            Why the last try failed; the counters' label.
        tries : int
            Tries made so far, at least one.
        deadline : float
            Of the request, on the injected clock.

        Returns
        -------
        float or None
            None where the budget is spent or the wait would end after the
            deadline; the request then gets its final answer at once.
        """
        wait = self._draw_wait(tries)
        if self._clock() + wait >= deadline:
            self._metrics.count('retries_denied', 'deadline')
            return None
        spent = self._spent.get(client_account, 0.0) + 1.0
        if spent > _BURST:
            self._metrics.count('retries_denied', 'budget')
            return None
        self._spent[client_account] = spent
        self._metrics.count('retries', reason)
        return wait

    def _draw_wait(self, tries: int) -> float:
        # Spread over the whole of twice the mean: callers that failed
        # together must not come back together.
        mean = min(_FIRST_WAIT * 2.0 ** (tries - 1), _LONGEST_WAIT)
        return self._random.uniform(0.0, 2.0 * mean)
