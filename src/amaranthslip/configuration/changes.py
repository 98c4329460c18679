"""Recent changes of the store, to be sent to instances that lag behind."""

import typing

from amaranthslip.configuration import messages

# The number of keys whose last change is kept. It covers the engines and
# instances of a large fleet that change within some minutes. An instance that
# lags further behind reads the store.
_MAX_KEYS = 2000


class Changes:
    """The last change of each key since a revision.

    An instance that starts, switches to another source or lost a message
    receives the changes that it missed from its source. Without this record
    it would have to read the store, which costs one call per instance
    whenever a relay changes.

    `start` is the revision after which all changes are recorded.
    """

    __slots__ = ('start', '_entries')

    def __init__(self) -> None:
        # The entries contain every change after this revision.
        self.start = 0
        self._entries: dict[str, messages.StoreEntry] = {}

    def reset(self, revision: int) -> None:
        """Clear the record after a full read of the store at a revision."""
        self.start = revision
        self._entries.clear()

    def add(self, entry: messages.StoreEntry) -> None:
        """Record a change, replacing an older one of the same key."""
        # Removing the key first keeps the entries ordered by revision.
        self._entries.pop(entry.key, None)
        self._entries[entry.key] = entry
        while len(self._entries) > _MAX_KEYS:
            oldest = next(iter(self._entries))
            self.start = self._entries.pop(oldest).revision

    def list_since(
        self, revision: int
    ) -> typing.Sequence[messages.StoreEntry]:
        """Return the changes after a revision, oldest first."""
        newer = []
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                break
            newer.append(entry)
        return newer[::-1]
