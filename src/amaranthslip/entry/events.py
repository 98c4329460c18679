"""Event streams passed on as they are, and gone on with after a break."""

import re
import typing

import gevent

from amaranthslip.backends import answers
from amaranthslip.entry import callers
from amaranthslip.entry import replies
from amaranthslip import errors

# Bytes: an event longer than this is no model's.
_MOST_EVENT_BYTES = 1048576
# Seconds: in less, no second event comes, and waiting costs more than it
# saves.
_LEAST_HOLD_SECONDS = 0.01
_ID = re.compile(rb'^id: ?([0-9]+) *$', re.MULTILINE)
_END = b'\n\n'


class EventRelay:
    """Relays one stream's events to its caller, over all engines.

    Only whole events pass, each once and in the order of their ids: an
    engine may break off in the middle of one, and the next begins after the
    last whole one. The caller keeps the first engine's headers.

    Parameters
    ----------
    caller : Caller
        Gets the events.
    request_id : str
        Of the request, for the answer's headers.
    last_id : int
        The last event that the caller has already.
    read_hold : callable
        Returns for how many seconds events are gathered before they are
        passed on together.
    """

    __slots__ = ('last_id', '_caller', '_request_id', '_read_hold')

    def __init__(
        self,
        caller: callers.Caller,
        request_id: str,
        *,
        last_id: int,
        read_hold: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.last_id = last_id
        self._read_hold = read_hold
        self._caller = caller
        self._request_id = request_id

    @property
    def started(self) -> bool:
        """Whether the caller has got anything of the answer."""
        return self._caller.started

    def relay(
        self,
        answer: answers.Answer,
        headers: typing.Sequence[tuple[str, str]],
        began: typing.Callable[[], None],
    ) -> None:
        """Pass on events until the stream's end.

        Parameters
        ----------
        answer : Answer
            The engine's.
        headers : sequence of (str, str)
            For the caller, where nothing was sent yet.
        began : callable
            Called when the engine's first bytes came.

        Raises
        ------
        BackendFailed
            The stream broke off, or an event is missing.
        CallerLeft
            Nobody reads any longer.
        """
        pending = b''
        first = True
        while data := answer.read():
            if first:
                first = False
                began()
            pending += data
            end = pending.rfind(_END) + len(_END)
            if end < len(_END):
                self._check_length(pending)
                continue
            self._pass_on(pending[:end], headers)
            pending = pending[end:]
            self._gather()
        if pending:
            raise _describe_break('ended in the middle of an event')
        if not self._caller.started:
            self._begin(headers)

    def _gather(self) -> None:
        seconds = self._read_hold()
        if seconds >= _LEAST_HOLD_SECONDS:
            gevent.sleep(seconds)

    def _pass_on(
        self, data: bytes, headers: typing.Sequence[tuple[str, str]]
    ) -> None:
        kept = []
        for event in data.split(_END)[:-1]:
            number = _find_id(event)
            if number is not None:
                if number <= self.last_id:
                    # It came already, from an engine before.
                    continue
                if number != self.last_id + 1:
                    self._write(b''.join(kept), headers)
                    raise _describe_break(
                        f'left out events after {self.last_id}'
                    )
                self.last_id = number
            kept.append(event + _END)
        self._write(b''.join(kept), headers)

    def _write(
        self, data: bytes, headers: typing.Sequence[tuple[str, str]]
    ) -> None:
        if not data:
            return
        if not self._caller.started:
            self._begin(headers)
        self._caller.write(data)

    def _begin(self, headers: typing.Sequence[tuple[str, str]]) -> None:
        self._caller.begin(replies.Reply(200, headers, b''), self._request_id)

    def _check_length(self, pending: bytes) -> None:
        if len(pending) > _MOST_EVENT_BYTES:
            raise _describe_break('sent no events')


def _find_id(event: bytes) -> int | None:
    found = _ID.search(event)
    return int(found.group(1)) if found else None


def _describe_break(what: str) -> errors.BackendFailed:
    return errors.BackendFailed(
        'stream_broken',
        f'the engine {what}; send the request again from the last event',
        sent=True,
    )
