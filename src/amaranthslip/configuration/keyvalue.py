"""What the configuration asks of the key-value service's client."""

import contextlib
import typing


class Entry(typing.Protocol):
    """One key's value, and the revision that last changed it."""

    key: str
    value: bytes
    revision: int


class KeyValue(typing.Protocol):
    """A client of the key-value service.

    Every call raises PlatformUnavailable if it surely had no effect, and
    AnswerLost if it may have had one.
    """

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None if it is absent."""

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return every entry whose key starts with the prefix."""

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Write if the key's revision is as expected (0: absent).

        Returns the new revision, or None where the comparison failed.
        """

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete if the key's revision is as expected."""

    def watch(
        self, prefix: str
    ) -> contextlib.AbstractContextManager[typing.Iterator[Entry]]:
        """Open a watch: an iterator of the entries that change from now."""
