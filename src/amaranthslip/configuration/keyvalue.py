"""Interface of the key-value service client used by the configuration."""

import contextlib
import typing


class Entry(typing.Protocol):
    """The value of a key and the revision that last changed it."""

    key: str
    value: bytes
    revision: int


class KeyValue(typing.Protocol):
    """A client of the key-value service.

    A call raises PlatformUnavailable if it certainly had no effect, and
    AnswerLost if it may have taken effect.
    """

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key is absent."""

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return every entry whose key starts with the prefix."""

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Write a value if the key has the expected revision (0: absent).

        Returns the new revision, or None if the comparison failed.
        """

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete a key if it has the expected revision.

        Returns whether the key was deleted.
        """

    def watch(
        self, prefix: str
    ) -> contextlib.AbstractContextManager[typing.Iterator[Entry]]:
        """Watch a prefix: iterate over the entries that change from now."""
