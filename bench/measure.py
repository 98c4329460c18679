"""Measures the deployments of the brief under several policies.

    make measure
    python -m bench.measure --deployment patrimonio --scenario uneven
    python -m bench.measure --faults

Prints one table; writes build/measure.json, and a plot of each scenario's
service over time as build/measure-DEPLOYMENT-SCENARIO.svg. Tokens are those
of the scaled sizes, see `bench.scenarios`.
"""

import argparse
import json
import pathlib
import sys
import typing

from bench import deployments
from bench import faults as faults_module
from bench import plots
from bench import runs
from bench import scenarios as scenarios_module
from bench import tables

_BUILD = pathlib.Path('build')
_DEPLOYMENTS = ('patrimonio', 'consorcio')
_POLICIES = ('local', 'single', 'fleet')


def parse_options(arguments: typing.Sequence[str]) -> argparse.Namespace:
    """Return the command line's options."""
    names = [each.name for each in scenarios_module.SCENARIOS]
    names += [each.name for each in faults_module.FAULTS]
    parser = argparse.ArgumentParser(
        description='Measure fairness, utilisation and control traffic.'
    )
    parser.add_argument(
        '--deployment',
        action='append',
        choices=_DEPLOYMENTS,
        help='only this one; may be repeated (default: both)',
    )
    parser.add_argument(
        '--policy',
        action='append',
        choices=_POLICIES,
        help='only this one; may be repeated (default: all; with --faults '
        'only fleet)',
    )
    parser.add_argument(
        '--scenario',
        action='append',
        choices=names,
        help='only this scenario or fault; may be repeated',
    )
    parser.add_argument(
        '--faults', action='store_true', help='the faults, not the scenarios'
    )
    parser.add_argument('--routers', type=int, default=8)
    parser.add_argument(
        '--seconds', type=float, default=0.0, help='instead of the usual'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--output', type=pathlib.Path, default=_BUILD / 'measure.json'
    )
    return parser.parse_args(arguments)


def list_runs(options: argparse.Namespace) -> list[runs.Run]:
    """Return the runs that the options ask for."""
    policies = options.policy or (('fleet',) if options.faults else _POLICIES)
    found = []
    for name in options.deployment or _DEPLOYMENTS:
        deployment = deployments.read_deployment(name, routers=options.routers)
        for scenario, fault in _list_loads(options):
            found += [
                runs.Run(
                    deployment,
                    policy,
                    scenario,
                    fault=fault,
                    seconds=options.seconds,
                    seed=options.seed,
                )
                for policy in policies
            ]
    return found


def _list_loads(
    options: argparse.Namespace,
) -> list[tuple[scenarios_module.Scenario, faults_module.Fault | None]]:
    even = scenarios_module.SCENARIOS[0]
    wanted = options.scenario
    faults = [(even, fault) for fault in faults_module.FAULTS]
    scenarios = [(each, None) for each in scenarios_module.SCENARIOS]
    if wanted:
        return [
            (scenario, fault)
            for scenario, fault in scenarios + faults
            if (fault or scenario).name in wanted
        ]
    return faults if options.faults else scenarios


def print_results(results: typing.Sequence[runs.Result]) -> None:
    """Print the table of all runs."""
    table = tables.Table(
        'deployment',
        'scenario',
        'policy',
        'gap',
        'bound',
        'used',
        'control B/s',
        'msg/s',
        'goodput',
        'first p95',
        'chunk p95',
        'refused',
        'failed',
        'disturbed s',
        'cpu',
    )
    for each in results:
        table.add(
            each.deployment,
            each.scenario,
            each.policy,
            each.fairness_gap_tokens,
            each.gap_bound_tokens,
            each.utilisation,
            each.control_bytes_per_second_per_instance,
            each.control_messages_per_second_per_instance,
            each.goodput,
            each.first_token_seconds_p95,
            each.between_chunks_seconds_p95,
            _sum_up(each.refusals_by_reason),
            _sum_up(each.failures_by_reason),
            each.disturbed_seconds,
            each.processor_share_per_router,
        )
    print(table.render())
    for each in results:
        if each.error:
            print(
                f'{each.deployment} {each.scenario} {each.policy} broke off:'
            )
            print(each.error)


def _sum_up(counts: dict[str, int] | None) -> int | None:
    return None if counts is None else sum(counts.values())


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run what is asked for; print and write the results."""
    options = parse_options(sys.argv[1:] if arguments is None else arguments)
    _BUILD.mkdir(exist_ok=True)
    results: list[runs.Result] = []
    planned = list_runs(options)
    for index, run in enumerate(planned):
        label = f'{run.deployment.name}-{run.name}-{run.policy}'
        print(f'{index + 1}/{len(planned)} {label}', file=sys.stderr)
        results.append(runs.execute_or_explain(run, _BUILD / 'runs' / label))
        rows = [result.build_values() for result in results]
        options.output.write_text(json.dumps(rows, indent=1))
    print_results(results)
    _draw_plots(results)
    print(f'written: {options.output}')
    return 1 if any(result.error for result in results) else 0


def _draw_plots(results: typing.Sequence[runs.Result]) -> None:
    groups: dict[str, list[runs.Result]] = {}
    for result in results:
        if result.error:
            continue
        name = f'measure-{result.deployment}-{result.scenario}.svg'
        groups.setdefault(name, []).append(result)
    for name, group in groups.items():
        plots.draw_service(group, _BUILD / name)


if __name__ == '__main__':
    sys.exit(main())
