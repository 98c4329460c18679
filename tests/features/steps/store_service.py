"""Steps for the store on the stand-in key-value service over HTTP."""

import time

import behave
import gevent

from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip import metrics
from amaranthslip.platform import keyvalue
from tests.support import configured
from tests.support import documents
from tests.support import standins


def _connect(context):
    url = context.service.url
    settings = configured.build_settings(platform={'key_value': url})
    client = keyvalue.KeyValue(settings, metrics.Metrics())
    context.add_cleanup(client.close)
    return store.Store(settings, client, backoff_seconds=0.02)


@behave.given('the stand-in key-value service and a store on it')
def start_service(context):
    context.service = standins.start(context, 'keyvalue')
    context.store = _connect(context)


@behave.when(
    'a document of {count:d} client accounts and a change are submitted over '
    'HTTP'
)
def submit_large(context, count):
    context.values = documents.build_large(count)
    context.writer = submission.Submission(context.store)
    for base in (0, 1):
        started = time.monotonic()
        context.snapshot = context.writer.submit(
            context.values, base=base, author='bot'
        )
        print(f'version {base + 1}: {time.monotonic() - started:.2f} s')
        context.values['client_accounts'][7]['share'] = 50


@behave.then('another store reads the complete change over HTTP')
def read_large(context):
    other = _connect(context)
    started = time.monotonic()
    loaded = other.load(other.read_manifest().manifest)
    print(f'complete read: {time.monotonic() - started:.2f} s')
    assert loaded.version == 2
    accounts = loaded.document.client_accounts
    assert len(accounts) == len(context.values['client_accounts'])
    assert accounts['account-7'].share == 50


@behave.then(
    'a watch over HTTP reports version {version:d} once it is accepted'
)
def watch_large(context, version):
    watch_store = _connect(context)
    with watch_store.watch_manifests() as manifests_written:
        first_manifest = gevent.spawn(next, manifests_written)
        context.values['client_accounts'][8]['share'] = 51
        context.writer.submit(context.values, base=version - 1, author='bot')
        assert first_manifest.get(timeout=60).version == version


@behave.when(
    'the service loses half of its answers and {count:d} versions are '
    'submitted over HTTP'
)
def submit_with_losses(context, count):
    context.service.call('/standin/faults', mode='lose_some', fraction=0.5)
    writer = submission.Submission(context.store)
    values = documents.read_example('patrimonio')
    context.submissions = []
    for base in range(count):
        changed = configured.change_share(values, 'frota', base + 1)
        accepted = writer.submit(
            changed, base=base, author='bot', submission=f'submission-{base}'
        )
        context.submissions.append(accepted.manifest.accepted.submission)
    context.service.call('/standin/faults', mode='up')


@behave.then(
    'each submission over HTTP is accepted, and the history lists each once'
)
def check_submissions(context):
    versions_listed = context.store.read_manifest().manifest.list_versions()
    found = [each.submission for each in reversed(versions_listed)]
    assert found == context.submissions, found
    versions = [each.version for each in reversed(versions_listed)]
    assert versions == list(range(1, len(found) + 1)), versions
