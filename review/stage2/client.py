"""Clients that open a connection for each request."""

import asyncio
import itertools
import time

_numbers = itertools.count(1)


class Attempt:
    """One client attempt and its outcome; status 0: no complete answer."""

    def __init__(self, kind):
        self.id = f'attempt-{next(_numbers):06d}'
        self.kind = kind
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers = {}
        self.body = b''


async def send(
    router,
    path,
    *,
    host='host.example',
    kind='',
    key='',
    method='GET',
    body=b'',
    deadline_ms=2000,
):
    """Send one request to a router and return the ended attempt."""
    attempt = Attempt(kind)
    attempt.sent_at = time.monotonic()
    try:
        await asyncio.wait_for(
            _exchange(
                attempt, router, path, host, key, method, body, deadline_ms
            ),
            deadline_ms / 1000,
        )
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    attempt.ended_at = time.monotonic()
    return attempt


async def _exchange(
    attempt, router, path, host, key, method, body, deadline_ms
):
    reader, writer = await asyncio.open_connection('127.0.0.1', router.callers)
    try:
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {host}',
            f'Amaranthslip-Attempt-Id: {attempt.id}',
            f'Amaranthslip-Deadline-Ms: {deadline_ms}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        head = await reader.readuntil(b'\r\n\r\n')
        status_line, *fields = head.decode('latin-1').split('\r\n')
        for field in fields:
            name, _, value = field.partition(':')
            attempt.headers[name.strip().lower()] = value.strip()
        length = int(attempt.headers.get('content-length', 0))
        attempt.body = await reader.readexactly(length)
        attempt.status = int(status_line.split(' ')[1])
    finally:
        writer.close()
