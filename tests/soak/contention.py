"""Runs accounts that contend: python -m tests.soak.contention --seed 1

Real routers and engines, more load than engines can carry, and callers that
return after a refusal. The seed determines the load and the troubles. From
what callers and engines saw, the run checks that no account gets less than
half of what it requests or the best served one gets, and that engines do not
idle while requests are refused. If a check fails, the folder with all logs is
kept and the exit code is 1.
"""

import argparse
import contextlib
import functools
import pathlib
import random
import shutil
import sys
import tempfile
import time

from tests.soak import contention_callers as callers_module
from tests.soak import contention_checks as checks
from tests.soak import contention_deployment as deployment_module

_ACCOUNTS = 14
_MEAN_TOKENS = 3000
_LARGE_MEAN_TOKENS = 15000
_QUIET_UNTIL_SECONDS = 8.0
_TURN_SECONDS = 4.0
# Load before the largest account comes back, as a fraction of capacity.
_QUIET_LOAD = 0.8
_LOST_AT_SECONDS = 12.0
_LOST_FOR_SECONDS = 3.0
_LOST_FRACTION = 1 / 3
_FREEZE_INTERVAL_SECONDS = 1.5
_FREEZE_SECONDS = 0.7
_TROUBLES = ('returning', 'turns', 'large', 'lost', 'frozen', 'hasty')
_POLL_SECONDS = 0.02


def _weigh_turn(number, at):
    """Return a weight that is large in every fourth turn."""
    return 14.0 if int(at / _TURN_SECONDS) % 4 == number else 1.0


def _weigh_returning(at):
    return 14.0 if at > _QUIET_UNTIL_SECONDS else 0.3


def _build_weight(number, troubles):
    """Return the function of time that weighs an account's load."""
    if 'turns' in troubles:
        return functools.partial(_weigh_turn, number)
    if number == 0 and 'returning' in troubles:
        return _weigh_returning
    weight = {0: 14.0, 1: 4.0, 2: 4.0}.get(number, 1.0 / (1 + number) ** 0.6)
    return lambda at: weight


def build_accounts(troubles):
    """Return the accounts' loads for a set of troubles."""
    return [
        callers_module.Account(
            f'account-{number}',
            _build_weight(number, troubles),
            mean_tokens=(
                _LARGE_MEAN_TOKENS
                if number == 2 and 'large' in troubles
                else _MEAN_TOKENS
            ),
            routers=2 if number in (1, 2) else 0,
            hasty=number == 3 and 'hasty' in troubles,
        )
        for number in range(_ACCOUNTS)
    ]


def build_load(troubles, capacity, factor):
    """Return a function of time: the tokens per second of all accounts."""
    if 'returning' not in troubles:
        return lambda at: factor * capacity
    return lambda at: (
        capacity * (factor if at > _QUIET_UNTIL_SECONDS else _QUIET_LOAD)
    )


class Troubles:
    """Kills engines and freezes a router as time passes."""

    def __init__(self, deployment, callers, troubles, rng):
        self.outages = []
        self._deployment = deployment
        self._callers = callers
        self._stack = contextlib.ExitStack()
        self._events = []
        if 'lost' in troubles:
            self._plan_outage(rng)
        if 'frozen' in troubles:
            self._plan_freezes(rng)

    def _plan_outage(self, rng):
        servers = self._deployment.servers
        count = max(1, int(_LOST_FRACTION * len(servers)))
        lost = rng.sample(servers, count)
        end = _LOST_AT_SECONDS + _LOST_FOR_SECONDS
        for server in lost:
            process = server.standin.process
            self._events.append((_LOST_AT_SECONDS, process.kill))
            self._events.append((end, lambda s=server: self._restart(s)))

    def _restart(self, server):
        self._deployment.start_server(server)
        self.outages.append((_LOST_AT_SECONDS, self._callers.read_seconds()))

    def _plan_freezes(self, rng):
        routers = list(self._deployment.routers.values())
        process = rng.choice(routers).process
        self._stack.callback(process.resume)
        for number in range(100):
            at = number * _FREEZE_INTERVAL_SECONDS
            self._events.append((at, process.pause))
            self._events.append((at + _FREEZE_SECONDS, process.resume))

    def run(self, seconds):
        """Run the events that are due until the time is over."""
        events = sorted(self._events, key=lambda each: each[0], reverse=True)
        with self._stack:
            while (now := self._callers.read_seconds()) < seconds:
                while events and events[-1][0] <= now:
                    events.pop()[1]()
                time.sleep(_POLL_SECONDS)


def run_contention(folder, *, seed, troubles, options):
    """Run one seed; return the record and the number of requests."""
    rng = random.Random(seed)
    accounts = build_accounts(troubles)
    capacity = options.engines * options.rate
    with deployment_module.ContendedDeployment(
        folder,
        routers=options.routers,
        engines=options.engines,
        rate=options.rate,
        accounts=[each.name for each in accounts],
    ) as deployment:
        callers = callers_module.ContentionCallers(
            list(deployment.routers.values()),
            accounts,
            build_load(troubles, capacity, options.load),
            seed=seed,
            honoured_fraction=options.honoured,
        )
        # Routers know their peers, and the engines, after this time.
        time.sleep(options.settle)
        callers.start()
        events = Troubles(deployment, callers, troubles, rng)
        events.run(options.seconds)
        callers.stop()
    record = checks.Record(
        started_at=callers.started_at,
        seconds=options.seconds,
        attempts=callers.attempts,
        readings=checks.read_readings(folder),
        outages=events.outages,
        engines=options.engines,
    )
    return record, callers.request_count


def pick_troubles(seed):
    """Return the troubles that a seed determines."""
    rng = random.Random(seed)
    load = rng.choice(('returning', 'turns', ''))
    others = [each for each in _TROUBLES[2:] if rng.random() < 0.4]
    return [each for each in (load, *others) if each]


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--settle', type=float, default=3.0)
    parser.add_argument('--routers', type=int, default=16)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--rate', type=float, default=40000.0)
    parser.add_argument(
        '--load', type=float, default=2.0, help='load over capacity'
    )
    parser.add_argument(
        '--honoured',
        type=float,
        default=1 / 3,
        help='Retry-After is honoured up to this part of the time left',
    )
    parser.add_argument(
        '--troubles',
        nargs='*',
        choices=_TROUBLES,
        help='instead of those that the seed determines',
    )
    return parser


def main():
    """Run the seeds given on the command line, one after the other."""
    options = build_parser().parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        troubles = options.troubles
        if troubles is None:
            troubles = pick_troubles(seed)
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'contention-{seed}-'))
        record, request_count = run_contention(
            folder, seed=seed, troubles=troubles, options=options
        )
        violations = [
            *checks.check_shares(record),
            *checks.check_engines(record),
        ]
        print(f'seed {seed}: {", ".join(troubles)}', flush=True)
        print(f'  {checks.summarize(record, request_count)}', flush=True)
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
