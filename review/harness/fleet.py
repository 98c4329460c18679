"""Starts the platform's store and routers as processes on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import tomllib
import typing

from review.harness import http

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
KEYS = {'account-a': 'key-a', 'account-b': 'key-b'}
_START_SECONDS = 30.0
_STOP_SECONDS = 10.0
_POLL_SECONDS = 0.05
# The bounds of the deployment `lmgs-hub`.
BOUNDS = {
    'fail_closed': 'true',
    'revoke_milliseconds': '5000',
    'apply_milliseconds': '2000',
    'drain_milliseconds': '2000',
    'relay_milliseconds': '120',
    'share_window_seconds': '4',
    'retry_ratio': '0.2',
    'retry_window_seconds': '10',
    'retry_slack': '56',
}


def build_environment() -> dict[str, str]:
    """Return the environment of a process of the project."""
    paths = (REPOSITORY / 'target' / 'deps', REPOSITORY)
    return os.environ | {
        'PYTHONPATH': os.pathsep.join(map(str, paths)),
        'PYTHONDONTWRITEBYTECODE': '1',
    }


def reserve_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_server(('127.0.0.1', 0)))
            for _ in range(count)
        ]
        return [each.getsockname()[1] for each in socks]


class Process:
    """A child process, whose output goes to a file.

    Parameters
    ----------
    command : sequence of str
        The program and its arguments.
    output : Path
        The file.
    """

    def __init__(
        self, command: typing.Sequence[str], output: pathlib.Path
    ) -> None:
        self._command = list(command)
        self.output = output
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.output.open('ab') as output:
            self._child = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env=build_environment(),
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        self._child.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Return the exit code; None if the process still runs."""
        try:
            return self._child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def read_memory(self) -> float:
        """Return the anonymous memory in megabytes; 0 if it has ended."""
        try:
            lines = pathlib.Path(f'/proc/{self._child.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in lines.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def close(self) -> None:
        """End the process."""
        if self._child is None or self._child.poll() is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._child.wait(_STOP_SECONDS)


class Store(Process):
    """The project's stand-in for the platform's store."""

    def __init__(self, folder: pathlib.Path) -> None:
        command = ('python3', '-m', 'standins.keyvalue', '--port', '0')
        super().__init__(command, folder / 'store.log')
        self.address = ''

    def start(self) -> None:
        """Start the store and wait for its port."""
        super().start()
        deadline = time.monotonic() + _START_SECONDS
        while time.monotonic() < deadline:
            for line in self.output.read_text().splitlines():
                if line.startswith('{"port"'):
                    self.address = f'127.0.0.1:{json.loads(line)["port"]}'
                    return
            time.sleep(_POLL_SECONDS)
        raise TimeoutError('the store did not start')

    def put(self, key: str, values: typing.Any) -> None:
        """Write a key as the operator does; returns at the acknowledgement."""
        body = json.dumps({'key': key, 'text': json.dumps(values)}).encode()
        answer = http.call(self.address, 'POST', '/standin/put', body)
        if answer is None or answer.status != 200:
            raise OSError(f'the store refused {key}')


class Router(Process):
    """One instance, started with the command of the deploy file.

    Parameters
    ----------
    name : str
        Name of the instance.
    folder : Path
        Folder of its settings and its output.
    store : str
        Address of the store.
    memory_megabytes : int
        What the platform allows it, as `limits.memory_mb` of its settings.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        *,
        memory_megabytes: int = 300,
    ) -> None:
        ports = reserve_ports(4)
        self.name = name
        self.callers, self.peers, self.operators, self.readiness = (
            f'127.0.0.1:{port}' for port in ports
        )
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(self._render(store, memory_megabytes))
        super().__init__(self._read_command(), folder / f'{name}.log')

    def _read_command(self) -> list[str]:
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy' / 'system.toml').read_text()
        )
        command = deploy['roles']['router']['run'].split()
        return [*command[:-1], str(self._settings)]

    def _render(self, store: str, memory_megabytes: int) -> str:
        # As `deploy/router.toml`, with loopback addresses.
        bounds = '\n'.join(f'{key} = {text}' for key, text in BOUNDS.items())
        return f"""
[instance]
name = "{self.name}"
failure_domain = "hn-a"
region = "vn-north"
[addresses]
callers = "{self.callers}"
readiness = "{self.readiness}"
peers = "{self.peers}"
operators = "{self.operators}"
[platform]
key_value = "http://{store}"
configuration = "operator"
prefix = "amaranthslip/"
timeout_seconds = 1.0
list_interval_seconds = 1.0
[bounds]
{bounds}
[limits]
memory_megabytes = {memory_megabytes}
[backends]
connect_seconds = 0.5
lost_seconds = 1.5
idle_seconds = 60.0
[members]
probe_seconds = 1.0
probe_timeout_seconds = 0.3
suspect_seconds = 2.0
[links]
dial_seconds = 1.0
lost_seconds = 2.0
[shutdown]
notice_seconds = 2.8
finish_seconds = 7.4
"""

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            answer = http.call(self.readiness, 'GET', '/-/readiness')
        except OSError:
            return False
        return answer is not None and answer.status == 200

    def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        deadline = time.monotonic() + _START_SECONDS
        while time.monotonic() < deadline:
            if self.is_ready():
                return
            time.sleep(_POLL_SECONDS)
        raise TimeoutError(f'{self.name} did not become ready')


def build_route(
    name: str, kind: str, service: str, **values: typing.Any
) -> dict[str, typing.Any]:
    """Return a route in the format of the operator's configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 2500,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
    } | values


def build_configuration(
    version: int,
    routes: typing.Sequence[dict[str, typing.Any]],
    services: typing.Sequence[str],
    *,
    memory_tokens: int = 0,
) -> dict[str, typing.Any]:
    """Return a configuration as the operator writes it.

    Parameters
    ----------
    memory_tokens : int
        `kv_capacity` of the engines; 0 for plain services.
    """
    engine = {'kv_capacity': memory_tokens, 'models': [{'name': 'm'}]}
    more = {'engine': engine} if memory_tokens else {}
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {'name': name, 'health_path': '/health', 'max_connections': 110}
            | more
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            'tokens_per_s': 140000,
        },
        'tenants': [
            {'name': name, 'api_keys': [key], 'priority': 1}
            for name, key in KEYS.items()
        ],
    }


def build_headers(
    attempt: str, *, key: str = 'key-a', **more: str
) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'Host': HOST,
        'Authorization': f'Bearer {key}',
        'Amaranthslip-Attempt-Id': attempt,
        'Amaranthslip-Deadline-Ms': '2500',
    } | {name.replace('_', '-'): value for name, value in more.items()}
