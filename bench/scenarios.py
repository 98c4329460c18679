"""Scenarios: the load of a deployment's client accounts on its routers.

Request sizes are divided by `SIZE_SCALE`, so that half a minute has as many
requests as several minutes with the real sizes. The estimates of the
document's request kinds and all measures in tokens are scaled alike.
"""

import typing

from bench import deployments
from bench import plans

SIZE_SCALE = 4.0
# An account has this many closed-loop callers for each slot of its share, and
# the spare callers, so that every account always has requests queued.
_CALLERS_PER_SLOT = 2.0
_SPARE_CALLERS = 8
_FLOOD_FACTOR = 5
_OVERLOAD_FACTOR = 3.0
_OVERLOAD_QUEUE_REQUESTS = 20
_ESTIMATE_ERROR_FACTOR = 10.0


class Scenario:
    """A scenario's name and the function that builds its load.

    Parameters
    ----------
    name : str
        Name in tables and for the option `--scenario`.
    build : callable
        Returns the traffic of each account. Called with the deployment,
        which the function may change, the service and the routers'
        addresses.
    seconds : float
        Duration of the load.
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
    """Divide the estimates of a service's request kinds by `SIZE_SCALE`."""
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
    """Keep every account backlogged, with requests to every router.

    The request kinds are assigned to the accounts in turn. An account's mean
    request size is the estimate of its kind.
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
                least_tokens=plans.MIN_TOKENS / SIZE_SCALE,
                most_tokens=plans.MAX_TOKENS / SIZE_SCALE,
            )
        )
    return traffics


def build_uneven(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Send requests of the first account to one router, the second to all.

    The third account floods one router. Each other account uses one or two
    routers.
    """
    traffics = build_even(deployment, service, entries)
    count = len(entries)
    for index, traffic in enumerate(traffics):
        entry_index = index % count
        traffic.entries = [entries[entry_index]]
        if index % 2:
            traffic.entries.append(entries[(entry_index + 3) % count])
    traffics[1].entries = list(entries)
    traffics[2].callers *= _FLOOD_FACTOR
    return traffics


def build_wrong_estimates(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Make the estimates of the kinds ten times too high or too low.

    The last account names the kind with the smallest estimate but sends
    requests of the largest mean size.
    """
    traffics = build_even(deployment, service, entries)
    kinds = _list_kinds(deployment, service)
    smallest_kind = min(kinds, key=lambda kind: kind['estimate_tokens'])
    traffics[-1].kind = smallest_kind['name']
    traffics[-1].mean_tokens = max(each.mean_tokens for each in traffics)
    for index, kind in enumerate(kinds):
        factor = (
            _ESTIMATE_ERROR_FACTOR if index % 2 else 1 / _ESTIMATE_ERROR_FACTOR
        )
        kind['estimate_tokens'] = max(1, int(kind['estimate_tokens'] * factor))
    return traffics


def build_idle_and_return(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Make every second account pause twice and then send to the end."""
    traffics = build_even(deployment, service, entries)
    for traffic in traffics[1::2]:
        traffic.active = [[0.0, 6.0], [10.0, 14.0], [17.0, 1e9]]
    return traffics


def build_overload(
    deployment: deployments.Deployment, service: str, entries: list[str]
) -> list[plans.Traffic]:
    """Send three times the capacity of the engines, in an open loop."""
    traffics = build_even(deployment, service, entries)
    shares = deployment.read_shares(service)
    rate = deployments.TOKENS_PER_STEP / deployments.STEP_SECONDS
    capacity = deployment.count_slots(service) * rate
    for traffic in traffics:
        account_capacity = (
            capacity * shares[traffic.account] / sum(shares.values())
        )
        traffic.callers = 0
        traffic.rate = (
            _OVERLOAD_FACTOR * account_capacity / traffic.mean_tokens
        )
    for account in deployment.document['client_accounts']:
        account['queue_requests'] = _OVERLOAD_QUEUE_REQUESTS
    return traffics


SCENARIOS = (
    Scenario('even', build_even),
    # Runs longer than the other scenarios, because the gap of a policy
    # without a bound keeps growing.
    Scenario('uneven', build_uneven, seconds=60.0),
    Scenario('wrong_estimates', build_wrong_estimates),
    Scenario('idle_and_return', build_idle_and_return),
    Scenario('overload', build_overload),
)
