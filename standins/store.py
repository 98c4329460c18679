"""State of the simulated key-value service: items, leases and history."""

import collections
import copy
import time

from gevent import queue

_HISTORY_BYTES = 64 * 1024 * 1024
_HISTORY_EVENTS = 10000


class Item:
    """Value and revisions of one key; lease 0 means no lease."""

    __slots__ = (
        'key',
        'value',
        'create_revision',
        'mod_revision',
        'version',
        'lease',
    )

    def __init__(
        self,
        key: bytes,
        value: bytes,
        *,
        create_revision: int,
        mod_revision: int,
        version: int,
        lease: int,
    ) -> None:
        self.key = key
        self.value = value
        self.create_revision = create_revision
        self.mod_revision = mod_revision
        self.version = version
        self.lease = lease


class Event:
    """A change to one key.

    For a deleted key, only `key` and `mod_revision` of the item are valid.
    """

    __slots__ = ('deleted', 'item')

    def __init__(self, item: Item, *, deleted: bool) -> None:
        self.deleted = deleted
        self.item = item


class Watch:
    """A watched prefix and the events not yet delivered.

    A queued None ends the watch; a silent watch receives no new events.
    """

    __slots__ = ('prefix', 'events', 'silent')

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.events: queue.Queue[Event | None] = queue.Queue()
        self.silent = False

    def enqueue_if_matching(self, event: Event) -> None:
        """Queue the event if its key has the watched prefix."""
        if event.item.key.startswith(self.prefix):
            self.events.put(event)


class Lease:
    """A lease; its keys are deleted when it expires or is revoked."""

    __slots__ = ('ttl_seconds', 'expires_at')

    def __init__(self, ttl_seconds: float) -> None:
        self.ttl_seconds = ttl_seconds
        self.expires_at = time.monotonic() + ttl_seconds

    def renew(self) -> None:
        """Restart the time to live."""
        self.expires_at = time.monotonic() + self.ttl_seconds


class _Snapshot:
    """A copy of the items, leases and counters of a store."""

    __slots__ = ('revision', 'items', 'leases', 'last_lease_id')

    def __init__(self, store: 'Store') -> None:
        self.revision = store.revision
        self.items = dict(store.items)
        self.leases = dict(store.leases)
        self.last_lease_id = store._last_lease_id


class Store:
    """Keys and values under a revision that increases with every change."""

    __slots__ = (
        'revision',
        'era',
        'compacted_revision',
        'items',
        'leases',
        'watches',
        '_history',
        '_history_bytes',
        '_snapshots',
        '_last_lease_id',
    )

    def __init__(self) -> None:
        self.revision = 1
        # Rises with each restore from a snapshot.
        self.era = 1
        self.compacted_revision = 0
        self.items: dict[bytes, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.watches: set[Watch] = set()
        self._history: collections.deque[Event] = collections.deque()
        self._history_bytes = 0
        self._snapshots: dict[str, _Snapshot] = {}
        self._last_lease_id = 7587000

    def read_prefix(self, prefix: bytes) -> list[Item]:
        """Return the items whose keys have the prefix, sorted by key."""
        keys = (key for key in self.items if key.startswith(prefix))
        return [self.items[key] for key in sorted(keys)]

    def put(
        self, key: bytes, value: bytes, lease: int, *, revision: int
    ) -> None:
        """Write a value at a revision that `advance` has returned."""
        previous = self.items.get(key)
        item = Item(
            key,
            value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        self.items[key] = item
        self._publish(Event(item, deleted=False))

    def delete(self, key: bytes, *, revision: int) -> None:
        """Delete a key; do nothing if the key doesn't exist."""
        previous = self.items.pop(key, None)
        if previous is None:
            return
        tombstone = copy.copy(previous)
        tombstone.mod_revision = revision
        tombstone.value = b''
        self._publish(Event(tombstone, deleted=True))

    def compact(self) -> None:
        """Drop the history and end all open watches."""
        self._history.clear()
        self._history_bytes = 0
        self.compacted_revision = self.revision
        self.close_watches()

    def advance(self) -> int:
        """Advance the revision and return the new value."""
        self.revision += 1
        return self.revision

    def _publish(self, event: Event) -> None:
        self._history.append(event)
        self._history_bytes += len(event.item.value)
        while (
            self._history_bytes > _HISTORY_BYTES
            or len(self._history) > _HISTORY_EVENTS
        ):
            oldest = self._history.popleft()
            self._history_bytes -= len(oldest.item.value)
            self.compacted_revision = oldest.item.mod_revision
        for watch in self.watches:
            if not watch.silent:
                watch.enqueue_if_matching(event)

    def open_watch(self, prefix: bytes, start_revision: int) -> Watch:
        """Open a watch; replay history from `start_revision` unless 0."""
        watch = Watch(prefix)
        if start_revision:
            for event in self._history:
                if event.item.mod_revision >= start_revision:
                    watch.enqueue_if_matching(event)
        self.watches.add(watch)
        return watch

    def close_watches(self) -> None:
        """End every open watch, as a restart of the service does."""
        for watch in self.watches:
            watch.events.put(None)

    def grant(self, ttl_seconds: float) -> int:
        """Create a lease and return its id."""
        self._last_lease_id += 1
        lease = self._last_lease_id
        self.leases[lease] = Lease(ttl_seconds)
        return lease

    def revoke(self, lease: int) -> bool:
        """Revoke a lease and delete its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            revision = self.advance()
            for key in keys:
                self.delete(key, revision=revision)
        return True

    def revoke_expired_leases(self) -> None:
        """Revoke every expired lease."""
        now = time.monotonic()
        for lease in [
            name
            for name, each in self.leases.items()
            if each.expires_at <= now
        ]:
            self.revoke(lease)

    def revoke_all(self) -> None:
        """Revoke every lease, as if all had expired during an outage."""
        for lease in list(self.leases):
            self.revoke(lease)

    def take_snapshot(self, name: str) -> None:
        """Save the current items, leases and counters under a name."""
        self._snapshots[name] = _Snapshot(self)

    def restore(self, name: str) -> None:
        """Restore a snapshot and begin a new era.

        Revisions and leases are given out again from those of the snapshot.
        The history is dropped, and all open watches end.
        """
        snapshot = self._snapshots[name]
        self.era += 1
        self.revision = snapshot.revision
        self.items = dict(snapshot.items)
        self.leases = dict(snapshot.leases)
        self._last_lease_id = snapshot.last_lease_id
        self._history.clear()
        self._history_bytes = 0
        self.compacted_revision = self.revision
        self.close_watches()
