"""Claims idempotency keys at two instances over a custom store.

Run it with `python examples/claims.py`. It prints the result for each caller.
"""

import contextlib
import types

import gevent

from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.requests import claim_keys
from amaranthslip.requests import claims
from amaranthslip import settings

SETTINGS = settings.check_settings(
    {
        'instance': {
            'name': 'hn-a-1',
            'failure_domain': 'hn-a',
            'region': 'vn-north',
        },
        'addresses': {
            'callers': '127.0.0.1:8080',
            'operators': '127.0.0.1:9090',
            'peers': '127.0.0.1:7000',
        },
        'platform': {
            'key_value': 'http://127.0.0.1:2379',
        },
        'claims': {'shards': 4, 'window_seconds': 3600},
    }
)


class MemoryStore:
    """A store with compare-and-swap; an embedding program supplies its own."""

    def __init__(self) -> None:
        self._entries: dict[str, types.SimpleNamespace] = {}

    def get(self, key: str) -> types.SimpleNamespace | None:
        """Return the entry of a key with `value` and `revision`, or None."""
        return self._entries.get(key)

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Write a value if the key's revision is the expected one.

        Returns
        -------
        int or None
            The new revision; None if the current revision differs.
        """
        current = self._entries.get(key)
        revision = current.revision if current else 0
        if revision != expected:
            return None
        entry = types.SimpleNamespace(value=value, revision=revision + 1)
        self._entries[key] = entry
        return entry.revision


class Fleet:
    """The member list and message delivery for instances in one process."""

    def __init__(self) -> None:
        self.instances: dict[str, claims.Claims] = {}
        self.generation = 0

    def list_live(self) -> list[types.SimpleNamespace]:
        """Return the live members; collectors are picked by their names."""
        return [types.SimpleNamespace(name=name) for name in self.instances]

    def join(self, name: str, store: MemoryStore) -> claims.Claims:
        """Create an instance and add it to the fleet."""
        outbox = types.SimpleNamespace(
            send=lambda target, message: self.send(name, target, message)
        )
        instance = claims.Claims(
            SETTINGS, store, self, outbox, metrics.Metrics(), name
        )
        self.instances[name] = instance
        self.generation += 1
        return instance

    def send(self, sender: str, target: str, message: object) -> bool:
        """Deliver a message; return False if the instance does not exist."""
        if target not in self.instances:
            return False
        gevent.spawn(self.instances[target].receive, sender, message)
        return True


def confirm_booking(instance: claims.Claims, key: str) -> str:
    """Confirm a booking unless its idempotency key was claimed before."""
    body = b'{"booking": "b-1"}'
    try:
        claim = instance.claim('agency-1', key, claim_keys.hash_request(body))
    except errors.RequestRepeated as repeated:
        return f'{repeated.reason}: {repeated}'
    # A real program sends the request to a backend server here. Settle the
    # claim as DONE when the response is known, and as NOT_RUN only if no byte
    # of the request was sent.
    claim.settle(claims.ClaimState.DONE)
    return 'confirmed'


def main() -> None:
    """Send the same booking to two instances, then one with another key."""
    with contextlib.ExitStack() as stack:
        fleet, store = Fleet(), MemoryStore()
        first = stack.enter_context(fleet.join('hn-a-1', store))
        second = stack.enter_context(fleet.join('hn-b-1', store))
        print('first caller: ', confirm_booking(first, 'key-1'))
        print('settlement kept:', first.drain(5.0))
        print('second caller:', confirm_booking(second, 'key-1'))
        print('another key:  ', confirm_booking(second, 'key-2'))


if __name__ == '__main__':
    main()
