"""Claims of idempotency keys: a non-idempotent request runs at most once.

The idempotency key of such a request is claimed in the key-value service
before the request is sent, so that the claim outlives all instances.
docs/design/claims.md explains why and for how long the guarantee holds.
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
    """Permission to send one request to a backend server once."""

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
        """Record how the request ended; only the first call has an effect.

        Parameters
        ----------
        state : ClaimState
            DONE if the answer is known; NOT_RUN only if no byte of the
            request was sent to a backend server. A claim whose request may
            have run gets neither state, and is reported as unknown once it
            is no longer considered to be in progress.
        """
        if not self._settled:
            self._settled = True
            self._settle(self, state)


class Claims:
    """Claims idempotency keys, and collects claims from other instances.

    Parameters
    ----------
    settings_ : Settings
        `claims` and `platform` are used.
    key_value : object
        Has the methods `get` and `swap` of `platform.keyvalue.KeyValue`.
    roster : object
        Has `list_live()`, which returns the members that can be collectors,
        and `generation`, which changes whenever these members change.
    outbox : object
        Has `send(instance_name, message) -> bool`.
    metrics_ : Metrics
        Counts results under `claims`.
    name : str
        The name of this instance.
    clock : callable
        Returns seconds since the epoch.

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
        '_collectors_generation',
        '_groups',
        '_pending_results',
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
        self._owner = identity.hash_name(name)
        self._collectors: dict[int, str] = {}
        self._collectors_generation: object = None
        self._groups: dict[int, claim_groups.ClaimGroup] = {}
        self._pending_results: dict[int, event.AsyncResult] = {}
        self._layout = claim_layout.Layout(settings_, key_value)
        self._settlements = claim_settlements.Settlements(
            self._deliver_settlement
        )

    def __enter__(self) -> 'Claims':
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def drain(self, seconds: float) -> bool:
        """Wait for all settlements; return False if any is still pending.

        The wait takes at most `seconds`.
        """
        return self._settlements.drain(seconds)

    def close(self) -> None:
        """Stop the greenlets; settlements that are still pending are lost."""
        self._settlements.close()
        for group in self._groups.values():
            group.close()

    def claim(self, client_account: str, key: str, fingerprint: int) -> Claim:
        """Claim a key, and return a claim whose request may be sent once.

        Blocks until the claim is stored or refused.

        Parameters
        ----------
        client_account : str
            Equal keys of different client accounts are independent.
        key : str
            The caller's `Idempotency-Key` header.
        fingerprint : int
            `claim_keys.hash_request` of the request.

        Raises
        ------
        RequestRefused
            The request was not run: `claims_unavailable`, `claims_full`,
            `key_reused` or `key_from_future`.
        RequestRepeated
            The key was used before: `in_progress` or `already_done`.
        OutcomeUnknown
            The key was used before and the outcome of its request is not
            known (`claim_unknown`), or the key is older than the retention
            of claims (`key_too_old`).
        """
        self._check_key_age(key)
        self._check_layout()
        request = claim_messages.ClaimRequest(
            key_hash=claim_keys.hash_key(client_account, key),
            claim_id=secrets.randbits(63) + 1,
            fingerprint=fingerprint,
        )
        try:
            result = self._obtain_result(request)
        except BaseException:
            # The wait was aborted, for example because the caller left. The
            # request will never run.
            self._settlements.withdraw(request.key_hash, request.claim_id)
            raise
        self._metrics.count('claims', result.name.lower())
        if result == _Result.GRANTED:
            return Claim(request.key_hash, request.claim_id, self._settle)
        if result == _Result.UNAVAILABLE:
            # The claim may still be stored by a swap whose answer was lost,
            # or by a collector that was paused. Its request never runs, so
            # the claim is withdrawn.
            self._settlements.withdraw(request.key_hash, request.claim_id)
        raise claim_errors.build_error(result)

    def _check_key_age(self, key: str) -> None:
        created = claim_keys.read_key_time(key)
        if created is None:
            return
        age = self._clock() - created
        if age < -claim_records.MAX_CLOCK_SKEW_SECONDS:
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

    def _obtain_result(
        self, request: claim_messages.ClaimRequest
    ) -> claim_messages.ClaimResult:
        limit = self._settings.platform.timeout_seconds
        collector = self._find_collector(self._find_shard(request.key_hash))
        if collector != self._name:
            # If the collector has stopped, is paused, or cannot be reached or
            # reach the service, this instance waits for half the time limit
            # and then writes the claim itself. Both writes may take effect,
            # which is safe because the claim has the same id in both.
            result = self._await_result(
                request,
                limit / 2 + self._settings.claims.group_seconds,
                lambda: self._outbox.send(collector, request),
            )
            if result not in (None, _Result.UNAVAILABLE):
                return result
            self._metrics.count('claims', 'collector_silent')
        result = self._await_result(
            request,
            limit * 2,
            lambda: self._collect_claim(self._name, request),
        )
        return _Result.UNAVAILABLE if result is None else result

    def _await_result(
        self,
        request: claim_messages.ClaimRequest,
        seconds: float,
        send: typing.Callable[[], bool],
    ) -> claim_messages.ClaimResult | None:
        result = event.AsyncResult()
        self._pending_results[request.claim_id] = result
        try:
            if not send():
                return None
            return result.wait(timeout=seconds)
        finally:
            del self._pending_results[request.claim_id]

    def _find_shard(self, key_hash: bytes) -> int:
        return int.from_bytes(key_hash) % self._settings.claims.shards

    def _find_collector(self, shard: int) -> str:
        if self._collectors_generation != self._roster.generation:
            self._collectors_generation = self._roster.generation
            self._collectors.clear()
        if shard not in self._collectors:
            names = [member.name for member in self._roster.list_live()]
            self._collectors[shard] = max(
                names or [self._name],
                key=lambda name: identity.rendezvous_hash(
                    f'claims/{shard}', name
                ),
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
            identity.hash_name(member.name) == owner
            for member in self._roster.list_live()
        )

    def receive(self, sender: str, message: object) -> None:
        """Handle one message of `requests.claim_messages` from a peer."""
        _handle_message(message, self, sender)

    def _collect_claim(
        self, sender: str, request: claim_messages.ClaimRequest
    ) -> bool:
        limit = self._settings.platform.timeout_seconds
        pending = claim_groups.PendingClaim(
            request,
            owner=identity.hash_name(sender),
            deadline=time.monotonic() + limit * 2,
            reply=functools.partial(self._reply_to_claim, sender, request),
        )
        self._find_group(self._find_shard(request.key_hash)).add_claim(pending)
        return True

    def _reply_to_claim(
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
            self.handle_answer(answer)
        else:
            self._outbox.send(sender, answer)

    def handle_answer(self, answer: claim_messages.ClaimAnswer) -> None:
        """Pass an answer to the greenlet that waits for it.

        A grant that arrives after its caller was refused is withdrawn, because
        its request will never run.
        """
        result = self._pending_results.get(answer.claim_id)
        if result is not None:
            result.set(_Result(answer.result))
        elif answer.result == _Result.GRANTED:
            self._settlements.withdraw_late_grant(
                answer.key_hash, answer.claim_id
            )

    def _settle(self, claim: Claim, state: ClaimState) -> None:
        if state == ClaimState.NOT_RUN:
            self._settlements.withdraw(claim.key_hash, claim.claim_id)
        else:
            self._settlements.add(claim.key_hash, claim.claim_id, state)

    def _deliver_settlement(
        self, settlement: claim_messages.ClaimSettlement, attempt: int
    ) -> None:
        shard = self._find_shard(settlement.key_hash)
        collector = self._find_collector(shard)
        # Every second attempt bypasses the collector, which may not respond.
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
            + claim_groups.SETTLEMENT_DELAY_SECONDS
            + limit * 2,
            reply=functools.partial(
                self._acknowledge_settlement, sender, settlement
            ),
        )
        shard = self._find_shard(settlement.key_hash)
        self._find_group(shard).add_settlement(pending)

    def _acknowledge_settlement(
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
def _handle_message(message: object, claims: Claims, sender: str) -> None:
    raise TypeError(f'{type(message).__name__} is not a claim message')


@_handle_message.register
def _(
    message: claim_messages.ClaimRequest, claims: Claims, sender: str
) -> None:
    claims._collect_claim(sender, message)


@_handle_message.register
def _(
    message: claim_messages.ClaimAnswer, claims: Claims, sender: str
) -> None:
    claims.handle_answer(message)


@_handle_message.register
def _(
    message: claim_messages.ClaimSettlement, claims: Claims, sender: str
) -> None:
    claims._collect_settlement(sender, message)


@_handle_message.register
def _(
    message: claim_messages.ClaimSettled, claims: Claims, sender: str
) -> None:
    claims._settlements.acknowledge(message.claim_id, message.number)
