"""The address at which a balancer asks whether to send new callers here."""

import contextlib
import typing

from gevent import pywsgi

from amaranthslip import settings as settings_

# Connections that may wait: the balancer asks once a second.
_BACKLOG = 16


class Readiness:
    """Answers 200 while this instance takes new callers, else 503.

    Parameters
    ----------
    settings : Settings
        `addresses.readiness` is where it listens.
    check : callable
        Returns whether this instance is ready.
    """

    __slots__ = ('_check', '_server', '_exits')

    def __init__(
        self,
        settings: settings_.Settings,
        check: typing.Callable[[], bool],
    ) -> None:
        self._check = check
        self._exits = contextlib.ExitStack()
        host, _, port = settings.addresses.readiness.rpartition(':')
        self._server = pywsgi.WSGIServer(
            (host.strip('[]'), int(port)),
            self._answer,
            backlog=_BACKLOG,
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> str:
        """Where it listens, as `IP:port`."""
        host, port = self._server.address[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def start(self) -> None:
        """Listen."""
        self._server.start()
        self._exits.callback(self._server.stop, timeout=0)

    def close(self) -> None:
        """Stop listening."""
        self._exits.close()

    def _answer(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        status = '200 OK' if self._check() else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return []
