"""The interface between the entry and the scheduler of any policy."""

import typing

from amaranthslip.configuration import document
from amaranthslip.requests import outcomes
from amaranthslip.requests import tickets


class Grant(typing.Protocol):
    """The right to send one request to one backend server once."""

    backend_server: document.BackendServer

    def charge(self, tokens: float) -> None:
        """Charge the tokens streamed since the last call."""

    def finish(self, outcome: outcomes.Outcome) -> None:
        """Return the slot; only the first call has an effect."""


class Scheduler(typing.Protocol):
    """Selects the next request to serve and its backend server."""

    def acquire(self, ticket: tickets.Ticket) -> Grant:
        """Wait in the client account's queue until a slot is granted.

        Raises
        ------
        RequestRefused
            The queue is full, the wait is too long, the account or service
            was removed, the instance is stopping, or no backend server is
            left.
        """
