"""Pressure: how far this instance's loop is behind its work."""

import contextlib
import logging
import time
import typing

import gevent

from amaranthslip import settings as settings_

_LOG = logging.getLogger(__name__)

# Seconds between looks at the clock. A look costs some twenty microseconds.
_TICK_SECONDS = 0.05
# What one look counts for in the mean, of one: half a second to follow.
_GAIN = 0.1
# Seconds that one look counts for in it at most: one long turn of the loop
# tells of no load.
_MOST_LOOK_SECONDS = 0.1
# The mean, in seconds, from which on an instance wants no new connections,
# and below which it takes them again: well before requests are refused.
_HOT_SECONDS = 0.02
_COOL_SECONDS = 0.005
# Seconds after which the platform has turned to other instances: it asks once
# a second, and believes the second answer.
_TURNED_SECONDS = 2.5
# How long events are held for each second that the loop is behind.
_HOLD_FACTOR = 3.0
# The part of what the operator allows an event to take through an instance
# for which it is held at most.
_HOLD_PART = 0.4


class Pressure:
    """Measures by how much the loop comes late to what is due.

    An instance that gets more than its part of a core carries reads requests
    later and later, while they wait where it does not see them. What it has
    accepted is then sent on after its caller has left, or to a server that
    has gone meanwhile.

    Parameters
    ----------
    settings : Settings
        `bounds.relay_milliseconds` is used.
    clock : callable
        Seconds that only grow.
    """

    __slots__ = (
        'hot',
        '_settings',
        '_clock',
        '_due',
        '_lag',
        '_mean',
        '_since',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        # Whether new connections should go to other instances: those that
        # are open go on bringing more than there is time for.
        self.hot = False
        self._settings = settings
        self._clock = clock
        self._due = float('inf')
        self._lag = 0.0
        self._mean = 0.0
        # When it became hot.
        self._since = 0.0
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

    @property
    def sheds(self) -> bool:
        """Whether open connections should be closed after their answers.

        Callers that keep theirs open bring all they have to one instance.
        Closed before the platform has turned, they would come back here.
        """
        return self.hot and self._clock() - self._since >= _TURNED_SECONDS

    @property
    def hold_seconds(self) -> float:
        """Seconds for which a stream's next events are gathered.

        Each read and write costs as much for one event as for several. An
        instance that falls behind reads all that came meanwhile at once, and
        so gets time back before its callers notice.
        """
        most = _HOLD_PART * self._settings.bounds.relay_milliseconds / 1000
        return min(most, _HOLD_FACTOR * self._mean)

    def look(self) -> None:
        """Compare the time with the one at which this look was due."""
        now = self._clock()
        self._lag = max(0.0, now - self._due)
        self._due = now + _TICK_SECONDS
        counted = min(self._lag, _MOST_LOOK_SECONDS)
        self._mean += _GAIN * (counted - self._mean)
        limit = _COOL_SECONDS if self.hot else _HOT_SECONDS
        if self.hot != (self._mean > limit):
            self.hot = not self.hot
            self._since = now
            _LOG.info(
                'instance_hot' if self.hot else 'instance_cool',
                extra={'behind_ms': int(1000 * self._mean)},
            )

    def _run(self) -> None:
        while True:
            gevent.sleep(_TICK_SECONDS)
            self.look()
