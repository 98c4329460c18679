"""Entries as another writer may have left them in the store."""

import json

_HUGE = 10**400
_NESTED = b'[' * 100_000 + b']' * 100_000
_FAR_PORT = '10.0.0.1:99999'

ADDRESSES = ('10.0.0.1:99999', '10.0.0.1:-1', '10.0.0.1', ':1', 'x:1', '')


def _list_numbers():
    return ('1e400', '-1', str(_HUGE), 'NaN', '-Infinity', 'true', '"1"')


def _server(**values):
    entry = {
        'service': 'plain',
        'address': '10.0.0.1:1',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'born': 1,
    }
    return entry | values


def _instance(**values):
    entry = {'address': '10.0.0.1:1', 'failure_domain': 'a', 'region': 'r'}
    return entry | values


def _crash(**values):
    entry = {
        'server': 's',
        'incarnation': 1,
        'last_event': 0,
        'seconds_before_latest': 0.0,
        'account': '00',
        'sent_seconds_before': 0.0,
    }
    return entry | values


def list_values():
    """Return odd values for entries of any kind, as bytes."""
    values = [
        b'',
        b'\xff\xfe',
        b'null',
        b'[]',
        b'{}',
        b'"text"',
        b'12',
        b'[null]',
        b'[[]]',
        b'{"crashes": 1}',
        b'{"crashes": [[]]}',
        b'{"requests_per_second": []}',
        b'[{"service": "s", "version": "v", "streams": "AA=="}]',
        b'["\\ud800"]',
        _NESTED,
        b'{"crashes": ' + _NESTED + b'}',
    ]
    objects = [
        _server(address=_FAR_PORT),
        _server(zone=[]),
        _server(service='\ud800'),
        _instance(address=_FAR_PORT),
        _instance(address=5),
        _instance(region={}),
        {'crashes': [_crash(account='zz')]},
        {'crashes': [_crash()], 'trials': {}, 'crashes_at_trial': []},
        {'requests_per_second': {'e0': 'many'}},
    ]
    values += [json.dumps(each).encode() for each in objects]
    templates = [
        json.dumps(_server(slots='N', born='N', cold_remaining_ms='N')),
        json.dumps({'crashes': [_crash(incarnation='N')]}),
        json.dumps({'crashes': [_crash(seconds_before_latest='N')]}),
        json.dumps({'crashes': [_crash(last_event='N')]}),
        json.dumps({'crashes': [_crash(sent_seconds_before='N')]}),
        json.dumps({'crashes': [], 'trials': 'N', 'crashes_at_trial': 'N'}),
        json.dumps({'requests_per_second': {'e0': 'N'}}),
        json.dumps({'version': 'N', 'limits': {'tokens_per_s': 'N'}}),
        json.dumps({'version': 99, 'limits': {'tokens_per_s': 'N'}}),
    ]
    for template in templates:
        for number in _list_numbers():
            values.append(template.replace('"N"', number).encode())
    return values
