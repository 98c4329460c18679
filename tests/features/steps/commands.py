"""Steps for the command line."""

import copy
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import behave

from bench import control
from bench import deployments
from bench import processes
import tomli_w

_TIMEOUT_SECONDS = 60


def _run(context, *arguments):
    command = processes.build_python_command('amaranthslip', *arguments)
    _run_command(context, command)


def _run_command(context, command):
    # Wide, so that help texts do not wrap within the text that a step matches.
    environment = os.environ | {'COLUMNS': '400'}
    result = subprocess.run(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        env=environment,
    )
    context.command_code, context.command_output = (
        result.returncode,
        result.stdout,
    )


def _submit(context, values, base):
    path = context.command_folder / 'document.json'
    path.write_text(json.dumps(values))
    settings = str(context.command_settings)
    _run(
        context,
        'submit',
        str(path),
        '--base',
        str(base),
        '--settings',
        settings,
    )


def _copy_document():
    return copy.deepcopy(deployments.build_small_deployment().document)


@behave.given('a command line with a stand-in key-value service')
def start_service(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.command_folder = pathlib.Path(folder.name)
    process = processes.Process(
        'keyvalue',
        processes.build_python_command('standins.keyvalue', '--port', '0'),
        context.command_folder,
    )
    context.add_cleanup(process.close)
    process.start()
    context.command_service = control.StandIn(process)
    url = f'http://{context.command_service.address}'
    addresses = dict.fromkeys(('callers', 'operators', 'peers'), '127.0.0.1:1')
    sections = {
        'instance': {'name': 'a', 'failure_domain': 'b', 'region': 'c'},
        'addresses': addresses,
        'platform': {'key_value': url},
    }
    context.command_settings = context.command_folder / 'router.toml'
    context.command_settings.write_text(tomli_w.dumps(sections))


@behave.given('the command line\'s key-value service is in the mode "{mode}"')
def set_mode(context, mode):
    context.command_service.fail(mode)


@behave.when('the command line submits the small document on base {base:d}')
def submit_small(context, base):
    _submit(context, _copy_document(), base)


@behave.when(
    'the command line submits the small document with a new share on base '
    '{base:d}'
)
def submit_changed(context, base):
    values = _copy_document()
    values['client_accounts'][0]['share'] = 9
    _submit(context, values, base)


@behave.when(
    'the command line submits the small document with two mistakes on base '
    '{base:d}'
)
def submit_invalid(context, base):
    values = _copy_document()
    values['client_accounts'][0]['share'] = 0
    values['backend_servers'][0]['failure_domain'] = 'nowhere'
    _submit(context, values, base)


@behave.when('the command line checks the file "{path}"')
def check_named_file(context, path):
    _run(context, 'check', path)


@behave.when('the command line checks its settings file')
def check_settings_file(context):
    _run(context, 'check', str(context.command_settings))


@behave.when(
    'the command line starts a router with a document as settings file'
)
def start_invalid_router(context):
    _run(context, 'router', 'examples/consorcio/document.toml')


@behave.when('a router receives SIGHUP while it loads')
def send_sighup_loading(context):
    # Import the program, send the signal, and then run the program.
    text = (
        'import os, signal, sys\n'
        'sys.argv = ["amaranthslip", "router", "missing.toml"]\n'
        'from amaranthslip import __main__ as program\n'
        'os.kill(os.getpid(), signal.SIGHUP)\n'
        'program.main()\n'
    )
    _run_command(context, [sys.executable, '-c', text])


@behave.when('a router receives SIGTERM again while it stops')
def stop_twice(context):
    # Runs the part of the program that waits for signals with an instance that
    # receives a signal as soon as it runs and another one while it stops.
    text = (
        'from amaranthslip import __main__, process\n'
        'import os, signal, gevent\n'
        'class Instance:\n'
        '    def start(self):\n'
        '        os.kill(os.getpid(), signal.SIGTERM)\n'
        '    def stop(self):\n'
        '        os.kill(os.getpid(), signal.SIGTERM)\n'
        '        gevent.sleep(0.1)\n'
        '        print("stopped gracefully")\n'
        '        return True\n'
        'process._run_until_stopped(Instance())\n'
    )
    _run_command(context, [sys.executable, '-c', text])


@behave.when('a router receives SIGTERM again after it has stopped')
def stop_while_exiting(context):
    # The platform may send SIGTERM while the interpreter is exiting.
    text = (
        'from amaranthslip import __main__, process\n'
        'import os, signal, time\n'
        'class Instance:\n'
        '    def start(self):\n'
        '        os.kill(os.getpid(), signal.SIGTERM)\n'
        '    def stop(self):\n'
        '        return True\n'
        'process._run_until_stopped(Instance())\n'
        'os.kill(os.getpid(), signal.SIGTERM)\n'
        'time.sleep(0.1)\n'
        'print("exited normally")\n'
    )
    _run_command(context, [sys.executable, '-c', text])


@behave.when('the command line is run with "{line}"')
def run_arguments(context, line):
    _run(context, *line.split())


@behave.then('the command exits with {code:d} and prints "{text}"')
def check_exit(context, code, text):
    result = context.command_code, context.command_output
    assert result[0] == code and text in result[1], result


def _list_keys(context):
    answer = control.get(
        context.command_service.address, '/-/kv-range?prefix='
    )
    assert answer.status == 200, answer.body
    return [each['key'] for each in answer.read_json()['entries']]


@behave.then("the command line's key-value service holds no key")
def check_empty(context):
    assert not _list_keys(context), _list_keys(context)


@behave.then("the command line's key-value service holds a manifest")
def check_manifest(context):
    keys = _list_keys(context)
    assert any(key.endswith('manifest') for key in keys), keys


# Logs of two instances in the format of the platform's log collector. The line
# of the second log falls between the lines of the first one.
_REQUEST_LOGS = (
    """\
 3.10 one time=2026-12-02T10:00:01.000Z level=warning logger=x instance=one \
event=backend_server_ejected server=s-1 reason=failures seconds=1.0
 3.11 one time=2026-12-02T09:00:00.000Z level=info logger=x instance=one \
event=backend_server_gone server=s-1 reason=entry_gone
 3.12 one time=2026-12-02T10:00:02.000Z level=info logger=x instance=one \
event=request_sent request_id=a-17 server=s-1 expected_ms=40
 3.13 one time=2026-12-02T10:00:02.100Z level=info logger=x instance=one \
event=request_sent request_id=a-18 server=s-2 expected_ms=40
 3.14 one time=2026-12-02T10:00:02.900Z level=info logger=x instance=one \
event=try_failed request_id=a-17 server=s-1 reason=reset may_have_run=True
 3.15 one time=2026-12-02T10:00:02.950Z level=info logger=x instance=one \
event=request_failed request_id=a-17 reason=reset detail="a \\"b\\" c"
""",
    """\
 3.12 two time=2026-12-02T10:00:01.500Z level=info logger=x instance=two \
event=request_failed request_id=a-17 reason=overload retry_after=0.2
""",
)


_ATTEMPT_LOGS = (
    """\
time=2026-12-02T10:00:02.000Z level=info instance=one event=request_sent \
request_id=b-1 fingerprint=f00d server=s-1
time=2026-12-02T10:00:02.050Z level=info instance=one event=request_failed \
request_id=b-1 reason=outcome_unknown
time=2026-12-02T10:00:02.060Z level=info instance=one event=request_sent \
request_id=b-3 fingerprint=f00d17 server=s-2
""",
    """\
time=2026-12-02T10:00:03.000Z level=info instance=two event=request_sent \
request_id=b-2 fingerprint=f00d server=s-3
""",
)


@behave.given(
    'the logs of two instances about attempts with fingerprint "{name}"'
)
def write_attempt_logs(context, name):
    _write_logs(context, *_ATTEMPT_LOGS)


@behave.given('the logs of two instances about the request "{name}"')
def write_request_logs(context, name):
    _write_logs(context, *_REQUEST_LOGS)


@behave.when('the command line explains the request "{name}"')
def explain_request(context, name):
    _run(context, 'explain', name, *context.command_logs)


@behave.then(
    'the lines are in order of time and include the state changes before the '
    'request'
)
def check_request_lines(context):
    lines = context.command_output.splitlines()
    events = [line.split(' ms ')[1].split()[1] for line in lines]
    assert events == [
        'backend_server_ejected',
        'request_failed',
        'request_sent',
        'try_failed',
        'request_failed',
    ], context.command_output
    assert lines[0].startswith('.') and lines[1].startswith(' ')


@behave.then('the output has no line of another request')
def check_no_other_request(context):
    assert 's-2' not in context.command_output
    assert 'entry_gone' not in context.command_output


def _format_end_line(second, account, tokens, **fields):
    pairs = {
        'time': f'2026-12-02T10:00:{second:02d}.000Z',
        'client_account': account,
        'service': 'llm',
        'tokens': tokens,
        'objective_ms': 400,
    } | fields
    return ' '.join(f'{name}={value}' for name, value in pairs.items())


def _write_logs(context, *texts):
    context.command_logs = []
    for number, text in enumerate(texts):
        path = context.command_folder / f'{number}.log'
        path.write_text(text)
        context.command_logs.append(str(path))


@behave.given(
    'the logs of two instances about a large account and a small one'
)
def write_account_logs(context):
    answered = {'event': 'request_ended', 'status': 200, 'took_ms': 900}
    refused = {'event': 'request_failed', 'status': 429}
    one = [
        _format_end_line(1, 'large', 1000, first_ms=90, **answered),
        _format_end_line(1, 'large', 1000, reason='over_share', **refused),
    ]
    two = [
        _format_end_line(1, 'small', 500, reason='overload', **refused),
        _format_end_line(2, 'small', 500, first_ms=500, **answered),
    ]
    _write_logs(context, '\n'.join(one), '\n'.join(two))


@behave.given(
    'the logs of an instance that refuses large requests, twice each'
)
def write_size_logs(context):
    answered = {'event': 'request_ended', 'status': 200, 'first_ms': 90}
    refused = {'event': 'request_failed', 'reason': 'over_share'}
    refused |= {'reading_ms': 300, 'ahead_ms': 40, 'allowed_ms': 240}
    lines = []
    for number in range(100):
        # One of the small requests is refused first, and served when retried.
        attempts = [refused, refused] if number >= 90 else [answered]
        attempts = [refused, answered] if number == 5 else attempts
        lines += [
            _format_end_line(
                second, 'a', number, prompt_id=f'p{number}', **each
            )
            for second, each in enumerate(attempts)
        ]
    _write_logs(context, '\n'.join(lines))


@behave.given(
    'the logs of two instances about an account that floods and another'
)
def write_flood_logs(context):
    answered = {'event': 'request_ended', 'status': 200, 'first_ms': 90}
    refused = {'event': 'request_failed', 'reason': 'overload'}
    refused |= {'share_use': 0.1, 'share_tokens': 9000}
    one, two = [], []
    for second in range(6):
        one += [
            _format_end_line(second, 'flood', 1400, **answered),
            _format_end_line(second, 'flood', 6000, **refused),
        ]
        two += [
            _format_end_line(second, 'short', 100, **answered),
            _format_end_line(second, 'short', 300, **refused),
            *[_format_end_line(second, 'short', 400, **refused)] * 4,
        ]
    _write_logs(context, '\n'.join(one), '\n'.join(two))


@behave.given('the logs of two instances without a request')
def write_no_request(context):
    _write_logs(context, 'event=router_started\n', '')


@behave.when('the command line summarizes the logs')
def summarize_logs(context):
    _run(context, 'summarize', *context.command_logs)


@behave.then(
    'the summary shows "{name}" with {count:d} requests, "{part}" served'
)
def check_size_group(context, name, count, part):
    expected = f'{name} {count} requests {part} served'.split()
    lines = [line.split() for line in context.command_output.splitlines()]
    assert any(line[: len(expected)] == expected for line in lines), lines


@behave.then(
    'the summary shows "{first}" at "{low}" and "{second}" at "{high}"'
)
def check_ranking(context, first, low, second, high):
    lines = context.command_output.splitlines()
    worst = [line.split()[:2] for line in lines]
    assert [first, low] in worst and [second, high] in worst, lines
    assert worst.index([first, low]) < worst.index([second, high]), lines
