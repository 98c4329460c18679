"""An in-memory key-value service with a selectable fault for each swap."""

import collections

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip.platform import keyvalue


class FakeStore:
    """The state of the service, shared by all clients."""

    __slots__ = (
        'entries',
        'revision',
        'down',
        'faults',
        'delayed_swaps',
        'swap_count',
    )

    def __init__(self) -> None:
        self.entries: dict[str, keyvalue.Entry] = {}
        self.revision = 0
        self.down = False
        # Faults of the next swaps, in order: '' (none), 'lost_request' (no
        # effect and no answer), 'lost_answer' (effect but no answer),
        # 'delayed' (no answer, and the swap is processed when
        # `process_delayed_swaps` is called) or 'lost_answer_and_outage'.
        self.faults: collections.deque[str] = collections.deque()
        self.delayed_swaps: list[tuple[str, bytes, int]] = []
        self.swap_count = 0

    def apply(self, key: str, value: bytes, expected: int) -> int | None:
        """Compare and swap immediately."""
        entry = self.entries.get(key)
        if (entry.revision if entry else 0) != expected:
            return None
        self.revision += 1
        self.entries[key] = keyvalue.Entry(key, value, self.revision)
        return self.revision

    def process_delayed_swaps(self) -> None:
        """Compare and swap for all delayed swaps."""
        swaps, self.delayed_swaps = self.delayed_swaps, []
        for key, value, expected in swaps:
            self.apply(key, value, expected)


class FakeKeyValue:
    """The client of one instance; `pause` blocks its calls."""

    __slots__ = ('_store', '_running')

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self._running = event.Event()
        self._running.set()

    def pause(self) -> None:
        """Block all calls until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Unblock the calls."""
        self._running.set()

    def _start_call(self) -> None:
        gevent.sleep(0)
        self._running.wait()
        if self._store.down:
            raise errors.PlatformUnavailable(
                'the key-value service is down; try again later'
            )

    def get(self, key: str) -> keyvalue.Entry | None:
        """Read one key."""
        self._start_call()
        return self._store.entries.get(key)

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Compare and swap one key, applying the next fault of the store."""
        self._start_call()
        store = self._store
        store.swap_count += 1
        fault = store.faults.popleft() if store.faults else ''
        if fault == 'delayed':
            store.delayed_swaps.append((key, value, expected))
        if fault in ('delayed', 'lost_request'):
            raise errors.AnswerLost('the answer was lost; read the key')
        revision = store.apply(key, value, expected)
        gevent.sleep(0)
        if fault == 'lost_answer_and_outage':
            store.down = True
        if fault:
            raise errors.AnswerLost('the answer was lost; read the key')
        return revision
