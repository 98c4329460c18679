"""Groups of claims of one shard, written in one compare-and-swap.

Any instance may collect for any shard at any time: which one is asked only
decides how many claims share a write. A claim is granted where a swap that
holds it succeeded, or where it is read back under its own id.
"""

import logging
import random
import time
import typing

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.requests import claim_messages
from amaranthslip.requests import claim_records
from amaranthslip import settings

_LOG = logging.getLogger(__name__)

# Settlements wait for a claim's write to go along with, at most so long.
SETTLE_SECONDS = 0.5

# Beyond this many waiting claims a shard refuses more: at ten groups a
# second of 100 claims each, five seconds' worth.
_MOST_WAITING = 5000

# A running claim older than this, or of an instance that is gone, is told
# as unknown: nobody will settle it any more, most likely.
IN_PROGRESS_SECONDS = 900.0

# Dropping old records goes through all of them: not with every group.
_EXPIRE_SECONDS = 60.0

_LEAST_BACKOFF_SECONDS = 0.01
_MOST_BACKOFF_SECONDS = 1.0

_Result = claim_messages.ClaimResult


class Reply(typing.Protocol):
    """Where a result goes: to a greenlet here, or to a peer."""

    def __call__(self, result: claim_messages.ClaimResult) -> None:
        """Deliver the result; must not block."""


class PendingClaim:
    """One claim that waits for its group to be written."""

    __slots__ = ('request', 'owner', 'deadline', 'reply')

    def __init__(
        self,
        request: claim_messages.ClaimRequest,
        *,
        owner: int,
        deadline: float,
        reply: Reply,
    ) -> None:
        self.request = request
        self.owner = owner
        self.deadline = deadline
        self.reply = reply


class PendingSettlement:
    """One settlement that waits; `reply` is called when it is kept."""

    __slots__ = ('settlement', 'deadline', 'reply')

    def __init__(
        self,
        settlement: claim_messages.ClaimSettlement,
        *,
        deadline: float,
        reply: typing.Callable[[], None],
    ) -> None:
        self.settlement = settlement
        self.deadline = deadline
        self.reply = reply


class ClaimGroup:
    """Collects one shard's claims here and writes them together.

    Parameters
    ----------
    key : str
        The shard's whole key in the key-value service.
    is_live : callable
        Says whether the owner with this number is a live instance.
    clock : callable
        Seconds since the epoch, within 30 s of the other instances' clocks.
    """

    __slots__ = (
        '_key',
        '_settings',
        '_key_value',
        '_metrics',
        '_is_live',
        '_clock',
        '_claims',
        '_settlements',
        '_claimed',
        '_cache',
        '_last',
        '_expired',
        '_worker',
    )

    def __init__(
        self,
        key: str,
        settings_: settings.Settings,
        key_value: typing.Any,
        metrics_: metrics.Metrics,
        *,
        is_live: typing.Callable[[int], bool],
        clock: typing.Callable[[], float],
    ) -> None:
        self._key = key
        self._settings = settings_
        self._key_value = key_value
        self._metrics = metrics_
        self._is_live = is_live
        self._clock = clock
        self._claims: list[PendingClaim] = []
        self._settlements: list[PendingSettlement] = []
        self._claimed = event.Event()
        self._cache: claim_records.Shard | None = None
        self._last: claim_records.Shard | None = None
        self._expired = 0.0
        self._worker: gevent.Greenlet | None = None

    def add_claim(self, claim: PendingClaim) -> None:
        """Take a claim into the next group."""
        if len(self._claims) >= _MOST_WAITING:
            claim.reply(_Result.UNAVAILABLE)
            return
        self._claims.append(claim)
        self._claimed.set()
        self._start()

    def add_settlement(self, settlement: PendingSettlement) -> None:
        """Take a settlement into the next group; it may come again."""
        if len(self._settlements) < _MOST_WAITING:
            self._settlements.append(settlement)
            self._start()

    def close(self) -> None:
        """End the work; what waits gets no answer any more."""
        if self._worker is not None:
            self._worker.kill()

    def _start(self) -> None:
        if self._worker is None:
            self._worker = gevent.spawn(self._work)

    def _work(self) -> None:
        try:
            while self._claims or self._settlements:
                self._claimed.wait(SETTLE_SECONDS)
                gevent.sleep(self._settings.claims.group_seconds)
                self._write_group()
        finally:
            self._worker = None

    def _write_group(self) -> None:
        claims: list[PendingClaim] = []
        settlements: list[PendingSettlement] = []
        attempt = 0
        while True:
            claims += self._claims
            settlements += self._settlements
            self._claims, self._settlements = [], []
            self._claimed.clear()
            claims, settlements = _drop_late(claims, settlements)
            if not claims and not settlements:
                return
            results = self._try_swap(claims, settlements)
            if results is not None:
                break
            attempt += 1
            gevent.sleep(_choose_backoff(attempt))
        for claim, result in zip(claims, results, strict=True):
            claim.reply(result)
        for settlement in settlements:
            settlement.reply()

    def _try_swap(
        self,
        claims: typing.Sequence[PendingClaim],
        settlements: typing.Sequence[PendingSettlement],
    ) -> list[claim_messages.ClaimResult] | None:
        try:
            return self._swap(claims, settlements)
        except errors.PlatformError as error:
            # A swap whose answer was lost may be in: the next attempt reads
            # the value and finds its claims there by their ids, or swaps
            # against a revision that makes the lost one fail.
            self._metrics.count('claims', 'swap_failed')
            _LOG.warning('claims_not_written', extra={'error': str(error)})
            return None

    def _swap(
        self,
        claims: typing.Sequence[PendingClaim],
        settlements: typing.Sequence[PendingSettlement],
    ) -> list[claim_messages.ClaimResult] | None:
        shard, self._cache = self._cache, None
        cached = shard is not None
        if shard is None:
            shard = self._read()
        results = self._apply(shard, claims, settlements)
        if not shard.changed:
            if cached and (settlements or _are_held(results)):
                # The cache may be old: it may lack a claim that another
                # instance wrote, or show one as running that was settled.
                return self._swap(claims, settlements)
            self._cache = shard
            return results
        self._metrics.count('claims', 'swap')
        revision = self._key_value.swap(
            self._key, shard.pack(), expected=shard.revision
        )
        if revision is None:
            self._metrics.count('claims', 'swap_conflict')
            return None
        shard.revision = revision
        shard.changed = False
        self._cache = self._last = shard
        return results

    def _apply(
        self,
        shard: claim_records.Shard,
        claims: typing.Sequence[PendingClaim],
        settlements: typing.Sequence[PendingSettlement],
    ) -> list[claim_messages.ClaimResult]:
        now = self._clock()
        if not 0 <= now - self._expired < _EXPIRE_SECONDS:
            self._expired = now
            shard.expire(now, self._settings.claims.window_seconds)
        for each in settlements:
            shard.settle(each.settlement)
        results = []
        for claim in claims:
            result = shard.claim(claim.request, claim.owner, now)
            if result == _Result.IN_PROGRESS:
                held = shard.get(claim.request.key_hash)
                result = self._judge(held, now)
            results.append(result)
        return results

    def _judge(
        self, held: claim_records.Record, now: float
    ) -> claim_messages.ClaimResult:
        if held.seconds < now - IN_PROGRESS_SECONDS:
            return _Result.UNKNOWN
        if not self._is_live(held.owner):
            return _Result.UNKNOWN
        return _Result.IN_PROGRESS

    def _read(self) -> claim_records.Shard:
        entry = self._key_value.get(self._key)
        if entry is None:
            shard = claim_records.Shard(0)
        else:
            shard = claim_records.read_shard(entry.value, entry.revision)
        if self._last is not None and shard.revision < self._last.revision:
            # The service was restored to an older state: without the claims
            # made since, their requests could run again.
            _LOG.error('claims_went_back')
            self._metrics.count('claims', 'restored')
            shard.merge(self._last)
        return shard


def _are_held(
    results: typing.Sequence[claim_messages.ClaimResult],
) -> bool:
    return any(result != _Result.GRANTED for result in results)


def _drop_late(
    claims: list[PendingClaim], settlements: list[PendingSettlement]
) -> tuple[list[PendingClaim], list[PendingSettlement]]:
    now = time.monotonic()
    for claim in claims:
        if claim.deadline <= now:
            claim.reply(_Result.UNAVAILABLE)
    return (
        [claim for claim in claims if claim.deadline > now],
        [each for each in settlements if each.deadline > now],
    )


def _choose_backoff(attempt: int) -> float:
    longest = _LEAST_BACKOFF_SECONDS * 2 ** min(attempt, 10)
    return random.uniform(0, min(longest, _MOST_BACKOFF_SECONDS))
