"""Steps about the evacuation of failure domains."""

from unittest import mock

import behave
import gevent
from gevent import event

from amaranthslip.capacity import directory as directory_module
from tests.support import exchanges
from tests.support import log_capture
from tests.support import operated

_PREFIX = 'op/evacuate/'


@behave.given(
    'an instance on the platform with a plain server in each of the failure'
    ' domains "a" and "b"'
)
def start_instance(context):
    context.log = log_capture.LogCapture(directory_module.__name__)
    context.add_cleanup(context.log.close)
    context.side = operated.InstanceFixture(
        bounds={'revoke_milliseconds': 60000, 'apply_milliseconds': 30000},
        shutdown={'notice_seconds': 0.1, 'finish_seconds': 30},
    )
    context.add_cleanup(context.side.close)
    context.side.configure()
    context.version = 1
    for zone in ('a', 'b'):
        context.side.register(
            operated.Backend(f'plain-{zone}', service='plain', zone=zone)
        )
    context.side.start()


def _evacuate(context, domain):
    context.side.send_store_command(
        '/standin/put', key=_PREFIX + domain, text='{}'
    )


def _end_evacuation(context, domain):
    context.side.send_store_command('/standin/remove', key=_PREFIX + domain)


@behave.given('the operator evacuates "{domain}"')
@behave.when('the operator evacuates "{domain}"')
def evacuate(context, domain):
    _evacuate(context, domain)
    context.side.wait_until_synced()


@behave.when('the operator ends the evacuation of "{domain}"')
def end_evacuation(context, domain):
    _end_evacuation(context, domain)
    context.side.wait_until_synced()


@behave.when('another plain server registers in "{domain}"')
def register_another(context, domain):
    context.side.register(
        operated.Backend('plain-late', service='plain', zone=domain)
    )
    context.side.wait_until_synced()


@behave.when('another instance starts on the same platform')
def start_another(context):
    context.other = operated.InstanceFixture(
        platform_of=context.side,
        instance={'name': 'other', 'failure_domain': 'a', 'region': 'r'},
    )
    context.add_cleanup(context.other.close)
    context.other.start()


@behave.when('{count:d} requests for "{path}" come to it one after the other')
def send_to_other(context, count, path):
    context.answers = {
        f'a-{number}': context.other.send_request(path, attempt=f'a-{number}')
        for number in range(count)
    }


@behave.when(
    'the store {fault} while the operator ends the evacuation of "{old}" and'
    ' evacuates "{new}"'
)
def change_in_gap(context, fault, old, new):
    side = context.side
    side.send_store_command('/standin/faults', mode='refuse')
    exchanges.wait_until(lambda: not side.instance.reaches_store)
    _end_evacuation(context, old)
    _evacuate(context, new)
    if fault == 'is overwhelmed by edits':
        for version in range(2, 40):
            side.configure(version)
    if fault == 'drops its history':
        side.send_store_command('/standin/compact')
    side.send_store_command('/standin/faults', mode='up')
    side.wait_until_synced()


@behave.when('the store stops answering')
def stop_store(context):
    context.side.send_store_command('/standin/faults', mode='down')
    exchanges.wait_until(lambda: not context.side.instance.reaches_store)


@behave.given(
    '"{domain}" is evacuated after the first server for a request is selected'
)
def evacuate_after_selection(context, domain):
    instance = context.side.instance
    placement = instance._keepers._placement
    select = placement.select_place

    def select_place(_, request):
        place = select(request)
        while not instance._directory.list_evacuated():
            if place.server.failure_domain == domain:
                instance._directory.evacuate(domain)
                break
            place.cancel()
            place = select(request)
        return place

    patch = mock.patch.object(type(placement), 'select_place', select_place)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when(
    '"a" and "b" are evacuated while a request for "{path}" is in progress'
)
def evacuate_in_progress(context, path):
    received, release = event.Event(), event.Event()

    def respond(backend, sock, request):
        received.set()
        release.wait()
        sock.sendall(operated.write_sealed(backend, request, b'whole'))

    for each in context.side.backends.values():
        each.default_plan = respond
    sending = gevent.spawn(context.side.send_request, path)
    assert received.wait(10)
    for domain in ('a', 'b'):
        evacuate(context, domain)
    release.set()
    context.answer = sending.get(timeout=10)


@behave.then('the servers in "{domain}" received no request')
def check_none_received(context, domain):
    assert not _count_requests(context, domain)


@behave.then('the servers in "{domain}" received a request')
def check_received(context, domain):
    assert _count_requests(context, domain)


def _count_requests(context, domain):
    return sum(
        len(each.requests)
        for each in context.side.backends.values()
        if each.zone == domain
    )


@behave.then('the status page lists "{domain}" as evacuated')
def check_status(context, domain):
    assert context.side.read_status()['evacuated'] == [domain]


@behave.then(
    'the log has a warning about an evacuation of "{domain}" without servers'
)
def check_warning(context, domain):
    found = context.log.find('evacuation_without_servers')
    assert [each.failure_domain for each in found] == [domain]
