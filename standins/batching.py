"""The stand-in engine's continuous batching, one greenlet for all steps."""

import collections
import time
import typing

import gevent
from gevent import event

from standins import generation

_BLOCK_CHARACTERS = 64
_PREFILL_TOKENS_PER_STEP = 2048
_LONGEST_CATCH_UP_SECONDS = 0.25


class PrefixCache:
    """Which prompt prefixes are held, in blocks, least recently used out."""

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
        """Return the characters held of a prompt; hold all of it after."""
        chain, held, matching = 0, 0, True
        for end in range(_BLOCK_CHARACTERS, len(text) + 1, _BLOCK_CHARACTERS):
            chain = hash((chain, text[end - _BLOCK_CHARACTERS : end]))
            self.queries += 1
            matching = matching and chain in self._blocks
            if matching:
                held = end
                self.hits += 1
            self._blocks[chain] = None
            self._blocks.move_to_end(chain)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return held


class Job:
    """One request in the engine; `produced` counts from the whole answer."""

    __slots__ = (
        'prompt',
        'prompt_tokens',
        'cached_tokens',
        'prefill_tokens',
        'start',
        'produced',
        'end',
        'cancelled',
        'advanced',
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
        self.advanced = event.Event()

    @property
    def over(self) -> bool:
        """Whether nothing more will be generated."""
        return self.cancelled or self.produced >= self.end

    def wait(self, seen: int) -> int:
        """Wait for more than `seen` tokens or the end; return how many."""
        while self.produced <= seen and not self.over:
            self.advanced.clear()
            self.advanced.wait()
        return self.produced


class Engine:
    """Steps all running jobs together; the rest wait first in, first out.

    Parameters
    ----------
    slots : int
        How many jobs run at once.
    step_seconds, step_seconds_per_request : float
        A step takes the first plus the second for each running job.
    tokens_per_step : int
        Tokens that each step generates for each running job.
    prefill_seconds_per_token : float
        Added to a step for each prompt token that the cache did not hold.
    cache_blocks : int
        How many blocks of 64 characters the prefix cache holds.
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
        '_work',
        'started',
        'finished',
        'cancelled',
        'max_running',
        'max_waiting',
        'tokens',
        'prompt_tokens',
        'busy_slot_seconds',
        '_measured',
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
        self._work = event.Event()
        self.started = self.finished = self.cancelled = 0
        self.max_running = self.max_waiting = 0
        self.tokens = self.prompt_tokens = 0
        self.busy_slot_seconds = 0.0
        self._measured = time.monotonic()

    def submit(self, job: Job) -> None:
        """Take a job in; it starts when a slot is free."""
        self.waiting.append(job)
        self._admit()
        self.max_waiting = max(self.max_waiting, len(self.waiting))
        self._work.set()

    def cancel(self, job: Job) -> None:
        """End a job early and free its slot; harmless when it is over."""
        if job.over:
            return
        job.cancelled = True
        self.cancelled += 1
        self.measure()
        if job in self.running:
            self.running.remove(job)
        else:
            self.waiting.remove(job)
        job.advanced.set()
        self._admit()

    def measure(self) -> None:
        """Bring the busy slot seconds up to now."""
        now = time.monotonic()
        self.busy_slot_seconds += len(self.running) * (now - self._measured)
        self._measured = now

    def _admit(self) -> None:
        self.measure()
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            self.started += 1
            held = self.cache.match(job.prompt.text)
            job.cached_tokens = held and generation.count_tokens(
                job.prompt.text[:held]
            )
            job.prefill_tokens -= job.cached_tokens
            self.prompt_tokens += job.prompt_tokens
            self.running.append(job)
        self.max_running = max(self.max_running, len(self.running))

    def run(self) -> typing.NoReturn:
        """Step for ever; steps keep their pace though a wake-up is late."""
        due = time.monotonic()
        while True:
            if not self.running:
                self._work.clear()
                self._work.wait()
                due = time.monotonic()
            due += self._take_step()
            now = time.monotonic()
            due = max(due, now - _LONGEST_CATCH_UP_SECONDS)
            gevent.sleep(max(0.0, due - now))
            self._emit()

    def _take_step(self) -> float:
        budget = _PREFILL_TOKENS_PER_STEP
        for job in self.running:
            taken = min(budget, job.prefill_tokens)
            job.prefill_tokens -= taken
            budget -= taken
        prefilled = _PREFILL_TOKENS_PER_STEP - budget
        return (
            self._step_seconds
            + self._step_seconds_per_request * len(self.running)
            + self._prefill_seconds_per_token * prefilled
        )

    def _emit(self) -> None:
        self.measure()
        unfinished = []
        for job in self.running:
            if not job.prefill_tokens:
                before = job.produced
                job.produced = min(before + self._tokens_per_step, job.end)
                self.tokens += job.produced - before
                job.advanced.set()
            if job.over:
                self.finished += 1
            else:
                unfinished.append(job)
        self.running = unfinished
        self._admit()
