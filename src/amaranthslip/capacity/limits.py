"""Adaptive concurrency limit of one backend server."""

# The limit grows by one after _FULL_REPORTS reports of a server that runs as
# many requests as the limit allows and queues none. It falls to the number of
# running requests after _QUEUEING_REPORTS consecutive reports with a queue: a
# single report may show requests between their arrival and their first batch.
_QUEUEING_REPORTS = 2
_FULL_REPORTS = 3
# Service level objective: 57 ms between tokens at the 95th percentile. A mean
# above this value shows that the batch is too large for the server.
PACE_TARGET_SECONDS = 0.057
_PACE_GAIN = 0.1
_PACE_DECREASE = 0.9
_PACE_REPORTS = 5


class Limit:
    """Limit on the concurrent requests of one backend server.

    Parameters
    ----------
    slots : int
        The configured limit, an upper bound of the adaptive limit.
    """

    __slots__ = (
        'slots',
        'value',
        '_queueing_reports',
        '_full_reports',
        '_pace',
        '_pace_samples',
    )

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.value = slots
        self._queueing_reports = 0
        self._full_reports = 0
        self._pace = 0.0
        self._pace_samples = 0

    def configure(self, slots: int) -> None:
        """Set the configured limit; a change resets the adaptive limit."""
        if slots != self.slots:
            self.slots = self.value = slots

    def observe_load(self, *, running: int, waiting: int) -> None:
        """Adjust the limit to one load report.

        All load that the report shows must come from this fleet.
        """
        if waiting > 0:
            self._queueing_reports += 1
            self._full_reports = 0
        else:
            self._queueing_reports = 0
            self._full_reports += 1 if running >= self.value else 0
        if self._queueing_reports >= _QUEUEING_REPORTS:
            self.value = max(1, min(self.value, running))
            self._queueing_reports = 0
        elif self._full_reports >= _FULL_REPORTS:
            self._grow()

    def observe_pace(self, seconds: float) -> None:
        """Adjust the limit to the mean inter-token time of a finished stream.

        Parameters
        ----------
        seconds : float
            Mean time between tokens.
        """
        self._pace += _PACE_GAIN * (seconds - self._pace)
        self._pace_samples += 1
        if self._pace_samples < _PACE_REPORTS * max(1, self.value):
            return
        self._pace_samples = 0
        if self._pace > PACE_TARGET_SECONDS:
            self.value = max(1, int(self.value * _PACE_DECREASE))

    def _grow(self) -> None:
        self._full_reports = 0
        if self._pace <= PACE_TARGET_SECONDS * _PACE_DECREASE:
            self.value = min(self.slots, self.value + 1)
