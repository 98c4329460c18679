"""Steps about entries of the store that other writers left in no good form."""

import json
import logging

import behave

from amaranthslip.links import sockets
from amaranthslip.members import members
from amaranthslip.platform import keyvalue
from amaranthslip.requests import part_crashes
from tests.support import odd_entries
from tests.support import operated

_PREFIXES = (
    'servers/',
    'PREFIX/instances/',
    'PREFIX/quarantine/',
    'PREFIX/quarantined-parts/',
    'PREFIX/cold-quotas/',
    'PREFIX/software-versions/',
    'PREFIX/streams/',
    'op/evacuate/',
)
_FAILURES = ('follow_failed', 'receive_failed', 'entry_failed')


class _Records(logging.Handler):
    """Collects the names of log events that tell of a failure."""

    def __init__(self):
        super().__init__()
        self.names = []

    def emit(self, record):
        if record.msg in _FAILURES:
            self.names.append((record.msg, record.exc_info))


def _collect_failures(context):
    context.records = _Records()
    logger = logging.getLogger('amaranthslip')
    logger.addHandler(context.records)
    context.add_cleanup(logger.removeHandler, context.records)


@behave.given('the parts of an instance that read the store')
def build_parts(context):
    _collect_failures(context)
    context.side = operated.InstanceFixture()
    context.add_cleanup(context.side.close)
    context.entries = context.side.instance._follower._entries


def _build_server_entry(name, revision):
    backend = operated.Backend(name, service='plain')
    try:
        value = json.dumps(backend.build_entry()).encode()
    finally:
        backend.close()
    return keyvalue.Entry(f'servers/{name}', value, revision)


def _resolve(context, key):
    """Return a key with the prefix of the instance's settings."""
    prefix = context.side.settings.platform.prefix
    return key.replace('PREFIX/', prefix)


@behave.when('the entry "{key}" has each odd value, in a full read')
def read_in_full(context, key):
    key = _resolve(context, key)
    first = _build_server_entry('first', 1)
    last = _build_server_entry('last', 3)
    for value in odd_entries.list_values():
        odd = keyvalue.Entry(key, value, 2)
        context.entries.replace_entries([first, odd, last])
        _check_parts(context, value)


@behave.when('the entry "{key}" has each odd value, in a poll')
def read_by_poll(context, key):
    key = _resolve(context, key)
    context.entries.replace_entries([_build_server_entry('first', 1)])
    for number, value in enumerate(odd_entries.list_values()):
        odd = keyvalue.Entry(key, value, number + 2)
        context.entries.apply_entry(odd)
        context.entries.apply_entry(_build_server_entry('last', number + 3))
        _check_parts(context, value)


def _check_parts(context, value):
    instance = context.side.instance
    names = {each.name for each in instance._directory.list_all()}
    assert {'first', 'last'} <= names, (value[:80], names)
    for each in instance._instances.read():
        sockets.split_address(each.address)
        assert 1 <= int(each.address.rpartition(':')[2]) <= 65535, each.address
        assert each.state is members.MemberState.ALIVE
    # What the parts do with what they were given.
    instance._describe_status()
    instance._list_initial_messages('e9')
    instance._software_recorder._history.find_outdated('llm')
    instance._part_exchange.check(part_crashes.SentParts(b'', ()))
    for each in instance._directory.list_all():
        instance._cold_starts.read_remaining(each)
    assert not context.records.names, (value[:80], context.records.names)


@behave.then('the entries beside it are applied, and each part goes on')
def check_applied(context):
    _check_parts(context, b'')


def _put_odd_entries(context, suffix):
    texts = []
    for value in odd_entries.list_values():
        try:
            texts.append(value.decode())
        except UnicodeDecodeError:
            continue
    own_prefix = context.sides[0].settings.platform.prefix
    for prefix in _PREFIXES:
        prefix = prefix.replace('PREFIX/', own_prefix)
        for number, text in enumerate(texts):
            key = f'{prefix}{suffix}{number:04x}'
            context.sides[0].send_store_command(
                '/standin/put', key=key, text=text
            )


@behave.given('two instances, and odd entries of every kind in the store')
def start_beside(context):
    _collect_failures(context)
    context.sides = []
    for number in range(2):
        side = operated.InstanceFixture(
            platform_of=context.sides[0] if context.sides else None,
            instance={'name': f'e{number}'},
        )
        context.add_cleanup(side.close)
        context.sides.append(side)
    first = context.sides[0]
    first.configure()
    first.register(operated.Backend('plain-1', service='plain'))
    _put_odd_entries(context, 'a0')
    for side in context.sides:
        side.start()


@behave.when('a server is added beside them, and more odd entries')
def add_beside(context):
    first = context.sides[0]
    first.send_store_command('/standin/put', key='op/config', text='[[[')
    _put_odd_entries(context, 'b0')
    first.remove_entry('plain-1')
    first.register(operated.Backend('plain-2', service='plain'))
    for side in context.sides:
        side.wait_until_synced()


@behave.then('both instances use the server and have logged no failure')
def check_used(context):
    for number, side in enumerate(context.sides):
        answer = side.send_request('/read/x', attempt=f'a-{number}')
        assert (answer.status, answer.body) == (200, b'plain-2'), answer.data
    assert not context.records.names, context.records.names


@behave.when('links dial each odd address')
def dial_addresses(context):
    context.outcomes = []
    for address in odd_entries.ADDRESSES:
        try:
            sockets.dial(address, dial_seconds=0.2, lost_seconds=1.0)
        except Exception as error:
            context.outcomes.append((address, error))
        else:
            context.outcomes.append((address, None))


@behave.then('each is refused as unreachable')
def check_refused(context):
    for address, error in context.outcomes:
        assert isinstance(error, OSError), (address, error)
