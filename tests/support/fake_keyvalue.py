"""A key-value service in memory, with the faults that tests ask for."""

import collections
import contextlib
import typing

import gevent
from gevent import queue

from amaranthslip import errors


class FakeEntry:
    """One key's value and the revision that last changed it."""

    __slots__ = ('key', 'value', 'revision')

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class FakeKeyValue:
    """The service: keys, revisions, watches and what was called.

    `down` refuses every call; `silent` keeps watches open without events;
    `slow_seconds` delays each call.
    """

    def __init__(self) -> None:
        self.entries: dict[str, FakeEntry] = {}
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self.down = False
        self.silent = False
        self.slow_seconds = 0.0
        self.watchers: list[queue.Queue] = []

    def connect(self) -> 'FakeClient':
        """Return a client with faults of its own."""
        return FakeClient(self)

    def write(self, key: str, value: bytes) -> int:
        """Write without a comparison, and tell the watches."""
        self.revision += 1
        entry = FakeEntry(key, value, self.revision)
        self.entries[key] = entry
        for events in [] if self.silent else self.watchers:
            events.put(entry)
        return self.revision

    def snapshot(self) -> dict[str, FakeEntry]:
        """Return what `restore` brings back."""
        return dict(self.entries)

    def restore(self, entries: dict[str, FakeEntry]) -> None:
        """Come back with what was there before, without telling a soul."""
        self.entries = dict(entries)


class FakeClient:
    """One instance's client.

    `cut` makes the service unreachable for it alone. `lose_after` and
    `lose_before` count the swaps of a manifest whose answer is lost after
    or without taking effect. `hook` is called before each call with the
    method and the key, so that a test may put something in between.
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
            raise errors.PlatformUnavailable('the service is down')

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
        assert len(value) <= 1024 * 1024, 'the value is above a megabyte'
        decisive = key.endswith('/manifest')
        if decisive and self.lose_before:
            self.lose_before -= 1
            raise errors.AnswerLost('the request was lost')
        entry = self.service.entries.get(key)
        revision = entry.revision if entry else 0
        result = None
        if revision == expected:
            result = self.service.write(key, value)
        if decisive and self.lose_service:
            self.service.down = True
            raise errors.AnswerLost('the answer was lost, and the service')
        if decisive and self.lose_after:
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
        self.service.watchers.append(events)
        try:
            yield self._read_events(events, prefix)
        finally:
            if events in self.service.watchers:
                self.service.watchers.remove(events)

    def _read_events(
        self, events: queue.Queue, prefix: str
    ) -> typing.Iterator[FakeEntry]:
        while True:
            entry = events.get()
            if self.cut or self.service.down:
                raise errors.AnswerLost('the watch broke')
            if entry.key.startswith(prefix):
                yield entry
