"""Steps about the operators' port."""

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
                'name': f'hn-{place}-{number}',
                'failure_domain': f'hn-{place}',
                'state': 'alive',
                'version': 1 if number == 2 else 1000,
            }
            for number, place in enumerate('aab')
        ],
    }


def _open_console(context, client):
    held = holder.Holder()
    settings = configured.build_settings()
    stored = store.Store(settings, client, backoff_seconds=0.01)

    def accept(snapshot):
        for each in context.holders:
            each.apply(snapshot.document)

    writer = submission.Submission(stored, holder=held, accepted=accept)
    console = server.Console(
        settings, held, writer, context.describe, metrics.Metrics()
    )
    console.start()
    context.add_cleanup(console.close)
    context.holders.append(held)
    return console


def _submit(context, account, share, base):
    """Have a version accepted at the store, past the consoles."""
    direct = store.Store(
        configured.build_settings(), context.service.connect()
    )
    values = configured.change_share(context.values, account, share)
    writer = submission.Submission(direct)
    return writer.submit(values, base=base, author='elsewhere')


def _put_in_force(context, snapshot):
    for held in context.holders:
        held.apply(snapshot.document)


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


@behave.when('a stranger sends {method} "{path}" to the console')
def send_unknown(context, method, path):
    context.page = context.browser.request(method, path)


@behave.then('the console answers {status:d}')
def check_status(context, status):
    assert context.page.status == status, (context.page.status, context.page)


@behave.when('"{name}" calls the API with a wrong password {times:d} times')
def call_wrongly(context, name, times):
    for _ in range(times):
        context.page = context.browser.request(
            'GET', '/api/status', headers=browser.make_basic(name, 'wrong')
        )
        assert context.page.status == 401


def _put(context, values, name='automation', **headers):
    sent = browser.make_basic(name)
    sent |= {key.replace('_', '-'): value for key, value in headers.items()}
    body = values if isinstance(values, str) else json.dumps(values)
    context.page = context.browser.request(
        'PUT', '/api/configuration', body=body, headers=sent
    )


@behave.when(
    'automation reads the document and puts share 9 for "co-lan" on top of '
    'its ETag'
)
def read_and_put(context):
    context.read = context.browser.request(
        'GET', '/api/configuration', headers=browser.make_basic('automation')
    )
    values = json.loads(context.read.text)
    values = configured.change_share(values, 'co-lan', 9)
    _put(context, values, If_Match=context.read.headers['etag'])


@behave.then(
    'version {version:d} with share {share:d} for "{account}" by "{author}" '
    'is in force'
)
def check_in_force(context, version, share, account, author):
    for held in context.holders:
        assert held.document.version == version, held.document.version
        assert held.document.client_accounts[account].share == share
    page = context.browser.request(
        'GET', '/api/history', headers=browser.make_basic('guest')
    )
    newest = json.loads(page.text)[0]
    assert (newest['version'], newest['author']) == (version, author)


@behave.then(
    'no password hash was in what automation read, and all operators still '
    'sign in'
)
def check_passwords(context):
    assert 'scrypt' not in context.read.text
    for name in ('operator', 'automation', 'guest'):
        page = context.browser.request(
            'GET', '/api/status', headers=browser.make_basic(name)
        )
        assert page.status == 200, name


def _prepare_put(context, case):
    """Return who puts, and on top of which version, once all is set up."""
    name, base = 'automation', '"1"'
    if case == 'has no If-Match':
        base = None
    elif case == 'has an If-Match that is no version':
        base = '*'
    elif case == 'is made from an older version':
        base = '"0"'
    elif case == 'comes while the service is down':
        context.service.down = True
    elif case == 'loses its answer and the service':
        context.client.lose_service = True
    elif case == 'comes from a viewer':
        name = 'guest'
    return name, base


@behave.when('automation puts a document that {case}')
def put_document(context, case):
    values = configured.change_share(context.values, 'co-lan', 3)
    name, base = _prepare_put(context, case)
    if case == 'has three mistakes':
        for account in values['client_accounts'][:3]:
            account['share'] = 0
    elif case == 'is no JSON':
        values = '{"services": '
    headers = {'If_Match': base} if base else {}
    _put(context, values, name, **headers)
    if case == 'has three mistakes':
        found = json.loads(context.page.text)['mistakes']
        paths = [each['path'] for each in found]
        expected = [f'client_accounts[{place}].share' for place in range(3)]
        assert paths == expected, paths


@behave.then('the API\'s error is "{error}"')
def check_error(context, error):
    content = json.loads(context.page.text)
    assert content['error'] == error, content
    assert len(content['message']) > 20, content


@behave.given('"{name}" is signed in to the first console')
def sign_in(context, name):
    page = context.browser.sign_in(name)
    assert 'is in force on this instance' in page.text, page.text


def _edit(context, section, name='', action='save', **values):
    path = f'/edit/{section}' + (f'?name={name}' if name else '')
    page = context.browser.get(path)
    fields = page.fill(**values, action=action)
    context.page = context.browser.post(path, fields)


@behave.when('the operator sets share "{share}" for "{name}" in the form')
def set_share(context, share, name):
    _edit(context, 'client_accounts', name, share=share)


@behave.when('the operator gives "{name}" the key of "{other}" in the form')
def set_key(context, name, other):
    key = documents.hash_key(other)
    _edit(context, 'client_accounts', name, keys=key)


@behave.then('the page shows "{text}"')
def check_text(context, text):
    assert text in context.page.text, context.page.text


@behave.then('the draft is nowhere in force')
def check_not_in_force(context):
    for held in context.holders:
        assert held.document.version == 1


def _submit_draft(context):
    fields = context.page.fill(action='submit')
    context.page = context.browser.post('/draft', fields)


@behave.when('the operator submits the draft')
def submit_draft(context):
    _submit_draft(context)


@behave.then('the page\'s field "{field}" has an error with "{text}"')
def check_field_error(context, field, text):
    pattern = rf'id="{field}-error">(.*?)</div>'
    shown = re.search(pattern, context.page.text, re.DOTALL)
    assert shown is not None, context.page.text
    assert text in shown[1], shown[1]
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
def add_rest(context):
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
    for held in context.holders:
        assert name in held.document.services
        servers = held.document.backend_servers.values()
        assert sum(each.service == name for each in servers) == count


@behave.when(
    'automation gets share 9 for "sao-mai" accepted before the draft is '
    'submitted'
)
def overtake_draft(context):
    context.other = _submit(context, 'sao-mai', 9, 1)
    _submit_draft(context)


@behave.when(
    'version 2 comes into force at the consoles and the operator loads the '
    'draft again'
)
def load_again(context):
    _put_in_force(context, context.other)
    context.page = context.browser.get('/draft')


@behave.then('the share of "{name}" in force is {share:d}')
def check_share(context, name, share):
    for held in context.holders:
        assert held.document.client_accounts[name].share == share


@behave.when(
    'version 2 comes into force after the preview and the operator submits '
    'the draft'
)
def move_version(context):
    _put_in_force(context, _submit(context, 'sao-mai', 9, 1))
    _submit_draft(context)


@behave.then('the store still has version {version:d}')
def check_stored(context, version):
    stored = store.Store(
        configured.build_settings(), context.service.connect()
    )
    assert stored.read_manifest().version == version


@behave.then('the page "{path}" shows "{text}" and no "{missing}"')
def check_viewer(context, path, text, missing):
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
    'the page "{path}" is sent with a policy against foreign frames and '
    'scripts'
)
def check_headers(context, path):
    headers = context.browser.get(path).headers
    policy = headers['content-security-policy']
    assert "frame-ancestors 'none'" in policy
    assert "default-src 'none'" in policy
    assert headers['cache-control'] == 'no-store'


@behave.when('"{name}" reads "{first}" and "{second}"')
def read_both(context, name, first, second):
    context.answers = [
        context.browser.request('GET', path, headers=browser.make_basic(name))
        for path in (first, second)
    ]


@behave.then(
    'the metrics are in the text format and the status has the members'
)
def check_both(context):
    counted, status = context.answers
    assert counted.headers['content-type'].startswith('text/plain')
    assert '# TYPE amaranthslip_configuration_total counter' in counted.text
    assert len(json.loads(status.text)['members']) == 3
