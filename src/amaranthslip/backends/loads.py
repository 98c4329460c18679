"""Load reports: reads the engines' metrics in the Prometheus text format."""

import logging
import random as random_
import time
import typing
import uuid

import gevent
from prometheus_client import parser

from amaranthslip.backends import connections as connections_
from amaranthslip.backends import outgoing
from amaranthslip.capacity import loads
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip import settings as settings_

_log = logging.getLogger(__name__)

# vLLM's names, which other engines have taken over.
_RUNNING = 'vllm:num_requests_running'
_WAITING = 'vllm:num_requests_waiting'
_CACHE = 'vllm:gpu_cache_usage_perc'
_NAMES = frozenset((_RUNNING, _WAITING, _CACHE))
_REPORT_BYTES = 1048576
# Each wait is drawn between these fractions of the interval, so that many
# instances don't ask one engine together.
_LEAST_FRACTION = 0.75
_MOST_FRACTION = 1.25
# How often servers that came or went are looked for, in seconds.
_FOLLOW_SECONDS = 0.2


def read_report(
    text: str, server_name: str, at: float
) -> loads.LoadReport | None:
    """Return the report in an engine's metrics, or None without one.

    Samples of one name, such as of several models in one engine, are added
    up; of the cache the fullest counts.
    """
    # Only the lines that are needed: an engine has thousands.
    lines = [line for line in text.splitlines() if line.startswith('vllm:')]
    wanted = [line for line in lines if _read_name(line) in _NAMES]
    values: dict[str, list[float]] = {name: [] for name in _NAMES}
    for family in parser.text_string_to_metric_families('\n'.join(wanted)):
        for sample in family.samples:
            values[sample.name].append(sample.value)
    if not values[_RUNNING]:
        return None
    return loads.LoadReport(
        server_name,
        int(sum(values[_RUNNING])),
        int(sum(values[_WAITING])),
        max(values[_CACHE], default=0.0),
        at,
    )


def _read_name(line: str) -> str:
    return line.partition('{')[0].partition(' ')[0]


class LoadPoller:
    """Asks every backend server that this instance owns for its load.

    Parameters
    ----------
    settings : Settings
        `backends.load_interval_seconds`.
    servers : callable
        Returns the BackendServer objects owned now.
    receive : callable
        Takes each LoadReport, in the greenlet of its server.
    random : random.Random
        Jitter of the waits.
    """

    __slots__ = (
        '_settings',
        '_servers',
        '_receive',
        '_random',
        '_connections',
        '_greenlets',
        '_follower',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        servers: typing.Callable[[], typing.Iterable[document.BackendServer]],
        receive: typing.Callable[[loads.LoadReport], None],
        *,
        random: random_.Random | None = None,
    ) -> None:
        self._settings = settings
        self._servers = servers
        self._receive = receive
        self._random = random or random_.Random()
        self._connections = connections_.Connections(settings)
        # By name and address: a server that moved is asked anew.
        self._greenlets: dict[tuple[str, str], gevent.Greenlet] = {}
        self._follower: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start asking."""
        self._follower = gevent.spawn(self._follow)

    def close(self) -> None:
        """Stop asking."""
        if self._follower is not None:
            self._follower.kill()
        gevent.killall(list(self._greenlets.values()))
        self._greenlets.clear()
        self._connections.close()

    def _follow(self) -> None:
        while True:
            owned = {
                (each.name, each.address): each for each in self._servers()
            }
            for key in self._greenlets.keys() - owned.keys():
                self._greenlets.pop(key).kill(block=False)
            for key in owned.keys() - self._greenlets.keys():
                self._greenlets[key] = gevent.spawn(self._ask, owned[key])
            self._connections.keep_only([address for _, address in owned])
            gevent.sleep(_FOLLOW_SECONDS)

    def _ask(self, server: document.BackendServer) -> None:
        interval = self._settings.backends.load_interval_seconds
        while True:
            try:
                report = self._read(server)
                if report is not None:
                    self._receive(report)
            except (errors.AmaranthslipError, ValueError) as error:
                # A load that can't be read changes nothing: how requests
                # end, not this, says whether the server is healthy.
                _log.debug('no load of %s: %s', server.name, error)
            gevent.sleep(
                interval
                * self._random.uniform(_LEAST_FRACTION, _MOST_FRACTION)
            )

    def _read(self, server: document.BackendServer) -> loads.LoadReport | None:
        request = outgoing.Outgoing(
            method='GET',
            target='/metrics',
            headers=(('Accept', 'text/plain'),),
            body=b'',
            reuse=outgoing.Reuse.ANY,
            request_id=uuid.uuid4().hex,
        )
        with self._connections.send(server, request) as answer:
            body = answer.read_whole(_REPORT_BYTES)
        if answer.status != 200:
            return None
        return read_report(
            body.decode('utf-8', 'replace'), server.name, time.monotonic()
        )
