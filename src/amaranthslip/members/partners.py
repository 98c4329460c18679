"""Whom a member probes: a few fixed others, so that links stay open.

With a random target each period, every probe and every answer of a large
fleet needs a new connection. Here the names stand in a circle, in the order
of their hashes, and each member probes those 1, 2, 4, 8 and so on places
ahead, as the fingers of a Chord ring. Every member has as many probers as it
has targets, news reaches all in a logarithmic number of steps, and since the
whole list is known there are no pointers to keep.
"""

import typing

from amaranthslip import identity


def choose(own: str, names: typing.Iterable[str]) -> list[str]:
    """Return the names that `own` probes.

    Parameters
    ----------
    own : str
        The prober, which may be among the names.
    names : iterable of str
        Everyone who is to be probed by someone.

    Returns
    -------
    list of str
        One for each power of two below the number of names.
    """
    circle = sorted({own, *names}, key=identity.identify)
    place = circle.index(own)
    chosen = []
    step = 1
    while step < len(circle):
        chosen.append(circle[(place + step) % len(circle)])
        step *= 2
    return chosen
