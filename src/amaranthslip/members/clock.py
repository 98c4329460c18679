"""The clock that membership runs by; tests hand in a virtual one."""

import time

import gevent


class Clock:
    """Monotonic time, and sleep for one greenlet."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds from an arbitrary start; never set back."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run for at least this long."""
        gevent.sleep(seconds)
