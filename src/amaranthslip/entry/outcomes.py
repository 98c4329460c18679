"""What an answer, or a failure, lets an instance say to a caller."""

from amaranthslip.backends import answers
from amaranthslip.entry import headers
from amaranthslip.entry import routed
from amaranthslip import errors
from amaranthslip.platform import headers as wire

# Reasons for which a server is excluded from new requests.
EXCLUSIONS = frozenset(('leaving', 'backoff'))
# Reasons that are not failures of the server: it had no room, is not the
# expected server, or is excluded.
REJECTIONS = frozenset(('rejected', 'misdirected')) | EXCLUSIONS


def check_run(answer: answers.Answer, facts: wire.AnswerFacts) -> None:
    """Raise for an answer that is no server's own, or says 'not run'.

    Raises
    ------
    BackendFailed
        Another server may have the request, if it may be repeated.
    """
    if facts.not_run:
        reason = 'misdirected' if answer.status == 421 else 'rejected'
        raise errors.BackendFailed(
            reason,
            f'the backend server took no request ({answer.status})',
            sent=False,
            status=503,
        )
    if facts.encoded or (answer.status < 300 and not facts.sealed):
        raise errors.BackendFailed(
            'foreign_answer',
            "the answer is not the backend server's own",
            sent=True,
        )


def is_stream(answer: answers.Answer) -> bool:
    """Return whether an answer is a series of events."""
    return answer.status == 200 and answer.content_type.startswith(
        'text/event-stream'
    )


def list_caller_headers(answer: answers.Answer) -> wire.Pairs:
    """Return the headers of an answer that are the caller's."""
    return wire.strip_internal(headers.strip_answer_headers(answer.headers))


def tell_truth(
    call: routed.RoutedCall, error: errors.AmaranthslipError
) -> errors.AmaranthslipError:
    """Return what may be said of a call that ended without an answer."""
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
