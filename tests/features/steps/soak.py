"""Steps about the soaks."""

import subprocess

import behave

from bench import processes

_TIMEOUT_SECONDS = 300


def _run(module, *arguments):
    """Run a soak in a process of its own: it starts threads and processes."""
    return subprocess.run(
        processes.build_python_command(module, *arguments),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )


@behave.when('the soak runs with the seed {seed:d} for {seconds:d} seconds')
def run_soak(context, seed, seconds):
    context.soak = _run(
        'tests.soak.run', f'--seed={seed}', f'--seconds={seconds}'
    )


@behave.when(
    'accounts contend with the seed {seed:d} for {seconds:d} seconds at'
    ' {routers:d} routers and {engines:d} engines'
)
def run_contention(context, seed, seconds, routers, engines):
    context.soak = _run(
        'tests.soak.contention',
        f'--seed={seed}',
        f'--seconds={seconds}',
        f'--routers={routers}',
        f'--engines={engines}',
        '--rate=20000',
        '--troubles',
        'returning',
        'lost',
    )


@behave.then('the soak reports no violation')
def check_result(context):
    assert context.soak.returncode == 0, context.soak.stdout
