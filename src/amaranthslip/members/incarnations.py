"""Incarnation numbers: which start of an instance a message is about.

The upper bits are the start, in milliseconds of the wall clock; the lower
sixteen count the suspicions refuted since. An instance keeps nothing on
disk, and needs nothing: a later start has a later clock. Where the clock was
set back, the peers still remember the higher number and tell it to the
restarted instance, which then takes a start above theirs.
"""

_REFUTATION_BITS = 16
# Nothing above this is believed: a garbled number must leave room above it.
_MOST = 1 << 63


def draw(wall_seconds: float) -> int:
    """Return the incarnation of an instance that starts now.

    Parameters
    ----------
    wall_seconds : float
        Seconds since the epoch, as `time.time` gives them.
    """
    return int(wall_seconds * 1000) << _REFUTATION_BITS


def start_of(incarnation: int) -> int:
    """Return which start it belongs to, whatever was refuted since."""
    return incarnation >> _REFUTATION_BITS


def is_credible(incarnation: int) -> bool:
    """Tell whether a number that came from a peer may be real."""
    return 0 <= incarnation < _MOST


def raise_above(own: int, heard: int) -> int:
    """Return the incarnation with which to contradict `heard`.

    Parameters
    ----------
    own : int
        The instance's present incarnation.
    heard : int
        The one that others believe in, at least as high.
    """
    if start_of(heard) == start_of(own):
        return heard + 1
    # An earlier life of this name, seen with a clock that ran ahead. A new
    # start, not a refutation, so that the peers see a restart as one.
    return (start_of(heard) + 1) << _REFUTATION_BITS
