"""Scenarios: how the client accounts of a deployment load its routers.

Sizes are divided by `SIZE_SCALE`, so that half a minute holds as many
requests as several minutes of the real sizes; so are the estimates of the
document's kinds, and so is every figure in tokens.
"""

import typing

from bench import deployments
from bench import plans

SIZE_SCALE = 4.0
# Callers in a closed loop for each slot that an account is due, and some
# more, so that every account always has requests queued.
_CALLERS_PER_SLOT = 2.0
_SPARE_CALLERS = 8
_FLOOD_FACTOR = 5
_OVERLOAD = 3.0
_OVERLOAD_QUEUE_REQUESTS = 20
_WRONG_FACTOR = 10.0


class Scenario:
    """A scenario's name and the function that builds its load.

    Parameters
    ----------
    name : str
        As tables and `--scenario` name it.
    build : callable
        Called with the deployment, which it may change, the service and the
        routers' addresses; returns the traffics.
    seconds : float
        How long the load runs.
    """

    __slots__ = ('name', 'build', 'seconds')

    def __init__(
        self,
        name: str,
        build: typing.Callable[
            [deployments.Deployment, str, list[str]], list[plans.Traffic]
        ],
        *,
        seconds: float = 25.0,
    ) -> None:
        self.name = name
        self.build = build
        self.seconds = seconds


def scale_estimates(deployment: deployments.Deployment, service: str) -> None:
    """Divide the estimates of a service's kinds as sizes are divided."""
    for kind in _list_kinds(deployment, service):
        scaled = kind.get('estimate_tokens', 256) / SIZE_SCALE
        kind['estimate_tokens'] = max(1, int(scaled))


def _list_kinds(
    deployment: deployments.Deployment, service: str
) -> list[dict[str, typing.Any]]:
    return [
        kind
        for kind in deployment.document['request_kinds']
        if kind['service'] == service
    ]


def build_even(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Every account is backlogged and asks every router.

    An account sends the kind of request that its place in the document
    gives it, with that kind's estimate as its mean size.
    """
    kinds = _list_kinds(deployment, service)
    shares = deployment.read_shares(service)
    slots = deployment.count_slots(service) / sum(shares.values())
    traffics = []
    for index, (account, share) in enumerate(shares.items()):
        kind = kinds[index % len(kinds)]
        callers = round(share * slots * _CALLERS_PER_SLOT) + _SPARE_CALLERS
        traffics.append(
            plans.Traffic(
                account=account,
                key=deployments.read_key(account),
                service=service,
                entries=entries,
                kind=kind['name'],
                callers=callers,
                mean_tokens=kind['estimate_tokens'],
                least_tokens=plans.LEAST_TOKENS / SIZE_SCALE,
                most_tokens=plans.MOST_TOKENS / SIZE_SCALE,
            )
        )
    return traffics


def build_uneven(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Put the first account on one router, the second on all.

    The third floods one router; each of the rest asks one or two.
    """
    traffics = build_even(deployment, service, entries)
    count = len(entries)
    for index, traffic in enumerate(traffics):
        first = index % count
        traffic.entries = [entries[first]]
        if index % 2:
            traffic.entries.append(entries[(first + 3) % count])
    traffics[1].entries = list(entries)
    traffics[2].callers *= _FLOOD_FACTOR
    return traffics


def build_wrong_estimates(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Make the kinds' estimates ten times too high or too low.

    The last account lies: it names the kind with the least estimate and
    sends the largest requests.
    """
    traffics = build_even(deployment, service, entries)
    kinds = _list_kinds(deployment, service)
    least = min(kinds, key=lambda kind: kind['estimate_tokens'])
    traffics[-1].kind = least['name']
    traffics[-1].mean_tokens = max(each.mean_tokens for each in traffics)
    for index, kind in enumerate(kinds):
        factor = _WRONG_FACTOR if index % 2 else 1 / _WRONG_FACTOR
        kind['estimate_tokens'] = max(1, int(kind['estimate_tokens'] * factor))
    return traffics


def build_idle_and_return(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Let every second account pause, and come back for good."""
    traffics = build_even(deployment, service, entries)
    for traffic in traffics[1::2]:
        traffic.active = [[0.0, 6.0], [10.0, 14.0], [17.0, 1e9]]
    return traffics


def build_overload(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Send three times what the engines can do, in an open loop."""
    traffics = build_even(deployment, service, entries)
    shares = deployment.read_shares(service)
    rate = deployments.TOKENS_PER_STEP / deployments.STEP_SECONDS
    capacity = deployment.count_slots(service) * rate
    for traffic in traffics:
        due = capacity * shares[traffic.account] / sum(shares.values())
        traffic.callers = 0
        traffic.rate = _OVERLOAD * due / traffic.mean_tokens
    for account in deployment.document['client_accounts']:
        account['queue_requests'] = _OVERLOAD_QUEUE_REQUESTS
    return traffics


SCENARIOS = (
    Scenario('even', build_even),
    # Longer than the rest: the gap of a policy without a bound grows on.
    Scenario('uneven', build_uneven, seconds=60.0),
    Scenario('wrong_estimates', build_wrong_estimates),
    Scenario('idle_and_return', build_idle_and_return),
    Scenario('overload', build_overload),
)
