"""Measurement of event loop lag, to detect overload of this instance."""

import contextlib
import logging
import time
import typing

import gevent

from amaranthslip import settings as settings_

_LOG = logging.getLogger(__name__)

# Seconds between samples of the lag. A sample takes about 20 microseconds.
_SAMPLE_INTERVAL_SECONDS = 0.05
# Weight of one sample in the exponential moving average of the lag, which
# follows a change in about half a second.
_AVERAGE_WEIGHT = 0.1
# Maximum lag in seconds that one sample contributes to the average: a single
# long iteration of the loop does not indicate overload.
_MAX_SAMPLE_SECONDS = 0.1
# Average lag in seconds above which an instance is overloaded and reports not
# ready, and below which it has recovered. Far below the lag at which requests
# are refused, so that new connections go elsewhere before that.
_OVERLOAD_SECONDS = 0.02
_RECOVERY_SECONDS = 0.005
# Seconds after which the platform sends new connections to other instances: it
# probes readiness once a second and acts on the second answer.
_PLATFORM_REACTION_SECONDS = 2.5
# Seconds that events are held per second of average lag.
_HOLD_FACTOR = 3.0
# Maximum hold time, as a fraction of the time that the operator allows for
# relaying an event through an instance.
_MAX_HOLD_FRACTION = 0.4


class LagMonitor:
    """Measures how late the event loop runs its scheduled callbacks.

    An instance with more load than its share of a core can process reads
    requests with a growing delay, while they wait in socket buffers where it
    can't count them. Accepted requests are then forwarded after their caller
    has disconnected, or to a server that has left meanwhile.

    Parameters
    ----------
    settings : Settings
        `bounds.relay_milliseconds` is used.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    overloaded : bool
        Whether the instance is overloaded, so that new connections should go
        to other instances.
    """

    __slots__ = (
        'overloaded',
        '_settings',
        '_clock',
        '_due_at',
        '_lag',
        '_average_lag',
        '_hot_changed_at',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        # Only new connections can be directed to other instances; the open
        # ones continue to bring more requests than there is time for.
        self.overloaded = False
        self._settings = settings
        self._clock = clock
        self._due_at = float('inf')
        self._lag = 0.0
        self._average_lag = 0.0
        # Time of the last change of `overloaded`.
        self._hot_changed_at = 0.0
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Start measuring."""
        self._due_at = self._clock() + _SAMPLE_INTERVAL_SECONDS
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop measuring."""
        self._exits.close()
        self._due_at = float('inf')

    def read_lag(self) -> float:
        """Return the current lag of the event loop in seconds, 0 or more."""
        # An overdue sample counts with its delay so far.
        return max(self._lag, self._clock() - self._due_at, 0.0)

    @property
    def closes_connections(self) -> bool:
        """Whether open connections should be closed after their answers.

        A caller that keeps its connections open sends all its load to one
        instance. Connections are closed only after the platform has stopped
        sending new ones here; before that, the caller would reconnect to this
        instance.
        """
        return (
            self.overloaded
            and self._clock() - self._hot_changed_at
            >= _PLATFORM_REACTION_SECONDS
        )

    @property
    def hold_seconds(self) -> float:
        """Seconds for which a stream's next events are batched.

        A read or write takes as much processor time for one event as for
        several. Batching lets an instance that falls behind relay the events
        with fewer reads and writes, before the delay is noticeable to callers.
        """
        return min(self.max_hold_seconds, _HOLD_FACTOR * self._average_lag)

    @property
    def max_hold_seconds(self) -> float:
        """The longest time for which a stream's next events are batched."""
        return (
            _MAX_HOLD_FRACTION
            * self._settings.bounds.relay_milliseconds
            / 1000
        )

    def sample(self) -> None:
        """Measure the lag, from the time at which this sample was due."""
        now = self._clock()
        self._lag = max(0.0, now - self._due_at)
        self._due_at = now + _SAMPLE_INTERVAL_SECONDS
        counted_lag = min(self._lag, _MAX_SAMPLE_SECONDS)
        self._average_lag += _AVERAGE_WEIGHT * (
            counted_lag - self._average_lag
        )
        threshold = _RECOVERY_SECONDS if self.overloaded else _OVERLOAD_SECONDS
        if self.overloaded != (self._average_lag > threshold):
            self.overloaded = not self.overloaded
            self._hot_changed_at = now
            _LOG.info(
                'instance_overloaded'
                if self.overloaded
                else 'instance_recovered',
                extra={'behind_ms': int(1000 * self._average_lag)},
            )

    def _run(self) -> None:
        while True:
            gevent.sleep(_SAMPLE_INTERVAL_SECONDS)
            self.sample()
