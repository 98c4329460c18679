"""Relays event streams unchanged and continues them after a failure."""

import re
import time
import typing

import gevent

from amaranthslip.backends import responses
from amaranthslip.entry import callers
from amaranthslip.entry import replies
from amaranthslip.entry import unread
from amaranthslip import errors

# Bytes. A longer event can't come from a model server.
_MAX_EVENT_BYTES = 1048576
# Seconds. A shorter wait collects no second event, and costs more than it
# saves.
_MIN_BATCH_SECONDS = 0.01
_EVENT_ID = re.compile(rb'^id: ?([0-9]+) *$', re.MULTILINE)
_EVENT_END = b'\n\n'
# Seconds without a byte after which everything that an engine sent before the
# deadline has been read.
_READY_SECONDS = 0.005


class EventRelay:
    """Relays one stream's events to its caller, across several engines.

    Forwards only complete events, each once and in the order of their ids.
    If an engine's connection is cut inside an event, the next engine
    continues after the last complete one. The caller gets the headers of
    the first engine.

    Parameters
    ----------
    caller : Caller
        Receives the events.
    request_id : str
        Id of the request, sent in the answer's headers.
    last_id : int
        Id of the last event that the caller already has.
    read_batch_seconds : callable
        Returns for how many seconds events are collected before they are
        forwarded in one write.

    Attributes
    ----------
    longest_pause : float
        The longest time in seconds for which the present engine sent nothing
        after its first bytes. Time for which the caller didn't read does not
        count.
    """

    __slots__ = (
        'last_id',
        'longest_pause',
        '_caller',
        '_request_id',
        '_read_batch_seconds',
        '_on_begin',
    )

    def __init__(
        self,
        caller: callers.Caller,
        request_id: str,
        *,
        last_id: int,
        read_batch_seconds: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.last_id = last_id
        self.longest_pause = 0.0
        self._read_batch_seconds = read_batch_seconds
        self._caller = caller
        self._request_id = request_id
        self._on_begin: typing.Callable[[], None] = lambda: None

    @property
    def started(self) -> bool:
        """Whether any part of the answer was sent to the caller."""
        return self._caller.started

    def relay(
        self,
        answer: responses.Response,
        headers: typing.Sequence[tuple[str, str]],
        on_first_bytes: typing.Callable[[], None],
        on_begin: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Forward events until the end of the stream.

        Parameters
        ----------
        answer : Response
            The engine's answer.
        headers : sequence of (str, str)
            Headers for the caller, used if none were sent yet.
        on_first_bytes : callable
            Called when the engine's first bytes arrive.
        on_begin : callable
            Called before the first event is written to the caller.

        Raises
        ------
        BackendFailed
            The stream was cut off, or an event is missing. The reason is
            `unread.REASON` if the caller didn't read it.
        CallerDisconnected
            The caller disconnected.
        DeadlinePassed
            The deadline passed during a write, and what the engine had sent
            by then was forwarded.
        """
        self._on_begin = on_begin
        try:
            self._relay_events(answer, headers, on_first_bytes)
        except errors.BackendFailed as failure:
            raise unread.find_cause(self._caller, failure) from failure

    def _relay_events(
        self,
        answer: responses.Response,
        headers: typing.Sequence[tuple[str, str]],
        on_first_bytes: typing.Callable[[], None],
    ) -> None:
        pending = b''
        first = True
        self.longest_pause = 0.0
        reading_at = time.monotonic()
        while data := answer.read():
            if first:
                first = False
                on_first_bytes()
            else:
                pause = time.monotonic() - reading_at
                self.longest_pause = max(self.longest_pause, pause)
            pending += data
            end = pending.rfind(_EVENT_END) + len(_EVENT_END)
            if end < len(_EVENT_END):
                self._check_length(pending)
                continue
            self._forward_events(pending[:end], headers)
            pending = pending[end:]
            if self._caller.overdue:
                answer.set_idle_timeout(_READY_SECONDS)
            self._wait_for_batch()
            reading_at = time.monotonic()
        if pending:
            raise _build_stream_error(
                'ended in the middle of an event',
                reason='stream_broken' if answer.complete else 'cut',
            )
        if not self._caller.started:
            self._begin_reply(headers)

    def _wait_for_batch(self) -> None:
        seconds = self._read_batch_seconds()
        if seconds >= _MIN_BATCH_SECONDS:
            gevent.sleep(seconds)

    def _forward_events(
        self, data: bytes, headers: typing.Sequence[tuple[str, str]]
    ) -> None:
        new_events = []
        for event in data.split(_EVENT_END)[:-1]:
            event_id = _find_id(event)
            if event_id is not None:
                if event_id <= self.last_id:
                    # An earlier engine already sent this event.
                    continue
                if event_id != self.last_id + 1:
                    self._write(b''.join(new_events), headers)
                    raise _build_stream_error(
                        f'left out events after {self.last_id}'
                    )
                self.last_id = event_id
            new_events.append(event + _EVENT_END)
        self._write(b''.join(new_events), headers)

    def _write(
        self, data: bytes, headers: typing.Sequence[tuple[str, str]]
    ) -> None:
        if not data:
            return
        if not self._caller.started:
            self._on_begin()
            self._begin_reply(headers)
        self._caller.write(data)

    def _begin_reply(self, headers: typing.Sequence[tuple[str, str]]) -> None:
        self._caller.begin(replies.Reply(200, headers, b''), self._request_id)

    def _check_length(self, pending: bytes) -> None:
        if len(pending) > _MAX_EVENT_BYTES:
            raise _build_stream_error('sent no events')


def read_whole_events(
    answer: responses.Response,
) -> typing.Iterator[bytes]:
    """Yield the events of a stream as they arrive, each batch whole.

    Raises
    ------
    BackendFailed
        The stream was cut off, or holds no events.
    """
    answer.limit_receive()
    pending = b''
    while data := answer.read():
        pending += data
        end = pending.rfind(_EVENT_END) + len(_EVENT_END)
        if end >= len(_EVENT_END):
            yield pending[:end]
            pending = pending[end:]
        elif len(pending) > _MAX_EVENT_BYTES:
            raise _build_stream_error('sent no events')
    if pending:
        raise _build_stream_error('ended in the middle of an event')


def find_last_id(data: bytes) -> int | None:
    """Return the number of the last of some events, or None."""
    for event in reversed(data.split(_EVENT_END)):
        event_id = _find_id(event)
        if event_id is not None:
            return event_id
    return None


def _find_id(event: bytes) -> int | None:
    match = _EVENT_ID.search(event)
    return int(match.group(1)) if match else None


def _build_stream_error(
    problem: str, *, reason: str = 'stream_broken'
) -> errors.BackendFailed:
    return errors.BackendFailed(
        reason,
        f'the engine {problem}; send the request again from the last event',
        sent=True,
    )
