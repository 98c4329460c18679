"""How many prompt tokens an engine has yet to read, without asking it.

Engines admit requests in the order of arrival and read their prompts one
after the other. Whoever knows all that was sent there, and which request gave
its first event last, knows what is left: what was sent after that one. Asking
the engine costs a probe, and its answer is some hundred milliseconds old.
"""

import collections
import typing

# Tokens a second of an engine that nothing is known of. Only the first
# seconds rest on it: each answer corrects it.
FIRST_RATE = 25000.0
# The learnt rate stays between these: a stalled engine must not be believed
# to read nothing for ever, nor a cache hit to read without end.
_LEAST_RATE = 2000.0
_MOST_RATE = 200000.0
# What a sample counts for, of one: some ten answers to follow a change.
_GAIN = 0.1
# Tokens: shorter waits are mostly steps and network, and tell no rate.
_SAMPLE_TOKENS = 4000.0
# Seconds from the end of reading to the first event here: a step of an
# engine, and the network both ways.
OVERHEAD_SECONDS = 0.03
# What a sample counts for in what a running request costs, of one.
_CONGESTION_GAIN = 0.05
# Seconds that one running request costs the next one's first event, at most.
_MOST_CONGESTION_SECONDS = 0.03
# Few running requests tell little of what one costs.
_FEW_RUNNING = 4
# Seconds by which one sample may be off, at most: a first event that is later
# was held up by something else.
_MOST_ERROR_SECONDS = 0.5


class Mark:
    """One request's place in an engine's queue.

    `running` are the requests that were in progress there besides, `other`
    the seconds that it was to wait for other reasons than reading.
    """

    __slots__ = ('tokens', 'end', 'sent', 'ahead', 'running', 'other')

    def __init__(
        self,
        *,
        tokens: float,
        end: float,
        sent: float,
        ahead: float,
        running: int,
        other: float,
    ) -> None:
        self.tokens = tokens
        self.end = end
        self.sent = sent
        self.ahead = ahead
        self.running = running
        self.other = other


class ReadingQueue:
    """The tokens that one engine was sent, and has read.

    `total` grows with each token sent, `done` with the time, at the learnt
    `rate` in tokens a second, and jumps to a request's end when its first
    event comes.

    `congestion` are the seconds by which each running request holds the next
    one's first event up: it takes memory that a prompt waits for, and makes
    the steps longer. It is learnt, as engines differ in both.
    """

    __slots__ = (
        'total',
        'rate',
        'congestion',
        '_done',
        '_at',
        '_last_end',
        '_open',
    )

    def __init__(self, *, now: float, rate: float = FIRST_RATE) -> None:
        self.total = 0.0
        self.rate = rate
        self.congestion = 0.0
        self._done = 0.0
        self._at = now
        self._last_end = 0.0
        # Own requests without a first event, in the order they were sent.
        self._open: collections.OrderedDict[int, Mark] = (
            collections.OrderedDict()
        )

    def read_backlog(self, now: float) -> float:
        """Return the tokens that a request sent now would wait for."""
        self._advance(now)
        return self.total - self._done

    def expect(self, tokens: float, now: float, running: int) -> float:
        """Return the seconds until a request's first event.

        Parameters
        ----------
        tokens : float
            That it has to read.
        running : int
            Requests in progress there besides.
        """
        reading = (self.read_backlog(now) + tokens) / self.rate
        return reading + self.congestion * running + OVERHEAD_SECONDS

    def add(
        self,
        tokens: float,
        now: float,
        *,
        running: int = 0,
        other: float = 0.0,
    ) -> Mark:
        """Count one own request; the mark tells of it later."""
        ahead = self.read_backlog(now)
        self.total += tokens
        mark = Mark(
            tokens=tokens,
            end=self.total,
            sent=now,
            ahead=ahead,
            running=running,
            other=other,
        )
        self._open[id(mark)] = mark
        return mark

    def correct(self, backlog: float, now: float) -> None:
        """Take what is left to read from whoever knows all that was sent."""
        self._advance(now)
        unknown = backlog - (self.total - self._done)
        if unknown > 0:
            self.total += unknown
        else:
            self._done = self.total - max(0.0, backlog)

    def start(self, mark: Mark, now: float) -> None:
        """Take it that a request's first event came: all before it is read."""
        if self._open.pop(id(mark), None) is None:
            return
        self._advance(now)
        self._learn(mark, now)
        if mark.end < self._last_end:
            return
        self._last_end = mark.end
        self._done = min(self.total, mark.end)

    def drop(self, mark: Mark, now: float) -> None:
        """Take it that a request ended before its first event."""
        if self._open.pop(id(mark), None) is None:
            return
        self._advance(now)
        self._done = min(self.total, self._done + mark.tokens)

    def _advance(self, now: float) -> None:
        done = self._done + self.rate * max(0.0, now - self._at)
        self._at = now
        if self._open:
            # The engine is slower than was thought as long as a request
            # waits whose turn should have come.
            oldest = next(iter(self._open.values()))
            done = min(done, max(self._done, oldest.end))
        self._done = min(self.total, done)

    def _learn(self, mark: Mark, now: float) -> None:
        tokens = mark.ahead + mark.tokens
        seconds = now - mark.sent - OVERHEAD_SECONDS - mark.other
        self._learn_congestion(mark, seconds - tokens / self.rate)
        seconds -= self.congestion * mark.running
        if tokens < _SAMPLE_TOKENS or seconds <= 0:
            return
        # One outlier moves it by a fifth at most.
        sample = min(max(tokens / seconds, self.rate / 3), self.rate * 3)
        self.rate += _GAIN * (sample - self.rate)
        self.rate = min(max(self.rate, _LEAST_RATE), _MOST_RATE)

    def _learn_congestion(self, mark: Mark, seconds: float) -> None:
        """Learn from the seconds that reading does not explain."""
        error = seconds - self.congestion * mark.running
        error = min(max(error, -_MOST_ERROR_SECONDS), _MOST_ERROR_SECONDS)
        running = max(mark.running, _FEW_RUNNING)
        congestion = self.congestion + _CONGESTION_GAIN * error / running
        self.congestion = min(max(congestion, 0.0), _MOST_CONGESTION_SECONDS)


class CachedPrompts:
    """Which parts of prompts an engine likely holds, by what was sent there.

    An engine forgets the least recently used part once as many tokens were
    read there since as its memory holds; `ReadingQueue.total` counts those,
    whoever sent them.
    """

    __slots__ = ('_noted',)

    # Entries kept: at 60 bytes each, half a megabyte for 70 engines.
    _MOST = 4000

    def __init__(self) -> None:
        self._noted: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note(self, chain: typing.Sequence[str], total: float) -> None:
        """Note that a prompt with these parts was sent, at this total."""
        for key in chain:
            self._noted[key] = total
            self._noted.move_to_end(key)
        while len(self._noted) > self._MOST:
            self._noted.popitem(last=False)

    def count_parts(
        self, chain: typing.Sequence[str], total: float, room: float
    ) -> int:
        """Return how many of the leading parts are likely held.

        Parameters
        ----------
        chain : sequence of str
            `Prompt.chain`.
        total : float
            The engine's `ReadingQueue.total` now.
        room : float
            Tokens that may have been read since a part's last use.
        """
        count = 0
        for key in chain:
            noted = self._noted.get(key)
            if noted is None or total - noted > room:
                break
            count += 1
        return count

    def clear(self) -> None:
        """Forget all, as an engine that restarts does."""
        self._noted.clear()
