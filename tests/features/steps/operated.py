"""Steps on an instance that runs on the operator's platform."""

import contextlib
import json
from unittest import mock

import behave
import gevent
from gevent import event
from gevent import pywsgi

from amaranthslip.entry import callers
from amaranthslip.entry import events
from amaranthslip.entry import pressure
from amaranthslip.entry import server as entry_server
from tests.support import exchanges
from tests.support import log_capture
from tests.support import operated

_REVOKE_SECONDS = 0.8
_STOP_SECONDS = 0.6


@behave.given('an instance on the platform with two servers of each service')
def start_instance(context):
    # Long enough for a slow machine; scenarios that test these bounds set
    # their own.
    context.side = operated.InstanceFixture(
        bounds={'revoke_milliseconds': 60000, 'apply_milliseconds': 30000},
        shutdown={'notice_seconds': _STOP_SECONDS, 'finish_seconds': 30},
    )
    context.add_cleanup(context.side.close)
    context.side.configure()
    context.version = 1
    for service in ('plain', 'llm'):
        for number in (1, 2):
            context.side.register(
                operated.Backend(f'{service}-{number}', service=service)
            )
    context.side.start()


def _list_backends(context, service):
    return [
        each
        for each in context.side.backends.values()
        if each.service == service
    ]


def _list_contacted(context):
    return [each for each in context.side.backends.values() if each.requests]


def _plan_first(context, service, plan):
    """Set a plan for the server of a service that gets the first request."""
    plans = [plan]

    def respond(backend, sock, request):
        if plans:
            context.first = backend
            return plans.pop()(backend, sock, request)
        context.second = backend
        after = int(request.headers.get('last-event-id', 0))
        rest = operated.answer('200 OK', b'fine')
        if service == 'llm':
            rest = operated.stream(after + 1, 9)
        return rest(backend, sock, request)

    for each in _list_backends(context, service):
        each.default_plan = respond


def _plan_all(context, service, plan):
    for each in _list_backends(context, service):
        each.default_plan = plan


# -- actions of the operator and the platform -----------------------------


def _configure(context, **values):
    context.version += 1
    context.side.configure(context.version, **values)
    context.side.wait_until_synced()


@behave.when('the operator adds the route "{prefix}" to the service "{name}"')
def add_route(context, prefix, name):
    routes = operated.build_configuration()['routes']
    routes.append(
        operated.build_route('added', 'idempotent', name, prefix=prefix)
    )
    _configure(context, routes=routes)


@behave.when('the operator revokes the key "{key}"')
def revoke_key(context, key):
    accounts = operated.build_configuration()['tenants']
    for account in accounts:
        account['api_keys'] = [k for k in account['api_keys'] if k != key]
    _configure(context, tenants=accounts)


@behave.when('the operator removes all client accounts')
def remove_accounts(context):
    _configure(context, tenants=[])


@behave.when('the operator takes the names of all client accounts away')
def remove_account_names(context):
    accounts = operated.build_configuration()['tenants']
    _configure(context, tenants=[each | {'name': ''} for each in accounts[:1]])


@behave.when('the operator writes a version without a list of client accounts')
def write_without_accounts(context):
    context.version += 1
    values = operated.build_configuration(context.version)
    del values['tenants']
    context.side.write_configuration(values)
    context.side.wait_until_synced()


@behave.when(
    'another instance starts after the operator removed all client accounts'
)
def start_without_accounts(context):
    _configure(context, tenants=[])
    first = context.side
    context.side = operated.InstanceFixture(platform_of=first)
    context.add_cleanup(context.side.close)
    context.side.start()


@behave.when('the operator writes version 5, and then the older version 3')
def write_older_version(context):
    context.side.configure(5)
    context.side.configure(3)
    context.side.wait_until_synced()


@behave.then('version {version:d} is in force')
def check_version(context, version):
    assert context.side.instance.version == version


@behave.when(
    'the operator sets the timeout of "{name}" to {milliseconds:d} '
    'milliseconds'
)
def set_timeout(context, name, milliseconds):
    routes = operated.build_configuration()['routes']
    for route in routes:
        if route['name'] == name:
            route['timeout_ms'] = milliseconds
    _configure(context, routes=routes)


def _set_bounds(context, revoke, apply):
    settings = context.side.settings
    settings.bounds = settings.bounds.replace(
        revoke_milliseconds=revoke, apply_milliseconds=apply
    )


def _set_store_fault(context, mode):
    context.side.send_store_command('/standin/faults', mode=mode)


@behave.when(
    'the store refuses every call for longer than a new version may take to'
    ' apply'
)
@behave.when(
    'the store refuses every call for longer than a revocation may take'
)
def refuse_calls(context):
    _set_store_fault(context, 'refuse')
    _set_bounds(context, revoke=_REVOKE_SECONDS * 1000, apply=600)
    exchanges.wait_until(lambda: not context.side.instance.is_ready())


@behave.when(
    "the instance falls {seconds:d} seconds behind the store's changes"
)
def fall_behind(context, seconds):
    freshness = context.side.instance._freshness
    clock = freshness._clock
    freshness._clock = lambda: clock() + seconds
    patch = mock.patch.object(
        type(freshness), 'confirm', lambda self, timestamp: None
    )
    patch.start()
    context.add_cleanup(patch.stop)


@behave.given(
    "the instance lags {seconds:d} seconds behind the store's changes"
)
def lag_behind(context, seconds):
    freshness = context.side.instance._freshness
    context.lag = contextlib.ExitStack()
    context.add_cleanup(context.lag.close)
    confirmed = freshness.confirmed - seconds
    context.lag.enter_context(
        mock.patch.object(
            type(freshness), 'confirm', lambda self, timestamp: None
        )
    )
    context.lag.enter_context(
        mock.patch.object(freshness, '_confirmed', confirmed)
    )


@behave.when('the head of a request for "{path}" comes without its body')
def send_head(context, path):
    context.caller = exchanges.Caller(context.side.address)
    data = operated.write_request(path, 'a-1', body=b'late')
    context.caller.send(data.removesuffix(b'late'))
    # The answer to a second caller shows that the first head was read.
    context.side.send_request('/nowhere/x', attempt='a-2')


@behave.when('the body of the request comes')
def send_body(context):
    context.caller.send(b'late')
    context.answer = context.caller.receive('POST')
    context.caller.close()


@behave.when(
    'the operator moves the route "{name}" to the service "{service}"'
)
def move_route(context, name, service):
    routes = operated.build_configuration()['routes']
    for route in routes:
        if route['name'] == name:
            route['service'] = service
    _configure(context, routes=routes)


@behave.when('the instance catches up, and the body comes')
def catch_up(context):
    context.lag.close()
    freshness = context.side.instance._freshness
    exchanges.wait_until(lambda: freshness.age < 30)
    context.caller.send(b'late')
    context.answer = context.caller.receive('POST')
    context.caller.close()


@behave.when(
    'the system calls for the answer to a request for "{path}" are counted'
)
def count_system_calls(context, path):
    with mock.patch.object(
        pywsgi.WSGIHandler,
        '_sendall',
        autospec=True,
        side_effect=pywsgi.WSGIHandler._sendall,
    ) as sends:
        context.answer = context.side.send_request(path)
    # The stand-in store uses the same library.
    context.system_calls = sum(
        isinstance(each.args[0], entry_server.Handler)
        for each in sends.call_args_list
    )


@behave.then('the answer took {count:d} system call')
def check_system_calls(context, count):
    assert context.system_calls == count, context.system_calls


@behave.when('the store answers again')
def restore_store(context):
    _set_bounds(context, revoke=60000, apply=30000)
    _set_store_fault(context, 'up')
    exchanges.wait_until(lambda: context.side.instance.reaches_store)
    context.side.wait_until_synced()


@behave.when("the store is down, and every plain server's entry expires")
def expire_entries(context):
    _set_store_fault(context, 'down')
    exchanges.wait_until(lambda: not context.side.instance.reaches_store)
    for each in _list_backends(context, 'plain'):
        context.side.remove_entry(each.name)


@behave.then('the plain servers are removed after missing for too long')
def check_removed(context):
    exchanges.wait_until(
        lambda: context.side.send_request('/open/x', key='').status == 503
    )


@behave.when(
    "the first plain server's entry is removed and the store's history"
    ' compacted'
)
def compact_history(context):
    context.first = _list_backends(context, 'plain')[0]
    context.side.remove_entry(context.first.name)
    context.side.send_store_command('/standin/compact', now=True)
    context.side.wait_until_synced()


@behave.when('the first plain server registers as leaving')
def register_leaving(context):
    context.first = _list_backends(context, 'plain')[0]
    context.side.register(context.first, state='draining')
    context.side.wait_until_synced()


@behave.when('the entry of another server is {entry}')
def write_entry(context, entry):
    backend = operated.Backend('plain-3', service='plain')
    context.add_cleanup(backend.close)
    values = backend.build_entry()
    entries = {
        'not JSON': '{"service": ',
        'a list': '[]',
        'without an address': {
            name: value for name, value in values.items() if name != 'address'
        },
        'with an unknown state': values | {'state': 'warming'},
        'with a number as service': values | {'service': 7},
    }
    context.side.write_entry('plain-3', entries[entry])
    context.side.wait_until_synced()


# -- behaviour of backend servers -----------------------------------------


@behave.given(
    'the first engine ends the stream in the middle of event {number:d}'
)
def end_within_event(context, number):
    cut = b'id: %d\nda' % number
    _plan_first(
        context, 'llm', operated.stream(1, number - 1, cut=cut, end=False)
    )


@behave.given('the second engine answers 500')
def fail_second(context):
    engines = _list_backends(context, 'llm')
    first = engines[0].default_plan

    def respond(backend, sock, request):
        if request.headers.get('last-event-id'):
            failing = operated.answer('500 Internal Server Error')
            return failing(backend, sock, request)
        return first(backend, sock, request)

    _plan_all(context, 'llm', respond)


@behave.given('the first engine sends events 1 to 3 and then 5 to 9')
def skip_event(context):
    later_events = operated.write_events(5, 9)
    _plan_first(context, 'llm', operated.stream(1, 3, cut=later_events))


@behave.given('the engines send events {first:d} to {last:d} one at a time')
def send_one_by_one(context, first, last):
    def respond(backend, sock, request):
        sock.sendall(operated.write_stream_head(backend, request))
        for number in range(first, last + 1):
            event = operated.write_events(number, number)
            sock.sendall(exchanges.write_chunk(event))
            gevent.sleep(0.02)
        sock.sendall(b'0\r\n\r\n')

    _plan_all(context, 'llm', respond)


@behave.given('the engines send events {first:d} to {last:d}')
def send_events(context, first, last):
    _plan_first(context, 'llm', operated.stream(first, last))


@behave.given('the engines never answer')
def never_answer(context):
    _plan_all(context, 'llm', operated.wait_for_caller)


@behave.given('the plain servers never answer')
def never_answer_plain(context):
    _plan_all(context, 'plain', operated.wait_for_caller)


@behave.given('the engines delay their answers until released')
def delay_answers(context):
    context.release = event.Event()

    def respond(backend, sock, request):
        context.release.wait()
        return operated.stream(1, 9)(backend, sock, request)

    _plan_all(context, 'llm', respond)


_HEAD = b'HTTP/1.1 200 OK\r\nAmaranthslip-Attempt-Id: ATTEMPT\r\n'
_UNFRAMED = _HEAD + b'SEAL\r\n\r\nwhole'
_FAULTS = {
    'closes without an answer': lambda *_: False,
    'crashes': operated.crash,
    'answers 503 without a not-run header': operated.answer(
        '503 Service Unavailable'
    ),
    'answers 503 with a Retry-After': operated.answer(
        '503 Service Unavailable', Retry_After='300'
    ),
    'answers 429 without a not-run header': operated.answer(
        '429 Too Many Requests'
    ),
    'answers 200 without a signature': operated.send_raw(
        _HEAD + b'Content-Length: 2\r\n\r\nok'
    ),
    'answers 200 with an encoded body': operated.answer(
        '200 OK', b'ok', Content_Encoding='gzip'
    ),
    'answers 500': operated.answer('500 Internal Server Error', b'failed'),
    'resets the connection in an unframed answer': operated.send_raw(
        _UNFRAMED, end='reset'
    ),
    'answers without a length and closes': operated.send_raw(
        _UNFRAMED, end='close'
    ),
    'reports that it did not run it': operated.refuse(),
    'is a different server than expected': operated.refuse(
        '421 Misdirected Request'
    ),
}


@behave.given('the first plain server refuses connections')
def refuse_connections(context):
    for each in _list_backends(context, 'plain')[:1]:
        address = exchanges.find_free_address()
        context.side.write_entry(each.name, each.build_entry(address=address))
    context.side.wait_until_synced()


@behave.given('the first plain server {fault}')
def plan_first_plain(context, fault):
    _plan_first(context, 'plain', _FAULTS[fault])


@behave.given('every plain server {fault}')
def plan_every_plain(context, fault):
    _plan_all(context, 'plain', _FAULTS[fault])


@behave.given('the plain servers repeat each answer before their next answer')
def repeat_answers(context):
    def respond(backend, sock, request):
        body = request.attempt.encode()
        whole = operated.write_sealed(backend, request, body)
        late = getattr(backend, 'late', b'')
        sock.sendall(late + whole)
        backend.late = whole

    _plan_all(context, 'plain', respond)


@behave.given('an unexpected error occurs in the relay of event {number:d}')
def fail_relay(context, number):
    find_id = events._find_id

    def fail(event):
        found = find_id(event)
        if found == number:
            raise RuntimeError('unforeseen')
        return found

    patched = mock.patch.object(events, '_find_id', fail)
    patched.start()
    context.add_cleanup(patched.stop)


@behave.when('a request for "{path}" has a method that HTTP does not allow')
def send_invalid_method(context, path):
    context.answer = context.side.send_request(path, method='B(D')


_LEAVING_ANSWERS = {
    'whole answer': operated.answer('200 OK', b'fine'),
    'error': operated.answer('500 Internal Server Error', b'failed'),
    'refusal': operated.refuse(),
    "stream's head": operated.stream(1, 9),
    '421 answer': operated.refuse('421 Misdirected Request'),
}


@behave.given(
    'the {service} server that gets the first request reports in its {answer}'
    ' that it is leaving'
)
def plan_leaving_answer(context, service, answer):
    context.log = log_capture.LogCapture('amaranthslip.capacity.directory')
    context.add_cleanup(context.log.close)
    context.first_receivers = []

    def respond(backend, sock, request):
        if not context.first_receivers:
            context.first_receivers.append(backend)
            backend.leaving = True
        if backend.leaving:
            return _LEAVING_ANSWERS[answer](backend, sock, request)
        plan = operated.answer('200 OK', b'fine')
        if service == 'llm':
            plan = operated.stream(1, 9)
        return plan(backend, sock, request)

    for each in _list_backends(context, service):
        each.default_plan = respond


@behave.then('exactly one log record reports that this server is leaving')
def check_leaving_logged(context):
    found = context.log.find('backend_server_leaving')
    names = [each.server for each in found]
    assert names == [context.first_receivers[0].name], names


@behave.given(
    'the {service} server that gets the first request refuses with Retry-After'
    ' {seconds}'
)
def plan_retry_after(context, service, seconds):
    context.first_receivers = []

    def respond(backend, sock, request):
        if not context.first_receivers:
            context.first_receivers.append(backend)
        if backend in context.first_receivers:
            plan = operated.refuse(Retry_After=seconds)
        elif service == 'llm':
            plan = operated.stream(1, 9)
        else:
            plan = operated.answer('200 OK', b'fine')
        return plan(backend, sock, request)

    for each in _list_backends(context, service):
        each.default_plan = respond


@behave.given(
    'the plain server that gets the first request fails with 503 and'
    ' Retry-After {seconds}'
)
def plan_failing_retry_after(context, seconds):
    context.first_receivers = []

    def respond(backend, sock, request):
        if not context.first_receivers:
            context.first_receivers.append(backend)
            plan = operated.answer(
                '503 Service Unavailable', Retry_After=seconds
            )
        else:
            plan = operated.answer('200 OK', b'fine')
        return plan(backend, sock, request)

    _plan_all(context, 'plain', respond)


@behave.given(
    'the only plain server breaks a kept connection after it refused another'
    ' request with Retry-After {seconds}'
)
def plan_break_after_refusal(context, seconds):
    only, *others = _list_backends(context, 'plain')
    for each in others:
        context.side.remove_entry(each.name)
    context.side.wait_until_synced()
    context.backend = only

    def break_after_refusal(backend, sock, request):
        backend.plans.append(operated.refuse(Retry_After=seconds))
        other = context.side.send_request('/read/x', attempt='refused')
        assert other.status == 503, other.data
        return False

    only.plans += [operated.answer('200 OK', b'fine'), break_after_refusal]


@behave.when('a request for "{path}" is sent on the connection that breaks')
def send_on_breaking_connection(context, path):
    assert context.side.send_request(path, attempt='first').status == 200
    context.answer = context.side.send_request(path, attempt='broken')


@behave.then('the server received no request after that refusal')
def check_refusal_last(context):
    attempts = [
        operated.Request(each).attempt for each in context.backend.requests
    ]
    assert attempts == ['first', 'broken', 'refused'], attempts


@behave.then('the answer has no Retry-After')
def check_no_retry_after(context):
    assert 'retry-after' not in context.answer.headers, context.answer.data


@behave.then('the answer says that the request may have run')
def check_may_have_run(context):
    assert context.answer.status == 502, context.answer.data
    assert context.answer.error['code'] == 'outcome_unknown'


@behave.given('all plain servers refuse with Retry-After {seconds}')
def plan_all_retry_after(context, seconds):
    _plan_all(context, 'plain', operated.refuse(Retry_After=seconds))


@behave.given('all plain servers report that they are leaving')
def plan_all_leaving(context):
    for each in _list_backends(context, 'plain'):
        each.leaving = True


@behave.when(
    '{count:d} requests for "{path}" are sent one after the other with the key'
    ' "{key}"'
)
def send_in_turn(context, count, path, key):
    context.answers = [
        context.side.send_request(path, key=key, attempt=f'l-{number}')
        for number in range(count)
    ]


@behave.when('its entry expires and is written again as ready')
def rewrite_entry(context):
    (receiver,) = context.first_receivers
    context.side.remove_entry(receiver.name)
    context.side.wait_until_synced()
    context.side.register(receiver)
    context.side.wait_until_synced()


@behave.when('it restarts under its name')
def restart_backend(context):
    (receiver,) = context.first_receivers
    receiver.leaving = False
    receiver.born += 1
    context.side.register(receiver)
    context.side.wait_until_synced()


@behave.then('this server received 1 request')
def check_one_request(context):
    (receiver,) = context.first_receivers
    assert len(receiver.requests) == 1, len(receiver.requests)


@behave.then('this server received more than 1 request')
def check_more_requests(context):
    (receiver,) = context.first_receivers
    assert len(receiver.requests) > 1


@behave.then('each plain server received 1 request')
def check_one_each(context):
    got = [len(each.requests) for each in _list_backends(context, 'plain')]
    assert set(got) == {1}, got


@behave.then('the last request is refused with a Retry-After')
def check_last_refused(context):
    last = context.answers[-1]
    assert last.status == 503 and last.error['not_run'] is True, last.data
    assert float(last.headers['retry-after']) > 0


@behave.then('no log record reports that a server is leaving')
def check_leaving_not_logged(context):
    assert context.first_receivers
    assert not context.log.find('backend_server_leaving')


# -- requests of callers, and their answers --------------------------------


@behave.when('a request for "{path}" sets the headers reserved for the system')
def send_system_headers(context, path):
    context.answer = context.side.send_request(
        path,
        Amaranthslip_Tenant='account-b',
        Amaranthslip_Hold='h',
        Amaranthslip_Pin_Ms='9',
        Amaranthslip_Kv_Backup='127.0.0.1:1',
        Kv_From='127.0.0.1:1/x',
        Amaranthslip_Expect_Instance='other',
        X_Kept='yes',
    )
    assert context.answer.status == 200, context.answer.data


@behave.then(
    'a server of "{service}" received "{target}" for account "{account}"'
)
def check_received(context, service, target, account):
    (contacted,) = _list_contacted(context)
    assert contacted.service == service
    context.received = operated.Request(contacted.requests[0])
    context.received_by = contacted.name
    assert context.received.target == target
    assert context.received.headers['amaranthslip-tenant'] == account
    assert context.received.headers['host'] == operated.HOST
    assert context.received.headers['x-kept'] == 'yes'


@behave.then(
    'the server received its own name, the remaining time, and no key'
)
def check_own_headers(context):
    headers = context.received.headers
    assert headers['amaranthslip-expect-instance'] == context.received_by
    assert 0 < int(headers['amaranthslip-deadline-ms']) <= 4000
    assert 'authorization' not in headers


@behave.then("the server received none of the caller's system headers")
def check_stripped(context):
    for name in ('hold', 'pin-ms', 'kv-backup'):
        assert f'amaranthslip-{name}' not in context.received.headers
    assert 'kv-from' not in context.received.headers


@behave.when('a request for "{path}" comes with the key "{key}"')
def send_request(context, path, key):
    context.answer = context.side.send_request(path, key=key)


@behave.when('a request for "{path}" comes with the key ""')
def send_without_key(context, path):
    context.answer = context.side.send_request(path, key='')


@behave.when('a request for "{path}" comes with a body of {size:d} bytes')
def send_large_body(context, path, size):
    context.answer = context.side.send_request(path, body=b'x' * size)


@behave.then('a request for "{path}" with the key "{key}" gets {status:d}')
def check_request_status(context, path, key, status):
    found = context.side.send_request(path, key=key)
    assert found.status == status, found.data


@behave.then('a request for "{path}" without a key gets {status:d}')
def check_keyless_request_status(context, path, status):
    found = context.side.send_request(path, key='')
    assert found.status == status, found.data


@behave.then('it is answered {status:d} with the code "{code}"')
def check_code(context, status, code):
    assert context.answer.status == status, context.answer.data
    assert context.answer.error['code'] == code, context.answer.data


@behave.then('it is answered {status:d} with the body "{body}"')
def check_body(context, status, body):
    assert context.answer.status == status, context.answer.data
    assert context.answer.body == body.encode(), context.answer.data


@behave.then('it is answered {status:d}, with a Retry-After')
def check_retry_after(context, status):
    assert context.answer.status == status, context.answer.data
    assert float(context.answer.headers['retry-after']) > 0
    assert json.loads(context.answer.body)['error']['not_run'] is True


@behave.then('it is answered {status:d}')
def check_status(context, status):
    assert context.answer.status == status, context.answer.data


@behave.then('no server received a request')
def check_no_server(context):
    assert not _list_contacted(context)


@behave.then('one server received a request')
@behave.then('one engine received a request')
def check_one_server(context):
    assert len(_list_contacted(context)) == 1


@behave.then('the plain servers received {count:d} requests')
def check_plain_requests(context, count):
    got = [
        len(each.requests)
        for each in context.side.backends.values()
        if each.service == 'plain'
    ]
    assert sum(got) == count, got


@behave.then('two servers received a request')
def check_two_servers(context):
    assert len(_list_contacted(context)) == 2


@behave.then('the instance is not ready')
def check_not_ready(context):
    assert not context.side.is_ready()


@behave.then('the instance is ready again')
def check_ready(context):
    exchanges.wait_until(context.side.is_ready)


@behave.when('a caller requests a stream from "{path}" after event {number:d}')
def resume_stream(context, path, number):
    context.answer = context.side.send_request(path, Last_Event_Id=str(number))


@behave.when('a caller requests a stream from "{path}"')
def request_stream(context, path):
    context.answer = context.side.send_request(path)


@behave.then(
    'the caller receives events {first:d} to {last:d} once each, and the end'
    ' of the stream'
)
def check_events(context, first, last):
    ids = operated.read_ids(context.answer)
    assert ids == list(range(first, last + 1)), context.answer.data
    assert context.answer.complete


@behave.then(
    'the caller receives events {first:d} to {last:d} and no end of the stream'
)
def check_cut(context, first, last):
    ids = operated.read_ids(context.answer)
    assert ids == list(range(first, last + 1)), context.answer.data
    assert not context.answer.complete, context.answer.data


@behave.then('the answer is signed by the first engine')
def check_seal(context):
    seal = context.answer.headers['amaranthslip-server-seal']
    assert seal == f'seal-{context.first.name}', seal


@behave.then('the {which} engine was asked to resume after event {number:d}')
def check_resumed_after(context, which, number):
    backend = getattr(context, which)
    request = operated.Request(backend.requests[-1])
    assert request.headers['last-event-id'] == str(number)


@behave.when('two callers request "{path}" one after the other')
def send_with_ids(context, path):
    context.answers = {}
    for attempt in ('a-1', 'a-2', 'a-3', 'a-4', 'a-5', 'a-6'):
        context.answers[attempt] = context.side.send_request(
            path, key='', attempt=attempt
        )


@behave.then('each caller receives the answer to its own request')
def check_own_answers(context):
    for attempt, found in context.answers.items():
        assert found.body == attempt.encode(), (attempt, found.data)


@behave.when('{count:d} requests for "{path}" come one after the other')
def send_several(context, count, path):
    context.answers = {
        f'm-{number}': context.side.send_request(
            path, key='', attempt=f'm-{number}'
        )
        for number in range(count)
    }


@behave.then('each is answered {status:d}')
def check_each(context, status):
    found = [each.status for each in context.answers.values()]
    assert set(found) == {status}, found


@behave.then('the first plain server received no request')
def check_first_unused(context):
    assert not context.first.requests
    check_each(context, 200)


@behave.when('a caller of "{path}" disconnects while its engine works')
def disconnect_early(context, path):
    caller = exchanges.Caller(context.side.address)
    caller.send(operated.write_request(path, 'a-1'))
    exchanges.wait_until(lambda: _list_contacted(context))
    caller.close()


@behave.then('the connection to the engine is closed')
def check_closed(context):
    (contacted,) = _list_contacted(context)
    exchanges.wait_until(lambda: contacted.closed_early)


@behave.when('the instance is stopped while a caller waits')
def stop_instance(context):
    context.waiting = operated.spawn(context.side.send_request, '/chat/x')
    exchanges.wait_until(lambda: _list_contacted(context))
    context.stopping = operated.spawn(context.side.instance.stop)
    gevent.sleep(0)


@behave.then('a new request is answered 200 and its connection is closed')
def check_new_request(context):
    found = context.side.send_request('/open/x', key='')
    assert found.status == 200, found.data
    assert found.headers['connection'] == 'close'


@behave.then('the waiting caller receives its whole answer')
def check_waiting(context):
    context.release.set()
    context.answer = context.waiting.get()
    check_events(context, 1, 9)


@behave.then('the instance has stopped')
def check_stopped(context):
    assert context.stopping.get() is True


@behave.then('the operators\' port serves "{path}" with "{text}"')
def check_operators(context, path, text):
    address = context.side.instance.operators_address
    caller = exchanges.Caller(operated.split_address(address))
    caller.send(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    found = caller.receive()
    caller.close()
    assert found.status == 200 and text.encode() in found.body, found.data


@behave.given('all servers {registering} when they started')
def register_starts(context, registering):
    for backend in context.side.backends.values():
        backend.born = 1 if registering == 'do not register' else 1764800000000
        context.side.register(backend)
    context.side.wait_until_synced()


@behave.then("the caller gets no report of a server's load")
def check_no_load(context):
    assert context.answer.status == 200, context.answer.data
    assert b'server-load' not in context.answer.data.lower()


@behave.then(
    'the status shows {count:d} estimate of a plain server with an age'
)
def check_estimates(context, count):
    shown = [
        each['estimate']
        for each in context.side.read_status()['backend_servers']
        if each['service'] == 'plain'
    ]
    known = [
        each for each in shown if each and each['age_seconds'] is not None
    ]
    assert len(known) == count, shown


@behave.when('the event loop is {seconds:g} seconds behind schedule')
def set_lag(context, seconds):
    patched = mock.patch.object(
        pressure.LagMonitor, 'read_lag', lambda self: seconds
    )
    patched.start()
    context.add_cleanup(patched.stop)


@behave.given('the instance does not watch for callers that disconnect')
def disable_watch(context):
    patched = mock.patch.object(callers.Caller, 'watch', lambda self: None)
    patched.start()
    context.add_cleanup(patched.stop)


@behave.when(
    'a caller of "{path}" disconnects before its request is forwarded'
)
def disconnect_unnoticed(context, path):
    caller = exchanges.Caller(context.side.address)
    caller.send(operated.write_request(path, 'a-1'))
    caller.close()
    # The instance reads the request and the end of the connection together.
    exchanges.wait_until(
        lambda: context.side.instance.metrics.read('requests', 'caller_left')
    )
