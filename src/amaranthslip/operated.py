"""One instance on a platform whose operator maintains the configuration.

Configuration versions, backend servers and the list of instances come from
the platform's store. Requests are matched to the operator's routes. Each
instance chooses backend servers by itself, based on the load that the
instances report to one another.
"""

import contextlib
import functools
import logging
import time
import typing

import gevent

from amaranthslip.backends import connections
from amaranthslip.backends import idle_limits
from amaranthslip.capacity import coldquotas
from amaranthslip.capacity import coldstarts
from amaranthslip.capacity import directory as directory_module
from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.capacity import software_records
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import messages as configuration_messages
from amaranthslip.configuration import relaying
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip.console import monitoring
from amaranthslip import entries as entries_module
from amaranthslip.entry import accounts
from amaranthslip.entry import continuations
from amaranthslip.entry import crashes
from amaranthslip.entry import forwarding
from amaranthslip.entry import loop_usage
from amaranthslip.entry import overflow
from amaranthslip.entry import peer_forwarding
from amaranthslip.entry import pressure
from amaranthslip.entry import progress as progress_module
from amaranthslip.entry import readiness
from amaranthslip.entry import routed
from amaranthslip.entry import routing
from amaranthslip.entry import server as entry_server
from amaranthslip import following
from amaranthslip.links import links
from amaranthslip.links import sockets
from amaranthslip.members import census
from amaranthslip.members import detector
from amaranthslip.members import equal_parts
from amaranthslip.members import members
from amaranthslip.members import messages as member_messages
from amaranthslip.members import roster
from amaranthslip.members import usage
from amaranthslip.members import usage_messages
from amaranthslip import metrics
from amaranthslip.platform import coldquotas as stored_coldquotas
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined
from amaranthslip.platform import quarantined_parts
from amaranthslip.platform import softwareversions
from amaranthslip.platform import storedstreams
from amaranthslip.requests import budget
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import crash_messages
from amaranthslip.requests import part_exchange
from amaranthslip.requests import part_messages
from amaranthslip.requests import part_trials
from amaranthslip.requests import quarantine
from amaranthslip.requests import return_exchange
from amaranthslip.requests import return_messages
from amaranthslip.requests import stream_messages
from amaranthslip.requests import stream_records
from amaranthslip.requests import stream_versions
from amaranthslip.requests import suspects
from amaranthslip import settings as settings_module
from amaranthslip.shares import demand
from amaranthslip.shares import demand_reports
from amaranthslip.shares import keepers
from amaranthslip.shares import load_messages
from amaranthslip.shares import placement
from amaranthslip.shares import server_estimates

_LOG = logging.getLogger(__name__)

_KeeperMessage = (
    load_messages.PlaceAsk
    | load_messages.PlaceAnswer
    | load_messages.PlaceStarted
    | load_messages.PlaceEnded
    | load_messages.PlacesHeld
    | load_messages.ServerEjected
)
_CrashMessage = crash_messages.CrashReports | crash_messages.RequestCompleted
_PartMessage = part_messages.SuspectReports | part_messages.PartCompleted
_StreamMessage = (
    stream_messages.StreamBegun
    | stream_messages.StreamQuery
    | stream_messages.StreamAnswer
    | stream_messages.SoftwareVersions
)
_UsageMessage = usage_messages.InstanceUsage | usage_messages.IdlePeers
_ReturnMessage = (
    return_messages.TurnKept
    | return_messages.TurnAsk
    | return_messages.TurnAnswer
)
_DemandMessage = load_messages.DemandReport | load_messages.DemandLevel
_MemberMessage = (
    member_messages.Probe
    | member_messages.ProbeAnswer
    | member_messages.ProbeRequest
)
# Seconds between checks for removed backend servers, whose idle connections
# are then closed.
_CLEANUP_SECONDS = 2.0

# Seconds for a connection to another instance: a request whose peer can't be
# reached waits for so long before it runs here.
_PEER_CONNECT_SECONDS = 0.1


class OperatedRouter:
    """One instance: callers' entry, membership and operators' port.

    Parameters
    ----------
    settings : Settings
        The settings of this process.
    """

    __slots__ = (
        '_settings',
        '_exits',
        '_holder',
        '_roster',
        '_links',
        '_detector',
        '_directory',
        '_engines',
        '_keepers',
        '_reports',
        '_relaying',
        '_freshness',
        '_follower',
        '_instances',
        '_quarantine',
        '_stored_quarantine',
        '_crash_exchange',
        '_suspects',
        '_stored_parts',
        '_part_exchange',
        '_stored_quotas',
        '_cold_starts',
        '_quota_assigner',
        '_reader',
        '_software_recorder',
        '_stream_records',
        '_stream_recorder',
        '_stream_versions',
        '_returns',
        '_progress',
        '_pressure',
        '_connections',
        '_peer_connections',
        '_crash_detector',
        '_entry',
        '_readiness',
        '_monitoring',
        'loop_usage',
        'overflow',
        'usage_exchange',
        'metrics',
    )

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._exits = contextlib.ExitStack()
        self.metrics = metrics.Metrics()
        self._holder = holder_module.Holder()
        self._freshness = freshness_module.Freshness()
        staleness = staleness_module.Staleness(settings)
        self._directory = directory_module.Directory(
            read_settle_seconds=lambda: staleness.settle_seconds
        )
        self._progress = progress_module.Progress()
        self._build_membership()
        self._build_entry()
        self._monitoring = monitoring.Monitoring(
            settings, self.is_ready, self._describe_status, self.metrics
        )

    def _build_membership(self) -> None:
        settings = self._settings
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
        staleness = staleness_module.Staleness(settings)
        self._relaying = relaying.Relaying(
            self._roster, self._links, self._freshness, staleness
        )
        self._instances = instances.StoredInstances(
            settings, key_value, has_follower=True
        )
        self._build_quarantine(key_value)
        self._build_cold_starts(key_value)
        stored_versions = softwareversions.StoredVersions(
            settings, key_value, self._directory.software
        )
        self._stream_records = stream_records.StreamRecords()
        stored_streams = storedstreams.StoredStreams(
            settings, key_value, self._stream_records
        )
        self._stream_recorder = stream_records.StreamRecorder(
            self._stream_records,
            self._directory.software,
            self._roster,
            stored_streams,
        )
        self._software_recorder = software_records.SoftwareRecorder(
            self._holder,
            self._directory.software,
            self._roster,
            stored_versions,
        )
        self._follower = following.Follower(
            staleness,
            key_value,
            entries_module.Entries(
                self._holder,
                self._directory,
                self._instances,
                (self._stored_quarantine, self._stored_parts),
                self._stored_quotas,
                stored_versions,
                stored_streams,
                self.metrics,
            ),
            self._freshness,
            self._relaying,
            self.metrics,
        )
        self._detector = detector.Detector(
            settings,
            self._roster,
            self._links,
            self.metrics,
            instance_list=self._instances,
        )

    def _build_quarantine(self, key_value: keyvalue.KeyValue) -> None:
        self._quarantine = quarantine.Quarantine()
        self._stored_quarantine = quarantined.StoredQuarantine(
            self._settings, key_value, self._quarantine
        )
        self._crash_exchange = crash_exchange.CrashExchange(
            self._roster,
            self._links,
            self._quarantine,
            self._stored_quarantine,
            self.metrics,
        )
        self._suspects = suspects.Suspects()
        self._stored_parts = quarantined_parts.StoredParts(
            self._settings, key_value, self._suspects
        )
        self._part_exchange = part_exchange.PartExchange(
            self._roster,
            self._links,
            self._suspects,
            self._stored_parts,
            part_trials.PartTrials(
                self._stored_parts, self._suspects.read_clock
            ),
            self.metrics,
        )

    def _build_cold_starts(self, key_value: keyvalue.KeyValue) -> None:
        self._stored_quotas = stored_coldquotas.StoredQuotas(
            self._settings, key_value
        )
        self._cold_starts = coldstarts.ColdStarts(
            self._roster.member.name,
            self._settings,
            self._directory,
            self._holder,
            self._stored_quotas,
            self._freshness,
        )
        self._quota_assigner = coldquotas.QuotaAssigner(
            self._roster,
            self._directory,
            self._cold_starts,
            self._stored_quotas,
        )

    def _build_entry(self) -> None:
        settings = self._settings
        outliers = outliers_module.Outliers(self.metrics)
        self._pressure = pressure.LagMonitor(settings)
        self._engines = engines_module.Engines(
            self._directory,
            outliers,
            cold_starts=self._cold_starts,
            adaptive=settings.capacity.adaptive,
        )
        demands = demand.Demand(lambda: settings.bounds.share_window_seconds)
        server_placement = placement.Placement(
            settings.instance.failure_domain,
            self._holder,
            self._engines,
            outliers,
            demands,
            regions=settings.instance.regions,
        )
        self._returns = return_exchange.ReturnExchange(
            self._roster,
            self._links,
            demands.read_share_rate,
            self.metrics,
            read_lag=self._pressure.read_lag,
        )
        self._keepers = keepers.Keepers(
            self._roster,
            self._links,
            server_placement,
            self._engines,
            outliers,
            self.metrics,
            returns=(self._returns if settings.capacity.keep_turns else None),
            read_lag=self._pressure.read_lag,
        )
        self._reports = demand_reports.DemandReports(
            self._roster,
            self._links,
            demands,
            self._holder,
            count_servers=self._keepers.count_servers,
            estimates=server_estimates.ServerEstimates(
                self._engines,
                self._keepers.find_keeper,
                self._roster.member.name,
            ),
        )
        limits = idle_limits.IdleLimits(
            self._holder,
            self._engines,
            lambda: len(self._roster.list_live()),
        )
        self._connections = connections.Connections(
            settings, read_idle_limit=limits.read
        )
        self._crash_detector = crashes.CrashDetector(
            self._connections, self._directory.get
        )
        self._reader = routed.RouteResolver(
            settings,
            self._freshness,
            is_overloaded=lambda: self._pressure.overloaded,
        )
        self._stream_versions = stream_versions.StreamVersions(
            settings,
            self._roster,
            self._links,
            self._directory.software,
            lambda: self._freshness.age,
            self._stream_records,
            list_names=self._instances.list_present,
        )
        request_forwarding = forwarding.Forwarder(
            settings,
            self._reader,
            self._keepers,
            demands,
            self._build_retry_budget(),
            self._directory,
            self._cold_starts,
            self._connections,
            crashes.CrashGuard(
                self._crash_detector,
                self._crash_exchange,
                self.metrics,
                part_exchange=self._part_exchange,
            ),
            continuations.Continuations(self._stream_versions, self.metrics),
            self.metrics,
            read_batch_seconds=lambda: self._pressure.hold_seconds,
        )
        self._build_overflow()
        application = routing.RoutedApplication(
            settings,
            accounts.AccountIndexCache(self._holder),
            self._reader,
            request_forwarding,
            peer_forwarding.PeerForwarder(
                settings,
                self._roster,
                self.overflow,
                self._peer_connections,
                self.metrics,
                self._directory,
                read_batch_seconds=lambda: self._pressure.max_hold_seconds,
            ),
            self._pressure,
            self.metrics,
            self._progress,
            is_ready=self.is_ready,
        )
        self._entry = entry_server.Server(
            settings.addresses.callers,
            application,
            settings,
            self.metrics,
            self._progress,
            refuses_connection=self.overflow.refuses_connection,
        )
        self._readiness = readiness.Readiness(settings, self.is_ready)

    def _build_retry_budget(self) -> budget.FleetBudget:
        settings = self._settings
        part = equal_parts.EqualPart(
            settings,
            self._roster.member.name,
            budget.compute_charged_seconds(settings),
            census.Census(self._roster, self._instances.list_names),
            self._instances,
            self._freshness,
        )
        return budget.FleetBudget(
            settings, part, self.metrics, read_lag=self._pressure.read_lag
        )

    def _build_overflow(self) -> None:
        self._peer_connections = connections.Connections(
            self._settings.replace_section(
                'backends', connect_seconds=_PEER_CONNECT_SECONDS
            )
        )
        self.overflow = overflow.Overflow(
            lambda: self.loop_usage.fraction,
            read_lag=lambda: self._pressure.read_lag(),
            read_max_lag=lambda: self._settings.limits.behind_seconds,
            is_live=self._is_alive,
        )
        self.loop_usage = loop_usage.LoopUsage(on_sample=self.overflow.adjust)
        self.usage_exchange = usage.UsageExchange(
            self._roster,
            self._links,
            usage.UsageTable(overflow.MAX_TAKING_USAGE),
            read_usage=self._read_reported_usage,
            read_address=self._read_callers_address,
            is_enabled=self._has_peers,
            on_peers=self.overflow.set_peers,
        )

    def _read_reported_usage(self) -> float:
        """Return the usage that is reported; 1 if nothing could be served.

        Refusing takes little time, and would attract requests of others.
        """
        return self.loop_usage.fraction if self.is_ready() else 1.0

    def _read_callers_address(self) -> str:
        """Return where other instances reach this one's entry."""
        host, _ = sockets.split_address(self._roster.member.address)
        return sockets.join_address((host, self.callers_port))

    def _is_alive(self, name: str) -> bool:
        """Return whether an instance is in service and not suspected."""
        member = self._roster.get(name)
        return member is not None and member.state is members.MemberState.ALIVE

    def _has_peers(self) -> bool:
        """Return whether there are other instances to pass requests to."""
        return len(self._roster.list_live()) > 1

    @property
    def callers_port(self) -> int:
        """The port in use for callers; never 0."""
        return self._entry.server_port

    @property
    def operators_address(self) -> str:
        """The address for operators, as `IP:port`."""
        return self._monitoring.address

    @property
    def readiness_address(self) -> str:
        """The address of the load balancer's readiness check, as `IP:port`."""
        return self._readiness.address

    @property
    def version(self) -> int:
        """The version of the configuration that is in force."""
        return self._holder.document.version

    @property
    def reaches_store(self) -> bool:
        """Whether the store answered the most recent call."""
        return self._follower.reaches_store

    def read_revision(self) -> int | None:
        """Return the store revision up to which all changes are applied."""
        return self._follower.revision

    def start(self) -> None:
        """Start all components, with the callers' entry last."""
        for part in (
            self._links,
            self._detector,
            self._follower,
            self._reports,
            self._monitoring,
            self._readiness,
            self._pressure,
            self.loop_usage,
            self.usage_exchange,
        ):
            part.start()
            self._exits.callback(part.close)
        for task in (
            functools.partial(
                self._instances.keep_listed, self._roster.member
            ),
            self._stored_quarantine.run,
            self._stored_parts.run,
            self._quota_assigner.run,
            self._software_recorder.run,
            self._stream_recorder.run,
            self._stream_versions.run,
            self._keepers.grants.run,
            self._clean_up,
        ):
            self._exits.callback(gevent.spawn(task).kill)
        self._exits.callback(self._connections.close)
        self._exits.callback(self._peer_connections.close)
        self._exits.callback(self._crash_detector.close)
        self._entry.start()
        self._exits.callback(self._entry.stop, timeout=0)
        _LOG.info(
            'router_started',
            extra={'callers': self._settings.addresses.callers},
        )

    def is_ready(self) -> bool:
        """Return whether a load balancer should send new callers here."""
        return (
            not self._progress.stopping
            and self._holder.ready
            and len(self._directory) > 0
            and self._reader.has_trusted_keys()
            and not self._pressure.overloaded
        )

    def stop(self) -> bool:
        """Stop gracefully, after the requests in progress have ended.

        The instance reports that it is not ready, but continues to accept
        requests for `shutdown.notice_seconds`, so that the load balancer and
        the callers can switch to other instances.

        Returns
        -------
        bool
            Whether all requests ended within `shutdown.finish_seconds`.
        """
        shutdown = self._settings.shutdown
        deadline = time.monotonic() + shutdown.finish_seconds
        _LOG.info(
            'router_stopping',
            extra={'requests': self._progress.count_requests()},
        )
        self._progress.stopping = True
        gevent.sleep(shutdown.notice_seconds)
        self._progress.refusing = True
        self._detector.leave()
        finished = self._progress.wait(max(0.0, deadline - time.monotonic()))
        if not finished:
            self._progress.end_waits(progress_module.LAST_ANSWERS_SECONDS)
        _LOG.info('router_stopped', extra={'finished': finished})
        self.close()
        return finished

    def close(self) -> None:
        """Close all components immediately."""
        self._exits.close()

    def reload(self, settings: settings_module.Settings) -> None:
        """Apply the reloadable sections of changed settings.

        Addresses are only read at the start.
        """
        for name in settings_module.RELOADABLE_SECTIONS:
            setattr(self._settings, name, getattr(settings, name))
        self._apply_caller_limits()
        _LOG.info('settings_reloaded')

    def _clean_up(self) -> None:
        generation = -1
        while True:
            generation = self._holder.wait(
                generation, timeout=_CLEANUP_SECONDS
            )
            self._apply_caller_limits()
            self._keepers.drop_expired()
            servers = self._directory.list_all()
            self._connections.close_others([each.address for each in servers])
            self._peer_connections.close_others(self.overflow.list_addresses())
            self._connections.close_stale()

    def _apply_caller_limits(self) -> None:
        limits = self._holder.document.caller_limits
        if limits is None:
            return
        self._settings.limits = self._settings.limits.replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            keep_alive_seconds=limits.idle_seconds,
        )

    def _describe_status(self) -> dict[str, typing.Any]:
        """Return the status as JSON values."""
        return {
            'instance': self._roster.member.name,
            'ready': self.is_ready(),
            'version': self._holder.document.version,
            'confirmed_seconds_ago': round(min(self._freshness.age, 1e9), 3),
            'usage': round(self.loop_usage.fraction, 3),
            'passed_fraction': round(self.overflow.fraction, 3),
            'reaches_store': self._follower.reaches_store,
            'evacuated': self._directory.list_evacuated(),
            'members': [each.describe() for each in self._roster],
            'quarantined': [
                each.hex() for each in self._quarantine.list_quarantined()
            ],
            'quarantined_parts': [
                each.hex() for each in self._suspects.list_quarantined()
            ],
            'backend_servers': [
                {
                    'name': each.server.name,
                    'service': each.server.service,
                    'leaving': each.server.leaving,
                    'cold_seconds': round(
                        self._cold_starts.read_remaining(each.server), 3
                    ),
                    'running': each.running,
                    'running_anywhere': each.total_running,
                    'tokens_a_second': round(each.queue.rate),
                    'estimate': self._describe_estimate(each),
                }
                for each in self._engines.list_all()
            ],
        }

    def _describe_estimate(
        self, engine: engines_module.Engine
    ) -> dict[str, typing.Any] | None:
        """Return what a server is estimated to manage, as JSON values.

        None if its capacity is not learnt.
        """
        if not engine.adaptive:
            return None
        return engine.estimate.describe(time.monotonic()) | {
            'keeper': self._keepers.find_keeper(engine.server.name),
        }

    def _list_initial_messages(self, name: str) -> list[object]:
        """Return the messages to send first on a new connection to a peer."""
        return [
            *self._crash_exchange.greet(name),
            *self._part_exchange.greet(name),
            *self._stream_versions.greet(name),
            *self._keepers.grants.greet(name),
        ]

    def _receive(self, sender: str, message: object) -> None:
        self._route(message, sender)

    @functools.singledispatchmethod
    def _route(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_route.register
    def _(self, message: member_messages.Hello, sender: str) -> None:
        self._keepers.forget_peer(sender)
        self._relaying.forget(sender)
        self._detector.receive(sender, message)

    @_route.register
    def _(self, message: _MemberMessage, sender: str) -> None:
        self._detector.receive(sender, message)

    @_route.register
    def _(self, message: _KeeperMessage, sender: str) -> None:
        self._keepers.receive(sender, message)

    @_route.register
    def _(self, message: _StreamMessage, sender: str) -> None:
        self._stream_versions.receive(sender, message)

    @_route.register
    def _(self, message: _UsageMessage, sender: str) -> None:
        self.usage_exchange.receive(sender, message)

    @_route.register
    def _(self, message: _ReturnMessage, sender: str) -> None:
        self._returns.receive(sender, message)

    @_route.register
    def _(self, message: _DemandMessage, sender: str) -> None:
        self._reports.receive(sender, message)

    @_route.register
    def _(self, message: _CrashMessage, sender: str) -> None:
        self._crash_exchange.receive(sender, message)

    @_route.register
    def _(self, message: _PartMessage, sender: str) -> None:
        self._part_exchange.receive(sender, message)

    @_route.register
    def _(
        self, message: configuration_messages.StoreChanges, sender: str
    ) -> None:
        self._follower.receive_changes(sender, message)

    @_route.register
    def _(
        self, message: configuration_messages.StoreStamp, sender: str
    ) -> None:
        self._follower.receive_stamp(sender, message)

    @_route.register
    def _(
        self, message: configuration_messages.StoreUnreachable, sender: str
    ) -> None:
        self._follower.receive_store_loss(sender)
