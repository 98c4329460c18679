"""Demand: tokens that each client account requested and got in a window.

Counts age over the window (`shares.aging`).

Each instance counts its own requests. The aggregating instance adds up the
windows that all instances report (`shares.fleet_windows`) and answers with the
standing of the fleet: the max-min level, and what each account was granted.
Tokens are those of `PlacementRequest.tokens`.
"""

import collections
import time
import typing

from amaranthslip.shares import aging
from amaranthslip.shares import fleet_windows

# Positions of an account's counts.
_ASKED, _GRANTED = range(2)
# Seconds for which a computed level is reused: computing it sorts hundreds of
# accounts, and it changes little in a twentieth of a second.
_LEVEL_CACHE_SECONDS = 0.05
# Ratio of requested to granted tokens up to which there is no contention and
# no account is over its share: some requests of a window are always requested
# and not yet granted.
_CONTENTION_RATIO = 1.15
# Maximum number of reports without an answer whose answers are still used.
_MAX_UNANSWERED_REPORTS = 4
_NO_TOKENS = fleet_windows.TokenTotals()


class OwnReport:
    """This instance's window at one time, to be reported.

    `number` identifies the report, `totals` are by client account, and
    `servers` are those that the instance keeps.
    """

    __slots__ = ('number', 'totals', 'servers')

    def __init__(
        self,
        number: int,
        totals: dict[str, fleet_windows.TokenTotals],
        servers: fleet_windows.ServerTotals,
    ) -> None:
        self.number = number
        self.totals = totals
        self.servers = servers


class _LaterCounts:
    """What this instance counted after a report, by client account."""

    __slots__ = ('reported_at', 'totals')

    def __init__(self, reported_at: float) -> None:
        self.reported_at = reported_at
        self.totals: dict[str, fleet_windows.TokenTotals] = {}


class _Standing:
    """The fleet's level and totals, and what this instance counted since."""

    __slots__ = ('level', 'totals', 'later', 'expires_at')

    def __init__(
        self,
        *,
        level: float,
        totals: typing.Mapping[str, fleet_windows.TokenTotals],
        later: _LaterCounts,
        expires_at: float,
    ) -> None:
        self.level = level
        self.totals = totals
        self.later = later
        self.expires_at = expires_at


class ShareRatios:
    """Ratios of an account's tokens in a window to its max-min fair share.

    `granted_ratio` is the ratio of granted tokens, `asked_ratio` that of
    requested tokens. `level` is the fair share in tokens, infinite without
    contention. `age_seconds` is the time since the fleet's counts were asked
    for: 0 if this instance adds them up, infinite if it knows its own alone.
    """

    __slots__ = ('granted_ratio', 'asked_ratio', 'level', 'age_seconds')

    def __init__(
        self,
        granted_ratio: float = 0.0,
        asked_ratio: float = 0.0,
        *,
        level: float = float('inf'),
        age_seconds: float = float('inf'),
    ) -> None:
        self.granted_ratio = granted_ratio
        self.asked_ratio = asked_ratio
        self.level = level
        self.age_seconds = age_seconds


class FleetDemand:
    """What a max-min level was computed from, in tokens of the window.

    `totals` are those of each client account, `busy` is the fraction of the
    time for which servers were busy.
    """

    __slots__ = ('level', 'asked', 'granted', 'busy', 'totals')

    def __init__(
        self,
        *,
        level: float,
        asked: float,
        granted: float,
        busy: float,
        totals: typing.Mapping[str, fleet_windows.TokenTotals],
    ) -> None:
        self.level = level
        self.asked = asked
        self.granted = granted
        self.busy = busy
        self.totals = totals


class Demand:
    """Requested and granted tokens by client account, in an aging window.

    Parameters
    ----------
    window_seconds : callable
        Returns the length of the window in seconds.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        'reported',
        '_window_seconds',
        '_clock',
        '_accounts',
        '_servers',
        '_fleet_demand',
        '_level_until',
        '_last_number',
        '_unanswered',
        '_standing',
    )

    def __init__(
        self,
        window_seconds: typing.Callable[[], float],
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._window_seconds = window_seconds
        self._clock = clock
        self._accounts: dict[str, aging.AgingCounts] = {}
        # Samples of the servers that this instance keeps: all, and busy ones.
        self._servers = aging.AgingCounts(2)
        # What other instances reported, while this one aggregates the fleet.
        self.reported = fleet_windows.FleetWindows(window_seconds, clock)
        self._fleet_demand = self._compute_fleet_demand()
        self._level_until = float('-inf')
        self._last_number = 0
        # By the number of the report.
        self._unanswered: collections.OrderedDict[int, _LaterCounts] = (
            collections.OrderedDict()
        )
        self._standing: _Standing | None = None

    def read_clock(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock()

    def note_requested(self, account: str, tokens: float) -> None:
        """Count the tokens of a request received here, served or not."""
        self._count(account, _ASKED, tokens)
        for totals in self._list_later_totals(account):
            totals.asked += tokens

    def note_granted(self, account: str, tokens: float) -> None:
        """Count the tokens of a request that this instance sent."""
        self._count(account, _GRANTED, tokens)
        for totals in self._list_later_totals(account):
            totals.granted += tokens

    def note_servers(self, count: int, busy: int) -> None:
        """Count a sample of the servers that this instance keeps.

        Parameters
        ----------
        count, busy : int
            All servers that may get requests, and those that are at work on
            as much as they can.
        """
        position = self._read_position()
        self._servers.add(position, 0, count)
        self._servers.add(position, 1, busy)

    def read_servers(self) -> fleet_windows.ServerTotals:
        """Return the samples of all servers that are known."""
        own = self._sum_servers()
        others = self.reported.servers
        return fleet_windows.ServerTotals(
            own.count + others.count, own.busy + others.busy
        )

    def read_share_ratios(self, account: str) -> ShareRatios:
        """Return an account's ratios to its max-min fair share.

        Parameters
        ----------
        account : str
            Name of the client account.
        """
        standing = self._standing
        if standing is None or self._clock() >= standing.expires_at:
            fleet = self.read_fleet_demand()
            totals = self.read_totals(account)
            return ShareRatios(
                totals.granted / fleet.level,
                totals.asked / fleet.level,
                level=fleet.level,
                age_seconds=(
                    0.0 if self.reported.count_instances() else float('inf')
                ),
            )
        # An account that is not listed was granted little, or nothing.
        known = standing.totals.get(account, _NO_TOKENS)
        later = standing.later.totals.get(account, _NO_TOKENS)
        level = standing.level
        return ShareRatios(
            (known.granted + later.granted) / level,
            (known.asked + later.asked) / level,
            level=level,
            age_seconds=self._clock() - standing.later.reported_at,
        )

    def read_share_rate(self) -> float:
        """Return an account's fair share in tokens per second.

        Returns
        -------
        float
            Infinite without contention.
        """
        level = self.read_share_ratios('').level
        return level / (self._window_seconds() * aging.MEAN_WEIGHT)

    def read_fleet_demand(self) -> FleetDemand:
        """Return the max-min level and what it was computed from."""
        now = self._clock()
        if now >= self._level_until:
            self._fleet_demand = self._compute_fleet_demand()
            self._level_until = now + _LEVEL_CACHE_SECONDS
        return self._fleet_demand

    def read_totals(self, account: str) -> fleet_windows.TokenTotals:
        """Return an account's totals in the window, of all known instances."""
        own = self._sum_window(account)
        others = self.reported.read(account)
        return fleet_windows.TokenTotals(
            own.asked + others.asked,
            own.granted + others.granted,
        )

    def build_report(self) -> OwnReport:
        """Return a report of this instance's window in whole tokens."""
        self._last_number += 1
        self._unanswered[self._last_number] = _LaterCounts(self._clock())
        if len(self._unanswered) > _MAX_UNANSWERED_REPORTS:
            self._unanswered.popitem(last=False)
        totals = {}
        for name in list(self._accounts):
            own = self._sum_window(name)
            if own.asked or own.granted:
                totals[name] = fleet_windows.TokenTotals(
                    round(own.asked), round(own.granted)
                )
        return OwnReport(self._last_number, totals, self._sum_servers())

    def set_fleet_level(
        self,
        level: float,
        totals: typing.Mapping[str, fleet_windows.TokenTotals],
        *,
        seconds: float,
        number: int | None = None,
    ) -> None:
        """Use the fleet's level and totals until they expire.

        Parameters
        ----------
        level : float
            See `ShareRatios`.
        totals : mapping of str to TokenTotals
            The accounts that were granted much, and some others.
        seconds : float
            Time from the report to the expiry.
        number : int or None
            Number of the report that was answered; None if the level is of
            this moment. An answer is ignored if a later one was used before.
        """
        now = self._clock()
        later: _LaterCounts | None = _LaterCounts(now)
        if number is not None:
            later = self._unanswered.pop(number, None)
            if later is None:
                return
            for older in [each for each in self._unanswered if each < number]:
                del self._unanswered[older]
        self._standing = _Standing(
            level=level,
            totals=totals,
            later=later,
            expires_at=later.reported_at + seconds,
        )

    def use_local_level(self) -> None:
        """Use this instance's counts: it aggregates those of the fleet."""
        self._standing = None

    def _list_later_totals(
        self, account: str
    ) -> typing.Iterator[fleet_windows.TokenTotals]:
        if self._standing is not None:
            yield _find_totals(self._standing.later, account)
        for each in self._unanswered.values():
            yield _find_totals(each, account)

    def _compute_fleet_demand(self) -> FleetDemand:
        """Return the demand of the window and its max-min level.

        What was granted is divided: an account that requests less than an even
        share gets all of it, and the remainder is divided evenly among the
        other accounts. Before anything was granted, no account has a limit.

        The level only scales what accounts are compared by. However low it is,
        no request is refused at a server that has room: refusals, which are
        not granted and come again, would otherwise bring about the next ones.
        """
        self.reported.drop_expired()
        # In a fixed order: the sums of floats depend on it.
        names = dict.fromkeys(
            [*self._accounts, *self.reported.list_accounts()]
        )
        totals = {name: self.read_totals(name) for name in names}
        sums = totals.values()
        asked = sum(each.asked for each in sums)
        granted = sum(each.granted for each in sums)
        level = float('inf')
        if granted > 0 and asked > _CONTENTION_RATIO * granted:
            level = compute_level((each.asked for each in sums), granted)
        return FleetDemand(
            level=level,
            asked=asked,
            granted=granted,
            busy=self.read_servers().busy_fraction,
            totals=totals,
        )

    def _read_position(self) -> float:
        return self._clock() * aging.BUCKETS / self._window_seconds()

    def _count(self, account: str, index: int, tokens: float) -> None:
        counts = self._accounts.get(account)
        if counts is None:
            counts = self._accounts[account] = aging.AgingCounts(2)
        counts.add(self._read_position(), index, tokens)

    def _sum_window(self, account: str) -> fleet_windows.TokenTotals:
        counts = self._accounts.get(account)
        if counts is None:
            return _NO_TOKENS
        sums = counts.sum(self._read_position())
        if not sums:
            del self._accounts[account]
            return _NO_TOKENS
        return fleet_windows.TokenTotals(*sums)

    def _sum_servers(self) -> fleet_windows.ServerTotals:
        sums = self._servers.sum(self._read_position())
        return fleet_windows.ServerTotals(*sums)


def _find_totals(
    later: _LaterCounts, account: str
) -> fleet_windows.TokenTotals:
    return later.totals.setdefault(account, fleet_windows.TokenTotals())


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
