"""Messages between instances about versions and changes of the store."""

import typing


class VersionRequest:
    """Requests a peer's version in force and carries the sender's own."""

    __slots__ = ('version',)

    def __init__(self, *, version: int) -> None:
        self.version = version


class VersionNotice:
    """The sender's version in force (0: none) and its submission id."""

    __slots__ = ('version', 'submission')

    def __init__(self, *, version: int, submission: str) -> None:
        self.version = version
        self.submission = submission


class ManifestRequest:
    """Requests the manifest of a version, or of a higher one."""

    __slots__ = ('version',)

    def __init__(self, *, version: int) -> None:
        self.version = version


class ManifestAnswer:
    """A manifest in stored form; empty data if the sender has none."""

    __slots__ = ('version', 'data')

    def __init__(self, *, version: int, data: bytes) -> None:
        self.version = version
        self.data = data


class PartRequest:
    """Requests a part or an index by digest."""

    __slots__ = ('digest',)

    def __init__(self, *, digest: str) -> None:
        self.digest = digest


class PartAnswer:
    """A part in stored form; empty data if the sender does not have it."""

    __slots__ = ('digest', 'data')

    def __init__(self, *, digest: str, data: bytes) -> None:
        self.digest = digest
        self.data = data


class StoreEntry:
    """One key of the platform's store as read by a watcher."""

    __slots__ = ('key', 'deleted', 'value', 'revision')

    def __init__(
        self, *, key: str, deleted: bool, value: bytes, revision: int
    ) -> None:
        self.key = key
        self.deleted = deleted
        self.value = value
        self.revision = revision


class StoreChanges:
    """The changes of the store after one revision, up to another.

    `echo` is the newest of the receiver's stamps that had arrived at the
    sender when the sender's knowledge of the store was last confirmed as
    current; 0 if there is none. `lapse` is the time in milliseconds for which
    backend servers without an entry stay in use: after an outage of the store
    their entries may not be written again yet.
    """

    __slots__ = ('after', 'revision', 'echo', 'entries', 'lapse')

    def __init__(
        self,
        *,
        after: int,
        revision: int,
        echo: int,
        entries: typing.Sequence[StoreEntry] = (),
        lapse: int = 0,
    ) -> None:
        self.after = after
        self.revision = revision
        self.echo = echo
        self.entries = entries
        self.lapse = lapse


class StoreStamp:
    """The sender's clock in milliseconds, which its sources echo.

    `revision` is the revision of the store up to which the sender has all
    changes. `missed` requests all later changes again, because some of them
    did not arrive.
    """

    __slots__ = ('stamp', 'revision', 'missed')

    def __init__(
        self, *, stamp: int, revision: int = 0, missed: bool = False
    ) -> None:
        self.stamp = stamp
        self.revision = revision
        self.missed = missed


class StoreUnreachable:
    """Reports that the sender, a watcher, can't reach the store."""

    __slots__ = ()
