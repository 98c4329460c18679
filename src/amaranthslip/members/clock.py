"""Clock of the membership protocol; tests replace it by a virtual one."""

import time

import gevent


class Clock:
    """Monotonic time, and sleeping for one greenlet."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary start."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for at least this many seconds."""
        gevent.sleep(seconds)
