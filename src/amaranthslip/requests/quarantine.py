"""Quarantine of requests that crash the backend servers that run them."""

import collections
import time
import typing

# Distinct crashes after which a request is refused. One crash does not
# identify the request that caused it, because it interrupts all requests that
# the server runs.
CRASH_LIMIT = 3
# Seconds for which a record is kept after the last crash or refused attempt.
# Repeated attempts extend the retention without limit, because running the
# request again as a test could crash another server.
RETENTION_SECONDS = 600.0
# Seconds after a completion during which crashes are not counted. Otherwise,
# servers that fail together could quarantine a request that many callers send.
_COMPLETION_RETENTION_SECONDS = 60.0
# Reports for a server without an incarnation that are fewer seconds apart than
# this refer to the same crash.
_SAME_CRASH_SECONDS = 1.0
# Limits on the records and completions in memory, at 0.5 and 0.2 KB each.
_MAX_RECORDS = 1024
_MAX_COMPLETIONS = 4096


class Crash:
    """One crash of a backend server during a request.

    Parameters
    ----------
    server : str
        Name of the server.
    incarnation : int
        Incarnation of the server, or 0 if it has none.
    last_event : int
        Id of the last stream event that the caller has received, or 0.
    crashed_at : float
        Monotonic time of the crash.
    """

    __slots__ = ('server', 'incarnation', 'last_event', 'crashed_at')

    def __init__(
        self,
        server: str,
        incarnation: int,
        *,
        last_event: int,
        crashed_at: float,
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.last_event = last_event
        self.crashed_at = crashed_at

    def is_same(self, other: 'Crash') -> bool:
        """Return whether two reports refer to the same crash."""
        if self.server != other.server:
            return False
        if self.incarnation != other.incarnation:
            return False
        if self.incarnation:
            return True
        return abs(self.crashed_at - other.crashed_at) < _SAME_CRASH_SECONDS


class _Record:
    """The crashes under one request."""

    __slots__ = ('crashes', 'updated_at')

    def __init__(self) -> None:
        self.crashes: list[Crash] = []
        self.updated_at = float('-inf')

    @property
    def last_event(self) -> int:
        """The last event that any crashed run of the request reached."""
        return max((crash.last_event for crash in self.crashes), default=0)


class Quarantine:
    """Counts the crashes under each request, by its fingerprint.

    A request that was running on a crashed server did not necessarily cause
    the crash. If the request completes, or its stream progresses past the
    previous crashes, those crashes are discarded as having another cause.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_clock', '_records', '_completed')

    def __init__(
        self, *, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        # Both are keyed by fingerprint, in order of the last update.
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )
        self._completed: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def read_clock(self) -> float:
        """Return the current monotonic time."""
        return self._clock()

    def has_completed(self, fingerprint: bytes) -> bool:
        """Return whether a request has completed recently."""
        completed_at = self._completed.get(fingerprint)
        return (
            completed_at is not None
            and self._clock() - completed_at < _COMPLETION_RETENTION_SECONDS
        )

    def note_completion(self, fingerprint: bytes) -> bool:
        """Record that a request completed, and discard its crashes.

        Returns
        -------
        bool
            Whether any crashes were recorded for it.
        """
        self._completed[fingerprint] = self._clock()
        self._completed.move_to_end(fingerprint)
        while len(self._completed) > _MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        return self.release(fingerprint)

    def release(self, fingerprint: bytes) -> bool:
        """Discard a request's crashes; return whether there were any."""
        return self._records.pop(fingerprint, None) is not None

    def note_crash(self, fingerprint: bytes, crash: Crash) -> bool:
        """Record a crash under a request.

        Returns
        -------
        bool
            False if the crash is already recorded, or the request has
            completed recently.
        """
        if self.has_completed(fingerprint):
            return False
        record = self._find_record(fingerprint) or _Record()
        if any(known.is_same(crash) for known in record.crashes):
            return False
        if crash.last_event > record.last_event:
            record.crashes.clear()
        record.crashes.append(crash)
        # Concurrent attempts can add further crashes; the latest are kept.
        del record.crashes[:-CRASH_LIMIT]
        self._store_record(fingerprint, record)
        return True

    def list_quarantine_crashes(self, fingerprint: bytes) -> tuple[Crash, ...]:
        """Return the crashes of a quarantined request, else an empty tuple."""
        record = self._find_record(fingerprint)
        if record is None or len(record.crashes) < CRASH_LIMIT:
            return ()
        return tuple(record.crashes)

    def is_ambiguous(self, fingerprint: bytes) -> bool:
        """Return whether another request may have caused the crashes.

        Other requests were running at all of them but one. One crash alone
        does not identify its cause, and of a request that crashes servers
        again only the latest crashes are kept.
        """
        record = self._find_record(fingerprint)
        if record is None:
            return False
        others = [
            crash
            for other, each in self._records.items()
            if other != fingerprint
            for crash in each.crashes
        ]
        shared = sum(
            any(crash.is_same(other) for other in others)
            for crash in record.crashes
        )
        return shared > 0 and len(record.crashes) - shared <= 1

    def note_repeat(self, fingerprint: bytes) -> None:
        """Extend the retention of a request that was attempted again."""
        record = self._find_record(fingerprint)
        if record is not None:
            self._store_record(fingerprint, record)

    def list_all_crashes(self) -> list[tuple[bytes, Crash]]:
        """Return every recorded crash with its request's fingerprint."""
        self._drop_expired()
        return [
            (fingerprint, crash)
            for fingerprint, record in self._records.items()
            for crash in record.crashes
        ]

    def list_quarantined(self) -> list[bytes]:
        """Return the fingerprints of the quarantined requests."""
        self._drop_expired()
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.crashes) >= CRASH_LIMIT
        ]

    def _find_record(self, fingerprint: bytes) -> _Record | None:
        self._drop_expired()
        return self._records.get(fingerprint)

    def _store_record(self, fingerprint: bytes, record: _Record) -> None:
        record.updated_at = self._clock()
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(self._records) > _MAX_RECORDS:
            del self._records[self._choose_evicted()]

    def _choose_evicted(self) -> bytes:
        """Return the oldest request, preferring those not quarantined."""
        return next(
            (
                fingerprint
                for fingerprint, record in self._records.items()
                if len(record.crashes) < CRASH_LIMIT
            ),
            next(iter(self._records)),
        )

    def _drop_expired(self) -> None:
        expired_before = self._clock() - RETENTION_SECONDS
        while self._records:
            oldest = next(iter(self._records))
            if self._records[oldest].updated_at >= expired_before:
                return
            del self._records[oldest]
