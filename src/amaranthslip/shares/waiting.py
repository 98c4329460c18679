"""Waiting requests: those that a server's keeper grants a place later.

A server that rejects what exceeds its slots has no queue, and a burst of a few
milliseconds would be refused although its requests could end in time. They
wait at the keeper, in order of arrival.
"""

import collections
import typing


class Waiter:
    """A request that waits for a place at one server.

    Parameters
    ----------
    key : tuple of (str, int)
        The instance that has the request, and its number there.
    terms : Terms
        The times within which it has to be answered.
    expires_at : float
        Monotonic time in seconds from which on a place is too late.
    resolve : callable
        Called once with whether a place is granted; counts the request if
        it takes the place.
    """

    __slots__ = ('key', 'terms', 'expires_at', 'resolve')

    def __init__(
        self,
        key: tuple[str, int],
        terms: typing.Any,
        expires_at: float,
        resolve: typing.Callable[[bool], None],
    ) -> None:
        self.key = key
        self.terms = terms
        self.expires_at = expires_at
        self.resolve = resolve


class WaitingList:
    """The requests that wait for a place at one server, oldest first."""

    __slots__ = ('_waiters',)

    def __init__(self) -> None:
        self._waiters: collections.OrderedDict[tuple[str, int], Waiter] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Append a request."""
        self._waiters[waiter.key] = waiter

    def remove(self, key: tuple[str, int]) -> None:
        """Remove a request that no longer waits, if it is there."""
        self._waiters.pop(key, None)

    def read_first(self, now: float) -> Waiter | None:
        """Return the oldest request that a place still helps, if any.

        Those for which a place is too late are removed and refused.
        """
        while self._waiters:
            waiter = next(iter(self._waiters.values()))
            if waiter.expires_at >= now:
                return waiter
            self.remove(waiter.key)
            waiter.resolve(False)
        return None
