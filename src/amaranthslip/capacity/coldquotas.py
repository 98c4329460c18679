"""Assigns the quotas of cold servers to the live instances.

The store accepts the first assignment for a server and refuses all others, so
that instances with different views of the fleet use the same quotas. Nobody
sends to a cold server before its quotas are assigned.
"""

import logging
import time
import typing

from amaranthslip.capacity import coldstarts as coldstarts_module
from amaranthslip.capacity import directory as directory_module
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.members import rendezvous
from amaranthslip.members import roster as roster_module

_LOG = logging.getLogger(__name__)

# Number of instances that may assign the quotas in one failure domain, the
# first of a rendezvous order, and the seconds that each of them leaves to the
# one before: the first may have died unnoticed.
_ASSIGNERS = 3
_TURN_SECONDS = 0.3
# Seconds until a failed write is retried.
_RETRY_SECONDS = 0.3


class QuotaStore(typing.Protocol):
    """Holds quotas; `platform.coldquotas.StoredQuotas` is one."""

    def read(self, server: str) -> typing.Mapping[str, int] | None:
        """Return requests per second by instance; None if not assigned."""

    def assign(
        self, quotas: typing.Mapping[str, typing.Mapping[str, int]]
    ) -> None:
        """Write the quotas of servers that have none yet."""


class QuotaAssigner:
    """Assigns quotas for the cold servers of some failure domains.

    Parameters
    ----------
    roster : Roster
        The live instances, which receive the quotas.
    directory : Directory
        The servers; its `changed` event starts an assignment.
    cold_starts : ColdStarts
        Which servers are cold, and their limits.
    store : QuotaStore
        Receives the quotas.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_directory',
        '_cold_starts',
        '_store',
        '_clock',
        '_cold_since',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        directory: directory_module.Directory,
        cold_starts: coldstarts_module.ColdStarts,
        store: QuotaStore,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._directory = directory
        self._cold_starts = cold_starts
        self._store = store
        self._clock = clock
        # Server name: when this instance first found it without quotas.
        self._cold_since: dict[str, float] = {}

    def run(self) -> None:
        """Assign quotas whenever the servers change, until killed."""
        # Seconds until the next step even if nothing changes; None: no limit.
        timeout = None
        while True:
            self._directory.changed.wait(timeout)
            self._directory.changed.clear()
            try:
                timeout = self.step()
            except errors.PlatformError as error:
                _LOG.warning('cold_quotas_unwritten', extra={'error': error})
                timeout = _RETRY_SECONDS

    def step(self) -> float | None:
        """Assign the quotas that are missing and due.

        Returns
        -------
        float or None
            Seconds until the next step while servers have no quotas that
            other instances are to assign; None if there are none.

        Raises
        ------
        PlatformError
            The store did not confirm the assignment.
        """
        now = self._clock()
        missing = [
            each
            for each in self._directory.list_all()
            if self._cold_starts.read_remaining(each)
            and self._store.read(each.name) is None
        ]
        self._cold_since = {
            each.name: self._cold_since.get(each.name, now) for each in missing
        }
        due = {}
        for server in missing:
            turn = self._find_turn(server)
            if turn is None:
                continue
            waited = now - self._cold_since[server.name]
            if waited >= turn * _TURN_SECONDS:
                due[server.name] = self._divide(server)
        if due:
            self._store.assign(due)
        return _TURN_SECONDS if len(due) < len(missing) else None

    def _find_turn(self, server: document.ListedServer) -> int | None:
        """Return this instance's position among the assigners, or None."""
        names = [each.name for each in self._roster.list_live()]
        assigners = rendezvous.pick(server.failure_domain, names, _ASSIGNERS)
        own_name = self._roster.member.name
        if own_name not in assigners:
            return None
        return assigners.index(own_name)

    def _divide(self, server: document.ListedServer) -> dict[str, int]:
        """Return the limit of a server, divided among the live instances."""
        limit = self._cold_starts.compute_limit(server)
        names = [each.name for each in self._roster.list_live()]
        senders = rendezvous.pick(server.name, names, limit)
        quotas = dict.fromkeys(senders, 0)
        for position in range(limit if senders else 0):
            quotas[senders[position % len(senders)]] += 1
        return quotas
