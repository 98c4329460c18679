"""Load reports from the engines' metrics in the Prometheus text format."""

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

# Metric names of vLLM, which other engines have adopted.
_RUNNING = 'vllm:num_requests_running'
_WAITING = 'vllm:num_requests_waiting'
_CACHE = 'vllm:gpu_cache_usage_perc'
_NAMES = frozenset((_RUNNING, _WAITING, _CACHE))
_MAX_REPORT_BYTES = 1048576
# Each wait is drawn at random between these multiples of the interval, so that
# many instances don't poll one engine at the same time.
_MIN_INTERVAL_FACTOR = 0.75
_MAX_INTERVAL_FACTOR = 1.25
# Interval between checks for added and removed servers, in seconds.
_SERVER_CHECK_SECONDS = 0.2


def read_report(
    text: str, server_name: str, at: float
) -> loads.LoadReport | None:
    """Parse an engine's metrics; return None if they hold no load report.

    Request counts with the same name, such as those of several models in one
    engine, are added up; for the cache usage, the highest value is used.

    Parameters
    ----------
    text : str
        Metrics in the Prometheus text format.
    server_name : str
        Name of the backend server.
    at : float
        Time at which the metrics were read, in `time.monotonic()` seconds.
    """
    # Parse only the required lines: an engine exports thousands.
    lines = [line for line in text.splitlines() if line.startswith('vllm:')]
    required = [line for line in lines if _parse_name(line) in _NAMES]
    values: dict[str, list[float]] = {name: [] for name in _NAMES}
    for family in parser.text_string_to_metric_families('\n'.join(required)):
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


def _build_timeout() -> errors.BackendFailed:
    return errors.BackendFailed(
        'idle', 'the load report took too long', sent=True, status=504
    )


def _parse_name(line: str) -> str:
    return line.partition('{')[0].partition(' ')[0]


class LoadPoller:
    """Polls the load of every backend server that this instance owns.

    Parameters
    ----------
    settings : Settings
        Uses `backends.load_interval_seconds`, the mean poll interval.
    servers : callable
        Returns the BackendServer objects that this instance owns.
    receive : callable
        Called with each LoadReport, in the greenlet that polls the server.
    random : random.Random
        Source of the jitter of the waits.
    """

    __slots__ = (
        '_settings',
        '_servers',
        '_receive',
        '_random',
        '_connections',
        '_pollers',
        '_updater',
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
        # Keyed by name and address, so that a server whose address changes
        # gets a new poller.
        self._pollers: dict[tuple[str, str], gevent.Greenlet] = {}
        self._updater: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start polling."""
        self._updater = gevent.spawn(self._update_pollers)

    def close(self) -> None:
        """Stop polling and close the connections."""
        if self._updater is not None:
            self._updater.kill()
        gevent.killall(list(self._pollers.values()))
        self._pollers.clear()
        self._connections.close()

    def _update_pollers(self) -> None:
        while True:
            owned = {
                (server.name, server.address): server
                for server in self._servers()
            }
            for key in self._pollers.keys() - owned.keys():
                self._pollers.pop(key).kill(block=False)
            for key in owned.keys() - self._pollers.keys():
                self._pollers[key] = gevent.spawn(self._poll, owned[key])
            self._connections.close_others([address for _, address in owned])
            gevent.sleep(_SERVER_CHECK_SECONDS)

    def _poll(self, server: document.BackendServer) -> None:
        interval = self._settings.backends.load_interval_seconds
        while True:
            try:
                report = self._fetch_report(server)
                if report is not None:
                    self._receive(report)
            except (errors.AmaranthslipError, ValueError) as error:
                # A failed read has no consequence: the health of a server
                # is determined by the outcomes of requests, not by load
                # reports.
                _log.debug(
                    'cannot read the load of %s: %s', server.name, error
                )
            gevent.sleep(
                interval
                * self._random.uniform(
                    _MIN_INTERVAL_FACTOR, _MAX_INTERVAL_FACTOR
                )
            )

    def _fetch_report(
        self, server: document.BackendServer
    ) -> loads.LoadReport | None:
        request = outgoing.BackendRequest(
            method='GET',
            target='/metrics',
            headers=(('Accept', 'text/plain'),),
            body=b'',
            reuse=outgoing.Reuse.ANY,
            request_id=uuid.uuid4().hex,
        )
        # The limits of the connection begin anew with each byte of the body.
        with (
            gevent.Timeout(
                self._settings.backends.first_byte_seconds, _build_timeout()
            ),
            self._connections.send(server, request) as answer,
        ):
            body = answer.read_body(_MAX_REPORT_BYTES)
        if answer.status != 200:
            return None
        return read_report(
            body.decode('utf-8', 'replace'), server.name, time.monotonic()
        )
