"""Content-addressed parts: a document cut into pieces well under a megabyte.

A part is named by the SHA-256 of its content, so that equal content is
stored, moved and kept once. Client accounts and backend servers are spread
over buckets by a hash of their names: a change of one account changes one
bucket, and with it one part.
"""

import hashlib
import json
import typing
import zlib

import xxhash

from amaranthslip.configuration import document
from amaranthslip.configuration import pacing
from amaranthslip import errors

# Buckets double when they would hold more than the most, and halve when
# they would hold less than the least: between the two, adding and removing
# the same account does not move every part back and forth.
_MOST_BUCKET_ITEMS = 128
_LEAST_BUCKET_ITEMS = 32
_BUCKETED = frozenset({'client_accounts', 'backend_servers'})
# The service holds values up to a megabyte; its JSON gateway adds a third.
MOST_DATA_BYTES = 600_000
# What a part may hold once inflated: damaged data must not fill the memory.
_MOST_CONTENT_BYTES = 4_000_000
_COMPRESSION_LEVEL = 6


class Part:
    """Items of one section, as stored and as objects.

    `data` is deflated JSON; `digest` is the SHA-256 of the JSON before it
    was deflated, because two releases of zlib may deflate differently.
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
    """Return the digest and the stored data of some JSON content."""
    text = json.dumps(content, sort_keys=True, separators=(',', ':')).encode()
    digest = hashlib.sha256(text).hexdigest()
    data = zlib.compress(text, _COMPRESSION_LEVEL)
    if len(data) > MOST_DATA_BYTES:
        raise errors.ConfigurationRefused(
            'part_too_large',
            f'a part of the document takes {len(data)} bytes, at most '
            f'{MOST_DATA_BYTES} fit: give the accounts fewer keys',
        )
    return digest, data


def unpack(digest: str, data: bytes) -> typing.Any:
    """Return the content of stored data once its digest is checked.

    Raises
    ------
    ConfigurationDamaged
        The data is not what the digest names.
    """
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(data, _MOST_CONTENT_BYTES)
    except zlib.error as error:
        raise _report_damage(digest, str(error)) from None
    if hashlib.sha256(text).hexdigest() != digest:
        raise _report_damage(digest, 'its content has another digest')
    return json.loads(text)


def _report_damage(digest: str, why: str) -> errors.ConfigurationDamaged:
    return errors.ConfigurationDamaged(
        f'part {digest} is damaged ({why}); it is read again from another '
        'place, and if that fails too, submit the document again'
    )


def encode(section: str, items: typing.Sequence[typing.Any]) -> Part:
    """Make the part that holds these items."""
    exported = [export_item(item) for item in items]
    digest, data = pack({'section': section, 'items': exported})
    return Part(section=section, digest=digest, data=data, items=items)


def decode(digest: str, data: bytes) -> Part:
    """Read a part; raises ConfigurationDamaged if it can't be."""
    content = unpack(digest, data)
    try:
        section = content['section']
        build = document.SECTION_CLASSES[section]
        items = [build(**item) for item in content['items']]
    except (KeyError, TypeError) as error:
        raise errors.ConfigurationDamaged(
            f'part {digest} has an unknown form ({error!r}): it was written '
            'by a newer release; bring this instance to that release'
        ) from None
    return Part(section=section, digest=digest, data=data, items=items)


def split(
    whole: document.Document, buckets: dict[str, int]
) -> typing.Iterator[Part]:
    """Yield the parts of a document, in the order of their sections."""
    pacer = pacing.Pacer()
    for section in document.SECTION_CLASSES:
        items = list(getattr(whole, section).values())
        count = buckets.get(section, 1)
        if section not in _BUCKETED:
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
    """Return the bucket of a name among `count`."""
    return xxhash.xxh3_64_intdigest(name.encode()) % count


def count_buckets(
    whole: document.Document, previous: dict[str, int]
) -> dict[str, int]:
    """Return the number of buckets of each bucketed section.

    Parameters
    ----------
    previous : dict of str to int
        The numbers of the version before, kept while they still fit.
    """
    counts = {}
    for section in sorted(_BUCKETED):
        items = len(getattr(whole, section))
        count = previous.get(section, 1)
        while items > count * _MOST_BUCKET_ITEMS:
            count *= 2
        while count > 1 and items < count * _LEAST_BUCKET_ITEMS:
            count //= 2
        counts[section] = count
    return counts
