"""Demand reports: one instance aggregates the demand of the whole fleet.

Each instance reports its own window, whole, at regular intervals, also if
nothing has changed. The answer holds the fleet's level and the accounts that
were granted much, whether the instance has had their requests or not.
"""

import contextlib
import functools
import heapq
import logging
import math
import typing

import gevent

from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import demand as demand_module
from amaranthslip.shares import fleet_windows
from amaranthslip.shares import load_messages
from amaranthslip.shares import server_estimates

_LOG = logging.getLogger(__name__)

_RENDEZVOUS_KEY = 'demand'
# Minimum seconds between an instance's reports, and the number of reports per
# second from all instances that the aggregating instance receives and answers.
_MIN_INTERVAL_SECONDS = 0.1
_MAX_REPORTS_PER_SECOND = 170.0
# Seconds after a report for which its answer is valid: after that the instance
# that sent it is considered lost.
_LEVEL_TTL_SECONDS = 3.0
# Maximum number of accounts that an answer holds besides those of the report:
# the ones that were granted most, and at least this fraction of the level.
# Any other account is well within its share.
_MAX_LISTED_ACCOUNTS = 64
_MIN_LISTED_FRACTION = 0.25
# Fraction of the live instances whose windows have to be known before a level
# is computed from them: a share of few instances' demand is too small.
_MIN_KNOWN_FRACTION = 0.5
# Minimum seconds between log lines of the level, which is logged only while
# there is contention.
_LOG_INTERVAL_SECONDS = 1.0
# Number of accounts whose tokens that line tells: those granted most.
_MAX_LOGGED_ACCOUNTS = 6


class DemandReports:
    """Reports this instance's demand, and receives the fair share level.

    Parameters
    ----------
    roster : Roster
        The live instances; one of them aggregates all reports.
    outbox : object
        `send(name, message) -> bool`.
    demand : Demand
        The demand of this instance, and of the fleet if this instance
        aggregates it.
    holder : Holder
        The configuration in force: accounts' names.
    count_servers : callable
        Returns the number of servers that this instance keeps, and how many
        of them are busy.
    estimates : ServerEstimates or None
        Estimates of servers, which the messages carry too.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_demand',
        '_holder',
        '_count_servers',
        '_estimates',
        '_account_names',
        '_configuration_generation',
        '_listed_demand',
        '_most_granted',
        '_next_log_at',
        '_exits',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        demand: demand_module.Demand,
        holder: typing.Any,
        *,
        count_servers: typing.Callable[[], tuple[int, int]],
        estimates: server_estimates.ServerEstimates | None = None,
    ) -> None:
        self._estimates = estimates
        self._count_servers = count_servers
        self._roster = roster
        self._outbox = outbox
        self._demand = demand
        self._holder = holder
        self._account_names: dict[int, str] = {}
        self._configuration_generation = -1
        # The demand that `_most_granted` was listed from.
        self._listed_demand: demand_module.FleetDemand | None = None
        self._most_granted: dict[str, fleet_windows.TokenTotals] = {}
        self._next_log_at = float('-inf')
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Start the periodic reports."""
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop the periodic reports."""
        self._exits.close()

    def _run(self) -> None:
        while True:
            try:
                self.report()
            except Exception:
                # One failed report must not end the periodic reports.
                _LOG.exception('report_failed')
            gevent.sleep(self.read_interval())

    def read_interval(self) -> float:
        """Return the seconds between two reports of an instance."""
        count = len(self._roster.list_live())
        return max(_MIN_INTERVAL_SECONDS, count / _MAX_REPORTS_PER_SECOND)

    def find_aggregator(self) -> str:
        """Return the aggregating instance, by rendezvous hashing."""
        return self._roster.find_first(_RENDEZVOUS_KEY)

    def report(self) -> None:
        """Report this instance's window to the aggregating instance."""
        self._demand.note_servers(*self._count_servers())
        aggregator = self.find_aggregator()
        if aggregator == self._roster.member.name:
            if self._knows_fleet():
                self._demand.use_local_level()
                self._log_level()
            return
        report = self._demand.build_report()
        self._outbox.send(
            aggregator,
            load_messages.DemandReport(
                number=report.number,
                accounts=_encode_totals(report.totals),
                servers=round(report.servers.count),
                busy_servers=round(report.servers.busy),
                estimates=(
                    self._estimates.list_kept() if self._estimates else ()
                ),
            ),
        )

    def _knows_fleet(self) -> bool:
        """Return whether the windows of enough instances are known.

        An instance that has just become the aggregating one lets the others
        use what its predecessor answered, until they have reported to it.
        """
        known = self._demand.reported.count_instances() + 1
        return known >= _MIN_KNOWN_FRACTION * len(self._roster.list_live())

    def _log_level(self) -> None:
        now = self._demand.read_clock()
        if now < self._next_log_at:
            return
        demand = self._demand.read_fleet_demand()
        if demand.level == float('inf'):
            return
        self._next_log_at = now + _LOG_INTERVAL_SECONDS
        _LOG.info(
            'fair_share',
            extra={
                'share_tokens': int(demand.level),
                'asked_tokens': int(demand.asked),
                'granted_tokens': int(demand.granted),
                'servers_busy': round(demand.busy, 2),
                'client_accounts': len(demand.totals),
                'most_granted': _describe_most_granted(demand),
            },
        )

    def receive(self, sender: str, message: object) -> None:
        """Handle a report, or the answer to one."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_handle.register
    def _(self, message: load_messages.DemandReport, sender: str) -> None:
        self._demand.reported.put(
            sender,
            self._decode_totals(message.accounts),
            fleet_windows.ServerTotals(message.servers, message.busy_servers),
        )
        if self._estimates is not None:
            self._estimates.receive(message.estimates)
        if self._knows_fleet():
            self._answer(sender, message)

    def _answer(
        self, sender: str, message: load_messages.DemandReport
    ) -> None:
        demand = self._demand.read_fleet_demand()
        totals = dict(self._find_most_granted(demand))
        for each in message.accounts:
            name = self._account_names.get(each.account)
            if name is not None and name not in totals:
                totals[name] = self._demand.read_totals(name)
        self._outbox.send(
            sender,
            load_messages.DemandLevel(
                number=message.number,
                level=_encode(demand.level),
                accounts=_encode_totals(totals),
                estimates=(
                    self._estimates.list_for(sender) if self._estimates else ()
                ),
            ),
        )

    def _find_most_granted(
        self, demand: demand_module.FleetDemand
    ) -> dict[str, fleet_windows.TokenTotals]:
        """Return the accounts that any instance may have to hold back."""
        if demand is not self._listed_demand:
            least = _MIN_LISTED_FRACTION * demand.level
            self._listed_demand = demand
            self._most_granted = {
                name: totals
                for name, totals in _list_most_granted(
                    demand, _MAX_LISTED_ACCOUNTS
                )
                if totals.granted >= least
            }
        return self._most_granted

    @_handle.register
    def _(self, message: load_messages.DemandLevel, sender: str) -> None:
        if self._estimates is not None:
            self._estimates.receive(message.estimates)
        self._demand.set_fleet_level(
            message.level or float('inf'),
            self._decode_totals(message.accounts),
            seconds=_LEVEL_TTL_SECONDS,
            number=message.number,
        )

    def _decode_totals(
        self, accounts: typing.Iterable[load_messages.AccountDemand]
    ) -> dict[str, fleet_windows.TokenTotals]:
        self._refresh_account_names()
        return {
            self._account_names[each.account]: fleet_windows.TokenTotals(
                each.asked, each.granted
            )
            for each in accounts
            if each.account in self._account_names
        }

    def _refresh_account_names(self) -> None:
        if self._configuration_generation == self._holder.generation:
            return
        self._configuration_generation = self._holder.generation
        accounts = self._holder.document.client_accounts
        self._account_names = {
            identity.hash_name(name): name for name in accounts
        }


def _list_most_granted(
    demand: demand_module.FleetDemand, count: int
) -> list[tuple[str, fleet_windows.TokenTotals]]:
    return heapq.nlargest(
        count, demand.totals.items(), key=lambda item: item[1].granted
    )


def _describe_most_granted(demand: demand_module.FleetDemand) -> str:
    """Return `account:granted/asked` of the accounts granted most."""
    return ','.join(
        f'{name}:{totals.granted:.0f}/{totals.asked:.0f}'
        for name, totals in _list_most_granted(demand, _MAX_LOGGED_ACCOUNTS)
    )


def _encode_totals(
    totals: typing.Mapping[str, fleet_windows.TokenTotals],
) -> list[load_messages.AccountDemand]:
    return [
        load_messages.AccountDemand(
            account=identity.hash_name(name),
            asked=each.asked,
            granted=each.granted,
        )
        for name, each in totals.items()
    ]


def _encode(value: float) -> float:
    """Return a value as it is sent: 0 for infinity."""
    return value if math.isfinite(value) else 0.0
