"""The platform's HTTP headers, decoded from requests and answers.

Only this module uses the platform's header names. A caller's request is a
WSGI environment, in which header names are in upper case.
"""

import math
import typing

from amaranthslip.capacity import estimates
from amaranthslip.requests import prompts

# Identifies one attempt of a client at a request. Engines return it.
ATTEMPT_ID = 'Amaranthslip-Attempt-Id'
DEADLINE = 'Amaranthslip-Deadline-Ms'
_EXPECTED_SERVER = 'Amaranthslip-Expect-Instance'
_ACCOUNT = 'Amaranthslip-Tenant'
_RESUME_AFTER = 'Last-Event-Id'
_RESUMED_ATTEMPT = 'HTTP_RESUMES'

_SEAL = 'amaranthslip-server-seal'
_NOT_RUN = 'amaranthslip-not-executed'
_LOAD = 'amaranthslip-server-load'
_LEAVING = 'server-leaving'
_RETRY_AFTER = 'retry-after'
_MISDIRECTED = 421
_SERVICE_UNAVAILABLE = 503
# Numbers in a load report: requests running, requests waiting and slots; with
# the slowdown, one more. A report with greater numbers is not plausible.
_LOAD_COUNTS = 3
_MAX_LOAD_COUNT = 1e6
# A part of a prompt counts as no longer than this.
_MAX_TOKENS = 2**31
# The slowdown that a machine as usual reports.
_USUAL_SLOWDOWN = 100.0

# Headers that only this system may set. Otherwise a caller could choose its
# client account, reserve an engine's memory, or read another request's
# memory.
SYSTEM_ONLY = frozenset(
    (
        'amaranthslip-attempt-id',
        'amaranthslip-deadline-ms',
        'amaranthslip-expect-instance',
        'amaranthslip-expect-version',
        'amaranthslip-tenant',
        'amaranthslip-hold',
        'amaranthslip-pin-ms',
        'amaranthslip-kv-backup',
        'amaranthslip-seal',
        'amaranthslip-server-seal',
        'amaranthslip-server-load',
        'amaranthslip-not-executed',
        'amaranthslip-instance-id',
        'kv-fetch',
        'kv-from',
        'last-event-id',
    )
)

Environ = dict[str, typing.Any]
HeaderList = list[tuple[str, str]]


class RequestHeaders:
    """Values decoded from the headers of a caller's request.

    Parameters
    ----------
    attempt_id : str
        Empty if the header is missing.
    wait_seconds : float or None
        How long the caller waits for the answer.
    prompt : Prompt or None
        The prompt's size and prefixes; None if no model is named.
    resume_after : int
        Number of the last stream event that the caller has received; 0 if
        none.
    resumed_attempt : str
        The attempt that brought the first event of the stream that the caller
        takes up; empty if it names none.
    """

    __slots__ = (
        'attempt_id',
        'wait_seconds',
        'prompt',
        'resume_after',
        'resumed_attempt',
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        wait_seconds: float | None,
        prompt: prompts.Prompt | None,
        resume_after: int,
        resumed_attempt: str = '',
    ) -> None:
        self.attempt_id = attempt_id
        self.wait_seconds = wait_seconds
        self.prompt = prompt
        self.resume_after = resume_after
        self.resumed_attempt = resumed_attempt


class AnswerHeaders:
    """Values decoded from the headers of a backend server's answer.

    Parameters
    ----------
    signed : bool
        Whether the answer carries the server's signature, which shows that
        the backend server itself generated the answer.
    not_run : bool
        Whether the answer reports that the request was not run.
    encoded : bool
        Whether the body is encoded. Backend servers never encode a body.
    leaving : bool
        Whether the expected server reports that it is leaving.
    retry_after : float or None
        Seconds in the Retry-After of a 503 answer; None for any other
        status, and for a value that is not a number.
    load : ReportedLoad or None
        The server's report of its load; None if it is missing or malformed.
    """

    __slots__ = (
        'signed',
        'not_run',
        'encoded',
        'leaving',
        'retry_after',
        'load',
    )

    def __init__(
        self,
        *,
        signed: bool,
        not_run: bool,
        encoded: bool,
        leaving: bool,
        retry_after: float | None,
        load: estimates.ReportedLoad | None = None,
    ) -> None:
        self.signed = signed
        self.not_run = not_run
        self.encoded = encoded
        self.leaving = leaving
        self.retry_after = retry_after
        self.load = load


def read_attempt_id(environ: Environ) -> str:
    """Return the id of a caller's attempt, or an empty string."""
    return environ.get('HTTP_AMARANTHSLIP_ATTEMPT_ID', '')


def read_wait_seconds(environ: Environ) -> float | None:
    """Return how long a caller waits; None if the header is missing."""
    deadline_ms = _read_number(
        environ.get('HTTP_AMARANTHSLIP_DEADLINE_MS', '')
    )
    return None if deadline_ms is None else deadline_ms / 1000


def read_request(environ: Environ) -> RequestHeaders:
    """Decode a request's headers; invalid values count as missing."""
    resume = _read_number(environ.get('HTTP_LAST_EVENT_ID', ''))
    return RequestHeaders(
        attempt_id=read_attempt_id(environ),
        wait_seconds=read_wait_seconds(environ),
        prompt=_read_prompt(environ),
        resume_after=int(resume or 0),
        resumed_attempt=environ.get(_RESUMED_ATTEMPT, '').strip(),
    )


def _read_prompt(environ: Environ) -> prompts.Prompt | None:
    model = environ.get('HTTP_AMARANTHSLIP_MODEL')
    if model is None:
        return None
    # The prompt's token count, and the maximum of generated tokens.
    usage = environ.get('HTTP_AMARANTHSLIP_TOKEN_USAGE', '').split(',')
    prompt_token_count = _read_number(usage[0]) or 0
    max_token_count = _read_number(usage[1]) if len(usage) > 1 else 0
    hint = _read_number(environ.get('HTTP_AMARANTHSLIP_LENGTH_HINT', ''))
    return prompts.Prompt(
        model=model,
        parts=list(
            _read_parts(environ.get('HTTP_AMARANTHSLIP_PROMPT_PREFIX', ''))
        ),
        prompt_tokens=int(prompt_token_count),
        max_output_tokens=int(max_token_count or 0),
        hinted_output_tokens=None if hint is None else int(hint),
    )


def _read_parts(text: str) -> typing.Iterator[prompts.PromptPart]:
    for each in text.split(','):
        name, _, tokens = each.strip().rpartition(':')
        count = _read_number(tokens)
        if name and count is not None:
            yield prompts.PromptPart(name, int(min(count, _MAX_TOKENS)))


def _read_number(text: str) -> float | None:
    text = text.strip()
    # float() alone would accept 'nan' and 'inf'.
    if not text.isascii() or not text.replace('.', '', 1).isdigit():
        return None
    number = float(text)
    # Infinite for hundreds of digits.
    return number if math.isfinite(number) else None


def build_try_headers(
    *,
    server_name: str,
    client_account: str,
    seconds_left: float,
    resume_after: int,
) -> HeaderList:
    """Return the headers that this system sets for one try.

    The server name lets a different server at the same address refuse the
    request. The deadline is the time left for the request.
    """
    pairs = [
        (DEADLINE, str(max(1, int(seconds_left * 1000)))),
        (_EXPECTED_SERVER, server_name),
    ]
    if client_account:
        pairs.append((_ACCOUNT, client_account))
    if resume_after:
        pairs.append((_RESUME_AFTER, str(resume_after)))
    return pairs


def read_answer(
    status: int, pairs: typing.Iterable[tuple[str, str]]
) -> AnswerHeaders:
    """Decode the headers of a backend server's answer."""
    values = {name.lower(): value for name, value in pairs}
    retry_after = None
    if status == _SERVICE_UNAVAILABLE:
        retry_after = _read_number(values.get(_RETRY_AFTER, ''))
    return AnswerHeaders(
        signed=_SEAL in values,
        not_run=_NOT_RUN in values or status == _MISDIRECTED,
        encoded='content-encoding' in values,
        # A 421 answer comes from a server other than the expected one.
        leaving=values.get(_LEAVING) == '1' and status != _MISDIRECTED,
        retry_after=retry_after,
        load=_read_load(values.get(_LOAD, '')),
    )


def _read_load(text: str) -> estimates.ReportedLoad | None:
    numbers = [_read_number(each) for each in text.split(',')]
    if len(numbers) < _LOAD_COUNTS or any(
        each is None or each > _MAX_LOAD_COUNT for each in numbers
    ):
        return None
    running, waiting, slots = map(int, numbers[:_LOAD_COUNTS])
    slowdown = None
    if len(numbers) > _LOAD_COUNTS and numbers[_LOAD_COUNTS] > 0:
        slowdown = numbers[_LOAD_COUNTS] / _USUAL_SLOWDOWN
    return estimates.ReportedLoad(
        running=running, waiting=waiting, slots=slots, slowdown=slowdown
    )


def strip_internal(pairs: typing.Iterable[tuple[str, str]]) -> HeaderList:
    """Return an answer's headers without the server's load report."""
    return [each for each in pairs if each[0].lower() != _LOAD]


def strip_status_specific(
    pairs: typing.Iterable[tuple[str, str]],
) -> HeaderList:
    """Return an answer's headers without those tied to its original status.

    For an answer whose status is replaced. The signature applies only to the
    server's own status. Retry-After states when this instance may retry that
    server; another server may accept the caller's request immediately.
    """
    return [
        each for each in pairs if each[0].lower() not in (_SEAL, _RETRY_AFTER)
    ]
