"""The operators' port where a platform operator manages the configuration.

The port has no forms and accepts no submissions: a version that was submitted
to this fleet would compete with the platform operator's. The remaining pages
need no sign-in, and without the form libraries an instance starts 0.2 s
sooner and takes some 10 MB less memory.
"""

import json
import typing

from amaranthslip import listening
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_JSON_TYPE = 'application/json'


class Monitoring(listening.AuxiliaryServer):
    """Serves `/health`, `/ready`, `/metrics` and `/api/status`.

    Parameters
    ----------
    settings : Settings
        `addresses.operators` is the listening address; port 0 selects any
        free port.
    is_ready : callable
        Returns whether the instance should get new client connections.
    get_status : callable
        Returns the status as JSON values.
    metrics : Metrics
        The metrics that `/metrics` exports.
    """

    __slots__ = ('_is_ready', '_get_status', '_metrics')

    def __init__(
        self,
        settings: settings_module.Settings,
        is_ready: typing.Callable[[], bool],
        get_status: typing.Callable[[], dict[str, typing.Any]],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._is_ready = is_ready
        self._get_status = get_status
        self._metrics = metrics
        super().__init__(settings.addresses.operators, self._serve)

    def _serve(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        status, content_type, body = '200 OK', _JSON_TYPE, b''
        match environ['PATH_INFO']:
            case '/metrics':
                content_type, body = _METRICS_TYPE, self._metrics.render()
            case '/api/status':
                body = json.dumps(self._get_status()).encode()
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
            status,
            [('Content-Type', content_type), ('Content-Length', length)],
        )
        return [body]
