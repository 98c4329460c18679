"""Attempts: takes one call through its tries to its one end."""

import time
import typing

import gevent

from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import claiming
from amaranthslip.entry import replies
from amaranthslip.entry import streams
from amaranthslip.entry import tries as tries_
from amaranthslip import errors
from amaranthslip.requests import outcomes
from amaranthslip.requests import retries as retries_

# Answers that another backend server may well not give.
_RETRIED_STATUSES = frozenset((500, 502, 503, 504))


class DeadlinePassed(gevent.GreenletExit):
    """The request's deadline came while its greenlet waited somewhere.

    No gevent.Timeout: whatever the greenlet waits in may catch those as its
    own.
    """


class Attempts:
    """Runs calls: a try, and further ones where that is right and paid."""

    __slots__ = ('_tries', '_retries', '_claiming', '_metrics')

    def __init__(
        self,
        tries: tries_.Tries,
        retries: retries_.RetryBudget,
        claiming_: claiming.Claiming,
        metrics: typing.Any,
    ) -> None:
        self._tries = tries
        self._retries = retries
        self._claiming = claiming_
        self._metrics = metrics

    def run(
        self, call: calls.Call, caller: callers.Caller
    ) -> replies.Reply | None:
        """Run a call; return its whole answer, or None after a stream.

        Raises
        ------
        RequestRefused
            It was not run in any try.
        OutcomeUnknown, BackendFailed
            It may have run.
        CallerLeft, AnswerAborted
            The connection has to be closed.
        """
        stream = None
        if call.streamed:
            stream = streams.Stream(call, caller, self._metrics)
        outcome = outcomes.Outcome.FAILED
        caller.watch()
        try:
            reply = self._run_until_deadline(call, caller, stream)
            if reply is None or reply.status < 500:
                outcome = outcomes.Outcome.DONE
            return reply
        except errors.AmaranthslipError as error:
            truth = _tell_truth(call, error)
            if stream is None or not caller.started:
                raise truth from error
            stream.fail(replies.describe_error(truth))
        finally:
            caller.ignore()
            if stream is not None:
                stream.record()
            if not call.sent:
                outcome = outcomes.Outcome.UNUSED
            self._claiming.settle(call, outcome)

    def _run_until_deadline(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
    ) -> replies.Reply | None:
        left = call.deadline - time.monotonic()
        try:
            with gevent.Timeout(max(left, 0.001), DeadlinePassed()):
                return self._try_until_done(call, caller, stream)
        except DeadlinePassed:
            pass
        raise errors.RequestRefused(
            'deadline',
            f'no answer within {call.kind.deadline_seconds:g} s, the'
            ' deadline of this kind of request; send it again later',
            status=504,
            retry_after=call.kind.deadline_seconds,
        )

    def _try_until_done(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
    ) -> replies.Reply | None:
        self._retries.note_request(call.account.name)
        tries = 0
        while True:
            tries += 1
            failure, reply = None, None
            try:
                reply = self._tries.make(call, caller, stream)
                if reply is None or not _is_worth_retry(call, reply):
                    return reply
                reason = f'status_{reply.status}'
            except errors.BackendFailed as error:
                if stream and stream.end_alone():
                    return None
                if call.sent and not call.kind.idempotent:
                    raise
                failure, reason = error, error.reason
            wait = self._retries.take(
                call.account.name, reason, tries=tries, deadline=call.deadline
            )
            if wait is None and failure is not None:
                raise failure
            if wait is None:
                return reply
            gevent.sleep(wait)


def _is_worth_retry(call: calls.Call, reply: replies.Reply) -> bool:
    return call.kind.idempotent and reply.status in _RETRIED_STATUSES


def _tell_truth(
    call: calls.Call, error: errors.AmaranthslipError
) -> errors.AmaranthslipError:
    # A retry may end in the queue's refusal or at the deadline, which alone
    # would be told as 'not run', although an earlier try was sent.
    if not call.sent or isinstance(error, errors.OutcomeUnknown):
        return error
    status = getattr(error, 'status', 502)
    return errors.BackendFailed(
        'outcome_unknown',
        f'{error}; an earlier try of this request may have run',
        sent=True,
        status=504 if status == 504 else 502,
    )
