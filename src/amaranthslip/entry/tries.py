"""Runs single tries of a call, from the slot grant to the answer's end."""

import functools
import typing

from amaranthslip.backends import connections as connections_
from amaranthslip.backends import outgoing
from amaranthslip.backends import responses
from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import claiming
from amaranthslip.entry import crashes
from amaranthslip.entry import headers
from amaranthslip.entry import replies
from amaranthslip.entry import streams
from amaranthslip.entry import tickets
from amaranthslip.entry import unread
from amaranthslip.entry import usage
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.requests import outcomes
from amaranthslip import settings as settings_
from amaranthslip.shares import scheduling


# Seconds to wait for the last chunk after `[DONE]`, so that the connection can
# be kept for reuse.
_LAST_CHUNK_SECONDS = 0.05


class _GrantUse:
    """Context manager that returns a granted slot with the try's outcome."""

    __slots__ = ('grant', 'outcome', 'charged')

    def __init__(self, grant: scheduling.Grant) -> None:
        self.grant = grant
        self.outcome = outcomes.Outcome.UNUSED
        self.charged = 0.0

    def charge(self, tokens: float) -> None:
        """Charge the tokens delivered since the last call of this method."""
        self.charged += tokens
        self.grant.charge(tokens)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.grant.finish(self.outcome)


class TryRunner:
    """Runs single tries: acquires a slot, claims the key, sends and relays.

    Parameters
    ----------
    settings : Settings
        `limits.answer_bytes` is used.
    scheduler : Scheduler
        Grants slots at backend servers.
    claiming_ : CallClaims
        Claims the idempotency keys of calls.
    estimator : object
        Estimates the cost of model requests from earlier ones.
    metrics : Metrics
        Counts `service_tokens` by client account.
    connections : Connections
        Connections to backend servers.
    crash_guard : CrashGuard
        Reports server crashes and refuses quarantined requests.
    """

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
        claiming_: claiming.CallClaims,
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

    def run_try(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
    ) -> replies.Reply | None:
        """Run one try of a call.

        Returns
        -------
        Reply or None
            The whole answer, or None if it was relayed as a stream.

        Raises
        ------
        RequestRefused
            Nothing was sent in this try: no slot was granted, the key could
            not be claimed, the request is quarantined, or it can't be encoded
            as HTTP.
        RequestRepeated, OutcomeUnknown
            Nothing was sent in this try: a request with the same key has run
            or may have run.
        BackendFailed
            The backend server gave no whole answer.
        """
        self._crash_guard.check(call)
        caller.memory.reserve_exchange()
        body = stream.compose_body() if stream else call.body
        ticket = tickets.build_ticket(call, self._estimator)
        grant = self._scheduler.acquire(ticket)
        with _GrantUse(grant) as grant_use:
            # Checked again: the request may have been quarantined while it
            # waited for the grant.
            self._crash_guard.check(call)
            # Claimed after the grant, so that no claim is written for a
            # request that the queue refuses, and before any byte is sent.
            self._claiming.claim_key(call)
            if not call.kind.idempotent and stream is None:
                # The request continues when the caller disconnects, so that
                # its claim records the outcome for later requests with the
                # same idempotency key.
                caller.stop_watching()
            with self._send(call, body, grant_use) as answer:
                return self._relay(call, caller, stream, answer, grant_use)

    def _send(
        self, call: calls.Call, body: bytes, grant_use: _GrantUse
    ) -> responses.Response:
        server = grant_use.grant.backend_server
        request = outgoing.BackendRequest(
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
        # Also the outcome if the deadline passes before the server answers.
        grant_use.outcome = outcomes.Outcome.FAILED
        try:
            return self._connections.send(server, request)
        except errors.BackendFailed as failure:
            call.sent = sent_before or failure.sent
            call.excluded.add(server.name)
            self._crash_guard.note_failure(call, server, failure)
            raise
        except errors.RequestRefused:
            call.sent = sent_before
            grant_use.outcome = outcomes.Outcome.UNUSED
            raise
        except callers.CallerDisconnected:
            grant_use.outcome = outcomes.Outcome.CANCELLED
            raise

    def _relay(
        self,
        call: calls.Call,
        caller: callers.Caller,
        stream: streams.Stream | None,
        answer: responses.Response,
        grant_use: _GrantUse,
    ) -> replies.Reply | None:
        grant_use.outcome = outcomes.Outcome.CANCELLED
        try:
            if stream and _is_stream(answer):
                answer.limit_receive()
                stream.relay(answer, grant_use.charge)
                self._learn(call, stream.prompt_tokens, stream.tokens)
                self._crash_guard.note_completion(
                    call,
                    grant_use.grant.backend_server,
                    succeeded=True,
                    delimited=True,
                )
                grant_use.outcome = outcomes.Outcome.DONE
                # The slot is returned before the wait for the last chunk: the
                # engine has generated its last token, and the slot must not
                # stay unused meanwhile.
                grant_use.grant.finish(grant_use.outcome)
                answer.drain(_LAST_CHUNK_SECONDS)
                return None
            if stream and stream.started:
                raise errors.BackendFailed(
                    'resume_refused',
                    f'the engine did not resume the stream ({answer.status});'
                    ' send the request again',
                    sent=True,
                )
            return self._read_reply(call, caller, answer, grant_use)
        except errors.BackendFailed as failure:
            server = grant_use.grant.backend_server
            call.excluded.add(server.name)
            if failure.reason == unread.REASON:
                # The outcome stays CANCELLED: the caller was slow.
                raise
            grant_use.outcome = outcomes.Outcome.FAILED
            self._crash_guard.note_failure(
                call,
                server,
                failure,
                last_event=stream.tokens if stream else 0,
            )
            raise
        finally:
            self._metrics.count(
                'service_tokens', call.account.name, grant_use.charged
            )

    def _read_reply(
        self,
        call: calls.Call,
        caller: callers.Caller,
        answer: responses.Response,
        grant_use: _GrantUse,
    ) -> replies.Reply:
        memory = caller.memory.answer
        memory.release()
        body = answer.read_body(
            self._settings.limits.answer_bytes, memory.reserve
        )
        self._crash_guard.note_completion(
            call,
            grant_use.grant.backend_server,
            succeeded=answer.status < 400,
            delimited=answer.complete,
        )
        if answer.status >= 500:
            grant_use.outcome = outcomes.Outcome.FAILED
            call.excluded.add(grant_use.grant.backend_server.name)
        elif answer.status < 400:
            grant_use.outcome = outcomes.Outcome.DONE
            self._charge(call, body, grant_use)
        pairs = headers.strip_answer_headers(answer.headers)
        if call.method == 'HEAD':
            length = [each for each in answer.headers if _is_length(each)]
            pairs.extend(length)
        return replies.Reply(answer.status, pairs, body)

    def _charge(
        self, call: calls.Call, body: bytes, grant_use: _GrantUse
    ) -> None:
        if call.values is None:
            grant_use.charge(tickets.PLAIN_COST)
            return
        prompt = usage.read_prompt_tokens(body) or 0
        tokens = usage.read_completion_tokens(body) or 0
        grant_use.charge(prompt * call.service.prompt_weight + tokens)
        self._learn(call, prompt, tokens)

    def _learn(self, call: calls.Call, prompt: int, tokens: int) -> None:
        cost = prompt * call.service.prompt_weight + tokens
        self._estimator.learn(call.account.name, call.kind.name, cost)


def _note_broken_connection(call: calls.Call) -> bool:
    """Record that a kept connection broke, and allow a resend."""
    call.kept_connection_broke = True
    return True


def _is_stream(answer: responses.Response) -> bool:
    return answer.status == 200 and answer.content_type.startswith(
        'text/event-stream'
    )


def _is_length(pair: tuple[str, str]) -> bool:
    return pair[0].lower() == 'content-length'
