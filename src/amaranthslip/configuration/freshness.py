"""Freshness: until when the configuration in force is known to be newest."""

import time
import typing


def read_clock() -> float:
    """Return seconds of a clock that also counts while the host is suspended.

    The monotonic clock stops during suspension: after ten seconds of
    suspension, a key revoked in that time would still pass as confirmed a
    moment ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """When the version in force was last known to be the newest.

    Parameters
    ----------
    clock : callable
        Seconds, including the time that the host is suspended.

    Attributes
    ----------
    reaches_store : bool
        Whether the last call to the store was answered. If so, a high age
        comes from this instance or its sources, and not from the store.
    """

    __slots__ = ('reaches_store', '_clock', '_confirmed')

    def __init__(
        self, *, clock: typing.Callable[[], float] = read_clock
    ) -> None:
        self.reaches_store = True
        self._clock = clock
        self._confirmed = float('-inf')

    def read_clock(self) -> float:
        """Return the present time of the clock that ages refer to."""
        return self._clock()

    def confirm(self, timestamp: float) -> None:
        """Record that all changes up to a timestamp are in force here.

        Timestamps older than the last confirmed one have no effect.
        """
        self._confirmed = max(self._confirmed, timestamp)

    @property
    def confirmed(self) -> float:
        """The time up to which all changes are known to be in force."""
        return self._confirmed

    @property
    def age(self) -> float:
        """Seconds since `confirmed`; infinite before the first `confirm`."""
        return self._clock() - self.confirmed
