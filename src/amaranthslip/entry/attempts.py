"""Attempts: takes one call through grants, tries and retries to its end."""

import hashlib
import logging
import time
import typing

import gevent
from gevent import pool

from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_
from amaranthslip.backends import answers
from amaranthslip.backends import connections as connections_
from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import headers
from amaranthslip.entry import replies
from amaranthslip.entry import streams
from amaranthslip.entry import tickets
from amaranthslip.entry import usage
from amaranthslip.requests import outcomes
from amaranthslip.requests import retries as retries_
from amaranthslip.shares import scheduling

_log = logging.getLogger(__name__)


class _Use:
    """The use of one grant; leaving it returns the slot with its outcome."""

    __slots__ = ('grant', 'outcome')

    def __init__(self, grant: scheduling.Grant) -> None:
        self.grant = grant
        self.outcome = outcomes.Outcome.UNUSED

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.grant.finish(self.outcome)


class Attempts:
    """Runs calls: acquire, send, relay, and again where that is right."""

    __slots__ = (
        '_settings',
        '_scheduler',
        '_claims',
        '_estimator',
        '_metrics',
        '_connections',
        '_retries',
        '_settling',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        scheduler: scheduling.Scheduler,
        claims: typing.Any,
        estimator: typing.Any,
        metrics: metrics_.Metrics,
        connections: connections_.Connections,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._claims = claims
        self._estimator = estimator
        self._metrics = metrics
        self._connections = connections
        self._retries = retries_.RetryBudget(settings, metrics)
        self._settling = pool.Pool()

    def run(
        self, call: calls.Call, caller: callers.Caller
    ) -> replies.Reply | None:
        """Run a call; return its whole answer, or None after a stream.

        Raises
        ------
        RequestRefused
            It was not run.
        OutcomeUnknown, BackendFailed
            It may have run.
        CallerLeft, AnswerAborted
            The connection has to be closed.
        """
        left = max(call.deadline - time.monotonic(), 0.0)
        timer = gevent.Timeout.start_new(left)
        caller.watch()
        stream = None
        if call.streamed:
            stream = streams.Stream(call, caller, self._metrics)
        outcome = outcomes.Outcome.FAILED
        try:
            reply = self._try_until_done(call, caller, stream)
            if reply is None or reply.status < 500:
                outcome = outcomes.Outcome.DONE
            return reply
        except gevent.Timeout as passed:
            if passed is not timer:
                raise
            self._end(call, caller, stream, _describe_late(call))
        except errors.AmaranthslipError as error:
            self._end(call, caller, stream, error)
        finally:
            timer.close()
            caller.ignore()
            self._finish(call, outcome)

    def join(self) -> None:
        """Wait until every claim is settled."""
        self._settling.join()

    def _end(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
        error: errors.AmaranthslipError,
    ) -> typing.NoReturn:
        error = _tell_truth(call, error)
        if stream is not None and caller.started:
            self._metrics.count('requests', 'aborted')
            stream.fail(replies.describe_error(error))
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
            reply = None
            try:
                reply = self._try_once(call, caller, stream)
                if not _is_worth_retry(call, reply):
                    return reply
                reason = f'status_{reply.status}'
            except errors.BackendFailed as failure:
                reason = failure.reason
                if stream is not None and stream.end_alone():
                    return None
                if call.sent and not call.kind.idempotent:
                    raise
                wait = self._take_retry(call, reason, tries)
                if wait is None:
                    raise
            else:
                wait = self._take_retry(call, reason, tries)
                if wait is None:
                    return reply
            gevent.sleep(wait)

    def _take_retry(
        self, call: calls.Call, reason: str, tries: int
    ) -> float | None:
        return self._retries.take(
            call.account.name, reason, tries=tries, deadline=call.deadline
        )

    def _try_once(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
    ) -> replies.Reply | None:
        body = stream.compose_body() if stream is not None else call.body
        ticket = tickets.build_ticket(call, self._estimator)
        grant = self._scheduler.acquire(ticket)
        with _Use(grant) as use:
            waited = time.monotonic() - ticket.enqueued
            self._metrics.record('queue_wait', waited)
            self._take_claim(call, caller)
            server = grant.backend_server
            sent_before, call.sent = call.sent, True
            use.outcome = outcomes.Outcome.FAILED
            try:
                answer = self._connections.send(server, _write(call, body))
            except errors.BackendFailed as failure:
                call.sent = sent_before or failure.sent
                call.excluded.add(server.name)
                raise
            except callers.CallerLeft:
                use.outcome = outcomes.Outcome.CANCELLED
                raise
            with answer:
                return self._relay(call, stream, answer, use)

    def _relay(
        self,
        call: calls.Call,
        stream: streams.Stream | None,
        answer: answers.Answer,
        use: _Use,
    ) -> replies.Reply | None:
        use.outcome = outcomes.Outcome.CANCELLED
        server = use.grant.backend_server
        try:
            if stream is not None and _is_stream(answer):
                stream.relay(answer, use.grant)
                use.outcome = outcomes.Outcome.DONE
                self._learn(call, stream.prompt_tokens, stream.tokens)
                return None
            if stream is not None and not call.sent:
                raise AssertionError
            most_bytes = self._settings.limits.answer_bytes
            content = answer.read_whole(most_bytes)
        except errors.BackendFailed:
            use.outcome = outcomes.Outcome.FAILED
            call.excluded.add(server.name)
            raise
        use.outcome = _judge(answer.status)
        if answer.status >= 500:
            call.excluded.add(server.name)
        self._charge_whole(call, answer, content, use.grant)
        kept = headers.strip_answer_headers(answer.headers)
        return replies.Reply(answer.status, kept, content)
