"""Plain services: which server gets a request, and when it is refused.

A plain server runs a few requests at once, and each instance sends it a few a
second. Counts of one instance therefore say nothing of its load: with 59
instances, a sixth of all requests was rejected by servers that were full. The
server's keeper counts all of them and decides, by the time in which the answer
is expected. Everything here applies to services that adapt only.
"""

import bisect
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.configuration import document
from amaranthslip.shares import load_messages
from amaranthslip.shares import places
from amaranthslip.shares import plain_loads
from amaranthslip.shares import terms as terms_module
from amaranthslip.shares import waiting

# Fraction of the route's objective within which a request that waits for
# others has to be answered. Machines slow down while it waits: with 0.8, more
# answers missed the objective; with 0.5, more requests were refused that could
# have been in time (`docs/design/plain-services.md`).
_MAX_QUEUE_FRACTION = 0.65
# Maximum length of a server's queue, as a multiple of the requests that it
# runs at once: bounds the search where requests are short.
_MAX_QUEUE_FACTOR = 4
# Seconds after which the reported speed of a server no longer counts.
_SPEED_TTL_SECONDS = 10.0
# Cost of a fully used server relative to an idle one that is as fast, as a
# fraction of the usual time: spreads requests before servers are full.
_LOAD_COST_FRACTION = 0.2
# Cost in seconds of a server that may not get the request.
_LIMITED_COST_SECONDS = 1e6


class PlainServers:
    """Decides on requests to plain services that adapt.

    Parameters
    ----------
    engines : Engines
        The servers and their estimates.
    holder : Holder
        The configuration in force.
    """

    __slots__ = (
        'keeps',
        '_engines',
        '_holder',
        '_servers',
        '_generation',
        '_adapts',
    )

    def __init__(
        self, engines: engines_module.Engines, holder: typing.Any
    ) -> None:
        # Whether this instance keeps a server; set by `Keepers`.
        self.keeps: typing.Callable[[str], bool] = lambda server: True
        self._engines = engines
        self._holder = holder
        self._servers: dict[str, plain_loads.KnownServer] = {}
        self._generation = -1
        self._adapts: dict[str, bool] = {}

    def adapts(self, placement_request: places.PlacementRequest) -> bool:
        """Return whether a request is decided here."""
        if placement_request.prompt is not None:
            return False
        self._sync()
        name = placement_request.service
        adapts = self._adapts.get(name)
        if adapts is None:
            adapts = self._adapts[name] = self._engines.adapts(name)
        if not adapts:
            return False
        service = self._holder.document.services.get(name)
        return service is not None and (
            service.kind == document.ServiceKind.PLAIN
        )

    def build_terms(
        self, placement_request: places.PlacementRequest, now: float
    ) -> terms_module.Terms:
        """Return the times within which a request has to be answered."""
        route = placement_request.route
        left_seconds = max(0.0, placement_request.deadline - now)
        queue_seconds = _MAX_QUEUE_FRACTION * route.objective_seconds
        queue_seconds -= now - placement_request.arrived
        return terms_module.Terms(
            self._engines.usual_times.read(
                placement_request.service, route.name
            ),
            max(0.0, min(left_seconds, queue_seconds)),
            left_seconds,
        )

    def score(
        self,
        engine: engines_module.Engine,
        terms: terms_module.Terms,
        now: float,
    ) -> places.ScoredCandidate:
        """Return a server with its expected time, cost and limit."""
        running = self._read_running(engine, now)
        seconds = self._expect(engine, running, terms.usual_seconds, now)
        cost = seconds
        cost += (
            _LOAD_COST_FRACTION
            * (terms.usual_seconds or 1.0)
            * (running / max(1, engine.server.slots))
        )
        limit = self._find_limit(engine, running, seconds, terms, now)
        if limit is not None:
            cost += _LIMITED_COST_SECONDS
        candidate = places.ScoredCandidate(engine, 0.0, seconds, cost)
        candidate.limit = limit
        candidate.plain_start = terms_module.PlainStart(terms, running)
        return candidate

    def expect_place(
        self, placement_request: places.PlacementRequest, seconds: float
    ) -> float:
        """Return the seconds after which a place is expected to be free.

        Parameters
        ----------
        seconds : float
            The expected time of an answer at the best server.
        """
        route = placement_request.route
        return seconds - _MAX_QUEUE_FRACTION * route.objective_seconds

    # -- as the keeper of a server ----------------------------------------

    def decide(
        self,
        engine: engines_module.Engine,
        ask: load_messages.PlaceAsk,
        now: float,
    ) -> plain_loads.Decision:
        """Decide on another instance's request."""
        if not ask.left_seconds:
            return plain_loads.Decision(
                None, granted=True, running=engine.total_running
            )
        terms = terms_module.Terms(
            ask.usual_seconds, ask.queue_seconds, ask.left_seconds
        )
        running = self._read_running(engine, now)
        seconds = engine.estimate.expect_seconds(
            running, terms.usual_seconds, now
        )
        bound = self._compute_bound(engine, terms, now)
        free = running < bound and not self._get(engine).waiting
        return plain_loads.Decision(
            terms,
            granted=ask.placed or (free and seconds <= terms.left_seconds),
            running=running,
            limit=bound,
            seconds=seconds,
        )

    def enqueue(
        self,
        engine: engines_module.Engine,
        key: tuple[str, int],
        terms: terms_module.Terms,
        resolve: typing.Callable[[bool], None],
        now: float,
    ) -> bool:
        """Let a request wait for a place at a kept server.

        Returns
        -------
        bool
            Whether it waits; False if it would end too late.
        """
        if not terms.usual_seconds:
            return False
        server = self._get(engine)
        server.waiting.read_first(now)
        limit = self._compute_time_bound(engine, terms, now)
        if self._read_running(engine, now) >= limit:
            return False
        answer_seconds = engine.estimate.expect_seconds(
            0, terms.usual_seconds, now
        )
        server.waiting.add(
            waiting.Waiter(
                key, terms, now + terms.queue_seconds - answer_seconds, resolve
            )
        )
        return True

    def serve_waiting(self, engine: engines_module.Engine, now: float) -> None:
        """Grant places that became free to the requests that wait."""
        server = self._servers.get(engine.server.name)
        if server is None or server.engine is not engine:
            return
        while (first := server.waiting.read_first(now)) is not None:
            bound = self._compute_bound(engine, first.terms, now)
            if self.count_running(engine) >= bound:
                return
            server.waiting.remove(first.key)
            first.resolve(True)

    def leave(
        self, engine: engines_module.Engine, key: tuple[str, int]
    ) -> None:
        """Remove a request that no longer waits."""
        server = self._servers.get(engine.server.name)
        if server is not None:
            server.waiting.remove(key)

    def count_running(self, engine: engines_module.Engine) -> int:
        """Return all requests in progress at a kept server."""
        return engine.running + self._get(engine).counted

    def count(self, engine: engines_module.Engine, change: int) -> None:
        """Change the number of other instances' requests at a kept server."""
        server = self._servers.get(engine.server.name)
        if change > 0:
            server = self._get(engine)
        if server is not None and server.engine is engine:
            server.counted = max(0, server.counted + change)

    def note_rejection(
        self, engine: engines_module.Engine, running: int, now: float
    ) -> None:
        """Record that a kept server rejected a request as full.

        Parameters
        ----------
        running : int
            Other requests in progress there when it was sent.
        """
        limit = engine.estimate.read_limit()
        self._get(engine).ceiling.note_rejection(running, limit, now)

    # -- as the sender of a request ---------------------------------------

    def add_terms(
        self, ask: load_messages.PlaceAsk, place: places.Place
    ) -> None:
        """Add the terms of a plain request to an ask."""
        if place.plain_start is None:
            return
        terms = place.plain_start.terms
        ask.usual_seconds = terms.usual_seconds
        ask.queue_seconds = terms.queue_seconds
        ask.left_seconds = terms.left_seconds

    def note_answer(
        self,
        engine: engines_module.Engine,
        start: terms_module.PlainStart,
        answer: load_messages.PlaceAnswer,
        now: float,
    ) -> None:
        """Record a keeper's decision on a request of this instance."""
        server = self._get(engine)
        server.limit = answer.limit
        server.known_at = now
        usual_seconds = start.terms.usual_seconds
        if answer.seconds:
            server.load_ttl_seconds = min(
                answer.seconds, plain_loads.MAX_LOAD_TTL_SECONDS
            )
        if answer.seconds and usual_seconds:
            queued = plain_loads.compute_queue_factor(engine, answer.running)
            server.speed = answer.seconds / usual_seconds / queued
        if answer.refused:
            # No request is sent before a place may have become free.
            place_seconds = answer.seconds / max(1, answer.running)
            server.full_until = now + place_seconds

    def note_own_end(self, place: places.Place, now: float) -> None:
        """Record the end of a request of this instance."""
        engine = self._engines.get(place.server.name)
        if engine is None:
            return
        if self.keeps(place.server.name):
            if place.rejected:
                self.note_rejection(engine, place.plain_start.running, now)
            self.serve_waiting(engine, now)

    def _find_limit(
        self,
        engine: engines_module.Engine,
        running: int,
        seconds: float,
        terms: terms_module.Terms,
        now: float,
    ) -> places.Limit | None:
        if seconds > terms.left_seconds:
            return places.Limit.LATE
        if self.keeps(engine.server.name):
            bound = self._compute_bound(engine, terms, now)
            is_full = running >= bound or self._get(engine).waiting
            return places.Limit.FULL if is_full else None
        server = self._get(engine)
        if now < server.full_until:
            return places.Limit.FULL
        if server.limit and running >= server.limit:
            return places.Limit.FULL
        bound = self._compute_bound(engine, terms, now)
        return places.Limit.FULL if engine.running >= bound else None

    def _compute_bound(
        self,
        engine: engines_module.Engine,
        terms: terms_module.Terms,
        now: float,
    ) -> int:
        """Return how many requests a server may get at once."""
        bound = self._compute_time_bound(engine, terms, now)
        ceiling = self._get(engine).ceiling.read(now)
        if ceiling is None:
            return bound
        return min(bound, max(ceiling, engine.estimate.read_limit()))

    def _compute_time_bound(
        self,
        engine: engines_module.Engine,
        terms: terms_module.Terms,
        now: float,
    ) -> int:
        """Return how many requests a server answers in time, in one queue."""
        limit = max(1, engine.estimate.read_limit())
        # While no time is known, as many may wait as the server runs.
        queued = limit
        if terms.usual_seconds:
            queued = bisect.bisect_right(
                range(limit, (1 + _MAX_QUEUE_FACTOR) * limit),
                min(terms.queue_seconds, terms.left_seconds),
                key=lambda running: engine.estimate.expect_seconds(
                    running, terms.usual_seconds, now
                ),
            )
        return limit + queued

    def _read_running(self, engine: engines_module.Engine, now: float) -> int:
        """Return the requests at a server, with those that wait for it."""
        server = self._get(engine)
        if self.keeps(engine.server.name):
            return self.count_running(engine) + len(server.waiting)
        age = now - engine.remote_known_at
        left = max(0.0, 1.0 - age / server.load_ttl_seconds)
        return engine.running + int(left * engine.remote_running)

    def _expect(
        self,
        engine: engines_module.Engine,
        running: int,
        usual_seconds: float,
        now: float,
    ) -> float:
        server = self._get(engine)
        if (
            not self.keeps(engine.server.name)
            and server.speed
            and now - server.known_at < _SPEED_TTL_SECONDS
        ):
            queued = plain_loads.compute_queue_factor(engine, running)
            return usual_seconds * server.speed * queued
        return engine.estimate.expect_seconds(running, usual_seconds, now)

    def _get(self, engine: engines_module.Engine) -> plain_loads.KnownServer:
        server = self._servers.get(engine.server.name)
        if server is None or server.engine is not engine:
            server = self._servers[engine.server.name] = (
                plain_loads.KnownServer(engine)
            )
        return server

    def _sync(self) -> None:
        generation = self._engines.generation
        if self._generation == generation:
            return
        self._generation = generation
        self._adapts.clear()
        for name, server in list(self._servers.items()):
            if self._engines.get(name) is not server.engine:
                del self._servers[name]
