"""What a soak plays with: routers, their store, servers and the network.

Each is a process of its own. Routers reach each other, the store and the
backend servers through proxies, in which a run injects the network's faults.
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
# Of each service.
_SERVERS = 2
# Seconds from SIGTERM to the end of a server: longer than `DRAIN_SECONDS`, so
# that requests sent after that bound still reach it and are found.
_LEAVE_SECONDS = 2.5
DRAIN_SECONDS = 2.0
# Seconds after which a crashed server is restarted.
_RESTART_DELAY_SECONDS = 0.5
_POLL_SECONDS = 0.02
# Seconds to stop: three times `shutdown.finish_seconds`.
_STOP_SECONDS = 15.0
REVOKE_SECONDS = 2.5
APPLY_SECONDS = 2.0
RETRY_RATIO = 0.2
RETRY_SLACK = 10
RETRY_WINDOW_SECONDS = 10.0
# The key of an account that the operator revokes in the run.
REVOKED_KEY = 'key-c'
# A route that the operator adds in the run.
ADDED = 'added'
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
    """One instance and its addresses."""

    def __init__(self, name, failure_domain, ports):
        self.name = name
        self.failure_domain = failure_domain
        self.callers, self.operators, self.peers, self.readiness = (
            f'{_HOST}:{port}' for port in ports
        )
        self.process = None
        # Counts starts: what one process said binds only that process.
        self.starts = 0

    def start(self):
        self.starts += 1
        self.process.start()

    def has_started(self):
        """Return whether it got as far as to serve, since its last start."""
        return 'event=router_started' in self.process.read_output()


class Server:
    """One backend server, which may come back under its name."""

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.process = None
        self.standin = None
        # Time of the restart after a crash; None: none is due.
        self.restart_at = None


class Deployment:
    """Starts everything, and ends all of it when left."""

    def __init__(self, folder, *, routers, seed):
        self.folder = pathlib.Path(folder)
        self.routers = {}
        self.servers = {}
        self.store = None
        self.network = None
        # Processes that a fault holds at present.
        self.faulty = set()
        # (Name, start, end) of each ended fault that delayed the traffic of a
        # router or server.
        self.impairments = []
        self.findings = []
        # Crashes under each request before the check that follows the faults.
        self.crashes_before = {}
        # When the store had acknowledged the change; None: not yet.
        self.revoked = None
        self.added = None
        self._version = 0
        self._count = routers
        self._seed = seed
        self._ways = None
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        try:
            self.store = self._start('store', 'keyvalue')
            self._configure()
            self._ways = self._start('ways', 'proxy')
            for index in range(_SERVERS):
                for service in ('llm', 'plain'):
                    name = f'{service}-{index + 1}'
                    self.servers[name] = Server(name, service)
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
        """Start a server (again), under the same name."""
        server = self.servers[name]
        server.standin = self._start(
            # Each start's output is kept: it says what ran.
            f'{name}.{self._count_starts(name)}',
            'listed',
            f'--name={name}',
            f'--service={server.service}',
            f'--store={self.store.address}',
            f'--seed={self._seed}',
            f'--leave-seconds={_LEAVE_SECONDS}',
        )
        server.process = server.standin.process
        port = self._ways.order(
            '/standin/listen', name=name, target=server.standin.address
        )['port']
        server.standin.order('/standin/list', address=f'{_HOST}:{port}')

    def restart_crashed_servers(self):
        """Restart crashed servers whose restart delay has passed."""
        now = time.monotonic()
        for name, server in self.servers.items():
            if name in self.faulty or server.process.is_running():
                continue
            if server.restart_at is None:
                server.restart_at = now + _RESTART_DELAY_SECONDS
            if now >= server.restart_at:
                server.restart_at = None
                self.start_server(name)

    def wait_for_servers(self):
        """Restart crashed servers and wait until every server runs."""
        while not all(
            each.process.is_running() for each in self.servers.values()
        ):
            self.restart_crashed_servers()
            time.sleep(_POLL_SECONDS)

    def _count_starts(self, name):
        return len(list(self.folder.glob(f'{name}.*.log')))

    def _start_routers(self):
        reserved = processes.Ports(4 * self._count)
        self._stack.callback(reserved.close)
        for index in range(self._count):
            name = f'router-{index + 1}'
            self.routers[name] = Router(
                name,
                _FAILURE_DOMAINS[index % len(_FAILURE_DOMAINS)],
                reserved.numbers[4 * index : 4 * index + 4],
            )
        peers = {each.name: each.peers for each in self.routers.values()}
        self.network = network.Network(peers, self.folder)
        self._stack.callback(self.network.close)
        self.network.start()
        for router in self.routers.values():
            self._ways.order(
                '/standin/listen',
                name=name_store_way(router.name),
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
        """Write a router's settings, in one step as an editor does."""
        stats = self._ways.read_stats()
        port = stats[name_store_way(router.name)]['port']
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
        draft = path.with_suffix('.new')
        draft.write_text(tomli_w.dumps(values | sections))
        os.replace(draft, path)

    def change(self, *, revoked=False, added=False):
        """Revoke the key or add the route, unless it was done before."""
        if revoked and self.revoked is None:
            self._configure(revoked=True, added=self.added is not None)
            self.revoked = time.monotonic()
        if added and self.added is None:
            self._configure(revoked=self.revoked is not None, added=True)
            self.added = time.monotonic()

    def _configure(self, *, revoked=False, added=False):
        self._version += 1
        values = operated.build_configuration(self._version)
        if added:
            values['routes'].append(
                operated.build_route(ADDED, 'idempotent', 'plain')
            )
        values['tenants'] = [
            {'name': name, 'api_keys': [key], 'priority': 1}
            for name, key in _ACCOUNTS.items()
            if not (revoked and key == REVOKED_KEY)
        ]
        text = json.dumps(values)
        self.store.order('/standin/put', key='op/config', text=text)

    def finish(self, router):
        """Wait for the end of a router that was asked to stop."""
        # Another fault may have frozen it meanwhile.
        router.process.resume()
        try:
            code = router.process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.findings.append(f'{router.name} did not stop when asked to')
            router.process.kill()
            return
        if code == -signal.SIGTERM and not router.has_started():
            # Asked while Python still loaded it: nothing to finish.
            return
        if code not in (0, -signal.SIGKILL):
            self.findings.append(f'{router.name} ended with {code}')

    def set_way(self, name, **faults):
        """Set the faults of the way to the store or to a server."""
        self._ways.order('/standin/faults', listener=name, **faults)

    def heal(self):
        """End every fault of the network."""
        for name in self._ways.read_stats():
            self.set_way(name, heal=True, cut=True)
        self.heal_peers()

    def heal_peers(self):
        """End every fault between routers."""
        self.network.delay(0.0)
        self.network.heal()


def name_store_way(router):
    """Return the name of a router's way to the store."""
    return f'{router}>store'
