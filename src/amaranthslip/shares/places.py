"""Places: what a request needs, and what it holds at a backend server."""

import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import reading
from amaranthslip.configuration import routes
from amaranthslip.requests import prompts
from amaranthslip.shares import demand as demand_module


class Estimate:
    """What a request's first event was expected to take, and might take.

    Parameters
    ----------
    unread : float
        Tokens of its prompt that the server has to read.
    reading_seconds : float
        For reading them.
    ahead_seconds : float
        For all that comes before: others' prompts, a slot, the network.
    judged_seconds : float
        What of both together is held against the limit.
    allowed_seconds : float
        The limit.
    share_use : float
        How much of its fair share the client account has had.
    """

    __slots__ = (
        'unread',
        'reading_seconds',
        'ahead_seconds',
        'judged_seconds',
        'allowed_seconds',
        'share_use',
    )

    def __init__(
        self,
        choice: 'Choice',
        *,
        judged_seconds: float,
        allowed_seconds: float,
        share_use: float,
    ) -> None:
        self.unread = choice.unread
        self.reading_seconds = choice.reading_seconds
        self.ahead_seconds = choice.wait_seconds - choice.reading_seconds
        self.judged_seconds = judged_seconds
        self.allowed_seconds = allowed_seconds
        self.share_use = share_use

    @property
    def over_share(self) -> bool:
        """Whether the account has had its fair share."""
        return self.share_use >= 1.0

    @property
    def excess_seconds(self) -> float:
        """By how much it is above what is allowed; below, it is negative."""
        return self.judged_seconds - self.allowed_seconds


class Need:
    """What placement has to know of one request.

    Parameters
    ----------
    service : str
        Which backend servers may get it.
    account : str
        The client account; empty on public routes.
    route : Route
        Its objective.
    prompt : Prompt or None
        Of a model's request.
    arrived, deadline : float
        On the monotonic clock.
    """

    __slots__ = (
        'service',
        'account',
        'route',
        'prompt',
        'arrived',
        'deadline',
        'excluded',
        'granted',
        'estimate',
    )

    def __init__(
        self,
        *,
        service: str,
        account: str,
        route: routes.Route,
        prompt: prompts.Prompt | None,
        arrived: float,
        deadline: float,
    ) -> None:
        self.service = service
        self.account = account
        self.route = route
        self.prompt = prompt
        self.arrived = arrived
        self.deadline = deadline
        # Servers that failed or refused it.
        self.excluded: set[str] = set()
        # Whether it had a place before: what was granted once is counted, and
        # an account that is over its share by now was not when it began.
        self.granted = False
        # Of the last time that it was weighed; for logs.
        self.estimate: Estimate | None = None

    @property
    def tokens(self) -> float:
        """What it takes of the engines' throughput."""
        if self.prompt is None:
            return 0.0
        generated = self.prompt.expected_tokens
        return self.prompt.own_tokens + (
            demand_module.GENERATED_WEIGHT * generated
        )


class Choice:
    """One candidate, with what was expected of it."""

    __slots__ = ('engine', 'unread', 'wait_seconds', 'cost')

    def __init__(
        self,
        engine: engines_module.Engine,
        unread: float,
        wait_seconds: float,
        cost: float,
    ) -> None:
        self.engine = engine
        self.unread = unread
        self.wait_seconds = wait_seconds
        self.cost = cost

    @property
    def reading_seconds(self) -> float:
        """The part of the wait in which its own prompt is read."""
        return self.unread / self.engine.queue.rate


class Ends(typing.Protocol):
    """Who is told how requests go; `shares.keepers.Keepers` is one."""

    def note_start(self, place: 'Place') -> None:
        """Hear that an answer has begun."""

    def note_end(self, place: 'Place') -> None:
        """Hear how a request ended."""

    def note_failure(
        self, server: str, service: str, *, connected: bool
    ) -> None:
        """Count a failure of a server."""


class Owner(typing.Protocol):
    """Who gave a place and takes it back; `placement.Placement` is one."""

    engines: engines_module.Engines
    ends: Ends

    def read_clock(self) -> float:
        """Return the present time."""

    def note_end(self, place: 'Place') -> None:
        """Count how a request ended for its server."""


class Place:
    """A request's place at one server, from its sending to its end.

    A context manager: leaving it gives the place back, as failed unless
    `succeed`, `cancel`, `fail` or `reject` said how it ended.
    """

    __slots__ = (
        'server',
        'expected_seconds',
        'unread',
        'held',
        'number',
        'succeeded',
        'failed',
        'connected',
        '_owner',
        '_engine',
        '_mark',
        '_ended',
        '_started',
        '_began',
    )

    def __init__(
        self, owner: Owner, need: Need, choice: Choice, now: float
    ) -> None:
        self.server = choice.engine.server
        self.expected_seconds = choice.wait_seconds
        self.unread = choice.unread
        self.held = 0
        # Under which the server's keeper counts it; 0: it does not.
        self.number = 0
        self.succeeded = False
        self.failed = False
        self.connected = True
        self._owner = owner
        self._engine = choice.engine
        self._mark: reading.Mark | None = None
        self._ended = False
        self._started = False
        # When its answer began.
        self._began = 0.0
        self._enter(need.prompt, now)

    def _enter(self, prompt: prompts.Prompt | None, now: float) -> None:
        engine = self._engine
        running = engine.all_running
        engine.running += 1
        if prompt is None:
            return
        self.held = prompt.prompt_tokens + prompt.expected_tokens
        engine.held += self.held
        self._mark = engine.queue.add(
            self.unread,
            now,
            running=running,
            other=self._owner.engines.read_slot_wait(engine, running),
        )
        engine.cached.note(prompt.chain, engine.queue.total)

    def start(self) -> None:
        """Take it that the answer has begun."""
        if self._started:
            return
        self._started = True
        if self._mark is not None:
            self._began = self._owner.read_clock()
            self._engine.queue.start(self._mark, self._began)
            self._mark = None
        self._owner.ends.note_start(self)

    def succeed(self) -> None:
        """End it: the server's answer was good."""
        self.succeeded = True
        if self._began and not self._ended:
            ran = self._owner.read_clock() - self._began
            self._owner.engines.note_run(self._engine, ran)
        self._end()

    def cancel(self) -> None:
        """End it: nothing can be said of the server."""
        self._end()

    def fail(self, *, connected: bool = True) -> None:
        """End it: the server failed."""
        if not self._ended:
            self.failed = True
            self.connected = connected
        self._end()

    def reject(self) -> None:
        """End it: the server had no room."""
        if not self._ended:
            self._owner.engines.note_full(self._engine)
        self._end()

    def withdraw(self) -> None:
        """Give it back unused, before anything was sent or told."""
        self._ended = True
        self._leave()

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._leave()
        self._owner.note_end(self)

    def _leave(self) -> None:
        if self._mark is not None:
            self._engine.queue.drop(self._mark, self._owner.read_clock())
            self._mark = None
        self._engine.running -= 1
        self._engine.held -= self.held

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.fail()
