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
    """

    __slots__ = ('_clock', '_confirmed', '_failed_at', '_restored_at')

    def __init__(
        self, *, clock: typing.Callable[[], float] = read_clock
    ) -> None:
        self._clock = clock
        self._confirmed = float('-inf')
        self._failed_at = float('-inf')
        self._restored_at = float('-inf')

    def read_clock(self) -> float:
        """Return the present time of the clock that ages refer to."""
        return self._clock()

    def confirm(self, timestamp: float) -> None:
        """Record that all changes up to a timestamp are in force here.

        Timestamps older than the last confirmed one have no effect.
        """
        self._confirmed = max(self._confirmed, timestamp)

    def record_store_failure(self) -> None:
        """Record that a call to the store failed."""
        self._failed_at = self._clock()

    def record_restore(self) -> None:
        """Record that the store was found restored from an older copy."""
        self._restored_at = self._clock()

    @property
    def seconds_since_restore(self) -> float:
        """Seconds since `record_restore`; infinite before its first call."""
        return self._clock() - self._restored_at

    @property
    def store_failed(self) -> bool:
        """Whether a call to the store has failed since `confirmed`.

        If not, a high age comes from this instance or its sources.
        """
        return self._failed_at > self.confirmed

    @property
    def confirmed(self) -> float:
        """The time up to which all changes are known to be in force."""
        return self._confirmed

    @property
    def age(self) -> float:
        """Seconds since `confirmed`; infinite before the first `confirm`."""
        return self._clock() - self.confirmed
