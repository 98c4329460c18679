"""Cooperative time slicing for long computations."""

import time

import gevent

_SLICE_SECONDS = 0.004


class Pacer:
    """Yields to other greenlets when a time slice is used up.

    Validating a document of 25,000 client accounts takes seconds. Without
    yields every stream that the instance relays would stall for that time.
    With them a stream is delayed by one slice at most.

    Parameters
    ----------
    slice_seconds : float
        The longest computation between two yields, in seconds.
    """

    __slots__ = ('_slice_seconds', '_until')

    def __init__(self, *, slice_seconds: float = _SLICE_SECONDS) -> None:
        self._slice_seconds = slice_seconds
        self._until = time.monotonic() + slice_seconds

    def pause(self) -> None:
        """Yield to other greenlets if the time slice is used up."""
        if time.monotonic() < self._until:
            return
        gevent.sleep(0)
        self._until = time.monotonic() + self._slice_seconds
