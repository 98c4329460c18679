"""Ejects backend servers that fail more requests than their peers.

A server may pass its health check and still fail requests, so servers are
judged by the responses to requests only. Responses that other instances
received are included.
"""

import collections
import logging
import time
import typing

_LOG = logging.getLogger(__name__)

# Length in seconds of the sliding window of successes and failures, and its
# number of buckets. A server that sends 2 responses a second to all instances
# together is judged by ten responses.
_WINDOW_SECONDS = 5.0
_BUCKETS = 10
# A server is ejected if at least this many of its requests in the window
# failed and its failure ratio exceeds that of the other servers of the service
# by this much. When all servers fail, as after a bad release, ejecting some of
# them would only reduce the capacity.
_MIN_FAILURES = 3
_EXCESS_FAILURE_RATIO = 0.25
# A server is also ejected after this many consecutive failures, from all
# instances together, while the failure ratio of its peers is low: for a server
# that stops answering, earlier successes in the window hide the failures.
_CONSECUTIVE_FAILURES = 4
# Failed connection attempts, with no success between, that eject a server:
# either nothing listens at its address or the network is partitioned.
_CONNECT_FAILURES = 2
# Duration in seconds of the first ejection; each further one lasts twice as
# long, up to the maximum. After the ejection a server is half open: it gets
# one request at a time until _PROBES_TO_ADMIT requests have succeeded. A probe
# that has no outcome yet blocks the next one for _PROBE_TIMEOUT_SECONDS.
_FIRST_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 8.0
_PROBES_TO_ADMIT = 2
_PROBE_TIMEOUT_SECONDS = 1.0
# Largest fraction of the servers of a service that may be ejected at once.
_MAX_EJECTED_FRACTION = 0.5


class _Record:
    """Request counts and ejection state of one server."""

    __slots__ = (
        'service',
        'buckets',
        'connect_failures',
        'consecutive_failures',
        'ejections',
        'ejected_until',
        'probe_successes',
        'probe_since',
        'probe_number',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        # Each bucket: its number, successes, failures.
        self.buckets: collections.deque[list[float]] = collections.deque(
            maxlen=_BUCKETS
        )
        self.connect_failures = 0
        self.consecutive_failures = 0
        self.ejections = 0
        # End of the ejection, or None while the server is admitted.
        self.ejected_until: float | None = None
        self.probe_successes = 0
        self.probe_since = float('-inf')
        self.probe_number = 0


class Outliers:
    """Decides which backend servers are temporarily excluded from requests.

    Parameters
    ----------
    metrics : object
        Has a method `count(name, label)`; counts `ejections` by reason.
    clock : callable
        Returns monotonic time in seconds.
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
        """Delete the record of a server that was removed or restarted."""
        self._records.pop(server, None)

    def admits(self, server: str) -> bool:
        """Return whether a server may get a request now."""
        record = self._records.get(server)
        if record is None or record.ejected_until is None:
            return True
        now = self._clock()
        return (
            now >= record.ejected_until
            and now - record.probe_since >= _PROBE_TIMEOUT_SECONDS
        )

    def note_request(self, server: str) -> int:
        """Record a request; the one that an ejected server may get probes it.

        Requests beyond it do not postpone the next probe.

        Returns
        -------
        int
            Number of the probe, for `release_probe`; 0 if it is none.
        """
        record = self._records.get(server)
        if record is None or record.ejected_until is None:
            return 0
        if not self.admits(server):
            return 0
        record.probe_since = self._clock()
        record.probe_number += 1
        return record.probe_number

    def release_probe(self, server: str, number: int) -> None:
        """Admit another probe in place of a request that has no outcome.

        Parameters
        ----------
        number : int
            What `note_request` returned; later probes are not released.
        """
        record = self._records.get(server)
        if number and record is not None and record.probe_number == number:
            record.probe_since = float('-inf')

    def note_success(self, server: str, service: str) -> None:
        """Count a successful response; enough probes readmit the server."""
        record = self._get_record(server, service)
        record.connect_failures = 0
        record.consecutive_failures = 0
        self._current_bucket(record)[1] += 1
        if record.ejected_until is None:
            return
        record.probe_since = float('-inf')
        record.probe_successes += 1
        if (
            record.probe_successes >= _PROBES_TO_ADMIT
            and self._clock() >= record.ejected_until
        ):
            record.ejected_until = None
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
        """Count a failed request, and eject the server if it is an outlier.

        Parameters
        ----------
        connected : bool
            Whether the connection to the server was established.

        Returns
        -------
        float
            Duration in seconds of the ejection that this failure caused, or
            0 if the server stays admitted or was ejected already.
        """
        record = self._get_record(server, service)
        self._current_bucket(record)[2] += 1
        record.consecutive_failures += 1
        if not connected:
            record.connect_failures += 1
        now = self._clock()
        if record.ejected_until is not None:
            if now >= record.ejected_until:
                return self._eject(server, record, 'probe_failed')
            return 0.0
        if record.connect_failures >= _CONNECT_FAILURES:
            return self._eject(server, record, 'unreachable')
        if self._is_outlier(server, record):
            return self._eject(server, record, 'failures')
        return 0.0

    def apply_remote_ejection(
        self,
        server: str,
        service: str,
        *,
        seconds: float = _FIRST_EJECTION_SECONDS,
    ) -> None:
        """Eject a server because another instance reported it as ejected."""
        record = self._get_record(server, service)
        until = self._clock() + seconds
        if record.ejected_until is None or record.ejected_until < until:
            record.ejected_until = until
            record.probe_successes = 0
            record.probe_since = float('-inf')
            self._metrics.count('ejections', 'heard')

    def _get_record(self, server: str, service: str) -> _Record:
        record = self._records.get(server)
        if record is None:
            record = self._records[server] = _Record(service)
        return record

    def _current_bucket(self, record: _Record) -> list[float]:
        number = int(self._clock() * _BUCKETS / _WINDOW_SECONDS)
        if not record.buckets or record.buckets[-1][0] != number:
            record.buckets.append([number, 0.0, 0.0])
        return record.buckets[-1]

    def _sum_buckets(self, record: _Record) -> tuple[float, float]:
        oldest = int(self._clock() * _BUCKETS / _WINDOW_SECONDS) - _BUCKETS
        successes = failures = 0.0
        for number, succeeded, failed in record.buckets:
            if number > oldest:
                successes += succeeded
                failures += failed
        return successes, failures

    def _is_outlier(self, server: str, record: _Record) -> bool:
        successes, failures = self._sum_buckets(record)
        if failures < _MIN_FAILURES:
            return False
        peer_successes = peer_failures = 0.0
        for name, other in self._records.items():
            if other.service == record.service and name != server:
                succeeded, failed = self._sum_buckets(other)
                peer_successes += succeeded
                peer_failures += failed
        peer_ratio = peer_failures / max(1.0, peer_successes + peer_failures)
        if (
            record.consecutive_failures >= _CONSECUTIVE_FAILURES
            and peer_ratio < _EXCESS_FAILURE_RATIO
        ):
            return True
        return (
            failures / (successes + failures)
            >= peer_ratio + _EXCESS_FAILURE_RATIO
        )

    def _eject(self, server: str, record: _Record, reason: str) -> float:
        peers = [
            each
            for each in self._records.values()
            if each.service == record.service
        ]
        ejected = sum(each.ejected_until is not None for each in peers)
        if (
            record.ejected_until is None
            and ejected + 1 > _MAX_EJECTED_FRACTION * len(peers)
        ):
            self._metrics.count('ejections', 'denied_fraction')
            return 0.0
        seconds = min(
            _FIRST_EJECTION_SECONDS * 2**record.ejections,
            _MAX_EJECTION_SECONDS,
        )
        record.ejected_until = self._clock() + seconds
        record.ejections += 1
        record.probe_successes = 0
        record.connect_failures = 0
        record.consecutive_failures = 0
        record.probe_since = float('-inf')
        self._metrics.count('ejections', reason)
        _LOG.warning(
            'backend_server_ejected',
            extra={'server': server, 'reason': reason, 'seconds': seconds},
        )
        return seconds
