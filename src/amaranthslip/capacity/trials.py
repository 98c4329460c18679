"""A limit that is lowered on evidence and tried upwards one by one.

A server whose limit was lowered shows nothing of what it would manage beyond
it, so the limit itself has to be raised from time to time.
"""

# Answers close to the limit after which it may be raised again, and the part
# of it that counts as close.
_MIN_ANSWERS = 3
_CLOSE_PART = 0.7
# Seconds between two raises that succeed: about as long as those answers take.
_MIN_INTERVAL_SECONDS = 0.3
# Seconds until the first raise after the limit was lowered, and the maximum,
# which each raise that fails doubles: a raise costs some slow answers.
_FIRST_INTERVAL_SECONDS = 0.8
_MAX_INTERVAL_SECONDS = 2.4
# Seconds after a raise in which lowering the limit means that it failed.
_TRIAL_SECONDS = 2.0
# Seconds after which a limit is raised that no request has reached: what it
# was lowered for may be over.
_UNTRIED_SECONDS = 5.0


class TriedLimit:
    """A limit on concurrent requests, between 1 and `slots`."""

    __slots__ = (
        'value',
        '_slots',
        '_interval',
        '_answers',
        '_changed_at',
        '_raised_at',
    )

    def __init__(self, slots: int) -> None:
        self.value = slots
        self._slots = slots
        self._interval = _MIN_INTERVAL_SECONDS
        self._answers = 0
        self._changed_at = float('-inf')
        self._raised_at = float('-inf')

    def start_at(self, value: int, now: float) -> None:
        """Start from a limit that another instance found."""
        self.value = min(max(1, value), self._slots)
        self._interval = _FIRST_INTERVAL_SECONDS
        self._changed_at = now

    def lower(self, value: int, now: float) -> None:
        """Lower the limit to a value, or keep it if it is lower already."""
        value = max(1, value)
        if value >= self.value:
            return
        if now - self._raised_at < _TRIAL_SECONDS:
            self._interval = min(2.0 * self._interval, _MAX_INTERVAL_SECONDS)
        self._interval = max(self._interval, _FIRST_INTERVAL_SECONDS)
        self.value = value
        self._answers = 0
        self._changed_at = now
        self._raised_at = float('-inf')

    def note_good(self, running: int, now: float) -> None:
        """Record a good answer, and raise the limit if it is time to."""
        if self.value >= self._slots:
            return
        self._answers += running > _CLOSE_PART * self.value
        elapsed = now - self._changed_at
        # A raise after one that did not fail needn't wait.
        was_raised = self._raised_at > float('-inf')
        interval = _MIN_INTERVAL_SECONDS if was_raised else self._interval
        tried = self._answers >= _MIN_ANSWERS and elapsed >= interval
        if not tried and elapsed < _UNTRIED_SECONDS:
            return
        self.value += 1
        self._answers = 0
        if was_raised:
            self._interval = _FIRST_INTERVAL_SECONDS
        self._changed_at = self._raised_at = now

    def hurry(self) -> None:
        """Try the next raise soon: the server has changed."""
        self._interval = _MIN_INTERVAL_SECONDS
