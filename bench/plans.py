"""Plans: the requests that client accounts send, to which routers and when."""

import json
import pathlib
import typing

import numpy

# Mean sizes of the four kinds of request, in tokens, and the limits to which
# random sizes are clamped: those of the requests in the users' deployments.
MEAN_TOKENS = (200, 600, 2500, 4000)
MIN_TOKENS = 50
MAX_TOKENS = 32000
LOGNORMAL_SIGMA = 1.0


class Traffic:
    """The requests that one client account sends.

    Parameters
    ----------
    account, key : str
        The account and its bearer key.
    service : str
        The model service that the requests are for.
    entries : list of str
        Addresses of the routers; each request goes to one of them, chosen
        with equal probability.
    kind : str
        The request kind that the requests name; none if empty.
    callers : int
        Closed loop: number of callers, each with one request at a time.
    rate : float
        Open loop: mean number of requests a second, sent with exponentially
        distributed gaps.
    mean_tokens, least_tokens, most_tokens : float
        Request sizes are drawn from a lognormal distribution with this mean
        and clamped to the other two.
    prompt_words : int
        Length of the prompt prefix, which all requests of the account share.
    active : list of two floats each
        Intervals in which requests are sent, in seconds since the start;
        always if empty.
    """

    __slots__ = (
        'account',
        'key',
        'service',
        'entries',
        'kind',
        'callers',
        'rate',
        'mean_tokens',
        'least_tokens',
        'most_tokens',
        'prompt_words',
        'active',
    )

    def __init__(
        self,
        *,
        account: str,
        key: str,
        service: str,
        entries: typing.Sequence[str],
        kind: str = '',
        callers: int = 0,
        rate: float = 0.0,
        mean_tokens: float = MEAN_TOKENS[0],
        least_tokens: float = MIN_TOKENS,
        most_tokens: float = MAX_TOKENS,
        prompt_words: int = 8,
        active: typing.Sequence[typing.Sequence[float]] = (),
    ) -> None:
        self.account = account
        self.key = key
        self.service = service
        self.entries = list(entries)
        self.kind = kind
        self.callers = callers
        self.rate = rate
        self.mean_tokens = mean_tokens
        self.least_tokens = least_tokens
        self.most_tokens = most_tokens
        self.prompt_words = prompt_words
        self.active = [list(each) for each in active]

    def scale(self, factor: float) -> None:
        """Divide the request sizes by `factor`, for short runs."""
        self.mean_tokens /= factor
        self.least_tokens = max(1.0, self.least_tokens / factor)
        self.most_tokens /= factor

    def draw_length(self, random: numpy.random.Generator) -> int:
        """Return the number of tokens that the next request generates."""
        median = numpy.log(self.mean_tokens) - LOGNORMAL_SIGMA**2 / 2
        drawn = random.lognormal(median, LOGNORMAL_SIGMA)
        return int(min(max(drawn, self.least_tokens), self.most_tokens))

    def is_active(self, seconds: float) -> bool:
        """Return whether requests are sent `seconds` after the start."""
        if not self.active:
            return True
        return any(begin <= seconds < end for begin, end in self.active)


class Plan:
    """One run of the load tool.

    Parameters
    ----------
    traffics : sequence of Traffic
        One or more for each client account.
    seconds : float
        Duration for which new requests are sent.
    start : float
        Start of the run in `time.monotonic()` seconds; the same for all
        workers.
    seed : int
        Seed for random sizes, routers and sending times.
    step_seconds : float
        The time step of the series of service over time.
    most_wait_seconds : float
        Upper limit of the wait after a refusal. It also applies if the
        response has no Retry-After header.
    """

    __slots__ = (
        'traffics',
        'seconds',
        'start',
        'seed',
        'step_seconds',
        'most_wait_seconds',
    )

    def __init__(
        self,
        *,
        traffics: typing.Sequence[Traffic],
        seconds: float,
        start: float = 0.0,
        seed: int = 1,
        step_seconds: float = 0.1,
        most_wait_seconds: float = 1.0,
    ) -> None:
        self.traffics = list(traffics)
        self.seconds = seconds
        self.start = start
        self.seed = seed
        self.step_seconds = step_seconds
        self.most_wait_seconds = most_wait_seconds

    def split(self, parts: int) -> list['Plan']:
        """Return plans of about equal load, one for each worker.

        Parts without traffic are left out.
        """
        groups: list[list[Traffic]] = [[] for _ in range(parts)]
        for traffic in sorted(
            self.traffics, key=lambda each: -(each.callers + each.rate)
        ):
            lightest = min(
                groups,
                key=lambda group: sum(x.callers + x.rate for x in group),
            )
            lightest.append(traffic)
        return [
            Plan(
                traffics=group,
                seconds=self.seconds,
                start=self.start,
                seed=self.seed,
                step_seconds=self.step_seconds,
                most_wait_seconds=self.most_wait_seconds,
            )
            for group in groups
            if group
        ]


def write_plan(path: pathlib.Path, plan: Plan) -> None:
    """Write a plan as JSON for a worker process."""
    content = {name: getattr(plan, name) for name in Plan.__slots__}
    content['traffics'] = [
        {name: getattr(traffic, name) for name in Traffic.__slots__}
        for traffic in plan.traffics
    ]
    path.write_text(json.dumps(content))


def read_plan(path: pathlib.Path) -> Plan:
    """Read a plan from a file that `write_plan` wrote."""
    content = json.loads(path.read_text())
    traffics = [Traffic(**values) for values in content.pop('traffics')]
    return Plan(traffics=traffics, **content)
