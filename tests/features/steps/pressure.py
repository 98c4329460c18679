"""Steps on the lag measurement of an instance and its effects."""

from unittest import mock

import behave

from amaranthslip.entry import events
from amaranthslip.entry import pressure
from tests.support import callers


@behave.given('an instance whose lag samples are due every 0.05 seconds')
def build_pressure(context):
    context.now = 1000.0
    context.pressure = pressure.LagMonitor(
        callers.build_settings(bounds={'relay_milliseconds': 200}),
        clock=lambda: context.now,
    )
    # The sampling greenlet is not started: the steps take each sample.
    context.pressure.sample()


@behave.when('{count:d} samples are taken on time')
def sample_on_time(context, count):
    for _ in range(count):
        context.now += 0.05
        context.pressure.sample()


@behave.when('a sample is taken {seconds:g} seconds late')
def sample_late(context, seconds):
    context.now += 0.05 + seconds
    context.pressure.sample()


@behave.when('no sample is taken for {seconds:g} seconds')
def advance_clock(context, seconds):
    context.now += seconds


@behave.then('the instance reports a lag of {seconds:g} seconds')
def check_lag(context, seconds):
    lag = context.pressure.read_lag()
    assert abs(lag - seconds) < 1e-6, lag


@behave.when('samples are taken {late:g} seconds late for {seconds:g} seconds')
def sample_late_repeatedly(context, late, seconds):
    until = context.now + seconds
    while context.now < until:
        sample_late(context, late)


@behave.then('the instance is overloaded')
def check_overloaded(context):
    assert context.pressure.overloaded


@behave.then('the instance is not overloaded')
def check_not_overloaded(context):
    assert not context.pressure.overloaded


@behave.then('its open connections {are} closed after their answers')
def check_closes_connections(context, are):
    assert context.pressure.closes_connections == (are == 'are')


@behave.then('it holds events for {seconds:g} seconds')
def check_hold(context, seconds):
    hold = context.pressure.hold_seconds
    assert abs(hold - seconds) < 0.002, hold


class Stream:
    """An engine's stream with a simulated clock, and its recording caller."""

    # The attribute of a caller: the deadline did not pass during a write.
    overdue = False

    def __init__(self, count, gap):
        self.now = 0.0
        self.started = False
        self.writes = []
        self._due = [(gap * n, b'id: %d\n\n' % n) for n in range(count)]

    def sleep(self, seconds):
        self.now += seconds

    def read(self):
        """Return all events due by now; advance the clock to the first."""
        if not self._due:
            return b''
        self.now = max(self.now, self._due[0][0])
        received = b''
        while self._due and self._due[0][0] <= self.now:
            received += self._due.pop(0)[1]
        return received

    def begin(self, reply, request_id):
        self.started = True

    def write(self, data):
        self.writes.append(data)


@behave.when(
    'a stream of {count:d} events, one every {gap:g} seconds, is relayed with'
    ' a hold time of {hold:g} seconds'
)
def relay_stream(context, count, gap, hold):
    stream = context.stream = Stream(count, gap)
    relay = events.EventRelay(
        stream, 'a-1', last_id=-1, read_batch_seconds=lambda: hold
    )
    with mock.patch.object(events.gevent, 'sleep', stream.sleep):
        relay.relay(stream, [], lambda: None)


@behave.then(
    'its caller receives all {count:d} in {writes:d} writes, the first event'
    ' alone'
)
def check_writes(context, count, writes):
    stream = context.stream
    whole = b''.join(b'id: %d\n\n' % number for number in range(count))
    assert b''.join(stream.writes) == whole
    assert len(stream.writes) == writes, stream.writes
    assert stream.writes[0] == b'id: 0\n\n'
