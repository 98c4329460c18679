"""How much of its time this instance's event loop is at work."""

import contextlib
import math
import time
import typing

import gevent

# Seconds between two samples, and time constant of the moving average. A busy
# loop samples late, so that each sample counts for the time that it covers.
_SAMPLE_INTERVAL_SECONDS = 0.1
_TIME_CONSTANT_SECONDS = 0.4
# The loop's watchers must run as the last thing before it waits and as the
# first thing afterwards.
_LOWEST_PRIORITY = -2
_HIGHEST_PRIORITY = 2


class LoopUsage:
    """Measures the fraction of time in which the event loop does not wait.

    Unlike the lag of the loop, it shows how much capacity is left before
    requests are delayed. It needs no knowledge of the processor: on a slow or
    shared one, the same work takes a larger fraction.

    Parameters
    ----------
    on_sample : callable
        Called after each sample with the seconds that it covers.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    fraction : float
        Moving average, from 0 to 1.
    """

    __slots__ = (
        'fraction',
        '_on_sample',
        '_clock',
        '_waiting_since',
        '_waited',
        '_sampled_at',
        '_exits',
    )

    def __init__(
        self,
        *,
        on_sample: typing.Callable[[float], None] = lambda seconds: None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.fraction = 0.0
        self._on_sample = on_sample
        self._clock = clock
        self._waiting_since: float | None = None
        self._waited = 0.0
        self._sampled_at = clock()
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Start measuring."""
        loop = gevent.get_hub().loop
        for watcher, callback in (
            (loop.prepare(ref=False, priority=_LOWEST_PRIORITY), self.wait),
            (loop.check(ref=False, priority=_HIGHEST_PRIORITY), self.wake),
        ):
            watcher.start(callback)
            self._exits.callback(watcher.close)
            self._exits.callback(watcher.stop)
        self._sampled_at = self._clock()
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop measuring."""
        self._exits.close()

    def wait(self) -> None:
        """Record that the loop begins to wait for events."""
        self._waiting_since = self._clock()

    def wake(self) -> None:
        """Record that the loop has events to handle."""
        if self._waiting_since is not None:
            self._waited += self._clock() - self._waiting_since
            self._waiting_since = None

    def sample(self) -> None:
        """Add the time since the last sample to the average."""
        now = self._clock()
        seconds = now - self._sampled_at
        if seconds <= 0:
            return
        busy = min(1.0, max(0.0, 1.0 - self._waited / seconds))
        weight = 1.0 - math.exp(-seconds / _TIME_CONSTANT_SECONDS)
        self.fraction += weight * (busy - self.fraction)
        self._sampled_at = now
        self._waited = 0.0
        self._on_sample(seconds)

    def _run(self) -> None:
        while True:
            gevent.sleep(_SAMPLE_INTERVAL_SECONDS)
            self.sample()
