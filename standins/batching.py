"""Continuous batching of the simulated engine; one greenlet runs all steps."""

import collections
import time
import typing

import gevent
from gevent import event

from standins import generation

_BLOCK_CHARACTERS = 64
_PREFILL_TOKENS_PER_STEP = 2048
_MAX_CATCH_UP_SECONDS = 0.25


class PrefixCache:
    """LRU cache of prompt prefixes, in blocks of 64 characters."""

    __slots__ = ('_limit', '_blocks', 'queries', 'hits')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.queries = 0
        self.hits = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, text: str) -> int:
        """Return the length of the cached prefix; cache all full blocks."""
        block_hash, cached_characters, matching = 0, 0, True
        for end in range(_BLOCK_CHARACTERS, len(text) + 1, _BLOCK_CHARACTERS):
            block_hash = hash(
                (block_hash, text[end - _BLOCK_CHARACTERS : end])
            )
            self.queries += 1
            matching = matching and block_hash in self._blocks
            if matching:
                cached_characters = end
                self.hits += 1
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return cached_characters


class Job:
    """One request in the engine.

    `start`, `produced` and `end` are token positions in the complete answer,
    including the tokens that an earlier request delivered.
    """

    __slots__ = (
        'prompt',
        'prompt_tokens',
        'cached_tokens',
        'prefill_tokens',
        'start',
        'produced',
        'end',
        'cancelled',
        'progressed',
    )

    def __init__(self, prompt: generation.Prompt, max_tokens: int) -> None:
        self.prompt = prompt
        self.start = self.produced = prompt.delivered
        self.end = min(prompt.length, prompt.delivered + max_tokens)
        text_tokens = generation.count_tokens(prompt.text)
        self.prompt_tokens = text_tokens + prompt.delivered
        self.cached_tokens = 0
        self.prefill_tokens = self.prompt_tokens
        self.cancelled = False
        self.progressed = event.Event()

    @property
    def ended(self) -> bool:
        """Whether the job was cancelled or has produced its last token."""
        return self.cancelled or self.produced >= self.end

    def wait(self, known_tokens: int) -> int:
        """Return `produced` once it exceeds `known_tokens` or the job ends."""
        while self.produced <= known_tokens and not self.ended:
            self.progressed.clear()
            self.progressed.wait()
        return self.produced


class Engine:
    """Advances all running jobs in common steps; others wait in FIFO order.

    Parameters
    ----------
    slots : int
        Maximum number of concurrently running jobs.
    step_seconds, step_seconds_per_request : float
        Duration of a step: the first value plus the second value for each
        running job, in seconds.
    tokens_per_step : int
        Tokens generated for each running job in a step.
    prefill_seconds_per_token : float
        Seconds added to a step for each uncached prompt token that it
        prefills.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of 64 characters.
    """

    __slots__ = (
        'slots',
        '_step_seconds',
        '_step_seconds_per_request',
        '_tokens_per_step',
        '_prefill_seconds_per_token',
        'cache',
        'running',
        'waiting',
        '_work_available',
        'started',
        'finished',
        'cancelled',
        'max_running',
        'max_waiting',
        'tokens',
        'prompt_tokens',
        'busy_slot_seconds',
        '_busy_time_updated_at',
    )

    def __init__(
        self,
        *,
        slots: int,
        step_seconds: float,
        step_seconds_per_request: float,
        tokens_per_step: int,
        prefill_seconds_per_token: float,
        cache_blocks: int,
    ) -> None:
        self.slots = slots
        self._step_seconds = step_seconds
        self._step_seconds_per_request = step_seconds_per_request
        self._tokens_per_step = tokens_per_step
        self._prefill_seconds_per_token = prefill_seconds_per_token
        self.cache = PrefixCache(cache_blocks)
        self.running: list[Job] = []
        self.waiting: collections.deque[Job] = collections.deque()
        self._work_available = event.Event()
        self.started = self.finished = self.cancelled = 0
        self.max_running = self.max_waiting = 0
        self.tokens = self.prompt_tokens = 0
        self.busy_slot_seconds = 0.0
        self._busy_time_updated_at = time.monotonic()

    def submit(self, job: Job) -> None:
        """Queue a job; it starts as soon as a slot is free."""
        self.waiting.append(job)
        self._admit()
        self.max_waiting = max(self.max_waiting, len(self.waiting))
        self._work_available.set()

    def cancel(self, job: Job) -> None:
        """Cancel a job and free its slot; do nothing if the job has ended."""
        if job.ended:
            return
        job.cancelled = True
        self.cancelled += 1
        self.update_busy_time()
        if job in self.running:
            self.running.remove(job)
        else:
            self.waiting.remove(job)
        job.progressed.set()
        self._admit()

    def update_busy_time(self) -> None:
        """Add the slot time used since the last update."""
        now = time.monotonic()
        self.busy_slot_seconds += len(self.running) * (
            now - self._busy_time_updated_at
        )
        self._busy_time_updated_at = now

    def _admit(self) -> None:
        self.update_busy_time()
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            self.started += 1
            cached_characters = self.cache.match(job.prompt.text)
            job.cached_tokens = cached_characters and generation.count_tokens(
                job.prompt.text[:cached_characters]
            )
            job.prefill_tokens -= job.cached_tokens
            self.prompt_tokens += job.prompt_tokens
            self.running.append(job)
        self.max_running = max(self.max_running, len(self.running))

    def run(self) -> typing.NoReturn:
        """Run steps forever.

        Each step is scheduled from the planned end of the previous one, so
        that late wake-ups don't reduce the token rate. At most
        `_MAX_CATCH_UP_SECONDS` of delay are caught up.
        """
        step_end = time.monotonic()
        while True:
            if not self.running:
                self._work_available.clear()
                self._work_available.wait()
                step_end = time.monotonic()
            step_end += self._start_step()
            now = time.monotonic()
            step_end = max(step_end, now - _MAX_CATCH_UP_SECONDS)
            gevent.sleep(max(0.0, step_end - now))
            self._emit_tokens()

    def _start_step(self) -> float:
        budget = _PREFILL_TOKENS_PER_STEP
        for job in self.running:
            step_tokens = min(budget, job.prefill_tokens)
            job.prefill_tokens -= step_tokens
            budget -= step_tokens
        prefilled = _PREFILL_TOKENS_PER_STEP - budget
        return (
            self._step_seconds
            + self._step_seconds_per_request * len(self.running)
            + self._prefill_seconds_per_token * prefilled
        )

    def _emit_tokens(self) -> None:
        self.update_busy_time()
        unfinished = []
        for job in self.running:
            if not job.prefill_tokens:
                previous = job.produced
                job.produced = min(previous + self._tokens_per_step, job.end)
                self.tokens += job.produced - previous
                job.progressed.set()
            if job.ended:
                self.finished += 1
            else:
                unfinished.append(job)
        self.running = unfinished
        self._admit()
