"""Steps about accepting versions in the key-value service."""

import time

import behave
import gevent
from hypothesis import stateful

from amaranthslip.configuration import collection
from amaranthslip.configuration import holder
from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip import errors
from amaranthslip import metrics
from tests.support import configured
from tests.support import documents
from tests.support import fake_keyvalue
from tests.support import store_machine


def _connect(context):
    client = context.service.connect()
    return client, store.Store(configured.build_settings(), client)


def _submit(context, author, account, share, base=1):
    changed = configured.change_share(context.values, account, share)
    writer = submission.Submission(_connect(context)[1])
    return writer.submit(changed, base=base, author=author)


def _submit_with(context, prepare, account='co-lan', share=9):
    """Submit as "lan" once `prepare` has set up its client's faults."""
    client, lans_store = _connect(context)
    prepare(client)
    changed = configured.change_share(context.values, account, share)
    context.result = context.error = None
    try:
        context.result = submission.Submission(lans_store).submit(
            changed, base=1, author='lan'
        )
    except errors.AmaranthslipError as error:
        context.error = error


def _before_manifest(act):
    """Return a preparation that acts once, before the manifest's swap."""

    def prepare(client):
        def hook(method, key):
            if method == 'swap' and key.endswith('/manifest'):
                client.hook = lambda method, key: None
                act()

        client.hook = hook

    return prepare


def _collect(context, grace_seconds=0.0):
    collector = collection.Collector(
        _connect(context)[1],
        metrics.Metrics(),
        grace_seconds=grace_seconds,
    )
    return collector.collect()


def _list_parts(context):
    return {
        key.rpartition('/')[2]
        for key in context.service.entries
        if '/parts/' in key
    }


def _list_named(context):
    stored = context.store.read_manifest()
    named = set()
    for each in stored.manifest.list_versions():
        data = context.store.fetch([each.index])[each.index]
        index = store.manifests.decode_index(each.index, data)
        named |= {each.index, *index.digests}
    return named


@behave.given('an empty store')
def make_store(context):
    context.service = fake_keyvalue.FakeKeyValue()
    context.client, context.store = _connect(context)


@behave.given("a store whose version 1 is the consortium's document")
def fill_store(context):
    make_store(context)
    context.values = configured.read_consortium()
    writer = submission.Submission(context.store)
    writer.submit(context.values, base=0, author='first')


@behave.when(
    'writer "lan" submits share 9 for "co-lan" while "bot" gets share 7 for '
    '"sao-mai" accepted'
)
@behave.when(
    'writer "lan" pauses before the manifest while "bot" gets share 7 for '
    '"sao-mai" accepted'
)
def race_writers(context):
    def act():
        _submit(context, 'bot', 'sao-mai', 7)

    _submit_with(context, _before_manifest(act))


@behave.when(
    'writer "lan" submits share 9 for "co-lan" and its swap\'s answer is '
    'lost {times:d} times'
)
def lose_answers(context, times):
    _submit_with(context, lambda client: setattr(client, 'lose_after', times))


@behave.when(
    'writer "lan" submits share 9 for "co-lan" and its swap is lost '
    '{times:d} times on the way'
)
def lose_swaps(context, times):
    _submit_with(context, lambda client: setattr(client, 'lose_before', times))


@behave.when(
    'writer "lan" loses its swap and "bot" gets share 7 for "sao-mai" '
    'accepted before the next try'
)
def overtake_writer(context):
    def prepare(client):
        client.lose_before = 1
        swaps = []

        def hook(method, key):
            if method == 'swap' and key.endswith('/manifest'):
                swaps.append(key)
                if len(swaps) == 2:
                    _submit(context, 'bot', 'sao-mai', 7)

        client.hook = hook

    _submit_with(context, prepare)


@behave.when(
    'writer "lan" submits share 9 for "co-lan" and the service goes down '
    'after the swap'
)
def lose_service(context):
    _submit_with(context, lambda client: setattr(client, 'lose_service', True))


@behave.when(
    'writer "lan" submits share 9 for "co-lan" while the service is down'
)
def submit_while_down(context):
    context.service.down = True
    _submit_with(context, lambda client: None)
    context.service.down = False


@behave.when('writer "lan" dies between its parts and the manifest')
def kill_writer(context):
    def act():
        raise gevent.GreenletExit

    writer = gevent.spawn(_submit_with, context, _before_manifest(act))
    writer.join()
    assert context.result is None


@behave.when('a collection with an hour of grace runs twice')
def collect_early(context):
    collector = collection.Collector(context.store, metrics.Metrics())
    assert collector.collect() == 0
    assert collector.collect() == 0


@behave.when(
    'writer "lan" pauses before the manifest and all unreferenced parts are '
    'collected'
)
def collect_during_pause(context):
    def act():
        assert _collect(context) > 0

    _submit_with(context, _before_manifest(act))


@behave.given('an abandoned part for share 9 of "co-lan"')
def abandon_part(context):
    kill_writer(context)


@behave.when(
    'writer "lan" submits share 9 for "co-lan" just before the collector '
    'deletes'
)
def submit_before_delete(context):
    client, slow_store = _connect(context)

    def hook(method, key):
        if method == 'delete':
            client.hook = lambda method, key: None
            _submit_with(context, lambda client: None)

    client.hook = hook
    collector = collection.Collector(
        slow_store, metrics.Metrics(), grace_seconds=0
    )
    collector.collect()


@behave.then(
    'writer "lan" gets a conflict between base {base:d} and version '
    '{current:d}'
)
def check_conflict(context, base, current):
    error = context.error
    assert isinstance(error, errors.ConfigurationConflict), error
    assert (error.base, error.current) == (base, current), error
    assert f'version {base}' in str(error), error
    assert f'version {current}' in str(error), error


@behave.then(
    'that conflict shows "{theirs}" as theirs and "{mine}" in the difference'
)
def check_differences(context, theirs, mine):
    changed = [each.name for each in context.error.theirs.changes]
    assert changed == [theirs], changed
    names = {each.name for each in context.error.difference.changes}
    assert names == {theirs, mine}, names


@behave.then('the store holds version {version:d} by "{author}", whole')
def check_store(context, version, author):
    manifest = context.store.read_manifest().manifest
    assert manifest.version == version, manifest.version
    assert manifest.accepted.author == author, manifest.accepted.author
    loaded = context.store.load(manifest)
    assert loaded.document.version == version
    assert len(loaded.document.client_accounts) == 16


@behave.then('writer "lan" is told that version {version:d} was accepted')
def check_accepted(context, version):
    assert context.error is None, context.error
    assert context.result.version == version
    account = context.result.document.client_accounts['co-lan']
    assert account.share == 9


@behave.then('the store\'s history is "{expected}"')
def check_history(context, expected):
    known = context.store.read_manifest().manifest.list_versions()
    shown = ', '.join(f'{each.author}:{each.version}' for each in known)
    assert shown == expected, shown


@behave.then('writer "lan" is told that the outcome is unknown')
def check_unknown(context):
    assert isinstance(context.error, errors.ConfigurationUnknown)
    assert context.error.submission in str(context.error)


@behave.then(
    'once the service is back the history shows that submission as version '
    '{version:d}'
)
def check_submission(context, version):
    context.service.down = False
    manifest = context.store.read_manifest().manifest
    found = manifest.find_submission(context.error.submission)
    assert found.version == version


@behave.then('writer "lan" is refused for "{reason}"')
def check_refused(context, reason):
    assert isinstance(context.error, errors.ConfigurationRefused)
    assert context.error.reason == reason


@behave.then('the store keeps parts that no version names')
def check_abandoned(context):
    assert _list_parts(context) - _list_named(context)


@behave.then(
    'a collection after the grace period leaves only parts that a version '
    'names'
)
def check_collected(context):
    assert _collect(context) > 0
    assert _list_parts(context) == _list_named(context)


@behave.given(
    'versions 2 and 3 were accepted and are in force, and the service was '
    'restored to version 1'
)
def restore_service(context):
    saved = context.service.snapshot()
    _submit(context, 'lan', 'co-lan', 2, base=1)
    newest = _submit(context, 'lan', 'co-lan', 3, base=2)
    context.holder = holder.Holder()
    context.holder.apply(newest.document)
    context.service.restore(saved)


@behave.when('a router submits on top of version {base:d}')
def submit_from_router(context, base):
    router = submission.Submission(context.store, holder=context.holder)
    changed = configured.change_share(context.values, 'sao-mai', 5)
    context.error = None
    try:
        router.submit(changed, base=base, author='router')
    except errors.ConfigurationConflict as error:
        context.error = error


@behave.then("the router's submission is a conflict with version {current:d}")
def check_router_conflict(context, current):
    assert context.error.current == current


@behave.when('a stored part is overwritten with other bytes')
def damage_part(context):
    manifest = context.store.read_manifest().manifest
    index = context.store.load(manifest).index
    key = f'/amaranthslip/configuration/parts/{index.digests[-1]}'
    other = context.store.fetch([index.digests[0]])[index.digests[0]]
    context.service.write(key, other)


@behave.then('loading version 1 reports damage')
def check_damage(context):
    manifest = context.store.read_manifest().manifest
    try:
        context.store.load(manifest)
    except errors.ConfigurationDamaged as damage:
        assert 'another digest' in str(damage), damage
    else:
        raise AssertionError('damaged content was loaded')


def _measure(context, name, act):
    context.service.calls.clear()
    context.service.bytes = 0
    began = time.monotonic()
    result = act()
    seconds = time.monotonic() - began
    calls = dict(context.service.calls)
    print(f'{name}: {calls}, {context.service.bytes} bytes, {seconds:.2f} s')
    return result, calls


@behave.when(
    'a document of {count:d} client accounts is accepted, and then a change '
    'of one'
)
def publish_large(context, count):
    writer = submission.Submission(context.store)
    values = documents.build_large(count)

    def submit(base):
        return writer.submit(values, base=base, author='bot')

    first, _ = _measure(context, 'first submission', lambda: submit(0))
    values['client_accounts'][count // 2]['share'] = 99
    second, context.calls = _measure(context, 'change', lambda: submit(1))
    context.new_parts = second.parts.keys() - first.parts.keys()
    _, context.whole_calls = _measure(
        context, 'whole read', lambda: context.store.load(second.manifest)
    )
    _, context.read_calls = _measure(
        context,
        'read of the change',
        lambda: context.store.load(second.manifest, previous=first),
    )


@behave.then('every stored value is under a megabyte')
def check_values(context):
    sizes = [len(each.value) for each in context.service.entries.values()]
    print(f'{len(sizes)} values, the largest of {max(sizes)} bytes')
    assert max(sizes) < 1024 * 1024


@behave.then('the change wrote 1 part of accounts, the index and the manifest')
def check_change(context):
    assert len(context.new_parts) == 1, context.new_parts
    assert context.calls['swap'] == 3, context.calls


@behave.then('an instance that had the version before read {count:d} values')
def check_read(context, count):
    assert sum(context.read_calls.values()) == count, context.read_calls
    assert sum(context.whole_calls.values()) <= 17, context.whole_calls


@behave.when('random steps are taken against a store of versions')
def run_machine(context):
    stateful.run_state_machine_as_test(
        store_machine.StoreMachine, settings=store_machine.SETTINGS
    )


@behave.then('no version was accepted twice, reverted or half applied')
def check_machine(context):
    ran = store_machine.StoreMachine.accepted
    print(f'{ran} versions accepted in all')
    assert ran > 100, 'the steps accepted too little to show anything'
