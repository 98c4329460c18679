"""Errors returned to callers whose idempotency key was not claimed."""

import typing

from amaranthslip import errors
from amaranthslip.requests import claim_messages

RETRY_AFTER_SECONDS = 5.0
_Result = claim_messages.ClaimResult


def build_error(
    result: claim_messages.ClaimResult,
) -> errors.AmaranthslipError:
    """Return the error that reports any result other than GRANTED."""
    return _ERRORS[result]()


_ERRORS: dict[
    claim_messages.ClaimResult,
    typing.Callable[[], errors.AmaranthslipError],
] = {
    _Result.IN_PROGRESS: lambda: errors.RequestRepeated(
        'in_progress',
        'a request with this Idempotency-Key is running; retry with the same '
        'key to learn how it ended',
        retry_after=RETRY_AFTER_SECONDS,
    ),
    _Result.ALREADY_DONE: lambda: errors.RequestRepeated(
        'already_done',
        'a request with this Idempotency-Key has run; look up its result at '
        'the service, and do not send it again under a new key',
    ),
    _Result.UNKNOWN: lambda: errors.OutcomeUnknown(
        'claim_unknown',
        'a request with this Idempotency-Key was begun and may have run; '
        'look it up at the service before you send it under a new key',
    ),
    _Result.KEY_REUSED: lambda: errors.RequestRefused(
        'key_reused',
        'not run: this Idempotency-Key came before with another request; '
        'make a new key for each request',
        status=422,
    ),
    _Result.FULL: lambda: errors.RequestRefused(
        'claims_full',
        'not run: no room for another claim; retry later with the same key; '
        'operators: raise claims.shards or shorten claims.window_seconds',
        retry_after=RETRY_AFTER_SECONDS,
    ),
    _Result.UNAVAILABLE: lambda: errors.RequestRefused(
        'claims_unavailable',
        'this attempt was not run: the key-value service cannot be reached '
        'to claim its Idempotency-Key; retry with the same key, which also '
        'tells whether an earlier attempt ran',
        retry_after=RETRY_AFTER_SECONDS,
    ),
}
