"""Measure the processor time that one instance uses for each request.

    python -m bench.instance [--instances N] [--json FILE]

Starts instances, a store and backend servers, each as a separate process, and
sends all requests to one instance over persistent connections: requests with
a plain response and requests with a stream of events. Processor time is what
the kernel counted for that process, so other load on the machine has little
effect on it.
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

# Number of connections; the backend servers run as many requests at once.
_CONNECTIONS = 12
_REQUESTS = 1500
_IDLE_SECONDS = 5.0
_WARM_UP_REQUESTS = 100
_PROMPT_HEADERS = {
    'Amaranthslip-Model': 'm',
    'Amaranthslip-Token-Usage': '300,20',
    'Amaranthslip-Prompt-Prefix': 'aa01:200,bb02:100',
}


class Load:
    """Sends requests of one route to one instance.

    Uses persistent connections.

    Parameters
    ----------
    address : str
        The instance's address for callers.
    route : str
        First segment of the request path.
    events : int
        Number of events in a response; 0 for a plain response. With events,
        the requests carry the headers of a prompt.
    """

    def __init__(self, address: str, route: str, *, events: int) -> None:
        self._address = operated.split_address(address)
        self._route = route
        self._events = events
        self._prompt = _PROMPT_HEADERS if events else {}
        self._unsent = 0
        self.served = 0
        self.other_responses = 0

    def send_requests(self, count: int) -> None:
        """Send `count` requests and wait for their responses."""
        self._unsent = count
        self.served = self.other_responses = 0
        gevent.joinall(
            [gevent.spawn(self._run_connection) for _ in range(_CONNECTIONS)],
            raise_error=True,
        )

    def _run_connection(self) -> None:
        caller = exchanges.Caller(self._address)
        while self._unsent > 0:
            self._unsent -= 1
            name = (
                f'{self._route}-{id(caller)}-{self._unsent}-{time.time_ns()}'
            )
            caller.send(
                operated.write_request(
                    f'/{self._route}/x', name, key='key-a', **self._prompt
                )
            )
            answer = caller.receive('POST')
            if answer.status == 200:
                self.served += 1
            else:
                self.other_responses += 1
            if answer.headers.get('connection', '') == 'close':
                caller.close()
                caller = exchanges.Caller(self._address)
        caller.close()


def read_processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
    return int(text.split()[0]) / 1e9


def read_peak_megabytes(pid: int) -> float:
    """Return the peak resident memory of a process, in megabytes.

    Raises
    ------
    processes.ProcessFailed
        The kernel does not report it, as after the process has ended.
    """
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) / 1024
    raise processes.ProcessFailed(
        f'the status of process {pid} has no peak memory (VmHWM)'
    )


def measure_load(pid: int, load: Load) -> dict[str, typing.Any]:
    """Return the processor time that a process uses for each request.

    A number of requests are sent before the measurement to warm up.
    """
    load.send_requests(_WARM_UP_REQUESTS)
    before = read_processor_seconds(pid)
    load.send_requests(_REQUESTS)
    processor_seconds = read_processor_seconds(pid) - before
    return {
        'served': load.served,
        'others': load.other_responses,
        'us_per_request': 1e6 * processor_seconds / _REQUESTS,
    }


def measure_instance(instances: int, folder: str) -> dict[str, typing.Any]:
    """Return the measurements of one instance of a deployment.

    Parameters
    ----------
    instances : int
        Number of instances in the deployment.
    folder : str
        For the files of the deployment.
    """
    figures = {'instances': instances}
    with deployment_module.Deployment(
        folder, routers=instances, seed=1
    ) as deployment:
        router = deployment.routers['router-1']
        while not all(r.has_started() for r in deployment.routers.values()):
            gevent.sleep(0.1)
        pid = router.process.pid
        figures['start_seconds'] = read_processor_seconds(pid)
        gevent.sleep(_IDLE_SECONDS)
        before = read_processor_seconds(pid)
        gevent.sleep(_IDLE_SECONDS)
        processor_seconds = read_processor_seconds(pid) - before
        figures['idle_us_per_second'] = 1e6 * processor_seconds / _IDLE_SECONDS
        for route, events in (('read', 0), ('chat', listed.EVENTS)):
            load = Load(router.callers, route, events=events)
            figures[route] = measure_load(pid, load)
        figures['peak_megabytes'] = read_peak_megabytes(pid)
    return figures


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--instances', type=int, default=2)
    parser.add_argument('--json', type=pathlib.Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        figures = measure_instance(options.instances, folder)
    print(json.dumps(figures, indent=1))
    if options.json:
        options.json.write_text(json.dumps(figures, indent=1))


if __name__ == '__main__':
    monkey.patch_all()
    main()
