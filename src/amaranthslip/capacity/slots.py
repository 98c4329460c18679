"""Slots of one backend server, as counted by the instance that owns it."""

import collections
import math
import time
import typing

from amaranthslip.capacity import limits

# Number of consecutive load reports that must show external load before this
# owner reduces its allowance. Reports lag, so a single report may include
# requests that this owner has granted or ended in the meantime.
_EXTERNAL_REPORTS = 3
_PEAK_WINDOW_SECONDS = 5.0


class Holding:
    """One slot in use.

    Attributes
    ----------
    id : int
        Identifies the holding.
    entry : str
        Name of the instance that sends the request.
    service : str
        Service that the request is for.
    client_account : str
        Client account that the request belongs to.
    server : str
        Name of the backend server.
    estimate : float
        Estimated cost of the request.
    granted : float
        Time in seconds at which the slot was granted.
    """

    __slots__ = (
        'id',
        'entry',
        'service',
        'client_account',
        'server',
        'estimate',
        'granted',
    )

    def __init__(
        self,
        *,
        id: int,
        entry: str,
        service: str,
        client_account: str,
        server: str,
        estimate: float,
        granted: float,
    ) -> None:
        self.id = id
        self.entry = entry
        self.service = service
        self.client_account = client_account
        self.server = server
        self.estimate = estimate
        self.granted = granted


class Slots:
    """Slots of one backend server in use, and the number allowed.

    During a change of ownership or a partition, two instances may both act as
    the owner of the server. Each of them sees the other's requests in the load
    reports of the server and reduces its own allowance by their number, but
    never below its fair part. With `fixed`, the allowance is always the fair
    part, even if the other owner leaves its part unused.
    """

    __slots__ = (
        'server',
        'limit',
        'holdings',
        '_clock',
        '_peaks',
        '_external_loads',
        '_fixed',
        'grants_from',
    )

    def __init__(
        self,
        server: str,
        slots: int,
        *,
        grants_from: float = 0.0,
        fixed: bool = False,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.server = server
        self.limit = limits.Limit(slots)
        self.holdings: dict[int, Holding] = {}
        self.grants_from = grants_from
        self._fixed = fixed
        self._clock = clock
        self._peaks: collections.deque = collections.deque()
        self._external_loads: collections.deque = collections.deque(
            maxlen=_EXTERNAL_REPORTS
        )

    def count_free(self, fraction: float) -> int:
        """Return how many more requests may be granted on the server now.

        Parameters
        ----------
        fraction : float
            Guaranteed fraction of the slots: that of this side of a
            partition, 1.0 if all members are reachable; with `fixed`, that
            of this instance alone.
        """
        if self._clock() < self.grants_from:
            return 0
        return max(0, self.get_allowance(fraction) - len(self.holdings))

    def get_allowance(self, fraction: float) -> int:
        """Return how many requests this owner may have in progress."""
        limit = self.limit.value
        fair_part = max(1, math.ceil(limit * fraction))
        if self._fixed:
            return fair_part
        return max(fair_part, limit - self.count_external())

    def count_external(self) -> int:
        """Return how many recent requests came from other owners.

        This is the minimum over the last _EXTERNAL_REPORTS reports.
        """
        if len(self._external_loads) < _EXTERNAL_REPORTS:
            return 0
        return max(0, min(self._external_loads))

    def hold(self, holding: Holding) -> None:
        """Mark one slot as used."""
        self.holdings[holding.id] = holding
        self._note_peak()

    def free(self, id: int) -> Holding | None:
        """Mark one slot as free; return its holding, or None if unknown."""
        holding = self.holdings.pop(id, None)
        self._note_peak()
        return holding

    def observe_load(self, *, running: int, waiting: int) -> None:
        """Update external load and limit from one load report.

        The report may be delayed: it is compared with the recent peak of the
        slots in use, not with their present number.
        """
        external = running + waiting - self._recent_peak()
        self._external_loads.append(external)
        if self.count_external() == 0:
            self.limit.observe_load(running=running, waiting=waiting)

    def _note_peak(self) -> None:
        now = self._clock()
        self._peaks.append((now, len(self.holdings)))
        while self._peaks[0][0] < now - _PEAK_WINDOW_SECONDS:
            self._peaks.popleft()

    def _recent_peak(self) -> int:
        since = self._clock() - _PEAK_WINDOW_SECONDS
        recent = [held for at, held in self._peaks if at >= since]
        return max([len(self.holdings), *recent])
