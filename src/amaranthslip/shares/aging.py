"""Counts in a window whose weight falls evenly to 0 with their age.

If counts were dropped all at once, an account that had used up its share would
get a whole window's share at once when they are, and all others would wait.
"""

import collections

# Buckets of the window, whose counts have one age.
BUCKETS = 8
# Mean weight of the counts of a window, by age.
MEAN_WEIGHT = 0.5


class AgingCounts:
    """Several counts that age alike.

    Positions in time are given in buckets: seconds times `BUCKETS` divided by
    the length of the window in seconds.

    Parameters
    ----------
    size : int
        Number of counts.
    """

    __slots__ = ('_size', '_buckets')

    def __init__(self, size: int) -> None:
        self._size = size
        # Each with its number, and the counts.
        self._buckets: collections.deque[tuple[int, list[float]]] = (
            collections.deque(maxlen=BUCKETS + 1)
        )

    def add(self, position: float, index: int, amount: float) -> None:
        """Add an amount to one of the counts."""
        number = int(position)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, [0.0] * self._size))
        self._buckets[-1][1][index] += amount

    def sum(self, position: float) -> list[float]:
        """Return the weighted sum of each count; empty if there is none."""
        oldest = int(position) - BUCKETS
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        if not self._buckets:
            return []
        sums = [0.0] * self._size
        for number, counts in self._buckets:
            age = position - number - 0.5
            weight = min(1.0, 1.0 - age / BUCKETS)
            for index, count in enumerate(counts):
                sums[index] += weight * count
        return sums
