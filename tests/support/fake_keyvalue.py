"""An in-memory key-value service with fault injection."""

import collections
import contextlib
import typing

import gevent
from gevent import queue

from amaranthslip import errors


class FakeEntry:
    """The value of a key and the revision that last changed it."""

    __slots__ = ('key', 'value', 'revision')

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class FakeKeyValue:
    """The service: entries, revisions, watches and call counters.

    `down` makes every call fail. `watches_stopped` keeps watches open without
    sending events. `slow_seconds` delays each call.
    """

    def __init__(self) -> None:
        self.entries: dict[str, FakeEntry] = {}
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self.down = False
        self.watches_stopped = False
        self.slow_seconds = 0.0
        self.watches: list[queue.Queue] = []

    def connect(self) -> 'FakeClient':
        """Return a client whose faults are injected separately."""
        return FakeClient(self)

    def write(self, key: str, value: bytes) -> int:
        """Write without a comparison, and notify the watches."""
        self.revision += 1
        entry = FakeEntry(key, value, self.revision)
        self.entries[key] = entry
        for events in [] if self.watches_stopped else self.watches:
            events.put(entry)
        return self.revision

    def snapshot(self) -> dict[str, FakeEntry]:
        """Return a backup of the entries for `restore`."""
        return dict(self.entries)

    def restore(self, entries: dict[str, FakeEntry]) -> None:
        """Restore a backup of the entries without notifying the watches."""
        self.entries = dict(entries)


class FakeClient:
    """The client of one instance.

    `cut` makes the service unreachable for this client only. `lose_before`
    is the number of manifest swaps to lose before they take effect, and
    `lose_after` the number to lose the answer of after they take effect.
    `lose_service` takes the service down after the next manifest swap and
    loses its answer. `hook` is called with the method and the key before each
    call, so that a test can interleave another operation.
    """

    def __init__(self, service: FakeKeyValue) -> None:
        self.service = service
        self.cut = False
        self.lose_after = 0
        self.lose_before = 0
        self.lose_service = False
        self.hook: typing.Callable[[str, str], None] = lambda method, key: None

    def _begin(self, method: str, key: str, size: int = 0) -> None:
        self.hook(method, key)
        self.service.calls[method] += 1
        self.service.bytes += size
        gevent.sleep(self.service.slow_seconds)
        if self.cut or self.service.down:
            raise errors.PlatformUnavailable('the service is not reachable')

    def get(self, key: str) -> FakeEntry | None:
        self._begin('get', key)
        entry = self.service.entries.get(key)
        self.service.bytes += len(entry.value) if entry else 0
        return entry

    def read_prefix(self, prefix: str) -> list[FakeEntry]:
        self._begin('read_prefix', prefix)
        found = [
            entry
            for key, entry in sorted(self.service.entries.items())
            if key.startswith(prefix)
        ]
        self.service.bytes += sum(len(entry.value) for entry in found)
        return found

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        self._begin('swap', key, len(value))
        assert len(value) <= 1024 * 1024, 'the value is larger than a megabyte'
        is_manifest = key.endswith('/manifest')
        if is_manifest and self.lose_before:
            self.lose_before -= 1
            raise errors.AnswerLost(
                'the request was lost before taking effect'
            )
        entry = self.service.entries.get(key)
        revision = entry.revision if entry else 0
        result = None
        if revision == expected:
            result = self.service.write(key, value)
        if is_manifest and self.lose_service:
            self.service.down = True
            raise errors.AnswerLost(
                'the answer was lost and the service went down'
            )
        if is_manifest and self.lose_after:
            self.lose_after -= 1
            raise errors.AnswerLost('the answer was lost')
        return result

    def delete(self, key: str, *, expected: int) -> bool:
        self._begin('delete', key)
        entry = self.service.entries.get(key)
        if entry is None or entry.revision != expected:
            return False
        del self.service.entries[key]
        return True

    @contextlib.contextmanager
    def watch(self, prefix: str) -> typing.Iterator[typing.Iterator]:
        self._begin('watch', prefix)
        events: queue.Queue = queue.Queue()
        self.service.watches.append(events)
        try:
            yield self._read_events(events, prefix)
        finally:
            if events in self.service.watches:
                self.service.watches.remove(events)

    def _read_events(
        self, events: queue.Queue, prefix: str
    ) -> typing.Iterator[FakeEntry]:
        while True:
            entry = events.get()
            if self.cut or self.service.down:
                raise errors.AnswerLost('the watch was interrupted')
            if entry.key.startswith(prefix):
                yield entry
