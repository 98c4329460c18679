"""Patterns of load, played against placement without a network.

    python -m bench.patterns [--seconds 20] [--pattern NAME] [--scale 1]

Instances with the real placement, keepers and demand stand before engines
that read prompts one after the other and keep what fits their memory. Time
is virtual, so that a pattern plays the same each time. Beside placement two
simple policies are played: `least_loaded` (the engine with the fewest of the
instance's own requests) and `affinity` (the first engine of the rendezvous
order, whatever its load).

Sizes are one deployment's: six engines that read 38,400 tokens a second and
hold 240,000, six instances, and three kinds of request with their prompts.
`--scale` multiplies engines, instances, sessions and load.
"""

import argparse
import collections
import heapq
import itertools
import math
import random
import time
import typing

from amaranthslip.capacity import directory as directory_module
from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import routes
from amaranthslip import errors
from amaranthslip import identity
from amaranthslip.members import members
from amaranthslip.members import roster as roster_module
from amaranthslip.requests import prompts
from amaranthslip.shares import demand as demand_module
from amaranthslip.shares import keepers as keepers_module
from amaranthslip.shares import placement as placement_module
from amaranthslip.shares import places

SERVICE = 'llm'
ENGINES = 6
INSTANCES = 6
READ_RATE = 38400.0
CACHE_TOKENS = 240000
SLOTS = 64
# What all engines manage, as the operator states it: about three quarters of
# what they read at best.
TOKEN_RATE = 140000.0
_STEP_SECONDS = 0.006
_EVENT_SECONDS = 0.02
# A late answer earns less than a third.
_LATE_WORTH = 0.3
# What a shared token that is read again costs, as the operator prices it.
_REREAD_WORTH = 0.28e-3
_ACCOUNTS = 16
# Seconds of the windows in which accounts are owed their shares.
_WINDOW_SECONDS = 4.0


class Kind:
    """One kind of request: its prompt's parts, sizes and worth."""

    __slots__ = (
        'name',
        'rate',
        'shared',
        'sessions',
        'own',
        'generated',
        'objective',
        'timeout',
        'worth',
    )

    def __init__(
        self,
        name: str,
        *,
        rate: float,
        shared: tuple[int, int],
        sessions: tuple[int, int],
        own: int,
        generated: int,
        objective: float,
        timeout: float,
        worth: float,
    ) -> None:
        self.name = name
        # Requests a second of the whole fleet.
        self.rate = rate
        # Tokens and number of the first parts, and of the sessions' parts.
        self.shared = shared
        self.sessions = sessions
        self.own = own
        self.generated = generated
        self.objective = objective
        self.timeout = timeout
        self.worth = worth


KINDS = (
    Kind(
        'report',
        rate=26.4,
        shared=(2520, 4),
        sessions=(3780, 82),
        own=2890,
        generated=52,
        objective=0.6,
        timeout=6.0,
        worth=3.7,
    ),
    Kind(
        'match',
        rate=32.2,
        shared=(341, 40),
        sessions=(227, 101),
        own=1800,
        generated=24,
        objective=0.5,
        timeout=4.0,
        worth=2.0,
    ),
    Kind(
        'chat',
        rate=29.7,
        shared=(103, 20),
        sessions=(69, 210),
        own=543,
        generated=280,
        objective=0.4,
        timeout=15.0,
        worth=0.51,
    ),
)


class Pattern:
    """A load: how much of each kind and account comes at a time.

    Parameters
    ----------
    name : str
        Of the pattern.
    factor : callable
        Of (kind name, seconds) to a factor of the kind's rate.
    weight : callable
        Of (account number, seconds) to the account's part of the load.
    skew : float
        How uneven sessions are asked for: Zipf's exponent.
    spread : float
        How unlike the sizes of requests' own parts are: the standard
        deviation of their logarithms; 0 for an exponential distribution.
    lost : callable
        Of (engine number, seconds): whether the engine is gone.
    retries : int
        How often a refused caller comes back.
    impatient : bool
        Whether callers come back at once instead of when they were told.
    """

    __slots__ = (
        'name',
        'factor',
        'weight',
        'skew',
        'spread',
        'lost',
        'retries',
        'impatient',
    )

    def __init__(
        self,
        name: str,
        *,
        factor: typing.Callable[[str, float], float] = lambda kind, at: 0.7,
        weight: typing.Callable[[int, float], float] = (
            lambda number, at: 1.0 / (1 + number) ** 0.6
        ),
        skew: float = 0.3,
        spread: float = 0.0,
        lost: typing.Callable[[int, float], bool] = lambda number, at: False,
        retries: int = 1,
        impatient: bool = False,
    ) -> None:
        self.name = name
        self.factor = factor
        self.weight = weight
        self.skew = skew
        self.spread = spread
        self.lost = lost
        self.retries = retries
        self.impatient = impatient


def _flood(number: int, at: float) -> float:
    # The third largest of 16 sends nine times its usual, from 5 s on.
    usual = 1.0 / (1 + number) ** 0.6
    return usual * (9.0 if number == 2 and at > 5 else 1.0)


def _flood_unevenly(number: int, at: float) -> float:
    # Two accounts of 16 flood, one four times as much as the other.
    return {1: 8.0, 2: 32.0}.get(number, 1.0) if at > 5 else 1.0


PATTERNS = {
    each.name: each
    for each in (
        Pattern('calm'),
        Pattern('skewed_sessions', skew=1.1),
        Pattern(
            'flood_of_one_account',
            factor=lambda kind, at: 0.7 if at <= 5 else 1.3,
            weight=_flood,
        ),
        Pattern(
            'flood_of_two_accounts',
            factor=lambda kind, at: 0.7 if at <= 5 else 2.0,
            weight=_flood_unevenly,
        ),
        Pattern(
            'overload_of_unlike_sizes',
            factor=lambda kind, at: 1.8,
            spread=1.1,
        ),
        Pattern(
            'burst_of_long_prompts',
            factor=lambda kind, at: (
                2.0 if kind == 'report' and 5 < at < 10 else 0.7
            ),
        ),
        Pattern(
            'half_of_the_engines_gone',
            lost=lambda number, at: number % 2 == 1 and at > 5,
        ),
        Pattern(
            'retry_storm',
            factor=lambda kind, at: 1.2,
            retries=4,
            impatient=True,
        ),
    )
}


class _Engine:
    """One engine: reads in order, and keeps what was used last."""

    __slots__ = ('name', 'free_at', 'kept', 'kept_tokens', 'running')

    def __init__(self, name: str) -> None:
        self.name = name
        self.free_at = 0.0
        self.kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.kept_tokens = 0
        self.running = 0

    def read(self, prompt: prompts.Prompt, now: float) -> tuple[float, int]:
        """Return when the first event comes, and the shared tokens read."""
        unread = again = 0
        held = True
        for index, (key, part) in enumerate(zip(prompt.chain, prompt.parts)):
            held = held and key in self.kept
            if not held:
                unread += part.tokens
                if index < len(prompt.parts) - 1:
                    again += part.tokens
            self._keep(key, part.tokens)
        begin = max(now, self.free_at)
        self.free_at = begin + unread / READ_RATE + _STEP_SECONDS
        return self.free_at, again

    def _keep(self, key: str, tokens: int) -> None:
        if key in self.kept:
            self.kept.move_to_end(key)
            return
        self.kept[key] = tokens
        self.kept_tokens += tokens
        while self.kept_tokens > CACHE_TOKENS * 0.7:
            self.kept_tokens -= self.kept.popitem(last=False)[1]


class Stage(typing.Protocol):
    """What instances need around them; `World` is one."""

    names: list[str]
    servers: list[document.ListedServer]
    holder: holder_module.Holder

    def read_clock(self) -> float:
        """Return the time, in seconds."""

    def count(self, name: str, label: str, amount: float = 1) -> None:
        """Take a count."""

    def deliver(self, sender: str, name: str, message: object) -> None:
        """Hand a message to an instance."""


class _Outbox:
    """Carries messages between instances, at once.

    Of virtual time a message takes nothing: placement asks and waits within
    one turn, which would else need a greenlet for each request.
    """

    def __init__(self, world: 'Stage', sender: str) -> None:
        self._world = world
        self._sender = sender

    def send(self, name: str, message: object) -> bool:
        """Deliver."""
        self._world.deliver(self._sender, name, message)
        return True


class Instance:
    """One instance's placement, and what the keepers tell it."""

    def __init__(self, world: Stage, name: str) -> None:
        self.name = name
        self.directory = directory_module.Directory(clock=world.read_clock)
        for server in world.servers:
            self.directory.put(server)
        outliers = outliers_module.Outliers(world, clock=world.read_clock)
        engines = engines_module.Engines(
            self.directory, outliers, clock=world.read_clock
        )
        demand = demand_module.Demand(lambda: 4.0, clock=world.read_clock)
        self.placement = placement_module.Placement(
            'a',
            world.holder,
            engines,
            outliers,
            demand,
            clock=world.read_clock,
            random=random.Random(name),
        )
        roster = roster_module.Roster(build_member(name))
        for other in world.names:
            if other != name:
                roster.put(build_member(other))
        self.keepers = keepers_module.Keepers(
            roster,
            _Outbox(world, name),
            self.placement,
            engines,
            outliers,
            world,
            clock=world.read_clock,
        )
        # Of the simple policies: own requests in progress by engine.
        self.own: collections.Counter[str] = collections.Counter()


def build_member(name: str) -> members.Member:
    """Return a member of the one failure domain."""
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='a',
        region='r',
    )


class _Due:
    """What one account asked for and earned in one window."""

    __slots__ = ('tokens', 'asked', 'earned')

    def __init__(self) -> None:
        self.tokens = 0.0
        self.asked = 0.0
        self.earned = 0.0


class Windows:
    """Worth by window and account, as the operator counts it.

    In each window an account is owed its max-min share of what all engines
    manage. What it asks beyond that is not missed, and earns nothing: a
    policy that serves an account which floods at the cost of the others
    would else look good.
    """

    __slots__ = ('_dues',)

    def __init__(self) -> None:
        self._dues: dict[int, dict[str, _Due]] = collections.defaultdict(
            lambda: collections.defaultdict(_Due)
        )

    def ask(
        self, at: float, account: str, tokens: float, worth: float
    ) -> None:
        """Count what came at a time."""
        due = self._dues[int(at / _WINDOW_SECONDS)][account]
        due.tokens += tokens
        due.asked += worth

    def earn(self, at: float, account: str, worth: float) -> None:
        """Count what was served of that which came at a time."""
        self._dues[int(at / _WINDOW_SECONDS)][account].earned += worth

    def add_up(self, token_rate: float) -> tuple[float, float]:
        """Return the worth that was owed, and earned of it."""
        owed = earned = 0.0
        for dues in self._dues.values():
            level = _find_level(
                [each.tokens for each in dues.values()],
                token_rate * _WINDOW_SECONDS,
            )
            for due in dues.values():
                part = min(1.0, level / max(1.0, due.tokens))
                owed += part * due.asked
                earned += min(due.earned, part * due.asked)
        return owed, earned


class Sized:
    """One request's own tokens, and whether it was served, also late."""

    __slots__ = ('tokens', 'served')

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.served = False


def read_served_part(requests: typing.Sequence[Sized]) -> float:
    """Return the part of some requests that was served."""
    return sum(each.served for each in requests) / max(1, len(requests))


def _find_level(asked: list[float], capacity: float) -> float:
    """Return the tokens beyond which an account is owed nothing."""
    left = capacity
    for index, tokens in enumerate(sorted(asked)):
        even = left / (len(asked) - index)
        if tokens > even:
            return even
        left -= tokens
    return float('inf')


class Result:
    """What a play brought: counts by kind and account, and worth."""

    def __init__(self) -> None:
        self.asked: collections.Counter[str] = collections.Counter()
        self.on_time: collections.Counter[str] = collections.Counter()
        self.late: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        # Tokens by account, as `Need.tokens` counts them.
        self.granted: collections.Counter[str] = collections.Counter()
        self.lost = 0
        self.owed = 0.0
        self.earned = 0.0
        # The same, of each account's fair share only.
        self.due_owed = 0.0
        self.due_earned = 0.0
        self.shared_tokens = 0
        self.read_again = 0
        self.first_events: list[float] = []
        # Processor seconds that choosing took, and how often it was done.
        self.choosing_seconds = 0.0
        self.choices = 0
        self.sends: collections.Counter[str] = collections.Counter()
        # By kind.
        self.sizes: dict[str, list[Sized]] = collections.defaultdict(list)

    def add(self, other: 'Result') -> None:
        """Add another play's counts."""
        for name in (
            'asked',
            'on_time',
            'late',
            'refused',
            'granted',
            'sends',
        ):
            getattr(self, name).update(getattr(other, name))
        for name in (
            'lost',
            'owed',
            'earned',
            'due_owed',
            'due_earned',
            'shared_tokens',
            'read_again',
            'choosing_seconds',
            'choices',
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.first_events += other.first_events
        for kind, requests in other.sizes.items():
            self.sizes[kind] += requests

    def read_size_share(self, kind: str, start: float, end: float) -> float:
        """Return how often a range of sizes was served, as part of the kind.

        Parameters
        ----------
        kind : str
            Whose requests.
        start, end : float
            Parts of them, in the order of size: 0.9 and 1.0 are the largest
            tenth.
        """
        ranked = sorted(self.sizes[kind], key=lambda each: each.tokens)
        count = len(ranked)
        ranged = ranked[int(start * count) : int(end * count)]
        return read_served_part(ranged) / read_served_part(ranked)

    @property
    def worth(self) -> float:
        """Earned worth over owed, less what is read again."""
        return (self.earned - _REREAD_WORTH * self.read_again) / self.owed

    @property
    def due_worth(self) -> float:
        """The same within the accounts' fair shares."""
        reread = _REREAD_WORTH * self.read_again
        return (self.due_earned - reread) / self.due_owed

    @property
    def hit_rate(self) -> float:
        """The part of shared tokens that was not read again."""
        return 1 - self.read_again / max(1, self.shared_tokens)

    def read_share(self, name: str) -> float:
        """Return the part of a kind or account that was on time."""
        return self.on_time[name] / max(1, self.asked[name])

    def read_percentile(self, part: float) -> float:
        """Return a percentile of the time to the first event, seconds."""
        times = sorted(self.first_events)
        return times[min(len(times) - 1, int(part * len(times)))]


class World:
    """One play of a pattern with a policy."""

    def __init__(
        self, pattern: Pattern, policy: str, *, seed: int = 1, scale: int = 1
    ) -> None:
        self.pattern = pattern
        self.scale = scale
        self.result = Result()
        self._windows = Windows()
        self._policy = policy
        self._random = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._numbers = itertools.count()
        # By the id of the prompt's own part.
        self._sized: dict[str, Sized] = {}
        self.servers = [
            build_server(number) for number in range(ENGINES * scale)
        ]
        self.engines = {each.name: _Engine(each.name) for each in self.servers}
        self.holder = build_holder(scale)
        count = INSTANCES * scale
        self.names = [f'instance-{number}' for number in range(count)]
        self.instances = {name: Instance(self, name) for name in self.names}

    def count(self, name: str, label: str, amount: float = 1) -> None:
        """Take a count, in the metrics' place."""

    def read_clock(self) -> float:
        """Return the virtual time, in seconds."""
        return self._now

    def deliver(self, sender: str, name: str, message: object) -> None:
        """Hand a message to an instance."""
        self.instances[name].keepers.receive(sender, message)

    def after(self, seconds: float, act: typing.Callable[[], object]) -> None:
        """Let something happen later."""
        entry = (self._now + seconds, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def play(self, seconds: float) -> Result:
        """Play the pattern and return what it brought."""
        for kind in KINDS:
            self._schedule(kind, seconds)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        owed, earned = self._windows.add_up(TOKEN_RATE * self.scale)
        self.result.due_owed += owed
        self.result.due_earned += earned
        return self.result

    def _schedule(self, kind: Kind, seconds: float) -> None:
        rate = self.scale * kind.rate
        rate *= self.pattern.factor(kind.name, self._now)
        wait = self._random.expovariate(max(rate, 1e-6))
        if self._now + wait > seconds:
            return

        def arrive() -> None:
            self._arrive(kind)
            self._schedule(kind, seconds)

        self.after(wait, arrive)

    def _arrive(self, kind: Kind) -> None:
        weights = [
            self.pattern.weight(number, self._now)
            for number in range(_ACCOUNTS)
        ]
        number = self._random.choices(range(_ACCOUNTS), weights)[0]
        prompt = self._draw_prompt(kind)
        sized = self._sized[prompt.parts[-1].id] = Sized(prompt.own_tokens)
        self.result.sizes[kind.name].append(sized)
        account = f'account-{number}'
        self.result.asked[kind.name] += 1
        self.result.asked[account] += 1
        self.result.owed += kind.worth
        self._windows.ask(
            self._now, account, _count_tokens(kind, prompt), kind.worth
        )
        self._try(kind, account, prompt, self._now, self.pattern.retries)

    def _draw_prompt(self, kind: Kind) -> prompts.Prompt:
        tokens, count = kind.shared
        session_tokens, sessions = kind.sessions
        sessions *= self.scale
        weights = [
            1.0 / (1 + number) ** self.pattern.skew
            for number in range(sessions)
        ]
        session = self._random.choices(range(sessions), weights)[0]
        own = self._draw_own_tokens(kind)
        parts = [
            prompts.Part(f'{kind.name}-{session % count}', tokens),
            prompts.Part(f'{kind.name}-s{session}', session_tokens),
            prompts.Part(f'own-{next(self._numbers)}', own),
        ]
        return prompts.Prompt(
            model='m',
            parts=parts,
            prompt_tokens=tokens + session_tokens + own,
            most_tokens=kind.generated * 4,
            hinted_tokens=kind.generated,
        )

    def _draw_own_tokens(self, kind: Kind) -> int:
        spread = self.pattern.spread
        if spread:
            middle = math.log(kind.own) - spread**2 / 2
            own = self._random.lognormvariate(middle, spread)
        else:
            own = self._random.expovariate(1 / kind.own)
        return min(max(1, int(own)), 8 * kind.own)

    def _try(
        self,
        kind: Kind,
        account: str,
        prompt: prompts.Prompt,
        first: float,
        retries: int,
    ) -> None:
        instance = self.instances[self._random.choice(self.names)]
        need = places.Need(
            service=SERVICE,
            account=account,
            route=build_route(kind),
            prompt=prompt,
            arrived=self._now,
            deadline=first + kind.timeout,
        )
        choose = getattr(self, f'_choose_{self._policy}')
        try:
            server, place = choose(instance, need)
        except errors.RequestRefused as refusal:
            wait = 0.05 if self.pattern.impatient else refusal.retry_after
            if retries and self._now + wait < need.deadline:
                self.after(
                    wait,
                    lambda: self._try(
                        kind, account, prompt, first, retries - 1
                    ),
                )
            else:
                self.result.refused[kind.name] += 1
                self.result.refused[account] += 1
            return
        self._run(kind, account, need, instance, server, place, first)

    def _choose_placement(
        self, instance: Instance, need: places.Need
    ) -> tuple[str, places.Place | None]:
        # One count for the fleet, as all reports go to one instance.
        demand = self.instances[self.names[0]].placement.demand
        instance.placement.demand = demand
        demand.note_asked(need.account, need.tokens)
        began = time.thread_time()
        self.result.choices += 1
        try:
            place = instance.keepers.reserve(need)
        finally:
            self.result.choosing_seconds += time.thread_time() - began
        demand.note_granted(need.account, need.tokens)
        return place.server.name, place

    def _choose_least_loaded(
        self, instance: Instance, need: places.Need
    ) -> tuple[str, places.Place | None]:
        names = list(self.engines)
        self._random.shuffle(names)
        return min(names, key=lambda name: instance.own[name]), None

    def _choose_affinity(
        self, instance: Instance, need: places.Need
    ) -> tuple[str, places.Place | None]:
        key = need.prompt.shared_key
        return max(
            self.engines, key=lambda name: identity.rank(key, name)
        ), None

    def _run(
        self,
        kind: Kind,
        account: str,
        need: places.Need,
        instance: Instance,
        server: str,
        place: places.Place | None,
        first: float,
    ) -> None:
        instance.own[server] += 1
        self.result.granted[account] += need.tokens
        self.result.sends[server] += 1
        if self.pattern.lost(int(server.rpartition('-')[2]), self._now):
            self._lose(instance, server, place)
            return
        engine = self.engines[server]
        prompt = need.prompt
        starts, again = engine.read(prompt, self._now)
        self.result.shared_tokens += sum(e.tokens for e in prompt.parts[:-1])
        self.result.read_again += again

        def start() -> None:
            if place is not None:
                place.start()

        def end() -> None:
            instance.own[server] -= 1
            if place is not None:
                place.succeed()
            self._settle(kind, account, prompt, first, starts - first)

        self.after(starts - self._now, start)
        ends = starts + kind.generated / 4 * _EVENT_SECONDS
        self.after(ends - self._now, end)

    def _lose(
        self,
        instance: Instance,
        server: str,
        place: places.Place | None,
    ) -> None:
        self.result.lost += 1

        def end() -> None:
            instance.own[server] -= 1
            if place is not None:
                place.fail(connected=False)

        self.after(0.5, end)

    def _settle(
        self,
        kind: Kind,
        account: str,
        prompt: prompts.Prompt,
        first: float,
        seconds: float,
    ) -> None:
        result = self.result
        if seconds > kind.timeout:
            return
        self._sized[prompt.parts[-1].id].served = True
        result.first_events.append(seconds)
        if seconds <= kind.objective:
            result.on_time[kind.name] += 1
            result.on_time[account] += 1
            worth = kind.worth
        else:
            result.late[kind.name] += 1
            worth = _LATE_WORTH * kind.worth
        result.earned += worth
        self._windows.earn(first, account, worth)


def _count_tokens(kind: Kind, prompt: prompts.Prompt) -> float:
    """Return a request's tokens, as `Need.tokens` counts them."""
    generated = demand_module.GENERATED_WEIGHT * kind.generated
    return prompt.own_tokens + generated


def build_server(
    number: int, *, incarnation: int = 1
) -> document.ListedServer:
    """Return an engine's entry."""
    return document.ListedServer(
        name=f'engine-{number}',
        service=SERVICE,
        address=f'127.0.0.1:{number + 1}',
        failure_domain='a',
        slots=SLOTS,
        leaving=False,
        incarnation=incarnation,
    )


def build_holder(scale: int = 1) -> holder_module.Holder:
    """Return a holder of the operator's configuration."""
    holder = holder_module.Holder()
    holder.apply(_build_document(scale))
    return holder


def _build_document(scale: int) -> document.Document:
    return document.Document(
        version=1,
        services=[
            document.OperatedService(
                name=SERVICE,
                kind=document.ServiceKind.MODEL,
                cache_tokens=CACHE_TOKENS,
            )
        ],
        client_accounts=[
            document.ClientAccount(name=f'account-{number}')
            for number in range(_ACCOUNTS)
        ],
        token_rate=scale * TOKEN_RATE,
    )


def build_route(kind: Kind) -> routes.Route:
    """Return the route of a kind."""
    return routes.Route(
        name=kind.name,
        host='h',
        prefix=f'/{kind.name}/',
        kind=routes.RouteKind.STREAM,
        destinations=[routes.Destination(service=SERVICE, weight=1.0)],
        timeout_seconds=kind.timeout,
        objective_seconds=kind.objective,
    )


POLICIES = ('placement', 'least_loaded', 'affinity')


def play(
    name: str,
    policy: str,
    *,
    seconds: float = 20.0,
    seed: int = 1,
    scale: int = 1,
) -> Result:
    """Play a pattern by its name."""
    world = World(PATTERNS[name], policy, seed=seed, scale=scale)
    return world.play(seconds)


def play_many(
    name: str,
    policy: str,
    *,
    seconds: float,
    seeds: typing.Iterable[int],
) -> Result:
    """Play a pattern with several seeds and add the results up."""
    whole = Result()
    for seed in seeds:
        whole.add(play(name, policy, seconds=seconds, seed=seed))
    return whole


def main() -> None:
    """Play all patterns with each policy and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--pattern', choices=list(PATTERNS))
    parser.add_argument('--scale', type=int, default=1)
    options = parser.parse_args()
    names = [options.pattern] if options.pattern else list(PATTERNS)
    print(
        '| pattern | policy | worth | within shares | hits |'
        ' first event p50, p95 | refused |'
        ' a choice |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- |')
    for name in names:
        for policy in POLICIES:
            result = play(
                name, policy, seconds=options.seconds, scale=options.scale
            )
            refused = sum(result.refused[each.name] for each in KINDS)
            asked = sum(result.asked[each.name] for each in KINDS)
            micros = 1e6 * result.choosing_seconds / max(1, result.choices)
            print(
                f'| {name} | {policy} | {result.worth:.3f} |'
                f' {result.due_worth:.3f} |'
                f' {result.hit_rate:.3f} |'
                f' {result.read_percentile(0.5) * 1000:.0f} ms,'
                f' {result.read_percentile(0.95) * 1000:.0f} ms |'
                f' {refused / asked:.3f} |'
                f' {micros:.0f} us |'
            )


if __name__ == '__main__':
    main()
