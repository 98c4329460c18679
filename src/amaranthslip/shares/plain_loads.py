"""Loads of plain servers, as their keepers count and report them."""

from amaranthslip.capacity import engines as engines_module
from amaranthslip.shares import queue_ceilings
from amaranthslip.shares import terms as terms_module
from amaranthslip.shares import waiting

# Maximum seconds after which the requests that a keeper reported are assumed
# to have ended: a report that no request renews must not exclude a server.
MAX_LOAD_TTL_SECONDS = 0.25


class Decision:
    """A keeper's decision on a request, and the load that it rests on."""

    __slots__ = ('terms', 'granted', 'running', 'limit', 'seconds')

    def __init__(
        self,
        terms: terms_module.Terms | None,
        *,
        granted: bool,
        running: int,
        limit: int = 0,
        seconds: float = 0.0,
    ) -> None:
        # None for a request that isn't decided here.
        self.terms = terms
        self.granted = granted
        self.running = running
        self.limit = limit
        self.seconds = seconds


class KnownServer:
    """What is known of one start of a server."""

    __slots__ = (
        'engine',
        'counted',
        'ceiling',
        'waiting',
        'limit',
        'speed',
        'known_at',
        'load_ttl_seconds',
        'full_until',
    )

    def __init__(self, engine: engines_module.Engine) -> None:
        self.engine = engine
        # Requests of other instances; only its keeper counts them.
        self.counted = 0
        self.ceiling = queue_ceilings.QueueCeiling()
        self.waiting = waiting.WaitingList()
        # Reported by the keeper: the most requests at once, and the time of
        # an answer without a queue, relative to the usual. 0: not reported.
        self.limit = 0
        self.speed = 0.0
        self.known_at = float('-inf')
        # Seconds in which the reported requests end.
        self.load_ttl_seconds = MAX_LOAD_TTL_SECONDS
        self.full_until = 0.0


def compute_queue_factor(engine: engines_module.Engine, running: int) -> float:
    """Return by how much a queue prolongs answers, with others running."""
    slots = max(1, engine.server.slots)
    return 1.0 + max(0, running + 1 - slots) / slots
