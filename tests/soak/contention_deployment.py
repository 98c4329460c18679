"""The processes of a contention soak: routers, store and contended engines.

Nothing stands between them: proxies would be the bottleneck of the load.
"""

import contextlib
import json
import pathlib

import tomli_w

from bench import control
from bench import processes
from tests.soak import deployment as deployment_module
from tests.support import operated

_HOST = '127.0.0.1'
_FAILURE_DOMAIN = 'a'
SERVICE = 'llm'
ROUTE = 'chat'
# Seconds to the first event within which a request is answered in time, and
# the longest that the route lets it wait.
OBJECTIVE_SECONDS = 0.6
TIMEOUT_SECONDS = 4.0
_CACHE_TOKENS = 100000
_SLOTS = 24
# Ratio of the rate that the operator configures to the engines' rate of
# reading, which generating events takes no part of.
_CONFIGURED_RATE_FACTOR = 1.5


class ContendedServer:
    """An engine process; each start has a new name, as a new incarnation."""

    def __init__(self, number):
        self.number = number
        self.start_count = 0
        self.standin = None

    @property
    def name(self):
        return f'engine-{self.number}.{self.start_count}'


class ContendedDeployment:
    """Context manager that starts and stops all processes.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    routers, engines : int
        Numbers of processes.
    rate : float
        Prompt tokens that an engine reads per second.
    accounts : sequence of str
        Names of the client accounts.
    """

    def __init__(self, folder, *, routers, engines, rate, accounts):
        self.folder = pathlib.Path(folder)
        self.routers = {}
        self.servers = [ContendedServer(number) for number in range(engines)]
        self._rate = rate
        self._accounts = accounts
        self._router_count = routers
        self._stack = contextlib.ExitStack()
        self.store = None

    def __enter__(self):
        try:
            self.store = self._start('store', 'keyvalue')
            text = json.dumps(self._build_configuration())
            self.store.order('/standin/put', key='op/config', text=text)
            for server in self.servers:
                self.start_server(server)
            self._start_routers()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception):
        self._stack.close()

    def _start(self, name, module, *arguments):
        return control.start_standin(
            self._stack, self.folder, name, module, *arguments
        )

    def start_server(self, server):
        """Start an engine, or start it again after its process was killed."""
        server.start_count += 1
        server.standin = self._start(
            server.name,
            'contended',
            f'--name={server.name}',
            f'--service={SERVICE}',
            f'--store={self.store.address}',
            f'--rate={self._rate}',
            f'--slots={_SLOTS}',
            f'--cache-tokens={_CACHE_TOKENS}',
        )
        server.standin.order('/standin/list', address=server.standin.address)

    def _start_routers(self):
        ports = processes.Ports(4 * self._router_count)
        self._stack.callback(ports.close)
        for index in range(self._router_count):
            name = f'router-{index + 1}'
            numbers = ports.numbers[4 * index : 4 * index + 4]
            router = deployment_module.Router(name, _FAILURE_DOMAIN, numbers)
            self.routers[name] = router
            path = self.folder / f'{name}.toml'
            path.write_text(tomli_w.dumps(self._build_settings(router)))
            command = processes.build_python_command(
                'amaranthslip', 'router', str(path)
            )
            router.process = processes.Process(name, command, self.folder)
            self._stack.callback(router.process.close)
            router.start()
        for router in self.routers.values():
            router.process.wait_for_listener(router.callers)

    def _build_settings(self, router):
        return {
            'instance': {
                'name': router.name,
                'failure_domain': router.failure_domain,
                'region': 'region-1',
            },
            'addresses': {
                'callers': router.callers,
                'operators': router.operators,
                'peers': router.peers,
                'readiness': router.readiness,
            },
            'platform': {
                'key_value': f'http://{self.store.address}',
                'configuration': 'operator',
                'prefix': 'amaranthslip/',
                'timeout_seconds': 0.5,
                'list_interval_seconds': 1.0,
            },
            'members': {
                'probe_seconds': 0.5,
                'probe_timeout_seconds': 0.3,
                'suspect_seconds': 1.0,
            },
            'links': {'dial_seconds': 0.5, 'lost_seconds': 2.0},
            'shutdown': {'notice_seconds': 0.1, 'finish_seconds': 2.0},
        }

    def _build_configuration(self):
        values = operated.build_configuration(1)
        route = operated.build_route(ROUTE, 'streaming', SERVICE)
        route['resumable'] = True
        route['target_latency_ms'] = int(1000 * OBJECTIVE_SECONDS)
        route['timeout_ms'] = int(1000 * TIMEOUT_SECONDS)
        values['routes'] = [route]
        engine = {
            'slots': _SLOTS,
            'kv_capacity': _CACHE_TOKENS,
            'models': [{'name': 'm'}],
        }
        values['services'] = [
            {'name': SERVICE, 'health_path': '/health', 'engine': engine}
        ]
        rate = _CONFIGURED_RATE_FACTOR * self._rate * len(self.servers)
        values['limits']['tokens_per_s'] = int(rate)
        values['tenants'] = [
            {'name': name, 'api_keys': [f'key-{name}'], 'priority': 1}
            for name in self._accounts
        ]
        return values
