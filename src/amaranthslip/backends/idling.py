"""Idling: notices a connection on which nothing comes any longer."""

import gevent
import greenlet

# Looks in one idle time: it is noticed at most a quarter of it too late.
_LOOKS = 4


class Idle(Exception):
    """Nothing came for the whole idle time."""


class IdleWatch:
    """Throws Idle into a greenlet that waits too long for bytes.

    A socket's own timeout starts and stops a timer for each receive, which
    took a tenth of a streamed chunk's processor time; this takes one timer
    for the whole answer.

    Parameters
    ----------
    seconds : float
        The idle time.
    """

    __slots__ = ('_timer', '_greenlet', '_looks', 'waiting')

    def __init__(self, seconds: float) -> None:
        self._greenlet = greenlet.getcurrent()
        self._looks = 0
        # Set by the reader around each receive. A wait for a slow caller
        # to read is not the backend server's silence.
        self.waiting = False
        interval = seconds / _LOOKS
        loop = gevent.get_hub().loop
        self._timer = loop.timer(interval, interval)
        self._timer.start(self._look)

    def note(self) -> None:
        """Take note that bytes came."""
        self._looks = 0

    def close(self) -> None:
        """Stop watching."""
        self._timer.stop()
        self._timer.close()

    def _look(self) -> None:
        # Runs in the hub, so the greenlet is not running.
        if not self.waiting:
            self._looks = 0
            return
        self._looks += 1
        if self._looks > _LOOKS:
            self._looks = 0
            self._greenlet.throw(Idle())
