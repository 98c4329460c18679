"""Delivery of claim settlements, repeated until they are stored."""

import collections
import random
import time
import typing

import gevent
from gevent import event

from amaranthslip.requests import claim_messages

# Limit on the undelivered settlements, and on the withdrawn claims that are
# remembered in case a grant arrives late. With 900 claims per second over 720
# instances, an instance makes this many claims in about two hours.
_MAX_RETAINED = 10000

_NUMBER_MODULUS = 1 << 32
_POLL_SECONDS = 0.1
_INITIAL_RETRY_SECONDS = 2.0
_MAX_RETRY_SECONDS = 60.0


class _Delivery:
    """A settlement that has not been acknowledged yet."""

    __slots__ = ('settlement', 'attempts', 'due_at')

    def __init__(self, settlement: claim_messages.ClaimSettlement) -> None:
        self.settlement = settlement
        self.attempts = 0
        self.due_at = 0.0


class Settlements:
    """Repeats each settlement until an instance confirms that it is stored.

    Parameters
    ----------
    deliver : callable
        Sends one settlement; called with the settlement and the number of
        earlier attempts.
    """

    __slots__ = (
        '_deliver',
        '_pending',
        '_withdrawn',
        '_number',
        '_settlement_added',
        '_worker',
    )

    def __init__(
        self,
        deliver: typing.Callable[[claim_messages.ClaimSettlement, int], None],
    ) -> None:
        self._deliver = deliver
        self._pending: collections.OrderedDict[int, _Delivery] = (
            collections.OrderedDict()
        )
        self._withdrawn: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._number = 0
        self._settlement_added = event.Event()
        self._worker = gevent.spawn(self._run_worker)

    def add(
        self,
        key_hash: bytes,
        claim_id: int,
        state: claim_messages.ClaimState,
    ) -> None:
        """Deliver a settlement until it is acknowledged."""
        self._number = (self._number + 1) % _NUMBER_MODULUS
        settlement = claim_messages.ClaimSettlement(
            key_hash=key_hash,
            claim_id=claim_id,
            state=state,
            number=self._number,
        )
        self._pending[claim_id] = _Delivery(settlement)
        while len(self._pending) > _MAX_RETAINED:
            # The oldest settlement is lost. Its claim will be reported as
            # unknown, which is correct.
            self._pending.popitem(last=False)
        self._settlement_added.set()

    def withdraw(self, key_hash: bytes, claim_id: int) -> None:
        """Settle a claim whose request was not run and never will be."""
        self._withdrawn[claim_id] = None
        while len(self._withdrawn) > _MAX_RETAINED:
            self._withdrawn.popitem(last=False)
        self.add(key_hash, claim_id, claim_messages.ClaimState.NOT_RUN)

    def withdraw_late_grant(self, key_hash: bytes, claim_id: int) -> None:
        """Withdraw a claim again that was stored after its withdrawal.

        Only claims that this instance withdrew are affected, because the
        request of any other claim may have run.
        """
        if claim_id in self._withdrawn:
            self.add(key_hash, claim_id, claim_messages.ClaimState.NOT_RUN)

    def acknowledge(self, claim_id: int, number: int) -> None:
        """Stop delivering a settlement, because it is stored.

        The number distinguishes it from an earlier withdrawal of the same
        claim, which may have been acknowledged before the claim was stored.
        """
        delivery = self._pending.get(claim_id)
        if delivery is not None and delivery.settlement.number == number:
            del self._pending[claim_id]

    def drain(self, seconds: float) -> bool:
        """Wait for all settlements; return False if any is still pending.

        The wait takes at most `seconds`.
        """
        drain_until = time.monotonic() + seconds
        while self._pending and time.monotonic() < drain_until:
            gevent.sleep(_POLL_SECONDS / 2)
        return not self._pending

    def close(self) -> None:
        """Stop the delivery of settlements."""
        self._worker.kill()

    def _run_worker(self) -> None:
        while True:
            self._settlement_added.wait()
            self._settlement_added.clear()
            while self._pending:
                self._deliver_due()
                gevent.sleep(_POLL_SECONDS)

    def _deliver_due(self) -> None:
        now = time.monotonic()
        for delivery in list(self._pending.values()):
            if delivery.due_at <= now:
                self._deliver(delivery.settlement, delivery.attempts)
                delivery.due_at = now + _choose_retry_delay(delivery.attempts)
                delivery.attempts += 1


def _choose_retry_delay(attempts: int) -> float:
    ceiling = _INITIAL_RETRY_SECONDS * 2 ** min(attempts, 10)
    return min(ceiling, _MAX_RETRY_SECONDS) * random.uniform(0.5, 1.0)
