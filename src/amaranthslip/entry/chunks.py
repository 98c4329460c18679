"""Reads request bodies, with a length or in chunks (RFC 9112, 6 and 7.1).

The WSGI server's own reader of chunks accepts lines that end with a line feed
alone inside chunk extensions and trailers. Other HTTP implementations end the
line there, and would take the rest of such a body for another request. It also
reads a chunk's size byte by byte, and any number of trailer lines.
"""

import re
import typing

from gevent import pywsgi

from amaranthslip.entry import receiving
from amaranthslip import reading

_SIZE_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n'
)
_TRAILER_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n"
)
_LINE_END = b'\r\n'
# Bytes that a chunk or a trailer counts as, beside its own, until other
# greenlets run: reading one takes as long as many bytes.
_CHUNK_BYTES = 64
# Bytes of a body that are discarded at once.
_DISCARD_BYTES = 16384


class BodyInvalid(OSError):
    """The body breaks the chunked coding; the message says how."""


class _BodyInput(pywsgi.Input):
    """The body of one request, read as its bytes arrive.

    Parameters
    ----------
    rfile : Receiver
        The reader of the connection.
    length : int or None
        The length in bytes; None for a body in chunks, or no body.
    sock : socket or None
        The connection, if the caller waits for `100 Continue`.
    interrupter : Interrupter
        Counts what was received.
    """

    __slots__ = ('_interrupter',)

    def __init__(
        self,
        rfile: receiving.Receiver,
        length: int | None,
        sock: typing.Any,
        *,
        interrupter: reading.Interrupter,
        chunked: bool,
    ) -> None:
        super().__init__(rfile, length, socket=sock, chunked_input=chunked)
        self._interrupter = interrupter

    def wait_for_bytes(self) -> int:
        """Return how many bytes have arrived; 0 at the connection's end.

        The next bytes of the body are at most as many.
        """
        self._send_100_continue()
        return self.rfile.wait_for_bytes()

    def read_some(self, max_bytes: int) -> bytes:
        """Return what has arrived, at least a byte; b'' at the body's end.

        Raises
        ------
        BodyInvalid
            The body is not valid, or ends early. What follows on the
            connection can't be read as a request.
        """
        raise NotImplementedError


class LengthInput(_BodyInput):
    """The body of one request with a stated length."""

    __slots__ = ()

    def __init__(
        self,
        rfile: receiving.Receiver,
        length: int | None,
        sock: typing.Any,
        *,
        interrupter: reading.Interrupter,
    ) -> None:
        super().__init__(
            rfile, length, sock, interrupter=interrupter, chunked=False
        )

    def read_some(self, max_bytes: int) -> bytes:
        """Return what has arrived; see `_BodyInput`."""
        left = (self.content_length or 0) - self.position
        if not left:
            return b''
        self._send_100_continue()
        data = self.rfile.read_some(min(max_bytes, left))
        if not data:
            raise BodyInvalid(f'it ends after {self.position} bytes')
        self.position += len(data)
        self._interrupter.note_received(len(data))
        return data


class ChunkedInput(_BodyInput):
    """The body of one request in chunks; trailers are discarded.

    Parameters
    ----------
    max_line_bytes : int
        Bytes of a chunk's size line, and of all trailers.
    """

    __slots__ = ('_max_line_bytes',)

    def __init__(
        self,
        rfile: receiving.Receiver,
        sock: typing.Any,
        *,
        interrupter: reading.Interrupter,
        max_line_bytes: int,
    ) -> None:
        super().__init__(
            rfile, None, sock, interrupter=interrupter, chunked=True
        )
        self._max_line_bytes = max_line_bytes

    def read_some(self, max_bytes: int) -> bytes:
        """Return what has arrived; see `_BodyInput`."""
        self._send_100_continue()
        while self.chunk_length != 0:
            if data := self._take_whole_chunks(max_bytes):
                return data
            if self.position == max(self.chunk_length, 0):
                self._begin_chunk()
            else:
                return self._read_data(max_bytes)
        return b''

    def read(self, length: int | None = None) -> bytes:
        """Return what has arrived, as the WSGI server discards a body."""
        return self.read_some(length or _DISCARD_BYTES)

    def readline(self, size: int | None = None) -> bytes:
        """Not supported: bodies are read as a whole."""
        raise NotImplementedError

    def _take_whole_chunks(self, max_bytes: int) -> bytes:
        """Consume the small chunks that are buffered whole, together.

        Their bytes are joined, as each one by itself would take some hundred
        bytes of memory and several calls.
        """
        if self.position != max(self.chunk_length, 0):
            return b''
        buffered = self.rfile.buffered
        data, end, count = bytearray(), 0, 0
        while (match := _SIZE_LINE.match(buffered, end)) is not None:
            size, start = int(match[1], 16), match.end()
            after = start + size + len(_LINE_END)
            if (
                not size
                or match.end() - match.start() > self._max_line_bytes
                or after > len(buffered)
                or len(data) + size > max_bytes
                or buffered[start + size : after] != _LINE_END
            ):
                break
            data += buffered[start : start + size]
            end, count = after, count + 1
        self.rfile.skip(end)
        self._interrupter.note_received(end + count * _CHUNK_BYTES)
        return bytes(data)

    def _begin_chunk(self) -> None:
        line = self._read_line(self._max_line_bytes)
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise BodyInvalid('the size of a chunk is not valid')
        size = int(match[1], 16)
        if not size:
            self._skip_trailers()
        self.chunk_length, self.position = size, 0

    def _read_data(self, max_bytes: int) -> bytes:
        left = self.chunk_length - self.position
        data = self.rfile.read_some(min(left, max_bytes))
        if not data:
            raise BodyInvalid('a chunk ends before its stated size')
        self.position += len(data)
        self._interrupter.note_received(len(data))
        if self.position == self.chunk_length:
            if self.rfile.read(len(_LINE_END)) != _LINE_END:
                raise BodyInvalid('a chunk is longer than its stated size')
        return data

    def _skip_trailers(self) -> None:
        remaining = self._max_line_bytes
        while (line := self._read_line(remaining)) != _LINE_END:
            remaining -= len(line)
            if _TRAILER_LINE.fullmatch(line) is None:
                raise BodyInvalid('a trailer is no valid field')

    def _read_line(self, max_bytes: int) -> bytes:
        line = self.rfile.readline(max_bytes)
        self._interrupter.note_received(len(line) + _CHUNK_BYTES)
        if not line.endswith(_LINE_END):
            raise BodyInvalid(
                'a line of the chunked coding is too long, or does not end'
                ' with CRLF'
            )
        return line
