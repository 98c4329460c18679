"""Freshness: until when the configuration in force is known to be newest."""

import time
import typing


def read_clock() -> float:
    """Return seconds that go on while the machine is suspended.

    The monotonic clock stands still meanwhile: a key that was revoked during
    ten seconds of suspension would pass as confirmed a moment ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """When the version in force was last known to be the newest.

    Parameters
    ----------
    clock : callable
        Seconds, counting suspensions.
    """

    __slots__ = ('_clock', '_confirmed')

    def __init__(
        self, *, clock: typing.Callable[[], float] = read_clock
    ) -> None:
        self._clock = clock
        self._confirmed = float('-inf')

    def read_clock(self) -> float:
        """Return the present time on the clock that is counted by."""
        return self._clock()

    def confirm(self, at: float) -> None:
        """Note that all changes up to this moment are in force here."""
        self._confirmed = max(self._confirmed, at)

    @property
    def confirmed(self) -> float:
        """The moment up to which all changes are known."""
        return self._confirmed

    @property
    def age(self) -> float:
        """Seconds since then; infinite before the first."""
        return self._clock() - self._confirmed
