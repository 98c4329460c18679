"""Order of return: a request refused for load gets a turn for its retry.

Without turns, a caller that returns when it was told to competes with the
newcomers of that moment, and is refused again. The instance that ranks first
for the request's fingerprint by rendezvous hashing keeps the turn, so that the
caller may return at any instance. Fingerprints spread the turns of an account
evenly over the instances: each of them paces its part of the account's share,
and no instance has to know the turns of the others.
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

_LOG = logging.getLogger(__name__)

# Refusal reasons after which a retry may have a turn: a later return helps.
LOAD_REASONS = frozenset(('overload', 'over_share', 'no_memory'))
# Maximum number of turns that an instance keeps, and the part of them for one
# client account, so that a flood leaves room for all others.
MAX_TURNS = 4096
MAX_ACCOUNT_TURNS = MAX_TURNS // 8
# Seconds after which a turn ends. Callers honour Retry-After up to a third of
# the time they have left, which is 5 s on the route with the longest deadline.
_TURN_TTL_SECONDS = 5.0
# Seconds from its due time on in which a turn can be used. A caller that waits
# as it was told returns within a fraction of it. With a longer time, an
# account could save up turns and use all of them in one burst.
_USE_SECONDS = 1.0
# Longest time until a turn is due, in seconds: it ends `_USE_SECONDS` later.
_MAX_DUE_SECONDS = _TURN_TTL_SECONDS - _USE_SECONDS
# Part of the time that it has left for which a caller honours Retry-After.
_MAX_RETRY_FRACTION = 1 / 3
# Part of the objective within which a turn has to be due. A caller counts from
# its first attempt: returning later, it would be served late and delay others.
_MAX_DUE_FRACTION = 0.5
# Seconds by which a return may be early: the message that keeps the turn takes
# longer to its keeper than the refusal to the caller.
_EARLY_SECONDS = 0.02
# Seconds between two searches for turns that ended, each of which takes about
# 0.2 ms with a full table.
_SCAN_SECONDS = 0.25
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


class _Turn:
    """The turn of one request; times are monotonic seconds."""

    __slots__ = ('account', 'kept_at', 'due_at')

    def __init__(self, account: int, kept_at: float, due_at: float) -> None:
        self.account = account
        self.kept_at = kept_at
        self.due_at = due_at

    @property
    def ends_at(self) -> float:
        """When the turn can't be used any more."""
        return min(
            self.due_at + _USE_SECONDS, self.kept_at + _TURN_TTL_SECONDS
        )


class TurnTable:
    """The turns that one instance keeps.

    Parameters
    ----------
    read_pace : callable
        Returns the tokens per second at which turns of one account become due
        here: this instance's part of the account's fair share, infinite
        without contention.
    metrics : Metrics
        Counts turns by event.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_read_pace',
        '_metrics',
        '_clock',
        '_turns',
        '_accounts',
        '_next_scan_at',
    )

    def __init__(
        self,
        read_pace: typing.Callable[[], float],
        metrics: typing.Any,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._read_pace = read_pace
        self._metrics = metrics
        self._clock = clock
        # By fingerprint.
        self._turns: dict[bytes, _Turn] = {}
        # By the hash of the account's name.
        self._accounts: dict[int, _AccountTurns] = {}
        self._next_scan_at = float('-inf')

    def __len__(self) -> int:
        return len(self._turns)

    def count_account(self, account: int) -> int:
        """Return the number of turns of an account."""
        turns = self._accounts.get(account)
        return 0 if turns is None else turns.count

    def keep(
        self, fingerprint: bytes, account: int, due_seconds: float, tokens: int
    ) -> bool:
        """Keep a turn for a request, unless it has one or there is no room.

        Parameters
        ----------
        due_seconds : float
            The time until the turn is due.
        tokens : int
            The cost of the request, which delays the account's next turn.
        """
        self._drop_expired()
        if fingerprint in self._turns or not self._has_room(account):
            return False
        if not 0 <= due_seconds <= _MAX_DUE_SECONDS:
            return False
        now = self._clock()
        self._turns[fingerprint] = _Turn(account, now, now + due_seconds)
        turns = self._accounts.setdefault(account, _AccountTurns())
        turns.count += 1
        turns.next_due_at = max(now, turns.next_due_at) + tokens / max(
            1.0, self._read_pace()
        )
        self._metrics.count('turns', 'kept')
        return True

    def answer(
        self, ask: return_messages.TurnAsk
    ) -> return_messages.TurnAnswer:
        """Return the answer to an ask; use up a turn that is due."""
        self._drop_expired()
        now = self._clock()
        turn = self._turns.get(ask.fingerprint)
        if turn is not None and turn.ends_at <= now:
            self._drop(ask.fingerprint)
            turn = None
        if turn is None:
            return _build_answer(ask, due_ms=self._find_due_ms(ask.account))
        if turn.account != ask.account:
            return _build_answer(ask)
        if now < turn.due_at - _EARLY_SECONDS:
            self._metrics.count('turns', 'early')
            return _build_answer(
                ask, kept=True, due_ms=_to_ms(turn.due_at - now)
            )
        self._remove(ask.fingerprint)
        self._metrics.count('turns', 'used')
        return _build_answer(
            ask, due=True, waited_ms=_to_ms(now - turn.kept_at)
        )

    def _find_due_ms(self, account: int) -> int:
        """Return when a new turn could be due, in milliseconds; 0 if never."""
        if not self._has_room(account):
            return 0
        turns = self._accounts.get(account)
        if turns is None:
            return 1
        seconds = max(0.0, turns.next_due_at - self._clock())
        return _to_ms(seconds) if seconds <= _MAX_DUE_SECONDS else 0

    def _has_room(self, account: int) -> bool:
        return (
            len(self._turns) < MAX_TURNS
            and self.count_account(account) < MAX_ACCOUNT_TURNS
        )

    def _remove(self, fingerprint: bytes) -> None:
        turn = self._turns.pop(fingerprint)
        self._accounts[turn.account].count -= 1

    def _drop_expired(self) -> None:
        """Drop turns that ended, and the data of accounts without turns."""
        now = self._clock()
        if now < self._next_scan_at:
            return
        self._next_scan_at = now + _SCAN_SECONDS
        for fingerprint, turn in list(self._turns.items()):
            if turn.ends_at <= now:
                self._drop(fingerprint)
        for account, turns in list(self._accounts.items()):
            if not turns.count and turns.next_due_at <= now:
                del self._accounts[account]

    def _drop(self, fingerprint: bytes) -> None:
        self._remove(fingerprint)
        self._metrics.count('turns', 'expired')


class _AccountTurns:
    """The number of an account's turns, and when its next one may be due."""

    __slots__ = ('count', 'next_due_at')

    def __init__(self) -> None:
        self.count = 0
        self.next_due_at = 0.0


def _to_ms(seconds: float) -> int:
    # At least 1: an answer with 0 tells that no turn can be kept.
    return max(1, round(seconds * 1000))


def _build_answer(
    ask: return_messages.TurnAsk,
    *,
    due: bool = False,
    kept: bool = False,
    due_ms: int = 0,
    waited_ms: int = 0,
) -> return_messages.TurnAnswer:
    return return_messages.TurnAnswer(
        number=ask.number,
        due=due,
        kept=kept,
        due_ms=due_ms,
        waited_ms=waited_ms,
    )


class Returns:
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
        self._table = TurnTable(self._read_pace, metrics, clock=clock)
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
            _MAX_DUE_SECONDS,
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
            due_ms=_to_ms(due_seconds),
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
