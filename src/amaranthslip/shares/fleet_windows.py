"""Fleet windows: the demand windows that other instances reported."""

import typing


class TokenTotals:
    """Requested and granted tokens of one account."""

    __slots__ = ('asked', 'granted')

    def __init__(self, asked: float = 0.0, granted: float = 0.0) -> None:
        self.asked = asked
        self.granted = granted


class ServerTotals:
    """Samples of servers in a window: of all, and of those that were busy."""

    __slots__ = ('count', 'busy')

    def __init__(self, count: float = 0.0, busy: float = 0.0) -> None:
        self.count = count
        self.busy = busy

    @property
    def busy_fraction(self) -> float:
        """The fraction of the time that servers were busy; 1 if unknown."""
        return self.busy / self.count if self.count > 0 else 1.0


class _ReportedWindow:
    """The latest window that an instance reported, and when it arrived."""

    __slots__ = ('totals', 'servers', 'received_at')

    def __init__(
        self,
        totals: typing.Mapping[str, TokenTotals],
        servers: ServerTotals,
        received_at: float,
    ) -> None:
        self.totals = totals
        self.servers = servers
        self.received_at = received_at


class FleetWindows:
    """Sums the windows of other instances by client account.

    A report replaces the one before from the same instance, so that a lost
    report, or a restart on either side, is made good by the next. A window
    that is older than its own length describes nothing of the present one and
    is left out.

    Parameters
    ----------
    window_seconds : callable
        Returns the length of the window in seconds.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = ('servers', '_window_seconds', '_clock', '_windows', '_sums')

    def __init__(
        self,
        window_seconds: typing.Callable[[], float],
        clock: typing.Callable[[], float],
    ) -> None:
        self._window_seconds = window_seconds
        self._clock = clock
        self._windows: dict[str, _ReportedWindow] = {}
        self._sums: dict[str, TokenTotals] = {}
        # Sum over all instances.
        self.servers = ServerTotals()

    def count_instances(self) -> int:
        """Return the number of instances whose windows are known."""
        self.drop_expired()
        return len(self._windows)

    def put(
        self,
        instance: str,
        totals: typing.Mapping[str, TokenTotals],
        servers: ServerTotals = ServerTotals(),
    ) -> None:
        """Replace an instance's window.

        Parameters
        ----------
        instance : str
            Name of the reporting instance.
        totals : mapping of str to TokenTotals
            By client account. Whole numbers of tokens: they are subtracted
            again later, and sums of fractions would drift.
        servers : ServerTotals
            Samples of the servers that the instance keeps, in whole numbers.
        """
        self.remove(instance)
        self._windows[instance] = _ReportedWindow(
            totals, servers, self._clock()
        )
        self._add(self._windows[instance], 1)

    def remove(self, instance: str) -> None:
        """Leave out an instance's window, if there is one."""
        window = self._windows.pop(instance, None)
        if window is not None:
            self._add(window, -1)

    def drop_expired(self) -> None:
        """Leave out the windows that are older than their length."""
        oldest = self._clock() - self._window_seconds()
        while self._windows:
            # The windows are in the order of their arrival.
            name, window = next(iter(self._windows.items()))
            if window.received_at > oldest:
                return
            self.remove(name)

    def read(self, account: str) -> TokenTotals:
        """Return an account's sum."""
        return self._sums.get(account) or TokenTotals()

    def list_accounts(self) -> list[str]:
        """Return the accounts with tokens in any window."""
        return list(self._sums)

    def _add(self, window: _ReportedWindow, sign: int) -> None:
        self.servers.count += sign * window.servers.count
        self.servers.busy += sign * window.servers.busy
        for account, each in window.totals.items():
            total = self._sums.setdefault(account, TokenTotals())
            total.asked += sign * each.asked
            total.granted += sign * each.granted
            if total.asked <= 0 and total.granted <= 0:
                del self._sums[account]
