"""Staleness: how old an instance's knowledge of the store may become.

Each wait between a change in the platform's store and its application on an
instance is a fraction of one bound, so that the sum of the waits stays below
the bound for any setting of the operator. An instance learns of a change in
one of two ways, and each must complete in time:

- It polls the store. It sends a poll at the latest when its knowledge reaches
  the age that `choose_fallback_age` returns; the rest of the bound covers one
  failed call, its backoff, and the answer.
- It receives changes from its sources: watchers poll the store and relays
  forward their changes. An instance trusts only the age that the echo of its
  own stamp proves, and no other statement of a source, so that a source may
  be partitioned, suspended or killed at any time.

Without faults, knowledge stays younger than this limit and only the watchers
call the store: each poll ends in time, and each level between the store and
an instance adds no more than the age of one stamp.
"""

from amaranthslip.configuration import sources
from amaranthslip import settings as settings_module

# Fractions of the bound; the properties that use them give the reasons. The
# age of a listener's knowledge is at most the sum of a poll of the only
# remaining watcher, the pause after a change, the shortest poll, and the age
# of a stamp on each of two levels.
_POLL_FRACTION = 0.5
_COALESCE_FRACTION = 0.05
_MIN_POLL_FRACTION = 0.08
_STAMP_INTERVAL_FRACTION = 0.06
_FALLBACK_POLL_FRACTION = 0.7
# A relay polls the store before its listeners would: there are many listeners,
# and the relay's one poll then serves all of them.
_RELAY_FALLBACK_POLL_FRACTION = 0.6
# A poll that no other instance relies on may be longer: while the connection
# works, the store reports a change at once, and the end of the poll only
# proves that there was none.
_UNSHARED_POLL_FRACTION = 0.6
_MIN_BACKOFF_FRACTION = 0.05
_MAX_BACKOFF_FRACTION = 0.15
# Longest pause of a watcher after a change, in seconds. Without a pause, the
# entries of 85 instances that start at once would cost each watcher 85 calls;
# a longer pause would not coalesce more of them.
_MAX_COALESCE_SECONDS = 0.15
# Longest pause between calls while the store fails, in seconds: instances that
# lost the store together reach it again within this time. 85 of them then
# make about 250 calls a second, an eighth of what the smallest store handles.
_MAX_BACKOFF_SECONDS = 0.5
# Maximum age of knowledge, as a fraction of the time within which a revoked
# key must be out of use. The rest is for clock differences, and for the
# transfer of the request to the engine.
_TRUSTED_FRACTION = 0.9
# Maximum age of knowledge, as a fraction of the time within which a server
# that leaves must get no more requests. The rest is for the transfer.
_SERVERS_FRACTION = 0.95
# Ratio of the time after which a new software version gets streams to the age
# at which older lists of servers are no longer used. More than 1, for clocks
# of different rates and for the time between a check and its use.
_SETTLE_FACTOR = 1.1


class Staleness:
    """Derives each wait from the time limits that the operator promises.

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
        """Seconds within which each change must be in force here.

        The shortest of the promised times: until a configuration version is in
        force, and until a backend server that is leaving, or in an evacuated
        failure domain, gets no more requests.
        """
        bounds = self._settings.bounds
        milliseconds = min(
            bounds.apply_milliseconds,
            bounds.drain_milliseconds,
            bounds.evacuate_milliseconds,
        )
        return milliseconds / 1000

    def choose_fallback_age(self, *, relays_changes: bool) -> float:
        """Return the age of knowledge at which an instance polls the store.

        Parameters
        ----------
        relays_changes : bool
            Whether other instances rely on the changes that this one relays.

        Returns
        -------
        float
            Seconds.
        """
        fraction = (
            _RELAY_FALLBACK_POLL_FRACTION
            if relays_changes
            else _FALLBACK_POLL_FRACTION
        )
        return fraction * self.bound_seconds

    @property
    def stamp_interval_seconds(self) -> float:
        """Seconds between the stamps that a listener sends."""
        return _STAMP_INTERVAL_FRACTION * self.bound_seconds

    @property
    def coalesce_seconds(self) -> float:
        """Seconds that a watcher pauses after a change before it polls again.

        Changes during the pause are returned by the same poll.
        """
        return min(
            _MAX_COALESCE_SECONDS, _COALESCE_FRACTION * self.bound_seconds
        )

    @property
    def min_backoff_seconds(self) -> float:
        """Shortest pause between calls while the store fails, in seconds."""
        return self._limit_backoff(_MIN_BACKOFF_FRACTION)

    @property
    def max_backoff_seconds(self) -> float:
        """Longest pause between calls while the store fails, in seconds."""
        return self._limit_backoff(_MAX_BACKOFF_FRACTION)

    def _limit_backoff(self, fraction: float) -> float:
        longest = _MAX_BACKOFF_SECONDS * fraction / _MAX_BACKOFF_FRACTION
        return min(longest, fraction * self.bound_seconds)

    @property
    def servers_seconds(self) -> float:
        """The maximum age at which the known servers may get requests.

        Older knowledge may lack that a server leaves or is evacuated.
        """
        bounds = self._settings.bounds
        milliseconds = min(
            bounds.drain_milliseconds, bounds.evacuate_milliseconds
        )
        return _SERVERS_FRACTION * milliseconds / 1000

    @property
    def settle_seconds(self) -> float:
        """The time after which all instances know of a change of the servers.

        Any that does not know it by then gives no server a request; see
        `servers_seconds`.
        """
        return _SETTLE_FACTOR * self.servers_seconds

    @property
    def certain_seconds(self) -> float:
        """The maximum age at which a route or key is reported as unknown.

        Callers treat these errors as final. Older knowledge may lack a route
        or key that had to be in force by now.
        """
        return self._settings.bounds.apply_milliseconds / 1000

    @property
    def trusted_seconds(self) -> float:
        """The maximum age at which keys are trusted with `fail_closed` set."""
        return (
            _TRUSTED_FRACTION
            * self._settings.bounds.revoke_milliseconds
            / 1000
        )

    def choose_poll_seconds(
        self,
        age: float,
        *,
        relays_changes: bool,
        watcher_index: int | None = None,
    ) -> float:
        """Return the seconds that a poll waits at the store for a change.

        Parameters
        ----------
        age : float
            Age of what is known when the poll is sent, in seconds. A poll
            that ended with a change proves only what was known when it began.
            The next poll is shorter by this age, so that its end proves newer
            knowledge in time.
        relays_changes : bool
            Whether listeners rely on what this poll proves. Without listeners
            the poll is not shortened after a change, which saves a call for
            each change and some of the other calls.
        watcher_index : int or None
            Position among watchers that begin to poll together. Each first
            poll has another length, so that the following polls end at even
            intervals, which keeps the knowledge of listeners younger.
        """
        longest = _POLL_FRACTION if relays_changes else _UNSHARED_POLL_FRACTION
        seconds = min(
            longest * self.bound_seconds,
            self._settings.platform.poll_seconds,
        )
        if not relays_changes:
            return seconds
        shortest = min(seconds, _MIN_POLL_FRACTION * self.bound_seconds)
        if watcher_index is not None:
            return max(
                shortest,
                seconds * (watcher_index + 1) / sources.WATCHER_COUNT,
            )
        return min(seconds, max(shortest, seconds - age))
