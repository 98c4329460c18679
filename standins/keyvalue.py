"""A simulated key-value service of the platform.

    python -m standins.keyvalue --port 0

Serves `/-/kv-key`, `/-/kv-range`, `/-/kv-watch`, `/-/kv-txn`,
`/-/kv-lease`, `/-/kv-keep/ID` and `/-/kv-lease-end/ID`. Values above 1 MiB are
rejected.

`POST /standin/faults` takes these fields:

- `mode`:
  - `up`: no fault;
  - `down`: open watches end, and every connection is closed before the
    call takes effect;
  - `refuse`: every call gets a 503;
  - `throttle`: every call gets a 429;
  - `slow`: every call is delayed by `seconds`;
  - `lose_answers`: each write takes effect, and the connection is closed
    without a response;
  - `lose_some`: as `lose_answers`, for a `fraction` of the writes;
- `for_seconds`: the mode returns to `up` after this time (default: never);
- `silent_watches`: watches that are open now deliver no further events and
  don't time out.

Other control paths:

- `GET /standin/calls` returns the number of calls, in total and per second;
- `POST /standin/put` with `key` and `text` writes a key, as an operator would;
- `POST /standin/remove` with `key` deletes a key;
- `POST /standin/compact` drops the history;
- `POST /standin/snapshot` and `POST /standin/restore` take an optional `name`.
  A restore begins a new era, which all answers carry in `Store-Era`.
"""

import base64
import collections
import random
import time
import typing
import urllib.parse

import gevent
from gevent import queue

from standins import server
from standins import store

_MAX_VALUE_BYTES = 1024 * 1024
_PAGE_ENTRIES = 500
_PAGE_BYTES = 1024 * 1024
_LEASE_EXPIRY_INTERVAL_SECONDS = 0.05
_WATCH_POLL_SECONDS = 0.2
_MAX_WAIT_SECONDS = 30.0
# Names under which calls are counted, by path.
_CALL_NAMES = {
    '/-/kv-key': 'read',
    '/-/kv-range': 'range',
    '/-/kv-watch': 'watch',
    '/-/kv-txn': 'txn',
    '/-/kv-lease': 'lease',
    '/-/kv-keep': 'renewal',
    '/-/kv-lease-end': 'lease_end',
}
_WRITE_CALLS = ('txn', 'lease', 'lease_end')
_STATUSES = {
    400: '400 Bad Request',
    404: '404 Not Found',
    410: '410 Gone',
    412: '412 Precondition Failed',
    429: '429 Too Many Requests',
    503: '503 Service Unavailable',
}


class _ErrorResponse(Exception):
    """Ends a call with a status other than 200."""

    def __init__(self, status: int, **values: object) -> None:
        super().__init__(status)
        self.status = status
        self.values = values


def _format_item(item: store.Item) -> dict[str, typing.Any]:
    return {
        'key': item.key.decode(),
        'value': base64.b64encode(item.value).decode(),
        'revision': item.mod_revision,
        'created_at': item.create_revision,
        'lease': item.lease,
    }


def _format_event(event: store.Event) -> dict[str, typing.Any]:
    if not event.deleted:
        return _format_item(event.item)
    return {
        'key': event.item.key.decode(),
        'revision': event.item.mod_revision,
        'deleted': True,
    }


class Faults:
    """The active fault mode and its parameters."""

    __slots__ = ('mode', 'seconds', 'fraction', 'expires_at', '_random')

    def __init__(self) -> None:
        self.mode = 'up'
        self.seconds = 0.0
        self.fraction = 0.5
        self.expires_at: float | None = None
        self._random = random.Random(1)

    def update(self, values: dict[str, typing.Any]) -> None:
        """Apply the fields of a `/standin/faults` request."""
        self.mode = values.get('mode', self.mode)
        self.seconds = float(values.get('seconds', self.seconds))
        self.fraction = float(values.get('fraction', self.fraction))
        duration = values.get('for_seconds')
        self.expires_at = time.monotonic() + duration if duration else None

    def read_mode(self) -> str:
        """Return the mode; reset it to `up` if its time has expired."""
        if self.expires_at is not None and time.monotonic() >= self.expires_at:
            self.mode, self.expires_at = 'up', None
        return self.mode

    def loses_answer(self) -> bool:
        """Return whether the response to the current write is lost."""
        mode = self.read_mode()
        if mode == 'lose_some':
            return self._random.random() < self.fraction
        return mode == 'lose_answers'


class KeyValueService:
    """WSGI application over one store, with call counts and faults."""

    __slots__ = (
        '_store',
        '_faults',
        '_call_totals',
        '_calls_by_second',
        '_handlers',
    )

    def __init__(self) -> None:
        self._store = store.Store()
        self._faults = Faults()
        self._call_totals: collections.Counter[str] = collections.Counter()
        self._calls_by_second: dict[int, collections.Counter[str]] = {}
        self._handlers = {
            'read': self._read_key,
            'range': self._read_range,
            'txn': self._transact,
            'lease': self._grant_lease,
            'renewal': self._renew_lease,
            'lease_end': self._revoke_lease,
        }
        gevent.spawn(self._run_lease_expiry)

    def read_revision(self) -> int:
        """Return the store's current revision."""
        return self._store.revision

    def read_era(self) -> int:
        """Return the number of restores, counted from 1."""
        return self._store.era

    def _run_lease_expiry(self) -> None:
        while True:
            gevent.sleep(_LEASE_EXPIRY_INTERVAL_SECONDS)
            self._store.revoke_expired_leases()

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        path = environ['PATH_INFO']
        if path.startswith('/standin/'):
            return self._handle_control(path, environ, start_response)
        call_name = _CALL_NAMES.get(path) or _CALL_NAMES.get(
            path.rpartition('/')[0]
        )
        if call_name is None:
            return self._respond(start_response, 404, {})
        return self._handle_call(call_name, environ, start_response)

    def _handle_call(
        self,
        call_name: str,
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterable[bytes]:
        self._count_call(call_name)
        values = _read_values(environ)
        mode = self._faults.read_mode()
        if mode == 'down':
            server.abort_connection(environ)
        if mode == 'slow':
            gevent.sleep(self._faults.seconds)
        try:
            if mode == 'refuse':
                raise _ErrorResponse(503)
            if mode == 'throttle':
                raise _ErrorResponse(429)
            if call_name == 'watch':
                response = self._wait_for_events(values, environ)
            else:
                response = self._handlers[call_name](values)
        except _ErrorResponse as error_response:
            return self._respond(
                start_response, error_response.status, error_response.values
            )
        if call_name in _WRITE_CALLS and self._faults.loses_answer():
            server.abort_connection(environ)
        return self._respond(start_response, 200, response)

    def _count_call(self, call_name: str) -> None:
        self._call_totals[call_name] += 1
        second = int(time.time())
        self._calls_by_second.setdefault(second, collections.Counter())[
            call_name
        ] += 1

    def _handle_control(
        self,
        path: str,
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        response: dict[str, typing.Any] = {}
        match path:
            case '/standin/faults':
                self._faults.update(values)
                if values.get('silent_watches'):
                    for watch in self._store.watches:
                        watch.silent = True
                if values.get('mode') == 'down':
                    self._store.close_watches()
            case '/standin/calls':
                response = {
                    'total': self._call_totals,
                    'seconds': self._calls_by_second,
                }
            case '/standin/put':
                text = values['text'].encode()
                revision = self._store.advance()
                self._store.put(
                    values['key'].encode(), text, 0, revision=revision
                )
                response = {'revision': revision}
            case '/standin/remove':
                self._store.delete(
                    values['key'].encode(), revision=self._store.advance()
                )
            case '/standin/expire':
                self._store.revoke_all()
            case '/standin/compact':
                self._store.compact()
            case '/standin/snapshot':
                self._store.take_snapshot(values.get('name', ''))
            case '/standin/restore':
                self._store.restore(values.get('name', ''))
            case _:
                return self._respond(start_response, 404, {})
        return self._respond(start_response, 200, response)

    def _read_key(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        item = self._store.items.get(values['key'].encode())
        if item is None:
            raise _ErrorResponse(404, at=self._store.revision)
        return _format_item(item) | {'at': self._store.revision}

    def _read_range(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        after = values.get('after', '').encode()
        items = [
            each
            for each in self._store.read_prefix(values['prefix'].encode())
            if each.key > after
        ]
        page, size = [], 0
        for item in items[:_PAGE_ENTRIES]:
            size += len(item.value)
            if page and size > _PAGE_BYTES:
                break
            page.append(_format_item(item))
        return {
            'entries': page,
            'has_more': len(page) < len(items),
            'at': self._store.revision,
        }

    def _transact(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        writes = values.get('write', ())
        conflicts = [
            each
            for each in values.get('expected_revision', ())
            if self._read_revision(each['key']) != each['revision']
        ]
        if conflicts:
            raise _ErrorResponse(412, entries=conflicts)
        for write in writes:
            if len(base64.b64decode(write['value'])) > _MAX_VALUE_BYTES:
                raise _ErrorResponse(400, error='the value exceeds 1 MiB')
            lease = write.get('lease', 0)
            if lease and lease not in self._store.leases:
                raise _ErrorResponse(404, error='the lease does not exist')
        revision = self._store.advance()
        for write in writes:
            self._store.put(
                write['key'].encode(),
                base64.b64decode(write['value']),
                write.get('lease', 0),
                revision=revision,
            )
        for key in values.get('remove', ()):
            self._store.delete(key.encode(), revision=revision)
        return {'revision': revision}

    def _respond(
        self, start_response: server.StartResponse, status: int, values: object
    ) -> list[bytes]:
        return server.respond_json(
            start_response,
            values,
            status=_STATUSES.get(status, '200 OK'),
            headers={'Store-Era': str(self._store.era)},
        )

    def _read_revision(self, key: str) -> int:
        item = self._store.items.get(key.encode())
        return item.mod_revision if item else 0

    def _grant_lease(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        milliseconds = int(values['ttl_ms'])
        lease = self._store.grant(milliseconds / 1000)
        return {'lease': lease, 'ttl_ms': milliseconds}

    def _renew_lease(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        lease = self._store.leases.get(values['lease'])
        if lease is None:
            raise _ErrorResponse(404)
        lease.renew()
        return {'ttl_ms': int(lease.ttl_seconds * 1000)}

    def _revoke_lease(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        if not self._store.revoke(values['lease']):
            raise _ErrorResponse(404)
        return {}

    def _wait_for_events(
        self, values: dict[str, typing.Any], environ: server.Environ
    ) -> dict[str, typing.Any]:
        if 'after' not in values:
            raise _ErrorResponse(400, error="the field 'after' is missing")
        after = int(values['after'])
        if not self._store.compacted_revision <= after <= self._store.revision:
            raise _ErrorResponse(410)
        wait = min(int(values.get('wait_ms', 0)) / 1000, _MAX_WAIT_SECONDS)
        watch = self._store.open_watch(values['prefix'].encode(), after + 1)
        disconnect_watcher = gevent.spawn(server.wait_for_close, environ)
        try:
            events = self._collect_events(
                watch, disconnect_watcher, wait, environ
            )
        finally:
            self._store.watches.discard(watch)
            disconnect_watcher.kill()
        return {
            'events': [_format_event(each) for each in events],
            'at': self._store.revision,
        }

    def _collect_events(
        self,
        watch: store.Watch,
        disconnect_watcher: gevent.Greenlet,
        wait_seconds: float,
        environ: server.Environ,
    ) -> list[store.Event]:
        """Wait for an event or the timeout; return all queued events."""
        deadline = time.monotonic() + wait_seconds
        events: list[store.Event] = []
        while watch.silent or not (events or time.monotonic() >= deadline):
            if disconnect_watcher.ready():
                server.abort_connection(environ)
            remaining = max(0.0, deadline - time.monotonic())
            try:
                event = watch.events.get(
                    timeout=min(remaining, _WATCH_POLL_SECONDS)
                    if not watch.silent
                    else _WATCH_POLL_SECONDS
                )
            except queue.Empty:
                continue
            if event is None:
                server.abort_connection(environ)
            events.append(event)
        while not watch.events.empty():
            event = watch.events.get()
            if event is None:
                server.abort_connection(environ)
            events.append(event)
        return events


def _read_values(environ: server.Environ) -> dict[str, typing.Any]:
    values: dict[str, typing.Any] = dict(
        urllib.parse.parse_qsl(environ['QUERY_STRING'], keep_blank_values=True)
    )
    values |= server.read_json(environ)
    last_segment = environ['PATH_INFO'].rpartition('/')[2]
    if last_segment.isdigit():
        values['lease'] = int(last_segment)
    return values


def main() -> None:
    """Run the service as a program."""
    options = server.build_parser(
        'A simulated key-value service.'
    ).parse_args()
    server.run(KeyValueService(), port=options.port)


if __name__ == '__main__':
    main()
