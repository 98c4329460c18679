"""Staleness: how old an instance's knowledge of the store may become.

Every wait on the way from a change in the platform's store to an instance is
a part of one bound, so that their sum stays below it whatever the operator
sets. An instance hears of a change in one of two ways, and each must end in
time:

- it polls the store: it asks at the latest when its knowledge is as old as
  `choose_ask` says, and what is left of the bound is for one failed call, its
  backoff, and the answer;
- it hears from its sources: watchers poll, relays pass on. Nothing that a
  source says shortens this: an instance goes by the age that the echo of its
  own stamp proves, so that a source may be cut off, frozen or dead in any
  moment.

Where nothing fails, knowledge is younger than that at all times and only the
watchers make calls: a poll ends in time, and each level on the way adds no
more than the age of a stamp.
"""

from amaranthslip.configuration import sources
from amaranthslip import settings as settings_module

# Parts of the bound; their reasons are with the properties. What a listener
# knows grows as old as a poll of the only watcher left, the pause after a
# change, the shortest poll, and the age of a stamp on each of two levels.
_POLL_PART = 0.5
_GATHER_PART = 0.05
_LEAST_POLL_PART = 0.08
_STAMP_PART = 0.06
_ASK_PART = 0.7
# A relay asks before its listeners have to: they are many, and then hear.
_RELAY_ASK_PART = 0.6
# A poll that nobody else relies on may be longer: one that lives tells of a
# change at once, and its end only proves that there was none.
_LONE_POLL_PART = 0.6
_LEAST_BACKOFF_PART = 0.05
_MOST_BACKOFF_PART = 0.15
# Seconds that a watcher waits after a change at most: entries of 85 instances
# that start at once would else be 85 calls of each watcher, and more than
# this gathers no more of them.
_MOST_GATHER_SECONDS = 0.15
# Seconds between calls while the store fails, at most: instances that lost
# it together come back within this. 85 of them then make some 250 calls a
# second, an eighth of what the smallest store takes.
_MOST_BACKOFF_SECONDS = 0.5
# The part of the time in which a revoked key must be out that knowledge may
# be old: the rest is for clocks, and for the request's way to the engine.
_TRUSTED_PART = 0.9


class Staleness:
    """Derives each wait from what the platform's operator promises.

    Parameters
    ----------
    settings : Settings
        Its `bounds`, and `platform.poll_seconds`, which no poll exceeds.
    """

    __slots__ = ('_settings',)

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings

    @property
    def bound_seconds(self) -> float:
        """Seconds after which each change must be in force here.

        The shorter of two promises: that a version is in force, and that a
        backend server which leaves gets no more requests.
        """
        bounds = self._settings.bounds
        milliseconds = min(
            bounds.apply_milliseconds, bounds.drain_milliseconds
        )
        return milliseconds / 1000

    def choose_ask(self, *, passes_on: bool) -> float:
        """Return the age at which an instance asks the store itself.

        Parameters
        ----------
        passes_on : bool
            Whether others rely on what this one hears.
        """
        part = _RELAY_ASK_PART if passes_on else _ASK_PART
        return part * self.bound_seconds

    @property
    def stamp_seconds(self) -> float:
        """Seconds between the stamps that a listener sends."""
        return _STAMP_PART * self.bound_seconds

    @property
    def gather_seconds(self) -> float:
        """Seconds that a watcher waits after a change before it asks again."""
        return min(_MOST_GATHER_SECONDS, _GATHER_PART * self.bound_seconds)

    @property
    def least_backoff_seconds(self) -> float:
        """Seconds between calls while the store fails, at least."""
        return self._backoff(_LEAST_BACKOFF_PART)

    @property
    def most_backoff_seconds(self) -> float:
        """Seconds between calls while the store fails, at most."""
        return self._backoff(_MOST_BACKOFF_PART)

    def _backoff(self, part: float) -> float:
        longest = _MOST_BACKOFF_SECONDS * part / _MOST_BACKOFF_PART
        return min(longest, part * self.bound_seconds)

    @property
    def certain_seconds(self) -> float:
        """The age up to which 'no such route' and 'no such key' are said.

        Callers take these for final, and knowledge that is older may miss a
        route or key that had to be in force by now.
        """
        return self._settings.bounds.apply_milliseconds / 1000

    @property
    def trusted_seconds(self) -> float:
        """The age up to which keys are relied on, where they must be."""
        return _TRUSTED_PART * self._settings.bounds.revoke_milliseconds / 1000

    def choose_poll(
        self, age: float, *, passes_on: bool, place: int | None = None
    ) -> float:
        """Return the seconds that a poll waits at the store for a change.

        Parameters
        ----------
        age : float
            Of what is known when it is asked, in seconds. A poll that ended
            with a change proves only what was known when it began: the next
            one is the shorter, so that its end proves more in time.
        passes_on : bool
            Whether listeners rely on what this one proves. Without any, a
            call is saved for each change, and some of the others.
        place : int or None
            Among watchers that begin together. Each first poll has another
            length, so that from then on their ends follow one another in
            even steps, and what listeners know is the younger.
        """
        longest = _POLL_PART if passes_on else _LONE_POLL_PART
        seconds = min(
            longest * self.bound_seconds,
            self._settings.platform.poll_seconds,
        )
        if not passes_on:
            return seconds
        least = min(seconds, _LEAST_POLL_PART * self.bound_seconds)
        if place is not None:
            return max(least, seconds * (place + 1) / sources.WATCHERS)
        return min(seconds, max(least, seconds - age))
