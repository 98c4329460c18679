"""Answers that a server cut off because their caller did not read them."""

from amaranthslip.entry import callers
from amaranthslip.entry import deadlines
from amaranthslip import errors

# Failure reason for such an answer. It is no failure of the server.
REASON = 'unread'
# Failure reasons for the end of a server's connection.
_ENDED_REASONS = frozenset(('cut', 'reset', 'ended'))
# Seconds for which a cut-off stream waits for its caller to receive what was
# written. A caller that reads again takes it in a round trip.
_CATCH_UP_SECONDS = 0.25


def find_cause(
    caller: callers.Caller, failure: errors.BackendFailed
) -> BaseException:
    """Return what ended a stream: the failure, its caller or the deadline.

    Returns
    -------
    BackendFailed or DeadlinePassed
        A failure with the reason `REASON` if the server cut the answer off
        while the caller didn't read.
    """
    if caller.overdue:
        return deadlines.DeadlinePassed()
    if failure.reason in _ENDED_REASONS and caller.left_unread():
        return errors.BackendFailed(
            REASON,
            'the engine cut off an answer that was not read; read faster, or'
            ' send the request again from the last event',
            sent=True,
        )
    return failure


def wait_for_caller(caller: callers.Caller) -> bool:
    """Return whether the caller receives what was written to it.

    Otherwise another engine would generate the rest for nobody.
    """
    return caller.wait_until_received(_CATCH_UP_SECONDS)
