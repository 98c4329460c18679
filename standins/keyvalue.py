"""The platform's key-value service: a part of etcd v3's JSON gateway.

    python -m standins.keyvalue --port 0

Serves /v3/kv/range, put, txn, deleterange, /v3/lease/grant, revoke,
keepalive and /v3/watch. Values above 1 MiB are refused. Control paths:

`POST /standin/faults` with `mode` (`up`, `down`: every connection is closed
before any effect, `slow`: every call waits `seconds` first, `lose_answers`:
each write takes effect and the connection is closed without an answer,
`lose_some`: so for a `fraction` of the writes), `for_seconds` (then `up`
again; default: until changed) and `silent_watches` (watches stay open and
say nothing ever again). `GET /standin/calls`, `POST /standin/snapshot` and
`POST /standin/restore`, both with an optional `name`.
"""

import base64
import collections
import json
import operator
import random
import time
import typing

import gevent
from gevent import queue

from standins import server
from standins import store

_MOST_BYTES = 1024 * 1024
_LEASE_TICK_SECONDS = 0.05
_WATCH_TICK_SECONDS = 0.2
_COMPARISONS = {
    'EQUAL': operator.eq,
    'NOT_EQUAL': operator.ne,
    'GREATER': operator.gt,
    'LESS': operator.lt,
}
_READS = ('range', 'watch')


class _Refusal(Exception):
    """An error answer in the gateway's form."""


def _decode(values: dict[str, typing.Any], name: str) -> bytes:
    return base64.b64decode(values.get(name, ''))


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _find(values: dict[str, typing.Any], *names: str) -> typing.Any:
    for name in names:
        if name in values:
            return values[name]
    return None


def _write_item(item: store.Item) -> dict[str, typing.Any]:
    return store.describe(item) | {
        'key': _encode(item.key),
        'value': _encode(item.value),
    }


class Faults:
    """What goes wrong at present."""

    __slots__ = ('mode', 'seconds', 'fraction', 'ends', '_random')

    def __init__(self) -> None:
        self.mode = 'up'
        self.seconds = 0.0
        self.fraction = 0.5
        self.ends: float | None = None
        self._random = random.Random(1)

    def set(self, values: dict[str, typing.Any]) -> None:
        """Take the fields of one order."""
        self.mode = values.get('mode', self.mode)
        self.seconds = float(values.get('seconds', self.seconds))
        self.fraction = float(values.get('fraction', self.fraction))
        lasting = values.get('for_seconds')
        self.ends = time.monotonic() + lasting if lasting else None

    def read_mode(self) -> str:
        """Return the mode, which ends by itself when it was so ordered."""
        if self.ends is not None and time.monotonic() >= self.ends:
            self.mode, self.ends = 'up', None
        return self.mode

    def loses_answer(self) -> bool:
        """Say whether the present write's answer is lost."""
        mode = self.read_mode()
        if mode == 'lose_some':
            return self._random.random() < self.fraction
        return mode == 'lose_answers'


class KeyValueService:
    """The JSON gateway over one store, with counts and faults."""

    __slots__ = ('_store', '_faults', '_totals', '_seconds', '_calls')

    def __init__(self) -> None:
        self._store = store.Store()
        self._faults = Faults()
        self._totals: collections.Counter[str] = collections.Counter()
        self._seconds: dict[int, collections.Counter[str]] = {}
        self._calls = {
            '/v3/kv/range': self._range,
            '/v3/kv/put': self._put,
            '/v3/kv/txn': self._txn,
            '/v3/kv/deleterange': self._delete_range,
            '/v3/lease/grant': self._grant,
            '/v3/lease/revoke': self._revoke,
            '/v3/kv/lease/revoke': self._revoke,
            '/v3/lease/keepalive': self._keep_alive,
        }
        gevent.spawn(self._end_leases)

    def _end_leases(self) -> None:
        while True:
            gevent.sleep(_LEASE_TICK_SECONDS)
            self._store.end_leases()

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        path = environ['PATH_INFO']
        if path.startswith('/standin/'):
            return self._control(path, environ, start_response)
        if path == '/health':
            return server.answer_json(start_response, {'health': 'true'})
        if path not in self._calls and path != '/v3/watch':
            return server.answer_json(
                start_response, {}, status='404 Not Found'
            )
        return self._serve(path, environ, start_response)

    def _serve(
        self,
        path: str,
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        kind = path.rsplit('/', 1)[1]
        self._count(kind)
        if self._faults.read_mode() == 'down':
            server.cut(environ)
        if self._faults.read_mode() == 'slow':
            gevent.sleep(self._faults.seconds)
        if kind == 'watch':
            return self._watch(values, environ, start_response)
        try:
            answer = self._calls[path](values)
        except _Refusal as refusal:
            return _answer_refusal(start_response, str(refusal))
        if kind not in _READS and self._faults.loses_answer():
            server.cut(environ)
        answer['header'] = self._write_header()
        return server.answer_json(start_response, answer)

    def _count(self, kind: str) -> None:
        self._totals[kind] += 1
        second = int(time.time())
        self._seconds.setdefault(second, collections.Counter())[kind] += 1

    def _control(
        self,
        path: str,
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        answer: dict[str, typing.Any] = {}
        match path:
            case '/standin/faults':
                self._faults.set(values)
                if values.get('silent_watches'):
                    for watch in self._store.watches:
                        watch.silent = True
                if values.get('mode') == 'down':
                    self._store.close_watches()
            case '/standin/calls':
                answer = {'total': self._totals, 'seconds': self._seconds}
            case '/standin/snapshot':
                self._store.take_snapshot(values.get('name', ''))
            case '/standin/restore':
                self._store.restore(values.get('name', ''))
            case _:
                return server.answer_json(
                    start_response, {}, status='404 Not Found'
                )
        return server.answer_json(start_response, answer)

    def _write_header(self) -> dict[str, str]:
        return {
            'cluster_id': '1',
            'member_id': '1',
            'revision': str(self._store.revision),
            'raft_term': '2',
        }

    def _range(self, values: dict[str, typing.Any]) -> dict[str, typing.Any]:
        items = self._store.read(
            _decode(values, 'key'), _decode(values, 'range_end')
        )
        limit = int(values.get('limit', 0))
        answer: dict[str, typing.Any] = {}
        if items:
            answer['count'] = str(len(items))
            shown = items[:limit] if limit else items
            answer['kvs'] = [_write_item(item) for item in shown]
            if len(shown) < len(items):
                answer['more'] = True
        return answer

    def _put(
        self, values: dict[str, typing.Any], revision: int = 0
    ) -> dict[str, typing.Any]:
        _check_size(values)
        lease = int(values.get('lease', 0))
        if lease and lease not in self._store.leases:
            raise _Refusal('etcdserver: requested lease not found')
        self._store.put(
            _decode(values, 'key'),
            _decode(values, 'value'),
            lease,
            revision=revision or self._store.advance(),
        )
        return {}

    def _delete_range(
        self, values: dict[str, typing.Any], revision: int = 0
    ) -> dict[str, typing.Any]:
        key, end = _decode(values, 'key'), _decode(values, 'range_end')
        if not self._store.read(key, end):
            return {}
        deleted = self._store.delete(
            key, end, revision=revision or self._store.advance()
        )
        return {'deleted': str(deleted)}

    def _txn(self, values: dict[str, typing.Any]) -> dict[str, typing.Any]:
        succeeded = all(map(self._compare, values.get('compare', ())))
        operations = values.get('success' if succeeded else 'failure', ())
        for operation in operations:
            put = _find(operation, 'request_put', 'requestPut')
            if put is not None:
                _check_size(put)
        answer: dict[str, typing.Any] = {}
        if succeeded:
            answer['succeeded'] = True
        responses = self._execute(operations)
        if responses:
            answer['responses'] = responses
        return answer

    def _compare(self, compare: dict[str, typing.Any]) -> bool:
        item = self._store.items.get(_decode(compare, 'key'))
        compares = _COMPARISONS[compare.get('result', 'EQUAL')]
        target = compare.get('target', 'VERSION')
        if target == 'VALUE':
            found = item.value if item else None
            return bool(compares(found, _decode(compare, 'value')))
        field, camel = {
            'VERSION': ('version', 'version'),
            'CREATE': ('create_revision', 'createRevision'),
            'MOD': ('mod_revision', 'modRevision'),
        }[target]
        wanted = int(_find(compare, field, camel) or 0)
        return bool(compares(getattr(item, field) if item else 0, wanted))

    def _execute(
        self, operations: typing.Sequence[dict[str, typing.Any]]
    ) -> list[dict[str, typing.Any]]:
        responses = []
        revision = 0
        for operation in operations:
            put = _find(operation, 'request_put', 'requestPut')
            delete = _find(
                operation, 'request_delete_range', 'requestDeleteRange'
            )
            read = _find(operation, 'request_range', 'requestRange')
            if read is not None:
                responses.append({'response_range': self._range(read)})
                continue
            revision = revision or self._store.advance()
            if put is not None:
                responses.append({'response_put': self._put(put, revision)})
            elif delete is not None:
                deleted = self._delete_range(delete, revision)
                responses.append({'response_delete_range': deleted})
        return responses

    def _grant(self, values: dict[str, typing.Any]) -> dict[str, typing.Any]:
        ttl = int(values.get('TTL', 0))
        lease = self._store.grant(ttl, int(values.get('ID', 0)))
        return {'ID': str(lease), 'TTL': str(ttl)}

    def _revoke(self, values: dict[str, typing.Any]) -> dict[str, typing.Any]:
        if not self._store.revoke(int(values.get('ID', 0))):
            raise _Refusal('etcdserver: requested lease not found')
        return {}

    def _keep_alive(
        self, values: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        name = int(values.get('ID', 0))
        lease = self._store.leases.get(name)
        result = {'header': self._write_header(), 'ID': str(name)}
        if lease is not None:
            lease.renew()
            result['TTL'] = str(lease.ttl_seconds)
        return {'result': result}

    def _watch(
        self,
        values: dict[str, typing.Any],
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterator[bytes]:
        request = _find(values, 'create_request', 'createRequest') or {}
        start_revision = int(
            _find(request, 'start_revision', 'startRevision') or 0
        )
        start_response('200 OK', [('Content-Type', 'application/json')])
        return self._stream_events(request, start_revision, environ)

    def _stream_events(
        self,
        request: dict[str, typing.Any],
        start_revision: int,
        environ: server.Environ,
    ) -> typing.Iterator[bytes]:
        created = {'created': True}
        if 0 < start_revision <= self._store.compacted:
            created |= {
                'canceled': True,
                'compact_revision': str(self._store.compacted),
            }
            yield self._write_line(created)
            return
        watch = self._store.open_watch(
            _decode(request, 'key'),
            _decode(request, 'range_end'),
            start_revision,
        )
        watcher = gevent.spawn(server.wait_for_close, environ)
        try:
            yield self._write_line(created)
            yield from self._follow(watch, watcher)
        finally:
            self._store.watches.discard(watch)
            watcher.kill()
        server.cut(environ)

    def _follow(
        self, watch: store.Watch, watcher: gevent.Greenlet
    ) -> typing.Iterator[bytes]:
        while not watcher.ready():
            try:
                event = watch.events.get(timeout=_WATCH_TICK_SECONDS)
            except queue.Empty:
                continue
            if event is None:
                return
            if not watch.silent:
                yield self._write_line({'events': [_write_event(event)]})

    def _write_line(self, result: dict[str, typing.Any]) -> bytes:
        result['header'] = self._write_header()
        result['watch_id'] = '0'
        return json.dumps({'result': result}).encode() + b'\n'


def _write_event(event: store.Event) -> dict[str, typing.Any]:
    if event.deleted:
        described = {
            'key': _encode(event.item.key),
            'mod_revision': str(event.item.mod_revision),
        }
        return {'type': 'DELETE', 'kv': described}
    return {'kv': _write_item(event.item)}


def _check_size(values: dict[str, typing.Any]) -> None:
    if len(_decode(values, 'value')) > _MOST_BYTES:
        raise _Refusal('etcdserver: request is too large')


def _answer_refusal(
    start_response: server.StartResponse, message: str
) -> list[bytes]:
    body = {'error': message, 'code': 3, 'message': message}
    return server.answer_json(start_response, body, status='400 Bad Request')


def main() -> None:
    """Run the program."""
    options = server.build_parser('A key-value service.').parse_args()
    server.run(KeyValueService(), port=options.port)


if __name__ == '__main__':
    main()
