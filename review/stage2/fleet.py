"""Router processes, started with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
_SETTINGS = """\
[instance]
name = "{name}"
failure_domain = "{zone}"
region = "region-1"
regions = {{ "{zone}" = "region-1" }}

[addresses]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
peers = "127.0.0.1:{peers}"
operators = "127.0.0.1:{operators}"

[platform]
key_value = "http://{store}"
configuration = "operator"
prefix = "amaranthslip/"
timeout_seconds = 1.0
list_interval_seconds = 1.0

[bounds]
{bounds}

[limits]
memory_megabytes = 300
descriptors = 4100

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
BOUNDS = {
    'fail_closed': True,
    'revoke_milliseconds': 5000,
    'apply_milliseconds': 2000,
    'drain_milliseconds': 2000,
    'relay_milliseconds': 120,
    'share_window_seconds': 4,
    'retry_ratio': 0.2,
    'retry_window_seconds': 10,
    'retry_slack': 52,
}


class CannotRun(Exception):
    """The case could not be run."""


def _find_ports(count):
    """Return free ports, outside the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def _read_command():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return shlex.split(deploy['roles']['router']['run'])


class Router:
    """One router process; its settings are those of the deploy template."""

    def __init__(self, folder, name, zone, store_address, **bounds):
        self.name = name
        self._folder = pathlib.Path(folder)
        ports = _find_ports(4)
        self.callers, self.readiness, self.peers, operators = ports
        self.operators = operators
        lines = [
            f'{key} = {json.dumps(value)}'
            for key, value in (BOUNDS | bounds).items()
        ]
        self._path = self._folder / f'{name}.toml'
        self._path.write_text(
            _SETTINGS.format(
                name=name,
                zone=zone,
                callers=self.callers,
                readiness=self.readiness,
                peers=self.peers,
                operators=operators,
                store=store_address,
                bounds='\n'.join(lines),
            )
        )
        self.process = None

    def start(self):
        """Start the command of the deploy file with these settings."""
        command = _read_command()
        if not (ROOT / 'target' / 'deps' / 'amaranthslip').is_dir():
            raise CannotRun('target/ is not built')
        command[-1] = str(self._path)
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, seconds=20.0):
        """Wait until the readiness address answers 200."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended by itself')
            if await self._is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} did not become ready')

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.readiness
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def read_counter(self, name, label):
        """Return a counter of the metrics that the deploy file names; or 0."""
        for line in (await self._read('/metrics')).splitlines():
            if line.startswith(name) and label in line:
                return float(line.split()[-1])
        return 0.0

    async def read_status(self):
        """Return what the operators' port tells of the process."""
        return json.loads(await self._read('/api/status'))

    async def _read(self, path):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.operators
        )
        try:
            writer.write(
                f'GET {path} HTTP/1.1\r\nHost: operators\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            answer = await asyncio.wait_for(reader.read(), 2.0)
        finally:
            writer.close()
        return answer.partition(b'\r\n\r\n')[2].decode()

    def stop(self):
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
