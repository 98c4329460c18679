"""Runs the soak: python -m tests.soak.run --seed 1 --seconds 20

Injects faults into real processes, clears the faults, waits until all requests
are served again, stops the routers while connections are open, and checks the
routers' guarantees. The seed determines faults and requests; their timing
depends on the machine. If a guarantee was violated, the folder with all logs
is kept and the exit code is 1.
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

# Time limit for all requests to be served again after the last fault. The run
# continues as soon as they are, so that a long limit delays failures only.
_RECOVERY_TIMEOUT_SECONDS = 60.0
_POLL_SECONDS = 0.2
# Time without faults after which routers have restored their connections.
_RECONNECT_DELAY_SECONDS = 3.0
_CRASHING_REQUEST_ROUNDS = 3
_REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.toml'
_EXPECTED_REQUESTS = (
    ('read', 'key-a'),
    ('write', 'key-b'),
    ('chat', 'key-a'),
    ('once', 'key-b'),
)


class EventLog:
    """Timestamped file of the run's events, kept with the process logs."""

    def __init__(self, path):
        self._path = path
        self._start = time.monotonic()

    def log(self, text):
        seconds = time.monotonic() - self._start
        with self._path.open('a') as file:
            file.write(f'{seconds:8.3f} {time.time():.3f} {text}\n')


def _send_once(router, route, key, name):
    attempt = callers_module.Attempt(name, route, key, router)
    connection = callers_module.send(attempt, router)
    if connection is not None:
        connection.close()
    return attempt


def wait_until_served(deployment, attempts, *, phase):
    """Wait until every router serves requests; return those not served."""
    unserved = [
        (router, route, key)
        for router in deployment.routers.values()
        for route, key in _EXPECTED_REQUESTS
    ]
    deadline = time.monotonic() + _RECOVERY_TIMEOUT_SECONDS
    count = 0
    while unserved and time.monotonic() < deadline:
        deployment.restart_crashed_servers()
        still_unserved = []
        for router, route, key in unserved:
            count += 1
            attempt = _send_once(router, route, key, f'{phase}-{count}')
            attempts.append(attempt)
            if attempt.status != 200 or not attempt.answer.complete:
                still_unserved.append((router, route, key))
        unserved = still_unserved
        time.sleep(_POLL_SECONDS if unserved else 0.0)
    return [
        f'{router.name} did not serve {route} within the time limit'
        for router, route, _ in unserved
    ]


def send_crashing_requests(deployment, attempts):
    """Send each crashing request to every router again."""
    time.sleep(_RECONNECT_DELAY_SECONDS)
    executions = promises.read_executions(deployment.folder)
    for route, key, body in callers_module.CRASHING_REQUESTS:
        deployment.crashes_before[body] = promises.count_crashes(
            executions, body
        )
        for number in range(_CRASHING_REQUEST_ROUNDS):
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


def send_deadly_requests(deployment, attempts):
    """Send requests with a part that crashes servers to every router."""
    executions = promises.read_executions(deployment.folder)
    deployment.deadly_runs_before = promises.count_deadly_runs(executions)
    route, key = callers_module.DEADLY_ROUTE
    for number in range(_CRASHING_REQUEST_ROUNDS):
        for router in deployment.routers.values():
            name = f'deadly-{router.name}-{number}'
            attempt = callers_module.Attempt(
                name, route, key, router, body=name.encode(), deadly=True
            )
            attempts.append(attempt)
            connection = callers_module.send(attempt, router)
            if connection is not None:
                connection.close()
            deployment.wait_for_servers()


def run_soak(folder, *, seed, seconds, routers, callers):
    """Run one seed; return the violations and the attempts."""
    event_log = EventLog(folder / 'events.txt')
    rng = random.Random(seed)
    with deployment_module.Deployment(
        folder, routers=routers, seed=seed
    ) as deployment:
        attempts = []
        violations = wait_until_served(deployment, attempts, phase='before')
        load = callers_module.Callers(
            list(deployment.routers.values()), seed=seed, callers=callers
        )
        load.start()
        faults.inject_faults(
            deployment, rng, seconds=seconds, log=event_log.log
        )
        deployment.clear_network_faults()
        event_log.log('all faults cleared')
        violations += wait_until_served(deployment, attempts, phase='after')
        event_log.log('all requests served again')
        send_crashing_requests(deployment, attempts)
        event_log.log('crashing requests sent again')
        send_deadly_requests(deployment, attempts)
        event_log.log('requests with a deadly part sent again')
        for router in deployment.routers.values():
            router.process.terminate()
        for router in deployment.routers.values():
            deployment.wait_for_stop(router)
        load.stop()
        attempts += load.attempts
        attempts.sort(key=lambda each: each.sent_at)
        executions = promises.read_executions(folder)
        violations += deployment.violations
        violations += promises.check(deployment, attempts, executions)
    return violations, attempts


def read_regressions():
    """Return the seeds of earlier failures."""
    values = tomllib.loads(_REGRESSIONS.read_text())
    return [each['seed'] for each in values['regression']]


def main():
    """Run the seeds given on the command line, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument(
        '--callers', type=int, default=4, help='callers per router'
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run the seeds of earlier failures',
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    if options.regressions:
        seeds = read_regressions()
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations, attempts = run_soak(
            folder,
            seed=seed,
            seconds=options.seconds,
            routers=options.routers,
            callers=options.callers,
        )
        taken_up, went_on = promises.count_continuations(attempts)
        print(
            f'seed {seed}: {len(violations)} violations, statuses'
            f' {promises.summarize(attempts)}, {went_on} of {taken_up} streams'
            ' taken up went on',
            flush=True,
        )
        for line in violations:
            print(f'  {line}')
        if violations:
            failed += 1
            print(f'  logs: {folder}', flush=True)
        else:
            shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
