"""Steps about registration entries and servers that restart."""

import ast
import json
from unittest import mock

import behave

from amaranthslip.backends import outgoing
from amaranthslip.backends import pools
from amaranthslip.capacity import directory
from amaranthslip.capacity import outliers
from amaranthslip.configuration import document
from amaranthslip.platform import backends
from bench import patterns
from tests.support import exchanges

_ENTRY = {
    'service': 'plain',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 9,
    'born': 1764860000000,
}
_UNUSABLE = (
    'not JSON',
    '[]',
    json.dumps(_ENTRY | {'address': 'nowhere'}),
    json.dumps(_ENTRY | {'slots': -1}),
    json.dumps(_ENTRY | {'state': 'warming'}),
    json.dumps(_ENTRY | {'born': '1764860000000'}),
    json.dumps(_ENTRY | {'born': 2**64}),
)


def _read(values, key='servers/s-1'):
    return backends.read_backend_server(key, json.dumps(values).encode())


# -- the forms of entries ---------------------------------------------------


@behave.when('a registration entry consists of the bytes {expression}')
def read_bytes(context, expression):
    value, _, count = expression.partition(' * ')
    data = ast.literal_eval(value) * int(count or 1)
    context.server = backends.read_backend_server('servers/s-1', data)


@behave.when('the field "{field}" of a registration entry is {value}')
def read_field(context, field, value):
    if value == 'missing':
        values = {key: _ENTRY[key] for key in _ENTRY if key != field}
        context.server = _read(values)
        return
    text = json.dumps(_ENTRY | {field: 'VALUE'}).replace('"VALUE"', value)
    context.server = backends.read_backend_server('servers/s-1', text.encode())


@behave.when(
    'the key of a registration entry is "servers/" and an invalid name'
)
def read_keys(context):
    names = ('', ' ', 'a\nb', 'a\x00', 'á', '\u20ac', 'a ')
    found = [_read(_ENTRY, f'servers/{name}') for name in names]
    context.server = next((each for each in found if each is not None), None)


@behave.then('it names no server')
def check_none(context):
    assert context.server is None, context.server.name


@behave.then('it names a server')
def check_server(context):
    assert context.server.address == _ENTRY['address']


@behave.then('it names a server whose start time is unknown')
def check_unknown_start(context):
    check_server(context)
    assert not context.server.registers_start


@behave.when('another writer writes an entry of each unusable form')
def write_unusable(context):
    for number, text in enumerate(_UNUSABLE):
        context.side.write_entry(f'other-{number}', text)
    context.side.wait_until_synced()


@behave.then(
    '{count:d} requests are answered by the servers with valid entries'
)
def check_requests(context, count):
    for number in range(count):
        answer = context.side.send_request('/read/x', attempt=f'r-{number}')
        assert answer.status == 200, answer.data


# -- the directory ----------------------------------------------------------


def _build_server(**values):
    return _read(_ENTRY | values)


@behave.given('a directory with a server that was born at {born:d}')
def build_directory(context, born):
    context.directory = directory.Directory()
    context.directory.put(_build_server(born=born))


@behave.when('its entry says born {born:d} at another address')
def put_elsewhere(context, born):
    context.directory.put(_build_server(born=born, address='127.0.0.2:80'))


@behave.when('its entry says no start time at another address')
def put_without_start(context):
    put_elsewhere(context, 0)


@behave.when('its entry says born {born:d} and sequence {sequence:d}')
def put_restarted(context, born, sequence):
    context.directory.put(_build_server(born=born, sequence=sequence))


@behave.when(
    'the server is removed, and a restored copy has it as born at {born:d}'
)
def restore(context, born):
    context.directory.remove('s-1')
    context.directory.start_restore_period()
    context.directory.replace([_build_server(born=born)], restored=True)


@behave.then('the server of the directory was born at {born:d}')
def check_born(context, born):
    server = context.directory.get('s-1')
    assert server.incarnation == born
    assert server.address == _ENTRY['address']


@behave.then('the directory has no server')
def check_empty(context):
    assert not context.directory.list_all()


# -- requests across a restart ----------------------------------------------


def _restart_engine(context, names):
    number = int(context.place.server.name.rpartition('-')[2])
    instances = [context.fleet.instances[name] for name in names]
    for each in instances:
        each.directory.put(patterns.build_server(number, incarnation=2))
    context.charged = []

    def record(self, server, *args, **options):
        if any(each.placement.outliers is self for each in instances):
            context.charged.append(server)
        return 0.0

    patch = mock.patch.object(outliers.Outliers, 'note_failure', record)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when('all instances learn that the engine restarted')
def restart_everywhere(context):
    _restart_engine(context, context.fleet.names)


@behave.when('the keeper learns that the engine restarted')
def restart_at_keeper(context):
    _restart_engine(context, [context.keeper])


@behave.when('the request at the earlier start fails')
def fail_earlier(context):
    context.place.fail()


@behave.then('no instance charges the restarted engine with a failure')
@behave.then('the keeper charges the restarted engine with no failure')
def check_uncharged(context):
    assert not context.charged


# -- connections ------------------------------------------------------------


def _send(context, incarnation, *, while_open=lambda: None):
    server = document.ListedServer(
        name='s-1',
        service='llm',
        address=context.server.address,
        failure_domain='a',
        slots=8,
        leaving=False,
        incarnation=incarnation,
    )
    request = outgoing.BackendRequest(
        method='GET',
        target='/x',
        headers=[],
        body=b'',
        reuse=outgoing.Reuse.ANY,
        request_id='r',
    )
    with context.connections.send(server, request) as answer:
        while_open()
        return answer.read_body(1000)


@behave.when('a request is sent, the server restarts, and a request is sent')
def send_around_restart(context):
    _send(context, 1)
    _send(context, 2)


@behave.when('a request is sent across a restart, and another one after it')
def send_across_restart(context):
    _send(context, 1, while_open=lambda: _send(context, 2))
    _send(context, 2)


@behave.then('the server got {count:d} connections, of which 1 is open')
def check_connections(context, count):
    assert context.server.connections == count, context.server.connections
    exchanges.wait_until(lambda: context.server.open_connections == 1)


@behave.when(
    'the chosen server restarts before a request for "{path}" is sent'
)
def restart_before_send(context, path):
    connect = pools.ServerPool.connect
    chosen = []

    def restart(pool):
        if not chosen:
            chosen.extend(
                each
                for each in context.side.backends.values()
                if each.address.endswith(f':{pool._connection_port}')
            )
            chosen[0].born += 1
            context.side.register(chosen[0])
            context.side.wait_until_synced()
        return connect(pool)

    with mock.patch.object(pools.ServerPool, 'connect', restart):
        context.answer = context.side.send_request(path)
    context.chosen = chosen[0]


@behave.then('the request is answered 200 by the other server')
def check_other_server(context):
    assert context.answer.status == 200, context.answer.data
    assert context.answer.body.decode() != context.chosen.name
    assert not context.chosen.requests
