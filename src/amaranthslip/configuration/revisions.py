"""Revisions of the platform's store, and its leases, with their era.

The store may be restored from an older copy. It then counts revisions and
leases from the copy on, and gives out numbers again that it gave out before;
each restore begins a new era. One integer holds era and number, so that it is
ordered by era first, and that no comparison can leave the era out.
"""

_NUMBER_BITS = 48
_MAX_NUMBER = (1 << _NUMBER_BITS) - 1
# The combined integer has 64 bits in messages between instances.
MAX_ERA = (1 << (64 - _NUMBER_BITS)) - 1


def join(era: int, number: int) -> int:
    """Return the integer that holds an era and a number.

    Raises
    ------
    ValueError
        A part is out of range.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f'era {era} or number {number} is out of range')
    return era << _NUMBER_BITS | number


def read_era(joined: int) -> int:
    """Return the era of a revision or lease."""
    return joined >> _NUMBER_BITS


def read_number(joined: int) -> int:
    """Return the number that the store knows a revision or lease by."""
    return joined & _MAX_NUMBER
