"""Hashes that identify names in messages between instances."""

import functools

import xxhash

_BITS = 48


@functools.lru_cache(maxsize=65536)
def hash_name(name: str) -> int:
    """Return the 48-bit hash of a name.

    48 bits keep a packed message short. Among 25,000 names, the probability
    of a collision is about one in a million, and validation rejects a
    configuration with a collision.
    """
    return xxhash.xxh3_64_intdigest(name.encode()) & ((1 << _BITS) - 1)


def rendezvous_hash(key: str, name: str) -> int:
    """Return the rendezvous hash of `name` for `key`; the highest wins."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
