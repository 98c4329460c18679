"""Claiming: a call's idempotency key, from its claim to its settlement."""

import logging
import typing

from gevent import pool

from amaranthslip.entry import calls
from amaranthslip import errors
from amaranthslip.requests import claim_keys
from amaranthslip.requests import claim_messages
from amaranthslip.requests import outcomes

_log = logging.getLogger(__name__)
_State = claim_messages.ClaimState
_STATES = {
    outcomes.Outcome.DONE: _State.DONE,
    outcomes.Outcome.UNUSED: _State.NOT_RUN,
}


class Claiming:
    """Takes and settles the claims of calls that may not run twice.

    Parameters
    ----------
    claims : object
        `claim(client_account, key, fingerprint)` blocks until the key is
        claimed and returns an object with `settle(outcome)`, or raises
        RequestRefused or OutcomeUnknown.
    """

    __slots__ = ('_claims', '_settling')

    def __init__(self, claims: typing.Any) -> None:
        self._claims = claims
        self._settling = pool.Pool()

    def take(self, call: calls.Call) -> None:
        """Claim a call's key, once for all its tries.

        Raises
        ------
        RequestRefused, OutcomeUnknown
            The call must not be sent.
        """
        if call.kind.idempotent or not call.idempotency_key:
            return
        if call.claim is None:
            call.claim = self._claims.claim(
                call.account.name, call.idempotency_key, _fingerprint(call)
            )

    def settle(self, call: calls.Call, outcome: outcomes.Outcome) -> None:
        """Settle a call's claim, without holding back its answer."""
        if call.claim is not None:
            self._settling.spawn(self._settle, call, outcome)

    def join(self) -> None:
        """Wait until every claim is settled."""
        self._settling.join()

    def _settle(self, call: calls.Call, outcome: outcomes.Outcome) -> None:
        try:
            call.claim.settle(_STATES.get(outcome, _State.RUNNING))
        except errors.AmaranthslipError as error:
            # The claim stays as it is: a later arrival of the key is told
            # that the outcome is not known, which is true for the record.
            _log.warning(
                'claim_not_settled',
                extra={'request_id': call.request_id, 'error': error},
            )


def _fingerprint(call: calls.Call) -> int:
    return claim_keys.fingerprint(
        call.method.encode(), call.target.encode(), call.body
    )
