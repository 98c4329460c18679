"""Content-addressed parts: pieces of a document, well under a megabyte each.

A part is named by the SHA-256 of its content, so that equal content is
stored, transferred and kept in memory once. Client accounts and backend
servers are distributed over buckets by a hash of their names, so that a
change of one account changes one bucket and thereby one part.
"""

import hashlib
import json
import typing
import zlib

import xxhash

from amaranthslip.configuration import document
from amaranthslip.configuration import pacing
from amaranthslip import errors

# The number of buckets doubles when a bucket would hold more than the maximum
# on average, and halves when it would hold less than the minimum. The gap
# between the two keeps repeated adding and removing of one account from
# rewriting every part each time.
_MAX_BUCKET_ITEMS = 128
_MIN_BUCKET_ITEMS = 32
_BUCKETED_SECTIONS = frozenset({'client_accounts', 'backend_servers'})
# The key-value service accepts values of up to a megabyte, and the encoding
# in its JSON gateway adds a third.
MAX_DATA_BYTES = 600_000
# The maximum size of an inflated part: damaged data must not exhaust the
# memory.
_MAX_CONTENT_BYTES = 4_000_000
_COMPRESSION_LEVEL = 6


class Part:
    """Items of one section, in stored form and as objects.

    `data` is deflated JSON. `digest` is the SHA-256 of the JSON before
    compression, because the output of different zlib releases may differ.
    """

    __slots__ = ('section', 'digest', 'data', 'items')

    def __init__(
        self,
        *,
        section: str,
        digest: str,
        data: bytes,
        items: typing.Sequence[typing.Any] = (),
    ) -> None:
        self.section = section
        self.digest = digest
        self.data = data
        self.items = tuple(items)


def export_item(item: typing.Any) -> dict[str, typing.Any]:
    """Return an item's fields as values for JSON or TOML."""
    values = {}
    for name in type(item).__slots__:
        value = getattr(item, name)
        values[name] = list(value) if isinstance(value, tuple) else value
    return values


def pack(content: object) -> tuple[str, bytes]:
    """Return the digest and the stored form of JSON content.

    Raises
    ------
    ConfigurationRefused
        The stored form is too large for the key-value service.
    """
    text = json.dumps(content, sort_keys=True, separators=(',', ':')).encode()
    digest = hashlib.sha256(text).hexdigest()
    data = zlib.compress(text, _COMPRESSION_LEVEL)
    if len(data) > MAX_DATA_BYTES:
        raise errors.ConfigurationRefused(
            'part_too_large',
            f'a part of the document has {len(data)} bytes, and the limit is '
            f'{MAX_DATA_BYTES}: reduce the number of keys per account',
        )
    return digest, data


def unpack(digest: str, data: bytes) -> typing.Any:
    """Check the digest of stored data and return its content.

    Raises
    ------
    ConfigurationDamaged
        The data can't be inflated or does not match the digest.
    """
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(data, _MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise _make_damage_error(digest, str(error)) from None
    if hashlib.sha256(text).hexdigest() != digest:
        raise _make_damage_error(digest, 'its content has another digest')
    return json.loads(text)


def _make_damage_error(
    digest: str, reason: str
) -> errors.ConfigurationDamaged:
    return errors.ConfigurationDamaged(
        f'part {digest} is damaged ({reason}); it is read again from another '
        'source; if that fails as well, submit the document again'
    )


def encode(section: str, items: typing.Sequence[typing.Any]) -> Part:
    """Return the part that holds these items."""
    exported = [export_item(item) for item in items]
    digest, data = pack({'section': section, 'items': exported})
    return Part(section=section, digest=digest, data=data, items=items)


def decode(digest: str, data: bytes) -> Part:
    """Decode a part.

    Raises
    ------
    ConfigurationDamaged
        The data does not match the digest, or this release can't read it.
    """
    content = unpack(digest, data)
    try:
        section = content['section']
        build = document.SECTION_CLASSES[section]
        items = [build(**item) for item in content['items']]
    except (KeyError, TypeError) as error:
        raise errors.ConfigurationDamaged(
            f'part {digest} has an unknown format ({error!r}): it was '
            'written by a newer release; update this instance to that release'
        ) from None
    return Part(section=section, digest=digest, data=data, items=items)


def split(
    full_document: document.Document, buckets: dict[str, int]
) -> typing.Iterator[Part]:
    """Yield the parts of a document, ordered by section."""
    pacer = pacing.Pacer()
    for section in document.SECTION_CLASSES:
        items = list(getattr(full_document, section).values())
        count = buckets.get(section, 1)
        if section not in _BUCKETED_SECTIONS:
            yield encode(section, items)
            continue
        for bucket in _fill_buckets(items, count):
            pacer.pause()
            if bucket:
                yield encode(section, bucket)


def _fill_buckets(
    items: typing.Sequence[typing.Any], count: int
) -> list[list[typing.Any]]:
    filled: list[list[typing.Any]] = [[] for _ in range(count)]
    for item in sorted(items, key=lambda each: each.name):
        filled[choose_bucket(item.name, count)].append(item)
    return filled


def choose_bucket(name: str, count: int) -> int:
    """Return the bucket number, below `count`, of a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % count


def count_buckets(
    full_document: document.Document, previous: dict[str, int]
) -> dict[str, int]:
    """Return the number of buckets of each bucketed section.

    Parameters
    ----------
    previous : dict of str to int
        The numbers of the previous version, which are kept while the average
        size of a bucket stays within its limits.
    """
    counts = {}
    for section in sorted(_BUCKETED_SECTIONS):
        items = len(getattr(full_document, section))
        count = previous.get(section, 1)
        while items > count * _MAX_BUCKET_ITEMS:
            count *= 2
        while count > 1 and items < count * _MIN_BUCKET_ITEMS:
            count //= 2
        counts[section] = count
    return counts
