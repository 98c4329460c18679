"""Lines: one client account's requests at one entry, for one service."""

import collections
import time
import typing

import gevent.event

from amaranthslip.capacity import prefixes
from amaranthslip import errors
from amaranthslip.requests import tickets

# A request may be passed over this often by younger ones of its own account
# whose prompt prefix the offered server holds.
_MOST_BYPASSES = 8
_WINDOW = 8
_RATE = 0.2


class Waiter:
    """One request in its line, until it is granted or refused."""

    __slots__ = ('ticket', 'granted', 'bypassed', 'enqueued')

    def __init__(self, ticket: tickets.Ticket, enqueued: float) -> None:
        self.ticket = ticket
        self.granted = gevent.event.AsyncResult()
        self.bypassed = 0
        self.enqueued = enqueued


class Told:
    """What one dispatcher was told of a line, and what it makes of it.

    `count` is the backlog that the dispatcher believes in, `total` the
    delivered service and `running` the requests in progress that it was
    told.
    """

    __slots__ = ('count', 'total', 'running')

    def __init__(self, total: float) -> None:
        self.count = 0
        self.total = total
        self.running = 0


class Line:
    """The waiting requests of one client account at one service."""

    __slots__ = (
        'service',
        'client_account',
        'waiters',
        'total',
        'running',
        'estimate',
        'hint',
        'told',
        'extras',
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
        self.told: dict[str, Told] = {}
        self.extras: set[str] = set()
        self.interval = 0.0
        self._clock = clock
        self._last_grant = 0.0

    def find_told(self, dispatcher: str) -> Told:
        """Return what a dispatcher was told; nothing yet, if it is new."""
        told = self.told.get(dispatcher)
        if told is None:
            told = self.told[dispatcher] = Told(self.total)
        return told

    def join(self, ticket: tickets.Ticket) -> Waiter:
        """Add a request at the end."""
        waiter = Waiter(ticket, self._clock())
        self.waiters.append(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Take a request out; nothing if it is not there any more."""
        try:
            self.waiters.remove(waiter)
        except ValueError:
            pass

    def pop(
        self, server: str, known: prefixes.Prefixes | None
    ) -> Waiter | None:
        """Take the request that best uses a slot of a server, or None.

        Among the account's oldest requests it is the one whose prompt
        prefix the server likely holds: that choice costs no other account
        anything.
        """
        usable = [
            waiter
            for waiter in list(self.waiters)[:_WINDOW]
            if server not in waiter.ticket.excluded
        ]
        if not usable:
            return None
        chosen = self._prefer(server, usable, known)
        for waiter in usable:
            if waiter is chosen:
                break
            waiter.bypassed += 1
        self.waiters.remove(chosen)
        self._note_rate()
        return chosen

    def age(self) -> float:
        """Return how long the oldest request has waited, in seconds."""
        if not self.waiters:
            return 0.0
        return self._clock() - self.waiters[0].enqueued

    def predict_wait(self) -> float:
        """Return the likely wait of one more request, in seconds."""
        return self.interval * len(self.waiters)

    def refuse_all(self, error: errors.RequestRefused) -> None:
        """Refuse every waiting request."""
        while self.waiters:
            self.waiters.popleft().granted.set_exception(error)

    def hear(self, score: float) -> None:
        """Keep the highest score of the account that was heard of."""
        self.hint = max(self.hint, score)

    def _prefer(
        self,
        server: str,
        usable: typing.Sequence[Waiter],
        known: prefixes.Prefixes | None,
    ) -> Waiter:
        first = usable[0]
        if known is None or first.bypassed >= _MOST_BYPASSES:
            return first
        return max(
            usable,
            key=lambda waiter: known.count_match(
                server, waiter.ticket.prefix_hashes
            ),
        )

    def _note_rate(self) -> None:
        now = self._clock()
        if self._last_grant and self.waiters:
            elapsed = now - self._last_grant
            self.interval += _RATE * (elapsed - self.interval)
        self._last_grant = now
