"""Compares how often large and small requests of a kind are served."""

import collections
import statistics
import typing

# Seconds within which a client repeats a request that was refused.
_RETRY_WINDOW_SECONDS = 30.0
# Kinds with fewer requests are not listed: their largest tenth would be too
# small a sample.
_MIN_REQUESTS = 50


class Attempt(typing.Protocol):
    """How one attempt ended; implemented by `summarize.AttemptResult`."""

    service: str
    account: str
    prompt_id: str
    tokens: int
    objective_ms: int
    seconds: float
    served: bool
    reading_ms: int
    ahead_ms: int
    allowed_ms: int


class Request:
    """One request of a client: its attempts, in order of time."""

    __slots__ = ('attempts',)

    def __init__(self, first: Attempt) -> None:
        self.attempts = [first]

    @property
    def tokens(self) -> int:
        """The tokens that the request takes of the engines' throughput."""
        return self.attempts[0].tokens

    @property
    def served(self) -> bool:
        """Whether an attempt was answered, in time or late."""
        return self.attempts[-1].served

    def is_retried_by(self, attempt: Attempt) -> bool:
        """Return whether an attempt with the same prompt is a retry."""
        last = self.attempts[-1]
        if last.served:
            return False
        return attempt.seconds - last.seconds <= _RETRY_WINDOW_SECONDS


class Group:
    """Requests of one kind within a range of sizes."""

    __slots__ = ('name', 'requests')

    def __init__(self, name: str, requests: list[Request]) -> None:
        self.name = name
        self.requests = requests

    @property
    def served_fraction(self) -> float:
        """The fraction of the requests that were served."""
        served = sum(each.served for each in self.requests)
        return served / max(1, len(self.requests))

    @property
    def served_retry_fraction(self) -> float:
        """The fraction of the attempts after the first that were served."""
        retries = [
            attempt
            for request in self.requests
            for attempt in request.attempts[1:]
        ]
        return sum(each.served for each in retries) / max(1, len(retries))

    def list_estimated_refusals(self) -> list[Attempt]:
        """Return the attempts that were not served and have an estimate."""
        return [
            attempt
            for request in self.requests
            for attempt in request.attempts
            if not attempt.served and attempt.allowed_ms
        ]


def collect_requests(
    attempts: typing.Iterable[Attempt],
) -> typing.Iterator[Request]:
    """Yield requests, with the attempts of each joined by its prompt.

    Different requests of a session may have prompts with the same last part.
    An attempt is a retry only if the one before was not served and has the
    same account, prompt id and size.
    """
    latest: dict[tuple[str, str, int], Request] = {}
    for attempt in sorted(attempts, key=lambda each: each.seconds):
        key = attempt.account, attempt.prompt_id, attempt.tokens
        request = latest.get(key)
        if request is not None and request.is_retried_by(attempt):
            request.attempts.append(attempt)
            continue
        latest[key] = Request(attempt)
        yield latest[key]


def group_by_kind(
    requests: typing.Iterable[Request],
) -> dict[tuple[str, int], list[Request]]:
    """Return requests by service and objective, smallest first."""
    kinds: dict[tuple[str, int], list[Request]] = collections.defaultdict(list)
    for request in requests:
        first = request.attempts[0]
        kinds[first.service, first.objective_ms].append(request)
    for kind_requests in kinds.values():
        kind_requests.sort(key=lambda each: each.tokens)
    return kinds


def split_by_size(requests: list[Request]) -> list[Group]:
    """Return groups of requests sorted by size: all, then largest first."""
    count = len(requests)
    tenth_start, fifth_start = count - count // 10, count - 3 * count // 10
    return [
        Group('all', requests),
        Group('largest tenth', requests[tenth_start:]),
        Group('next fifth', requests[fifth_start:tenth_start]),
        Group('smaller', requests[:fifth_start]),
    ]


def format_kinds(attempts: typing.Iterable[Attempt]) -> typing.Iterator[str]:
    """Yield the summary lines of each kind of request that has a prompt."""
    kinds = group_by_kind(
        collect_requests(each for each in attempts if each.prompt_id)
    )
    for (service, objective_ms), requests in sorted(kinds.items()):
        if len(requests) < _MIN_REQUESTS:
            continue
        yield f'  {service} within {objective_ms} ms'
        groups = split_by_size(requests)
        overall_fraction = groups[0].served_fraction
        for each in groups:
            yield f'    {_format_group(each, overall_fraction)}'


def _format_group(group: Group, overall_fraction: float) -> str:
    refused = group.list_estimated_refusals()
    medians = [
        int(statistics.median([getattr(each, name) for each in refused]))
        if refused
        else 0
        for name in ('reading_ms', 'ahead_ms', 'allowed_ms')
    ]
    return (
        f'{group.name:<14} {len(group.requests):>6} requests'
        f' {group.served_fraction:>5.0%} served'
        f' ({group.served_fraction / max(overall_fraction, 1e-9):.2f} of all),'
        f' {group.served_retry_fraction:.0%} of retries;'
        f' medians of refused: {medians[0]} ms to read, {medians[1]} ms'
        f' to wait, {medians[2]} ms allowed'
    )
