"""Steps about the fair share of client accounts."""

import behave

from amaranthslip.shares import demand

_WINDOW_SECONDS = 4.0


@behave.given('engines that manage {rate:d} tokens a second')
def start(context, rate):
    context.rate = rate
    context.demand = demand.Demand(
        lambda: _WINDOW_SECONDS, clock=lambda: 1000.0
    )


@behave.when(
    'in {seconds:d} seconds "{account}" asks for {asked:d} tokens and gets '
    '{granted:d}'
)
def ask(context, seconds, account, asked, granted):
    context.demand.note_asked(account, asked)
    context.demand.note_granted(account, granted)


@behave.when(
    'in the same time "{account}" asks for {asked:d} tokens and gets '
    '{granted:d}'
)
def ask_too(context, account, asked, granted):
    ask(context, _WINDOW_SECONDS, account, asked, granted)


@behave.then('"{one}" is over its share, and "{other}" is not')
def check_over(context, one, other):
    assert context.demand.read_standing(one, context.rate).use >= 1
    assert context.demand.read_standing(other, context.rate).use < 1
