"""Tries: one grant's use, from the slot to the end of an answer."""

import functools
import typing

from amaranthslip.backends import answers
from amaranthslip.backends import connections as connections_
from amaranthslip.backends import outgoing
from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import claiming
from amaranthslip.entry import crashes
from amaranthslip.entry import headers
from amaranthslip.entry import replies
from amaranthslip.entry import streams
from amaranthslip.entry import tickets
from amaranthslip.entry import usage
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.requests import outcomes
from amaranthslip import settings as settings_
from amaranthslip.shares import scheduling


# Seconds to wait for the last chunk behind `[DONE]`, to keep a connection.
_END_SECONDS = 0.05


class _Use:
    """The use of one grant; leaving it returns the slot with its outcome."""

    __slots__ = ('grant', 'outcome', 'charged')

    def __init__(self, grant: scheduling.Grant) -> None:
        self.grant = grant
        self.outcome = outcomes.Outcome.UNUSED
        self.charged = 0.0

    def charge(self, tokens: float) -> None:
        """Charge what was delivered since the last call."""
        self.charged += tokens
        self.grant.charge(tokens)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.grant.finish(self.outcome)


class Tries:
    """Makes single tries of calls: acquire, claim, send, relay."""

    __slots__ = (
        '_settings',
        '_scheduler',
        '_claiming',
        '_estimator',
        '_metrics',
        '_connections',
        '_crash_guard',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        scheduler: scheduling.Scheduler,
        claiming_: claiming.Claiming,
        estimator: typing.Any,
        metrics: metrics_.Metrics,
        connections: connections_.Connections,
        crash_guard: crashes.CrashGuard,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._claiming = claiming_
        self._estimator = estimator
        self._metrics = metrics
        self._connections = connections
        self._crash_guard = crash_guard

    def make(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
    ) -> replies.Reply | None:
        """Make one try; return a whole answer, or None after a stream.

        Raises
        ------
        RequestRefused
            No slot, or no claim: nothing was sent in this try.
        BackendFailed
            The backend server gave no whole answer.
        """
        self._crash_guard.check(call)
        body = stream.compose_body() if stream else call.body
        ticket = tickets.build_ticket(call, self._estimator)
        grant = self._scheduler.acquire(ticket)
        with _Use(grant) as use:
            # Checked again: the request may have been quarantined while it
            # waited for the grant.
            self._crash_guard.check(call)
            # After the grant, so that no claim is written for a request
            # that the queue refuses; before the first byte is sent.
            self._claiming.take(call)
            if not call.kind.idempotent and stream is None:
                # What may have run is let run to its end, so that its claim
                # tells a later arrival of the key how it ended.
                caller.ignore()
            with self._send(call, body, use) as answer:
                return self._relay(call, stream, answer, use)

    def _send(
        self, call: calls.Call, body: bytes, use: _Use
    ) -> answers.Answer:
        server = use.grant.backend_server
        request = outgoing.Outgoing(
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=body,
            reuse=(
                outgoing.Reuse.ANY
                if call.kind.idempotent
                else outgoing.Reuse.NEVER
            ),
            request_id=call.request_id,
            may_resend=functools.partial(_note_broken_connection, call),
        )
        call.kept_connection_broke = False
        sent_before, call.sent = call.sent, True
        # A server that says nothing until the deadline has failed, too.
        use.outcome = outcomes.Outcome.FAILED
        try:
            return self._connections.send(server, request)
        except errors.BackendFailed as failure:
            call.sent = sent_before or failure.sent
            call.excluded.add(server.name)
            self._crash_guard.note_failure(call, server, failure)
            raise
        except errors.RequestRefused:
            call.sent = sent_before
            use.outcome = outcomes.Outcome.UNUSED
            raise
        except callers.CallerLeft:
            use.outcome = outcomes.Outcome.CANCELLED
            raise

    def _relay(
        self,
        call: calls.Call,
        stream: streams.Stream | None,
        answer: answers.Answer,
        use: _Use,
    ) -> replies.Reply | None:
        use.outcome = outcomes.Outcome.CANCELLED
        try:
            if stream and _is_stream(answer):
                stream.relay(answer, use.charge)
                self._learn(call, stream.prompt_tokens, stream.tokens)
                self._crash_guard.note_completion(call)
                use.outcome = outcomes.Outcome.DONE
                # Before the wait for the last chunk: the engine has made
                # its last token, and the slot must not idle meanwhile.
                use.grant.finish(use.outcome)
                answer.finish(_END_SECONDS)
                return None
            if stream and stream.started:
                raise errors.BackendFailed(
                    'resume_refused',
                    f'the engine did not resume the stream ({answer.status});'
                    ' send the request again',
                    sent=True,
                )
            return self._read_reply(call, answer, use)
        except errors.BackendFailed as failure:
            server = use.grant.backend_server
            use.outcome = outcomes.Outcome.FAILED
            call.excluded.add(server.name)
            self._crash_guard.note_failure(
                call,
                server,
                failure,
                last_event=stream.tokens if stream else 0,
            )
            raise
        finally:
            self._metrics.count(
                'service_tokens', call.account.name, use.charged
            )

    def _read_reply(
        self, call: calls.Call, answer: answers.Answer, use: _Use
    ) -> replies.Reply:
        body = answer.read_whole(self._settings.limits.answer_bytes)
        self._crash_guard.note_completion(call)
        if answer.status >= 500:
            use.outcome = outcomes.Outcome.FAILED
            call.excluded.add(use.grant.backend_server.name)
        elif answer.status < 400:
            use.outcome = outcomes.Outcome.DONE
            self._charge(call, body, use)
        pairs = headers.strip_answer_headers(answer.headers)
        if call.method == 'HEAD':
            length = [each for each in answer.headers if _is_length(each)]
            pairs.extend(length)
        return replies.Reply(answer.status, pairs, body)

    def _charge(self, call: calls.Call, body: bytes, use: _Use) -> None:
        if call.values is None:
            use.charge(tickets.PLAIN_COST)
            return
        prompt = usage.read_prompt_tokens(body) or 0
        tokens = usage.read_completion_tokens(body) or 0
        use.charge(prompt * call.service.prompt_weight + tokens)
        self._learn(call, prompt, tokens)

    def _learn(self, call: calls.Call, prompt: int, tokens: int) -> None:
        cost = prompt * call.service.prompt_weight + tokens
        self._estimator.learn(call.account.name, call.kind.name, cost)


def _note_broken_connection(call: calls.Call) -> bool:
    """Record that a kept connection broke, and allow the resend."""
    call.kept_connection_broke = True
    return True


def _is_stream(answer: answers.Answer) -> bool:
    return answer.status == 200 and answer.content_type.startswith(
        'text/event-stream'
    )


def _is_length(pair: tuple[str, str]) -> bool:
    return pair[0].lower() == 'content-length'
