"""Steps about backend servers that crash during requests."""

import itertools
import json
import re

import behave
from gevent import event

from amaranthslip.platform import backends
from tests.support import callers
from tests.support import exchanges
from tests.support import log_capture
from tests.support import machines
from tests.support import operated
from tests.support import quarantine_machine


_REQUEST = b'request'
_COMMON = b'common'
_BOUNDS = {'revoke_milliseconds': 60000, 'apply_milliseconds': 30000}
# Crashes after which a request is refused, and the number of further crashes
# that the test tolerates.
_CRASH_LIMIT = 3
_MAX_FURTHER_CRASHES = 3


@behave.given('{count:d} instances in front of {servers:d} engines')
def start_instances(context, count, servers):
    context.sides = []
    for number in range(count):
        side = operated.InstanceFixture(
            platform_of=context.sides[0] if context.sides else None,
            bounds=_BOUNDS,
            instance={'name': f'e{number}'},
        )
        context.add_cleanup(side.close)
        context.sides.append(side)
    first = context.sides[0]
    first.configure()
    for number in range(servers):
        name = f'llm-{number}'
        first.register(operated.Backend(name, service='llm'))
    for side in context.sides:
        side.start()
    for side in context.sides:
        side.wait_for_members(count)


@behave.given('the engines crash under the request "{body}"')
def crash_engines(context, body):
    def respond(backend, sock, request):
        if request.body == body.encode():
            return operated.crash(backend, sock, request)
        return operated.stream(1, 3)(backend, sock, request)

    for each in context.sides[0].backends.values():
        each.default_plan = respond


@behave.when(
    'the request "{body}" for "{path}" is sent {count:d} times, to each'
    ' instance in turn'
)
def send_in_turn(context, body, path, count):
    context.answers = [
        context.sides[number % len(context.sides)].send_request(
            path, body=body.encode(), attempt=f'{body}-{number}'
        )
        for number in range(count)
    ]


def _count_crashed(context):
    backends = context.sides[0].backends.values()
    return sum(each.crashed for each in backends)


@behave.then('at most the allowed number of engines have crashed')
def check_crash_limit(context):
    crashed = _count_crashed(context)
    assert crashed <= _CRASH_LIMIT + _MAX_FURTHER_CRASHES, crashed


@behave.then('{count:d} engines have crashed')
def check_crashed(context, count):
    assert _count_crashed(context) == count, _count_crashed(context)


@behave.then('each instance refuses "{body}" for "{path}" as "{code}"')
def check_refused(context, body, path, code):
    for side in context.sides:
        # The last report may still be in transit.
        exchanges.wait_until(lambda: side.read_status()['quarantined'])
        answer = side.send_request(path, body=body.encode())
        assert answer.status == 429, answer.data
        assert answer.error['code'] == code, answer.data
        assert answer.error['not_run'] is True
        assert float(answer.headers['retry-after']) > 0


@behave.then('each instance serves "{body}" for "{path}"')
def check_served(context, body, path):
    for side in context.sides:
        answer = side.send_request(path, body=body.encode())
        assert answer.status == 200 and answer.complete, answer.data


def _list_quarantine_keys(context):
    return [
        key for key in context.sides[0].list_keys() if '/quarantine/' in key
    ]


@behave.when('all instances are replaced after the quarantine is stored')
def replace_instances(context):
    exchanges.wait_until(lambda: _list_quarantine_keys(context))
    platform = context.sides[0]
    for side in context.sides:
        side.instance.close()
    context.sides = []
    for number in range(3):
        side = operated.InstanceFixture(
            platform_of=platform,
            bounds=_BOUNDS,
            instance={'name': f'n{number}'},
        )
        context.add_cleanup(side.close)
        side.start()
        context.sides.append(side)


@behave.when('the operator deletes the stored quarantine entry')
def delete_quarantine_entry(context):
    exchanges.wait_until(lambda: _list_quarantine_keys(context))
    (key,) = _list_quarantine_keys(context)
    context.sides[0].send_store_command('/standin/remove', key=key)
    for side in context.sides:
        exchanges.wait_until(lambda: not side.read_status()['quarantined'])


@behave.when('the engines are fixed')
def fix_engines(context):
    for each in context.sides[0].backends.values():
        each.default_plan = operated.stream(1, 3)


@behave.given('the engines crash under the request "{body}", and delay others')
def crash_or_delay(context, body):
    context.release = event.Event()

    def respond(backend, sock, request):
        if request.body == body.encode():
            return operated.crash(backend, sock, request)
        context.release.wait()
        return operated.stream(1, 3)(backend, sock, request)

    for each in context.sides[0].backends.values():
        each.default_plan = respond


@behave.when(
    'requests are in progress at "{path}" while "{body}" is sent {count:d}'
    ' times'
)
def crash_during_requests(context, path, body, count):
    context.path = path
    context.delayed = {
        f'other-{number}': operated.spawn(
            context.sides[number % 3].send_request,
            path,
            body=b'other-%d' % number,
            attempt=f'other-{number}',
        )
        for number in range(12)
    }
    for _ in range(count):
        exchanges.wait_until(lambda: _count_started(context) == 12)
        context.sides[0].send_request(path, body=body.encode(), attempt='p')
    context.release.set()


def _count_started(context):
    """Return how many delayed requests are running or have ended."""
    backends = context.sides[0].backends.values()
    running = sum(each.running for each in backends if not each.crashed)
    return running + sum(each.ready() for each in context.delayed.values())


@behave.then('the delayed requests are answered, or served when sent again')
def check_delayed(context):
    for name, delayed in context.delayed.items():
        answer = delayed.get()
        if answer.status != 200:
            assert answer.status == 502, answer.data
            answer = context.sides[0].send_request(
                context.path, body=name.encode()
            )
        assert answer.status == 200 and answer.complete, answer.data


def _crash_on_request(script, sock):
    if script.read(sock):
        script.crash()


@behave.given(
    'an entry in front of six plain servers and six engines that crash'
)
def start_entry(context):
    context.scripts = [
        exchanges.ScriptedServer(_crash_on_request) for _ in range(12)
    ]
    addresses = [each.address for each in context.scripts]
    context.entry_side = callers.EntryFixture(
        callers.build_document(addresses[:6], addresses[6:])
    )
    context.add_cleanup(context.entry_side.close)
    for script in context.scripts:
        context.add_cleanup(script.close)


_REQUESTS_BY_KIND = {
    'plain': ('GET', '/services/booking/status/1'),
    'chat': ('POST', '/v1/chat/completions', exchanges.write_chat('x')),
    'streamed': (
        'POST',
        '/v1/chat/completions',
        exchanges.write_chat('x', stream=True),
    ),
}


@behave.when('the same {kind} request is sent {count:d} times')
def send_same_request(context, kind, count):
    context.answers = [
        exchanges.send_request(context.entry_side, *_REQUESTS_BY_KIND[kind])
        for _ in range(count)
    ]


@behave.then('the last attempt is refused as "{code}"')
def check_last_refused(context, code):
    last = context.answers[-1]
    assert (last.status, last.error['code']) == (429, code), last.data


@behave.then('{count:d} of the servers have crashed')
def check_crashed_scripts(context, count):
    crashed = sum(each.crashed for each in context.scripts)
    assert crashed == count, crashed


@behave.given(
    'a fleet in which servers crashed {count:d} times under a request'
)
def start_fleet(context, count):
    context.fleet = quarantine_machine.Fleet()
    context.servers = itertools.count(1)
    crash_under_request(context, count)


def _report_crash(context, last_event=0):
    number = next(context.servers)
    names = sorted(context.fleet.running)
    instance = context.fleet.running[names[number % 2]]
    instance.exchange.report(
        _REQUEST, f'server-{number}', number, last_event=last_event
    )
    context.fleet.deliver()


@behave.given(
    'a fleet in which one configured server crashed {count:d} times under a'
    ' request'
)
def crash_configured_server(context, count):
    context.fleet = quarantine_machine.Fleet()
    for _ in range(count):
        # Reports less than a second apart would count as the same crash.
        context.fleet.now += 5.0
        context.fleet.running['m0'].exchange.report(
            _REQUEST, 'server', 0, last_event=0
        )
        context.fleet.deliver()


@behave.given('a fleet of instances without crashes')
def start_quiet_fleet(context):
    context.fleet = quarantine_machine.Fleet()


@behave.when(
    'one crash of a listed server is reported {count:d} times, {seconds:d} s'
    ' apart'
)
def report_repeatedly(context, count, seconds):
    entry = {
        'service': 'llm',
        'address': '127.0.0.1:1',
        'zone': 'a',
        'slots': 8,
        'state': 'ready',
    }
    server = backends.read_backend_server(
        f'{backends.PREFIX}i-1', json.dumps(entry).encode()
    )
    for number in range(count):
        context.fleet.now += seconds
        name = sorted(context.fleet.running)[number]
        context.fleet.running[name].exchange.report(
            _REQUEST, server.name, server.incarnation, last_event=0
        )
        context.fleet.deliver()


def _crash_under(context, fingerprints):
    """Let one more server crash, with all these requests in flight."""
    number = next(context.servers)
    for fingerprint in fingerprints:
        context.fleet.running['m0'].exchange.report(
            fingerprint, f'server-{number}', number, last_event=0
        )
    context.fleet.deliver()


@behave.given(
    'a fleet in which servers crashed {count:d} times under a common and a'
    ' deadly request'
)
def crash_under_both(context, count):
    context.deadly = (_REQUEST,)
    _start_with_shared_crashes(context, count)


@behave.given(
    'a fleet in which servers crashed {count:d} times under two deadly'
    ' requests'
)
def crash_under_two_deadly(context, count):
    context.deadly = (_REQUEST, _COMMON)
    _start_with_shared_crashes(context, count)


def _start_with_shared_crashes(context, count):
    context.fleet = quarantine_machine.Fleet()
    context.servers = itertools.count(1)
    context.further_crashes = 0
    context.undecided_trials = 0
    for _ in range(count):
        _crash_under(context, (_REQUEST, _COMMON))


@behave.given('the first trial of the common request ends without an outcome')
def leave_trial_undecided(context):
    context.undecided_trials = 1


@behave.when('both are sent to each instance for {seconds:d} seconds')
def send_both(context, seconds):
    for _ in range(2 * seconds):
        context.fleet.now += 0.5
        for instance in context.fleet.running.values():
            admitted = [
                fingerprint
                for fingerprint in (_REQUEST, _COMMON)
                if instance.admits(fingerprint)
            ]
            if set(admitted) & set(context.deadly):
                # Whatever is in flight at this instance shares the crash.
                context.further_crashes += 1
                _crash_under(context, admitted)
            elif admitted and context.undecided_trials:
                context.undecided_trials -= 1
            elif admitted:
                instance.exchange.complete(_COMMON)
                context.fleet.deliver()


@behave.then('each instance admits the common request')
def check_common_admitted(context):
    for instance in context.fleet.running.values():
        assert instance.admits(_COMMON), instance.name


@behave.then(
    'each instance refuses the deadly one, which crashed at most {count:d}'
    ' more servers'
)
@behave.then(
    'each instance refuses both, and they crashed at most {count:d} more'
    ' servers'
)
def check_deadly_refused(context, count):
    for instance in context.fleet.running.values():
        for fingerprint in context.deadly:
            assert not instance.admits(fingerprint), instance.name
    assert context.further_crashes <= count, context.further_crashes


@behave.when('the store is written, and all instances are replaced')
def replace_fleet(context):
    for instance in context.fleet.running.values():
        instance.write()
    for name in context.fleet.running:
        context.fleet.running[name] = quarantine_machine.Instance(
            context.fleet, name
        )
    for instance in context.fleet.running.values():
        instance.read()


@behave.when(
    'the request completes at the instance that reported the last crash'
)
def complete_at_reporter(context):
    # The entry is written, but the instances do not load its revision before
    # the completion.
    for instance in context.fleet.running.values():
        instance.write()
    context.fleet.running['m1'].exchange.complete(_REQUEST)
    context.fleet.deliver()


@behave.when('servers crash {count:d} times under the request')
def crash_under_request(context, count):
    for _ in range(count):
        _report_crash(context)


@behave.when('servers crash under the request after the events {numbers}')
def crash_after_events(context, numbers):
    for number in re.findall('[0-9]+', numbers):
        _report_crash(context, int(number))


def _list_admitting(context):
    return [
        each.name
        for each in context.fleet.running.values()
        if each.admits(_REQUEST)
    ]


@behave.when(
    'the request is sent {count:d} times at intervals of {seconds:d} seconds'
)
def send_repeatedly(context, count, seconds):
    context.admitting_instances = []
    for _ in range(count):
        context.fleet.now += seconds
        context.admitting_instances.append(_list_admitting(context))


@behave.then('the fleet refused the request each time')
def check_each_refused(context):
    assert not any(context.admitting_instances), context.admitting_instances


@behave.when('{seconds:d} seconds pass')
def pass_time(context, seconds):
    context.fleet.now += seconds


@behave.when(
    'the request completes at another instance, and {seconds:d} seconds pass'
)
def complete_elsewhere(context, seconds):
    context.fleet.running['m3'].exchange.complete(_REQUEST)
    context.fleet.deliver()
    context.fleet.now += seconds


@behave.then('the fleet admits the request')
def check_admitted(context):
    assert len(_list_admitting(context)) == len(context.fleet.running)


@behave.then('the fleet refuses the request')
def check_not_admitted(context):
    assert not _list_admitting(context)


@behave.when(
    'the quarantine state machine runs {runs:d} times with {steps:d} steps'
)
def run_machine(context, runs, steps):
    machines.run_machine(
        context, quarantine_machine.QuarantineMachine, runs=runs, steps=steps
    )


@behave.then('no run of the quarantine state machine failed')
def check_machine(context):
    assert context.machine_error is None, context.machine_error


@behave.given("the instance's log is captured")
def capture_log(context):
    context.log = log_capture.LogCapture('amaranthslip.entry.forwarding')
    context.add_cleanup(context.log.close)


@behave.given('the servers crash when released')
def crash_on_release(context):
    context.release = event.Event()

    def respond(backend, sock, request):
        context.release.wait()
        return operated.crash(backend, sock, request)

    for each in context.side.backends.values():
        each.default_plan = respond


@behave.when('a request for "{path}" waits for its answer')
def start_request(context, path):
    context.waiting = operated.spawn(context.side.send_request, path)
    exchanges.wait_until(lambda: _list_servers_with_requests(context))


def _list_servers_with_requests(context):
    return [each for each in context.side.backends.values() if each.requests]


@behave.when('the server running it registers as draining and exits')
def drain_and_exit(context):
    (server,) = _list_servers_with_requests(context)
    context.side.register(server, state='draining')
    context.side.wait_until_synced()
    context.release.set()
    context.answer = context.waiting.get()


@behave.then('each failed try is logged with server crashed: {crashed}')
def check_server_crashed(context, crashed):
    failed = context.log.find('try_failed')
    flags = [each.server_crashed for each in failed]
    assert flags and set(flags) == {crashed == 'yes'}, flags


@behave.then('these requests match the fingerprint of the first as listed')
def check_fingerprints(context):
    for index, row in enumerate(context.table):
        body = row['body'].encode()
        for attempt in (f'f-{index}-1', f'f-{index}-2'):
            context.side.send_request(
                row['path'], key=row['key'], body=body, attempt=attempt
            )
    sent = {
        each.request_id: each.fingerprint
        for each in context.log.find('request_sent')
    }
    first = sent['f-0-1']
    for index, row in enumerate(context.table):
        same = row['same'] == 'yes'
        own = sent[f'f-{index}-1']
        assert own == sent[f'f-{index}-2'], row
        assert (own == first) is same, row
