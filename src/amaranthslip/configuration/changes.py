"""Changes: what changed in the store of late, to be told to those behind."""

import typing

from amaranthslip.configuration import messages

# Keys whose last change is kept: engines and instances of a large fleet that
# change within some minutes. Whoever is further behind asks the store.
_MOST_KEYS = 2000


class Changes:
    """The last change of each key since a revision.

    Whoever starts, turns to another source, or lost a message is told what it
    missed by its source. Each would else ask the store: a call for every
    instance, whenever a relay changes.
    """

    __slots__ = ('start', '_entries')

    def __init__(self) -> None:
        # All changes after this revision are among the entries.
        self.start = 0
        self._entries: dict[str, messages.StoreEntry] = {}

    def restart(self, revision: int) -> None:
        """Begin anew: all up to a revision was read at once."""
        self.start = revision
        self._entries.clear()

    def add(self, entry: messages.StoreEntry) -> None:
        """Keep a change, instead of an older one of the same key."""
        # Removed first, so that entries stand in the order of revisions.
        self._entries.pop(entry.key, None)
        self._entries[entry.key] = entry
        while len(self._entries) > _MOST_KEYS:
            oldest = next(iter(self._entries))
            self.start = self._entries.pop(oldest).revision

    def list_since(
        self, revision: int
    ) -> typing.Sequence[messages.StoreEntry]:
        """Return the changes after a revision, the oldest first."""
        found = []
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                break
            found.append(entry)
        return found[::-1]
