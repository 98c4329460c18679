"""The dispatcher: grants the slots of the backend servers it owns.

The dispatcher holds only soft state. Entries report their demand, the slots
that they use and the service that they delivered, and resend their complete
state on request.
"""

import contextlib
import functools
import logging
import random
import time
import typing

import gevent

from amaranthslip.capacity import slots
from amaranthslip.configuration import document
from amaranthslip import metrics as metrics_module
from amaranthslip.requests import outcomes
from amaranthslip import settings as settings_module
from amaranthslip.shares import holdings
from amaranthslip.shares import ledger
from amaranthslip.shares import messages
from amaranthslip.shares import ownership
from amaranthslip.shares import servicequeue

_LOG = logging.getLogger(__name__)

_TICK_SECONDS = 0.1
# A grant that the entry has not confirmed within this time is revoked: the
# connection may have failed in one direction, and the slot would stay idle
# until TCP detects the failure.
_CONFIRM_SECONDS = 1.0
# A longer interval between two ticks means that the process was paused.
_PAUSE_SECONDS = 1.0
# How long a server gets no grants after an entry reported another owner. If
# that report is wrong, the server stays idle for this time: with 3 s, the idle
# slots after a healed partition cost more than the engine overload avoided.
_SUSPEND_SECONDS = 1.0
_PRUNE_SECONDS = 3600.0
_DIGEST_FANOUT = 8


class Dispatcher:
    """Assigns free slots of the owned backend servers to client accounts.

    Parameters
    ----------
    settings : Settings
        Uses `instance` and `dispatch`.
    owners : Ownership
        The owners of backend servers and the homes of client accounts.
    holder : Holder
        The configuration in force.
    health : Health
        Tells which backend servers may receive requests.
    outbox : object
        `send(instance_name, message) -> bool`.
    metrics : Metrics
        Receives the counts of grants and of requests over the limit.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = (
        '_settings',
        '_ownership',
        '_holder',
        '_health',
        '_outbox',
        '_metrics',
        '_clock',
        '_services',
        '_servers',
        '_holdings',
        '_unresponsive',
        '_restate_number',
        '_last_restate',
        '_incarnations',
        '_removed_entries',
        '_next_id',
        '_generation',
        '_notified_members',
        '_random',
        '_last_tick',
        '_last_digest',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        owners: ownership.Ownership,
        holder: typing.Any,
        health: typing.Any,
        outbox: typing.Any,
        metrics: metrics_module.Metrics,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._ownership = owners
        self._holder = holder
        self._health = health
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock
        self._random = randomness or random.Random()
        self._services: dict[str, servicequeue.ServiceQueue] = {}
        self._servers: dict[str, slots.Slots] = {}
        self._holdings = holdings.Holdings()
        # Entries that did not confirm a grant in time, with the number of
        # the Restate whose answer shows that grants reach the entry again.
        self._unresponsive: dict[str, int] = {}
        self._restate_number = 0
        self._incarnations: dict[str, int] = {}
        self._removed_entries: set[str] = set()
        # Grant ids must differ between two incarnations of one instance.
        self._next_id = self._random.getrandbits(31) << 32
        self._generation = -1
        self._notified_members: set[str] = set()
        self._last_tick = clock()
        self._last_digest = clock()
        self._last_restate = clock()
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Start the greenlet that runs the periodic work."""
        greenlet = gevent.spawn(self._run)
        self._exits.callback(greenlet.kill)

    def close(self) -> None:
        """Stop the greenlet that runs the periodic work."""
        self._exits.close()

    def receive(self, sender: str, message: object) -> None:
        """Handle a message of `shares.messages` from an entry or a peer."""
        self._follow_ownership()
        if sender in self._removed_entries:
            # The demand and slots of this entry were dropped when it was
            # declared dead. One message carries only a part of its state.
            self._removed_entries.discard(sender)
            self.request_restate(sender)
        self._handle(message, sender)

    def greet(self, sender: str, incarnation: int) -> None:
        """Handle a new connection from an entry.

        After a restart of the entry its former state is dropped.
        """
        known = self._incarnations.get(sender)
        self._incarnations[sender] = incarnation
        self._removed_entries.discard(sender)
        if known is not None and known != incarnation:
            for service in self._services.values():
                service.ledger.drop_reporter(sender)
            self.remove_entry(sender)

    def remove_entry(self, entry: str) -> None:
        """Drop the demand and slots of an entry that died or restarted."""
        self._drop_demand(entry)
        for id in self._holdings.list_entry(entry):
            self._release(id)
        for service in self._services.values():
            service.ledger.drop_running(entry)
        self._grant_all()

    def observe_load(self, report: typing.Any) -> None:
        """Process a load report of an owned backend server."""
        self._follow_ownership()
        server_slots = self._servers.get(report.server)
        if server_slots is None:
            return
        server_slots.observe_load(
            running=report.running, waiting=report.waiting
        )
        excess = report.running + report.waiting - server_slots.limit.slots
        if excess > 0:
            self._metrics.count('over_admission', report.server, excess)
        self._metrics.set_gauge(
            'slots_limit', report.server, server_slots.limit.value
        )
        self._grant_all()

    def describe(self) -> dict[str, dict[str, typing.Any]]:
        """Return the slots in use and limits of owned servers for status."""
        self._follow_ownership()
        return {
            name: {
                'used': len(server_slots.holdings),
                'limit': server_slots.limit.value,
                'slots': server_slots.limit.slots,
                'external': server_slots.count_external(),
            }
            for name, server_slots in self._servers.items()
        }

    def tick(self) -> None:
        """Run the periodic work once."""
        now = self._clock()
        if now - self._last_tick > _PAUSE_SECONDS:
            self._resume_after_pause(now)
        self._last_tick = now
        self._follow_ownership()
        self._revoke_unconfirmed(now)
        if now - self._last_restate >= _CONFIRM_SECONDS:
            self._last_restate = now
            self._restate_unresponsive()
            self._remove_dead_entries()
        self._grant_all()
        self._send_digests(now)
        for name, server_slots in self._servers.items():
            self._metrics.set_gauge(
                'slots_busy', name, len(server_slots.holdings)
            )

    def _run(self) -> None:
        while True:
            gevent.sleep(_TICK_SECONDS)
            try:
                self.tick()
            except Exception:
                # An error in one tick must not stop the periodic work.
                _LOG.exception('dispatch_tick_failed')

    def _resume_after_pause(self, now: float) -> None:
        """Suspend grants and request the state of all entries after a pause.

        While this process was stopped, other dispatchers took over its
        servers and requests ended at the entries. The slot counts are stale,
        so nothing is granted for `dispatch.rebuild_seconds`, while the
        entries resend their state.
        """
        _LOG.warning(
            'paused', extra={'seconds': round(now - self._last_tick, 1)}
        )
        for server_slots in self._servers.values():
            server_slots.grants_from = (
                now + self._settings.dispatch.rebuild_seconds
            )
        for name in self._ownership.list_alive():
            self.request_restate(name)

    # -- ownership --------------------------------------------------------

    def _follow_ownership(self) -> None:
        self._ownership.refresh()
        if self._generation == self._ownership.generation:
            return
        self._generation = self._ownership.generation
        alive = set(self._ownership.list_alive())
        joined = alive - self._notified_members
        self._notified_members = alive
        owned = {each.name: each for each in self._ownership.list_owned()}
        for name in self._servers.keys() & owned.keys():
            self._request_held_slots(name, joined)
        for name in self._servers.keys() - owned.keys():
            self._drop_server(name)
        for server in owned.values():
            if server.name in self._servers:
                self._servers[server.name].limit.configure(server.slots)
            else:
                self._take_over(server)
        for service in self._services.values():
            # The ejection limit is a part of the servers of the service. It
            # has to count all of them: from the owned servers alone, the
            # owner of a single server could never eject that server.
            self._health.set_service(
                server.name
                for server in self._holder.document.backend_servers.values()
                if server.service == service.name
            )

    def _take_over(self, server: document.BackendServer) -> None:
        """Add a server to the owned ones, and delay grants at that server.

        Requests that the former owner granted are still in progress. Granting
        before the entries have reported them, for which they get
        `dispatch.rebuild_seconds`, would send the server twice its batch
        size.
        """
        wait = self._settings.dispatch.rebuild_seconds
        if self._ownership.is_local:
            wait = 0.0
        server_slots = slots.Slots(
            server.name,
            server.slots,
            grants_from=self._clock() + wait,
            fixed=self._ownership.is_local,
            clock=self._clock,
        )
        # Entries that detected the change earlier have reported their slots.
        for holding in self._holdings.list_server(server.name):
            server_slots.hold(holding)
        self._servers[server.name] = server_slots
        self._request_held_slots(server.name, self._notified_members)
        self._get_service(server.service).servers[server.name] = server_slots
        self._metrics.count('grants', 'owned')

    def _request_held_slots(self, server: str, names: set[str]) -> None:
        """Ask entries to report the slots that they hold at a server.

        Without this message each entry detects the change of owner by itself,
        with seconds between the first and the last one. Granting before the
        last one had reported sent an engine twice its batch size.
        """
        if self._ownership.is_local:
            return
        for name in names:
            self._outbox.send(name, messages.Own(server=server))

    def _suspend_grants(self, name: str) -> None:
        """Suspend grants at a server that another dispatcher took over.

        The entry detected the new owner before this dispatcher did. The slot
        that moved to the new owner is still in use: granting it again would
        overload the engine until the membership update arrives here.
        """
        server_slots = self._servers.get(name)
        if server_slots is not None:
            server_slots.grants_from = self._clock() + _SUSPEND_SECONDS

    def _drop_server(self, name: str) -> None:
        server_slots = self._servers.pop(name)
        for gauge in ('slots_busy', 'slots_limit'):
            self._metrics.set_gauge(gauge, name, 0)
        for service in self._services.values():
            service.servers.pop(name, None)
        for id in list(server_slots.holdings):
            self._release(id)

    def _get_service(self, name: str) -> servicequeue.ServiceQueue:
        service = self._services.get(name)
        if service is None:
            service_ledger = ledger.Ledger(
                commit_tokens=self._settings.dispatch.commit_tokens,
                clock=self._clock,
            )
            service = self._services[name] = servicequeue.ServiceQueue(
                name,
                service_ledger,
                self._holder,
                self._health,
                self._ownership.find_phase,
                clock=self._clock,
            )
        return service

    # -- granting ---------------------------------------------------------

    def _grant_all(self) -> None:
        for service in self._services.values():
            self._grant_service(service)

    def _grant_service(self, service: servicequeue.ServiceQueue) -> None:
        """Grant free slots, lowest score first, while demand remains."""
        fraction = self._ownership.fraction()
        while True:
            choice = service.choose(fraction, self._unresponsive)
            if choice is None:
                return
            self._grant(service, choice)

    def _grant(
        self,
        service: servicequeue.ServiceQueue,
        choice: servicequeue.Choice,
    ) -> None:
        demand = choice.demand
        self._next_id += 1
        holding = slots.Holding(
            id=self._next_id,
            entry=demand.entry,
            service=service.name,
            client_account=demand.client_account,
            server=choice.server_slots.server,
            estimate=demand.estimate,
            granted=self._clock(),
        )
        service.count_grant(demand)
        self._add_holding(holding, confirmed=False)
        service.ledger.grant(holding.client_account, holding.entry, holding.id)
        self._health.begin(holding.server)
        self._metrics.count('grants', 'granted')
        message = messages.SlotGrant(
            id=holding.id,
            service=service.name,
            client_account=demand.client_account,
            server=holding.server,
            score=service.ledger.read_reported(demand.client_account),
        )
        if not self._outbox.send(demand.entry, message):
            self._release(holding.id)
            self._drop_demand(demand.entry)

    def _add_holding(self, holding: slots.Holding, *, confirmed: bool) -> None:
        self._holdings.add(holding, confirmed=confirmed)
        server_slots = self._servers.get(holding.server)
        if server_slots is not None:
            server_slots.hold(holding)

    def _release(self, id: int) -> slots.Holding | None:
        holding = self._holdings.remove(id)
        if holding is None:
            return None
        server_slots = self._servers.get(holding.server)
        if server_slots is not None:
            server_slots.free(id)
        self._get_service(holding.service).ledger.release(
            holding.client_account, holding.entry, holding.id
        )
        return holding

    # -- unresponsive entries ---------------------------------------------

    def _revoke_unconfirmed(self, now: float) -> None:
        for holding in self._holdings.list_unconfirmed(now - _CONFIRM_SECONDS):
            if holding.entry not in self._unresponsive:
                _LOG.warning('entry_silent', extra={'entry': holding.entry})
                self._unresponsive[holding.entry] = 0
            self._release(holding.id)
            self._metrics.count('grants', 'taken_back')

    def _restate_unresponsive(self) -> None:
        """Request the state of unresponsive entries.

        The answer to the latest request marks the entry responsive again.
        """
        for entry in self._unresponsive:
            self._unresponsive[entry] = self.request_restate(entry)

    def request_restate(self, entry: str) -> int:
        """Ask an entry to resend its complete state.

        Returns
        -------
        int
            The number of the `Restate` sent.
        """
        restate = self.build_restate()
        self._outbox.send(entry, restate)
        return restate.number

    def build_restate(self) -> messages.Restate:
        """Return the message that asks an entry to resend its state.

        It is the first message on each new connection to an entry: grants
        in flight on the former connection may or may not have arrived.
        """
        self._restate_number += 1
        return messages.Restate(number=self._restate_number)

    def _remove_dead_entries(self) -> None:
        for entry in self._incarnations.keys() - self._removed_entries:
            if self._ownership.is_dead(entry):
                _LOG.info('entry_dead', extra={'entry': entry})
                self._removed_entries.add(entry)
                self.remove_entry(entry)

    def _drop_demand(self, entry: str) -> None:
        for service in self._services.values():
            service.drop_entry(entry)

    # -- digests ----------------------------------------------------------

    def _send_digests(self, now: float) -> None:
        if self._ownership.is_local:
            return
        if now - self._last_digest < self._settings.dispatch.digest_seconds:
            return
        self._last_digest = now
        peers = [
            name
            for name in self._ownership.list_alive()
            if name != self._settings.instance.name
        ]
        fanout = min(_DIGEST_FANOUT, len(peers))
        recipients = self._random.sample(peers, fanout)
        fraction = self._ownership.fraction()
        for service in self._services.values():
            service.ledger.prune(_PRUNE_SECONDS)
            digest = service.build_digest(fraction)
            for name in recipients if digest else ():
                self._outbox.send(name, digest)

    # -- messages ---------------------------------------------------------

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        """Handle one message; types meant for the scheduler are ignored."""

    @_handle.register
    def _(self, message: messages.Want, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)
        service = self._get_service(message.service)
        account = message.client_account
        unconfirmed = self._holdings.count_unconfirmed(
            sender, message.service, account
        )
        service.ledger.get_or_create(account, message.hint)
        service.ledger.set_estimate(account, message.estimate)
        service.ledger.report(
            account, sender, running=message.running, seen=message.seen
        )
        became_backlogged = service.backlog.set(
            sender,
            account,
            count=message.count - unconfirmed,
            since=self._clock() - message.age,
            estimate=message.estimate,
            prefer=message.prefer,
        )
        if became_backlogged:
            service.ledger.mark_backlogged(account, message.hint)
        elif not service.backlog.has_waiting(account):
            service.ledger.mark_idle(account)
        self._grant_service(service)

    @_handle.register
    def _(self, message: messages.Finish, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)
        holding = self._release(message.id)
        if holding is None:
            return
        outcome = outcomes.Outcome(message.outcome)
        if outcome == outcomes.Outcome.TRANSFERRED:
            self._suspend_grants(holding.server)
            return
        self._health.record(holding.server, outcome)
        service = self._get_service(holding.service)
        if outcome == outcomes.Outcome.UNUSED:
            self._metrics.count('grants', 'unused')
            service.exclude_declined(holding)
        elif message.pace > 0 and holding.server in self._servers:
            limit = self._servers[holding.server].limit
            limit.observe_pace(message.pace)
        self._grant_service(service)

    @_handle.register
    def _(self, message: messages.Charge, sender: str) -> None:
        accounts = self._holder.document.client_accounts
        account = accounts.get(message.client_account)
        if account is None:
            return
        self._holdings.confirm(sender, message.seen)
        service = self._get_service(message.service)
        service.ledger.charge(
            account.name,
            sender,
            share=account.share,
            total=message.total,
            base=message.base,
            hint=message.hint,
        )
        service.ledger.report(
            account.name, sender, running=message.running, seen=message.seen
        )

    @_handle.register
    def _(self, message: messages.Held, sender: str) -> None:
        if message.id in self._holdings:
            return
        holding = slots.Holding(
            id=message.id,
            entry=sender,
            service=message.service,
            client_account=message.client_account,
            server=message.server,
            estimate=message.estimate,
            granted=self._clock(),
        )
        self._add_holding(holding, confirmed=True)

    @_handle.register
    def _(self, message: messages.Reset, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)
        self._drop_demand(sender)
        for id in self._holdings.list_confirmed(sender):
            self._release(id)
        if self._unresponsive.get(sender, 0) == message.answers:
            self._unresponsive.pop(sender, None)

    @_handle.register
    def _(self, message: messages.Confirm, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)

    @_handle.register
    def _(self, message: messages.Digest, sender: str) -> None:
        service = self._services.get(message.service)
        if service is not None and not service.backlog:
            service.ledger.raise_level(message.level)
