"""An HTTP entry for tests, with fakes for the parts that it depends on."""

import hashlib
import random

from gevent import event

from amaranthslip.configuration import document
from amaranthslip import entry
from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import quarantine
from amaranthslip import settings

KEYS = {'escola-sol': 'key-sol', 'agencia-lua': 'key-lua'}


class Holder:
    """Fake configuration holder whose document tests may replace."""

    def __init__(self, configuration):
        self.document = configuration


class Grant:
    """Fake grant that records its charges and its outcome."""

    def __init__(self, scheduler, server):
        self.backend_server = server
        self.charged = 0.0
        self.outcome = None
        self._scheduler = scheduler

    def charge(self, tokens):
        assert self.outcome is None, 'charged after the grant was finished'
        self.charged += tokens

    def finish(self, outcome):
        if self.outcome is None:
            self.outcome = outcome
            self._scheduler.in_use -= 1


class Scheduler:
    """Fake scheduler: grants the service's first server not excluded."""

    def __init__(self, holder):
        self._holder = holder
        self.tickets = []
        self.grants = []
        self.in_use = 0
        self.gate = event.Event()
        self.gate.set()
        self.waiting = 0

    def acquire(self, ticket):
        self.tickets.append(ticket)
        self.waiting += 1
        try:
            self.gate.wait()
        finally:
            self.waiting -= 1
        for server in self._holder.document.backend_servers.values():
            if server.service != ticket.service:
                continue
            if server.name not in ticket.excluded:
                self.in_use += 1
                self.grants.append(Grant(self, server))
                return self.grants[-1]
        raise errors.RequestRefused(
            'no_server',
            'all backend servers are excluded; wait',
            retry_after=1,
        )


class Claim:
    """Fake claim that records the state in which it is settled."""

    def __init__(self):
        self.state = None

    def settle(self, state):
        self.state = state


class Claims:
    """Fake claims store: accepts each key once and refuses repetitions."""

    def __init__(self):
        self.claimed = {}
        self.refusal = None

    def claim(self, client_account, key, fingerprint):
        if self.refusal is not None:
            raise self.refusal
        if (client_account, key) in self.claimed:
            raise errors.RequestRepeated('already_done', 'the request has run')
        claim = self.claimed[client_account, key] = Claim()
        return claim


class Estimator:
    """Fake estimator with a fixed estimate; records the actual tokens."""

    def __init__(self):
        self.recorded = []

    def estimate(self, client_account, kind, prompt_tokens):
        return 100.0

    def learn(self, client_account, kind, tokens):
        self.recorded.append(tokens)


class QuarantineStore:
    """Fake quarantine store that discards all entries."""

    def put(self, fingerprint, crashes):
        pass

    def renew(self, fingerprint, crashes):
        pass

    def remove(self, fingerprint):
        pass


def build_settings(**sections):
    """Return settings with ports chosen by the kernel."""
    values = {
        'instance': {'name': 'e1', 'failure_domain': 'a', 'region': 'r'},
        'addresses': {
            'callers': '127.0.0.1:0',
            'operators': '127.0.0.1:0',
            'peers': '127.0.0.1:0',
        },
        'platform': {
            'key_value': 'http://127.0.0.1:1',
        },
        'shutdown': {'notice_seconds': 0},
    }
    for name, section in sections.items():
        values[name] = values.get(name, {}) | section
    return settings.check_settings(values)


def build_document(engines=(), plain=(), *, deadline=30.0):
    """Return a document with the services `llm` and `booking` (plain)."""
    servers = [
        document.BackendServer(
            name=f'{service}-{number}',
            service=service,
            address=address,
            failure_domain='a',
        )
        for service, addresses in (('llm', engines), ('booking', plain))
        for number, address in enumerate(addresses)
    ]
    kinds = [
        ('chat', 'llm', True, '*', '/'),
        ('chat-once', 'llm', False, '*', '/'),
        ('book', 'booking', False, '*', '/bookings'),
        ('look', 'booking', True, '*', '/status'),
    ]
    return document.Document(
        version=1,
        services=[
            document.Service(name='llm', prompt_weight=0.5),
            document.Service(name='booking', kind='plain'),
            document.Service(name='other'),
        ],
        backend_servers=servers,
        request_kinds=[
            document.RequestKind(
                name=name,
                service=service,
                idempotent=idempotent,
                deadline_seconds=deadline,
                method=method,
                path_prefix=prefix,
            )
            for name, service, idempotent, method, prefix in kinds
        ],
        client_accounts=[
            document.ClientAccount(
                name=name,
                services=('llm', 'booking'),
                keys=['sha256:' + hashlib.sha256(key.encode()).hexdigest()],
            )
            for name, key in KEYS.items()
        ],
    )


class LowestRandom(random.Random):
    """Draws the lower bound, so that tests don't wait between retries."""

    def uniform(self, low, high):
        return low


class EntryFixture:
    """One HTTP entry on its own port, with its fake dependencies."""

    def __init__(self, configuration, **sections):
        self.holder = Holder(configuration)
        self.scheduler = Scheduler(self.holder)
        self.claims = Claims()
        self.estimator = Estimator()
        self.metrics = metrics.Metrics()
        self.settings = build_settings(**sections)
        self.entry = entry.Entry(
            self.settings,
            self.holder,
            self.scheduler,
            self.claims,
            self.estimator,
            self.metrics,
            crash_exchange.CrashExchange(
                roster.Roster(members.build_own(self.settings)),
                None,
                quarantine.Quarantine(),
                QuarantineStore(),
                self.metrics,
            ),
            random=LowestRandom(),
        )
        self.entry.start()

    @property
    def address(self):
        host, port = self.entry.address.rsplit(':', 1)
        return host, int(port)

    def close(self):
        self.entry.close()
