"""Health: which backend servers may get requests, from how theirs ended."""

import enum
import random as random_
import time
import typing

from amaranthslip import metrics as metrics_
from amaranthslip.requests import outcomes
from amaranthslip import settings as settings_

# Failures in a row, with no success between, that eject a server. One may
# be the request's own fault; three in a row of healthy servers are rare.
_FAILURES = 3
# Each ejection is drawn between this fraction and the whole of its time, so
# that instances don't all probe a server that comes back at one moment.
_LEAST_FRACTION = 0.5
# Seconds after which an unanswered probe no longer holds the place of the
# next: its request may have been lost with the instance that sent it.
_PROBE_SECONDS = 60.0


class _State(enum.Enum):
    ADMITTED = 'admitted'
    EJECTED = 'ejected'


class _Server:
    """What is known of one backend server."""

    __slots__ = ('state', 'failures', 'ejections', 'until', 'probe_since')

    def __init__(self) -> None:
        self.state = _State.ADMITTED
        self.failures = 0
        self.ejections = 0
        self.until = 0.0
        self.probe_since: float | None = None


class Health:
    """Ejects backend servers that fail; single probes bring them back.

    Parameters
    ----------
    settings : Settings
        `backends.eject_seconds`, `eject_most_seconds`, `eject_fraction`.
    metrics : Metrics
        Gets `ejections` by reason.
    random : random.Random
        Jitter of the ejections' times.
    clock : callable
        Seconds that only grow.
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
        """Say which servers make up one service.

        Parameters
        ----------
        server_names : iterable of str
            All of them. They replace every earlier set that shares a server
            with them; what is known of servers that drop out is forgotten.
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

        After its ejection a server is half open: it may get one request at
        a time, the probe, until one succeeds.
        """
        server = self._servers.get(server_name)
        if server is None or server.state is _State.ADMITTED:
            return True
        now = self._clock()
        if now < server.until:
            return False
        since = server.probe_since
        return since is None or now - since >= _PROBE_SECONDS

    def begin(self, server_name: str) -> None:
        """Take note that a request was granted."""
        server = self._servers.get(server_name)
        if server is not None and server.state is _State.EJECTED:
            server.probe_since = self._clock()

    def record(self, server_name: str, outcome: outcomes.Outcome) -> None:
        """Take note of how a granted request ended."""
        server = self._servers.get(server_name)
        if server is None:
            return
        if outcome is outcomes.Outcome.FAILED:
            self._record_failure(server_name, server)
        elif outcome is outcomes.Outcome.DONE:
            self._record_success(server)
        else:
            # It says nothing about the server, and the probe's place is
            # free for the next.
            server.probe_since = None

    def _record_success(self, server: _Server) -> None:
        server.failures = 0
        if server.state is _State.ADMITTED:
            server.ejections = 0
            return
        if server.probe_since is None:
            # It was granted before the ejection: old news.
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
        if server.failures < _FAILURES:
            return
        if self._is_room(name):
            self._eject(server, 'failures')
        else:
            self._metrics.count('ejections', 'denied_fraction')

    def _is_room(self, name: str) -> bool:
        # When most of a service fails, the cause is seldom in its servers,
        # and those left would break under the load of all.
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
        fraction = self._random.uniform(_LEAST_FRACTION, 1.0)
        server.state = _State.EJECTED
        server.until = self._clock() + seconds * fraction
        server.ejections = min(server.ejections + 1, 32)
        server.probe_since = None
        server.failures = 0
        self._metrics.count('ejections', reason)
