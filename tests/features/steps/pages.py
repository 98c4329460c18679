"""Steps that compare the operator documentation with the code."""

import pathlib
import re

import behave

from amaranthslip.commands import exits
from amaranthslip import metrics
from amaranthslip import settings

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_DOCUMENTS = ('OPERATIONS.md', 'operating-members.md', 'configuration.md')
# Patterns of code that sets a counter's label or an error's reason.
_REASON_PATTERNS = (
    r"(?:RequestRefused|_refuse)\(\s*'([a-z_]+)'",
    r'(?:BackendFailed|_build_stream_error|_close_with_failure|_fail)'
    r"\(\s*'([a-z_]+)'",
    r"\.count\(\s*'[a-z_]+', '([a-z_]+)'",
    r"_count_drops\('([a-z_]+)'",
)


@behave.given('the operator documentation is read')
def read_documentation(context):
    folder = _ROOT / 'docs'
    texts = [
        (folder / name).read_text(encoding='utf-8') for name in _DOCUMENTS
    ]
    context.documentation = '\n'.join(texts)


@behave.then('the documentation names every counter, gauge and setting')
def check_names(context):
    names = [f'`{name}{{' for name in metrics.COUNTERS]
    names += [f'`{name}{{' for name in metrics.GAUGES]
    names += [f'`{name}_seconds`' for name in metrics.HISTOGRAMS]
    names += [
        f'`{section}.{key}`'
        for section, keys in settings.SECTIONS.items()
        for key in keys
    ]
    missing = [name for name in names if name not in context.documentation]
    assert not missing, missing


@behave.then('the documentation states the default of every setting')
def check_defaults(context):
    for section, keys in settings.SECTIONS.items():
        for key, kind in keys.items():
            row = re.search(
                rf'^\| `{section}\.{key}` \| ([^|]+) \| [^|]+ \|$',
                context.documentation,
                re.MULTILINE,
            )
            assert row is not None, f'{section}.{key}'
            documented = row[1].strip('` ')
            assert documented == _format_default(kind), (
                section,
                key,
                documented,
            )


def _format_default(kind) -> str:
    if kind.required:
        return 'required'
    default = kind.default
    if isinstance(default, bool):
        return str(default).lower()
    if isinstance(default, (int, float)):
        return f'{default:.10g}'
    return default or 'empty'


@behave.then('the documentation names every exit code')
def check_exit_codes(context):
    rows = re.findall(
        r'^\| (\d+) \| [^|]+ \|$', context.documentation, re.MULTILINE
    )
    assert {int(row) for row in rows} == {int(each) for each in exits.ExitCode}


@behave.then(
    'the documentation names every literal reason of refusals, retries and '
    'events'
)
def check_reasons(context):
    sources = (_ROOT / 'src').rglob('*.py')
    code = '\n'.join(path.read_text(encoding='utf-8') for path in sources)
    reasons = {
        each
        for pattern in _REASON_PATTERNS
        for each in re.findall(pattern, code)
    }
    # Fewer matches would mean that the patterns no longer match the code.
    assert len(reasons) > 50, sorted(reasons)
    missing = [
        each for each in reasons if f'`{each}`' not in context.documentation
    ]
    missing = [
        each
        for each in missing
        if f'event="{each}"' not in context.documentation
    ]
    assert not missing, sorted(missing)
