"""Dispatches requests over three instances with in-memory messages.

Run it with `python examples/dispatch.py`. It prints the tokens that each
client account received.

Each instance has a scheduler, which queues the requests of its callers, and a
dispatcher, which owns some of the backend servers. They exchange messages
through an outbox that the embedding program supplies; here it is a queue and
a greenlet for each instance.
"""

import contextlib
import time

import gevent
from gevent import queue

from amaranthslip import capacity
from amaranthslip import configuration
from amaranthslip.configuration import document
from amaranthslip import members
from amaranthslip import metrics
from amaranthslip import requests
from amaranthslip import settings
from amaranthslip import shares

_NAMES = ('poa-a-1', 'poa-b-1', 'canoas-1')
_SHARES = {'accounting': 3.0, 'auditors': 1.0}
# Number of callers by client account and instance: deliberately uneven.
_CALLER_COUNTS = {
    ('accounting', 'poa-a-1'): 24,
    ('accounting', 'poa-b-1'): 2,
    ('auditors', 'canoas-1'): 24,
}
_SERVERS = 3
_SLOTS = 4
_REQUEST_TOKENS = 60.0
_STEP_TOKENS = 10.0
_STEP_SECONDS = 0.005
_TARGET_TOKENS = 24000.0


class Network:
    """Delivers messages to instances in the order in which they were sent."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}

    def send(self, sender: str, name: str, message: object) -> bool:
        """Queue a message; return False if the instance does not exist."""
        if name not in self.instances:
            return False
        self.instances[name].inbox.put((sender, message))
        return True

    def connect(self) -> None:
        """Exchange the initial state between all instances, as links do."""
        for sender in self.instances.values():
            for target in self.instances.values():
                target.greet(sender.name)
                for message in sender.build_greeting(target.name):
                    self.send(sender.name, target.name, message)


class Outbox:
    """Sends messages for one instance: the interface that dispatch needs."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, name: str, message: object) -> bool:
        """Send a message; return False if it cannot be delivered."""
        return self._network.send(self._name, name, message)


class Instance:
    """An instance with server ownership, a dispatcher and a scheduler."""

    def __init__(self, network: Network, name: str) -> None:
        checked = _check_settings(name)
        holder = configuration.Holder()
        holder.apply(_build_document())
        counters = metrics.Metrics()
        outbox = Outbox(network, name)
        ownership = shares.Ownership(checked, _build_roster(name), holder)
        self.name = name
        self.inbox: queue.Queue = queue.Queue()
        self.scheduler = shares.Scheduler(
            checked, ownership, holder, outbox, counters
        )
        self._dispatcher = shares.Dispatcher(
            checked,
            ownership,
            holder,
            capacity.Health(checked, counters),
            outbox,
            counters,
        )
        network.instances[name] = self

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the scheduler, the dispatcher and the receiving greenlet."""
        stack.callback(gevent.spawn(self._receive_messages).kill)
        for component in (self.scheduler, self._dispatcher):
            component.start()
            stack.callback(component.close)

    def greet(self, sender: str) -> None:
        """Record a connection from an instance of incarnation 1.

        A real instance has a higher incarnation after each restart.
        """
        self._dispatcher.greet(sender, 1)
        self.scheduler.greet(sender, 1)

    def build_greeting(self, name: str) -> list[object]:
        """Return the messages that open a connection to a peer."""
        question = self._dispatcher.build_restate()
        return [question, *self.scheduler.restate(name)]

    def _receive_messages(self) -> None:
        while True:
            sender, message = self.inbox.get()
            # Each component ignores the message kinds of the other.
            self._dispatcher.receive(sender, message)
            self.scheduler.receive(sender, message)


def _check_settings(name: str) -> settings.Settings:
    return settings.check_settings(
        {
            'instance': {
                'name': name,
                'failure_domain': name.rpartition('-')[0],
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
            'dispatch': {'charge_tokens': 50, 'commit_tokens': 50},
        }
    )


def _build_roster(own_name: str) -> members.Roster:
    known = {
        name: members.Member(
            name=name,
            incarnation=1,
            address='',
            failure_domain=name.rpartition('-')[0],
            region='rs-sul',
        )
        for name in _NAMES
    }
    roster = members.Roster(known[own_name])
    for member in known.values():
        roster.put(member)
    return roster


def _build_document() -> configuration.Document:
    return configuration.Document(
        version=1,
        services=[document.Service(name='amaranth-pool')],
        backend_servers=[
            document.BackendServer(
                name=f'engine-{index}',
                service='amaranth-pool',
                address='http://127.0.0.1:1',
                failure_domain='poa-a',
                slots=_SLOTS,
            )
            for index in range(_SERVERS)
        ],
        client_accounts=[
            document.ClientAccount(
                name=name, share=share, services=['amaranth-pool']
            )
            for name, share in _SHARES.items()
        ],
    )


class Callers:
    """Callers that send a request as soon as the previous one has ended."""

    def __init__(self) -> None:
        self.tokens = dict.fromkeys(_SHARES, 0.0)
        self.servers: dict[str, int] = {}

    def send_requests(self, instance: Instance, client_account: str) -> None:
        """Send requests until the greenlet is killed."""
        while True:
            ticket = requests.Ticket(
                request_id='example',
                service='amaranth-pool',
                client_account=client_account,
                kind='chat',
                estimate=_REQUEST_TOKENS,
                deadline=time.monotonic() + 60,
            )
            self._stream(instance.scheduler.acquire(ticket))

    def _stream(self, lease: shares.SlotLease) -> None:
        # A real program sends the request to lease.backend_server here.
        name = lease.backend_server.name
        self.servers[name] = self.servers.get(name, 0) + 1
        for _ in range(int(_REQUEST_TOKENS / _STEP_TOKENS)):
            gevent.sleep(_STEP_SECONDS)
            lease.charge(_STEP_TOKENS)
            self.tokens[lease.client_account] += _STEP_TOKENS
        lease.finish(requests.Outcome.DONE)


def main() -> None:
    """Run callers up to a token total and print the service by account."""
    callers = Callers()
    with contextlib.ExitStack() as stack:
        network = Network()
        for name in _NAMES:
            Instance(network, name)
        for instance in network.instances.values():
            instance.start(stack)
        network.connect()
        for (client_account, name), count in _CALLER_COUNTS.items():
            for _ in range(count):
                instance = network.instances[name]
                caller = gevent.spawn(
                    callers.send_requests, instance, client_account
                )
                stack.callback(caller.kill)
        while sum(callers.tokens.values()) < _TARGET_TOKENS:
            gevent.sleep(0.02)
    print('account     share  tokens  tokens/share')
    for name, tokens in callers.tokens.items():
        share = _SHARES[name]
        print(f'{name:11} {share:5g} {tokens:7.0f} {tokens / share:13.0f}')
    print('servers used:', ', '.join(sorted(callers.servers)))


if __name__ == '__main__':
    main()
