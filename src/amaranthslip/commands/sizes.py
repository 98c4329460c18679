"""Sizes: whether large requests are served as often as the others."""

import collections
import statistics
import typing

# Seconds within which a caller whose request was refused comes back with it.
_RETURN_SECONDS = 30.0
# Requests of a kind below which a tenth of them tells little.
_FEW_REQUESTS = 50


class Attempt(typing.Protocol):
    """How one attempt ended; `summarize.Ending` is one."""

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
    """One request of a caller: its attempts, in the order of time."""

    __slots__ = ('attempts',)

    def __init__(self, first: Attempt) -> None:
        self.attempts = [first]

    @property
    def tokens(self) -> int:
        """What it takes of the engines' throughput."""
        return self.attempts[0].tokens

    @property
    def served(self) -> bool:
        """Whether an attempt was answered, in time or late."""
        return self.attempts[-1].served

    def is_continued(self, attempt: Attempt) -> bool:
        """Return whether an attempt of the same prompt is its next one."""
        last = self.attempts[-1]
        if last.served:
            return False
        return attempt.seconds - last.seconds <= _RETURN_SECONDS


class Group:
    """Requests of one kind and range of sizes."""

    __slots__ = ('name', 'requests')

    def __init__(self, name: str, requests: list[Request]) -> None:
        self.name = name
        self.requests = requests

    @property
    def served_part(self) -> float:
        """The part of its requests that was served."""
        served = sum(each.served for each in self.requests)
        return served / max(1, len(self.requests))

    @property
    def retried_part(self) -> float:
        """The part of the attempts after a first one that was served."""
        retries = [
            attempt
            for request in self.requests
            for attempt in request.attempts[1:]
        ]
        return sum(each.served for each in retries) / max(1, len(retries))

    def list_refused(self) -> list[Attempt]:
        """Return the attempts that were weighed and not served."""
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

    Sessions send prompts whose last part is the same: only what follows an
    attempt that was not served, and asks for the same, is its next one.
    """
    latest: dict[tuple[str, str, int], Request] = {}
    for attempt in sorted(attempts, key=lambda each: each.seconds):
        key = attempt.account, attempt.prompt_id, attempt.tokens
        known = latest.get(key)
        if known is not None and known.is_continued(attempt):
            known.attempts.append(attempt)
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
    for members in kinds.values():
        members.sort(key=lambda each: each.tokens)
    return kinds


def divide(requests: list[Request]) -> list[Group]:
    """Return a kind's groups: all, and by size down from the largest tenth."""
    count = len(requests)
    tenth, fifth = count - count // 10, count - 3 * count // 10
    return [
        Group('all', requests),
        Group('largest tenth', requests[tenth:]),
        Group('fifth below', requests[fifth:tenth]),
        Group('smaller', requests[:fifth]),
    ]


def tell(attempts: typing.Iterable[Attempt]) -> typing.Iterator[str]:
    """Yield lines on each kind of request that has a prompt."""
    kinds = group_by_kind(
        collect_requests(each for each in attempts if each.prompt_id)
    )
    for (service, objective_ms), requests in sorted(kinds.items()):
        if len(requests) < _FEW_REQUESTS:
            continue
        yield f'  {service} within {objective_ms} ms'
        groups = divide(requests)
        whole = groups[0].served_part
        for each in groups:
            yield f'    {_describe(each, whole)}'


def _describe(group: Group, whole: float) -> str:
    refused = group.list_refused()
    middle = [
        int(statistics.median([getattr(each, name) for each in refused]))
        if refused
        else 0
        for name in ('reading_ms', 'ahead_ms', 'allowed_ms')
    ]
    return (
        f'{group.name:<14} {len(group.requests):>6} requests'
        f' {group.served_part:>5.0%} served'
        f' ({group.served_part / max(whole, 1e-9):.2f} of all),'
        f' {group.retried_part:.0%} of further attempts;'
        f' refused at {middle[0]} ms to read, {middle[1]} ms ahead,'
        f' {middle[2]} ms allowed'
    )
