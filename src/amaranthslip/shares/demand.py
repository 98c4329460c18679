"""Demand: tokens that each client account requested and got in a window.

Counts cover the whole fleet. Tokens are weighted as in the engines'
throughput: a prompt token that must be read counts once, a generated token
twice.
"""

import collections
import time
import typing

# Buckets of the window: the oldest eighth leaves it at once.
_BUCKETS = 8
# Seconds for which a computed level is reused: computing it sorts hundreds of
# accounts, and it changes little in a twentieth of a second.
_LEVEL_CACHE_SECONDS = 0.05
# Weight of a generated token; a prompt token that must be read weighs 1.
GENERATED_TOKEN_WEIGHT = 2.0
# An account is backlogged if it is granted less than this fraction of what it
# requests.
_BACKLOGGED_FRACTION = 0.6
# Tokens that a backlogged account requests at least for others to leave room
# to it, as a fraction of the level: of less, a few large requests decide.
_MIN_ASKED_FRACTION = 0.5
# Ratio of the tokens of the account that is granted most to those of the
# backlogged account that is granted least, above which the former leaves room.
# Shares count as unfair from a ratio of 2 on; reports arrive with a delay.
_MAX_GRANTED_SPREAD = 1.7
# Ratio to the level up to which no account has to leave room: a lower one
# would shrink the granted tokens, and the level with them.
_MIN_CAP = 1.2
# Ratio of requested to granted tokens up to which there is no contention and
# no account is over its share: some requests of a window are always requested
# and not yet granted.
_CONTENTION_RATIO = 1.15


class _AccountWindow:
    """One account's buckets, each of them [number, asked, granted]."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=_BUCKETS + 1
        )


class TokenTotals:
    """Requested and granted tokens of one account."""

    __slots__ = ('asked', 'granted')

    def __init__(self, asked: float = 0.0, granted: float = 0.0) -> None:
        self.asked = asked
        self.granted = granted


class _FleetTotals:
    """Fleet totals of a window, and this instance's totals at that time."""

    __slots__ = ('fleet', 'own', 'known_at')

    def __init__(
        self, fleet: TokenTotals, own: TokenTotals, known_at: float
    ) -> None:
        self.fleet = fleet
        self.known_at = known_at
        self.own = TokenTotals(own.asked, own.granted)


class ShareRatios:
    """Ratios of an account's tokens in a window to its max-min fair share.

    `granted_ratio` is the ratio of granted tokens, `asked_ratio` that of
    requested tokens. An account with an `asked_ratio` below 1 is entitled to
    all that it requests, any other account to a `granted_ratio` of 1. `level`
    is the fair share in tokens, infinite without contention, and `cap` the
    `granted_ratio` from which on an account has to leave room to others that
    are short. `age_seconds` is the time since the account's tokens were
    learnt: 0 for this instance's own counts, infinite if they are unknown.
    """

    __slots__ = ('granted_ratio', 'asked_ratio', 'level', 'cap', 'age_seconds')

    def __init__(
        self,
        granted_ratio: float = 0.0,
        asked_ratio: float = 0.0,
        *,
        level: float = float('inf'),
        cap: float = float('inf'),
        age_seconds: float = float('inf'),
    ) -> None:
        self.granted_ratio = granted_ratio
        self.asked_ratio = asked_ratio
        self.level = level
        self.cap = cap
        self.age_seconds = age_seconds

    @property
    def leaves_room(self) -> bool:
        """Whether the account leaves idle servers to other accounts."""
        return self.granted_ratio > self.cap


class FleetDemand:
    """What a max-min level was computed from, in tokens of the window."""

    __slots__ = ('level', 'cap', 'capacity', 'asked', 'granted', 'accounts')

    def __init__(
        self,
        *,
        level: float,
        cap: float,
        capacity: float,
        asked: float,
        granted: float,
        accounts: int,
    ) -> None:
        self.level = level
        self.cap = cap
        self.capacity = capacity
        self.asked = asked
        self.granted = granted
        self.accounts = accounts


class Demand:
    """Requested and granted tokens by client account, in a sliding window.

    Parameters
    ----------
    window_seconds : callable
        Returns the length of the window in seconds.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        'local_totals',
        '_window_seconds',
        '_clock',
        '_accounts',
        '_fleet_demand',
        '_level_until',
        '_fleet_level',
        '_fleet_cap',
        '_fleet_level_until',
        '_fleet_totals',
    )

    def __init__(
        self,
        window_seconds: typing.Callable[[], float],
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        # By client account: totals of this instance since the start of the
        # process, for reports to other instances.
        self.local_totals: dict[str, TokenTotals] = {}
        self._window_seconds = window_seconds
        self._clock = clock
        self._accounts: dict[str, _AccountWindow] = {}
        self._fleet_demand = self._compute_fleet_demand(0.0)
        self._level_until = float('-inf')
        self._fleet_level = float('inf')
        self._fleet_cap = float('inf')
        self._fleet_level_until = float('-inf')
        self._fleet_totals: dict[str, _FleetTotals] = {}

    def read_clock(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock()

    def note_requested(self, account: str, tokens: float) -> None:
        """Count the tokens of a request received here, served or not."""
        self.local_totals.setdefault(account, TokenTotals()).asked += tokens
        self._find_bucket(account)[1] += tokens

    def note_granted(self, account: str, tokens: float) -> None:
        """Count the tokens of a request that this instance sent."""
        self.local_totals.setdefault(account, TokenTotals()).granted += tokens
        self._find_bucket(account)[2] += tokens

    def add_remote(
        self, account: str, *, asked: float, granted: float
    ) -> None:
        """Count the requested and granted tokens of another instance."""
        bucket = self._find_bucket(account)
        bucket[1] += asked
        bucket[2] += granted

    def read_share_ratios(self, account: str, rate: float) -> ShareRatios:
        """Return an account's ratios to its max-min fair share.

        Parameters
        ----------
        account : str
            Name of the client account.
        rate : float
            Throughput of all engines in tokens per second, as configured by
            the operator.
        """
        if rate <= 0:
            return ShareRatios()
        if self._clock() >= self._fleet_level_until:
            fleet = self.read_fleet_demand(rate)
            asked, granted = self._sum_window(account)
            return ShareRatios(
                granted / fleet.level,
                asked / fleet.level,
                level=fleet.level,
                cap=fleet.cap,
                age_seconds=0.0,
            )
        known = self._fleet_totals.get(account)
        if known is None:
            return ShareRatios()
        # The fleet totals lack what this instance counted after they arrived.
        own, level = self.local_totals[account], self._fleet_level
        granted = known.fleet.granted + own.granted - known.own.granted
        asked = known.fleet.asked + own.asked - known.own.asked
        return ShareRatios(
            granted / level,
            asked / level,
            level=level,
            cap=self._fleet_cap,
            age_seconds=self._clock() - known.known_at,
        )

    def read_fleet_demand(self, rate: float) -> FleetDemand:
        """Return the max-min level and what it was computed from.

        Parameters
        ----------
        rate : float
            See `read_share_ratios`.
        """
        now = self._clock()
        if now >= self._level_until:
            nominal = rate * self._window_seconds()
            self._fleet_demand = self._compute_fleet_demand(nominal)
            self._level_until = now + _LEVEL_CACHE_SECONDS
        return self._fleet_demand

    def read_totals(self, account: str) -> TokenTotals:
        """Return an account's requested and granted tokens in the window."""
        return TokenTotals(*self._sum_window(account))

    def list_totals(self) -> dict[str, TokenTotals]:
        """Return the totals of all accounts that requested anything."""
        return {name: self.read_totals(name) for name in list(self._accounts)}

    def set_fleet_level(
        self,
        level: float,
        totals: dict[str, TokenTotals],
        *,
        seconds: float,
        cap: float = float('inf'),
    ) -> None:
        """Use the fleet's level and totals for a number of seconds."""
        self._fleet_level = level
        self._fleet_cap = cap
        self._fleet_level_until = self._clock() + seconds
        for account, fleet in totals.items():
            own = self.local_totals.get(account)
            if own is not None:
                self._fleet_totals[account] = _FleetTotals(
                    fleet, own, self._clock()
                )

    def use_local_level(self) -> None:
        """Use this instance's counts: it aggregates those of the fleet."""
        self._fleet_level_until = float('-inf')

    def _compute_fleet_demand(self, nominal: float) -> FleetDemand:
        """Return the demand of the window and its max-min level.

        An account that requests less than an even share gets all of it, and
        the remainder is divided evenly among the other accounts.

        The capacity that is divided is what was granted in the window, and at
        most the nominal tokens of the window. All accounts together may get
        far less than the nominal tokens. Measured against those, or a part of
        them, no account would reach its share, and the account that requests
        most would get most while others wait. Before anything was granted, no
        account has a limit.
        """
        sums = [self._sum_window(name) for name in list(self._accounts)]
        asked = [each[0] for each in sums]
        granted = sum(each[1] for each in sums)
        capacity = min(nominal, granted)
        contended = capacity > 0 and sum(asked) > _CONTENTION_RATIO * granted
        level = compute_level(asked, capacity) if contended else float('inf')
        return FleetDemand(
            level=level,
            cap=_compute_cap(sums, level),
            capacity=capacity,
            asked=sum(asked),
            granted=granted,
            accounts=len(asked),
        )

    def _find_bucket(self, account: str) -> list[float]:
        entry = self._accounts.get(account)
        if entry is None:
            entry = self._accounts[account] = _AccountWindow()
        number = int(self._clock() * _BUCKETS / self._window_seconds())
        if not entry.buckets or entry.buckets[-1][0] != number:
            entry.buckets.append([number, 0.0, 0.0])
        return entry.buckets[-1]

    def _sum_window(self, account: str) -> tuple[float, float]:
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


def compute_level(asked: typing.Iterable[float], capacity: float) -> float:
    """Return the max-min level of a capacity; no account is owed more.

    Parameters
    ----------
    asked : iterable of float
        Requested tokens of each account.
    capacity : float
        Tokens that are divided.

    Returns
    -------
    float
        Infinite if all accounts get what they request.
    """
    ascending = sorted(asked)
    for index, tokens in enumerate(ascending):
        even_share = capacity / (len(ascending) - index)
        if tokens > even_share:
            return even_share
        capacity -= tokens
    return float('inf')


def _compute_cap(
    sums: typing.Sequence[tuple[float, float]], level: float
) -> float:
    """Return the ratio to the level above which accounts leave idle servers.

    An account with more than that was granted far more than the least served
    one that waits, and its requests would take each server that falls idle.

    Parameters
    ----------
    sums : sequence of (float, float)
        Each account's requested and granted tokens.
    level : float
        The max-min level in tokens.

    Returns
    -------
    float
        Infinite if no account that requests much is backlogged.
    """
    least = min(
        (
            granted
            for asked, granted in sums
            if granted < _BACKLOGGED_FRACTION * asked
            and asked >= _MIN_ASKED_FRACTION * level
        ),
        default=float('inf'),
    )
    if least == float('inf'):
        return least
    return max(_MIN_CAP, _MAX_GRANTED_SPREAD * least / level)
