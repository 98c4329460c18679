"""The processes of a soak: routers, store, backend servers and proxies.

Routers reach each other, the store and the backend servers through proxies
that simulate network faults.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import time

import tomli_w

from bench import control
from bench import network
from bench import processes
from tests.support import operated

_HOST = '127.0.0.1'
_FAILURE_DOMAINS = ('a', 'b')
# Backend servers by service; the engines run at two software versions, which
# they don't check when a stream goes on.
_SERVERS_BY_SERVICE = {'llm': 4, 'plain': 2}
_SOFTWARE_VERSIONS = ('v1', 'v2')
# Time from SIGTERM until a server stops. Exceeds `DRAIN_SECONDS`, so that
# requests that routers wrongly send after that bound still reach the server
# and are detected.
_LEAVE_SECONDS = 2.5
DRAIN_SECONDS = 2.0
# Delay before a crashed server is restarted.
_RESTART_DELAY_SECONDS = 0.5
_POLL_SECONDS = 0.02
# Time limit for the stop of a router: three times `shutdown.finish_seconds`.
_STOP_TIMEOUT_SECONDS = 15.0
REVOKE_SECONDS = 2.5
APPLY_SECONDS = 2.0
RETRY_RATIO = 0.2
RETRY_SLACK = 10
RETRY_WINDOW_SECONDS = 10.0
# Key of the account that the operator revokes during the run.
REVOKED_KEY = 'key-c'
# Route that the operator adds during the run.
ADDED_ROUTE = 'added'
_ACCOUNTS = operated.KEYS | {'account-c': REVOKED_KEY}
_SETTINGS = {
    'bounds': {
        'fail_closed': True,
        'revoke_milliseconds': REVOKE_SECONDS * 1000,
        'apply_milliseconds': APPLY_SECONDS * 1000,
        'drain_milliseconds': DRAIN_SECONDS * 1000,
        'retry_ratio': RETRY_RATIO,
        'retry_slack': RETRY_SLACK,
        'retry_window_seconds': RETRY_WINDOW_SECONDS,
    },
    'backends': {'connect_seconds': 0.5, 'lost_seconds': 1.5},
    'members': {
        'probe_seconds': 0.5,
        'probe_timeout_seconds': 0.3,
        'suspect_seconds': 1.0,
    },
    'links': {'dial_seconds': 0.5, 'lost_seconds': 2.0},
    'shutdown': {'notice_seconds': 0.5, 'finish_seconds': 5.0},
}


class Router:
    """A router process and its addresses."""

    def __init__(self, name, failure_domain, ports):
        self.name = name
        self.failure_domain = failure_domain
        self.callers, self.operators, self.peers, self.readiness = (
            f'{_HOST}:{port}' for port in ports
        )
        self.process = None
        # Identifies the process of the router: guarantees that depend on the
        # state of a process are checked for each start separately.
        self.start_count = 0

    def start(self):
        self.start_count += 1
        self.process.start()

    def has_started(self):
        """Return whether `router_started` was logged since the last start."""
        return 'event=router_started' in self.process.read_output()


class Server:
    """A backend server, which may be restarted under the same name."""

    def __init__(self, name, service, software_version):
        self.name = name
        self.service = service
        self.software_version = software_version
        self.process = None
        self.standin = None
        # Time of the restart after a crash; None if no restart is due.
        self.restart_at = None


class Deployment:
    """Context manager that starts and stops all processes of a soak."""

    def __init__(self, folder, *, routers, seed):
        self.folder = pathlib.Path(folder)
        self.routers = {}
        self.servers = {}
        self.store = None
        self.network = None
        # Names of the processes that have an active fault.
        self.faulted = set()
        # (Name, start, end) of each ended fault that delayed the traffic of a
        # router or backend server.
        self.impairments = []
        self.violations = []
        # Server crashes caused by each crashing request, by request body,
        # before these requests are sent again after the faults.
        self.crashes_before = {}
        # The same for requests with a part that crashes servers.
        self.deadly_runs_before = 0
        # Times at which the store had acknowledged the configuration change;
        # None until then.
        self.revoked_at = None
        self.added_at = None
        self._version = 0
        self._router_count = routers
        self._seed = seed
        self._proxy = None
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        try:
            self.store = self._start('store', 'keyvalue')
            self._write_configuration()
            self._proxy = self._start('network-proxy', 'proxy')
            for service, count in _SERVERS_BY_SERVICE.items():
                for index in range(count):
                    name = f'{service}-{index + 1}'
                    self.servers[name] = Server(
                        name,
                        service,
                        _SOFTWARE_VERSIONS[index % len(_SOFTWARE_VERSIONS)],
                    )
                    self.start_server(name)
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

    def start_server(self, name):
        """Start or restart a server under its name."""
        server = self.servers[name]
        server.standin = self._start(
            # Each start has its own log file: the check reads from it which
            # requests were executed.
            f'{name}.{self._count_server_starts(name)}',
            'listed',
            f'--name={name}',
            f'--service={server.service}',
            f'--software-version={server.software_version}',
            f'--store={self.store.address}',
            f'--seed={self._seed}',
            f'--leave-seconds={_LEAVE_SECONDS}',
        )
        server.process = server.standin.process
        port = self._proxy.order(
            '/standin/listen', name=name, target=server.standin.address
        )['port']
        server.standin.order('/standin/list', address=f'{_HOST}:{port}')

    def restart_crashed_servers(self):
        """Restart crashed servers whose restart delay has passed."""
        now = time.monotonic()
        for name, server in self.servers.items():
            if name in self.faulted or server.process.is_running():
                continue
            if server.restart_at is None:
                server.restart_at = now + _RESTART_DELAY_SECONDS
            if now >= server.restart_at:
                server.restart_at = None
                self.start_server(name)

    def wait_for_servers(self):
        """Restart crashed servers and wait until every server is running."""
        while not all(
            each.process.is_running() for each in self.servers.values()
        ):
            self.restart_crashed_servers()
            time.sleep(_POLL_SECONDS)

    def _count_server_starts(self, name):
        return len(list(self.folder.glob(f'{name}.*.log')))

    def _start_routers(self):
        reserved_ports = processes.Ports(4 * self._router_count)
        self._stack.callback(reserved_ports.close)
        for index in range(self._router_count):
            name = f'router-{index + 1}'
            self.routers[name] = Router(
                name,
                _FAILURE_DOMAINS[index % len(_FAILURE_DOMAINS)],
                reserved_ports.numbers[4 * index : 4 * index + 4],
            )
        peers = {each.name: each.peers for each in self.routers.values()}
        self.network = network.Network(peers, self.folder)
        self._stack.callback(self.network.close)
        self.network.start()
        for router in self.routers.values():
            self._proxy.order(
                '/standin/listen',
                name=name_store_listener(router.name),
                target=self.store.address,
            )
            self.write_settings(router)
            path = self.folder / f'{router.name}.toml'
            command = processes.build_python_command(
                'amaranthslip', 'router', str(path)
            )
            router.process = processes.Process(
                router.name, command, self.folder
            )
            self._stack.callback(router.process.close)
            router.start()

    def write_settings(self, router, **sections):
        """Replace a router's settings file atomically, as editors do."""
        stats = self._proxy.read_stats()
        port = stats[name_store_listener(router.name)]['port']
        values = _SETTINGS | {
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
                'key_value': f'http://{_HOST}:{port}',
                'configuration': 'operator',
                'prefix': 'amaranthslip/',
                'timeout_seconds': 0.5,
                'list_interval_seconds': 1.0,
            },
            'links': _SETTINGS['links']
            | {'via': self.network.list_ways(router.name)},
        }
        path = self.folder / f'{router.name}.toml'
        new_path = path.with_suffix('.new')
        new_path.write_text(tomli_w.dumps(values | sections))
        os.replace(new_path, path)

    def change_configuration(self, *, revoked=False, added=False):
        """Revoke the key or add the route, unless already done."""
        if revoked and self.revoked_at is None:
            self._write_configuration(
                revoked=True, added=self.added_at is not None
            )
            self.revoked_at = time.monotonic()
        if added and self.added_at is None:
            self._write_configuration(
                revoked=self.revoked_at is not None, added=True
            )
            self.added_at = time.monotonic()

    def _write_configuration(self, *, revoked=False, added=False):
        self._version += 1
        values = operated.build_configuration(self._version)
        if added:
            values['routes'].append(
                operated.build_route(ADDED_ROUTE, 'idempotent', 'plain')
            )
        values['tenants'] = [
            {'name': name, 'api_keys': [key], 'priority': 1}
            for name, key in _ACCOUNTS.items()
            if not (revoked and key == REVOKED_KEY)
        ]
        self._configuration = json.dumps(values)
        self.write_configuration_again()

    def write_configuration_again(self):
        """Write the latest version, which the restored store may lack."""
        self.store.order(
            '/standin/put', key='op/config', text=self._configuration
        )

    def wait_for_stop(self, router):
        """Wait until a router that received SIGTERM has exited."""
        # Another fault may have paused the process meanwhile.
        router.process.resume()
        try:
            code = router.process.wait(_STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.violations.append(f'{router.name} did not exit after SIGTERM')
            router.process.kill()
            return
        if code == -signal.SIGTERM and not router.has_started():
            # SIGTERM arrived before the program had installed its handler:
            # there were no requests to finish.
            return
        if code not in (0, -signal.SIGKILL):
            self.violations.append(f'{router.name} exited with code {code}')

    def set_proxy_faults(self, name, **faults):
        """Set the faults of a proxy listener to the store or to a server."""
        self._proxy.order('/standin/faults', listener=name, **faults)

    def clear_network_faults(self):
        """Clear every network fault and reset the proxied connections."""
        for name in self._proxy.read_stats():
            self.set_proxy_faults(name, heal=True, cut=True)
        self.clear_peer_faults()

    def clear_peer_faults(self):
        """Clear every network fault between routers."""
        self.network.delay(0.0)
        self.network.heal()


def name_store_listener(router):
    """Return the name of a router's proxy listener to the store."""
    return f'{router}>store'
