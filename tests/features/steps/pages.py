"""Steps that compare the operators' pages with the code."""

import pathlib
import re

import behave

from amaranthslip.commands import exits
from amaranthslip import metrics
from amaranthslip import settings

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_PAGES = ('OPERATIONS.md', 'operating-members.md', 'configuration.md')
# The word that a counter's label or an error's reason is given as.
_REASONS = (
    r"(?:RequestRefused|_refuse)\(\s*'([a-z_]+)'",
    r"(?:BackendFailed|_describe_cut|_fail)\(\s*'([a-z_]+)'",
    r"\.count\(\s*'[a-z_]+', '([a-z_]+)'",
    r"_count_drops\('([a-z_]+)'",
)


@behave.given("the operators' pages are read")
def read_pages(context):
    folder = _ROOT / 'docs'
    texts = [(folder / name).read_text(encoding='utf-8') for name in _PAGES]
    context.pages = '\n'.join(texts)


@behave.then('the pages name every counter, gauge and setting')
def check_names(context):
    names = [f'`{name}{{' for name in metrics.COUNTERS]
    names += [f'`{name}{{' for name in metrics.GAUGES]
    names += [f'`{name}_seconds`' for name in metrics.HISTOGRAMS]
    names += [
        f'`{section}.{key}`'
        for section, keys in settings.SECTIONS.items()
        for key in keys
    ]
    missing = [name for name in names if name not in context.pages]
    assert not missing, missing


@behave.then('the pages give the default of every setting')
def check_defaults(context):
    for section, keys in settings.SECTIONS.items():
        for key, kind in keys.items():
            row = re.search(
                rf'^\| `{section}\.{key}` \| ([^|]+) \| [^|]+ \|$',
                context.pages,
                re.MULTILINE,
            )
            assert row is not None, f'{section}.{key}'
            told = row[1].strip('` ')
            assert told == _show_default(kind), (section, key, told)


def _show_default(kind) -> str:
    if kind.required:
        return 'required'
    default = kind.default
    if isinstance(default, bool):
        return str(default).lower()
    if isinstance(default, (int, float)):
        return f'{default:.10g}'
    return default or 'empty'


@behave.then('the pages name every exit code')
def check_exit_codes(context):
    rows = re.findall(r'^\| (\d+) \| [^|]+ \|$', context.pages, re.MULTILINE)
    assert {int(row) for row in rows} == {int(each) for each in exits.ExitCode}


@behave.then(
    'the pages name every literal reason of refusals, retries and events'
)
def check_reasons(context):
    sources = (_ROOT / 'src').rglob('*.py')
    code = '\n'.join(path.read_text(encoding='utf-8') for path in sources)
    reasons = {each for form in _REASONS for each in re.findall(form, code)}
    # Fewer would mean that the forms above no longer fit the code.
    assert len(reasons) > 50, sorted(reasons)
    missing = [each for each in reasons if f'`{each}`' not in context.pages]
    missing = [
        each for each in missing if f'event="{each}"' not in context.pages
    ]
    assert not missing, sorted(missing)
