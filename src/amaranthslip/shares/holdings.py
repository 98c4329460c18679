"""The active grants known to a dispatcher, by id and by entry."""

from amaranthslip.capacity import slots


class Holdings:
    """Slots in use, and the grants that entries have not confirmed yet."""

    __slots__ = ('_by_id', '_unconfirmed')

    def __init__(self) -> None:
        self._by_id: dict[int, slots.Holding] = {}
        self._unconfirmed: dict[str, dict[int, slots.Holding]] = {}

    def add(self, holding: slots.Holding, *, confirmed: bool) -> None:
        """Add a slot in use."""
        self._by_id[holding.id] = holding
        if not confirmed:
            entry = self._unconfirmed.setdefault(holding.entry, {})
            entry[holding.id] = holding

    def remove(self, id: int) -> slots.Holding | None:
        """Remove and return a slot in use; None if the id is unknown."""
        holding = self._by_id.pop(id, None)
        if holding is not None:
            self._unconfirmed.get(holding.entry, {}).pop(id, None)
        return holding

    def confirm(self, entry: str, seen: int) -> None:
        """Mark the grants up to id `seen` as received by the entry."""
        unconfirmed = self._unconfirmed.get(entry, {})
        for id in [id for id in unconfirmed if id <= seen]:
            del unconfirmed[id]

    def count_unconfirmed(
        self, entry: str, service: str, client_account: str
    ) -> int:
        """Count an account's grants that the entry has not confirmed."""
        return sum(
            1
            for holding in self._unconfirmed.get(entry, {}).values()
            if holding.client_account == client_account
            and holding.service == service
        )

    def has_unconfirmed(self, entry: str) -> bool:
        """Return whether a grant to the entry is unconfirmed."""
        return bool(self._unconfirmed.get(entry))

    def list_confirmed(self, entry: str) -> list[int]:
        """Return the ids of the grants that an entry has confirmed."""
        unconfirmed = self._unconfirmed.get(entry, {})
        return [
            holding.id
            for holding in self._by_id.values()
            if holding.entry == entry and holding.id not in unconfirmed
        ]

    def list_entry(self, entry: str) -> list[int]:
        """Return the ids of all grants of an entry."""
        return [
            holding.id
            for holding in self._by_id.values()
            if holding.entry == entry
        ]

    def list_server(self, server: str) -> list[slots.Holding]:
        """Return all grants for a backend server."""
        return [
            holding
            for holding in self._by_id.values()
            if holding.server == server
        ]

    def list_unconfirmed(self, before: float) -> list[slots.Holding]:
        """Return unconfirmed grants that were made before a time."""
        return [
            holding
            for entry in self._unconfirmed.values()
            for holding in entry.values()
            if holding.granted < before
        ]

    def __contains__(self, id: int) -> bool:
        return id in self._by_id

    def __len__(self) -> int:
        return len(self._by_id)
