"""Runs the state machine tests with a given seed and number of steps.

    make fuzz SEED=7 FUZZ_STEPS=20000

Each state machine runs that number of steps, in runs of 40 steps. A fault is
printed as the shortest sequence of steps that reproduces it; the same seed
finds the same fault again.
"""

import argparse
import logging
import sys
import traceback

import hypothesis
from hypothesis import stateful

from tests.support import claim_machine
from tests.support import dispatchfuzz
from tests.support import members_machine
from tests.support import quarantine_machine
from tests.support import store_machine

_RUN_STEPS = 40
_MACHINES = (
    dispatchfuzz.DispatchMachine,
    claim_machine.ClaimMachine,
    members_machine.MembersMachine,
    quarantine_machine.QuarantineMachine,
    store_machine.StoreMachine,
)


def run_machine(machine: type, *, seed: int, steps: int) -> bool:
    """Run one state machine; return whether it found no fault."""
    settings = hypothesis.settings(
        max_examples=max(1, steps // _RUN_STEPS),
        stateful_step_count=_RUN_STEPS,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(machine)
    try:
        stateful.run_state_machine_as_test(seeded, settings=settings)
    except Exception:
        traceback.print_exc()
        return False
    return True


def main() -> int:
    """Run the state machines given on the command line, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=2000)
    parser.add_argument('machines', nargs='*')
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed = 0
    for machine in _MACHINES:
        if options.machines and machine.__name__ not in options.machines:
            continue
        passed = run_machine(machine, seed=options.seed, steps=options.steps)
        failed += not passed
        verdict = 'no fault' if passed else 'FAULT'
        print(f'{machine.__name__}: {verdict}', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
