"""Readiness endpoint: tells a load balancer whether to route callers here."""

import typing

from amaranthslip import listening
from amaranthslip import settings as settings_


class Readiness(listening.AuxiliaryServer):
    """Answers 200 while this instance accepts new callers, else 503.

    Parameters
    ----------
    settings : Settings
        The server listens at `addresses.readiness`.
    check : callable
        Returns whether this instance is ready.
    """

    __slots__ = ('_check',)

    def __init__(
        self,
        settings: settings_.Settings,
        check: typing.Callable[[], bool],
    ) -> None:
        self._check = check
        super().__init__(settings.addresses.readiness, self._answer)

    def _answer(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        status = '200 OK' if self._check() else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return []
