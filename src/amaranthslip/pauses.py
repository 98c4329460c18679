"""Waits of background loops, which other greenlets can end early."""

import gevent
from gevent import event


class Waiter:
    """Waits in real time; tests use an implementation with virtual time."""

    __slots__ = ('_wake_event',)

    def __init__(self) -> None:
        self._wake_event = event.Event()

    def sleep(self, seconds: float) -> None:
        """Wait for `seconds`; calls of `wake` do not end this wait."""
        gevent.sleep(max(0.0, seconds))

    def wait(self, seconds: float) -> None:
        """Wait for `seconds` or until `wake` is called."""
        self._wake_event.clear()
        self._wake_event.wait(max(0.0, seconds))

    def wake(self) -> None:
        """End the current `wait`, if any."""
        self._wake_event.set()
