"""A small HTTP/1.1 server for stand-ins, on asyncio."""

import asyncio
import contextlib


class Request:
    """One request; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Response:
    """One answer with a whole body."""

    def __init__(self, status, headers=(), body=b''):
        self.status = status
        self.headers = list(headers)
        self.body = body

    def encode(self):
        lines = [f'HTTP/1.1 {self.status} Status']
        lines += [f'{name}: {value}' for name, value in self.headers]
        lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + self.body


class ConnectionDropped(Exception):
    """The connection is to be closed without an answer."""


async def read_request(reader):
    """Return the next request, or None at the end of the connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()) not in (b'\r\n', b''):
            pass
    return Request(method, target, headers, body)


class Server:
    """Serves requests with a coroutine `handle(request, writer)`.

    The coroutine returns a Response, or None if it wrote the answer itself.
    """

    def __init__(self, handle, *, port=0):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.port = port

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                response = await self._handle(request, writer)
                if response is not None:
                    writer.write(response.encode())
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            ConnectionDropped,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def drop_connections(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop_connections()
        await asyncio.sleep(0)
