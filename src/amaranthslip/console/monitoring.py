"""The operators' port where a platform's operator keeps the configuration.

Forms and submissions have no place there: a version that was submitted to this
fleet would be one beside the operator's. What is left to see takes no sign-in,
and without the forms' libraries an instance starts 0.2 s sooner and takes some
10 MB less.
"""

import json
import typing

from amaranthslip import listening
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_TEXT = 'text/plain; version=0.0.4; charset=utf-8'
_JSON = 'application/json'


class Monitoring(listening.SmallServer):
    """Serves `/health`, `/ready`, `/metrics` and `/api/status`.

    Parameters
    ----------
    settings : Settings
        `addresses.operators` is where it listens; port 0: any free one.
    is_ready : callable
        Returns whether new callers should be sent here.
    describe : callable
        Returns the status as values for JSON.
    metrics : Metrics
        What `/metrics` shows.
    """

    __slots__ = ('_is_ready', '_describe', '_metrics')

    def __init__(
        self,
        settings: settings_module.Settings,
        is_ready: typing.Callable[[], bool],
        describe: typing.Callable[[], dict[str, typing.Any]],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._is_ready = is_ready
        self._describe = describe
        self._metrics = metrics
        super().__init__(settings.addresses.operators, self._answer)

    def _answer(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        status, kind, body = '200 OK', _JSON, b''
        match environ['PATH_INFO']:
            case '/metrics':
                kind, body = _TEXT, self._metrics.render()
            case '/api/status':
                body = json.dumps(self._describe()).encode()
            case '/health':
                body = b'{"alive": true}'
            case '/ready':
                ready = self._is_ready()
                status = '200 OK' if ready else '503 Service Unavailable'
                body = json.dumps({'ready': ready}).encode()
            case _:
                status, body = '404 Not Found', b'{}'
        length = str(len(body))
        start_response(
            status, [('Content-Type', kind), ('Content-Length', length)]
        )
        return [body]
