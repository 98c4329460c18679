"""Exchange of turns between instances.

An instance that would refuse a request for load asks the keeper of the
request's turn, the instance that ranks first for its fingerprint by rendezvous
hashing. No answer within the time of a keeper of a server means no turn.
"""

import functools
import logging
import time
import typing

from gevent import event

from amaranthslip.configuration import routes
from amaranthslip import errors
from amaranthslip import identity
from amaranthslip.members import rendezvous
from amaranthslip.members import roster as roster_module
from amaranthslip.requests import return_messages
from amaranthslip.requests import returns

_LOG = logging.getLogger(__name__)

# Refusal reasons after which a retry may have a turn: a later return helps.
LOAD_REASONS = frozenset(('overload', 'over_share', 'no_memory'))
# Part of the time that it has left for which a caller honours Retry-After.
_MAX_RETRY_FRACTION = 1 / 3
# Part of the objective within which a turn has to be due. A caller counts from
# its first attempt: returning later, it would be served late and delay others.
_MAX_DUE_FRACTION = 0.5
# Seconds to wait for an answer, as for those of the servers' keepers.
_ANSWER_TIMEOUT_SECONDS = 0.02
# Seconds without asking an instance that did not answer in time: refusals have
# to be fast, and there may be hundreds of them in a second.
_SILENT_BACKOFF_SECONDS = 0.3
# Event loop lag in seconds above which this instance keeps and uses no turns:
# answers would be read too late, and refusals add to the lag.
_MAX_LAG_SECONDS = 0.02


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is an implementation."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; return False if it can't be queued."""


class Request(typing.Protocol):
    """What turns need to know of a request; `places.PlacementRequest` is one.

    `deadline` is a monotonic time in seconds, and `tokens` the cost in tokens
    of engine throughput.
    """

    fingerprint: bytes
    client_account: str
    route: routes.Route
    deadline: float
    tokens: float


class ReturnExchange:
    """Keeps turns for refused requests, and finds them when they return.

    Parameters
    ----------
    roster : Roster
        The live instances.
    outbox : Outbox
        Sends the messages.
    read_share_rate : callable
        Returns the fair share of one account in tokens per second.
    metrics : Metrics
        Counts turns by event.
    read_lag : callable
        Returns the lag of this instance's event loop in seconds.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_read_share_rate',
        '_metrics',
        '_read_lag',
        '_clock',
        '_table',
        '_last_number',
        '_pending',
        '_silent_until',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: Outbox,
        read_share_rate: typing.Callable[[], float],
        metrics: typing.Any,
        *,
        read_lag: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._read_share_rate = read_share_rate
        self._metrics = metrics
        self._read_lag = read_lag
        self._clock = clock
        self._table = returns.TurnTable(self._read_pace, metrics, clock=clock)
        self._last_number = 0
        self._pending: dict[int, event.AsyncResult] = {}
        self._silent_until: dict[str, float] = {}

    def _read_pace(self) -> float:
        # Each live instance keeps the turns of an equal part of an account's
        # requests.
        return self._read_share_rate() / max(1, len(self._roster.list_live()))

    def take(
        self, request: Request, refusal: errors.RequestRefused
    ) -> float | None:
        """Use up the turn of a refused request if it is due.

        Otherwise a turn is kept for it if possible, and the `retry_after` of
        the refusal becomes the due time of its turn.

        Returns
        -------
        float or None
            Seconds since the refusal that gave the turn; None without a turn
            that is due.
        """
        if not request.fingerprint or self._read_lag() > _MAX_LAG_SECONDS:
            return None
        keeper = self._find_keeper(request.fingerprint)
        account = identity.hash_name(request.client_account)
        answer = self._ask(keeper, request.fingerprint, account)
        if answer is None:
            return None
        if answer.due:
            _LOG.info(
                'turn_used',
                extra={
                    'fingerprint': request.fingerprint.hex(),
                    'client_account': request.client_account,
                    'keeper': keeper,
                    'refused_for': refusal.reason,
                    'waited_ms': answer.waited_ms,
                    'left_ms': int((request.deadline - self._clock()) * 1000),
                },
            )
            return answer.waited_ms / 1000
        self._delay_return(request, refusal, keeper, account, answer)
        return None

    def _delay_return(
        self,
        request: Request,
        refusal: errors.RequestRefused,
        keeper: str,
        account: int,
        answer: return_messages.TurnAnswer,
    ) -> None:
        """Set the due time of a turn, unless its caller won't wait for it."""
        due_seconds = answer.due_ms / 1000
        if not answer.kept:
            due_seconds = max(due_seconds, refusal.retry_after or 0.0)
        left_seconds = request.deadline - self._clock()
        if not answer.due_ms or due_seconds > min(
            returns.MAX_DUE_SECONDS,
            _MAX_RETRY_FRACTION * left_seconds,
            _MAX_DUE_FRACTION * request.route.objective_seconds,
        ):
            self._metrics.count('turns', 'not_kept')
            return
        refusal.retry_after = due_seconds
        if answer.kept:
            return
        turn = return_messages.TurnKept(
            fingerprint=request.fingerprint,
            account=account,
            due_ms=round(1000 * due_seconds),
            tokens=int(request.tokens),
        )
        if keeper == self._roster.member.name:
            self._handle(turn, keeper)
        else:
            self._outbox.send(keeper, turn)

    def _ask(
        self, keeper: str, fingerprint: bytes, account: int
    ) -> return_messages.TurnAnswer | None:
        """Return a keeper's answer, or None if it doesn't come in time."""
        self._last_number += 1
        ask = return_messages.TurnAsk(
            number=self._last_number, fingerprint=fingerprint, account=account
        )
        if keeper == self._roster.member.name:
            return self._table.answer(ask)
        now = self._clock()
        if self._silent_until.get(keeper, 0.0) > now:
            return None
        pending = self._pending[ask.number] = event.AsyncResult()
        try:
            answer = None
            if self._outbox.send(keeper, ask):
                answer = pending.wait(_ANSWER_TIMEOUT_SECONDS)
        finally:
            del self._pending[ask.number]
        if answer is None:
            self._metrics.count('turns', 'no_answer')
            self._silent_until[keeper] = now + _SILENT_BACKOFF_SECONDS
        return answer

    def _find_keeper(self, fingerprint: bytes) -> str:
        # The list is empty if all instances are leaving, this one too.
        names = [each.name for each in self._roster.list_live()] or [
            self._roster.member.name
        ]
        return rendezvous.pick(fingerprint.hex(), names, 1)[0]

    def receive(self, sender: str, message: object) -> None:
        """Handle a message from another instance."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        raise TypeError(f'unexpected message: {type(message).__name__}')

    @_handle.register
    def _(self, message: return_messages.TurnKept, sender: str) -> None:
        self._table.keep(
            message.fingerprint,
            message.account,
            message.due_ms / 1000,
            message.tokens,
        )

    @_handle.register
    def _(self, message: return_messages.TurnAsk, sender: str) -> None:
        self._outbox.send(sender, self._table.answer(message))

    @_handle.register
    def _(self, message: return_messages.TurnAnswer, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.set(message)
