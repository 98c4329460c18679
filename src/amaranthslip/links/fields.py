"""Checks that a value fits the type of a field of a message's struct.

Cap'n Proto rejects unsuitable values as well, but with an exception of its
own, which may terminate the process; see codec.py.
"""

import enum
import typing

_INTEGER_BITS = {
    'int8': 8,
    'int16': 16,
    'int32': 32,
    'int64': 64,
    'uint8': 8,
    'uint16': 16,
    'uint32': 32,
    'uint64': 64,
}
_MAX_EXACT_FLOAT_INTEGER = 1 << 53


class Field:
    """One field: its message slot, its schema name and its value type.

    Parameters
    ----------
    slot : str
        Name of the message's attribute.
    name : str
        Name of the struct's field.
    proto : capnp type
        The field's type in the schema.
    """

    __slots__ = (
        'slot',
        'name',
        '_kind',
        '_minimum',
        '_maximum',
        '_item_field',
    )

    def __init__(self, slot: str, name: str, proto: typing.Any) -> None:
        self.slot = slot
        self.name = name
        self._kind = str(proto.which())
        bits = _INTEGER_BITS.get(self._kind, 0)
        signed = self._kind.startswith('int')
        self._minimum = -(1 << (bits - 1)) if signed and bits else 0
        self._maximum = (1 << (bits - 1 if signed else bits)) - 1
        self._item_field: Field | None = None
        if self._kind == 'list':
            self._item_field = Field(slot, name, proto.list.elementType)

    def convert(self, value: typing.Any) -> typing.Any:
        """Check a value and return it in the form that pycapnp accepts.

        Raises
        ------
        TypeError
            The field can't hold the value; the message names both.
        """
        if isinstance(value, enum.IntEnum):
            value = int(value)
        if not self._accepts(value):
            raise TypeError(
                f'field {self.name} ({self._kind}) cannot hold {value!r}'
            )
        return value

    def _accepts(self, value: typing.Any) -> bool:
        if self._kind in _INTEGER_BITS:
            return (
                isinstance(value, int)
                and value is not True
                and value is not False
                and self._minimum <= value <= self._maximum
            )
        if self._kind == 'text':
            return isinstance(value, str)
        if self._kind == 'data':
            return isinstance(value, bytes)
        if self._kind == 'bool':
            return value is True or value is False
        if self._kind in ('float32', 'float64'):
            return _is_number(value)
        if self._item_field is not None:
            item_field = self._item_field
            return all(item_field._accepts(element) for element in value)
        return False


def _is_number(value: object) -> bool:
    if isinstance(value, float):
        return True
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= _MAX_EXACT_FLOAT_INTEGER
    )
