"""The manifest: the accepted version, its author and its index.

The manifest is the single value that determines which version is accepted.
It names the index by digest, and the index, itself stored as a part, lists
the parts of the version. The manifest therefore stays small for documents of
any size.
"""

import json
import typing

from amaranthslip.configuration import parts
from amaranthslip import errors

# The number of earlier versions that the manifest lists. At 1,100 changes a
# day this covers about half an hour, so that concurrent writers find their
# base version.
HISTORY_VERSIONS = 24


class Acceptance:
    """One accepted version: its author, submission time and index.

    `time` is in seconds since 1970 by the submitter's clock. It is for
    display only; no decision depends on it.
    """

    __slots__ = ('version', 'submission', 'author', 'time', 'index')

    def __init__(
        self,
        *,
        version: int,
        submission: str,
        author: str,
        time: float,
        index: str,
    ) -> None:
        self.version = version
        self.submission = submission
        self.author = author
        self.time = time
        self.index = index


class Manifest:
    """The accepted version, and the versions before it, newest first.

    `collections` counts the garbage collections of unreferenced parts. Each
    collection increments it, so that the swap of any writer that read the
    manifest earlier fails.
    """

    __slots__ = ('accepted', 'history', 'collections')

    def __init__(
        self,
        *,
        accepted: Acceptance,
        history: typing.Sequence[Acceptance] = (),
        collections: int = 0,
    ) -> None:
        self.accepted = accepted
        self.history = tuple(history)
        self.collections = collections

    @property
    def version(self) -> int:
        """The accepted version's number."""
        return self.accepted.version

    def list_versions(self) -> list[Acceptance]:
        """Return the accepted and all earlier versions, newest first."""
        return [self.accepted, *self.history]

    def find_submission(self, submission: str) -> Acceptance | None:
        """Return the version made by a submission, or None if not listed."""
        for each in self.list_versions():
            if each.submission == submission:
                return each
        return None

    def find_version(self, version: int) -> Acceptance | None:
        """Return the version with a number, or None if it is not listed."""
        for each in self.list_versions():
            if each.version == version:
                return each
        return None

    def make_successor(self, accepted: Acceptance) -> 'Manifest':
        """Return the manifest that succeeds this one with `accepted`."""
        return Manifest(
            accepted=accepted,
            history=self.list_versions()[:HISTORY_VERSIONS],
            collections=self.collections,
        )


class Index:
    """The parts of one version, and the number of buckets per section."""

    __slots__ = ('buckets', 'digests')

    def __init__(
        self, *, buckets: dict[str, int], digests: typing.Sequence[str]
    ) -> None:
        self.buckets = buckets
        self.digests = tuple(digests)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return a manifest in the form stored and sent between instances."""
    content = {
        'accepted': parts.export_item(manifest.accepted),
        'history': [parts.export_item(each) for each in manifest.history],
        'collections': manifest.collections,
    }
    return json.dumps(content, separators=(',', ':')).encode()


def decode_manifest(data: bytes) -> Manifest:
    """Decode a manifest.

    Raises
    ------
    ConfigurationDamaged
        The data is not a manifest that this release can read.
    """
    try:
        content = json.loads(data)
        manifest = Manifest(
            accepted=Acceptance(**content['accepted']),
            history=[Acceptance(**each) for each in content['history']],
            collections=content['collections'],
        )
        if not all(
            _has_valid_fields(each) for each in manifest.list_versions()
        ):
            raise ValueError('a field has the wrong type')
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise errors.ConfigurationDamaged(
            f'the manifest has an unknown format ({error!r}): another '
            'program writes to its key, or a newer release wrote it; the '
            'version in force stays in force'
        ) from None
    return manifest


def _has_valid_fields(each: Acceptance) -> bool:
    texts = (each.submission, each.author, each.index)
    if not all(isinstance(text, str) for text in texts):
        return False
    return isinstance(each.version, int) and each.version > 0


def encode_index(index: Index) -> parts.Part:
    """Return the part that stores an index."""
    digest, data = parts.pack(
        {'buckets': index.buckets, 'digests': index.digests}
    )
    return parts.Part(section='index', digest=digest, data=data)


def decode_index(digest: str, data: bytes) -> Index:
    """Decode an index.

    Raises
    ------
    ConfigurationDamaged
        The data does not match the digest, or this release can't read it.
    """
    content = parts.unpack(digest, data)
    try:
        return Index(buckets=content['buckets'], digests=content['digests'])
    except (KeyError, TypeError) as error:
        raise errors.ConfigurationDamaged(
            f'index {digest} has an unknown format ({error!r}): it was '
            'written by a newer release; update this instance to that release'
        ) from None
