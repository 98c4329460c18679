"""The number of streams beyond which an engine's events come too late."""

from amaranthslip.capacity import trials

# Weight of one stream in the fraction of late ones, and the fraction from
# which on the limit is lowered: one late stream alone doesn't reach it.
_LATE_GAIN = 0.1
_MAX_LATE_FRACTION = 0.25
# The limit after it was lowered, relative to the streams in progress then.
_LOWERED_FACTOR = 0.85
# Fraction of its allowed pause beyond which a stream's longest pause does not
# count as good: the limit isn't raised up to where pauses are too long.
_GOOD_FRACTION = 0.7


class PauseLimit:
    """A limit on an engine's streams, learnt from their longest pauses.

    Parameters
    ----------
    slots : int
        The number of streams that the engine may run at once.
    """

    __slots__ = ('_limit', '_late_fraction', '_running')

    def __init__(self, slots: int) -> None:
        self._limit = trials.TriedLimit(slots)
        self._late_fraction = 0.0
        # Mean number of streams in progress with the late ones.
        self._running = 0.0

    @property
    def value(self) -> int:
        """The largest number of streams whose events come in time."""
        return self._limit.value

    def start_at(self, value: int, now: float) -> None:
        """Start from a limit that another instance found."""
        self._limit.start_at(value, now)

    def note(
        self, running: int, pause: float, allowed: float, now: float
    ) -> None:
        """Record a stream that ended.

        Parameters
        ----------
        running : int
            Streams in progress when this one began, with it.
        pause, allowed : float
            Seconds of its longest pause, and those that its route allows.
        now : float
            Monotonic time in seconds.
        """
        late = pause > allowed
        self._late_fraction += _LATE_GAIN * (late - self._late_fraction)
        if not late:
            if pause < _GOOD_FRACTION * allowed:
                self._limit.note_good(running, now)
            return
        if not self._running:
            self._running = running
        self._running += 0.5 * (running - self._running)
        if self._late_fraction < _MAX_LATE_FRACTION:
            return
        self._late_fraction = 0.0
        self._limit.lower(int(_LOWERED_FACTOR * self._running), now)
        self._running = 0.0
