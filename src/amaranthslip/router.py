"""Builds one instance from its components."""

import contextlib
import functools
import logging

import gevent

from amaranthslip.backends import loads
from amaranthslip.capacity import health
from amaranthslip.configuration import holder
from amaranthslip.configuration import messages as configuration_messages
from amaranthslip.configuration import spread
from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip.console import server as console
from amaranthslip.entry import entry
from amaranthslip.links import links
from amaranthslip.members import detector
from amaranthslip.members import incarnations
from amaranthslip.members import members
from amaranthslip.members import messages as member_messages
from amaranthslip.members import roster
from amaranthslip import metrics
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.requests import claim_messages
from amaranthslip.requests import claims
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import crash_messages
from amaranthslip.requests import quarantine
from amaranthslip import settings as settings_module
from amaranthslip.shares import dispatcher
from amaranthslip.shares import estimates
from amaranthslip.shares import messages as share_messages
from amaranthslip.shares import ownership
from amaranthslip.shares import scheduler
from amaranthslip import status

_LOG = logging.getLogger(__name__)

_ShareMessage = (
    share_messages.Want
    | share_messages.SlotGrant
    | share_messages.Finish
    | share_messages.Charge
    | share_messages.Held
    | share_messages.Reset
    | share_messages.Restate
    | share_messages.Confirm
    | share_messages.Digest
    | share_messages.Own
)
_MemberMessage = (
    member_messages.Probe
    | member_messages.ProbeAnswer
    | member_messages.ProbeRequest
)
_ClaimMessage = (
    claim_messages.ClaimRequest
    | claim_messages.ClaimAnswer
    | claim_messages.ClaimSettlement
    | claim_messages.ClaimSettled
)
_CrashMessage = crash_messages.CrashReports | crash_messages.RequestCompleted
_ConfigurationMessage = (
    configuration_messages.VersionRequest
    | configuration_messages.VersionNotice
    | configuration_messages.ManifestRequest
    | configuration_messages.ManifestAnswer
    | configuration_messages.PartRequest
    | configuration_messages.PartAnswer
)


class Router:
    """One instance: callers' entry, dispatcher, membership, operators' port.

    Parameters
    ----------
    settings : Settings
        The settings of this process.

    Examples
    --------
    >>> router = Router(settings)
    >>> router.start()
    >>> router.stop()
    """

    __slots__ = (
        '_settings',
        '_exits',
        '_claims',
        '_stored_quarantine',
        '_crash_exchange',
        '_holder',
        '_roster',
        '_links',
        '_instances',
        '_detector',
        '_scheduler',
        '_dispatcher',
        '_entry',
        '_loads',
        '_store',
        '_spread',
        '_status',
        '_console',
        'metrics',
    )

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._exits = contextlib.ExitStack()
        self.metrics = metrics.Metrics()
        self._holder = holder.Holder()
        member = members.build_own(settings)
        self._roster = roster.Roster(member)
        self._links = links.Links(
            settings,
            self.metrics,
            member,
            self._receive,
            on_connect=self._list_initial_messages,
        )
        key_value = self._exits.enter_context(
            keyvalue.KeyValue(settings, self.metrics)
        )
        self._instances = instances.StoredInstances(settings, key_value)
        self._store = store.Store(settings, key_value)
        self._spread = spread.VersionPropagator(
            settings,
            self._holder,
            self._store,
            self._roster,
            self._links,
            self.metrics,
        )
        self._claims = claims.Claims(
            settings,
            key_value,
            self._roster,
            self._links,
            self.metrics,
            settings.instance.name,
        )
        self._build_quarantine(key_value)
        self._build_dispatch()
        self._build_membership()
        self._build_console()
        self._entry = entry.Entry(
            settings,
            self._holder,
            self._scheduler,
            self._claims,
            estimates.Estimator(self._holder),
            self.metrics,
            self._crash_exchange,
        )

    def start(self) -> None:
        """Start all components, with the callers' entry last."""
        self._exits.callback(self._claims.close)
        parts = (
            self._links,
            self._detector,
            self._spread,
            self._scheduler,
            self._dispatcher,
            self._loads,
            self._console,
        )
        for part in parts:
            part.start()
            self._exits.callback(part.close)
        for task in (
            functools.partial(
                self._instances.keep_listed, self._roster.member
            ),
            self._stored_quarantine.run,
            self._stored_quarantine.keep_loaded,
        ):
            self._exits.callback(gevent.spawn(task).kill)
        self._entry.start()
        self._exits.callback(self._entry.close)
        _LOG.info('router_started', extra={'callers': self._entry.address})

    def stop(self) -> bool:
        """Stop gracefully, after the requests in progress have ended.

        Returns
        -------
        bool
            Whether all requests ended in time.
        """
        _LOG.info('router_stopping', extra={'requests': self._entry.running})
        self._console.announce_stop()
        self._detector.leave()
        finished = self._entry.drain()
        self._claims.drain(self._settings.platform.timeout_seconds * 2)
        _LOG.info('router_stopped', extra={'finished': finished})
        self.close()
        return finished

    def close(self) -> None:
        """Close all components immediately."""
        self._exits.close()

    def _build_quarantine(self, key_value: keyvalue.KeyValue) -> None:
        quarantined_requests = quarantine.Quarantine()
        self._stored_quarantine = quarantined.StoredQuarantine(
            self._settings, key_value, quarantined_requests
        )
        self._crash_exchange = crash_exchange.CrashExchange(
            self._roster,
            self._links,
            quarantined_requests,
            self._stored_quarantine,
            self.metrics,
        )

    def _build_dispatch(self) -> None:
        server_ownership = ownership.Ownership(
            self._settings, self._roster, self._holder
        )
        self._scheduler = scheduler.Scheduler(
            self._settings,
            server_ownership,
            self._holder,
            self._links,
            self.metrics,
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._settings,
            server_ownership,
            self._holder,
            health.Health(self._settings, self.metrics),
            self._links,
            self.metrics,
        )
        self._loads = loads.LoadPoller(
            self._settings,
            server_ownership.list_owned,
            self._dispatcher.observe_load,
        )

    def _build_membership(self) -> None:
        self._detector = detector.Detector(
            self._settings,
            self._roster,
            self._links,
            self.metrics,
            instance_list=self._instances,
            on_version=self._record_peer_version,
            get_version=self._read_version,
        )

    def _build_console(self) -> None:
        self._status = status.Status(
            self._roster, self._spread, self._scheduler, self._dispatcher
        )
        self._console = console.Console(
            self._settings,
            self._holder,
            submission.Submission(
                self._store, holder=self._holder, accepted=self._spread.accept
            ),
            self._status.describe,
            self.metrics,
        )

    def _record_peer_version(self, name: str, version: int) -> None:
        self._status.record_version(name, version)
        self._spread.record_peer_version(name, version)

    def _read_version(self) -> int:
        return self._holder.document.version

    def _list_initial_messages(self, name: str) -> list[object]:
        """Return the messages to send first on a new connection to a peer."""
        restate_request = self._dispatcher.build_restate()
        return [
            restate_request,
            *self._scheduler.restate(name),
            *self._crash_exchange.greet(name),
        ]

    def _receive(self, sender: str, message: object) -> None:
        self._route(message, sender)

    @functools.singledispatchmethod
    def _route(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_route.register
    def _(self, message: member_messages.Hello, sender: str) -> None:
        start = incarnations.get_start(message.incarnation)
        self._dispatcher.greet(sender, start)
        self._scheduler.greet(sender, start)
        self._detector.receive(sender, message)

    @_route.register
    def _(self, message: _ShareMessage, sender: str) -> None:
        self._dispatcher.receive(sender, message)
        self._scheduler.receive(sender, message)

    @_route.register
    def _(self, message: _MemberMessage, sender: str) -> None:
        self._detector.receive(sender, message)

    @_route.register
    def _(self, message: _ClaimMessage, sender: str) -> None:
        self._claims.receive(sender, message)

    @_route.register
    def _(self, message: _ConfigurationMessage, sender: str) -> None:
        self._spread.receive(sender, message)

    @_route.register
    def _(self, message: _CrashMessage, sender: str) -> None:
        self._crash_exchange.receive(sender, message)
