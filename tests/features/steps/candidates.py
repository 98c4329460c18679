"""Steps about placement among many backend servers."""

from unittest import mock

import behave

from amaranthslip import identity
from amaranthslip.requests import prompts
from amaranthslip.shares import placement
from amaranthslip.shares import places
from bench import patterns
from tests.support import placing


@behave.given('an instance with {count:d} servers')
def start(context, count):
    context.environment = placing.Environment(count)
    context.instance = patterns.Instance(context.environment, 'instance-0')
    parts = [prompts.PromptPart('aa', 2000), prompts.PromptPart('own', 500)]
    context.prompt = prompts.Prompt(
        model='m', parts=parts, prompt_tokens=2500, max_output_tokens=50
    )
    key = context.prompt.shared_prefix_key
    context.order = sorted(
        (each.name for each in context.environment.servers),
        key=lambda name: identity.rendezvous_hash(key, name),
        reverse=True,
    )
    context.ejected = set()
    # Registers the servers: a later registration would reset the ejections.
    context.instance.placement.engines.list_all()


@behave.given("the first {count:d} servers of the prompt's order are ejected")
def eject(context, count):
    context.ejected = set(context.order[:count])
    for name in context.ejected:
        context.instance.placement.outliers.apply_remote_ejection(
            name, patterns.SERVICE, seconds=5.0
        )


@behave.given("all but the last server of the prompt's order are ejected")
def eject_nearly_all(context):
    eject(context, len(context.order) - 1)


@behave.when('a prompt is placed')
def place(context):
    placement_request = places.PlacementRequest(
        service=patterns.SERVICE,
        client_account='account-1',
        route=patterns.build_route(patterns.KINDS[0]),
        prompt=context.prompt,
        arrived=context.environment.now,
        deadline=context.environment.now + 5.0,
    )
    score = placement.Placement._score_engine
    with mock.patch.object(
        placement.Placement, '_score_engine', autospec=True, side_effect=score
    ) as scored:
        found = context.instance.placement.select_place(placement_request)
    context.scored = scored.call_count
    context.server = found.server.name


@behave.then('at most {count:d} servers were scored for it')
def check_weighed(context, count):
    assert 0 < context.scored <= count, context.scored


@behave.then('it was placed at the first server of its order')
def check_first(context):
    assert context.server == context.order[0]


@behave.then('it was placed at a server that is not ejected')
def check_not_ejected(context):
    assert context.server not in context.ejected


@behave.then('it was placed at one of the servers')
def check_some(context):
    assert context.server in context.order
