"""The grants that a dispatcher knows of, by number and by entry."""

from amaranthslip.capacity import slots


class Holdings:
    """Slots in use at owned servers, and which grants entries confirmed."""

    __slots__ = ('_by_id', '_unconfirmed')

    def __init__(self) -> None:
        self._by_id: dict[int, slots.Holding] = {}
        self._unconfirmed: dict[str, dict[int, slots.Holding]] = {}

    def add(self, holding: slots.Holding, *, confirmed: bool) -> None:
        """Note a slot in use."""
        self._by_id[holding.id] = holding
        if not confirmed:
            entry = self._unconfirmed.setdefault(holding.entry, {})
            entry[holding.id] = holding

    def remove(self, id: int) -> slots.Holding | None:
        """Forget a slot in use; None if it was not known."""
        holding = self._by_id.pop(id, None)
        if holding is not None:
            self._unconfirmed.get(holding.entry, {}).pop(id, None)
        return holding

    def confirm(self, entry: str, seen: int) -> None:
        """Note that grants up to `seen` reached the entry."""
        unconfirmed = self._unconfirmed.get(entry, {})
        for id in [id for id in unconfirmed if id <= seen]:
            del unconfirmed[id]

    def count_unseen(
        self, entry: str, service: str, client_account: str
    ) -> int:
        """Return how many grants for an account the entry has not seen."""
        return sum(
            1
            for holding in self._unconfirmed.get(entry, {}).values()
            if holding.client_account == client_account
            and holding.service == service
        )

    def has_unconfirmed(self, entry: str) -> bool:
        """Return whether a grant to the entry waits for confirmation."""
        return bool(self._unconfirmed.get(entry))

    def list_confirmed(self, entry: str) -> list[int]:
        """Return the numbers of an entry's grants that it confirmed."""
        unconfirmed = self._unconfirmed.get(entry, {})
        return [
            holding.id
            for holding in self._by_id.values()
            if holding.entry == entry and holding.id not in unconfirmed
        ]

    def list_entry(self, entry: str) -> list[int]:
        """Return the numbers of all an entry's grants."""
        return [
            holding.id
            for holding in self._by_id.values()
            if holding.entry == entry
        ]

    def list_server(self, server: str) -> list[slots.Holding]:
        """Return all grants of a backend server."""
        return [
            holding
            for holding in self._by_id.values()
            if holding.server == server
        ]

    def list_late(self, before: float) -> list[slots.Holding]:
        """Return unconfirmed grants that were made before a moment."""
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
