"""A short demonstration: a small fleet of routers under uneven load.

    make demo

Starts three routers, two stand-in engines and a stand-in key-value service,
which also holds the list of instances, all on loopback. Four client accounts
demand more than the engines' capacity: one through a single router, one
through all routers, one floods a single router and one uses the second and
third router. The program ends by itself.
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
# One-way delay between failure domains, as in the users' deployments.
_DELAY_SECONDS = 0.0015
_MEAN_TOKENS = (60, 120, 200, 120)
_MOST_TOKENS = 1000
_CALLERS = (12, 16, 60, 20)


def build_traffics(entries: list[str]) -> list[plans.Traffic]:
    """Return the traffic of the four client accounts.

    Parameters
    ----------
    entries : list of str
        Addresses of the routers.
    """
    account_entries = ([entries[0]], entries, [entries[1]], entries[1:])
    return [
        plans.Traffic(
            account=f'account-{index + 1}',
            key=deployments.read_key(f'account-{index + 1}'),
            service=_SERVICE,
            entries=account_entries[index],
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
    """Print the demand and the received service of each account."""
    table = tables.Table(
        'account',
        'routers used',
        'callers',
        'share due',
        'share received',
        'tokens',
        'complete answers',
        'refused',
        'first token p95',
    )
    received = series.served[:, -1] - series.served[:, 0]
    for index, traffic in enumerate(traffics):
        account_records = [
            record
            for record in observation.records
            if record.account == traffic.account
        ]
        first = figures.Percentiles(
            [
                each.first - each.start
                for each in account_records
                if each.first is not None
            ]
        )
        table.add(
            traffic.account,
            f'{len(traffic.entries)} router(s)',
            traffic.callers,
            f'{series.shares[index] / series.shares.sum():.1%}',
            f'{received[index] / received.sum():.1%}',
            float(received[index]),
            sum(each.outcome == records.DONE for each in account_records),
            sum(each.outcome == records.REFUSED for each in account_records),
            f'{first.p95:.2f} s',
        )
    print(table.render())


def print_measures(
    observation: records.Observation,
    series: figures.ServiceSeries,
    sampler: sampling.Sampler,
    rate: sampling.ControlRate,
) -> None:
    """Print the three measures and the count of answers by outcome."""
    gap = figures.compute_fairness_gap(series)
    occupancy = sampler.build_occupancy(series, observation.start)
    utilisation = figures.compute_utilisation([occupancy])
    outcomes = figures.count_outcomes(observation)
    names = ' and '.join(gap.accounts)
    print(f'fairness gap: {gap.tokens:,.0f} tokens, between {names}')
    share = (
        'no request waited' if utilisation is None else f'{utilisation:.1%}'
    )
    print(f'utilisation while requests wait: {share}')
    print(f'control traffic: {_format_rate(rate)}')
    print(
        f'answers: {outcomes[records.DONE]} complete, '
        f'{outcomes[records.WRONG]} wrong, {outcomes[records.FAILED]} '
        f'failed, {outcomes[records.STOPPED]} cancelled at the end of the run'
    )


def _format_rate(rate: sampling.ControlRate) -> str:
    if rate.bytes_per_second is None:
        return 'no router reported its counters'
    text = f'{rate.bytes_per_second:,.0f} bytes/s'
    if rate.messages_per_second is not None:
        text += f' and {rate.messages_per_second:,.0f} messages/s'
    return f'{text} per instance'


def run_demo() -> int:
    """Run the demonstration and print its results.

    Returns
    -------
    int
        The exit code: 0 if at least one answer was complete and none was
        wrong, 1 otherwise.
    """
    deployment = deployments.build_small_deployment()
    deployment.delay_seconds = _DELAY_SECONDS
    started = time.monotonic()
    print(
        'starting 3 routers, 2 engines, 1 plain service and the key-value '
        'service'
    )
    with fleet_module.Fleet(deployment, _FOLDER, through_proxy=True) as fleet:
        entries = [router.callers for router in fleet.routers.values()]
        plan = plans.Plan(traffics=build_traffics(entries), seconds=_SECONDS)
        print(f'4 client accounts send requests for {_SECONDS:.0f} seconds')
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
        ).select_period(_WARM_UP_SECONDS, _SECONDS)
    print_accounts(observation, series, plan.traffics)
    print_measures(observation, series, sampler, rate)
    print(
        f'finished in {time.monotonic() - started:.0f} s; '
        f'logs are in {_FOLDER}'
    )
    outcomes = figures.count_outcomes(observation)
    return 1 if outcomes[records.WRONG] or not outcomes[records.DONE] else 0


if __name__ == '__main__':
    sys.exit(run_demo())
