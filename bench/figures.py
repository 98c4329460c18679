"""Computation of a run's measures from the load tool's observation.

The fairness gap follows the definition of "Fairness in Serving Large
Language Models" (OSDI 2024): for two client accounts and any interval in
which both are backlogged throughout, the difference of the service that they
received in it, in tokens, each divided by its share.
"""

import collections
import itertools
import math
import typing

import numpy

from bench import records as records_module

_PERCENTILES = (50, 95, 99)


class ServiceSeries:
    """Service and backlog of every account over time.

    Parameters
    ----------
    times : array of float, length T
        Seconds since the run's start, at the end of each step.
    accounts : sequence of str, length A
        The accounts' names.
    shares : array of float, length A
        The weights by which the accounts' service is divided.
    served : array of float, A by T
        Tokens delivered since the run's start.
    backlogged : array of bool, A by T
        Whether the account had requests queued throughout the step.
    """

    __slots__ = ('times', 'accounts', 'shares', 'served', 'backlogged')

    def __init__(
        self,
        *,
        times: numpy.ndarray,
        accounts: typing.Sequence[str],
        shares: numpy.ndarray,
        served: numpy.ndarray,
        backlogged: numpy.ndarray,
    ) -> None:
        self.times = times
        self.accounts = tuple(accounts)
        self.shares = shares
        self.served = served
        self.backlogged = backlogged

    def select_period(self, start: float, end: float) -> 'ServiceSeries':
        """Return the steps that end within [start, end] seconds."""
        kept = (self.times >= start) & (self.times <= end)
        return ServiceSeries(
            times=self.times[kept],
            accounts=self.accounts,
            shares=self.shares,
            served=self.served[:, kept],
            backlogged=self.backlogged[:, kept],
        )


class FairnessGap:
    """The largest difference of service, and the accounts and interval of it.

    `tokens` is the difference of the service divided by the shares, `start`
    and `end` are seconds since the run's start.
    """

    __slots__ = ('tokens', 'accounts', 'start', 'end')

    def __init__(
        self,
        tokens: float = 0.0,
        accounts: tuple[str, ...] = (),
        start: float = 0.0,
        end: float = 0.0,
    ) -> None:
        self.tokens = tokens
        self.accounts = accounts
        self.start = start
        self.end = end


class Percentiles:
    """The 50th, 95th and 99th percentile of a latency, in seconds."""

    __slots__ = ('count', 'p50', 'p95', 'p99')

    def __init__(self, values: typing.Sequence[float]) -> None:
        self.count = len(values)
        found = (
            numpy.percentile(values, _PERCENTILES)
            if len(values)
            else (float('nan'),) * len(_PERCENTILES)
        )
        self.p50, self.p95, self.p99 = (float(each) for each in found)


def build_series(
    observation: records_module.Observation,
    shares: dict[str, float],
    *,
    service_seconds: float = 0.0,
) -> ServiceSeries:
    """Return the service over time of the accounts in `shares`.

    Parameters
    ----------
    observation : Observation
        The observation of the load tool.
    shares : dict of str to float
        The share of each account.
    service_seconds : float
        Time from a slot's grant to the first token on an idle engine. The
        request is no longer queued during this time, so it is subtracted
        from the wait for the first token.
    """
    steps = int(round(observation.seconds / observation.step_seconds))
    times = (numpy.arange(steps) + 1) * observation.step_seconds
    names = sorted(shares)
    served = numpy.zeros((len(names), steps))
    backlogged = numpy.zeros((len(names), steps), dtype=bool)
    queued = _collect_queued_intervals(observation, service_seconds)
    for row, name in enumerate(names):
        delivery = observation.deliveries.get(name)
        for step, tokens in delivery.steps.items() if delivery else ():
            if 0 <= step < steps:
                served[row, step] += tokens
        for begin, end in _merge_intervals(queued.get(name, [])):
            # A step counts only if the account was backlogged during the
            # whole step.
            first = max(0, math.ceil(begin / observation.step_seconds))
            end_step = max(0, math.floor(end / observation.step_seconds))
            backlogged[row, first:end_step] = True
    return ServiceSeries(
        times=times,
        accounts=names,
        shares=numpy.array([shares[name] for name in names], dtype=float),
        served=numpy.cumsum(served, axis=1),
        backlogged=backlogged,
    )


def _collect_queued_intervals(
    observation: records_module.Observation, service_seconds: float
) -> dict[str, list[tuple[float, float]]]:
    """Return the intervals in which each account's requests were queued.

    Intervals are pairs of seconds since the run's start.
    """
    times: dict[str, list[tuple[float, float]]] = {}
    for record in observation.records:
        if record.first is not None:
            end = record.first - service_seconds
        elif record.end is not None:
            end = record.end
        else:
            end = observation.start + observation.seconds
        if end > record.start:
            begin = record.start - observation.start
            times.setdefault(record.account, []).append(
                (begin, end - observation.start)
            )
    return times


def _merge_intervals(
    intervals: list[tuple[float, float]],
) -> list[tuple[float, float]]:
    """Return the union of intervals as disjoint, sorted intervals."""
    merged: list[tuple[float, float]] = []
    for begin, end in sorted(intervals):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((begin, end))
    return merged


def compute_fairness_gap(series: ServiceSeries) -> FairnessGap:
    """Return the largest gap over all pairs and common backlogged intervals.

    Let D be the difference of the two accounts' normalised service. Within
    one stretch of steps in which both are backlogged, the largest
    |D(t2) - D(t1)| of any sub-interval is the maximum of D minus its minimum,
    so one pass over each stretch is sufficient.
    """
    normalised = series.served / series.shares[:, None]
    largest_gap = FairnessGap()
    for first, second in itertools.combinations(range(len(normalised)), 2):
        both = series.backlogged[first] & series.backlogged[second]
        difference = normalised[first] - normalised[second]
        for begin, end in _find_true_runs(both):
            # Include the value at the end of the step before the stretch,
            # which is the value at the start of the stretch.
            inside = difference[max(begin - 1, 0) : end]
            spread = float(inside.max() - inside.min())
            if spread > largest_gap.tokens:
                names = (series.accounts[first], series.accounts[second])
                largest_gap = FairnessGap(
                    spread,
                    names,
                    float(series.times[begin]),
                    float(series.times[end - 1]),
                )
    return largest_gap


def compute_gap_bound(
    *, largest_tokens: float, slots: int, shares: typing.Sequence[float]
) -> float:
    """Return the upper bound of the fairness gap.

    The bound holds for any request sizes and any estimates. An account that
    is ahead is granted no further slots, so it gains at most what its
    requests in progress still deliver. In the worst case these requests
    occupy all slots and have the largest size.

    Parameters
    ----------
    largest_tokens : float
        Size of the largest request, in tokens.
    slots : int
        Number of slots of all backend servers of the service.
    shares : sequence of float
        The shares of the accounts.
    """
    return slots * largest_tokens / min(shares)


def _find_true_runs(flags: numpy.ndarray) -> list[tuple[int, int]]:
    """Return each run of true flags as its first index and exclusive end."""
    padded = numpy.concatenate(([False], flags, [False]))
    edges = numpy.flatnonzero(padded[1:] != padded[:-1])
    return list(zip(edges[::2].tolist(), edges[1::2].tolist(), strict=True))


class Occupancy:
    """Samples of the slots of one service over time.

    Parameters
    ----------
    busy, slots : array of float, length T
        Slots in use, and slots available.
    waiting : array of bool, length T
        Whether a request that may use any of the slots was queued.
    """

    __slots__ = ('busy', 'slots', 'waiting')

    def __init__(
        self, busy: numpy.ndarray, slots: numpy.ndarray, waiting: numpy.ndarray
    ) -> None:
        self.busy = busy
        self.slots = slots
        self.waiting = waiting


def compute_utilisation(
    occupancies: typing.Iterable[Occupancy],
) -> float | None:
    """Return busy slot time divided by slot time while requests waited.

    Returns None if no request ever waited.
    """
    busy, available = 0.0, 0.0
    for each in occupancies:
        used = numpy.minimum(each.busy, each.slots)
        busy += float(used[each.waiting].sum())
        available += float(each.slots[each.waiting].sum())
    return busy / available if available else None


def compute_goodput(observation: records_module.Observation) -> float:
    """Return the tokens a second of answers completed within the run."""
    last = observation.start + observation.seconds
    tokens = sum(
        record.tokens
        for record in observation.records
        if record.outcome == records_module.DONE and record.end <= last
    )
    return tokens / observation.seconds


def count_refusals(
    observation: records_module.Observation,
) -> collections.Counter[str]:
    """Return the number of refused requests by reason."""
    return collections.Counter(
        record.reason
        for record in observation.records
        if record.outcome == records_module.REFUSED
    )


def count_failures(
    observation: records_module.Observation,
) -> collections.Counter[str]:
    """Return the number of failed and wrong answers by outcome and reason."""
    unsuccessful_outcomes = (records_module.FAILED, records_module.WRONG)
    return collections.Counter(
        f'{record.outcome}: {record.reason}'
        for record in observation.records
        if record.outcome in unsuccessful_outcomes
    )


def count_outcomes(
    observation: records_module.Observation,
) -> collections.Counter[str]:
    """Return the number of requests by outcome."""
    return collections.Counter(
        record.outcome for record in observation.records
    )


def compute_first_token(
    observation: records_module.Observation,
) -> Percentiles:
    """Return the percentiles of the time from sending to the first token."""
    return Percentiles(
        [
            record.first - record.start
            for record in observation.records
            if record.first is not None
        ]
    )


def sum_service(
    observation: records_module.Observation,
) -> dict[str, float]:
    """Return the tokens delivered to each account over the whole run."""
    return {
        name: sum(delivery.steps.values())
        for name, delivery in observation.deliveries.items()
    }
