"""Steps for the acceptance of versions in the key-value service."""

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
    """Submit as "lan" after `prepare` has injected faults in the client."""
    client, writer_store = _connect(context)
    prepare(client)
    changed = configured.change_share(context.values, account, share)
    context.result = context.error = None
    try:
        context.result = submission.Submission(writer_store).submit(
            changed, base=1, author='lan'
        )
    except errors.AmaranthslipError as error:
        context.error = error


def _run_before_swap(action):
    """Return a `prepare` that runs `action` before the next manifest swap."""

    def prepare(client):
        def hook(method, key):
            if method == 'swap' and key.endswith('/manifest'):
                client.hook = lambda method, key: None
                action()

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


def _list_referenced(context):
    stored = context.store.read_manifest()
    referenced = set()
    for each in stored.manifest.list_versions():
        data = context.store.fetch([each.index])[each.index]
        index = store.manifests.decode_index(each.index, data)
        referenced |= {each.index, *index.digests}
    return referenced


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
    'writer "lan" pauses before the manifest swap while "bot" gets share 7 '
    'for "sao-mai" accepted'
)
def race_writers(context):
    def action():
        _submit(context, 'bot', 'sao-mai', 7)

    _submit_with(context, _run_before_swap(action))


@behave.when(
    'writer "lan" submits share 9 for "co-lan" and the answer to its swap is '
    'lost {times:d} times'
)
def lose_swap_answers(context, times):
    _submit_with(context, lambda client: setattr(client, 'lose_after', times))


@behave.when(
    'writer "lan" submits share 9 for "co-lan" and its swap is lost '
    '{times:d} times before taking effect'
)
def lose_swaps(context, times):
    _submit_with(context, lambda client: setattr(client, 'lose_before', times))


@behave.when(
    'writer "lan" loses its swap and "bot" gets share 7 for "sao-mai" '
    'accepted before the retry'
)
def accept_before_retry(context):
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


@behave.when(
    'writer "lan" is terminated between writing the parts and the manifest'
)
def terminate_writer(context):
    def action():
        raise gevent.GreenletExit

    writer = gevent.spawn(_submit_with, context, _run_before_swap(action))
    writer.join()
    assert context.result is None


@behave.when('a collection with a grace period of an hour runs twice')
def collect_early(context):
    collector = collection.Collector(context.store, metrics.Metrics())
    assert collector.collect() == 0
    assert collector.collect() == 0


@behave.when(
    'writer "lan" pauses before the manifest swap and all unreferenced parts '
    'are collected'
)
def collect_during_pause(context):
    def action():
        assert _collect(context) > 0

    _submit_with(context, _run_before_swap(action))


@behave.given('an unreferenced part for share 9 of "co-lan"')
def leave_unreferenced_part(context):
    terminate_writer(context)


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
    'that conflict shows "{accepted}" as accepted and "{submitted}" in the '
    'difference'
)
def check_differences(context, accepted, submitted):
    changed = [each.name for each in context.error.changes_since_base.changes]
    assert changed == [accepted], changed
    names = {each.name for each in context.error.difference.changes}
    assert names == {accepted, submitted}, names


@behave.then('the store holds the complete version {version:d} by "{author}"')
def check_store(context, version, author):
    manifest = context.store.read_manifest().manifest
    assert manifest.version == version, manifest.version
    assert manifest.accepted.author == author, manifest.accepted.author
    loaded = context.store.load(manifest)
    assert loaded.document.version == version
    assert len(loaded.document.client_accounts) == 16


@behave.then(
    'the submission of writer "lan" is accepted as version {version:d}'
)
def check_accepted(context, version):
    assert context.error is None, context.error
    assert context.result.version == version
    account = context.result.document.client_accounts['co-lan']
    assert account.share == 9


@behave.then('the store\'s history is "{expected}"')
def check_history(context, expected):
    versions = context.store.read_manifest().manifest.list_versions()
    history = ', '.join(f'{each.author}:{each.version}' for each in versions)
    assert history == expected, history


@behave.then('the submission of writer "lan" has an unknown outcome')
def check_unknown(context):
    assert isinstance(context.error, errors.ConfigurationOutcomeUnknown)
    assert context.error.submission in str(context.error)


@behave.then(
    'once the service is available again the history shows that submission '
    'as version {version:d}'
)
def check_submission(context, version):
    context.service.down = False
    manifest = context.store.read_manifest().manifest
    found = manifest.find_submission(context.error.submission)
    assert found.version == version


@behave.then('the submission of writer "lan" is refused for "{reason}"')
def check_refused(context, reason):
    assert isinstance(context.error, errors.ConfigurationRefused)
    assert context.error.reason == reason


@behave.then('the store holds parts that no version references')
def check_unreferenced(context):
    assert _list_parts(context) - _list_referenced(context)


@behave.then(
    'a collection after the grace period leaves only parts that a version '
    'references'
)
def check_collected(context):
    assert _collect(context) > 0
    assert _list_parts(context) == _list_referenced(context)


@behave.given(
    'versions 2 and 3 were accepted and are in force, and the service was '
    'restored to version 1'
)
def restore_service(context):
    backup = context.service.snapshot()
    _submit(context, 'lan', 'co-lan', 2, base=1)
    newest = _submit(context, 'lan', 'co-lan', 3, base=2)
    context.holder = holder.Holder()
    context.holder.apply(newest.document)
    context.service.restore(backup)


@behave.when('a router submits with base version {base:d}')
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
        raise AssertionError('a version with a damaged part was loaded')


def _measure_calls(context, name, action):
    context.service.calls.clear()
    context.service.bytes = 0
    started = time.monotonic()
    result = action()
    seconds = time.monotonic() - started
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

    first, _ = _measure_calls(context, 'first submission', lambda: submit(0))
    values['client_accounts'][count // 2]['share'] = 99
    second, context.calls = _measure_calls(
        context, 'change', lambda: submit(1)
    )
    context.new_parts = second.parts.keys() - first.parts.keys()
    _, context.complete_read_calls = _measure_calls(
        context, 'complete read', lambda: context.store.load(second.manifest)
    )
    _, context.read_calls = _measure_calls(
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


@behave.then('an instance with the previous version read {count:d} values')
def check_read(context, count):
    assert sum(context.read_calls.values()) == count, context.read_calls
    assert sum(context.complete_read_calls.values()) <= 17, (
        context.complete_read_calls
    )


@behave.when('random operations are run against a store of versions')
def run_machine(context):
    stateful.run_state_machine_as_test(
        store_machine.StoreMachine, settings=store_machine.SETTINGS
    )


@behave.then('no version was accepted twice, reverted or applied partially')
def check_machine(context):
    accepted_count = store_machine.StoreMachine.accepted
    print(f'{accepted_count} versions accepted in total')
    assert accepted_count > 100, (
        'too few versions were accepted for a meaningful result'
    )
