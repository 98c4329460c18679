"""Checks of a contention soak, from what callers and engines saw."""

import collections
import json

from tests.soak import contention_callers as callers_module

# Seconds of the sliding window of all checks.
WINDOW_SECONDS = 6
# An account gets at least this fraction of what it requests or of what the
# best served account gets, whichever is less.
_MIN_FAIR_FRACTION = 0.5
# The largest requests of an account, which are left out.
_ALLOWED_REQUESTS = 3
# A refusal for the load is no service while under half of the engines' places
# are taken, so engines that are up read for at least this fraction of a
# window in each second of which requests are refused.
_MIN_READING_FRACTION = 0.5
# Refusals in a second from which on requests count as refused in it.
_MIN_REFUSALS = 5


class Reading:
    """One request that an engine read: when, and for how long."""

    __slots__ = ('attempt', 'account', 'at', 'seconds')

    def __init__(self, values):
        self.attempt = values['read']
        self.account = values['account']
        self.at = values['at']
        self.seconds = values['seconds']


class Record:
    """All that callers and engines saw in one run.

    Parameters
    ----------
    started_at, seconds : float
        Monotonic start of the load, and its length.
    attempts : sequence of Attempt
        All attempts.
    readings : sequence of Reading
        What the engines read.
    outages : sequence of (float, float)
        Start and end of each time in which one engine was down, in seconds
        since the start.
    engines : int
        Number of engines.
    """

    def __init__(
        self, *, started_at, seconds, attempts, readings, outages, engines
    ):
        self.seconds = int(seconds)
        self.attempts = attempts
        self.outages = outages
        self.engines = engines
        self._started_at = started_at
        tokens = {each.id: each.tokens for each in attempts}
        self.asked = self._build_table()
        self.granted = self._build_table()
        self.waiting = self._build_table()
        self.refusals = collections.Counter()
        self.reading_seconds = [0.0] * self.seconds
        self.requests = collections.defaultdict(list)
        for each in attempts:
            second = self._find_second(each.sent_at)
            self.asked[second][each.account] += each.tokens
            self.requests[each.account].append((second, each.tokens))
            if each.waits:
                self.waiting[second][each.account] += 1
            if each.status in callers_module.REFUSED:
                self.refusals[second] += 1
        for each in readings:
            second = self._find_second(each.at)
            self.granted[second][each.account] += tokens.get(each.attempt, 0)
            self._add_reading(each.at - started_at, each.seconds)

    def _build_table(self):
        return collections.defaultdict(collections.Counter)

    def _find_second(self, at):
        return int(at - self._started_at)

    def _add_reading(self, at, seconds):
        """Divide the time of reading among the seconds in which it falls."""
        end = at + seconds
        while at < end:
            second = int(at)
            until = min(end, second + 1.0)
            if 0 <= second < self.seconds:
                self.reading_seconds[second] += until - at
            at = until

    def read_engine_seconds(self, second):
        """Return the seconds for which engines were up in a second."""
        down = sum(
            max(0.0, min(end, second + 1) - max(start, second))
            for start, end in self.outages
        )
        return self.engines - down


def read_readings(folder):
    """Return what the engines read, from their logs."""
    readings = []
    for path in sorted(folder.glob('engine-*.log')):
        for line in path.read_text().splitlines():
            if line.startswith('{"read"'):
                readings.append(Reading(json.loads(line)))
    return readings


def list_windows(record):
    """Return the windows in each second of which requests are refused."""
    return [
        range(start, start + WINDOW_SECONDS)
        for start in range(record.seconds - WINDOW_SECONDS + 1)
        if all(
            record.refusals[start + index] >= _MIN_REFUSALS
            for index in range(WINDOW_SECONDS)
        )
    ]


def compare_accounts(record):
    """Yield (window, account, granted, due, best) of each account that waits.

    An account waits through a window if in each of its seconds a request of it
    is refused or late.
    """
    for start in range(record.seconds - WINDOW_SECONDS + 1):
        window = range(start, start + WINDOW_SECONDS)
        granted = collections.Counter()
        for second in window:
            granted.update(record.granted[second])
        if not granted:
            continue
        best = max(granted, key=granted.get)
        for account in record.requests:
            if not all(record.waiting[each][account] for each in window):
                continue
            limit = sum(
                min(record.asked[each][account], record.granted[each][best])
                for each in window
            )
            sizes = [
                tokens
                for second, tokens in record.requests[account]
                if second in window
            ]
            allowed = sum(sorted(sizes, reverse=True)[:_ALLOWED_REQUESTS])
            due = _MIN_FAIR_FRACTION * limit - allowed
            yield window, account, granted[account], due, granted[best]


def check_shares(record):
    """Yield a line for each account that is short in a window."""
    for window, account, granted, due, best in compare_accounts(record):
        if granted < due:
            yield (
                f'{account} from {window.start} s: got {granted} tokens,'
                f' {due:.0f} due; the best served account got {best}'
            )


def check_engines(record):
    """Yield a line for each window in which engines idle beside refusals."""
    for window in list_windows(record):
        part = read_reading_part(record, window)
        if part < _MIN_READING_FRACTION:
            refusals = sum(record.refusals[each] for each in window)
            yield (
                f'from {window.start} s: engines read for {part:.2f} of the'
                f' time, while {refusals} requests were refused'
            )


def read_reading_part(record, window):
    """Return the fraction of a window for which engines read prompts."""
    available = sum(record.read_engine_seconds(each) for each in window)
    return sum(record.reading_seconds[each] for each in window) / available


def summarize(record, request_count):
    """Return the figures of a run as text."""
    served = sum(each.status == 200 for each in record.attempts)
    refused = sum(
        each.status in callers_module.REFUSED for each in record.attempts
    )
    in_time = sum(not each.waits for each in record.attempts)
    windows = list_windows(record)
    least_reading = min(
        (read_reading_part(record, each) for each in windows), default=1.0
    )
    least_part = min(
        (
            granted / due
            for _, _, granted, due, _ in compare_accounts(record)
            if due > 0
        ),
        default=float('inf'),
    )
    whole = range(record.seconds)
    return (
        f'{request_count} requests, {served} served, {in_time} in time,'
        f' {refused} refusals ({refused / max(1, served):.1f} a request'
        f' served); engines read for'
        f' {read_reading_part(record, whole):.2f} of the time, least in'
        f' {WINDOW_SECONDS} s {least_reading:.2f}; least part of what is due'
        f' {least_part:.2f}'
    )
