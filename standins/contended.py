"""A simulated engine that contends: it reads prompts one after the other.

    python -m standins.contended --name e-1 --service llm --store IP:PORT

Registers itself as `standins.listed` does, and starts to after
`POST /standin/list`. A request waits for a slot and for its turn to be read;
then its events are streamed. Prompt parts that were read before, and that the
memory still holds, are not read again. Responses tell the engine's load. A
request whose deadline passes before its turn, or that finds the queue full, is
rejected as not executed.

For each request that it reads, the engine prints a JSON line with the time at
which reading begins and how long it takes.
"""

import collections
import json
import time
import typing

import gevent
from gevent import lock

from standins import listed
from standins import server

# Requests that wait for a slot at most, as a multiple of the slots.
_MAX_WAITING_FACTOR = 1.0
_PROMPT_OVERHEAD_SECONDS = 0.004
_TOKENS_PER_EVENT = 4
_EVENT_INTERVAL_SECONDS = 0.02
_NOT_EXECUTED_HEADER = ('Amaranthslip-Not-Executed', '1')


class PartCache:
    """The prompt parts that the engine has read most recently."""

    __slots__ = ('_max_tokens', '_tokens', '_parts')

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._tokens = 0
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def read(self, parts: typing.Iterable[tuple[str, int]]) -> int:
        """Return the tokens of parts that are not cached, and cache them."""
        unread, cached = 0, True
        for name, tokens in parts:
            cached = cached and name in self._parts
            if not cached:
                unread += tokens
            if name in self._parts:
                self._parts.move_to_end(name)
            else:
                self._parts[name] = tokens
                self._tokens += tokens
        while self._tokens > self._max_tokens:
            self._tokens -= self._parts.popitem(last=False)[1]
        return unread


class ContendedEngine:
    """WSGI application of the engine.

    Parameters
    ----------
    listing : Listing
        The engine's entry in the store.
    rate : float
        Prompt tokens that the engine reads per second.
    slots : int
        Requests that it processes at the same time.
    cache_tokens : int
        Size of its memory for prompt parts.
    """

    __slots__ = (
        '_listing',
        '_rate',
        '_slots',
        '_semaphore',
        '_waiting',
        '_running',
        '_free_at',
        '_cache',
    )

    def __init__(
        self,
        listing: listed.Listing,
        *,
        rate: float,
        slots: int,
        cache_tokens: int,
    ) -> None:
        self._listing = listing
        self._rate = rate
        self._slots = slots
        self._semaphore = lock.BoundedSemaphore(slots)
        self._waiting = 0
        self._running = 0
        # Time at which all prompts with a slot will have been read.
        self._free_at = 0.0
        self._cache = PartCache(cache_tokens)

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        if environ['PATH_INFO'] == '/standin/list':
            values = server.read_json(environ)
            gevent.spawn(self._listing.maintain, values['address'])
            return server.respond_json(start_response, {})
        environ['wsgi.input'].read()
        expected = environ.get('HTTP_AMARANTHSLIP_EXPECT_INSTANCE', '')
        if expected and expected != self._listing.name:
            return self._reject(environ, start_response, '421 Misdirected')
        deadline_ms = environ.get('HTTP_AMARANTHSLIP_DEADLINE_MS', '60000')
        deadline = time.monotonic() + float(deadline_ms) / 1000
        if self._waiting >= _MAX_WAITING_FACTOR * self._slots:
            return self._reject(environ, start_response, '503 Full')
        self._waiting += 1
        try:
            acquired = self._semaphore.acquire(
                timeout=max(0.0, deadline - time.monotonic())
            )
        finally:
            self._waiting -= 1
        if not acquired:
            return self._reject(environ, start_response, '503 Too Late')
        return self._stream(environ, start_response)

    def _build_headers(self, environ: server.Environ) -> list[tuple[str, str]]:
        attempt_id = environ.get('HTTP_AMARANTHSLIP_ATTEMPT_ID', '')
        load = f'{self._running},{self._waiting},{self._slots}'
        return [
            ('Amaranthslip-Attempt-Id', attempt_id),
            ('Amaranthslip-Server-Load', load),
        ]

    def _reject(
        self,
        environ: server.Environ,
        start_response: server.StartResponse,
        status: str,
    ) -> list[bytes]:
        pairs = [*self._build_headers(environ), _NOT_EXECUTED_HEADER]
        start_response(status, [*pairs, ('Content-Length', '0')])
        return [b'']

    def _stream(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterator[bytes]:
        self._running += 1
        try:
            began, seconds = self._reserve_reading(environ)
            gevent.sleep(max(0.0, began - time.monotonic()))
            _print_reading(environ, began, seconds)
            gevent.sleep(max(0.0, began + seconds - time.monotonic()))
            seal = ('Amaranthslip-Server-Seal', f'seal-{self._listing.name}')
            content_type = ('Content-Type', 'text/event-stream')
            pairs = [*self._build_headers(environ), seal, content_type]
            start_response('200 OK', pairs)
            count = -(-_read_usage(environ)[1] // _TOKENS_PER_EVENT)
            for number in range(1, max(1, count) + 1):
                yield b'id: %d\ndata: event-%d\n\n' % (number, number)
                gevent.sleep(_EVENT_INTERVAL_SECONDS)
        finally:
            self._running -= 1
            self._semaphore.release()

    def _reserve_reading(self, environ: server.Environ) -> tuple[float, float]:
        """Return when reading the prompt begins, and how long it takes."""
        unread = self._cache.read(_read_parts(environ))
        seconds = unread / self._rate + _PROMPT_OVERHEAD_SECONDS
        began = max(time.monotonic(), self._free_at)
        self._free_at = began + seconds
        return began, seconds


def _read_usage(environ: server.Environ) -> tuple[int, int]:
    usage = environ['HTTP_AMARANTHSLIP_TOKEN_USAGE'].split(',')
    return int(usage[0]), int(usage[1])


def _read_parts(environ: server.Environ) -> list[tuple[str, int]]:
    text = environ['HTTP_AMARANTHSLIP_PROMPT_PREFIX']
    pairs = [each.rpartition(':') for each in text.split(',')]
    return [(name, int(tokens)) for name, _, tokens in pairs]


def _print_reading(
    environ: server.Environ, began: float, seconds: float
) -> None:
    line = {
        'read': environ['HTTP_AMARANTHSLIP_ATTEMPT_ID'],
        'account': environ.get('HTTP_AMARANTHSLIP_TENANT', ''),
        'at': began,
        'seconds': seconds,
    }
    print(json.dumps(line), flush=True)


def main() -> None:
    """Run the engine as a program."""
    parser = server.build_parser('A simulated engine that contends.')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--store', required=True, metavar='IP:PORT')
    parser.add_argument('--rate', type=float, default=40000.0)
    parser.add_argument('--slots', type=int, default=24)
    parser.add_argument('--cache-tokens', type=int, default=100000)
    options = parser.parse_args()
    listing = listed.Listing(
        options.name, options.service, options.store, slots=options.slots
    )
    engine = ContendedEngine(
        listing,
        rate=options.rate,
        slots=options.slots,
        cache_tokens=options.cache_tokens,
    )
    server.run(engine, port=options.port)


if __name__ == '__main__':
    main()
