"""Steps about the fault soak."""

import subprocess

import behave

from bench import processes

_TIMEOUT_SECONDS = 300


@behave.when('the soak plays the seed {seed:d} for {seconds:d} seconds')
def play(context, seed, seconds):
    # A process of its own: the soak runs threads, and ends processes.
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


@behave.then('it found nothing')
def check(context):
    assert context.soak.returncode == 0, context.soak.stdout
