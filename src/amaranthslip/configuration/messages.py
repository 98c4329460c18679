"""What instances tell one another about versions."""


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
