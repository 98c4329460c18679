"""Claims instances over one key-value service, connected in memory."""

import time

import gevent
from gevent import event

from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import members
from amaranthslip import metrics
from amaranthslip.requests import claims
from amaranthslip import settings
from tests.support import fake_key_value

registry.register_all()

TIMEOUT_SECONDS = 10


def read_settings(**values):
    """Return settings with short timeouts; keywords override sections."""
    base = {
        'instance': {
            'name': 'poa-a-1',
            'failure_domain': 'poa-a',
            'region': 'rs-sul',
        },
        'addresses': {
            'callers': '127.0.0.1:1',
            'operators': '127.0.0.1:2',
            'peers': '127.0.0.1:3',
        },
        'platform': {
            'key_value': 'http://127.0.0.1:1',
            'timeout_seconds': 0.1,
        },
        'claims': {'shards': 1, 'group_seconds': 0.0},
    }
    for section, keys in values.items():
        base[section] = base[section] | keys
    return settings.check_settings(base)


class Outbox:
    """Sends messages of one instance to its peers, through the real codec."""

    __slots__ = ('_fleet', '_name')

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def send(self, name, message):
        """Deliver a message asynchronously; return False for unknown peers."""
        if name not in self._fleet.instances:
            return False
        data = codec.encode([message])
        gevent.spawn(self._fleet.deliver, self._name, name, data)
        return True


class Roster:
    """The members that one instance considers live."""

    __slots__ = ('names', 'generation')

    def __init__(self):
        self.names = ()
        self.generation = 0

    def list_live(self):
        """Return the live members in the form of `members.roster.Roster`."""
        return tuple(
            members.Member(
                name=name,
                incarnation=1,
                address='127.0.0.1:1',
                failure_domain='poa-a',
                region='rs-sul',
            )
            for name in self.names
        )


class Fleet:
    """Instances by name, each with its own roster."""

    def __init__(self, *, settings_=None, clock=None, open_key_value=None):
        self.settings = settings_ or read_settings()
        self.clock = clock or time.time
        self.store = fake_key_value.FakeStore()
        self.instances = {}
        self.clients = {}
        self.metrics = metrics.Metrics()
        self.unreachable = set()
        self.paused = {}
        self.rosters = {}
        self._open_key_value = open_key_value or self._open_fake_client

    def _open_fake_client(self):
        return fake_key_value.FakeKeyValue(self.store)

    def start(self, name, *, settings_=None):
        """Start an instance without state from earlier runs."""
        self.clients[name] = self._open_key_value()
        self.instances[name] = claims.Claims(
            settings_ or self.settings,
            self.clients[name],
            self.rosters.setdefault(name, Roster()),
            Outbox(self, name),
            self.metrics,
            name,
            clock=lambda: self.clock(),
        )
        self.set_live_members(self.rosters)

    def set_live_members(self, names, *, at=None):
        """Set the live members at the instance named `at`, or at all."""
        for name, roster in self.rosters.items():
            if at in (None, name):
                roster.names = tuple(sorted(names))
                roster.generation += 1

    def crash(self, name):
        """Stop an instance, which the other instances still consider live."""
        self.instances.pop(name).close()

    def pause(self, name):
        """Block the messages and the key-value calls of an instance."""
        self.paused[name] = event.Event()
        self.clients[name].pause()

    def resume(self, name):
        """Resume a paused instance with the state that it had."""
        self.clients[name].resume()
        self.paused.pop(name).set()

    def deliver(self, sender, name, data):
        """Deliver a message once neither of its two instances is paused."""
        for instance in (sender, name):
            if instance in self.paused:
                self.paused[instance].wait()
        if name in self.unreachable or name not in self.instances:
            return
        for message in codec.decode(data):
            self.instances[name].receive(sender, message)

    def find_collector(self, key, account='plant-1'):
        """Return the name of the collector of a key's shard."""
        key_hash = claims.claim_keys.hash_key(account, key)
        instance = next(iter(self.instances.values()))
        return instance._find_collector(instance._find_shard(key_hash))

    def drain(self):
        """Wait until all settlements are stored."""
        for instance in self.instances.values():
            assert instance.drain(TIMEOUT_SECONDS), (
                'settlements are still pending'
            )

    def close(self):
        """Stop all instances."""
        for name in list(self.paused):
            self.resume(name)
        for name in list(self.instances):
            self.crash(name)
