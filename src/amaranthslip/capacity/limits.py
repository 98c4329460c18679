"""The discovered limit: how many requests a backend server really batches."""

# A limit grows by one for each report that shows it full and nothing
# waiting, and falls to what runs when the server queues twice in a row: one
# report may have caught requests between arrival and their first batch.
_QUEUEING_REPORTS = 2
_FULL_REPORTS = 3
# The users' target: 57 ms between tokens for 95 in 100. A mean beyond it
# says that the batch is too large for this server.
PACE_TARGET_SECONDS = 0.057
_PACE_RATE = 0.1
_PACE_CUT = 0.9
_PACE_REPORTS = 5


class Limit:
    """How many requests one backend server gets at once.

    Parameters
    ----------
    slots : int
        The configured limit: the most that discovery ever allows.
    """

    __slots__ = ('slots', 'value', '_queueing', '_full', '_pace', '_paces')

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.value = slots
        self._queueing = 0
        self._full = 0
        self._pace = 0.0
        self._paces = 0

    def configure(self, slots: int) -> None:
        """Take a changed configured limit; discovery starts anew."""
        if slots != self.slots:
            self.slots = self.value = slots

    def observe_load(self, *, running: int, waiting: int) -> None:
        """Take one load report of a server that only this fleet loads."""
        if waiting > 0:
            self._queueing += 1
            self._full = 0
        else:
            self._queueing = 0
            self._full += 1 if running >= self.value else 0
        if self._queueing >= _QUEUEING_REPORTS:
            self.value = max(1, min(self.value, running))
            self._queueing = 0
        elif self._full >= _FULL_REPORTS:
            self._grow()

    def observe_pace(self, seconds: float) -> None:
        """Take one finished stream's mean time between tokens, in seconds."""
        self._pace += _PACE_RATE * (seconds - self._pace)
        self._paces += 1
        if self._paces < _PACE_REPORTS * max(1, self.value):
            return
        self._paces = 0
        if self._pace > PACE_TARGET_SECONDS:
            self.value = max(1, int(self.value * _PACE_CUT))

    def _grow(self) -> None:
        self._full = 0
        if self._pace <= PACE_TARGET_SECONDS * _PACE_CUT:
            self.value = min(self.slots, self.value + 1)
