"""How a server's response times depend on the requests that run there.

Response times are taken relative to the usual time of such requests. They are
constant up to a number of requests, the knee, and grow linearly from there.
The line that fits recent answers best gives the expected time, and the limit:
the concurrency from which on one more request adds little throughput.
"""

import math

# Seconds in which the weight of an answer falls to a third, and the maximum
# fraction that one further answer takes from it: at few answers a second, the
# estimate still rests on about ten.
_MEMORY_SECONDS = 1.0
_MAX_DECAY = 0.1
# Maximum number of concurrencies that are told apart.
_MAX_BINS = 32
# Bounds of a relative time, and the factor by which it may differ from the
# expected one: an outlier changes the estimate by a tenth.
_MIN_RATIO = 0.02
_MAX_RATIO = 50.0
_MAX_ERROR_FACTOR = 3.0
# Weight in the fit of the time on an idle server, which is remembered while
# all answers come from a busy one. Without it, a server that is busy and slow
# would not show whether it is slow because it is busy.
_IDLE_WEIGHT = 1.0
_IDLE_GAIN = 0.1
# Requests in progress up to which an answer tells the time on an idle server.
_MAX_IDLE_RUNNING = 2
# Least ratio of a slope to its standard error, and relative standard deviation
# that single answers have at least.
_MIN_SIGNIFICANCE = 3.0
_MIN_DEVIATION = 0.1
# Recent answers from which on a slope is used.
_MIN_ANSWERS = 6.0
# Throughput that one more request has to add, relative to that of one request
# on an idle server.
_MIN_GAIN = 0.25
# Mean of the latest logarithmic errors beyond which earlier answers count
# less, since the server has changed, and weight of one error in that mean:
# times that vary by a third reach it once in a thousand answers.
_MAX_SURPRISE = 0.4
_SURPRISE_GAIN = 0.2
_SURPRISE_DECAY = 0.1


class Line:
    """A fitted line: `base` up to `knee` requests, growing by `slope` each.

    `slope` is relative to `base`; 0 if no growth is significant.
    """

    __slots__ = ('base', 'knee', 'slope')

    def __init__(self, base: float, knee: float, slope: float) -> None:
        self.base = base
        self.knee = knee
        self.slope = slope

    def expect(self, running: float) -> float:
        """Return the relative time with so many requests in progress."""
        return self.base * (1.0 + self.slope * max(0.0, running - self.knee))

    def find_limit(self, slots: int) -> int:
        """Return the concurrency from which on more adds little throughput."""
        throughput = 0.0
        for running in range(1, slots + 1):
            following = running * self.base / self.expect(running)
            if following - throughput < _MIN_GAIN:
                return max(1, running - 1)
            throughput = following
        return slots


class ConcurrencyCurve:
    """Recent relative response times of one server, by concurrency.

    Parameters
    ----------
    slots : int
        The largest concurrency.
    """

    __slots__ = (
        'line',
        'surprised',
        'known',
        '_width',
        '_weights',
        '_sums',
        '_squares',
        '_idle',
        '_idle_count',
        '_surprise',
        '_count',
        '_updated_at',
    )

    def __init__(self, slots: int) -> None:
        self.line = Line(1.0, slots, 0.0)
        # Whether the latest answer showed that the server has changed.
        self.surprised = False
        # Whether any answer was recorded here or elsewhere.
        self.known = False
        self._width = max(1, math.ceil(slots / _MAX_BINS))
        bins = math.ceil(slots / self._width) + 1
        self._weights = [0.0] * bins
        self._sums = [0.0] * bins
        self._squares = [0.0] * bins
        self._idle = 1.0
        self._idle_count = 1
        self._surprise = 0.0
        self._count = 0
        self._updated_at = float('-inf')

    def note(self, running: int, ratio: float, now: float) -> None:
        """Record an answer.

        Parameters
        ----------
        running : int
            Requests in progress when the request began, with it.
        ratio : float
            Its time relative to the usual time of such requests.
        now : float
            Monotonic time in seconds.
        """
        self.known = True
        ratio = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        index = min(math.ceil(running / self._width), len(self._weights) - 1)
        index = max(1, index)
        expected = self.line.expect(index * self._width)
        ratio = min(ratio, expected * _MAX_ERROR_FACTOR)
        ratio = max(ratio, expected / _MAX_ERROR_FACTOR)
        self._decay(self._choose_decay(math.log(ratio / expected), now))
        self._weights[index] += 1.0
        self._sums[index] += ratio
        self._squares[index] += ratio * ratio
        self._count += 1
        if running <= _MAX_IDLE_RUNNING:
            self._idle_count += 1
            gain = max(_IDLE_GAIN, 1.0 / self._idle_count)
            self._idle += gain * (ratio - self._idle)

    def adopt(self, base: float) -> None:
        """Start from a time relative to the usual that is known elsewhere."""
        self.known = True
        self._idle = base
        self.line = Line(base, self.line.knee, self.line.slope)

    def fit(self) -> Line:
        """Fit the line to the recent answers and return it."""
        weights, sums = self._weights[:], self._sums[:]
        total = sum(weights)
        mean = sum(sums) / total if total else 1.0
        squares = sum(self._squares)
        if self._idle < mean:
            weights[1] += _IDLE_WEIGHT
            sums[1] += _IDLE_WEIGHT * self._idle
            squares += _IDLE_WEIGHT * self._idle**2
            total += _IDLE_WEIGHT
            mean = sum(sums) / total
        spread = max(0.0, squares - total * mean * mean)
        self.line = Line(mean, len(weights) * self._width, 0.0)
        best = 0.0
        for knee in range(1, len(weights) - 1):
            x = sum(w * (n - knee) for n, w in _list_from(weights, knee))
            xx = sum(w * (n - knee) ** 2 for n, w in _list_from(weights, knee))
            xy = sum(s * (n - knee) for n, s in _list_from(sums, knee))
            variation = xx - x * x / total
            covariation = xy - x * mean
            if variation <= 1e-9 or covariation <= 0:
                continue
            explained = covariation**2 / variation
            if explained <= best:
                continue
            best = explained
            slope = covariation / variation
            base = mean - slope * x / total
            variance = (spread - explained) / max(1.0, total - 2.0)
            self._accept(base, knee, slope, explained, variance)
        return self.line

    def _accept(
        self,
        base: float,
        knee: int,
        slope: float,
        explained: float,
        variance: float,
    ) -> None:
        """Use a line if its slope is significant."""
        if base <= 0:
            return
        variance = max(variance, (_MIN_DEVIATION * base) ** 2)
        if sum(self._weights) < _MIN_ANSWERS:
            return
        if explained < _MIN_SIGNIFICANCE**2 * variance:
            return
        self.line = Line(base, knee * self._width, slope / base / self._width)

    def _choose_decay(self, error: float, now: float) -> float:
        """Return the factor by which the earlier answers count less."""
        self._surprise += _SURPRISE_GAIN * (error - self._surprise)
        self.surprised = abs(self._surprise) > _MAX_SURPRISE
        elapsed = now - self._updated_at
        self._updated_at = now
        if self.surprised:
            self._surprise = 0.0
            return _SURPRISE_DECAY
        return 1.0 - min(
            _MAX_DECAY, 1.0 - math.exp(-elapsed / _MEMORY_SECONDS)
        )

    def _decay(self, factor: float) -> None:
        for values in (self._weights, self._sums, self._squares):
            for index, value in enumerate(values):
                values[index] = value * factor


def _list_from(values: list[float], knee: int) -> list[tuple[int, float]]:
    return list(enumerate(values))[knee + 1 :]
