"""Bounds what connections to the peers port hold before a frame is whole.

Anyone who reaches the port can connect and begin a frame. Until its digest is
verified, nothing tells such a client from a peer.
"""

import contextlib
import time
import typing

from gevent import socket

# Connections that have not sent a valid Hello yet.
_MAX_UNVERIFIED = 128
# Bytes of all frames that have not arrived whole; of each one, a few are part
# of its connection's memory.
_MAX_FRAMES_BYTES = 4 << 20
_UNCOUNTED_BYTES = 4096
# Bytes that are reserved, and read, at a time.
_PIECE_BYTES = 16384
# Seconds in which a peer sends a frame; beyond them, its connection may be
# closed for another one.
_FRAME_SECONDS = 1.0


class NoRoom(OSError):
    """There is no room for a connection or its frame."""


class Connection:
    """An incoming connection.

    Attributes
    ----------
    is_peer : bool
        Whether a valid Hello has arrived.
    begun_at : float
        Monotonic time at which the connection was made or its latest frame
        began.
    byte_count : int
        Bytes that are reserved for a frame.
    """

    __slots__ = ('sock', 'is_peer', 'begun_at', 'byte_count')

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.is_peer = False
        self.begun_at = time.monotonic()
        self.byte_count = 0

    def close(self) -> None:
        """End the connection; its reader sees the end of the stream."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class Connections:
    """The incoming connections of an instance."""

    __slots__ = ('_unverified', '_holders', '_byte_count')

    def __init__(self) -> None:
        # The oldest first.
        self._unverified: dict[Connection, None] = {}
        # Connections with reserved bytes, those that began first at the front.
        self._holders: dict[Connection, None] = {}
        self._byte_count = 0

    @contextlib.contextmanager
    def track(self, sock: socket.socket) -> typing.Iterator[Connection]:
        """Count a connection within the context.

        Raises
        ------
        NoRoom
            Too many clients that are not known as peers have just connected.
        """
        connection = Connection(sock)
        if len(self._unverified) >= _MAX_UNVERIFIED:
            self._close_one(self._unverified, connection)
        self._unverified[connection] = None
        try:
            yield connection
        finally:
            self._unverified.pop(connection, None)
            self.release(connection)

    def note_hello(self, connection: Connection) -> None:
        """Note that a connection is that of a peer."""
        connection.is_peer = True
        self._unverified.pop(connection, None)

    def read(
        self,
        connection: Connection,
        read: typing.Callable[[int], bytes],
        count: int,
    ) -> bytes:
        """Read bytes of a frame, which are reserved before they are read.

        Parameters
        ----------
        read : callable
            Returns exactly as many bytes as it is told, fewer only at the end
            of the connection.

        Raises
        ------
        NoRoom
            Frames of others take all room.
        """
        if count <= _UNCOUNTED_BYTES:
            return read(count)
        pieces = []
        while count:
            size = min(count, _PIECE_BYTES)
            self._reserve(connection, size)
            pieces.append(read(size))
            if len(pieces[-1]) < size:
                break
            count -= size
        return b''.join(pieces)

    def _reserve(self, connection: Connection, count: int) -> None:
        if not connection.byte_count and connection.is_peer:
            connection.begun_at = time.monotonic()
        while self._byte_count + count > _MAX_FRAMES_BYTES:
            self._close_one(self._holders, connection)
        self._holders[connection] = None
        connection.byte_count += count
        self._byte_count += count

    def release(self, connection: Connection) -> None:
        """Release the bytes of a frame that has arrived, or will not."""
        self._byte_count -= connection.byte_count
        connection.byte_count = 0
        self._holders.pop(connection, None)

    def _close_one(
        self, candidates: dict[Connection, None], requester: Connection
    ) -> None:
        """Close a connection for another one.

        For a peer, one that is not known as a peer, at any age; else the
        oldest one that has taken long.
        """
        bound = time.monotonic() - _FRAME_SECONDS
        for each in candidates:
            if each is requester:
                continue
            if each.begun_at <= bound or (
                requester.is_peer and not each.is_peer
            ):
                self._unverified.pop(each, None)
                self.release(each)
                each.close()
                return
        raise NoRoom('connections of others take all room')
