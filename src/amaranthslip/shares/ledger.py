"""The ledger: how much service each client account had, as scores.

A score is service in tokens divided by the client account's share. The
dispatcher serves the lowest score first, as in the virtual token counters
of Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024);
here the counters are fed by many entries while their streams run.
"""

import time
import typing

# Two whole requests of the largest size that the users name (32,000 tokens):
# after a partition heals, nobody is held back for more than that.
CATCH_UP_TOKENS = 64000.0
# How long hints of several entries are compared after an account is met.
REBUILD_SECONDS = 1.0
# An account whose queue was empty for less than this keeps its score: a
# closed loop of callers empties it for moments without being idle.
IDLE_GRACE_SECONDS = 1.0


class Standing:
    """One client account at one service: its score and who reported it.

    Attributes
    ----------
    score : float
        Settled service divided by the share, in tokens.
    estimate : float
        What one of the account's requests may cost, in tokens.
    """

    __slots__ = (
        'score',
        'estimate',
        'totals',
        'running',
        'unreported',
        'known_since',
        'idle_since',
    )

    def __init__(self, score: float, now: float) -> None:
        self.score = score
        self.estimate = 0.0
        self.totals: dict[str, float] = {}
        self.running: dict[str, int] = {}
        self.unreported: dict[str, set[int]] = {}
        self.known_since = now
        self.idle_since: float | None = now

    def count_running(self) -> int:
        """Return the account's requests in progress, at all dispatchers."""
        unreported = sum(len(ids) for ids in self.unreported.values())
        return sum(self.running.values()) + unreported

    def forget(self, entry: str) -> None:
        """Drop what an entry reported."""
        self.running.pop(entry, None)
        self.unreported.pop(entry, None)


class Ledger:
    """The standings of one service's client accounts at one dispatcher.

    Parameters
    ----------
    commit_tokens : float
        What a request in progress counts at most, beside what it delivered.
        About what a slot delivers until that is reported: more would count
        tokens that are minutes away, and hold accounts with large requests
        back; none would give every free slot to one account at once.
    clock : callable
        Seconds, monotonic.
    """

    __slots__ = ('_standings', '_clock', 'commit_tokens', 'level')

    def __init__(
        self,
        *,
        commit_tokens: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._standings: dict[str, Standing] = {}
        self._clock = clock
        self.commit_tokens = commit_tokens
        self.level = 0.0

    def read_score(
        self, client_account: str, share: float, *, phase: float = 0.0
    ) -> float:
        """Return settled service and what is in progress, by share.

        Parameters
        ----------
        phase : float
            This dispatcher's place among the account's homes, from 0 to 1.
            In a burst dispatchers don't yet see one another's grants;
            counting that part of one more request makes their whole slots
            add up to what is due. With equal phases each of eight homes
            would give a small account its first slot at once.
        """
        standing = self._standings[client_account]
        expected = min(standing.estimate, self.commit_tokens)
        in_progress = standing.count_running() + phase
        return standing.score + expected * in_progress / share

    def read_settled(self, client_account: str) -> float:
        """Return settled service divided by the share."""
        standing = self._standings.get(client_account)
        return standing.score if standing else 0.0

    def know(self, client_account: str, hint: float) -> Standing:
        """Return the standing; a new one starts from what others hold.

        A dispatcher that lost its memory would else take every account for
        unserved, and the newest one for as far behind as all the rest; the
        entries carry the last score that any dispatcher named.
        """
        standing = self._standings.get(client_account)
        if standing is None:
            standing = Standing(max(hint, self.level), self._clock())
            self._standings[client_account] = standing
        elif self._clock() - standing.known_since < REBUILD_SECONDS:
            # Entries know scores of different ages; the highest is right.
            standing.score = max(standing.score, hint)
        return standing

    def expect(self, client_account: str, estimate: float) -> None:
        """Note what one of the account's requests may cost, in tokens."""
        # An entry that has had no request yet tells zero. Taken as it is,
        # slots in use would count nothing, and the account would be given
        # every slot that comes free until its tokens are reported.
        if estimate > 0:
            self.know(client_account, 0.0).estimate = estimate

    def begin(self, client_account: str, hint: float) -> None:
        """Note that an account has requests waiting.

        After idleness it is lifted to the least score among the backlogged
        accounts, so that idleness banks no credit.
        """
        standing = self.know(client_account, hint)
        idle_since, standing.idle_since = standing.idle_since, None
        if idle_since is None or standing.count_running():
            return
        if self._clock() - idle_since >= IDLE_GRACE_SECONDS:
            standing.score = max(standing.score, self.level)

    def end(self, client_account: str) -> None:
        """Note that an account has no request waiting here any more."""
        standing = self._standings.get(client_account)
        if standing is not None and standing.idle_since is None:
            standing.idle_since = self._clock()

    def grant(self, client_account: str, entry: str, id: int) -> None:
        """Count a slot that was granted here and not reported yet."""
        standing = self.know(client_account, 0.0)
        standing.unreported.setdefault(entry, set()).add(id)

    def release(self, client_account: str, entry: str, id: int) -> None:
        """Count a slot that came back."""
        standing = self.know(client_account, 0.0)
        unreported = standing.unreported.get(entry, set())
        if id in unreported:
            unreported.discard(id)
        elif standing.running.get(entry, 0) > 0:
            standing.running[entry] -= 1

    def report(
        self, client_account: str, entry: str, *, running: int, seen: int
    ) -> None:
        """Take an entry's count of the account's requests in progress.

        It covers the grants of all dispatchers, and of this one those up to
        `seen`. Dispatchers that counted their own grants only would each
        take an account's part of the slots for too small.
        """
        standing = self.know(client_account, 0.0)
        standing.running[entry] = running
        unreported = standing.unreported.get(entry)
        if unreported:
            standing.unreported[entry] = {id for id in unreported if id > seen}

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
        """Take a reporter's total of delivered tokens.

        Totals only grow, so a repeated or late report changes nothing. What
        was delivered while the reporter could not be heard counts at most
        `CATCH_UP_TOKENS`: without that limit an hour's partition would
        starve the account that was served on its other side for as long.
        """
        standing = self.know(client_account, hint)
        known = standing.totals.get(reporter, base)
        standing.totals[reporter] = max(known, total)
        delivered = min(max(0.0, total - known), CATCH_UP_TOKENS)
        standing.score += delivered / share

    def forget_reporter(self, reporter: str) -> None:
        """Drop a reporter's totals: it restarted and counts from zero."""
        for standing in self._standings.values():
            standing.totals.pop(reporter, None)

    def forget_running(self, entry: str) -> None:
        """Drop an entry's requests in progress: they ended with it."""
        for standing in self._standings.values():
            standing.forget(entry)

    def raise_level(self, level: float) -> None:
        """Raise the level that returning accounts are lifted to."""
        self.level = max(self.level, level)

    def prune(self, idle_seconds: float) -> None:
        """Forget accounts that were idle for longer than `idle_seconds`."""
        since = self._clock() - idle_seconds
        for name, standing in list(self._standings.items()):
            idle_since = standing.idle_since
            if idle_since is not None and idle_since < since:
                if not standing.count_running():
                    del self._standings[name]

    def __len__(self) -> int:
        return len(self._standings)
