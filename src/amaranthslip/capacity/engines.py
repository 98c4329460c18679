"""Load of each backend server, as known to this instance."""

import time
import typing

from amaranthslip.capacity import coldstarts as coldstarts_module
from amaranthslip.capacity import directory as directory_module
from amaranthslip.capacity import estimates
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.capacity import prefill
from amaranthslip.capacity import slowdowns
from amaranthslip.capacity import usual_times
from amaranthslip.configuration import document

# Seconds for which this instance sends nothing to a server that rejected a
# request as full: about the time in which one of its requests ends.
_FULL_PAUSE_SECONDS = 0.05
# Assumed duration of a stream in seconds, until the first stream of the
# service has ended at this instance.
_INITIAL_STREAM_SECONDS = 1.3
# Weight of one finished stream in the moving average of stream durations.
_STREAM_SECONDS_GAIN = 0.03


class Engine:
    """Load of one backend server, as known to this instance.

    `running` is the number of this instance's requests in progress on the
    server, and `held` the number of tokens of server memory that they occupy.
    `remote_running` and `remote_held_tokens` are the last known values for all
    other instances together, known at the monotonic time `remote_known_at`.
    """

    __slots__ = (
        'server',
        'queue',
        'prefix_cache',
        'running',
        'held',
        'remote_running',
        'remote_held_tokens',
        'remote_known_at',
        'paused_until',
        'estimate',
        'adaptive',
    )

    def __init__(
        self,
        server: document.ListedServer,
        now: float,
        *,
        confirmations: slowdowns.Confirmations | None = None,
        read_cache_limit: typing.Callable[[], int] = (
            lambda: prefill.MAX_CACHE_ENTRIES
        ),
    ) -> None:
        self.server = server
        self.queue = prefill.PrefillQueue(now=now)
        self.prefix_cache = prefill.CachedPrompts(read_cache_limit)
        self.running = 0
        self.held = 0
        self.remote_running = 0
        self.remote_held_tokens = 0
        self.remote_known_at = now
        self.paused_until = 0.0
        self.estimate = estimates.ServerEstimate(
            server.slots, confirmations=confirmations
        )
        # Whether the capacity of the server is learnt.
        self.adaptive = False

    @property
    def total_running(self) -> int:
        """Requests in progress on the server, from all instances."""
        return self.running + self.remote_running

    @property
    def total_held_tokens(self) -> int:
        """Tokens of server memory in use, by all instances."""
        return self.held + self.remote_held_tokens


class Engines:
    """The backend servers of the directory, each with its load.

    Parameters
    ----------
    directory : Directory
        Lists the backend servers.
    outliers : Outliers
        Its record of a server is dropped when the server is removed or
        restarts.
    cold_starts : ColdStarts or None
        Limits requests to cold servers; None for no limit.
    adaptive : str
        The setting `capacity.adaptive`.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        'usual_times',
        '_directory',
        '_outliers',
        '_cold_starts',
        '_adaptive',
        '_adapting',
        '_confirmations',
        '_clock',
        '_engines',
        '_ready',
        '_generation',
        '_mean_stream_seconds',
    )

    def __init__(
        self,
        directory: directory_module.Directory,
        outliers: outliers_module.Outliers,
        *,
        cold_starts: coldstarts_module.ColdStarts | None = None,
        adaptive: str = 'registered',
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._outliers = outliers
        self._cold_starts = cold_starts
        self._adaptive = adaptive
        # Services, as of the directory's generation.
        self._adapting: dict[str, bool] = {}
        # By service: how far answers confirm its servers' reports.
        self._confirmations: dict[str, slowdowns.Confirmations] = {}
        # Of complete answers that this instance got.
        self.usual_times = usual_times.UsualTimes()
        self._clock = clock
        self._engines: dict[str, Engine] = {}
        self._ready: dict[str, tuple[Engine, ...]] = {}
        self._generation = -1
        # Service: moving average of the seconds from first event to end of a
        # stream.
        self._mean_stream_seconds: dict[str, float] = {}

    @property
    def generation(self) -> int:
        """Counter that grows whenever the directory changes.

        Servers that are added, removed, restarted or start to leave count as
        changes.
        """
        self._sync_directory()
        return self._generation

    def list_ready(self, service: str) -> tuple[Engine, ...]:
        """Return the engines of a service that may get new requests."""
        servers = self._directory.list_ready(service)
        self._sync_directory()
        ready = self._ready.get(service)
        if ready is None:
            ready = tuple(self._engines[each.name] for each in servers)
            self._ready[service] = ready
        return ready

    def adapts(self, service: str) -> bool:
        """Return whether the capacity of a service's servers is learnt."""
        if self._adaptive != 'registered':
            return self._adaptive == 'always'
        ready = self.list_ready(service)
        adapts = self._adapting.get(service)
        if adapts is None:
            adapts = self._adapting[service] = bool(ready) and all(
                each.server.registers_start for each in ready
            )
        return adapts

    def get(self, name: str) -> Engine | None:
        """Return an engine by the name of its server, or None."""
        self._sync_directory()
        return self._engines.get(name)

    def list_all(self) -> list[Engine]:
        """Return every engine."""
        self._sync_directory()
        return list(self._engines.values())

    def read_backoff(self, engine: Engine) -> float:
        """Return the seconds for which nothing may be sent to an engine.

        The engine sent Retry-After, or it is cold and this instance's quota
        is used up; 0 otherwise.
        """
        seconds = self._directory.read_backoff(engine.server)
        if self._cold_starts is not None:
            seconds = max(seconds, self._cold_starts.read_wait(engine.server))
        return seconds

    def record_full(self, engine: Engine) -> None:
        """Record that a server rejected a request because it was full."""
        engine.paused_until = self._clock() + _FULL_PAUSE_SECONDS

    def record_stream_seconds(self, engine: Engine, seconds: float) -> None:
        """Record the seconds from the first event to the end of a stream."""
        service = engine.server.service
        mean = self._mean_stream_seconds.get(service, _INITIAL_STREAM_SECONDS)
        self._mean_stream_seconds[service] = mean + _STREAM_SECONDS_GAIN * (
            seconds - mean
        )

    def read_stream_seconds(self, service: str) -> float:
        """Return the mean seconds from first event to end of a stream."""
        return self._mean_stream_seconds.get(service, _INITIAL_STREAM_SECONDS)

    def read_slot_seconds(self, engine: Engine) -> float:
        """Return the mean seconds until a full engine frees one slot.

        The fewer slots an engine has, the longer each excess request waits:
        with a dozen slots, the fourth request in the queue is already late.
        """
        service = engine.server.service
        mean = self._mean_stream_seconds.get(service, _INITIAL_STREAM_SECONDS)
        return mean / max(1, _count_slots(engine))

    def read_slot_wait(self, engine: Engine, running: int) -> float:
        """Return the expected seconds that a request waits for a slot.

        Parameters
        ----------
        running : int
            Other requests in progress on the engine.
        """
        excess = running + 1 - _count_slots(engine)
        return max(0, excess) * self.read_slot_seconds(engine)

    def is_recorded(self, server: document.ListedServer) -> bool:
        """Return whether streams that a server begins can be identified.

        That is so once the store records the server's software version.
        """
        return self._directory.software.is_recorded(
            server.service, server.software_version
        )

    def is_settled(self, server: document.ListedServer) -> bool:
        """Return whether no instance can be unaware of a server's version."""
        software = self._directory.software
        return self.is_recorded(server) or software.is_settled(
            server.service, server.software_version
        )

    def _read_cache_limit(self) -> int:
        return prefill.limit_cache_entries(len(self._engines))

    def _sync_directory(self) -> None:
        if self._generation == self._directory.generation:
            return
        self._generation = self._directory.generation
        self._ready.clear()
        self._adapting.clear()
        listed = {each.name: each for each in self._directory.list_all()}
        for name in self._engines.keys() - listed.keys():
            del self._engines[name]
            self._outliers.forget(name)
        for name, server in listed.items():
            known = self._engines.get(name)
            if known is None or _restarted(known.server, server):
                self._engines[name] = Engine(
                    server,
                    self._clock(),
                    confirmations=self._confirmations.setdefault(
                        server.service, slowdowns.Confirmations()
                    ),
                    read_cache_limit=self._read_cache_limit,
                )
                self._outliers.forget(name)
            else:
                known.server = server
                known.estimate.change_slots(server.slots)
        for engine in self._engines.values():
            engine.adaptive = self.adapts(engine.server.service)
            if engine.adaptive:
                engine.queue.adapt(engine.estimate.slowdown)


def _count_slots(engine: Engine) -> int:
    """Return the number of requests that an engine runs at once in time."""
    if not engine.adaptive:
        return engine.server.slots
    return engine.estimate.read_limit()


def _restarted(old: document.ListedServer, new: document.ListedServer) -> bool:
    # A restart loses the cache and all requests in progress, so the recorded
    # load of the old process is discarded.
    return old.incarnation != new.incarnation or old.address != new.address
