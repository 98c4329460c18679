"""The subcommand `summarize`: outcomes of requests, from several logs."""

import collections
import pathlib
import sys
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import explain
from amaranthslip.commands import fairness
from amaranthslip.commands import sizes

# Only the worst services, client accounts and seconds are shown.
_MAX_SHOWN = 8
_END_EVENTS = ('request_ended', 'request_failed')
IN_TIME = 'in_time'
LATE = 'late'


class AttemptResult:
    """How one attempt at a request ended, according to its last line.

    Parameters
    ----------
    line : Line
        The log line of the event that ends the attempt.
    """

    __slots__ = (
        'outcome',
        'service',
        'account',
        'prompt_id',
        'tokens',
        'objective_ms',
        'reading_ms',
        'ahead_ms',
        'allowed_ms',
        'instance',
        'share_use',
        'share_tokens',
        'started_at',
        'seconds',
    )

    def __init__(self, line: explain.LogLine) -> None:
        fields = line.fields
        self.outcome = _parse_outcome(fields)
        self.service = fields.get('service', '')
        self.account = fields.get('client_account', '')
        self.prompt_id = fields.get('prompt_id', '')
        self.tokens = int(fields.get('tokens', 0))
        self.objective_ms = int(fields.get('objective_ms', 0))
        # Estimates for the first event: reading the prompt, waiting before
        # that, and the limit. 0 if the request was not compared with a limit.
        self.reading_ms = int(fields.get('reading_ms', 0))
        self.ahead_ms = int(fields.get('ahead_ms', 0))
        self.allowed_ms = int(fields.get('allowed_ms', 0))
        self.instance = fields.get('instance', '')
        # The account's tokens relative to its fair share as the instance knew
        # it; None if the request was not compared with a limit.
        self.share_use = (
            float(fields['share_use']) if 'share_use' in fields else None
        )
        # That fair share; 0 if nothing was contended, or not compared.
        self.share_tokens = int(fields.get('share_tokens', 0))
        self.seconds = line.seconds
        self.started_at = line.seconds - int(fields.get('took_ms', 0)) / 1000

    @property
    def second(self) -> int:
        """The second of the day in which the attempt ended."""
        return int(self.seconds)

    @property
    def served(self) -> bool:
        """Whether the attempt was answered, in time or late."""
        return self.outcome in (IN_TIME, LATE)

    @property
    def in_time(self) -> bool:
        """Whether the attempt was answered within its objective."""
        return self.outcome == IN_TIME


def _parse_outcome(fields: dict[str, str]) -> str:
    if fields.get('event') == 'request_failed':
        return fields.get('reason', 'unknown')
    if fields.get('status') != '200':
        return f'status_{fields.get("status")}'
    first_ms = int(fields.get('first_ms', fields.get('took_ms', 0)))
    objective_ms = int(fields.get('objective_ms', 0))
    return LATE if objective_ms and first_ms > objective_ms else IN_TIME


class OutcomeCounts:
    """Numbers of requests and tokens of one group, by outcome."""

    __slots__ = ('requests', 'tokens')

    def __init__(self) -> None:
        self.requests: collections.Counter[str] = collections.Counter()
        self.tokens: collections.Counter[str] = collections.Counter()

    def add(self, result: AttemptResult) -> None:
        """Count one result."""
        self.requests[result.outcome] += 1
        self.tokens[result.outcome] += result.tokens

    @property
    def in_time_fraction(self) -> float:
        """The fraction of the demand that was served in time.

        In tokens if there are any, else in requests: a long prompt that was
        refused is a greater loss to its client than a short one.
        """
        counts = self.tokens if self.tokens.total() else self.requests
        return counts[IN_TIME] / max(1, counts.total())


def read_results(
    lines: typing.Iterable[str],
) -> typing.Iterator[AttemptResult]:
    """Yield how requests ended, in the order of the lines."""
    for text in lines:
        if any(f'event={name}' in text for name in _END_EVENTS):
            yield AttemptResult(explain.LogLine(text))


def count_outcomes(
    results: typing.Iterable[AttemptResult],
    key: typing.Callable[[AttemptResult], typing.Any],
) -> dict[typing.Any, OutcomeCounts]:
    """Return the counts by key; an empty key leaves a result out."""
    counts_by_key: dict[typing.Any, OutcomeCounts] = collections.defaultdict(
        OutcomeCounts
    )
    for result in results:
        value = key(result)
        if value != '':
            counts_by_key[value].add(result)
    return counts_by_key


def format_summary(
    results: typing.Sequence[AttemptResult],
) -> typing.Iterator[str]:
    """Yield the lines of the summary."""
    overall = OutcomeCounts()
    for result in results:
        overall.add(result)
    yield f'{len(results)} requests'
    for outcome, count in overall.requests.most_common():
        tokens = overall.tokens[outcome]
        yield f'  {outcome:<26} {count:>7} requests {tokens:>10} tokens'
    yield 'services'
    yield from _format_worst(
        count_outcomes(results, lambda each: each.service)
    )
    yield 'client accounts, worst first'
    yield from _format_worst(
        count_outcomes(results, lambda each: each.account)
    )
    yield 'seconds of the day, worst first'
    yield from _format_worst(count_outcomes(results, lambda each: each.second))
    yield (
        'client accounts that got less than half of what they requested or the'
        f' best served one got, in {fairness.WINDOW_SECONDS} s'
    )
    yield from fairness.format_short_accounts(results)
    yield 'kinds of request by size, retries of a request joined'
    yield from sizes.format_kinds(results)


def _format_worst(
    counts_by_key: dict[typing.Any, OutcomeCounts],
) -> typing.Iterator[str]:
    ranked = sorted(
        counts_by_key.items(), key=lambda item: item[1].in_time_fraction
    )
    for name, counts in ranked[:_MAX_SHOWN]:
        others = [
            f'{outcome} {count}'
            for outcome, count in counts.requests.most_common()
            if outcome != IN_TIME
        ]
        yield (
            f'  {name!s:<26} {counts.in_time_fraction:>5.0%} in time of'
            f' {counts.requests.total():>6} requests: {", ".join(others[:4])}'
        )


@cappa.command(
    name='summarize',
    help="Summarize how requests ended, from the instances' logs.",
    description='Counts requests by outcome, lists the client accounts, '
    'services and seconds with the smallest fraction served in time, shows '
    'which accounts got far less than another one did, and compares how often '
    'large and small requests of a kind were served. ' + exits.EXIT_CODES_HELP,
)
def summarize_requests(
    logs: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(num_args=-1, help='Log files of one or more instances.'),
    ],
) -> int:
    """Print the summary of some logs."""
    lines = explain.read_lines(logs)
    if lines is None:
        return exits.ExitCode.INVALID
    results = list(read_results(lines))
    if not results:
        print(
            'error: no line reports the end of a request; check that these'
            ' are logs of instances, at the level info',
            file=sys.stderr,
        )
        return exits.ExitCode.INVALID
    for each in format_summary(results):
        print(each)
    return exits.ExitCode.DONE
