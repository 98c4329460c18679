"""WSGI application for requests on the operator's routes."""

import random
import typing

from amaranthslip.entry import accounts as accounts_
from amaranthslip.entry import application
from amaranthslip.entry import callers
from amaranthslip.entry import forwarding
from amaranthslip.entry import peer_forwarding
from amaranthslip.entry import pressure as pressure_
from amaranthslip.entry import progress as progress_
from amaranthslip.entry import replies
from amaranthslip.entry import routed
from amaranthslip.entry import server
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.platform import headers as wire
from amaranthslip import settings as settings_

# Key of the WSGI environment for a body that was read for another instance.
_BODY = 'amaranthslip.body'


class RoutedApplication(application.Application):
    """Serves the operator's routes, selected by host and path prefix."""

    _fractional_retry_after = True

    __slots__ = (
        '_reader',
        '_forwarding',
        '_peer_forwarding',
        '_pressure',
        '_is_ready',
        '_random',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        accounts: accounts_.AccountIndexCache,
        reader: routed.RouteResolver,
        forwarding_: forwarding.Forwarder,
        peer_forwarder: peer_forwarding.PeerForwarder,
        pressure: pressure_.LagMonitor,
        metrics: metrics_.Metrics,
        progress: progress_.Progress,
        *,
        is_ready: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(settings, accounts, metrics, progress)
        self._is_ready = is_ready
        self._reader = reader
        self._forwarding = forwarding_
        self._peer_forwarding = peer_forwarder
        self._pressure = pressure
        self._random = random.Random()

    def _choose_request_id(self, environ: application.Environ) -> str:
        return wire.read_attempt_id(environ) or super()._choose_request_id(
            environ
        )

    def _should_close_connection(self) -> bool:
        return self._pressure.closes_connections

    def _serve(
        self,
        environ: application.Environ,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply | None:
        if self._progress.refusing and (
            self._peer_forwarding.read_origin(environ) is not None
        ):
            # The instance that passed the request can still run it.
            return self._peer_forwarding.build_decline()
        return super()._serve(environ, caller, request_id, arrived)

    def _dispatch(
        self,
        environ: application.Environ,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply | None:
        index = self._accounts.read()
        origin = self._peer_forwarding.read_origin(environ)
        if origin is not None:
            if not self._takes(origin, index):
                return self._peer_forwarding.build_decline()
            application.check_ready(index.document)
            return self._run_passed(index, environ, caller, arrived)
        self._check_loop_lag(environ)
        application.check_ready(index.document)
        relayed = self._pass_on(index, environ, caller, arrived)
        if relayed is not None:
            return relayed.reply
        return self._run(index, environ, caller, arrived)

    def _takes(
        self, origin: peer_forwarding.Origin, index: accounts_.AccountIndex
    ) -> bool:
        """Return whether a request of another instance is taken."""
        if not self._is_ready() or (
            self._pressure.read_lag() > self._settings.limits.behind_seconds
        ):
            return False
        return self._peer_forwarding.takes(origin, index.document.version)

    def _pass_on(
        self,
        index: accounts_.AccountIndex,
        environ: application.Environ,
        caller: callers.Caller,
        arrived: float,
    ) -> peer_forwarding.RelayedAnswer | None:
        """Pass a request to another instance, if this one has too many.

        Returns
        -------
        RelayedAnswer or None
            None if the request stays here.
        """
        attempt_id = wire.read_attempt_id(environ)
        wait_seconds = wire.read_wait_seconds(environ)
        if not attempt_id or wait_seconds is None:
            return None
        if not self._peer_forwarding.may_pass(environ) or (
            not self._peer_forwarding.wants_to_pass()
        ):
            return None
        route = index.document.routes.find(
            environ.get('HTTP_HOST', ''), _read_path(environ)
        )
        if route is None:
            return None
        environ[_BODY] = self._read_body(environ)
        # Chosen after the body was read, which a caller may send slowly.
        peer = self._peer_forwarding.take_peer()
        if peer is None:
            return None
        request = peer_forwarding.PassedRequest(
            peer,
            environ,
            environ[_BODY],
            caller,
            request_id=attempt_id,
            route=route,
            version=index.document.version,
            deadline=arrived + min(wait_seconds, route.timeout_seconds),
        )
        try:
            return self._peer_forwarding.run(request)
        except peer_forwarding.StreamInterrupted as interrupted:
            # The configuration may have changed since the stream began.
            reply = self._run(
                self._accounts.read(),
                environ,
                caller,
                arrived,
                interrupted=interrupted,
            )
            return peer_forwarding.RelayedAnswer(reply)

    def _run_passed(
        self,
        index: accounts_.AccountIndex,
        environ: application.Environ,
        caller: callers.Caller,
        arrived: float,
    ) -> replies.Reply | None:
        """Run a request of another instance, or give it back."""
        try:
            return self._run(index, environ, caller, arrived, is_passed=True)
        except errors.RequestRefused as error:
            if error.reason != progress_.STOPPING:
                raise
            # It was not run, and the instance that passed it can run it.
            return self._peer_forwarding.build_decline()

    def _run(
        self,
        index: accounts_.AccountIndex,
        environ: application.Environ,
        caller: callers.Caller,
        arrived: float,
        *,
        is_passed: bool = False,
        interrupted: peer_forwarding.StreamInterrupted | None = None,
    ) -> replies.Reply | None:
        """Run a request on one of the backend servers of its route."""
        self._reader.check_routes_current()
        target = environ[application.TARGET]
        route = self._reader.find_route(
            index, environ.get('HTTP_HOST', ''), _read_path(environ)
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
        placement_request = self._reader.build_placement_request(
            route, account, facts, arrived
        )
        body = environ.get(_BODY)
        if body is None:
            body = self._read_body(environ)
        call = self._reader.build_call(
            environ,
            placement_request,
            facts,
            target,
            body,
            key_authorised=account is not None,
            is_passed=is_passed,
        )
        if interrupted is not None:
            call.take_back(
                interrupted.server,
                last_event=interrupted.last_event,
                runs=interrupted.runs,
            )
        caller.summary = call.summary
        return self._forwarding.run(call, caller)

    def _check_loop_lag(self, environ: application.Environ) -> None:
        """Refuse the request if the event loop is too far behind schedule.

        Called before any other work: a refusal takes about a tenth of the
        processing of a request, and a retry mostly reaches another instance.

        Raises
        ------
        RequestRefused
            The lag exceeds `limits.behind_seconds`.
        """
        if not self._peer_forwarding.is_behind(environ):
            return
        raise server.build_busy_error(self._random)


def _read_path(environ: application.Environ) -> str:
    return environ[application.TARGET].partition('?')[0]
