"""Outcomes: how one try of a request at a backend server ended."""

import enum


class Outcome(enum.IntEnum):
    """How a try ended, as the dispatcher that granted it is told."""

    DONE = 0
    # The backend server's fault: no connection, a 5xx answer, a timeout.
    FAILED = 1
    # The caller left, or the answer was the caller's own fault (4xx).
    CANCELLED = 2
    # The try was never sent; the slot returns unused.
    UNUSED = 3
    # The request goes on; another dispatcher counts its slot from now on.
    MOVED = 4
