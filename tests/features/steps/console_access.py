"""Steps about who may use the operators' port: sessions, tokens, strangers."""

import behave
from gevent import socket

from amaranthslip.console import server
from tests.support import browser


@behave.when(
    'a form without a token, one with a foreign token and one from another '
    'origin are sent'
)
def send_foreign_forms(context):
    path = '/edit/client_accounts?name=co-lan'
    good = context.browser.get(path).fill(share='7', action='save')
    stranger = browser.Browser(context.first.address)
    stranger.sign_in('automation')
    foreign = dict(stranger.get(path).fields)['csrf_token']
    rest = [pair for pair in good if pair[0] != 'csrf_token']
    context.foreign = [
        context.browser.post(path, rest),
        context.browser.post(path, [*rest, ('csrf_token', foreign)]),
    ]
    context.foreign.append(
        context.browser.request(
            'POST',
            path,
            body=browser.urllib.parse.urlencode(good),
            headers={
                'Content-Type': 'application/x-www-form-urlencoded',
                'Origin': 'http://elsewhere.example',
            },
        )
    )


@behave.then('each foreign form is answered {status:d}')
def check_foreign(context, status):
    found = [page.status for page in context.foreign]
    assert found == [status] * 3, found


def _is_good(context, cookie, address=None):
    visitor = browser.Browser(address or context.first.address)
    visitor.cookies = {'amaranthslip_session': cookie}
    return visitor.request('GET', '/').status == 200


@behave.then('the session is good at the second console')
def check_second(context):
    cookie = context.browser.cookies['amaranthslip_session']
    assert _is_good(context, cookie, context.second.address)


@behave.then('a changed, a foreign and an empty session cookie are not')
def check_forged(context):
    cookie = context.browser.cookies['amaranthslip_session']
    name, _, token = cookie.partition(':')
    assert not _is_good(context, cookie[:-2] + 'xx')
    assert not _is_good(context, f'automation:{token}')
    assert not _is_good(context, 'operator:')
    assert not _is_good(context, f'nobody:{token}')
    assert name == 'operator'


@behave.then('the session is no longer good')
def check_ended(context):
    assert not _is_good(
        context, context.browser.cookies['amaranthslip_session']
    )


@behave.when(
    'a stranger holds a silent and a half-sent connection to the console'
)
def hold_connections(context):
    before = server.IDLE_TIMEOUT_SECONDS
    server.IDLE_TIMEOUT_SECONDS = 0.3
    context.add_cleanup(setattr, server, 'IDLE_TIMEOUT_SECONDS', before)
    host, _, port = context.first.address.rpartition(':')
    context.held = [
        socket.create_connection((host, int(port))) for _ in range(2)
    ]
    context.held[1].sendall(b'GET /health HTTP/1.1\r\nHost: ')


@behave.then('the console closes both')
def check_closed(context):
    for held in context.held:
        held.settimeout(30)
        received = b''
        while data := held.recv(4096):
            received += data
        assert b' 200 ' not in received, received
        held.close()


@behave.then("no more than a form's worth of a stranger's sign-in is read")
def check_form_limit(context):
    page = context.browser.request(
        'POST',
        '/sign-in',
        body='name=' + 'x' * 1000000,
        headers={'Content-Type': 'application/x-www-form-urlencoded'},
    )
    assert page.status == 413, page.status
