"""Steps for configuration documents, their validation and the holder."""

import json
import re

import behave
import gevent

from amaranthslip.configuration import document
from amaranthslip.configuration import holder
from amaranthslip.configuration import validation
from amaranthslip import errors
from amaranthslip import identity
from tests.support import documents


@behave.when('the example document of "{deployment}" is validated')
def validate_example(context, deployment):
    context.document = validation.validate(documents.read_example(deployment))


@behave.then(
    'the document has {accounts:d} client accounts and {servers:d} '
    'backend servers'
)
def check_counts(context, accounts, servers):
    assert len(context.document.client_accounts) == accounts
    assert len(context.document.backend_servers) == servers


@behave.then('the bearer key "{key}" belongs to "{name}"')
def check_key(context, key, name):
    account = context.document.client_accounts[name]
    assert documents.hash_key(key.removeprefix('key-')) in account.keys


@behave.given('the {deployment} document with these document mistakes')
def insert_mistakes(context, deployment):
    context.values = documents.read_example(deployment)
    for row in context.table:
        match = re.fullmatch(r'(\w+)\[(\d+)](?:\.(\w+))?', row['path'])
        section, index, field = match.groups()
        value = json.loads(row['value'])
        if field is None:
            context.values[section][int(index)] = value
        else:
            context.values[section][int(index)][field] = value


@behave.given('the consorcio document in which two accounts have the same key')
def duplicate_key(context):
    context.values = documents.read_example('consorcio')
    first, second = context.values['client_accounts'][:2]
    second['keys'] = first['keys']


@behave.given(
    'the consorcio document whose first plain kind matches every request'
)
def put_broad_kind_first(context):
    context.values = documents.read_example('consorcio')
    kind = {'name': 'anything', 'service': 'cho-hoc-app'}
    context.values['request_kinds'].insert(3, kind)


@behave.given(
    'the consorcio document in which two account names have the same number'
)
def make_number_collision(context):
    # No pair of names with the same number is known, so the number of one
    # name is replaced.
    context.values = documents.read_example('consorcio')
    first, second = context.values['client_accounts'][:2]
    hash_name = identity.hash_name
    replaced_numbers = {second['name']: hash_name(first['name'])}
    identity.hash_name = lambda name: replaced_numbers.get(
        name, hash_name(name)
    )
    context.add_cleanup(setattr, identity, 'hash_name', hash_name)


@behave.when('the mistaken document is validated')
def validate_mistaken(context):
    try:
        validation.validate(context.values, source='document.toml')
    except errors.SettingsInvalid as invalid:
        context.mistakes = invalid.exceptions
    else:
        raise AssertionError('no mistake was found')


@behave.then('the document mistakes are at')
def check_paths(context):
    found = sorted(mistake.key for mistake in context.mistakes)
    expected = sorted(row['path'] for row in context.table)
    assert found == expected, set(found) ^ set(expected)


@behave.then('each document mistake says what was found and what is allowed')
def check_messages(context):
    for mistake in context.mistakes:
        text = str(mistake)
        assert text.startswith(f'document.toml: {mistake.key}: found '), text
        assert repr(mistake.found) in text, text
        assert mistake.allowed and mistake.allowed in text, text


@behave.given('a document of {count:d} client accounts')
def build_large_document(context, count):
    context.values = documents.build_large(count)


@behave.when(
    'the document is validated while another greenlet counts its own runs'
)
def validate_beside_greenlet(context):
    context.runs = 0

    def count_runs():
        while True:
            context.runs += 1
            gevent.sleep(0)

    counting = gevent.spawn(count_runs)
    context.document = validation.validate(context.values)
    counting.kill()


@behave.then('the counting greenlet ran at least {runs:d} times')
def check_runs(context, runs):
    assert context.runs >= runs, context.runs


@behave.given(
    'a holder with version {version:d} in force and a greenlet that waits '
    'for a change'
)
def make_holder(context, version):
    context.holder = holder.Holder()
    assert not context.holder.ready
    context.holder.apply(document.Document(version=version))
    seen = context.holder.generation

    def wait():
        context.holder.wait(seen)
        return context.holder.document.version

    context.waiting = gevent.spawn(wait)
    gevent.sleep(0)


@behave.when(
    'version {first:d}, version {second:d} and version {third:d} are '
    'applied to the holder'
)
def apply_versions(context, first, second, third):
    context.applied = [
        version
        for version in (first, second, third)
        if context.holder.apply(document.Document(version=version))
    ]


@behave.then('the holder accepted only version {version:d}')
def check_applied(context, version):
    assert context.applied == [version], context.applied
    assert context.holder.document.version == version


@behave.then('the greenlet that waited saw version {version:d}')
def check_waiting_greenlet(context, version):
    assert context.waiting.get(timeout=10) == version
