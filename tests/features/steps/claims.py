"""Steps about claims of idempotency keys."""

import itertools
import time

import behave
import gevent
from hypothesis import stateful

from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.platform import keyvalue
from amaranthslip.requests import claim_keys
from amaranthslip.requests import claim_messages
from amaranthslip.requests import claim_records
from amaranthslip.requests import claims
from tests.support import claim_fleet
from tests.support import claim_machine
from tests.support import standins

_ACCOUNT = 'plant-1'
_BODY = claim_keys.hash_request(b'body')
_INTERVAL_SECONDS = 0.002
_TIMEOUT_SECONDS = claim_fleet.TIMEOUT_SECONDS


class Attempt:
    """One attempt to claim a key: the granted claim or the error reason."""

    def __init__(self, instance, key, body=_BODY):
        self.instance = instance
        self.granted = None
        self.reason = ''
        try:
            self.granted = instance.claim(_ACCOUNT, key, body)
        except (
            errors.RequestRefused,
            errors.RequestRepeated,
            errors.OutcomeUnknown,
        ) as error:
            self.reason = error.reason


def _claim_all(pairs):
    tries = [gevent.spawn(Attempt, *pair) for pair in pairs]
    gevent.joinall(tries, timeout=_TIMEOUT_SECONDS, raise_error=True)
    return [each.get(block=False) for each in tries]


def _start_fleet(context, count, **options):
    context.fleet = claim_fleet.Fleet(**options)
    context.add_cleanup(context.fleet.close)
    for number in range(count):
        context.fleet.start(f'poa-a-{number}')


def _list_instances(context):
    return list(context.fleet.instances.values())


def _list_running_non_collectors(context, key):
    collector = context.fleet.find_collector(key)
    return [
        instance
        for name, instance in context.fleet.instances.items()
        if name != collector and name not in context.fleet.paused
    ]


@behave.given('a claim fleet with {count:d} instances')
def start_fleet(context, count):
    _start_fleet(context, count)


@behave.given(
    'a claim fleet with {count:d} instances that group claims for'
    ' {seconds:f} seconds'
)
def start_grouping_fleet(context, count, seconds):
    values = {
        'platform': {'timeout_seconds': 5.0},
        'claims': {'shards': 2, 'group_seconds': seconds},
    }
    _start_fleet(context, count, settings_=claim_fleet.read_settings(**values))


@behave.given('a claim fleet with a window of {seconds:d} seconds')
def start_windowed_fleet(context, seconds):
    context.now = 1_800_000_000.0
    values = {'claims': {'window_seconds': seconds}}
    _start_fleet(
        context,
        2,
        settings_=claim_fleet.read_settings(**values),
        clock=lambda: context.now,
    )


@behave.given('the next claim swap has the fault "{fault}"')
def set_swap_fault(context, fault):
    # The first swap writes the layout and must succeed.
    context.fleet.store.faults.extend(['', fault])


@behave.given('all swaps of the next claim have the fault "{fault}"')
def set_all_swap_faults(context, fault):
    if not context.fleet.store.swap_count:
        context.fleet.store.faults.append('')
    context.fleet.store.faults.extend([fault] * 1000)


@behave.when('the claim swaps have no more faults')
def clear_swap_faults(context):
    context.fleet.store.faults.clear()


@behave.when('the service processes the delayed claim swaps')
def process_delayed_swaps(context):
    assert context.fleet.store.delayed_swaps
    context.fleet.store.process_delayed_swaps()


@behave.given('the key-value service of the claims is down')
def stop_service(context):
    context.fleet.store.down = True


@behave.when('the key-value service of the claims is up')
def start_service(context):
    context.fleet.store.down = False


@behave.given('the collector of "{key}" has stopped')
def crash_collector(context, key):
    context.fleet.crash(context.fleet.find_collector(key))


@behave.given('the collector of "{key}" has read its shard and is paused')
def pause_collector(context, key):
    name = context.fleet.find_collector(key)
    context.collector = name
    warm_up = Attempt(context.fleet.instances[name], 'warm-up')
    assert warm_up.granted
    context.fleet.pause(name)


@behave.when('the collector of "{key}" resumes')
def resume_collector(context, key):
    context.fleet.resume(context.collector)
    # Claims that are still queued at the collector are written with its next
    # group.
    assert Attempt(context.fleet.instances[context.collector], 'next').granted
    context.fleet.drain()


@behave.given('the claims of "{name}" are paused')
def pause_claims(context, name):
    assert Attempt(context.fleet.instances[name], 'warm-up').granted
    context.fleet.pause(name)


@behave.when('the claims of "{name}" resume')
def resume_claims(context, name):
    context.fleet.resume(name)


@behave.when('a caller claims "{key}" and disconnects')
def claim_and_disconnect(context, key):
    caller = gevent.spawn(Attempt, _list_instances(context)[0], key)
    gevent.sleep(0.02)
    caller.kill()


@behave.when('the key "{key}" is claimed at {count:d} instances at once')
def claim_at_once(context, key, count):
    # Instances that are not the collector of the shard are used first.
    instances = _list_running_non_collectors(context, key) or _list_instances(
        context
    )
    instances += [
        instance
        for name, instance in context.fleet.instances.items()
        if instance not in instances and name not in context.fleet.paused
    ]
    context.attempts = _claim_all(
        (instance, key) for instance in instances[:count]
    )


@behave.when('{count:d} keys are claimed at all instances one by one')
def claim_many(context, count):
    instances = itertools.cycle(_list_instances(context))
    tries = [
        gevent.spawn_later(
            number * _INTERVAL_SECONDS,
            Attempt,
            next(instances),
            f'key-{number}',
        )
        for number in range(count)
    ]
    gevent.joinall(tries, timeout=_TIMEOUT_SECONDS, raise_error=True)
    context.attempts = [each.get(block=False) for each in tries]


@behave.then('all {count:d} claims were granted')
def check_all_granted(context, count):
    granted = [each for each in context.attempts if each.granted]
    assert len(granted) == count, [each.reason for each in context.attempts]


@behave.then('the claims took at most {count:d} swaps')
def check_swaps(context, count):
    assert context.fleet.store.swap_count <= count, (
        context.fleet.store.swap_count
    )


@behave.then(
    'exactly 1 claim was granted and {count:d} failed with "{reason}"'
)
def check_one_granted(context, count, reason):
    granted = [each for each in context.attempts if each.granted]
    reasons = [each.reason for each in context.attempts if each.reason]
    assert len(granted) == 1, reasons
    assert reasons == [reason] * count, reasons
    context.granted = granted[0]


@behave.then('no claim was granted and {count:d} failed with "{reason}"')
def check_none_granted(context, count, reason):
    reasons = [each.reason for each in context.attempts]
    assert reasons == [reason] * count, reasons


@behave.when('the granted claim is settled as done')
def settle_done(context):
    _settle(context, claims.ClaimState.DONE)


@behave.when('the granted claim is settled as not run')
def settle_not_run(context):
    _settle(context, claims.ClaimState.NOT_RUN)


@behave.when(
    'the granted claim is settled as not run through the other instance'
)
def settle_elsewhere(context):
    context.fleet.set_live_members({'poa-a-0'}, at='poa-a-1')
    _settle(context, claims.ClaimState.NOT_RUN)
    context.fleet.set_live_members({'poa-a-1'}, at='poa-a-1')


def _settle(context, state):
    (granted,) = [each for each in context.attempts if each.granted]
    granted.granted.settle(state)
    assert granted.instance.drain(_TIMEOUT_SECONDS)


@behave.when('all settlements are stored')
def store_settlements(context):
    context.fleet.drain()


@behave.when('the settlements of the running instances are stored')
def store_running_settlements(context):
    for name, instance in context.fleet.instances.items():
        if name not in context.fleet.paused:
            assert instance.drain(_TIMEOUT_SECONDS)


@behave.when('the key "{key}" is claimed again')
def claim_again(context, key):
    context.again = Attempt(_list_instances(context)[-1], key)


@behave.then('the key "{key}" is granted within the time limit')
def claim_until_granted(context, key):
    # The late grant is sent to the owner of the claim, which withdraws it.
    ends = time.monotonic() + _TIMEOUT_SECONDS
    claim_again(context, key)
    while not context.again.granted and time.monotonic() < ends:
        assert context.again.reason == 'in_progress', context.again.reason
        gevent.sleep(0.05)
        claim_again(context, key)
    check_granted(context)


@behave.when('the key "{key}" is claimed again with another body')
def claim_with_other_body(context, key):
    instance = _list_instances(context)[-1]
    context.again = Attempt(instance, key, claim_keys.hash_request(b'other'))


@behave.then('the claim is granted')
def check_granted(context):
    assert context.again.granted, context.again.reason


@behave.then('the claim fails with "{reason}"')
def check_reason(context, reason):
    assert context.again.reason == reason, context.again.reason


@behave.then('a delayed withdrawal leaves the claim done')
def check_late_settlement(context):
    (granted,) = [each.granted for each in context.attempts if each.granted]
    late = claim_messages.ClaimSettlement(
        key_hash=granted.key_hash,
        claim_id=granted.claim_id,
        state=claims.ClaimState.NOT_RUN,
    )
    for instance in _list_instances(context):
        instance.receive('poa-a-9', late)
    # The settlement is queued until the next group, which a claim starts.
    assert Attempt(_list_instances(context)[0], 'group').granted
    claim_again(context, 'b-1')
    check_reason(context, 'already_done')


@behave.given('each instance considers itself the only live instance')
def isolate_instances(context):
    for name in context.fleet.instances:
        context.fleet.set_live_members({name}, at=name)


@behave.when('the instance of the granted claim has left the fleet')
def remove_instance(context):
    (granted,) = context.attempts
    (name,) = [
        name
        for name, instance in context.fleet.instances.items()
        if instance is granted.instance
    ]
    context.fleet.crash(name)
    context.fleet.set_live_members(set(context.fleet.rosters) - {name})


def _make_key(context):
    # RFC 9562: 48 bits of Unix milliseconds, version 7, variant 2.
    milliseconds = int(context.now * 1000)
    return f'{milliseconds:012x}70008000000000000001'


@behave.when('a UUIDv7 key is claimed and settled as done')
def claim_dated_key(context):
    context.key = _make_key(context)
    attempt = Attempt(_list_instances(context)[0], context.key)
    attempt.granted.settle(claims.ClaimState.DONE)
    context.fleet.drain()


@behave.when('the clock of the claims advances by {seconds:d} seconds')
def pass_time(context, seconds):
    context.now += seconds


@behave.when('the UUIDv7 key is claimed again')
def claim_dated_key_again(context):
    claim_again(context, context.key)


@behave.then(
    'the claim shard contains {count:d} old records after another claim'
)
def check_records(context, count):
    assert Attempt(_list_instances(context)[0], 'another').granted
    entry = context.fleet.store.entries['/amaranthslip/claims/0']
    shard = claim_records.read_shard(entry.value, entry.revision)
    assert len(shard) == count + 1, len(shard)


@behave.given('a claim fleet whose shard is full')
def start_full_fleet(context):
    _start_fleet(context, 1)
    now = context.fleet.clock()
    shard = claim_records.Shard(0)
    for number in range(claim_records.MAX_RECORDS):
        record = claim_records.Record(
            key_hash=claim_keys.hash_key(_ACCOUNT, f'old-{number}'),
            claim_id=number + 1,
            fingerprint=_BODY,
            claimed_at=int(now),
            owner=1,
            state=claim_messages.ClaimState.DONE,
        )
        shard.put(record)
    value = shard.pack()
    assert len(value) < keyvalue.MAX_VALUE_BYTES
    context.fleet.store.apply('/amaranthslip/claims/0', value, 0)


@behave.then('the full shard still reports "{reason}" for its first key')
def check_full_shard(context, reason):
    claim_again(context, 'old-0')
    check_reason(context, reason)


@behave.when('an instance with {shards:d} shards claims "{key}"')
def claim_with_other_layout(context, shards, key):
    values = {'claims': {'shards': shards}}
    context.fleet.start(
        'poa-b-9', settings_=claim_fleet.read_settings(**values)
    )
    context.again = Attempt(context.fleet.instances['poa-b-9'], key)


@behave.when("the state of the claims' service is saved")
def save_service(context):
    context.saved = dict(context.fleet.store.entries)
    context.saved_revision = context.fleet.store.revision


@behave.when("the state of the claims' service is restored")
def restore_service(context):
    context.fleet.store.entries = context.saved
    context.fleet.store.revision = context.saved_revision


@behave.given('a claim fleet over a key-value program that loses answers')
def start_http_fleet(context):
    service = standins.start(context, 'keyvalue')
    service.call('/standin/faults', mode='lose_some', fraction=0.5)
    settings_ = claim_fleet.read_settings(
        platform={'key_value': service.url, 'timeout_seconds': 2.0},
        claims={'shards': 2, 'group_seconds': 0.01},
    )

    def open_key_value():
        client = keyvalue.KeyValue(settings_, metrics.Metrics())
        context.add_cleanup(client.close)
        return client

    _start_fleet(
        context, 4, settings_=settings_, open_key_value=open_key_value
    )


@behave.when(
    '{count:d} keys are each claimed at all {instances:d} instances at once'
)
def claim_everywhere(context, count, instances):
    context.by_key = {
        f'key-{number}': gevent.spawn(
            _claim_all,
            [
                (instance, f'key-{number}')
                for instance in _list_instances(context)
            ],
        )
        for number in range(count)
    }
    gevent.joinall(list(context.by_key.values()), raise_error=True)


@behave.then('no key was granted twice and every refusal was correct')
def check_everywhere(context):
    total = 0
    for key, attempts in context.by_key.items():
        attempts = attempts.get()
        granted = [each for each in attempts if each.granted]
        reasons = {each.reason for each in attempts if each.reason}
        assert len(granted) <= 1, key
        assert reasons <= {'in_progress', 'claims_unavailable'}, reasons
        assert granted or 'in_progress' not in reasons, (key, reasons)
        total += len(granted)
    assert total > len(context.by_key) / 2, total


@behave.given('a state machine of claims under faults')
def build_machine(context):
    context.machine = claim_machine.ClaimMachine


@behave.when(
    'the claim state machine runs {examples:d} examples of {steps:d} steps'
)
def run_machine(context, examples, steps):
    context.result_counts = claim_machine.RESULT_COUNTS
    context.result_counts.clear()
    stateful.run_state_machine_as_test(
        context.machine,
        settings=claim_machine.choose_settings(examples, steps),
    )


@behave.then('the claim state machine passed and produced each main result')
def check_machine(context):
    counts = context.result_counts
    # The examples must have produced each of these results.
    for result in ('granted', 'in_progress', 'already_done', 'refused'):
        assert counts[result], counts
