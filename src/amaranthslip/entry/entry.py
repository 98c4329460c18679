"""Entry: everything between callers and backend servers of one instance."""

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

# Seconds between looks at the document for backend servers that are gone.
_SWEEP_SECONDS = 5.0


class Entry:
    """Serves callers at `addresses.callers`.

    Parameters
    ----------
    settings : Settings
        Of this process.
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
        Counts and latencies.
    crash_exchange : CrashExchange
        Shares crash reports and refuses quarantined requests.
    random : random.Random
        Jitter of the waits before retries.
    """

    __slots__ = (
        '_settings',
        '_holder',
        '_stack',
        '_progress',
        '_claiming',
        '_connections',
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
        self._claiming = claiming.Claiming(claims)
        self._connections = connections_.Connections(settings)
        tries_ = tries.Tries(
            settings,
            scheduler,
            self._claiming,
            estimator,
            metrics,
            self._connections,
            crashes.CrashGuard(
                crashes.CrashDetector(self._connections, self._find_server),
                crash_exchange,
                metrics,
            ),
        )
        attempts_ = attempts.Attempts(
            tries_,
            retries.RetryBudget(settings, metrics, random=random),
            self._claiming,
            metrics,
        )
        application_ = application.ServiceApplication(
            settings,
            accounts.Accounts(holder),
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
        """Where it listens, with the port that a port of 0 became."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    @property
    def running(self) -> int:
        """How many requests are in progress."""
        return self._progress.read()

    def start(self) -> None:
        """Listen."""
        self._stack.callback(self._connections.close)
        sweeper = gevent.spawn(self._sweep)
        self._stack.callback(sweeper.kill)
        self._server.start()
        self._stack.callback(self._server.stop, timeout=0)

    def drain(self) -> bool:
        """Refuse new requests as not run, finish the rest, then close.

        It goes on listening for `shutdown.notice_seconds`, so that the
        balancer's next requests are refused in words and not by a reset.

        Returns
        -------
        bool
            Whether every request ended within `shutdown.finish_seconds`.
        """
        self._progress.stopping = True
        self._progress.refusing = True
        notice = time.monotonic() + self._settings.shutdown.notice_seconds
        finished = self._progress.wait(self._settings.shutdown.finish_seconds)
        gevent.sleep(max(notice - time.monotonic(), 0.0))
        self._claiming.join()
        self.close()
        return finished

    def close(self) -> None:
        """Close everything at once; requests in progress are cut off."""
        self._progress.stopping = True
        self._progress.refusing = True
        self._stack.close()

    def _sweep(self) -> None:
        while True:
            gevent.sleep(_SWEEP_SECONDS)
            servers = self._holder.document.backend_servers.values()
            self._connections.keep_only([each.address for each in servers])
