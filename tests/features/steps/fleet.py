"""Steps for a complete fleet of real processes."""

import copy
import json
import os
import pathlib
import subprocess
import tempfile
import time

import behave

from bench import callers
from bench import control
from bench import deployments
from bench import fleet
from bench import plans
from bench import processes
from bench import records
from bench import runs
from bench import scenarios

_SERVICE = 'chat'
_ACCOUNT = 'account-1'
_LENGTH = 25
_COMMAND_TIMEOUT_SECONDS = 60


@behave.given('a running fleet of {count:d} routers')
def start_fleet(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.fleet = fleet.Fleet(
        deployments.build_small_deployment(routers=count),
        pathlib.Path(folder.name),
        settings={'shutdown': {'notice_seconds': 0.2}},
    )
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@behave.when(
    'prompts of {a:d}, {b:d}, {c:d} and {d:d} words are sent through every '
    'router of the fleet'
)
def send_prompts(context, a, b, c, d):
    sender = callers.Callers(plans.Plan(traffics=[], seconds=1.0))
    for router in context.fleet.routers.values():
        for words in (a, b, c, d):
            traffic = plans.Traffic(
                account=_ACCOUNT,
                key=deployments.read_key(_ACCOUNT),
                service=_SERVICE,
                entries=[router.callers],
                prompt_words=words,
            )
            sender.call(traffic, f'prompt-{words}', _LENGTH)
    context.fleet_records = sender.observation.records


@behave.then('the fleet returned the expected complete answer to each prompt')
def check_answers(context):
    found = [
        (each.outcome, each.status, each.reason, each.tokens)
        for each in context.fleet_records
    ]
    complete_answer = (records.DONE, 200, '', _LENGTH)
    assert found == [complete_answer] * 4 * len(context.fleet.routers), found


@behave.then('no router of the fleet has a child process')
def check_children(context):
    for router in context.fleet.routers.values():
        children = router.process.list_children()
        assert not children, (router.name, children)


@behave.when('the routers of the fleet are stopped one after the other')
def stop_routers(context):
    context.fleet_codes = [
        context.fleet.stop(name) for name in context.fleet.routers
    ]


@behave.then('each router of the fleet ended with exit code 0')
def check_codes(context):
    assert context.fleet_codes == [0] * len(context.fleet.routers), (
        context.fleet_codes
    )


@behave.when(
    'a small fleet of {count:d} routers is measured for {seconds:d} seconds'
)
def measure_fleet(context, count, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    deployment = deployments.build_small_deployment(routers=count)
    deployment.delay_seconds = 0.0015
    run = runs.Run(
        deployment, 'fleet', scenarios.SCENARIOS[0], seconds=seconds
    )
    context.measured = runs.execute(run, pathlib.Path(folder.name))


@behave.then('the measured fleet returned only complete answers')
def check_measured_answers(context):
    outcomes = context.measured.outcomes
    assert outcomes.pop(records.DONE) > 0, outcomes
    # Requests in progress at the end of the run are stopped.
    assert set(outcomes) <= {records.STOPPED}, outcomes


@behave.then(
    "the measured fleet's fields are all present, and its gap is within its "
    'bound'
)
def check_measured_fields(context):
    measured = context.measured
    values = measured.build_values()
    assert values['deployment'] == 'small', values
    assert 0 < values['utilisation'] <= 1, values
    assert 0 < values['fairness_gap_tokens'] <= values['gap_bound_tokens']
    assert values['goodput'] > 0, values
    assert values['control_bytes_per_second_per_instance'] > 0, values
    kinds = values['control_by_kind_per_second_per_instance']
    assert any(kind.startswith('messages/') for kind in kinds), kinds


def _run_command(context, *arguments, password=''):
    operator = {
        'AMARANTHSLIP_OPERATOR': 'operator',
        'AMARANTHSLIP_PASSWORD': password
        or deployments.read_password('operator'),
        'COLUMNS': '400',
    }
    completed = subprocess.run(
        processes.build_python_command('amaranthslip', *arguments),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_COMMAND_TIMEOUT_SECONDS,
        env=os.environ | operator,
    )
    context.fleet_command = completed.returncode, completed.stdout


def _read_url(context, name='router-1'):
    return f'http://{context.fleet.routers[name].operators}'


def _submit_share(context, share, base):
    values = copy.deepcopy(context.fleet.deployment.document)
    values['client_accounts'][0]['share'] = share
    path = context.fleet.folder / 'changed.json'
    path.write_text(json.dumps(values))
    url = _read_url(context)
    _run_command(context, 'submit', str(path), f'--base={base}', '--url', url)


@behave.when("the fleet's operator submits a new share on base {base:d}")
def submit_share(context, base):
    _submit_share(context, 9, base)


@behave.when("the fleet's operator submits a share of zero on base {base:d}")
def submit_zero(context, base):
    _submit_share(context, 0, base)


@behave.when("the fleet's status is requested with a wrong password")
def request_status_with_wrong_password(context):
    url = _read_url(context)
    _run_command(context, 'status', '--url', url, password='guessed')


@behave.when('a router of the fleet is killed and its status is requested')
def request_status_of_killed_router(context):
    context.fleet.kill('router-2')
    _run_command(context, 'status', '--url', _read_url(context, 'router-2'))


@behave.then(
    'the fleet\'s command line exited with {code:d} and printed "{text}"'
)
def check_command(context, code, text):
    found = context.fleet_command
    assert found[0] == code and text in found[1], found


@behave.then(
    'every router of the fleet shows version {version:d} in its status'
)
def check_versions(context, version):
    for name in context.fleet.routers:
        end = time.monotonic() + _COMMAND_TIMEOUT_SECONDS
        while True:
            url = _read_url(context, name)
            _run_command(context, 'status', '--json', '--url', url)
            code, text = context.fleet_command
            assert code == 0, text
            if json.loads(text)['version'] == version:
                break
            assert time.monotonic() < end, text


@behave.when("the fleet's router restarts while the key-value service is down")
def restart_without_key_value_service(context):
    context.fleet.key_value.fail('down')
    context.fleet.kill('router-1')
    context.fleet.restart('router-1')


@behave.then('a request to the fleet is refused with {status:d} and "{code}"')
def check_refusal(context, status, code):
    key = deployments.read_key(_ACCOUNT)
    answer = control.get(
        context.fleet.routers['router-1'].callers,
        '/v1/models',
        headers={'Authorization': f'Bearer {key}'},
    )
    error = answer.read_json()['error']
    found = answer.status, error['code'], error['not_run']
    assert found == (status, code, True), found


@behave.when('the key-value service of the fleet is available again')
def restore_key_value_service(context):
    context.fleet.key_value.fail('up')


@behave.then('the fleet accepts requests again')
def check_ready(context):
    context.fleet.wait_until_ready()
