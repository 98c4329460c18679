"""A complete deployment on loopback, run as real processes.

    with fleet.Fleet(deployment, folder) as running:
        running.kill('router-1')

An exit stack ends every process by its process id. The output of each process
goes to a file in the folder.
"""

import contextlib
import http.client
import json
import pathlib
import time
import typing

import tomli_w

from bench import control
from bench import deployments
from bench import network
from bench import processes

_HOST = '127.0.0.1'
_START_ATTEMPTS = 3
_READY_TIMEOUT_SECONDS = 60.0
_POLL_SECONDS = 0.05


class Router:
    """One router: its failure domain, three addresses and process.

    The addresses are those for callers, operators and peers.
    """

    __slots__ = (
        'name',
        'failure_domain',
        'callers',
        'operators',
        'peers',
        'process',
    )

    def __init__(
        self, name: str, failure_domain: str, ports: typing.Sequence[int]
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.callers, self.operators, self.peers = (
            f'{_HOST}:{port}' for port in ports
        )
        self.process: processes.Process | None = None


class Fleet:
    """The stand-ins and routers of one deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment to start. Its document is not changed.
    folder : pathlib.Path
        For settings, the document and output files; created if missing.
    policy : str
        The setting `dispatch.policy` of every router.
    settings : dict
        Settings that override the defaults, by section.
    through_proxy : bool
        Whether the routers connect to each other through a proxy that adds
        the deployment's delay and can drop or cut their connections.
    step_seconds, tokens_per_step : float, int
        Each engine generates `tokens_per_step` tokens for each stream every
        `step_seconds` seconds.
    stale_list : bool
        Whether the platform's store lists an instance that has ended.
    """

    __slots__ = (
        'deployment',
        'folder',
        'routers',
        'backends',
        'network',
        'key_value',
        'step_seconds',
        'tokens_per_step',
        '_policy',
        '_settings',
        '_through_proxy',
        '_stale_list',
        '_stack',
    )

    def __init__(
        self,
        deployment: deployments.Deployment,
        folder: pathlib.Path,
        *,
        policy: str = 'fleet',
        settings: dict[str, dict[str, typing.Any]] | None = None,
        through_proxy: bool = False,
        step_seconds: float = deployments.STEP_SECONDS,
        tokens_per_step: int = deployments.TOKENS_PER_STEP,
        stale_list: bool = False,
    ) -> None:
        self.deployment = deployment.copy()
        self.folder = folder
        self.routers: dict[str, Router] = {}
        self.backends: dict[str, control.StandIn] = {}
        self.network: network.Network | None = None
        self.key_value: control.StandIn | None = None
        self.step_seconds = step_seconds
        self.tokens_per_step = tokens_per_step
        self._policy = policy
        self._settings = settings or {}
        self._through_proxy = through_proxy
        self._stale_list = stale_list
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'Fleet':
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            self._start_platform()
            self._start_backends()
            self._start_routers()
            self.submit(base=0)
            self.wait_until_ready()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    # -- starting ---------------------------------------------------------

    def _start_platform(self) -> None:
        self.key_value = self._start_standin('keyvalue', 'keyvalue')

    def _start_standin(
        self, name: str, module: str, *arguments: str
    ) -> control.StandIn:
        return control.start_standin(
            self._stack, self.folder, name, module, *arguments
        )

    def _start_backends(self) -> None:
        plain = self.deployment.list_services('plain')
        for values in self.deployment.document['backend_servers']:
            name, slots = values['name'], str(values.get('slots', 16))
            if values['service'] in plain:
                work = str(deployments.PLAIN_WORK_SECONDS * 1000)
                self.backends[name] = self._start_standin(
                    name, 'plain', '--slots', slots, '--work-ms', work
                )
            else:
                self.backends[name] = self._start_engine(name, slots)
        for values in self.deployment.document['backend_servers']:
            values['address'] = self.backends[values['name']].address

    def _start_engine(self, name: str, slots: str) -> control.StandIn:
        return self._start_standin(
            name,
            'engine',
            '--slots',
            slots,
            '--step-ms',
            str(self.step_seconds * 1000),
            '--tokens-per-step',
            str(self.tokens_per_step),
            '--report-lag-seconds',
            '1',
        )

    def _start_routers(self) -> None:
        for attempt in range(_START_ATTEMPTS):
            try:
                with contextlib.ExitStack() as stack:
                    self._pick_addresses(stack)
                    self._connect_network(stack)
                    for router in self.routers.values():
                        self._write_settings(router)
                        self._start_router(router, stack)
                    for router in self.routers.values():
                        router.process.wait_for_listener(router.callers)
                    self._stack.push(stack.pop_all())
                    return
            except processes.ProcessFailed:
                # Another process may have taken a port, so the routers are
                # started again with other ports. A failure with another
                # cause recurs and is raised after the last attempt.
                if attempt == _START_ATTEMPTS - 1:
                    raise

    def _pick_addresses(self, stack: contextlib.ExitStack) -> None:
        count = self.deployment.routers
        reserved = processes.Ports(3 * count)
        stack.callback(reserved.close)
        ports = reserved.numbers
        for index in range(count):
            name = f'router-{index + 1}'
            self.routers[name] = Router(
                name,
                self.deployment.pick_failure_domain(index),
                ports[3 * index : 3 * index + 3],
            )
        if self._stale_list:
            self._write_stale_entry()

    def _write_stale_entry(self) -> None:
        first_router = next(iter(self.routers.values()))
        value = {
            # Nothing listens on port 9 (the discard service).
            'address': f'{_HOST}:9',
            'failure_domain': first_router.failure_domain,
            'region': self.deployment.region,
        }
        self.key_value.order(
            '/standin/put',
            key='/amaranthslip/instances/router-0',
            text=json.dumps(value),
        )

    def _connect_network(self, stack: contextlib.ExitStack) -> None:
        if not self._through_proxy:
            return
        addresses = {each.name: each.peers for each in self.routers.values()}
        self.network = network.Network(addresses, self.folder)
        stack.callback(self.network.close)
        self.network.start()
        self.network.delay(self.deployment.delay_seconds)

    def _write_settings(self, router: Router) -> None:
        sections = self.build_settings(router)
        path = self.folder / f'{router.name}.toml'
        path.write_text(tomli_w.dumps(sections))

    def build_settings(
        self, router: Router
    ) -> dict[str, dict[str, typing.Any]]:
        """Return the settings of one router, by section."""
        sections: dict[str, dict[str, typing.Any]] = {
            'instance': {
                'name': router.name,
                'failure_domain': router.failure_domain,
                'region': self.deployment.region,
            },
            'addresses': {
                'callers': router.callers,
                'operators': router.operators,
                'peers': router.peers,
            },
            'platform': {
                'key_value': f'http://{self.key_value.address}',
                'list_interval_seconds': 1.0,
            },
            'dispatch': {'policy': self._policy},
            'logging': {'level': 'warning'},
        }
        if self.network is not None:
            sections['links'] = {'via': self.network.list_ways(router.name)}
        for name, values in self._settings.items():
            sections[name] = sections.get(name, {}) | values
        return sections

    def _start_router(
        self, router: Router, stack: contextlib.ExitStack
    ) -> None:
        path = self.folder / f'{router.name}.toml'
        command = processes.build_python_command(
            'amaranthslip', 'router', str(path)
        )
        router.process = processes.Process(router.name, command, self.folder)
        stack.callback(router.process.close)
        router.process.start()

    # -- configuration ----------------------------------------------------

    def submit(self, *, base: int) -> None:
        """Submit the deployment's document through the command line.

        Parameters
        ----------
        base : int
            The configuration version that the document replaces.

        Raises
        ------
        processes.ProcessFailed
            The command did not exit with code 0.
        """
        path = self.folder / 'document.json'
        path.write_text(json.dumps(self.deployment.document, indent=1))
        settings = next(iter(self.routers))
        command = processes.build_python_command(
            'amaranthslip',
            'submit',
            str(path),
            '--base',
            str(base),
            '--settings',
            str(self.folder / f'{settings}.toml'),
        )
        submission = processes.Process('submit', command, self.folder)
        self._stack.callback(submission.close)
        submission.start()
        if submission.wait(_READY_TIMEOUT_SECONDS) != 0:
            raise processes.ProcessFailed(submission.read_output())

    def wait_until_ready(
        self, routers: typing.Iterable[str] | None = None
    ) -> None:
        """Wait until the routers accept callers' requests.

        Parameters
        ----------
        routers : iterable of str or None
            Names of the routers; all by default.

        Raises
        ------
        processes.ProcessFailed
            A router ended, or was not ready in time.
        """
        end = time.monotonic() + _READY_TIMEOUT_SECONDS
        for name in routers or self.routers:
            router = self.routers[name]
            while not self.is_ready(name):
                if time.monotonic() > end or not router.process.is_running():
                    raise processes.ProcessFailed(
                        f'{name} is not ready: '
                        f'{router.process.read_output()[-2000:]}'
                    )
                time.sleep(_POLL_SECONDS)

    def is_ready(self, name: str) -> bool:
        """Return whether a router accepts callers' requests."""
        account = self.deployment.document['client_accounts'][0]['name']
        headers = {'Authorization': f'Bearer {deployments.read_key(account)}'}
        try:
            answer = control.get(
                self.routers[name].callers, '/v1/models', headers=headers
            )
        except (OSError, http.client.HTTPException):
            return False
        return answer.status == 200

    # -- faults -----------------------------------------------------------

    def kill(self, name: str) -> None:
        """Kill a router, as a crash does."""
        self.routers[name].process.kill()

    def restart(self, name: str) -> None:
        """Restart a router that has ended, with the same settings."""
        router = self.routers[name]
        router.process.start()
        router.process.wait_for_listener(router.callers)

    def pause(self, name: str) -> None:
        """Suspend a router's process."""
        self.routers[name].process.pause()

    def resume(self, name: str) -> None:
        """Continue a suspended router's process."""
        self.routers[name].process.resume()

    def stop(self, name: str, *, timeout: float = 120.0) -> int:
        """Stop a router gracefully; return its exit code."""
        self.begin_stop(name)
        return self.routers[name].process.wait(timeout)

    def begin_stop(self, name: str) -> None:
        """Start a graceful stop of a router; return without waiting."""
        self.routers[name].process.terminate()
