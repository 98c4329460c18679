"""Snapshots: a version with its manifest and parts, in memory."""

import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import manifests
from amaranthslip.configuration import pacing
from amaranthslip.configuration import parts
from amaranthslip import errors

# Returns the data of the requested digests; missing parts are left out.
Fetch = typing.Callable[[typing.Sequence[str]], dict[str, bytes]]


class Snapshot:
    """One complete version: the parts that peers may request, and a document.

    Versions share equal parts and the item objects in them, so that a version
    that changes one account needs the memory of one additional part.
    """

    __slots__ = ('manifest', 'index_part', 'index', 'parts', '_document')

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
        self._document = build_document(manifest.version, contents)

    @property
    def document(self) -> document.Document:
        """The version's document."""
        return self._document

    @property
    def version(self) -> int:
        """The version's number."""
        return self.manifest.version

    def find_data(self, digest: str) -> bytes | None:
        """Return the stored form of a part or the index; None if unknown."""
        if digest == self.index_part.digest:
            return self.index_part.data
        part = self.parts.get(digest)
        return part.data if part is not None else None


def build_document(
    version: int, contents: typing.Iterable[parts.Part]
) -> document.Document:
    """Return the document made of the items of all parts."""
    sections: dict[str, list[typing.Any]] = {}
    for part in contents:
        sections.setdefault(part.section, []).extend(part.items)
    return document.Document(version=version, **sections)


def split_document(
    full_document: document.Document, previous: manifests.Index | None
) -> tuple[parts.Part, manifests.Index, list[parts.Part]]:
    """Split a document into parts.

    Returns
    -------
    tuple
        The part that stores the index, the index, and the parts.
    """
    previous_buckets = previous.buckets if previous is not None else {}
    buckets = parts.count_buckets(full_document, previous_buckets)
    contents = list(parts.split(full_document, buckets))
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
    """Fetch and check the parts of a version that the previous one lacks.

    Raises
    ------
    ConfigurationDamaged
        A part is missing or does not match its digest. No part of the
        version is used then.
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
        part = known.get(each) or parts.decode(each, _get_data(each, fetched))
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
    data = _get_data(digest, fetch([digest]))
    part = parts.Part(section='index', digest=digest, data=data)
    return part, manifests.decode_index(digest, data)


def _get_data(digest: str, fetched: dict[str, bytes]) -> bytes:
    try:
        return fetched[digest]
    except KeyError:
        raise errors.ConfigurationDamaged(
            f'part {digest} is missing at the source of the version; it is '
            'read again from another source; if that fails as well, submit '
            'the document again'
        ) from None
