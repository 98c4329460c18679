"""Estimates an engine's backlog of prompt tokens without querying the engine.

Engines admit requests in the order of arrival and process their prompts one
after the other (prefill). The backlog follows from the requests that were sent
to the engine and the last of them that produced its first event: it consists
of the prompts that were sent after that request. Querying the engine would
cost a request, and the values that it reports are some hundred milliseconds
old.
"""

import collections
import typing

from amaranthslip.capacity import first_events
from amaranthslip.capacity import slowdowns

# Assumed prefill rate of an engine in tokens a second, until responses have
# been observed. It matters in the first seconds only: each response corrects
# the estimate.
INITIAL_RATE = 25000.0
# Bounds of the estimated rate: a stalled engine must not drive the estimate to
# zero for good, and a cache hit must not drive it towards infinity.
_MIN_RATE = 2000.0
_MAX_RATE = 200000.0
# Weight of one sample in the moving average of the rate: the estimate follows
# a change within about ten responses.
_RATE_GAIN = 0.1
# Least number of tokens, backlog and own prompt together, of a rate sample:
# with fewer tokens, step and network time dominate the wait.
_MIN_SAMPLE_TOKENS = 4000.0
# Seconds from the end of prefill to the arrival of the first event at this
# instance: one engine step, and the network time in both directions.
FIRST_EVENT_OVERHEAD_SECONDS = 0.03
# Weight of one sample in the estimate of the delay per running request.
_CONGESTION_GAIN = 0.05
# Upper bound, in seconds, of the delay that one running request adds to the
# first event of the next request.
_MAX_CONGESTION_SECONDS = 0.03
# Least divisor when a delay is attributed to the running requests: with fewer
# running requests a sample says little about the delay of each.
_MIN_RUNNING = 4
# Upper bound, in seconds, of the error of one sample: a first event that is
# later than that was delayed by another cause.
_MAX_ERROR_SECONDS = 0.5
# Where the capacity of servers is learnt: initial value and upper bound of the
# learnt overhead in seconds; minimum prompt tokens, and minimum part of the
# expected time that is spent on them, of an answer that confirms a reported
# slowdown.
_INITIAL_OVERHEAD_SECONDS = 0.02
_MAX_OVERHEAD_SECONDS = 0.1
_MIN_CONFIRMING_TOKENS = 500.0
_MIN_CONFIRMING_PART = 0.4
# Maximum number of prompt parts in the estimate of one engine's cache. Callers
# choose how many parts a prompt has, so that all entries of an instance are
# limited too; each takes about 150 bytes.
MAX_CACHE_ENTRIES = 4000
_MAX_TOTAL_CACHE_ENTRIES = 65536
_MIN_CACHE_ENTRIES = 32


def limit_cache_entries(engine_count: int) -> int:
    """Return the maximum number of entries for each of so many engines."""
    limit = _MAX_TOTAL_CACHE_ENTRIES // max(1, engine_count)
    return min(max(limit, _MIN_CACHE_ENTRIES), MAX_CACHE_ENTRIES)


class Mark:
    """Position of one request in the prefill queue of an engine.

    Attributes
    ----------
    tokens : float
        Prompt tokens of the request that the engine has to process.
    end : float
        Value of `PrefillQueue.total` after the request was added.
    sent : float
        Time in seconds at which the request was sent.
    ahead : float
        Backlog in tokens at that time, without the request.
    running : int
        Other requests in progress on the engine at that time.
    other : float
        Expected seconds of waiting for reasons other than prefill.
    uncertain : float
        Prompt tokens of the request, of those that others share, that the
        engine may or may not have to process; partly counted in `tokens`.
    due : float
        Time in seconds at which its first event was expected when it was sent.
    """

    __slots__ = (
        'tokens',
        'end',
        'sent',
        'ahead',
        'running',
        'other',
        'uncertain',
        'due',
    )

    def __init__(
        self,
        *,
        tokens: float,
        end: float,
        sent: float,
        ahead: float,
        running: int,
        other: float,
        due: float,
        uncertain: float = 0.0,
    ) -> None:
        self.uncertain = uncertain
        self.due = due
        self.tokens = tokens
        self.end = end
        self.sent = sent
        self.ahead = ahead
        self.running = running
        self.other = other


class PrefillQueue:
    """Prompt tokens sent to one engine, and an estimate of those processed.

    `total` counts the tokens sent and not withdrawn. The estimate of the
    tokens processed grows with time at `rate`, the estimated prefill rate in
    tokens a second, and is set to the end position of a request when its first
    event arrives.

    `congestion` is the delay in seconds that each running request adds to the
    first event of the next request: a running request occupies memory that
    the next prompt waits for, and makes each step longer. The value is
    estimated from responses, since engines differ in both effects.

    Where the capacity of servers is learnt (`adapt`), `rate` and `congestion`
    are those of the machine in its mean state, `current_rate` is the rate in
    its present state, and prompts of every size correct them.
    """

    __slots__ = (
        'total',
        'rate',
        'congestion',
        'overhead',
        '_first_events',
        '_slowdown',
        '_processed',
        '_updated_at',
        '_last_processed_end',
        '_unstarted',
    )

    def __init__(self, *, now: float, rate: float = INITIAL_RATE) -> None:
        self.total = 0.0
        self.rate = rate
        self.congestion = 0.0
        self.overhead = FIRST_EVENT_OVERHEAD_SECONDS
        # Both are None unless the capacity of the server is learnt.
        self._first_events: first_events.FirstEventFilter | None = None
        self._slowdown: slowdowns.Slowdown | None = None
        self._processed = 0.0
        self._updated_at = now
        self._last_processed_end = 0.0
        # Requests without a first event yet, in the order they were sent.
        self._unstarted: collections.OrderedDict[int, Mark] = (
            collections.OrderedDict()
        )

    def adapt(self, slowdown: slowdowns.Slowdown) -> None:
        """Learn from prompts of all sizes, and heed reported slowdowns."""
        if self._first_events is None:
            self._first_events = first_events.FirstEventFilter()
            self._slowdown = slowdown
            self.overhead = _INITIAL_OVERHEAD_SECONDS

    @property
    def current_rate(self) -> float:
        """Tokens a second when the queue was last used."""
        return self.rate / self._read_slowdown(self._updated_at)

    def read_backlog(self, now: float) -> float:
        """Return the backlog in tokens ahead of a request sent now."""
        self._advance(now)
        return self.total - self._processed

    def expect(self, tokens: float, now: float, running: int) -> float:
        """Return the expected seconds until the first event of a request.

        What the engine is behind with adds to what its estimates predict.

        Parameters
        ----------
        tokens : float
            Prompt tokens of the request that the engine has to process.
        running : int
            Other requests in progress on the engine.
        """
        return self._predict(tokens, now, running) + self.read_delay(now)

    def read_delay(self, now: float) -> float:
        """Return how overdue the oldest first event is, in seconds.

        An engine starts requests in order: while that event is overdue, all
        others are late too, whatever the estimated rate. A request after which
        a later one has started is late for another reason.
        """
        for mark in self._unstarted.values():
            if mark.end > self._last_processed_end:
                return max(0.0, now - mark.due)
        return 0.0

    def add(
        self,
        tokens: float,
        now: float,
        *,
        running: int = 0,
        other: float = 0.0,
        uncertain: float = 0.0,
    ) -> Mark:
        """Add one request; its mark is passed to `start` or `drop` later."""
        due = now + other + self._predict(tokens, now, running)
        ahead = self.read_backlog(now)
        self.total += tokens
        mark = Mark(
            tokens=tokens,
            end=self.total,
            sent=now,
            ahead=ahead,
            running=running,
            other=other,
            uncertain=uncertain,
            due=due,
        )
        self._unstarted[id(mark)] = mark
        return mark

    def correct(self, backlog: float, now: float) -> None:
        """Set the backlog to the value from the instance that tracks it."""
        self._advance(now)
        unknown = backlog - (self.total - self._processed)
        if unknown > 0:
            self.total += unknown
        else:
            self._processed = self.total - max(0.0, backlog)

    def start(self, mark: Mark, now: float) -> None:
        """Handle the first event of a request.

        The engine has then processed all prompts up to this request.
        """
        if self._unstarted.pop(id(mark), None) is None:
            return
        self._advance(now)
        self._update_estimates(mark, now)
        if mark.end < self._last_processed_end:
            return
        self._last_processed_end = mark.end
        self._processed = min(self.total, mark.end)

    def drop(self, mark: Mark, now: float) -> None:
        """Remove a request that ended before its first event.

        The requests that were sent after it move up.
        """
        if self._unstarted.pop(id(mark), None) is None:
            return
        self._advance(now)
        if self._processed > mark.end - mark.tokens:
            # Its prompt counted as processed, at least in part.
            self._processed = max(
                mark.end - mark.tokens, self._processed - mark.tokens
            )
        if self._last_processed_end >= mark.end:
            self._last_processed_end -= mark.tokens
        self.total -= mark.tokens
        for later in reversed(self._unstarted.values()):
            if later.end < mark.end:
                return
            later.end -= mark.tokens
            later.ahead = max(0.0, later.ahead - mark.tokens)

    def _predict(self, tokens: float, now: float, running: int) -> float:
        slowdown = self._read_slowdown(now)
        reading = (self.read_backlog(now) + tokens) / self.rate
        return (reading + self.congestion * running) * slowdown + self.overhead

    def _advance(self, now: float) -> None:
        rate = self.rate / self._read_slowdown(now)
        done = self._processed + rate * max(0.0, now - self._updated_at)
        self._updated_at = now
        if self._unstarted:
            # While the oldest request still waits for its first event, the
            # engine can't have processed more than that request's prompt,
            # even if the estimated rate predicts more.
            oldest = next(iter(self._unstarted.values()))
            done = min(done, max(self._processed, oldest.end))
        self._processed = min(self.total, done)

    def _read_slowdown(self, now: float) -> float:
        return 1.0 if self._slowdown is None else self._slowdown.read(now)

    def _update_estimates(self, mark: Mark, now: float) -> None:
        if self._first_events is not None:
            self._learn(mark, now)
            return
        tokens = mark.ahead + mark.tokens
        seconds = now - mark.sent - FIRST_EVENT_OVERHEAD_SECONDS - mark.other
        self._update_congestion(mark, seconds - tokens / self.rate)
        seconds -= self.congestion * mark.running
        if tokens < _MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        # Clamping the sample limits the change by one outlier to a fifth.
        sample = min(max(tokens / seconds, self.rate / 3), self.rate * 3)
        self.rate += _RATE_GAIN * (sample - self.rate)
        self.rate = min(max(self.rate, _MIN_RATE), _MAX_RATE)

    def _learn(self, mark: Mark, now: float) -> None:
        """Update the estimates where the capacity of servers is learnt."""
        tokens = mark.ahead + mark.tokens
        seconds = max(0.0, now - mark.sent - mark.other)
        reading = tokens / self.rate
        expected = self.overhead + reading + self.congestion * mark.running
        if tokens >= _MIN_CONFIRMING_TOKENS and (
            reading >= _MIN_CONFIRMING_PART * expected
        ):
            measured = max(seconds - (expected - reading), 0.1 * seconds)
            self._slowdown.confirm(measured * _MIN_RATE / tokens, mark.sent)
        slowdown = self._slowdown.read_since(mark.sent)
        overhead, token_seconds, congestion = self._first_events.update(
            (self.overhead, 1.0 / self.rate, self.congestion),
            tokens=tokens * slowdown,
            uncertain=mark.uncertain * slowdown,
            running=mark.running * slowdown,
            seconds=seconds,
        )
        self.overhead = min(max(overhead, 0.0), _MAX_OVERHEAD_SECONDS)
        token_seconds = max(token_seconds, 1.0 / _MAX_RATE)
        self.rate = max(1.0 / token_seconds, _MIN_RATE)
        self.congestion = min(max(congestion, 0.0), _MAX_CONGESTION_SECONDS)

    def _update_congestion(self, mark: Mark, seconds: float) -> None:
        """Update the congestion from the delay that prefill does not cause."""
        error = seconds - self.congestion * mark.running
        error = min(max(error, -_MAX_ERROR_SECONDS), _MAX_ERROR_SECONDS)
        running = max(mark.running, _MIN_RUNNING)
        congestion = self.congestion + _CONGESTION_GAIN * error / running
        self.congestion = min(max(congestion, 0.0), _MAX_CONGESTION_SECONDS)


class CachedPrompts:
    """Estimates which prompt parts are in an engine's prefix cache.

    An engine evicts the least recently used part once it has processed as many
    tokens since the last use of the part as its memory holds.
    `PrefillQueue.total` counts these tokens for all instances.

    Parameters
    ----------
    read_limit : callable
        Returns the maximum number of entries, which may change.
    """

    __slots__ = ('_last_used', '_read_limit')

    def __init__(
        self, read_limit: typing.Callable[[], int] = lambda: MAX_CACHE_ENTRIES
    ) -> None:
        self._last_used: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._read_limit = read_limit

    def note(self, prefix_keys: typing.Iterable[int], total: float) -> None:
        """Record that a prompt with these parts was sent at this total."""
        limit = self._read_limit()
        for key in prefix_keys:
            self._last_used[key] = total
            self._last_used.move_to_end(key)
            if len(self._last_used) > limit:
                self._last_used.popitem(last=False)
        while len(self._last_used) > limit:
            self._last_used.popitem(last=False)

    def count_parts(
        self, prefix_keys: typing.Iterable[int], total: float, room: float
    ) -> int:
        """Return how many leading parts are probably cached.

        Parameters
        ----------
        prefix_keys : iterable of int
            `Prompt.prefix_keys`.
        total : float
            The engine's `PrefillQueue.total` now.
        room : float
            Tokens that the engine may have processed since the last use of a
            part without evicting it.
        """
        count = 0
        for key in prefix_keys:
            noted = self._last_used.get(key)
            if noted is None or total - noted > room:
                break
            count += 1
        return count

    def clear(self) -> None:
        """Remove all entries, since a restarted engine has an empty cache."""
        self._last_used.clear()
