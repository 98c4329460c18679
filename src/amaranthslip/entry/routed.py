"""Routed requests: route lookup, authorisation and the resulting call."""

import logging
import random as random_
import time
import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import routes
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip.entry import accounts
from amaranthslip.entry import headers
from amaranthslip.entry import notes
from amaranthslip import errors
from amaranthslip.platform import headers as wire
from amaranthslip.requests import budget
from amaranthslip.requests import fingerprints
from amaranthslip.requests import part_crashes
from amaranthslip import settings as settings_
from amaranthslip.shares import places

_LOG = logging.getLogger(__name__)

# Retry-After in seconds for a request that is refused because this instance's
# configuration may be out of date. Short, because the store answers in
# milliseconds, and another instance may have the current configuration.
_STALE_RETRY_SECONDS = 0.3
# Seconds between two log lines about requests that are served although this
# instance may not know the newest configuration.
_LOG_INTERVAL_SECONDS = 1.0


class RoutedCall:
    """One request on an operator's route, and the state of its tries.

    Parameters
    ----------
    request_id : str
        The caller's attempt id, which identifies the request in logs.
    route : Route
        The route that was in force when the request arrived.
    placement_request : PlacementRequest
        The placement requirements.
    method, target, host : str
        The method, request target and Host header of the request.
    headers : list of (str, str)
        Headers that are forwarded unchanged.
    facts : RequestHeaders
        The decoded platform headers.
    body : bytes
        The whole body.
    key_authorised : bool
        Whether the request was authorised by an API key, which may be revoked
        while the request is in progress.
    fingerprint : bytes
        Identical for all attempts at the same request.
    is_passed : bool
        Whether another instance passed the request to this one.

    Attributes
    ----------
    is_taken_back : bool
        Whether a peer, which counted the request, had begun to run it.
    sent_parts : SentParts
        The parts of the prompt that other requests may have too.
    """

    __slots__ = (
        'request_id',
        'route',
        'placement_request',
        'method',
        'target',
        'host',
        'headers',
        'facts',
        'body',
        'key_authorised',
        'fingerprint',
        'is_passed',
        'is_taken_back',
        'sent_parts',
        'runs',
        'tries',
        'kept_connection_broke',
        'is_trial',
        'resumed_after',
        'arrived',
        'retry',
        'summary',
    )

    def __init__(
        self,
        *,
        request_id: str,
        route: routes.Route,
        placement_request: places.PlacementRequest,
        method: str,
        target: str,
        host: str,
        headers: wire.HeaderList,
        facts: wire.RequestHeaders,
        body: bytes,
        key_authorised: bool,
        fingerprint: bytes,
        is_passed: bool = False,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.placement_request = placement_request
        self.method = method
        self.target = target
        self.host = host
        self.headers = headers
        self.facts = facts
        self.body = body
        self.key_authorised = key_authorised
        self.fingerprint = fingerprint
        self.is_passed = is_passed
        self.is_taken_back = False
        self.sent_parts = _build_sent_parts(placement_request)
        # Times that a server may have run the request, and tries in total.
        self.runs = 0
        self.tries = 0
        # Whether a kept connection broke during the current try.
        self.kept_connection_broke = False
        # Whether it is run although it is quarantined.
        self.is_trial = False
        # Id of the last stream event that the caller received; 0: none.
        self.resumed_after = facts.resume_after
        # Whether a server may have received a try; each further one then
        # needs a retry of the budget. `retry` is reserved and not used.
        self.arrived = False
        self.retry: budget.RetryReservation | None = None
        self.summary = notes.RequestSummary(placement_request)

    def take_back(
        self, server: document.ListedServer, *, last_event: int, runs: int
    ) -> None:
        """Go on with a stream that a server began for a peer.

        Parameters
        ----------
        server : ListedServer
            The server, whose software version goes on with the stream.
        last_event : int
            Number of the last event that the caller received.
        runs : int
            Times that a server may have run the request.
        """
        self.is_taken_back = True
        self.arrived = True
        self.runs = runs
        self.resumed_after = last_event
        request = self.placement_request
        request.service = server.service
        request.software_version = server.software_version
        request.placed_before = True
        request.admitted_before = True

    def release_retry(self) -> None:
        """Give back the reserved retry, if any."""
        if self.retry is not None:
            self.retry.release()
            self.retry = None

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.placement_request.deadline - time.monotonic()


class RouteResolver:
    """Finds the route of a request and authorises it for a client account.

    Parameters
    ----------
    settings : Settings
        The `bounds` section is used.
    freshness : Freshness
        Age of this instance's copy of the configuration.
    is_overloaded : callable
        Returns whether this instance lags behind with its own work.
    random : random.Random
        Selects one of a route's services by weight for each request.
    """

    __slots__ = (
        '_settings',
        '_staleness',
        '_freshness',
        '_is_overloaded',
        '_random',
        '_logged_at',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        freshness: freshness_module.Freshness,
        *,
        is_overloaded: typing.Callable[[], bool] = lambda: False,
        random: random_.Random | None = None,
    ) -> None:
        self._is_overloaded = is_overloaded
        self._settings = settings
        self._staleness = staleness_module.Staleness(settings)
        self._freshness = freshness
        self._random = random or random_.Random()
        self._logged_at = float('-inf')

    def check_keys_trusted(self, call: RoutedCall) -> None:
        """Refuse a request whose API key may have been revoked meanwhile.

        An instance that can't reach the store learns of no revocation. This
        is checked before each try, not only on arrival, because the process
        may be suspended in between for longer than a revocation may take.

        Raises
        ------
        RequestRefused
            The last confirmation by the store is too old; nothing was sent in
            this try.
        """
        if call.key_authorised and not self.has_trusted_keys():
            raise _refuse_stale(
                'keys_unconfirmed',
                'this instance has not heard from the operator for'
                f' {self._freshness.age:.1f} s and can not tell whether the'
                ' key is still in force',
            )

    def has_trusted_keys(self) -> bool:
        """Return whether the known API keys are recent enough to trust."""
        if not self._settings.bounds.fail_closed:
            return True
        return self._freshness.age < self._staleness.trusted_seconds

    def check_routes_current(self) -> None:
        """Refuse a request if this instance may lack a version by now.

        Checked where the route is looked up. Later the instance may have
        caught up, and the request would still take the old route. While the
        store itself does not answer, requests continue.

        Raises
        ------
        RequestRefused
            The known configuration is too old; the request was not run.
        """
        if self._lags(self._staleness.certain_seconds):
            raise _refuse_stale(
                'configuration_unconfirmed',
                'this instance lags'
                f' {self._freshness.age:.1f} s behind the configuration',
            )

    def check_servers_current(self) -> None:
        """Refuse a request if this instance lags behind the list of servers.

        A server may have begun to leave since. While the store itself does not
        answer, no server can announce that, and requests continue.

        Raises
        ------
        RequestRefused
            The known servers are too old; nothing was sent in this try.
        """
        if self._lags(self._staleness.servers_seconds):
            raise _refuse_stale(
                'servers_unconfirmed',
                'this instance lags'
                f' {self._freshness.age:.1f} s behind the list of servers',
            )

    def _lags(self, max_age_seconds: float) -> bool:
        """Return whether what is known is too old, and the store answers."""
        if self._freshness.age <= max_age_seconds:
            return False
        # A call of an overloaded instance also fails because its answer is
        # read too late.
        if not self._freshness.store_failed or self._is_overloaded():
            return True
        now = self._freshness.read_clock()
        if now - self._logged_at >= _LOG_INTERVAL_SECONDS:
            self._logged_at = now
            _LOG.info(
                'served_unconfirmed',
                extra={'age_ms': int(min(self._freshness.age, 1e9) * 1000)},
            )
        return False

    def find_route(
        self, index: accounts.AccountIndex, host: str, path: str
    ) -> routes.Route:
        """Return the route of a request.

        Raises
        ------
        RequestRefused
            No route matches, or the configuration may be out of date.
        """
        route = index.document.routes.find(host, path)
        if route is not None:
            return route
        self._check_configuration_current()
        raise errors.RequestRefused(
            'route_unknown',
            f'no route for host {host!r} and this path; ask the operator',
            status=404,
        )

    def authorise(
        self, index: accounts.AccountIndex, route: routes.Route, header: str
    ) -> document.ClientAccount | None:
        """Return the client account of a request.

        Returns
        -------
        ClientAccount or None
            None if the route is public or the operator uses no client
            accounts.

        Raises
        ------
        RequestRefused
            The header holds no valid API key, or the known keys may be out of
            date.
        """
        if route.public or not index.document.keys_required:
            return None
        if not self.has_trusted_keys():
            raise _refuse_stale(
                'keys_unconfirmed',
                'this instance does not know which keys are in force',
            )
        try:
            return index.authorise(header)
        except errors.RequestRefused:
            self._check_configuration_current()
            raise

    def _check_configuration_current(self) -> None:
        # An 'unknown' error is final for the caller, but an instance that lost
        # the store may lack a route or key that was added since.
        if self._freshness.age > self._staleness.certain_seconds:
            raise _refuse_stale(
                'configuration_unconfirmed',
                'this instance may have an old configuration',
            )

    def build_placement_request(
        self,
        route: routes.Route,
        account: document.ClientAccount | None,
        facts: wire.RequestHeaders,
        arrived: float,
    ) -> places.PlacementRequest:
        """Return the placement requirements of a request."""
        seconds = route.timeout_seconds
        if facts.wait_seconds is not None:
            seconds = min(seconds, facts.wait_seconds)
        return places.PlacementRequest(
            service=route.choose_service(self._random),
            client_account='' if account is None else account.name,
            route=route,
            prompt=facts.prompt,
            arrived=arrived,
            deadline=arrived + seconds,
            regions=_intersect_regions(route, account),
        )

    def build_call(
        self,
        environ: dict[str, typing.Any],
        placement_request: places.PlacementRequest,
        facts: wire.RequestHeaders,
        target: str,
        body: bytes,
        *,
        key_authorised: bool,
        is_passed: bool = False,
    ) -> RoutedCall:
        """Return the call for an authorised request."""
        method = environ['REQUEST_METHOD']
        host = environ.get('HTTP_HOST', '')
        fingerprint = fingerprints.compute_fingerprint(
            client_account=placement_request.client_account,
            method=method,
            host=host,
            target=target,
            body=body,
        )
        placement_request.fingerprint = fingerprint
        return RoutedCall(
            request_id=facts.attempt_id,
            route=placement_request.route,
            placement_request=placement_request,
            method=method,
            target=target,
            host=host,
            headers=headers.collect_forwarded(
                environ, headers.NOT_FORWARDED_ON_ROUTES
            ),
            facts=facts,
            body=body,
            key_authorised=key_authorised,
            fingerprint=fingerprint,
            is_passed=is_passed,
        )


def _build_sent_parts(
    placement_request: places.PlacementRequest,
) -> part_crashes.SentParts:
    prompt = placement_request.prompt
    part_ids = () if prompt is None else prompt.leading_ids
    return part_crashes.SentParts(
        fingerprints.compute_account_digest(placement_request.client_account),
        fingerprints.compute_part_digests(placement_request.service, part_ids),
    )


def _intersect_regions(
    route: routes.Route, account: document.ClientAccount | None
) -> frozenset[str] | None:
    """Return the regions that both the route and the account allow."""
    if account is None or account.regions is None:
        return route.regions
    if route.regions is None:
        return account.regions
    return route.regions & account.regions


def _refuse_stale(reason: str, text: str) -> errors.RequestRefused:
    return errors.RequestRefused(
        reason,
        f'{text}; send it again, another instance may know',
        retry_after=_STALE_RETRY_SECONDS,
    )
