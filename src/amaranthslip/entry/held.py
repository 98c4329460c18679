"""Memory that an instance holds for callers, counted before it is held.

Connections, the heads and bodies of requests, answers, and callers that a
write waits for make one sum, whose bound is below the instance's memory.
"""

import bisect
import contextlib
import functools
import itertools
import resource
import time
import typing

import gevent
from gevent import event
from gevent import socket

from amaranthslip.entry import blocked_writes
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_

# Memory in bytes of an open connection, with its greenlet and the buffers of
# the kernel for what its caller sends, and of an instance without connections.
# Without a limit, callers that retry on new connections and keep the old ones
# open make the platform end the instance for exceeding its memory.
CONNECTION_BYTES = 32000
_BASE_BYTES = 64e6
# Bytes that the kernel receives for a connection before it is accepted.
UNACCEPTED_BYTES = 4096
# Limits on the connections that may wait to be accepted. When another instance
# fails, a load balancer redirects all of its callers here at the same moment.
_MAX_BACKLOG = 1024
_MIN_BACKLOG = 16
# Fraction of the memory beside the base for connections that wait to be
# accepted.
_BACKLOG_FRACTION = 1 / 16
# Memory in bytes of a request's head while the request is in progress: for
# each of its bytes, and for each field, which is held as several objects.
_HEAD_BYTE_FACTOR = 12
_FIELD_BYTES = 256
# Bytes of a request that was sent to a server: what the kernel may hold of the
# answer, which it counts twice.
_EXCHANGE_BYTES = 2 * sockets.SERVER_RECEIVE_BYTES
# Requests that may be at servers in any case; part of the base.
_MIN_EXCHANGES = 8
# Fraction of the memory beside the base that answers may use in any case.
_MIN_FRACTION = 0.125
# Fractions of the sum up to which connections, bodies, bodies that arrive in
# small pieces, and what else a request needs are accepted. Each leaves room
# for the next ones, and all for answers, without which servers are not read.
_CONNECTIONS_FRACTION = 0.5
_BODIES_FRACTION = 0.6
_SMALL_PIECES_FRACTION = 0.7
_REQUESTS_FRACTION = 0.8
# Bytes that a request may reserve at once although older requests wait.
_SMALL_BYTES = 8192
# Fraction of the sum that becomes free beyond what is needed when callers are
# evicted.
_SPARE_FRACTION = 1 / 128
# Callers that a write may wait for in any case; part of the base.
_MIN_BLOCKED_CALLERS = 8
# Seconds that a request waits for memory. Another instance may have room.
_MAX_WAIT_SECONDS = 0.25
# Seconds after which a request that found no memory should come back.
_RETRY_SECONDS = 0.5
# Least age of a request in seconds, for rates.
_MIN_SECONDS = 0.001
# Seconds after which a request that waits for room looks for callers to evict,
# and after which others look again when none was found.
_EVICT_INTERVAL_SECONDS = 0.05
# Descriptors beside those of connections: files, ports, links and the store.
_OTHER_DESCRIPTORS = 200
# Fraction of the other descriptors for callers; the rest is for servers.
_CALLERS_FRACTION = 0.75


def _count_available(settings: settings_.Settings) -> float:
    """Return the memory in bytes beside that of an idle instance."""
    megabytes = settings.limits.memory_megabytes
    return max(0.0, megabytes * 1e6 - _BASE_BYTES)


def count_connections(settings: settings_.Settings) -> int:
    """Return how many callers' connections may be open at once.

    The limit from the settings, reduced to what fits in the instance's
    memory, if `limits.memory_megabytes` is set, and to its descriptors.
    """
    limits = settings.limits
    descriptors = limits.descriptors or _read_descriptor_limit()
    most = (descriptors - _OTHER_DESCRIPTORS) * _CALLERS_FRACTION
    if limits.memory_megabytes:
        most = min(most, _count_available(settings) / CONNECTION_BYTES)
    return max(1, int(min(limits.connections, most)))


def count_exchanges(settings: settings_.Settings) -> int:
    """Return how many requests may be at servers at once."""
    descriptors = settings.limits.descriptors or _read_descriptor_limit()
    if descriptors == float('inf'):
        return settings.limits.connections
    rest = (descriptors - _OTHER_DESCRIPTORS) * (1 - _CALLERS_FRACTION)
    return max(_MIN_EXCHANGES, int(rest))


@functools.cache
def _read_descriptor_limit() -> float:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float('inf') if limit == resource.RLIM_INFINITY else limit


def count_backlog(settings: settings_.Settings) -> int:
    """Return how many connections may wait to be accepted."""
    if not settings.limits.memory_megabytes:
        return _MAX_BACKLOG
    room = _count_available(settings) * _BACKLOG_FRACTION
    return max(_MIN_BACKLOG, min(_MAX_BACKLOG, int(room / UNACCEPTED_BYTES)))


def estimate_head(byte_count: int, field_count: int) -> int:
    """Return the memory in bytes that a request's head takes."""
    return byte_count * _HEAD_BYTE_FACTOR + field_count * _FIELD_BYTES


class HeldBytes:
    """Bytes held for all requests, of one kind.

    Parameters
    ----------
    memory : Memory
        The sum that the bytes are part of.
    has_room : callable
        Returns whether a holding may have so many bytes more.
    make_room : callable
        Evicts callers so that so many bytes become free.

    Attributes
    ----------
    count : int
        Bytes that are held.
    waiting : int
        Requests that wait for room.
    """

    __slots__ = (
        'count',
        'waiting',
        'memory',
        'has_room',
        'make_room',
        '_holdings',
    )

    def __init__(
        self,
        memory: 'Memory',
        has_room: typing.Callable[['Holding', int], bool],
        make_room: typing.Callable[[int], int],
    ) -> None:
        self.count = self.waiting = 0
        self.memory = memory
        self.has_room = has_room
        self.make_room = make_room
        # The holdings with bytes, the oldest first.
        self._holdings: dict[Holding, None] = {}

    @property
    def holding_count(self) -> int:
        """The number of requests with bytes."""
        return len(self._holdings)

    def is_oldest(self, holding: 'Holding') -> bool:
        """Return whether no other request has held bytes for longer."""
        return next(iter(self._holdings), holding) is holding

    def add(self, holding: 'Holding', count: int) -> None:
        """Count bytes of a request as held."""
        self.count += count
        holding.count += count
        self._holdings[holding] = None

    def remove(self, holding: 'Holding') -> None:
        """Release all bytes of a request."""
        if holding.count:
            self.count -= holding.count
            holding.count = 0
            del self._holdings[holding]
            self.memory.queue.note_released()


class Holding:
    """The bytes of one kind that are held for one request.

    Attributes
    ----------
    count : int
        Bytes that are held.
    number : int
        Number of the request; newer ones have greater numbers.
    waiting : bool
        Whether `reserve` waits, or was interrupted while it waited.
    waited_seconds : float
        For how long it has waited, in sum.
    """

    __slots__ = (
        'count',
        'waiting',
        'waited_seconds',
        'number',
        'held',
        '_begun_at',
    )

    def __init__(self, held: HeldBytes, number: int, begun_at: float) -> None:
        self.count = 0
        self.waiting = False
        self.waited_seconds = 0.0
        self.held = held
        self.number = number
        self._begun_at = begun_at

    def reserve(self, count: int, *, seconds: float | None = None) -> bool:
        """Wait until the request may hold so many bytes more.

        Callers that stand still are evicted for it.

        Parameters
        ----------
        seconds : float or None
            Seconds of waiting, in sum, after which requests have to give way;
            None for any.

        Returns
        -------
        bool
            Whether the bytes are reserved.
        """
        memory = self.held.memory
        if not count:
            return True
        if self.has_room(count) and (
            count <= _SMALL_BYTES or not self.held.waiting
        ):
            self.add(count)
            return True
        self.waiting = True
        if not memory.queue.wait(self, count, seconds):
            return False
        self.waiting = False
        return True

    def read_rate(self, now: float) -> float:
        """Return at which rate memory was taken, in bytes a second."""
        return self.count / max(now - self._begun_at, _MIN_SECONDS)

    def has_room(self, count: int) -> bool:
        """Return whether so many bytes more fit."""
        return self.held.has_room(self, count)

    def add(self, count: int) -> None:
        """Count bytes as held."""
        self.held.add(self, count)

    def release(self) -> None:
        """Release all bytes of the request."""
        self.held.remove(self)


class _Waiter:
    """A request that waits for room."""

    __slots__ = ('holding', 'count', 'deadline', 'result')

    def __init__(
        self, holding: Holding, count: int, seconds: float | None
    ) -> None:
        self.holding = holding
        self.count = count
        self.deadline = float('inf')
        if seconds is not None:
            left = max(0.0, seconds - holding.waited_seconds)
            self.deadline = time.monotonic() + left
        # Whether the bytes were added.
        self.result = event.AsyncResult()

    @property
    def number(self) -> int:
        return self.holding.number

    @property
    def kind(self) -> HeldBytes:
        return self.holding.held

    def has_room(self) -> bool:
        return self.holding.has_room(self.count)


class RoomQueue:
    """The requests that wait for room, the oldest first.

    For a request that is beyond its deadline another one may give way: what it
    held may be enough.
    """

    __slots__ = ('_waiters', '_released', '_runner')

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []
        self._released = event.Event()
        # Runs while requests wait.
        self._runner: gevent.Greenlet | None = None

    def wait(
        self, holding: Holding, count: int, seconds: float | None
    ) -> bool:
        """Wait until bytes are added to a holding; return whether they are.

        Parameters
        ----------
        seconds : float or None
            Seconds after which the request may have to give way.
        """
        waiter = _Waiter(holding, count, seconds)
        started = time.monotonic()
        bisect.insort(self._waiters, waiter, key=lambda each: each.number)
        holding.held.waiting += 1
        if self._runner is None:
            self._runner = gevent.spawn(self._run)
        try:
            return waiter.result.get()
        finally:
            holding.held.waiting -= 1
            holding.waited_seconds += time.monotonic() - started
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def note_released(self) -> None:
        """Look again for room for the requests that wait."""
        self._released.set()

    def wait_for_release(self, seconds: float) -> None:
        """Wait until something is released, or for so many seconds."""
        self._released.clear()
        self._released.wait(seconds)

    def _run(self) -> None:
        try:
            while self._waiters:
                self._grant()
                if self._waiters:
                    self._evict()
                    self._give_way()
                    self.wait_for_release(_EVICT_INTERVAL_SECONDS)
        finally:
            self._runner = None

    def _evict(self) -> None:
        """Make room for the oldest request of those that wait for the same."""
        called = set()
        for waiter in list(self._waiters):
            make_room = waiter.kind.make_room
            if make_room not in called:
                called.add(make_room)
                if not waiter.has_room():
                    make_room(waiter.count)

    def _grant(self) -> None:
        blocked_kinds = set()
        for waiter in list(self._waiters):
            if waiter.kind in blocked_kinds and waiter.count > _SMALL_BYTES:
                continue
            if waiter.has_room():
                waiter.holding.add(waiter.count)
                self._end(waiter, True)
            else:
                blocked_kinds.add(waiter.kind)

    def _give_way(self) -> None:
        """End the wait of one request, if any request waited for too long.

        It is the one that took its memory in the shortest time. A crowd takes
        it as fast as it can; a caller that sends slowly does not.
        """
        now = time.monotonic()
        expired = [each for each in self._waiters if each.deadline <= now]
        if not expired:
            return
        kind = expired[0].kind
        fastest = max(
            (each for each in self._waiters if each.kind is kind),
            key=lambda each: each.holding.read_rate(now),
        )
        if fastest.holding.count:
            self._end(fastest, False)
            return
        for waiter in expired:
            self._end(waiter, False)

    def _end(self, waiter: _Waiter, is_added: bool) -> None:
        self._waiters.remove(waiter)
        waiter.result.set(is_added)


class RequestMemory:
    """The bytes held for one request, of each kind."""

    __slots__ = ('head', 'body', 'exchange', 'answer', '_memory')

    def __init__(self, memory: 'Memory') -> None:
        self._memory = memory
        number, now = memory.number_request(), time.monotonic()
        self.head = Holding(memory.heads, number, now)
        self.body = Holding(memory.bodies, number, now)
        self.exchange = Holding(memory.exchanges, number, now)
        self.answer = Holding(memory.answers, number, now)

    @property
    def count(self) -> int:
        """All bytes that are held."""
        holdings = (self.head, self.body, self.exchange, self.answer)
        return sum(each.count for each in holdings)

    def note_ahead(self, disconnect: typing.Callable[[], None]) -> None:
        """Note that the caller sends bytes ahead of its answer.

        Parameters
        ----------
        disconnect : callable
            Ends the request as if its caller had left.
        """
        self._memory.ahead[self] = disconnect

    def reserve_exchange(self) -> None:
        """Reserve what a request at a server takes, at the first try.

        Raises
        ------
        RequestRefused
            There is no memory or descriptor for now.
        """
        if not self.exchange.count:
            reserve(self.exchange, _EXCHANGE_BYTES)

    def release(self) -> None:
        """Release all bytes of the request."""
        self._memory.ahead.pop(self, None)
        self.head.release()
        self.body.release()
        self.exchange.release()
        self.answer.release()


def reserve(holding: Holding, count: int) -> None:
    """Reserve memory for a request that is not run yet.

    Raises
    ------
    RequestRefused
        There is none for now.
    """
    if not holding.reserve(count, seconds=_MAX_WAIT_SECONDS):
        raise errors.RequestRefused(
            'no_buffer',
            'this instance holds as many requests as its memory allows; send'
            ' the request again, another instance may have room',
            retry_after=_RETRY_SECONDS,
        )


class Evictor(typing.Protocol):
    """Closes connections whose callers are waited for."""

    def evict_stalled(self, byte_count: int) -> int:
        """Evict callers that stand still; return how many."""

    def evict_slow(self, byte_count: int) -> int:
        """Evict slow callers; return how many."""


class Memory:
    """Bounds what an instance holds for callers and servers.

    Parameters
    ----------
    settings : Settings
        The section `limits` is used. Without `memory_megabytes` there is no
        bound.
    metrics : Metrics
        Counts callers whose connection is closed.
    senders : Evictor
        Evicts callers whose requests stand still.

    Attributes
    ----------
    connections : int
        The callers' open connections.
    heads, bodies, exchanges, answers : HeldBytes
        Heads and bodies of requests, what is held for those that are at
        servers, and bodies of answers that are no streams.
    queue : RoomQueue
        The requests that wait for room.
    blocked : BlockedWrites
        Writes that wait for their callers.
    ahead : dict of RequestMemory to callable
        Requests whose callers send ahead, the oldest first, and how each one
        is ended.
    """

    __slots__ = (
        'connections',
        'heads',
        'bodies',
        'exchanges',
        'answers',
        'ahead',
        '_bounded_limits',
        '_bound',
        'blocked',
        '_senders',
        '_looks_at',
        '_settings',
        '_metrics',
        '_numbers',
        'queue',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        metrics: metrics_.Metrics,
        senders: 'Evictor',
    ) -> None:
        self.connections = 0
        self.heads = HeldBytes(self, self._has_head_room, self.make_room)
        self.bodies = HeldBytes(self, self._has_body_room, self.make_room)
        self.exchanges = HeldBytes(
            self, self._has_exchange_room, self.make_room
        )
        # Requests leave room for answers: evicting their callers brings none.
        self.answers = HeldBytes(
            self, self._has_answer_room, self._make_answer_room
        )
        self.blocked = blocked_writes.BlockedWrites(metrics)
        self._senders = senders
        # Monotonic time from which on callers are looked for again.
        self._looks_at = 0.0
        # The limits for which the bound was computed.
        self._bounded_limits: settings_.Section | None = None
        self._bound = 0.0
        self.ahead: dict[RequestMemory, typing.Callable[[], None]] = {}
        self._settings = settings
        self._metrics = metrics
        self._numbers = itertools.count()
        self.queue = RoomQueue()

    def number_request(self) -> int:
        """Return the number of the next request; a later one is greater."""
        return next(self._numbers)

    @property
    def count(self) -> int:
        """The sum of all that is held beside the base, in bytes."""
        blocked = max(0, len(self.blocked) - _MIN_BLOCKED_CALLERS)
        exchanges = max(0, self.exchanges.holding_count - _MIN_EXCHANGES)
        return (
            self.connections * CONNECTION_BYTES
            + self.heads.count
            + self.bodies.count
            + self.answers.count
            + exchanges * _EXCHANGE_BYTES
            + blocked * blocked_writes.BLOCKED_BYTES
        )

    def _read_bound(self) -> float:
        """Return the bound of the sum in bytes."""
        limits = self._settings.limits
        if not limits.memory_megabytes:
            return float('inf')
        if limits is not self._bounded_limits:
            backlog = count_backlog(self._settings) * UNACCEPTED_BYTES
            available = _count_available(self._settings)
            self._bounded_limits = limits
            self._bound = max(0.0, available - backlog)
        return self._bound

    def _has_head_room(self, holding: Holding, count: int) -> bool:
        return self.count + count <= _REQUESTS_FRACTION * self._read_bound()

    def _has_body_room(self, holding: Holding, count: int) -> bool:
        fraction = (
            _SMALL_PIECES_FRACTION
            if count <= _SMALL_BYTES
            else _BODIES_FRACTION
        )
        return self.count + count <= fraction * self._read_bound()

    def _has_exchange_room(self, holding: Holding, count: int) -> bool:
        exchange_count = self.exchanges.holding_count
        if exchange_count < _MIN_EXCHANGES:
            return True
        if exchange_count >= count_exchanges(self._settings):
            return False
        return self.count + count <= _REQUESTS_FRACTION * self._read_bound()

    def _has_answer_room(self, holding: Holding, count: int) -> bool:
        """Return whether an answer may have so many bytes more.

        Small ones always may, within the sum, and so may the oldest one:
        otherwise answers that are each held in part could wait for each other.
        """
        if self.count + count > self._read_bound():
            return False
        if holding.count + count <= _SMALL_BYTES:
            return True
        if self.answers.count + count <= self._read_answer_limit():
            return True
        return self.answers.is_oldest(holding)

    def _read_answer_limit(self) -> float:
        """Return half of the memory beside connections and requests."""
        available = _count_available(self._settings)
        if not self._settings.limits.memory_megabytes:
            return float('inf')
        used = self.connections * CONNECTION_BYTES + self.heads.count
        return max(available * _MIN_FRACTION, (available - used) / 2)

    def make_room(self, byte_count: int) -> int:
        """Evict callers and return how many.

        Those that stand still come first, then those that send ahead of their
        answers, then slow ones.
        """
        now = time.monotonic()
        if now < self._looks_at:
            return 0
        byte_count = self._add_spare(byte_count)
        evicted_count = (
            self._senders.evict_stalled(byte_count)
            or self.blocked.evict_stalled(byte_count)
            or self._evict_ahead(byte_count)
            or self._senders.evict_slow(byte_count)
            or self.blocked.evict_slow(byte_count)
        )
        if not evicted_count:
            self._looks_at = now + _EVICT_INTERVAL_SECONDS
        return evicted_count

    def _make_answer_room(self, byte_count: int) -> int:
        """Evict callers that do not read their answers."""
        byte_count = self._add_spare(byte_count)
        return self.blocked.evict_stalled(
            byte_count
        ) or self.blocked.evict_slow(byte_count)

    def _add_spare(self, byte_count: int) -> int:
        # It takes a look at all connections, so that more are evicted at once
        # than are needed.
        if self._settings.limits.memory_megabytes:
            byte_count += int(_SPARE_FRACTION * self._read_bound())
        return byte_count

    def _evict_ahead(self, byte_count: int) -> int:
        count = 0
        while self.ahead and byte_count > 0:
            request = next(iter(self.ahead))
            byte_count -= CONNECTION_BYTES + request.count
            self.ahead.pop(request)()
            self._metrics.count('evictions', 'ahead')
            count += 1
        return count

    def has_connection_room(self) -> bool:
        """Return whether another connection may be open."""
        if self.connections >= count_connections(self._settings):
            return False
        bound = self._read_bound()
        connections = (self.connections + 1) * CONNECTION_BYTES
        if connections > _CONNECTIONS_FRACTION * bound:
            return False
        return self.count + CONNECTION_BYTES <= bound

    @contextlib.contextmanager
    def track_blocked(
        self, sock: socket.socket, request: RequestMemory | None
    ) -> typing.Iterator[blocked_writes.BlockedWrite]:
        """Count a connection as blocked by a write within the context.

        Beyond the bound, the one whose caller has taken nothing for longest
        is closed.
        """
        with self.blocked.track(sock, request) as write:
            limit = self._read_answer_limit() / blocked_writes.BLOCKED_BYTES
            if len(self.blocked) > max(limit, _MIN_BLOCKED_CALLERS) or (
                self.count > self._read_bound()
                and len(self.blocked) > _MIN_BLOCKED_CALLERS
            ):
                self.blocked.close_longest_stalled()
            yield write
