"""Detection and reporting of backend server crashes during requests."""

import collections
import logging
import time
import typing

import gevent

from amaranthslip.backends import connections as connections_
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.requests import crash_exchange

_LOG = logging.getLogger(__name__)

# Seconds that a failed request waits for the check of its server. A refused
# connection takes one round trip; an unreachable server may never respond.
_CHECK_TIMEOUT_SECONDS = 0.1
# Seconds for which a detected crash is reused. All connections of a crashed
# process break together, and the process takes longer than this to restart.
_CRASH_REUSE_SECONDS = 0.5
# Maximum number of servers whose latest check is kept.
_MAX_CHECKS = 256
# Failure reasons for a connection that broke during a request.
_BROKEN_CONNECTION_REASONS = frozenset(('cut', 'reset'))

FindServer = typing.Callable[[str], document.BackendServer | None]


class Call(typing.Protocol):
    """A request and its tries: `calls.Call` or `routed.RoutedCall`.

    Attributes
    ----------
    fingerprint : bytes
        Identical for all attempts at the same request.
    kept_connection_broke : bool
        Whether a kept connection broke during the current try.
    """

    fingerprint: bytes
    kept_connection_broke: bool


class _CrashCheck:
    """A check of one server, shared by the requests that failed on it."""

    __slots__ = ('started_at', 'probe')

    def __init__(self, started_at: float, probe: gevent.Greenlet) -> None:
        self.started_at = started_at
        self.probe = probe

    def is_valid(self, now: float) -> bool:
        """Return whether the check applies to a connection that breaks now."""
        if not self.probe.ready():
            return True
        return self.crashed and now - self.started_at <= _CRASH_REUSE_SECONDS

    @property
    def crashed(self) -> bool:
        """Whether the check found that the server no longer listens."""
        return self.probe.value is False


class CrashDetector:
    """Detects whether a broken connection was caused by a server crash.

    A connection also breaks when it is reset, when the network fails, or when
    a running server closes it. A crashed server no longer listens at its
    address. A server that is leaving or not listed is not reported as
    crashed.

    Parameters
    ----------
    connections : Connections
        Checks whether a server still listens.
    find_server : callable
        Returns a server by name, or None if it is no longer listed.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_connections', '_find_server', '_clock', '_checks')

    def __init__(
        self,
        connections: connections_.Connections,
        find_server: FindServer,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._connections = connections
        self._find_server = find_server
        self._clock = clock
        # The latest check by server name, the most recent last.
        self._checks: collections.OrderedDict[str, _CrashCheck] = (
            collections.OrderedDict()
        )

    def has_crashed(self, server: document.BackendServer) -> bool:
        """Return whether a server whose connection broke has crashed."""
        listed = self._find_server(server.name)
        if listed is None or listed.leaving:
            return False
        check = self._find_check(server)
        check.probe.join(timeout=_CHECK_TIMEOUT_SECONDS)
        return check.crashed

    def _find_check(self, server: document.BackendServer) -> _CrashCheck:
        now = self._clock()
        check = self._checks.get(server.name)
        if check is None or not check.is_valid(now):
            check = _CrashCheck(now, gevent.spawn(self._probe, server))
            self._checks[server.name] = check
            self._checks.move_to_end(server.name)
        while len(self._checks) > _MAX_CHECKS:
            self._checks.popitem(last=False)
        return check

    def _probe(self, server: document.BackendServer) -> bool:
        listening = self._connections.is_listening(server.address)
        if not listening:
            _LOG.warning(
                'backend_server_crashed',
                extra={
                    'server': server.name,
                    'service': server.service,
                    'server_incarnation': server.incarnation,
                },
            )
        return listening


class CrashGuard:
    """Reports server crashes during requests, and refuses quarantined ones.

    Parameters
    ----------
    detector : CrashDetector
        Detects crashed servers.
    exchange : CrashExchange
        Shares crash reports with the other instances.
    metrics : Metrics
        Counts `crashes` by service.
    """

    __slots__ = ('_detector', '_exchange', '_metrics')

    def __init__(
        self,
        detector: CrashDetector,
        exchange: crash_exchange.CrashExchange,
        metrics: metrics_.Metrics,
    ) -> None:
        self._detector = detector
        self._exchange = exchange
        self._metrics = metrics

    def check(self, call: Call) -> None:
        """Refuse a request that is quarantined.

        Raises
        ------
        RequestRefused
            The request is quarantined and was not sent to a server.
        """
        self._exchange.check(call.fingerprint)

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request is quarantined."""
        return self._exchange.is_quarantined(call.fingerprint)

    def note_completion(self, call: Call) -> None:
        """Record that a request was answered in full."""
        self._exchange.complete(call.fingerprint)

    def note_failure(
        self,
        call: Call,
        server: document.BackendServer,
        failure: errors.BackendFailed,
        *,
        last_event: int = 0,
    ) -> bool:
        """Report a server crash if it caused a failed try.

        Parameters
        ----------
        last_event : int
            Id of the last stream event that the caller has, or the number of
            tokens relayed to it; 0: none.

        Returns
        -------
        bool
            Whether the server crashed while it ran the request.
        """
        broke = (
            call.kept_connection_broke
            or failure.reason in _BROKEN_CONNECTION_REASONS
        )
        if not broke or not self._detector.has_crashed(server):
            return False
        self._metrics.count('crashes', server.service)
        self._exchange.report(
            call.fingerprint,
            server.name,
            server.incarnation,
            last_event=last_event,
        )
        return True
