"""What this instance knows of each backend server's load."""

import time
import typing

from amaranthslip.capacity import directory as directory_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.capacity import reading
from amaranthslip.configuration import document

# Seconds for which a server that had no room gets nothing from here: about
# the time in which one of its requests ends.
_FULL_SECONDS = 0.05
# Seconds that a stream is taken to run before any has ended here.
_FIRST_RUN_SECONDS = 1.3
# What one stream that ended counts for in the mean, of one.
_RUN_GAIN = 0.03


class Engine:
    """One backend server as this instance sees it.

    `running` are this instance's requests in progress there and `held` the
    tokens that they take of its memory; `others_running` and `others_held`
    what the other instances have there, as far as is known.
    """

    __slots__ = (
        'server',
        'queue',
        'cached',
        'running',
        'held',
        'others_running',
        'others_held',
        'full_until',
    )

    def __init__(self, server: document.ListedServer, now: float) -> None:
        self.server = server
        self.queue = reading.ReadingQueue(now=now)
        self.cached = reading.CachedPrompts()
        self.running = 0
        self.held = 0
        self.others_running = 0
        self.others_held = 0
        self.full_until = 0.0

    @property
    def all_running(self) -> int:
        """Requests in progress there, from all instances."""
        return self.running + self.others_running

    @property
    def all_held(self) -> int:
        """Tokens of memory in use there, from all instances."""
        return self.held + self.others_held


class Engines:
    """The engines of the directory, each with its load.

    Parameters
    ----------
    directory : Directory
        Which backend servers there are.
    outliers : Outliers
        Forgets servers that are gone.
    clock : callable
        Seconds that only grow.
    """

    __slots__ = (
        '_directory',
        '_outliers',
        '_clock',
        '_engines',
        '_ready',
        '_generation',
        '_run_seconds',
    )

    def __init__(
        self,
        directory: directory_module.Directory,
        outliers: outliers_module.Outliers,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._outliers = outliers
        self._clock = clock
        self._engines: dict[str, Engine] = {}
        self._ready: dict[str, tuple[Engine, ...]] = {}
        self._generation = -1
        # By service: how long its streams run, from first event to end.
        self._run_seconds: dict[str, float] = {}

    @property
    def generation(self) -> int:
        """Grows whenever engines come, go, restart or begin to leave."""
        self._follow()
        return self._generation

    def list_ready(self, service: str) -> tuple[Engine, ...]:
        """Return a service's engines that may get new requests."""
        servers = self._directory.list_ready(service)
        self._follow()
        ready = self._ready.get(service)
        if ready is None:
            ready = tuple(self._engines[each.name] for each in servers)
            self._ready[service] = ready
        return ready

    def get(self, name: str) -> Engine | None:
        """Return an engine by its server's name."""
        self._follow()
        return self._engines.get(name)

    def list_all(self) -> list[Engine]:
        """Return every engine."""
        self._follow()
        return list(self._engines.values())

    def read_backoff(self, engine: Engine) -> float:
        """Return the remaining seconds of an engine's backoff, or 0."""
        return self._directory.read_backoff(engine.server)

    def note_full(self, engine: Engine) -> None:
        """Take it that a server had no room for a request."""
        engine.full_until = self._clock() + _FULL_SECONDS

    def note_run(self, engine: Engine, seconds: float) -> None:
        """Take it that a stream ran for so long, from its first event on."""
        service = engine.server.service
        mean = self._run_seconds.get(service, _FIRST_RUN_SECONDS)
        self._run_seconds[service] = mean + _RUN_GAIN * (seconds - mean)

    def read_slot_seconds(self, engine: Engine) -> float:
        """Return how long it takes until a slot of a full engine is free.

        Engines of few slots make each request that is too many wait longer:
        where a dozen are shared, a queue of four is late already.
        """
        service = engine.server.service
        mean = self._run_seconds.get(service, _FIRST_RUN_SECONDS)
        return mean / max(1, engine.server.slots)

    def read_slot_wait(self, engine: Engine, running: int) -> float:
        """Return how long a request waits for a slot, in seconds.

        Parameters
        ----------
        running : int
            Requests in progress there besides.
        """
        excess = running + 1 - engine.server.slots
        return max(0, excess) * self.read_slot_seconds(engine)

    def _follow(self) -> None:
        if self._generation == self._directory.generation:
            return
        self._generation = self._directory.generation
        self._ready.clear()
        listed = {each.name: each for each in self._directory.list_all()}
        for name in self._engines.keys() - listed.keys():
            del self._engines[name]
            self._outliers.forget(name)
        for name, server in listed.items():
            known = self._engines.get(name)
            if known is None or _restarted(known.server, server):
                self._engines[name] = Engine(server, self._clock())
                self._outliers.forget(name)
            else:
                known.server = server


def _restarted(old: document.ListedServer, new: document.ListedServer) -> bool:
    # What it held and what was under way there died with its old start.
    return old.incarnation != new.incarnation or old.address != new.address
