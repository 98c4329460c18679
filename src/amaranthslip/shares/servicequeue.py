"""One service at one dispatcher: who waits, and which servers are owned."""

import time
import typing

from amaranthslip.capacity import slots
from amaranthslip.shares import backlog
from amaranthslip.shares import ledger
from amaranthslip.shares import messages

_AVOID_SECONDS = 0.25


class Choice:
    """The demand that is served next, and the server it is offered."""

    __slots__ = ('demand', 'owned')

    def __init__(self, demand: backlog.Demand, owned: slots.Slots) -> None:
        self.demand = demand
        self.owned = owned


class ServiceQueue:
    """One service's backlog and scores, and the servers owned here.

    Parameters
    ----------
    name : str
        The service.
    service_ledger : Ledger
        The scores of its client accounts.
    holder : Holder
        The configuration in force.
    health : Health
        Which backend servers may be used.
    find_phase : callable
        This dispatcher's place among the homes of a service's account.
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
        '_free_told',
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
        self._free_told = 0

    def choose(
        self, fraction: float, silent: typing.Container[str]
    ) -> Choice | None:
        """Return what to grant next, lowest score first, or None.

        An account is passed over only where none of its demands can take
        any free slot: its entries are silent or declined these servers.
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
                if demand.entry in silent:
                    continue
                owned = self._match(demand, free, now)
                if owned is not None:
                    return Choice(demand, owned)
        return None

    def _match(
        self, demand: backlog.Demand, free: list[slots.Slots], now: float
    ) -> slots.Slots | None:
        usable = [
            owned
            for owned in free
            if demand.avoid.get(owned.server, 0.0) <= now
        ]
        preferred = [each for each in usable if each.server == demand.prefer]
        return next(iter(preferred + usable), None)

    def list_free(self, fraction: float) -> list[slots.Slots]:
        """Return owned servers with free slots, the emptiest first."""
        servers = self._holder.document.backend_servers
        free = [
            owned
            for name, owned in self.servers.items()
            if name in servers
            and not servers[name].leaving
            and owned.count_free(fraction) > 0
            and self._health.admits(name)
        ]
        free.sort(key=lambda owned: -owned.count_free(fraction))
        return free

    def take(self, demand: backlog.Demand) -> None:
        """Count one request of a demand as granted."""
        self.backlog.take(demand)
        if not self.backlog.waits(demand.client_account):
            self.ledger.end(demand.client_account)

    def avoid(self, holding: slots.Holding) -> None:
        """Offer an entry another server for a while after it declined one.

        It declined since its requests failed there before; offering the
        same slot at once would go on for ever.
        """
        until = self._clock() + _AVOID_SECONDS
        for demand in self.backlog.list_demands(holding.client_account):
            if demand.entry == holding.entry:
                demand.avoid[holding.server] = until

    def drop_wants(self, entry: str) -> None:
        """Forget what an entry wanted."""
        for client_account in self.backlog.drop_entry(entry):
            self.ledger.end(client_account)

    def build_digest(self, fraction: float) -> messages.Digest | None:
        """Return what peers should know, or None when there is no news."""
        free = sum(
            owned.count_free(fraction) for owned in self.list_free(fraction)
        )
        told, self._free_told = self._free_told, free
        if not self.servers or not (free or told):
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
            self.ledger.raise_level(self.ledger.read_settled(lowest))
        return [name for _, name in scored]
