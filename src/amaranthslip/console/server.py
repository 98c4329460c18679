"""The operators' port: an address of its own, apart from the callers'."""

import contextlib
import logging

from gevent import pool
from gevent import pywsgi
from gevent import socket

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import submission as submission_module
from amaranthslip.console import application
from amaranthslip.console import pages
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)
_CONNECTIONS = 200
IDLE_SECONDS = 30.0


class Handler(pywsgi.WSGIHandler):
    """One connection, closed when the other side says nothing for long.

    Otherwise a stranger who opens 200 connections and leaves them silent
    would shut the operators out, and the health checks with them.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        server: pywsgi.WSGIServer,
    ) -> None:
        sock.settimeout(IDLE_SECONDS)
        super().__init__(sock, address, server)


class Console:
    """Serves forms, the API, health and counters to operators.

    Parameters
    ----------
    settings : Settings
        `addresses.operators` is where it listens; port 0: any free one.
    holder : Holder
        The version in force here, and with it the operators.
    submission : Submission
        Has new versions accepted.
    status : callable
        Returns the fleet's status as values for JSON: `members`, each with
        `name`, `failure_domain`, `state` and `version`, and what else there
        is to know.
    metrics : Metrics
        What `/metrics` shows.
    """

    __slots__ = ('_application', '_server', '_stack')

    def __init__(
        self,
        settings: settings_module.Settings,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        status: pages.Status,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._stack = contextlib.ExitStack()
        connections = pool.Pool(_CONNECTIONS)
        address, _, port = settings.addresses.operators.rpartition(':')
        self._application = application.Application(
            holder, submission, status, metrics
        )
        self._server = pywsgi.WSGIServer(
            (address.strip('[]'), int(port)),
            self._application,
            spawn=connections,
            handler_class=Handler,
            log=None,
            error_log=_LOG,
        )

    @property
    def address(self) -> str:
        """Where it listens, as `IP:port`."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def announce_stop(self) -> None:
        """Answer `/ready` with 503 from now on, so that balancers turn."""
        self._application.stopping = True

    def start(self) -> None:
        """Listen."""
        self._server.start()
        self._stack.callback(self._server.stop, timeout=1)

    def close(self) -> None:
        """Stop listening; requests in progress have a second."""
        self._stack.close()
