"""Runs Hypothesis state machines from steps, with the same draws each time."""

import hypothesis
from hypothesis import stateful


def run_machine(context, machine, *, runs, steps):
    """Run a state machine; `context.machine_error` is its failure or None.

    Shrinking is off: it takes longer than the time limit of CI.
    """
    context.machine_error = None
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=runs,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        stateful.run_state_machine_as_test(machine, settings=settings)
    except AssertionError as error:
        context.machine_error = error
