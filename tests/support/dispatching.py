"""Instances in one process on a simulated network, for dispatch tests."""

import random
import time
import typing

import gevent

from amaranthslip.capacity import health
from amaranthslip.configuration import document
from amaranthslip.members import members
from amaranthslip import metrics
from amaranthslip.requests import outcomes
from amaranthslip.requests import tickets
from amaranthslip import settings
from amaranthslip.shares import dispatcher
from amaranthslip.shares import leases
from amaranthslip.shares import messages
from amaranthslip.shares import ownership
from amaranthslip.shares import scheduler


class FakeRoster:
    """A roster whose member states are set by the test."""

    def __init__(self) -> None:
        self.generation = 1
        self._members: dict[str, members.Member] = {}

    def set_state(self, name: str, state: members.MemberState) -> None:
        self._members[name] = members.Member(
            name=name,
            incarnation=1,
            address='',
            failure_domain='poa-a',
            region='rs-sul',
            state=state,
        )
        self.generation += 1

    def get(self, name: str) -> members.Member | None:
        return self._members.get(name)

    def list_live(self) -> tuple[members.Member, ...]:
        known = sorted(self._members.values(), key=lambda each: each.name)
        limit = members.MemberState.SUSPECT
        return tuple(each for each in known if each.state <= limit)


class FakeHolder:
    """A holder of one configuration document."""

    def __init__(self, configuration: document.Document) -> None:
        self.document = configuration
        self.generation = 1

    def apply(self, configuration: document.Document) -> None:
        self.document = configuration
        self.generation += 1


class FakeHealth:
    """Reports all backend servers as healthy except those in `ejected`."""

    def __init__(self) -> None:
        self.ejected: set[str] = set()

    def admits(self, server: str) -> bool:
        return server not in self.ejected

    def begin(self, server: str) -> None:
        pass

    def record(self, server: str, outcome: outcomes.Outcome) -> None:
        pass

    def set_service(self, servers: typing.Iterable[str]) -> None:
        pass


class Outbox:
    """Sends the messages of one instance over the simulated network."""

    def __init__(self, network: 'Network', name: str) -> None:
        self._network = network
        self._name = name

    def send(self, name: str, message: object) -> bool:
        return self._network.send(self._name, name, message)


class Instance:
    """The dispatcher and scheduler of one instance, without HTTP."""

    def __init__(self, network: 'Network', name: str, seed: int) -> None:
        clock = network.clock
        self.name = name
        self.metrics = metrics.Metrics()
        outbox = Outbox(network, name)
        chosen = network.build_settings(name)
        if network.real_health:
            self.health = health.Health(chosen, self.metrics)
        else:
            self.health = FakeHealth()
        self.ownership = ownership.Ownership(
            chosen, network.roster, network.holder, clock=clock
        )
        self.dispatcher = dispatcher.Dispatcher(
            chosen,
            self.ownership,
            network.holder,
            self.health,
            outbox,
            self.metrics,
            randomness=random.Random(seed),
            clock=clock,
        )
        self.scheduler = scheduler.Scheduler(
            chosen,
            self.ownership,
            network.holder,
            outbox,
            self.metrics,
            clock=clock,
        )
        self.incarnation = seed
        if not network.manual:
            self.scheduler.start()
            self.dispatcher.start()

    def receive(self, sender: str, message: object) -> None:
        self.dispatcher.receive(sender, message)
        self.scheduler.receive(sender, message)

    def greet(self, sender: str, incarnation: int) -> None:
        self.dispatcher.greet(sender, incarnation)
        self.scheduler.greet(sender, incarnation)

    def close(self) -> None:
        self.dispatcher.close()
        self.scheduler.close()


class Network:
    """Delivers messages in order for each pair, after a delay.

    With `manual` the test delivers messages and runs the periodic work.
    """

    def __init__(
        self,
        configuration: document.Document,
        names: typing.Sequence[str],
        *,
        policy: str = 'fleet',
        delay: float = 0.0015,
        manual: bool = False,
        real_health: bool = False,
        clock: typing.Callable[[], float] = time.monotonic,
        **dispatch: typing.Any,
    ) -> None:
        self.roster = FakeRoster()
        self.holder = FakeHolder(configuration)
        self.delay = delay
        self.manual = manual
        self.real_health = real_health
        self.clock = clock
        self.pending: dict[tuple[str, str], list[object]] = {}
        self.sent: dict[str, int] = {}
        self.blocked: set[tuple[str, str]] = set()
        self._dispatch = {'policy': policy} | dispatch
        self._seed = 0
        self.instances: dict[str, Instance] = {}
        for name in names:
            self.roster.set_state(name, members.MemberState.ALIVE)
        for name in names:
            self.start(name)

    def build_settings(self, name: str) -> settings.Settings:
        return settings.check_settings(
            {
                'instance': {
                    'name': name,
                    'failure_domain': 'poa-a',
                    'region': 'rs-sul',
                },
                'addresses': {
                    'callers': '127.0.0.1:0',
                    'operators': '127.0.0.1:0',
                    'peers': '127.0.0.1:0',
                },
                'platform': {
                    'key_value': 'http://127.0.0.1:1',
                },
                'dispatch': self._dispatch,
            }
        )

    def start(self, name: str) -> Instance:
        """Start an instance, or restart it without its state."""
        old = self.instances.pop(name, None)
        if old is not None:
            old.close()
            for pair in [pair for pair in self.pending if name in pair]:
                del self.pending[pair]
        self._seed += 1
        instance = Instance(self, name, self._seed)
        self.instances[name] = instance
        for other in self.instances.values():
            self._connect(name, other.name)
            if other is not instance:
                self._connect(other.name, name)
        return instance

    def reconnect(self, sender: str, name: str) -> None:
        """Simulate a new connection: a greeting, then the full state."""
        self._connect(sender, name)

    def send(self, sender: str, name: str, message: object) -> bool:
        if name not in self.instances:
            return False
        kind = type(message).__name__
        self.sent[kind] = self.sent.get(kind, 0) + (sender != name)
        self.pending.setdefault((sender, name), []).append(message)
        if not self.manual:
            # Timers that expire together fire in any order. Each one
            # delivers the oldest message of its pair to keep the order.
            delay = self.delay if sender != name else 0.0
            gevent.spawn_later(delay, self.deliver, sender, name)
        return True

    def close(self) -> None:
        for instance in self.instances.values():
            instance.close()

    def deliver(self, sender: str, name: str) -> bool:
        """Deliver the oldest message of a pair; False if there is none."""
        waiting = self.pending.get((sender, name))
        if not waiting or name not in self.instances:
            return False
        self._deliver(sender, self.instances[name], waiting.pop(0))
        return True

    def deliver_all(self) -> None:
        while any(self.deliver(*pair) for pair in list(self.pending)):
            gevent.sleep(0)

    def cut(self, sender: str, name: str) -> None:
        """Drop the messages in flight on a connection, and reconnect."""
        self.pending.pop((sender, name), None)
        self._connect(sender, name)

    def _connect(self, sender: str, name: str) -> None:
        origin, target = self.instances[sender], self.instances[name]
        target.greet(sender, origin.incarnation)
        first = [origin.dispatcher.build_restate()]
        for message in first + origin.scheduler.restate(name):
            self.send(sender, name, message)

    def _deliver(self, sender: str, target: Instance, message: object) -> None:
        if self.instances.get(target.name) is not target:
            return
        if (sender, target.name) not in self.blocked:
            target.receive(sender, message)


class Engines:
    """Simulated engines that count requests and stream tokens at a rate."""

    def __init__(self, *, step_seconds: float, step_tokens: float) -> None:
        self.step_seconds = step_seconds
        self.step_tokens = step_tokens
        self.running: dict[str, int] = {}
        self.peak_running: dict[str, int] = {}
        self.busy_seconds = 0.0
        self.served: dict[str, float] = {}
        self.finished: dict[str, int] = {}

    def run(self, lease: leases.SlotLease, tokens: float) -> None:
        """Run one request until it has ended."""
        server = lease.backend_server.name
        account = lease.client_account
        began = time.monotonic()
        self.running[server] = self.running.get(server, 0) + 1
        peak_running = max(
            self.peak_running.get(server, 0), self.running[server]
        )
        self.peak_running[server] = peak_running
        try:
            while tokens > 0:
                gevent.sleep(self.step_seconds)
                part = min(tokens, self.step_tokens)
                tokens -= part
                lease.charge(part)
                self.served[account] = self.served.get(account, 0) + part
        finally:
            self.running[server] -= 1
            self.busy_seconds += time.monotonic() - began
            lease.finish(outcomes.Outcome.DONE)
        self.finished[account] = self.finished.get(account, 0) + 1


def build_ticket(
    service: str, account: str, *, estimate: float, deadline: float = 60.0
) -> tickets.Ticket:
    return tickets.Ticket(
        request_id='test',
        service=service,
        client_account=account,
        kind='chat',
        estimate=estimate,
        deadline=time.monotonic() + deadline,
    )


def build_document(
    *, servers: int, slots: int, accounts: typing.Mapping[str, float]
) -> document.Document:
    return document.Document(
        version=1,
        failure_domains=[
            document.FailureDomain(name='poa-a', region='rs-sul')
        ],
        services=[document.Service(name='pool')],
        backend_servers=[
            document.BackendServer(
                name=f'engine-{index}',
                service='pool',
                address='http://127.0.0.1:1',
                failure_domain='poa-a',
                slots=slots,
            )
            for index in range(servers)
        ],
        request_kinds=[document.RequestKind(name='chat', service='pool')],
        client_accounts=[
            document.ClientAccount(
                name=name, share=share, services=['pool'], queue_requests=1000
            )
            for name, share in accounts.items()
        ],
    )


__all__ = ['Engines', 'Network', 'build_document', 'build_ticket', 'messages']
