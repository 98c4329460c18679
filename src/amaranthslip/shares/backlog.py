"""The backlog that entries told a dispatcher of, for one service."""

import typing


class Demand:
    """What one entry wants for one client account.

    `since` is when its oldest request began to wait, in the dispatcher's
    monotonic seconds; `estimate` is one request's expected cost in tokens,
    `prefer` the backend server that its oldest request would like.
    """

    __slots__ = (
        'entry',
        'client_account',
        'count',
        'since',
        'estimate',
        'prefer',
        'avoid',
    )

    def __init__(self, entry: str, client_account: str) -> None:
        self.entry = entry
        self.client_account = client_account
        self.count = 0
        self.since = 0.0
        self.estimate = 0.0
        self.prefer = ''
        self.avoid: dict[str, float] = {}


class Backlog:
    """Demands by client account and entry; only those above zero."""

    __slots__ = ('_demands',)

    def __init__(self) -> None:
        self._demands: dict[str, dict[str, Demand]] = {}

    def set(
        self,
        entry: str,
        client_account: str,
        *,
        count: int,
        since: float,
        estimate: float,
        prefer: str = '',
    ) -> bool:
        """Take an entry's count; return whether the account began to wait."""
        if count <= 0:
            self.drop(entry, client_account)
            return False
        began = client_account not in self._demands
        entries = self._demands.setdefault(client_account, {})
        demand = entries.get(entry)
        if demand is None:
            demand = entries[entry] = Demand(entry, client_account)
        demand.count = count
        demand.since = since
        demand.estimate = estimate
        demand.prefer = prefer
        return began

    def take(self, demand: Demand) -> None:
        """Count one request of a demand as granted."""
        demand.count -= 1
        if demand.count <= 0:
            self.drop(demand.entry, demand.client_account)

    def drop(self, entry: str, client_account: str) -> None:
        """Forget one entry's demand for a client account."""
        entries = self._demands.get(client_account)
        if entries is not None:
            entries.pop(entry, None)
            if not entries:
                del self._demands[client_account]

    def drop_entry(self, entry: str) -> list[str]:
        """Forget an entry; return the accounts that wait no more."""
        before = list(self._demands)
        for client_account in before:
            self.drop(entry, client_account)
        return [name for name in before if name not in self._demands]

    def list_accounts(self) -> list[str]:
        """Return the client accounts that have requests waiting."""
        return list(self._demands)

    def list_demands(self, client_account: str) -> typing.Iterable[Demand]:
        """Return one client account's demands, one for each entry."""
        return self._demands.get(client_account, {}).values()

    def waits(self, client_account: str) -> bool:
        """Return whether a client account has requests waiting."""
        return client_account in self._demands

    def count(self) -> int:
        """Return how many requests wait in all."""
        return sum(
            demand.count
            for entries in self._demands.values()
            for demand in entries.values()
        )

    def __len__(self) -> int:
        return len(self._demands)
