"""The scheduler: request queues of an entry and its leased slots."""

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
from amaranthslip.shares import dispatch_reports
from amaranthslip.shares import leases
from amaranthslip.shares import messages
from amaranthslip.shares import ownership
from amaranthslip.shares import queues

_LOG = logging.getLogger(__name__)

# Queue length from which on the grant rate is steady enough to predict a wait.
_MIN_QUEUE_TO_PREDICT = 8
_MIN_RETRY_SECONDS = 1.0


class Scheduler:
    """Queues the requests of this entry and obtains slots for them.

    Parameters
    ----------
    settings : Settings
        Uses `instance` and `dispatch`.
    owners : Ownership
        The homes of client accounts and the owners of servers.
    holder : Holder
        The configuration in force.
    outbox : object
        `send(instance_name, message) -> bool`.
    metrics : Metrics
        Receives queue lengths and queue waits.
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
        '_queues',
        '_waiting',
        '_leases',
        '_stale_dispatchers',
        '_incarnations',
        '_prefixes',
        '_reporting',
        '_generation',
        '_configuration',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        owners: ownership.Ownership,
        holder: typing.Any,
        outbox: typing.Any,
        metrics: metrics_module.Metrics,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._ownership = owners
        self._holder = holder
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock
        self._queues: dict[tuple[str, str], queues.AccountQueue] = {}
        self._waiting: set[queues.AccountQueue] = set()
        self._leases: dict[int, leases.SlotLease] = {}
        self._stale_dispatchers: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._prefixes = (
            prefixes.Prefixes() if settings.dispatch.prefix_routing else None
        )
        self._reporting = dispatch_reports.DispatchReports(
            settings, owners, holder, outbox, self._prefixes, clock=clock
        )
        self._generation = -1
        self._configuration = -1
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Start the greenlet that runs the periodic work."""
        greenlet = gevent.spawn(self._run)
        self._exits.callback(greenlet.kill)

    def close(self) -> None:
        """Stop the greenlet that runs the periodic work."""
        self._exits.close()

    # -- callers' requests ------------------------------------------------

    def acquire(self, ticket: tickets.Ticket) -> leases.SlotLease:
        """Queue a request until it gets a slot; see `scheduling.Scheduler`."""
        account = self._check_account(ticket)
        queue = self._get_queue(ticket.service, ticket.client_account)
        self._check_queue(queue, account, ticket)
        self._reset_exclusions(ticket)
        queue.estimate = ticket.estimate
        waiter = queue.append(ticket)
        self._waiting.add(queue)
        self._update_queued_gauge(queue)
        self._reporting.report_waiting(queue)
        return self._await_grant(queue, waiter, account)

    def _await_grant(
        self,
        queue: queues.AccountQueue,
        waiter: queues.Waiter,
        account: document.ClientAccount,
    ) -> leases.SlotLease:
        ticket = waiter.ticket
        left = ticket.deadline - time.monotonic()
        timeout = max(0.0, min(account.queue_seconds, left))
        lease = None
        try:
            lease = waiter.granted.get(timeout=timeout)
        except gevent.Timeout:
            raise self._refuse_wait(queue, timeout) from None
        finally:
            queue.remove(waiter)
            self._report_queue(queue)
            if lease is None and waiter.granted.successful():
                # The caller disconnected or the timeout expired after the
                # grant was set and before it was read. The slot would leak
                # if it were not returned here.
                waiter.granted.value.finish(outcomes.Outcome.UNUSED)
        self._metrics.record('queue_wait', self._clock() - waiter.enqueued)
        return lease

    def _check_account(self, ticket: tickets.Ticket) -> document.ClientAccount:
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
                retry_after=_MIN_RETRY_SECONDS,
            )
        return account

    def _check_queue(
        self,
        queue: queues.AccountQueue,
        account: document.ClientAccount,
        ticket: tickets.Ticket,
    ) -> None:
        """Refuse a request early if its queue is full or the wait too long."""
        if len(queue.waiters) >= account.queue_requests:
            raise self._refuse(
                'queue_full',
                f'{len(queue.waiters)} requests of this client account wait '
                'here already; retry later',
                status=429,
                retry_after=max(_MIN_RETRY_SECONDS, queue.interval),
            )
        allowed = min(
            account.queue_seconds, ticket.deadline - time.monotonic()
        )
        predicted = queue.predict_wait()
        if len(queue.waiters) >= _MIN_QUEUE_TO_PREDICT and predicted > allowed:
            raise self._refuse(
                'queue_wait',
                f'the wait would be about {predicted:.0f} s, beyond the '
                f'{allowed:.0f} s allowed; retry later',
                status=429,
                retry_after=max(_MIN_RETRY_SECONDS, predicted - allowed),
            )

    def _refuse_wait(
        self, queue: queues.AccountQueue, timeout: float
    ) -> errors.RequestRefused:
        return self._refuse(
            'queue_timeout',
            f'no slot came free in {timeout:.1f} s; retry later',
            status=429,
            retry_after=max(_MIN_RETRY_SECONDS, queue.predict_wait()),
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

    def _reset_exclusions(self, ticket: tickets.Ticket) -> None:
        """Clear the excluded servers if they include all usable servers."""
        servers = self._holder.document.backend_servers.values()
        names = {each.name for each in servers if not each.leaving}
        if not names - ticket.excluded:
            ticket.excluded.clear()

    # -- leases -----------------------------------------------------------

    def charge(self, queue: queues.AccountQueue, tokens: float) -> None:
        """Count delivered tokens; the next tick reports them to the homes."""
        self._reporting.note_charge(queue, tokens)

    def finish(
        self, lease: leases.SlotLease, outcome: outcomes.Outcome
    ) -> None:
        """Return the slot of a lease; a second call has no effect."""
        if self._leases.pop(lease.id, None) is None:
            return
        lease.queue.running -= 1
        if outcome == outcomes.Outcome.DONE and self._prefixes is not None:
            self._prefixes.note(
                lease.backend_server.name, lease.ticket.prefix_hashes
            )
        self._send_finish(lease, outcome)

    def _send_finish(
        self, lease: leases.SlotLease, outcome: outcomes.Outcome
    ) -> None:
        message = messages.Finish(
            id=lease.id,
            outcome=outcome,
            pace=lease.pace,
            seen=self._reporting.confirm_last_grant(lease.holder),
        )
        self._send(lease.holder, message)

    # -- messages ---------------------------------------------------------

    def greet(self, sender: str, incarnation: int) -> None:
        """Handle a new connection from a dispatcher.

        After a restart of the dispatcher the ids of its earlier grants are
        dropped.
        """
        if self._incarnations.get(sender) != incarnation:
            self._incarnations[sender] = incarnation
            self._reporting.forget_grants(sender)

    def receive(self, sender: str, message: object) -> None:
        """Handle a message of `shares.messages` from a dispatcher."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        """Handle one message; types meant for the dispatcher are ignored."""

    @_handle.register
    def _(self, message: messages.SlotGrant, sender: str) -> None:
        self._reporting.note_grant(sender, message.id)
        queue = self._get_queue(message.service, message.client_account)
        queue.observe_score(message.score)
        reported = queue.reported.get(sender)
        if reported is not None:
            reported.count = max(0, reported.count - 1)
        if not self._use_grant(queue, message, sender):
            unused = messages.Finish(
                id=message.id,
                outcome=outcomes.Outcome.UNUSED,
                seen=self._reporting.confirm_last_grant(sender),
            )
            self._send(sender, unused)
        self._report_queue(queue)

    @_handle.register
    def _(self, message: messages.Restate, sender: str) -> None:
        for each in self.restate(sender, answers=message.number):
            self._outbox.send(sender, each)

    @_handle.register
    def _(self, message: messages.Own, sender: str) -> None:
        for lease in self._leases.values():
            if lease.backend_server.name == message.server:
                self._transfer_lease(lease, sender)

    @_handle.register
    def _(self, message: messages.Digest, sender: str) -> None:
        self._reporting.note_digest(sender, message)

    def restate(self, name: str, *, answers: int = 0) -> list[object]:
        """Return the messages with this entry's state for a dispatcher.

        They are the first messages on each new connection: messages in flight
        on the former one may or may not have arrived, and a restarted
        dispatcher has no state.
        """
        state: list[object] = [
            messages.Reset(
                seen=self._reporting.confirm_last_grant(name), answers=answers
            )
        ]
        for lease in self._leases.values():
            if lease.holder == name:
                state.append(self._reporting.build_held(lease))
        for queue in self._queues.values():
            state += self._reporting.restate_queue(queue, name)
        return state

    def _use_grant(
        self,
        queue: queues.AccountQueue,
        message: messages.SlotGrant,
        sender: str,
    ) -> bool:
        server = self._holder.document.backend_servers.get(message.server)
        if server is None or server.leaving:
            return False
        waiter = queue.pop(message.server, self._prefixes)
        if waiter is None:
            return False
        lease = leases.SlotLease(
            self,
            queue,
            waiter.ticket,
            server,
            id=message.id,
            holder=sender,
        )
        self._leases[lease.id] = lease
        queue.running += 1
        waiter.granted.set(lease)
        return True

    # -- sending to dispatchers -------------------------------------------

    def _send(self, name: str, message: object) -> None:
        """Send a message, and schedule a full resend if that fails.

        If the send queue is full when a slot is returned, the dispatcher
        would otherwise count that slot as used for ever.
        """
        if not self._outbox.send(name, message):
            self._stale_dispatchers.add(name)

    def _restate_stale(self) -> None:
        dispatchers, self._stale_dispatchers = self._stale_dispatchers, set()
        for name in dispatchers:
            for message in self.restate(name):
                self._send(name, message)

    # -- periodic work ----------------------------------------------------

    def tick(self) -> None:
        """Run the periodic work once."""
        now = self._clock()
        self._follow_ownership()
        self._follow_configuration()
        for queue in list(self._waiting):
            self._reporting.report_waiting(queue)
            self._reporting.report_running(queue)
            if not queue.waiters:
                self._waiting.discard(queue)
        self._reporting.report_delivered(now)
        self._restate_stale()
        self._reporting.confirm_pending_grants()

    def describe(self) -> dict[str, int]:
        """Return the queue length of each client account at this entry."""
        queued: dict[str, int] = {}
        for queue in self._waiting:
            account = queue.client_account
            queued[account] = queued.get(account, 0) + len(queue.waiters)
        return queued

    def _run(self) -> None:
        while True:
            gevent.sleep(self._settings.dispatch.widen_seconds)
            try:
                self.tick()
            except Exception:
                # An error in one tick must not stop the periodic work.
                _LOG.exception('schedule_tick_failed')

    def _follow_ownership(self) -> None:
        """Report held slots to the new owners of their servers."""
        self._ownership.refresh()
        if self._generation == self._ownership.generation:
            return
        self._generation = self._ownership.generation
        for lease in self._leases.values():
            owner = self._ownership.find_owner(lease.backend_server.name)
            if owner is not None:
                self._transfer_lease(lease, owner)

    def _transfer_lease(self, lease: leases.SlotLease, owner: str) -> None:
        """Move the accounting of a slot from the former owner to a new one."""
        if owner == lease.holder:
            return
        self._send_finish(lease, outcomes.Outcome.TRANSFERRED)
        lease.holder = owner
        self._send(owner, self._reporting.build_held(lease))

    def _follow_configuration(self) -> None:
        """Refuse queued requests whose account may not use the service now."""
        if self._configuration == self._holder.generation:
            return
        self._configuration = self._holder.generation
        accounts = self._holder.document.client_accounts
        self._reporting.follow_configuration()
        for queue in list(self._queues.values()):
            account = accounts.get(queue.client_account)
            if account is not None and queue.service in account.services:
                continue
            queue.refuse_all(
                self._refuse(
                    'account_removed',
                    f'client account {queue.client_account} may no longer use '
                    f'service {queue.service}; ask the operators',
                    status=403,
                )
            )
            self._report_queue(queue)
            del self._queues[queue.service, queue.client_account]

    def _get_queue(
        self, service: str, client_account: str
    ) -> queues.AccountQueue:
        key = (service, client_account)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = queues.AccountQueue(
                service, client_account, clock=self._clock
            )
        return queue

    def _report_queue(self, queue: queues.AccountQueue) -> None:
        # An empty queue is reported by the next tick only: callers often send
        # the next request at once.
        if queue.waiters:
            self._reporting.report_waiting(queue)
        self._update_queued_gauge(queue)

    def _update_queued_gauge(self, queue: queues.AccountQueue) -> None:
        account = queue.client_account
        queued = sum(
            len(self._queues[service, account].waiters)
            for service in self._holder.document.services
            if (service, account) in self._queues
        )
        self._metrics.set_gauge('queued', account, queued)
