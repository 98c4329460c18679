"""The deadline of a request, which spares an answer that is being written."""

import typing

import gevent
import greenlet

from amaranthslip.entry import callers
from amaranthslip.entry import progress as progress_
from amaranthslip import errors

# Seconds after the deadline for which a caller may go on reading what was
# received before it. Its place at the server is kept meanwhile.
_MAX_LATE_SECONDS = 2.0


class DeadlinePassed(gevent.GreenletExit):
    """The deadline of a request passed while its greenlet was waiting.

    Not a gevent.Timeout, because the code in which the greenlet waits may
    catch that as a timeout of its own.
    """


class StopPassed(DeadlinePassed):
    """The process ends before the request's deadline."""


def build_error(
    passed: DeadlinePassed, late: errors.AmaranthslipError
) -> errors.AmaranthslipError:
    """Return what a request ends with: `late`, or the refusal of a stop."""
    if isinstance(passed, StopPassed):
        return progress_.build_stop_refusal()
    return late


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
        self._caller.progress.add_wait(self)
        return self

    def __exit__(self, *details: object) -> None:
        self._caller.progress.remove_wait(self)
        self._timer.stop()
        self._timer.close()

    def end(self) -> None:
        """End the wait, unless the answer is being written."""
        gevent.get_hub().loop.run_callback(self._end)

    def _end(self) -> None:
        if self._timer.active and not self._caller.writing:
            self._greenlet.throw(StopPassed())

    def _expire(self) -> None:
        # Runs in the hub, so the greenlet is not running and can be thrown
        # into.
        if self._caller.writing and not self._caller.overdue:
            self._caller.overdue = True
            return
        self._greenlet.throw(DeadlinePassed())
