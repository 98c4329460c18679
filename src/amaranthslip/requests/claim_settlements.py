"""Settlements of claims, delivered until they are kept."""

import collections
import random
import time
import typing

import gevent
from gevent import event

from amaranthslip.requests import claim_messages

# Settlements that may wait for delivery, and withdrawn claims remembered for
# a late grant: 900 claims a second over 720 instances make this many in
# two hours.
_MOST_KEPT = 10000

_NUMBERS = 1 << 32
_TICK_SECONDS = 0.1
_LEAST_RETRY_SECONDS = 2.0
_MOST_RETRY_SECONDS = 60.0


class _Delivery:
    """One settlement on its way."""

    __slots__ = ('settlement', 'attempts', 'due')

    def __init__(self, settlement: claim_messages.ClaimSettlement) -> None:
        self.settlement = settlement
        self.attempts = 0
        self.due = 0.0


class Settlements:
    """Keeps each settlement until an instance says that it is written.

    Parameters
    ----------
    deliver : callable
        Sends one settlement off; called with the number of attempts before.
    """

    __slots__ = (
        '_deliver',
        '_pending',
        '_withdrawn',
        '_number',
        '_added',
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
        self._added = event.Event()
        self._worker = gevent.spawn(self._work)

    def add(
        self,
        key_hash: bytes,
        claim_id: int,
        state: claim_messages.ClaimState,
    ) -> None:
        """Deliver a settlement until it is acknowledged."""
        self._number = (self._number + 1) % _NUMBERS
        settlement = claim_messages.ClaimSettlement(
            key_hash=key_hash,
            claim_id=claim_id,
            state=state,
            number=self._number,
        )
        self._pending[claim_id] = _Delivery(settlement)
        while len(self._pending) > _MOST_KEPT:
            # Lost: that claim will be told as unknown, which is true.
            self._pending.popitem(last=False)
        self._added.set()

    def withdraw(self, key_hash: bytes, claim_id: int) -> None:
        """Settle a claim that was surely not run, and never will be."""
        self._withdrawn[claim_id] = None
        while len(self._withdrawn) > _MOST_KEPT:
            self._withdrawn.popitem(last=False)
        self.add(key_hash, claim_id, claim_messages.ClaimState.NOT_RUN)

    def withdraw_late(self, key_hash: bytes, claim_id: int) -> None:
        """Withdraw again a claim that was entered after its withdrawal.

        Only claims known as withdrawn: any other one may have run.
        """
        if claim_id in self._withdrawn:
            self.add(key_hash, claim_id, claim_messages.ClaimState.NOT_RUN)

    def acknowledge(self, claim_id: int, number: int) -> None:
        """Stop delivering a settlement: it is written.

        The number tells it from an earlier withdrawal of the same claim,
        which may have been kept before the claim was entered.
        """
        delivery = self._pending.get(claim_id)
        if delivery is not None and delivery.settlement.number == number:
            del self._pending[claim_id]

    def drain(self, seconds: float) -> bool:
        """Wait until nothing is pending; False: not within this time."""
        ends = time.monotonic() + seconds
        while self._pending and time.monotonic() < ends:
            gevent.sleep(_TICK_SECONDS / 2)
        return not self._pending

    def close(self) -> None:
        """Stop delivering."""
        self._worker.kill()

    def _work(self) -> None:
        while True:
            self._added.wait()
            self._added.clear()
            while self._pending:
                self._deliver_due()
                gevent.sleep(_TICK_SECONDS)

    def _deliver_due(self) -> None:
        now = time.monotonic()
        for delivery in list(self._pending.values()):
            if delivery.due <= now:
                self._deliver(delivery.settlement, delivery.attempts)
                delivery.due = now + _choose_wait(delivery.attempts)
                delivery.attempts += 1


def _choose_wait(attempts: int) -> float:
    longest = _LEAST_RETRY_SECONDS * 2 ** min(attempts, 10)
    return min(longest, _MOST_RETRY_SECONDS) * random.uniform(0.5, 1.0)
