"""Measures the cost of one more member, message, link or request.

    python -m bench.slopes [--only NAME ...] [--seconds 30]

Each measurement runs in a process of its own, so that memory figures do not
include the memory of other measurements. The program prints a table and
writes `build/slopes.json`. To add a measurement, write a function that returns
figures and add it to `MEASUREMENTS`.
"""

import argparse
import concurrent.futures
import functools
import json
import pathlib
import subprocess
import sys
import typing

from rich import console
from rich import table

from bench import dispatch_slopes
from bench import link_slopes
from bench import member_slopes
from bench import slope

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_REPORT = _ROOT / 'build' / 'slopes.json'
# Limits the measurements that run at once, because they distort each other's
# processor times.
_MAX_CONCURRENT = 4

Measurement = typing.Callable[[float], list[slope.Slope]]

MEASUREMENTS: dict[str, Measurement] = {
    'members-8': functools.partial(member_slopes.measure_fleet, 8),
    'members-32': functools.partial(member_slopes.measure_fleet, 32),
    'members-128': functools.partial(member_slopes.measure_fleet, 128),
    'roster-720': functools.partial(member_slopes.measure_roster, 720),
    'spread-32': functools.partial(member_slopes.measure_spread, 32),
    'spread-128': functools.partial(member_slopes.measure_spread, 128),
    'spread-720': functools.partial(member_slopes.measure_spread, 720),
    'heal-32': functools.partial(member_slopes.measure_heal, 32),
    'heal-128': functools.partial(member_slopes.measure_heal, 128),
    'messages': link_slopes.measure_messages,
    'dialling-links': link_slopes.measure_dialling,
    'accepted-links': link_slopes.measure_accepted,
    'dispatch-requests': dispatch_slopes.measure_requests,
    'dispatch-frugal': functools.partial(
        dispatch_slopes.measure_requests, homes=4, charge_tokens=2000
    ),
    'dispatch-state': dispatch_slopes.measure_state,
    'dispatch-ownership': dispatch_slopes.measure_ownership,
}


def run_measurement(name: str, seconds: float) -> list[slope.Slope]:
    """Run one measurement in a child process."""
    command = [sys.executable, '-m', 'bench.slopes', '--child', name]
    command += ['--seconds', str(seconds)]
    completed = subprocess.run(
        command, cwd=_ROOT, stdout=subprocess.PIPE, text=True, check=True
    )
    return [slope.Slope(**values) for values in json.loads(completed.stdout)]


def main() -> int:
    """Run the selected measurements and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', nargs='*', default=list(MEASUREMENTS))
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--child', help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        figures = MEASUREMENTS[options.child](options.seconds)
        json.dump([each.describe() for each in figures], sys.stdout)
        return 0
    measure = functools.partial(run_measurement, seconds=options.seconds)
    with concurrent.futures.ThreadPoolExecutor(_MAX_CONCURRENT) as pool:
        results = dict(zip(options.only, pool.map(measure, options.only)))
    _write_report(results)
    _print_table(results)
    return 0


def _write_report(results: dict[str, list[slope.Slope]]) -> None:
    _REPORT.parent.mkdir(exist_ok=True)
    report = {
        name: [each.describe() for each in figures]
        for name, figures in results.items()
    }
    _REPORT.write_text(json.dumps(report, indent=2) + '\n')


def _print_table(results: dict[str, list[slope.Slope]]) -> None:
    output = table.Table(title='Slopes')
    for heading in ('measurement', 'figure', 'value', 'unit', 'note'):
        justify = 'right' if heading == 'value' else 'left'
        output.add_column(heading, justify=justify)
    for name, figures in results.items():
        for each in figures:
            value = f'{each.value:.4g}'
            output.add_row(name, each.name, value, each.unit, each.note)
        output.add_section()
    console.Console(width=130).print(output)


if __name__ == '__main__':
    sys.exit(main())
