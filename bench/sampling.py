"""Sampling of the engines and routers of a fleet while a load runs."""

import http.client
import json
import threading
import time

import numpy
from prometheus_client import parser

from bench import control
from bench import figures
from bench import fleet as fleet_module

SAMPLE_SECONDS = 0.25
_CONTROL_PREFIX = 'amaranthslip_control_'


class BusySample:
    """A sample of every engine at one time.

    `busy` is each engine's slot time in use since its start, in seconds,
    `waiting` its number of waiting requests.
    """

    __slots__ = ('time', 'busy', 'waiting')

    def __init__(
        self, time: float, busy: dict[str, float], waiting: dict[str, int]
    ) -> None:
        self.time = time
        self.busy = busy
        self.waiting = waiting


class Sampler:
    """Reads the load of one service's engines every `SAMPLE_SECONDS`.

    Uses a thread of the benchmark's main process, which is idle while the
    load runs.
    """

    __slots__ = ('samples', '_addresses', '_slots', '_thread', '_stop_event')

    def __init__(self, fleet: fleet_module.Fleet, service: str) -> None:
        servers = [
            values
            for values in fleet.deployment.document['backend_servers']
            if values['service'] == service
        ]
        self._addresses = {
            values['name']: fleet.backends[values['name']].address
            for values in servers
        }
        self._slots = sum(values.get('slots', 16) for values in servers)
        self.samples: list[BusySample] = []
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Sampler':
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stop_event.set()
        self._thread.join()

    def _run(self) -> None:
        connections = {
            name: http.client.HTTPConnection(address, timeout=5.0)
            for name, address in self._addresses.items()
        }
        due = time.monotonic()
        while not self._stop_event.wait(max(0.0, due - time.monotonic())):
            due += SAMPLE_SECONDS
            busy, waiting = {}, {}
            for name, connection in connections.items():
                connection.request('GET', '/standin/busy')
                values = json.loads(connection.getresponse().read())
                busy[name] = values['busy_slot_seconds']
                waiting[name] = values['waiting']
            self.samples.append(BusySample(time.monotonic(), busy, waiting))
        for connection in connections.values():
            connection.close()

    def build_occupancy(
        self,
        series: figures.ServiceSeries,
        start: float,
    ) -> figures.Occupancy:
        """Return the slots in use between consecutive samples.

        Parameters
        ----------
        series : ServiceSeries
            Series of the accounts that may use the service. Requests count
            as waiting between two samples if in each step of that interval
            at least one account was backlogged.
        start : float
            Start of the series in `time.monotonic()` seconds.
        """
        any_backlogged = series.backlogged.any(axis=0)
        busy, slots, waiting = [], [], []
        for before, after in zip(self.samples, self.samples[1:]):
            begin, end = before.time - start, after.time - start
            inside = (series.times > begin) & (series.times <= end)
            if not inside.any():
                continue
            used = sum(after.busy.values()) - sum(before.busy.values())
            busy.append(used / (end - begin))
            slots.append(self._slots)
            waiting.append(bool(any_backlogged[inside].all()))
        return figures.Occupancy(
            numpy.array(busy), numpy.array(slots), numpy.array(waiting)
        )

    def count_most_waiting(self) -> int:
        """Return the largest number of requests waiting in one engine."""
        return max(
            (max(each.waiting.values()) for each in self.samples), default=0
        )


class ControlSample:
    """The control traffic that each router has sent to its peers.

    `bytes` has the bytes on the wire if a proxy counts them, and the routers'
    own counters otherwise. `by_kind` has the routers' own counters before
    compression, `bytes/KIND` and `messages/KIND`, summed over the routers.
    """

    __slots__ = ('time', 'bytes', 'messages', 'by_kind')

    def __init__(
        self,
        time: float,
        bytes: dict[str, float],
        messages: dict[str, float],
        by_kind: dict[str, float],
    ) -> None:
        self.time = time
        self.bytes = bytes
        self.messages = messages
        self.by_kind = by_kind


class ControlRate:
    """Mean control traffic of one instance between two samples.

    A rate is None if the second sample has no router's counters.
    """

    __slots__ = ('bytes_per_second', 'messages_per_second', 'by_kind')

    def __init__(self, before: ControlSample, after: ControlSample) -> None:
        elapsed = after.time - before.time
        self.bytes_per_second = _compute_mean_growth(
            before.bytes, after.bytes, elapsed
        )
        self.messages_per_second = _compute_mean_growth(
            before.messages, after.messages, elapsed
        )
        router_count = max(1, len(after.messages))
        self.by_kind = {
            kind: max(0.0, count - before.by_kind.get(kind, 0.0))
            / router_count
            / elapsed
            for kind, count in sorted(after.by_kind.items())
        }


def _compute_mean_growth(
    before: dict[str, float], after: dict[str, float], elapsed: float
) -> float | None:
    if not after:
        return None
    # The counters of a restarted router start at zero again.
    grown = [
        value - before.get(name, 0.0)
        if value >= before.get(name, 0.0)
        else value
        for name, value in after.items()
    ]
    return sum(grown) / len(grown) / elapsed


def sample_control(fleet: fleet_module.Fleet) -> ControlSample:
    """Read the control traffic that every router has sent.

    Bytes are counted by the proxy if the fleet has one. Otherwise they are
    read, as the messages are, from the counters of the routers that respond.
    """
    sent_bytes: dict[str, float] = {}
    messages: dict[str, float] = {}
    by_kind: dict[str, float] = {}
    for router in fleet.routers.values():
        try:
            counters = read_counters(router.operators)
        except (OSError, http.client.HTTPException):
            continue
        sent_bytes[router.name] = _sum_kinds(counters, 'bytes', by_kind)
        messages[router.name] = _sum_kinds(counters, 'messages', by_kind)
    if fleet.network is not None:
        sent_bytes = fleet.network.count_sent_bytes()
    return ControlSample(time.monotonic(), sent_bytes, messages, by_kind)


def _sum_kinds(
    counters: dict[str, float], unit: str, by_kind: dict[str, float]
) -> float:
    """Return the sum over a router's message kinds.

    The value of each kind is added to `by_kind`.
    """
    prefix = f'{_CONTROL_PREFIX}{unit}/'
    found = {
        name.removeprefix(prefix): value
        for name, value in counters.items()
        if name.startswith(prefix)
    }
    for kind, value in found.items():
        name = f'{unit}/{kind}'
        by_kind[name] = by_kind.get(name, 0.0) + value
    return sum(found.values())


def read_counters(address: str) -> dict[str, float]:
    """Return a router's counters and gauges by `name/label`.

    Parameters
    ----------
    address : str
        The router's address for operators.

    Raises
    ------
    http.client.HTTPException
        The response's status is not 200.
    """
    answer = control.get(
        address, '/metrics', headers=control.sign_in('operator')
    )
    if answer.status != 200:
        raise http.client.HTTPException(
            f'/metrics responded with status {answer.status}'
        )
    found: dict[str, float] = {}
    families = parser.text_string_to_metric_families(answer.body.decode())
    for family in families:
        for sample in family.samples:
            if sample.name.endswith('_created'):
                continue
            name = sample.name.removesuffix('_total')
            found['/'.join([name, *sample.labels.values()])] = sample.value
    return found
