"""Steps that run the example programs."""

import pathlib
import subprocess
import sys

import behave

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_TIMEOUT_SECONDS = 120


@behave.when('the example program "{name}" is run')
def run_example(context, name):
    completed = subprocess.run(
        [sys.executable, str(_ROOT / 'examples' / f'{name}.py')],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )
    assert completed.returncode == 0, completed.stderr
    context.example_lines = completed.stdout.splitlines()


@behave.then('its table lists the accounts "{first}" and "{second}"')
def check_table(context, first, second):
    rows = [line.split() for line in context.example_lines]
    found = {
        row[0]: float(row[-1]) for row in rows if row[0] in (first, second)
    }
    assert set(found) == {first, second}, context.example_lines
    assert all(tokens > 0 for tokens in found.values()), found
    context.tokens_per_share = found


@behave.then(
    'the tokens per share of the two accounts differ by at most {limit:d}'
)
def check_difference(context, limit):
    values = context.tokens_per_share.values()
    assert max(values) - min(values) <= limit, context.tokens_per_share


@behave.then('the example prints "{text}"')
@behave.then("the example prints '{text}'")
def check_line(context, text):
    assert any(line.startswith(text) for line in context.example_lines), (
        context.example_lines
    )
