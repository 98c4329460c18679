"""Runs the soak: python -m tests.soak.run --seed 1 --seconds 20

Plays faults against real processes, then ends them, waits until all is served
again, stops the routers beside open connections, and checks the promises. The
seed decides on faults and requests; their times depend on the machine. With
findings, the folder with all logs is kept and the exit code is 1.
"""

import argparse
import pathlib
import random
import shutil
import sys
import tempfile
import time
import tomllib

from tests.soak import callers as callers_module
from tests.soak import deployment as deployment_module
from tests.soak import faults
from tests.soak import promises

# Seconds for everything to be served again after the last fault; nobody
# waits that long unless it never is.
_RECOVERY_SECONDS = 60.0
_POLL_SECONDS = 0.2
# Seconds without faults after which instances have reconnected.
_RECONNECT_SECONDS = 3.0
_CRASHING_ROUNDS = 3
_REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.toml'
_WORKING = (
    ('read', 'key-a'),
    ('write', 'key-b'),
    ('chat', 'key-a'),
    ('once', 'key-b'),
)


class Story:
    """What was done when; kept beside the logs."""

    def __init__(self, path):
        self._path = path
        self._start = time.monotonic()

    def tell(self, text):
        seconds = time.monotonic() - self._start
        with self._path.open('a') as file:
            file.write(f'{seconds:8.3f} {time.time():.3f} {text}\n')


def _ask(router, route, key, name):
    attempt = callers_module.Attempt(name, route, key, router)
    connection = callers_module.send(attempt, router)
    if connection is not None:
        connection.close()
    return attempt


def wait_until_served(deployment, attempts, *, phase):
    """Return what is still not served after the last fault, if anything."""
    left = [
        (router, route, key)
        for router in deployment.routers.values()
        for route, key in _WORKING
    ]
    until = time.monotonic() + _RECOVERY_SECONDS
    count = 0
    while left and time.monotonic() < until:
        deployment.restart_crashed_servers()
        still = []
        for router, route, key in left:
            count += 1
            attempt = _ask(router, route, key, f'{phase}-{count}')
            attempts.append(attempt)
            if attempt.status != 200 or not attempt.answer.complete:
                still.append((router, route, key))
        left = still
        time.sleep(_POLL_SECONDS if left else 0.0)
    return [
        f'{router.name} does not serve {route} after the last fault'
        for router, route, _ in left
    ]


def send_crashing_requests(deployment, attempts):
    """Send each request that crashes servers again to every router."""
    time.sleep(_RECONNECT_SECONDS)
    runs = promises.read_runs(deployment.folder)
    for route, key, body in callers_module.CRASHING_REQUESTS:
        deployment.crashes_before[body] = promises.count_crashes(runs, body)
        for number in range(_CRASHING_ROUNDS):
            for router in deployment.routers.values():
                attempt = callers_module.Attempt(
                    f'{body.decode()}-{router.name}-{number}',
                    route,
                    key,
                    router,
                    body=body,
                )
                attempts.append(attempt)
                connection = callers_module.send(attempt, router)
                if connection is not None:
                    connection.close()
                deployment.wait_for_servers()


def soak(folder, *, seed, seconds, routers, callers):
    """Play one seed; return its findings and how attempts ended."""
    story = Story(folder / 'story.txt')
    rng = random.Random(seed)
    with deployment_module.Deployment(
        folder, routers=routers, seed=seed
    ) as deployment:
        attempts = []
        found = wait_until_served(deployment, attempts, phase='before')
        load = callers_module.Callers(
            list(deployment.routers.values()), seed=seed, callers=callers
        )
        load.start()
        faults.play(deployment, rng, seconds=seconds, tell=story.tell)
        deployment.heal()
        story.tell('all faults have ended')
        found += wait_until_served(deployment, attempts, phase='after')
        story.tell('all is served again')
        send_crashing_requests(deployment, attempts)
        story.tell('requests that crash servers were sent again')
        for router in deployment.routers.values():
            router.process.terminate()
        for router in deployment.routers.values():
            deployment.finish(router)
        load.stop()
        attempts += load.attempts
        attempts.sort(key=lambda each: each.sent)
        runs = promises.read_runs(folder)
        found += deployment.findings
        found += promises.check(deployment, attempts, runs)
    return found, promises.summarize(attempts)


def read_regressions():
    """Return the seeds that failed once."""
    values = tomllib.loads(_REGRESSIONS.read_text())
    return [each['seed'] for each in values['regression']]


def main():
    """Play the seeds of the command line, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument('--callers', type=int, default=4, help='a router')
    parser.add_argument(
        '--regressions', action='store_true', help='seeds that failed once'
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    if options.regressions:
        seeds = read_regressions()
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        found, ends = soak(
            folder,
            seed=seed,
            seconds=options.seconds,
            routers=options.routers,
            callers=options.callers,
        )
        print(f'seed {seed}: {len(found)} findings, ends {ends}', flush=True)
        for line in found:
            print(f'  {line}')
        if found:
            failed += 1
            print(f'  logs: {folder}', flush=True)
        else:
            shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
