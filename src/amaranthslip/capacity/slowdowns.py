"""How much slower than usual a server's machine is at this moment.

A server may report it with each answer. The report is used only as far as
response times confirm it: the effect is the reported ratio to the power of a
confidence from 0 to 1, the slope of the logarithm of response times over the
logarithm of the reports.
"""

import math

# Weight of one report in the mean, once there are many: the state of a shared
# machine lasts about half a second, and the mean covers several of them.
_MEAN_GAIN = 0.01
# Seconds after which a report tells nothing more: the state of a shared
# machine changes every 600 ms.
_REPORT_SECONDS = 0.6
# Maximum age in seconds of the report that a response time confirms.
_MAX_CONFIRMED_AGE_SECONDS = 0.3
# Factor by which earlier confirmations count less with each answer: a server
# that begins to report false values is found out within about 30 answers.
_CONFIRMATION_DECAY = 0.97
# Variation of reports below which the confidence is low: one answer during
# which work takes 2.5 times as long has about 0.6.
_MIN_VARIATION = 0.5
# Bounds of a report and of the logarithm of one response time's error.
_MIN_SLOWDOWN = 0.05
_MAX_SLOWDOWN = 50.0
_MAX_LOG_ERROR = math.log(4.0)


class Slowdown:
    """A server's reported slowdown, relative to its own mean.

    Attributes
    ----------
    confidence : float
        How far response times confirm the reports, 0 to 1.
    """

    __slots__ = (
        'confidence',
        '_count',
        '_mean',
        '_last',
        '_last_at',
        '_variation',
        '_agreement',
        '_adopted',
        '_adopted_at',
    )

    def __init__(self) -> None:
        self.confidence = 0.0
        self._count = 0
        # Logarithms of the mean and of the last report.
        self._mean = 0.0
        self._last = 0.0
        self._last_at = float('-inf')
        self._variation = 0.0
        self._agreement = 0.0
        self._adopted = 0.0
        self._adopted_at = float('-inf')

    def note(self, slowdown: float, now: float) -> None:
        """Record a report: 1 is a machine as usual, 2 twice as slow."""
        slowdown = min(max(slowdown, _MIN_SLOWDOWN), _MAX_SLOWDOWN)
        self._last = math.log(slowdown)
        self._last_at = now
        self._count += 1
        gain = max(_MEAN_GAIN, 1.0 / self._count)
        self._mean += gain * (self._last - self._mean)

    def adopt(self, factor: float, now: float) -> None:
        """Use the factor that the server's keeper reads now.

        The keeper sees many more of the server's answers.
        """
        self._adopted = math.log(
            min(max(factor, _MIN_SLOWDOWN), _MAX_SLOWDOWN)
        )
        self._adopted_at = now

    def confirm(self, ratio: float, now: float) -> None:
        """Compare a response time with the latest report.

        Parameters
        ----------
        ratio : float
            The response time over that expected without any report.
        now : float
            Monotonic time in seconds.
        """
        if now - self._last_at > _MAX_CONFIRMED_AGE_SECONDS or ratio <= 0:
            return
        reported = self._last - self._mean
        error = min(max(math.log(ratio), -_MAX_LOG_ERROR), _MAX_LOG_ERROR)
        self._variation *= _CONFIRMATION_DECAY
        self._agreement *= _CONFIRMATION_DECAY
        self._variation += reported * reported
        self._agreement += reported * error
        confidence = self._agreement / (self._variation + _MIN_VARIATION)
        self.confidence = min(max(confidence, 0.0), 1.0)

    def read(self, now: float) -> float:
        """Return the factor by which work takes longer than on average.

        It returns to 1 as the latest report ages.
        """
        known_at, effect = self._adopted_at, self._adopted
        if self.confidence and self._last_at >= known_at:
            known_at = self._last_at
            effect = self.confidence * (self._last - self._mean)
        freshness = 1.0 - (now - known_at) / _REPORT_SECONDS
        if freshness <= 0:
            return 1.0
        return math.exp(min(1.0, freshness) * effect)
