"""Memory of engines: whether a request fits, as one instance knows.

An engine crashes if the requests that it holds, running and waiting, exceed
its memory. Its keeper therefore grants memory: the sum of what all requests
there hold stays within the memory of the service's engines.
"""

import typing

# Fraction of the memory that stays free where this instance does not know
# the exact total: it covers what others place until all is counted again.
_UNCERTAIN_FRACTION = 0.1
# Maximum time in seconds for which a new keeper waits for the other
# instances' reports: ten times the interval at which they look for changed
# keepers, and less than a stream lasts.
MAX_TAKEOVER_SECONDS = 1.0
# Seconds after which the last known total of an engine is no longer used:
# nearly all requests of that time have ended.
_MAX_TOTAL_AGE_SECONDS = 10.0


def fits(held: int, total: int, memory: int, *, exact: bool) -> bool:
    """Return whether a request fits into an engine's memory.

    Parameters
    ----------
    held : int
        Tokens that the request holds.
    total : int
        Tokens that all other requests at the engine hold.
    memory : int
        Memory of the engine in tokens.
    exact : bool
        Whether the total contains all requests; otherwise, a tenth of the
        memory has to stay free.
    """
    free = memory - total
    if not exact:
        free -= _UNCERTAIN_FRACTION * memory
    return held <= free


def may_grow(own_held: int, answered_held: int, memory: int) -> bool:
    """Return whether an instance may send more without its keeper's answer.

    The last known total may be old, and the same at all instances. So each
    goes on as before, and by one request more than a tenth of the memory.

    Parameters
    ----------
    own_held : int
        Tokens that the instance's other requests at the engine hold.
    answered_held : int
        The same at the keeper's last answer.
    memory : int
        Memory of the engine in tokens.
    """
    return own_held <= answered_held + _UNCERTAIN_FRACTION * memory


def expect_free_seconds(
    held: int, total: int, memory: int, mean_stream_seconds: float
) -> float:
    """Return the expected seconds until a request fits.

    Running streams end evenly spread over their mean duration, so that each
    second frees the total divided by that duration.

    Parameters
    ----------
    held, total, memory : int
        See `fits`.
    mean_stream_seconds : float
        Mean duration of a stream.
    """
    missing = held + total - memory
    if missing <= 0 or total <= 0:
        return 0.0
    return mean_stream_seconds * min(1.0, missing / total)


class HeldTotal:
    """A number of requests and the tokens of memory that they hold.

    Parameters
    ----------
    running : int
        The number of requests.
    held : int
        Their tokens.
    at : float
        Monotonic time in seconds at which this was known.
    """

    __slots__ = ('running', 'held', 'at')

    def __init__(self, running: int, held: int, at: float) -> None:
        self.running = running
        self.held = held
        self.at = at


class KeptMemory:
    """What other instances' requests hold at one engine, for its keeper.

    Requests that were announced one by one are counted exactly. A report
    covers the requests that an instance had when it found a new keeper.
    """

    __slots__ = ('_requests', '_reports', '_assumed', '_taken_over_until')

    def __init__(self) -> None:
        # By sender and the number of its ask: the tokens.
        self._requests: dict[tuple[str, int], int] = {}
        # By sender.
        self._reports: dict[str, HeldTotal] = {}
        self._assumed: HeldTotal | None = None
        self._taken_over_until: float | None = None

    @property
    def is_keeper(self) -> bool:
        """Whether this instance keeps the engine."""
        return self._taken_over_until is not None

    def take_over(self, last_known: HeldTotal, since: float) -> None:
        """Become the keeper.

        Parameters
        ----------
        last_known : HeldTotal
            The last known total of other instances.
        since : float
            Monotonic time in seconds at which the keeper changed.
        """
        self._taken_over_until = since + MAX_TAKEOVER_SECONDS
        self._assumed = None
        if since - last_known.at < _MAX_TOTAL_AGE_SECONDS:
            self._assumed = last_known

    def hand_over(self) -> None:
        """Stop being the keeper."""
        self._taken_over_until = None
        self._assumed = None

    def is_exact(self, now: float) -> bool:
        """Return whether the total contains every request."""
        return (
            self._taken_over_until is not None
            and now >= self._taken_over_until
        )

    def read_total(self, now: float) -> HeldTotal:
        """Return the total of the other instances.

        While reports are outstanding, it contains the larger of what was
        reported and the last known total.
        """
        running = sum(each.running for each in self._reports.values())
        held = sum(each.held for each in self._reports.values())
        if self._assumed is not None and not self.is_exact(now):
            running = max(running, self._assumed.running)
            held = max(held, self._assumed.held)
        return HeldTotal(
            running + len(self._requests),
            held + sum(self._requests.values()),
            now,
        )

    def count(self, sender: str, number: int, held: int) -> None:
        """Count a request that an instance announced."""
        self._requests[sender, number] = held

    def release(self, sender: str, number: int) -> None:
        """Remove an announced request, if it is counted."""
        self._requests.pop((sender, number), None)

    def report(self, sender: str, total: HeldTotal) -> None:
        """Replace all that is counted of an instance by its own total."""
        self._drop_requests(sender)
        self._reports[sender] = total

    def reduce_report(self, sender: str, held: int) -> None:
        """Remove one request from an instance's report."""
        report = self._reports.get(sender)
        if report is None:
            return
        report.running = max(0, report.running - 1)
        report.held = max(0, report.held - held)
        if not report.running:
            del self._reports[sender]

    def forget_peer(self, sender: str) -> None:
        """Drop all requests of an instance."""
        self._drop_requests(sender)
        self._reports.pop(sender, None)

    def keep_peers(self, names: typing.Container[str]) -> None:
        """Drop the requests of all instances but those named."""
        for sender in {each[0] for each in self._requests} | set(
            self._reports
        ):
            if sender not in names:
                self.forget_peer(sender)

    def drop_reports(self, before: float) -> None:
        """Drop reports from before a time; their requests have ended."""
        for sender, report in list(self._reports.items()):
            if report.at < before:
                del self._reports[sender]

    def _drop_requests(self, sender: str) -> None:
        for key in [each for each in self._requests if each[0] == sender]:
            del self._requests[key]


class OwnPlaces:
    """How an engine's keeper counts the requests of this instance.

    Parameters
    ----------
    keeper : str
        The instance that keeps the engine; '' while none was told.

    Attributes
    ----------
    numbers : set of int
        The asks that announced requests one by one to that keeper. A report
        covers all other requests.
    answered_held : int
        Tokens that this instance's requests held at a keeper's last answer.
    """

    __slots__ = ('keeper', 'numbers', 'answered_held', '_told')

    def __init__(self) -> None:
        self.keeper = ''
        self.numbers: set[int] = set()
        self.answered_held = 0
        # All keepers that may still count requests of this instance.
        self._told: set[str] = set()

    def change_keeper(self, keeper: str, running: int) -> bool:
        """Record the keeper; return whether it needs a report.

        A keeper that was told something before needs one even if no request
        is running: otherwise it would count those of that time until they
        expire.

        Parameters
        ----------
        keeper : str
            The instance that keeps the engine now.
        running : int
            Requests of this instance at the engine.
        """
        is_needed = bool(running) or keeper in self._told
        self.keeper = keeper
        self.numbers.clear()
        if running:
            self._told.add(keeper)
        else:
            self._told.discard(keeper)
        return is_needed

    def announce(self, number: int) -> None:
        """Record that a request is announced to the keeper."""
        self.numbers.add(number)
        self._told.add(self.keeper)

    def end(self, number: int) -> bool:
        """Remove a request; return whether a report covers it."""
        if number in self.numbers:
            self.numbers.discard(number)
            return False
        return True
