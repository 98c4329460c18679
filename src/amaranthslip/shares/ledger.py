"""Scores of client accounts: the service received, divided by the share.

Service is measured in tokens. The dispatcher serves the lowest score first,
as in the virtual token counters of Sheng et al., "Fairness in Serving Large
Language Models" (OSDI 2024). Here many entries update the counters while
responses are streamed.
"""

import time
import typing

# Largest amount of service added to a score by one report: two requests of
# the largest size in the user requirements (32,000 tokens). After a partition
# heals, an account waits for others to catch up by no more than this.
CATCH_UP_TOKENS = 64000.0
# How long a new record may still be raised to a higher hint of another entry.
REBUILD_SECONDS = 1.0
# An account whose queue was empty for less than this time is not treated as
# idle and keeps its score: callers that send the next request after the last
# response leave the queue empty for moments.
IDLE_GRACE_SECONDS = 1.0


class AccountRecord:
    """The score of one client account at one service, and its inputs.

    Attributes
    ----------
    score : float
        Reported service divided by the share, in tokens. It is raised to
        the level of the ledger after an idle time.
    estimate : float
        Expected cost of one request of the account, in tokens.
    totals : dict
        Delivered tokens by reporting entry, since the entry started.
    running : dict
        Requests in progress by entry, as the entry last reported them.
    unreported : dict
        Ids of grants by entry that its last report does not include.
    created_at : float
        When the record was created, in monotonic seconds.
    idle_since : float or None
        When the last waiting request left, or None while requests wait.
    """

    __slots__ = (
        'score',
        'estimate',
        'totals',
        'running',
        'unreported',
        'created_at',
        'idle_since',
    )

    def __init__(self, score: float, now: float) -> None:
        self.score = score
        self.estimate = 0.0
        self.totals: dict[str, float] = {}
        self.running: dict[str, int] = {}
        self.unreported: dict[str, set[int]] = {}
        self.created_at = now
        self.idle_since: float | None = now

    def count_running(self) -> int:
        """Return the account's requests in progress, for all dispatchers."""
        unreported = sum(len(ids) for ids in self.unreported.values())
        return sum(self.running.values()) + unreported

    def drop_running_of(self, entry: str) -> None:
        """Drop the requests in progress of an entry."""
        self.running.pop(entry, None)
        self.unreported.pop(entry, None)


class Ledger:
    """The account records of one service at one dispatcher.

    Parameters
    ----------
    commit_tokens : float
        Upper limit, in tokens, of what a request in progress adds to the
        score on top of its delivered tokens. It should be close to what a
        slot delivers between two reports. A larger value counts tokens that
        are delivered minutes later and delays accounts with large requests;
        zero would grant every free slot to a single account at once.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = ('_records', '_clock', 'commit_tokens', 'level')

    def __init__(
        self,
        *,
        commit_tokens: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._records: dict[str, AccountRecord] = {}
        self._clock = clock
        self.commit_tokens = commit_tokens
        self.level = 0.0

    def read_score(
        self, client_account: str, share: float, *, phase: float = 0.0
    ) -> float:
        """Return reported service and work in progress, divided by share.

        Parameters
        ----------
        phase : float
            Relative position of this dispatcher among the account's homes,
            from 0 to 1, added to the number of requests in progress. During
            a burst dispatchers have not yet received each other's latest
            counts; with different phases the whole slots that they grant add
            up to the account's share. With equal phases each of eight homes
            would grant a small account its first slot at the same time.
        """
        record = self._records[client_account]
        expected = min(record.estimate, self.commit_tokens)
        in_progress = record.count_running() + phase
        return record.score + expected * in_progress / share

    def read_reported(self, client_account: str) -> float:
        """Return reported service divided by the share."""
        record = self._records.get(client_account)
        return record.score if record else 0.0

    def get_or_create(self, client_account: str, hint: float) -> AccountRecord:
        """Return the record; a new one starts at the hint or the level.

        `hint` is the highest score that any dispatcher has sent to the
        entry. A dispatcher that restarted without its records would otherwise
        treat every account as unserved, and count the newest one as far
        behind as all others.
        """
        record = self._records.get(client_account)
        if record is None:
            record = AccountRecord(max(hint, self.level), self._clock())
            self._records[client_account] = record
        elif self._clock() - record.created_at < REBUILD_SECONDS:
            # Entries hold scores of different ages; the highest is the latest.
            record.score = max(record.score, hint)
        return record

    def set_estimate(self, client_account: str, estimate: float) -> None:
        """Set the expected cost of one request of the account, in tokens."""
        # An entry without any request so far reports zero. Stored as the
        # estimate, zero would exclude slots in use from the score, and the
        # account would get every free slot until its tokens are reported.
        if estimate > 0:
            self.get_or_create(client_account, 0.0).estimate = estimate

    def mark_backlogged(self, client_account: str, hint: float) -> None:
        """Mark an account as backlogged.

        After an idle time its score is raised to the lowest score among the
        backlogged accounts, so that an idle account accumulates no credit.
        """
        record = self.get_or_create(client_account, hint)
        idle_since, record.idle_since = record.idle_since, None
        if idle_since is None or record.count_running():
            return
        if self._clock() - idle_since >= IDLE_GRACE_SECONDS:
            record.score = max(record.score, self.level)

    def mark_idle(self, client_account: str) -> None:
        """Mark an account as no longer backlogged at this dispatcher."""
        record = self._records.get(client_account)
        if record is not None and record.idle_since is None:
            record.idle_since = self._clock()

    def grant(self, client_account: str, entry: str, id: int) -> None:
        """Count a granted slot until the entry reports it as running."""
        record = self.get_or_create(client_account, 0.0)
        record.unreported.setdefault(entry, set()).add(id)

    def release(self, client_account: str, entry: str, id: int) -> None:
        """Stop counting a slot that was returned."""
        record = self.get_or_create(client_account, 0.0)
        unreported = record.unreported.get(entry, set())
        if id in unreported:
            unreported.discard(id)
        elif record.running.get(entry, 0) > 0:
            record.running[entry] -= 1

    def report(
        self, client_account: str, entry: str, *, running: int, seen: int
    ) -> None:
        """Store an entry's count of the account's requests in progress.

        The count covers the grants of all dispatchers, and those of this one
        up to id `seen`. Dispatchers that counted only their own grants would
        each underestimate the slots that the account uses.
        """
        record = self.get_or_create(client_account, 0.0)
        record.running[entry] = running
        unreported = record.unreported.get(entry)
        if unreported:
            record.unreported[entry] = {id for id in unreported if id > seen}

    def charge(
        self,
        client_account: str,
        reporter: str,
        *,
        share: float,
        total: float,
        base: float,
        hint: float,
    ) -> None:
        """Add newly delivered tokens, given the total of a reporting entry.

        Totals only grow, so a repeated or late report changes nothing. One
        report adds at most `CATCH_UP_TOKENS`. Without that limit, after a
        partition of an hour, an account that was served on the other side
        would get no service here for as long.
        """
        record = self.get_or_create(client_account, hint)
        known = record.totals.get(reporter, base)
        record.totals[reporter] = max(known, total)
        delivered = min(max(0.0, total - known), CATCH_UP_TOKENS)
        record.score += delivered / share

    def drop_reporter(self, reporter: str) -> None:
        """Drop the totals of an entry that restarted and counts from zero."""
        for record in self._records.values():
            record.totals.pop(reporter, None)

    def drop_running(self, entry: str) -> None:
        """Drop the requests in progress of an entry that has ended."""
        for record in self._records.values():
            record.drop_running_of(entry)

    def raise_level(self, level: float) -> None:
        """Raise the minimum score of accounts that return from idleness."""
        self.level = max(self.level, level)

    def prune(self, idle_seconds: float) -> None:
        """Remove accounts that were idle for longer than `idle_seconds`."""
        since = self._clock() - idle_seconds
        for name, record in list(self._records.items()):
            idle_since = record.idle_since
            if idle_since is not None and idle_since < since:
                if not record.count_running():
                    del self._records[name]

    def __len__(self) -> int:
        return len(self._records)
