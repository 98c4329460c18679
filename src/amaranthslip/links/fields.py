"""Which values the fields of a message's struct can hold.

The library would refuse the others as well, but by an exception of its own,
and that may end the process; see codec.py.
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
_EXACT_INTEGER = 1 << 53


class Field:
    """One field: a slot of the message, its name and what it holds.

    Parameters
    ----------
    slot : str
        The message's attribute.
    name : str
        The struct's field.
    proto : capnp type
        The field's type in the schema.
    """

    __slots__ = ('slot', 'name', '_kind', '_low', '_high', '_item')

    def __init__(self, slot: str, name: str, proto: typing.Any) -> None:
        self.slot = slot
        self.name = name
        self._kind = str(proto.which())
        bits = _INTEGER_BITS.get(self._kind, 0)
        signed = self._kind.startswith('int')
        self._low = -(1 << (bits - 1)) if signed and bits else 0
        self._high = (1 << (bits - 1 if signed else bits)) - 1
        self._item: Field | None = None
        if self._kind == 'list':
            self._item = Field(slot, name, proto.list.elementType)

    def convert(self, value: typing.Any) -> typing.Any:
        """Return a value as the library takes it.

        Raises
        ------
        TypeError
            Names the field, and the value that it can't hold.
        """
        if isinstance(value, enum.IntEnum):
            value = int(value)
        if not self._holds(value):
            raise TypeError(f'{self.name} ({self._kind}) holds no {value!r}')
        return value

    def _holds(self, value: typing.Any) -> bool:
        if self._kind in _INTEGER_BITS:
            return (
                isinstance(value, int)
                and value is not True
                and value is not False
                and self._low <= value <= self._high
            )
        if self._kind == 'text':
            return isinstance(value, str)
        if self._kind == 'data':
            return isinstance(value, bytes)
        if self._kind == 'bool':
            return value is True or value is False
        if self._kind in ('float32', 'float64'):
            return _is_number(value)
        if self._item is not None:
            item = self._item
            return all(item._holds(each) for each in value)
        return False


def _is_number(value: object) -> bool:
    if isinstance(value, float):
        return True
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= _EXACT_INTEGER
    )
