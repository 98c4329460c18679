"""Encodes and decodes message batches with Cap'n Proto's flat serialization.

The packed serialization is not used: its reader terminates the whole process
on truncated input, because an exception crosses the library unhandled. The
links compress the flat bytes with deflate, which also removes names that
repeat from batch to batch.

Cap'n Proto must not raise its own exceptions within a greenlet. Constructing
such an exception walks the stack for a trace, past the greenlet's own part
into memory that other greenlets have overwritten since, and the process dies
with a segmentation fault. Therefore values are checked before they are
written, the tag of each message is checked for unknown kinds from a newer
release before the message is read, and the links only pass on bytes whose
digest proves that the codec of a peer wrote them.
"""

import pathlib
import typing

import capnp

from amaranthslip import errors
from amaranthslip.links import fields

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('schema.capnp')))
_WORD_BYTES = 8
# Traversal limit as a multiple of the batch length. Decoding reads each word
# once; a factor of two leaves a margin. Cap'n Proto counts an element of a
# list of empty structs as one word, so the limit also bounds the number of
# objects that a crafted batch of a few bytes can create.
_TRAVERSAL_FACTOR = 2
_EXTRA_TRAVERSAL_WORDS = 64


def _convert_to_camel_case(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


class _StructMapping:
    """Mapping of one message class to its struct in the schema."""

    __slots__ = ('message_class', 'union_field', 'fields', 'list_fields')

    def __init__(
        self,
        message_class: type,
        union_field: str,
        list_fields: dict[str, '_StructMapping'],
    ) -> None:
        self.message_class = message_class
        self.union_field = union_field
        self.list_fields = list_fields
        struct = getattr(_SCHEMA, message_class.__name__).schema
        self.fields = [
            fields.Field(
                slot,
                _convert_to_camel_case(slot),
                struct.fields[_convert_to_camel_case(slot)].proto.slot.type,
            )
            for slot in message_class.__slots__
            if slot not in list_fields
        ]

    def write(self, message: object, builder: typing.Any) -> None:
        for field in self.fields:
            value = field.convert(getattr(message, field.slot))
            setattr(builder, field.name, value)
        for slot, mapping in self.list_fields.items():
            items = getattr(message, slot)
            target = builder.init(_convert_to_camel_case(slot), len(items))
            for index, item in enumerate(items):
                mapping.write(item, target[index])

    def read(self, reader: typing.Any) -> object:
        values = {
            field.slot: getattr(reader, field.name) for field in self.fields
        }
        for slot, mapping in self.list_fields.items():
            items = getattr(reader, _convert_to_camel_case(slot))
            values[slot] = [mapping.read(item) for item in items]
        return self.message_class(**values)


_MAPPINGS_BY_CLASS: dict[type, _StructMapping] = {}
_MAPPINGS_BY_TAG: dict[int, _StructMapping] = {}


def register(message_class: type, **lists: type) -> None:
    """Register a message class under its name in the schema's union.

    Parameters
    ----------
    message_class : type
        A class whose slots are the fields of the struct of the same name.
    **lists : type
        For each slot that is a list of structs, the class of its items.
    """
    name = message_class.__name__
    union_field = name[0].lower() + name[1:]
    item_mappings = {
        slot: _StructMapping(item, '', {}) for slot, item in lists.items()
    }
    mapping = _StructMapping(message_class, union_field, item_mappings)
    _MAPPINGS_BY_CLASS[message_class] = mapping
    union = _SCHEMA.Message.schema.fields[union_field]
    _MAPPINGS_BY_TAG[union.proto.discriminantValue] = mapping


class EncodedBatch:
    """One encoded batch, and the length in bytes of each message in it."""

    __slots__ = ('data', 'sizes')

    def __init__(self, data: bytes, sizes: list[int]) -> None:
        self.data = data
        self.sizes = sizes


def encode(messages: typing.Sequence[object]) -> bytes:
    """Encode one batch of messages."""
    return encode_with_sizes(messages).data


def encode_with_sizes(messages: typing.Sequence[object]) -> EncodedBatch:
    """Encode one batch, and return each message's length in bytes.

    Raises
    ------
    MessageInvalid
        A field of a message has a value that its struct can't hold.
    """
    try:
        return _encode_with_sizes(messages)
    except (capnp.KjException, TypeError, ValueError) as error:
        raise errors.MessageInvalid(
            f'cannot encode a message ({error}); report this with the log'
        ) from None


def _encode_with_sizes(messages: typing.Sequence[object]) -> EncodedBatch:
    batch = _SCHEMA.Batch.new_message()
    target = batch.init('messages', len(messages))
    sizes = []
    for index, message in enumerate(messages):
        mapping = _MAPPINGS_BY_CLASS.get(type(message))
        if mapping is None:
            raise TypeError(f'{type(message).__name__} is not registered')
        builder = target[index].init(mapping.union_field)
        mapping.write(message, builder)
        sizes.append(builder.total_size.word_count * _WORD_BYTES)
    return EncodedBatch(batch.to_bytes(), sizes)


def decode(data: bytes) -> list[object]:
    """Decode one batch; messages of unknown newer kinds are skipped.

    Raises
    ------
    MessageInvalid
        The bytes are not a valid batch; the caller must close the
        connection.
    """
    words = (
        len(data) // _WORD_BYTES * _TRAVERSAL_FACTOR + _EXTRA_TRAVERSAL_WORDS
    )
    try:
        with (
            _SCHEMA.BatchTags.from_bytes(
                data, traversal_limit_in_words=words
            ) as tags,
            _SCHEMA.Batch.from_bytes(
                data, traversal_limit_in_words=words
            ) as batch,
        ):
            return list(_read_messages(tags, batch))
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        first_line = str(error).partition('\n')[0]
        raise errors.MessageInvalid(
            f'invalid message batch ({first_line}); check that both ends run '
            'amaranthslip and that the port is the peers port'
        ) from None


def _read_messages(
    tags: typing.Any, batch: typing.Any
) -> typing.Iterator[object]:
    for tag, message in zip(tags.messages, batch.messages):
        mapping = _MAPPINGS_BY_TAG.get(tag.tag)
        if mapping is not None:
            yield mapping.read(getattr(message, mapping.union_field))
