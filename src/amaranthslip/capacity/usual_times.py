"""Usual times: how long a kind of request takes at the servers of a service.

A server's answers are compared with these, so that a server isn't taken for
slow because its requests are long.
"""

import collections

# Number of latest answers that a mean covers.
_MAX_SAMPLES = 200
# Multiple of the mean beyond which a time counts no further: a server that
# stalls must not make all others look fast.
_MAX_FACTOR = 4.0
# Number of answers from which on that bound applies.
_MIN_SAMPLES = 5
# Maximum number of kinds with a mean; the least recently updated is dropped.
_MAX_KINDS = 2000


class UsualTimes:
    """Mean seconds of complete answers, by service and kind of request."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        # Count and mean.
        self._means: collections.OrderedDict[
            tuple[str, str], tuple[int, float]
        ] = collections.OrderedDict()

    def record(self, service: str, kind: str, seconds: float) -> None:
        """Add the seconds of one answer to the mean of its kind."""
        count, mean = self._means.pop((service, kind), (0, 0.0))
        if count >= _MIN_SAMPLES:
            seconds = min(seconds, _MAX_FACTOR * mean)
        count = min(count + 1, _MAX_SAMPLES)
        mean += (seconds - mean) / count
        self._means[service, kind] = (count, mean)
        if len(self._means) > _MAX_KINDS:
            self._means.popitem(last=False)

    def read(self, service: str, kind: str) -> float:
        """Return the mean seconds of a kind; 0 before its first answer."""
        return self._means.get((service, kind), (0, 0.0))[1]
