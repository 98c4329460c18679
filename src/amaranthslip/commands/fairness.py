"""Finds client accounts that got little while another got much more."""

import collections
import statistics
import typing

from amaranthslip.shares import demand

# Seconds of the sliding window in which accounts are compared.
WINDOW_SECONDS = 6
# An account counts as short if it got less than this fraction of what it
# requested or of what the best served account got, whichever is less.
_SHORT_FRACTION = 0.5
# The largest requests of an account, which may straddle the window's ends.
_ALLOWED_REQUESTS = 3
_MAX_SHOWN = 8
_MAX_INSTANCES_SHOWN = 4


class Attempt(typing.Protocol):
    """How one attempt ended; implemented by `summarize.AttemptResult`."""

    account: str
    instance: str
    outcome: str
    tokens: int
    started_at: float
    served: bool
    in_time: bool
    share_use: float | None
    share_tokens: int


class _AccountSecond:
    """One account's requested and granted tokens within one second."""

    __slots__ = ('asked', 'granted', 'backlogged')

    def __init__(self) -> None:
        self.asked = 0
        self.granted = 0
        # Whether a request was refused or answered late.
        self.backlogged = False


class ShortAccount:
    """An account that got less than it was due in one window.

    `due` is what the rule of the window asks for; `share` the account's
    max-min fair share of what all accounts were granted.
    """

    __slots__ = (
        'account',
        'start',
        'asked',
        'granted',
        'due',
        'share',
        'best_account',
        'best_granted',
        'attempts',
    )

    def __init__(
        self,
        account: str,
        start: int,
        *,
        asked: int,
        granted: int,
        due: float,
        share: float,
        best_account: str,
        best_granted: int,
        attempts: list[Attempt],
    ) -> None:
        self.account = account
        self.start = start
        self.asked = asked
        self.granted = granted
        self.due = due
        self.share = share
        self.best_account = best_account
        self.best_granted = best_granted
        self.attempts = attempts


def find_short_accounts(
    attempts: typing.Iterable[Attempt],
    *,
    allowed_requests: int = _ALLOWED_REQUESTS,
) -> list[ShortAccount]:
    """Return the worst window of each account that is short in one.

    Parameters
    ----------
    attempts : iterable of Attempt
        How all attempts at requests ended.
    allowed_requests : int
        Number of an account's largest requests that are not due.
    """
    by_second: dict[int, dict[str, _AccountSecond]] = collections.defaultdict(
        lambda: collections.defaultdict(_AccountSecond)
    )
    by_account: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in attempts:
        if not attempt.account or not attempt.tokens:
            continue
        entry = by_second[int(attempt.started_at)][attempt.account]
        entry.asked += attempt.tokens
        if attempt.served:
            entry.granted += attempt.tokens
        if not attempt.in_time:
            entry.backlogged = True
        by_account[attempt.account].append(attempt)
    worst: dict[str, ShortAccount] = {}
    for start in sorted(by_second):
        window = [by_second.get(start + i, {}) for i in range(WINDOW_SECONDS)]
        for short in _compare_accounts(
            start, window, by_account, allowed_requests
        ):
            known = worst.get(short.account)
            if known is None or _read_ratio(short) < _read_ratio(known):
                worst[short.account] = short
    return sorted(worst.values(), key=_read_ratio)


def _read_ratio(short: ShortAccount) -> float:
    return short.granted / max(1.0, short.due)


def _compare_accounts(
    start: int,
    window: list[typing.Mapping[str, _AccountSecond]],
    by_account: dict[str, list[Attempt]],
    allowed_requests: int,
) -> typing.Iterator[ShortAccount]:
    asked: collections.Counter[str] = collections.Counter()
    granted: collections.Counter[str] = collections.Counter()
    for second in window:
        for name, entry in second.items():
            asked[name] += entry.asked
            granted[name] += entry.granted
    if not granted:
        return
    best = max(granted, key=lambda name: granted[name])
    level = demand.compute_level(asked.values(), granted.total())
    for name in asked:
        if not all(
            name in second and second[name].backlogged for second in window
        ):
            continue
        limit = sum(
            min(
                second[name].asked,
                second[best].granted if best in second else 0,
            )
            for second in window
        )
        own = [
            each
            for each in by_account[name]
            if start <= each.started_at < start + WINDOW_SECONDS
        ]
        largest = sorted((each.tokens for each in own), reverse=True)
        due = _SHORT_FRACTION * limit - sum(largest[:allowed_requests])
        if granted[name] < due:
            yield ShortAccount(
                name,
                start,
                asked=asked[name],
                granted=granted[name],
                due=due,
                share=min(level, asked[name]),
                best_account=best,
                best_granted=granted[best],
                attempts=own,
            )


def format_short_accounts(
    attempts: typing.Iterable[Attempt],
) -> typing.Iterator[str]:
    """Yield the summary lines of the accounts that are short."""
    short_accounts = find_short_accounts(attempts)
    if not short_accounts:
        yield '  none'
    for short in short_accounts[:_MAX_SHOWN]:
        yield (
            f'  {short.account:<20} from {_format_time(short.start)}:'
            f' requested {short.asked}, got {short.granted} tokens, due'
            f' {short.due:.0f}, max-min share {short.share:.0f};'
            f' {short.best_account} got {short.best_granted}'
        )
        yield f'    {_format_outcomes(short.attempts)}'
        by_instance: dict[str, list[Attempt]] = collections.defaultdict(list)
        for each in short.attempts:
            by_instance[each.instance].append(each)
        ranked = sorted(by_instance.items(), key=lambda item: -len(item[1]))
        for name, own in ranked[:_MAX_INSTANCES_SHOWN]:
            yield f'    {name}: {_format_outcomes(own)}'


def _format_outcomes(attempts: list[Attempt]) -> str:
    requests = collections.Counter(each.outcome for each in attempts)
    tokens: collections.Counter[str] = collections.Counter()
    for each in attempts:
        tokens[each.outcome] += each.tokens
    text = ', '.join(
        f'{outcome} {count} ({tokens[outcome]} tokens)'
        for outcome, count in requests.most_common()
    )
    uses = [each.share_use for each in attempts if each.share_use is not None]
    if uses:
        text += f'; median share used {statistics.median(uses):.2f}'
        share = statistics.median(each.share_tokens for each in attempts)
        text += f' of {share:.0f} tokens' if share else ''
    return text


def _format_time(second: int) -> str:
    minutes, seconds = divmod(second, 60)
    hours, minutes = divmod(minutes, 60)
    return f'{hours:02}:{minutes:02}:{seconds:02}'
