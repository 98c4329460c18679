"""Records: what the load tool saw of each request and of each account."""

import json
import pathlib
import typing


# How a request ended, as its caller saw it.
DONE = 'done'
REFUSED = 'refused'
FAILED = 'failed'
# The run ended first: neither a success nor a failure.
STOPPED = 'stopped'
# An answer that was not whole, or not this request's own.
WRONG = 'wrong'


class Record:
    """One request, as its caller saw it.

    Parameters
    ----------
    account, entry : str
        The client account, and the address of the router that was asked.
    start : float
        When it was sent, in `time.monotonic()` seconds, which the processes
        of one machine share.
    first, end : float or None
        When the first token and the end of the answer came.
    outcome : str
        One of this module's words.
    status : int
        The HTTP status; 0 where none came.
    tokens : int
        Tokens of service delivered: prompt and generated ones.
    reason : str
        Why it was refused or failed; empty otherwise.
    """

    __slots__ = (
        'account',
        'entry',
        'start',
        'first',
        'end',
        'outcome',
        'status',
        'tokens',
        'reason',
    )

    def __init__(
        self,
        *,
        account: str,
        entry: str,
        start: float,
        first: float | None = None,
        end: float | None = None,
        outcome: str = STOPPED,
        status: int = 0,
        tokens: int = 0,
        reason: str = '',
    ) -> None:
        self.account = account
        self.entry = entry
        self.start = start
        self.first = first
        self.end = end
        self.outcome = outcome
        self.status = status
        self.tokens = tokens
        self.reason = reason


class Delivery:
    """Tokens that one account was delivered in each step of time."""

    __slots__ = ('account', 'steps')

    def __init__(
        self, account: str, steps: dict[int, float] | None = None
    ) -> None:
        self.account = account
        self.steps = steps or {}

    def add(self, step: int, tokens: float) -> None:
        """Add tokens delivered in the step of time `step`."""
        self.steps[step] = self.steps.get(step, 0.0) + tokens


class Observation:
    """All that one run of the load tool saw.

    Parameters
    ----------
    start : float
        The first step of time begins here, in `time.monotonic()` seconds.
    seconds, step_seconds : float
        The run's length, and one step's.
    gaps : list of float
        Seconds between one chunk of a stream and the next.
    """

    __slots__ = (
        'start',
        'seconds',
        'step_seconds',
        'records',
        'deliveries',
        'gaps',
    )

    def __init__(
        self,
        *,
        start: float,
        seconds: float,
        step_seconds: float,
        records: typing.Iterable[Record] = (),
        deliveries: typing.Iterable[Delivery] = (),
        gaps: typing.Iterable[float] = (),
    ) -> None:
        self.start = start
        self.seconds = seconds
        self.step_seconds = step_seconds
        self.records = list(records)
        self.deliveries = {each.account: each for each in deliveries}
        self.gaps = list(gaps)

    def deliver(self, account: str, moment: float, tokens: float) -> None:
        """Note tokens that came at `moment`."""
        if account not in self.deliveries:
            self.deliveries[account] = Delivery(account)
        step = int((moment - self.start) / self.step_seconds)
        self.deliveries[account].add(step, tokens)

    def merge(self, other: 'Observation') -> None:
        """Add what another worker of the same run saw."""
        self.records += other.records
        self.gaps += other.gaps
        for delivery in other.deliveries.values():
            own = self.deliveries.setdefault(
                delivery.account, Delivery(delivery.account)
            )
            for step, tokens in delivery.steps.items():
                own.add(step, tokens)


def write_observation(path: pathlib.Path, observation: Observation) -> None:
    """Write an observation as JSON, for the process that merges them."""
    slots = Record.__slots__
    content = {
        'start': observation.start,
        'seconds': observation.seconds,
        'step_seconds': observation.step_seconds,
        'gaps': observation.gaps,
        'records': [
            [getattr(record, slot) for slot in slots]
            for record in observation.records
        ],
        'deliveries': {
            delivery.account: list(delivery.steps.items())
            for delivery in observation.deliveries.values()
        },
    }
    path.write_text(json.dumps(content))


def read_observation(path: pathlib.Path) -> Observation:
    """Read what `write_observation` wrote."""
    content = json.loads(path.read_text())
    rows = content.pop('records')
    deliveries = content.pop('deliveries')
    return Observation(
        **content,
        records=[
            Record(**dict(zip(Record.__slots__, row, strict=True)))
            for row in rows
        ],
        deliveries=[
            Delivery(account, {int(step): tokens for step, tokens in steps})
            for account, steps in deliveries.items()
        ],
    )
