"""Estimates of servers for the whole fleet.

Each keeper adds the estimates of its servers to the demand report that it
sends to the aggregator, and the aggregator adds what it knows to its answers.
An instance that becomes a server's keeper then starts from what its
predecessor knew, and other instances learn of a server without asking.
"""

import bisect
import time
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip import identity
from amaranthslip.shares import load_messages

# Maximum number of entries in a report or an answer: about 800 bytes.
MAX_ENTRIES = 16
# Seconds after which an entry is dropped: servers change within seconds.
_ENTRY_TTL_SECONDS = 10.0
# Maximum number of receivers of which the position in the list is known.
_MAX_RECEIVERS = 4096
# Minimum seconds between two looks at the servers that this instance keeps:
# the aggregator answers up to 170 reports a second.
_MIN_NOTE_SECONDS = 0.09
_INCARNATION_MASK = (1 << 64) - 1


class KnownState:
    """The newest entry of a server, and the monotonic time that it is of."""

    __slots__ = ('state', 'known_at')

    def __init__(
        self, state: load_messages.ServerState, known_at: float
    ) -> None:
        self.state = state
        self.known_at = known_at


class ServerEstimates:
    """The newest entry of each server whose capacity is learnt.

    Parameters
    ----------
    engines : Engines
        The servers; their estimates start from newer entries.
    find_keeper : callable
        Returns the name of the instance that keeps a server, by its name.
    own_name : str
        The name of this instance.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_engines',
        '_find_keeper',
        '_own_name',
        '_clock',
        '_known',
        '_order',
        '_positions',
        '_reported',
        '_noted_at',
        '_generation',
        '_by_number',
    )

    def __init__(
        self,
        engines: engines_module.Engines,
        find_keeper: typing.Callable[[str], str],
        own_name: str,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._engines = engines
        self._find_keeper = find_keeper
        self._own_name = own_name
        self._clock = clock
        # By the hash of the server's name, and these hashes in order.
        self._known: dict[int, KnownState] = {}
        self._order: list[int] = []
        # By receiver: the last hash that it was told.
        self._positions: dict[str, int] = {}
        # The last hash that this instance reported.
        self._reported = -1
        self._noted_at = float('-inf')
        self._generation = -1
        self._by_number: dict[int, engines_module.Engine] = {}

    def list_kept(self) -> list[load_messages.ServerState]:
        """Return entries of kept servers, those reported longest ago first."""
        self._note_kept()
        kept = [number for number in self._order if self._keeps(number)]
        numbers = _take_after(kept, self._reported, MAX_ENTRIES)
        if numbers:
            self._reported = numbers[-1]
        return [self._build_entry(number) for number in numbers]

    def list_for(self, receiver: str) -> list[load_messages.ServerState]:
        """Return entries for one instance, those told longest ago first."""
        self._note_kept()
        if len(self._positions) >= _MAX_RECEIVERS:
            self._positions.clear()
        position = self._positions.get(receiver, -1)
        numbers = _take_after(self._order, position, MAX_ENTRIES)
        if numbers:
            self._positions[receiver] = numbers[-1]
        return [self._build_entry(number) for number in numbers]

    def receive(
        self, states: typing.Iterable[load_messages.ServerState]
    ) -> None:
        """Keep the entries that are newer than the known ones, and use them.

        Entries of another start of a server are ignored.
        """
        now = self._clock()
        for state in states:
            engine = self._find_engine(state.server)
            if engine is None or not engine.adaptive:
                continue
            if state.incarnation != _read_incarnation(engine):
                continue
            known_at = now - state.age_ms / 1000
            if self._put(state, known_at, now):
                self._use(engine, state, known_at, now)

    def find(self, server: str) -> KnownState | None:
        """Return the entry of a server by its name, or None."""
        known = self._known.get(identity.hash_name(server))
        engine = self._engines.get(server)
        if known is None or engine is None:
            return None
        if known.state.incarnation != _read_incarnation(engine):
            return None
        if self._clock() - known.known_at > _ENTRY_TTL_SECONDS:
            return None
        return known

    def _put(
        self, state: load_messages.ServerState, known_at: float, now: float
    ) -> bool:
        known = self._known.get(state.server)
        if known is not None and (
            known.state.incarnation == state.incarnation
            and known.known_at >= known_at
        ):
            return False
        if now - known_at > _ENTRY_TTL_SECONDS:
            return False
        if known is None:
            bisect.insort(self._order, state.server)
        self._known[state.server] = KnownState(state, known_at)
        return True

    def _use(
        self,
        engine: engines_module.Engine,
        state: load_messages.ServerState,
        known_at: float,
        now: float,
    ) -> None:
        """Start an engine's estimates from an entry.

        A keeper's own answers are newer than any entry, unless it has become
        the keeper since.
        """
        if self._keeps(state.server):
            if engine.estimate.updated_at >= known_at:
                return
        elif engine.remote_known_at < known_at:
            engine.remote_known_at = known_at
            engine.remote_running = max(0, state.running - engine.running)
            engine.remote_held_tokens = max(0, state.held - engine.held)
        if state.rate > 0:
            engine.queue.rate = state.rate
            engine.queue.congestion = state.congestion
        engine.estimate.adopt(
            limit=state.limit,
            relative_seconds=state.seconds,
            at=known_at,
            now=now,
        )

    def _note_kept(self) -> None:
        """Enter the estimates of the servers that this instance keeps."""
        now = self._clock()
        if now - self._noted_at < _MIN_NOTE_SECONDS:
            return
        self._noted_at = now
        self._refresh_engines()
        for number, engine in self._by_number.items():
            if engine.adaptive and self._keeps(number):
                state = _describe(number, engine, now)
                self._put(state, engine.estimate.updated_at, now)
        self._drop_old()

    def _drop_old(self) -> None:
        oldest = self._clock() - _ENTRY_TTL_SECONDS
        old = [
            number
            for number, known in self._known.items()
            if known.known_at < oldest or number not in self._by_number
        ]
        for number in old:
            del self._known[number]
        if old:
            self._order = sorted(self._known)

    def _build_entry(self, number: int) -> load_messages.ServerState:
        known = self._known[number]
        known.state.age_ms = _compute_age_ms(known.known_at, self._clock())
        return known.state

    def _keeps(self, number: int) -> bool:
        engine = self._by_number.get(number)
        return engine is not None and (
            self._find_keeper(engine.server.name) == self._own_name
        )

    def _find_engine(self, number: int) -> engines_module.Engine | None:
        self._refresh_engines()
        return self._by_number.get(number)

    def _refresh_engines(self) -> None:
        generation = self._engines.generation
        if self._generation == generation:
            return
        self._generation = generation
        self._by_number = {
            identity.hash_name(each.server.name): each
            for each in self._engines.list_all()
        }


def _describe(
    number: int, engine: engines_module.Engine, now: float
) -> load_messages.ServerState:
    estimate = engine.estimate
    is_plain = estimate.is_plain
    return load_messages.ServerState(
        server=number,
        incarnation=_read_incarnation(engine),
        rate=0.0 if is_plain else engine.queue.rate,
        congestion=0.0 if is_plain else engine.queue.congestion,
        limit=estimate.read_limit(),
        seconds=estimate.read_relative_seconds() if is_plain else 0.0,
        running=engine.total_running,
        held=engine.total_held_tokens,
        backlog=engine.queue.read_backlog(now),
        age_ms=_compute_age_ms(estimate.updated_at, now),
    )


def _read_incarnation(engine: engines_module.Engine) -> int:
    return engine.server.incarnation & _INCARNATION_MASK


def _compute_age_ms(known_at: float, now: float) -> int:
    return int(1000 * min(max(0.0, now - known_at), _ENTRY_TTL_SECONDS))


def _take_after(
    numbers: typing.Sequence[int], position: int, count: int
) -> list[int]:
    """Return numbers that follow a position in a ring, at most `count`."""
    start = bisect.bisect_right(numbers, position)
    following = list(numbers[start : start + count])
    missing = count - len(following)
    return following + list(numbers[: min(start, missing)])
