"""Measure the relay's processor time and latency against direct calls.

    python -m bench.relay

Starts a stand-in engine and an entry whose scheduler grants a slot without
delay, each as a separate process, and calls the engine directly and through
the entry. Prints the results and, with `--json FILE`, also writes them as
JSON. Processor time is what the kernel counted for the entry's process.
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
    """A child process that prints its port in a JSON line."""

    def __init__(self, *command: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', *command],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
        )
        self.port = json.loads(self._process.stdout.readline())['port']

    def read_processor_microseconds(self) -> float:
        """Return the processor time used, in microseconds."""
        path = pathlib.Path(f'/proc/{self._process.pid}/schedstat')
        return int(path.read_text().split()[0]) / 1000

    def close(self) -> None:
        self._process.terminate()
        self._process.wait(10)


class CallSeries:
    """A series of equal calls, and the time that they took."""

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
        """Make one call and check that its answer is complete."""
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

    def run_calls(self, count: int, concurrency: int) -> None:
        """Make `count` calls, `concurrency` at a time."""
        started = time.perf_counter()
        pool.Pool(concurrency).map(self.call, range(count))
        self.seconds = time.perf_counter() - started


def serve(engine: str) -> None:
    """Run the entry's process, which relays to `engine`."""
    side = callers.EntryFixture(callers.build_document([engine]))
    print(json.dumps({'port': side.address[1]}), flush=True)
    gevent.get_hub().join()


class Comparison:
    """The same load on the engine directly and through the entry."""

    def __init__(
        self, engine: Process, entry: Process, *, tokens: int, stream: bool
    ) -> None:
        self._engine = engine
        self._entry = entry
        self._options = {'tokens': tokens, 'stream': stream}

    def measure(self, count: int, concurrency: int) -> dict[str, typing.Any]:
        """Return the measurements, made after a warm-up run."""
        for port in (self._engine.port, self._entry.port):
            CallSeries(port, **self._options).run_calls(
                concurrency, concurrency
            )
        direct = CallSeries(self._engine.port, **self._options)
        direct.run_calls(count, concurrency)
        before = self._entry.read_processor_microseconds()
        engine_before = self._engine.read_processor_microseconds()
        relayed = CallSeries(self._entry.port, **self._options)
        relayed.run_calls(count, concurrency)
        entry_processor_time = (
            self._entry.read_processor_microseconds() - before
        )
        engine_processor_time = (
            self._engine.read_processor_microseconds() - engine_before
        )
        return {
            'requests': count,
            'concurrency': concurrency,
            'entry_us_per_request': entry_processor_time / count,
            'entry_us_per_token': entry_processor_time
            / count
            / self._options['tokens'],
            'entry_to_engine_processor_time': entry_processor_time
            / engine_processor_time,
            'rate_ratio': direct.seconds / relayed.seconds,
            'rate': count / relayed.seconds,
            'latency_ratio': statistics.median(relayed.latencies)
            / statistics.median(direct.latencies),
            'added_first_byte_us': 1e6
            * (
                statistics.median(relayed.first)
                - statistics.median(direct.first)
            ),
        }


def measure() -> dict[str, typing.Any]:
    """Run all comparisons."""
    figures = {}
    fast_engine = ('standins.engine', '--step-ms', '0.2', '--slots', '64')
    paced_engine = ('standins.engine', '--step-ms', '20', '--slots', '64')
    for name, engine_command, options, load in (
        ('whole, one at a time', fast_engine, (1, False), (1000, 1)),
        ('whole, 16 at once', fast_engine, (1, False), (3000, 16)),
        ('streams of 1 token, 16 at once', fast_engine, (1, True), (3000, 16)),
        (
            'streams of 400 tokens, 32 at once',
            paced_engine,
            (400, True),
            (64, 32),
        ),
        (
            'streams of 400 tokens, flat out',
            fast_engine,
            (400, True),
            (100, 16),
        ),
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
    parser = argparse.ArgumentParser(
        description='Measure the processor time and latency of the relay.'
    )
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
