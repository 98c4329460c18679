"""A measured figure, and helpers that measure memory and processor time."""

import os
import time
import typing

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Slope:
    """A measured figure with its unit and a note on how it was measured."""

    __slots__ = ('name', 'value', 'unit', 'note')

    def __init__(
        self, name: str, value: float, unit: str, note: str = ''
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.note = note

    def describe(self) -> dict[str, typing.Any]:
        """Return the fields as a dictionary that can be written as JSON."""
        return {key: getattr(self, key) for key in self.__slots__}


def read_resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def time_call(call: typing.Callable[[], object], *, count: int) -> float:
    """Return the mean processor time of one call, in microseconds.

    The first call, which may fill caches, is not timed.
    """
    call()
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6
