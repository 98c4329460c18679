"""Lists the days in journal entries that broke a rule or missed the gate.

    python -m bench.gates journal/*.json

A hunt's last line counts broken rules only; a day that misses the gate for
another reason shows in its journal entry alone.
"""

import argparse
import json
import pathlib
import sys
import typing


class Day:
    """One day of a journal entry."""

    __slots__ = ('site', 'name', 'seed', 'missed', 'broken')

    def __init__(self, site: str, fields: dict[str, typing.Any]) -> None:
        self.site = site
        self.name = fields.get('name', '?')
        self.seed = fields.get('seed')
        self.missed: list[str] = fields.get('short') or []
        self.broken: dict[str, int] = fields.get('rules') or {}

    def list_reasons(self) -> list[str]:
        """Return why it does not pass; empty where it does."""
        broken = [f'{rule}: {count}' for rule, count in self.broken.items()]
        return broken + self.missed


def read_days(path: pathlib.Path) -> list[Day]:
    """Return the days of one journal entry.

    Raises
    ------
    ValueError
        It is no JSON document.
    """
    entry = json.loads(path.read_text(encoding='utf-8'))
    site = entry.get('site') or '?'
    return [Day(site, fields) for fields in entry.get('days') or []]


def tell(path: pathlib.Path) -> typing.Iterator[str]:
    """Yield a line for each reason of each day that does not pass."""
    for day in read_days(path):
        for reason in day.list_reasons():
            yield f'{path.stem} {day.site} {day.name} {day.seed}: {reason}'


def main() -> int:
    """Print them; exit with 1 if there is any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('entries', nargs='+', type=pathlib.Path)
    options = parser.parse_args()
    lines = [line for path in options.entries for line in tell(path)]
    for line in lines:
        print(line)
    return 1 if lines else 0


if __name__ == '__main__':
    sys.exit(main())
