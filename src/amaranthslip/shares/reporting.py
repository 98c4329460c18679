"""Reporting: how an entry reports its queues to the dispatchers.

Dispatchers grant slots on the reported counts, so that reports are as few as
possible while those counts stay good enough.
"""

import time
import typing

from amaranthslip.capacity import prefixes
from amaranthslip import settings as settings_module
from amaranthslip.shares import leases
from amaranthslip.shares import lines
from amaranthslip.shares import messages
from amaranthslip.shares import ownership

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


class Reporting:
    """Reports an entry's waiting, running and delivered work to dispatchers.

    Parameters
    ----------
    settings : Settings
        Uses `dispatch`.
    owned : Ownership
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
        '_changed_lines',
        '_mean_share',
        '_last_flush_at',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        owned: ownership.Ownership,
        holder: typing.Any,
        outbox: typing.Any,
        known: prefixes.Prefixes | None,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._ownership = owned
        self._holder = holder
        self._outbox = outbox
        self._prefixes = known
        self._clock = clock
        self._last_grants: dict[str, int] = {}
        self._unconfirmed_since: dict[str, float] = {}
        self._digests: dict[tuple[str, str], tuple[int, float]] = {}
        self._changed_lines: set[lines.Line] = set()
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

    def note_charge(self, line: lines.Line, tokens: float) -> None:
        """Count delivered tokens; `tell_dirty` reports them to the homes."""
        line.total += tokens
        self._changed_lines.add(line)

    def forget(self, dispatcher: str) -> None:
        """Forget the grants of a dispatcher that restarted."""
        self._last_grants.pop(dispatcher, None)
        self._unconfirmed_since.pop(dispatcher, None)

    def follow_configuration(self) -> None:
        """Compute the mean share of the configuration in force."""
        accounts = self._holder.document.client_accounts
        total = sum(account.share for account in accounts.values())
        self._mean_share = total / len(accounts) if accounts else 1.0

    def confirm_late(self) -> None:
        """Confirm grants that no other message confirmed in time."""
        now = self._clock()
        for dispatcher, since in list(self._unconfirmed_since.items()):
            if now - since >= _CONFIRM_DELAY_SECONDS:
                confirm = messages.Confirm(seen=self.take_seen(dispatcher))
                self._outbox.send(dispatcher, confirm)

    def restate_line(self, line: lines.Line, dispatcher: str) -> list[object]:
        """Return the messages that restore a dispatcher's data on a queue."""
        known = line.told.get(dispatcher)
        if known is None:
            return []
        known.count = min(len(line.waiters), _MAX_REPORTED_REQUESTS)
        told = [
            self.build_want(line, dispatcher, known.count),
            self.build_charge(line, dispatcher, line.total),
        ]
        known.total = line.total
        known.running = line.running
        return told

    def tell_wants(self, line: lines.Line) -> None:
        """Report a queue's waiting requests where the count is outdated."""
        selected = self._select_dispatchers(line)
        waiting = len(line.waiters)
        for dispatcher in line.told.keys() - set(selected):
            if line.told[dispatcher].count:
                self._send_want(line, dispatcher, 0)
        for dispatcher in selected:
            told = line.find_told(dispatcher)
            target = min(waiting, _MAX_REPORTED_REQUESTS)
            short = told.count < min(waiting, _MIN_REPORTED_REQUESTS)
            low = told.count < target and told.count <= target // 4
            # A count that is slightly high costs an unused slot now and then.
            # One message per request and home would cost more.
            high = told.count > _OVERCOUNT_FACTOR * waiting
            if high or short or low:
                self._send_want(line, dispatcher, target)

    def _send_want(
        self, line: lines.Line, dispatcher: str, count: int
    ) -> None:
        if self._outbox.send(
            dispatcher, self.build_want(line, dispatcher, count)
        ):
            line.told[dispatcher].count = count
            line.told[dispatcher].running = line.running

    def _select_dispatchers(self, line: lines.Line) -> list[str]:
        """Return the dispatchers that should get a queue's requests.

        A single recent request is reported to one home, several requests or
        an older one to all homes. An older one is also reported to the
        dispatchers with free slots, so that no slot is idle because too few
        accounts have their homes at its dispatcher.
        """
        homes = self._ownership.homes(line.service, line.client_account)
        if not line.waiters or not homes:
            line.extras.clear()
            return list(homes)
        age = line.age()
        widen = self._settings.dispatch.widen_seconds
        if len(line.waiters) == 1 and age < widen:
            told = [
                dispatcher
                for dispatcher in homes
                if self._has_reported_requests(line, dispatcher)
            ]
            return told or [self._pick_single_home(line, homes)]
        if age >= widen:
            line.extras.update(self._list_free_dispatchers(line.service))
        owners = self._ownership.list_owners(line.service)
        return list(dict.fromkeys([*homes, *(line.extras & owners)]))

    def _has_reported_requests(
        self, line: lines.Line, dispatcher: str
    ) -> bool:
        told = line.told.get(dispatcher)
        return told is not None and told.count > 0

    def _pick_single_home(
        self, line: lines.Line, homes: typing.Sequence[str]
    ) -> str:
        preferred = self._ownership.owner(self._find_preferred_server(line))
        if preferred in homes:
            return preferred
        free = set(self._list_free_dispatchers(line.service))
        return next(
            (dispatcher for dispatcher in homes if dispatcher in free),
            homes[0],
        )

    def _find_preferred_server(self, line: lines.Line) -> str:
        if self._prefixes is None or not line.waiters:
            return ''
        return self._prefixes.find(line.waiters[0].ticket.prefix_hashes)

    def _list_free_dispatchers(self, service: str) -> list[str]:
        since = self._clock() - _DIGEST_VALID_SECONDS
        return [
            dispatcher
            for (served, dispatcher), (free, at) in self._digests.items()
            if served == service and free and at >= since
        ]

    def _send_charges(self, line: lines.Line, threshold: float) -> bool:
        """Report delivered tokens to the homes that lack a threshold of them.

        Returns
        -------
        bool
            Whether some delivered tokens are still unreported.
        """
        if self._ownership.is_local:
            threshold = 1.0
        unreported = False
        for dispatcher in self._ownership.homes(
            line.service, line.client_account
        ):
            told = line.find_told(dispatcher)
            if line.total - told.total >= threshold:
                self._send_charge(line, dispatcher)
            unreported = unreported or line.total > told.total
        return unreported

    def tell_dirty(self, now: float) -> None:
        """Report tokens delivered since the last tick, above a threshold.

        An account without waiting requests here does not compete for slots
        here, so that its tokens are reported in larger amounts.
        """
        flush = now - self._last_flush_at >= _FLUSH_INTERVAL_SECONDS
        if flush:
            self._last_flush_at = now
        changed, self._changed_lines = self._changed_lines, set()
        for line in changed:
            threshold_tokens = self._compute_charge_threshold(line)
            if not line.waiters:
                threshold_tokens *= _IDLE_FACTOR
            elif flush:
                threshold_tokens *= _FLUSH_FACTOR
            self.tell_running(line)
            if self._send_charges(line, threshold_tokens):
                self._changed_lines.add(line)

    def _compute_charge_threshold(self, line: lines.Line) -> float:
        """Return the threshold of unreported tokens.

        It is lower for small shares, as an account's score counts its tokens
        divided by its share.
        """
        accounts = self._holder.document.client_accounts
        account = accounts.get(line.client_account)
        relative_share = account.share / self._mean_share if account else 1.0
        return self._settings.dispatch.charge_tokens * min(1.0, relative_share)

    def tell_running(self, line: lines.Line) -> None:
        """Report running requests to homes whose count is too far off.

        The error is measured in tokens: one large request matters to the
        account's score, one small request does not.
        """
        commit = self._settings.dispatch.commit_tokens
        each = min(line.estimate, commit)
        tolerance = max(commit, each * line.running) * _RUNNING_TOLERANCE
        for dispatcher in self._ownership.homes(
            line.service, line.client_account
        ):
            told = line.told.get(dispatcher)
            if told is None:
                continue
            if abs(line.running - told.running) * each >= tolerance:
                self._send_charge(line, dispatcher)

    def _send_charge(self, line: lines.Line, dispatcher: str) -> None:
        told = line.told[dispatcher]
        if self._outbox.send(
            dispatcher, self.build_charge(line, dispatcher, told.total)
        ):
            told.total = line.total
            told.running = line.running

    def build_want(
        self, line: lines.Line, dispatcher: str, count: int
    ) -> messages.Want:
        """Return the message on a queue's waiting requests."""
        return messages.Want(
            service=line.service,
            client_account=line.client_account,
            count=count,
            age=line.age(),
            hint=line.hint,
            seen=self.take_seen(dispatcher),
            estimate=line.estimate,
            prefer=self._find_preferred_server(line),
            running=line.running,
        )

    def build_charge(
        self, line: lines.Line, dispatcher: str, base: float
    ) -> messages.Charge:
        """Return the message on a queue's delivered tokens."""
        return messages.Charge(
            service=line.service,
            client_account=line.client_account,
            total=line.total,
            base=base,
            hint=line.hint,
            running=line.running,
            seen=self.take_seen(dispatcher),
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

    def take_seen(self, dispatcher: str) -> int:
        """Return the id of the last grant; sending it confirms the grant."""
        self._unconfirmed_since.pop(dispatcher, None)
        return self._last_grants.get(dispatcher, 0)
