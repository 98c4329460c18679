"""What the entry asks of the dispatch decision, whichever policy runs it."""

import typing

from amaranthslip.configuration import document
from amaranthslip.requests import outcomes
from amaranthslip.requests import tickets


class Grant(typing.Protocol):
    """The right to send one request to one backend server, once."""

    backend_server: document.BackendServer

    def charge(self, tokens: float) -> None:
        """Charge tokens delivered since the last call, while streaming."""

    def finish(self, outcome: outcomes.Outcome) -> None:
        """Return the slot; the first call counts, later ones do nothing."""


class Scheduler(typing.Protocol):
    """Decides which request goes next, and to which backend server."""

    def acquire(self, ticket: tickets.Ticket) -> Grant:
        """Wait in the client account's queue until a slot is granted.

        Raises
        ------
        RequestRefused
            The queue is full, the wait too long, the account or service is
            gone, the instance is stopping, or no backend server is left.
        """
