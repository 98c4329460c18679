"""Requests on the operator's routes, from their headers to a call."""

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
from amaranthslip.requests import fingerprints
from amaranthslip import settings as settings_
from amaranthslip.shares import places

# Seconds after which a caller may try again at an instance that does not
# know yet what the operator allows: the store answers in milliseconds, and
# another instance may know already.
_UNKNOWING_RETRY_SECONDS = 0.3


class RoutedCall:
    """One request on a route, and what is known of its run.

    Parameters
    ----------
    request_id : str
        What logs carry: the caller's attempt id.
    route : Route
        The route in force when it came.
    need : Need
        What placement decides by.
    method, target, host : str
        As they came.
    headers : list of (str, str)
        What passes on unchanged.
    facts : RequestFacts
        The decoded headers.
    body : bytes
        The whole body.
    keyed : bool
        Whether it is allowed by a key, which may be revoked meanwhile.
    fingerprint : bytes
        Identical for all attempts at the same request.
    """

    __slots__ = (
        'request_id',
        'route',
        'need',
        'method',
        'target',
        'host',
        'headers',
        'facts',
        'body',
        'keyed',
        'fingerprint',
        'runs',
        'tries',
        'kept_connection_broke',
        'resumed_after',
        'note',
    )

    def __init__(
        self,
        *,
        request_id: str,
        route: routes.Route,
        need: places.Need,
        method: str,
        target: str,
        host: str,
        headers: wire.Pairs,
        facts: wire.RequestFacts,
        body: bytes,
        keyed: bool,
        fingerprint: bytes,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.need = need
        self.method = method
        self.target = target
        self.host = host
        self.headers = headers
        self.facts = facts
        self.body = body
        self.keyed = keyed
        self.fingerprint = fingerprint
        # Servers at which it may have run, and all that it was sent to.
        self.runs = 0
        self.tries = 0
        # Whether a kept connection broke during the current try.
        self.kept_connection_broke = False
        # The last event that the caller has.
        self.resumed_after = facts.resume_after
        self.note = notes.Note(need)

    @property
    def seconds_left(self) -> float:
        """Seconds until its deadline."""
        return self.need.deadline - time.monotonic()


class RouteReader:
    """Finds a request's route and account, and what the two allow.

    Parameters
    ----------
    settings : Settings
        Its `bounds`.
    freshness : Freshness
        How old the knowledge of the configuration is.
    random : random.Random
        Divides a route's requests among its services.
    """

    __slots__ = ('_settings', '_staleness', '_freshness', '_random')

    def __init__(
        self,
        settings: settings_.Settings,
        freshness: freshness_module.Freshness,
        *,
        random: random_.Random | None = None,
    ) -> None:
        self._settings = settings
        self._staleness = staleness_module.Staleness(settings)
        self._freshness = freshness
        self._random = random or random_.Random()

    def check_current(self, call: RoutedCall) -> None:
        """Refuse a keyed request whose key may have been revoked unseen.

        An instance that is cut off from the store hears of no revocation.
        Checked before each sending, not only on arrival: a process may be
        suspended between the two for longer than a revocation may take.

        Raises
        ------
        RequestRefused
            Too long ago; nothing was sent in this try.
        """
        if call.keyed and not self.trusts_keys():
            raise _refuse_unknowing(
                'keys_unconfirmed',
                'this instance has not heard from the operator for'
                f' {self._freshness.age:.1f} s and can not tell whether the'
                ' key is still in force',
            )

    def trusts_keys(self) -> bool:
        """Return whether the keys known here may be relied on."""
        if not self._settings.bounds.fail_closed:
            return True
        return self._freshness.age < self._staleness.trusted_seconds

    def find_route(
        self, index: accounts.Index, host: str, path: str
    ) -> routes.Route:
        """Return the route of a request.

        Raises
        ------
        RequestRefused
            There is none, or none is known here yet.
        """
        route = index.document.routes.find(host, path)
        if route is not None:
            return route
        self._check_certain()
        raise errors.RequestRefused(
            'route_unknown',
            f'no route for host {host!r} and this path; ask the operator',
            status=404,
        )

    def authorise(
        self, index: accounts.Index, route: routes.Route, header: str
    ) -> document.ClientAccount | None:
        """Return the client account of a request; None: it needs none.

        Raises
        ------
        RequestRefused
            No key in force, or the keys in force aren't known for sure.
        """
        if route.public or not index.document.client_accounts:
            return None
        if not self.trusts_keys():
            raise _refuse_unknowing(
                'keys_unconfirmed',
                'this instance does not know which keys are in force',
            )
        try:
            return index.authorise(header)
        except errors.RequestRefused:
            self._check_certain()
            raise

    def _check_certain(self) -> None:
        # A caller that is told 'unknown' gives up. An instance that lost
        # the store may miss a route or key that was added since.
        if self._freshness.age > self._staleness.certain_seconds:
            raise _refuse_unknowing(
                'configuration_unconfirmed',
                'this instance may have an old configuration',
            )

    def build_need(
        self,
        route: routes.Route,
        account: document.ClientAccount | None,
        facts: wire.RequestFacts,
        arrived: float,
    ) -> places.Need:
        """Return what placement has to know of a request."""
        seconds = route.timeout_seconds
        if facts.wait_seconds is not None:
            seconds = min(seconds, facts.wait_seconds)
        return places.Need(
            service=route.choose_service(self._random),
            account='' if account is None else account.name,
            route=route,
            prompt=facts.prompt,
            arrived=arrived,
            deadline=arrived + seconds,
        )

    def build_call(
        self,
        environ: dict[str, typing.Any],
        need: places.Need,
        facts: wire.RequestFacts,
        target: str,
        body: bytes,
    ) -> RoutedCall:
        """Return the call of a request that is allowed."""
        method = environ['REQUEST_METHOD']
        host = environ.get('HTTP_HOST', '')
        return RoutedCall(
            request_id=facts.attempt_id,
            route=need.route,
            need=need,
            method=method,
            target=target,
            host=host,
            headers=headers.collect_forwarded(
                environ, headers.NOT_FORWARDED_ON_ROUTES
            ),
            facts=facts,
            body=body,
            keyed=bool(need.account),
            fingerprint=fingerprints.compute_fingerprint(
                client_account=need.account,
                method=method,
                host=host,
                target=target,
                body=body,
            ),
        )


def _refuse_unknowing(reason: str, text: str) -> errors.RequestRefused:
    return errors.RequestRefused(
        reason,
        f'{text}; send it again, another instance may know',
        retry_after=_UNKNOWING_RETRY_SECONDS,
    )
