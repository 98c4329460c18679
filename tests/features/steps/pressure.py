"""Steps about how far an instance is behind."""

import behave

from amaranthslip.entry import pressure


@behave.given(
    'an instance whose looks at the clock are due every 0.05 seconds'
)
def start(context):
    context.now = 1000.0
    context.pressure = pressure.Pressure(clock=lambda: context.now)
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
