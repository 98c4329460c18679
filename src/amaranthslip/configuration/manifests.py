"""The manifest: which version is accepted, by whom, and of which parts.

It is the one value that decides. It names the index, itself a part, which
lists the parts of the version; so the manifest stays small however large
the document is.
"""

import json
import typing

from amaranthslip.configuration import parts
from amaranthslip import errors

# Versions that the manifest remembers besides the present one: at 1,100
# changes a day about half an hour, so that racing writers find their base.
HISTORY_VERSIONS = 24


class Acceptance:
    """One accepted version: who submitted it, when, and its index.

    `time` is in seconds since 1970 by the submitter's clock, for people;
    nothing is decided by it.
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
    """The accepted version, and those before it, newest first.

    `collections` counts the collections of unreferenced parts: each raises
    it, which fails the swap of any writer that read the manifest before.
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
        """Return every version that the manifest knows, newest first."""
        return [self.accepted, *self.history]

    def find_submission(self, submission: str) -> Acceptance | None:
        """Return the version that came of a submission, if it is known."""
        for each in self.list_versions():
            if each.submission == submission:
                return each
        return None

    def find_version(self, version: int) -> Acceptance | None:
        """Return what is known of a version number."""
        for each in self.list_versions():
            if each.version == version:
                return each
        return None

    def follow(self, accepted: Acceptance) -> 'Manifest':
        """Return the manifest in which `accepted` comes after this one."""
        return Manifest(
            accepted=accepted,
            history=self.list_versions()[:HISTORY_VERSIONS],
            collections=self.collections,
        )


class Index:
    """The parts of one version, and the buckets they were cut into."""

    __slots__ = ('buckets', 'digests')

    def __init__(
        self, *, buckets: dict[str, int], digests: typing.Sequence[str]
    ) -> None:
        self.buckets = buckets
        self.digests = tuple(digests)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return a manifest as stored and as sent between instances."""
    content = {
        'accepted': parts.export_item(manifest.accepted),
        'history': [parts.export_item(each) for each in manifest.history],
        'collections': manifest.collections,
    }
    return json.dumps(content, separators=(',', ':')).encode()


def decode_manifest(data: bytes) -> Manifest:
    """Read a manifest; raises ConfigurationDamaged if it can't be."""
    try:
        content = json.loads(data)
        manifest = Manifest(
            accepted=Acceptance(**content['accepted']),
            history=[Acceptance(**each) for each in content['history']],
            collections=content['collections'],
        )
        if not all(_is_sound(each) for each in manifest.list_versions()):
            raise ValueError('a field is of the wrong type')
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise errors.ConfigurationDamaged(
            f'the manifest has an unknown form ({error!r}): something else '
            'writes to its key, or a newer release wrote it; what is in '
            'force stays in force'
        ) from None
    return manifest


def _is_sound(each: Acceptance) -> bool:
    texts = (each.submission, each.author, each.index)
    if not all(isinstance(text, str) for text in texts):
        return False
    return isinstance(each.version, int) and each.version > 0


def encode_index(index: Index) -> parts.Part:
    """Make the part that lists a version's parts."""
    digest, data = parts.pack(
        {'buckets': index.buckets, 'digests': index.digests}
    )
    return parts.Part(section='index', digest=digest, data=data)


def decode_index(digest: str, data: bytes) -> Index:
    """Read an index; raises ConfigurationDamaged if it can't be."""
    content = parts.unpack(digest, data)
    try:
        return Index(buckets=content['buckets'], digests=content['digests'])
    except (KeyError, TypeError) as error:
        raise errors.ConfigurationDamaged(
            f'index {digest} has an unknown form ({error!r}): it was written '
            'by a newer release; bring this instance to that release'
        ) from None
