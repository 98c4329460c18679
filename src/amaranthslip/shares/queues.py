"""Request queues of an entry, one for each service and client account."""

import collections
import time
import typing

import gevent.event

from amaranthslip.capacity import prefixes
from amaranthslip import errors
from amaranthslip.requests import tickets

# A request may be overtaken this often by later requests of its own account
# whose prompt prefix the offered server likely caches.
_MAX_BYPASSES = 8
_LOOKAHEAD = 8
_SMOOTHING_FACTOR = 0.2


class Waiter:
    """A queued request, until it gets a slot or is refused."""

    __slots__ = ('ticket', 'granted', 'bypassed', 'enqueued')

    def __init__(self, ticket: tickets.Ticket, enqueued: float) -> None:
        self.ticket = ticket
        self.granted = gevent.event.AsyncResult()
        self.bypassed = 0
        self.enqueued = enqueued


class ReportedState:
    """The state of a queue that was last reported to one dispatcher.

    `count` is the reported backlog less the grants received since, `total`
    the reported service in tokens and `running` the reported number of
    requests in progress.
    """

    __slots__ = ('count', 'total', 'running')

    def __init__(self, total: float) -> None:
        self.count = 0
        self.total = total
        self.running = 0


class AccountQueue:
    """The waiting requests of one client account for one service.

    `total` is the service delivered in tokens, `running` the number of
    requests that hold slots, `estimate` the expected cost of one request in
    tokens, `hint` the highest score received, `reported` the reported state by
    dispatcher, `extra_dispatchers` the dispatchers outside the homes that
    demand is reported to, and `interval` the mean time between grants in
    seconds.
    """

    __slots__ = (
        'service',
        'client_account',
        'waiters',
        'total',
        'running',
        'estimate',
        'hint',
        'reported',
        'extra_dispatchers',
        'interval',
        '_clock',
        '_last_grant',
    )

    def __init__(
        self,
        service: str,
        client_account: str,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.service = service
        self.client_account = client_account
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.total = 0.0
        self.running = 0
        self.estimate = 0.0
        self.hint = 0.0
        self.reported: dict[str, ReportedState] = {}
        self.extra_dispatchers: set[str] = set()
        self.interval = 0.0
        self._clock = clock
        self._last_grant = 0.0

    def get_reported(self, dispatcher: str) -> ReportedState:
        """Return the reported state; a new dispatcher starts at no backlog."""
        reported = self.reported.get(dispatcher)
        if reported is None:
            reported = self.reported[dispatcher] = ReportedState(self.total)
        return reported

    def append(self, ticket: tickets.Ticket) -> Waiter:
        """Append a request to the queue."""
        waiter = Waiter(ticket, self._clock())
        self.waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; has no effect if it has left the queue."""
        try:
            self.waiters.remove(waiter)
        except ValueError:
            pass

    def pop(
        self, server: str, known: prefixes.Prefixes | None
    ) -> Waiter | None:
        """Remove and return the best request for a slot, or None.

        Among the oldest requests of the account, this is the one with the
        longest prompt prefix that the server likely caches. The choice does
        not affect other accounts.
        """
        usable = [
            waiter
            for waiter in list(self.waiters)[:_LOOKAHEAD]
            if server not in waiter.ticket.excluded
        ]
        if not usable:
            return None
        chosen = self._choose_waiter(server, usable, known)
        for waiter in usable:
            if waiter is chosen:
                break
            waiter.bypassed += 1
        self.waiters.remove(chosen)
        self._update_interval()
        return chosen

    def age(self) -> float:
        """Return the wait of the oldest request in seconds."""
        if not self.waiters:
            return 0.0
        return self._clock() - self.waiters[0].enqueued

    def predict_wait(self) -> float:
        """Return the expected wait of a new request in seconds."""
        return self.interval * len(self.waiters)

    def refuse_all(self, error: errors.RequestRefused) -> None:
        """Refuse every waiting request."""
        while self.waiters:
            self.waiters.popleft().granted.set_exception(error)

    def observe_score(self, score: float) -> None:
        """Keep the highest score received for the account."""
        self.hint = max(self.hint, score)

    def _choose_waiter(
        self,
        server: str,
        usable: typing.Sequence[Waiter],
        known: prefixes.Prefixes | None,
    ) -> Waiter:
        first = usable[0]
        if known is None or first.bypassed >= _MAX_BYPASSES:
            return first
        return max(
            usable,
            key=lambda waiter: known.count_match(
                server, waiter.ticket.prefix_hashes
            ),
        )

    def _update_interval(self) -> None:
        now = self._clock()
        if self._last_grant and self.waiters:
            elapsed = now - self._last_grant
            self.interval += _SMOOTHING_FACTOR * (elapsed - self.interval)
        self._last_grant = now
