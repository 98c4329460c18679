"""Ejects and admits backend servers by the outcomes of their requests."""

import enum
import random as random_
import time
import typing

from amaranthslip import metrics as metrics_
from amaranthslip.requests import outcomes
from amaranthslip import settings as settings_

# Consecutive failures that eject a server. A single failure may be caused by
# the request itself; three in a row are rare on a healthy server.
_CONSECUTIVE_FAILURES = 3
# Jitter: the duration of an ejection is drawn between this fraction of the
# nominal duration and the full duration, so that the instances don't all
# probe a recovering server at the same moment.
_MIN_DURATION_FRACTION = 0.5
# Seconds after which an unanswered probe no longer blocks the next one: its
# request may have been lost with the instance that sent it.
_PROBE_TIMEOUT_SECONDS = 60.0


class _State(enum.Enum):
    ADMITTED = 'admitted'
    EJECTED = 'ejected'


class _Server:
    """Ejection state of one backend server."""

    __slots__ = ('state', 'failures', 'ejections', 'until', 'probe_since')

    def __init__(self) -> None:
        self.state = _State.ADMITTED
        self.failures = 0
        self.ejections = 0
        self.until = 0.0
        self.probe_since: float | None = None


class Health:
    """Ejects failing backend servers; a successful probe admits them again.

    Parameters
    ----------
    settings : Settings
        `backends.eject_seconds`, `eject_most_seconds`, `eject_fraction`.
    metrics : Metrics
        Counts `ejections` by reason.
    random : random.Random
        Source of the jitter of the ejection durations.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_settings',
        '_metrics',
        '_random',
        '_clock',
        '_servers',
        '_services',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        metrics: metrics_.Metrics,
        *,
        random: random_.Random | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._random = random or random_.Random()
        self._clock = clock
        self._servers: dict[str, _Server] = {}
        self._services: list[frozenset[str]] = []

    def set_service(self, server_names: typing.Iterable[str]) -> None:
        """Set the servers that make up one service.

        Parameters
        ----------
        server_names : iterable of str
            All servers of the service. The set replaces every earlier set
            that has a server in common with it. The state of servers that
            only the replaced sets contain is dropped.
        """
        names = frozenset(server_names)
        replaced = [each for each in self._services if each & names]
        self._services = [
            each for each in self._services if not each & names
        ] + [names]
        for name in frozenset().union(*replaced) - names:
            self._servers.pop(name, None)
        for name in names:
            self._servers.setdefault(name, _Server())

    def admits(self, server_name: str) -> bool:
        """Return whether the server may get a request now.

        After its ejection a server is half open: it gets one request at a
        time, the probe, until a probe succeeds.
        """
        server = self._servers.get(server_name)
        if server is None or server.state is _State.ADMITTED:
            return True
        now = self._clock()
        if now < server.until:
            return False
        since = server.probe_since
        return since is None or now - since >= _PROBE_TIMEOUT_SECONDS

    def begin(self, server_name: str) -> None:
        """Record a granted request; on an ejected server it is the probe."""
        server = self._servers.get(server_name)
        if server is not None and server.state is _State.EJECTED:
            server.probe_since = self._clock()

    def record(self, server_name: str, outcome: outcomes.Outcome) -> None:
        """Record the outcome of a granted request."""
        server = self._servers.get(server_name)
        if server is None:
            return
        if outcome is outcomes.Outcome.FAILED:
            self._record_failure(server_name, server)
        elif outcome is outcomes.Outcome.DONE:
            self._record_success(server)
        else:
            # This outcome says nothing about the server, so the next request
            # may be the probe.
            server.probe_since = None

    def _record_success(self, server: _Server) -> None:
        server.failures = 0
        if server.state is _State.ADMITTED:
            server.ejections = 0
            return
        if server.probe_since is None:
            # The request was granted before the ejection, so its outcome says
            # nothing about the present state of the server.
            return
        server.state = _State.ADMITTED
        server.probe_since = None
        self._metrics.count('ejections', 'probe_succeeded')

    def _record_failure(self, name: str, server: _Server) -> None:
        server.failures += 1
        if server.state is _State.EJECTED:
            if server.probe_since is not None:
                self._eject(server, 'probe_failed')
            return
        if server.failures < _CONSECUTIVE_FAILURES:
            return
        if self._may_eject(name):
            self._eject(server, 'failures')
        else:
            self._metrics.count('ejections', 'denied_fraction')

    def _may_eject(self, name: str) -> bool:
        # When most servers of a service fail, the cause is seldom the servers
        # themselves, and the remaining servers would be overloaded.
        for names in self._services:
            if name not in names:
                continue
            ejected = sum(
                self._servers[each].state is _State.EJECTED for each in names
            )
            most = self._settings.backends.eject_fraction * len(names)
            if ejected + 1 > most:
                return False
        return True

    def _eject(self, server: _Server, reason: str) -> None:
        backends = self._settings.backends
        seconds = min(
            backends.eject_seconds * 2.0**server.ejections,
            backends.eject_most_seconds,
        )
        fraction = self._random.uniform(_MIN_DURATION_FRACTION, 1.0)
        server.state = _State.EJECTED
        server.until = self._clock() + seconds * fraction
        server.ejections = min(server.ejections + 1, 32)
        server.probe_since = None
        server.failures = 0
        self._metrics.count('ejections', reason)
