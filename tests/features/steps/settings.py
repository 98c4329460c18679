"""Steps for the settings of one process."""

import pathlib
import re
import subprocess
import sys
import tempfile

import behave

from amaranthslip import errors
from amaranthslip import process
from amaranthslip import settings

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_REQUIRED = """
[instance]
name = "poa-a-1"
failure_domain = "poa-a"
region = "rs-sul"
[addresses]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:9090"
peers = "127.0.0.1:7000"
[platform]
key_value = "http://127.0.0.1:2379"
"""


def _write(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_path = pathlib.Path(folder.name) / 'router.toml'
    context.settings_path.write_text(text)


@behave.given(
    'a settings file with an unknown key, an invalid address and no region'
)
def write_invalid_file(context):
    text = _REQUIRED.replace('region = "rs-sul"\n', '')
    text = text.replace('127.0.0.1:7000', 'peers.example')
    _write(context, text + '[dispatch]\nspeed = 3\n')


@behave.given('a settings file with only the required keys')
def write_required_file(context):
    _write(context, _REQUIRED)


@behave.when('the settings file is read')
def read_file(context):
    context.settings_mistakes = {}
    try:
        context.settings = settings.read_settings(context.settings_path)
    except errors.SettingsInvalid as invalid:
        context.settings_mistakes = {
            mistake.key: mistake for mistake in invalid.exceptions
        }


@behave.then('the settings mistakes name "{first}", "{second}" and "{third}"')
def check_mistakes(context, first, second, third):
    assert set(context.settings_mistakes) == {first, second, third}


@behave.then('each settings mistake states the allowed values')
def check_allowed_values(context):
    for mistake in context.settings_mistakes.values():
        assert mistake.allowed in str(mistake), mistake
        assert str(context.settings_path) in str(mistake), mistake


@behave.then('the setting "{key}" is {value:d}')
def check_default(context, key, value):
    section, name = key.split('.')
    assert getattr(getattr(context.settings, section), name) == value


@behave.given('the example settings file of "{deployment}"')
def choose_example(context, deployment):
    examples = pathlib.Path(__file__).parents[3] / 'examples'
    context.settings_path = examples / deployment / 'router.toml'


@behave.then('the settings have the failure domain "{domain}" in "{region}"')
def check_failure_domain(context, domain, region):
    instance = context.settings.instance
    assert (instance.failure_domain, instance.region) == (domain, region)


@behave.given('a settings file that a running instance watches')
def watch_file(context):
    _write(context, _REQUIRED)
    context.running = settings.read_settings(context.settings_path)

    def reload(changed):
        context.running = changed

    context.watcher = process.SettingsWatcher(context.settings_path, reload)


@behave.when('the settings file changes to a "{key}" of {value:d}')
def change_file(context, key, value):
    context.settings_path.write_text(f'{_REQUIRED}[bounds]\n{key} = {value}\n')
    context.watcher.reload_if_changed()


@behave.when('the settings file is removed')
def remove_file(context):
    context.settings_path.unlink()
    context.watcher.reload_if_changed()


@behave.then('the running instance uses a "{key}" of {value:d}')
def check_running(context, key, value):
    assert getattr(context.running.bounds, key) == value


# The values that the platform inserts, by their names in the template.
_RENDERED = {
    'node_name': '"edge-poa-a-1"',
    'zone': '"poa-a"',
    'region': '"rs-sul"',
    'listen.front': '"10.1.0.33:8783"',
    'listen.ready': '"10.1.0.33:8780"',
    'limits.memory_mb': '150',
    'bounds.revoke_ms': '5000',
    'bounds.drain_ms': '2000',
    'bounds.config_apply_ms': '2000',
    'bounds.quota_window_s': '4',
    'bounds.retry_budget_ratio': '0.2',
    'bounds.budget_window_s': '10',
    'bounds.budget_slack': '52',
    'bounds.evacuate_ms': '5000',
    'bounds.cold_overage': '1.5',
    'bounds.cold_slack': '5',
}
_SECTION = re.compile(r'\{\{#((?:bounds|limits)\.\w+)\}\}(.*?)\{\{/\1\}\}')
_INVERTED = re.compile(r'\{\{\^((?:bounds|limits)\.\w+)\}\}(.*?)\{\{/\1\}\}')


_ZONES = re.compile(r'\{\{#zones\}\}(.*?)\{\{/zones\}\}')
_REGIONS = {'poa-a': 'rs-sul', 'poa-b': 'rs-sul'}


def _render_zones(found):
    entries = []
    for number, (zone, region) in enumerate(_REGIONS.items(), 1):
        entry = found[1].replace('{{@}}', zone)
        entry = entry.replace('{{.|json}}', f'"{region}"')
        comma = ',' if number < len(_REGIONS) else ''
        entries.append(entry.replace('{{,}}', comma))
    return ''.join(entries)


def _render(template, values):
    """Fill in a template with the subset of the syntax that it uses."""
    text = _SECTION.sub(
        lambda found: found[2] if found[1] in values else '', template
    )
    text = _INVERTED.sub(
        lambda found: '' if found[1] in values else found[2], text
    )
    text = _ZONES.sub(_render_zones, text)
    text = re.sub(
        r'\{\{([a-z_.0-9]+)\|json\}\}',
        lambda found: values.get(found[1], ''),
        text,
    )
    text = text.replace('{{ip}}', '10.1.0.33')
    text = text.replace('{{internal_ports.0}}', '7400')
    text = text.replace('{{platform.address}}', '10.200.1.7:8781')
    assert '{{' not in text, text
    return text


def _read_rendered(context, values):
    template = (_ROOT / 'deploy' / 'router.toml').read_text()
    _write(context, _render(template, values))
    read_file(context)


@behave.when("the deployment's template is filled in and read")
def render_template(context):
    _read_rendered(context, _RENDERED)


@behave.when('the template is filled in for a deployment without bounds')
def render_without_bounds(context):
    _read_rendered(
        context,
        {
            name: value
            for name, value in _RENDERED.items()
            if not name.startswith('bounds.')
        },
    )


@behave.then('there is no settings mistake')
def check_no_mistake(context):
    assert not context.settings_mistakes, context.settings_mistakes
    assert context.settings.platform.configuration == 'operator'


_IMPORT_SCRIPT = """
import sys
sys.argv = ['amaranthslip', 'router', '/nowhere']
from amaranthslip import __main__
from amaranthslip import operated
from amaranthslip import process
from amaranthslip.commands import starting
print(' '.join(sys.modules))
"""


@behave.when(
    "a process imports the modules of a router on an operator's platform"
)
def import_router(context):
    done = subprocess.run(
        [sys.executable, '-c', _IMPORT_SCRIPT],
        capture_output=True,
        text=True,
        check=True,
    )
    context.imported = set(done.stdout.split())


@behave.then('the process has imported none of {names}')
def check_imports(context, names):
    found = context.imported & set(names.split(', '))
    assert not found, found
