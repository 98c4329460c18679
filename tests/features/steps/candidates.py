"""Steps about choices among many backend servers."""

from unittest import mock

import behave

from amaranthslip import identity
from amaranthslip.requests import prompts
from amaranthslip.shares import placement
from amaranthslip.shares import places
from bench import patterns
from tests.support import placing


@behave.given('an instance before {count:d} servers')
def start(context, count):
    context.stage = placing.Stage(count)
    context.instance = patterns.Instance(context.stage, 'instance-0')
    parts = [prompts.Part('aa', 2000), prompts.Part('own', 500)]
    context.prompt = prompts.Prompt(
        model='m', parts=parts, prompt_tokens=2500, most_tokens=50
    )
    key = context.prompt.shared_key
    context.order = sorted(
        (each.name for each in context.stage.servers),
        key=lambda name: identity.rank(key, name),
        reverse=True,
    )
    context.out = set()
    # Servers that are new here have no past; what follows is theirs.
    context.instance.placement.engines.list_all()


@behave.given("the first {count:d} of the prompt's order are out")
def eject(context, count):
    context.out = set(context.order[:count])
    for name in context.out:
        context.instance.placement.outliers.hear(
            name, patterns.SERVICE, seconds=5.0
        )


@behave.given("all but the last of the prompt's order are out")
def eject_nearly_all(context):
    eject(context, len(context.order) - 1)


@behave.when('a prompt is placed')
def place(context):
    need = places.Need(
        service=patterns.SERVICE,
        account='account-1',
        route=patterns.build_route(patterns.KINDS[0]),
        prompt=context.prompt,
        arrived=context.stage.now,
        deadline=context.stage.now + 5.0,
    )
    weigh = placement.Placement._weigh_engine
    with mock.patch.object(
        placement.Placement, '_weigh_engine', autospec=True, side_effect=weigh
    ) as weighed:
        found = context.instance.placement.take(need)
    context.weighed = weighed.call_count
    context.server = found.server.name


@behave.then('at most {count:d} servers were weighed for it')
def check_weighed(context, count):
    assert 0 < context.weighed <= count, context.weighed


@behave.then('it went to the first of its order')
def check_first(context):
    assert context.server == context.order[0]


@behave.then('it went to a server that is not out')
def check_not_out(context):
    assert context.server not in context.out


@behave.then('it went to some server')
def check_some(context):
    assert context.server in context.order
