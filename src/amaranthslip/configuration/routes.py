"""Routes: which service answers a host and path, with which limits."""

import enum
import random as random_
import typing


class RouteKind(enum.Enum):
    """Whether a request may run again, or is answered by a stream."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Destination:
    """A service that receives a weighted share of a route's requests."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """The rules for requests to one host and path prefix.

    Parameters
    ----------
    name : str
        The operator's name for the route.
    host, prefix : str
        Requests whose `Host` is `host` and whose path begins with `prefix`.
    kind : RouteKind
        Whether a request may run more than once, and whether answers are
        streams of events.
    destinations : sequence of Destination
        The services that requests go to, by weight.
    timeout_seconds : float
        The longest time from arrival to the end of the answer.
    objective_seconds : float
        Latency objective: the longest time to the answer, or to a stream's
        first event, that counts as in time.
    gap_seconds : float
        The longest pause between a stream's events that counts as in time.
    max_runs : int
        The maximum number of backend servers that one request may run on.
    public : bool
        Whether requests are accepted without an API key.
    resumable : bool
        Whether an interrupted stream may continue on another engine, after
        the last event sent.
    regions : frozenset of str or None
        The regions whose backend servers may get requests; None for all.
    """

    __slots__ = (
        'name',
        'host',
        'prefix',
        'kind',
        'destinations',
        'timeout_seconds',
        'objective_seconds',
        'gap_seconds',
        'max_runs',
        'public',
        'resumable',
        'regions',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        destinations: typing.Sequence[Destination],
        timeout_seconds: float,
        objective_seconds: float,
        gap_seconds: float = 0.0,
        max_runs: int = 1,
        public: bool = False,
        resumable: bool = False,
        regions: frozenset[str] | None = None,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.destinations = tuple(destinations)
        self.timeout_seconds = timeout_seconds
        self.objective_seconds = objective_seconds
        self.gap_seconds = gap_seconds
        self.max_runs = max_runs
        self.public = public
        self.resumable = resumable
        self.regions = regions

    @property
    def streams(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind is RouteKind.STREAM

    @property
    def repeatable(self) -> bool:
        """Whether a request that ran may be sent to another backend server."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def choose_service(self, random: random_.Random) -> str:
        """Return the service for one request, chosen at random by weight."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        weights = [each.weight for each in self.destinations]
        return random.choices(self.destinations, weights)[0].service


class CallerLimits:
    """Limits on requests and connections of callers, in bytes and seconds."""

    __slots__ = (
        'header_bytes',
        'body_bytes',
        'header_seconds',
        'idle_seconds',
    )

    def __init__(
        self,
        *,
        header_bytes: int,
        body_bytes: int,
        header_seconds: float,
        idle_seconds: float,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_seconds = header_seconds
        self.idle_seconds = idle_seconds


class RouteTable:
    """Finds the route with the longest prefix for a host and path."""

    __slots__ = ('_by_host',)

    def __init__(self, routes: typing.Iterable[Route] = ()) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def __len__(self) -> int:
        return sum(map(len, self._by_host.values()))

    def __iter__(self) -> typing.Iterator[Route]:
        for prefixes in self._by_host.values():
            yield from prefixes.values()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        Prefixes end with a slash, so truncating the path at each slash from
        the right tries the longest prefix first. The cost depends on the
        path's depth and not on the number of routes, so that a lookup among
        thousands of routes takes as long as one among ten.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
