"""Directory of the backend servers, built from their registry entries."""

import collections
import logging
import time
import typing

from gevent import event

from amaranthslip.capacity import software
from amaranthslip.configuration import document

_LOG = logging.getLogger(__name__)

# Grace period, in seconds, after the registry recovers from an outage: a
# server whose entry is missing stays in use for this long. The platform
# guarantees that running servers register again within about two seconds,
# and a server that has really left must get no request more than two seconds
# after its entry was removed.
MISSING_ENTRY_GRACE_SECONDS = 1.8
# Period, in seconds, after the registry was restored from an older copy. What
# the copy lacks is written again in this time, and entries of servers that are
# gone are removed: the platform removes them after three heartbeats.
RESTORE_SECONDS = 5.0
# Bounds the memory used for servers that have left.
_MAX_DEPARTED = 4096
# Bounds the memory used for incarnations that reported that they are leaving.
_MAX_REPORTED_LEAVING = 4096
# Upper bound, in seconds, of the backoff that one response can set.
_MAX_BACKOFF_SECONDS = 86400.0


class Directory:
    """The backend servers of every service, by name.

    A server whose entry was removed is dropped at once, except after a
    registry outage. During an outage entries also expire because their
    servers could not renew them; dropping all of these servers when the
    registry recovers would refuse every request although the servers are
    healthy.

    Parameters
    ----------
    read_settle_seconds : callable
        See `software.SoftwareHistory`.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    generation : int
        Grows whenever the servers that may get requests change.
    changed : event.Event
        Set on each such change, and when a server becomes cold or warm.
    """

    __slots__ = (
        'generation',
        'changed',
        '_clock',
        '_servers',
        '_by_service',
        '_missing_until',
        '_grace_until',
        '_reported_leaving',
        '_backoffs',
        '_evacuated',
        '_evacuations_ended_at',
        '_listed_at',
        '_cold_until',
        '_restore_until',
        '_departed',
        '_held_back',
        '_evacuations_to_confirm',
        'software',
    )

    def __init__(
        self,
        *,
        read_settle_seconds: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.generation = 0
        self.changed = event.Event()
        self.software = software.SoftwareHistory(
            read_settle_seconds=read_settle_seconds, clock=clock
        )
        self._clock = clock
        self._servers: dict[str, document.ListedServer] = {}
        self._by_service: dict[str, tuple[document.ListedServer, ...]] = {}
        # Server name: time at which the server is dropped.
        self._missing_until: dict[str, float] = {}
        self._grace_until = float('-inf')
        # Incarnations whose responses reported that they are leaving, oldest
        # first.
        self._reported_leaving: collections.OrderedDict[
            tuple[str, int], None
        ] = collections.OrderedDict()
        # (Server name, incarnation): time at which the backoff ends.
        self._backoffs: dict[tuple[str, int], float] = {}
        # Failure domains whose servers get no new requests.
        self._evacuated: set[str] = set()
        # Failure domain: time at which its last evacuation ended.
        self._evacuations_ended_at: dict[str, float] = {}
        # Server name: time of its first listing, and the end of its cold time
        # by its last entry.
        self._listed_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        self._restore_until = float('-inf')
        # By name, oldest first: servers that were leaving, or whose entry was
        # removed.
        self._departed: collections.OrderedDict[str, _Departure] = (
            collections.OrderedDict()
        )
        # Servers that are excluded although their restored entry is ready,
        # until the restore period ends.
        self._held_back: set[str] = set()
        # Failure domains whose evacuation the restored copy lacks.
        self._evacuations_to_confirm: set[str] = set()

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, name: str) -> document.ListedServer | None:
        """Return a server by name, even if it is leaving, or None."""
        self._expire_periods()
        return self._servers.get(name)

    def list_ready(self, service: str) -> tuple[document.ListedServer, ...]:
        """Return the servers of a service that may get new requests."""
        self._expire_periods()
        return self._by_service.get(service, ())

    def list_all(self) -> list[document.ListedServer]:
        """Return every server, sorted by name."""
        self._expire_periods()
        return [self._servers[name] for name in sorted(self._servers)]

    def start_grace_period(
        self, seconds: float = MISSING_ENTRY_GRACE_SECONDS
    ) -> None:
        """Start the grace period because the registry recovered.

        Parameters
        ----------
        seconds : float
            Length of the grace period, in which servers with a missing entry
            stay in use. Shorter than the default if another instance already
            detected the recovery a moment ago.
        """
        self._grace_until = max(self._grace_until, self._clock() + seconds)

    @property
    def grace_seconds(self) -> float:
        """Seconds that remain of the grace period, or 0."""
        return max(0.0, self._grace_until - self._clock())

    def start_restore_period(self) -> None:
        """Handle that the registry was restored from an older copy.

        Entries written since the copy are missing until they are written
        again; entries removed since then are back until they are removed
        again.
        """
        self.start_grace_period()
        self._restore_until = self._clock() + RESTORE_SECONDS

    def put(self, server: document.ListedServer) -> None:
        """Add or update a server from its registry entry.

        An entry of an earlier start than the known one is ignored.
        """
        if self._is_stale(server):
            return
        departure = self._find_departure(server)
        if server.leaving:
            self._held_back.discard(server.name)
        elif departure is not None:
            if departure.said_leaving and self._clock() < self._restore_until:
                # An older entry may be written again before the last one.
                self._hold_back(server)
            else:
                del self._departed[server.name]
                self._held_back.discard(server.name)
        self._store_server(server)

    def _is_stale(self, server: document.ListedServer) -> bool:
        """Return whether an entry is of an earlier start than a known one.

        Another writer may write such an entry, or a restored store hold it.
        """
        known = self._servers.get(server.name)
        started = 0 if known is None else known.incarnation
        departure = self._departed.get(server.name)
        if departure is not None and self._clock() < self._restore_until:
            started = max(started, departure.incarnation)
        if server.incarnation >= started:
            return False
        _LOG.info(
            'backend_server_stale',
            extra={
                'server': server.name,
                'server_incarnation': server.incarnation,
                'known_incarnation': started,
            },
        )
        return True

    def _find_departure(
        self, server: document.ListedServer
    ) -> '_Departure | None':
        departure = self._departed.get(server.name)
        if departure is None or departure.incarnation != server.incarnation:
            return None
        return departure

    def _hold_back(self, server: document.ListedServer) -> None:
        server.leaving = True
        self._held_back.add(server.name)

    def _store_server(self, server: document.ListedServer) -> None:
        self._apply_reported_leaving(server)
        if server.leaving and server.name not in self._held_back:
            self._note_departure(server, said_leaving=True)
        known = self._servers.get(server.name)
        self._missing_until.pop(server.name, None)
        self.software.add(server)
        if known is not None:
            self.software.drop(known)
        self._servers[server.name] = server
        self._note_cold_time(server, known)
        if known is None or _differs(known, server):
            _LOG.info(
                'backend_server_listed',
                extra={
                    'server': server.name,
                    'service': server.service,
                    'leaving': server.leaving,
                    'server_incarnation': server.incarnation,
                    'software_version': server.software_version,
                },
            )
            self._rebuild()

    def _note_cold_time(
        self,
        server: document.ListedServer,
        known: document.ListedServer | None,
    ) -> None:
        now = self._clock()
        if known is None or known.incarnation != server.incarnation:
            self._listed_at[server.name] = now
        if server.cold_seconds:
            self._cold_until[server.name] = now + server.cold_seconds
        elif now >= self._restore_until:
            # A restored entry may be older than one that named a cold time.
            self._cold_until.pop(server.name, None)
        if known is None or known.cold_seconds != server.cold_seconds:
            self.changed.set()

    def is_surely_warm(self, server: document.ListedServer) -> bool:
        """Return whether nothing here tells that a server may be cold.

        Cheaper than `read_cold_seconds` and `read_seconds_since_evacuation`.
        """
        return (
            server.name not in self._cold_until
            and server.failure_domain not in self._evacuated
            and server.failure_domain not in self._evacuations_ended_at
        )

    def read_cold_seconds(self, name: str) -> float:
        """Return the seconds for which a server is cold by its entry, or 0.

        Infinite if its entry does not tell.
        """
        until = self._cold_until.get(name, 0.0)
        return max(0.0, until - self._clock())

    def read_listed_seconds(self, name: str) -> float:
        """Return the seconds since a server's first listing."""
        return self._clock() - self._listed_at.get(name, float('-inf'))

    def remove(self, name: str) -> None:
        """Handle an entry that was removed or can't be parsed.

        During the grace period the server stays in use until the period ends;
        otherwise the server is dropped at once.
        """
        if name not in self._servers:
            return
        now = self._clock()
        if now < self._grace_until:
            self._missing_until.setdefault(name, self._grace_until)
            return
        self._delete(name, 'entry_gone')

    def note_leaving(self, server: document.ListedServer) -> None:
        """Exclude a server whose response reported that it is leaving.

        This incarnation stays excluded whatever its registry entry says: the
        entry may be stale, for example during a registry outage.
        """
        self.note_leaving_by_name(server.name, server.incarnation)

    def note_leaving_by_name(self, name: str, incarnation: int) -> None:
        """Exclude a server that may not be listed here; see `note_leaving`."""
        key = (name, incarnation)
        if key in self._reported_leaving:
            return
        self._reported_leaving[key] = None
        while len(self._reported_leaving) > _MAX_REPORTED_LEAVING:
            self._reported_leaving.popitem(last=False)
        listed = self._servers.get(name)
        _LOG.info(
            'backend_server_leaving',
            extra={
                'server': name,
                'service': '' if listed is None else listed.service,
                'server_incarnation': incarnation,
                'listed_as_leaving': listed is not None and listed.leaving,
            },
        )
        if listed is not None and listed.incarnation == incarnation:
            self._apply_reported_leaving(listed)
            self._note_departure(listed, said_leaving=True)
            self._rebuild()

    def _note_departure(
        self, server: document.ListedServer, *, said_leaving: bool
    ) -> None:
        known = self._find_departure(server)
        if known is not None:
            said_leaving = said_leaving or known.said_leaving
        self._departed[server.name] = _Departure(
            server.incarnation, said_leaving=said_leaving
        )
        self._departed.move_to_end(server.name)
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.popitem(last=False)

    def note_backoff(
        self, server: document.ListedServer, seconds: float
    ) -> None:
        """Exclude a server for the duration of its Retry-After.

        The backoff applies to this incarnation, even after its entry expires.
        Later responses can extend the backoff, but not shorten or end it.
        """
        now = self._clock()
        until = now + min(seconds, _MAX_BACKOFF_SECONDS)
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

    def evacuate(self, failure_domain: str) -> None:
        """Exclude all servers of a failure domain until the evacuation ends.

        Requests in progress at these servers are not interrupted. Servers that
        are listed later are excluded as well.
        """
        self._evacuations_to_confirm.discard(failure_domain)
        if failure_domain in self._evacuated:
            return
        self._evacuated.add(failure_domain)
        servers = sum(
            each.failure_domain == failure_domain
            for each in self._servers.values()
        )
        extra = {'failure_domain': failure_domain, 'servers': servers}
        if servers:
            _LOG.warning('evacuation_started', extra=extra)
        else:
            # The name may be wrong, or its servers are not listed yet.
            _LOG.warning('evacuation_without_servers', extra=extra)
        self._rebuild()

    def end_evacuation(self, failure_domain: str) -> None:
        """Include the servers of an evacuated failure domain again."""
        self._evacuations_to_confirm.discard(failure_domain)
        if failure_domain not in self._evacuated:
            return
        self._evacuated.remove(failure_domain)
        self._evacuations_ended_at[failure_domain] = self._clock()
        _LOG.info('evacuation_ended', extra={'failure_domain': failure_domain})
        self._rebuild()

    def replace_evacuations(
        self,
        failure_domains: typing.Collection[str],
        *,
        restored: bool = False,
    ) -> None:
        """Replace all evacuations, after change events were missed.

        With `restored`, those that are missing hold until the restore period
        ends: they may be written again.
        """
        for each in self._evacuated.difference(failure_domains):
            if restored or each in self._evacuations_to_confirm:
                self._evacuations_to_confirm.add(each)
            else:
                self.end_evacuation(each)
        for each in failure_domains:
            self.evacuate(each)

    def is_evacuated(self, server: document.ListedServer) -> bool:
        """Return whether a server's failure domain is evacuated."""
        return server.failure_domain in self._evacuated

    def list_evacuated(self) -> list[str]:
        """Return the evacuated failure domains, sorted by name."""
        return sorted(self._evacuated)

    def read_seconds_since_evacuation(
        self, server: document.ListedServer
    ) -> float:
        """Return the seconds since a server's evacuation ended.

        0 during the evacuation; infinite if its failure domain was not
        evacuated before.
        """
        if self.is_evacuated(server):
            return 0.0
        ended_at = self._evacuations_ended_at.get(
            server.failure_domain, float('-inf')
        )
        return self._clock() - ended_at

    def _apply_reported_leaving(self, server: document.ListedServer) -> None:
        if (server.name, server.incarnation) in self._reported_leaving:
            server.leaving = True

    def replace(
        self,
        servers: typing.Iterable[document.ListedServer],
        *,
        restored: bool = False,
    ) -> None:
        """Replace all entries, after change events were missed.

        With `restored`, servers that had left get no requests until their
        entry is written again, or the restore period ends.
        """
        restored = restored or self._clock() < self._restore_until
        listed = {each.name: each for each in servers}
        for name in self._servers.keys() - listed.keys():
            self.remove(name)
        for server in listed.values():
            departed = self._find_departure(server) is not None
            if restored and departed and not server.leaving:
                self._hold_back(server)
                self._store_server(server)
            else:
                self.put(server)

    def _expire_periods(self) -> None:
        if self._held_back or self._evacuations_to_confirm:
            self._expire_restore_period()
        if not self._missing_until:
            return
        now = self._clock()
        for name, until in list(self._missing_until.items()):
            if now >= until:
                self._delete(name, 'missing_after_outage')

    def _expire_restore_period(self) -> None:
        if self._clock() < self._restore_until:
            return
        for failure_domain in list(self._evacuations_to_confirm):
            self.end_evacuation(failure_domain)
        held_back, self._held_back = self._held_back, set()
        for name in held_back:
            departure = self._departed.get(name)
            if departure is not None and departure.said_leaving:
                continue
            # The platform would have removed the entry of a server that is
            # gone: this one is alive.
            self._departed.pop(name, None)
            self._servers[name].leaving = False
            self._rebuild()

    def _delete(self, name: str, reason: str) -> None:
        self._missing_until.pop(name, None)
        self._held_back.discard(name)
        self._note_departure(self._servers[name], said_leaving=False)
        self.software.drop(self._servers[name])
        del self._servers[name]
        del self._listed_at[name]
        self._cold_until.pop(name, None)
        # Incarnation 0 means unknown: a server that restarts under this name
        # could not be told apart from the server that left.
        self._reported_leaving.pop((name, 0), None)
        self._backoffs.pop((name, 0), None)
        _LOG.info(
            'backend_server_gone', extra={'server': name, 'reason': reason}
        )
        self._rebuild()

    def _rebuild(self) -> None:
        self.generation += 1
        self.changed.set()
        by_service: dict[str, list[document.ListedServer]] = {}
        for server in self._servers.values():
            if not server.leaving and not self.is_evacuated(server):
                by_service.setdefault(server.service, []).append(server)
        self._by_service = {
            service: tuple(sorted(servers, key=lambda each: each.name))
            for service, servers in by_service.items()
        }


class _Departure:
    """An incarnation that was leaving or gone, and whether it said so."""

    __slots__ = ('incarnation', 'said_leaving')

    def __init__(self, incarnation: int, *, said_leaving: bool) -> None:
        self.incarnation = incarnation
        self.said_leaving = said_leaving


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
            'software_version',
        )
    )
