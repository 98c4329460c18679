"""Routes: which service answers a host and path, and under which terms."""

import enum
import random as random_
import typing


class RouteKind(enum.Enum):
    """What a route's requests allow."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Destination:
    """A service that gets a part of a route's requests."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """One host and path prefix.

    Parameters
    ----------
    name : str
        The operator's name for it.
    host, prefix : str
        Requests whose `Host` is `host` and whose path begins with `prefix`.
    kind : RouteKind
        Whether a request may run more than once.
    destinations : sequence of Destination
        Where its requests go, by weight.
    timeout_seconds : float
        The longest time from arrival to the end of the answer.
    objective_seconds : float
        The time to the answer, or to a stream's first event, that callers
        count as in time.
    gap_seconds : float
        The longest pause between a stream's events that is in time.
    most_runs : int
        Backend servers that one request may run on, at most.
    public : bool
        Whether requests carry no key.
    resumable : bool
        Whether a stream may go on at another engine after its last event.
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
        'most_runs',
        'public',
        'resumable',
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
        most_runs: int = 1,
        public: bool = False,
        resumable: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.destinations = tuple(destinations)
        self.timeout_seconds = timeout_seconds
        self.objective_seconds = objective_seconds
        self.gap_seconds = gap_seconds
        self.most_runs = most_runs
        self.public = public
        self.resumable = resumable

    @property
    def streams(self) -> bool:
        """Whether answers are series of events."""
        return self.kind is RouteKind.STREAM

    @property
    def repeatable(self) -> bool:
        """Whether a request may go to another backend server after it ran."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def choose_service(self, random: random_.Random) -> str:
        """Return the service for one request, drawn by weight."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        weights = [each.weight for each in self.destinations]
        return random.choices(self.destinations, weights)[0].service


class CallerLimits:
    """What the operator allows callers, in bytes and seconds."""

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

        Prefixes end with a slash, so that cutting the path at its slashes,
        from the right, tries the longest first: a table of thousands of
        routes costs as much as one of ten.
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
