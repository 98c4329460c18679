"""Steps about parts of prompts that crash the engines."""

import behave
import gevent

from amaranthslip.requests import fingerprints
from tests.support import crashing_parts
from tests.support import exchanges
from tests.support import log_capture
from tests.support import operated

_DEADLY = crashing_parts.DEADLY_PART
# Parts that sound requests share.
_SYSTEM, _TOOLS = 'aa01', 'bb02'
# Parts that come with the deadly one only.
_FILLERS = tuple(f'f{number:03x}' for number in range(4))
_DEADLY_INTERVAL_SECONDS = 0.25
_SOUND_INTERVAL_SECONDS = 0.06
# Seconds for which sound requests come alone.
_QUIET_SECONDS = 1.0
# Seconds after the crashes from which sound requests are counted.
_SETTLED_SECONDS = 5.0
_OUTAGES = 3
_OUTAGE_INTERVAL_SECONDS = 2.5


def _build_sound(number):
    """Return a sound request; every tenth or so has a new shared part."""
    return [_SYSTEM, f'5{number // 10:04x}', f'e{number:05x}']


def _build_between(number):
    return [_SYSTEM, _DEADLY, _TOOLS, f'e{number:05x}']


def _build_first(number):
    return [_DEADLY, _SYSTEM, f'e{number:05x}']


def _build_beside(number):
    """Return a deadly request with the part at any place but the last."""
    fillers = [
        filler
        for index, filler in enumerate(_FILLERS)
        if number >> index & 1 or index == number % len(_FILLERS)
    ]
    fillers.insert(number % (len(fillers) + 1), _DEADLY)
    return [_SYSTEM, *fillers, f'e{number:05x}']


_BUILDERS_BY_PLACE = {
    'between shared ones': _build_between,
    'in the first place': _build_first,
    'beside parts that only it is seen with': _build_beside,
}


@behave.given(
    '{instances:d} instances in front of {engines:d} engines that one part of'
    ' a prompt crashes'
)
def start_fleet(context, instances, engines):
    _start_fleet(context, instances, engines, unframed=False)


@behave.given(
    '{instances:d} instances in front of {engines:d} engines that one part of'
    ' a prompt crashes, which answer without a length'
)
def start_unframed_fleet(context, instances, engines):
    _start_fleet(context, instances, engines, unframed=True)


def _start_fleet(context, instances, engines, *, unframed):
    context.fleet = crashing_parts.Fleet(
        instances=instances, engines=engines, unframed=unframed
    )
    context.add_cleanup(context.fleet.close)


@behave.given('the logs are captured')
def capture_logs(context):
    context.log = log_capture.LogCapture('amaranthslip.entry.forwarding')
    context.add_cleanup(context.log.close)


@behave.when(
    '{count:d} requests with the part beside different ones are sent one after'
    ' the other'
)
def send_one_after_the_other(context, count):
    fleet = context.fleet
    for number in range(count):
        fleet.send([f'a{number:03x}', _DEADLY, f'e{number:05x}'])
        outcome = fleet.outcomes[-1]
        exchanges.wait_until(lambda: outcome.status)


@behave.then('the part is the only one that the logs name at each crash')
def check_logged_parts(context):
    common = set.intersection(
        *(
            set(each.prompt_parts.split(','))
            for each in context.log.find('try_failed')
            if each.server_crashed
        )
    )
    (digest,) = fingerprints.compute_part_digests('llm', [_DEADLY])
    assert common == {digest.hex()}, common


def _start_requests(context, place, rate, seconds):
    fleet = context.fleet
    fleet.send_for(
        seconds + _QUIET_SECONDS, _SOUND_INTERVAL_SECONDS, _build_sound
    )
    gevent.sleep(_QUIET_SECONDS)
    return fleet.send_for(seconds, 1 / rate, _BUILDERS_BY_PLACE[place])


@behave.when(
    'requests with the part {place} come {rate:d} times a second for'
    ' {seconds:d} seconds beside sound ones'
)
def send_deadly(context, place, rate, seconds):
    _start_requests(context, place, rate, seconds).join()


@behave.when(
    'requests with the part {place} come {rate:d} times a second for'
    ' {seconds:d} seconds beside sound ones, and instances are replaced after'
    ' the third crash'
)
def send_deadly_during_restart(context, place, rate, seconds):
    fleet = context.fleet
    deadly = _start_requests(context, place, rate, seconds)
    exchanges.wait_until(lambda: len(fleet.crashes) >= 3)
    for number in (1, 2):
        fleet.replace_side(number)
    deadly.join()


@behave.when(
    'sound requests come for {seconds:d} seconds while a third of the engines'
    ' is ended {count:d} times'
)
def send_during_outages(context, seconds, count):
    fleet = context.fleet
    sound = fleet.send_for(seconds, _SOUND_INTERVAL_SECONDS, _build_sound)
    for _ in range(count):
        gevent.sleep(_OUTAGE_INTERVAL_SECONDS)
        names = fleet.list_engines()
        for name in fleet.random.sample(names, len(names) // 3):
            fleet.end_engine(name)
    sound.join()


@behave.then(
    'at most {count:d} of them reach engines later than 3 s after the fifth'
    ' crash'
)
def check_late_arrivals(context, count):
    late = context.fleet.count_late_arrivals()
    assert late <= count, (late, len(context.fleet.crashes))


@behave.when('the operator allows {count:d} tries')
def allow_tries(context, count):
    first = context.fleet.sides[0]
    first.configure(
        2,
        routes=[
            operated.build_route(
                'chat', 'streaming', 'llm', resumable=True, max_attempts=count
            )
        ],
    )
    for side in context.fleet.sides:
        side.wait_until_synced()


@behave.then('at most {count:d} engines have crashed under the part')
def check_most_crashes(context, count):
    assert len(context.fleet.crashes) <= count, context.fleet.crashes


@behave.then('at least {count:d} engines have crashed under the part')
def check_crashes(context, count):
    assert len(context.fleet.crashes) >= count, context.fleet.crashes


@behave.then(
    'of the sound requests sent later than {seconds:d} s after the crashes'
    ' half are answered'
)
def check_sound(context, seconds):
    fleet = context.fleet
    fifth = fleet.crashes[: crashing_parts.CRASHES_BEFORE][-1]
    outcomes = fleet.list_sound(fifth + seconds)
    share = crashing_parts.compute_served_share(outcomes)
    assert len(outcomes) >= 20 and share >= 0.5, (len(outcomes), share)


@behave.then('no request is refused as one that crashes engines')
def check_none_refused(context):
    outcomes = context.fleet.list_sound(0.0)
    refused = [each for each in outcomes if each.status == 429]
    assert outcomes and not refused, len(refused)
