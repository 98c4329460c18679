"""What the relay costs: processor time and latency against a direct call.

    python -m bench.relay

Starts a stand-in engine and an entry with a scheduler that grants at once,
each in a process of its own, and calls the engine directly and through the
entry. Prints one table and, with `--json FILE`, the same as JSON. Processor
time is what the kernel counted for the entry's process.
"""

import argparse
import json
import pathlib
import statistics
import subprocess
import sys
import time
import typing

import gevent
from gevent import pool
from geventhttpclient import client

from tests.support import callers

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_HEADERS = {
    'Authorization': f'Bearer {callers.KEYS["escola-sol"]}',
    'Content-Type': 'application/json',
}
_PATH = '/v1/chat/completions'


class Process:
    """One started process that announces its port in a JSON line."""

    def __init__(self, *command: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', *command],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
        )
        self.port = json.loads(self._process.stdout.readline())['port']

    def read_microseconds(self) -> float:
        """Return the processor time it has used."""
        path = pathlib.Path(f'/proc/{self._process.pid}/schedstat')
        return int(path.read_text().split()[0]) / 1000

    def close(self) -> None:
        self._process.terminate()
        self._process.wait(10)


class Run:
    """Many calls of one kind, and what they took."""

    def __init__(self, port: int, *, tokens: int, stream: bool) -> None:
        self._tokens = tokens
        self._stream = stream
        self._client = client.HTTPClient(
            '127.0.0.1', port, network_timeout=60, concurrency=64
        )
        self.latencies: list[float] = []
        self.first: list[float] = []
        self.seconds = 0.0

    def call(self, number: int) -> None:
        """Make one call and check that its answer is whole."""
        prompt = f'{number} LENGTH={self._tokens}'
        body = {
            'model': 'llm',
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': self._stream,
        }
        started = time.perf_counter()
        answer = self._client.request(
            'POST', _PATH, json.dumps(body).encode(), _HEADERS
        )
        first = answer.read(1)
        self.first.append(time.perf_counter() - started)
        data = first + answer.read()
        self.latencies.append(time.perf_counter() - started)
        last = f' w{self._tokens - 1}.'.encode()
        assert answer.status_code == 200 and last in data, data[-300:]

    def drive(self, count: int, concurrency: int) -> None:
        """Make `count` calls, `concurrency` at once."""
        started = time.perf_counter()
        pool.Pool(concurrency).map(self.call, range(count))
        self.seconds = time.perf_counter() - started


def serve(engine: str) -> None:
    """Run the entry's process."""
    side = callers.EntryFixture(callers.build_document([engine]))
    print(json.dumps({'port': side.address[1]}), flush=True)
    gevent.get_hub().join()


class Comparison:
    """One load, put on the engine directly and through the entry."""

    def __init__(
        self, engine: Process, entry: Process, *, tokens: int, stream: bool
    ) -> None:
        self._engine = engine
        self._entry = entry
        self._options = {'tokens': tokens, 'stream': stream}

    def measure(self, count: int, concurrency: int) -> dict[str, typing.Any]:
        """Return the figures, after a run to warm up."""
        for port in (self._engine.port, self._entry.port):
            Run(port, **self._options).drive(concurrency, concurrency)
        direct = Run(self._engine.port, **self._options)
        direct.drive(count, concurrency)
        before = self._entry.read_microseconds()
        engine_before = self._engine.read_microseconds()
        through = Run(self._entry.port, **self._options)
        through.drive(count, concurrency)
        used = self._entry.read_microseconds() - before
        engine_used = self._engine.read_microseconds() - engine_before
        return {
            'requests': count,
            'concurrency': concurrency,
            'entry_us_per_request': used / count,
            'entry_us_per_token': used / count / self._options['tokens'],
            'entry_to_engine_processor_time': used / engine_used,
            'rate_ratio': direct.seconds / through.seconds,
            'rate': count / through.seconds,
            'latency_ratio': statistics.median(through.latencies)
            / statistics.median(direct.latencies),
            'added_first_byte_us': 1e6
            * (
                statistics.median(through.first)
                - statistics.median(direct.first)
            ),
        }


def measure() -> dict[str, typing.Any]:
    """Run all comparisons."""
    figures = {}
    quick = ('standins.engine', '--step-ms', '0.2', '--slots', '64')
    paced = ('standins.engine', '--step-ms', '20', '--slots', '64')
    for name, engine_command, options, load in (
        ('whole, one at a time', quick, (1, False), (1000, 1)),
        ('whole, 16 at once', quick, (1, False), (3000, 16)),
        ('streams of 1 token, 16 at once', quick, (1, True), (3000, 16)),
        ('streams of 400 tokens, 32 at once', paced, (400, True), (64, 32)),
        ('streams of 400 tokens, flat out', quick, (400, True), (100, 16)),
    ):
        engine = Process(*engine_command)
        address = f'127.0.0.1:{engine.port}'
        entry = Process('bench.relay', '--serve', address)
        tokens, stream = options
        comparison = Comparison(engine, entry, tokens=tokens, stream=stream)
        figures[name] = comparison.measure(*load)
        entry.close()
        engine.close()
    return figures


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description='What the relay costs.')
    parser.add_argument('--serve', metavar='ENGINE', help=argparse.SUPPRESS)
    parser.add_argument('--json', type=pathlib.Path)
    options = parser.parse_args()
    if options.serve:
        serve(options.serve)
        return
    figures = measure()
    for name, each in figures.items():
        print(name)
        for key, value in each.items():
            print(f'  {key:32} {value:10.2f}')
    if options.json:
        options.json.write_text(json.dumps(figures, indent=1))


if __name__ == '__main__':
    main()
