"""The backlog, scores and owned servers of one service at a dispatcher."""

import time
import typing

from amaranthslip.capacity import slots
from amaranthslip.shares import backlog
from amaranthslip.shares import ledger
from amaranthslip.shares import messages

_EXCLUDE_SECONDS = 0.25


class Choice:
    """The demand to serve next and the server whose slot it gets."""

    __slots__ = ('demand', 'server_slots')

    def __init__(
        self, demand: backlog.Demand, server_slots: slots.Slots
    ) -> None:
        self.demand = demand
        self.server_slots = server_slots


class ServiceQueue:
    """Selects which demand of a service gets the next free slot.

    Parameters
    ----------
    name : str
        Name of the service.
    service_ledger : Ledger
        The scores of its client accounts.
    holder : Holder
        The configuration in force.
    health : Health
        Tells which backend servers may receive requests.
    find_phase : callable
        Returns this dispatcher's relative position among the homes of a
        client account, given the service and the account.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = (
        'name',
        'ledger',
        'backlog',
        'servers',
        '_holder',
        '_health',
        '_find_phase',
        '_clock',
        '_last_sent_free',
    )

    def __init__(
        self,
        name: str,
        service_ledger: ledger.Ledger,
        holder: typing.Any,
        health: typing.Any,
        find_phase: typing.Callable[[str, str], float],
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.ledger = service_ledger
        self.backlog = backlog.Backlog()
        self.servers: dict[str, slots.Slots] = {}
        self._holder = holder
        self._health = health
        self._find_phase = find_phase
        self._clock = clock
        self._last_sent_free = 0

    def choose(
        self, fraction: float, unresponsive: typing.Container[str]
    ) -> Choice | None:
        """Return the next grant, lowest score first, or None.

        An account is skipped only if none of its demands can use any of the
        free slots because its entries are unresponsive or have declined
        these servers.
        """
        if not self.backlog or not self.servers:
            return None
        free = self.list_free(fraction)
        if not free:
            return None
        now = self._clock()
        for client_account in self._rank_accounts():
            demands = self.backlog.list_demands(client_account)
            for demand in sorted(demands, key=lambda each: each.since):
                if demand.entry in unresponsive:
                    continue
                server_slots = self._choose_server(demand, free, now)
                if server_slots is not None:
                    return Choice(demand, server_slots)
        return None

    def _choose_server(
        self, demand: backlog.Demand, free: list[slots.Slots], now: float
    ) -> slots.Slots | None:
        usable = [
            server_slots
            for server_slots in free
            if demand.excluded_until.get(server_slots.server, 0.0) <= now
        ]
        preferred = [each for each in usable if each.server == demand.prefer]
        return next(iter(preferred + usable), None)

    def list_free(self, fraction: float) -> list[slots.Slots]:
        """Return owned servers with free slots, most free slots first."""
        servers = self._holder.document.backend_servers
        free = [
            server_slots
            for name, server_slots in self.servers.items()
            if name in servers
            and not servers[name].leaving
            and server_slots.count_free(fraction) > 0
            and self._health.admits(name)
        ]
        free.sort(key=lambda server_slots: -server_slots.count_free(fraction))
        return free

    def count_grant(self, demand: backlog.Demand) -> None:
        """Count one request of a demand as granted."""
        self.backlog.count_grant(demand)
        if not self.backlog.has_waiting(demand.client_account):
            self.ledger.mark_idle(demand.client_account)

    def exclude_declined(self, holding: slots.Holding) -> None:
        """Stop offering a server to an entry for a while after a refusal.

        An entry whose waiting requests failed at the server before returns
        the slot unused. Offering the same slot again at once would repeat
        the refusal endlessly.
        """
        until = self._clock() + _EXCLUDE_SECONDS
        for demand in self.backlog.list_demands(holding.client_account):
            if demand.entry == holding.entry:
                demand.excluded_until[holding.server] = until

    def drop_entry(self, entry: str) -> None:
        """Remove the demand of an entry."""
        for client_account in self.backlog.drop_entry(entry):
            self.ledger.mark_idle(client_account)

    def build_digest(self, fraction: float) -> messages.Digest | None:
        """Return the digest for peers, or None when nothing is free.

        A digest with zero free slots follows the last one that had some.
        """
        free = sum(
            server_slots.count_free(fraction)
            for server_slots in self.list_free(fraction)
        )
        sent_before, self._last_sent_free = self._last_sent_free, free
        if not self.servers or not (free or sent_before):
            return None
        return messages.Digest(
            service=self.name,
            level=self.ledger.level,
            free=free,
            backlog=self.backlog.count(),
        )

    def _read_score(self, client_account: str, share: float) -> float:
        phase = self._find_phase(self.name, client_account)
        return self.ledger.read_score(client_account, share, phase=phase)

    def _rank_accounts(self) -> list[str]:
        accounts = self._holder.document.client_accounts
        scored = [
            (self._read_score(name, accounts[name].share), name)
            for name in self.backlog.list_accounts()
            if name in accounts
        ]
        scored.sort()
        if scored:
            lowest = scored[0][1]
            self.ledger.raise_level(self.ledger.read_reported(lowest))
        return [name for _, name in scored]
