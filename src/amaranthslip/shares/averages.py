"""Averages: the mean prompt size of each route."""

import collections

# Approximate number of latest prompts that a mean covers.
_MAX_SAMPLES = 100
# Minimum number of prompts for a reliable mean.
_MIN_SAMPLES = 10
# Maximum number of routes with a mean; the least recently updated is dropped.
_MAX_ROUTES = 2000


class _RunningMean:
    """A running mean of the latest samples."""

    __slots__ = ('count', 'value')

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Add one sample."""
        self.count = min(self.count + 1, _MAX_SAMPLES)
        self.value += (sample - self.value) / self.count


class PromptAverages:
    """Mean number of unshared prompt tokens to read, by route."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: collections.OrderedDict[str, _RunningMean] = (
            collections.OrderedDict()
        )

    def record(self, route: str, tokens: float) -> None:
        """Add one prompt's tokens to its route's mean."""
        mean = self._means.get(route)
        if mean is None:
            mean = self._means[route] = _RunningMean()
            if len(self._means) > _MAX_ROUTES:
                self._means.popitem(last=False)
        self._means.move_to_end(route)
        mean.add(tokens)

    def read(self, route: str) -> float:
        """Return a route's mean in tokens; 0 before its first prompt."""
        mean = self._means.get(route)
        return mean.value if mean else 0.0

    def has_enough_samples(self, route: str) -> bool:
        """Return whether a route's mean covers enough prompts."""
        mean = self._means.get(route)
        return mean is not None and mean.count >= _MIN_SAMPLES
