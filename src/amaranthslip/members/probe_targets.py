"""Chooses a few fixed probe targets of a member, so that links stay open.

With a random target in each period, every probe and every answer in a large
fleet would need a new connection. Instead, the names form a ring in the order
of their hashes, and each member probes the members 1, 2, 4, 8 and so on
positions ahead, like the fingers of a Chord ring. Every member is probed by as
many members as it probes, and gossip reaches all members in a logarithmic
number of steps. Since the whole list of members is known, no finger table has
to be maintained.
"""

import typing

from amaranthslip import identity


def choose(own: str, names: typing.Iterable[str]) -> list[str]:
    """Return the names that `own` probes.

    Parameters
    ----------
    own : str
        Name of the probing member, which may be among the names.
    names : iterable of str
        All members that have to be probed.

    Returns
    -------
    list of str
        One for each power of two below the number of names.
    """
    ring = sorted({own, *names}, key=identity.hash_name)
    position = ring.index(own)
    chosen = []
    step = 1
    while step < len(ring):
        chosen.append(ring[(position + step) % len(ring)])
        step *= 2
    return chosen
