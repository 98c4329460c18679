"""Recent connections by the host that they come from."""

import collections
import time
import typing

# Connections are counted in two parts of this many seconds each, of which the
# older one is dropped as a whole.
_PART_SECONDS = 1.0
# Maximum number of hosts in one part; others count as one host.
_MAX_HOSTS = 4096
_OTHER_HOSTS = ''
# Fraction of the mean connections of a host below which a host is light.
_LIGHT_FRACTION = 0.5


class Arrivals:
    """Counts connections, to tell hosts with few from those with many.

    Who floods an instance should not take the room of its other callers, whose
    client accounts are not known before their requests are read.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_clock',
        '_began_at',
        '_current',
        '_previous',
        '_current_total',
        '_previous_total',
    )

    def __init__(
        self, *, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self._began_at = clock()
        self._current: collections.Counter[str] = collections.Counter()
        self._previous: collections.Counter[str] = collections.Counter()
        # Kept, as refusing a connection must not take longer with each host.
        self._current_total = self._previous_total = 0

    def note(self, host: str) -> None:
        """Count a connection from a host."""
        now = self._clock()
        if now - self._began_at >= _PART_SECONDS:
            recent = now - self._began_at < 2 * _PART_SECONDS
            self._previous = self._current if recent else collections.Counter()
            self._previous_total = self._current_total if recent else 0
            self._current, self._current_total = collections.Counter(), 0
            self._began_at = now
        if host not in self._current and len(self._current) >= _MAX_HOSTS:
            host = _OTHER_HOSTS
        self._current[host] += 1
        self._current_total += 1

    def is_light(self, host: str) -> bool:
        """Return whether a host brings far fewer connections than the mean."""
        counts = self._current, self._previous
        own = sum(each.get(host, each.get(_OTHER_HOSTS, 0)) for each in counts)
        total = self._current_total + self._previous_total
        hosts = max(map(len, counts))
        return own < _LIGHT_FRACTION * total / max(1, hosts)
