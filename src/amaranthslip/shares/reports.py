"""Demand of the whole fleet, by reports to one instance that adds it up."""

import contextlib
import functools
import logging
import typing

import gevent

from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import activity
from amaranthslip.shares import demand as demand_module

_LOG = logging.getLogger(__name__)

_PURPOSE = 'demand'
# Seconds between reports, at least, and so that the one who adds them up gets
# this many a second, and answers as many: some 4 % of a core.
_LEAST_SECONDS = 0.1
_REPORTS_PER_SECOND = 170.0
# Seconds after which a level is no longer believed: whoever told it is gone.
_LEVEL_SECONDS = 3.0


class DemandReports:
    """Tells what this instance's callers ask for, and learns the fair share.

    Parameters
    ----------
    roster : Roster
        Who is alive; one of them adds up.
    outbox : object
        `send(name, message) -> bool`.
    demand : Demand
        This instance's, and the fleet's where it adds up.
    holder : Holder
        The configuration in force: accounts' names, and `token_rate`.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_demand',
        '_holder',
        '_names',
        '_generation',
        '_told',
        '_reported',
        '_exits',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        demand: demand_module.Demand,
        holder: typing.Any,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._demand = demand
        self._holder = holder
        self._names: dict[int, str] = {}
        self._generation = -1
        # By sender and account: what it told last.
        self._told: dict[str, dict[int, activity.AccountDemand]] = {}
        self._reported: dict[str, tuple[float, float]] = {}
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Begin to report."""
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop reporting."""
        self._exits.close()

    def greet(self, name: str) -> None:
        """Count an instance's totals from its next report on."""
        self._told.pop(name, None)

    def _run(self) -> None:
        while True:
            count = len(self._roster.live())
            gevent.sleep(max(_LEAST_SECONDS, count / _REPORTS_PER_SECOND))
            try:
                self.report()
            except Exception:
                # One report that fails must not end them for good.
                _LOG.exception('report_failed')

    def find_adder(self) -> str:
        """Return the instance that adds up, by rendezvous hashing."""
        own = self._roster.member.name
        names = [each.name for each in self._roster.live()] or [own]
        return max(names, key=lambda name: identity.rank(_PURPOSE, name))

    def report(self) -> None:
        """Report what changed since the last time, if anything did."""
        adder = self.find_adder()
        if adder == self._roster.member.name:
            self._demand.use_own_level()
            return
        self._follow_accounts()
        changed = []
        for name, totals in self._demand.own.items():
            values = (totals.asked, totals.granted)
            if self._reported.get(name) == values:
                continue
            self._reported[name] = values
            changed.append(
                activity.AccountDemand(
                    account=identity.identify(name),
                    asked=totals.asked,
                    granted=totals.granted,
                )
            )
        if changed:
            self._outbox.send(adder, activity.DemandReport(accounts=changed))

    def receive(self, sender: str, message: object) -> None:
        """Take a report, or the answer to one."""
        self._take(message, sender)

    @functools.singledispatchmethod
    def _take(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_take.register
    def _(self, message: activity.DemandReport, sender: str) -> None:
        self._follow_accounts()
        told = self._told.setdefault(sender, {})
        for new in message.accounts:
            old = told.get(new.account)
            told[new.account] = new
            name = self._names.get(new.account)
            if name is None or old is None:
                continue
            self._demand.add_foreign(
                name,
                asked=max(0.0, new.asked - old.asked),
                granted=max(0.0, new.granted - old.granted),
            )
        self._answer(sender, message)

    def _answer(self, sender: str, message: activity.DemandReport) -> None:
        level = self._demand.read_level(self._holder.document.token_rate)
        accounts = []
        for each in message.accounts:
            totals = self._demand.read_totals(
                self._names.get(each.account, '')
            )
            accounts.append(
                activity.AccountDemand(
                    account=each.account,
                    asked=totals.asked,
                    granted=totals.granted,
                )
            )
        finite = level if level < float('inf') else 0.0
        self._outbox.send(
            sender, activity.DemandLevel(level=finite, accounts=accounts)
        )

    @_take.register
    def _(self, message: activity.DemandLevel, sender: str) -> None:
        self._follow_accounts()
        totals = {
            self._names[each.account]: demand_module.Totals(
                each.asked, each.granted
            )
            for each in message.accounts
            if each.account in self._names
        }
        self._demand.hear_level(
            message.level or float('inf'), totals, seconds=_LEVEL_SECONDS
        )

    def _follow_accounts(self) -> None:
        if self._generation == self._holder.generation:
            return
        self._generation = self._holder.generation
        accounts = self._holder.document.client_accounts
        self._names = {identity.identify(name): name for name in accounts}
