"""Long computations that let other greenlets run in between."""

import time

import gevent

_SLICE_SECONDS = 0.004


class Pacer:
    """Yields to other greenlets once a slice of time is used up.

    A document of 25,000 client accounts takes seconds to check. Without
    pauses every stream that the instance relays would stand still for that
    long; with them a stream waits for one slice at most.

    Parameters
    ----------
    slice_seconds : float
        How long to compute between two pauses.
    """

    __slots__ = ('_slice_seconds', '_until')

    def __init__(self, *, slice_seconds: float = _SLICE_SECONDS) -> None:
        self._slice_seconds = slice_seconds
        self._until = time.monotonic() + slice_seconds

    def pause(self) -> None:
        """Let others run if the slice is used up."""
        if time.monotonic() < self._until:
            return
        gevent.sleep(0)
        self._until = time.monotonic() + self._slice_seconds
