"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

from review.stage2 import httpserver

_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_MAX_WAIT_MS = 30_000


class _Item:
    def __init__(self, key, value, revision, created_at, lease):
        self.key = key
        self.value = value
        self.revision = revision
        self.created_at = created_at
        self.lease = lease

    def describe(self):
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'revision': self.revision,
            'created_at': self.created_at,
            'lease': self.lease,
        }


class _CallFailed(Exception):
    def __init__(self, status, values):
        super().__init__(status)
        self.status = status
        self.values = values


class Store:
    """Items, leases and their history; `down` turns every call away."""

    def __init__(self):
        self._server = httpserver.Server(self._handle)
        self._items = {}
        self._events = []
        self._leases = {}
        self._changed = asyncio.Event()
        self._expiry = None
        self.revision = 1
        # While set, the store is down: each call gets a 503.
        self.down = False

    @property
    def address(self):
        return f'127.0.0.1:{self._server.port}'

    async def start(self):
        await self._server.start()
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self):
        self._expiry.cancel()
        await self._server.stop()

    def set_down(self, down):
        """Turn the store off or on; waiting watches are cut."""
        self.down = down
        if down:
            self._server.drop_connections()

    def put(self, key, value, lease=0):
        """Write a key; return the revision, which is the acknowledgement."""
        self.revision += 1
        before = self._items.get(key)
        created_at = before.created_at if before else self.revision
        item = _Item(key, value, self.revision, created_at, lease)
        self._items[key] = item
        self._note(item.describe())
        return self.revision

    def put_json(self, key, values):
        return self.put(key, json.dumps(values).encode())

    def remove(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _note(self, event):
        self._events.append((event['revision'], event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for item in list(self._items.values()):
            if item.lease == lease:
                self.remove(item.key)

    async def _handle(self, request, writer):
        path, _, query = request.target.partition('?')
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if request.body:
            values |= json.loads(request.body)
        status, answer = 200, {}
        try:
            if self.down:
                raise _CallFailed(503, {})
            answer = await self._call(request.method, path, values)
        except _CallFailed as failure:
            status, answer = failure.status, failure.values
        return httpserver.Response(
            status,
            [('Content-Type', 'application/json')],
            json.dumps(answer).encode(),
        )

    async def _call(self, method, path, values):
        name, _, argument = path.removeprefix('/-/').partition('/')
        if name == 'kv-key':
            item = self._items.get(values['key'])
            if item is None:
                raise _CallFailed(404, {'at': self.revision})
            return item.describe() | {'at': self.revision}
        if name == 'kv-range':
            return self._read_range(values)
        if name == 'kv-watch':
            return await self._watch(values)
        if name == 'kv-txn':
            return self._write(values)
        if name == 'kv-lease':
            return self._grant(values)
        if name == 'kv-keep':
            lease = int(argument)
            if lease not in self._leases:
                raise _CallFailed(404, {})
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return {'ttl_ms': ttl_ms}
        if name == 'kv-lease-end':
            if int(argument) not in self._leases:
                raise _CallFailed(404, {})
            self._end_lease(int(argument))
            return {}
        raise _CallFailed(404, {})

    def _read_range(self, values):
        after = values.get('after', '')
        items = sorted(
            (
                each
                for each in self._items.values()
                if each.key.startswith(values['prefix']) and each.key > after
            ),
            key=lambda each: each.key,
        )
        page, size = [], 0
        for item in items[:_PAGE_ITEMS]:
            size += len(item.value)
            if page and size > _PAGE_BYTES:
                break
            page.append(item.describe())
        return {
            'entries': page,
            'has_more': len(page) < len(items),
            'at': self.revision,
        }

    async def _watch(self, values):
        after = int(values['after'])
        wait_ms = min(int(values.get('wait_ms', 0)), _MAX_WAIT_MS)
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            if self.down:
                raise _CallFailed(503, {})
            events = [
                event
                for revision, event in self._events
                if revision > after
                and event['key'].startswith(values['prefix'])
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'at': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, values):
        failed = []
        for row in values.get('expected_revision', ()):
            item = self._items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                failed.append(
                    item.describe()
                    if item
                    else {'key': row['key'], 'revision': 0}
                )
        if failed:
            raise _CallFailed(412, {'entries': failed})
        for row in values.get('write', ()):
            if row['key'].startswith(('op/', 'servers/')):
                raise _CallFailed(403, {})
            if row.get('lease') and row['lease'] not in self._leases:
                raise _CallFailed(404, {})
        for row in values.get('write', ()):
            self.put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
        for key in values.get('remove', ()):
            self.remove(key)
        return {'revision': self.revision}

    def _grant(self, values):
        ttl_ms = max(1000, min(int(values['ttl_ms']), 600_000))
        self.revision += 1
        lease = self.revision
        self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return {'lease': lease, 'ttl_ms': ttl_ms}
