"""A backend server that lists itself in the platform's store.

    python -m standins.listed --name i-1 --service llm --store IP:PORT

Answers streams of `EVENTS` events on `/chat/` and `/once/`, whole answers
elsewhere, each signed and with its attempt's id. For each run it prints a
JSON line, so that what ran is known even if the process is killed.

`POST /standin/list` with `address` starts the listing: an entry under a lease
that is renewed. `POST /standin/faults` with `mode` and `fraction` of requests:
`ok`, `errors` (its own 500), `hang` (no answer, though it runs), `cut` (the
connection ends in the midst of an answer), `foreign` (an answer that belongs
to another attempt comes first), `refuse` (503, not run), `back_off` (the same
with `Retry-After`) and `slow`. It prints a JSON line with the time of each
request that is not misdirected, and of each answer with `Retry-After`. SIGTERM
lists it as leaving, and ends it `--leave-seconds` later. After SIGTERM or
`POST /standin/leaving`, its answers to requests carry `Server-Leaving: 1`. A
request whose body begins with `crash` crashes the process when it is run.
"""

import base64
import functools
import json
import os
import random
import signal
import time
import typing

import gevent
import geventhttpclient
from geventhttpclient import response

from standins import server

EVENTS = 12
# Prefix of request bodies that crash the server.
CRASH_PREFIX = b'crash'
RETRY_AFTER_SECONDS = 2.0
_TTL_SECONDS = 1.5
_RENEW_SECONDS = 0.4
_WORK_SECONDS = 0.01
_GAP_SECONDS = 0.015
_SLOW_SECONDS = 0.3
_NOT_RUN = ('Amaranthslip-Not-Executed', '1')
_STREAMS = ('/chat/', '/once/')


class Listing:
    """The server's entry in the store, under a lease."""

    __slots__ = (
        'name',
        'started_ms',
        'state',
        '_client',
        '_values',
        '_lease',
        '_written',
    )

    def __init__(self, name: str, service: str, store: str) -> None:
        host, _, port = store.rpartition(':')
        self.name = name
        self.started_ms = int(time.time() * 1000)
        self.state = 'ready'
        self._client = geventhttpclient.HTTPClient(
            host, int(port), connection_timeout=1.0, network_timeout=1.0
        )
        self._values: dict[str, object] = {
            'service': service,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.started_ms,
        }
        self._lease = 0
        self._written = ''

    def keep(self, address: str) -> None:
        """Hold the entry, through outages of the store."""
        self._values['address'] = address
        while True:
            try:
                self._renew()
            except (OSError, ValueError, KeyError, response.HTTPParseError):
                # The store is away; the entry may lapse until it is back.
                pass
            gevent.sleep(_RENEW_SECONDS)

    def _renew(self) -> None:
        status, _ = self._call(f'/-/kv-keep/{self._lease}', {})
        if status == 404:
            ttl = {'ttl_ms': int(_TTL_SECONDS * 1000)}
            self._lease = self._call('/-/kv-lease', ttl)[1]['lease']
            self._written = ''
        text = json.dumps(self._values | {'state': self.state})
        if text == self._written:
            return
        value = base64.b64encode(text.encode()).decode()
        key = f'servers/{self.name}'
        write = {'key': key, 'value': value, 'lease': self._lease}
        if self._call('/-/kv-txn', {'write': [write]})[0] == 200:
            self._written = text

    def _call(
        self, path: str, values: dict[str, object]
    ) -> tuple[int, dict[str, typing.Any]]:
        with self._client.post(path, json.dumps(values)) as answer:
            return answer.status_code, json.loads(answer.read() or '{}')


class ListedService:
    """The HTTP side of the server."""

    __slots__ = (
        '_listing',
        '_start_id',
        '_random',
        '_mode',
        '_fraction',
        'leaving',
    )

    def __init__(self, listing: Listing, *, seed: int) -> None:
        self._listing = listing
        # Unique to each start of a server, including restarts under its name.
        self._start_id = f'{listing.name}-{listing.started_ms}'
        self._random = random.Random(seed)
        self._mode = 'ok'
        self._fraction = 0.0
        self.leaving = False

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        path = environ['PATH_INFO']
        if path.startswith('/standin/'):
            return self._control(path, environ, start_response)
        attempt = environ.get('HTTP_AMARANTHSLIP_ATTEMPT_ID', '')
        expected = environ.get('HTTP_AMARANTHSLIP_EXPECT_INSTANCE', '')
        respond = functools.partial(self._respond, start_response, attempt)
        if expected and expected != self._listing.name:
            return respond('421 Misdirected Request', [_NOT_RUN])
        _print_time('arrival', attempt)
        fault = self._draw_fault()
        if fault == 'refuse':
            return respond('503 Service Unavailable', [_NOT_RUN])
        if fault == 'back_off':
            _print_time('back_off', attempt)
            retry_after = ('Retry-After', str(RETRY_AFTER_SECONDS))
            return respond('503 Service Unavailable', [_NOT_RUN, retry_after])
        body = environ['wsgi.input'].read()
        _print_run(environ, self._start_id, attempt, body)
        if body.startswith(CRASH_PREFIX):
            os._exit(1)
        return self._run(fault, environ, respond)

    def _control(
        self,
        path: str,
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        if path == '/standin/list':
            gevent.spawn(self._listing.keep, values['address'])
        if path == '/standin/leaving':
            self.leaving = True
        if path == '/standin/faults':
            self._mode = values['mode']
            self._fraction = values.get('fraction', 1.0)
        return server.answer_json(start_response, {})

    def _draw_fault(self) -> str:
        hit = self._random.random() < self._fraction
        return self._mode if hit else 'ok'

    def _respond(
        self,
        start_response: server.StartResponse,
        attempt: str,
        status: str,
        headers: list[tuple[str, str]],
        body: bytes | None = b'',
    ) -> list[bytes]:
        pairs = [
            ('Amaranthslip-Attempt-Id', attempt),
            ('Amaranthslip-Server-Load', '1,0,8'),
            *headers,
        ]
        if self.leaving:
            pairs.append(('Server-Leaving', '1'))
        if _NOT_RUN not in headers:
            seal = f'seal-{self._start_id}'
            pairs.append(('Amaranthslip-Server-Seal', seal))
        if body is not None:
            pairs.append(('Content-Length', str(len(body))))
        start_response(status, pairs)
        return [body or b'']

    def _run(
        self,
        fault: str,
        environ: server.Environ,
        respond: typing.Callable[..., list[bytes]],
    ) -> typing.Iterable[bytes]:
        if fault == 'slow':
            gevent.sleep(_SLOW_SECONDS)
        if fault == 'hang':
            server.hang(environ)
        if fault == 'errors':
            return respond('500 Internal Server Error', [])
        attempt = environ['HTTP_AMARANTHSLIP_ATTEMPT_ID']
        if fault == 'foreign':
            _write_foreign_answer(environ)
        if environ['PATH_INFO'].startswith(_STREAMS):
            respond('200 OK', [('Content-Type', 'text/event-stream')], None)
            resumed = int(environ.get('HTTP_LAST_EVENT_ID') or 0)
            return self._stream(fault, environ, attempt, resumed + 1)
        gevent.sleep(_WORK_SECONDS)
        if fault == 'cut':
            server.cut(environ)
        values = {'server': self._start_id, 'attempt': attempt}
        return respond('200 OK', [], json.dumps(values).encode())

    def _stream(
        self, fault: str, environ: server.Environ, attempt: str, first: int
    ) -> typing.Iterator[bytes]:
        last = self._random.randint(first, EVENTS) if fault == 'cut' else 0
        for number in range(first, EVENTS + 1):
            event = b'id: %d\ndata: %s:%d\n\n' % (
                number,
                attempt.encode(),
                number,
            )
            if number == last:
                yield event[: self._random.randrange(1, len(event))]
                server.cut(environ)
            yield event
            gevent.sleep(_GAP_SECONDS)


def _print_time(kind: str, attempt: str) -> None:
    line = {kind: attempt, 'at': time.monotonic()}
    print(json.dumps(line), flush=True)


def _print_run(
    environ: server.Environ, start_id: str, attempt: str, body: bytes
) -> None:
    line = {
        'run': attempt,
        'server': start_id,
        'account': environ.get('HTTP_AMARANTHSLIP_TENANT', ''),
        'has_key': 'HTTP_AUTHORIZATION' in environ,
        'after': int(environ.get('HTTP_LAST_EVENT_ID') or 0),
        'body': body.decode(),
    }
    print(json.dumps(line), flush=True)


def _write_foreign_answer(environ: server.Environ) -> None:
    # As a late answer to what an earlier user of the connection gave up.
    body = b'{"server": "?", "attempt": "another"}'
    environ['standin.socket'].sendall(
        b'HTTP/1.1 200 OK\r\nAmaranthslip-Attempt-Id: another\r\n'
        b'Amaranthslip-Server-Seal: seal-another\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    )


def main() -> None:
    """Run the program."""
    parser = server.build_parser('A backend server that lists itself.')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--store', required=True, metavar='IP:PORT')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--leave-seconds', type=float, default=1.0)
    options = parser.parse_args()
    listing = Listing(options.name, options.service, options.store)
    service = ListedService(listing, seed=options.seed)
    own = server.Server(service, port=options.port)

    def leave() -> None:
        listing.state = 'draining'
        service.leaving = True
        gevent.sleep(options.leave_seconds)
        own.stop(timeout=0)

    gevent.signal_handler(signal.SIGTERM, leave)
    own.start()
    print(json.dumps({'port': own.server_port}), flush=True)
    own.serve_forever(stop_timeout=0)


if __name__ == '__main__':
    main()
