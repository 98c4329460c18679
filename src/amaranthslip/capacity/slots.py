"""The slots of one backend server, as its present owner counts them."""

import collections
import math
import time
import typing

from amaranthslip.capacity import limits

# The load of others must show in three reports running before slots are
# given up for it: a report lags, so one alone shows requests that this
# owner granted or ended meanwhile.
_EXTERNAL_REPORTS = 3
_KNOWN_SECONDS = 5.0


class Holding:
    """One slot in use: who sends to it, for whom, and at what estimate."""

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
    """Which slots of one backend server are in use, and how many may be.

    Two instances may both believe that they own the server. Each then sees
    the other's requests in the server's load reports and gives up as many
    slots, but never its fair part of them. With `fixed` it uses its fair
    part only, whether the others use theirs or not.
    """

    __slots__ = (
        'server',
        'limit',
        'holdings',
        '_clock',
        '_known_peaks',
        '_external',
        '_fixed',
        'open_from',
    )

    def __init__(
        self,
        server: str,
        slots: int,
        *,
        open_from: float = 0.0,
        fixed: bool = False,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.server = server
        self.limit = limits.Limit(slots)
        self.holdings: dict[int, Holding] = {}
        self.open_from = open_from
        self._fixed = fixed
        self._clock = clock
        self._known_peaks: collections.deque = collections.deque()
        self._external: collections.deque = collections.deque(
            maxlen=_EXTERNAL_REPORTS
        )

    def count_free(self, fraction: float) -> int:
        """Return how many more requests the server may get now.

        Parameters
        ----------
        fraction : float
            This side's part of the fleet, 1.0 when all members are heard.
        """
        if self._clock() < self.open_from:
            return 0
        return max(0, self.allowance(fraction) - len(self.holdings))

    def allowance(self, fraction: float) -> int:
        """Return how many requests this owner may have in progress."""
        limit = self.limit.value
        fair_part = max(1, math.ceil(limit * fraction))
        if self._fixed:
            return fair_part
        return max(fair_part, limit - self.count_external())

    def count_external(self) -> int:
        """Return how many requests others have had there of late."""
        if len(self._external) < _EXTERNAL_REPORTS:
            return 0
        return max(0, min(self._external))

    def hold(self, holding: Holding) -> None:
        """Count one slot as used."""
        self.holdings[holding.id] = holding
        self._note_peak()

    def free(self, id: int) -> Holding | None:
        """Count one slot as free again; nothing if it was not held."""
        holding = self.holdings.pop(id, None)
        self._note_peak()
        return holding

    def observe_load(self, *, running: int, waiting: int) -> None:
        """Take one load report, however late it comes."""
        external = running + waiting - self._recent_peak()
        self._external.append(external)
        if self.count_external() == 0:
            self.limit.observe_load(running=running, waiting=waiting)

    def _note_peak(self) -> None:
        now = self._clock()
        self._known_peaks.append((now, len(self.holdings)))
        while self._known_peaks[0][0] < now - _KNOWN_SECONDS:
            self._known_peaks.popleft()

    def _recent_peak(self) -> int:
        since = self._clock() - _KNOWN_SECONDS
        recent = [held for at, held in self._known_peaks if at >= since]
        return max([len(self.holdings), *recent])
