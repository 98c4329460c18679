"""Equal parts of a limit that all instances share.

The parts that are in use must not add up to more than the limit, whatever
each instance knows of the others. An instance that uses a part has therefore
been on the platform's list for so long that all others that use one count it,
in a whole window of the limit; those that have not followed the list as
closely use none.
"""

import time
import typing

from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip.members import census as census_module
from amaranthslip import settings as settings_module


class Listing(typing.Protocol):
    """The platform's list; `platform.instances` has an implementation."""

    @property
    def found_any_at_start(self) -> bool:
        """Whether an instance had run before this process started."""

    def read_listed_seconds(self, name: str) -> float | None:
        """Return since when an instance is listed; None if it isn't."""


class EqualPart:
    """The part of this instance in a limit that applies to a sliding window.

    Parameters
    ----------
    settings : Settings
        `bounds` determines how old the copy of the list may be.
    name : str
        The name of this instance.
    window_seconds : float
        The window to which the limit applies.
    census : Census
        Counts the instances.
    listing : Listing
        Since when this instance is on the platform's list.
    freshness : Freshness
        The age of this instance's copy of the list.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_name',
        '_window_seconds',
        '_max_age',
        '_census',
        '_listing',
        '_freshness',
        '_clock',
        '_started_at',
        '_withheld',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        name: str,
        window_seconds: float,
        census: census_module.Census,
        listing: Listing,
        freshness: freshness_module.Freshness,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._window_seconds = window_seconds
        self._max_age = staleness_module.Staleness(settings).bound_seconds
        self._census = census
        self._listing = listing
        self._freshness = freshness
        self._clock = clock
        self._started_at = clock()
        self._withheld = ''

    def read(self) -> float:
        """Return the fraction of the limit that may be used now; 0: none."""
        self._withheld = self._find_reason()
        if self._withheld:
            return 0.0
        return 1.0 / max(1, self._census.count())

    @property
    def withheld(self) -> str:
        """Why the last `read` returned 0; empty if it did not.

        `list_old`: the copy of the list may lack others. `unlisted`: others
        may not know this instance. `listed_lately`: neither may those that
        used their part earlier in the window, or an earlier process of this
        instance may have used it.
        """
        return self._withheld

    def _find_reason(self) -> str:
        if self._freshness.age > self._max_age:
            return 'list_old'
        listed_seconds = self._listing.read_listed_seconds(self._name)
        if listed_seconds is None:
            return 'unlisted'
        if listed_seconds < self._choose_wait(listed_seconds):
            return 'listed_lately'
        return ''

    def _choose_wait(self, listed_seconds: float) -> float:
        """Return the seconds on the list after which a part may be used.

        Before the first processes of a fleet no part was used. They start
        together, and each waits until the others are listed.
        """
        running_seconds = self._clock() - self._started_at
        listed_after = running_seconds - listed_seconds
        if (
            not self._listing.found_any_at_start
            and listed_after <= self._max_age
        ):
            return 2 * self._max_age
        return self._max_age + self._window_seconds
