"""Claims the idempotency keys of calls and settles the claims."""

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
_STATES_BY_OUTCOME = {
    outcomes.Outcome.DONE: _State.DONE,
    outcomes.Outcome.UNUSED: _State.NOT_RUN,
}


class CallClaims:
    """Claims and settles the idempotency keys of non-idempotent calls.

    Parameters
    ----------
    claims : object
        `claim(client_account, key, fingerprint)` blocks until the key is
        claimed and returns an object with `settle(state)`, or raises
        RequestRefused, RequestRepeated or OutcomeUnknown.
    """

    __slots__ = ('_claims', '_settlements')

    def __init__(self, claims: typing.Any) -> None:
        self._claims = claims
        self._settlements = pool.Pool()

    def claim_key(self, call: calls.Call) -> None:
        """Claim the idempotency key of a call, once for all its tries.

        Raises
        ------
        RequestRefused, RequestRepeated, OutcomeUnknown
            The key could not be claimed; the call must not be sent.
        """
        if call.kind.idempotent or not call.idempotency_key:
            return
        if call.claim is None:
            call.claim = self._claims.claim(
                call.account.name, call.idempotency_key, _fingerprint(call)
            )

    def settle(self, call: calls.Call, outcome: outcomes.Outcome) -> None:
        """Settle a call's claim in the background, to not delay its answer."""
        if call.claim is not None:
            self._settlements.spawn(self._settle, call, outcome)

    def join(self) -> None:
        """Wait until every claim is settled."""
        self._settlements.join()

    def _settle(self, call: calls.Call, outcome: outcomes.Outcome) -> None:
        try:
            call.claim.settle(_STATES_BY_OUTCOME.get(outcome, _State.RUNNING))
        except errors.AmaranthslipError as error:
            # The claim stays unsettled: a later request with the same key is
            # answered that the outcome is unknown, which matches the record.
            _log.warning(
                'claim_not_settled',
                extra={'request_id': call.request_id, 'error': error},
            )


def _fingerprint(call: calls.Call) -> int:
    return claim_keys.hash_request(
        call.method.encode(), call.target.encode(), call.body
    )
