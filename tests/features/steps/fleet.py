"""Steps about a whole fleet of real processes."""

import pathlib
import tempfile

import behave

from bench import callers
from bench import deployments
from bench import fleet
from bench import plans
from bench import records
from bench import runs
from bench import scenarios

_SERVICE = 'chat'
_ACCOUNT = 'account-1'
_LENGTH = 25


@behave.given('a running fleet of {count:d} routers')
def start_fleet(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.fleet = fleet.Fleet(
        deployments.build_small_deployment(routers=count),
        pathlib.Path(folder.name),
        settings={'shutdown': {'notice_seconds': 0.2}},
    )
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@behave.when(
    'the fleet is sent prompts of {a:d}, {b:d}, {c:d} and {d:d} words through '
    'every router'
)
def send_prompts(context, a, b, c, d):
    sender = callers.Callers(plans.Plan(traffics=[], seconds=1.0))
    for router in context.fleet.routers.values():
        for words in (a, b, c, d):
            traffic = plans.Traffic(
                account=_ACCOUNT,
                key=deployments.read_key(_ACCOUNT),
                service=_SERVICE,
                entries=[router.callers],
                prompt_words=words,
            )
            sender.call(traffic, f'prompt-{words}', _LENGTH)
    context.fleet_records = sender.observation.records


@behave.then('each prompt got its own whole answer from the fleet')
def check_answers(context):
    found = [
        (each.outcome, each.status, each.reason, each.tokens)
        for each in context.fleet_records
    ]
    whole = (records.DONE, 200, '', _LENGTH)
    assert found == [whole] * 4 * len(context.fleet.routers), found


@behave.then('no router of the fleet has a child process')
def check_children(context):
    for router in context.fleet.routers.values():
        children = router.process.list_children()
        assert not children, (router.name, children)


@behave.when('the routers of the fleet are stopped one after the other')
def stop_routers(context):
    context.fleet_codes = [
        context.fleet.stop(name) for name in context.fleet.routers
    ]


@behave.then('each router of the fleet ended with exit code 0')
def check_codes(context):
    assert context.fleet_codes == [0] * len(context.fleet.routers), (
        context.fleet_codes
    )


@behave.when(
    'a small fleet of {count:d} routers is measured for {seconds:d} seconds'
)
def measure_fleet(context, count, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    deployment = deployments.build_small_deployment(routers=count)
    deployment.delay_seconds = 0.0015
    run = runs.Run(
        deployment, 'fleet', scenarios.SCENARIOS[0], seconds=seconds
    )
    context.measured = runs.execute(run, pathlib.Path(folder.name))


@behave.then('the measured fleet gave only whole answers')
def check_measured_answers(context):
    outcomes = context.measured.outcomes
    assert outcomes.pop(records.DONE) > 0, outcomes
    # The end of the run stops those that are in progress.
    assert set(outcomes) <= {records.STOPPED}, outcomes


@behave.then(
    "the measured fleet's fields are all there, and its gap is within its "
    'bound'
)
def check_measured_fields(context):
    measured = context.measured
    values = measured.build_values()
    assert values['deployment'] == 'small', values
    assert 0 < values['utilisation'] <= 1, values
    assert 0 < values['fairness_gap_tokens'] <= values['gap_bound_tokens']
    assert values['goodput'] > 0, values
    assert values['control_bytes_per_second_per_instance'] > 0, values
