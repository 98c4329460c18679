"""Reads request bodies in the chunked transfer coding (RFC 9112, 7.1).

The WSGI server's own reader accepts lines that end with a line feed alone
inside chunk extensions and trailers. Other HTTP implementations end the line
there, and would take the rest of such a body for another request. It also
reads a chunk's size byte by byte, and any number of trailer lines.
"""

import re
import typing

from gevent import pywsgi

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


class BodyInvalid(OSError):
    """The body breaks the chunked coding; the message says how."""


class ChunkedInput(pywsgi.Input):
    """The body of one request in chunks; trailers are discarded.

    Parameters
    ----------
    rfile : file
        The buffered reader of the connection.
    sock : socket or None
        The connection, if the caller waits for `100 Continue`.
    max_line_bytes : int
        Bytes of a chunk's size line, and of all trailers.
    """

    __slots__ = ('_max_line_bytes', '_interrupter')

    def __init__(
        self, rfile: typing.BinaryIO, sock: typing.Any, *, max_line_bytes: int
    ) -> None:
        super().__init__(rfile, None, socket=sock, chunked_input=True)
        self._max_line_bytes = max_line_bytes
        self._interrupter = reading.Interrupter()

    def read(self, length: int | None = None) -> bytes:
        """Return the next bytes of the body, or b'' at its end.

        Parameters
        ----------
        length : int or None
            Maximum number of bytes; None for the whole rest. Fewer are
            returned only at the end of the body.

        Raises
        ------
        BodyInvalid
            The body is not valid in the chunked coding, or ends early. What
            follows on the connection can't be read as a request.
        """
        self._send_100_continue()
        pieces: list[bytes] = []
        while self.chunk_length != 0 and (length is None or length > 0):
            if self.position == max(self.chunk_length, 0):
                self._begin_chunk()
                continue
            count = self.chunk_length - self.position
            piece = self._read_data(
                count if length is None else min(count, length)
            )
            pieces.append(piece)
            if length is not None:
                length -= len(piece)
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    def readline(self, size: int | None = None) -> bytes:
        """Not supported: bodies are read as a whole."""
        raise NotImplementedError

    def _begin_chunk(self) -> None:
        line = self._read_line(self._max_line_bytes)
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise BodyInvalid('the size of a chunk is not valid')
        size = int(match[1], 16)
        if not size:
            self._skip_trailers()
        self.chunk_length, self.position = size, 0

    def _read_data(self, count: int) -> bytes:
        data = self.rfile.read(count)
        if len(data) < count:
            raise BodyInvalid('a chunk ends before its stated size')
        self.position += count
        self._interrupter.note_received(count)
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
