"""Counters, gauges and latency histograms of one instance."""

import typing

from hdrh import histogram
import prometheus_client
from prometheus_client import core

_PREFIX = 'amaranthslip_'
_MIN_LATENCY_MICROSECONDS = 1
_MAX_LATENCY_MICROSECONDS = 3600 * 1000000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)

# By metric name: the help text and the name of the metric's only label.
COUNTERS = {
    'requests': ('Requests that ended, by how', 'outcome'),
    'refusals': ('Requests refused and not run', 'reason'),
    'tries_failed': ('Tries that ended without a good answer', 'reason'),
    'crashes': ('Tries whose backend server crashed', 'service'),
    'quarantine': ('Requests that crash backend servers', 'event'),
    'keeper_asks': ("Questions to backend servers' keepers", 'outcome'),
    'plain_refusals': (
        'Plain requests refused for the load of the servers, by limit',
        'limit',
    ),
    'turns': ('Turns of refused requests', 'event'),
    'retries': ('Tries after the first', 'reason'),
    'retries_denied': ('Retries that were not made', 'reason'),
    'retry_budget': ("Retries of the fleet's budget, by what became", 'event'),
    'streams_taken_up': (
        'Streams that callers took up, by whether the version was known',
        'version',
    ),
    'passed_requests': (
        'Requests passed to other instances, or from them',
        'event',
    ),
    'unread': ('Answers cut off because their caller read slowly', 'outcome'),
    'evictions': (
        'Connections of callers that stood still, closed for others',
        'phase',
    ),
    'service_tokens': ('Tokens of service delivered', 'client_account'),
    'control_bytes': ('Bytes sent to peers', 'kind'),
    'control_messages': ('Messages sent to peers', 'kind'),
    'dropped_messages': ('Messages not sent, by peer queue state', 'reason'),
    'platform_calls': ('Calls to the platform', 'kind'),
    'store_calls': ('Calls that follow the store', 'cause'),
    'platform_failures': ('Failed calls to the platform', 'reason'),
    'grants': ('Slots granted, returned and revoked', 'event'),
    'over_admission': ('Requests beyond what an engine batches', 'server'),
    'ejections': ('Backend servers ejected', 'reason'),
    'server_limits': ("Changes of backend servers' limits", 'change'),
    'claims': ('Claims of idempotency keys', 'result'),
    'configuration': ('Configuration versions seen', 'event'),
    'members': ('Changes of belief about members', 'event'),
}

GAUGES = {
    'queued': ('Requests queued here', 'client_account'),
    'slots_busy': ('Slots in use at owned backend servers', 'server'),
    'slots_limit': ('Slots that an owned backend server may use', 'server'),
    'members_alive': ('Members believed alive', 'state'),
    'configuration_version': ('The version in force here', 'kind'),
}

HISTOGRAMS = {
    'queue_wait': 'Wait for a slot',
    'first_token': 'Time to the first token',
    'first_token_error': 'How far the expected first token was off',
    'between_tokens': 'Time between chunks of a stream',
    'whole': 'Time from request to end of answer',
}


class Metrics:
    """The metrics of one instance, exported in the Prometheus text format."""

    __slots__ = ('_registry', '_counters', '_gauges', '_histograms')

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = {
            name: prometheus_client.Counter(
                _PREFIX + name, text, [label], registry=self._registry
            )
            for name, (text, label) in COUNTERS.items()
        }
        self._gauges = {
            name: prometheus_client.Gauge(
                _PREFIX + name, text, [label], registry=self._registry
            )
            for name, (text, label) in GAUGES.items()
        }
        self._histograms = {
            name: histogram.HdrHistogram(
                _MIN_LATENCY_MICROSECONDS,
                _MAX_LATENCY_MICROSECONDS,
                _SIGNIFICANT_DIGITS,
            )
            for name in HISTOGRAMS
        }
        self._registry.register(self)

    def count(self, name: str, label: str, amount: float = 1) -> None:
        """Add to the counter `name` with the label value `label`."""
        self._counters[name].labels(label).inc(amount)

    def read(self, name: str, label: str) -> float:
        """Return the value of a counter, for status pages and tests."""
        return self._counters[name].labels(label)._value.get()

    def set_gauge(self, name: str, label: str, value: float) -> None:
        """Set the gauge `name` with the label value `label`."""
        self._gauges[name].labels(label).set(value)

    def record(self, name: str, seconds: float, *, count: int = 1) -> None:
        """Record a latency in seconds, `count` times."""
        micros = int(seconds * 1e6)
        self._histograms[name].record_value(
            max(micros, _MIN_LATENCY_MICROSECONDS), count
        )

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield the histograms as summaries (called by the registry)."""
        for name, histogram_ in self._histograms.items():
            count = histogram_.get_total_count()
            family = core.SummaryMetricFamily(
                f'{_PREFIX}{name}_seconds',
                HISTOGRAMS[name],
                count_value=count,
                sum_value=histogram_.get_mean_value() * count / 1e6,
            )
            for percentile in _PERCENTILES if count else ():
                micros = histogram_.get_value_at_percentile(percentile)
                family.add_sample(
                    family.name,
                    {'quantile': f'{percentile / 100:g}'},
                    micros / 1e6,
                )
            yield family

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
