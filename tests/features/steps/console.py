"""Steps for the operators' port."""

import json
import re

import behave
from werkzeug import security

from amaranthslip.configuration import holder
from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip.console import server
from amaranthslip import metrics
from tests.support import browser
from tests.support import configured
from tests.support import documents
from tests.support import fake_keyvalue


def _describe_fleet():
    return {
        'version': 1,
        'members': [
            {
                'name': f'hn-{zone}-{number}',
                'failure_domain': f'hn-{zone}',
                'state': 'alive',
                'version': 1 if number == 2 else 1000,
            }
            for number, zone in enumerate('aab')
        ],
    }


def _open_console(context, client):
    version_holder = holder.Holder()
    settings = configured.build_settings()
    stored = store.Store(settings, client, backoff_seconds=0.01)

    def accept(snapshot):
        for each in context.holders:
            each.apply(snapshot.document)

    submitter = submission.Submission(
        stored, holder=version_holder, accepted=accept
    )
    console = server.Console(
        settings,
        version_holder,
        submitter,
        context.describe,
        metrics.Metrics(),
    )
    console.start()
    context.add_cleanup(console.close)
    context.holders.append(version_holder)
    return console


def _submit(context, account, share, base):
    """Submit a version to the store directly, bypassing the consoles."""
    direct_store = store.Store(
        configured.build_settings(), context.service.connect()
    )
    values = configured.change_share(context.values, account, share)
    submitter = submission.Submission(direct_store)
    return submitter.submit(values, base=base, author='elsewhere')


def _put_in_force(context, snapshot):
    for version_holder in context.holders:
        version_holder.apply(snapshot.document)


@behave.given('two consoles on one store whose version 1 is in force')
def open_consoles(context):
    context.service = fake_keyvalue.FakeKeyValue()
    context.holders = []
    context.describe = _describe_fleet
    context.values = configured.read_consortium()
    context.client = context.service.connect()
    context.first = _open_console(context, context.client)
    context.second = _open_console(context, context.service.connect())
    _put_in_force(context, _submit(context, 'co-lan', 0.5, 0))
    context.browser = browser.Browser(context.first.address)


@behave.when(
    'an unauthenticated client sends {method} "{path}" to the console'
)
def send_unauthenticated(context, method, path):
    context.page = context.browser.request(method, path)


@behave.then('the console responds with {status:d}')
def check_status(context, status):
    assert context.page.status == status, (context.page.status, context.page)


@behave.when('"{name}" calls the API with a wrong password {times:d} times')
def call_with_wrong_password(context, name, times):
    for _ in range(times):
        context.page = context.browser.request(
            'GET', '/api/status', headers=browser.make_basic(name, 'wrong')
        )
        assert context.page.status == 401


def _put_configuration(context, values, name='automation', **headers):
    sent_headers = browser.make_basic(name)
    sent_headers |= {
        key.replace('_', '-'): value for key, value in headers.items()
    }
    body = values if isinstance(values, str) else json.dumps(values)
    context.page = context.browser.request(
        'PUT', '/api/configuration', body=body, headers=sent_headers
    )


@behave.when(
    'automation reads the document and submits share 9 for "co-lan" on top of '
    'its ETag'
)
def read_and_submit(context):
    context.read = context.browser.request(
        'GET', '/api/configuration', headers=browser.make_basic('automation')
    )
    values = json.loads(context.read.text)
    values = configured.change_share(values, 'co-lan', 9)
    _put_configuration(context, values, If_Match=context.read.headers['etag'])


@behave.then(
    'version {version:d} with share {share:d} for "{account}" by "{author}" '
    'is in force'
)
def check_in_force(context, version, share, account, author):
    for version_holder in context.holders:
        assert version_holder.document.version == version, (
            version_holder.document.version
        )
        assert version_holder.document.client_accounts[account].share == share
    page = context.browser.request(
        'GET', '/api/history', headers=browser.make_basic('guest')
    )
    newest = json.loads(page.text)[0]
    assert (newest['version'], newest['author']) == (version, author)


@behave.then(
    'the document that automation read has no password hash, and all '
    'operators can still sign in'
)
def check_passwords(context):
    assert 'scrypt' not in context.read.text
    for name in ('operator', 'automation', 'guest'):
        page = context.browser.request(
            'GET', '/api/status', headers=browser.make_basic(name)
        )
        assert page.status == 200, name


def _prepare_submission(context, case):
    """Set up a case; return the operator and the If-Match of the request."""
    name, base = 'automation', '"1"'
    if case == 'has no If-Match':
        base = None
    elif case == 'has an If-Match without a version':
        base = '*'
    elif case == 'is based on an older version':
        base = '"0"'
    elif case == 'is sent while the service is down':
        context.service.down = True
    elif case == 'is stored just before an outage':
        context.client.lose_service = True
    elif case == 'is sent by a viewer':
        name = 'guest'
    return name, base


@behave.when('automation submits a document that {case}')
def submit_document(context, case):
    values = configured.change_share(context.values, 'co-lan', 3)
    name, base = _prepare_submission(context, case)
    if case == 'has three mistakes':
        for account in values['client_accounts'][:3]:
            account['share'] = 0
    elif case == 'is not valid JSON':
        values = '{"services": '
    headers = {'If_Match': base} if base else {}
    _put_configuration(context, values, name, **headers)
    if case == 'has three mistakes':
        mistakes = json.loads(context.page.text)['mistakes']
        paths = [each['path'] for each in mistakes]
        expected = [f'client_accounts[{index}].share' for index in range(3)]
        assert paths == expected, paths


@behave.then('the API\'s error is "{error}"')
def check_error(context, error):
    content = json.loads(context.page.text)
    assert content['error'] == error, content
    assert len(content['message']) > 20, content


@behave.given('"{name}" is signed in to the first console')
def sign_in(context, name):
    page = context.browser.sign_in(name)
    assert 'is in force here' in page.text, page.text


def _edit(context, section, name='', action='save', **values):
    path = f'/edit/{section}' + (f'?name={name}' if name else '')
    page = context.browser.get(path)
    fields = page.fill(**values, action=action)
    context.page = context.browser.post(path, fields)


@behave.when('the operator sets share "{share}" for "{name}" in the form')
def set_share(context, share, name):
    _edit(context, 'client_accounts', name, share=share)


@behave.when('the operator assigns "{name}" the key of "{other}" in the form')
def set_key(context, name, other):
    key = documents.hash_key(other)
    _edit(context, 'client_accounts', name, keys=key)


@behave.then('the page shows "{text}"')
def check_text(context, text):
    assert text in context.page.text, context.page.text


@behave.then('the draft is not in force on any console')
def check_not_in_force(context):
    for version_holder in context.holders:
        assert version_holder.document.version == 1


def _submit_draft(context):
    fields = context.page.fill(action='submit')
    context.page = context.browser.post('/draft', fields)


@behave.when('the operator submits the draft')
def submit_draft(context):
    _submit_draft(context)


@behave.then('the page\'s field "{field}" has an error with "{text}"')
def check_field_error(context, field, text):
    pattern = rf'id="{field}-error">(.*?)</div>'
    match = re.search(pattern, context.page.text, re.DOTALL)
    assert match is not None, context.page.text
    assert text in match[1], match[1]
    assert 'aria-invalid="true"' in context.page.text


@behave.when(
    'the operator adds the service "{name}" and keeps it in the draft'
)
def add_service(context, name):
    context.added = name
    _add(context, 'services', name=name, kind='plain', action='keep')


def _add(context, section, **values):
    page = context.browser.get(f'/edit/{section}')
    fields = page.fill(**values)
    context.page = context.browser.post(f'/edit/{section}', fields)


@behave.when(
    'the operator adds its backend server and, at the second console, its '
    'request kind'
)
def add_server_and_request_kind(context):
    _add(
        context,
        'backend_servers',
        name='dich-thuat-1',
        service=context.added,
        address='10.84.9.9:8080',
        failure_domain='hn-a',
        action='keep',
    )
    context.browser.address = context.second.address
    _add(
        context,
        'request_kinds',
        name='translation',
        service=context.added,
        action='save',
    )


@behave.then('the service "{name}" is in force with {count:d} backend server')
def check_service(context, name, count):
    for version_holder in context.holders:
        assert name in version_holder.document.services
        servers = version_holder.document.backend_servers.values()
        assert sum(each.service == name for each in servers) == count


@behave.when(
    'automation gets share 9 for "sao-mai" accepted before the draft is '
    'submitted'
)
def submit_conflicting_version(context):
    context.other = _submit(context, 'sao-mai', 9, 1)
    _submit_draft(context)


@behave.when(
    'version 2 comes into force at the consoles and the operator loads the '
    'draft again'
)
def reload_draft(context):
    _put_in_force(context, context.other)
    context.page = context.browser.get('/draft')


@behave.then('the share of "{name}" in force is {share:d}')
def check_share(context, name, share):
    for version_holder in context.holders:
        assert version_holder.document.client_accounts[name].share == share


@behave.when(
    'version 2 comes into force after the preview and the operator submits '
    'the draft'
)
def outdate_preview(context):
    _put_in_force(context, _submit(context, 'sao-mai', 9, 1))
    _submit_draft(context)


@behave.then('the store still has version {version:d}')
def check_stored(context, version):
    stored = store.Store(
        configured.build_settings(), context.service.connect()
    )
    assert stored.read_manifest().version == version


@behave.then('the page "{path}" shows "{text}" and no "{missing}"')
def check_shown_and_missing(context, path, text, missing):
    page = context.browser.get(path)
    assert text in page.text and f'>{missing}<' not in page.text


@behave.when('the password of "{name}" is changed')
def change_password(context, name):
    for operator in context.values['operators']:
        if operator['name'] == name:
            changed = security.generate_password_hash('another')
            operator['password'] = changed
    _put_in_force(context, _submit(context, 'co-lan', 1, 1))


@behave.then('the page "{path}" shows "{name}" and its version as "{text}"')
def check_member(context, path, name, text):
    page = context.browser.get(path)
    row = re.search(
        rf'<tr><th scope="row">{name}</th>.*?</tr>', page.text, re.S
    )
    assert row is not None and text in row[0], page.text


@behave.then(
    'the page "{path}" has a Content-Security-Policy against foreign frames '
    'and scripts'
)
def check_security_headers(context, path):
    headers = context.browser.get(path).headers
    policy = headers['content-security-policy']
    assert "frame-ancestors 'none'" in policy
    assert "default-src 'none'" in policy
    assert headers['cache-control'] == 'no-store'


@behave.when('"{name}" reads "{first}" and "{second}"')
def read_two_paths(context, name, first, second):
    context.answers = [
        context.browser.request('GET', path, headers=browser.make_basic(name))
        for path in (first, second)
    ]


@behave.then(
    'the metrics are in the text format and the status has the members'
)
def check_metrics_and_status(context):
    counted, status = context.answers
    assert counted.headers['content-type'].startswith('text/plain')
    assert '# TYPE amaranthslip_configuration_total counter' in counted.text
    assert len(json.loads(status.text)['members']) == 3
