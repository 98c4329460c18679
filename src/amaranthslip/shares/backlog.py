"""The backlog of one service, as entries reported it to a dispatcher."""

import typing


class Demand:
    """The waiting requests of one client account at one entry.

    `count` is the number of requests, `since` the time at which the oldest
    one was queued, in the dispatcher's monotonic seconds, `estimate` the
    expected cost of one request in tokens, and `prefer` the backend server
    that likely caches the prompt prefix of the oldest request. A server in
    `excluded_until` is not offered before the given time.
    """

    __slots__ = (
        'entry',
        'client_account',
        'count',
        'since',
        'estimate',
        'prefer',
        'excluded_until',
    )

    def __init__(self, entry: str, client_account: str) -> None:
        self.entry = entry
        self.client_account = client_account
        self.count = 0
        self.since = 0.0
        self.estimate = 0.0
        self.prefer = ''
        self.excluded_until: dict[str, float] = {}


class Backlog:
    """Demands by client account and entry; empty demands are removed."""

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
        """Replace the demand of an entry for a client account.

        Returns
        -------
        bool
            Whether the account had no waiting request before.
        """
        if count <= 0:
            self.drop(entry, client_account)
            return False
        became_backlogged = client_account not in self._demands
        entries = self._demands.setdefault(client_account, {})
        demand = entries.get(entry)
        if demand is None:
            demand = entries[entry] = Demand(entry, client_account)
        demand.count = count
        demand.since = since
        demand.estimate = estimate
        demand.prefer = prefer
        return became_backlogged

    def count_grant(self, demand: Demand) -> None:
        """Subtract one granted request from a demand."""
        demand.count -= 1
        if demand.count <= 0:
            self.drop(demand.entry, demand.client_account)

    def drop(self, entry: str, client_account: str) -> None:
        """Remove the demand of one entry for a client account."""
        entries = self._demands.get(client_account)
        if entries is not None:
            entries.pop(entry, None)
            if not entries:
                del self._demands[client_account]

    def drop_entry(self, entry: str) -> list[str]:
        """Remove all demand of an entry.

        Returns
        -------
        list of str
            The client accounts without any remaining demand.
        """
        before = list(self._demands)
        for client_account in before:
            self.drop(entry, client_account)
        return [name for name in before if name not in self._demands]

    def list_accounts(self) -> list[str]:
        """Return the client accounts that have requests waiting."""
        return list(self._demands)

    def list_demands(self, client_account: str) -> typing.Iterable[Demand]:
        """Return the demands of a client account, one for each entry."""
        return self._demands.get(client_account, {}).values()

    def has_waiting(self, client_account: str) -> bool:
        """Return whether a client account has requests waiting."""
        return client_account in self._demands

    def count(self) -> int:
        """Return the total number of waiting requests."""
        return sum(
            demand.count
            for entries in self._demands.values()
            for demand in entries.values()
        )

    def __len__(self) -> int:
        return len(self._demands)
