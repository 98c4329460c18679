"""Order of return: a request refused for load gets a turn for its retry.

Without turns, a caller that returns when it was told to competes with the
newcomers of that moment, and is refused again. The instance that ranks first
for the request's fingerprint by rendezvous hashing keeps the turn, so that the
caller may return at any instance. Fingerprints spread the turns of an account
evenly over the instances: each of them paces its part of the account's share,
and no instance has to know the turns of the others.
"""

import time
import typing

from amaranthslip.requests import return_messages

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
MAX_DUE_SECONDS = _TURN_TTL_SECONDS - _USE_SECONDS
# Seconds by which a return may be early: the message that keeps the turn takes
# longer to its keeper than the refusal to the caller.
_EARLY_SECONDS = 0.02
# Seconds between two searches for turns that ended, each of which takes about
# 1 ms with a full table.
_SCAN_SECONDS = 0.25


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
        if not 0 <= due_seconds <= MAX_DUE_SECONDS:
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
        return _to_ms(seconds) if seconds <= MAX_DUE_SECONDS else 0

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
