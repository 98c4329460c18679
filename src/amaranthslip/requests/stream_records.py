"""Versions of unfinished streams, recorded beyond the end of all instances.

While a service has several software versions, each process records in the
platform's store at which of them its unfinished streams began. Processes that
start read the records, in case no process is left that knows the streams.
"""

import logging
import time
import typing

import gevent
import xxhash

from amaranthslip import errors
from amaranthslip.members import roster as roster_module

_LOG = logging.getLogger(__name__)

DIGEST_BYTES = 8
# Seconds between two writes of a process, and the writes per second of all
# processes together, which make the pauses of a large fleet longer.
_WRITE_SECONDS = 1.0
_FLEET_WRITES_PER_SECOND = 20.0
# Seconds for which a stream that broke off counts as unfinished. Callers take
# it up again within seconds.
_RETENTION_SECONDS = 60.0
# Streams in the record of one process; an entry of the store holds more.
_MAX_STREAMS = 40000


class VersionStreams:
    """The streams that began at one version of a service.

    `digests` holds the digests of their keys, one after the other.
    """

    __slots__ = ('service', 'software_version', 'digests')

    def __init__(
        self, service: str, software_version: str, digests: bytes
    ) -> None:
        self.service = service
        self.software_version = software_version
        self.digests = digests


class StreamRecords:
    """The unfinished streams of this process, and those of earlier ones.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = ('_clock', '_unfinished', '_earlier', '_earlier_read_at')

    def __init__(
        self, *, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        # By digest, service and version: when the stream began or went on,
        # the oldest first.
        self._unfinished: dict[tuple[bytes, str, str], float] = {}
        # By digest: service and version; both are empty if records contradict
        # each other.
        self._earlier: dict[bytes, tuple[str, str]] = {}
        self._earlier_read_at = 0.0

    def add(self, key: str, service: str, software_version: str) -> None:
        """Record that a stream of this process has begun or goes on."""
        now = self._clock()
        stream = (_compute_digest(key), service, software_version)
        self._unfinished.pop(stream, None)
        self._unfinished[stream] = now
        while len(self._unfinished) > _MAX_STREAMS or (
            next(iter(self._unfinished.values())) < now - _RETENTION_SECONDS
        ):
            del self._unfinished[next(iter(self._unfinished))]

    def remove(self, key: str, service: str, software_version: str) -> None:
        """Drop a stream that ended whole."""
        stream = (_compute_digest(key), service, software_version)
        self._unfinished.pop(stream, None)

    def collect(
        self, services: typing.Collection[str]
    ) -> list[VersionStreams]:
        """Return the unfinished streams of some services, by version."""
        oldest = self._clock() - _RETENTION_SECONDS
        digests: dict[tuple[str, str], bytearray] = {}
        for (digest, *version), begun_at in self._unfinished.items():
            if version[0] in services and begun_at >= oldest:
                digests.setdefault(tuple(version), bytearray()).extend(digest)
        return [
            VersionStreams(service, version, bytes(streams))
            for (service, version), streams in sorted(digests.items())
        ]

    def replace(self, streams: typing.Iterable[VersionStreams]) -> None:
        """Replace what other processes have recorded."""
        self._earlier = {}
        self._earlier_read_at = self._clock()
        for each in streams:
            began = (each.service, each.software_version)
            for start in range(0, len(each.digests), DIGEST_BYTES):
                digest = each.digests[start : start + DIGEST_BYTES]
                if self._earlier.setdefault(digest, began) != began:
                    self._earlier[digest] = ('', '')

    def find(self, key: str) -> tuple[str, str] | None:
        """Return service and version of an earlier process's stream.

        Both are empty if it is recorded with several versions.
        """
        if not self._earlier:
            return None
        if self._clock() - self._earlier_read_at > _RETENTION_SECONDS:
            self._earlier = {}
        return self._earlier.get(_compute_digest(key))


def _compute_digest(key: str) -> bytes:
    return xxhash.xxh3_64_digest(key.encode())


class Store(typing.Protocol):
    """Writes records; `platform.storedstreams` has an implementation."""

    def write(
        self, streams: typing.Iterable[VersionStreams], now: float
    ) -> None:
        """Write the unfinished streams of this process."""


class StreamRecorder:
    """Writes the unfinished streams of services with several versions.

    Parameters
    ----------
    records : StreamRecords
        The streams.
    history : SoftwareHistory
        The versions of each service.
    roster : Roster
        The live instances.
    store : Store
        Writes the record.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_records',
        '_history',
        '_roster',
        '_store',
        '_clock',
        '_written',
    )

    def __init__(
        self,
        records: StreamRecords,
        history: typing.Any,
        roster: roster_module.Roster,
        store: Store,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._records = records
        self._history = history
        self._roster = roster
        self._store = store
        self._clock = clock
        # What was written last, to be compared.
        self._written: list[tuple[str, str, bytes]] = []

    def run(self) -> None:
        """Write the record at intervals until killed."""
        while True:
            gevent.sleep(self._choose_pause())
            try:
                self.update()
            except errors.PlatformError as error:
                _LOG.info('streams_unrecorded', extra={'error': error})

    def _choose_pause(self) -> float:
        count = 1 + len(self._roster.list_others())
        return max(_WRITE_SECONDS, count / _FLEET_WRITES_PER_SECOND)

    def update(self) -> None:
        """Write the record if it has changed.

        Raises
        ------
        PlatformError
            The store did not confirm the write.
        """
        services = {
            each
            for each in self._history.list_services()
            if len(self._history.read_ages(each)) > 1
        }
        streams = self._records.collect(services)
        values = [(e.service, e.software_version, e.digests) for e in streams]
        if values != self._written:
            self._store.write(streams, self._clock())
            self._written = values
