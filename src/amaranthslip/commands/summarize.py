"""The subcommand `summarize`: who was served how, out of many logs."""

import collections
import pathlib
import sys
import typing

import cappa

from amaranthslip.commands import exits
from amaranthslip.commands import explain
from amaranthslip.commands import sizes

# Accounts and seconds that are shown: the worst of them are looked for.
_SHOWN = 8
_ENDS = ('request_ended', 'request_failed')
IN_TIME = 'in_time'
LATE = 'late'


class Ending:
    """How one request ended, as its last line tells.

    Parameters
    ----------
    line : Line
        Of an event that ends a request.
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
        'seconds',
    )

    def __init__(self, line: explain.Line) -> None:
        fields = line.fields
        self.outcome = _read_outcome(fields)
        self.service = fields.get('service', '')
        self.account = fields.get('client_account', '')
        self.prompt_id = fields.get('prompt_id', '')
        self.tokens = int(fields.get('tokens', 0))
        self.objective_ms = int(fields.get('objective_ms', 0))
        # What its first event was expected to take, of which parts, and what
        # it might take; 0 where it was not weighed.
        self.reading_ms = int(fields.get('reading_ms', 0))
        self.ahead_ms = int(fields.get('ahead_ms', 0))
        self.allowed_ms = int(fields.get('allowed_ms', 0))
        self.seconds = line.seconds

    @property
    def second(self) -> int:
        """The second of the day in which it ended."""
        return int(self.seconds)

    @property
    def served(self) -> bool:
        """Whether it was answered, in time or late."""
        return self.outcome in (IN_TIME, LATE)


def _read_outcome(fields: dict[str, str]) -> str:
    if fields.get('event') == 'request_failed':
        return fields.get('reason', 'unknown')
    if fields.get('status') != '200':
        return f'status_{fields.get("status")}'
    first = int(fields.get('first_ms', fields.get('took_ms', 0)))
    objective = int(fields.get('objective_ms', 0))
    return LATE if objective and first > objective else IN_TIME


class Tally:
    """Requests and tokens of one group, by outcome."""

    __slots__ = ('requests', 'tokens')

    def __init__(self) -> None:
        self.requests: collections.Counter[str] = collections.Counter()
        self.tokens: collections.Counter[str] = collections.Counter()

    def add(self, ending: Ending) -> None:
        """Count one request."""
        self.requests[ending.outcome] += 1
        self.tokens[ending.outcome] += ending.tokens

    @property
    def served_part(self) -> float:
        """The part of what was asked that was served in time.

        By tokens where there are any, else by requests: a refused long
        prompt is worth more to its caller than a short one.
        """
        counts = self.tokens if self.tokens.total() else self.requests
        return counts[IN_TIME] / max(1, counts.total())


def read_endings(lines: typing.Iterable[str]) -> typing.Iterator[Ending]:
    """Yield how requests ended, in the order of the lines."""
    for text in lines:
        if any(f'event={name}' in text for name in _ENDS):
            yield Ending(explain.Line(text))


def group(
    endings: typing.Iterable[Ending],
    key: typing.Callable[[Ending], typing.Any],
) -> dict[typing.Any, Tally]:
    """Return the tallies by a key; endings without one are left out."""
    tallies: dict[typing.Any, Tally] = collections.defaultdict(Tally)
    for ending in endings:
        value = key(ending)
        if value != '':
            tallies[value].add(ending)
    return tallies


def tell(endings: typing.Sequence[Ending]) -> typing.Iterator[str]:
    """Yield the summary's lines."""
    whole = Tally()
    for ending in endings:
        whole.add(ending)
    yield f'{len(endings)} requests'
    for outcome, count in whole.requests.most_common():
        tokens = whole.tokens[outcome]
        yield f'  {outcome:<26} {count:>7} requests {tokens:>10} tokens'
    yield 'services'
    yield from _tell_worst(group(endings, lambda each: each.service))
    yield 'client accounts, worst first'
    yield from _tell_worst(group(endings, lambda each: each.account))
    yield 'seconds of the day, worst first'
    yield from _tell_worst(group(endings, lambda each: each.second))
    yield 'kinds of request by size, attempts of a request joined'
    yield from sizes.tell(endings)


def _tell_worst(tallies: dict[typing.Any, Tally]) -> typing.Iterator[str]:
    ranked = sorted(tallies.items(), key=lambda item: item[1].served_part)
    for name, tally in ranked[:_SHOWN]:
        lost = [
            f'{outcome} {count}'
            for outcome, count in tally.requests.most_common()
            if outcome != IN_TIME
        ]
        yield (
            f'  {name!s:<26} {tally.served_part:>5.0%} in time of'
            f' {tally.requests.total():>6} requests: {", ".join(lost[:4])}'
        )


@cappa.command(
    name='summarize',
    help="Tell who was served how out of the instances' logs.",
    description='Counts how requests ended, names the client accounts, '
    'services and seconds of which least was served in time, and tells '
    'whether large requests were served as often as others of their kind. '
    + exits.EXIT_CODES_HELP,
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
    endings = list(read_endings(lines))
    if not endings:
        print(
            'error: no line tells how a request ended; check that these are'
            ' logs of instances, at the level info',
            file=sys.stderr,
        )
        return exits.ExitCode.INVALID
    for each in tell(endings):
        print(each)
    return exits.ExitCode.DONE
