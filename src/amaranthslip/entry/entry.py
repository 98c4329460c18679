"""The caller-facing server of an instance, and its request processing."""

import contextlib
import random as random_
import time
import typing

import gevent

from amaranthslip.backends import connections as connections_
from amaranthslip.configuration import document
from amaranthslip.entry import accounts
from amaranthslip.entry import application
from amaranthslip.entry import attempts
from amaranthslip.entry import claiming
from amaranthslip.entry import crashes
from amaranthslip.entry import progress
from amaranthslip.entry import server
from amaranthslip.entry import tries
from amaranthslip import metrics as metrics_
from amaranthslip.requests import crash_exchange as crash_exchange_
from amaranthslip.requests import retries
from amaranthslip import settings as settings_
from amaranthslip.shares import scheduling

# Seconds between checks of the configuration for removed backend servers. Idle
# connections to these are closed.
_CLEANUP_INTERVAL_SECONDS = 5.0


class Entry:
    """Serves callers at the address in `addresses.callers`.

    Parameters
    ----------
    settings : Settings
        The settings of this process.
    holder : object
        `document` is the configuration in force.
    scheduler : Scheduler
        Grants slots.
    claims : object
        Claims idempotency keys; see `entry.claiming`.
    estimator : object
        `estimate(client_account, kind, prompt_tokens)` and
        `learn(client_account, kind, tokens)`.
    metrics : Metrics
        Records counts and latencies of requests.
    crash_exchange : CrashExchange
        Shares crash reports and refuses quarantined requests.
    random : random.Random
        Source of the jitter in the waits before retries.
    """

    __slots__ = (
        '_settings',
        '_holder',
        '_stack',
        '_progress',
        '_claiming',
        '_connections',
        '_crash_detector',
        '_server',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        holder: typing.Any,
        scheduler: scheduling.Scheduler,
        claims: typing.Any,
        estimator: typing.Any,
        metrics: metrics_.Metrics,
        crash_exchange: crash_exchange_.CrashExchange,
        *,
        random: random_.Random | None = None,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._stack = contextlib.ExitStack()
        self._progress = progress.Progress()
        self._claiming = claiming.CallClaims(claims)
        self._connections = connections_.Connections(settings)
        self._crash_detector = crashes.CrashDetector(
            self._connections, self._find_server
        )
        tries_ = tries.TryRunner(
            settings,
            scheduler,
            self._claiming,
            estimator,
            metrics,
            self._connections,
            crashes.CrashGuard(self._crash_detector, crash_exchange, metrics),
        )
        attempts_ = attempts.CallRunner(
            tries_,
            retries.RetryBudget(settings, metrics, random=random),
            self._claiming,
            metrics,
        )
        application_ = application.ServiceApplication(
            settings,
            accounts.AccountIndexCache(holder),
            attempts_,
            metrics,
            self._progress,
        )
        self._server = server.Server(
            settings.addresses.callers,
            application_,
            settings,
            metrics,
            self._progress,
        )

    def _find_server(self, name: str) -> document.BackendServer | None:
        return self._holder.document.backend_servers.get(name)

    @property
    def address(self) -> str:
        """The listening address; a configured port of 0 is resolved."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    @property
    def running(self) -> int:
        """The number of requests in progress."""
        return self._progress.count_requests()

    def start(self) -> None:
        """Start to listen for callers."""
        self._stack.callback(self._connections.close)
        self._stack.callback(self._crash_detector.close)
        cleanup = gevent.spawn(self._close_removed_connections)
        self._stack.callback(cleanup.kill)
        self._server.start()
        self._stack.callback(self._server.stop, timeout=0)

    def drain(self) -> bool:
        """Refuse new requests as not run, finish running ones, then close.

        The server continues to listen for at least `shutdown.notice_seconds`,
        so that further requests from the load balancer get an HTTP error
        answer instead of a connection reset.

        Returns
        -------
        bool
            Whether every request ended within `shutdown.finish_seconds`.
        """
        self._progress.stopping = True
        self._progress.refusing = True
        notice_end = time.monotonic() + self._settings.shutdown.notice_seconds
        finished = self._progress.wait(self._settings.shutdown.finish_seconds)
        if not finished:
            self._progress.end_waits(progress.LAST_ANSWERS_SECONDS)
        gevent.sleep(max(notice_end - time.monotonic(), 0.0))
        self._claiming.join()
        self.close()
        return finished

    def close(self) -> None:
        """Close all connections at once and abort requests in progress."""
        self._progress.stopping = True
        self._progress.refusing = True
        self._stack.close()

    def _close_removed_connections(self) -> None:
        while True:
            gevent.sleep(_CLEANUP_INTERVAL_SECONDS)
            servers = self._holder.document.backend_servers.values()
            self._connections.close_others([each.address for each in servers])
