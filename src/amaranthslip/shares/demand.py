"""Demand: what each client account asked for and got lately, fleet-wide.

Tokens are counted as the engines' throughput is: each prompt token that must
be read once, each generated one twice.
"""

import collections
import time
import typing

# Parts of the window: what is oldest leaves it in steps of an eighth.
_BUCKETS = 8
# Seconds for which a computed level is used again: a level of hundreds of
# accounts costs a sort, and moves little in a twentieth of a second.
_LEVEL_SECONDS = 0.05
# What one generated token counts for.
GENERATED_WEIGHT = 2.0
# The part of the operator's token rate that is shared out at least, however
# little was granted: after all engines were lost nothing has been, and the
# first requests must not find everyone over a share of nothing.
_LEAST_RATE_PART = 0.25
# As long as no more than so many times what is granted is asked for, there is
# room for all, and nobody is over a share: some requests of a window are
# always asked for and not yet granted.
_CONTENTION = 1.15


class _Account:
    """One account's buckets; each is [number, asked, granted]."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=_BUCKETS + 1
        )


class Totals:
    """What was asked for one account, and what it got, in tokens."""

    __slots__ = ('asked', 'granted')

    def __init__(self, asked: float = 0.0, granted: float = 0.0) -> None:
        self.asked = asked
        self.granted = granted


class _Heard:
    """The fleet's totals of a window, and this instance's own until then."""

    __slots__ = ('fleet', 'own')

    def __init__(self, fleet: Totals, own: Totals) -> None:
        self.fleet = fleet
        self.own = Totals(own.asked, own.granted)


class Standing:
    """An account against its max-min fair share of a window.

    `use` is how much of the share it has had, `asks` how much of it was asked
    for. Whoever asks for less than 1 is owed all of it, the others no more
    than 1.
    """

    __slots__ = ('use', 'asks')

    def __init__(self, use: float = 0.0, asks: float = 0.0) -> None:
        self.use = use
        self.asks = asks


class Demand:
    """Asked and granted tokens by client account, in a sliding window.

    Parameters
    ----------
    window_seconds : callable
        Returns the window's length.
    clock : callable
        Seconds that only grow.
    """

    __slots__ = (
        'own',
        '_window_seconds',
        '_clock',
        '_accounts',
        '_level',
        '_until',
        '_heard_level',
        '_heard_until',
        '_heard',
    )

    def __init__(
        self,
        window_seconds: typing.Callable[[], float],
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        # By client account, since the start of the process, for the other
        # instances to hear.
        self.own: dict[str, Totals] = {}
        self._window_seconds = window_seconds
        self._clock = clock
        self._accounts: dict[str, _Account] = {}
        self._level = float('inf')
        self._until = float('-inf')
        self._heard_level = float('inf')
        self._heard_until = float('-inf')
        self._heard: dict[str, _Heard] = {}

    def note_asked(self, account: str, tokens: float) -> None:
        """Count tokens of a request that came here, served or not."""
        self.own.setdefault(account, Totals()).asked += tokens
        self._bucket(account)[1] += tokens

    def note_granted(self, account: str, tokens: float) -> None:
        """Count tokens of a request that was sent from here."""
        self.own.setdefault(account, Totals()).granted += tokens
        self._bucket(account)[2] += tokens

    def add_foreign(
        self, account: str, *, asked: float, granted: float
    ) -> None:
        """Count what came to another instance, and was sent from there."""
        bucket = self._bucket(account)
        bucket[1] += asked
        bucket[2] += granted

    def read_standing(self, account: str, rate: float) -> Standing:
        """Return how an account stands against its max-min fair share.

        Parameters
        ----------
        account : str
            The account.
        rate : float
            Tokens a second that all engines manage, as the operator says.
        """
        if rate <= 0:
            return Standing()
        if self._clock() >= self._heard_until:
            level = self.read_level(rate)
            asked, granted = self._sum(account)
            return Standing(granted / level, asked / level)
        heard = self._heard.get(account)
        if heard is None:
            return Standing()
        # What came here and was sent since is not in the totals told.
        own, level = self.own[account], self._heard_level
        granted = heard.fleet.granted + own.granted - heard.own.granted
        asked = heard.fleet.asked + own.asked - heard.own.asked
        return Standing(granted / level, asked / level)

    def read_level(self, rate: float) -> float:
        """Return the share above which nobody is owed more, in tokens."""
        now = self._clock()
        if now >= self._until:
            self._level = self._compute_level(rate * self._window_seconds())
            self._until = now + _LEVEL_SECONDS
        return self._level

    def read_totals(self, account: str) -> Totals:
        """Return what an account asked for and got in the window."""
        return Totals(*self._sum(account))

    def hear_level(
        self, level: float, totals: dict[str, Totals], *, seconds: float
    ) -> None:
        """Take the fleet's level and totals, for some seconds."""
        self._heard_level = level
        self._heard_until = self._clock() + seconds
        for account, fleet in totals.items():
            own = self.own.get(account)
            if own is not None:
                self._heard[account] = _Heard(fleet, own)

    def use_own_level(self) -> None:
        """Go by what is known here: this instance adds the fleet's up."""
        self._heard_until = float('-inf')

    def _compute_level(self, nominal: float) -> float:
        """Return the share above which nobody is owed more.

        Max-min: whoever asks for less than an even share gets all of it,
        and what they leave is divided evenly among the rest.

        What is shared out is what was granted, not the nominal tokens of a
        window: where engines are lost or slow, all accounts together get
        less than those, no share is ever reached, and whoever asks most gets
        most while others wait.
        """
        sums = [self._sum(name) for name in list(self._accounts)]
        asked = sorted(each[0] for each in sums)
        granted = sum(each[1] for each in sums)
        if sum(asked) <= _CONTENTION * granted:
            return float('inf')
        left = min(nominal, max(granted, _LEAST_RATE_PART * nominal))
        for index, tokens in enumerate(asked):
            even = left / (len(asked) - index)
            if tokens > even:
                return even
            left -= tokens
        return float('inf')

    def _bucket(self, account: str) -> list[float]:
        entry = self._accounts.get(account)
        if entry is None:
            entry = self._accounts[account] = _Account()
        number = int(self._clock() * _BUCKETS / self._window_seconds())
        if not entry.buckets or entry.buckets[-1][0] != number:
            entry.buckets.append([number, 0.0, 0.0])
        return entry.buckets[-1]

    def _sum(self, account: str) -> tuple[float, float]:
        entry = self._accounts.get(account)
        if entry is None:
            return 0.0, 0.0
        window = self._window_seconds()
        oldest = int(self._clock() * _BUCKETS / window) - _BUCKETS
        while entry.buckets and entry.buckets[0][0] <= oldest:
            entry.buckets.popleft()
        if not entry.buckets:
            del self._accounts[account]
            return 0.0, 0.0
        return (
            sum(each[1] for each in entry.buckets),
            sum(each[2] for each in entry.buckets),
        )
