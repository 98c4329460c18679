"""Runs a router as a process, and measures what it holds for its callers."""

import contextlib
import json
import pathlib
import socket as socket_
import sys
import tempfile

import gevent
import tomli_w

from bench import processes
from tests.support import exchanges
from tests.support import operated

_HOST = '127.0.0.1'
_SAMPLE_SECONDS = 0.02
_START_SECONDS = 30
# Tries of an ordinary caller, which waits between them as it is told.
_MAX_TRIES = 10
_MAX_WAIT_SECONDS = 1.0
# Longer than a slow sender takes; callers say how long they wait.
_ROUTE_MILLISECONDS = 30000
# State of a listening socket in /proc/net/tcp, whose queue counts connections.
_LISTENING = '0A'


def reserve_ports(count):
    """Return ports of the loopback address that are free now."""
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket_.create_server((_HOST, 0)))
            for _ in range(count)
        ]
        return [each.getsockname()[1] for each in socks]


class LimitedInstance:
    """A router process with a store process and servers of two services.

    Parameters
    ----------
    limits : dict
        The section `limits` of the settings.
    caller_limits : dict
        `limits` of the operator's configuration.
    beside : LimitedInstance or None
        Another instance, whose store and servers this one uses.

    Attributes
    ----------
    plain : Backend
        A server of the plain service.
    most_unread, most_descriptors : int
        The most bytes that the kernel held for the port of callers, and the
        most descriptors that were open, at any sample.
    """

    def __init__(self, *, limits, caller_limits, beside=None):
        self._exits = contextlib.ExitStack()
        folder = self._exits.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        self._limits = limits
        self._caller_limits = caller_limits
        self._beside = beside
        if beside is None:
            self._name = 'router-1'
            self.plain = operated.Backend('plain-1', service='plain', slots=64)
            self._exits.callback(self.plain.close)
        else:
            self._name = 'router-2'
            self.plain = beside.plain
        self.ports = dict(
            zip(
                ('callers', 'operators', 'peers', 'readiness'),
                reserve_ports(4),
                strict=True,
            )
        )
        self.most_unread = self.most_descriptors = 0

    def start(self):
        """Start the store and the router; return once it is ready."""
        if self._beside is None:
            self._start_store()
        else:
            self._store = self._beside._store
        settings = self._folder / 'router.toml'
        settings.write_text(tomli_w.dumps(self._build_settings()))
        self._router = self._start(
            'router', 'amaranthslip', 'router', str(settings)
        )
        exchanges.wait_until(self.is_ready, _START_SECONDS)
        sampler = gevent.spawn(self._sample)
        self._exits.callback(sampler.kill)

    def _start_store(self):
        store = self._start('store', 'standins.keyvalue', '--port', '0')
        self._store = (_HOST, store.wait_for_port())
        configuration = operated.build_configuration()
        configuration['limits'] |= self._caller_limits
        for route in configuration['routes']:
            route['timeout_ms'] = _ROUTE_MILLISECONDS
        self._put('op/config', configuration)
        self._put('servers/plain-1', self.plain.build_entry())

    def _start(self, name, module, *arguments):
        process = processes.Process(
            name, [sys.executable, '-m', module, *arguments], self._folder
        )
        process.start()
        self._exits.callback(process.kill)
        return process

    def _put(self, key, values):
        operated.ask_json(
            self._store,
            '/standin/put',
            {'key': key, 'text': json.dumps(values)},
        )

    def _build_settings(self):
        return {
            'instance': {
                'name': self._name,
                'failure_domain': 'a',
                'region': 'r',
            },
            'addresses': {
                name: f'{_HOST}:{port}' for name, port in self.ports.items()
            },
            'platform': {
                'key_value': f'http://{_HOST}:{self._store[1]}',
                'configuration': 'operator',
                'poll_seconds': 0.2,
            },
            # What is refused must not depend on the machine's speed.
            'limits': {'behind_seconds': 3600.0} | self._limits,
        }

    def get_address(self, port='callers'):
        """Return the address of one of the router's ports."""
        return (_HOST, self.ports[port])

    def is_ready(self):
        """Return whether the readiness check succeeds."""
        try:
            with contextlib.closing(
                exchanges.Caller(self.get_address('readiness'))
            ) as caller:
                caller.send(b'GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                return caller.receive().status == 200
        except OSError:
            return False

    def is_running(self):
        """Return whether the router's process has not ended."""
        return self._router.is_running()

    def read_output(self):
        """Return the last lines that the router wrote."""
        return self._router.read_output()[-2000:]

    def ask(self, attempt, **options):
        """Return the answer to an ordinary caller, which retries as told."""
        answer = None
        for number in range(_MAX_TRIES):
            answer = self._try(f'{attempt}-{number}', options)
            if answer is not None and answer.status not in (0, 429, 503):
                break
            wait = float(answer.headers.get('retry-after', 0)) if answer else 0
            gevent.sleep(min(wait, _MAX_WAIT_SECONDS))
        return answer

    def _try(self, attempt, options):
        try:
            with contextlib.closing(
                exchanges.Caller(self.get_address())
            ) as caller:
                caller.send(
                    operated.write_request('/read/x', attempt, **options)
                )
                return caller.receive()
        except OSError:
            return None

    def read_peak(self):
        """Return the most memory in bytes, with unread bytes of callers."""
        status = pathlib.Path(f'/proc/{self._router.pid}/status').read_text()
        (peak,) = (
            int(line.split()[1]) * 1024
            for line in status.splitlines()
            if line.startswith('VmHWM:')
        )
        return peak + self.most_unread

    def _sample(self):
        descriptors = pathlib.Path(f'/proc/{self._router.pid}/fd')
        while self.is_running():
            unread = _count_unread(self.ports['callers'])
            self.most_unread = max(self.most_unread, unread)
            with contextlib.suppress(OSError):
                self.most_descriptors = max(
                    self.most_descriptors, len(list(descriptors.iterdir()))
                )
            gevent.sleep(_SAMPLE_SECONDS)

    def close(self):
        """End the processes."""
        self._exits.close()


def _count_unread(port):
    """Return the received bytes that the kernel holds for a port."""
    address = f'0100007F:{port:04X}'
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == address and fields[3] != _LISTENING:
            total += int(fields[4].partition(':')[2], 16)
    return total
