"""Leases of slots that an entry holds, one for each running request."""

import time
import typing

from amaranthslip.configuration import document
from amaranthslip.requests import outcomes
from amaranthslip.requests import tickets
from amaranthslip.shares import queues


class LeaseManager(typing.Protocol):
    """Receives the delivered tokens and the end of a lease."""

    def charge(self, queue: queues.AccountQueue, tokens: float) -> None:
        """Count delivered tokens."""

    def finish(self, lease: 'SlotLease', outcome: outcomes.Outcome) -> None:
        """Return a lease's slot."""


class SlotLease:
    """A slot of a backend server, held for one request; see `Grant`.

    `holder` is the dispatcher that currently counts the slot.
    """

    __slots__ = (
        'id',
        'ticket',
        'backend_server',
        'holder',
        'queue',
        '_manager',
        '_first_at',
        '_last_at',
        '_tokens',
    )

    def __init__(
        self,
        manager: LeaseManager,
        queue: queues.AccountQueue,
        ticket: tickets.Ticket,
        backend_server: document.BackendServer,
        *,
        id: int,
        holder: str,
    ) -> None:
        self.id = id
        self.ticket = ticket
        self.backend_server = backend_server
        self.holder = holder
        self._manager = manager
        self.queue = queue
        self._first_at = 0.0
        self._last_at = 0.0
        self._tokens = 0.0

    def charge(self, tokens: float) -> None:
        """Charge tokens delivered since the last call."""
        now = time.monotonic()
        if self._first_at:
            self._tokens += tokens
        else:
            self._first_at = now
        self._last_at = now
        self._manager.charge(self.queue, tokens)

    def finish(self, outcome: outcomes.Outcome) -> None:
        """Return the slot; only the first call has an effect."""
        self._manager.finish(self, outcome)

    @property
    def service(self) -> str:
        """The service that the slot belongs to."""
        return self.queue.service

    @property
    def client_account(self) -> str:
        """The client account that the slot was granted for."""
        return self.queue.client_account

    @property
    def pace(self) -> float:
        """Mean time between tokens in seconds, zero if unknown."""
        if self._tokens <= 0:
            return 0.0
        return (self._last_at - self._first_at) / self._tokens
