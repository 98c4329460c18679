"""Steps for log lines."""

import io
import json
import logging
import os
import re

import behave
import gevent

from amaranthslip import logs
from amaranthslip import settings

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def _read_pairs(line):
    return {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in _PAIR.findall(line)
    }


@behave.given('the logs of the instance "{name}"')
def configure_logs(context, name):
    instance = {'name': name, 'failure_domain': 'poa-a', 'region': 'rs-sul'}
    addresses = dict.fromkeys(('callers', 'operators', 'peers'), '127.0.0.1:1')
    platform = {'key_value': 'http://x'}
    checked = settings.check_settings(
        {'instance': instance, 'addresses': addresses, 'platform': platform}
    )
    context.log_stream = io.StringIO()
    root = logging.getLogger()
    before = list(root.handlers)
    handler = logs.configure(checked, stream=context.log_stream)
    context.add_cleanup(setattr, root, 'handlers', before)
    context.add_cleanup(handler.close)


@behave.when('the log event "{event}" is written for the request "{name}"')
def write_event(context, event, name):
    logging.getLogger('tests').info(event, extra={'request_id': name})


@behave.when('an error is logged that quotes {quoted}')
def write_error(context, quoted):
    try:
        raise ValueError(f'cannot read {quoted}')
    except ValueError as error:
        logging.getLogger('tests').exception('bad request: %s', error)


@behave.then('the log line\'s "{key}" is "{value}"')
def check_pair(context, key, value):
    assert _read_pairs(context.log_stream.getvalue())[key] == value


@behave.then('the log line\'s "{key}" contains "{value}"')
def check_contained(context, key, value):
    assert value in _read_pairs(context.log_stream.getvalue())[key]


@behave.then('no log line contains "{secret}"')
def check_secret(context, secret):
    text = context.log_stream.getvalue()
    assert text and secret not in text, text


def _open_log(context):
    context.reader, writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.log_now = 50.0
    context.handler = logs.BoundedHandler(
        writer, clock=lambda: context.log_now
    )
    context.handler.setFormatter(logs.KeyValueFormatter('poa-a-1'))
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.bytes_read = b''


@behave.given('a log to a pipe whose reader stalls')
@behave.given('a log to a pipe that is read')
def open_log(context):
    _open_log(context)


def _write(context, event, level=logging.INFO):
    record = logging.makeLogRecord(
        {'name': 'tests', 'msg': event, 'levelno': level, 'levelname': 'INFO'}
    )
    context.handler.emit(record)


def _read(context):
    while True:
        try:
            context.bytes_read += os.read(context.reader, 65536)
        except BlockingIOError:
            return


@behave.when('{count:d} log events are written')
def write_many(context, count):
    for number in range(count):
        context.log_now += 0.01
        _write(context, f'event-{number} ' + 'x' * 200)


@behave.then('the writer did not block, and the dropped lines were counted')
def check_dropped(context):
    # A blocked writer would never have reached this step.
    assert context.handler.dropped > 1000, context.handler.dropped


@behave.when('the log reader resumes')
def resume_reading(context):
    for _ in range(40):
        _read(context)
        gevent.sleep(0.06)
    context.log_now += 2
    _write(context, 'last')
    gevent.sleep(0.1)
    _read(context)


@behave.then(
    'the log reader gets only complete lines and the count of dropped lines'
)
def check_complete_lines(context):
    lines = context.bytes_read.decode().splitlines()
    assert all(line.startswith('time=') for line in lines)
    reports = [each for each in lines if 'log_lines_dropped' in each]
    assert reports
    dropped = sum(int(_read_pairs(each)['lines']) for each in reports)
    events = [each for each in lines if 'event-' in each]
    assert len(events) + dropped == 5000, (len(events), dropped)
    assert 'event=last' in lines[-1]


@behave.when('{count:d} log events and an error are written within a second')
def write_flood(context, count):
    for number in range(count):
        _write(context, f'event-{number}')
        if number % 50 == 0:
            _read(context)
    _write(context, 'broken', logging.ERROR)
    # The handler buffers lines to write several together. A pipe holds 64 KiB,
    # so reads and flushes alternate.
    for _ in range(3):
        _read(context)
        context.handler.flush()


@behave.then(
    '{count:d} lines and the error were written, and the dropped lines were '
    'counted'
)
def check_rate(context, count):
    lines = context.bytes_read.decode().splitlines()
    assert len(lines) == count + 1, len(lines)
    assert 'event=broken' in lines[-1]
    assert context.handler.dropped == 2000 - count
