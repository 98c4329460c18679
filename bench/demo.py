"""A demonstration that ends by itself: a small fleet under uneven load.

    make demo

Three routers, two stand-in engines, a stand-in key-value service and list of
instances, all on loopback. Four client accounts ask for more than there is:
one through a single router, one through all of them, one floods a router.
"""

import pathlib
import sys
import time
import typing

from bench import deployments
from bench import figures
from bench import fleet as fleet_module
from bench import load as load_module
from bench import plans
from bench import records
from bench import sampling
from bench import tables

_FOLDER = pathlib.Path('build') / 'demo'
_SECONDS = 20.0
_WARM_UP_SECONDS = 2.0
_SERVICE = 'chat'
# Between failure domains, one way, as the users have it.
_DELAY_SECONDS = 0.0015
_MEAN_TOKENS = (60, 120, 200, 120)
_MOST_TOKENS = 1000
_CALLERS = (12, 16, 60, 20)


def build_traffics(entries: list[str]) -> list[plans.Traffic]:
    """Return what the four accounts send."""
    asked = ([entries[0]], entries, [entries[1]], entries[1:])
    return [
        plans.Traffic(
            account=f'account-{index + 1}',
            key=deployments.read_key(f'account-{index + 1}'),
            service=_SERVICE,
            entries=asked[index],
            callers=_CALLERS[index],
            mean_tokens=_MEAN_TOKENS[index],
            least_tokens=10,
            most_tokens=_MOST_TOKENS,
        )
        for index in range(len(_CALLERS))
    ]


def print_accounts(
    observation: records.Observation,
    series: figures.ServiceSeries,
    traffics: typing.Sequence[plans.Traffic],
) -> None:
    """Print what each account asked for and got."""
    table = tables.Table(
        'account',
        'asks through',
        'callers',
        'share asked',
        'share got',
        'tokens',
        'whole answers',
        'refused',
        'first token p95',
    )
    gained = series.served[:, -1] - series.served[:, 0]
    for index, traffic in enumerate(traffics):
        own = [
            record
            for record in observation.records
            if record.account == traffic.account
        ]
        first = figures.Percentiles(
            [each.first - each.start for each in own if each.first is not None]
        )
        table.add(
            traffic.account,
            f'{len(traffic.entries)} router(s)',
            traffic.callers,
            f'{series.shares[index] / series.shares.sum():.1%}',
            f'{gained[index] / gained.sum():.1%}',
            float(gained[index]),
            sum(each.outcome == records.DONE for each in own),
            sum(each.outcome == records.REFUSED for each in own),
            f'{first.p95:.2f} s',
        )
    print(table.render())


def print_measures(
    observation: records.Observation,
    series: figures.ServiceSeries,
    sampler: sampling.Sampler,
    rate: sampling.ControlRate,
) -> None:
    """Print the three measures, and whether every answer was whole."""
    gap = figures.compute_fairness_gap(series)
    occupancy = sampler.build_occupancy(series, observation.start)
    used = figures.compute_utilisation([occupancy])
    outcomes = figures.count_outcomes(observation)
    names = ' and '.join(gap.accounts)
    print(f'fairness gap: {gap.tokens:,.0f} tokens, between {names}')
    share = 'no work waited' if used is None else f'{used:.1%}'
    print(f'utilisation while work waits: {share}')
    print(f'control traffic: {_describe_rate(rate)}')
    print(
        f'answers: {outcomes[records.DONE]} whole, '
        f'{outcomes[records.WRONG]} wrong, {outcomes[records.FAILED]} '
        f'failed, {outcomes[records.STOPPED]} stopped by the end'
    )


def _describe_rate(rate: sampling.ControlRate) -> str:
    if rate.bytes_per_second is None:
        return 'no router told'
    text = f'{rate.bytes_per_second:,.0f} bytes/s'
    if rate.messages_per_second is not None:
        text += f' and {rate.messages_per_second:,.0f} messages/s'
    return f'{text} an instance'


def run_demo() -> int:
    """Run it; return 0 if every answer that ended was whole."""
    deployment = deployments.build_small_deployment()
    deployment.delay_seconds = _DELAY_SECONDS
    started = time.monotonic()
    print('starting 3 routers, 2 engines, 1 plain service and the platform')
    with fleet_module.Fleet(deployment, _FOLDER, through_proxy=True) as fleet:
        entries = [router.callers for router in fleet.routers.values()]
        plan = plans.Plan(traffics=build_traffics(entries), seconds=_SECONDS)
        print(f'4 client accounts ask for {_SECONDS:.0f} seconds')
        with (
            load_module.Load(plan, _FOLDER) as load,
            sampling.Sampler(fleet, _SERVICE) as sampler,
        ):
            before = sampling.sample_control(fleet)
            observation = load.finish()
            rate = sampling.ControlRate(before, sampling.sample_control(fleet))
        series = figures.build_series(
            observation,
            deployment.read_shares(_SERVICE),
            service_seconds=fleet.step_seconds,
        ).cut(_WARM_UP_SECONDS, _SECONDS)
    print_accounts(observation, series, plan.traffics)
    print_measures(observation, series, sampler, rate)
    print(f'it took {time.monotonic() - started:.0f} s; logs are in {_FOLDER}')
    outcomes = figures.count_outcomes(observation)
    return 1 if outcomes[records.WRONG] or not outcomes[records.DONE] else 0


if __name__ == '__main__':
    sys.exit(run_demo())
