"""The ledger: how much service each client account had, as scores.

A score is service in tokens divided by the client account's share. The
dispatcher serves the lowest score first, as in the virtual token counters
of Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024);
here the counters are fed by many entries while their streams run.
"""

import time
import typing

# Two whole requests of the largest size that the users name (32,000 tokens):
# after a partition heals, nobody is held back for more than that.
CATCH_UP_TOKENS = 64000.0
# How long hints of several entries are compared after an account is met.
REBUILD_SECONDS = 1.0
# An account whose queue was empty for less than this keeps its score: a
# closed loop of callers empties it for moments without being idle.
IDLE_GRACE_SECONDS = 1.0


class Standing:
    """One client account at one service: its score and who reported it.

    Attributes
    ----------
    score : float
        Settled service divided by the share, in tokens.
    committed : float
        Estimates of the slots granted here and not yet returned, in tokens.
    """

    __slots__ = ('score', 'committed', 'totals', 'known_since', 'idle_since')

    def __init__(self, score: float, now: float) -> None:
        self.score = score
        self.committed = 0.0
        self.totals: dict[str, float] = {}
        self.known_since = now
        self.idle_since: float | None = now


class Ledger:
    """The standings of one service's client accounts at one dispatcher.

    Parameters
    ----------
    estimate_weight : float
        What part of a granted request's estimate counts before any of it
        is delivered. Small: estimates keep one account from taking every
        free slot at once, while delivered tokens decide in the long run.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = ('_standings', '_clock', 'estimate_weight', 'level')

    def __init__(
        self,
        *,
        estimate_weight: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._standings: dict[str, Standing] = {}
        self._clock = clock
        self.estimate_weight = estimate_weight
        self.level = 0.0

    def read_score(self, client_account: str, share: float) -> float:
        """Return settled service plus the weighed estimates, by share."""
        standing = self._standings[client_account]
        weighed = self.estimate_weight * standing.committed
        return standing.score + weighed / share

    def read_settled(self, client_account: str) -> float:
        """Return settled service divided by the share."""
        standing = self._standings.get(client_account)
        return standing.score if standing else 0.0

    def know(self, client_account: str, hint: float) -> Standing:
        """Return the standing; a new one starts from what others hold.

        A dispatcher that lost its memory would else take every account for
        unserved, and the newest one for as far behind as all the rest; the
        entries carry the last score that any dispatcher named.
        """
        standing = self._standings.get(client_account)
        if standing is None:
            standing = Standing(max(hint, self.level), self._clock())
            self._standings[client_account] = standing
        elif self._clock() - standing.known_since < REBUILD_SECONDS:
            # Entries know scores of different ages; the highest is right.
            standing.score = max(standing.score, hint)
        return standing

    def begin(self, client_account: str, hint: float) -> None:
        """Note that an account has requests waiting.

        After idleness it is lifted to the least score among the backlogged
        accounts, so that idleness banks no credit.
        """
        standing = self.know(client_account, hint)
        idle_since, standing.idle_since = standing.idle_since, None
        if idle_since is None or standing.committed:
            return
        if self._clock() - idle_since >= IDLE_GRACE_SECONDS:
            standing.score = max(standing.score, self.level)

    def end(self, client_account: str) -> None:
        """Note that an account has no request waiting here any more."""
        standing = self._standings.get(client_account)
        if standing is not None and standing.idle_since is None:
            standing.idle_since = self._clock()

    def commit(self, client_account: str, estimate: float) -> None:
        """Count a granted slot's estimate, or its return if negative."""
        standing = self.know(client_account, 0.0)
        standing.committed = max(0.0, standing.committed + estimate)

    def charge(
        self,
        client_account: str,
        reporter: str,
        *,
        share: float,
        total: float,
        base: float,
        hint: float,
    ) -> None:
        """Take a reporter's total of delivered tokens.

        Totals only grow, so a repeated or late report changes nothing. What
        was delivered while the reporter could not be heard counts at most
        `CATCH_UP_TOKENS`: without that limit an hour's partition would
        starve the account that was served on its other side for as long.
        """
        standing = self.know(client_account, hint)
        known = standing.totals.get(reporter, base)
        standing.totals[reporter] = max(known, total)
        delivered = min(max(0.0, total - known), CATCH_UP_TOKENS)
        standing.score += delivered / share

    def forget_reporter(self, reporter: str) -> None:
        """Drop a reporter's totals: it restarted and counts from zero."""
        for standing in self._standings.values():
            standing.totals.pop(reporter, None)

    def raise_level(self, level: float) -> None:
        """Raise the level that returning accounts are lifted to."""
        self.level = max(self.level, level)

    def prune(self, idle_seconds: float) -> None:
        """Forget accounts that were idle for longer than `idle_seconds`."""
        since = self._clock() - idle_seconds
        for name, standing in list(self._standings.items()):
            idle_since = standing.idle_since
            if idle_since is not None and idle_since < since:
                if not standing.committed:
                    del self._standings[name]

    def __len__(self) -> int:
        return len(self._standings)
