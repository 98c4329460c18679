"""Exchange: the instances tell one another what they sent and for whom."""

import collections
import contextlib
import logging
import typing

import gevent

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import activity
from amaranthslip.shares import demand as demand_module

_LOG = logging.getLogger(__name__)

# Seconds between messages to each peer, while there is news. A twentieth of a
# second at 8 instances, so that their choices follow one another within one
# step of an engine; longer for more, so that an instance sends 140 messages
# a second at most, some 1 % of a core.
_LEAST_INTERVAL_SECONDS = 0.05
_MOST_MESSAGES_PER_SECOND = 140.0
# Seconds after which everything is told anew, changed or not: a message may
# have been dropped with its connection.
_WHOLE_SECONDS = 1.0
# Stamps kept of each peer, to find the newest from before a confirmation.
_STAMPS = 64


class _Told:
    """What one peer said last, by server and account."""

    __slots__ = ('servers', 'accounts', 'stamps')

    def __init__(self) -> None:
        self.servers: dict[int, activity.ServerActivity] = {}
        self.accounts: dict[int, activity.AccountActivity] = {}
        # When a stamp came, on this instance's clock, and the stamp.
        self.stamps: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_STAMPS
        )

    def find_stamp(self, before: float) -> int:
        """Return the newest stamp that came before a moment; 0: none."""
        for came, stamp in reversed(self.stamps):
            if came <= before:
                return stamp
        return 0


class Exchange:
    """Sends this instance's activity to its peers and takes theirs.

    Totals only grow, so that a message lost or told twice does no harm; a
    peer that restarts is greeted, and counted from its first message on.

    Parameters
    ----------
    roster : Roster
        Who is alive.
    outbox : object
        `send(name, message) -> bool`.
    engines : Engines
        Gets what the others sent; gives what this one sent.
    outliers : Outliers
        Gets how the others' requests ended.
    demand : Demand
        Gets what the others' callers asked for.
    freshness : Freshness
        Gets, and gives, up to when a version is known to be the newest.
    holder : Holder
        The version in force here.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_engines',
        '_outliers',
        '_demand',
        '_freshness',
        '_holder',
        '_peers',
        '_names',
        '_sent_servers',
        '_sent_accounts',
        '_whole_at',
        '_exits',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        engines: engines_module.Engines,
        outliers: outliers_module.Outliers,
        demand: demand_module.Demand,
        freshness: freshness_module.Freshness,
        holder: typing.Any,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._engines = engines
        self._outliers = outliers
        self._demand = demand
        self._freshness = freshness
        self._holder = holder
        self._peers: dict[str, _Told] = {}
        # Client accounts by their numbers.
        self._names: dict[int, str] = {}
        self._sent_servers: dict[str, tuple[typing.Any, ...]] = {}
        self._sent_accounts: dict[str, tuple[float, float]] = {}
        self._whole_at = float('-inf')
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Begin to tell."""
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop telling."""
        self._exits.close()

    def greet(self, name: str) -> None:
        """Count a peer's totals from its next message on: it restarted."""
        self._peers.pop(name, None)
        self._engines.forget_peer(name)

    def receive(self, name: str, message: activity.Activity) -> None:
        """Take a peer's activity."""
        told = self._peers.get(name)
        if told is None:
            told = self._peers[name] = _Told()
        now = self._freshness.read_clock()
        told.stamps.append((now, message.stamp))
        if message.echo and message.version == self._holder.document.version:
            # It knew that its version is the newest after it had heard this
            # stamp from here: how long either message was on its way
            # doesn't matter.
            self._freshness.confirm(message.echo / 1000)
        for each in message.servers:
            self._take_server(name, told, each)
        for account in message.accounts:
            self._take_account(told, account)

    def _take_server(
        self, name: str, told: _Told, new: activity.ServerActivity
    ) -> None:
        old = told.servers.get(new.server)
        told.servers[new.server] = new
        engine = self._find_engine(new.server)
        if engine is None:
            return
        engine.peers[name] = engines_module.PeerLoad(new.running, new.held)
        if old is None:
            return
        server = engine.server
        if new.read > old.read:
            engine.queue.add_foreign(new.read - old.read, self._read_time())
        if new.succeeded > old.succeeded:
            self._outliers.note_success(
                server.name,
                server.service,
                count=new.succeeded - old.succeeded,
            )
        if new.failed > old.failed:
            self._outliers.note_failure(
                server.name, server.service, count=new.failed - old.failed
            )

    def _take_account(
        self, told: _Told, new: activity.AccountActivity
    ) -> None:
        old = told.accounts.get(new.account)
        told.accounts[new.account] = new
        name = self._names.get(new.account)
        if old is None or name is None:
            return
        self._demand.add_foreign(
            name,
            asked=max(0.0, new.asked - old.asked),
            granted=max(0.0, new.granted - old.granted),
        )

    def _find_engine(self, number: int) -> engines_module.Engine | None:
        for engine in self._engines.list_all():
            if identity.identify(engine.server.name) == number:
                return engine
        return None

    def _read_time(self) -> float:
        return self._engines.read_clock()

    def _run(self) -> None:
        while True:
            peers = max(1, len(self._roster.live()) - 1)
            gevent.sleep(
                max(_LEAST_INTERVAL_SECONDS, peers / _MOST_MESSAGES_PER_SECOND)
            )
            try:
                self.tell()
            except Exception:
                # One bad message must not end the exchange for good.
                _LOG.exception('exchange_failed')

    def tell(self) -> None:
        """Tell every live peer what changed."""
        self._name_accounts()
        live = {each.name for each in self._roster.live()}
        for name in self._peers.keys() - live:
            self.greet(name)
        now = self._freshness.read_clock()
        whole = now - self._whole_at >= _WHOLE_SECONDS
        servers = list(self._list_servers(whole))
        accounts = list(self._list_accounts(whole))
        if not whole and not servers and not accounts:
            return
        if whole:
            self._whole_at = now
        own = self._roster.member.name
        for name in live:
            if name != own:
                self._outbox.send(
                    name, self._build(name, now, servers, accounts)
                )

    def _build(
        self,
        name: str,
        now: float,
        servers: list[activity.ServerActivity],
        accounts: list[activity.AccountActivity],
    ) -> activity.Activity:
        told = self._peers.get(name)
        confirmed = self._freshness.confirmed
        return activity.Activity(
            stamp=int(now * 1000),
            echo=told.find_stamp(confirmed) if told else 0,
            version=self._holder.document.version,
            servers=servers,
            accounts=accounts,
        )

    def _list_servers(
        self, whole: bool
    ) -> typing.Iterator[activity.ServerActivity]:
        for engine in self._engines.list_all():
            name = engine.server.name
            values = (
                engine.sent_tokens,
                engine.running,
                engine.held,
                engine.succeeded,
                engine.failed,
            )
            if not whole and self._sent_servers.get(name) == values:
                continue
            self._sent_servers[name] = values
            yield activity.ServerActivity(
                server=identity.identify(name),
                read=engine.sent_tokens,
                running=engine.running,
                held=engine.held,
                succeeded=engine.succeeded,
                failed=engine.failed,
            )

    def _list_accounts(
        self, whole: bool
    ) -> typing.Iterator[activity.AccountActivity]:
        for name, totals in self._demand.own.items():
            values = (totals.asked, totals.granted)
            if not whole and self._sent_accounts.get(name) == values:
                continue
            self._sent_accounts[name] = values
            yield activity.AccountActivity(
                account=identity.identify(name),
                asked=totals.asked,
                granted=totals.granted,
            )

    def _name_accounts(self) -> None:
        accounts = self._holder.document.client_accounts
        if len(self._names) != len(accounts):
            self._names = {identity.identify(name): name for name in accounts}
