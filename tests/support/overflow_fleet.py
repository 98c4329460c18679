"""Instances at unequal load that pass requests on, in virtual time."""

import random

from amaranthslip.entry import overflow
from amaranthslip.members import usage_messages

STEP_SECONDS = 0.1
# Work of an instance that passes a request on, and of one that is asked and
# does not take it, relative to running it.
_PASSING_WORK = 0.4
_DECLINING_WORK = 0.1
# Work of refusing a new connection.
_REFUSING_WORK = 0.06
# Steps between the reports of an instance, as in a fleet of 88.
_REPORT_STEPS = 5
_MAX_LISTED = 8
# Steps for which a passed request is in progress at its peer.
_PASSED_STEPS = 5


class Instance:
    """One instance: the decision, and the work of the current step."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.usage = 0.0
        self.work = 0.0
        self.used = []
        self.passed = 0
        self.refused = 0
        self.ends = []
        self.overflow = overflow.Overflow(
            lambda: self.usage,
            clock=lambda: fleet.now,
            random=random.Random(name),
        )

    def handle(self):
        """Handle one request of its own callers."""
        if self.overflow.refuses_connection('host'):
            self.work += _REFUSING_WORK
            self.refused += 1
            return
        peer = None
        if self.overflow.wants_to_pass():
            peer = self.overflow.take_peer()
        if peer is not None:
            other = self.fleet.instances[peer.name]
            taken = other.overflow.takes_requests()
            if taken:
                self.work += _PASSING_WORK
                self.passed += 1
                other.work += 1.0
                self.ends.append((self.fleet.step + _PASSED_STEPS, peer))
                return
            self.overflow.note_end(peer)
            self.overflow.pause(peer)
            self.work += _DECLINING_WORK
            other.work += _DECLINING_WORK
        self.work += 1.0

    def finish_step(self):
        """Turn the work of the step into usage."""
        busy = min(1.0, self.work / (self.fleet.rate * STEP_SECONDS))
        self.usage += 0.2 * (busy - self.usage)
        self.used.append(busy)
        self.work = 0.0
        while self.ends and self.ends[0][0] <= self.fleet.step:
            self.overflow.note_end(self.ends.pop(0)[1])
        self.overflow.adjust(STEP_SECONDS)


class Fleet:
    """Instances that report their usage to one another.

    Parameters
    ----------
    count : int
        Number of instances.
    rate : float
        Requests per second that one instance can handle.
    """

    def __init__(self, count, rate, *, seed=1):
        self.rate = rate
        self.now = 0.0
        self.step = 0
        self.random = random.Random(seed)
        names = [f'instance-{number}' for number in range(count)]
        self.instances = {name: Instance(self, name) for name in names}
        self.arrived = 0

    def run(self, seconds, hot, requests):
        """Let callers bring requests per second to some of the instances."""
        brought = list(self.instances.values())[:hot]
        for _ in range(round(seconds / STEP_SECONDS)):
            for instance in brought:
                mean = requests * STEP_SECONDS
                count = round(self.random.gauss(mean, mean**0.5))
                self.arrived += max(0, count)
                for _ in range(count):
                    instance.handle()
            for instance in self.instances.values():
                instance.finish_step()
            if self.step % _REPORT_STEPS == 0:
                self._report()
            self.step += 1
            self.now += STEP_SECONDS

    def _report(self):
        idle = [
            usage_messages.PeerUsage(
                name=each.name, callers='127.0.0.1:1', usage=each.usage
            )
            for each in self.instances.values()
            if each.usage <= overflow.MAX_TAKING_USAGE
        ]
        for instance in self.instances.values():
            others = [each for each in idle if each.name != instance.name]
            count = min(_MAX_LISTED, len(others))
            instance.overflow.set_peers(self.random.sample(others, count))
