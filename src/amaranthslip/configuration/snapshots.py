"""Snapshots: a version with its manifest and parts, as instances keep it."""

import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import manifests
from amaranthslip.configuration import pacing
from amaranthslip.configuration import parts
from amaranthslip import errors

# Returns the data of each digest asked for; may leave some out.
Fetch = typing.Callable[[typing.Sequence[str]], dict[str, bytes]]


class Snapshot:
    """One version, whole: what peers may ask for, and the document.

    Versions share their equal parts, and with them the items' objects: a
    change of one account costs one part of memory.
    """

    __slots__ = ('manifest', 'index_part', 'index', 'parts', '_whole')

    def __init__(
        self,
        *,
        manifest: manifests.Manifest,
        index_part: parts.Part,
        index: manifests.Index,
        contents: typing.Sequence[parts.Part],
    ) -> None:
        self.manifest = manifest
        self.index_part = index_part
        self.index = index
        self.parts = {part.digest: part for part in contents}
        self._whole = build_document(manifest.version, contents)

    @property
    def document(self) -> document.Document:
        """The version's document."""
        return self._whole

    @property
    def version(self) -> int:
        """The version's number."""
        return self.manifest.version

    def find_data(self, digest: str) -> bytes | None:
        """Return the stored data of one of the parts, or of the index."""
        if digest == self.index_part.digest:
            return self.index_part.data
        part = self.parts.get(digest)
        return part.data if part is not None else None


def build_document(
    version: int, contents: typing.Iterable[parts.Part]
) -> document.Document:
    """Put the items of parts together."""
    sections: dict[str, list[typing.Any]] = {}
    for part in contents:
        sections.setdefault(part.section, []).extend(part.items)
    return document.Document(version=version, **sections)


def cut(
    whole: document.Document, previous: manifests.Index | None
) -> tuple[parts.Part, manifests.Index, list[parts.Part]]:
    """Cut a document: its index as a part, the index, and the parts."""
    before = previous.buckets if previous is not None else {}
    buckets = parts.count_buckets(whole, before)
    contents = list(parts.split(whole, buckets))
    index = manifests.Index(
        buckets=buckets, digests=[part.digest for part in contents]
    )
    return manifests.encode_index(index), index, contents


def load(
    manifest: manifests.Manifest,
    fetch: Fetch,
    *,
    previous: Snapshot | None = None,
) -> Snapshot:
    """Fetch what a version needs beyond the previous one, and check it.

    Raises
    ------
    ConfigurationDamaged
        A part is missing or is not what its digest names: nothing of the
        version is used.
    """
    digest = manifest.accepted.index
    index_part, index = _load_index(digest, fetch, previous)
    known = previous.parts if previous is not None else {}
    missing = [each for each in index.digests if each not in known]
    fetched = fetch(missing) if missing else {}
    pacer = pacing.Pacer()
    contents = []
    for each in index.digests:
        pacer.pause()
        part = known.get(each) or parts.decode(each, _take(each, fetched))
        contents.append(part)
    return Snapshot(
        manifest=manifest,
        index_part=index_part,
        index=index,
        contents=contents,
    )


def _load_index(
    digest: str, fetch: Fetch, previous: Snapshot | None
) -> tuple[parts.Part, manifests.Index]:
    if previous is not None and previous.index_part.digest == digest:
        return previous.index_part, previous.index
    data = _take(digest, fetch([digest]))
    part = parts.Part(section='index', digest=digest, data=data)
    return part, manifests.decode_index(digest, data)


def _take(digest: str, fetched: dict[str, bytes]) -> bytes:
    try:
        return fetched[digest]
    except KeyError:
        raise errors.ConfigurationDamaged(
            f'part {digest} is missing where the version was read; it is '
            'read again from another place, and if that fails too, submit '
            'the document again'
        ) from None
