"""Clients that keep a connection, and read streams."""

import asyncio
import time

from review.stage2 import client


class KeptConnection:
    """One client's connection to a router, used for several requests."""

    def __init__(self, router):
        self._router = router
        self._reader = None
        self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', self._router.callers
        )

    def close(self):
        if self._writer is not None:
            self._writer.close()

    async def send(
        self, path, *, kind='', key='', deadline_ms=2000, headers=()
    ):
        """Send one request; return the attempt when its answer has ended.

        `events` are the whole events that arrived; `complete` tells whether
        the answer came to its end.
        """
        attempt = client.Attempt(kind)
        attempt.events = []
        attempt.complete = False
        attempt.sent_at = time.monotonic()
        try:
            await asyncio.wait_for(
                self._exchange(attempt, path, key, deadline_ms, headers),
                deadline_ms / 1000,
            )
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.TimeoutError,
        ) as error:
            attempt.problem = repr(error)
        attempt.ended_at = time.monotonic()
        return attempt

    async def _exchange(self, attempt, path, key, deadline_ms, headers):
        lines = [
            f'POST {path} HTTP/1.1',
            'Host: host.example',
            f'Amaranthslip-Attempt-Id: {attempt.id}',
            f'Amaranthslip-Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {key}',
            'Content-Length: 0',
            *headers,
        ]
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        head = await self._reader.readuntil(b'\r\n\r\n')
        status_line, *fields = head.decode('latin-1').split('\r\n')
        attempt.status = int(status_line.split(' ')[1])
        for field in fields:
            name, _, value = field.partition(':')
            attempt.headers[name.strip().lower()] = value.strip()
        if attempt.headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(attempt)
        else:
            length = int(attempt.headers.get('content-length', 0))
            attempt.body = await self._reader.readexactly(length)
        attempt.complete = True

    async def _read_chunks(self, attempt):
        while True:
            size = int((await self._reader.readuntil(b'\r\n')).strip(), 16)
            data = await self._reader.readexactly(size + 2)
            if not size:
                return
            attempt.body += data[:-2]
            attempt.events = attempt.body.split(b'\n\n')[:-1]
