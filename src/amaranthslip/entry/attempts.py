"""Runs a call with retries until its final answer or error."""

import logging
import time
import typing

import gevent

from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import claiming
from amaranthslip.entry import deadlines
from amaranthslip.entry import replies
from amaranthslip.entry import streams
from amaranthslip.entry import tries as tries_
from amaranthslip.entry import unread
from amaranthslip import errors
from amaranthslip.requests import outcomes
from amaranthslip.requests import retries as retries_

_LOG = logging.getLogger(__name__)

# Statuses after which an idempotent request is retried: another backend server
# may answer it without an error.
_RETRIED_STATUSES = frozenset((500, 502, 503, 504))


class CallRunner:
    """Runs calls, with retries as far as safety and the budget allow.

    Parameters
    ----------
    tries : TryRunner
        Runs each single try.
    retries : RetryBudget
        Limits the retries of each client account.
    claiming_ : CallClaims
        Settles the claims of idempotency keys.
    metrics : Metrics
        Records the latencies of streams.
    """

    __slots__ = ('_tries', '_retries', '_claiming', '_metrics')

    def __init__(
        self,
        tries: tries_.TryRunner,
        retries: retries_.RetryBudget,
        claiming_: claiming.CallClaims,
        metrics: typing.Any,
    ) -> None:
        self._tries = tries
        self._retries = retries
        self._claiming = claiming_
        self._metrics = metrics

    def run(
        self, call: calls.Call, caller: callers.Caller
    ) -> replies.Reply | None:
        """Run a call with retries until its answer, an error or its deadline.

        Returns
        -------
        Reply or None
            The whole answer, or None if it was relayed as a stream.

        Raises
        ------
        RequestRefused
            The request was not run in any try.
        RequestRepeated
            A request with the same idempotency key is running or has run.
        OutcomeUnknown, BackendFailed
            The request may have run.
        CallerDisconnected, AnswerAborted
            The connection to the caller has to be closed.
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
            final_error = _build_final_error(call, error)
            if stream is None or not caller.started:
                raise final_error from error
            stream.end_with_error(replies.describe_error(final_error))
        finally:
            caller.stop_watching()
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
            with deadlines.DeadlineTimer(caller, max(left, 0.001)):
                return self._try_until_done(call, caller, stream)
        except deadlines.DeadlinePassed as passed:
            error = deadlines.build_error(passed, _build_late_error(call))
        raise error

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
                reply = self._tries.run_try(call, caller, stream)
                if reply is None or not _should_retry(call, reply):
                    return reply
                reason = f'status_{reply.status}'
            except errors.BackendFailed as error:
                if stream and stream.finish_without_engine():
                    return None
                if call.sent and not call.kind.idempotent:
                    raise
                if error.reason == unread.REASON:
                    self._end_unread(call, caller)
                failure, reason = error, error.reason
            wait_seconds = self._retries.take_retry(
                call.account.name, reason, tries=tries, deadline=call.deadline
            )
            if wait_seconds is None and failure is not None:
                raise failure
            if wait_seconds is None:
                return reply
            gevent.sleep(wait_seconds)

    def _end_unread(self, call: calls.Call, caller: callers.Caller) -> None:
        """Abort an answer that was cut off, unless its caller caught up."""
        caught_up = unread.wait_for_caller(caller)
        self._metrics.count('unread', 'resumed' if caught_up else 'aborted')
        _LOG.info(
            'caller_reads_slowly',
            extra={'request_id': call.request_id, 'caught_up': caught_up},
        )
        if not caught_up:
            raise callers.AnswerAborted()


def _build_late_error(call: calls.Call) -> errors.RequestRefused:
    return errors.RequestRefused(
        'deadline',
        f'no answer within {call.kind.deadline_seconds:g} s, the deadline of'
        ' this kind of request; send it again later',
        status=504,
        retry_after=call.kind.deadline_seconds,
    )


def _should_retry(call: calls.Call, reply: replies.Reply) -> bool:
    return call.kind.idempotent and reply.status in _RETRIED_STATUSES


def _build_final_error(
    call: calls.Call, error: errors.AmaranthslipError
) -> errors.AmaranthslipError:
    # A retry may be refused by the queue or end at the deadline. That error
    # alone would tell the caller that the request was not run, although an
    # earlier try was sent.
    if not call.sent or isinstance(error, errors.OutcomeUnknown):
        return error
    status = getattr(error, 'status', 502)
    return errors.BackendFailed(
        'outcome_unknown',
        f'{error}; an earlier try of this request may have run',
        sent=True,
        status=504 if status == 504 else 502,
    )
