"""Pauses: how a loop waits, and is woken."""

import gevent
from gevent import event


class Pauses:
    """Waits in real time; tests put a virtual one in its place."""

    __slots__ = ('_woken',)

    def __init__(self) -> None:
        self._woken = event.Event()

    def sleep(self, seconds: float) -> None:
        """Wait so long, in seconds, whatever happens."""
        gevent.sleep(max(0.0, seconds))

    def wait(self, seconds: float) -> None:
        """Wait so long, in seconds, or until `wake` is called."""
        self._woken.clear()
        self._woken.wait(max(0.0, seconds))

    def wake(self) -> None:
        """End the wait, if there is one."""
        self._woken.set()
