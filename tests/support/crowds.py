"""Crowds of clients that keep to no limit, with shapes that are drawn."""

import contextlib
import itertools
import random
import struct

import gevent
from gevent import socket

from tests.support import exchanges
from tests.support import operated

_CONNECT_SECONDS = 5
_SEND_SECONDS = 1.0
# Bytes that a client sends at once, if it sends all that it has.
_PIECE_BYTES = 262144
_RECEIVE_BUFFER_BYTES = 4096
# Bytes that a slow reader takes at a time.
READ_BYTES = 2048
# The longest frame that the port of peers accepts.
FRAME_BYTES = 1 << 20
_MAX_RETURN_SECONDS = 0.5


class Shape:
    """What one client sends, and what it does then.

    Attributes
    ----------
    pieces : list of bytes
        Sent one after the other, with `pause` seconds between two.
    end : str
        What follows: `stay` open, `half` close, `close` or `reset`.
    reads : bool
        Whether the client reads answers.
    read_pause : float
        Seconds between two reads of `READ_BYTES` each; 0 to read at once.
    port : str
        The port that it connects to.
    """

    __slots__ = ('pieces', 'pause', 'end', 'reads', 'read_pause', 'port')

    def __init__(
        self,
        data,
        *,
        pieces=1,
        pause=0.0,
        end='stay',
        reads=True,
        read_pause=0.0,
        port='callers',
    ):
        size = max(1, -(-len(data) // pieces))
        self.pieces = [
            data[start : start + size] for start in range(0, len(data), size)
        ]
        self.pause = pause
        self.end = end
        self.reads = reads
        self.read_pause = read_pause
        self.port = port


def write_head(
    attempt,
    *fields,
    path='/read/x',
    coding='chunked',
    length=0,
    milliseconds=4000,
):
    """Return the head of a request of an account's caller."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {operated.HOST}',
        f'Amaranthslip-Attempt-Id: {attempt}',
        f'Amaranthslip-Deadline-Ms: {milliseconds}',
        f'Authorization: Bearer {operated.KEYS["account-a"]}',
        *fields,
        f'Content-Length: {length}'
        if coding == 'length'
        else 'Transfer-Encoding: chunked',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def write_chunks(length, size, *, extension=0, end=True):
    """Return a body of `length` bytes in chunks of `size` bytes."""
    more = b';' + b'e' * extension if extension else b''
    whole, rest = divmod(length, size)
    data = b'%x%s\r\n%s\r\n' % (size, more, b'x' * size) * whole
    if rest:
        data += b'%x%s\r\n%s\r\n' % (rest, more, b'x' * rest)
    return data + (b'0\r\n\r\n' if end else b'')


def write_fields(byte_count, length=1):
    """Return short fields that take about `byte_count` bytes together."""
    size = 3 + 4 + length
    names = itertools.product('abcdefghijklmnopqrstuvwxyz', repeat=3)
    return [
        ''.join(name) + ': ' + 'x' * length
        for name in itertools.islice(names, byte_count // size)
    ]


def write_frame(byte_count, *, cut=1):
    """Return a frame for the port of peers that lacks its last bytes."""
    return struct.pack('>I', byte_count) + b'f' * (byte_count - cut)


class Draws:
    """Draws the shapes of a crowd.

    Parameters
    ----------
    seed : int
        Seed of the draws.
    body_bytes, header_bytes : int
        The limits of the instance.
    """

    _SIZES = (1, 2, 3, 7, 100, 1000, 4096, 16384, 65536)
    _EXTENSIONS = (0, 0, 0, 1, 40, 1000)
    _STOPS = (0.2, 0.9, 0.999, 0.999, 1.0)
    _PORTS = ('callers',) * 12 + ('readiness', 'operators', 'peers')

    def __init__(self, seed, *, body_bytes, header_bytes):
        self._random = random.Random(seed)
        self._body_bytes = body_bytes
        self._header_bytes = header_bytes
        self._count = 0

    def draw(self):
        """Return the shape of the next client."""
        draw = self._random
        data = draw.choice(
            (
                self._draw_chunks,
                self._draw_chunks,
                self._draw_chunks,
                self._draw_length,
                self._draw_length,
                self._draw_fields,
                self._draw_line,
                self._draw_ahead,
                bytes,
            )
        )()
        stop = draw.choice(self._STOPS)
        data = data[: max(0, min(int(len(data) * stop), len(data) - 1))]
        pieces = draw.choice((1, 1, 3, 20))
        return Shape(
            data,
            pieces=pieces,
            pause=draw.choice((0.01, 0.2)) if pieces > 1 else 0.0,
            end=draw.choice(('stay', 'stay', 'stay', 'half', 'reset')),
            reads=draw.random() < 0.8,
            port=draw.choice(self._PORTS),
        )

    def _name(self):
        self._count += 1
        return f'crowd-{self._count}'

    def _draw_chunks(self):
        draw = self._random
        body = write_chunks(
            draw.randint(1, self._body_bytes),
            draw.choice(self._SIZES),
            extension=draw.choice(self._EXTENSIONS),
        )
        return write_head(self._name()) + body[: 8 * self._body_bytes]

    def _draw_length(self):
        length = self._random.randint(1, self._body_bytes)
        head = write_head(self._name(), coding='length', length=length)
        return head + b'x' * length

    def _draw_fields(self):
        fields = write_fields(
            self._random.randint(1, self._header_bytes - 1000),
            self._random.choice((0, 1, 30, 1000)),
        )
        return write_head(self._name(), *fields)

    def _draw_line(self):
        return b'GET /' + b'x' * self._random.randint(1, 8000)

    def _draw_ahead(self):
        """Return a whole request, and bytes sent ahead behind it."""
        body = b'x' * self._random.randint(0, 1000)
        head = write_head(
            self._name(), coding='length', length=len(body), path='/write/x'
        )
        return head + body + b'GET /' + b'y' * self._random.randint(0, 200000)


class WideDraws(Draws):
    """Draws also whole requests, slow readers, frames and steady trickles."""

    _TARGETS = ('/read/x', '/read/large', '/write/x')

    def draw(self):
        """Return the shape of the next client."""
        draw = self._random
        build = draw.choice(
            (
                super().draw,
                super().draw,
                self._draw_answered,
                self._draw_answered,
                self._draw_trickle,
                self._draw_continue,
                self._draw_trailers,
                self._draw_frame,
            )
        )
        return build()

    def _draw_answered(self):
        """Return a client with whole requests, which may not read."""
        draw = self._random
        body = b'x' * draw.choice((0, 1000, self._body_bytes))
        data = b''.join(
            write_head(
                self._name(),
                coding='length',
                length=len(body),
                path=draw.choice(self._TARGETS),
                milliseconds=draw.choice((1000, 4000, 30000)),
            )
            + body
            for _ in range(draw.choice((1, 1, 3)))
        )
        reads = draw.random() < 0.5
        return Shape(
            data,
            reads=reads,
            read_pause=draw.choice((0.0, 0.05, 0.5)) if reads else 0.0,
            end=draw.choice(('stay', 'stay', 'half', 'reset')),
        )

    def _draw_trickle(self):
        """Return a client that sends a few bytes at a time, for long."""
        draw = self._random
        size = draw.choice((1, 2, 100, 1000))
        data = write_head(self._name()) + write_chunks(self._body_bytes, size)
        return Shape(
            data[: draw.choice((2000, 20000, 200000))],
            pieces=200,
            pause=draw.choice((0.01, 0.05, 0.2)),
        )

    def _draw_continue(self):
        """Return a client that may wait for `100 Continue` for ever."""
        coding = self._random.choice(('length', 'chunked'))
        return Shape(
            write_head(
                self._name(),
                'Expect: 100-continue',
                coding=coding,
                length=self._random.randint(1, self._body_bytes),
            )
        )

    def _draw_trailers(self):
        fields = write_fields(self._random.randint(1, self._header_bytes))
        body = write_chunks(self._random.randint(1, self._body_bytes), 1000)
        data = write_head(self._name()) + body[:-2]
        return Shape(data + '\r\n'.join(fields).encode())

    def _draw_frame(self):
        draw = self._random
        data = write_frame(draw.choice((9, 1000, 70000, FRAME_BYTES)))
        pieces = draw.choice((1, 20))
        return Shape(
            data, pieces=pieces, pause=0.2 if pieces > 1 else 0.0, port='peers'
        )


class Crowd:
    """Clients that come at a rate and stay until they are released.

    A client whose connection is closed, or that is refused, comes again.

    Parameters
    ----------
    instance : LimitedInstance
        Where they come to.
    shapes : iterable of Shape
        What they send, one each.
    rate : float
        Clients per second.
    """

    def __init__(self, instance, shapes, *, rate):
        self._instance = instance
        self._shapes = list(shapes)
        self._rate = rate
        self._left = False
        self._clients = []

    def come(self):
        """Start all clients; return when the last one has come."""
        for shape in self._shapes:
            self._clients.append(gevent.spawn(self._run, shape))
            gevent.sleep(1 / self._rate)

    def leave(self):
        """Close all connections."""
        self._left = True
        gevent.killall(self._clients)

    def _run(self, shape):
        while not self._left:
            with contextlib.suppress(OSError):
                self._visit(shape)
            gevent.sleep(random.uniform(0.05, _MAX_RETURN_SECONDS))

    def _visit(self, shape):
        sock = socket.socket()
        with contextlib.closing(sock):
            if not shape.reads:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    _RECEIVE_BUFFER_BYTES,
                )
            sock.settimeout(_CONNECT_SECONDS)
            sock.connect(self._instance.get_address(shape.port))
            sock.settimeout(_SEND_SECONDS)
            with contextlib.suppress(TimeoutError):
                for piece in shape.pieces:
                    sock.sendall(piece)
                    gevent.sleep(shape.pause)
            self._stay(sock, shape)

    def _stay(self, sock, shape):
        if shape.end == 'half':
            sock.shutdown(socket.SHUT_WR)
        if shape.end == 'reset':
            gevent.sleep(_SEND_SECONDS)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, exchanges.RESET
            )
            return
        sock.settimeout(None)
        if not shape.reads:
            gevent.sleep(3600)
        while sock.recv(READ_BYTES if shape.read_pause else 65536):
            gevent.sleep(shape.read_pause)
