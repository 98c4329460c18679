"""The directory: which backend servers there are, as they registered."""

import collections
import logging
import time
import typing

from amaranthslip.configuration import document

_LOG = logging.getLogger(__name__)

# Seconds that a server whose entry lapsed around an outage of the registry
# stays in use after the registry is back. The platform promises that living
# servers are back within about two seconds; and a server that has really
# left must get no request two seconds after its entry went.
MISSING_SECONDS = 1.8
# Limits the memory for incarnations that reported that they are leaving.
_MOST_REPORTED_LEAVING = 4096
# Seconds: limits the backoff that one answer can set.
_MOST_BACKOFF_SECONDS = 86400.0


class Directory:
    """The backend servers of every service, by name.

    A server whose entry is gone is out at once, unless the registry was out
    of reach: entries also lapse because their servers could not renew them,
    and dropping every server on the registry's return would refuse all
    requests although nothing is wrong with the servers.

    Parameters
    ----------
    clock : callable
        Seconds that only grow.
    """

    __slots__ = (
        'generation',
        '_clock',
        '_servers',
        '_by_service',
        '_missing',
        '_lapses_until',
        '_reported_leaving',
        '_backoffs',
    )

    def __init__(
        self, *, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self.generation = 0
        self._clock = clock
        self._servers: dict[str, document.ListedServer] = {}
        self._by_service: dict[str, tuple[document.ListedServer, ...]] = {}
        # Server name: when it is taken as gone.
        self._missing: dict[str, float] = {}
        self._lapses_until = float('-inf')
        # Incarnations whose answers reported that they are leaving, oldest
        # first.
        self._reported_leaving: collections.OrderedDict[
            tuple[str, int], None
        ] = collections.OrderedDict()
        # (Server name, incarnation): when its backoff ends.
        self._backoffs: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, name: str) -> document.ListedServer | None:
        """Return a server, also one that is leaving."""
        self._drop_missing()
        return self._servers.get(name)

    def list_ready(self, service: str) -> tuple[document.ListedServer, ...]:
        """Return a service's servers that may get new requests."""
        self._drop_missing()
        return self._by_service.get(service, ())

    def list_all(self) -> list[document.ListedServer]:
        """Return every server, sorted by name."""
        self._drop_missing()
        return [self._servers[name] for name in sorted(self._servers)]

    def note_return(self, seconds: float = MISSING_SECONDS) -> None:
        """Say that the registry answers again after an outage.

        Parameters
        ----------
        seconds : float
            How long servers whose entry is missing stay in use: less, where
            another instance saw the return a moment ago.
        """
        self._lapses_until = max(self._lapses_until, self._clock() + seconds)

    @property
    def lapse_seconds(self) -> float:
        """Seconds for which servers whose entry is missing stay in use."""
        return max(0.0, self._lapses_until - self._clock())

    def put(self, server: document.ListedServer) -> None:
        """Take a server's entry."""
        self._mark_reported_leaving(server)
        known = self._servers.get(server.name)
        self._missing.pop(server.name, None)
        self._servers[server.name] = server
        if known is None or _differs(known, server):
            _LOG.info(
                'backend_server_listed',
                extra={
                    'server': server.name,
                    'service': server.service,
                    'leaving': server.leaving,
                    'server_incarnation': server.incarnation,
                },
            )
            self._rebuild()

    def remove(self, name: str) -> None:
        """Take it that a server's entry is gone, or can't be read."""
        if name not in self._servers:
            return
        now = self._clock()
        if now < self._lapses_until:
            self._missing.setdefault(name, self._lapses_until)
            return
        self._forget(name, 'entry_gone')

    def note_leaving(self, server: document.ListedServer) -> None:
        """Exclude a server whose answer reported that it is leaving.

        This incarnation stays excluded whatever state its entry has: the
        entry may be stale, as during a registry outage.
        """
        key = (server.name, server.incarnation)
        if key in self._reported_leaving:
            return
        self._reported_leaving[key] = None
        while len(self._reported_leaving) > _MOST_REPORTED_LEAVING:
            self._reported_leaving.popitem(last=False)
        listed = self._servers.get(server.name)
        _LOG.info(
            'backend_server_leaving',
            extra={
                'server': server.name,
                'service': server.service,
                'server_incarnation': server.incarnation,
                'listed_as_leaving': listed is not None and listed.leaving,
            },
        )
        if listed is not None:
            self._mark_reported_leaving(listed)
            self._rebuild()

    def note_backoff(
        self, server: document.ListedServer, seconds: float
    ) -> None:
        """Exclude a server for the duration of its Retry-After.

        The backoff applies to this incarnation, also after its entry lapses.
        Later answers can extend it, but not shorten or end it.
        """
        now = self._clock()
        until = now + min(seconds, _MOST_BACKOFF_SECONDS)
        if until <= now + self.read_backoff(server):
            return
        self._backoffs = {
            key: end for key, end in self._backoffs.items() if end > now
        }
        self._backoffs[server.name, server.incarnation] = until
        _LOG.info(
            'backend_server_backoff',
            extra={
                'server': server.name,
                'service': server.service,
                'seconds': round(until - now, 3),
            },
        )

    def read_backoff(self, server: document.ListedServer) -> float:
        """Return the remaining seconds of a server's backoff, or 0."""
        until = self._backoffs.get((server.name, server.incarnation))
        if until is None:
            return 0.0
        return max(0.0, until - self._clock())

    def _mark_reported_leaving(self, server: document.ListedServer) -> None:
        if (server.name, server.incarnation) in self._reported_leaving:
            server.leaving = True

    def replace(self, servers: typing.Iterable[document.ListedServer]) -> None:
        """Take all entries at once, after changes were missed."""
        listed = {each.name: each for each in servers}
        for name in self._servers.keys() - listed.keys():
            self.remove(name)
        for server in listed.values():
            self.put(server)

    def _drop_missing(self) -> None:
        if not self._missing:
            return
        now = self._clock()
        for name, until in list(self._missing.items()):
            if now >= until:
                self._forget(name, 'missing_after_outage')

    def _forget(self, name: str, reason: str) -> None:
        self._missing.pop(name, None)
        del self._servers[name]
        # Incarnation 0 means unknown: a restart under the same name could not
        # be distinguished from the server that left.
        self._reported_leaving.pop((name, 0), None)
        self._backoffs.pop((name, 0), None)
        _LOG.info(
            'backend_server_gone', extra={'server': name, 'reason': reason}
        )
        self._rebuild()

    def _rebuild(self) -> None:
        self.generation += 1
        by_service: dict[str, list[document.ListedServer]] = {}
        for server in self._servers.values():
            if not server.leaving:
                by_service.setdefault(server.service, []).append(server)
        self._by_service = {
            service: tuple(sorted(servers, key=lambda each: each.name))
            for service, servers in by_service.items()
        }


def _differs(old: document.ListedServer, new: document.ListedServer) -> bool:
    return any(
        getattr(old, name) != getattr(new, name)
        for name in (
            'service',
            'address',
            'failure_domain',
            'slots',
            'leaving',
            'incarnation',
        )
    )
