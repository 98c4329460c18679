"""What each backend server is estimated to manage."""


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
    """

    __slots__ = ('_slots',)

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Record a server's report of its load."""

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

    def read_limit(self) -> int:
        """Return the concurrency from which on more helps nobody."""
        return self._slots

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
        excess = max(0, running + 1 - self._slots)
        return usual_seconds * (1.0 + excess / self._slots)
