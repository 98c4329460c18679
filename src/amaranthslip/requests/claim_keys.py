"""Idempotency keys: their hashes, ages, and the requests they stand for."""

import hashlib
import uuid

import xxhash

_HASH_BYTES = 16


def hash_key(client_account: str, key: str) -> bytes:
    """Return the 128 bits under which a client account's key is claimed."""
    account = client_account.encode()
    data = len(account).to_bytes(4) + account + key.encode()
    return hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()


def fingerprint(*parts: bytes) -> int:
    """Return what tells one request's method, path and body from another's."""
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.intdigest()


def read_key_time(key: str) -> float | None:
    """Return the seconds since the epoch that a UUIDv7 carries, or None."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    # RFC 9562, section 5.7: the first 48 bits are milliseconds.
    return (value.int >> 80) / 1000 if value.version == 7 else None
