"""Steps about the regions to which routes and accounts are bound."""

import behave

from amaranthslip import entries
from tests.support import exchanges
from tests.support import log_capture
from tests.support import operated


@behave.given(
    'an instance on the platform with a plain server in each of the regions'
    ' "r1" and "r2"'
)
def start_instance(context):
    context.log = log_capture.LogCapture(entries.__name__)
    context.add_cleanup(context.log.close)
    context.side = operated.InstanceFixture(
        bounds={'revoke_milliseconds': 60000, 'apply_milliseconds': 30000},
        instance={
            'name': 'router-1',
            'failure_domain': 'a',
            'region': 'r1',
            'regions': {'a': 'r1', 'b': 'r2'},
        },
    )
    context.add_cleanup(context.side.close)
    context.side.configure()
    context.version = 1
    for zone in ('a', 'b', 'unknown'):
        context.side.register(
            operated.Backend(f'plain-{zone}', service='plain', zone=zone)
        )
    context.side.start()


@behave.when(
    'the operator allows the regions "{route}" for the route and "{account}"'
    ' for the account'
)
@behave.when(
    'the operator allows the regions "{route}" for the route and "" for the'
    ' account'
)
@behave.when(
    'the operator allows the regions "" for the route and "{account}" for the'
    ' account'
)
def allow_regions(context, route='', account=''):
    configuration = operated.build_configuration()
    if route:
        configuration['routes'][0]['allowed_regions'] = route.split()
    if account:
        configuration['tenants'][0]['allowed_regions'] = account.split()
    _configure(context, configuration)


def _configure(context, configuration):
    context.version += 1
    context.side.configure(
        context.version,
        routes=configuration['routes'],
        tenants=configuration['tenants'],
    )
    context.side.wait_until_synced()


@behave.when('{count:d} requests for "{path}" are sent with the key "{key}"')
def send(context, count, path, key):
    for number in range(count):
        answer = context.side.send_request(
            path, attempt=f'a-{number}', key=key
        )
        assert answer.status == 200, answer.data


@behave.then('only the server in "{region}" received requests')
def check_regions(context, region):
    zone = {'r1': 'a', 'r2': 'b'}[region]
    received = {
        each.zone for each in context.side.backends.values() if each.requests
    }
    assert received == {zone}, received


@behave.when('the operator writes allowed regions in another form')
def write_other_form(context):
    configuration = operated.build_configuration()
    configuration['routes'][0]['allowed_regions'] = 'r1'
    context.version += 1
    context.side.configure(context.version, routes=configuration['routes'])
    exchanges.wait_until(lambda: context.log.find('configuration_unreadable'))


@behave.then(
    'version {version:d} is still in force, and the log names the field'
)
def check_rejected(context, version):
    assert context.side.instance.version == version
    (record,) = context.log.find('configuration_unreadable')
    assert 'allowed_regions' in str(record.error), record.error
