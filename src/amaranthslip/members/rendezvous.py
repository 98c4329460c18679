"""Rendezvous hashing: assigns keys to members without a hash ring."""

import heapq
import typing

from amaranthslip import identity


def pick(key: str, names: typing.Iterable[str], count: int) -> list[str]:
    """Return the `count` names with the highest weights for a key.

    Instances that know the same names pick the same ones. When a name is
    removed, only the keys that it was picked for move.

    Parameters
    ----------
    key : str
        The key to assign, such as a service and client account.
    names : iterable of str
        The candidates, such as the names of the live members.
    count : int
        Number of names to pick; if there are fewer, all are returned.

    Returns
    -------
    list of str
        Highest weight first. Among equal weights the greater name is first.
    """
    ranked = ((identity.rendezvous_hash(key, name), name) for name in names)
    return [name for _, name in heapq.nlargest(count, ranked)]
