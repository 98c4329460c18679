"""Measure the example deployments under several dispatch policies.

    make measure
    python -m bench.measure --deployment patrimonio --scenario uneven
    python -m bench.measure --faults

Prints one table and writes build/measure.json. For each scenario, writes a
plot of the service over time to build/measure-DEPLOYMENT-SCENARIO.svg. Token
counts are those of the scaled request sizes; see `bench.scenarios`.
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
    """Parse the command-line options."""
    names = [each.name for each in scenarios_module.SCENARIOS]
    names += [each.name for each in faults_module.FAULTS]
    parser = argparse.ArgumentParser(
        description='Measure fairness, utilisation and control traffic.'
    )
    parser.add_argument(
        '--deployment',
        action='append',
        choices=_DEPLOYMENTS,
        help='only this deployment; may be repeated (default: both)',
    )
    parser.add_argument(
        '--policy',
        action='append',
        choices=_POLICIES,
        help='only this policy; may be repeated (default: all; with --faults '
        'only fleet)',
    )
    parser.add_argument(
        '--scenario',
        action='append',
        choices=names,
        help='only this scenario or fault; may be repeated',
    )
    parser.add_argument(
        '--faults',
        action='store_true',
        help='run the faults instead of the scenarios',
    )
    parser.add_argument('--routers', type=int, default=8)
    parser.add_argument(
        '--seconds',
        type=float,
        default=0.0,
        help="duration of each load (default: the scenario's or fault's)",
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--output', type=pathlib.Path, default=_BUILD / 'measure.json'
    )
    return parser.parse_args(arguments)


def list_runs(options: argparse.Namespace) -> list[runs.Run]:
    """Return the runs that the options select."""
    policies = options.policy or (('fleet',) if options.faults else _POLICIES)
    found = []
    for name in options.deployment or _DEPLOYMENTS:
        deployment = deployments.read_deployment(name, routers=options.routers)
        for scenario, fault in _list_workloads(options):
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


def _list_workloads(
    options: argparse.Namespace,
) -> list[tuple[scenarios_module.Scenario, faults_module.Fault | None]]:
    even = scenarios_module.SCENARIOS[0]
    selected_names = options.scenario
    faults = [(even, fault) for fault in faults_module.FAULTS]
    scenarios = [(each, None) for each in scenarios_module.SCENARIOS]
    if selected_names:
        return [
            (scenario, fault)
            for scenario, fault in scenarios + faults
            if (fault or scenario).name in selected_names
        ]
    return faults if options.faults else scenarios


def print_results(results: typing.Sequence[runs.Result]) -> None:
    """Print a table of all runs, and the errors of those that failed."""
    table = tables.Table(
        'deployment',
        'scenario',
        'policy',
        'gap',
        'bound',
        'utilisation',
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
            _sum_counts(each.refusals_by_reason),
            _sum_counts(each.failures_by_reason),
            each.disturbed_seconds,
            each.processor_share_per_router,
        )
    print(table.render())
    for each in results:
        if each.error:
            print(f'{each.deployment} {each.scenario} {each.policy} failed:')
            print(each.error)


def _sum_counts(counts: dict[str, int] | None) -> int | None:
    return None if counts is None else sum(counts.values())


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Execute the selected runs; print and write the results.

    Returns
    -------
    int
        The exit code: 1 if a run failed, 0 otherwise.
    """
    options = parse_options(sys.argv[1:] if arguments is None else arguments)
    _BUILD.mkdir(exist_ok=True)
    results: list[runs.Result] = []
    planned = list_runs(options)
    for index, run in enumerate(planned):
        label = f'{run.deployment.name}-{run.name}-{run.policy}'
        print(f'{index + 1}/{len(planned)} {label}', file=sys.stderr)
        results.append(
            runs.execute_or_record_error(run, _BUILD / 'runs' / label)
        )
        rows = [result.build_values() for result in results]
        options.output.write_text(json.dumps(rows, indent=1))
    print_results(results)
    _draw_plots(results)
    print(f'results written to {options.output}')
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
