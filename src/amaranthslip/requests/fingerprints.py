"""Digests that identify requests, and parts of prompts, on all instances."""

import hashlib
import typing

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
    texts = (client_account, method, host, target)
    return _compute_digest([*(text.encode() for text in texts), body])


def compute_account_digest(client_account: str) -> bytes:
    """Return a 128-bit digest that identifies a client account."""
    return _compute_digest([client_account.encode()])


def compute_part_digests(
    service: str, part_ids: typing.Iterable[str]
) -> tuple[bytes, ...]:
    """Return one digest for each distinct part of a prompt, in order.

    A part is identified for each service, whose engines may run different
    software.

    Parameters
    ----------
    service : str
        The service whose engines get the prompt.
    part_ids : iterable of str
        The ids of the parts.

    Returns
    -------
    tuple of bytes
        The 128-bit digests.
    """
    return tuple(
        _compute_digest([service.encode(), part_id.encode()])
        for part_id in dict.fromkeys(part_ids)
    )


def _compute_digest(values: typing.Iterable[bytes]) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for value in values:
        digest.update(len(value).to_bytes(8))
        digest.update(value)
    return digest.digest()
