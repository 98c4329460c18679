"""Pressure: how far this instance's loop is behind its work."""

import contextlib
import logging
import time
import typing

import gevent

_LOG = logging.getLogger(__name__)

# Seconds between looks at the clock. A look costs some twenty microseconds.
_TICK_SECONDS = 0.05
# What one look counts for in the mean, of one: half a second to follow.
_GAIN = 0.1
# The mean, in seconds, from which on an instance wants no new connections,
# and below which it takes them again. Half of what it may be behind; a calm
# instance's is under a hundredth.
_HOT_SECONDS = 0.04
_COOL_SECONDS = 0.01


class Pressure:
    """Measures by how much the loop comes late to what is due.

    An instance that gets more than its part of a core carries reads requests
    later and later, while they wait where it does not see them. What it has
    accepted is then sent on after its caller has left, or to a server that
    has gone meanwhile.

    Parameters
    ----------
    clock : callable
        Seconds that only grow.
    """

    __slots__ = ('hot', '_clock', '_due', '_lag', '_mean', '_exits')

    def __init__(
        self, *, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        # Whether new connections should go to other instances: those that
        # are open go on bringing more than there is time for.
        self.hot = False
        self._clock = clock
        self._due = float('inf')
        self._lag = 0.0
        self._mean = 0.0
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Begin to measure."""
        self._due = self._clock() + _TICK_SECONDS
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop measuring."""
        self._exits.close()
        self._due = float('inf')

    def read_lag(self) -> float:
        """Return the seconds by which the loop is behind, 0 or more."""
        # A look that is overdue is late by that much already.
        return max(self._lag, self._clock() - self._due, 0.0)

    def look(self) -> None:
        """Compare the time with the one at which this look was due."""
        now = self._clock()
        self._lag = max(0.0, now - self._due)
        self._due = now + _TICK_SECONDS
        self._mean += _GAIN * (self._lag - self._mean)
        limit = _COOL_SECONDS if self.hot else _HOT_SECONDS
        if self.hot != (self._mean > limit):
            self.hot = not self.hot
            _LOG.info(
                'instance_hot' if self.hot else 'instance_cool',
                extra={'behind_ms': int(1000 * self._mean)},
            )

    def _run(self) -> None:
        while True:
            gevent.sleep(_TICK_SECONDS)
            self.look()
