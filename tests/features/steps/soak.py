"""Steps about the fault soak."""

import subprocess

import behave

from bench import processes

_TIMEOUT_SECONDS = 300


@behave.when('the soak runs with the seed {seed:d} for {seconds:d} seconds')
def run_soak(context, seed, seconds):
    # Runs in a separate process: the soak starts threads and kills processes.
    command = processes.build_python_command(
        'tests.soak.run', f'--seed={seed}', f'--seconds={seconds}'
    )
    context.soak = subprocess.run(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )


@behave.then('the soak reports no violation')
def check_result(context):
    assert context.soak.returncode == 0, context.soak.stdout
