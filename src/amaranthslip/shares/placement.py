"""Placement: which backend server gets a request, or why none does.

Each instance chooses by itself, on what it sent and what the servers' keepers
told it (`shares.keepers`), so that it goes on while a keeper is frozen or cut
off, and no engine stands idle for it.
"""

import random as random_
import time
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.configuration import routes
from amaranthslip import errors
from amaranthslip.requests import prompts
from amaranthslip.shares import averages
from amaranthslip.shares import candidates
from amaranthslip.shares import demand as demand_module
from amaranthslip.shares import places

# Seconds of wait that one shared token read again is worth avoiding: reading
# it anew takes time of an engine that others wait for, and pushes as much out
# of a second engine's cache.
_REREAD_SECONDS = 4e-4
# How much of a prompt's shared parts is believed to be cached at the first
# and second engine of its rendezvous order although this instance sent none
# there: the other instances send there, too.
_BELIEFS = (0.95, 0.3)
# Seconds: an engine in another failure domain is as good as one here that is
# so much slower; the way there and back.
_REMOTE_SECONDS = 0.003
# The part of an engine's memory that running requests may take: beyond it
# the newest are preempted in the middle of their streams.
_MEMORY_FRACTION = 0.9
# The part of an engine's memory that cached parts may be spread over; the
# rest is running requests'.
_CACHE_FRACTION = 0.7
# The part of the objective that the expected time to the first event may
# take: for accounts within their fair share, and for those beyond it. What
# is accepted later than that is late itself and makes those behind it late,
# and engines that run less at once generate faster.
_MOST_WAIT = 0.8
_MOST_WAIT_OVER = 0.3
# How much of its fair share an account may have had before it may wait less
# and less, by the square: of two accounts that flood, the one that asks for
# more would else get more.
_MUCH_USE = 1.25
# Seconds: bounds of the time to come back that a refused caller is told, and
# the part of its time left that it may take at most.
_LEAST_RETRY_SECONDS = 0.1
_RETRY_PART = 1 / 3
# How many times its share an account may ask for before it is more than the
# swing of a busy second.
_MUCH_ASKED = 2.0


def _choose_most_wait(standing: demand_module.Standing) -> float:
    """Return the part of the objective that an account's request may wait.

    An account that asks for many times its share tries again and again, and
    takes whatever room the queue leaves. Allowed to wait as long as others
    up to the end of its share, it would keep the queue as long as all may
    wait, and accounts that are owed all they ask for would be refused. One
    that asks for a little more than its share hardly takes more room.
    """
    use = standing.use
    if use >= 1.0:
        return _MOST_WAIT_OVER / max(1.0, use / _MUCH_USE) ** 2
    excess = 1.0 - 1.0 / max(1.0, standing.asks / _MUCH_ASKED)
    return _MOST_WAIT + use * excess * (_MOST_WAIT_OVER - _MOST_WAIT)


class Placement:
    """Chooses servers, and refuses what none can serve in time.

    Parameters
    ----------
    failure_domain : str
        This instance's; servers in it are preferred, a little.
    holder : Holder
        The configuration in force.
    engines : Engines
        The servers and their load.
    outliers : Outliers
        Which of them fail.
    demand : Demand
        What client accounts asked for and got.
    clock : callable
        Seconds that only grow.
    random : random.Random
        Breaks ties, so that instances don't all pick one server.
    """

    __slots__ = (
        'engines',
        'outliers',
        'demand',
        'ends',
        '_averages',
        '_candidates',
        '_failure_domain',
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
        clock: typing.Callable[[], float] = time.monotonic,
        random: random_.Random | None = None,
    ) -> None:
        self.engines = engines
        self.outliers = outliers
        self.demand = demand
        # Set by whoever keeps count for the whole fleet.
        self.ends: places.Ends | None = None
        self._failure_domain = failure_domain
        self._holder = holder
        self._clock = clock
        self._random = random or random_.Random()
        self._averages = averages.PromptAverages()
        self._candidates = candidates.Candidates(engines, self._random)

    def read_clock(self) -> float:
        """Return the present time."""
        return self._clock()

    def take(self, need: places.Need) -> places.Place:
        """Return a place for a request.

        Raises
        ------
        RequestRefused
            No server can have it now; it was not run.
        """
        choices = self._list_choices(need)
        if not choices:
            raise self._refuse_without_server(need)
        best = min(choices, key=lambda each: each.cost)
        self._admit(need, best)
        self.outliers.begin(best.engine.server.name)
        return places.Place(self, need, best, self._clock())

    def note_end(self, place: places.Place) -> None:
        """Count how a request ended for its server."""
        server = place.server
        if place.succeeded:
            self.outliers.note_success(server.name, server.service)
        elif place.failed:
            self.ends.note_failure(
                server.name, server.service, connected=place.connected
            )
        self.ends.note_end(place)

    def _list_choices(self, need: places.Need) -> list[places.Choice]:
        key = need.prompt.shared_key if need.prompt else ''
        now = self._clock()
        picked = self._candidates.pick(need.service, key)
        usable = self._keep_usable(need, picked, now)
        if not usable:
            every = self._candidates.list_all(need.service, key)
            usable = self._keep_usable(need, every, now)
            # Where all were ejected, trying one is better than serving
            # nobody.
            usable = usable or [
                each for each in every if self._is_eligible(need, each.engine)
            ]
        roomy = [each for each in usable if each.engine.full_until <= now]
        usable = roomy or usable
        if need.prompt is None:
            return [self._weigh_plain(each.engine) for each in usable]
        return self._weigh_prompt(need, need.prompt, usable, now)

    def _keep_usable(
        self,
        need: places.Need,
        picked: list[candidates.Candidate],
        now: float,
    ) -> list[candidates.Candidate]:
        return [
            each
            for each in picked
            if self._is_eligible(need, each.engine)
            and self.outliers.admits(each.engine.server.name)
        ]

    def _is_eligible(
        self, need: places.Need, engine: engines_module.Engine
    ) -> bool:
        if engine.server.name in need.excluded:
            return False
        return not self.engines.read_backoff(engine)

    def _weigh_plain(self, engine: engines_module.Engine) -> places.Choice:
        load = engine.all_running / max(1, engine.server.slots)
        cost = load + self._add_distance(engine)
        return places.Choice(engine, 0.0, 0.0, cost)

    def _weigh_prompt(
        self,
        need: places.Need,
        prompt: prompts.Prompt,
        usable: list[candidates.Candidate],
        now: float,
    ) -> list[places.Choice]:
        service = self._holder.document.services.get(need.service)
        memory = service.cache_tokens if service else 0
        # Where servers before it are out, the next of the order is the first.
        return [
            self._weigh_engine(
                each.engine,
                prompt,
                place if each.ordered else len(_BELIEFS),
                memory,
                now,
            )
            for place, each in enumerate(usable)
        ]

    def _weigh_engine(
        self,
        engine: engines_module.Engine,
        prompt: prompts.Prompt,
        place: int,
        memory: int,
        now: float,
    ) -> places.Choice:
        cached = self._count_cached(engine, prompt, place, memory)
        unread = max(1.0, prompt.prompt_tokens - cached)
        running = engine.all_running
        wait = engine.queue.expect(unread, now, running)
        wait += self.engines.read_slot_wait(engine, running)
        shared = max(0.0, unread - prompt.own_tokens)
        cost = wait + _REREAD_SECONDS * shared + self._add_distance(engine)
        held = engine.all_held + prompt.prompt_tokens + prompt.expected_tokens
        if memory and held > _MEMORY_FRACTION * memory:
            # Not forbidden: a prompt may be larger than what is ever free.
            cost += (held - _MEMORY_FRACTION * memory) / engine.queue.rate
        return places.Choice(engine, unread, wait, cost)

    def _count_cached(
        self,
        engine: engines_module.Engine,
        prompt: prompts.Prompt,
        place: int,
        memory: int,
    ) -> float:
        room = _CACHE_FRACTION * memory - engine.all_held
        parts = engine.cached.count_parts(
            prompt.chain, engine.queue.total, max(room, 0.3 * memory)
        )
        known = float(sum(each.tokens for each in prompt.parts[:parts]))
        if place >= len(_BELIEFS):
            return known
        shared = sum(each.tokens for each in prompt.parts[:-1])
        return max(known, _BELIEFS[place] * shared)

    def _add_distance(self, engine: engines_module.Engine) -> float:
        # The random part keeps instances that know the same from choosing
        # the same among equals.
        distance = self._random.random() * 1e-4
        if engine.server.failure_domain != self._failure_domain:
            distance += _REMOTE_SECONDS
        return distance

    def _admit(self, need: places.Need, best: places.Choice) -> None:
        if need.prompt is None:
            return
        if need.granted and best.wait_seconds < need.deadline - self._clock():
            # Its engine failed it, and perhaps its caller has half of a
            # stream. Refusing loses that, and what was read for it; waiting
            # makes it late at worst.
            return
        estimate = self._estimate(need, need.prompt, best)
        need.estimate = estimate
        if estimate.excess_seconds <= 0 or self._is_idle(best):
            return
        if estimate.over_share:
            raise self._refuse(
                need,
                'over_share',
                f'the client account {need.account} has had'
                f' {estimate.share_use:.2f} of its fair share, and the first'
                f' event would take {best.wait_seconds:.2f} s',
                status=429,
                after=estimate.excess_seconds,
            )
        raise self._refuse(
            need,
            'overload',
            f'the first event would take {best.wait_seconds:.2f} s at the'
            f' best of the servers, {best.engine.server.name}; the client'
            f' account {need.account} has had {estimate.share_use:.2f} of its'
            ' fair share',
            after=estimate.excess_seconds,
        )

    def _estimate(
        self, need: places.Need, prompt: prompts.Prompt, best: places.Choice
    ) -> places.Estimate:
        """Return what a request's first event takes, and may take."""
        standing = demand_module.Standing()
        if need.account:
            rate = self._holder.document.token_rate
            standing = self.demand.read_standing(need.account, rate)
        own_tokens = min(float(prompt.own_tokens), best.unread)
        if need.estimate is None:
            # Weighed anew on a keeper's answer, it is still one prompt.
            self._averages.note(need.route.name, own_tokens)
        unusual = self._count_unusual(need.route, own_tokens, standing)
        return places.Estimate(
            best,
            judged_seconds=best.wait_seconds
            - unusual / best.engine.queue.rate,
            allowed_seconds=(
                _choose_most_wait(standing) * need.route.objective_seconds
            ),
            share_use=standing.use,
        )

    def _count_unusual(
        self,
        route: routes.Route,
        own_tokens: float,
        standing: demand_module.Standing,
    ) -> float:
        """Return the tokens of a request that do not count for admission.

        Whatever stands ahead, a request waits for its own prompt to be read.
        Counted in full, that refuses the large requests of a route wherever
        there is a queue. So an account beyond its share has each request
        judged as one of the usual size.

        Returns
        -------
        float
            By how much it is larger than usual; negative if it is smaller.
        """
        unusual = own_tokens - self._averages.read(route.name)
        if standing.use < 1.0 or not self._averages.is_settled(route.name):
            # Small requests within the share are in time where usual ones
            # would be late, and few prompts do not tell what is usual.
            return max(0.0, unusual)
        return unusual

    def _is_idle(self, best: places.Choice) -> bool:
        # A prompt that takes longer than the objective all by itself is
        # served where nothing is ahead of it. An engine whose slots are all
        # taken is not idle, though all prompts are read: an account that
        # floods would take each slot that comes free.
        engine = best.engine
        if engine.all_running >= engine.server.slots:
            return False
        return engine.queue.read_backlog(self._clock()) <= 0

    def _refuse_without_server(
        self, need: places.Need
    ) -> errors.RequestRefused:
        ready = self.engines.list_ready(need.service)
        # Includes servers that are excluded for this request only: a later
        # one may use them.
        seconds = min(map(self.engines.read_backoff, ready), default=0.0)
        if not seconds:
            return self._refuse(
                need, 'no_backend_server', 'no backend server is left for it'
            )
        return self._refuse(
            need,
            'backoff',
            'all backend servers for it are in backoff for at least another'
            f' {seconds:.1f} s',
            after=seconds,
        )

    def _refuse(
        self,
        need: places.Need,
        reason: str,
        text: str,
        *,
        status: int = 503,
        after: float = 0.0,
    ) -> errors.RequestRefused:
        left = max(0.0, need.deadline - self._clock())
        wait = max(_LEAST_RETRY_SECONDS, after)
        wait *= self._random.uniform(1.0, 1.3)
        return errors.RequestRefused(
            reason,
            f'{text}; come back later',
            status=status,
            retry_after=min(wait, _RETRY_PART * left),
        )
