"""Short numbers that stand for names in messages between instances."""

import functools

import xxhash

_BITS = 48


@functools.lru_cache(maxsize=65536)
def identify(name: str) -> int:
    """Return the 48-bit number of a name.

    Forty-eight bits keep a packed message short; among 25,000 names two
    share a number with a chance of about one in a million, and validation
    of the configuration refuses such a pair.
    """
    return xxhash.xxh3_64_intdigest(name.encode()) & ((1 << _BITS) - 1)


def rank(key: str, name: str) -> int:
    """Return the rendezvous weight of `name` for `key`; the highest wins."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
