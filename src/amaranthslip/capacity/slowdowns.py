"""How much slower than on average a server's machine is at this moment.

A server may report it with each answer. The report is used only as far as
response times confirm it: the effect is the reported ratio to the power of a
confidence from 0 to 1. That follows from the slope of the logarithm of response
times over the logarithm of the reports. A server's few answers are judged together with those
of the other servers of its service, its many answers alone.
"""

import collections
import math

# Weight of one report in the mean, once there are many: the state of a shared
# machine lasts about half a second, and the mean covers several of them.
_MEAN_GAIN = 0.01
# Seconds after which a report tells nothing more: the state of a shared
# machine changes every 600 ms, to the same one in most cases.
_REPORT_SECONDS = 1.0
# Maximum number of reports that are kept, for the mean over the time of one
# answer.
_MAX_REPORTS = 64
# Weight of one answer in the means of confirmation, and factor by which
# earlier answers count less with each one: a server that begins to report
# false values is found out within about 30 answers.
_CONFIRMATION_GAIN = 0.02
_CONFIRMATION_DECAY = 0.98
# The same for all servers of a service together.
_SHARED_DECAY = 0.998
# Variation of a server's reports from which on its own answers count more than
# those of the other servers, and likewise of all servers' reports for any
# confidence: one answer during which work takes 2.5 times as long has about
# 0.6. With 0.5, servers in virtual time were trusted for 0.3 to 0.9.
_MIN_VARIATION = 0.2
# Slopes at which the confidence is 0 and 1. Reports come with answers only, so
# that they miss changes within an answer, and the slope of true reports is 0.6
# to 0.9; that of random reports is within 0.1 of 0.
_MIN_SLOPE = 0.2
_FULL_SLOPE = 0.6
# Bounds of a report.
_MIN_SLOWDOWN = 0.05
_MAX_SLOWDOWN = 50.0


class Confirmations:
    """How far the reports of all servers of a service are confirmed."""

    __slots__ = ('_variation', '_covariation')

    def __init__(self) -> None:
        self._variation = 0.0
        self._covariation = 0.0

    def add(self, variation: float, covariation: float) -> None:
        """Add the squared deviation of a report, and that times the time's."""
        self._variation *= _SHARED_DECAY
        self._covariation *= _SHARED_DECAY
        self._variation += variation
        self._covariation += covariation

    def read_slope(self) -> float:
        """Return the slope, bounded to 0 to 1."""
        slope = self._covariation / (self._variation + _MIN_VARIATION)
        return min(max(slope, 0.0), 1.0)


class Slowdown:
    """A server's reported slowdown, relative to its own mean.

    Parameters
    ----------
    shared : Confirmations or None
        Those of the server's service.

    Attributes
    ----------
    confidence : float
        How far response times confirm the reports, 0 to 1.
    """

    __slots__ = (
        'confidence',
        '_count',
        '_mean',
        '_reports',
        '_confirmation',
        '_adopted',
        '_adopted_at',
    )

    def __init__(self, shared: Confirmations | None = None) -> None:
        self.confidence = 0.0
        self._count = 0
        # Logarithms of the mean, and of the latest reports with their times.
        self._mean = 0.0
        self._reports: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_REPORTS)
        )
        self._confirmation = _Regression(shared or Confirmations())
        self._adopted = 0.0
        self._adopted_at = float('-inf')

    def note(self, slowdown: float, now: float) -> None:
        """Record a report: 1 is a machine as usual, 2 twice as slow."""
        reported = _limit_log(slowdown)
        self._reports.append((now, reported))
        self._count += 1
        gain = max(_MEAN_GAIN, 1.0 / self._count)
        self._mean += gain * (reported - self._mean)

    def adopt(self, factor: float, now: float) -> None:
        """Use the factor that the server's keeper reads now.

        The keeper sees many more of the server's answers.
        """
        self._adopted = _limit_log(factor)
        self._adopted_at = now

    def confirm(self, ratio: float, since: float) -> None:
        """Compare a response time with the reports since a time.

        Parameters
        ----------
        ratio : float
            The response time relative to one that does not depend on reports.
        since : float
            Monotonic time in seconds at which the request was sent.
        """
        if not self._reports or ratio <= 0:
            return
        self._confirmation.add(self._average(since), _limit_log(ratio))
        slope = self._confirmation.read_slope()
        confidence = (slope - _MIN_SLOPE) / (_FULL_SLOPE - _MIN_SLOPE)
        self.confidence = min(max(confidence, 0.0), 1.0)

    def read(self, now: float) -> float:
        """Return the factor by which work takes longer than on average.

        It returns to 1 as the latest report ages.
        """
        known_at, effect = self._adopted_at, self._adopted
        if self._reports and self.confidence:
            reported_at, reported = self._reports[-1]
            if reported_at >= known_at:
                known_at = reported_at
                effect = self.confidence * (reported - self._mean)
        freshness = 1.0 - (now - known_at) / _REPORT_SECONDS
        if freshness <= 0 or not effect:
            return 1.0
        return math.exp(min(1.0, freshness) * effect)

    def read_since(self, since: float) -> float:
        """Return the mean factor since a time."""
        if not self.confidence or not self._reports:
            return 1.0
        return math.exp(self.confidence * (self._average(since) - self._mean))

    def _average(self, since: float) -> float:
        """Return the mean of the reports since a time and the one before."""
        total, count = 0.0, 0
        for at, reported in reversed(self._reports):
            total += reported
            count += 1
            if at < since:
                break
        return total / count


class _Regression:
    """The slope of times over reports; earlier answers count less."""

    __slots__ = (
        '_shared',
        '_count',
        '_mean_x',
        '_mean_y',
        '_variation',
        '_covariation',
    )

    def __init__(self, shared: Confirmations) -> None:
        self._shared = shared
        self._count = 0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._variation = 0.0
        self._covariation = 0.0

    def add(self, x: float, y: float) -> None:
        """Add a pair of values."""
        self._count += 1
        gain = max(_CONFIRMATION_GAIN, 1.0 / self._count)
        before = x - self._mean_x
        self._mean_x += gain * before
        self._mean_y += gain * (y - self._mean_y)
        self._variation *= _CONFIRMATION_DECAY
        self._covariation *= _CONFIRMATION_DECAY
        variation = before * (x - self._mean_x)
        covariation = before * (y - self._mean_y)
        self._variation += variation
        self._covariation += covariation
        self._shared.add(variation, covariation)

    def read_slope(self) -> float:
        """Return the slope, bounded to 0 to 1."""
        slope = self._covariation + _MIN_VARIATION * self._shared.read_slope()
        slope /= self._variation + _MIN_VARIATION
        return min(max(slope, 0.0), 1.0)


def _limit_log(value: float) -> float:
    return math.log(min(max(value, _MIN_SLOWDOWN), _MAX_SLOWDOWN))
