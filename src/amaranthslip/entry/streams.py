"""Relays one caller's event stream, across all tries of its request."""

import json
import time
import typing

from amaranthslip.backends import responses
from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import replies
from amaranthslip.entry import resumption
from amaranthslip.entry import unread
from amaranthslip.entry import usage
from amaranthslip import errors
from amaranthslip import metrics as metrics_

# A function that charges delivered tokens to the current grant.
Charge = typing.Callable[[float], None]

_DONE_EVENT = b'data: [DONE]\n\n'
_ERROR_PREFIX = b'data: {"error"'
# Limits in bytes. A longer event can't come from a model server. A stream with
# more delivered events is not kept and so can't be resumed; 32,000 tokens make
# about 6 MB of events.
_MAX_EVENT_BYTES = 1048576
_MAX_DELIVERED_BYTES = 8388608
_GAP_UNITS_PER_SECOND = 10000


class Stream:
    """Relays events to one caller and can continue on another engine.

    Forwards only complete events. A cut therefore never leaves a partial
    token at the caller, and the tokens counted are the tokens delivered.
    """

    __slots__ = (
        '_call',
        '_caller',
        '_metrics',
        '_delivered',
        '_delivered_bytes',
        '_rewriter',
        '_wants_usage_per_chunk',
        '_wants_final_usage',
        '_earlier_tokens',
        '_last_delivery',
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
        self._delivered: list[bytes] = []
        self._delivered_bytes = 0
        self._rewriter: resumption.ContinuationRewriter | None = None
        options = call.values.get('stream_options')
        options = options if isinstance(options, dict) else {}
        self._wants_final_usage = bool(options.get('include_usage'))
        self._wants_usage_per_chunk = self._wants_final_usage and bool(
            options.get('continuous_usage_stats')
        )
        # Tokens that earlier tries delivered.
        self._earlier_tokens = 0
        self._last_delivery = 0.0
        # Counts of the times between chunks, by multiples of 0.1 ms.
        # Recording each time in the histogram took a twelfth of the
        # processor time of a chunk.
        self._gaps: dict[int, int] = {}
        self.prompt_tokens = 0
        self.tokens = 0

    @property
    def started(self) -> bool:
        """Whether any part of the stream was sent to the caller."""
        return self._caller.started

    def compose_body(self) -> bytes:
        """Return the request body for the next try.

        Raises
        ------
        BackendFailed
            The stream can't be resumed from the delivered events.
        """
        values = self._call.values
        if not self._caller.started:
            body = usage.request_usage(self._call.body, values)
            if body is not None:
                return body
        else:
            delivered = self._decode_delivered()
            self._earlier_tokens = self.tokens = (
                self.tokens or delivered.text_count
            )
            self._rewriter = resumption.ContinuationRewriter(
                delivered, self.prompt_tokens, self.tokens
            )
            values = resumption.compose_continuation(
                values, delivered.text, self.tokens
            )
        options = {'include_usage': True, 'continuous_usage_stats': True}
        return json.dumps(values | {'stream_options': options}).encode()

    def finish_without_engine(self) -> bool:
        """Write the end of the stream if all tokens were already delivered.

        Returns
        -------
        bool
            Whether the end was written, so that no other try is needed.
        """
        if not self._caller.started:
            return False
        delivered = self._decode_delivered()
        limit_reached = resumption.has_reached_limit(
            self._call.values, self.tokens
        )
        if not delivered.finished and not limit_reached:
            return False
        self._caller.write(
            resumption.compose_final_events(
                delivered,
                prompt_tokens=self.prompt_tokens,
                tokens=self.tokens,
                with_usage=self._wants_final_usage,
            )
        )
        return True

    def relay(self, answer: responses.Response, charge: Charge) -> None:
        """Forward events up to and including `[DONE]`.

        Raises
        ------
        BackendFailed
            The stream was cut; its complete events were forwarded. The reason
            is `unread.REASON` if the caller didn't read it.
        """
        try:
            self._relay_events(answer, charge)
        except errors.BackendFailed as failure:
            raise unread.find_cause(self._caller, failure) from failure

    def _relay_events(
        self, answer: responses.Response, charge: Charge
    ) -> None:
        pending = b''
        while True:
            data = answer.read()
            if not data:
                raise _build_stream_error('ended', 'its stream without an end')
            if pending:
                data = pending + data
            end = data.rfind(b'\n\n') + 2
            if end < 2:
                pending = data
                if len(pending) > _MAX_EVENT_BYTES:
                    raise _build_stream_error('malformed_answer', 'no events')
                continue
            pending = data[end:]
            if self._forward_events(data[:end] if pending else data, charge):
                return

    def record(self) -> None:
        """Record the times between chunks; called once, at the end."""
        for gap, count in self._gaps.items():
            self._metrics.record(
                'between_tokens', gap / _GAP_UNITS_PER_SECOND, count=count
            )
        self._gaps.clear()

    def end_with_error(self, failure: replies.Failure) -> typing.NoReturn:
        """End a begun stream with an error that marks it as incomplete."""
        error = failure.encode(self._call.request_id)
        self._caller.write(b'data: ' + error + b'\n\n')
        raise callers.AnswerAborted()

    def _forward_events(self, data: bytes, charge: Charge) -> bool:
        done_at = data.find(_DONE_EVENT)
        if done_at >= 0:
            # Bytes after `[DONE]` do not belong to this answer.
            data = data[:done_at]
        if _ERROR_PREFIX in data:
            # An engine that fails in mid-stream sends an error event and
            # then ends the stream as if it were complete.
            data = data[: data.index(_ERROR_PREFIX)]
            self._deliver(data, charge)
            raise _build_stream_error('engine_error', 'an error in its stream')
        self._deliver(data, charge)
        if done_at >= 0:
            if not self._caller.started:
                self._begin_reply()
            self._caller.write(_DONE_EVENT)
        return done_at >= 0

    def _deliver(self, data: bytes, charge: Charge) -> None:
        if not data:
            return
        self._charge_tokens(data, charge)
        if self._rewriter is not None:
            data = self._rewriter.rewrite(data)
        if not self._wants_usage_per_chunk:
            data = usage.strip_usage(data, keep_last=self._wants_final_usage)
        if not data:
            return
        if not self._caller.started:
            self._begin_reply()
        self._caller.write(data)
        self._store_delivered(data)
        now = time.monotonic()
        if self._last_delivery:
            gap = int((now - self._last_delivery) * _GAP_UNITS_PER_SECOND)
            self._gaps[gap] = self._gaps.get(gap, 0) + 1
        else:
            self._metrics.record('first_token', now - self._call.arrived)
        self._last_delivery = now

    def _begin_reply(self) -> None:
        headers = [
            ('Content-Type', 'text/event-stream; charset=utf-8'),
            ('Cache-Control', 'no-cache'),
        ]
        self._caller.begin(
            replies.Reply(200, headers, b''), self._call.request_id
        )

    def _charge_tokens(self, data: bytes, charge: Charge) -> None:
        tokens = usage.read_completion_tokens(data)
        if tokens is None:
            if not self.prompt_tokens:
                # The engine sends no counts: an event is about one token.
                events = data.count(b'data: ')
                self.tokens += events
                charge(events)
            return
        cost = float(self._earlier_tokens + tokens - self.tokens)
        self.tokens = self._earlier_tokens + tokens
        if not self.prompt_tokens:
            # Charges the prompt once. An engine that resumes the stream
            # prefills it again, but the client account does not pay for the
            # loss of the first engine.
            self.prompt_tokens = usage.read_prompt_tokens(data) or 0
            cost += self.prompt_tokens * self._call.service.prompt_weight
        charge(cost)

    def _store_delivered(self, data: bytes) -> None:
        self._delivered_bytes += len(data)
        if self._delivered_bytes <= _MAX_DELIVERED_BYTES:
            self._delivered.append(data)
        else:
            self._delivered.clear()

    def _decode_delivered(self) -> resumption.DeliveredEvents:
        if self._delivered_bytes > _MAX_DELIVERED_BYTES:
            raise _build_stream_error('not_resumable', 'more than can be kept')
        delivered = resumption.DeliveredEvents(self._delivered)
        resumption.check_resumable(self._call.values, delivered)
        return delivered


def _build_stream_error(reason: str, problem: str) -> errors.BackendFailed:
    return errors.BackendFailed(
        reason,
        f'the engine sent {problem}; send the request again',
        sent=True,
    )
