"""One measured figure, and what measuring needs of the process."""

import os
import time
import typing

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Slope:
    """One figure with its unit and how it was found."""

    __slots__ = ('name', 'value', 'unit', 'note')

    def __init__(
        self, name: str, value: float, unit: str, note: str = ''
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.note = note

    def describe(self) -> dict[str, typing.Any]:
        """Return it as plain values for a report."""
        return {key: getattr(self, key) for key in self.__slots__}


def read_resident_bytes() -> int:
    """Return the memory that this process holds now."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def time_call(call: typing.Callable[[], object], *, count: int) -> float:
    """Return the processor time of one call, in microseconds."""
    call()
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6
