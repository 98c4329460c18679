"""The software versions at which the servers of a service have run lately.

While a service has had one version only, any of its servers fits any stream.
An instance knows that for the time in which it followed the list of servers,
for earlier times from instances that have run for longer, and from the record
in the platform's store, which outlives them.

An instance that is out of touch may believe an outdated list of servers for a
limited time. A new version gets streams only after it has been listed for
longer. Whoever has a list without it by then no longer believes that list, and
does not take the only version on it for the one that began a stream.
"""

import math
import time
import typing

from amaranthslip.configuration import document

# Seconds for which a version counts after its last server was dropped. Longer
# than any caller takes one stream up again.
HORIZON_SECONDS = 600.0

_Key = tuple[str, str]


class SoftwareHistory:
    """Versions by service, with the time for which they are known in full.

    Parameters
    ----------
    read_settle_seconds : callable
        Returns for how long a new version must be listed before streams begin
        at it: at least as long as an instance believes an outdated list.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_read_settle_seconds',
        '_clock',
        '_known_since',
        '_since',
        '_since_by_service',
        '_counts',
        '_gone',
        '_recorded',
        '_assumed',
    )

    def __init__(
        self,
        *,
        read_settle_seconds: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._read_settle_seconds = read_settle_seconds
        self._clock = clock
        # By service and version: since when it is known here, by the list or
        # from others.
        self._known_since: dict[_Key, float] = {}
        # From when on all listed servers are known here; None: not yet.
        self._since: float | None = None
        # The same by service, where other instances know more.
        self._since_by_service: dict[str, float] = {}
        # By service and version: the servers listed now, and when the last
        # server was dropped.
        self._counts: dict[_Key, int] = {}
        self._gone: dict[_Key, float] = {}
        # By service: the versions that the store records.
        self._recorded: dict[str, frozenset[str]] = {}
        # Versions known from the record only, taken for dropped since it was
        # read.
        self._assumed: set[_Key] = set()

    def begin(self, *, first_of_fleet: bool) -> None:
        """Record the first full read of the list; later calls do nothing.

        Parameters
        ----------
        first_of_fleet : bool
            Whether no instance ran before, so that no stream began before.
        """
        if self._since is not None:
            return
        self._since = -math.inf if first_of_fleet else self._clock()
        if first_of_fleet:
            self._known_since.update(dict.fromkeys(self._counts, -math.inf))
        for service in self._recorded:
            # The record has all versions within the horizon.
            self._since_by_service[service] = -math.inf

    def record(self, service: str, versions: typing.Iterable[str]) -> None:
        """Note which versions of a service the store records."""
        self._recorded[service] = frozenset(versions)
        for key in [each for each in self._assumed if each[0] == service]:
            if key[1] not in self._recorded[service]:
                self._assumed.discard(key)
                self._gone.pop(key, None)
        for version in self._recorded[service]:
            key = (service, version)
            self._known_since.setdefault(key, self._clock())
            if key not in self._counts and key not in self._gone:
                self._assumed.add(key)
                self._gone[key] = self._clock()

    def forget_record(self, service: str) -> None:
        """Note that the store has no usable record of a service."""
        self._recorded.pop(service, None)

    def is_recorded(self, service: str, version: str) -> bool:
        """Return whether the store records a version.

        Without any record of the service, whether it is settled.
        """
        recorded = self._recorded.get(service)
        if recorded is None:
            return self.is_settled(service, version)
        return version in recorded

    def is_settled(self, service: str, version: str) -> bool:
        """Return whether every list that is still believed has a version."""
        since = self._known_since.get((service, version))
        if since is None:
            return False
        if self._clock() - since >= self._read_settle_seconds():
            return True
        return list(self.read_ages(service)) == [version]

    def find_outdated(self, service: str) -> frozenset[str] | None:
        """Return the versions that the store should record, or None.

        None also if not all versions within the horizon are known: a record
        that lacks one would be believed. A new version is recorded once it is
        settled, since streams begin at recorded versions.
        """
        if not self.is_complete(service):
            return None
        recorded = self._recorded.get(service, frozenset())
        versions = frozenset(
            each
            for each in self.read_ages(service)
            if each in recorded or self.is_settled(service, each)
        )
        if not versions or versions == recorded:
            return None
        return versions

    def add(self, server: document.ListedServer) -> None:
        """Record a server that is listed now."""
        key = (server.service, server.software_version)
        self._counts[key] = self._counts.get(key, 0) + 1
        self._known_since.setdefault(key, self._clock())
        self._assumed.discard(key)

    def drop(self, server: document.ListedServer) -> None:
        """Record that a server that was added is listed no more."""
        key = (server.service, server.software_version)
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
            self._gone[key] = self._clock()

    def read_ages(self, service: str) -> dict[str, float]:
        """Return the versions of a service within the horizon.

        Returns
        -------
        dict of str to float
            By version, the seconds since its last server was dropped; 0 for
            those listed now.
        """
        now = self._clock()
        oldest = now - HORIZON_SECONDS
        self._gone = {
            key: at for key, at in self._gone.items() if at >= oldest
        }
        self._assumed &= self._gone.keys()
        self._known_since = {
            key: since
            for key, since in self._known_since.items()
            if key in self._counts or key in self._gone
        }
        ages = {
            version: now - at
            for (name, version), at in self._gone.items()
            if name == service
        }
        for name, version in self._counts:
            if name == service:
                ages[version] = 0.0
        return ages

    def list_services(self) -> list[str]:
        """Return the services that have or had servers here."""
        return sorted(
            {service for service, _ in {**self._counts, **self._gone}}
        )

    def read_covered_seconds(self, service: str) -> float:
        """Return for how long `read_ages` is complete, or infinity."""
        since = self._since_by_service.get(service, math.inf)
        if self._since is not None:
            since = min(since, self._since)
        return max(0.0, self._clock() - since)

    def merge(
        self,
        service: str,
        ages: typing.Mapping[str, float],
        covered_seconds: float,
    ) -> None:
        """Add what another instance knows of a service; see `read_ages`."""
        now = self._clock()
        for version, age in ages.items():
            key = (service, version)
            self._known_since.setdefault(key, now)
            self._gone[key] = max(self._gone.get(key, -math.inf), now - age)
        since = self._since_by_service.get(service, math.inf)
        self._since_by_service[service] = min(since, now - covered_seconds)

    def find_only_version(self, service: str) -> str | None:
        """Return the version that a service alone has had, or None.

        None also if this is not known for the whole horizon.
        """
        if not self.is_complete(service):
            return None
        versions = list(self.read_ages(service))
        return versions[0] if len(versions) == 1 else None

    def is_complete(self, service: str) -> bool:
        """Return whether all versions within the horizon are known."""
        return self.read_covered_seconds(service) >= HORIZON_SECONDS
