"""Evidence of which part of a prompt crashes the backend servers."""

import collections
import time
import typing

from amaranthslip.requests import part_causes
from amaranthslip.requests import part_crashes

# Crashes of a part that no answer was completed on, after which a request with
# it is not tried again by the same attempt.
_RETRY_CRASH_LIMIT = 2
# Seconds for which evidence is kept after the last crash or refusal.
_RETENTION_SECONDS = 600.0
# Seconds after a completion in which crashes are not counted.
_COMPLETION_SECONDS = 2.0
# Limits on memory.
_MAX_RECORDS = 2048
_MAX_ACCOUNT_RECORDS = 256
_MAX_RECORD_CRASHES = 16
_MAX_CRASHES = 1024
_MAX_COMPLETIONS = 16384


class _Record:
    """The crashes during requests with one part."""

    __slots__ = ('owner', 'crashes', 'updated_at')

    def __init__(self, owner: bytes) -> None:
        # The account that this record counts for in the limit on memory.
        self.owner = owner
        self.crashes: dict[
            tuple[part_crashes.ServerCrash, bytes], part_crashes.PartCrash
        ] = {}
        self.updated_at = float('-inf')

    @property
    def accounts(self) -> set[bytes]:
        """The accounts that the requests were of."""
        return {account for _, account in self.crashes}

    @property
    def server_crashes(self) -> set[part_crashes.ServerCrash]:
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
        # By server and incarnation.
        self._crashes: collections.OrderedDict[
            tuple[str, int], part_crashes.ServerCrash
        ] = collections.OrderedDict()
        # Time of the latest completion, by part.
        self._completed: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # The parts whose records count for each account, the oldest first.
        self._owned: dict[bytes, dict[bytes, None]] = {}
        # None: not computed since the evidence changed.
        self._suspicions: list[part_causes.Suspicion] | None = None

    def read_clock(self) -> float:
        """Return the current monotonic time."""
        return self._clock()

    def get_completion(self, digest: bytes) -> float:
        """Return the time of the latest completion; -inf if none is known."""
        return self._completed.get(digest, float('-inf'))

    def is_cleared(
        self, digest: bytes, server_crash: part_crashes.ServerCrash
    ) -> bool:
        """Return whether a completion clears a part of a crash."""
        return (
            server_crash.crashed_at
            <= self.get_completion(digest) + _COMPLETION_SECONDS
        )

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
            key for key in record.crashes if self.is_cleared(digest, key[0])
        ]
        for key in cleared:
            del record.crashes[key]
        if not record.crashes:
            self._remove(digest)
        self._suspicions = None
        return bool(cleared)

    def find_crash(
        self, server: str, incarnation: int, crashed_at: float
    ) -> part_crashes.ServerCrash:
        """Return the crash of a server, of which several reports may tell.

        Reports that were held up on their way, and entries of the store, seem
        to tell of later crashes. The earliest time is kept.
        """
        key = (server, incarnation)
        known = self._crashes.get(key)
        if known is None:
            known = part_crashes.ServerCrash(server, incarnation, crashed_at)
            self._crashes[key] = known
            while len(self._crashes) > _MAX_CRASHES:
                self._crashes.popitem(last=False)
        elif crashed_at < known.crashed_at:
            known.crashed_at = crashed_at
            self._suspicions = None
        return known

    def note_crash(self, digest: bytes, crash: part_crashes.PartCrash) -> bool:
        """Record a crash, found by `find_crash`, under a part.

        Returns
        -------
        bool
            False if it is already recorded, or a completion has cleared the
            part.
        """
        if self.is_cleared(digest, crash.server_crash):
            return False
        self._drop_expired()
        record = self._records.get(digest)
        if record is None:
            record = self._add_record(digest, crash.account)
        key = (crash.server_crash, crash.account)
        known = record.crashes.get(key)
        if known is not None and known.sent_at >= crash.sent_at:
            return False
        record.crashes[key] = crash
        while len(record.crashes) > _MAX_RECORD_CRASHES:
            del record.crashes[next(iter(record.crashes))]
        self.note_repeat(digest)
        self._suspicions = None
        self._limit_records(crash.account)
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

    def list_refused(self, sent_parts: part_crashes.SentParts) -> list[bytes]:
        """Return the parts for which a request is refused."""
        return [
            each.digest
            for each in self.list_suspicions()
            if each.digest in sent_parts.digests
            and each.account in (None, sent_parts.account)
        ]

    def is_suspected(self, sent_parts: part_crashes.SentParts) -> bool:
        """Return whether a request should not be tried once more."""
        for digest in sent_parts.digests:
            record = self._records.get(digest)
            if record is None or digest in self._completed:
                continue
            if len(record.server_crashes) >= _RETRY_CRASH_LIMIT:
                return True
        return False

    def list_suspicions(self) -> list[part_causes.Suspicion]:
        """Return the suspicions for which requests are refused."""
        self._drop_expired()
        if self._suspicions is None:
            self._suspicions = self._find_suspicions()
        return self._suspicions

    def list_quarantine_crashes(
        self, digest: bytes
    ) -> tuple[part_crashes.PartCrash, ...]:
        """Return the crashes of a part that is refused, else nothing."""
        if not any(digest == each.digest for each in self.list_suspicions()):
            return ()
        return tuple(self._records[digest].crashes.values())

    def list_quarantined(self) -> list[bytes]:
        """Return the digests of the parts that are refused."""
        return sorted({each.digest for each in self.list_suspicions()})

    def list_all_crashes(self) -> list[tuple[bytes, part_crashes.PartCrash]]:
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
        expired_before = self._clock() - _RETENTION_SECONDS
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

    def _find_suspicions(self) -> list[part_causes.Suspicion]:
        return part_causes.find_suspicions(
            [
                part_causes.Candidate(
                    digest,
                    account,
                    record.crashes.values(),
                    is_new=digest not in self._completed,
                )
                for digest, record in self._records.items()
                if len(record.server_crashes) >= part_causes.CRASH_LIMIT
                for account in (None, *record.accounts)
            ]
        )
