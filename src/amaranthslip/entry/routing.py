"""Routing: the WSGI side of requests on an operator's routes."""

import random

from amaranthslip.entry import accounts as accounts_
from amaranthslip.entry import application
from amaranthslip.entry import bodies
from amaranthslip.entry import callers
from amaranthslip.entry import forwarding
from amaranthslip.entry import pressure as pressure_
from amaranthslip.entry import progress as progress_
from amaranthslip.entry import replies
from amaranthslip.entry import routed
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.platform import headers as wire
from amaranthslip import settings as settings_

# Seconds after which a caller may come back that an instance had no time
# for: another instance can have it at once, in time for its objective of some
# 0.4 s; drawn between these, so that all don't come back together.
_RETRY_SECONDS = (0.02, 0.1)


class RoutedApplication(application.Application):
    """The operator's routes, by host and path prefix."""

    _fractions = True

    __slots__ = ('_reader', '_forwarding', '_pressure', '_random')

    def __init__(
        self,
        settings: settings_.Settings,
        accounts: accounts_.Accounts,
        reader: routed.RouteReader,
        forwarding_: forwarding.Forwarding,
        pressure: pressure_.Pressure,
        metrics: metrics_.Metrics,
        progress: progress_.Progress,
    ) -> None:
        super().__init__(settings, accounts, metrics, progress)
        self._reader = reader
        self._forwarding = forwarding_
        self._pressure = pressure
        self._random = random.Random()

    def _identify(self, environ: application.Environ) -> str:
        return wire.read_attempt_id(environ) or super()._identify(environ)

    def _sheds(self) -> bool:
        return self._pressure.sheds

    def _dispatch(
        self,
        environ: application.Environ,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply | None:
        self._check_pressure()
        index = self._accounts.read()
        application.check_ready(index.document)
        target = environ[application.TARGET]
        path = target.partition('?')[0]
        route = self._reader.find_route(
            index, environ.get('HTTP_HOST', ''), path
        )
        account = self._reader.authorise(
            index, route, environ.get('HTTP_AUTHORIZATION', '')
        )
        facts = wire.read_request(environ)
        if not facts.attempt_id:
            raise errors.RequestRefused(
                'malformed',
                'the request has no attempt id; send one of its own with'
                ' each attempt',
                status=400,
            )
        need = self._reader.build_need(route, account, facts, arrived)
        body = bodies.read_body(environ, self._settings)
        call = self._reader.build_call(environ, need, facts, target, body)
        caller.note = call.note
        return self._forwarding.run(call, caller)

    def _check_pressure(self) -> None:
        """Refuse while this instance is behind, before any work is done.

        A refusal costs a tenth of a request, and its caller comes back to
        another instance, mostly.
        """
        lag = self._pressure.read_lag()
        if lag <= self._settings.limits.behind_seconds:
            return
        raise errors.RequestRefused(
            'instance_busy',
            f'this instance is {lag:.2f} s behind with its work; send the'
            ' request again, another instance may have room',
            retry_after=self._random.uniform(*_RETRY_SECONDS),
        )
