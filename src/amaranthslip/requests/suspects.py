"""Evidence of which part of a prompt crashes the backend servers."""

import collections
import time
import typing

# Crashes under a part after which requests with it are refused.
CRASH_LIMIT = 3
# The same for a part on which answers have been completed before.
_COMPLETED_CRASH_LIMIT = 5
# Crashes of a part that no answer was completed on, after which a request with
# it is not tried again by the same attempt.
_RETRY_CRASH_LIMIT = 2
# Seconds for which evidence is kept after the last crash or refusal.
RETENTION_SECONDS = 600.0
# Seconds after a completion in which crashes are not counted.
COMPLETION_SECONDS = 2.0
# Servers that end together count once: crashes that are fewer seconds apart
# are distinct only if the request was sent after the earlier one.
_SAME_OUTAGE_SECONDS = 0.25
# Reports for a server without an incarnation that are fewer seconds apart than
# this refer to the same crash.
_SAME_CRASH_SECONDS = 1.0
# Causes that are told apart at the same time.
_MAX_EXPLANATIONS = 16
# Limits on memory.
_MAX_RECORDS = 2048
_MAX_ACCOUNT_RECORDS = 256
_MAX_RECORD_CRASHES = 16
_MAX_CRASHES = 1024
_MAX_COMPLETIONS = 16384
# Parts of one prompt that are examined.
MAX_PROMPT_PARTS = 64


class SentParts:
    """The shared parts of one request's prompt.

    Parameters
    ----------
    account : bytes
        Digest of the client account.
    digests : tuple of bytes
        Digests of the parts, in order.

    Attributes
    ----------
    sent_at : float
        Monotonic time of the latest try.
    is_trial : bool
        Whether the request is run although one of the parts is refused.
    """

    __slots__ = ('account', 'digests', 'sent_at', 'is_trial')

    def __init__(self, account: bytes, digests: tuple[bytes, ...]) -> None:
        self.account = account
        self.digests = digests
        self.sent_at = float('-inf')
        self.is_trial = False


class ServerCrash:
    """One crash of a backend server; each is represented by one object."""

    __slots__ = ('server', 'incarnation', 'crashed_at')

    def __init__(
        self, server: str, incarnation: int, crashed_at: float
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.crashed_at = crashed_at


class PartCrash:
    """A crash during a request of one client account with one part.

    Parameters
    ----------
    server_crash : ServerCrash
        The crash.
    account : bytes
        Digest of the client account.
    sent_at : float
        Monotonic time at which the request was sent to the server.
    """

    __slots__ = ('server_crash', 'account', 'sent_at')

    def __init__(
        self, server_crash: ServerCrash, account: bytes, sent_at: float
    ) -> None:
        self.server_crash = server_crash
        self.account = account
        self.sent_at = sent_at


class Suspicion:
    """A part that is taken for the cause of crashes.

    Parameters
    ----------
    digest : bytes
        The part.
    account : bytes or None
        Digest of the client account whose requests are refused; None stands
        for all accounts.
    """

    __slots__ = ('digest', 'account')

    def __init__(self, digest: bytes, account: bytes | None) -> None:
        self.digest = digest
        self.account = account


class _Record:
    """The crashes during requests with one part."""

    __slots__ = ('owner', 'crashes', 'updated_at')

    def __init__(self, owner: bytes) -> None:
        # The account that this record counts for in the limit on memory.
        self.owner = owner
        self.crashes: dict[tuple[ServerCrash, bytes], PartCrash] = {}
        self.updated_at = float('-inf')

    @property
    def accounts(self) -> set[bytes]:
        """The accounts that the requests were of."""
        return {account for _, account in self.crashes}

    @property
    def server_crashes(self) -> set[ServerCrash]:
        """The crashes, whatever accounts the requests were of."""
        return {server_crash for server_crash, _ in self.crashes}


class Suspects:
    """Finds the parts of prompts that crash the servers that answer them.

    All requests that a server runs are interrupted by its crash. A part that
    causes crashes is present at each of them, and no answer is completed on
    it. Sound parts are cleared by the next answer that is completed.

    Evidence counts against the requests of the client account that it came
    from. It counts against all accounts once three of them were hit by
    crashes of their own, so that no account can get the part of another one
    refused by adding it to requests that crash servers.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = (
        '_clock',
        '_records',
        '_crashes',
        '_completed',
        '_owned',
        '_suspicions',
    )

    def __init__(
        self, *, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        # All are in order of the last update.
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )
        self._crashes: collections.OrderedDict[
            tuple[str, int], ServerCrash
        ] = collections.OrderedDict()
        # Time of the latest completion, by part.
        self._completed: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # The parts whose records count for each account, the oldest first.
        self._owned: dict[bytes, dict[bytes, None]] = {}
        # None: not computed since the evidence changed.
        self._suspicions: list[Suspicion] | None = None

    def read_clock(self) -> float:
        """Return the current monotonic time."""
        return self._clock()

    def get_completion(self, digest: bytes) -> float:
        """Return the time of the latest completion; -inf if none is known."""
        return self._completed.get(digest, float('-inf'))

    def is_cleared(self, digest: bytes, crashed_at: float) -> bool:
        """Return whether a completion clears a part of a crash."""
        return crashed_at <= self.get_completion(digest) + COMPLETION_SECONDS

    def note_completion(self, digest: bytes, completed_at: float) -> bool:
        """Record that an answer was completed on a part.

        Returns
        -------
        bool
            Whether crashes under the part have been discarded.
        """
        self._completed[digest] = max(
            completed_at, self.get_completion(digest)
        )
        self._completed.move_to_end(digest)
        while len(self._completed) > _MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        record = self._records.get(digest)
        if record is None:
            return False
        cleared = [
            key
            for key in record.crashes
            if self.is_cleared(digest, key[0].crashed_at)
        ]
        for key in cleared:
            del record.crashes[key]
        if not record.crashes:
            self._remove(digest)
        self._suspicions = None
        return bool(cleared)

    def note_crash(
        self,
        digest: bytes,
        account: bytes,
        server: str,
        incarnation: int,
        *,
        crashed_at: float,
        sent_at: float,
        is_stored: bool = False,
    ) -> bool:
        """Record a crash during a request with a part.

        Parameters
        ----------
        is_stored : bool
            Whether the crash comes from the store, which does not tell when it
            was. A known crash of the same server is then taken for it.

        Returns
        -------
        bool
            False if it is already recorded, or a completion has cleared the
            part.
        """
        if self.is_cleared(digest, crashed_at):
            return False
        self._drop_expired()
        server_crash = self._find_crash(
            server, incarnation, crashed_at, any_time=is_stored
        )
        record = self._records.get(digest)
        if record is None:
            record = self._add_record(digest, account)
        key = (server_crash, account)
        known = record.crashes.get(key)
        if known is not None and known.sent_at >= sent_at:
            return False
        record.crashes[key] = PartCrash(server_crash, account, sent_at)
        while len(record.crashes) > _MAX_RECORD_CRASHES:
            del record.crashes[next(iter(record.crashes))]
        self.note_repeat(digest)
        self._suspicions = None
        self._limit_records(account)
        return known is None

    def note_repeat(self, digest: bytes) -> None:
        """Extend the retention of the evidence against a part."""
        record = self._records.get(digest)
        if record is not None:
            record.updated_at = self._clock()
            self._records.move_to_end(digest)
            owned = self._owned[record.owner]
            owned[digest] = owned.pop(digest)

    def release(self, digest: bytes) -> bool:
        """Discard the evidence against a part; return whether any was."""
        if digest not in self._records:
            return False
        self._remove(digest)
        self._suspicions = None
        return True

    def list_refused(self, sent_parts: SentParts) -> list[bytes]:
        """Return the parts for which a request is refused."""
        return [
            each.digest
            for each in self.list_suspicions()
            if each.digest in sent_parts.digests
            and each.account in (None, sent_parts.account)
        ]

    def is_suspected(self, sent_parts: SentParts) -> bool:
        """Return whether a request should not be tried once more."""
        for digest in sent_parts.digests:
            record = self._records.get(digest)
            if record is None or digest in self._completed:
                continue
            if len(record.server_crashes) >= _RETRY_CRASH_LIMIT:
                return True
        return False

    def list_suspicions(self) -> list[Suspicion]:
        """Return the suspicions for which requests are refused."""
        self._drop_expired()
        if self._suspicions is None:
            self._suspicions = self._find_suspicions()
        return self._suspicions

    def list_quarantine_crashes(self, digest: bytes) -> tuple[PartCrash, ...]:
        """Return the crashes of a part that is refused, else nothing."""
        if not any(digest == each.digest for each in self.list_suspicions()):
            return ()
        return tuple(self._records[digest].crashes.values())

    def list_quarantined(self) -> list[bytes]:
        """Return the digests of the parts that are refused."""
        return sorted({each.digest for each in self.list_suspicions()})

    def list_all_crashes(self) -> list[tuple[bytes, PartCrash]]:
        """Return all crashes with their parts, the refused parts last."""
        self._drop_expired()
        quarantined = set(self.list_quarantined())
        return [
            (digest, crash)
            for digest, record in sorted(
                self._records.items(), key=lambda item: item[0] in quarantined
            )
            for crash in record.crashes.values()
        ]

    def _find_crash(
        self,
        server: str,
        incarnation: int,
        crashed_at: float,
        *,
        any_time: bool,
    ) -> ServerCrash:
        key = (server, incarnation)
        known = self._crashes.get(key)
        if known is not None and (
            incarnation
            or any_time
            or abs(known.crashed_at - crashed_at) < _SAME_CRASH_SECONDS
        ):
            return known
        self._crashes[key] = ServerCrash(server, incarnation, crashed_at)
        self._crashes.move_to_end(key)
        while len(self._crashes) > _MAX_CRASHES:
            self._crashes.popitem(last=False)
        return self._crashes[key]

    def _add_record(self, digest: bytes, owner: bytes) -> _Record:
        record = self._records[digest] = _Record(owner)
        self._owned.setdefault(owner, {})[digest] = None
        return record

    def _remove(self, digest: bytes) -> None:
        record = self._records.pop(digest)
        del self._owned[record.owner][digest]
        if not self._owned[record.owner]:
            del self._owned[record.owner]

    def _drop_expired(self) -> None:
        expired_before = self._clock() - RETENTION_SECONDS
        while self._records:
            oldest = next(iter(self._records))
            if self._records[oldest].updated_at >= expired_before:
                return
            self._remove(oldest)
            self._suspicions = None

    def _limit_records(self, account: bytes) -> None:
        """Evict records, those of the account with the most records first."""
        if len(self._owned.get(account, ())) > _MAX_ACCOUNT_RECORDS:
            self._evict(account)
        if len(self._records) > _MAX_RECORDS:
            self._evict(
                max(self._owned, key=lambda each: len(self._owned[each]))
            )

    def _evict(self, owner: bytes) -> None:
        """Evict an account's record with the fewest crashes, the oldest."""
        self._remove(
            min(
                self._owned[owner],
                key=lambda digest: len(self._records[digest].crashes),
            )
        )

    def _find_suspicions(self) -> list[Suspicion]:
        """Return the explanations of the crashes, one after the other.

        A crash that one suspicion explains counts against no other part. The
        part that reached the limit first goes first: once it is refused, no
        more crashes count under it, but more may under sound ones that were
        in flight at the same crashes.
        """
        suspicions: list[Suspicion] = []
        # The parts of each explanation of a crash.
        explained: dict[ServerCrash, list[set[bytes]]] = {}
        candidates = [
            _Candidate(
                digest,
                account,
                record,
                is_new=digest not in self._completed,
            )
            for digest, record in self._records.items()
            if len(record.server_crashes) >= CRASH_LIMIT
            for account in (None, *record.accounts)
        ]
        for _ in range(_MAX_EXPLANATIONS):
            for candidate in candidates:
                candidate.count(explained)
            leaders = _find_leaders(candidates)
            if not leaders:
                break
            suspicions += [
                Suspicion(each.digest, each.account) for each in leaders
            ]
            parts = {each.digest for each in leaders}
            for server_crash in set().union(
                *(each.crashes for each in leaders)
            ):
                explained.setdefault(server_crash, []).append(parts)
            candidates = [each for each in candidates if not each.is_leader]
        return suspicions


def count_servers(
    crashes: typing.Iterable[PartCrash], account: bytes | None = None
) -> int:
    """Return how many server crashes hit requests, or those of an account."""
    return len(
        {
            each.server_crash
            for each in crashes
            if account in (None, each.account)
        }
    )


class _Candidate:
    """A part that may have caused crashes under requests of one account.

    Parameters
    ----------
    digest : bytes
        The part.
    account : bytes or None
        Digest of the client account; None stands for all accounts.
    record : _Record
        The crashes under the part.
    is_new : bool
        Whether no answer is known to be completed on the part.

    Attributes
    ----------
    crashes : set of ServerCrash
        The crashes that count.
    limit_crash : ServerCrash or None
        The crash at which the limit was reached.
    is_leader : bool
        Whether it has been taken for the cause of its crashes.
    """

    __slots__ = (
        'digest',
        'account',
        'is_new',
        'crashes',
        'limit_crash',
        'is_leader',
        '_record',
    )

    def __init__(
        self,
        digest: bytes,
        account: bytes | None,
        record: _Record,
        *,
        is_new: bool,
    ) -> None:
        self.digest = digest
        self.account = account
        self.is_new = is_new
        self._record = record
        self.crashes: set[ServerCrash] = set()
        self.limit_crash: ServerCrash | None = None
        self.is_leader = False

    @property
    def rank(self) -> tuple[bool, float]:
        """Parts on which an answer was completed go last."""
        return not self.is_new, self.limit_crash.crashed_at

    def count(self, explained: dict[ServerCrash, set['_Candidate']]) -> None:
        """Count the crashes that nothing else explains.

        For all accounts together, a crash counts if it hit an account that no
        earlier one has hit.
        """
        counted = sorted(
            (
                each
                for each in self._record.crashes.values()
                if all(
                    self.digest in parts
                    for parts in explained.get(each.server_crash, ())
                )
            ),
            key=lambda each: each.server_crash.crashed_at,
        )
        if self.account is None:
            hits = _list_first_hits(counted)
        else:
            hits = [
                each
                for each in counted
                if each.account == self.account
                and each.server_crash not in explained
            ]
        self.crashes = {each.server_crash for each in hits}
        self.limit_crash = None
        limit = CRASH_LIMIT if self.is_new else _COMPLETED_CRASH_LIMIT
        distinct = _list_distinct(hits)
        if len(distinct) >= limit:
            self.limit_crash = distinct[limit - 1]


def _list_first_hits(crashes: typing.Iterable[PartCrash]) -> list[PartCrash]:
    """Return the first of the crashes under each account."""
    first_hits: dict[bytes, PartCrash] = {}
    for crash in crashes:
        first_hits.setdefault(crash.account, crash)
    return list(first_hits.values())


def _find_leaders(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the one that reached its limit first, or several at once."""
    counted = [each for each in candidates if each.limit_crash is not None]
    if not counted:
        return []
    first = min(counted, key=lambda each: each.rank)
    leaders = [
        each
        for each in counted
        if each.limit_crash is first.limit_crash
        and each.is_new is first.is_new
    ]
    for each in leaders:
        each.is_leader = True
    return leaders


def _list_distinct(crashes: typing.Iterable[PartCrash]) -> list[ServerCrash]:
    """Return crashes in order of time; only the first of an outage."""
    distinct: list[ServerCrash] = []
    last_at = float('-inf')
    for crash in crashes:
        crashed_at = crash.server_crash.crashed_at
        if (
            crashed_at - last_at >= _SAME_OUTAGE_SECONDS
            or crash.sent_at > last_at
        ):
            distinct.append(crash.server_crash)
            last_at = crashed_at
    return distinct
