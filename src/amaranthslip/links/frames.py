"""Frames: a length, a digest, then one deflate-compressed message batch.

All frames of a connection form one raw deflate stream, which is flushed after
each frame, so that names which repeat from frame to frame take two or three
bytes. The digest is keyed with the fleet's secret and covers the frame's
sequence number within the connection, so bytes that no peer of this fleet
wrote are neither decompressed nor decoded. The digest provides no
confidentiality, and a recorded connection can be replayed. The window size
and the memory level were chosen by measurement; see docs/design/members.md.
"""

import contextlib
import hashlib
import hmac
import struct
import typing
import zlib

from amaranthslip import errors

_LENGTH = struct.Struct('>I')
_FRAME_NUMBER = struct.Struct('>Q')
_DIGEST_BYTES = 8
_COMPRESSION_LEVEL = 6
# Measured on probes with one membership update each: with these values the
# two ends of a link use 25 KB of memory, against 101 KB with zlib's defaults,
# and a probe takes 36 bytes, against 31. An instance of the target fleet has
# hundreds of links, so memory matters more than the frame size; see
# docs/design/members.md.
_WINDOW_BITS = 11
_MEMORY_LEVEL = 1
MAX_FRAME_BYTES = 1 << 20
_MIN_FRAME_BYTES = _DIGEST_BYTES + 1
MAX_BATCH_BYTES = 1 << 20


class _FrameDigester:
    """Computes the digests of one connection's frames, in order."""

    __slots__ = ('_keyed_hash', '_frame_number')

    def __init__(self, secret: str) -> None:
        key = hashlib.blake2b(secret.encode()).digest()
        self._keyed_hash = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)
        self._frame_number = 0

    def compute(self, body: bytes) -> bytes:
        """Return the digest of the next frame's body."""
        digest = self._keyed_hash.copy()
        digest.update(_FRAME_NUMBER.pack(self._frame_number))
        digest.update(body)
        self._frame_number += 1
        return digest.digest()


class Deflater:
    """Compresses the batches sent on one connection, and adds digests.

    Parameters
    ----------
    secret : str
        The setting `links.secret`, which all instances must share.
    """

    __slots__ = ('_stream', '_digester')

    def __init__(
        self,
        secret: str = '',
        *,
        window_bits: int = _WINDOW_BITS,
        memory_level: int = _MEMORY_LEVEL,
    ) -> None:
        self._stream = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, -window_bits, memory_level
        )
        self._digester = _FrameDigester(secret)

    def pack(self, batch: bytes) -> bytes:
        """Return the frame that carries one encoded batch.

        Raises
        ------
        MessageInvalid
            The batch is longer than the receiver accepts: send fewer
            messages per batch, or split the message.
        """
        if len(batch) > MAX_BATCH_BYTES:
            raise errors.MessageInvalid(
                f'batch of {len(batch)} bytes exceeds the limit of '
                f'{MAX_BATCH_BYTES} bytes; split it'
            )
        body = self._stream.compress(batch)
        body += self._stream.flush(zlib.Z_SYNC_FLUSH)
        digest = self._digester.compute(body)
        return _LENGTH.pack(_DIGEST_BYTES + len(body)) + digest + body


class Inflater:
    """Verifies and decompresses the frames received on one connection."""

    __slots__ = ('_stream', '_digester')

    def __init__(
        self, secret: str = '', *, window_bits: int = _WINDOW_BITS
    ) -> None:
        self._stream = zlib.decompressobj(-window_bits)
        self._digester = _FrameDigester(secret)

    def unpack(self, digest_and_body: bytes) -> bytes:
        """Verify one frame's digest and body, and return its encoded batch.

        Raises
        ------
        MessageInvalid
            The digest does not match, the bytes are not a deflate stream,
            or they decompress to more than a batch may have.
        """
        body = digest_and_body[_DIGEST_BYTES:]
        digest = self._digester.compute(body)
        if not hmac.compare_digest(digest, digest_and_body[:_DIGEST_BYTES]):
            raise errors.MessageInvalid(
                'frame digest mismatch; check that all instances use the '
                'same links.secret and that only instances use the peers port'
            )
        try:
            batch = self._stream.decompress(body, MAX_BATCH_BYTES)
        except zlib.error as error:
            raise errors.MessageInvalid(
                f'invalid deflate data ({error}); check that the port is '
                'the peers port of an amaranthslip instance of this version'
            ) from None
        # A few hundred bytes can decompress to a gigabyte. The limit passed
        # to decompress() above stops the decompression, and the input left
        # over is then in unconsumed_tail.
        if self._stream.unconsumed_tail or self._stream.eof:
            raise errors.MessageInvalid(
                f'frame of {len(body)} bytes decompresses to more than '
                f'{MAX_BATCH_BYTES} bytes or ends the deflate stream'
            )
        return batch


def read_frame(
    read: typing.Callable[[int], bytes],
    *,
    limit_body: typing.Callable[
        [], contextlib.AbstractContextManager[object]
    ] = contextlib.nullcontext,
) -> bytes | None:
    """Return the next frame's digest and body, or None at end of stream.

    Parameters
    ----------
    read : callable
        Takes a number of bytes and returns exactly that many, fewer only
        at the end of the connection.
    limit_body : callable
        Returns a context manager that limits the time in which the body has
        to arrive after its length.

    Raises
    ------
    MessageInvalid
        The length is out of range, or the connection ended within a
        frame.
    """
    header = read(_LENGTH.size)
    if not header:
        return None
    length = _LENGTH.unpack(header)[0] if len(header) == _LENGTH.size else 0
    if not _MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
        raise errors.MessageInvalid(
            f'frame length {length} is not within {_MIN_FRAME_BYTES} to '
            f'{MAX_FRAME_BYTES}; let only instances use the peers port'
        )
    with limit_body():
        body = read(length)
    if len(body) < length:
        raise errors.MessageInvalid(
            'the connection ended within a frame; the peer will reconnect'
        )
    return body
