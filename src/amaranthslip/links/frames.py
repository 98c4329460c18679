"""Frames: a length, a digest, then one deflated batch of messages.

All frames of a connection are one raw deflate stream, flushed after each
frame, so that names which repeat from frame to frame cost two or three
bytes. The digest is keyed by the fleet's secret and covers the frame's place
in its connection: what no peer of this fleet wrote is neither inflated nor
decoded. It hides nothing, and a recorded connection can be replayed. Window
and memory level were chosen by measuring; see docs/design/members.md.
"""

import hashlib
import hmac
import struct
import typing
import zlib

from amaranthslip import errors

_LENGTH = struct.Struct('>I')
_PLACE = struct.Struct('>Q')
_DIGEST_BYTES = 8
_LEVEL = 6
# Measured on probes with one piece of news: a link's two ends take 25 KB
# with these, against 101 KB with zlib's defaults, and 36 bytes a probe
# against 31. An instance of the target has hundreds of links, so that
# memory weighs more; see docs/design/members.md.
_WINDOW_BITS = 11
_MEMORY_LEVEL = 1
MOST_FRAME_BYTES = 1 << 20
_LEAST_FRAME_BYTES = _DIGEST_BYTES + 1
MOST_BATCH_BYTES = 1 << 20


class _Digest:
    """The digests of one connection's frames, in their order."""

    __slots__ = ('_keyed', '_place')

    def __init__(self, secret: str) -> None:
        key = hashlib.blake2b(secret.encode()).digest()
        self._keyed = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)
        self._place = 0

    def compute(self, body: bytes) -> bytes:
        """Return the digest of the next frame's body."""
        digest = self._keyed.copy()
        digest.update(_PLACE.pack(self._place))
        digest.update(body)
        self._place += 1
        return digest.digest()


class Deflater:
    """The sending side's half of one connection's deflate stream.

    Parameters
    ----------
    secret : str
        The setting `links.secret`, the same at all instances.
    """

    __slots__ = ('_stream', '_digest')

    def __init__(
        self,
        secret: str = '',
        *,
        window_bits: int = _WINDOW_BITS,
        memory_level: int = _MEMORY_LEVEL,
    ) -> None:
        self._stream = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -window_bits, memory_level
        )
        self._digest = _Digest(secret)

    def pack(self, batch: bytes) -> bytes:
        """Return the frame that carries one encoded batch.

        Raises
        ------
        MessageInvalid
            The batch is longer than the receiving side takes: send fewer
            messages at a time, or split the message.
        """
        if len(batch) > MOST_BATCH_BYTES:
            raise errors.MessageInvalid(
                f'a batch of {len(batch)} bytes is longer than '
                f'{MOST_BATCH_BYTES}; send it in parts'
            )
        body = self._stream.compress(batch)
        body += self._stream.flush(zlib.Z_SYNC_FLUSH)
        digest = self._digest.compute(body)
        return _LENGTH.pack(_DIGEST_BYTES + len(body)) + digest + body


class Inflater:
    """The receiving side's half of one connection's deflate stream."""

    __slots__ = ('_stream', '_digest')

    def __init__(
        self, secret: str = '', *, window_bits: int = _WINDOW_BITS
    ) -> None:
        self._stream = zlib.decompressobj(-window_bits)
        self._digest = _Digest(secret)

    def unpack(self, signed: bytes) -> bytes:
        """Return the encoded batch of one frame's digest and body.

        Raises
        ------
        MessageInvalid
            The digest differs, or the bytes are no deflate stream, or
            inflate to too much.
        """
        body = signed[_DIGEST_BYTES:]
        digest = self._digest.compute(body)
        if not hmac.compare_digest(digest, signed[:_DIGEST_BYTES]):
            raise errors.MessageInvalid(
                'the digest of a frame differs; give all instances the same '
                'links.secret, and let only instances use the peers port'
            )
        try:
            batch = self._stream.decompress(body, MOST_BATCH_BYTES)
        except zlib.error as error:
            raise errors.MessageInvalid(
                f'not a deflated frame ({error}); check that the port is '
                'the peers port of an amaranthslip of this version'
            ) from None
        # A few hundred bytes can inflate to a gigabyte. The limit above
        # stops the inflating itself; what is left over shows as a tail.
        if self._stream.unconsumed_tail or self._stream.eof:
            raise errors.MessageInvalid(
                f'a frame of {len(body)} bytes inflates to more than '
                f'{MOST_BATCH_BYTES} or ends the stream; refused'
            )
        return batch


def read_frame(read: typing.Callable[[int], bytes]) -> bytes | None:
    """Return the next frame's digest and body, or None at the end.

    Parameters
    ----------
    read : callable
        Returns exactly the bytes asked for, fewer only at the end.

    Raises
    ------
    MessageInvalid
        The length is out of range, or the connection ends in a frame.
    """
    head = read(_LENGTH.size)
    if not head:
        return None
    length = _LENGTH.unpack(head)[0] if len(head) == _LENGTH.size else 0
    if not _LEAST_FRAME_BYTES <= length <= MOST_FRAME_BYTES:
        raise errors.MessageInvalid(
            f'a frame of {length} bytes; allowed: {_LEAST_FRAME_BYTES} to '
            f'{MOST_FRAME_BYTES}; let only instances use the peers port'
        )
    body = read(length)
    if len(body) < length:
        raise errors.MessageInvalid(
            'the connection ended within a frame; the peer dials again'
        )
    return body
