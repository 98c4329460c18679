"""A key-value service in memory, with faults chosen call by call."""

import collections

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip.platform import keyvalue


class FakeStore:
    """The service's state, which every client shares."""

    __slots__ = ('entries', 'revision', 'down', 'faults', 'late', 'swaps')

    def __init__(self) -> None:
        self.entries: dict[str, keyvalue.Entry] = {}
        self.revision = 0
        self.down = False
        # One for each of the next swaps: '' (none), 'before' (no effect, no
        # answer), 'after' (effect, no answer), 'late' (no answer, and the
        # effect when `land` is called) or 'after_and_down'.
        self.faults: collections.deque[str] = collections.deque()
        self.late: list[tuple[str, bytes, int]] = []
        self.swaps = 0

    def apply(self, key: str, value: bytes, expected: int) -> int | None:
        """Compare and swap at once."""
        held = self.entries.get(key)
        if (held.revision if held else 0) != expected:
            return None
        self.revision += 1
        self.entries[key] = keyvalue.Entry(key, value, self.revision)
        return self.revision

    def land(self) -> None:
        """Let the late writes come to their comparison."""
        late, self.late = self.late, []
        for key, value, expected in late:
            self.apply(key, value, expected)


class FakeKeyValue:
    """One instance's client; `pause` stops its calls on their way."""

    __slots__ = ('_store', '_running')

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self._running = event.Event()
        self._running.set()

    def pause(self) -> None:
        """Let no call leave until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Let the calls go on."""
        self._running.set()

    def _enter(self) -> None:
        gevent.sleep(0)
        self._running.wait()
        if self._store.down:
            raise errors.PlatformUnavailable('down; try again later')

    def get(self, key: str) -> keyvalue.Entry | None:
        """Read one key."""
        self._enter()
        return self._store.entries.get(key)

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Swap one key, with the next fault of the store."""
        self._enter()
        store = self._store
        store.swaps += 1
        fault = store.faults.popleft() if store.faults else ''
        if fault == 'late':
            store.late.append((key, value, expected))
        if fault in ('late', 'before'):
            raise errors.AnswerLost('no answer; read the key')
        revision = store.apply(key, value, expected)
        gevent.sleep(0)
        if fault == 'after_and_down':
            store.down = True
        if fault:
            raise errors.AnswerLost('no answer; read the key')
        return revision
