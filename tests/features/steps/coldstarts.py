"""Steps about servers that have just started."""

import collections
import json

import behave
import gevent

from amaranthslip import errors
from amaranthslip.members import rendezvous
from amaranthslip.platform import backends
from amaranthslip.platform import configurations
from tests.support import cold_start_machine
from tests.support import exchanges
from tests.support import machines
from tests.support import operated

_LIMIT = int(cold_start_machine.BOUND / 2)
_TICK_SECONDS = 0.05


@behave.when(
    'the cold start state machine runs {runs:d} times with {steps:d} steps'
)
def run_machine(context, runs, steps):
    machines.run_machine(
        context, cold_start_machine.ColdStartMachine, runs=runs, steps=steps
    )


@behave.then('no run of the cold start state machine failed')
def check_machine(context):
    assert context.machine_error is None, context.machine_error


def _start_fleet(context, servers, cold_seconds):
    context.fleet = cold_start_machine.Fleet()
    context.servers = [f's{number}' for number in range(servers)]
    # Long enough for the first second of the instances.
    context.fleet.now += 10.0
    for name in context.servers:
        context.fleet.store.write(
            f'servers/{name}',
            cold_start_machine.build_server(name, 1, cold_seconds),
        )
    _follow(context)


def _follow(context):
    for instance in context.fleet.running.values():
        instance.follow()


def _get_server(context, name):
    directory = context.fleet.running['m0'].directory
    return directory.get(name)


@behave.given('five instances and a server that has just started')
def start_one(context):
    _start_fleet(context, 1, cold_start_machine.COLD_SECONDS)


@behave.given('five instances and {count:d} servers that have just started')
def start_many(context, count):
    _start_fleet(context, count, cold_start_machine.COLD_SECONDS)


@behave.given('five instances and a warm server')
def start_warm(context):
    _start_fleet(context, 1, 0.0)


@behave.when('its quotas are assigned')
def assign(context):
    for instance in context.fleet.running.values():
        instance.assigner.step()
    _follow(context)
    (quotas,) = {
        tuple(instance.quotas.read('s0').items())
        for instance in context.fleet.running.values()
    }
    context.quotas = dict(quotas)


@behave.when(
    'its quotas are assigned and all instances send to it for {seconds:g} s'
)
@behave.when(
    'their quotas are assigned and all instances send to them for'
    ' {seconds:g} s'
)
def assign_and_send(context, seconds):
    assign(context)
    context.arrivals = collections.defaultdict(list)
    start = context.fleet.now
    while context.fleet.now < start + seconds:
        _send_from_all(context)
        context.fleet.now += _TICK_SECONDS
        _follow(context)


def _send_from_all(context):
    for instance in context.fleet.running.values():
        for name in context.servers:
            for _ in range(cold_start_machine.BURST):
                if instance.send(name):
                    context.arrivals[name].append(context.fleet.now)


@behave.then('it received {count:d} requests in each second')
def check_used(context, count):
    times = context.arrivals['s0']
    assert len(times) == 3 * count, times


@behave.then('no server received more than {count:d} requests in any second')
def check_no_herd(context, count):
    for times in context.arrivals.values():
        for end in times:
            assert sum(end - 1.0 < each <= end for each in times) <= count


@behave.then('all servers received requests')
def check_all_used(context):
    assert sorted(context.arrivals) == sorted(context.servers)


@behave.when('all instances send to it without quotas')
def send_without_quotas(context):
    context.arrivals = collections.defaultdict(list)
    _send_from_all(context)


@behave.then('it received no request')
def check_unused(context):
    assert not context.arrivals


@behave.when(
    'an instance with a quota does not reach the store for {seconds:g} s'
)
def lose_store(context, seconds):
    context.instance = context.fleet.running[next(iter(context.quotas))]
    context.fleet.now += seconds - 0.2
    # The server became cold again just before.
    context.instance.directory.put(
        cold_start_machine.build_server(
            's0', 1, cold_start_machine.COLD_SECONDS
        )
    )
    assert not context.instance.cold_starts.read_wait(
        _get_server(context, 's0')
    )
    context.fleet.now += 0.2


@behave.then('this instance may not send to a cold server')
def check_spared(context):
    assert not context.instance.send('s0')


@behave.when('an instance with a quota uses it up and restarts')
def restart_instance(context):
    name, quota = next(iter(context.quotas.items()))
    instance = context.fleet.running[name]
    assert [instance.send('s0') for _ in range(quota)] == [True] * quota
    context.fleet.now += 0.1
    context.instance = cold_start_machine.Instance(context.fleet, name)


@behave.then('this instance may not send to it within the same second')
def check_restarted(context):
    assert not context.instance.send('s0')
    context.fleet.now += 1.0
    assert context.instance.send('s0')


@behave.when('the instance that assigns quotas first has died unnoticed')
def kill_assigner(context):
    (first, *_) = rendezvous.pick('a', cold_start_machine.NAMES, 1)
    del context.fleet.running[first]


@behave.then('the quotas are assigned within {seconds:g} s')
def check_assigned(context, seconds):
    end = context.fleet.now + seconds
    while context.fleet.now < end:
        for instance in context.fleet.running.values():
            instance.assigner.step()
        context.fleet.now += _TICK_SECONDS
        _follow(context)
    for instance in context.fleet.running.values():
        assert sum(instance.quotas.read('s0').values()) == _LIMIT


@behave.when('its failure domain is evacuated for {seconds:g} s')
def evacuate(context, seconds):
    context.fleet.store.write('evacuate/a', b'{}')
    _follow(context)
    context.fleet.now += seconds
    context.fleet.store.write('evacuate/a', None)
    _follow(context)


@behave.when(
    'its failure domain is evacuated for {seconds:g} s, with quotas assigned'
    ' meanwhile'
)
def evacuate_and_assign(context, seconds):
    context.fleet.store.write('evacuate/a', b'{}')
    _follow(context)
    assign(context)
    context.fleet.now += seconds
    context.fleet.store.write('evacuate/a', None)


@behave.when('an instance without a quota starts')
def start_without_quota(context):
    name = next(
        each for each in context.fleet.running if each not in context.quotas
    )
    context.instance = cold_start_machine.Instance(context.fleet, name)


@behave.then('it sends nothing to the server for {seconds:g} s')
def check_sends_nothing(context, seconds):
    context.fleet.now += seconds - 0.1
    context.instance.freshness.confirm(context.fleet.now)
    assert not context.instance.send('s0')
    context.fleet.now += 0.2
    assert context.instance.send('s0')


@behave.then('the instances count it as cold for {seconds:g} s')
def check_cold(context, seconds):
    server = _get_server(context, 's0')
    for instance in context.fleet.running.values():
        remaining = instance.cold_starts.read_remaining(server)
        assert abs(remaining - seconds) < 1e-6, remaining


@behave.given('an entry whose cold time is {value}')
def write_entry(context, value):
    _start_fleet(context, 0, 0.0)
    entry = {
        'service': 'llm',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 8,
        'state': 'ready',
    }
    if value != 'missing':
        entry['cold_remaining_ms'] = json.loads(value)
    server = backends.read_backend_server(
        'servers/s0', json.dumps(entry).encode()
    )
    context.fleet.store.write('servers/s0', server)
    _follow(context)


@behave.then(
    'its server counts as cold for {seconds:g} s from its first listing'
)
def check_counts_as_cold(context, seconds):
    check_cold(context, seconds)
    context.fleet.now += seconds - 0.1
    context.fleet.store.write('servers/s0', _get_server(context, 's0'))
    _follow(context)
    check_cold(context, 0.1)


@behave.when('a new configuration halves the rate of cold servers')
def halve_rate(context):
    for instance in context.fleet.running.values():
        service = instance.holder.document.services['llm']
        service.cold_rate /= 2


@behave.then('no instance may send to it')
def check_no_instance(context):
    for instance in context.fleet.running.values():
        assert not instance.send('s0')


@behave.given("an operator's configuration with a cold rate of {rate:d}")
def write_configuration(context, rate):
    values = operated.build_configuration()
    values['services'][1]['cold_per_s'] = rate
    context.value = json.dumps(values).encode()


@behave.then(
    'the configuration is rejected with an error that names the service'
)
def check_rejected(context):
    try:
        configurations.read_document(context.value)
    except errors.ConfigurationDamaged as error:
        assert 'llm' in str(error) and 'cold_per_s' in str(error), error
    else:
        raise AssertionError('accepted')


def _start_instance(context, bounds, **cold_milliseconds):
    context.side = operated.InstanceFixture(
        bounds={
            'revoke_milliseconds': 60000,
            'apply_milliseconds': 30000,
            'drain_milliseconds': 30000,
            'evacuate_milliseconds': 30000,
        }
        | bounds
    )
    context.add_cleanup(context.side.close)
    services = operated.build_configuration()['services']
    services[0] |= {'cold_start_s': 60.0, 'cold_per_s': 2.0}
    context.side.configure(services=services)
    for name, milliseconds in cold_milliseconds.items():
        context.side.register(
            operated.Backend(name, service='plain'),
            cold_remaining_ms=milliseconds,
        )
    context.side.start()


@behave.given('an instance on the platform with a warm and a cold server')
def start_warm_and_cold(context):
    _start_instance(context, {'cold_rate_factor': 2.0}, warm=0, cold=60000)
    instance = context.side.instance
    server = instance._directory.get('cold')
    # Until the quotas are in force.
    exchanges.wait_until(lambda: not instance._cold_starts.read_wait(server))


@behave.when('{count:d} requests for "{path}" come at the same time')
def send_at_once(context, count, path):
    greenlets = {
        f'a-{number}': gevent.spawn(
            context.side.send_request, path, key='', attempt=f'a-{number}'
        )
        for number in range(count)
    }
    gevent.joinall(greenlets.values(), raise_error=True)
    context.answers = {name: each.value for name, each in greenlets.items()}


@behave.then('the cold server received 1 to {count:d} requests')
def check_cold_server(context, count):
    assert 0 < len(context.side.backends['cold'].requests) <= count


@behave.given(
    'an instance on the platform with two cold servers without quotas'
)
def start_cold(context):
    # A limit below one request per second leaves no quotas.
    _start_instance(
        context, {'cold_rate_factor': 0.1}, cold_1=60000, cold_2=60000
    )
