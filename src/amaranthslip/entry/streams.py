"""Streams: one caller's stream of events, over all tries at it."""

import json
import time
import typing

from amaranthslip.backends import answers
from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import replies
from amaranthslip.entry import resumption
from amaranthslip.entry import usage
from amaranthslip import errors
from amaranthslip import metrics as metrics_

# Charges delivered tokens to the grant in use.
Charge = typing.Callable[[float], None]

_DONE = b'data: [DONE]\n\n'
_ERROR = b'data: {"error"'
# Bytes: an event longer than this is no model's, and the delivered events
# of a longer stream are not kept, so that it can't be resumed. 32,000
# tokens make about 6 MB of events.
_EVENT_BYTES = 1048576
_KEPT_BYTES = 8388608
_GAPS_PER_SECOND = 10000


class Stream:
    """Relays events to one caller and can go on at another engine.

    Only whole events are passed on, so a cut never leaves half a token at
    the caller, and the tokens counted are the tokens delivered.
    """

    __slots__ = (
        '_call',
        '_caller',
        '_metrics',
        '_kept',
        '_kept_bytes',
        '_splice',
        '_wants_all',
        '_wants_last',
        '_before',
        '_latest',
        '_gaps',
        'prompt_tokens',
        'tokens',
    )

    def __init__(
        self,
        call: calls.Call,
        caller: callers.Caller,
        metrics: metrics_.Metrics,
    ) -> None:
        self._call = call
        self._caller = caller
        self._metrics = metrics
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._splice: resumption.Splice | None = None
        options = call.values.get('stream_options')
        options = options if isinstance(options, dict) else {}
        self._wants_last = bool(options.get('include_usage'))
        self._wants_all = self._wants_last and bool(
            options.get('continuous_usage_stats')
        )
        # Tokens that earlier tries delivered.
        self._before = 0
        self._latest = 0.0
        # Times between chunks in steps of a tenth of a millisecond, with
        # their counts: recording each in the histogram took a twelfth of a
        # chunk's processor time.
        self._gaps: dict[int, int] = {}
        self.prompt_tokens = 0
        self.tokens = 0

    @property
    def started(self) -> bool:
        """Whether the caller has got any of it."""
        return self._caller.started

    def compose_body(self) -> bytes:
        """Return the body for the next try at an engine.

        Raises
        ------
        BackendFailed
            What was delivered can't be resumed.
        """
        values = self._call.values
        if not self._caller.started:
            body = usage.ask_for_usage(self._call.body, values)
            if body is not None:
                return body
        else:
            delivered = self._decode_delivered()
            self._before = self.tokens = self.tokens or delivered.pieces
            self._splice = resumption.Splice(
                delivered, self.prompt_tokens, self.tokens
            )
            values = resumption.compose_continuation(
                values, delivered.text, self.tokens
            )
        options = {'include_usage': True, 'continuous_usage_stats': True}
        return json.dumps(values | {'stream_options': options}).encode()

    def end_alone(self) -> bool:
        """Write the end if every token was delivered before the cut."""
        if not self._caller.started:
            return False
        delivered = self._decode_delivered()
        exhausted = resumption.is_exhausted(self._call.values, self.tokens)
        if not delivered.finished and not exhausted:
            return False
        self._caller.write(
            resumption.compose_ending(
                delivered,
                prompt_tokens=self.prompt_tokens,
                tokens=self.tokens,
                with_usage=self._wants_last,
            )
        )
        return True

    def relay(self, answer: answers.Answer, charge: Charge) -> None:
        """Pass events on until `[DONE]`.

        Raises
        ------
        BackendFailed
            The stream was cut; whole events of it were passed on.
        """
        pending = b''
        while True:
            data = answer.read()
            if not data:
                raise _describe_cut('ended', 'its stream without an end')
            if pending:
                data = pending + data
            end = data.rfind(b'\n\n') + 2
            if end < 2:
                pending = data
                if len(pending) > _EVENT_BYTES:
                    raise _describe_cut('malformed_answer', 'no events')
                continue
            pending = data[end:]
            if self._pass_on(data[:end] if pending else data, charge):
                return

    def record(self) -> None:
        """Record the times between chunks, once at the stream's end."""
        for gap, count in self._gaps.items():
            self._metrics.record(
                'between_tokens', gap / _GAPS_PER_SECOND, count=count
            )
        self._gaps.clear()

    def fail(self, failure: replies.Failure) -> typing.NoReturn:
        """End a stream that was begun, so that it can't pass for whole."""
        error = failure.encode(self._call.request_id)
        self._caller.write(b'data: ' + error + b'\n\n')
        raise callers.AnswerAborted()

    def _pass_on(self, data: bytes, charge: Charge) -> bool:
        at = data.find(_DONE)
        if at >= 0:
            # Nothing after the end belongs to this answer.
            data = data[:at]
        if _ERROR in data:
            # An engine that fails in the middle says so and then ends the
            # stream as a whole one.
            data = data[: data.index(_ERROR)]
            self._deliver(data, charge)
            raise _describe_cut('engine_error', 'an error in its stream')
        self._deliver(data, charge)
        if at >= 0:
            if not self._caller.started:
                self._begin()
            self._caller.write(_DONE)
        return at >= 0

    def _deliver(self, data: bytes, charge: Charge) -> None:
        if not data:
            return
        self._count(data, charge)
        if self._splice is not None:
            data = self._splice.rewrite(data)
        if not self._wants_all:
            data = usage.strip_usage(data, keep_last=self._wants_last)
        if not data:
            return
        if not self._caller.started:
            self._begin()
        self._caller.write(data)
        self._keep(data)
        now = time.monotonic()
        if self._latest:
            gap = int((now - self._latest) * _GAPS_PER_SECOND)
            self._gaps[gap] = self._gaps.get(gap, 0) + 1
        else:
            self._metrics.record('first_token', now - self._call.arrived)
        self._latest = now

    def _begin(self) -> None:
        headers = [
            ('Content-Type', 'text/event-stream; charset=utf-8'),
            ('Cache-Control', 'no-cache'),
        ]
        self._caller.begin(
            replies.Reply(200, headers, b''), self._call.request_id
        )

    def _count(self, data: bytes, charge: Charge) -> None:
        tokens = usage.read_completion_tokens(data)
        if tokens is None:
            if not self.prompt_tokens:
                # An engine without counts: one event is about one token.
                events = data.count(b'data: ')
                self.tokens += events
                charge(events)
            return
        cost = float(self._before + tokens - self.tokens)
        self.tokens = self._before + tokens
        if not self.prompt_tokens:
            # Once: an engine that resumes prefills the prompt again, and
            # the client account does not pay for the loss of the first.
            self.prompt_tokens = usage.read_prompt_tokens(data) or 0
            cost += self.prompt_tokens * self._call.service.prompt_weight
        charge(cost)

    def _keep(self, data: bytes) -> None:
        self._kept_bytes += len(data)
        if self._kept_bytes <= _KEPT_BYTES:
            self._kept.append(data)
        else:
            self._kept.clear()

    def _decode_delivered(self) -> resumption.Delivered:
        if self._kept_bytes > _KEPT_BYTES:
            raise _describe_cut('not_resumable', 'more than can be kept')
        delivered = resumption.Delivered(self._kept)
        resumption.check_resumable(self._call.values, delivered)
        return delivered


def _describe_cut(reason: str, what: str) -> errors.BackendFailed:
    return errors.BackendFailed(
        reason,
        f'the engine sent {what}; send the request again',
        sent=True,
    )
