"""At which software version streams began, known beyond their instance.

A stream may only go on at the version that began it, and its caller may take
it up at any instance. The instance that sends the first event therefore tells
a few others, its holders, which a rendezvous hash of the attempt's id picks.
Any instance can ask them, also after the one that began the stream has ended.
No answer waits for these messages. The platform's store could neither take a
write for each stream nor be asked during an outage; it has records of the
unfinished streams of each process, for when all instances have ended.

A stream is known by its attempt and, while its service has several versions,
by what its caller requests as well: a caller may take it up without naming the
attempt. Equal requests that began at several versions have no record.
"""

import collections
import functools
import time
import typing

import gevent
from gevent import event
import xxhash

from amaranthslip.capacity import software
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip.members import rendezvous
from amaranthslip.members import roster as roster_module
from amaranthslip.requests import stream_messages
from amaranthslip.requests import stream_records
from amaranthslip import settings as settings_module

# Instances that hold the record of a stream, besides the one that began it:
# three, so that one may be lost with that instance and another be parted.
_HOLDERS = 3
# Instances that are asked for a record. More than hold it, since the roster
# may have changed since, or differ between the two instances.
_ASKED = 5
# Seconds to wait for the answers. They take a round trip of milliseconds;
# holders that are lost or frozen do not answer.
_ANSWER_TIMEOUT_SECONDS = 0.2
# The most that an answer tells of the time for which all versions are known,
# in seconds. Longer than needed, so that the answer's way does not matter.
_MAX_COVERED_SECONDS = 2 * software.HORIZON_SECONDS
# Seconds for which a record is kept after it was last used: several times the
# timeout of a streaming route.
_RETENTION_SECONDS = 120.0
# Characters of an attempt that are kept. Callers choose their number, so that
# a longer one is known by its hash.
_MAX_ATTEMPT_LENGTH = 64
_MAX_RECORDS = 65536
# Seconds between two looks at whether a service has got a second version:
# several in the time for which a version has to be listed first.
_TELL_SECONDS = 0.5


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is an implementation."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; return False if it can't be queued."""


class StreamRecord:
    """The service and the software version that began a stream.

    `used_at` is when it was last used, in monotonic seconds. `inferred` tells
    that no instance knows the stream, but only one version can have begun it.
    The service is empty if streams of several versions have the same key.
    """

    __slots__ = (
        'service',
        'software_version',
        'used_at',
        'inferred',
    )

    def __init__(
        self,
        service: str,
        software_version: str,
        used_at: float,
        *,
        inferred: bool = False,
    ) -> None:
        self.service = service
        self.software_version = software_version
        self.used_at = used_at
        self.inferred = inferred

    @property
    def ambiguous(self) -> bool:
        """Whether streams of several versions have the same key."""
        return not self.service


class _PendingQuery:
    """A query and the instances that have not answered it."""

    __slots__ = ('service', 'waiting', 'done')

    def __init__(self, service: str, names: typing.Iterable[str]) -> None:
        self.service = service
        self.waiting = set(names)
        self.done = event.Event()


class StreamVersions:
    """Records of streams, and the exchange of records between instances.

    Parameters
    ----------
    settings : Settings
        The `bounds` section is used.
    roster : Roster
        The live instances.
    outbox : Outbox
        Sends the messages.
    history : SoftwareHistory
        The versions that each service has had lately.
    read_age : callable
        Returns the age in seconds of this instance's list of servers.
    list_names : callable
        Returns the names on the platform's list of instances, in touch or
        not.
    stored : StreamRecords
        The unfinished streams of this process, and those of earlier ones.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_history',
        '_read_age',
        '_list_names',
        '_stored',
        '_staleness',
        '_clock',
        '_records',
        '_untold',
        '_last_number',
        '_pending',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        roster: roster_module.Roster,
        outbox: Outbox,
        history: software.SoftwareHistory,
        read_age: typing.Callable[[], float],
        stored: stream_records.StreamRecords,
        *,
        list_names: typing.Callable[[], typing.Iterable[str]] = tuple,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._history = history
        self._read_age = read_age
        self._list_names = list_names
        self._stored = stored
        self._staleness = staleness_module.Staleness(settings)
        self._clock = clock
        # By attempt, the least recently used first.
        self._records: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        # By the key of a request: its stream, of which no other instance was
        # told because its service had one version.
        self._untold: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        self._last_number = 0
        self._pending: dict[int, _PendingQuery] = {}

    def note_begun(
        self,
        attempt: str,
        service: str,
        software_version: str,
        *,
        request_key: str = '',
    ) -> None:
        """Record that an attempt brings a stream's first event, or more.

        The first record of a stream stays: it can't change its version.

        Parameters
        ----------
        attempt : str
            The attempt that brought the first event; empty if it is unknown.
        request_key : str
            Equal for all attempts at the same request; empty if there is none.
        """
        for key in (_shorten(attempt), request_key):
            if key:
                self._stored.add(key, service, software_version)
        if attempt:
            self._tell(_shorten(attempt), service, software_version)
        if not request_key:
            return
        if self._has_several(service):
            self._tell(request_key, service, software_version)
            return
        self._untold[request_key] = StreamRecord(
            service, software_version, self._clock()
        )
        self._untold.move_to_end(request_key)
        if len(self._untold) > _MAX_RECORDS:
            self._untold.popitem(last=False)

    def _has_several(self, service: str) -> bool:
        return len(self._history.read_ages(service)) > 1

    def run(self) -> None:
        """Tell holders of requests when they have to know them, until killed.

        See `tell_requests`.
        """
        while True:
            gevent.sleep(_TELL_SECONDS)
            self.tell_requests()

    def tell_requests(self) -> None:
        """Tell holders of requests whose service has got a second version.

        While it has one, no record is needed. Before the second one gets
        streams, those that began at the first have to be known: an equal
        request may begin at the second.
        """
        oldest = self._clock() - _RETENTION_SECONDS
        while self._untold:
            key, stream = next(iter(self._untold.items()))
            if stream.used_at >= oldest:
                break
            del self._untold[key]
        services = set(
            filter(self._has_several, self._history.list_services())
        )
        if not services:
            return
        for key, stream in list(self._untold.items()):
            if stream.service in services:
                del self._untold[key]
                self._tell(key, stream.service, stream.software_version)

    def _tell(self, key: str, service: str, software_version: str) -> None:
        if not self._store(key, service, software_version):
            return
        message = stream_messages.StreamBegun(
            attempt=key, service=service, software_version=software_version
        )
        for name in self._pick(key, _HOLDERS):
            self._outbox.send(name, message)

    def note_completed(
        self,
        attempt: str,
        service: str,
        software_version: str,
        *,
        request_key: str = '',
    ) -> None:
        """Note that a stream of this process ended whole."""
        self._untold.pop(request_key, None)
        for key in (_shorten(attempt), request_key):
            if key:
                self._stored.remove(key, service, software_version)

    def find(
        self, attempt: str, service: str, *, request_key: str = ''
    ) -> StreamRecord | None:
        """Return the record of a stream, after asking others if necessary.

        Parameters
        ----------
        attempt : str
            The attempt that brought the first event; empty if it is unknown.
        service : str
            The service that the stream is to go on at.
        request_key : str
            As for `note_begun`; used if the attempt is unknown.

        Returns
        -------
        StreamRecord or None
            None if no instance that answered in time knows the stream, unless
            the service has had one version only.
        """
        key = _shorten(attempt)
        if not key and self._history.find_only_version(service) is None:
            key = request_key
        all_answered = True
        if self._must_ask(key, service):
            all_answered = self._ask(key, service)
            self._load(key)
        record = self._records.get(key)
        if record is not None:
            self._touch(key, record)
            if record.ambiguous or (_is_request_key(key) and not all_answered):
                return None
            return record
        version = self._history.find_only_version(service)
        # A version that was listed since the list was confirmed has got no
        # streams yet; see `capacity.software`.
        if version is None or (
            self._read_age() > self._staleness.servers_seconds
        ):
            return None
        return StreamRecord(service, version, self._clock(), inferred=True)

    def _must_ask(self, key: str, service: str) -> bool:
        """Return whether others may know what is not known here."""
        if _is_request_key(key):
            # Perhaps an equal request that began at another version.
            return True
        if key in self._records:
            return False
        return bool(key) or not self._history.is_complete(service)

    def _load(self, key: str) -> None:
        """Add what the store records of an earlier process's stream."""
        began = self._stored.find(key)
        if began is not None:
            self._store(key, *began)

    def _ask(self, attempt: str, service: str) -> bool:
        """Ask for a record; return whether all that were asked answered."""
        self._last_number += 1
        query = _PendingQuery(service, self._pick_asked(attempt))
        message = stream_messages.StreamQuery(
            number=self._last_number, attempt=attempt, service=service
        )
        self._pending[message.number] = query
        try:
            reached = [
                self._outbox.send(name, message)
                for name in list(query.waiting)
            ]
            if query.waiting and (
                all(reached) or not _is_request_key(attempt)
            ):
                query.done.wait(_ANSWER_TIMEOUT_SECONDS)
            return not query.waiting
        finally:
            del self._pending[message.number]

    def _pick_asked(self, key: str) -> list[str]:
        """Return the instances that are asked for a record.

        For a request's key also those that this instance takes for dead: it
        may be the one that is out of touch, and they may know that an equal
        request began at another version.
        """
        if not _is_request_key(key):
            return self._pick(key, _ASKED)
        own_name = self._roster.member.name
        names = {each.name for each in self._roster.list_others()}
        names.update(each for each in self._list_names() if each != own_name)
        return rendezvous.pick(key, sorted(names), _ASKED)

    def _pick(self, attempt: str, count: int) -> list[str]:
        names = [each.name for each in self._roster.list_others()]
        return rendezvous.pick(attempt, names, count)

    def _store(
        self, attempt: str, service: str, software_version: str
    ) -> bool:
        """Add a record; return False if what it says is known.

        A second version for one request makes its record ambiguous.
        """
        now = self._clock()
        self._drop_expired(now)
        record = self._records.get(attempt)
        if record is not None:
            self._touch(attempt, record)
            known = (record.service, record.software_version)
            if (
                not _is_request_key(attempt)
                or record.ambiguous
                or (known == (service, software_version))
            ):
                return False
            record.service = ''
            return True
        self._records[attempt] = StreamRecord(service, software_version, now)
        return True

    def _touch(self, attempt: str, record: StreamRecord) -> None:
        record.used_at = self._clock()
        self._records.move_to_end(attempt)

    def _drop_expired(self, now: float) -> None:
        oldest = now - _RETENTION_SECONDS
        while self._records:
            attempt, record = next(iter(self._records.items()))
            if record.used_at >= oldest and len(self._records) < _MAX_RECORDS:
                return
            del self._records[attempt]

    def greet(self, name: str) -> list[object]:
        """Return the messages to send first on a new connection to a peer.

        Only one instance may know which versions a service had before the
        others started, and it may be lost before any of them asks.
        """
        return [
            stream_messages.SoftwareVersions(
                service=service,
                versions=self._list_versions(service),
                covered_ms=self._compute_covered_ms(service),
            )
            for service in self._history.list_services()
        ]

    def receive(self, sender: str, message: object) -> None:
        """Handle a message from another instance."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        raise TypeError(f'unexpected message: {type(message).__name__}')

    @_handle.register
    def _(self, message: stream_messages.StreamBegun, sender: str) -> None:
        self._store(message.attempt, message.service, message.software_version)

    @_handle.register
    def _(self, message: stream_messages.StreamQuery, sender: str) -> None:
        record = self._records.get(message.attempt)
        answer = stream_messages.StreamAnswer(
            number=message.number,
            attempt=message.attempt,
            known=record is not None,
            service='' if record is None else record.service,
            software_version='' if record is None else record.software_version,
            versions=self._list_versions(message.service),
            covered_ms=self._compute_covered_ms(message.service),
        )
        self._outbox.send(sender, answer)

    @_handle.register
    def _(
        self, message: stream_messages.SoftwareVersions, sender: str
    ) -> None:
        self._merge(message.service, message)

    def _list_versions(
        self, service: str
    ) -> list[stream_messages.RecentVersion]:
        return [
            stream_messages.RecentVersion(
                software_version=version, age_ms=int(age * 1000)
            )
            for version, age in self._history.read_ages(service).items()
        ]

    def _compute_covered_ms(self, service: str) -> int:
        """Return for how long all versions are known for sure; 0 if not."""
        if self._read_age() > self._staleness.servers_seconds:
            return 0
        covered = self._history.read_covered_seconds(service)
        return int(1000 * min(covered, _MAX_COVERED_SECONDS))

    def _merge(
        self,
        service: str,
        message: (
            stream_messages.StreamAnswer | stream_messages.SoftwareVersions
        ),
    ) -> None:
        self._history.merge(
            service,
            {
                each.software_version: each.age_ms / 1000
                for each in message.versions
            },
            message.covered_ms / 1000,
        )

    @_handle.register
    def _(self, message: stream_messages.StreamAnswer, sender: str) -> None:
        query = self._pending.get(message.number)
        if query is None or sender not in query.waiting:
            return
        query.waiting.discard(sender)
        self._merge(query.service, message)
        if message.known:
            self._store(
                message.attempt, message.service, message.software_version
            )
        if not query.waiting or (
            message.known and not _is_request_key(message.attempt)
        ):
            query.done.set()


_REQUEST_KEY_PREFIX = 'request:'


def build_request_key(digest: bytes) -> str:
    """Return the key of all attempts at a request, from its digest."""
    return _REQUEST_KEY_PREFIX + digest.hex()


def _is_request_key(key: str) -> bool:
    return key.startswith(_REQUEST_KEY_PREFIX)


def _shorten(attempt: str) -> str:
    """Return a key of bounded length for an attempt; no request's key."""
    if len(attempt) <= _MAX_ATTEMPT_LENGTH and not _is_request_key(attempt):
        return attempt
    return xxhash.xxh3_128_hexdigest(attempt.encode())
