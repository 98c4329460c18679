"""Idle timeout for connections that receive no more data."""

import gevent
import greenlet

# Timer checks per idle timeout. An idle connection is detected at most a
# quarter of the timeout too late.
_CHECKS_PER_TIMEOUT = 4


class IdleTimeout(Exception):
    """No data was received within the idle timeout."""


class IdleWatch:
    """Throws IdleTimeout into a greenlet that waits too long for data.

    A socket's own timeout starts and stops a timer for each receive, which
    took a tenth of the processor time of a streamed chunk. This class uses
    one timer for the whole response. It watches the greenlet that creates it.

    Parameters
    ----------
    seconds : float
        The idle timeout.
    """

    __slots__ = ('_timer', '_greenlet', '_idle_checks', 'waiting')

    def __init__(self, seconds: float) -> None:
        self._greenlet = greenlet.getcurrent()
        self._idle_checks = 0
        # Set by the reader around each receive, so that time spent waiting
        # for a slow caller does not count as idle time of the backend
        # server.
        self.waiting = False
        interval = seconds / _CHECKS_PER_TIMEOUT
        loop = gevent.get_hub().loop
        self._timer = loop.timer(interval, interval)
        self._timer.start(self._check)

    def record_activity(self) -> None:
        """Restart the idle timeout, because data was received."""
        self._idle_checks = 0

    def close(self) -> None:
        """Stop the timer."""
        self._timer.stop()
        self._timer.close()

    def _check(self) -> None:
        # The timer callback runs in the hub, so the watched greenlet is not
        # running and can be thrown into.
        if not self.waiting:
            self._idle_checks = 0
            return
        self._idle_checks += 1
        if self._idle_checks > _CHECKS_PER_TIMEOUT:
            self._idle_checks = 0
            self._greenlet.throw(IdleTimeout())
