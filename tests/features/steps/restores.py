"""Steps about a store that is restored from an older copy."""

import collections
import json
import logging
import random
from unittest import mock

import behave
import gevent

from amaranthslip.capacity import directory
from amaranthslip.configuration import document
from amaranthslip.configuration import revisions
from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.requests import quarantine
from bench import patterns
from tests.support import callers
from tests.support import exchanges
from tests.support import machines
from tests.support import restore_machine
from tests.support import standins

_FINGERPRINT = b'f' * 16


@behave.given(
    'a copy of the store, after which {count:d} versions were written'
)
def write_after_copy(context, count):
    context.side.send_store_command('/standin/snapshot')
    for _ in range(count):
        context.version += 1
        context.side.configure(version=context.version)
    context.side.wait_until_synced()


def restore_store(context, write):
    """Restore the copy while no call is answered, and write what follows."""
    side = context.side
    side.send_store_command('/standin/faults', mode='down')
    exchanges.wait_until(lambda: not side.instance.reaches_store)
    side.send_store_command('/standin/restore')
    write()
    side.send_store_command('/standin/faults', mode='up')


def write_leaving(context, name):
    context.side.register(context.side.backends[name], state='draining')


@behave.when(
    'the store is restored from the copy, and {count:d} changes follow, the'
    ' first of which says that "{name}" leaves'
)
def restore_and_write(context, count, name):
    def write():
        write_leaving(context, name)
        for _ in range(count - 1):
            context.version += 1
            context.side.configure(version=context.version)

    restore_store(context, write)


def find_server(context, name):
    """Return the status of a server at the instance, or None."""
    status = context.side.instance._describe_status()
    found = [
        each for each in status['backend_servers'] if each['name'] == name
    ]
    return found[0] if found else None


@behave.then('the instance knows that "{name}" leaves')
def check_leaving(context, name):
    exchanges.wait_until(lambda: find_server(context, name)['leaving'])


# -- the registry of backend servers ---------------------------------------


def _build_server(name, *, leaving=False, cold_seconds=0.0):
    return document.ListedServer(
        name=name,
        service='llm',
        address='127.0.0.1:1',
        failure_domain='a',
        slots=4,
        leaving=leaving,
        incarnation=0,
        cold_seconds=cold_seconds,
    )


def _read_names(text):
    return text.replace('"', '').replace(' and ', ', ').split(', ')


@behave.given('servers {names} of a registry')
def start_registry(context, names):
    context.now = 1000.0
    context.directory = directory.Directory(clock=lambda: context.now)
    for name in _read_names(names):
        context.directory.put(_build_server(name))


@behave.when('"{name}" says that it leaves')
def say_leaving(context, name):
    context.directory.put(_build_server(name, leaving=True))


@behave.when('the entry of "{name}" is removed')
def remove_server(context, name):
    context.directory.remove(name)


@behave.when('the entry of "{name}" is written again')
def write_server(context, name):
    context.directory.put(_build_server(name))


@behave.when('"{name}" is cold for {seconds:d} seconds')
def cool_server(context, name, seconds):
    context.directory.put(_build_server(name, cold_seconds=float(seconds)))


@behave.when(
    '"{leaving}" says that it leaves, the entry of "{removed}" is removed, and'
    ' "{added}" registers'
)
def change_registry(context, leaving, removed, added):
    say_leaving(context, leaving)
    context.directory.remove(removed)
    context.directory.put(_build_server(added))


@behave.when('the failure domain of all servers is evacuated')
def evacuate_all(context):
    context.directory.evacuate('a')


@behave.when('the registry is restored from a copy with {names}')
def restore_registry(context, names):
    context.directory.start_restore_period()
    context.directory.replace(
        [_build_server(name) for name in _read_names(names)], restored=True
    )
    context.directory.replace_evacuations([], restored=True)


@behave.when('{seconds:d} seconds pass after the restore')
def pass_time(context, seconds):
    context.now += seconds
    gevent.sleep(0.01)


@behave.then('{names} may get requests')
def check_ready(context, names):
    expected = [] if names == 'no server' else _read_names(names)
    ready = context.directory.list_ready('llm')
    assert [each.name for each in ready] == expected, ready


@behave.then('"{name}" is cold')
def check_cold(context, name):
    assert context.directory.read_cold_seconds(name) > 0


# -- own entries -----------------------------------------------------------


class FakeStore:
    """Records the writes; leases are granted and renewed without an end."""

    def __init__(self):
        self.last_lease = 0
        # By key: the leases of its writes.
        self.writes = collections.defaultdict(list)

    def grant(self, ttl_seconds):
        self.last_lease += 1
        return self.last_lease

    def renew(self, lease):
        return True

    def swap(self, key, value, *, expected):
        assert expected == 0, 'an existing value would be replaced'

    def put(self, key, value, *, lease):
        self.writes[key].append(lease)
        return len(self.writes[key])


@behave.given('{count:d} instances that are listed in the store')
def list_instances(context, count):
    context.store = FakeStore()
    settings = callers.build_settings()
    context.listings, context.tasks = [], set()
    members = [patterns.build_member(f'm-{each}') for each in range(count)]
    entries = [
        keyvalue.Entry(
            instances.StoredInstances(settings, context.store).prefix
            + each.name,
            json.dumps(
                {
                    'address': each.address,
                    'failure_domain': each.failure_domain,
                    'region': each.region,
                }
            ).encode(),
            revisions.join(1, 9),
            lease=revisions.join(1, 1 + number),
        )
        for number, each in enumerate(members)
    ]
    for number, member in enumerate(members):
        listing = instances.StoredInstances(
            settings,
            context.store,
            has_follower=True,
            random=random.Random(number),
        )
        listing.replace_entries(entries)
        context.listings.append(listing)
        task = gevent.spawn(listing.keep_listed, member)
        context.tasks.add(task)
        context.add_cleanup(task.kill)
    gevent.sleep(0.05)
    assert not context.store.writes


@behave.when('the store is restored from a copy without their entries')
def restore_without_entries(context):
    context.waits = []
    sleep = gevent.sleep

    def record(seconds):
        if gevent.getcurrent() not in context.tasks:
            return sleep(seconds)
        context.waits.append(seconds)
        return sleep(0)

    with mock.patch.object(instances.gevent, 'sleep', record):
        for each in context.listings:
            each.replace_entries([], restored=True)
        for _ in range(500):
            if len(context.store.writes) == len(context.listings):
                break
            sleep(0.01)


@behave.then('each instance writes its entry again under a new lease')
def check_written(context):
    leases = [
        lease for each in context.store.writes.values() for lease in each
    ]
    assert len(set(leases)) == len(context.listings), leases


@behave.then('no more than {count:d} of them do so in the same second')
def check_spread(context, count):
    seconds = collections.Counter(int(each) for each in context.waits)
    assert len(context.waits) == len(context.listings)
    assert max(seconds.values()) <= count, seconds


@behave.given('an instance that loaded a quarantined request')
def load_quarantined(context):
    context.now = 1000.0
    context.store = FakeStore()
    context.quarantine = quarantine.Quarantine(clock=lambda: context.now)
    context.stored = quarantined.StoredQuarantine(
        callers.build_settings(),
        context.store,
        context.quarantine,
        random=random.Random(1),
    )
    crashes = [
        {
            'seconds_before_latest': 2.0 * number,
            'server': f's-{number}',
            'incarnation': 1 + number,
            'last_event': 0,
        }
        for number in range(3)
    ]
    context.key = context.stored.prefix + _FINGERPRINT.hex()
    context.stored.replace_entries(
        [
            keyvalue.Entry(
                context.key,
                json.dumps({'crashes': crashes}).encode(),
                revisions.join(1, 5),
            )
        ]
    )
    assert context.quarantine.list_quarantine_crashes(_FINGERPRINT)


@behave.when('the store is restored from a copy without its entry')
def restore_without_quarantined(context):
    context.stored.replace_entries([], restored=True)


@behave.then('the request is still quarantined')
def check_quarantined(context):
    assert context.quarantine.list_quarantine_crashes(_FINGERPRINT)
    assert not context.store.writes


@behave.then('the entry of the request is written again')
def check_entry_written(context):
    task = gevent.spawn(context.stored.run)
    context.add_cleanup(task.kill)
    exchanges.wait_until(lambda: context.store.writes[context.key])


# -- the client of the store -----------------------------------------------


def _start_store(context):
    context.service = standins.start(context, 'keyvalue')
    settings = callers.build_settings(
        platform={'key_value': context.service.url}
    )

    def connect():
        client = keyvalue.KeyValue(settings, metrics.Metrics())
        context.add_cleanup(client.close)
        return client

    context.client, context.other = connect(), connect()


@behave.given('a client of a store with a key that was read at revision 5')
def read_key(context):
    _start_store(context)
    context.client.put('k', b'one')
    context.client.put('other', b'one')
    context.service.call('/standin/snapshot', name='')
    context.client.put('other', b'two')
    context.entry = context.client.get('k')
    context.client.swap('k', b'mine', expected=context.entry.revision)
    context.entry = context.client.get('k')
    assert revisions.read_number(context.entry.revision) == 5


@behave.when(
    'the store is restored, and the key is written at revision 5 again'
)
def restore_and_write_key(context):
    context.service.call('/standin/restore', name='')
    context.other.put('other', b'three')
    revision = context.other.put('k', b'theirs')
    assert revisions.read_number(revision) == 5
    assert revision > context.entry.revision


@behave.when('the client reads any key')
def read_any(context):
    context.client.get('other')


@behave.then('a swap with the revision that was read changes nothing')
def check_swap_failed(context):
    expected = context.entry.revision
    assert context.client.swap('k', b'late', expected=expected) is None
    assert not context.client.delete('k', expected=expected)
    assert context.client.get('k').value == b'theirs'


@behave.then(
    'a swap with the revision that was read is reported as an answer lost'
)
def check_swap_unknown(context):
    try:
        context.client.swap('k', b'late', expected=context.entry.revision)
    except errors.AnswerLost:
        return
    raise AssertionError('the swap was reported as done')


@behave.given('a client of a store that holds a lease granted after a copy')
def hold_lease(context):
    _start_store(context)
    context.client.put('k', b'one')
    context.service.call('/standin/snapshot', name='')
    context.lease = context.client.grant(60.0)
    assert context.client.renew(context.lease)


@behave.when('the store is restored, and another client gets a lease')
def restore_and_grant(context):
    context.service.call('/standin/restore', name='')
    lease = context.other.grant(60.0)
    assert revisions.read_number(lease) == revisions.read_number(context.lease)


@behave.then('the client can not renew its lease')
def check_not_renewed(context):
    assert not context.client.renew(context.lease)
    assert not context.client.renew(context.lease)


# -- the state machine -----------------------------------------------------


@behave.when(
    '{count:d} sequences of changes, restores, lost messages and restarts are'
    ' drawn'
)
def run_machine(context, count):
    logger = logging.getLogger('amaranthslip')
    context.add_cleanup(logger.setLevel, logger.level)
    logger.setLevel(logging.CRITICAL)
    machines.run_machine(
        context, restore_machine.RestoreMachine, runs=count, steps=50
    )


@behave.then('no instance used a server that it knew as leaving')
@behave.then('all instances learned the state of the store in the end')
def check_machine(context):
    if context.machine_error is not None:
        raise context.machine_error
