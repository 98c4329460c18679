"""A simulated backend server that registers itself in the platform's store.

    python -m standins.listed --name i-1 --service llm --store IP:PORT

Responds with streams of `EVENTS` events on `/chat/` and `/once/`, and with
complete responses on other paths. Each event names the software version of the
server, which goes on after any event without checking what wrote it.
Responses carry the server's seal (unless the request was not executed) and the
attempt id. For each execution, the server prints a JSON line, so that a test
knows what was executed even if the process is killed.

`POST /standin/list` with `address` starts the registration: an entry under a
lease that is renewed periodically. `POST /standin/faults` takes `mode` and the
`fraction` of requests that it affects:

- `ok`: no fault;
- `errors`: the server responds with a 500 of its own;
- `hang`: the request is executed, and the server doesn't respond;
- `cut`: the connection is closed before the response is complete;
- `foreign`: a response to another attempt precedes the response;
- `refuse`: the server responds with a 503 without executing the request;
- `back_off`: as `refuse`, with a `Retry-After` header;
- `slow`: the response is delayed.

The server prints a JSON line with the time of each request that is not
misdirected, and of each response with `Retry-After`. On SIGTERM it marks its
entry as draining, and stops `--leave-seconds` later. After SIGTERM or
`POST /standin/leaving`, its responses to requests carry `Server-Leaving: 1`. A
request whose body starts with `crash` crashes the process when it is executed;
one that has the part `dead01` in its prompt, before the last part, once the
first event of its stream has been sent.
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
# Prefix of the request bodies that crash the server.
CRASH_PREFIX = b'crash'
# Id of the part of a prompt that crashes the server.
DEADLY_PART = 'dead01'
RETRY_AFTER_SECONDS = 2.0
_TTL_SECONDS = 1.5
_RENEW_INTERVAL_SECONDS = 0.4
_PROCESSING_SECONDS = 0.01
_EVENT_INTERVAL_SECONDS = 0.015
_SLOW_SECONDS = 0.3
_NOT_EXECUTED_HEADER = ('Amaranthslip-Not-Executed', '1')
_STREAM_PREFIXES = ('/chat/', '/once/')


class Listing:
    """The server's entry in the store, bound to a lease."""

    __slots__ = (
        'name',
        'software_version',
        'started_ms',
        'state',
        '_client',
        '_values',
        '_lease',
        '_era',
        '_last_written',
    )

    def __init__(
        self,
        name: str,
        service: str,
        store: str,
        *,
        software_version: str = 'v1',
        slots: int = 8,
    ) -> None:
        host, _, port = store.rpartition(':')
        self.name = name
        self.software_version = software_version
        self.started_ms = int(time.time() * 1000)
        self.state = 'ready'
        self._client = geventhttpclient.HTTPClient(
            host, int(port), connection_timeout=1.0, network_timeout=1.0
        )
        self._values: dict[str, object] = {
            'service': service,
            'zone': 'a',
            'version': software_version,
            'slots': slots,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.started_ms,
        }
        self._lease = 0
        # The store's era at the last write; a restore loses what was written
        # after the copy, and gives out leases again.
        self._era = ''
        self._last_written = ''

    def maintain(self, address: str) -> None:
        """Renew the entry indefinitely; retry while the store is down."""
        self._values['address'] = address
        while True:
            try:
                self._renew()
            except (OSError, ValueError, KeyError, response.HTTPParseError):
                # The store is unavailable: the entry may expire, and is
                # written again once the store responds.
                pass
            gevent.sleep(_RENEW_INTERVAL_SECONDS)

    def _renew(self) -> None:
        era = self._era
        status, _ = self._post(f'/-/kv-keep/{self._lease}', {})
        if status == 404 or self._era != era:
            ttl = {'ttl_ms': int(_TTL_SECONDS * 1000)}
            self._lease = self._post('/-/kv-lease', ttl)[1]['lease']
            self._last_written = ''
        text = json.dumps(self._values | {'state': self.state})
        if text == self._last_written:
            return
        value = base64.b64encode(text.encode()).decode()
        key = f'servers/{self.name}'
        write = {'key': key, 'value': value, 'lease': self._lease}
        if self._post('/-/kv-txn', {'write': [write]})[0] == 200:
            self._last_written = text

    def _post(
        self, path: str, values: dict[str, object]
    ) -> tuple[int, dict[str, typing.Any]]:
        with self._client.post(path, json.dumps(values)) as reply:
            self._era = reply.get('Store-Era', '')
            return reply.status_code, json.loads(reply.read() or '{}')


class ListedService:
    """WSGI application of the server."""

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
        # Distinguishes restarts of a server under the same name.
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
            return self._handle_control(path, environ, start_response)
        attempt_id = environ.get('HTTP_AMARANTHSLIP_ATTEMPT_ID', '')
        expected = environ.get('HTTP_AMARANTHSLIP_EXPECT_INSTANCE', '')
        respond = functools.partial(self._respond, start_response, attempt_id)
        if expected and expected != self._listing.name:
            return respond('421 Misdirected Request', [_NOT_EXECUTED_HEADER])
        _print_timestamp('arrival', attempt_id)
        fault = self._choose_fault()
        if fault == 'refuse':
            return respond('503 Service Unavailable', [_NOT_EXECUTED_HEADER])
        if fault == 'back_off':
            _print_timestamp('back_off', attempt_id)
            retry_after = ('Retry-After', str(RETRY_AFTER_SECONDS))
            return respond(
                '503 Service Unavailable', [_NOT_EXECUTED_HEADER, retry_after]
            )
        body = environ['wsgi.input'].read()
        _print_execution(environ, self._start_id, attempt_id, body)
        if body.startswith(CRASH_PREFIX):
            os._exit(1)
        return self._execute(fault, environ, respond)

    def _handle_control(
        self,
        path: str,
        environ: server.Environ,
        start_response: server.StartResponse,
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        if path == '/standin/list':
            gevent.spawn(self._listing.maintain, values['address'])
        if path == '/standin/leaving':
            self.leaving = True
        if path == '/standin/faults':
            self._mode = values['mode']
            self._fraction = values.get('fraction', 1.0)
        return server.respond_json(start_response, {})

    def _choose_fault(self) -> str:
        is_faulty = self._random.random() < self._fraction
        return self._mode if is_faulty else 'ok'

    def _respond(
        self,
        start_response: server.StartResponse,
        attempt_id: str,
        status: str,
        headers: list[tuple[str, str]],
        body: bytes | None = b'',
    ) -> list[bytes]:
        pairs = [
            ('Amaranthslip-Attempt-Id', attempt_id),
            ('Amaranthslip-Server-Load', '1,0,8'),
            *headers,
        ]
        if self.leaving:
            pairs.append(('Server-Leaving', '1'))
        if _NOT_EXECUTED_HEADER not in headers:
            seal = f'seal-{self._start_id}'
            pairs.append(('Amaranthslip-Server-Seal', seal))
        if body is not None:
            pairs.append(('Content-Length', str(len(body))))
        start_response(status, pairs)
        return [body or b'']

    def _execute(
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
        attempt_id = environ['HTTP_AMARANTHSLIP_ATTEMPT_ID']
        if fault == 'foreign':
            _send_foreign_response(environ)
        if environ['PATH_INFO'].startswith(_STREAM_PREFIXES):
            respond('200 OK', [('Content-Type', 'text/event-stream')], None)
            last_event_id = int(environ.get('HTTP_LAST_EVENT_ID') or 0)
            return self._stream(fault, environ, attempt_id, last_event_id + 1)
        gevent.sleep(_PROCESSING_SECONDS)
        if fault == 'cut':
            server.abort_connection(environ)
        values = {'server': self._start_id, 'attempt': attempt_id}
        return respond('200 OK', [], json.dumps(values).encode())

    def _stream(
        self,
        fault: str,
        environ: server.Environ,
        attempt_id: str,
        first_number: int,
    ) -> typing.Iterator[bytes]:
        aborted_number = (
            self._random.randint(first_number, EVENTS) if fault == 'cut' else 0
        )
        for number in range(first_number, EVENTS + 1):
            event = b'id: %d\ndata: %s:%d:%s\n\n' % (
                number,
                attempt_id.encode(),
                number,
                self._listing.software_version.encode(),
            )
            if number == aborted_number:
                yield event[: self._random.randrange(1, len(event))]
                server.abort_connection(environ)
            yield event
            gevent.sleep(_EVENT_INTERVAL_SECONDS)
            if DEADLY_PART in _read_shared_parts(environ):
                os._exit(1)


def _read_shared_parts(environ: server.Environ) -> list[str]:
    """Return the ids of the parts of a prompt but the last."""
    text = environ.get('HTTP_AMARANTHSLIP_PROMPT_PREFIX', '')
    return [each.partition(':')[0] for each in text.split(',')][:-1]


def _print_timestamp(kind: str, attempt_id: str) -> None:
    line = {kind: attempt_id, 'at': time.monotonic()}
    print(json.dumps(line), flush=True)


def _print_execution(
    environ: server.Environ, start_id: str, attempt_id: str, body: bytes
) -> None:
    line = {
        'run': attempt_id,
        'server': start_id,
        'account': environ.get('HTTP_AMARANTHSLIP_TENANT', ''),
        'has_key': 'HTTP_AUTHORIZATION' in environ,
        'after': int(environ.get('HTTP_LAST_EVENT_ID') or 0),
        'body': body.decode(),
        'parts': _read_shared_parts(environ),
    }
    print(json.dumps(line), flush=True)


def _send_foreign_response(environ: server.Environ) -> None:
    # Simulates a late response to a request that an earlier user of the
    # connection abandoned.
    body = b'{"server": "?", "attempt": "another"}'
    environ['standin.socket'].sendall(
        b'HTTP/1.1 200 OK\r\nAmaranthslip-Attempt-Id: another\r\n'
        b'Amaranthslip-Server-Seal: seal-another\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    )


def main() -> None:
    """Run the server as a program."""
    parser = server.build_parser(
        'A simulated backend server that registers itself.'
    )
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--store', required=True, metavar='IP:PORT')
    parser.add_argument('--software-version', default='v1')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--leave-seconds', type=float, default=1.0)
    options = parser.parse_args()
    listing = Listing(
        options.name,
        options.service,
        options.store,
        software_version=options.software_version,
    )
    service = ListedService(listing, seed=options.seed)
    http_server = server.Server(service, port=options.port)

    def drain_and_stop() -> None:
        listing.state = 'draining'
        service.leaving = True
        gevent.sleep(options.leave_seconds)
        http_server.stop(timeout=0)

    gevent.signal_handler(signal.SIGTERM, drain_and_stop)
    http_server.start()
    print(json.dumps({'port': http_server.server_port}), flush=True)
    http_server.serve_forever(stop_timeout=0)


if __name__ == '__main__':
    main()
