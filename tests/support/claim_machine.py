"""A Hypothesis state machine for claims over a faulty key-value service.

The oracle tracks, for each key, the claims that may still run and how many
requests were sent or may have been sent.
"""

import collections

import gevent
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from amaranthslip import errors
from amaranthslip.requests import claims
from tests.support import claim_fleet

RESULT_COUNTS: collections.Counter[str] = collections.Counter()

_NAMES = ('hn-a-1', 'hn-b-1', 'bn-c-1')
_KEYS = ('k1', 'k2', 'k3')
_name_strategy = strategies.sampled_from(_NAMES)
_key_strategy = strategies.sampled_from(_KEYS)
_FAULTS = (
    '',
    'lost_request',
    'lost_answer',
    'delayed',
    'lost_answer_and_outage',
)
_SETTINGS = claim_fleet.read_settings(
    platform={'timeout_seconds': 0.05}, claims={'shards': 2}
)


def choose_settings(examples, steps, **options):
    """Return Hypothesis settings, derandomized unless overridden."""
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
    """Generates callers and faults, and checks the claims with the oracle."""

    def __init__(self):
        super().__init__()
        self.fleet = claim_fleet.Fleet(settings_=_SETTINGS)
        for name in _NAMES:
            self.fleet.start(name)
        self.callers = []
        self.violations = []
        # Unsettled claims by key, as (instance name, claim).
        self.unsettled_claims = collections.defaultdict(list)
        # Number of requests by key that were sent or may have been sent.
        self.sent_counts = collections.Counter()

    @stateful.rule(name=_name_strategy, key=_key_strategy)
    def add_request(self, name, key):
        """Start a request at one instance, which claims its key."""
        self.callers.append(gevent.spawn(self._run_request, name, key))
        gevent.sleep(0.002)

    @stateful.rule(key=_key_strategy)
    def race(self, key):
        """Start the same request at all instances at once."""
        for name in _NAMES:
            self.callers.append(gevent.spawn(self._run_request, name, key))
        gevent.sleep(0.002)

    def _run_request(self, name, key):
        instance = self.fleet.instances[name]
        try:
            claim = instance.claim('account', key, 1)
        except errors.RequestRefused as refused:
            RESULT_COUNTS['refused'] += 1
            if refused.reason != 'claims_unavailable':
                self.violations.append(f'{key}: {refused.reason}')
            return
        except errors.RequestRepeated as repeated:
            RESULT_COUNTS[repeated.reason] += 1
            if repeated.reason == 'already_done' and not self.sent_counts[key]:
                self.violations.append(
                    f'{key}: reported as done but never sent'
                )
            return
        except errors.OutcomeUnknown:
            RESULT_COUNTS['unknown'] += 1
            return
        RESULT_COUNTS['granted'] += 1
        if self.unsettled_claims[key] or self.sent_counts[key]:
            self.violations.append(f'{key}: granted twice')
        if self.fleet.instances.get(name) is instance:
            self.unsettled_claims[key].append((name, claim))
        else:
            self.sent_counts[key] += 1

    @stateful.rule(key=_key_strategy)
    def finish(self, key):
        """Complete the requests of the unsettled claims of a key."""
        while self.unsettled_claims[key]:
            _, claim = self.unsettled_claims[key].pop()
            self.sent_counts[key] += 1
            claim.settle(claims.ClaimState.DONE)

    @stateful.rule(key=_key_strategy)
    def fail_to_send(self, key):
        """Settle the unsettled claims of a key as not run."""
        while self.unsettled_claims[key]:
            _, claim = self.unsettled_claims[key].pop()
            claim.settle(claims.ClaimState.NOT_RUN)

    @stateful.rule(faults=strategies.lists(strategies.sampled_from(_FAULTS)))
    def add_swap_faults(self, faults):
        """Add faults for the next swaps."""
        self.fleet.store.faults.extend(faults[:6])

    @stateful.rule()
    def process_delayed(self):
        """Let the service process the delayed swaps."""
        self.fleet.store.process_delayed_swaps()

    @stateful.rule(down=strategies.booleans())
    def change_service_state(self, down):
        """Start or end an outage of the key-value service."""
        self.fleet.store.down = down

    @stateful.rule(name=_name_strategy)
    def restart(self, name):
        """Kill an instance, and restart it without its state."""
        if name in self.fleet.paused:
            self.fleet.resume(name)
        self.fleet.crash(name)
        for key, unsettled in self.unsettled_claims.items():
            # Requests of its unsettled claims may have been sent.
            self.sent_counts[key] += sum(
                owner == name for owner, _ in unsettled
            )
            unsettled[:] = [each for each in unsettled if each[0] != name]
        self.fleet.start(name)

    @stateful.rule(name=_name_strategy)
    def pause_or_resume(self, name):
        """Pause an instance, or resume it if it is paused."""
        if name in self.fleet.paused:
            self.fleet.resume(name)
        else:
            self.fleet.pause(name)

    @stateful.rule(name=_name_strategy)
    def change_reachability(self, name):
        """Start or stop losing the messages to an instance."""
        self.fleet.unreachable ^= {name}

    @stateful.rule(name=_name_strategy, other=_name_strategy)
    def change_live_members(self, name, other):
        """Change whether one instance considers another one live."""
        names = set(self.fleet.rosters[name].names) ^ {other}
        self.fleet.set_live_members(names, at=name)

    @stateful.rule()
    def end_faults(self):
        """End all faults, and give running calls time to finish."""
        self.fleet.store.down = False
        self.fleet.store.faults.clear()
        self.fleet.unreachable.clear()
        self.fleet.set_live_members(_NAMES)
        for name in list(self.fleet.paused):
            self.fleet.resume(name)
        gevent.sleep(0.02)

    @stateful.rule(seconds=strategies.sampled_from((0.0, 0.01, 0.06)))
    def wait(self, seconds):
        """Let some time pass."""
        gevent.sleep(seconds)

    @stateful.invariant()
    def check(self):
        """Check that no key was granted twice and no report was wrong."""
        assert not self.violations, self.violations

    def teardown(self):
        """End all faults, and check that every caller gets an answer."""
        try:
            self.fleet.store.down = False
            self.fleet.store.faults.clear()
            for name in list(self.fleet.paused):
                self.fleet.resume(name)
            gevent.joinall(
                self.callers, claim_fleet.TIMEOUT_SECONDS, raise_error=True
            )
            assert all(caller.ready() for caller in self.callers)
            self.check()
        finally:
            self.fleet.close()
