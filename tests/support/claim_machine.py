"""A Hypothesis state machine over the real claims and a faulty service.

The oracle knows, for each key, the attempt that holds the right to run and
whether a request under the key was sent.
"""

import collections

import gevent
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from amaranthslip import errors
from amaranthslip.requests import claims
from tests.support import claim_fleet

COUNTS: collections.Counter[str] = collections.Counter()

_NAMES = ('hn-a-1', 'hn-b-1', 'bn-c-1')
_KEYS = ('k1', 'k2', 'k3')
_names = strategies.sampled_from(_NAMES)
_keys = strategies.sampled_from(_KEYS)
_FAULTS = ('', 'before', 'after', 'late', 'after_and_down')
_SETTINGS = claim_fleet.read_settings(
    platform={'timeout_seconds': 0.05}, claims={'shards': 2}
)


def choose_settings(examples, steps, **options):
    """Return Hypothesis settings; derandomized unless said otherwise."""
    return hypothesis.settings(
        **{
            'max_examples': examples,
            'stateful_step_count': steps,
            'deadline': None,
            'derandomize': True,
            'database': None,
            'suppress_health_check': list(hypothesis.HealthCheck),
        }
        | options
    )


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Callers, faults and the oracle."""

    def __init__(self):
        super().__init__()
        self.fleet = claim_fleet.Fleet(settings_=_SETTINGS)
        for name in _NAMES:
            self.fleet.start(name)
        self.callers = []
        self.failures = []
        # By key: the open claims, as (instance name, claim).
        self.open = collections.defaultdict(list)
        # How often a request was sent, or may have been.
        self.sent = collections.Counter()

    @stateful.rule(name=_names, key=_keys)
    def arrive(self, name, key):
        """A caller's request comes in, and waits for its claim."""
        self.callers.append(gevent.spawn(self._call, name, key))
        gevent.sleep(0.002)

    @stateful.rule(key=_keys)
    def race(self, key):
        """The same request comes in everywhere at once."""
        for name in _NAMES:
            self.callers.append(gevent.spawn(self._call, name, key))
        gevent.sleep(0.002)

    def _call(self, name, key):
        instance = self.fleet.instances[name]
        try:
            claim = instance.claim('account', key, 1)
        except errors.RequestRefused as refused:
            COUNTS['refused'] += 1
            if refused.reason != 'claims_unavailable':
                self.failures.append(f'{key}: {refused.reason}')
            return
        except errors.RequestRepeated as repeated:
            COUNTS[repeated.reason] += 1
            if repeated.reason == 'already_done' and not self.sent[key]:
                self.failures.append(f'{key}: told as done, never sent')
            return
        except errors.OutcomeUnknown:
            COUNTS['unknown'] += 1
            return
        COUNTS['granted'] += 1
        if self.open[key] or self.sent[key]:
            self.failures.append(f'{key}: granted a second time')
        if self.fleet.instances.get(name) is instance:
            self.open[key].append((name, claim))
        else:
            self.sent[key] += 1

    @stateful.rule(key=_keys)
    def finish(self, key):
        """An open request runs and its answer arrives."""
        while self.open[key]:
            _, claim = self.open[key].pop()
            self.sent[key] += 1
            claim.settle(claims.ClaimState.DONE)

    @stateful.rule(key=_keys)
    def fail_to_send(self, key):
        """An open request could not be sent: no byte of it left."""
        while self.open[key]:
            _, claim = self.open[key].pop()
            claim.settle(claims.ClaimState.NOT_RUN)

    @stateful.rule(faults=strategies.lists(strategies.sampled_from(_FAULTS)))
    def break_swaps(self, faults):
        """The next swaps meet these faults."""
        self.fleet.store.faults.extend(faults[:6])

    @stateful.rule()
    def land_late(self):
        """The service comes to the swaps that it sat on."""
        self.fleet.store.land()

    @stateful.rule(down=strategies.booleans())
    def change_service(self, down):
        """The service goes away, or comes back."""
        self.fleet.store.down = down

    @stateful.rule(name=_names)
    def restart(self, name):
        """An instance is killed, and starts again without memory."""
        if name in self.fleet.paused:
            self.fleet.wake(name)
        self.fleet.crash(name)
        for key, held in self.open.items():
            # What it held may have been sent.
            self.sent[key] += sum(holder == name for holder, _ in held)
            held[:] = [each for each in held if each[0] != name]
        self.fleet.start(name)

    @stateful.rule(name=_names)
    def pause_or_wake(self, name):
        """An instance stops, or goes on where it was."""
        if name in self.fleet.paused:
            self.fleet.wake(name)
        else:
            self.fleet.pause(name)

    @stateful.rule(name=_names)
    def change_hearing(self, name):
        """Messages to an instance are lost, or arrive again."""
        self.fleet.deaf ^= {name}

    @stateful.rule(name=_names, other=_names)
    def change_belief(self, name, other):
        """One instance takes another for dead, or for live again."""
        names = set(self.fleet.rosters[name].names) ^ {other}
        self.fleet.believe(names, at=name)

    @stateful.rule()
    def heal(self):
        """All faults are over; calls that are under way come to an end."""
        self.fleet.store.down = False
        self.fleet.store.faults.clear()
        self.fleet.deaf.clear()
        self.fleet.believe(_NAMES)
        for name in list(self.fleet.paused):
            self.fleet.wake(name)
        gevent.sleep(0.02)

    @stateful.rule(seconds=strategies.sampled_from((0.0, 0.01, 0.06)))
    def wait(self, seconds):
        """Time passes."""
        gevent.sleep(seconds)

    @stateful.invariant()
    def check(self):
        """No key ran twice, and nothing untrue was said."""
        assert not self.failures, self.failures

    def teardown(self):
        """Heal all and see every caller answered."""
        try:
            self.fleet.store.down = False
            self.fleet.store.faults.clear()
            for name in list(self.fleet.paused):
                self.fleet.wake(name)
            gevent.joinall(
                self.callers, claim_fleet.LIMIT_SECONDS, raise_error=True
            )
            assert all(caller.ready() for caller in self.callers)
            self.check()
        finally:
            self.fleet.close()
