"""Steps about how far an instance is behind."""

from unittest import mock

import behave

from amaranthslip.entry import events
from amaranthslip.entry import pressure
from tests.support import callers


@behave.given(
    'an instance whose looks at the clock are due every 0.05 seconds'
)
def start(context):
    context.now = 1000.0
    context.pressure = pressure.Pressure(
        callers.build_settings(bounds={'relay_milliseconds': 200}),
        clock=lambda: context.now,
    )
    # Without its greenlet: the test looks itself.
    context.pressure.look()


@behave.when('{count:d} looks come in time')
def look_in_time(context, count):
    for _ in range(count):
        context.now += 0.05
        context.pressure.look()


@behave.when('a look comes {seconds:g} seconds late')
def look_late(context, seconds):
    context.now += 0.05 + seconds
    context.pressure.look()


@behave.when('no look comes for {seconds:g} seconds')
def wait(context, seconds):
    context.now += seconds


@behave.then('the instance is {seconds:g} seconds behind its work')
def check(context, seconds):
    lag = context.pressure.read_lag()
    assert abs(lag - seconds) < 1e-6, lag


@behave.when('looks come {late:g} seconds late for {seconds:g} seconds')
def look_late_often(context, late, seconds):
    until = context.now + seconds
    while context.now < until:
        look_late(context, late)


@behave.then('the instance wants no new connections')
def check_hot(context):
    assert context.pressure.hot


@behave.then('the instance takes new connections')
def check_cool(context):
    assert not context.pressure.hot


@behave.then('its open connections {are} closed after their answers')
def check_sheds(context, are):
    assert context.pressure.sheds == (are == 'are')


@behave.then('it gathers events for {seconds:g} seconds')
def check_hold(context, seconds):
    hold = context.pressure.hold_seconds
    assert abs(hold - seconds) < 0.002, hold


class Stream:
    """An engine's events, each at its time, and a caller that gets them."""

    def __init__(self, count, gap):
        self.now = 0.0
        self.started = False
        self.writes = []
        self._due = [(gap * n, b'id: %d\n\n' % n) for n in range(count)]

    def sleep(self, seconds):
        self.now += seconds

    def read(self):
        """Return all that came by now, waiting for a first event."""
        if not self._due:
            return b''
        self.now = max(self.now, self._due[0][0])
        came = b''
        while self._due and self._due[0][0] <= self.now:
            came += self._due.pop(0)[1]
        return came

    def begin(self, reply, request_id):
        self.started = True

    def write(self, data):
        self.writes.append(data)


@behave.when(
    'a stream of {count:d} events, one each {gap:g} seconds, is gathered for'
    ' {hold:g} seconds'
)
def gather(context, count, gap, hold):
    stream = context.stream = Stream(count, gap)
    relay = events.EventRelay(
        stream, 'a-1', last_id=-1, read_hold=lambda: hold
    )
    with mock.patch.object(events.gevent, 'sleep', stream.sleep):
        relay.relay(stream, [], lambda: None)


@behave.then(
    'its caller gets all {count:d} in {writes:d} writes, the first by itself'
)
def check_writes(context, count, writes):
    stream = context.stream
    whole = b''.join(b'id: %d\n\n' % number for number in range(count))
    assert b''.join(stream.writes) == whole
    assert len(stream.writes) == writes, stream.writes
    assert stream.writes[0] == b'id: 0\n\n'
