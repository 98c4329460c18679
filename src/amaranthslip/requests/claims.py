"""Claims: a non-idempotent request runs at most once under its key.

Before such a request is sent, its idempotency key is claimed in the
key-value service, where the claim outlives every instance. See
docs/design/claims.md for why this holds and for how long.
"""

import functools
import logging
import secrets
import time
import typing

from gevent import event

from amaranthslip import errors
from amaranthslip import identity
from amaranthslip import metrics
from amaranthslip.requests import claim_errors
from amaranthslip.requests import claim_groups
from amaranthslip.requests import claim_keys
from amaranthslip.requests import claim_layout
from amaranthslip.requests import claim_messages
from amaranthslip.requests import claim_records
from amaranthslip.requests import claim_settlements
from amaranthslip import settings

ClaimState = claim_messages.ClaimState

_LOG = logging.getLogger(__name__)
_Result = claim_messages.ClaimResult


class Claim:
    """The right to send one request to a backend server, once."""

    __slots__ = ('key_hash', 'claim_id', '_settle', '_settled')

    def __init__(
        self,
        key_hash: bytes,
        claim_id: int,
        settle: typing.Callable[['Claim', ClaimState], None],
    ) -> None:
        self.key_hash = key_hash
        self.claim_id = claim_id
        self._settle = settle
        self._settled = False

    def settle(self, state: ClaimState) -> None:
        """Tell how the request ended; the first call counts.

        Parameters
        ----------
        state : ClaimState
            DONE where the answer is known; NOT_RUN only where no byte of
            the request left for a backend server. A claim whose request may
            have run is never settled, and is told as unknown.
        """
        if not self._settled:
            self._settled = True
            self._settle(self, state)


class Claims:
    """Claims idempotency keys, and collects claims for other instances.

    Parameters
    ----------
    settings_ : Settings
        `claims` and `platform` are used.
    key_value : object
        With `get` and `swap` as `platform.keyvalue.KeyValue` has them.
    roster : object
        With `live()`, the members whose `name` may collect, and
        `generation`, which changes with them.
    outbox : object
        With `send(instance_name, message) -> bool`.
    metrics_ : Metrics
        Counts results under `claims`.
    name : str
        This instance's name.
    clock : callable
        Seconds since the epoch.

    Examples
    --------
    See examples/claims.py.
    """

    __slots__ = (
        '_settings',
        '_key_value',
        '_roster',
        '_outbox',
        '_metrics',
        '_name',
        '_clock',
        '_owner',
        '_collectors',
        '_ranked_at',
        '_groups',
        '_waiting',
        '_layout',
        '_settlements',
    )

    def __init__(
        self,
        settings_: settings.Settings,
        key_value: typing.Any,
        roster: typing.Any,
        outbox: typing.Any,
        metrics_: metrics.Metrics,
        name: str,
        *,
        clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings_
        self._key_value = key_value
        self._roster = roster
        self._outbox = outbox
        self._metrics = metrics_
        self._name = name
        self._clock = clock
        self._owner = identity.identify(name)
        self._collectors: dict[int, str] = {}
        self._ranked_at: object = None
        self._groups: dict[int, claim_groups.ClaimGroup] = {}
        self._waiting: dict[int, event.AsyncResult] = {}
        self._layout = claim_layout.Layout(settings_, key_value)
        self._settlements = claim_settlements.Settlements(self._deliver)

    def __enter__(self) -> 'Claims':
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def drain(self, seconds: float) -> bool:
        """Wait until all settlements are kept; False: not in this time."""
        return self._settlements.drain(seconds)

    def close(self) -> None:
        """End the greenlets; settlements not kept by then are lost."""
        self._settlements.close()
        for group in self._groups.values():
            group.close()

    def claim(self, client_account: str, key: str, fingerprint: int) -> Claim:
        """Claim a key, blocking; what returns may be sent, once.

        Parameters
        ----------
        client_account : str
            Keys of different client accounts never meet.
        key : str
            The caller's `Idempotency-Key`.
        fingerprint : int
            `claim_keys.fingerprint` of the request.

        Raises
        ------
        RequestRefused
            Not run: `claims_unavailable`, `claims_full`, `key_reused` or
            `key_from_future`.
        RequestRepeated
            The key came before: `in_progress` or `already_done`.
        OutcomeUnknown
            The key came before and nobody knows how it ended
            (`claim_unknown`), or it is too old to tell (`key_too_old`).
        """
        self._check_age(key)
        self._check_layout()
        request = claim_messages.ClaimRequest(
            key_hash=claim_keys.hash_key(client_account, key),
            claim_id=secrets.randbits(63) + 1,
            fingerprint=fingerprint,
        )
        try:
            result = self._request(request)
        except BaseException:
            # The caller left while it waited: its request never runs.
            self._settlements.withdraw(request.key_hash, request.claim_id)
            raise
        self._metrics.count('claims', result.name.lower())
        if result == _Result.GRANTED:
            return Claim(request.key_hash, request.claim_id, self._settle)
        if result == _Result.UNAVAILABLE:
            # It may be left behind all the same: by a swap whose answer was
            # lost, or by a collector that wakes later. It never runs.
            self._settlements.withdraw(request.key_hash, request.claim_id)
        raise claim_errors.build_error(result)

    def _check_age(self, key: str) -> None:
        created = claim_keys.read_key_time(key)
        if created is None:
            return
        age = self._clock() - created
        if age < -claim_records.CLOCK_SECONDS:
            self._metrics.count('claims', 'key_from_future')
            raise errors.RequestRefused(
                'key_from_future',
                f'not run: the Idempotency-Key was made {-age:.0f} s in the '
                'future; set the clock that makes your keys',
                status=400,
            )
        if age > self._settings.claims.window_seconds:
            self._metrics.count('claims', 'key_too_old')
            raise errors.OutcomeUnknown(
                'key_too_old',
                f'the Idempotency-Key was made {age:.0f} s ago, and claims '
                f'are kept for {self._settings.claims.window_seconds:g} s: '
                'whether the request ran earlier cannot be told; look it up '
                'at the service, then use a new key',
            )

    def _check_layout(self) -> None:
        try:
            self._layout.check()
        except errors.PlatformError as error:
            self._metrics.count('claims', 'layout_unchecked')
            _LOG.error('claims_refused', extra={'error': str(error)})
            raise claim_errors.build_error(_Result.UNAVAILABLE) from None

    def _request(
        self, request: claim_messages.ClaimRequest
    ) -> claim_messages.ClaimResult:
        limit = self._settings.platform.timeout_seconds
        collector = self._find_collector(self._find_shard(request.key_hash))
        if collector != self._name:
            # A collector that is dead, paused, cut off from here or from
            # the service costs half a limit, then this instance writes
            # itself. Both may write: the claim's id makes that harmless.
            result = self._wait(
                request,
                limit / 2 + self._settings.claims.group_seconds,
                lambda: self._outbox.send(collector, request),
            )
            if result not in (None, _Result.UNAVAILABLE):
                return result
            self._metrics.count('claims', 'collector_silent')
        result = self._wait(
            request, limit * 2, lambda: self._collect(self._name, request)
        )
        return _Result.UNAVAILABLE if result is None else result

    def _wait(
        self,
        request: claim_messages.ClaimRequest,
        seconds: float,
        ask: typing.Callable[[], bool],
    ) -> claim_messages.ClaimResult | None:
        waiting = event.AsyncResult()
        self._waiting[request.claim_id] = waiting
        try:
            if not ask():
                return None
            return waiting.wait(timeout=seconds)
        finally:
            del self._waiting[request.claim_id]

    def _find_shard(self, key_hash: bytes) -> int:
        return int.from_bytes(key_hash) % self._settings.claims.shards

    def _find_collector(self, shard: int) -> str:
        if self._ranked_at != self._roster.generation:
            self._ranked_at = self._roster.generation
            self._collectors.clear()
        if shard not in self._collectors:
            names = [member.name for member in self._roster.live()]
            self._collectors[shard] = max(
                names or [self._name],
                key=lambda name: identity.rank(f'claims/{shard}', name),
            )
        return self._collectors[shard]

    def _find_group(self, shard: int) -> claim_groups.ClaimGroup:
        group = self._groups.get(shard)
        if group is None:
            group = self._groups[shard] = claim_groups.ClaimGroup(
                f'{self._settings.platform.prefix}claims/{shard}',
                self._settings,
                self._key_value,
                self._metrics,
                is_live=self._is_live,
                clock=self._clock,
            )
        return group

    def _is_live(self, owner: int) -> bool:
        return any(
            identity.identify(member.name) == owner
            for member in self._roster.live()
        )

    def receive(self, sender: str, message: object) -> None:
        """Take a message of `requests.claim_messages` from a peer."""
        _receive(message, self, sender)

    def _collect(
        self, sender: str, request: claim_messages.ClaimRequest
    ) -> bool:
        limit = self._settings.platform.timeout_seconds
        pending = claim_groups.PendingClaim(
            request,
            owner=identity.identify(sender),
            deadline=time.monotonic() + limit * 2,
            reply=functools.partial(self._reply, sender, request),
        )
        self._find_group(self._find_shard(request.key_hash)).add_claim(pending)
        return True

    def _reply(
        self,
        sender: str,
        request: claim_messages.ClaimRequest,
        result: claim_messages.ClaimResult,
    ) -> None:
        answer = claim_messages.ClaimAnswer(
            key_hash=request.key_hash,
            claim_id=request.claim_id,
            result=result,
        )
        if sender == self._name:
            self.take_answer(answer)
        else:
            self._outbox.send(sender, answer)

    def take_answer(self, answer: claim_messages.ClaimAnswer) -> None:
        """Hand an answer to the greenlet that waits for it.

        A grant that comes after its caller was refused is withdrawn, as
        nobody will run it.
        """
        waiting = self._waiting.get(answer.claim_id)
        if waiting is not None:
            waiting.set(_Result(answer.result))
        elif answer.result == _Result.GRANTED:
            self._settlements.withdraw_late(answer.key_hash, answer.claim_id)

    def _settle(self, claim: Claim, state: ClaimState) -> None:
        if state == ClaimState.NOT_RUN:
            self._settlements.withdraw(claim.key_hash, claim.claim_id)
        else:
            self._settlements.add(claim.key_hash, claim.claim_id, state)

    def _deliver(
        self, settlement: claim_messages.ClaimSettlement, attempt: int
    ) -> None:
        shard = self._find_shard(settlement.key_hash)
        collector = self._find_collector(shard)
        # Every second attempt goes past the collector, which may be silent.
        if attempt % 2 or collector == self._name:
            self._collect_settlement(self._name, settlement)
        else:
            self._outbox.send(collector, settlement)

    def _collect_settlement(
        self, sender: str, settlement: claim_messages.ClaimSettlement
    ) -> None:
        limit = self._settings.platform.timeout_seconds
        pending = claim_groups.PendingSettlement(
            settlement,
            deadline=time.monotonic()
            + claim_groups.SETTLE_SECONDS
            + limit * 2,
            reply=functools.partial(self._reply_settled, sender, settlement),
        )
        shard = self._find_shard(settlement.key_hash)
        self._find_group(shard).add_settlement(pending)

    def _reply_settled(
        self, sender: str, settlement: claim_messages.ClaimSettlement
    ) -> None:
        claim_id, number = settlement.claim_id, settlement.number
        if sender == self._name:
            self._settlements.acknowledge(claim_id, number)
        else:
            settled = claim_messages.ClaimSettled(
                claim_id=claim_id, number=number
            )
            self._outbox.send(sender, settled)


@functools.singledispatch
def _receive(message: object, claims: Claims, sender: str) -> None:
    raise TypeError(f'{type(message).__name__} is no message about claims')


@_receive.register
def _(
    message: claim_messages.ClaimRequest, claims: Claims, sender: str
) -> None:
    claims._collect(sender, message)


@_receive.register
def _(
    message: claim_messages.ClaimAnswer, claims: Claims, sender: str
) -> None:
    claims.take_answer(message)


@_receive.register
def _(
    message: claim_messages.ClaimSettlement, claims: Claims, sender: str
) -> None:
    claims._collect_settlement(sender, message)


@_receive.register
def _(
    message: claim_messages.ClaimSettled, claims: Claims, sender: str
) -> None:
    claims._settlements.acknowledge(message.claim_id, message.number)
