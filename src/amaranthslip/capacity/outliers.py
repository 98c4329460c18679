"""Outliers: backend servers that fail more requests than the others.

A server's health check may be good while its answers fail, so only answers
count, those that other instances got among them.
"""

import collections
import logging
import time
import typing

_LOG = logging.getLogger(__name__)

# Seconds that counts are kept, in so many buckets. At 2 answers a second of
# one server, all instances together, ten answers judge it.
_WINDOW_SECONDS = 5.0
_BUCKETS = 10
# A server is out if it failed this many requests in the window, and this
# much more often than its service's other servers: where all fail, as in a
# bad release, ejecting would only take capacity.
_LEAST_FAILURES = 3
_EXCESS_RATIO = 0.25
# Or if it failed so many in a row, whoever sent them, while the others were
# fine: one that went dark has a window full of successes behind it.
_STREAK = 4
# So many failures to connect in a row: nothing listens, or it is cut off.
_CONNECT_FAILURES = 2
# Seconds out: doubled each time up to the most. Half open afterwards: one
# request at a time, until two succeeded.
_FIRST_SECONDS = 1.0
_MOST_SECONDS = 8.0
_PROBES = 2
_PROBE_SECONDS = 1.0
# Of a service, at most this fraction is out.
_MOST_FRACTION = 0.5


class _Record:
    """One server's counts and state."""

    __slots__ = (
        'service',
        'buckets',
        'unreachable',
        'streak',
        'ejections',
        'until',
        'probes',
        'probing_since',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        # Bucket number, successes, failures.
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=_BUCKETS
        )
        self.unreachable = 0
        self.streak = 0
        self.ejections = 0
        # None: admitted; else the end of the ejection.
        self.until: float | None = None
        self.probes = 0
        self.probing_since = float('-inf')


class Outliers:
    """Says which backend servers get no requests for a while.

    Parameters
    ----------
    metrics : object
        `count(name, label)`; gets `ejections` by reason.
    clock : callable
        Seconds that only grow.
    """

    __slots__ = ('_metrics', '_clock', '_records')

    def __init__(
        self,
        metrics: typing.Any,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def forget(self, server: str) -> None:
        """Forget a server that is gone or has restarted."""
        self._records.pop(server, None)

    def admits(self, server: str) -> bool:
        """Return whether a server may get a request now."""
        record = self._records.get(server)
        if record is None or record.until is None:
            return True
        now = self._clock()
        return (
            now >= record.until
            and now - record.probing_since >= _PROBE_SECONDS
        )

    def begin(self, server: str) -> None:
        """Take note that a request goes there: a probe, if it was out."""
        record = self._records.get(server)
        if record is not None and record.until is not None:
            record.probing_since = self._clock()

    def note_success(self, server: str, service: str) -> None:
        """Count an answer that was good."""
        record = self._find(server, service)
        record.unreachable = 0
        record.streak = 0
        self._bucket(record)[1] += 1
        if record.until is None:
            return
        record.probing_since = float('-inf')
        record.probes += 1
        if record.probes >= _PROBES and self._clock() >= record.until:
            record.until = None
            record.buckets.clear()
            self._metrics.count('ejections', 'probe_succeeded')
            _LOG.info('backend_server_admitted', extra={'server': server})

    def note_failure(
        self,
        server: str,
        service: str,
        *,
        connected: bool = True,
    ) -> float:
        """Count a request that failed there.

        Parameters
        ----------
        connected : bool
            Whether there was a connection at all.

        Returns
        -------
        float
            Seconds for which the server is out from now on, because of
            this one; 0: it is in, or was out already.
        """
        record = self._find(server, service)
        self._bucket(record)[2] += 1
        record.streak += 1
        if not connected:
            record.unreachable += 1
        now = self._clock()
        if record.until is not None:
            if now >= record.until:
                return self._eject(server, record, 'probe_failed')
            return 0.0
        if record.unreachable >= _CONNECT_FAILURES:
            return self._eject(server, record, 'unreachable')
        if self._stands_out(server, record):
            return self._eject(server, record, 'failures')
        return 0.0

    def hear(
        self, server: str, service: str, *, seconds: float = _FIRST_SECONDS
    ) -> None:
        """Take it from another instance that a server is out."""
        record = self._find(server, service)
        until = self._clock() + seconds
        if record.until is None or record.until < until:
            record.until = until
            record.probes = 0
            record.probing_since = float('-inf')
            self._metrics.count('ejections', 'heard')

    def _find(self, server: str, service: str) -> _Record:
        record = self._records.get(server)
        if record is None:
            record = self._records[server] = _Record(service)
        return record

    def _bucket(self, record: _Record) -> list[float]:
        number = int(self._clock() * _BUCKETS / _WINDOW_SECONDS)
        if not record.buckets or record.buckets[-1][0] != number:
            record.buckets.append([number, 0.0, 0.0])
        return record.buckets[-1]

    def _sum(self, record: _Record) -> tuple[float, float]:
        oldest = int(self._clock() * _BUCKETS / _WINDOW_SECONDS) - _BUCKETS
        good = bad = 0.0
        for number, succeeded, failed in record.buckets:
            if number > oldest:
                good += succeeded
                bad += failed
        return good, bad

    def _stands_out(self, server: str, record: _Record) -> bool:
        good, bad = self._sum(record)
        if bad < _LEAST_FAILURES:
            return False
        others_good = others_bad = 0.0
        for name, other in self._records.items():
            if other.service == record.service and name != server:
                succeeded, failed = self._sum(other)
                others_good += succeeded
                others_bad += failed
        usual = others_bad / max(1.0, others_good + others_bad)
        if record.streak >= _STREAK and usual < _EXCESS_RATIO:
            return True
        return bad / (good + bad) >= usual + _EXCESS_RATIO

    def _eject(self, server: str, record: _Record, reason: str) -> float:
        peers = [
            each
            for each in self._records.values()
            if each.service == record.service
        ]
        out = sum(each.until is not None for each in peers)
        if record.until is None and out + 1 > _MOST_FRACTION * len(peers):
            self._metrics.count('ejections', 'denied_fraction')
            return 0.0
        seconds = min(_FIRST_SECONDS * 2**record.ejections, _MOST_SECONDS)
        record.until = self._clock() + seconds
        record.ejections += 1
        record.probes = 0
        record.unreachable = 0
        record.streak = 0
        record.probing_since = float('-inf')
        self._metrics.count('ejections', reason)
        _LOG.warning(
            'backend_server_ejected',
            extra={'server': server, 'reason': reason, 'seconds': seconds},
        )
        return seconds
