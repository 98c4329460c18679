"""Ways to estimate what a plain server manages, for `bench.servers`.

Each is a class with the methods of `capacity.estimates.ServerEstimate`.
"""

import typing

from amaranthslip.capacity import estimates
from amaranthslip.capacity import slowdowns

SLOTS = 8


class Fewest:
    """The way of today: fewest requests in progress, no limit but slots."""

    __slots__ = ('limit', 'estimate')

    def __init__(self) -> None:
        self.limit = float(SLOTS)
        # Time of recent answers, relative to the usual.
        self.estimate = 1.0

    def note_load(self, load: estimates.ReportedLoad, now: float) -> None:
        """Ignore a report."""

    def note_end(
        self, *, running: int, seconds: float, usual_seconds: float, now: float
    ) -> None:
        """Ignore an answer."""

    def read_limit(self) -> int:
        """Return the limit."""
        return max(1, int(self.limit))

    def expect_seconds(
        self, running: int, usual_seconds: float, now: float
    ) -> float:
        """Return a value that orders servers by requests in progress."""
        return usual_seconds * self.estimate * (1.0 + running / SLOTS)


class Gradient(Fewest):
    """The limit follows the ratio of the usual to the observed time."""

    __slots__ = ()

    def note_end(
        self, *, running: int, seconds: float, usual_seconds: float, now: float
    ) -> None:
        """Move the limit by the gradient of the latency."""
        ratio = seconds / max(usual_seconds, 1e-6)
        self.estimate += 0.1 * (min(ratio, 3 * self.estimate) - self.estimate)
        gradient = min(1.0, max(0.5, 1.2 / self.estimate))
        aim = self.limit * gradient + 0.5
        self.limit += 0.1 * (aim - self.limit)
        self.limit = min(max(self.limit, 1.0), float(SLOTS))


class Additive(Fewest):
    """Additive increase, multiplicative decrease by late answers."""

    __slots__ = ('_lowered_at',)

    def __init__(self) -> None:
        super().__init__()
        self._lowered_at = 0.0

    def note_end(
        self, *, running: int, seconds: float, usual_seconds: float, now: float
    ) -> None:
        """Lower the limit after a slow mean, else raise it."""
        ratio = seconds / max(usual_seconds, 1e-6)
        self.estimate += 0.1 * (min(ratio, 3 * self.estimate) - self.estimate)
        if self.estimate < 1.4:
            if running >= int(self.limit):
                self.limit = min(self.limit + 0.2, float(SLOTS))
        elif now - self._lowered_at > 0.5:
            self._lowered_at = now
            self.limit = max(1.0, 0.7 * min(self.limit, running))


class Curve(estimates.ServerEstimate):
    """The fitted curve, without the reported slowdown."""

    __slots__ = ()

    def note_load(self, load: estimates.ReportedLoad, now: float) -> None:
        """Ignore a report."""


class Reported(Fewest):
    """The expected time from the reported slowdown, taken as it is."""

    __slots__ = ('_slowdown',)

    def __init__(self) -> None:
        super().__init__()
        self._slowdown = 1.0

    def note_load(self, load: estimates.ReportedLoad, now: float) -> None:
        """Use the report."""
        self._slowdown = load.slowdown or 1.0

    def expect_seconds(
        self, running: int, usual_seconds: float, now: float
    ) -> float:
        """Return the time that the report gives."""
        return usual_seconds * self._slowdown * (1.0 + running / SLOTS)


WAYS: dict[str, typing.Callable[[slowdowns.Confirmations], typing.Any]] = {
    'fewest': lambda shared: Fewest(),
    'gradient': lambda shared: Gradient(),
    'additive': lambda shared: Additive(),
    'reported': lambda shared: Reported(),
    'curve': lambda shared: Curve(SLOTS),
    'estimate': lambda shared: estimates.ServerEstimate(
        SLOTS, confirmations=shared
    ),
}
