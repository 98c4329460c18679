"""Averages: how long the prompts of each route usually are."""

import collections

# Prompts that a mean goes back over, about.
_SAMPLES = 100
# Prompts without which a mean says little of what is usual.
_FEW_SAMPLES = 10
# Routes whose means are kept: those that were noted last.
_MOST_ROUTES = 2000


class _Mean:
    """A running mean of the latest samples."""

    __slots__ = ('count', 'value')

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Take one sample."""
        self.count = min(self.count + 1, _SAMPLES)
        self.value += (sample - self.value) / self.count


class PromptAverages:
    """The mean tokens that a route's prompts have of their own to be read."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: collections.OrderedDict[str, _Mean] = (
            collections.OrderedDict()
        )

    def note(self, route: str, tokens: float) -> None:
        """Take one prompt's tokens."""
        mean = self._means.get(route)
        if mean is None:
            mean = self._means[route] = _Mean()
            if len(self._means) > _MOST_ROUTES:
                self._means.popitem(last=False)
        self._means.move_to_end(route)
        mean.add(tokens)

    def read(self, route: str) -> float:
        """Return a route's mean; 0 before its first prompt."""
        mean = self._means.get(route)
        return mean.value if mean else 0.0

    def is_settled(self, route: str) -> bool:
        """Return whether a route's mean rests on more than a few prompts."""
        mean = self._means.get(route)
        return mean is not None and mean.count >= _FEW_SAMPLES
