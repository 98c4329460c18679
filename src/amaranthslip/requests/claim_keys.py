"""Hashes and ages of idempotency keys, and hashes of their requests."""

import hashlib
import uuid

import xxhash

_HASH_BYTES = 16


def hash_key(client_account: str, key: str) -> bytes:
    """Return the 128-bit hash under which an account's key is claimed.

    The account is part of the hash, so that equal keys of different client
    accounts do not collide.
    """
    account = client_account.encode()
    data = len(account).to_bytes(4) + account + key.encode()
    return hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()


def hash_request(*parts: bytes) -> int:
    """Return a 64-bit hash of the parts that identify a request.

    The parts are the method, the path and the body. The hash detects a key
    that is reused for a different request.
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.intdigest()


def read_key_time(key: str) -> float | None:
    """Return the creation time of a UUIDv7 key, or None for other keys.

    The time is in seconds since the epoch.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    # RFC 9562, section 5.7: the first 48 bits are Unix milliseconds.
    return (value.int >> 80) / 1000 if value.version == 7 else None
