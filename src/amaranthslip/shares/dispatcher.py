"""The dispatcher: grants the slots of the backend servers it owns.

It keeps nothing that matters: wants, slots in use and service come from the
entries, which tell all of it again to whoever needs it.
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
# A grant that the entry did not confirm by then is taken back: the link may
# be cut one way, and the slot would stay idle until TCP notices.
_CONFIRM_SECONDS = 1.0
# A tick that comes this late means that this process was paused.
_PAUSE_SECONDS = 1.0
# A wrong claim idles the server for as long: three seconds cost a healed
# partition more than they spared the engines.
_YIELD_SECONDS = 1.0
_PRUNE_SECONDS = 3600.0
_DIGEST_FANOUT = 8


class Dispatcher:
    """Decides which client account gets the next free slot, and where.

    Parameters
    ----------
    settings : Settings
        Uses `instance` and `dispatch`.
    owned : Ownership
        Who owns which backend server, and client accounts' homes.
    holder : Holder
        The configuration in force.
    health : Health
        Which backend servers may be used.
    outbox : object
        `send(instance_name, message) -> bool`.
    metrics : Metrics
        Counts grants and over-admission.
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
        '_silent',
        '_questions',
        '_last_ask',
        '_incarnations',
        '_forgotten',
        '_next_id',
        '_generation',
        '_announced_to',
        '_random',
        '_last_tick',
        '_last_digest',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        owned: ownership.Ownership,
        holder: typing.Any,
        health: typing.Any,
        outbox: typing.Any,
        metrics: metrics_module.Metrics,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._ownership = owned
        self._holder = holder
        self._health = health
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock
        self._random = randomness or random.Random()
        self._services: dict[str, servicequeue.ServiceQueue] = {}
        self._servers: dict[str, slots.Slots] = {}
        self._holdings = holdings.Holdings()
        # Entries that did not confirm a grant in time, and the question
        # whose answer shows that grants reach them again.
        self._silent: dict[str, int] = {}
        self._questions = 0
        self._incarnations: dict[str, int] = {}
        self._forgotten: set[str] = set()
        # Grants of two lives of one instance must not share a number.
        self._next_id = self._random.getrandbits(31) << 32
        self._generation = -1
        self._announced_to: set[str] = set()
        self._last_tick = clock()
        self._last_digest = clock()
        self._last_ask = clock()
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Begin the periodic work."""
        greenlet = gevent.spawn(self._run)
        self._exits.callback(greenlet.kill)

    def close(self) -> None:
        """End the periodic work."""
        self._exits.close()

    def receive(self, sender: str, message: object) -> None:
        """Take one message of `shares.messages` from an entry or a peer."""
        self._follow_ownership()
        if sender in self._forgotten:
            # It was taken for dead and its wants and slots were dropped; the
            # message is only a part of what it has.
            self._forgotten.discard(sender)
            self.ask_again(sender)
        self._take(message, sender)

    def greet(self, sender: str, incarnation: int) -> None:
        """Note a new connection from an entry; a restart empties it."""
        known = self._incarnations.get(sender)
        self._incarnations[sender] = incarnation
        self._forgotten.discard(sender)
        if known is not None and known != incarnation:
            for service in self._services.values():
                service.ledger.forget_reporter(sender)
            self.forget_entry(sender)

    def forget_entry(self, entry: str) -> None:
        """Drop what an entry wanted and held: it died or restarted."""
        self._drop_wants(entry)
        for id in self._holdings.list_entry(entry):
            self._release(id)
        for service in self._services.values():
            service.ledger.forget_running(entry)
        self._grant_all()

    def observe_load(self, report: typing.Any) -> None:
        """Take a load report of an owned backend server."""
        self._follow_ownership()
        owned = self._servers.get(report.server)
        if owned is None:
            return
        owned.observe_load(running=report.running, waiting=report.waiting)
        excess = report.running + report.waiting - owned.limit.slots
        if excess > 0:
            self._metrics.count('over_admission', report.server, excess)
        self._metrics.set_gauge(
            'slots_limit', report.server, owned.limit.value
        )
        self._grant_all()

    def describe(self) -> dict[str, dict[str, typing.Any]]:
        """Return slots in use and limits of owned servers, for status."""
        self._follow_ownership()
        return {
            name: {
                'used': len(owned.holdings),
                'limit': owned.limit.value,
                'slots': owned.limit.slots,
                'external': owned.count_external(),
            }
            for name, owned in self._servers.items()
        }

    def tick(self) -> None:
        """Do the periodic work once."""
        now = self._clock()
        if now - self._last_tick > _PAUSE_SECONDS:
            self._resume_after_pause(now)
        self._last_tick = now
        self._follow_ownership()
        self._take_back_unconfirmed(now)
        if now - self._last_ask >= _CONFIRM_SECONDS:
            self._last_ask = now
            self._ask_silent()
            self._forget_dead()
        self._grant_all()
        self._send_digests(now)
        for name, owned in self._servers.items():
            self._metrics.set_gauge('slots_busy', name, len(owned.holdings))

    def _run(self) -> None:
        while True:
            gevent.sleep(_TICK_SECONDS)
            try:
                self.tick()
            except Exception:
                # One bad tick must not end the dispatcher's periodic work.
                _LOG.exception('dispatch_tick_failed')

    def _resume_after_pause(self, now: float) -> None:
        """Wait and ask again after a pause.

        While this process was stopped, others took its servers over and
        entries ended what they held. It would grant from stale counts;
        instead it grants nothing until the entries told again.
        """
        _LOG.warning(
            'paused', extra={'seconds': round(now - self._last_tick, 1)}
        )
        for owned in self._servers.values():
            owned.open_from = now + self._settings.dispatch.rebuild_seconds
        for name in self._ownership.list_alive():
            self.ask_again(name)

    # -- ownership --------------------------------------------------------

    def _follow_ownership(self) -> None:
        self._ownership.refresh()
        if self._generation == self._ownership.generation:
            return
        self._generation = self._ownership.generation
        alive = set(self._ownership.list_alive())
        newcomers = alive - self._announced_to
        self._announced_to = alive
        owned = {each.name: each for each in self._ownership.list_owned()}
        for name in self._servers.keys() & owned.keys():
            self._announce(name, newcomers)
        for name in self._servers.keys() - owned.keys():
            self._disown(name)
        for server in owned.values():
            if server.name in self._servers:
                self._servers[server.name].limit.configure(server.slots)
            else:
                self._own(server)
        for service in self._services.values():
            # The whole service, not the servers owned here: an owner of one
            # server could else never eject it.
            self._health.set_service(
                server.name
                for server in self._holder.document.backend_servers.values()
                if server.service == service.name
            )

    def _own(self, server: document.BackendServer) -> None:
        """Begin to own a server, and wait for entries to tell of it.

        Its former owner's grants are still in progress. Granting before the
        entries told of them would send the server twice what it batches.
        """
        wait = self._settings.dispatch.rebuild_seconds
        if self._ownership.is_local:
            wait = 0.0
        owned = slots.Slots(
            server.name,
            server.slots,
            open_from=self._clock() + wait,
            fixed=self._ownership.is_local,
            clock=self._clock,
        )
        # An entry that knew of the change first told its slots already.
        for holding in self._holdings.list_server(server.name):
            owned.hold(holding)
        self._servers[server.name] = owned
        self._announce(server.name, self._announced_to)
        self._service(server.service).servers[server.name] = owned
        self._metrics.count('grants', 'owned')

    def _announce(self, server: str, names: set[str]) -> None:
        """Ask all entries for the slots they hold at a server, at once.

        They find out about the change of owner by themselves, seconds apart
        from each other; granting before the last one did sent an engine
        twice what it batches.
        """
        if self._ownership.is_local:
            return
        for name in names:
            self._outbox.send(name, messages.Own(server=server))

    def _yield_server(self, name: str) -> None:
        """Grant nothing at a server for a while: another one took it over.

        The entry heard of the new owner before this dispatcher did. The
        slot that moved is not free; granted again, the engine would get it
        twice until the members' news is here.
        """
        owned = self._servers.get(name)
        if owned is not None:
            owned.open_from = self._clock() + _YIELD_SECONDS

    def _disown(self, name: str) -> None:
        owned = self._servers.pop(name)
        for gauge in ('slots_busy', 'slots_limit'):
            self._metrics.set_gauge(gauge, name, 0)
        for service in self._services.values():
            service.servers.pop(name, None)
        for id in list(owned.holdings):
            self._release(id)

    def _service(self, name: str) -> servicequeue.ServiceQueue:
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
        """Grant free slots, lowest score first, until one side runs out."""
        fraction = self._ownership.fraction()
        while True:
            choice = service.choose(fraction, self._silent)
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
            server=choice.owned.server,
            estimate=demand.estimate,
            granted=self._clock(),
        )
        service.take(demand)
        self._hold(holding, confirmed=False)
        service.ledger.grant(holding.client_account, holding.entry, holding.id)
        self._health.begin(holding.server)
        self._metrics.count('grants', 'granted')
        message = messages.SlotGrant(
            id=holding.id,
            service=service.name,
            client_account=demand.client_account,
            server=holding.server,
            score=service.ledger.read_settled(demand.client_account),
        )
        if not self._outbox.send(demand.entry, message):
            self._release(holding.id)
            self._drop_wants(demand.entry)

    def _hold(self, holding: slots.Holding, *, confirmed: bool) -> None:
        self._holdings.add(holding, confirmed=confirmed)
        owned = self._servers.get(holding.server)
        if owned is not None:
            owned.hold(holding)

    def _release(self, id: int) -> slots.Holding | None:
        holding = self._holdings.remove(id)
        if holding is None:
            return None
        owned = self._servers.get(holding.server)
        if owned is not None:
            owned.free(id)
        self._service(holding.service).ledger.release(
            holding.client_account, holding.entry, holding.id
        )
        return holding

    # -- entries that fall silent -----------------------------------------

    def _take_back_unconfirmed(self, now: float) -> None:
        for holding in self._holdings.list_late(now - _CONFIRM_SECONDS):
            if holding.entry not in self._silent:
                _LOG.warning('entry_silent', extra={'entry': holding.entry})
                self._silent[holding.entry] = 0
            self._release(holding.id)
            self._metrics.count('grants', 'taken_back')

    def _ask_silent(self) -> None:
        """Ask silent entries for everything; the answer ends the silence."""
        for entry in self._silent:
            self._silent[entry] = self.ask_again(entry)

    def ask_again(self, entry: str) -> int:
        """Ask an entry to tell everything again; return the question."""
        question = self.build_question()
        self._outbox.send(entry, question)
        return question.number

    def build_question(self) -> messages.Restate:
        """Return the message that asks an entry to tell everything again.

        It goes first on each new connection to an entry: grants that were
        under way on the lost one may or may not have arrived.
        """
        self._questions += 1
        return messages.Restate(number=self._questions)

    def _forget_dead(self) -> None:
        for entry in self._incarnations.keys() - self._forgotten:
            if self._ownership.is_dead(entry):
                _LOG.info('entry_dead', extra={'entry': entry})
                self._forgotten.add(entry)
                self.forget_entry(entry)

    def _drop_wants(self, entry: str) -> None:
        for service in self._services.values():
            service.drop_wants(entry)

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
        told = self._random.sample(peers, fanout)
        fraction = self._ownership.fraction()
        for service in self._services.values():
            service.ledger.prune(_PRUNE_SECONDS)
            digest = service.build_digest(fraction)
            for name in told if digest else ():
                self._outbox.send(name, digest)

    # -- messages ---------------------------------------------------------

    @functools.singledispatchmethod
    def _take(self, message: object, sender: str) -> None:
        """Take one message; kinds for the entry's part are not for here."""

    @_take.register
    def _(self, message: messages.Want, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)
        service = self._service(message.service)
        account = message.client_account
        unseen = self._holdings.count_unseen(sender, message.service, account)
        service.ledger.know(account, message.hint)
        service.ledger.expect(account, message.estimate)
        service.ledger.report(
            account, sender, running=message.running, seen=message.seen
        )
        began = service.backlog.set(
            sender,
            account,
            count=message.count - unseen,
            since=self._clock() - message.age,
            estimate=message.estimate,
            prefer=message.prefer,
        )
        if began:
            service.ledger.begin(account, message.hint)
        elif not service.backlog.waits(account):
            service.ledger.end(account)
        self._grant_service(service)

    @_take.register
    def _(self, message: messages.Finish, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)
        holding = self._release(message.id)
        if holding is None:
            return
        outcome = outcomes.Outcome(message.outcome)
        if outcome == outcomes.Outcome.MOVED:
            self._yield_server(holding.server)
            return
        self._health.record(holding.server, outcome)
        service = self._service(holding.service)
        if outcome == outcomes.Outcome.UNUSED:
            self._metrics.count('grants', 'unused')
            service.avoid(holding)
        elif message.pace > 0 and holding.server in self._servers:
            limit = self._servers[holding.server].limit
            limit.observe_pace(message.pace)
        self._grant_service(service)

    @_take.register
    def _(self, message: messages.Charge, sender: str) -> None:
        accounts = self._holder.document.client_accounts
        account = accounts.get(message.client_account)
        if account is None:
            return
        self._holdings.confirm(sender, message.seen)
        service = self._service(message.service)
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

    @_take.register
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
        self._hold(holding, confirmed=True)

    @_take.register
    def _(self, message: messages.Reset, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)
        self._drop_wants(sender)
        for id in self._holdings.list_confirmed(sender):
            self._release(id)
        if self._silent.get(sender, 0) == message.answers:
            self._silent.pop(sender, None)

    @_take.register
    def _(self, message: messages.Confirm, sender: str) -> None:
        self._holdings.confirm(sender, message.seen)

    @_take.register
    def _(self, message: messages.Digest, sender: str) -> None:
        service = self._services.get(message.service)
        if service is not None and not service.backlog:
            service.ledger.raise_level(message.level)
