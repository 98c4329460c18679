"""Trials of parts of prompts that are refused because they crash servers."""

import functools
import typing

# Trials of a part that the whole fleet makes, and the seconds for which it is
# refused before each. There is no other trial after one that crashed a server.
_MAX_TRIALS = 2
_DELAY_SECONDS = 10.0
# Crashes that hit an account up to which it gets one: with more, hardly
# anything else can be the cause.
_MAX_ACCOUNT_CRASHES = 3
# Seconds within which an instance that has reserved a trial makes it.
_VALID_SECONDS = 60.0
# Limit on the reservations that are kept.
_MAX_RESERVATIONS = 256


class TrialState:
    """What the store has on the trials of one part.

    Parameters
    ----------
    count : int
        Trials that were reserved.
    crash_count : int
        Crashes under the part when the latest one was reserved.
    known_since : float
        Monotonic time at which this instance learned of it.
    """

    __slots__ = ('count', 'crash_count', 'known_since')

    def __init__(
        self, count: int, crash_count: int, known_since: float
    ) -> None:
        self.count = count
        self.crash_count = crash_count
        self.known_since = known_since

    def allows(self, crash_count: int, now: float) -> bool:
        """Return whether another trial may be reserved."""
        if now - self.known_since < _DELAY_SECONDS:
            return False
        if not self.count:
            return True
        return self.count < _MAX_TRIALS and crash_count == self.crash_count


class TrialStore(typing.Protocol):
    """Reserves trials by conditional writes to the platform's store."""

    def read_trials(self, digest: bytes) -> TrialState | None:
        """Return the state of a part's trials; None without an entry."""

    def reserve_trial(
        self, digest: bytes, notify: typing.Callable[[bool], None]
    ) -> None:
        """Reserve a trial asynchronously; tell `notify` the result."""


class PartTrials:
    """Decides when a request with a refused part is run as a trial.

    A part may have become sound, or an engine may have been repaired, which
    only a completed answer shows. The reservation is a conditional write, so
    that instances that don't know of each other make no more trials together
    than allowed. Without the store there are none.

    Parameters
    ----------
    store : TrialStore
        Reserves the trials.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_store', '_clock', '_reserved_until')

    def __init__(
        self, store: TrialStore, clock: typing.Callable[[], float]
    ) -> None:
        self._store = store
        self._clock = clock
        # By digest, in order of the reservation; 0 while it is not granted.
        self._reserved_until: dict[bytes, float] = {}

    def take(
        self, digest: bytes, *, crash_count: int, account_crash_count: int
    ) -> bool:
        """Return whether a request with a refused part is run now, once.

        The trial is reserved in the background and used by a later request.

        Parameters
        ----------
        crash_count, account_crash_count : int
            Crashes under the part up to now; those that hit the account of
            the request.
        """
        if account_crash_count > _MAX_ACCOUNT_CRASHES:
            return False
        now = self._clock()
        if self._reserved_until.get(digest):
            return now < self._reserved_until.pop(digest)
        state = self._store.read_trials(digest)
        if state is None or not state.allows(crash_count, now):
            return False
        if digest in self._reserved_until:
            return False
        self._reserved_until[digest] = 0.0
        if len(self._reserved_until) > _MAX_RESERVATIONS:
            del self._reserved_until[next(iter(self._reserved_until))]
        self._store.reserve_trial(
            digest, functools.partial(self._note_result, digest)
        )
        return False

    def _note_result(self, digest: bytes, reserved: bool) -> None:
        self._reserved_until.pop(digest, None)
        if reserved:
            self._reserved_until[digest] = self._clock() + _VALID_SECONDS
