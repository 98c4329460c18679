"""The deadline of a request, which spares an answer that is being written."""

import typing

import gevent
import greenlet

from amaranthslip.entry import callers

# Seconds after the deadline for which a caller may go on reading what was
# received before it. Its place at the server is kept meanwhile.
_MAX_LATE_SECONDS = 2.0


class DeadlinePassed(gevent.GreenletExit):
    """The deadline of a request passed while its greenlet was waiting.

    Not a gevent.Timeout, because the code in which the greenlet waits may
    catch that as a timeout of its own.
    """


class DeadlineTimer:
    """Throws DeadlinePassed into the greenlet that enters its context.

    A write to the caller is not interrupted at the deadline: the caller is
    marked as overdue instead, so that what was received is still delivered.

    Parameters
    ----------
    caller : Caller
        Receives the answer.
    seconds : float
        Seconds until the deadline, above 0.
    """

    __slots__ = ('_caller', '_greenlet', '_timer')

    def __init__(self, caller: callers.Caller, seconds: float) -> None:
        self._caller = caller
        self._greenlet = greenlet.getcurrent()
        self._timer = gevent.get_hub().loop.timer(seconds, _MAX_LATE_SECONDS)

    def __enter__(self) -> typing.Self:
        self._timer.start(self._expire)
        return self

    def __exit__(self, *details: object) -> None:
        self._timer.stop()
        self._timer.close()

    def _expire(self) -> None:
        # Runs in the hub, so the greenlet is not running and can be thrown
        # into.
        if self._caller.writing and not self._caller.overdue:
            self._caller.overdue = True
            return
        self._greenlet.throw(DeadlinePassed())
