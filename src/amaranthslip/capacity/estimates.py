"""What each backend server is estimated to manage."""

import typing

from amaranthslip.capacity import concurrency
from amaranthslip.capacity import pause_limits
from amaranthslip.capacity import slowdowns
from amaranthslip.capacity import trials

# Seconds between two fits of a server's curve: a fit takes 0.1 ms, and a
# server may answer hundreds of requests a second.
_FIT_INTERVAL_SECONDS = 0.05


class ReportedLoad:
    """A server's own report of its load, from the headers of an answer.

    `running` and `waiting` are numbers of requests, `slots` those that it runs
    at once. `slowdown` is how long work takes on its machine now, relative to
    a machine as usual: 1 for as long, 2 for twice as long; None if the server
    does not tell.
    """

    __slots__ = ('running', 'waiting', 'slots', 'slowdown')

    def __init__(
        self,
        *,
        running: int,
        waiting: int,
        slots: int,
        slowdown: float | None = None,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown


class ServerEstimate:
    """What one start of a backend server is estimated to manage.

    Parameters
    ----------
    slots : int
        The number of requests that the server may run at once; the limit
        until more is known, and never exceeded.
    confirmations : Confirmations or None
        How far answers confirm the reports of the service's servers.

    Attributes
    ----------
    slowdown : Slowdown
        The server's reports of its machine.
    load : ReportedLoad or None
        The latest report.
    updated_at : float
        Monotonic time of the latest answer, or of the answer that an adopted
        estimate rests on; minus infinity if there was none.
    """

    __slots__ = (
        'slowdown',
        'load',
        'updated_at',
        '_slots',
        '_curve',
        '_limit',
        '_pauses',
        '_slope',
        '_fitted_at',
    )

    def __init__(
        self,
        slots: int,
        *,
        confirmations: slowdowns.Confirmations | None = None,
    ) -> None:
        self._slots = max(1, slots)
        self.slowdown = slowdowns.Slowdown(confirmations)
        self.load: ReportedLoad | None = None
        self.updated_at = float('-inf')
        self._curve = concurrency.ConcurrencyCurve(self._slots)
        self._limit = trials.TriedLimit(self._slots)
        self._pauses = pause_limits.PauseLimit(self._slots)
        # Relative growth of the time for each request beyond the limit, when
        # it was lowered.
        self._slope = 0.0
        self._fitted_at = float('-inf')

    def change_slots(self, slots: int) -> None:
        """Start anew with another number of slots, except for reports."""
        slots = max(1, slots)
        if slots == self._slots:
            return
        self._slots = slots
        self._curve = concurrency.ConcurrencyCurve(slots)
        self._limit = trials.TriedLimit(slots)
        self._pauses = pause_limits.PauseLimit(slots)
        self._slope = 0.0

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Record a server's report of its load."""
        self.load = load
        self.updated_at = now
        if load.slowdown is not None:
            self.slowdown.note(load.slowdown, now)

    def note_end(
        self, *, running: int, seconds: float, usual_seconds: float, now: float
    ) -> None:
        """Record an answer that was completed.

        Parameters
        ----------
        running : int
            Requests in progress on the server when this one began, with it.
        seconds : float
            Time from sending to the end of the answer.
        usual_seconds : float
            Mean time of such requests at all servers; 0 if it is not known.
        now : float
            Monotonic time in seconds.
        """
        self.updated_at = now
        if usual_seconds <= 0:
            return
        ratio = seconds / usual_seconds
        since = now - seconds
        line = self._curve.line
        self.slowdown.confirm(ratio * line.base / line.expect(running), since)
        slowdown = self.slowdown.read_since(since)
        self._curve.note(running, ratio / slowdown, now)
        if self._curve.surprised:
            self._limit.hurry()
        elif now - self._fitted_at < _FIT_INTERVAL_SECONDS:
            return
        self._fitted_at = now
        self._review(running, now)

    def note_pause(
        self, *, running: int, pause: float, allowed: float, now: float
    ) -> None:
        """Record a stream that was completed; see `PauseLimit.note`."""
        self.updated_at = now
        if allowed > 0:
            self._pauses.note(running, pause, allowed, now)

    def read_limit(self) -> int:
        """Return the concurrency from which on more helps nobody."""
        return min(self._limit.value, self._pauses.value)

    def expect_seconds(
        self, running: int, usual_seconds: float, now: float
    ) -> float:
        """Return the expected seconds to the end of an answer.

        Parameters
        ----------
        running : int
            Other requests in progress on the server.
        usual_seconds : float
            See `note_end`.
        now : float
            Monotonic time in seconds.
        """
        running += 1
        served = min(running, self._slots)
        ratio = self._curve.line.expect(served)
        if not self._curve.line.slope:
            # Answers from beyond the limit are not recent any more.
            ratio *= 1.0 + self._slope * max(0, served - self._limit.value)
        queueing = 1.0 + (running - served) / self._slots
        return usual_seconds * ratio * queueing * self.slowdown.read(now)

    @property
    def is_plain(self) -> bool:
        """Whether complete plain answers were recorded, or adopted."""
        return self._curve.known

    def read_relative_seconds(self) -> float:
        """Return the time of a usual request there, relative to the usual."""
        return self._curve.line.base

    def describe(self, now: float) -> dict[str, typing.Any]:
        """Return the estimate as JSON values, for the status.

        `age_seconds` is None before the first answer.
        """
        age = now - self.updated_at
        return {
            'limit': self.read_limit(),
            'relative_seconds': round(self.read_relative_seconds(), 3),
            'slowdown': round(self.slowdown.read(now), 3),
            'slowdown_confidence': round(self.slowdown.confidence, 3),
            'age_seconds': None if age == float('inf') else round(age, 3),
        }

    def adopt(
        self, *, limit: int, relative_seconds: float, at: float, now: float
    ) -> None:
        """Start from another instance's estimate.

        Parameters
        ----------
        limit : int
            See `read_limit`; 0 if unknown.
        relative_seconds : float
            See `read_relative_seconds`; 0 for an engine.
        at : float
            Monotonic time of the estimate.
        now : float
            Monotonic time in seconds.
        """
        self.updated_at = max(self.updated_at, at)
        # An engine's limit is one on pauses. The other limit would stay as it
        # is: nothing raises it.
        limited = self._limit if relative_seconds > 0 else self._pauses
        if limit and limit != limited.value:
            limited.start_at(limit, now)
        if relative_seconds > 0:
            self._curve.adopt(relative_seconds)

    def _review(self, running: int, now: float) -> None:
        line = self._curve.fit()
        limit = line.find_limit(self._slots)
        if limit < self._limit.value:
            self._limit.lower(limit, now)
            self._slope = line.slope
        else:
            self._limit.note_good(running, now)
