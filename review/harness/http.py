"""HTTP/1.1 messages of clients and engines, read from sockets."""

import socket


class Message:
    """A request or an answer.

    Attributes
    ----------
    start : str
        The request line, or the status line.
    headers : dict of str to str
        By name in lower case.
    body : bytes
        What arrived of the body.
    complete : bool
        Whether the message ended as its framing says.
    """

    def __init__(self, start: str, headers: dict[str, str]) -> None:
        self.start = start
        self.headers = headers
        self.body = b''
        self.complete = False

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(' ')[1])


class Reader:
    """Reads messages from one connection.

    Parameters
    ----------
    sock : socket
        The connection. Its timeout applies to each receive.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = b''

    def read(self) -> Message | None:
        """Return the next message; None if the connection ended before it."""
        message = self.read_head()
        if message is None:
            return None
        if message.headers.get('transfer-encoding') == 'chunked':
            self._read_chunks(message)
        else:
            length = int(message.headers.get('content-length', '0'))
            message.body = self._read_exactly(length)
            message.complete = len(message.body) == length
        return message

    def read_head(self) -> Message | None:
        """Return the next message without its body, or None."""
        head = self._read_until(b'\r\n\r\n')
        if head is None:
            return None
        start, *lines = head.decode('latin-1').split('\r\n')
        pairs = (line.split(':', 1) for line in lines if line)
        return Message(
            start, {name.lower(): value.strip() for name, value in pairs}
        )

    def read_chunk(self) -> bytes | None:
        """Return the next chunk, b'' for the last; None if it was cut off."""
        line = self._read_until(b'\r\n')
        if line is None:
            return None
        size = int(line.split(b';')[0], 16)
        data = self._read_exactly(size + 2)
        return data[:size] if len(data) == size + 2 else None

    def _read_chunks(self, message: Message) -> None:
        while chunk := self.read_chunk():
            message.body += chunk
        message.complete = chunk is not None

    def _read_until(self, end: bytes) -> bytes | None:
        while end not in self._buffer:
            if not self._receive():
                return None
        found, _, self._buffer = self._buffer.partition(end)
        return found

    def _read_exactly(self, count: int) -> bytes:
        while len(self._buffer) < count and self._receive():
            pass
        data, self._buffer = self._buffer[:count], self._buffer[count:]
        return data

    def _receive(self) -> bool:
        try:
            data = self._sock.recv(65536)
        except OSError:
            return False
        self._buffer += data
        return bool(data)


def write(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message, framed as its headers say."""
    lines = [start, *(f'{name}: {value}' for name, value in headers.items())]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def connect(address: str, *, seconds: float = 10.0) -> socket.socket:
    """Return a connection to `IP:port`."""
    host, _, port = address.rpartition(':')
    sock = socket.create_connection((host, int(port)), timeout=seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def call(
    address: str, method: str, path: str, body: bytes = b''
) -> Message | None:
    """Send one request on a connection of its own; return the answer."""
    headers = {'Host': address, 'Content-Length': str(len(body))}
    with connect(address) as sock:
        sock.sendall(write(f'{method} {path} HTTP/1.1', headers, body))
        return Reader(sock).read()
