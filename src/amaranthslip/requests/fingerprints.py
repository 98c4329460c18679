"""Digests that identify a request across its attempts."""

import hashlib

_DIGEST_BYTES = 16


def compute_fingerprint(
    *, client_account: str, method: str, host: str, target: str, body: bytes
) -> bytes:
    """Return a digest that is equal for all attempts at a request.

    The hash is cryptographic, so that no client account can construct a
    request with the fingerprint of another account's request.

    Returns
    -------
    bytes
        The 128-bit digest.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    texts = (client_account, method, host, target)
    for part in (*(text.encode() for text in texts), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
