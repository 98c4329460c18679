"""Groups claims of a shard into a single compare-and-swap write.

Any instance can collect claims for any shard at any time. The choice of the
collector affects only how many claims share a write, not correctness. A claim
is granted if a swap that contains it succeeds, or if the stored shard already
contains the claim with its own id.
"""

import logging
import random
import time
import typing

import gevent
from gevent import event

from amaranthslip.configuration import revisions
from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.requests import claim_messages
from amaranthslip.requests import claim_records
from amaranthslip import settings

_LOG = logging.getLogger(__name__)

# Longest time for which settlements wait to share the write of a claim.
SETTLEMENT_DELAY_SECONDS = 0.5

# Limits on the queued claims and on the queued settlements of a shard. At ten
# groups per second of 100 claims each, this many claims take five seconds.
_MAX_QUEUED = 5000

# A running claim that is older than this, or whose owner is no longer live,
# is reported as unknown, because it will probably never be settled.
MAX_IN_PROGRESS_SECONDS = 900.0

# Seconds between removals of expired records. A removal scans all records of
# the shard, which is too expensive for every group.
_EXPIRY_INTERVAL_SECONDS = 60.0

_BASE_BACKOFF_SECONDS = 0.01
_MAX_BACKOFF_SECONDS = 1.0

_Result = claim_messages.ClaimResult


class Reply(typing.Protocol):
    """Callback that delivers a result to a local greenlet or to a peer."""

    def __call__(self, result: claim_messages.ClaimResult) -> None:
        """Deliver the result without blocking."""


class PendingClaim:
    """A claim that is queued for the next group write."""

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
    """A settlement that is queued; `reply` is called once it is stored."""

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
    """Collects claims of one shard at this instance and writes them together.

    Parameters
    ----------
    key : str
        The full key of the shard in the key-value service.
    is_live : callable
        Returns whether the owner with a given number is a live instance.
    clock : callable
        Returns seconds since the epoch, within 30 s of the clocks of the other
        instances.
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
        '_claim_added',
        '_cached_shard',
        '_last_written',
        '_last_expiry',
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
        self._claim_added = event.Event()
        self._cached_shard: claim_records.Shard | None = None
        self._last_written: claim_records.Shard | None = None
        self._last_expiry = 0.0
        self._worker: gevent.Greenlet | None = None

    def add_claim(self, claim: PendingClaim) -> None:
        """Queue a claim for the next group.

        If the queue is full, the claim is answered with UNAVAILABLE.
        """
        if len(self._claims) >= _MAX_QUEUED:
            claim.reply(_Result.UNAVAILABLE)
            return
        self._claims.append(claim)
        self._claim_added.set()
        self._start_worker()

    def add_settlement(self, settlement: PendingSettlement) -> None:
        """Queue a settlement for the next group.

        A settlement is dropped if the queue is full, because its sender
        repeats it until it is acknowledged.
        """
        if len(self._settlements) < _MAX_QUEUED:
            self._settlements.append(settlement)
            self._start_worker()

    def close(self) -> None:
        """Stop the worker; queued claims and settlements get no reply."""
        if self._worker is not None:
            self._worker.kill()

    def _start_worker(self) -> None:
        if self._worker is None:
            self._worker = gevent.spawn(self._run_worker)

    def _run_worker(self) -> None:
        try:
            while self._claims or self._settlements:
                self._claim_added.wait(SETTLEMENT_DELAY_SECONDS)
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
            self._claim_added.clear()
            claims, settlements = _drop_overdue(claims, settlements)
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
            # A swap whose answer was lost may have taken effect. The next
            # attempt reads the value, and either finds the claims by their
            # ids, or writes a new revision that makes a delayed swap fail.
            self._metrics.count('claims', 'swap_failed')
            _LOG.warning('claims_not_written', extra={'error': str(error)})
            return None

    def _swap(
        self,
        claims: typing.Sequence[PendingClaim],
        settlements: typing.Sequence[PendingSettlement],
    ) -> list[claim_messages.ClaimResult] | None:
        shard, self._cached_shard = self._cached_shard, None
        cached = shard is not None
        if shard is None:
            shard = self._read_shard()
        results = self._apply(shard, claims, settlements)
        if not shard.changed:
            if cached and (settlements or _has_denied_claims(results)):
                # The cached shard may be outdated: it may lack a claim that
                # another instance wrote, or contain a claim as running that
                # was settled since. Read the stored shard instead.
                return self._swap(claims, settlements)
            self._cached_shard = shard
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
        self._cached_shard = self._last_written = shard
        return results

    def _apply(
        self,
        shard: claim_records.Shard,
        claims: typing.Sequence[PendingClaim],
        settlements: typing.Sequence[PendingSettlement],
    ) -> list[claim_messages.ClaimResult]:
        now = self._clock()
        if not 0 <= now - self._last_expiry < _EXPIRY_INTERVAL_SECONDS:
            self._last_expiry = now
            shard.expire(now, self._settings.claims.window_seconds)
        for pending in settlements:
            shard.settle(pending.settlement)
        results = []
        for claim in claims:
            result = shard.claim(claim.request, claim.owner, now)
            if result == _Result.IN_PROGRESS:
                existing = shard.get(claim.request.key_hash)
                result = self._classify_running_claim(existing, now)
            results.append(result)
        return results

    def _classify_running_claim(
        self, existing: claim_records.Record, now: float
    ) -> claim_messages.ClaimResult:
        if existing.claimed_at < now - MAX_IN_PROGRESS_SECONDS:
            return _Result.UNKNOWN
        if not self._is_live(existing.owner):
            return _Result.UNKNOWN
        return _Result.IN_PROGRESS

    def _read_shard(self) -> claim_records.Shard:
        entry = self._key_value.get(self._key)
        if entry is None:
            shard = claim_records.Shard(0)
        else:
            shard = claim_records.read_shard(entry.value, entry.revision)
        if self._last_written is not None and _was_restored(
            self._last_written.revision, shard.revision
        ):
            # Requests claimed after the older state could run again, so the
            # claims are added back.
            _LOG.error('claims_revision_decreased')
            self._metrics.count('claims', 'restored')
            shard.merge(self._last_written)
        return shard


def _was_restored(written: int, read: int) -> bool:
    """Return whether the service was restored to an older state.

    Parameters
    ----------
    written : int
        The revision of the last write of this instance.
    read : int
        The revision that was read after it.
    """
    return read < written or revisions.read_era(read) > revisions.read_era(
        written
    )


def _has_denied_claims(
    results: typing.Sequence[claim_messages.ClaimResult],
) -> bool:
    return any(result != _Result.GRANTED for result in results)


def _drop_overdue(
    claims: list[PendingClaim], settlements: list[PendingSettlement]
) -> tuple[list[PendingClaim], list[PendingSettlement]]:
    now = time.monotonic()
    for claim in claims:
        if claim.deadline <= now:
            claim.reply(_Result.UNAVAILABLE)
    return (
        [claim for claim in claims if claim.deadline > now],
        [pending for pending in settlements if pending.deadline > now],
    )


def _choose_backoff(attempt: int) -> float:
    ceiling = _BASE_BACKOFF_SECONDS * 2 ** min(attempt, 10)
    return random.uniform(0, min(ceiling, _MAX_BACKOFF_SECONDS))
