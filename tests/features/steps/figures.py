"""Steps for the measures of a run."""

import itertools
import json
import pathlib
import tempfile

import behave
import numpy

from bench import figures
from bench import gates
from bench import records


def _read_rows(table):
    rows = [table.headings] + [row.cells for row in table]
    return [[float(cell) for cell in row[1:]] for row in rows]


def _build_series(served, backlogged, shares):
    served = numpy.array(served, dtype=float)
    return figures.ServiceSeries(
        times=numpy.arange(served.shape[1], dtype=float),
        accounts=[f'account-{row}' for row in range(len(served))],
        shares=numpy.array(shares, dtype=float),
        served=served,
        backlogged=numpy.array(backlogged, dtype=bool),
    )


def _compute_gap_by_definition(series):
    normalised = series.served / series.shares[:, None]
    largest_gap = 0.0
    for first, second in itertools.combinations(range(len(normalised)), 2):
        both = series.backlogged[first] & series.backlogged[second]
        for begin, end in itertools.combinations(range(len(both)), 2):
            if both[begin + 1 : end + 1].all():
                growth = normalised[:, end] - normalised[:, begin]
                largest_gap = max(
                    largest_gap, abs(growth[first] - growth[second])
                )
    return largest_gap


@behave.given('the service series of accounts with shares {one:d} and {two:d}')
def build_known_series(context, one, two):
    served_one, served_two, *backlogged = _read_rows(context.table)
    context.series = _build_series(
        [served_one, served_two], backlogged, [one, two]
    )


@behave.when('the fairness gap is computed')
def compute_gap(context):
    context.gap = figures.compute_fairness_gap(context.series)


@behave.then('the fairness gap is {tokens:d} tokens')
def check_gap(context, tokens):
    assert context.gap.tokens == tokens, context.gap.tokens


@behave.then(
    'the fairness gap of {count:d} random series equals the maximum over all '
    'intervals'
)
def check_random_series(context, count):
    random = numpy.random.default_rng(7)
    for _ in range(count):
        served = numpy.cumsum(random.integers(0, 50, (3, 25)), axis=1)
        backlogged = random.random((3, 25)) < 0.8
        series = _build_series(served, backlogged, random.uniform(1, 3, 3))
        expected = _compute_gap_by_definition(series)
        found = figures.compute_fairness_gap(series).tokens
        assert abs(found - expected) < 1e-9, (found, expected)


@behave.given(
    'an observed account whose requests wait from {a:f} to {b:f} and from '
    '{c:f} to {d:f}'
)
def observe_waits(context, a, b, c, d):
    context.observation = records.Observation(
        start=1000.0, seconds=0.6, step_seconds=0.1
    )
    for start, first in ((a, b), (c, d)):
        context.observation.records.append(
            records.Record(
                account='ana',
                entry='127.0.0.1:1',
                start=1000.0 + start,
                first=1000.0 + first,
            )
        )


@behave.when(
    'the service series of the observation is built with steps of 0.1 seconds'
)
def build_observed_series(context):
    context.series = figures.build_series(context.observation, {'ana': 1.0})


@behave.then(
    'the account of the series is backlogged in the steps 0, 1, 2 and 3 only'
)
def check_backlogged(context):
    found = context.series.backlogged[0].tolist()
    assert found == [True] * 4 + [False] * 2, found


@behave.given('the occupancy samples')
def sample_occupancy(context):
    busy, slots, waiting = map(numpy.array, _read_rows(context.table))
    context.occupancy = figures.Occupancy(busy, slots, waiting.astype(bool))


@behave.then('the utilisation of the samples is {value:f}')
def check_utilisation(context, value):
    found = figures.compute_utilisation([context.occupancy])
    assert round(found, 3) == value, found


@behave.given(
    'an observed run with answers of 100 and 50 tokens, an incomplete one of '
    '70 and 3 refusals'
)
def observe_run(context):
    context.observation = records.Observation(
        start=0.0, seconds=2.0, step_seconds=0.1
    )
    rows = (
        (records.DONE, 100, ''),
        (records.DONE, 50, ''),
        (records.FAILED, 70, 'stream_cut'),
        (records.REFUSED, 0, 'queue_full'),
        (records.REFUSED, 0, 'queue_full'),
        (records.REFUSED, 0, 'queue_time'),
    )
    for outcome, tokens, reason in rows:
        context.observation.records.append(
            records.Record(
                account='ana',
                entry='127.0.0.1:1',
                start=0.5,
                end=1.0,
                outcome=outcome,
                tokens=tokens,
                reason=reason,
            )
        )


@behave.then('the goodput of the observed run is {tokens:d} tokens a second')
def check_goodput(context, tokens):
    assert figures.compute_goodput(context.observation) == tokens


@behave.then(
    'the observed run\'s refusals are {count_one:d} of "{one}" and '
    '{count_two:d} of "{two}"'
)
def check_refusals(context, count_one, one, count_two, two):
    found = figures.count_refusals(context.observation)
    assert found == {one: count_one, two: count_two}, found


@behave.given(
    'a journal entry with one day that passes, one that fails the gate and'
    ' one that violates a rule'
)
def write_entry(context):
    days = [
        {'name': 'passes', 'seed': 1, 'short': [], 'rules': {}},
        {
            'name': 'misses',
            'seed': 2,
            'short': ['late: 1 of 2 were served'],
            'rules': {},
        },
        {'name': 'breaks', 'seed': 3, 'short': [], 'rules': {'LOST': 3}},
    ]
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.entry = pathlib.Path(folder.name) / 'entry.json'
    context.entry.write_text(json.dumps({'site': 'site', 'days': days}))


@behave.when('the days that do not pass are listed')
def list_days(context):
    context.lines = list(gates.list_failures(context.entry))


@behave.then('the lines say "{one}" and "{other}", and nothing else')
def check_lines(context, one, other):
    assert context.lines == [
        f'entry site misses 2: {one}',
        f'entry site breaks 3: {other}',
    ], context.lines
