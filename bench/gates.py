"""List the days in journal entries that failed a gate or violated a rule.

    python -m bench.gates journal/*.json

The last line that a search run prints counts rule violations only. A day that
fails the gate for another reason is recorded only in its journal entry.
"""

import argparse
import json
import pathlib
import sys
import typing


class Day:
    """One element of the list `days` of a journal entry.

    `gate_failures` has the descriptions of the missed gate thresholds,
    `rule_violations` the number of violations of each rule.
    """

    __slots__ = ('site', 'name', 'seed', 'gate_failures', 'rule_violations')

    def __init__(self, site: str, fields: dict[str, typing.Any]) -> None:
        self.site = site
        self.name = fields.get('name', '?')
        self.seed = fields.get('seed')
        self.gate_failures: list[str] = fields.get('short') or []
        self.rule_violations: dict[str, int] = fields.get('rules') or {}

    def list_reasons(self) -> list[str]:
        """Return why the day does not pass; empty if it passes."""
        rule_violations = [
            f'{rule}: {count}' for rule, count in self.rule_violations.items()
        ]
        return rule_violations + self.gate_failures


def read_days(path: pathlib.Path) -> list[Day]:
    """Return the days of one journal entry.

    Raises
    ------
    ValueError
        The file is not a JSON document.
    """
    entry = json.loads(path.read_text(encoding='utf-8'))
    site = entry.get('site') or '?'
    return [Day(site, fields) for fields in entry.get('days') or []]


def list_failures(path: pathlib.Path) -> typing.Iterator[str]:
    """Yield a line for each reason of each day that does not pass."""
    for day in read_days(path):
        for reason in day.list_reasons():
            yield f'{path.stem} {day.site} {day.name} {day.seed}: {reason}'


def main() -> int:
    """Print the days that do not pass; return 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('entries', nargs='+', type=pathlib.Path)
    options = parser.parse_args()
    lines = [line for path in options.entries for line in list_failures(path)]
    for line in lines:
        print(line)
    return 1 if lines else 0


if __name__ == '__main__':
    sys.exit(main())
