"""Interpretation of backend answers and failures for the caller."""

from amaranthslip.backends import responses
from amaranthslip.entry import headers
from amaranthslip.entry import routed
from amaranthslip import errors
from amaranthslip.platform import headers as wire

# Failure reasons that exclude a server from new requests.
EXCLUSIONS = frozenset(
    ('leaving', 'evacuated', 'backoff', 'cold', 'restarted')
)
# Failure reasons that don't count as failures of the server: it rejected the
# request for lack of capacity, is not the expected server, or is excluded.
REJECTIONS = frozenset(('rejected', 'misdirected')) | EXCLUSIONS


def check_run(answer: responses.Response, facts: wire.AnswerHeaders) -> None:
    """Raise if a request was not run or its answer is not authentic.

    Raises
    ------
    BackendFailed
        The server reports that it did not run the request (`sent` is False),
        or the answer was not produced by the server itself (`sent` is True).
    """
    if facts.not_run:
        reason = 'misdirected' if answer.status == 421 else 'rejected'
        raise errors.BackendFailed(
            reason,
            f'the backend server took no request ({answer.status})',
            sent=False,
            status=503,
        )
    if facts.encoded or (answer.status < 300 and not facts.signed):
        raise errors.BackendFailed(
            'foreign_answer',
            "the answer is not the backend server's own",
            sent=True,
        )


def is_stream(answer: responses.Response) -> bool:
    """Return whether an answer is a stream of server-sent events."""
    return answer.status == 200 and answer.content_type.startswith(
        'text/event-stream'
    )


def list_caller_headers(answer: responses.Response) -> wire.HeaderList:
    """Return the headers of an answer that are passed on to the caller."""
    return wire.strip_internal(headers.strip_answer_headers(answer.headers))


def build_final_error(
    call: routed.RoutedCall, error: errors.AmaranthslipError
) -> errors.AmaranthslipError:
    """Return the error to report for a call that ended without an answer.

    If the request may have run in any try, the error says so: the last error
    alone may state that the request was not run.
    """
    if call.runs:
        status = 504 if call.seconds_left <= 0 else 502
        return errors.BackendFailed(
            'outcome_unknown',
            f'{error}; an earlier try of this request may have run',
            sent=True,
            status=status,
        )
    if isinstance(error, errors.BackendFailed) and not error.sent:
        return errors.RequestRefused(
            error.reason,
            f'{error}; it was not run, come back later',
            retry_after=0.2,
        )
    return error
