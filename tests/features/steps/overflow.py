"""Steps about requests that instances pass to each other."""

import behave
import gevent
from gevent import socket

from amaranthslip.entry import headers
from amaranthslip.entry import overflow
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip.members import usage
from amaranthslip.members import usage_messages
from tests.support import exchanges
from tests.support import operated
from tests.support import overflow_fleet
from tests.support import overflow_instances

_SERVER = overflow_instances.SERVER
_ENGINE = overflow_instances.ENGINE


@behave.given(
    '{count:d} instances, each of which can handle {rate:d} requests a second'
)
def build_fleet(context, count, rate):
    context.fleet = overflow_fleet.Fleet(count, rate)


@behave.when(
    'the callers of {hot:d} of them bring {requests:d} requests a second each,'
    ' for {seconds:d} seconds'
)
def bring_requests(context, hot, requests, seconds):
    context.hot = hot
    context.fleet.run(seconds, hot, requests)


def _list_usage(context, seconds):
    steps = round(seconds / overflow_fleet.STEP_SECONDS)
    instances = list(context.fleet.instances.values())
    means = [sum(each.used[-steps:]) / steps for each in instances]
    return means[: context.hot], means[context.hot :]


@behave.then(
    'in the last {seconds:d} seconds these instances are at work for {most:g}'
    ' of the time at most'
)
def check_relieved(context, seconds, most):
    hot, _ = _list_usage(context, seconds)
    assert max(hot) <= most, hot


@behave.then(
    'in the last {seconds:d} seconds no other instance is at work for more'
    ' than {most:g} of the time'
)
def check_others(context, seconds, most):
    _, others = _list_usage(context, seconds)
    assert max(others) <= most, others


@behave.then('no request is passed twice')
def check_passed_once(context):
    passing = [
        each for each in context.fleet.instances.values() if each.passed
    ]
    assert len(passing) <= context.hot, [each.name for each in passing]


@behave.then('no request was passed')
def check_none_passed(context):
    check_part_passed(context, 0.0)


@behave.then('at most {part:g} of the requests were passed')
def check_part_passed(context, part):
    instances = context.fleet.instances.values()
    passed = sum(each.passed for each in instances)
    assert passed <= part * context.fleet.arrived, passed


@behave.given('an instance at its limit that knows an idle peer')
def build_overflow(context):
    context.now = 100.0
    context.usage = 0.85
    context.lag = 0.0
    context.overflow = overflow.Overflow(
        lambda: context.usage,
        read_lag=lambda: context.lag,
        read_max_lag=lambda: 0.08,
        clock=lambda: context.now,
    )
    for _ in range(20):
        context.overflow.adjust(0.1)
    context.overflow.set_peers(
        [
            usage_messages.PeerUsage(
                name='peer', callers='127.0.0.1:1', usage=0.0
            )
        ]
    )


@behave.when('its oldest unread request has waited for {seconds:g} seconds')
def set_lag(context, seconds):
    context.lag = seconds


@behave.when('it stays at its limit for {seconds:d} seconds')
def stay(context, seconds):
    assert context.overflow.take_peer() is not None
    context.usage = 1.0
    _run(context, seconds)


def _run(context, seconds):
    for _ in range(10 * seconds):
        context.overflow.adjust(0.1)


def _measure_refused(context):
    return (
        sum(context.overflow.refuses_connection('host') for _ in range(1000))
        / 1000
    )


@behave.then(
    'between {least:g} and {most:g} of new connections are refused at once'
)
def check_refused(context, least, most):
    assert least <= _measure_refused(context) <= most


@behave.then('{seconds:d} seconds after its load has fallen none are refused')
def check_none_refused(context, seconds):
    context.usage = 0.5
    _run(context, seconds)
    assert _measure_refused(context) == 0.0


@behave.when('{seconds:d} seconds pass without a report')
def pass_time(context, seconds):
    context.now += seconds


@behave.when('the peer does not take a request')
def decline(context):
    peer = context.overflow.take_peer()
    context.overflow.note_end(peer)
    context.overflow.pause(peer)


@behave.then('no peer is chosen')
def check_no_peer(context):
    assert context.overflow.take_peer() is None


@behave.then('a second later the peer is chosen')
def check_peer(context):
    context.now += 1.0
    assert context.overflow.take_peer().name == 'peer'


@behave.when('as many requests are passed as peers are chosen for')
def pass_many(context):
    context.passed = 0
    while context.overflow.take_peer() and context.passed < 999:
        context.passed += 1


@behave.then('at most {count:d} requests are in progress at the peer')
def check_bound(context, count):
    assert 0 < context.passed <= count, context.passed


class _Outbox:
    def __init__(self):
        self.sent = []

    def send(self, name, message):
        self.sent.append((name, message))
        return True


def _build_member(name, region='r', failure_domain='a'):
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain=failure_domain,
        region=region,
    )


@behave.given('an instance that aggregates the usage of the fleet')
def build_exchange(context):
    context.now = 100.0
    context.roster = own = roster.Roster(_build_member('aggregator'))
    for name in ('idle', 'busy', 'hot'):
        own.put(_build_member(name))
    own.put(_build_member('far', 'elsewhere'))
    context.outbox = _Outbox()
    context.exchange = usage.UsageExchange(
        own,
        context.outbox,
        usage.UsageTable(overflow.MAX_TAKING_USAGE, clock=lambda: context.now),
        read_usage=lambda: 0.0,
        read_address=lambda: '127.0.0.1:1',
        is_enabled=lambda: True,
        on_peers=lambda peers: None,
    )


def _report(context, name, value):
    context.exchange.receive(
        name,
        usage_messages.InstanceUsage(
            callers=f'{name}:1', usage=value, needs_peers=value > 0.5
        ),
    )


@behave.when(
    '"{one}" reports a usage of {first:g}, "{two}" one of {second:g} and'
    ' "{three}" in another region one of {third:g}'
)
def report_three(context, one, first, two, second, three, third):
    _report(context, one, first)
    _report(context, two, second)
    _report(context, three, third)


@behave.when(
    '"{one}" in the failure domain "{far}" and "{two}" in "{near}" report a'
    ' usage of {value:g}'
)
def report_two(context, one, far, two, near, value):
    context.roster.put(_build_member(one, failure_domain=far))
    context.roster.put(_build_member(two, failure_domain=near))
    _report(context, one, value)
    _report(context, two, value)


@behave.when('"{name}" reports a usage of {value:g}')
def report_one(context, name, value):
    context.outbox.sent.clear()
    _report(context, name, value)


def _list_told(context, name):
    receiver, message = context.outbox.sent[-1]
    assert receiver == name
    return [each.name for each in message.peers]


@behave.then('"{name}" is told "{peer}" alone')
def check_told(context, name, peer):
    assert _list_told(context, name) == [peer]


@behave.then('{seconds:d} seconds later "{name}" is told nobody')
def check_told_none(context, seconds, name):
    context.now += seconds
    _report(context, name, 0.9)
    assert _list_told(context, name) == []


def _start(context, count, **options):
    context.instances = overflow_instances.start(context, count, **options)
    return context.instances


def _count_events(fixture, event):
    return fixture.instance.metrics.read('passed_requests', event)


@behave.given('two instances, the first of which is at its limit')
def start_two(context):
    first, second = _start(context, 2)
    overflow_instances.overload(first, 'e1', second.address)


@behave.given(
    "two instances whose servers' capacity is not learnt, the first of which"
    ' is at its limit'
)
def start_two_with_known_capacity(context):
    first, second = _start(context, 2, adaptive='never')
    overflow_instances.overload(first, 'e1', second.address)


@behave.given('two instances that are both at their limit')
def start_two_overloaded(context):
    start_two(context)
    context.instances[1].instance.loop_usage.fraction = 1.0


@behave.given('the server answers 503 with the header of a declined request')
def answer_declined(context):
    server = context.instances[0].backends[_SERVER]
    server.default_plan = operated.answer(
        '503 Service Unavailable', Amaranthslip_Passed_Declined='1'
    )


@behave.given('the second instance is being stopped')
def stop_second(context):
    # Its first step, before requests are refused.
    stopping = gevent.spawn(context.instances[1].instance.stop)
    context.add_cleanup(stopping.kill)
    exchanges.wait_until(lambda: not context.instances[1].instance.is_ready())


@behave.then('the server ran the request once')
def check_ran_once(context):
    server = context.instances[0].backends[_SERVER]
    assert len(server.requests) == 1, server.requests


@behave.given('an instance at its limit that can not reach its peer')
def start_with_lost_peer(context):
    _start(context, 1)
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        overflow_instances.overload(
            context.instances[0], 'e0', unused.getsockname()
        )


@behave.when('a caller sends a booking to the first instance')
def send_once(context):
    context.received = context.instances[0].send_request('/write/x')


@behave.when('another one leaves before the first instance reads its request')
def leave_early(context):
    first = context.instances[0]
    caller = exchanges.Caller(first.address)
    # Nothing else runs between the two.
    caller.send(operated.write_request('/write/x', 'a-2'))
    caller.close()
    exchanges.wait_until(
        lambda: first.instance.metrics.read('requests', 'caller_left') == 1
    )


@behave.then('the second instance got {count:d} request')
def check_second_got(context, count):
    assert _count_events(context.instances[1], 'taken') == count


@behave.when('a request that was passed with a newer configuration arrives')
def send_newer(context):
    version = context.instances[1].instance.version + 1
    context.received = context.instances[1].send_request(
        '/write/x', Amaranthslip_Passed_Version=str(version)
    )


@behave.when(
    'a caller sends a request with the header of a passed request from another'
    ' address'
)
def send_marked(context):
    connection = exchanges.Caller.__new__(exchanges.Caller)
    connection.socket = socket.create_connection(
        context.instances[0].address,
        timeout=20,
        source_address=('127.0.0.2', 0),
    )
    context.add_cleanup(connection.close)
    context.received = context.instances[0].send_request(
        '/write/x', caller=connection, Amaranthslip_Passed_Version='99'
    )


@behave.when(
    'a caller asks the first instance for a stream of {count:d} events'
)
def ask_stream(context, count):
    engine = context.instances[0].backends[_ENGINE]
    engine.default_plan = operated.stream(1, count)
    context.received = context.instances[0].send_request('/once/x')


@behave.when(
    'a caller asks for a stream that its server cuts after {count:d} events'
)
def ask_cut_stream(context, count):
    engine = context.instances[0].backends[_ENGINE]
    engine.default_plan = operated.stream(1, count, end=False)
    context.received = context.instances[0].send_request('/once/x')


@behave.then("the caller gets the server's whole answer")
def check_answer(context):
    received = context.received
    assert received.status == 200, received.data
    assert received.body == _SERVER.encode(), received.data


@behave.then('the second instance ran the request')
def check_second_ran(context):
    assert _count_events(context.instances[0], 'passed') == 1
    assert _count_events(context.instances[1], 'taken') == 1


@behave.then('the first instance ran the request')
def check_first_ran(context):
    server = context.instances[0].backends[_SERVER]
    assert len(server.requests) == 1, server.requests
    for each in context.instances[1:]:
        assert _count_events(each, 'taken') == 0


@behave.then('the instance declines the request, which does not run')
def check_declined(context):
    assert context.received.status == 503, context.received.data
    assert 'amaranthslip-passed-declined' in context.received.headers
    assert context.instances[0].backends[_SERVER].requests == []


@behave.then(
    'the caller gets the events 1 to {count:d} and the end of the stream'
)
def check_stream(context, count):
    assert context.received.complete, context.received.data
    assert context.received.body == operated.write_events(1, count)


@behave.then(
    'the caller gets the events 1 to {count:d} and no end of the stream'
)
def check_cut_stream(context, count):
    assert not context.received.complete, context.received.data
    assert context.received.body == operated.write_events(1, count)


@behave.then('the caller gets the status {status:d}')
def check_status(context, status):
    assert context.received.status == status, context.received.data


@behave.then('the request ran nowhere else')
def check_ran_nowhere(context):
    assert context.instances[0].backends[_SERVER].requests == []


@behave.then('the header counts for nothing and reaches no server')
def check_header_ignored(context):
    assert _count_events(context.instances[0], 'taken') == 0
    assert _count_events(context.instances[0], 'declined') == 0
    (request,) = context.instances[0].backends[_SERVER].requests
    names = operated.Request(request).headers
    assert headers.PASSED_VERSION.lower() not in names, names
