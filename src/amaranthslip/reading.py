"""Limits on what is read from other processes."""

import contextlib
import typing

import gevent
from gevent import lock
import geventhttpclient

# Bytes of an answer's status line and header fields, of all informational
# answers before it, of one chunk's extensions and of the trailer fields.
MAX_HEAD_BYTES = 65536
# Bytes received without a wait after which other greenlets run. A sender that
# is faster than the reader would otherwise stop the whole process: no timer
# expires while a greenlet finds bytes to read each time.
_MAX_UNINTERRUPTED_BYTES = 65536


class Interrupter:
    """Lets other greenlets run while bytes arrive without a pause.

    Parameters
    ----------
    turns : Semaphore or None
        Held during an interruption. Of the readers that share it, one at a
        time goes on in each iteration of the event loop, so that many of them
        delay other greenlets no longer than one.
    """

    __slots__ = ('_byte_count', '_turns')

    def __init__(self, turns: lock.Semaphore | None = None) -> None:
        self._byte_count = 0
        self._turns = contextlib.nullcontext() if turns is None else turns

    def note_received(self, byte_count: int) -> None:
        """Count bytes that were received."""
        self._byte_count += byte_count
        if self._byte_count >= _MAX_UNINTERRUPTED_BYTES:
            self._byte_count = 0
            # `gevent.sleep(0)` may return up to 50 times before the loop looks
            # for events and expired timers. A timer returns after it has.
            hub = gevent.get_hub()
            with self._turns:
                hub.wait(hub.loop.timer(0))


class AnswerTooLong(OSError):
    """The other side sent more than an answer may have."""


class LimitedSocket:
    """A connected socket that limits the bytes of each answer.

    For a library that reads whole answers from a socket by itself.

    Parameters
    ----------
    sock : socket
        A gevent socket, which this object owns.
    max_bytes : int
        Bytes of an answer, its head included.
    """

    __slots__ = (
        '_sock',
        '_max_bytes',
        '_interrupter',
        '_count',
        '_head',
        '_send_error',
    )

    _HEAD_END = b'\r\n\r\n'

    def __init__(self, sock: typing.Any, *, max_bytes: int) -> None:
        self._sock = sock
        self._max_bytes = max_bytes
        self._interrupter = Interrupter()
        self.begin_answer()

    def begin_answer(self) -> None:
        """Begin to count the bytes of the next answer."""
        self._count = 0
        # The last bytes received, until they hold the end of the head.
        self._head: bytes | None = b''
        self._send_error: OSError | None = None

    def sendall(self, data: bytes, *flags: int) -> None:
        """Send bytes.

        The library reads the answer of a server that broke the connection
        meanwhile. The kernel reports that once: to the sender.
        """
        try:
            self._sock.sendall(data, *flags)
        except OSError as error:
            self._send_error = error
            raise

    def recv(self, byte_count: int, *flags: int) -> bytes:
        """Receive bytes.

        Raises
        ------
        AnswerTooLong
            The answer, or its head, is longer than allowed.
        OSError
            The connection broke, now or while the request was sent.
        """
        data = self._sock.recv(byte_count, *flags)
        if not data and self._send_error is not None:
            raise self._send_error
        self._count += len(data)
        if self._count > self._max_bytes:
            raise AnswerTooLong(
                f'an answer of more than {self._max_bytes} bytes'
            )
        if self._head is not None:
            self._check_head(data)
        self._interrupter.note_received(len(data))
        return data

    def _check_head(self, data: bytes) -> None:
        received = self._head + data
        if self._HEAD_END in received:
            self._head = None
            return
        self._head = received[1 - len(self._HEAD_END) :]
        if self._count > MAX_HEAD_BYTES:
            raise AnswerTooLong(
                f'the head of an answer of more than {MAX_HEAD_BYTES} bytes'
            )

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._sock, name)


def prepare_connection(
    client: geventhttpclient.HTTPClient, *, max_bytes: int
) -> None:
    """Connect a client with a single connection, and limit its next answer.

    Raises
    ------
    OSError
        No connection could be made.
    """
    pool = client._connection_pool
    sock = pool.get_socket()
    if not isinstance(sock, LimitedSocket):
        sock = LimitedSocket(sock, max_bytes=max_bytes)
    sock.begin_answer()
    pool.return_socket(sock)
