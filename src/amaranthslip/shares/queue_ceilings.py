"""Queue ceilings: the queue that a server accepts before it rejects.

A server's entry states how many requests it runs at once, not how many may
wait. The number is learnt from rejections: a server that rejected a request
gets fewer at once, and from time to time one more.
"""

# Seconds without a rejection after which one more request is tried: at
# 60 answers a second, about one request in 60 finds out whether it fits.
_MIN_INTERVAL_SECONDS = 1.0
# Maximum of these seconds: a rejected request costs a retry, and a server's
# queue hardly ever gets longer.
_MAX_INTERVAL_SECONDS = 8.0


class QueueCeiling:
    """The most requests that one server accepts, as far as is known."""

    __slots__ = ('_value', '_raise_at', '_interval', '_is_trial')

    def __init__(self) -> None:
        self._value: int | None = None
        self._raise_at = 0.0
        self._interval = _MIN_INTERVAL_SECONDS
        # Whether the value was raised and no rejection followed yet.
        self._is_trial = False

    def note_rejection(self, running: int, limit: int, now: float) -> None:
        """Record that a server rejected a request as full.

        Parameters
        ----------
        running : int
            Other requests in progress when it was sent. Requests that nobody
            counts may run besides.
        limit : int
            The requests that the server runs at once; the ceiling never
            falls below it.
        now : float
            Monotonic time in seconds.
        """
        value = max(running, limit)
        if self._value is not None and value > self._value:
            return
        if self._is_trial:
            self._interval = min(2 * self._interval, _MAX_INTERVAL_SECONDS)
        self._value = value
        self._is_trial = False
        self._raise_at = now + self._interval

    def read(self, now: float) -> int | None:
        """Return the most requests at once; None if no maximum is known."""
        if self._value is not None and now >= self._raise_at:
            if self._is_trial:
                self._interval = _MIN_INTERVAL_SECONDS
            self._value += 1
            self._is_trial = True
            self._raise_at = now + self._interval
        return self._value
