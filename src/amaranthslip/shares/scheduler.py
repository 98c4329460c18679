"""The scheduler: an entry's queues, and its talk with the dispatchers."""

import contextlib
import functools
import logging
import time
import typing

import gevent

from amaranthslip.capacity import prefixes
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip.requests import outcomes
from amaranthslip.requests import tickets
from amaranthslip import settings as settings_module
from amaranthslip.shares import lines
from amaranthslip.shares import messages
from amaranthslip.shares import ownership

_LOG = logging.getLogger(__name__)

# A dispatcher is told at most this many requests of one line; deeper queues
# are told again when it has used them up.
_MOST_TOLD = 16
_EXACT = 1
_HIGH = 3
_FLUSH_SECONDS = 2.0
# Below the threshold this part of it is told every flush while requests
# wait, and this many times the threshold while none does.
_FLUSH_PART = 0.25
_QUIET_FACTOR = 2.0
# How far off a dispatcher's count of an account's running requests may be,
# as a part of what they count, and of one large request at the least.
_RUNNING_OFF = 0.75
_CONFIRM_SECONDS = 0.3
_DIGEST_VALID_SECONDS = 3.0
# A wait is predicted only from queues long enough to have a steady rate.
_PREDICT_FROM = 8
_LEAST_RETRY_SECONDS = 1.0


class SlotLease:
    """A slot of a backend server, held for one request; see `Grant`."""

    __slots__ = (
        'id',
        'ticket',
        'backend_server',
        'holder',
        'line',
        '_scheduler',
        '_first_at',
        '_last_at',
        '_tokens',
    )

    def __init__(
        self,
        scheduler: 'Scheduler',
        line: lines.Line,
        ticket: tickets.Ticket,
        backend_server: document.BackendServer,
        *,
        id: int,
        holder: str,
    ) -> None:
        self.id = id
        self.ticket = ticket
        self.backend_server = backend_server
        self.holder = holder
        self._scheduler = scheduler
        self.line = line
        self._first_at = 0.0
        self._last_at = 0.0
        self._tokens = 0.0

    def charge(self, tokens: float) -> None:
        """Charge tokens delivered since the last call."""
        now = time.monotonic()
        if self._first_at:
            self._tokens += tokens
        else:
            self._first_at = now
        self._last_at = now
        self._scheduler.charge(self.line, tokens)

    def finish(self, outcome: outcomes.Outcome) -> None:
        """Return the slot; the first call counts."""
        self._scheduler.finish(self, outcome)

    @property
    def service(self) -> str:
        """The service that the slot belongs to."""
        return self.line.service

    @property
    def client_account(self) -> str:
        """The client account that the slot was granted for."""
        return self.line.client_account

    @property
    def pace(self) -> float:
        """Mean seconds between tokens, zero where it is not known."""
        if self._tokens <= 0:
            return 0.0
        return (self._last_at - self._first_at) / self._tokens


class Scheduler:
    """Queues this entry's requests and gets slots for them.

    Parameters
    ----------
    settings : Settings
        Uses `instance` and `dispatch`.
    owned : Ownership
        Client accounts' homes and servers' owners.
    holder : Holder
        The configuration in force.
    outbox : object
        `send(instance_name, message) -> bool`.
    metrics : Metrics
        Counts refusals and what is queued.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = (
        '_settings',
        '_ownership',
        '_holder',
        '_outbox',
        '_metrics',
        '_clock',
        '_lines',
        '_waiting',
        '_dirty',
        '_leases',
        '_seen',
        '_unconfirmed',
        '_stale',
        '_digests',
        '_incarnations',
        '_prefixes',
        '_generation',
        '_configuration',
        '_mean_share',
        '_last_flush',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        owned: ownership.Ownership,
        holder: typing.Any,
        outbox: typing.Any,
        metrics: metrics_module.Metrics,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._ownership = owned
        self._holder = holder
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock
        self._lines: dict[tuple[str, str], lines.Line] = {}
        self._waiting: set[lines.Line] = set()
        self._dirty: set[lines.Line] = set()
        self._leases: dict[int, SlotLease] = {}
        self._seen: dict[str, int] = {}
        self._unconfirmed: dict[str, float] = {}
        self._stale: set[str] = set()
        self._digests: dict[tuple[str, str], tuple[int, float]] = {}
        self._incarnations: dict[str, int] = {}
        self._prefixes = (
            prefixes.Prefixes() if settings.dispatch.prefix_routing else None
        )
        self._generation = -1
        self._configuration = -1
        self._mean_share = 1.0
        self._last_flush = self._clock()
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Begin the periodic work."""
        greenlet = gevent.spawn(self._run)
        self._exits.callback(greenlet.kill)

    def close(self) -> None:
        """End the periodic work."""
        self._exits.close()

    # -- callers' requests ------------------------------------------------

    def acquire(self, ticket: tickets.Ticket) -> SlotLease:
        """Wait in line until a slot is granted; see `Scheduler` protocol."""
        account = self._check(ticket)
        line = self._line(ticket.service, ticket.client_account)
        self._check_queue(line, account, ticket)
        self._forgive_exclusions(ticket)
        line.estimate = ticket.estimate
        waiter = line.join(ticket)
        self._waiting.add(line)
        self._note_queue(line)
        self._tell_wants(line)
        return self._await_grant(line, waiter, account)

    def _await_grant(
        self,
        line: lines.Line,
        waiter: lines.Waiter,
        account: document.ClientAccount,
    ) -> SlotLease:
        ticket = waiter.ticket
        left = ticket.deadline - time.monotonic()
        timeout = max(0.0, min(account.queue_seconds, left))
        lease = None
        try:
            lease = waiter.granted.get(timeout=timeout)
        except gevent.Timeout:
            raise self._refuse_wait(line, timeout) from None
        finally:
            line.leave(waiter)
            self._settle_line(line)
            if lease is None and waiter.granted.successful():
                # The caller left or the wait ended in the very moment of the
                # grant: the slot goes back, or it would be lost.
                waiter.granted.value.finish(outcomes.Outcome.UNUSED)
        self._metrics.record('queue_wait', self._clock() - waiter.enqueued)
        return lease

    def _check(self, ticket: tickets.Ticket) -> document.ClientAccount:
        configuration = self._holder.document
        account = configuration.client_accounts.get(ticket.client_account)
        if account is None or ticket.service not in account.services:
            raise self._refuse(
                'account_unknown',
                f'client account {ticket.client_account} may not use service '
                f'{ticket.service}; ask the operators to allow it',
                status=403,
            )
        if not self._ownership.list_owners(ticket.service):
            raise self._refuse(
                'no_backend_server',
                f'service {ticket.service} has no backend server; retry later',
                retry_after=_LEAST_RETRY_SECONDS,
            )
        return account

    def _check_queue(
        self,
        line: lines.Line,
        account: document.ClientAccount,
        ticket: tickets.Ticket,
    ) -> None:
        """Refuse early what would be refused late, before any work."""
        if len(line.waiters) >= account.queue_requests:
            raise self._refuse(
                'queue_full',
                f'{len(line.waiters)} requests of this client account wait '
                'here already; retry later',
                status=429,
                retry_after=max(_LEAST_RETRY_SECONDS, line.interval),
            )
        allowed = min(
            account.queue_seconds, ticket.deadline - time.monotonic()
        )
        predicted = line.predict_wait()
        if len(line.waiters) >= _PREDICT_FROM and predicted > allowed:
            raise self._refuse(
                'queue_wait',
                f'the wait would be about {predicted:.0f} s, beyond the '
                f'{allowed:.0f} s allowed; retry later',
                status=429,
                retry_after=max(_LEAST_RETRY_SECONDS, predicted - allowed),
            )

    def _refuse_wait(
        self, line: lines.Line, timeout: float
    ) -> errors.RequestRefused:
        return self._refuse(
            'queue_timeout',
            f'no slot came free in {timeout:.1f} s; retry later',
            status=429,
            retry_after=max(_LEAST_RETRY_SECONDS, line.predict_wait()),
        )

    def _refuse(
        self,
        reason: str,
        message: str,
        *,
        status: int = 503,
        retry_after: float | None = None,
    ) -> errors.RequestRefused:
        return errors.RequestRefused(
            reason, message, status=status, retry_after=retry_after
        )

    def _forgive_exclusions(self, ticket: tickets.Ticket) -> None:
        """Allow the servers again that failed before, if none is left."""
        servers = self._holder.document.backend_servers.values()
        names = {each.name for each in servers if not each.leaving}
        if not names - ticket.excluded:
            ticket.excluded.clear()

    # -- leases -----------------------------------------------------------

    def charge(self, line: lines.Line, tokens: float) -> None:
        """Count delivered tokens; the next tick tells the homes."""
        line.total += tokens
        self._dirty.add(line)

    def finish(self, lease: SlotLease, outcome: outcomes.Outcome) -> None:
        """Return a lease's slot; a second call does nothing."""
        if self._leases.pop(lease.id, None) is None:
            return
        lease.line.running -= 1
        if outcome == outcomes.Outcome.DONE and self._prefixes is not None:
            self._prefixes.note(
                lease.backend_server.name, lease.ticket.prefix_hashes
            )
        self._send_finish(lease, outcome)

    def _send_finish(
        self, lease: SlotLease, outcome: outcomes.Outcome
    ) -> None:
        message = messages.Finish(
            id=lease.id,
            outcome=outcome,
            pace=lease.pace,
            seen=self._tell_seen(lease.holder),
        )
        self._send(lease.holder, message)

    # -- messages ---------------------------------------------------------

    def greet(self, sender: str, incarnation: int) -> None:
        """Note a new connection from a dispatcher; a restart counts anew."""
        if self._incarnations.get(sender) != incarnation:
            self._incarnations[sender] = incarnation
            self._seen.pop(sender, None)
            self._unconfirmed.pop(sender, None)

    def receive(self, sender: str, message: object) -> None:
        """Take one message of `shares.messages` from a dispatcher."""
        self._take(message, sender)

    @functools.singledispatchmethod
    def _take(self, message: object, sender: str) -> None:
        """Take one message; kinds for the dispatcher are not for here."""

    @_take.register
    def _(self, message: messages.SlotGrant, sender: str) -> None:
        self._seen[sender] = max(self._seen.get(sender, 0), message.id)
        self._unconfirmed.setdefault(sender, self._clock())
        line = self._line(message.service, message.client_account)
        line.hear(message.score)
        told = line.told.get(sender)
        if told is not None:
            told.count = max(0, told.count - 1)
        if not self._use_grant(line, message, sender):
            unused = messages.Finish(
                id=message.id,
                outcome=outcomes.Outcome.UNUSED,
                seen=self._tell_seen(sender),
            )
            self._send(sender, unused)
        self._settle_line(line)

    @_take.register
    def _(self, message: messages.Restate, sender: str) -> None:
        for each in self.restate(sender, answers=message.number):
            self._outbox.send(sender, each)

    @_take.register
    def _(self, message: messages.Own, sender: str) -> None:
        for lease in self._leases.values():
            if lease.backend_server.name == message.server:
                self._hand_over(lease, sender)

    @_take.register
    def _(self, message: messages.Digest, sender: str) -> None:
        key = (message.service, sender)
        self._digests[key] = (message.free, self._clock())

    def restate(self, name: str, *, answers: int = 0) -> list[object]:
        """Return all that a dispatcher should know of this entry.

        Sent first on each new connection: what was under way on a lost one
        may or may not have arrived, and a restarted dispatcher has nothing.
        """
        told: list[object] = [
            messages.Reset(seen=self._tell_seen(name), answers=answers)
        ]
        for lease in self._leases.values():
            if lease.holder == name:
                told.append(self._held(lease))
        for line in self._lines.values():
            known = line.told.get(name)
            if known is None:
                continue
            known.count = min(len(line.waiters), _MOST_TOLD)
            told.append(self._want(line, name, known.count))
            told.append(self._charge(line, name, line.total))
            known.total = line.total
            known.running = line.running
        return told

    def _use_grant(
        self, line: lines.Line, message: messages.SlotGrant, sender: str
    ) -> bool:
        server = self._holder.document.backend_servers.get(message.server)
        if server is None or server.leaving:
            return False
        waiter = line.pop(message.server, self._prefixes)
        if waiter is None:
            return False
        lease = SlotLease(
            self,
            line,
            waiter.ticket,
            server,
            id=message.id,
            holder=sender,
        )
        self._leases[lease.id] = lease
        line.running += 1
        waiter.granted.set(lease)
        return True

    # -- telling dispatchers ----------------------------------------------

    def _send(self, name: str, message: object) -> None:
        """Send what must not be lost, or tell everything again later.

        A returned slot whose message found the peer's queue full would stay
        in use at its dispatcher for ever.
        """
        if not self._outbox.send(name, message):
            self._stale.add(name)

    def _tell_stale(self) -> None:
        stale, self._stale = self._stale, set()
        for name in stale:
            for message in self.restate(name):
                self._send(name, message)

    def _tell_wants(self, line: lines.Line) -> None:
        """Tell the dispatchers of a line as much as they need to know."""
        engaged = self._engage(line)
        waiting = len(line.waiters)
        for name in line.told.keys() - set(engaged):
            if line.told[name].count:
                self._tell_want(line, name, 0)
        for name in engaged:
            told = line.told.get(name)
            if told is None:
                told = line.told[name] = lines.Told(line.total)
            target = min(waiting, _MOST_TOLD)
            short = told.count < min(waiting, _EXACT)
            low = told.count < target and told.count <= target // 4
            # A count that is somewhat high costs a slot returned unused now
            # and then; one message for each request and home costs more.
            high = told.count > _HIGH * waiting
            if high or short or low:
                self._tell_want(line, name, target)

    def _tell_want(self, line: lines.Line, name: str, count: int) -> None:
        if self._outbox.send(name, self._want(line, name, count)):
            line.told[name].count = count
            line.told[name].running = line.running

    def _engage(self, line: lines.Line) -> list[str]:
        """Return the dispatchers that should know of a line's requests.

        A single young request asks one home; more, or an older one, ask all
        homes; and whoever says that its slots are free is asked too, so
        that no slot idles for want of accounts at home there.
        """
        homes = self._ownership.homes(line.service, line.client_account)
        if not line.waiters or not homes:
            line.extras.clear()
            return list(homes)
        age = line.age()
        widen = self._settings.dispatch.widen_seconds
        if len(line.waiters) == 1 and age < widen:
            told = [name for name in homes if self._has_count(line, name)]
            return told or [self._pick_first(line, homes)]
        if age >= widen:
            line.extras.update(self._list_free(line.service))
        owners = self._ownership.list_owners(line.service)
        return list(dict.fromkeys([*homes, *(line.extras & owners)]))

    def _has_count(self, line: lines.Line, name: str) -> bool:
        told = line.told.get(name)
        return told is not None and told.count > 0

    def _pick_first(
        self, line: lines.Line, homes: typing.Sequence[str]
    ) -> str:
        preferred = self._ownership.owner(self._prefer(line))
        if preferred in homes:
            return preferred
        free = set(self._list_free(line.service))
        return next((name for name in homes if name in free), homes[0])

    def _prefer(self, line: lines.Line) -> str:
        if self._prefixes is None or not line.waiters:
            return ''
        return self._prefixes.find(line.waiters[0].ticket.prefix_hashes)

    def _list_free(self, service: str) -> list[str]:
        since = self._clock() - _DIGEST_VALID_SECONDS
        return [
            name
            for (served, name), (free, at) in self._digests.items()
            if served == service and free and at >= since
        ]

    def _tell_charges(self, line: lines.Line, threshold: float) -> bool:
        """Tell the homes what was delivered, if that is much.

        Returns
        -------
        bool
            Whether some is still to be told.
        """
        if self._ownership.is_local:
            threshold = 1.0
        left = False
        for name in self._ownership.homes(line.service, line.client_account):
            told = line.told.get(name)
            if told is None:
                told = line.told[name] = lines.Told(line.total)
            if line.total - told.total >= threshold:
                self._tell_charge(line, name)
            left = left or line.total > told.total
        return left

    def _tell_dirty(self, now: float) -> None:
        """Tell what was delivered since the last tick, where it is much.

        An account that has nothing waiting here competes for nothing here;
        its service is told in larger amounts.
        """
        flush = now - self._last_flush >= _FLUSH_SECONDS
        if flush:
            self._last_flush = now
        dirty, self._dirty = self._dirty, set()
        for line in dirty:
            enough = self._find_threshold(line)
            if not line.waiters:
                enough *= _QUIET_FACTOR
            elif flush:
                enough *= _FLUSH_PART
            self._tell_running(line)
            if self._tell_charges(line, enough):
                self._dirty.add(line)

    def _find_threshold(self, line: lines.Line) -> float:
        """Return how much service may be untold, in tokens.

        Less for small shares: what is untold counts divided by the share.
        """
        accounts = self._holder.document.client_accounts
        account = accounts.get(line.client_account)
        part = account.share / self._mean_share if account else 1.0
        return self._settings.dispatch.charge_tokens * min(1.0, part)

    def _tell_running(self, line: lines.Line) -> None:
        """Tell the homes when their count of what runs is far off.

        Far is measured in tokens: one large request more or less matters to
        the account's score, one small one does not.
        """
        commit = self._settings.dispatch.commit_tokens
        each = min(line.estimate, commit)
        far = max(commit, each * line.running) * _RUNNING_OFF
        for name in self._ownership.homes(line.service, line.client_account):
            told = line.told.get(name)
            if told is None:
                continue
            if abs(line.running - told.running) * each >= far:
                self._tell_charge(line, name)

    def _tell_charge(self, line: lines.Line, name: str) -> None:
        told = line.told[name]
        if self._outbox.send(name, self._charge(line, name, told.total)):
            told.total = line.total
            told.running = line.running

    def _want(self, line: lines.Line, name: str, count: int) -> messages.Want:
        return messages.Want(
            service=line.service,
            client_account=line.client_account,
            count=count,
            age=line.age(),
            hint=line.hint,
            seen=self._tell_seen(name),
            estimate=line.estimate,
            prefer=self._prefer(line),
            running=line.running,
        )

    def _charge(
        self, line: lines.Line, name: str, base: float
    ) -> messages.Charge:
        return messages.Charge(
            service=line.service,
            client_account=line.client_account,
            total=line.total,
            base=base,
            hint=line.hint,
            running=line.running,
            seen=self._tell_seen(name),
        )

    def _held(self, lease: SlotLease) -> messages.Held:
        return messages.Held(
            id=lease.id,
            service=lease.service,
            client_account=lease.client_account,
            server=lease.backend_server.name,
            estimate=lease.ticket.estimate,
        )

    def _tell_seen(self, name: str) -> int:
        self._unconfirmed.pop(name, None)
        return self._seen.get(name, 0)

    # -- periodic work ----------------------------------------------------

    def tick(self) -> None:
        """Do the periodic work once."""
        now = self._clock()
        self._follow_ownership()
        self._follow_configuration()
        for line in list(self._waiting):
            self._tell_wants(line)
            self._tell_running(line)
            if not line.waiters:
                self._waiting.discard(line)
        self._tell_dirty(now)
        self._tell_stale()
        for name, since in list(self._unconfirmed.items()):
            if now - since >= _CONFIRM_SECONDS:
                confirm = messages.Confirm(seen=self._tell_seen(name))
                self._outbox.send(name, confirm)

    def describe(self) -> dict[str, int]:
        """Return how many requests of each client account wait here."""
        queued: dict[str, int] = {}
        for line in self._waiting:
            account = line.client_account
            queued[account] = queued.get(account, 0) + len(line.waiters)
        return queued

    def _run(self) -> None:
        while True:
            gevent.sleep(self._settings.dispatch.widen_seconds)
            try:
                self.tick()
            except Exception:
                # One bad tick must not end the scheduler's periodic work.
                _LOG.exception('schedule_tick_failed')

    def _follow_ownership(self) -> None:
        """Tell new owners of the slots held at their servers."""
        self._ownership.refresh()
        if self._generation == self._ownership.generation:
            return
        self._generation = self._ownership.generation
        for lease in self._leases.values():
            owner = self._ownership.owner(lease.backend_server.name)
            if owner is not None:
                self._hand_over(lease, owner)

    def _hand_over(self, lease: SlotLease, owner: str) -> None:
        """Tell a server's new owner of a slot, and the old one no more."""
        if owner == lease.holder:
            return
        self._send_finish(lease, outcomes.Outcome.CANCELLED)
        lease.holder = owner
        self._send(owner, self._held(lease))

    def _follow_configuration(self) -> None:
        """Refuse what waits for an account or service that was removed."""
        if self._configuration == self._holder.generation:
            return
        self._configuration = self._holder.generation
        accounts = self._holder.document.client_accounts
        total = sum(account.share for account in accounts.values())
        self._mean_share = total / len(accounts) if accounts else 1.0
        for line in list(self._lines.values()):
            account = accounts.get(line.client_account)
            if account is not None and line.service in account.services:
                continue
            line.refuse_all(
                self._refuse(
                    'account_removed',
                    f'client account {line.client_account} may no longer use '
                    f'service {line.service}; ask the operators',
                    status=403,
                )
            )
            self._settle_line(line)
            del self._lines[line.service, line.client_account]

    def _line(self, service: str, client_account: str) -> lines.Line:
        key = (service, client_account)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = lines.Line(
                service, client_account, clock=self._clock
            )
        return line

    def _settle_line(self, line: lines.Line) -> None:
        # That nothing waits any more is told by the next tick: callers often
        # send the next request at once.
        if line.waiters:
            self._tell_wants(line)
        self._note_queue(line)

    def _note_queue(self, line: lines.Line) -> None:
        account = line.client_account
        queued = sum(
            len(self._lines[service, account].waiters)
            for service in self._holder.document.services
            if (service, account) in self._lines
        )
        self._metrics.set_gauge('queued', account, queued)
