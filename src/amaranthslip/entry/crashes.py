"""Detection and reporting of backend server crashes during requests."""

import collections
import functools
import logging
import time
import typing

import gevent
from gevent import event
from gevent import pool

from amaranthslip.backends import connections as connections_
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import part_crashes
from amaranthslip.requests import part_exchange as part_exchange_module

_LOG = logging.getLogger(__name__)

# Seconds that a failed request waits for the check of its server. An
# unreachable server may never respond.
_MAX_WAIT_SECONDS = 0.1
# Seconds that it waits once the server has accepted a connection, which an
# exiting process still does: it closes its sockets one after the other.
_ACCEPTED_WAIT_SECONDS = 0.05
# Seconds for which a server is watched after a connection broke. On a busy
# machine a process takes longer to exit than a failed request waits.
_WATCH_SECONDS = 1.0
# Seconds before the first new connection after one that was closed; doubled
# each time, up to the maximum.
_MIN_PAUSE_SECONDS = 0.002
_MAX_PAUSE_SECONDS = 0.25
# Seconds for which a detected crash is reused. All connections of a crashed
# process break together, and the process takes longer than this to restart.
_CRASH_REUSE_SECONDS = 0.5
# Seconds after the end of an answer without a length within which a crash of
# its server shows that it was cut off.
_CUT_ANSWER_SECONDS = 0.3
# Maximum number of servers whose latest check is kept.
_MAX_CHECKS = 256
# Failure reasons for a connection that broke during a request.
_BROKEN_CONNECTION_REASONS = frozenset(('cut', 'reset'))

FindServer = typing.Callable[[str], document.BackendServer | None]


class Call(typing.Protocol):
    """A request and its tries: `calls.Call` or `routed.RoutedCall`.

    Attributes
    ----------
    fingerprint : bytes
        Identical for all attempts at the same request.
    kept_connection_broke : bool
        Whether a kept connection broke during the current try.
    is_trial : bool
        Whether the request is run although it is quarantined.
    sent_parts : SentParts
        The parts of its prompt that other requests may have too.
    """

    fingerprint: bytes
    kept_connection_broke: bool
    is_trial: bool
    sent_parts: part_crashes.SentParts


class _CrashCheck:
    """A check of one server, shared by the requests that failed on it.

    Attributes
    ----------
    server : BackendServer
        The server as it was listed when the check began.
    started_at, watch_until : float
        Monotonic seconds; each further broken connection extends the check.
    answered : Event
        Set when the first new connection is accepted or refused.
    ended : Event
        Set when the result is known.
    crashed : bool
        Whether the server refuses connections.
    listeners : list of (float, callable)
        Called when a crash is detected until the given monotonic time.
    counts : Counter
        Number of new connections by their result.
    """

    __slots__ = (
        'server',
        'started_at',
        'watch_until',
        'answered',
        'ended',
        'crashed',
        'listeners',
        'counts',
    )

    def __init__(self, server: document.BackendServer, now: float) -> None:
        self.server = server
        self.started_at = now
        self.watch_until = now
        self.answered = event.Event()
        self.ended = event.Event()
        self.crashed = False
        self.listeners: list[tuple[float, typing.Callable[[], None]]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def is_valid(self, server: document.BackendServer, now: float) -> bool:
        """Return whether the check applies to a connection that breaks now."""
        if server.incarnation != self.server.incarnation:
            return False
        if not self.ended.is_set():
            return True
        return self.crashed and now - self.started_at <= _CRASH_REUSE_SECONDS

    def wait(self) -> bool:
        """Wait for the result; return whether a crash was detected."""
        with gevent.Timeout(_MAX_WAIT_SECONDS, False):
            self.answered.wait()
            self.ended.wait(timeout=_ACCEPTED_WAIT_SECONDS)
        return self.crashed

    def end(self, now: float, *, crashed: bool) -> None:
        """Set the result, and call the listeners if the server crashed.

        Other connections may have extended the check long after the one of a
        listener broke; that one was reset by a running server.
        """
        self.crashed = crashed
        self.answered.set()
        self.ended.set()
        for until, notify in self.listeners if crashed else ():
            if now <= until:
                notify()


class CrashDetector:
    """Detects whether a broken connection was caused by a server crash.

    A connection also breaks when it is reset, when the network fails, or when
    a running server closes it. A crashed server no longer listens at its
    address. A server that is leaving or not listed is not reported as
    crashed.

    Parameters
    ----------
    connections : Connections
        Checks whether a server still listens.
    find_server : callable
        Returns a server by name, or None if it is no longer listed.
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_connections',
        '_find_server',
        '_clock',
        '_checks',
        '_watches',
    )

    def __init__(
        self,
        connections: connections_.Connections,
        find_server: FindServer,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._connections = connections
        self._find_server = find_server
        self._clock = clock
        # The latest check by server name, the most recent last.
        self._checks: collections.OrderedDict[str, _CrashCheck] = (
            collections.OrderedDict()
        )
        self._watches = pool.Group()

    def close(self) -> None:
        """End all checks; crashes are no longer detected."""
        self._watches.kill()

    def has_crashed(
        self,
        server: document.BackendServer,
        *,
        on_late_crash: typing.Callable[[], None] | None = None,
    ) -> bool:
        """Return whether a server whose connection broke has crashed.

        Parameters
        ----------
        on_late_crash : callable, optional
            Called if the crash is detected after this method has returned
            False.
        """
        if not self._may_have_crashed(server):
            return False
        check = self._find_check(server)
        watch_until = self._clock() + _WATCH_SECONDS
        check.watch_until = watch_until
        if check.wait():
            return True
        if on_late_crash is not None and not check.ended.is_set():
            check.listeners.append((watch_until, on_late_crash))
        return False

    def watch(
        self,
        server: document.BackendServer,
        notify: typing.Callable[[bool], None],
    ) -> None:
        """Watch a server after a connection that it may have ended itself.

        Parameters
        ----------
        notify : callable
            Called in the background, with whether the server has crashed.
        """
        self._watches.spawn(self._wait_for_result, server, notify)

    def _wait_for_result(
        self,
        server: document.BackendServer,
        notify: typing.Callable[[bool], None],
    ) -> None:
        crashed = False
        if self._may_have_crashed(server):
            check = self._find_check(server)
            check.watch_until = self._clock() + _WATCH_SECONDS
            check.ended.wait(timeout=_WATCH_SECONDS)
            crashed = check.crashed
        notify(crashed)

    def _may_have_crashed(self, server: document.BackendServer) -> bool:
        listed = self._find_server(server.name)
        return listed is not None and not listed.leaving

    def _find_check(self, server: document.BackendServer) -> _CrashCheck:
        now = self._clock()
        check = self._checks.get(server.name)
        if check is None or not check.is_valid(server, now):
            check = _CrashCheck(server, now)
            self._checks[server.name] = check
            self._checks.move_to_end(server.name)
            self._watches.spawn(self._watch, check)
        while len(self._checks) > _MAX_CHECKS:
            self._checks.popitem(last=False)
        return check

    def _watch(self, check: _CrashCheck) -> None:
        try:
            crashed = self._is_refused(check)
        except BaseException:
            check.end(self._clock(), crashed=False)
            raise
        # Checked again, because a planned shutdown may have been announced
        # since the connection broke.
        crashed = crashed and self._may_have_crashed(check.server)
        now = self._clock()
        _LOG.log(
            logging.WARNING if crashed else logging.INFO,
            'backend_server_crashed' if crashed else 'backend_server_checked',
            extra={
                'server': check.server.name,
                'service': check.server.service,
                'server_incarnation': check.server.incarnation,
                'elapsed_ms': round(1000 * (now - check.started_at), 1),
                **check.counts,
            },
        )
        check.end(now, crashed=crashed)

    def _is_refused(self, check: _CrashCheck) -> bool:
        """Connect again and again until the watch ends or one is refused."""
        pause_seconds = _MIN_PAUSE_SECONDS
        while True:
            left_seconds = check.watch_until - self._clock()
            if left_seconds <= 0:
                return False
            state = self._connections.probe_listener(
                check.server.address,
                left_seconds,
                on_accept=check.answered.set,
            )
            check.counts[state.value] += 1
            if state is connections_.ListenerState.REFUSED:
                return True
            if state is not connections_.ListenerState.OPEN:
                gevent.sleep(pause_seconds)
                pause_seconds = min(2 * pause_seconds, _MAX_PAUSE_SECONDS)


class _ObservedCrash:
    """A connection that ended during a try, and may have by a crash.

    Parameters
    ----------
    call : Call
        The request, which may be tried again meanwhile.
    server : BackendServer
        The server of the try.
    last_event : int
        Id of the last stream event that the caller has; 0: none.
    """

    __slots__ = ('call', 'server', 'last_event', 'crashed_at', 'sent_at')

    def __init__(
        self,
        call: Call,
        server: document.BackendServer,
        *,
        last_event: int = 0,
    ) -> None:
        self.call = call
        self.server = server
        self.last_event = last_event
        self.crashed_at = time.monotonic()
        self.sent_at = call.sent_parts.sent_at


class CrashGuard:
    """Reports server crashes during requests, and refuses quarantined ones.

    Parameters
    ----------
    detector : CrashDetector
        Detects crashed servers.
    exchange : CrashExchange
        Shares crash reports with the other instances.
    metrics : Metrics
        Counts `crashes` by service.
    part_exchange : PartExchange or None
        Shares which parts of prompts crash servers; None where the parts are
        not known.
    """

    __slots__ = ('_detector', '_exchange', '_metrics', '_part_exchange')

    def __init__(
        self,
        detector: CrashDetector,
        exchange: crash_exchange.CrashExchange,
        metrics: metrics_.Metrics,
        *,
        part_exchange: part_exchange_module.PartExchange | None = None,
    ) -> None:
        self._detector = detector
        self._exchange = exchange
        self._metrics = metrics
        self._part_exchange = part_exchange

    def check(self, call: Call) -> None:
        """Refuse a request that is quarantined, unless it gets a trial.

        Raises
        ------
        RequestRefused
            The request is quarantined and was not sent to a server.
        """
        parts = call.sent_parts
        if self._part_exchange is not None and not parts.is_trial:
            parts.is_trial = self._part_exchange.check(parts)
        if not call.is_trial:
            call.is_trial = self._exchange.check(call.fingerprint)

    def may_retry(self, call: Call, *, after_crash: bool) -> bool:
        """Return whether a request may be sent again after a failure.

        Parameters
        ----------
        after_crash : bool
            Whether its server crashed. A request that may have caused that is
            not tried again before its parts are cleared.
        """
        if self._exchange.is_quarantined(call.fingerprint):
            return False
        if self._part_exchange is None:
            return True
        if self._part_exchange.is_quarantined(call.sent_parts):
            return False
        return not (
            after_crash and self._part_exchange.is_suspected(call.sent_parts)
        )

    def note_completion(
        self,
        call: Call,
        server: document.BackendServer,
        *,
        succeeded: bool,
        delimited: bool,
    ) -> None:
        """Record that a request was answered in full.

        Parameters
        ----------
        succeeded : bool
            Whether the answer is no error.
        delimited : bool
            Whether the end of the answer is known from its bytes. The end of
            the connection also follows the crash of the server.
        """
        if delimited:
            self._complete(call, succeeded=succeeded)
            return
        crash = _ObservedCrash(call, server)

        def note_result(crashed: bool) -> None:
            if not crashed:
                self._complete(call, succeeded=succeeded)
            elif time.monotonic() - crash.crashed_at < _CUT_ANSWER_SECONDS:
                self._report(crash)

        self._detector.watch(server, note_result)

    def _complete(self, call: Call, *, succeeded: bool) -> None:
        self._exchange.complete(call.fingerprint)
        if succeeded and self._part_exchange is not None:
            self._part_exchange.complete(call.sent_parts)

    def note_failure(
        self,
        call: Call,
        server: document.BackendServer,
        failure: errors.BackendFailed,
        *,
        last_event: int = 0,
    ) -> bool:
        """Report a server crash if it caused a failed try.

        Parameters
        ----------
        last_event : int
            Id of the last stream event that the caller has, or the number of
            tokens relayed to it; 0: none.

        Returns
        -------
        bool
            Whether the server crashed while it ran the request.
        """
        broke = (
            call.kept_connection_broke
            or failure.reason in _BROKEN_CONNECTION_REASONS
        )
        if not broke:
            return False
        crash = _ObservedCrash(call, server, last_event=last_event)
        report_late = functools.partial(self._report_late, crash)
        if not self._detector.has_crashed(server, on_late_crash=report_late):
            return False
        self._report(crash)
        return True

    def _report_late(self, crash: _ObservedCrash) -> None:
        _LOG.info(
            'crash_detected_late',
            extra={
                'fingerprint': crash.call.fingerprint.hex(),
                'server': crash.server.name,
            },
        )
        self._report(crash)

    def _report(self, crash: _ObservedCrash) -> None:
        self._metrics.count('crashes', crash.server.service)
        self._exchange.report(
            crash.call.fingerprint,
            crash.server.name,
            crash.server.incarnation,
            last_event=crash.last_event,
        )
        if self._part_exchange is not None:
            self._part_exchange.report(
                crash.call.sent_parts,
                crash.server.name,
                crash.server.incarnation,
                crashed_at=crash.crashed_at,
                sent_at=crash.sent_at,
            )
