"""Frames: a four-byte length, then one deflated batch of messages.

All frames of a connection are one raw deflate stream, flushed after each
frame, so that names which repeat from frame to frame cost two or three
bytes. The window and memory level were chosen by `make slopes`; see
docs/design/members.md.
"""

import struct
import typing
import zlib

from amaranthslip import errors

_LENGTH = struct.Struct('>I')
_LEVEL = 6
# Measured on probes with one piece of news: a link's two ends take 25 KB
# with these, against 101 KB with zlib's defaults, and 36 bytes a probe
# against 31. An instance of the target has hundreds of links, so that
# memory weighs more; see docs/design/members.md.
_WINDOW_BITS = 11
_MEMORY_LEVEL = 1
MOST_FRAME_BYTES = 1 << 20
MOST_BATCH_BYTES = 1 << 20


class Deflater:
    """The sending side's half of one connection's deflate stream."""

    __slots__ = ('_stream',)

    def __init__(
        self,
        *,
        window_bits: int = _WINDOW_BITS,
        memory_level: int = _MEMORY_LEVEL,
    ) -> None:
        self._stream = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -window_bits, memory_level
        )

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
        return _LENGTH.pack(len(body)) + body


class Inflater:
    """The receiving side's half of one connection's deflate stream."""

    __slots__ = ('_stream',)

    def __init__(self, *, window_bits: int = _WINDOW_BITS) -> None:
        self._stream = zlib.decompressobj(-window_bits)

    def unpack(self, body: bytes) -> bytes:
        """Return the encoded batch of one frame's body.

        Raises
        ------
        MessageInvalid
            The bytes are no deflate stream, or inflate to too much.
        """
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


def read_body(read: typing.Callable[[int], bytes]) -> bytes | None:
    """Return the next frame's body, or None at the end of the connection.

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
    if not 0 < length <= MOST_FRAME_BYTES:
        raise errors.MessageInvalid(
            f'a frame of {length} bytes; allowed: 1 to {MOST_FRAME_BYTES}; '
            'check that only instances use the peers port'
        )
    body = read(length)
    if len(body) < length:
        raise errors.MessageInvalid(
            'the connection ended within a frame; the peer dials again'
        )
    return body
