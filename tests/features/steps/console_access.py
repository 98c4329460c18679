"""Steps for access control on the operators' port."""

import behave
from gevent import socket

from amaranthslip.console import server
from tests.support import browser


@behave.when(
    "forms without a token, with another session's token and from another "
    'origin are sent'
)
def send_forged_forms(context):
    path = '/edit/client_accounts?name=co-lan'
    valid_fields = context.browser.get(path).fill(share='7', action='save')
    other_browser = browser.Browser(context.first.address)
    other_browser.sign_in('automation')
    other_token = dict(other_browser.get(path).fields)['csrf_token']
    fields_without_token = [
        pair for pair in valid_fields if pair[0] != 'csrf_token'
    ]
    context.forged = [
        context.browser.post(path, fields_without_token),
        context.browser.post(
            path, [*fields_without_token, ('csrf_token', other_token)]
        ),
    ]
    context.forged.append(
        context.browser.request(
            'POST',
            path,
            body=browser.urllib.parse.urlencode(valid_fields),
            headers={
                'Content-Type': 'application/x-www-form-urlencoded',
                'Origin': 'http://elsewhere.example',
            },
        )
    )


@behave.then('each of these forms is rejected with {status:d}')
def check_forged_forms(context, status):
    statuses = [page.status for page in context.forged]
    assert statuses == [status] * 3, statuses


def _is_valid(context, cookie, address=None):
    other = browser.Browser(address or context.first.address)
    other.cookies = {'amaranthslip_session': cookie}
    return other.request('GET', '/').status == 200


@behave.then('the session is valid at the second console')
def check_valid_at_second(context):
    cookie = context.browser.cookies['amaranthslip_session']
    assert _is_valid(context, cookie, context.second.address)


@behave.then(
    "modified, empty and other operators' session cookies are rejected"
)
def check_invalid_cookies(context):
    cookie = context.browser.cookies['amaranthslip_session']
    name, _, token = cookie.partition(':')
    assert not _is_valid(context, cookie[:-2] + 'xx')
    assert not _is_valid(context, f'automation:{token}')
    assert not _is_valid(context, 'operator:')
    assert not _is_valid(context, f'nobody:{token}')
    assert name == 'operator'


@behave.then('the session is no longer valid')
def check_session_ended(context):
    assert not _is_valid(
        context, context.browser.cookies['amaranthslip_session']
    )


@behave.when(
    'a client holds an idle connection and one with a partial request to the '
    'console'
)
def hold_connections(context):
    before = server.IDLE_TIMEOUT_SECONDS
    server.IDLE_TIMEOUT_SECONDS = 0.3
    context.add_cleanup(setattr, server, 'IDLE_TIMEOUT_SECONDS', before)
    host, _, port = context.first.address.rpartition(':')
    context.open_connections = [
        socket.create_connection((host, int(port))) for _ in range(2)
    ]
    context.open_connections[1].sendall(b'GET /health HTTP/1.1\r\nHost: ')


@behave.then('the console closes both')
def check_connections_closed(context):
    for connection in context.open_connections:
        connection.settimeout(30)
        received = b''
        while data := connection.recv(4096):
            received += data
        assert b' 200 ' not in received, received
        connection.close()


@behave.then('a sign-in form above the size limit is rejected')
def check_form_limit(context):
    page = context.browser.request(
        'POST',
        '/sign-in',
        body='name=' + 'x' * 1000000,
        headers={'Content-Type': 'application/x-www-form-urlencoded'},
    )
    assert page.status == 413, page.status
