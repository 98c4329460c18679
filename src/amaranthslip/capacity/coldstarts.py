"""Limits the requests to backend servers that have just started.

A cold server tolerates few requests per second, from all instances together.
Instances out of touch with each other can't agree on who sends next, so each
cold server has a fixed quota per instance, which the platform's store holds
(`capacity.coldquotas`). An instance without a quota sends nothing to it.
"""

import collections
import math
import time
import typing

from amaranthslip.capacity import directory as directory_module
from amaranthslip.configuration import document
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip import settings as settings_module

# Seconds of the sliding window to which rates and quotas apply.
WINDOW_SECONDS = 1.0
# Entries of the store are leased, so the quotas of a server may be replaced
# while an instance that is out of touch still uses the previous ones.
_OVERLAPPING_QUOTAS = 2


class Quotas(typing.Protocol):
    """The assigned quotas; `platform.coldquotas` is an implementation."""

    def read(self, server: str) -> typing.Mapping[str, int] | None:
        """Return requests per second by instance; None if not assigned."""


class ColdStarts:
    """Decides whether this instance may send to a server that may be cold.

    Parameters
    ----------
    instance : str
        The name of this instance.
    settings : Settings
        `bounds.cold_rate_factor` and `bounds.cold_slack` are used.
    directory : Directory
        The servers, and how long they stay cold.
    holder : Holder
        The services, with the rates that their cold servers tolerate.
    quotas : Quotas
        The quotas of the instances.
    freshness : Freshness
        Age of this instance's copy of the store.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_instance',
        '_settings',
        '_staleness',
        '_directory',
        '_holder',
        '_quotas',
        '_freshness',
        '_clock',
        '_started_at',
        '_sent_at',
    )

    def __init__(
        self,
        instance: str,
        settings: settings_module.Settings,
        directory: directory_module.Directory,
        holder: holder_module.Holder,
        quotas: Quotas,
        freshness: freshness_module.Freshness,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._staleness = staleness_module.Staleness(settings)
        self._directory = directory
        self._holder = holder
        self._quotas = quotas
        self._freshness = freshness
        self._clock = clock
        self._started_at = clock()
        # Server name: times of the requests sent to it while it was cold.
        self._sent_at: dict[str, collections.deque[float]] = {}

    def read_remaining(self, server: document.ListedServer) -> float:
        """Return the seconds for which a server may still be cold, or 0."""
        has_quotas = self._quotas.read(server.name) is not None
        if not has_quotas and self._directory.is_surely_warm(server):
            return 0.0
        service = self._find_service(server)
        if service is None:
            return 0.0
        remaining = self._directory.read_cold_seconds(server.name)
        if math.isinf(remaining):
            # The entry does not tell. A server is listed when it starts.
            listed = self._directory.read_listed_seconds(server.name)
            remaining = service.cold_start_seconds - listed
        # Servers may become cold during an evacuation.
        since = self._directory.read_seconds_since_evacuation(server)
        if has_quotas:
            # An evacuation may have ended just before this process started.
            since = min(since, self._clock() - self._started_at)
        return max(0.0, remaining, service.cold_start_seconds - since)

    def read_wait(self, server: document.ListedServer) -> float:
        """Return the seconds until this instance may send to a server.

        Returns
        -------
        float
            0 for a warm server, or if this instance has not used up its quota
            of the last second.
        """
        remaining = self.read_remaining(server)
        if not remaining:
            return 0.0
        quota = self._read_quota(server)
        if not quota:
            return remaining
        now = self._clock()
        # The previous process of this instance may have used the quota.
        wait = self._started_at + WINDOW_SECONDS - now
        sent_at = self._sent_at.get(server.name, ())
        if len(sent_at) >= quota:
            wait = max(wait, sent_at[-quota] + WINDOW_SECONDS - now)
        return min(remaining, max(0.0, wait))

    def take(self, server: document.ListedServer) -> bool:
        """Return whether a request may be sent now, and count it if so."""
        if self.read_wait(server):
            return False
        if not self.read_remaining(server):
            self._sent_at.pop(server.name, None)
            return True
        now = self._clock()
        sent_at = self._sent_at.get(server.name)
        if sent_at is None:
            self._drop_unused(now)
            sent_at = self._sent_at[server.name] = collections.deque()
        while sent_at and sent_at[0] <= now - WINDOW_SECONDS:
            sent_at.popleft()
        sent_at.append(now)
        return True

    def compute_limit(self, server: document.ListedServer) -> int:
        """Return the requests per second that all quotas of a server allow."""
        service = self._find_service(server)
        if service is None:
            return 0
        bounds = self._settings.bounds
        tolerated = (
            service.cold_rate * bounds.cold_rate_factor + bounds.cold_slack
        )
        return int(min(service.cold_rate, tolerated / _OVERLAPPING_QUOTAS))

    def _read_quota(self, server: document.ListedServer) -> int:
        bound = self._staleness.bound_seconds
        if self._freshness.age > bound:
            # The quotas may have been replaced meanwhile.
            return 0
        if self._freshness.seconds_since_restore < bound:
            # The restored store may have lost quotas, which instances that
            # have not noticed still use, and accept others.
            return 0
        quotas = self._quotas.read(server.name)
        if quotas is None or sum(quotas.values()) > self.compute_limit(server):
            return 0
        return quotas.get(self._instance, 0)

    def _find_service(
        self, server: document.ListedServer
    ) -> document.OperatedService | None:
        """Return a server's service if its cold servers have a limit."""
        service = self._holder.document.services.get(server.service)
        if service is None or not service.cold_rate:
            return None
        return service

    def _drop_unused(self, now: float) -> None:
        self._sent_at = {
            name: times
            for name, times in self._sent_at.items()
            if times[-1] > now - WINDOW_SECONDS
        }
