"""What a request and an event cost one instance, in processor time.

    python -m bench.instance [--instances N] [--json FILE]

Starts instances, a store and backend servers, each as a process of its own,
and sends all requests to one instance over kept connections. Processor time is
what the kernel counted for that process: a busy machine changes it little.
"""

import argparse
import json
import pathlib
import tempfile
import time
import typing

import gevent
from gevent import monkey

from bench import processes
from standins import listed
from tests.soak import deployment as deployment_module
from tests.support import exchanges
from tests.support import operated

# Connections, as many as the servers run requests at once.
_CONNECTIONS = 12
_REQUESTS = 1500
_IDLE_SECONDS = 5.0
_WARM_UP = 100
_PROMPT = {
    'Amaranthslip-Model': 'm',
    'Amaranthslip-Token-Usage': '300,20',
    'Amaranthslip-Prompt-Prefix': 'aa01:200,bb02:100',
}


class Load:
    """Requests of one route to one instance, over kept connections."""

    def __init__(self, address: str, route: str, *, events: int) -> None:
        self._address = operated.split_address(address)
        self._route = route
        self._events = events
        self._prompt = _PROMPT if events else {}
        self._left = 0
        self.served = 0
        self.others = 0

    def drive(self, count: int) -> None:
        """Send requests until so many were answered."""
        self._left = count
        self.served = self.others = 0
        gevent.joinall(
            [gevent.spawn(self._call) for _ in range(_CONNECTIONS)],
            raise_error=True,
        )

    def _call(self) -> None:
        caller = exchanges.Caller(self._address)
        while self._left > 0:
            self._left -= 1
            name = f'{self._route}-{id(caller)}-{self._left}-{time.time_ns()}'
            caller.send(
                operated.write_request(
                    f'/{self._route}/x', name, key='key-a', **self._prompt
                )
            )
            answer = caller.receive('POST')
            if answer.status == 200:
                self.served += 1
            else:
                self.others += 1
            if answer.headers.get('connection', '') == 'close':
                caller.close()
                caller = exchanges.Caller(self._address)
        caller.close()


def read_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
    return int(text.split()[0]) / 1e9


def read_megabytes(pid: int) -> float:
    """Return the most memory that a process has held."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) / 1024
    raise processes.ProcessFailed(f'process {pid} tells no memory')


def measure_load(pid: int, load: Load) -> dict[str, typing.Any]:
    """Return what a request of a load costs a process."""
    load.drive(_WARM_UP)
    before = read_seconds(pid)
    load.drive(_REQUESTS)
    used = read_seconds(pid) - before
    return {
        'served': load.served,
        'others': load.others,
        'us_per_request': 1e6 * used / _REQUESTS,
    }


def measure(instances: int, folder: str) -> dict[str, typing.Any]:
    """Return the figures of one instance among some."""
    figures = {'instances': instances}
    with deployment_module.Deployment(
        folder, routers=instances, seed=1
    ) as deployment:
        router = deployment.routers['router-1']
        while not all(r.has_started() for r in deployment.routers.values()):
            gevent.sleep(0.1)
        pid = router.process.pid
        figures['start_seconds'] = read_seconds(pid)
        gevent.sleep(_IDLE_SECONDS)
        before = read_seconds(pid)
        gevent.sleep(_IDLE_SECONDS)
        used = read_seconds(pid) - before
        figures['idle_us_per_second'] = 1e6 * used / _IDLE_SECONDS
        for route, events in (('read', 0), ('chat', listed.EVENTS)):
            load = Load(router.callers, route, events=events)
            figures[route] = measure_load(pid, load)
        figures['peak_megabytes'] = read_megabytes(pid)
    return figures


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--instances', type=int, default=2)
    parser.add_argument('--json', type=pathlib.Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        figures = measure(options.instances, folder)
    print(json.dumps(figures, indent=1))
    if options.json:
        options.json.write_text(json.dumps(figures, indent=1))


if __name__ == '__main__':
    monkey.patch_all()
    main()
