"""Outcomes of a single try of a request at a backend server."""

import enum


class Outcome(enum.IntEnum):
    """How a try ended, as reported to the dispatcher that granted its slot."""

    DONE = 0
    # The backend server failed: no connection, a 5xx answer, or a timeout.
    FAILED = 1
    # The caller disconnected, or sent an invalid request (4xx answer).
    CANCELLED = 2
    # The try was not sent, and its slot is released unused.
    UNUSED = 3
    # The request continues, but another dispatcher accounts for its slot from
    # now on.
    TRANSFERRED = 4
