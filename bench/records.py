"""The load tool's records of each request and of each account's service."""

import json
import pathlib
import typing


# Outcomes of a request, as seen by its caller.
DONE = 'done'
REFUSED = 'refused'
FAILED = 'failed'
# The run ended before the request: neither a success nor a failure.
STOPPED = 'stopped'
# An answer with a text other than the one expected for the request.
WRONG = 'wrong'


class Record:
    """One request, as seen by its caller.

    Parameters
    ----------
    account, entry : str
        The client account, and the address of the router.
    start : float
        Time at which the request was sent, in `time.monotonic()` seconds,
        which all processes of one machine share.
    first, end : float or None
        Times at which the first token and the end of the answer arrived.
    outcome : str
        One of the outcomes that this module defines.
    status : int
        The HTTP status; 0 if no response arrived.
    tokens : int
        Number of generated tokens delivered.
    reason : str
        Why the request was refused or failed, or why its answer is wrong;
        empty otherwise.
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
    """Tokens delivered to one account in each time step."""

    __slots__ = ('account', 'steps')

    def __init__(
        self, account: str, steps: dict[int, float] | None = None
    ) -> None:
        self.account = account
        self.steps = steps or {}

    def add(self, step: int, tokens: float) -> None:
        """Add tokens delivered in the time step with the index `step`."""
        self.steps[step] = self.steps.get(step, 0.0) + tokens


class Observation:
    """All results of one run of the load tool.

    Parameters
    ----------
    start : float
        Start of the first time step, in `time.monotonic()` seconds.
    seconds, step_seconds : float
        Duration of the run and of one time step.
    gaps : list of float
        Seconds between consecutive chunks of a stream with tokens.
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

    def record_delivery(
        self, account: str, arrival_time: float, tokens: float
    ) -> None:
        """Add tokens that arrived at `arrival_time` to the account's steps.

        The time is in `time.monotonic()` seconds.
        """
        if account not in self.deliveries:
            self.deliveries[account] = Delivery(account)
        step = int((arrival_time - self.start) / self.step_seconds)
        self.deliveries[account].add(step, tokens)

    def merge(self, other: 'Observation') -> None:
        """Add the observation of another worker of the same run."""
        self.records += other.records
        self.gaps += other.gaps
        for delivery in other.deliveries.values():
            delivery_total = self.deliveries.setdefault(
                delivery.account, Delivery(delivery.account)
            )
            for step, tokens in delivery.steps.items():
                delivery_total.add(step, tokens)


def write_observation(path: pathlib.Path, observation: Observation) -> None:
    """Write an observation as JSON for the process that merges them."""
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
    """Read an observation from a file that `write_observation` wrote."""
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
