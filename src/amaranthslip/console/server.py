"""HTTP server of the operators' port, separate from the clients' port."""

import contextlib
import logging

from gevent import socket

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import submission as submission_module
from amaranthslip.console import application
from amaranthslip.console import pages
from amaranthslip import listening
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)
_MAX_CONNECTIONS = 200
IDLE_TIMEOUT_SECONDS = 30.0


class Handler(listening.Handler):
    """A connection that is closed after an idle timeout.

    Without the timeout, an unauthenticated client that keeps 200 silent
    connections open would lock out the operators and the health checks.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        server: listening.LimitedServer,
    ) -> None:
        super().__init__(sock, address, server)
        sock.settimeout(IDLE_TIMEOUT_SECONDS)


class Console:
    """Serves the forms, the API, health checks and metrics to operators.

    Parameters
    ----------
    settings : Settings
        `addresses.operators` is the listening address; port 0 selects any
        free port.
    holder : Holder
        Holds the version in force on this instance, which lists the
        operators.
    submission : Submission
        Submits new versions.
    get_status : callable
        Returns the fleet's status as JSON values: `members`, each with
        `name`, `failure_domain`, `state` and `version`, and further fields
        that are not specified here.
    metrics : Metrics
        The metrics that `/metrics` exports.
    """

    __slots__ = ('_application', '_server', '_stack')

    def __init__(
        self,
        settings: settings_module.Settings,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        get_status: pages.StatusReader,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._stack = contextlib.ExitStack()
        address, _, port = settings.addresses.operators.rpartition(':')
        self._application = application.Application(
            holder, submission, get_status, metrics
        )
        self._server = listening.LimitedServer(
            (address.strip('[]'), int(port)),
            self._application,
            max_connections=_MAX_CONNECTIONS,
            handler_class=Handler,
            log=None,
            error_log=_LOG,
        )

    @property
    def address(self) -> str:
        """The listening address, as `IP:port`."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def announce_stop(self) -> None:
        """Answer `/ready` with 503, so that load balancers switch over."""
        self._application.stopping = True

    def start(self) -> None:
        """Start listening."""
        self._server.start()
        self._stack.callback(self._server.stop, timeout=1)

    def close(self) -> None:
        """Stop listening, and wait up to 1 s for requests in progress."""
        self._stack.close()
