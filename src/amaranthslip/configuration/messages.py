"""What instances tell one another about versions."""

import typing


class VersionRequest:
    """Asks which version a peer has in force; carries the asker's own."""

    __slots__ = ('version',)

    def __init__(self, *, version: int) -> None:
        self.version = version


class VersionNotice:
    """Tells which version is in force here (0: none), and its submission."""

    __slots__ = ('version', 'submission')

    def __init__(self, *, version: int, submission: str) -> None:
        self.version = version
        self.submission = submission


class ManifestRequest:
    """Asks a peer for the manifest of this version, or of a higher one."""

    __slots__ = ('version',)

    def __init__(self, *, version: int) -> None:
        self.version = version


class ManifestAnswer:
    """A manifest as stored; no data where the sender has none."""

    __slots__ = ('version', 'data')

    def __init__(self, *, version: int, data: bytes) -> None:
        self.version = version
        self.data = data


class PartRequest:
    """Asks a peer for a part or an index."""

    __slots__ = ('digest',)

    def __init__(self, *, digest: str) -> None:
        self.digest = digest


class PartAnswer:
    """A part as stored; no data where the sender hasn't it."""

    __slots__ = ('digest', 'data')

    def __init__(self, *, digest: str, data: bytes) -> None:
        self.digest = digest
        self.data = data


class StoreEntry:
    """One key of the platform's store, as a watcher read it."""

    __slots__ = ('key', 'deleted', 'value', 'revision')

    def __init__(
        self, *, key: str, deleted: bool, value: bytes, revision: int
    ) -> None:
        self.key = key
        self.deleted = deleted
        self.value = value
        self.revision = revision


class StoreChanges:
    """What changed in the store after one revision, up to another.

    `echo` is the receiver's newest stamp that the sender had when it last
    knew that nothing else had changed; 0: none. `lapse` are milliseconds for
    which backend servers whose entry is missing stay in use: the store came
    back a moment ago, and theirs may yet.
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
    """The sender's clock in milliseconds, for a source to echo.

    `revision` is the store's, up to which the sender knows all; `missed` asks
    for all after it once more, as something between did not arrive.
    """

    __slots__ = ('stamp', 'revision', 'missed')

    def __init__(
        self, *, stamp: int, revision: int = 0, missed: bool = False
    ) -> None:
        self.stamp = stamp
        self.revision = revision
        self.missed = missed


class StoreUnreachable:
    """The sender, a watcher, does not reach the store at present."""

    __slots__ = ()
