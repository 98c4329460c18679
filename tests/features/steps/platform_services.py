"""Steps for the clients of the platform's services."""

import contextlib

import behave
import gevent
from gevent import queue

from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip import metrics
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip import settings
from standins import proxy
from tests.support import standins

_STEP_TIMEOUT_SECONDS = 20
_CALL_TIMEOUT_SECONDS = 0.3


def _limit_time():
    # Raises AssertionError, because behave aborts the whole run on a bare
    # Timeout and leaves the stand-ins running.
    return gevent.Timeout(
        _STEP_TIMEOUT_SECONDS,
        AssertionError('the step exceeded its time limit'),
    )


def _read_settings(key_value):
    return settings.check_settings(
        {
            'instance': {
                'name': 'hn-a-1',
                'failure_domain': 'hn-a',
                'region': 'vn-north',
            },
            'addresses': {
                'callers': '127.0.0.1:1',
                'operators': '127.0.0.1:2',
                'peers': '127.0.0.1:3',
            },
            'platform': {
                'key_value': key_value,
                'timeout_seconds': _CALL_TIMEOUT_SECONDS,
            },
        }
    )


@behave.given('a key-value service')
def start_key_value(context):
    context.service = standins.start(context, 'keyvalue')
    faults = proxy.Proxy()
    context.add_cleanup(faults.close)
    context.link = faults.listen(context.service.address)
    context.metrics = metrics.Metrics()
    url = f'http://{context.link.address}'
    context.key_value = keyvalue.KeyValue(_read_settings(url), context.metrics)
    context.add_cleanup(context.key_value.close)


@behave.given(
    'the key-value service drops its answers after applying the calls'
)
def drop_answers(context):
    context.service.call('/standin/faults', mode='lose_answers')


@behave.given('the key-value service answers after {seconds:d} seconds')
def answer_slowly(context, seconds):
    context.service.call('/standin/faults', mode='slow', seconds=seconds)


@behave.given('the key-value service is down')
def set_outage(context):
    context.service.call('/standin/faults', mode='down')


@behave.given('the key-value connections are refused')
def refuse_connections(context):
    context.link.refuse()


@behave.given('the key-value connections stop forwarding bytes')
def stop_forwarding(context):
    context.link.up.hold = True


@behave.when('the key-value connections forward bytes again')
def resume_forwarding(context):
    context.link.up.hold = False


@behave.when('{count:d} large key-value swaps raise {kind}')
def swap_large(context, count, kind):
    value = b'x' * (keyvalue.MAX_VALUE_BYTES - 1)
    for number in range(count):
        _swap(context, f'large-{number}', value, 0)
        check_error_kind(context, kind)


@behave.when('the key-value connections are accepted again')
def accept_connections(context):
    context.link.accept()


@behave.when('the key-value connections are cut')
def cut_connections(context):
    assert context.link.connections
    context.link.cut()


@behave.given('the key-value service stops answering watches')
def stop_answering_watches(context):
    context.service.call('/standin/faults', silent_watches=True)


def _swap(context, key, value, expected):
    context.swapped = context.swap_error = None
    try:
        context.swapped = context.key_value.swap(key, value, expected=expected)
    except errors.PlatformError as error:
        context.swap_error = error


@behave.when('the key-value key "{key}" is swapped from absent to "{value}"')
def swap_from_absent(context, key, value):
    _swap(context, key, value.encode(), 0)


@behave.when(
    'the key-value key "{key}" is swapped from its current revision to '
    '"{value}"'
)
def swap_from_revision(context, key, value):
    revision = context.key_value.get(key).revision
    _swap(context, key, value.encode(), revision)


@behave.when(
    'the key-value key "{key}" is swapped from absent to a value that is '
    'too large'
)
def swap_too_large(context, key):
    _swap(context, key, b'x' * (keyvalue.MAX_VALUE_BYTES + 1), 0)


@behave.when('the key-value key "{key}" is deleted')
def delete_key(context, key):
    revision = context.key_value.get(key).revision
    assert context.key_value.delete(key, expected=revision)


@behave.then(
    'the key-value key "{key}" can be deleted only at its current revision'
)
def check_delete(context, key):
    revision = context.key_value.get(key).revision
    assert not context.key_value.delete(key, expected=revision + 1)
    assert context.key_value.get(key) is not None
    assert context.key_value.delete(key, expected=revision)
    assert context.key_value.get(key) is None


@behave.then('the key-value swap succeeded')
def check_succeeded(context):
    assert context.swap_error is None, context.swap_error
    assert context.swapped > 1


@behave.then('the key-value swap fails its comparison')
def check_swap_failed(context):
    assert context.swap_error is None, context.swap_error
    assert context.swapped is None


@behave.then('the key-value swap raised {kind}')
def check_error_kind(context, kind):
    assert type(context.swap_error).__name__ == kind, context.swap_error


@behave.then(
    'the key-value client can still make calls after {calls:d} calls '
    'that time out'
)
def check_call_slots(context, calls):
    with _limit_time():
        calls_in_progress = [
            gevent.spawn(_swap, context, str(number), b'', 0)
            for number in range(calls)
        ]
        gevent.joinall(calls_in_progress, raise_error=True)
        context.service.call('/standin/faults', mode='up')
        _swap(context, 'after', b'', 0)
    check_succeeded(context)


@behave.then('the key-value key "{key}" holds "{value}"')
def check_key_value(context, key, value):
    assert context.key_value.get(key).value == value.encode()


@behave.then('the key-value prefix holds "{value}"')
def check_prefix(context, value):
    entries = context.key_value.read_prefix('a')
    assert [entry.value.decode() for entry in entries] == [value]


@behave.then('reading the key-value key "{key}" raises PlatformUnavailable')
def check_read(context, key):
    try:
        context.key_value.get(key)
    except errors.PlatformUnavailable:
        return
    raise AssertionError('the read returned an answer instead of an error')


@behave.then(
    'the key-value calls "{kind}" count {count:d} at the client and at '
    'the service'
)
def check_calls(context, kind, count):
    total = context.service.call('/standin/calls')['total']
    assert total.get(kind, 0) == count, total
    assert context.metrics.read('platform_calls', kind) == count


@behave.then('the key-value failures count {count:d} "{reason}"')
def check_failures(context, count, reason):
    assert context.metrics.read('platform_failures', reason) == count


def _watch(context, start_revision, idle_timeout_seconds):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    entries = stack.enter_context(
        context.key_value.watch(
            'b',
            start_revision=start_revision,
            idle_timeout_seconds=idle_timeout_seconds,
        )
    )
    context.watched = queue.Queue()
    stack.callback(gevent.spawn(_read_watch, context, entries).kill)
    # Scenarios inject faults only after the watch has reached the service.
    with _limit_time():
        while not context.service.call('/standin/calls')['total'].get('watch'):
            gevent.sleep(0.02)


def _read_watch(context, entries):
    for entry in entries:
        context.watched.put(entry)
    context.watched.put(None)


@behave.when('a key-value watch starts above the revision of key "a"')
def start_watch(context):
    revision = context.key_value.get('a').revision
    _watch(context, revision + 1, _STEP_TIMEOUT_SECONDS)


@behave.given('a key-value watch with an idle timeout of {seconds:d} second')
@behave.given('a key-value watch with an idle timeout of {seconds:d} seconds')
def start_idle_watch(context, seconds):
    _watch(context, 0, seconds)


@behave.then('the key-value watch reports "{key}" as "{value}"')
def check_watched(context, key, value):
    with _limit_time():
        entry = context.watched.get()
    assert (entry.key, entry.value) == (key, value.encode())


@behave.then('the key-value watch reports "{key}" as deleted')
def check_watched_deletion(context, key):
    with _limit_time():
        entry = context.watched.get()
    assert (entry.key, entry.value) == (key, None)


@behave.then('the key-value watch ends without reporting the change')
def check_watch_end(context):
    with _limit_time():
        assert context.watched.get() is None


@behave.then(
    'the key-value calls "{kind}" have equal counts at the client and '
    'the service'
)
def check_equal_counts(context, kind):
    # The next call of the watch may not have reached the service yet.
    with _limit_time():
        while context.service.call('/standin/calls')['total'][
            kind
        ] != context.metrics.read('platform_calls', kind):
            gevent.sleep(0.02)


@behave.given('the key-value service answers every call with {status:d}')
def refuse_calls(context, status):
    mode = {429: 'throttle', 503: 'refuse'}[status]
    context.service.call('/standin/faults', mode=mode)


@behave.when('the key-value service drops its history')
def drop_history(context):
    context.service.call('/standin/compact', now=True)


@behave.then(
    'polling the key-value service from an old revision raises HistoryLost'
)
def check_history(context):
    try:
        context.key_value.poll('', after=1, wait_seconds=0.1)
    except errors.HistoryLost:
        return
    raise AssertionError('the poll returned changes instead of an error')


@behave.when('{count:d} key-value keys of {size:d} bytes are written')
def write_many(context, count, size):
    value = b'x' * size
    for number in range(count):
        context.key_value.put(f'many/{number:04}', value)


@behave.then('all {count:d} keys are read in at least {pages:d} calls')
def check_pages(context, count, pages):
    before = context.metrics.read('platform_calls', 'range')
    entries = context.key_value.read_prefix('many/')
    assert [each.key for each in entries] == [
        f'many/{number:04}' for number in range(count)
    ]
    calls = context.metrics.read('platform_calls', 'range') - before
    assert calls >= pages, calls


@behave.when('a key-value key is written under a lease of {seconds:g} seconds')
def write_leased(context, seconds):
    context.lease = context.key_value.grant(seconds)
    context.key_value.put('leased', b'x', lease=context.lease)


@behave.then('the key-value key is deleted when its lease ends')
def check_lease_end(context):
    assert context.key_value.renew(context.lease)
    with _limit_time():
        while context.key_value.get('leased') is not None:
            gevent.sleep(0.05)
    assert not context.key_value.renew(context.lease)


@behave.given('the instance "{name}" lists itself in the store')
def list_instance(context, name):
    context.listing = instances.StoredInstances(
        context.key_value._settings, context.key_value
    )
    listing = gevent.spawn(context.listing.keep_listed, _build_member(name))
    context.add_cleanup(listing.kill)


def _build_member(name):
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:7000',
        failure_domain='hn-a',
        region='vn-north',
    )


def _count_calls(context):
    return context.service.call('/standin/calls')['total']


@behave.when('the instance "{name}" restarts and reads the store')
def restart_instance(context, name):
    context.calls = _count_calls(context)
    listing = instances.StoredInstances(
        context.key_value._settings, context.key_value, has_follower=True
    )
    listing.replace_entries(context.key_value.read_prefix(listing.prefix))
    listing_task = gevent.spawn(listing.keep_listed, _build_member(name))
    context.add_cleanup(listing_task.kill)


@behave.then(
    'the restarted instance renews the lease of its entry and writes nothing'
)
def check_renewed(context):
    with _limit_time():
        while not _count_calls(context).get('renewal'):
            gevent.sleep(0.02)
    calls = _count_calls(context)
    for kind in ('lease', 'txn'):
        assert calls.get(kind) == context.calls.get(kind), calls


@behave.given('instance entries that can not be decoded')
def write_unreadable(context):
    for number, value in enumerate((b'\xff', b'[]', b'{"address": 5}')):
        context.key_value.put(f'/amaranthslip/instances/{number}', value)


@behave.then('the instance list contains only "{name}"')
def check_instance_list(context, name):
    with _limit_time():
        while not (listed := context.listing.read()):
            gevent.sleep(0.02)
    assert [each.name for each in listed] == [name], listed


@behave.then('reading the instance list raises PlatformUnavailable')
def check_list_outage(context):
    try:
        context.listing.read()
    except errors.PlatformUnavailable:
        return
    raise AssertionError('the instance list was read without an error')
