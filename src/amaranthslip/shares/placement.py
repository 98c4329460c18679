"""Placement: selects the backend server of a request, or refuses it.

Each instance decides locally, from the requests that it sent and the load that
the servers' keepers reported (`shares.keepers`). A keeper that is frozen or
partitioned therefore neither blocks requests nor leaves an engine idle.
"""

import random as random_
import time
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.configuration import document
from amaranthslip.configuration import routes
from amaranthslip import errors
from amaranthslip.requests import prompts
from amaranthslip.shares import averages
from amaranthslip.shares import candidates
from amaranthslip.shares import demand as demand_module
from amaranthslip.shares import places
from amaranthslip.shares import plain

# Cost of one shared prompt token that an engine has to read again, in seconds
# of wait: reading it delays other requests on that engine, and evicts as much
# from the cache of a second engine.
_REREAD_COST_SECONDS = 4e-4
# Assumed cached fraction of a prompt's shared parts at the first and second
# engine of its rendezvous order, even if this instance sent none of them
# there: the other instances use the same order.
_ASSUMED_CACHED_FRACTIONS = (0.95, 0.3)
# Seconds: an engine in another failure domain costs as much as a local one
# that is slower by this network round trip.
_REMOTE_COST_SECONDS = 0.003
# Fraction of an engine's memory that running requests may use: beyond it the
# engine preempts the newest requests in the middle of their streams.
_MEMORY_FRACTION = 0.9
# Fraction of an engine's memory that cached prompt parts may use; running
# requests use the rest.
_CACHE_FRACTION = 0.7
# Fraction of the route's objective that the expected time to the first event
# may take: for an account that was granted nothing, by how much it falls for
# one that was granted its fair share, and at least. A request accepted with a
# longer wait misses its objective and delays the requests behind it, and
# engines generate faster with fewer requests in progress.
_MAX_WAIT_FRACTION = 0.8
_WAIT_FRACTION_SLOPE = 0.4
_MIN_WAIT_FRACTION = 0.15
# The same at an idle engine, for accounts beyond their share: as much as one
# that was granted its share may wait anywhere.
_IDLE_WAIT_FRACTION = _MAX_WAIT_FRACTION - _WAIT_FRACTION_SLOPE
# Minimum Retry-After in seconds, and the fraction of the request's remaining
# time that Retry-After may take at most.
_MIN_RETRY_SECONDS = 0.1
_MAX_RETRY_FRACTION = 1 / 3


def _compute_wait_fraction(ratios: demand_module.ShareRatios) -> float:
    """Return the fraction of the objective that a request may wait.

    It falls with what the account was granted, and not with what it requests:
    where requests of two accounts would wait as long, the one that was granted
    more is refused first, and what is refused and comes again changes nothing.
    """
    return max(
        _MIN_WAIT_FRACTION,
        _MAX_WAIT_FRACTION - _WAIT_FRACTION_SLOPE * ratios.granted_ratio,
    )


class Placement:
    """Selects backend servers and refuses requests that would be late.

    Parameters
    ----------
    failure_domain : str
        The failure domain of this instance; its servers are slightly
        preferred.
    regions : mapping of str to str
        The region of each failure domain.
    holder : Holder
        The configuration in force.
    engines : Engines
        The servers and their load.
    outliers : Outliers
        Servers that are ejected because their requests fail.
    demand : Demand
        Requested and granted tokens of the client accounts.
    clock : callable
        Monotonic time in seconds.
    random : random.Random
        Breaks ties, so that instances select different servers.
    """

    __slots__ = (
        'engines',
        'outliers',
        'demand',
        'listener',
        'plain',
        '_averages',
        '_candidates',
        '_failure_domain',
        '_regions',
        '_holder',
        '_clock',
        '_random',
    )

    def __init__(
        self,
        failure_domain: str,
        holder: typing.Any,
        engines: engines_module.Engines,
        outliers: outliers_module.Outliers,
        demand: demand_module.Demand,
        *,
        regions: typing.Mapping[str, str] | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
        random: random_.Random | None = None,
    ) -> None:
        self.engines = engines
        self.outliers = outliers
        self.demand = demand
        # Set by `Keepers`, which notifies the servers' keepers.
        self.listener: places.ProgressListener | None = None
        self.plain = plain.PlainServers(engines, holder)
        self._failure_domain = failure_domain
        self._regions = regions or {}
        self._holder = holder
        self._clock = clock
        self._random = random or random_.Random()
        self._averages = averages.PromptAverages()
        self._candidates = candidates.Candidates(engines, self._random)

    def read_clock(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock()

    def list_engines(self) -> list[engines_module.Engine]:
        """Return the ready engines of all model services."""
        services = self._holder.document.services.values()
        return [
            engine
            for service in services
            if service.kind == document.ServiceKind.MODEL
            for engine in self.engines.list_ready(service.name)
        ]

    def read_memory(self, service: str) -> int:
        """Return the memory of each engine of a service, in tokens.

        0 if it is not known.
        """
        known = self._holder.document.services.get(service)
        return known.cache_tokens if known else 0

    def is_busy(self, engine: engines_module.Engine) -> bool:
        """Return whether an engine has as much to do as it can."""
        if engine.total_running >= engine.server.slots:
            return True
        if engine.queue.read_backlog(self._clock()) > 0:
            return True
        memory = self.read_memory(engine.server.service)
        return bool(memory) and (
            engine.total_held_tokens > _MEMORY_FRACTION * memory
        )

    def select_place(
        self, placement_request: places.PlacementRequest
    ) -> places.Place:
        """Return a place for a request at the server of the lowest cost.

        Raises
        ------
        RequestRefused
            No server can serve it in time; it was not run.
        """
        scored = self._score_candidates(placement_request)
        if not scored:
            raise self._build_unavailable_refusal(placement_request)
        best = min(scored, key=lambda each: each.cost)
        self._admit(placement_request, best)
        number = self.outliers.note_request(best.engine.server.name)
        return places.Place(
            self,
            placement_request,
            best,
            self._clock(),
            probe_number=number,
        )

    def choose_waiting(
        self, placement_request: places.PlacementRequest
    ) -> places.ScoredCandidate | None:
        """Return the server where a plain request waits for a place."""
        scored = self._score_candidates(placement_request)
        return min(scored, key=lambda each: each.cost, default=None)

    def take_place(
        self,
        placement_request: places.PlacementRequest,
        candidate: places.ScoredCandidate,
    ) -> places.Place:
        """Return the place that a request waited for."""
        server = candidate.engine.server.name
        return places.Place(
            self,
            placement_request,
            candidate,
            self._clock(),
            probe_number=self.outliers.note_request(server),
        )

    def release_probe(self, place: places.Place) -> None:
        """Let another request probe an ejected server."""
        self.outliers.release_probe(place.server.name, place.probe_number)

    def note_end(self, place: places.Place) -> None:
        """Record the outcome of a request for its server's health."""
        server = place.server
        if place.plain_start is not None:
            self.plain.note_own_end(place, self._clock())
        if place.succeeded:
            self.outliers.note_success(server.name, server.service)
        elif place.failed:
            self.listener.note_failure(
                server.name, server.service, connected=place.connected
            )
        self.listener.note_end(place)

    def _score_candidates(
        self, placement_request: places.PlacementRequest
    ) -> list[places.ScoredCandidate]:
        key = (
            placement_request.prompt.shared_prefix_key
            if placement_request.prompt
            else ''
        )
        now = self._clock()
        picked = self._candidates.pick(placement_request.service, key)
        recorded, settled = self.engines.is_recorded, self.engines.is_settled
        usable = self._filter_versions(
            placement_request,
            self._filter_usable(placement_request, picked, now),
            recorded,
        )
        if not usable:
            every = self._candidates.list_all(placement_request.service, key)
            admitted = self._filter_usable(placement_request, every, now)
            # While all servers are ejected, using one is better than refusing
            # every request.
            usable = (
                self._filter_versions(placement_request, admitted, recorded)
                or self._filter_versions(placement_request, admitted, settled)
                or self._filter_versions(
                    placement_request,
                    [
                        each
                        for each in every
                        if self._is_eligible(placement_request, each.engine)
                    ],
                    settled,
                )
            )
        with_room = [
            each for each in usable if each.engine.paused_until <= now
        ]
        usable = with_room or usable
        if placement_request.prompt is None:
            return self._score_without_prompt(placement_request, usable, now)
        return self._score_prompt(
            placement_request, placement_request.prompt, usable, now
        )

    def _filter_usable(
        self,
        placement_request: places.PlacementRequest,
        picked: list[candidates.Candidate],
        now: float,
    ) -> list[candidates.Candidate]:
        return [
            each
            for each in picked
            if self._is_eligible(placement_request, each.engine)
            and self.outliers.admits(each.engine.server.name)
        ]

    def _filter_versions(
        self,
        placement_request: places.PlacementRequest,
        usable: list[candidates.Candidate],
        admits: typing.Callable[[document.ListedServer], bool],
    ) -> list[candidates.Candidate]:
        """Leave out servers at whose version no stream may begin yet.

        After all instances have ended at once, nobody would know of a stream
        at a version that the store does not record; and an instance that is
        out of touch would go on with one at a version that it does not know
        at another version.
        """
        if (
            not placement_request.route.resumable
            or placement_request.software_version is not None
        ):
            return usable
        return [each for each in usable if admits(each.engine.server)]

    def _is_eligible(
        self,
        placement_request: places.PlacementRequest,
        engine: engines_module.Engine,
    ) -> bool:
        name = engine.server.name
        if (
            name in placement_request.excluded_servers
            or name in placement_request.full_servers
        ):
            return False
        if not self._may_go_on(placement_request, engine):
            return False
        return not self.engines.read_backoff(engine)

    def _may_go_on(
        self,
        placement_request: places.PlacementRequest,
        engine: engines_module.Engine,
    ) -> bool:
        """Return whether an engine's region and version fit a request."""
        version = placement_request.software_version
        if version is not None and engine.server.software_version != version:
            return False
        return self._is_in_region(placement_request, engine)

    def _is_in_region(
        self,
        placement_request: places.PlacementRequest,
        engine: engines_module.Engine,
    ) -> bool:
        if placement_request.regions is None:
            return True
        region = self._regions.get(engine.server.failure_domain)
        return region in placement_request.regions

    def _score_without_prompt(
        self,
        placement_request: places.PlacementRequest,
        usable: list[candidates.Candidate],
        now: float,
    ) -> list[places.ScoredCandidate]:
        if not self.plain.adapts(placement_request):
            return [self._score_plain(each.engine) for each in usable]
        terms = self.plain.build_terms(placement_request, now)
        scored = []
        for each in usable:
            candidate = self.plain.score(each.engine, terms, now)
            candidate.cost += self._compute_distance_cost(each.engine)
            scored.append(candidate)
        return scored

    def _score_plain(
        self, engine: engines_module.Engine
    ) -> places.ScoredCandidate:
        load = engine.total_running / max(1, engine.server.slots)
        cost = load + self._compute_distance_cost(engine)
        return places.ScoredCandidate(engine, 0.0, 0.0, cost)

    def _score_prompt(
        self,
        placement_request: places.PlacementRequest,
        prompt: prompts.Prompt,
        usable: list[candidates.Candidate],
        now: float,
    ) -> list[places.ScoredCandidate]:
        memory = self.read_memory(placement_request.service)
        # Positions count usable servers only: while the first servers of the
        # order are ejected, the next usable one counts as the first.
        return [
            self._score_engine(
                each.engine,
                prompt,
                position if each.ranked else len(_ASSUMED_CACHED_FRACTIONS),
                memory,
                now,
            )
            for position, each in enumerate(usable)
        ]

    def _score_engine(
        self,
        engine: engines_module.Engine,
        prompt: prompts.Prompt,
        position: int,
        memory: int,
        now: float,
    ) -> places.ScoredCandidate:
        known = self._count_known(engine, prompt, memory)
        cached = self._count_cached(prompt, position, known)
        unread_tokens = max(1.0, prompt.prompt_tokens - cached)
        running = engine.total_running
        slot_seconds = self.engines.read_slot_wait(engine, running)
        wait = engine.queue.expect(unread_tokens, now, running) + slot_seconds
        shared = max(0.0, unread_tokens - prompt.unshared_tokens)
        cost = (
            wait
            + _REREAD_COST_SECONDS * shared
            + self._compute_distance_cost(engine)
        )
        held = (
            engine.total_held_tokens
            + prompt.prompt_tokens
            + prompt.expected_output_tokens
        )
        if memory and held > _MEMORY_FRACTION * memory:
            # A cost and no limit: a prompt may need more memory than is ever
            # free.
            excess = held - _MEMORY_FRACTION * memory
            cost += excess / engine.queue.current_rate
        return places.ScoredCandidate(
            engine,
            unread_tokens,
            wait,
            cost,
            uncertain_tokens=max(0.0, prompt.shared_tokens - known),
            slot_seconds=slot_seconds,
            delay_seconds=engine.queue.read_delay(now),
        )

    def _count_known(
        self,
        engine: engines_module.Engine,
        prompt: prompts.Prompt,
        memory: int,
    ) -> float:
        room = _CACHE_FRACTION * memory - engine.total_held_tokens
        parts = engine.prefix_cache.count_parts(
            prompt.prefix_keys, engine.queue.total, max(room, 0.3 * memory)
        )
        return float(prompt.count_tokens(parts))

    def _count_cached(
        self, prompt: prompts.Prompt, position: int, known: float
    ) -> float:
        if position >= len(_ASSUMED_CACHED_FRACTIONS):
            return known
        assumed = _ASSUMED_CACHED_FRACTIONS[position] * prompt.shared_tokens
        return max(known, assumed)

    def _compute_distance_cost(self, engine: engines_module.Engine) -> float:
        # The random part keeps instances with the same data from selecting
        # the same one of several equal servers.
        distance = self._random.random() * 1e-4
        if engine.server.failure_domain != self._failure_domain:
            distance += _REMOTE_COST_SECONDS
        return distance

    def _admit(
        self,
        placement_request: places.PlacementRequest,
        best: places.ScoredCandidate,
    ) -> None:
        if placement_request.prompt is None:
            if best.limit is not None:
                raise self.build_plain_refusal(
                    placement_request,
                    best.engine.server.name,
                    best.wait_seconds,
                    best.limit,
                )
            return
        admitted_before = (
            placement_request.placed_before
            or placement_request.admitted_before
        )
        left_seconds = placement_request.deadline - self._clock()
        if admitted_before and best.wait_seconds < left_seconds:
            # The engine that had this request failed, perhaps in the middle
            # of the stream, or the caller takes its stream up. A refusal
            # would lose the events that were sent and the work on the prompt;
            # waiting can only make it late.
            return
        estimate = self._build_estimate(
            placement_request, placement_request.prompt, best
        )
        placement_request.estimate = estimate
        estimate.limit = self._find_limit(placement_request, best, estimate)
        if estimate.limit is not None:
            raise self._build_load_refusal(placement_request, best, estimate)

    def _find_limit(
        self,
        placement_request: places.PlacementRequest,
        best: places.ScoredCandidate,
        estimate: places.WaitEstimate,
    ) -> places.Limit | None:
        """Return the limit by which a request is refused, if any."""
        if placement_request.waited_for_turn is not None:
            return places.Limit.WAIT if estimate.excess_seconds > 0 else None
        if estimate.excess_seconds <= 0:
            return None
        if estimate.server_idle and (
            not estimate.over_share or not best.engine.total_running
        ):
            # A prompt that alone takes longer than the objective is served by
            # an engine without a queue.
            return None
        return places.Limit.WAIT

    def _build_load_refusal(
        self,
        placement_request: places.PlacementRequest,
        best: places.ScoredCandidate,
        estimate: places.WaitEstimate,
    ) -> errors.RequestRefused:
        account = placement_request.client_account
        use = f'{estimate.ratios.granted_ratio:.2f}'
        wait = f'the first event would take {best.wait_seconds:.2f} s'
        if not estimate.over_share:
            return self._build_refusal(
                placement_request,
                'overload',
                f'{wait} at the best of the servers,'
                f' {best.engine.server.name}; the client account {account}'
                f' has had {use} of its fair share',
                after=estimate.excess_seconds,
            )
        return self._build_refusal(
            placement_request,
            'over_share',
            f'the client account {account} has had {use} of its fair share,'
            f' and {wait}',
            status=429,
            after=estimate.excess_seconds,
        )

    def build_plain_refusal(
        self,
        placement_request: places.PlacementRequest,
        server: str,
        seconds: float,
        limit: places.Limit,
    ) -> errors.RequestRefused:
        """Return the refusal of a plain request for the servers' load.

        Parameters
        ----------
        server : str
            The best server.
        seconds : float
            The expected time of the answer there.
        """
        placement_request.plain_limit = limit
        return self._build_refusal(
            placement_request,
            'overload',
            f'the answer would take {seconds:.3f} s at the best of the'
            f' servers, {server}, which has as many requests as it can answer'
            ' in time',
            after=self.plain.expect_place(placement_request, seconds),
        )

    def _build_estimate(
        self,
        placement_request: places.PlacementRequest,
        prompt: prompts.Prompt,
        best: places.ScoredCandidate,
    ) -> places.WaitEstimate:
        """Return a request's expected and allowed time to first event."""
        ratios = demand_module.ShareRatios()
        if placement_request.client_account and (
            self._holder.document.token_rate > 0
        ):
            ratios = self.demand.read_share_ratios(
                placement_request.client_account
            )
        own_tokens = min(float(prompt.unshared_tokens), best.unread_tokens)
        server_idle = self._is_idle(best)
        if placement_request.estimate is None:
            # Counted once per prompt: `reserve` selects a second time after a
            # keeper's answer.
            self._averages.record(placement_request.route.name, own_tokens)
        above_mean = self._count_tokens_above_mean(
            placement_request.route, own_tokens, ratios
        )
        judged_seconds = (
            best.wait_seconds - above_mean / best.engine.queue.current_rate
        )
        objective_seconds = placement_request.route.objective_seconds
        fraction = _compute_wait_fraction(ratios)
        if server_idle:
            # An engine that still generates makes requests wait, too; beyond
            # this its next ones, of accounts within their share, would be
            # refused.
            fraction = max(fraction, _IDLE_WAIT_FRACTION)
        allowed_seconds = fraction * objective_seconds
        if placement_request.waited_for_turn is not None:
            # The objective as its caller counts it, from the first attempt,
            # and no less than a newcomer has. The whole wait has to end within
            # the deadline.
            left_seconds = placement_request.deadline - self._clock()
            allowed_seconds = min(
                max(
                    objective_seconds - placement_request.waited_for_turn,
                    allowed_seconds,
                ),
                left_seconds - (best.wait_seconds - judged_seconds),
            )
        return places.WaitEstimate(
            best,
            judged_seconds=judged_seconds,
            allowed_seconds=allowed_seconds,
            ratios=ratios,
            server_idle=server_idle,
        )

    def _count_tokens_above_mean(
        self,
        route: routes.Route,
        own_tokens: float,
        ratios: demand_module.ShareRatios,
    ) -> float:
        """Return the prompt tokens that admission leaves out of the wait.

        Each request waits for its own prompt to be read, even in an empty
        queue. If those tokens counted in full, the large requests of a route
        would be refused whenever there is a queue. Each request of an account
        beyond its share is therefore judged as one of mean size.

        Returns
        -------
        float
            Tokens by which the request exceeds the route's mean; negative if
            it is smaller than the mean.
        """
        above_mean = own_tokens - self._averages.read(route.name)
        if ratios.granted_ratio < 1.0 or not self._averages.has_enough_samples(
            route.name
        ):
            # No negative values: within the share, a small request is in time
            # where one of mean size would be late, and the mean of a few
            # prompts is not reliable.
            return max(0.0, above_mean)
        return above_mean

    def _is_idle(self, best: places.ScoredCandidate) -> bool:
        # An engine whose slots are all in use is not idle, even if it has read
        # all prompts: an account that floods would take every slot as soon as
        # it is free.
        engine = best.engine
        if engine.total_running >= engine.server.slots:
            return False
        if best.delay_seconds > 0:
            return False
        return engine.queue.read_backlog(self._clock()) <= 0

    def _build_unavailable_refusal(
        self, placement_request: places.PlacementRequest
    ) -> errors.RequestRefused:
        if placement_request.full_servers:
            return self.build_memory_refusal(placement_request)
        ready = [
            each
            for each in self.engines.list_ready(placement_request.service)
            if self._is_in_region(placement_request, each)
        ]
        if not ready and placement_request.regions is not None:
            return self._build_refusal(
                placement_request,
                'no_server_in_region',
                'no backend server is left in the regions that the route and'
                ' the client account allow',
            )
        ready = [
            each for each in ready if self._may_go_on(placement_request, each)
        ]
        if not ready and placement_request.software_version is not None:
            return self._build_refusal(
                placement_request,
                'version_gone',
                'no backend server of the software version'
                f' {placement_request.software_version!r}, which began this'
                ' stream, is left',
            )
        # Includes servers that are excluded for this request only: a retry
        # by the caller may use them.
        seconds = min(map(self.engines.read_backoff, ready), default=0.0)
        if not seconds:
            return self._build_refusal(
                placement_request,
                'no_backend_server',
                'no backend server is left for it',
            )
        return self._build_refusal(
            placement_request,
            'backoff',
            'all backend servers for it are in backoff for at least another'
            f' {seconds:.1f} s',
            after=seconds,
        )

    def build_memory_refusal(
        self, placement_request: places.PlacementRequest
    ) -> errors.RequestRefused:
        """Return the refusal of a request that fits into no engine's memory.

        `full_servers` are the engines that were asked.
        """
        names = ', '.join(placement_request.full_servers)
        return self._build_refusal(
            placement_request,
            'no_memory',
            f'the request takes {placement_request.held} tokens of memory,'
            f' which none of the backend servers {names} has free',
            after=min(placement_request.full_servers.values()),
        )

    def _build_refusal(
        self,
        placement_request: places.PlacementRequest,
        reason: str,
        text: str,
        *,
        status: int = 503,
        after: float = 0.0,
    ) -> errors.RequestRefused:
        left = max(0.0, placement_request.deadline - self._clock())
        wait = max(_MIN_RETRY_SECONDS, after)
        wait *= self._random.uniform(1.0, 1.3)
        return errors.RequestRefused(
            reason,
            f'{text}; come back later',
            status=status,
            retry_after=min(wait, _MAX_RETRY_FRACTION * left),
        )
