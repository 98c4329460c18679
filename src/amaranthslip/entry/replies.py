"""Complete answers to callers, and errors in OpenAI's format."""

import functools
import http
import json
import math
import typing

from amaranthslip import errors

_ERROR_TYPES = {
    409: 'idempotency_error',
    401: 'authentication_error',
    403: 'permission_error',
    429: 'rate_limit_error',
}


class Reply:
    """One complete answer to a caller."""

    __slots__ = ('status', 'headers', 'body', 'outcome')

    def __init__(
        self,
        status: int,
        headers: typing.Sequence[tuple[str, str]],
        body: bytes,
        *,
        outcome: str = 'answered',
    ) -> None:
        self.status = status
        self.headers = list(headers)
        self.body = body
        # Label value for the `requests` counter.
        self.outcome = outcome


class Failure:
    """The contents of an error answer to a caller."""

    __slots__ = ('status', 'code', 'message', 'not_run', 'retry_after')

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        not_run: bool,
        retry_after: float | None = None,
    ) -> None:
        self.status = status
        self.code = code
        self.message = message
        self.not_run = not_run
        self.retry_after = retry_after

    def encode(self, request_id: str) -> bytes:
        """Return the JSON error object in OpenAI's format."""
        return json.dumps(
            {
                'error': {
                    'type': _find_error_type(self.status, self.not_run),
                    'code': self.code,
                    'message': self.message,
                    'request_id': request_id,
                    'not_run': self.not_run,
                }
            }
        ).encode()

    def build_reply(
        self, request_id: str, *, fractions: bool = False
    ) -> Reply:
        """Return the error as a complete answer.

        Parameters
        ----------
        fractions : bool
            Whether `Retry-After` may hold a fraction of a second. RFC 9110
            allows whole seconds only, which would turn a wait of 0.2 s
            into one of 1 s.
        """
        headers = [('Content-Type', 'application/json')]
        if self.retry_after is not None:
            seconds = str(max(1, math.ceil(self.retry_after)))
            if fractions:
                seconds = f'{self.retry_after:.3f}'
            headers.append(('Retry-After', seconds))
        outcome = 'refused' if self.not_run else 'unknown'
        if self.status == 409:
            outcome = 'repeated'
        return Reply(
            self.status, headers, self.encode(request_id), outcome=outcome
        )


def _find_error_type(status: int, not_run: bool) -> str:
    if not not_run and status != 409:
        return 'outcome_unknown_error'
    if status >= 500:
        return 'service_unavailable_error'
    return _ERROR_TYPES.get(status, 'invalid_request_error')


def describe_status(status: int) -> str:
    """Return the code and reason phrase for a status line."""
    try:
        return f'{status} {http.HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Status'


@functools.singledispatch
def describe_error(error: BaseException) -> Failure:
    """Return the failure that a caller gets for an error."""
    return Failure(
        500,
        'outcome_unknown',
        'the router failed; report the request id, and look up whether the'
        ' request ran before sending it again',
        not_run=False,
    )


@describe_error.register
def _describe_refusal(error: errors.RequestRefused) -> Failure:
    return Failure(
        error.status,
        error.reason,
        str(error),
        not_run=True,
        retry_after=error.retry_after,
    )


@describe_error.register
def _describe_unknown_outcome(error: errors.OutcomeUnknown) -> Failure:
    return Failure(502, 'outcome_unknown', str(error), not_run=False)


@describe_error.register
def _describe_repetition(error: errors.RequestRepeated) -> Failure:
    # This repetition was not run, but the original request is running or has
    # run.
    return Failure(
        error.status,
        error.reason,
        str(error),
        not_run=False,
        retry_after=error.retry_after,
    )


@describe_error.register
def _describe_backend_failure(error: errors.BackendFailed) -> Failure:
    if error.sent:
        return Failure(
            error.status, 'outcome_unknown', str(error), not_run=False
        )
    return Failure(
        error.status,
        'backend_unreachable',
        str(error),
        not_run=True,
        retry_after=1.0,
    )
