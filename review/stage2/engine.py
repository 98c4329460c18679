"""A plain engine, as PROTOCOL.md describes engines."""

import asyncio
import time

from review.stage2 import httpserver


class Run:
    """One arrival at an engine."""

    def __init__(self, request, engine, at):
        self.attempt = request.headers.get('amaranthslip-attempt-id', '')
        self.tenant = request.headers.get('amaranthslip-tenant')
        self.authorization = request.headers.get('authorization')
        self.engine = engine
        self.at = at
        self.ran = False
        self.said_leaving = False
        # Name of the router that sent it, where that is looked up.
        self.sender = None
        # Whether a stream was sent whole, and when it ended.
        self.finished = False
        self.ended_at = 0.0


class Engine:
    """A process that answers requests after `work_seconds` each."""

    def __init__(
        self,
        store,
        name,
        service,
        zone,
        *,
        work_seconds=0.02,
        slots=6,
        registers_start=True,
        event_count=0,
        event_seconds=0.1,
    ):
        # Answers are streams of so many events, or whole for 0.
        self._event_count = event_count
        self._event_seconds = event_seconds
        self._registers_start = registers_start
        # Whether it says in its answers that it leaves. The store can't be
        # told while it is down.
        self.leaving = False
        # Called with the connection of each request, if set.
        self.find_sender = None
        self._store = store
        self.name = name
        self.service = service
        self._zone = zone
        self._work_seconds = work_seconds
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._server = httpserver.Server(self._handle)
        self._born = 0
        self._heartbeat = None
        self.cold_until = 0.0
        # Every request that this name was sent, over all of its starts.
        self.runs = []
        # Requests in one second beyond which it crashes while it is cold.
        self.cold_bound = float('inf')
        self.crashed_at = None

    async def start(self, *, cold_seconds=0.0):
        """Start, or start again under the same name and address."""
        self._born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_seconds
        await self._server.start()
        self._heartbeat = asyncio.create_task(self._register())

    async def crash(self):
        """End at once; the store hears nothing of it."""
        self._heartbeat.cancel()
        await self._server.stop()

    async def _register(self):
        sequence = 0
        while True:
            # The store takes no write while it is down.
            if not self._store.down:
                sequence += 1
                left = max(0.0, self.cold_until - time.monotonic())
                self._store.put_json(
                    f'servers/{self.name}',
                    {
                        'service': self.service,
                        'address': f'127.0.0.1:{self._server.port}',
                        'zone': self._zone,
                        'version': 'v1',
                        'slots': self._slot_count,
                        'state': 'draining' if self.leaving else 'ready',
                        'cold_remaining_ms': int(left * 1000),
                        'sequence': sequence,
                    }
                    | ({'born': self._born} if self._registers_start else {}),
                )
                await asyncio.sleep(1.2)
            else:
                await asyncio.sleep(0.1)

    async def _stream(self, run, request, headers, writer):
        """Send events with increasing ids, after the one that is named."""
        headers.append(('Content-Type', 'text/event-stream'))
        headers.append(('Transfer-Encoding', 'chunked'))
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in headers]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        first = int(request.headers.get('last-event-id', 0)) + 1
        try:
            async with self._slots:
                for number in range(first, self._event_count + 1):
                    await asyncio.sleep(self._event_seconds)
                    event = f'id: {number}\ndata: token-{number}\n\n'.encode()
                    writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                    await writer.drain()
                    if writer.transport.is_closing():
                        raise ConnectionResetError
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            run.finished = True
        finally:
            run.ended_at = time.monotonic()

    def _is_overwhelmed(self, now):
        if now >= self.cold_until:
            return False
        recent = [each for each in self.runs[-200:] if each.at > now - 1.0]
        return len(recent) > self.cold_bound

    async def _handle(self, request, writer):
        run = Run(request, self, time.monotonic())
        headers = [('Amaranthslip-Attempt-Id', run.attempt)]
        expected = request.headers.get('amaranthslip-expect-instance')
        if expected not in (None, self.name):
            return httpserver.Response(421, headers)
        self.runs.append(run)
        run.ran = True
        if self.find_sender is not None:
            run.sender = self.find_sender(writer)
        if self._is_overwhelmed(run.at):
            self.crashed_at = run.at
            await self.crash()
            raise httpserver.ConnectionDropped
        headers.append(('Amaranthslip-Server-Seal', f'seal.{self.name}'))
        if self.leaving:
            run.said_leaving = True
            headers.append(('Server-Leaving', '1'))
        if self._event_count and request.headers.get('amaranthslip-model'):
            await self._stream(run, request, headers, writer)
            return None
        async with self._slots:
            await asyncio.sleep(self._work_seconds)
        headers.append(('Content-Type', 'text/plain'))
        return httpserver.Response(200, headers, run.attempt.encode())
