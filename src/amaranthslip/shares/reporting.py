"""Reporting: what an entry tells the dispatchers of its lines.

Few messages, and enough of them: dispatchers grant by what they were told.
"""

import time
import typing

from amaranthslip.capacity import prefixes
from amaranthslip import settings as settings_module
from amaranthslip.shares import leases
from amaranthslip.shares import lines
from amaranthslip.shares import messages
from amaranthslip.shares import ownership

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
_RUNNING_OFF = 0.5
_CONFIRM_SECONDS = 0.3
_DIGEST_VALID_SECONDS = 3.0


class Reporting:
    """Tells dispatchers what waits, runs and was delivered at an entry.

    Parameters
    ----------
    settings : Settings
        Uses `dispatch`.
    owned : Ownership
        Client accounts' homes and servers' owners.
    holder : Holder
        The configuration in force.
    outbox : object
        `send(instance_name, message) -> bool`.
    known : Prefixes or None
        Where prompt prefixes went lately.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = (
        '_settings',
        '_ownership',
        '_holder',
        '_outbox',
        '_prefixes',
        '_clock',
        '_seen',
        '_unconfirmed',
        '_digests',
        '_dirty',
        '_mean_share',
        '_last_flush',
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
        self._seen: dict[str, int] = {}
        self._unconfirmed: dict[str, float] = {}
        self._digests: dict[tuple[str, str], tuple[int, float]] = {}
        self._dirty: set[lines.Line] = set()
        self._mean_share = 1.0
        self._last_flush = clock()

    def note_grant(self, sender: str, id: int) -> None:
        """Note that a grant of a dispatcher arrived."""
        self._seen[sender] = max(self._seen.get(sender, 0), id)
        self._unconfirmed.setdefault(sender, self._clock())

    def note_digest(self, sender: str, digest: messages.Digest) -> None:
        """Note how many slots a dispatcher says are free."""
        key = (digest.service, sender)
        self._digests[key] = (digest.free, self._clock())

    def note_charge(self, line: lines.Line, tokens: float) -> None:
        """Note delivered tokens; `tell_dirty` tells the homes."""
        line.total += tokens
        self._dirty.add(line)

    def forget(self, name: str) -> None:
        """Forget the grants of a dispatcher that restarted."""
        self._seen.pop(name, None)
        self._unconfirmed.pop(name, None)

    def follow_configuration(self) -> None:
        """Take the mean share of the configuration in force."""
        accounts = self._holder.document.client_accounts
        total = sum(account.share for account in accounts.values())
        self._mean_share = total / len(accounts) if accounts else 1.0

    def confirm_late(self) -> None:
        """Confirm grants that no other message confirmed for a while."""
        now = self._clock()
        for name, since in list(self._unconfirmed.items()):
            if now - since >= _CONFIRM_SECONDS:
                confirm = messages.Confirm(seen=self.take_seen(name))
                self._outbox.send(name, confirm)

    def restate_line(self, line: lines.Line, name: str) -> list[object]:
        """Return all that a dispatcher should know of a line."""
        known = line.told.get(name)
        if known is None:
            return []
        known.count = min(len(line.waiters), _MOST_TOLD)
        told = [
            self.build_want(line, name, known.count),
            self.build_charge(line, name, line.total),
        ]
        known.total = line.total
        known.running = line.running
        return told

    def tell_wants(self, line: lines.Line) -> None:
        """Tell the dispatchers of a line as much as they need to know."""
        engaged = self._engage(line)
        waiting = len(line.waiters)
        for name in line.told.keys() - set(engaged):
            if line.told[name].count:
                self._tell_want(line, name, 0)
        for name in engaged:
            told = line.find_told(name)
            target = min(waiting, _MOST_TOLD)
            short = told.count < min(waiting, _EXACT)
            low = told.count < target and told.count <= target // 4
            # A count that is somewhat high costs a slot returned unused now
            # and then; one message for each request and home costs more.
            high = told.count > _HIGH * waiting
            if high or short or low:
                self._tell_want(line, name, target)

    def _tell_want(self, line: lines.Line, name: str, count: int) -> None:
        if self._outbox.send(name, self.build_want(line, name, count)):
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
            told = line.find_told(name)
            if line.total - told.total >= threshold:
                self._tell_charge(line, name)
            left = left or line.total > told.total
        return left

    def tell_dirty(self, now: float) -> None:
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
            self.tell_running(line)
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

    def tell_running(self, line: lines.Line) -> None:
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
        if self._outbox.send(name, self.build_charge(line, name, told.total)):
            told.total = line.total
            told.running = line.running

    def build_want(
        self, line: lines.Line, name: str, count: int
    ) -> messages.Want:
        """Return what waits in a line, for one dispatcher."""
        return messages.Want(
            service=line.service,
            client_account=line.client_account,
            count=count,
            age=line.age(),
            hint=line.hint,
            seen=self.take_seen(name),
            estimate=line.estimate,
            prefer=self._prefer(line),
            running=line.running,
        )

    def build_charge(
        self, line: lines.Line, name: str, base: float
    ) -> messages.Charge:
        """Return what a line was delivered, for one dispatcher."""
        return messages.Charge(
            service=line.service,
            client_account=line.client_account,
            total=line.total,
            base=base,
            hint=line.hint,
            running=line.running,
            seen=self.take_seen(name),
        )

    def build_held(self, lease: leases.SlotLease) -> messages.Held:
        """Return a held slot, for its server's owner."""
        return messages.Held(
            id=lease.id,
            service=lease.service,
            client_account=lease.client_account,
            server=lease.backend_server.name,
            estimate=lease.ticket.estimate,
        )

    def take_seen(self, name: str) -> int:
        """Return the last grant seen; what is sent with it confirms it."""
        self._unconfirmed.pop(name, None)
        return self._seen.get(name, 0)
