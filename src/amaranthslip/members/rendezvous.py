"""Rendezvous hashing: which members serve a key, with no ring to keep."""

import heapq
import typing

from amaranthslip import identity


def pick(key: str, names: typing.Iterable[str], count: int) -> list[str]:
    """Return the `count` names with the highest weights for a key.

    Every instance that knows the same names picks the same ones. A name
    that goes moves only the keys that it was picked for.

    Parameters
    ----------
    key : str
        What is to be placed, such as a service and client account.
    names : iterable of str
        The candidates, such as the names of the live members.
    count : int
        How many to pick; all, where there are fewer.

    Returns
    -------
    list of str
        Highest weight first; equal weights in the order of the names.
    """
    ranked = ((identity.rank(key, name), name) for name in names)
    return [name for _, name in heapq.nlargest(count, ranked)]
