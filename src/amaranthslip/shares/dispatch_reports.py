"""Reports of an entry: how it reports its queues to the dispatchers.

Dispatchers grant slots on the reported counts, so that reports are as few as
possible while those counts stay good enough.
"""

import time
import typing

from amaranthslip.capacity import prefixes
from amaranthslip import settings as settings_module
from amaranthslip.shares import leases
from amaranthslip.shares import messages
from amaranthslip.shares import ownership
from amaranthslip.shares import queues

# Maximum number of a queue's requests that are reported to one dispatcher; a
# longer queue is reported again when the dispatcher has granted most of them.
_MAX_REPORTED_REQUESTS = 16
_MIN_REPORTED_REQUESTS = 1
_OVERCOUNT_FACTOR = 3
_FLUSH_INTERVAL_SECONDS = 2.0
# Factors of the charge threshold: the first applies at each flush to accounts
# with waiting requests, the second to accounts without.
_FLUSH_FACTOR = 0.25
_IDLE_FACTOR = 2.0
# Tolerated error of a dispatcher's count of an account's running requests, as
# a fraction of their tokens, or of `commit_tokens` if that is more.
_RUNNING_TOLERANCE = 0.5
_CONFIRM_DELAY_SECONDS = 0.3
_DIGEST_VALID_SECONDS = 3.0


class DispatchReports:
    """Reports an entry's waiting, running and delivered work to dispatchers.

    Parameters
    ----------
    settings : Settings
        Uses `dispatch`.
    owners : Ownership
        Client accounts' home dispatchers and servers' owners.
    holder : Holder
        The configuration in force.
    outbox : object
        `send(instance_name, message) -> bool`.
    known : Prefixes or None
        The servers that recently got each prompt prefix.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_settings',
        '_ownership',
        '_holder',
        '_outbox',
        '_prefixes',
        '_clock',
        '_last_grants',
        '_unconfirmed_since',
        '_digests',
        '_changed_queues',
        '_mean_share',
        '_last_flush_at',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        owners: ownership.Ownership,
        holder: typing.Any,
        outbox: typing.Any,
        known: prefixes.Prefixes | None,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._ownership = owners
        self._holder = holder
        self._outbox = outbox
        self._prefixes = known
        self._clock = clock
        self._last_grants: dict[str, int] = {}
        self._unconfirmed_since: dict[str, float] = {}
        self._digests: dict[tuple[str, str], tuple[int, float]] = {}
        self._changed_queues: set[queues.AccountQueue] = set()
        self._mean_share = 1.0
        self._last_flush_at = clock()

    def note_grant(self, sender: str, id: int) -> None:
        """Record the id of a dispatcher's grant, to confirm it later."""
        self._last_grants[sender] = max(self._last_grants.get(sender, 0), id)
        self._unconfirmed_since.setdefault(sender, self._clock())

    def note_digest(self, sender: str, digest: messages.Digest) -> None:
        """Record the free slots that a dispatcher reported for a service."""
        key = (digest.service, sender)
        self._digests[key] = (digest.free, self._clock())

    def note_charge(self, queue: queues.AccountQueue, tokens: float) -> None:
        """Count tokens; `report_delivered` reports them to the homes."""
        queue.total += tokens
        self._changed_queues.add(queue)

    def forget_grants(self, dispatcher: str) -> None:
        """Forget the grants of a dispatcher that restarted."""
        self._last_grants.pop(dispatcher, None)
        self._unconfirmed_since.pop(dispatcher, None)

    def follow_configuration(self) -> None:
        """Compute the mean share of the configuration in force."""
        accounts = self._holder.document.client_accounts
        total = sum(account.share for account in accounts.values())
        self._mean_share = total / len(accounts) if accounts else 1.0

    def confirm_pending_grants(self) -> None:
        """Confirm grants that no other message confirmed in time."""
        now = self._clock()
        for dispatcher, since in list(self._unconfirmed_since.items()):
            if now - since >= _CONFIRM_DELAY_SECONDS:
                confirm = messages.Confirm(
                    seen=self.confirm_last_grant(dispatcher)
                )
                self._outbox.send(dispatcher, confirm)

    def restate_queue(
        self, queue: queues.AccountQueue, dispatcher: str
    ) -> list[object]:
        """Return the messages that restore a dispatcher's data on a queue."""
        known = queue.reported.get(dispatcher)
        if known is None:
            return []
        known.count = min(len(queue.waiters), _MAX_REPORTED_REQUESTS)
        restated = [
            self.build_want(queue, dispatcher, known.count),
            self.build_charge(queue, dispatcher, queue.total),
        ]
        known.total = queue.total
        known.running = queue.running
        return restated

    def report_waiting(self, queue: queues.AccountQueue) -> None:
        """Report a queue's waiting requests where the count is outdated."""
        selected = self._select_dispatchers(queue)
        waiting = len(queue.waiters)
        for dispatcher in queue.reported.keys() - set(selected):
            if queue.reported[dispatcher].count:
                self._send_want(queue, dispatcher, 0)
        for dispatcher in selected:
            reported = queue.get_reported(dispatcher)
            target = min(waiting, _MAX_REPORTED_REQUESTS)
            short = reported.count < min(waiting, _MIN_REPORTED_REQUESTS)
            low = reported.count < target and reported.count <= target // 4
            # A count that is slightly high costs an unused slot now and then.
            # One message per request and home would cost more.
            high = reported.count > _OVERCOUNT_FACTOR * waiting
            if high or short or low:
                self._send_want(queue, dispatcher, target)

    def _send_want(
        self, queue: queues.AccountQueue, dispatcher: str, count: int
    ) -> None:
        if self._outbox.send(
            dispatcher, self.build_want(queue, dispatcher, count)
        ):
            queue.reported[dispatcher].count = count
            queue.reported[dispatcher].running = queue.running

    def _select_dispatchers(self, queue: queues.AccountQueue) -> list[str]:
        """Return the dispatchers that should get a queue's requests.

        A single recent request is reported to one home, several requests or
        an older one to all homes. An older one is also reported to the
        dispatchers with free slots, so that no slot is idle because too few
        accounts have their homes at its dispatcher.
        """
        homes = self._ownership.list_homes(queue.service, queue.client_account)
        if not queue.waiters or not homes:
            queue.extra_dispatchers.clear()
            return list(homes)
        age = queue.age()
        widen = self._settings.dispatch.widen_seconds
        if len(queue.waiters) == 1 and age < widen:
            reported = [
                dispatcher
                for dispatcher in homes
                if self._has_reported_requests(queue, dispatcher)
            ]
            return reported or [self._pick_single_home(queue, homes)]
        if age >= widen:
            queue.extra_dispatchers.update(
                self._list_free_dispatchers(queue.service)
            )
        owners = self._ownership.list_owners(queue.service)
        return list(
            dict.fromkeys([*homes, *(queue.extra_dispatchers & owners)])
        )

    def _has_reported_requests(
        self, queue: queues.AccountQueue, dispatcher: str
    ) -> bool:
        reported = queue.reported.get(dispatcher)
        return reported is not None and reported.count > 0

    def _pick_single_home(
        self, queue: queues.AccountQueue, homes: typing.Sequence[str]
    ) -> str:
        preferred = self._ownership.find_owner(
            self._find_preferred_server(queue)
        )
        if preferred in homes:
            return preferred
        free = set(self._list_free_dispatchers(queue.service))
        return next(
            (dispatcher for dispatcher in homes if dispatcher in free),
            homes[0],
        )

    def _find_preferred_server(self, queue: queues.AccountQueue) -> str:
        if self._prefixes is None or not queue.waiters:
            return ''
        return self._prefixes.find(queue.waiters[0].ticket.prefix_hashes)

    def _list_free_dispatchers(self, service: str) -> list[str]:
        since = self._clock() - _DIGEST_VALID_SECONDS
        return [
            dispatcher
            for (served, dispatcher), (free, at) in self._digests.items()
            if served == service and free and at >= since
        ]

    def _send_charges(
        self, queue: queues.AccountQueue, threshold: float
    ) -> bool:
        """Report delivered tokens to the homes that lack a threshold of them.

        Returns
        -------
        bool
            Whether some delivered tokens are still unreported.
        """
        if self._ownership.is_local:
            threshold = 1.0
        unreported = False
        for dispatcher in self._ownership.list_homes(
            queue.service, queue.client_account
        ):
            reported = queue.get_reported(dispatcher)
            if queue.total - reported.total >= threshold:
                self._send_charge(queue, dispatcher)
            unreported = unreported or queue.total > reported.total
        return unreported

    def report_delivered(self, now: float) -> None:
        """Report tokens delivered since the last tick, above a threshold.

        An account without waiting requests here does not compete for slots
        here, so that its tokens are reported in larger amounts.
        """
        flush = now - self._last_flush_at >= _FLUSH_INTERVAL_SECONDS
        if flush:
            self._last_flush_at = now
        changed, self._changed_queues = self._changed_queues, set()
        for queue in changed:
            threshold_tokens = self._compute_charge_threshold(queue)
            if not queue.waiters:
                threshold_tokens *= _IDLE_FACTOR
            elif flush:
                threshold_tokens *= _FLUSH_FACTOR
            self.report_running(queue)
            if self._send_charges(queue, threshold_tokens):
                self._changed_queues.add(queue)

    def _compute_charge_threshold(self, queue: queues.AccountQueue) -> float:
        """Return the threshold of unreported tokens.

        It is lower for small shares, as an account's score counts its tokens
        divided by its share.
        """
        accounts = self._holder.document.client_accounts
        account = accounts.get(queue.client_account)
        relative_share = account.share / self._mean_share if account else 1.0
        return self._settings.dispatch.charge_tokens * min(1.0, relative_share)

    def report_running(self, queue: queues.AccountQueue) -> None:
        """Report running requests to homes whose count is too far off.

        The error is measured in tokens: one large request matters to the
        account's score, one small request does not.
        """
        commit = self._settings.dispatch.commit_tokens
        each = min(queue.estimate, commit)
        tolerance = max(commit, each * queue.running) * _RUNNING_TOLERANCE
        for dispatcher in self._ownership.list_homes(
            queue.service, queue.client_account
        ):
            reported = queue.reported.get(dispatcher)
            if reported is None:
                continue
            if abs(queue.running - reported.running) * each >= tolerance:
                self._send_charge(queue, dispatcher)

    def _send_charge(
        self, queue: queues.AccountQueue, dispatcher: str
    ) -> None:
        reported = queue.reported[dispatcher]
        if self._outbox.send(
            dispatcher, self.build_charge(queue, dispatcher, reported.total)
        ):
            reported.total = queue.total
            reported.running = queue.running

    def build_want(
        self, queue: queues.AccountQueue, dispatcher: str, count: int
    ) -> messages.Want:
        """Return the message on a queue's waiting requests."""
        return messages.Want(
            service=queue.service,
            client_account=queue.client_account,
            count=count,
            age=queue.age(),
            hint=queue.hint,
            seen=self.confirm_last_grant(dispatcher),
            estimate=queue.estimate,
            prefer=self._find_preferred_server(queue),
            running=queue.running,
        )

    def build_charge(
        self, queue: queues.AccountQueue, dispatcher: str, base: float
    ) -> messages.Charge:
        """Return the message on a queue's delivered tokens."""
        return messages.Charge(
            service=queue.service,
            client_account=queue.client_account,
            total=queue.total,
            base=base,
            hint=queue.hint,
            running=queue.running,
            seen=self.confirm_last_grant(dispatcher),
        )

    def build_held(self, lease: leases.SlotLease) -> messages.Held:
        """Return the message on a held slot, for its server's owner."""
        return messages.Held(
            id=lease.id,
            service=lease.service,
            client_account=lease.client_account,
            server=lease.backend_server.name,
            estimate=lease.ticket.estimate,
        )

    def confirm_last_grant(self, dispatcher: str) -> int:
        """Return the id of the last grant; sending it confirms the grant."""
        self._unconfirmed_since.pop(dispatcher, None)
        return self._last_grants.get(dispatcher, 0)
