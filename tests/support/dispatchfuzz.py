"""Stateful fuzz test of dispatch with a virtual clock and lossy connections.

After all messages are delivered, no slot may be free while a request waits,
every slot counted as used must be held by a running request, and every request
that left the queue must hold exactly one slot.
"""

import random

import gevent
from hypothesis import stateful
from hypothesis import strategies

from amaranthslip.requests import outcomes
from tests.support import dispatching

_NAMES = ('r0', 'r1', 'r2')
_ACCOUNTS = {'large': 4.0, 'middle': 2.0, 'small': 1.0}
_SERVERS = 3
_SLOTS = 2
_STEP_SECONDS = 0.1
_QUIET_STEPS = 60


class VirtualClock:
    """A clock that only the test advances, in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Request:
    """A request that waits in a greenlet and then holds a lease."""

    def __init__(self, entry: str, greenlet: gevent.Greenlet) -> None:
        self.entry = entry
        self.greenlet = greenlet

    @property
    def lease(self):
        return self.greenlet.value if self.greenlet.successful() else None

    @property
    def waits(self) -> bool:
        return not self.greenlet.ready()


class DispatchMachine(stateful.RuleBasedStateMachine):
    """Three instances, three servers of two slots, three accounts."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock()
        self.random = random.Random(7)
        self.requests: list[Request] = []
        self.disturbed = False
        configuration = dispatching.build_document(
            servers=_SERVERS, slots=_SLOTS, accounts=_ACCOUNTS
        )
        self.network = dispatching.Network(
            configuration, _NAMES, manual=True, clock=self.clock, homes=2
        )
        self.settle()

    @stateful.rule(
        entry=strategies.sampled_from(_NAMES),
        account=strategies.sampled_from(sorted(_ACCOUNTS)),
    )
    def arrive(self, entry: str, account: str) -> None:
        ticket = dispatching.build_ticket('pool', account, estimate=100.0)
        scheduler = self.network.instances[entry].scheduler
        greenlet = gevent.spawn(scheduler.acquire, ticket)
        self.requests.append(Request(entry, greenlet))
        gevent.sleep(0)

    @stateful.rule(
        sender=strategies.sampled_from(_NAMES),
        name=strategies.sampled_from(_NAMES),
        count=strategies.integers(1, 6),
    )
    def deliver(self, sender: str, name: str, count: int) -> None:
        for _ in range(count):
            self.network.deliver(sender, name)
            gevent.sleep(0)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def tick(self, name: str) -> None:
        self.clock.now += _STEP_SECONDS
        self.network.instances[name].scheduler.tick()
        self.network.instances[name].dispatcher.tick()
        gevent.sleep(0)

    @stateful.rule(
        index=strategies.integers(0, 30),
        tokens=strategies.integers(1, 2000),
        failed=strategies.booleans(),
    )
    def finish(self, index: int, tokens: int, failed: bool) -> None:
        holding = [each for each in self.requests if each.lease is not None]
        if not holding:
            return
        request = holding[index % len(holding)]
        self.requests.remove(request)
        request.lease.charge(tokens)
        outcome = outcomes.Outcome.FAILED if failed else outcomes.Outcome.DONE
        request.lease.finish(outcome)

    @stateful.rule(index=strategies.integers(0, 30))
    def leave(self, index: int) -> None:
        waiting = [each for each in self.requests if each.waits]
        if not waiting:
            return
        request = waiting[index % len(waiting)]
        self.requests.remove(request)
        request.greenlet.kill()

    @stateful.rule(
        sender=strategies.sampled_from(_NAMES),
        name=strategies.sampled_from(_NAMES),
    )
    def cut(self, sender: str, name: str) -> None:
        if sender != name:
            self.disturbed = True
            self.network.cut(sender, name)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart(self, name: str) -> None:
        self.disturbed = True
        for request in [each for each in self.requests if each.entry == name]:
            self.requests.remove(request)
            request.greenlet.kill()
        self.network.start(name)

    @stateful.rule()
    def pause_all(self) -> None:
        self.disturbed = True
        self.clock.now += 5.0

    @stateful.invariant()
    def check_admission(self) -> None:
        """With links whole and no restart, no server gets too much."""
        if self.disturbed:
            return
        for server, held in self.count_held().items():
            assert held <= _SLOTS, f'{server}: {held} requests'

    def teardown(self) -> None:
        self.settle()
        held = self.count_held()
        used = self.count_used()
        waiting = sum(1 for each in self.requests if each.waits)
        kinds = {
            name: instance.dispatcher.describe()
            for name, instance in self.network.instances.items()
        }
        assert used == held, f'counted {used}, held {held}: {kinds}'
        free = _SERVERS * _SLOTS - sum(held.values())
        assert not waiting or free <= 0, f'{waiting} wait, {free} free'
        for request in self.requests:
            request.greenlet.kill()
        self.network.close()

    def settle(self) -> None:
        for _ in range(_QUIET_STEPS):
            self.network.deliver_all()
            self.clock.now += _STEP_SECONDS
            for instance in list(self.network.instances.values()):
                instance.scheduler.tick()
                instance.dispatcher.tick()
            gevent.sleep(0)

    def count_held(self) -> dict[str, int]:
        held: dict[str, int] = {}
        for request in self.requests:
            if request.lease is not None:
                server = request.lease.backend_server.name
                held[server] = held.get(server, 0) + 1
        return held

    def count_used(self) -> dict[str, int]:
        used: dict[str, int] = {}
        for instance in self.network.instances.values():
            for server, told in instance.dispatcher.describe().items():
                if told['used']:
                    used[server] = used.get(server, 0) + told['used']
        return used
