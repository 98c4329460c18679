"""Incarnation numbers, which identify one start of an instance.

The upper bits are the start time in milliseconds of the wall clock; the lower
sixteen bits count the suspicions that the instance has refuted since. No state
on disk is needed, since a later start has a later clock. If the clock was set
back, the peers still remember the higher number and send it to the restarted
instance, which then chooses a start above that number.
"""

_REFUTATION_BITS = 16
# Larger numbers are rejected: a corrupted number must leave room for a higher
# one that refutes it.
_LIMIT = 1 << 63


def create(wall_seconds: float) -> int:
    """Return the incarnation of an instance that starts at this time.

    Parameters
    ----------
    wall_seconds : float
        Start time in seconds since the epoch, as returned by `time.time`.
    """
    return int(wall_seconds * 1000) << _REFUTATION_BITS


def get_start(incarnation: int) -> int:
    """Return the start part of an incarnation, without the refutations."""
    return incarnation >> _REFUTATION_BITS


def is_credible(incarnation: int) -> bool:
    """Return whether a number received from a peer is in the valid range."""
    return 0 <= incarnation < _LIMIT


def raise_above(own: int, received: int) -> int:
    """Return an incarnation that supersedes `received`.

    Parameters
    ----------
    own : int
        The instance's present incarnation.
    received : int
        The incarnation that peers believe in, at least as high as `own`.
    """
    if get_start(received) == get_start(own):
        return received + 1
    # `received` belongs to an earlier start under this name, when the clock
    # was ahead. The result is a new start, not a refutation, so that the
    # peers recognise the restart.
    return (get_start(received) + 1) << _REFUTATION_BITS
