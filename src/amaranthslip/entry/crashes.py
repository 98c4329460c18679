"""Detection of backend servers that crashed during a request."""

import collections
import logging
import time
import typing

import gevent

from amaranthslip.backends import connections as connections_
from amaranthslip.capacity import directory as directory_
from amaranthslip.configuration import document

_LOG = logging.getLogger(__name__)

# Seconds that a failed request waits for the check of its server. A refused
# connection takes one round trip; an unreachable server may never respond.
_CHECK_TIMEOUT_SECONDS = 0.1
# Seconds for which a detected crash is reused. All connections of a crashed
# process break together, and the process takes longer than this to restart.
_CRASH_REUSE_SECONDS = 0.5
# Servers whose latest check is kept.
_MOST_CHECKS = 256


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
        """Whether the server is known to have crashed."""
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
    directory : Directory
        Lists the servers and whether they are leaving.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_connections', '_directory', '_clock', '_checks')

    def __init__(
        self,
        connections: connections_.Connections,
        directory: directory_.Directory,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._connections = connections
        self._directory = directory
        self._clock = clock
        # By server name, the most recent last.
        self._checks: collections.OrderedDict[str, _CrashCheck] = (
            collections.OrderedDict()
        )

    def has_crashed(self, server: document.ListedServer) -> bool:
        """Return whether a server whose connection broke has crashed."""
        listed = self._directory.get(server.name)
        if listed is None or listed.leaving:
            return False
        check = self._find_check(server)
        check.probe.join(timeout=_CHECK_TIMEOUT_SECONDS)
        return check.crashed

    def _find_check(self, server: document.ListedServer) -> _CrashCheck:
        now = self._clock()
        check = self._checks.get(server.name)
        if check is None or not check.is_valid(now):
            check = _CrashCheck(now, gevent.spawn(self._probe, server))
            self._checks[server.name] = check
            self._checks.move_to_end(server.name)
        while len(self._checks) > _MOST_CHECKS:
            self._checks.popitem(last=False)
        return check

    def _probe(self, server: document.ListedServer) -> bool:
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
