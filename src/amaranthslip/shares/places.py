"""Places: a request's placement data, and its load at a backend server."""

import enum
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import estimates
from amaranthslip.capacity import prefill
from amaranthslip.configuration import routes
from amaranthslip.requests import prompts
from amaranthslip.shares import answer_times
from amaranthslip.shares import demand as demand_module
from amaranthslip.shares import terms

# Ratio of an account's granted tokens to its fair share from which on its
# requests neither use nor get turns: others would be refused for them.
MAX_TURN_RATIO = 1.25


class Limit(enum.Enum):
    """The limit by which a request is refused; its value is logged."""

    # The wait at the best server.
    WAIT = 'wait'
    # As many plain requests as the best server can answer in time.
    FULL = 'full'
    # The time left, which is less than a plain answer would take.
    LATE = 'late'


class WaitEstimate:
    """The expected and allowed time to the first event of a request.

    Parameters
    ----------
    candidate : ScoredCandidate
        The selected server. Its `unread_tokens` are the prompt tokens that the
        server has to read, `reading_seconds` the time for reading them and
        `ahead_seconds` the wait before: other prompts, a slot, the network.
        Of that, `slot_seconds` is the wait for a slot. `delay_seconds` is how
        overdue the server's oldest first event is.
    judged_seconds : float
        The part of the whole wait that is compared with the limit.
    allowed_seconds : float
        The limit.
    ratios : ShareRatios
        The client account's tokens relative to its fair share.
    server_idle : bool
        Whether the selected server has read all prompts and has a free slot.

    Attributes
    ----------
    limit : Limit or None
        The limit by which the request is refused; None if it is admitted.
    """

    __slots__ = (
        'unread_tokens',
        'reading_seconds',
        'ahead_seconds',
        'slot_seconds',
        'delay_seconds',
        'judged_seconds',
        'allowed_seconds',
        'ratios',
        'server_idle',
        'limit',
    )

    def __init__(
        self,
        candidate: 'ScoredCandidate',
        *,
        judged_seconds: float,
        allowed_seconds: float,
        ratios: demand_module.ShareRatios,
        server_idle: bool,
    ) -> None:
        self.server_idle = server_idle
        self.limit: Limit | None = None
        self.unread_tokens = candidate.unread_tokens
        self.reading_seconds = candidate.reading_seconds
        self.ahead_seconds = candidate.wait_seconds - candidate.reading_seconds
        self.slot_seconds = candidate.slot_seconds
        self.delay_seconds = candidate.delay_seconds
        self.judged_seconds = judged_seconds
        self.allowed_seconds = allowed_seconds
        self.ratios = ratios

    @property
    def over_share(self) -> bool:
        """Whether the account has used up its fair share."""
        return self.ratios.granted_ratio >= 1.0

    @property
    def may_use_turn(self) -> bool:
        """Whether the account's granted tokens leave room for a turn."""
        return self.ratios.granted_ratio < MAX_TURN_RATIO

    @property
    def excess_seconds(self) -> float:
        """Seconds above the limit; negative below the limit."""
        return self.judged_seconds - self.allowed_seconds


class PlacementRequest:
    """The data of one request that placement uses.

    Parameters
    ----------
    service : str
        The service whose backend servers may run the request.
    client_account : str
        The client account; empty on public routes.
    route : Route
        Sets the objective.
    prompt : Prompt or None
        The prompt, if a model serves the request.
    arrived, deadline : float
        Monotonic times in seconds.
    regions : frozenset of str or None
        The regions whose servers may get the request; None for all.
    """

    __slots__ = (
        'service',
        'client_account',
        'route',
        'prompt',
        'arrived',
        'deadline',
        'regions',
        'software_version',
        'admitted_before',
        'fingerprint',
        'waited_for_turn',
        'excluded_servers',
        'full_servers',
        'placed_before',
        'estimate',
        'plain_limit',
    )

    def __init__(
        self,
        *,
        service: str,
        client_account: str,
        route: routes.Route,
        prompt: prompts.Prompt | None,
        arrived: float,
        deadline: float,
        regions: frozenset[str] | None = None,
    ) -> None:
        self.service = service
        self.client_account = client_account
        self.route = route
        self.prompt = prompt
        self.arrived = arrived
        self.deadline = deadline
        self.regions = regions
        # The version of the stream that goes on; None while none has begun.
        self.software_version: str | None = None
        # Whether it takes up a stream that was admitted when it began.
        self.admitted_before = False
        # Identical for all attempts at the request; empty if it gets no turn.
        self.fingerprint = b''
        # Seconds since the refusal that gave it the turn that it uses
        # (`requests.returns`); None without a turn.
        self.waited_for_turn: float | None = None
        # Names of servers that failed or rejected the request.
        self.excluded_servers: set[str] = set()
        # Servers without enough free memory, and the expected seconds until
        # they have it; of the current selection only.
        self.full_servers: dict[str, float] = {}
        # Whether the request had a place before. Its tokens are then counted
        # already, and the account, which may be over its share now, was
        # admitted when the request began.
        self.placed_before = False
        # The estimate of the latest selection, for logs.
        self.estimate: WaitEstimate | None = None
        # The limit by which a plain request was refused last.
        self.plain_limit: Limit | None = None

    @property
    def held(self) -> int:
        """Tokens of an engine's memory that the request takes."""
        if self.prompt is None:
            return 0
        return self.prompt.prompt_tokens + self.prompt.expected_output_tokens

    @property
    def tokens(self) -> float:
        """Tokens of the request that count towards its account's share.

        All tokens of the prompt, and those that are probably generated: what a
        caller asks for, whether others share parts of the prompt or not.
        """
        return float(self.held)


class ScoredCandidate:
    """A candidate server with its expected wait and cost.

    `limit` is the limit by which a plain request would be refused there, and
    `plain_start` its start; None unless the service adapts.

    `uncertain_tokens` are the shared tokens of the prompt of which it is not
    known whether the server has them in its cache. For `slot_seconds` and
    `delay_seconds` see `WaitEstimate`.
    """

    __slots__ = (
        'engine',
        'unread_tokens',
        'uncertain_tokens',
        'slot_seconds',
        'delay_seconds',
        'wait_seconds',
        'cost',
        'limit',
        'plain_start',
    )

    def __init__(
        self,
        engine: engines_module.Engine,
        unread_tokens: float,
        wait_seconds: float,
        cost: float,
        *,
        uncertain_tokens: float = 0.0,
        slot_seconds: float = 0.0,
        delay_seconds: float = 0.0,
    ) -> None:
        self.uncertain_tokens = uncertain_tokens
        self.slot_seconds = slot_seconds
        self.delay_seconds = delay_seconds
        self.engine = engine
        self.unread_tokens = unread_tokens
        self.wait_seconds = wait_seconds
        self.cost = cost
        self.limit: Limit | None = None
        self.plain_start: terms.PlainStart | None = None

    @property
    def reading_seconds(self) -> float:
        """The part of the wait during which the request's prompt is read."""
        return self.unread_tokens / self.engine.queue.current_rate


class ProgressListener(typing.Protocol):
    """Receives the progress of requests; `shares.keepers.Keepers` is one."""

    def note_start(self, place: 'Place') -> None:
        """Handle the start of an answer."""

    def note_end(self, place: 'Place') -> None:
        """Handle the end of a request."""

    def note_failure(
        self, server: str, service: str, *, connected: bool
    ) -> None:
        """Count a failed request of a server."""


class PlaceManager(typing.Protocol):
    """Creates places and handles their end, as `placement.Placement` does."""

    engines: engines_module.Engines
    listener: ProgressListener

    def read_clock(self) -> float:
        """Return the monotonic time in seconds."""

    def note_end(self, place: 'Place') -> None:
        """Record the outcome of a request for its server's health."""

    def release_probe(self, place: 'Place') -> None:
        """Let another request probe an ejected server."""


class Place:
    """A request's place at one server, from sending until its end.

    A context manager: the exit releases the place, and counts the request as
    failed unless `succeed`, `cancel`, `fail` or `reject` was called before.
    """

    __slots__ = (
        'server',
        'probe_number',
        'expected_seconds',
        'unread_tokens',
        'uncertain_tokens',
        'held',
        'ask_number',
        'succeeded',
        'failed',
        'connected',
        'rejected',
        'plain_start',
        'load',
        'times',
        '_manager',
        '_engine',
        '_prompt',
        '_route',
        '_began_running',
        '_sent_at',
        '_pause',
        '_queue_mark',
        '_ended',
        '_started',
        '_started_at',
    )

    def __init__(
        self,
        manager: PlaceManager,
        placement_request: PlacementRequest,
        candidate: ScoredCandidate,
        now: float,
        *,
        probe_number: int = 0,
    ) -> None:
        self.server = candidate.engine.server
        # Identifies the request as the probe of an ejected server; else 0.
        self.probe_number = probe_number
        self.expected_seconds = candidate.wait_seconds
        self.unread_tokens = candidate.unread_tokens
        self.uncertain_tokens = candidate.uncertain_tokens
        self.held = 0
        # The number that identifies the request at the server's keeper; 0 if
        # the keeper does not count it.
        self.ask_number = 0
        self.succeeded = False
        self.failed = False
        self.connected = True
        self.rejected = False
        self.plain_start = candidate.plain_start
        # The server's report of its load, and the times of a complete answer;
        # None unless the capacity of the server is learnt.
        self.load: estimates.ReportedLoad | None = None
        self.times: answer_times.AnswerTimes | None = None
        self._manager = manager
        self._engine = candidate.engine
        self._prompt = placement_request.prompt
        self._route = placement_request.route
        self._began_running = candidate.engine.total_running + 1
        self._sent_at = now
        # Seconds of the longest time between two events of the answer.
        self._pause = 0.0
        self._queue_mark: prefill.Mark | None = None
        self._ended = False
        self._started = False
        # Monotonic time at which the answer began.
        self._started_at = 0.0
        self._add_load(placement_request.prompt, now)

    @property
    def engine(self) -> engines_module.Engine:
        """The start of the server that the place is at."""
        return self._engine

    def _add_load(self, prompt: prompts.Prompt | None, now: float) -> None:
        engine = self._engine
        running = engine.total_running
        engine.running += 1
        if prompt is None:
            return
        self.held = prompt.prompt_tokens + prompt.expected_output_tokens
        engine.held += self.held
        self._queue_mark = engine.queue.add(
            self.unread_tokens,
            now,
            running=running,
            other=self._manager.engines.read_slot_wait(engine, running),
            uncertain=self.uncertain_tokens,
        )

    def confirm(self) -> None:
        """Record that the request will be sent to the server of the place.

        Before, the place may be withdrawn, and the server's cache will not
        hold the prompt.
        """
        self._sent_at = self._manager.read_clock()
        if self._prompt is not None:
            self._engine.prefix_cache.note(
                self._prompt.prefix_keys, self._engine.queue.total
            )

    def note_load(self, load: estimates.ReportedLoad | None) -> None:
        """Record the server's report of its load, from its answer."""
        if load is not None and self._engine.adaptive:
            self.load = load
            now = self._manager.read_clock()
            self._engine.estimate.note_load(load, now)

    def note_pause(self, seconds: float) -> None:
        """Record the longest time between two events of the answer."""
        self._pause = seconds

    def start(self) -> None:
        """Record that the answer has begun."""
        if self._started:
            return
        self._started = True
        if self._queue_mark is not None:
            self._started_at = self._manager.read_clock()
            self._engine.queue.start(self._queue_mark, self._started_at)
            self._queue_mark = None
        self._manager.listener.note_start(self)

    def succeed(self, *, regular: bool = True) -> None:
        """Release the place: the server's answer was good.

        Estimates are learnt from a `regular` answer, one without an error.
        """
        self.succeeded = True
        if regular and self._engine.adaptive and not self._ended:
            self.times = self._build_times()
        if self._started_at and not self._ended:
            run_seconds = self._manager.read_clock() - self._started_at
            self._manager.engines.record_stream_seconds(
                self._engine, run_seconds
            )
        self._finish()

    def _build_times(self) -> answer_times.AnswerTimes:
        if self._prompt is not None or self._route.streams:
            return answer_times.AnswerTimes(
                running=self._began_running,
                pause=self._pause,
                allowed_pause=self._route.gap_seconds if self._pause else 0.0,
            )
        seconds = self._manager.read_clock() - self._sent_at
        usual_times = self._manager.engines.usual_times
        kind = (self.server.service, self._route.name)
        usual = usual_times.read(*kind)
        usual_times.record(*kind, seconds)
        running = self._began_running
        if self.plain_start is not None:
            # Counted by the keeper.
            running = self.plain_start.running + 1
        return answer_times.AnswerTimes(
            running=running, seconds=seconds, usual=usual
        )

    def cancel(self) -> None:
        """Release the place without an outcome for the server's health."""
        if not self._ended:
            self._manager.release_probe(self)
        self._finish()

    def fail(self, *, connected: bool = True) -> None:
        """Release the place: the server failed."""
        if not self._ended:
            self.failed = True
            self.connected = connected
        self._finish()

    def reject(self) -> None:
        """Release the place: the server had no free capacity."""
        if not self._ended:
            self.rejected = True
            self._manager.engines.record_full(self._engine)
        self._finish()

    def withdraw(self) -> None:
        """Release the place unused, without an outcome or a notification."""
        self._ended = True
        self._manager.release_probe(self)
        self._remove_load()

    def _finish(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._remove_load()
        if self._manager.engines.get(self.server.name) is not self._engine:
            # The server has restarted or left. The outcome says nothing of
            # the process that runs now.
            self.succeeded = self.failed = False
        self._manager.note_end(self)

    def _remove_load(self) -> None:
        if self._queue_mark is not None:
            self._engine.queue.drop(
                self._queue_mark, self._manager.read_clock()
            )
            self._queue_mark = None
        self._engine.running -= 1
        self._engine.held -= self.held

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.fail()
