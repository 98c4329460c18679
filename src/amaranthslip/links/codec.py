"""Messages to bytes and back, by Cap'n Proto's flat serialisation.

Not the packed one: its reader ends the whole process on truncated input (an
exception that crosses the library unhandled). Links deflate the flat bytes,
which also folds the names that repeat from batch to batch.

An exception of the library itself must not be raised within a greenlet. As
it is made it walks the stack for a trace, past the greenlet's own part into
what other greenlets have overwritten since, and the process dies by a
segmentation fault. So values are checked before they are written, kinds that
a newer release knows are seen by their tag before they are read, and links
hand over only bytes whose digest shows that a peer's codec wrote them.
"""

import pathlib
import typing

import capnp

from amaranthslip import errors
from amaranthslip.links import fields

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('schema.capnp')))
_WORD_BYTES = 8
# Each word is read once; twice that leaves room. Cap'n Proto counts an
# element of a list of empty structs as a word, so that this also bounds the
# objects that a crafted batch of a few bytes can ask for.
_TRAVERSALS = 2
_SPARE_WORDS = 64


def _camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


class _Form:
    """How one message class maps to its struct in the schema."""

    __slots__ = ('message_class', 'union_field', 'fields', 'lists')

    def __init__(
        self,
        message_class: type,
        union_field: str,
        lists: dict[str, '_Form'],
    ) -> None:
        self.message_class = message_class
        self.union_field = union_field
        self.lists = lists
        struct = getattr(_SCHEMA, message_class.__name__).schema
        self.fields = [
            fields.Field(
                slot,
                _camel(slot),
                struct.fields[_camel(slot)].proto.slot.type,
            )
            for slot in message_class.__slots__
            if slot not in lists
        ]

    def write(self, message: object, builder: typing.Any) -> None:
        for field in self.fields:
            value = field.convert(getattr(message, field.slot))
            setattr(builder, field.name, value)
        for slot, form in self.lists.items():
            items = getattr(message, slot)
            target = builder.init(_camel(slot), len(items))
            for index, item in enumerate(items):
                form.write(item, target[index])

    def read(self, reader: typing.Any) -> object:
        values = {
            field.slot: getattr(reader, field.name) for field in self.fields
        }
        for slot, form in self.lists.items():
            items = getattr(reader, _camel(slot))
            values[slot] = [form.read(item) for item in items]
        return self.message_class(**values)


_BY_CLASS: dict[type, _Form] = {}
_BY_TAG: dict[int, _Form] = {}


def register(message_class: type, **lists: type) -> None:
    """Make a message class known, under its name in the schema's union.

    Parameters
    ----------
    message_class : type
        A class whose slots are the fields of the struct of its name.
    **lists : type
        For each slot that is a list of structs, the class of its items.
    """
    name = message_class.__name__
    union_field = name[0].lower() + name[1:]
    forms = {slot: _Form(item, '', {}) for slot, item in lists.items()}
    form = _Form(message_class, union_field, forms)
    _BY_CLASS[message_class] = form
    union = _SCHEMA.Message.schema.fields[union_field]
    _BY_TAG[union.proto.discriminantValue] = form


class Encoded:
    """One batch as bytes, and the length of each message within it."""

    __slots__ = ('data', 'sizes')

    def __init__(self, data: bytes, sizes: list[int]) -> None:
        self.data = data
        self.sizes = sizes


def encode(messages: typing.Sequence[object]) -> bytes:
    """Return one batch as bytes."""
    return encode_sized(messages).data


def encode_sized(messages: typing.Sequence[object]) -> Encoded:
    """Return one batch, and each message's length in bytes.

    Raises
    ------
    MessageInvalid
        A message holds a value that its struct can't.
    """
    try:
        return _encode_sized(messages)
    except (capnp.KjException, TypeError, ValueError) as error:
        raise errors.MessageInvalid(
            f'a message can not be written ({error}); report it with the log'
        ) from None


def _encode_sized(messages: typing.Sequence[object]) -> Encoded:
    batch = _SCHEMA.Batch.new_message()
    target = batch.init('messages', len(messages))
    sizes = []
    for index, message in enumerate(messages):
        form = _BY_CLASS.get(type(message))
        if form is None:
            raise TypeError(f'{type(message).__name__} is not registered')
        builder = target[index].init(form.union_field)
        form.write(message, builder)
        sizes.append(builder.total_size.word_count * _WORD_BYTES)
    return Encoded(batch.to_bytes(), sizes)


def decode(data: bytes) -> list[object]:
    """Return the messages of one batch; unknown newer kinds are left out.

    Raises
    ------
    MessageInvalid
        The bytes are no batch: close the connection.
    """
    words = len(data) // _WORD_BYTES * _TRAVERSALS + _SPARE_WORDS
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
            f'not a batch of messages ({first_line}); both ends must run '
            'amaranthslip, and the port must be the peers port'
        ) from None


def _read_messages(
    tags: typing.Any, batch: typing.Any
) -> typing.Iterator[object]:
    for tag, message in zip(tags.messages, batch.messages):
        form = _BY_TAG.get(tag.tag)
        if form is not None:
            yield form.read(getattr(message, form.union_field))
