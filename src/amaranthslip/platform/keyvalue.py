"""The client of the platform's key-value service, HTTP with JSON bodies.

Keys are absolute: callers prepend `settings.platform.prefix` to their keys.
"""

import base64
import contextlib
import json
import logging
import time
import typing
import urllib.parse

from amaranthslip.configuration import revisions
from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.platform import connections
from amaranthslip import settings

_LOG = logging.getLogger(__name__)

# The platform stores values of up to one megabyte.
MAX_VALUE_BYTES = 1000000

# A watch without an answer from the service for this time is ended, and the
# prefix is read again. A watch that has stalled without an error would
# otherwise look like a prefix without changes.
WATCH_IDLE_TIMEOUT_SECONDS = 30.0

_KEY = '/-/kv-key'
_RANGE = '/-/kv-range'
_WATCH = '/-/kv-watch'
_TRANSACTION = '/-/kv-txn'
_LEASE = '/-/kv-lease'
_RENEWAL = '/-/kv-keep'

# The era of the store, in each answer: it rises whenever the store is restored
# from an older copy. A store without eras does not send it, nor does a proxy
# that answers for the store.
_ERA_HEADER = 'store-era'

# Values of the `kind` label of the call counters.
_CALL_KINDS = {
    _KEY: 'read',
    _RANGE: 'range',
    _WATCH: 'watch',
    _TRANSACTION: 'txn',
    _LEASE: 'lease',
    _RENEWAL: 'renewal',
}


class Entry:
    """One key's value; `revision` increases with each change of the value.

    Revisions and leases contain their era; see `configuration.revisions`. A
    deletion that a watch reports has the value `None`. The service deletes
    the entry when the lease `lease` ends; 0 means no lease.
    """

    __slots__ = ('key', 'value', 'revision', 'lease')

    def __init__(
        self, key: str, value: bytes | None, revision: int, *, lease: int = 0
    ) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.lease = lease


class Entries:
    """Entries, and the service's revision at which they were read."""

    __slots__ = ('entries', 'revision')

    def __init__(self, entries: list[Entry], revision: int) -> None:
        self.entries = entries
        self.revision = revision


class _Reply:
    """The status, the era and the decoded body of one answer."""

    __slots__ = ('status', 'era', 'values')

    def __init__(
        self, status: int, era: int, values: dict[str, typing.Any]
    ) -> None:
        self.status = status
        self.era = era
        self.values = values

    def read_joined(self, name: str) -> int:
        """Return a field that holds a revision or lease, with its era."""
        return revisions.join(self.era, int(self.values[name]))


class KeyValue:
    """Calls the key-value service; each call is counted and has a time limit.

    Parameters
    ----------
    settings_ : Settings
        `platform.key_value` and `platform.timeout_seconds` are used.
    metrics_ : Metrics
        Counts calls by kind and failures by reason.
    """

    __slots__ = ('_connections', '_metrics', '_settings', '_era')

    def __init__(
        self, settings_: settings.Settings, metrics_: metrics.Metrics
    ) -> None:
        self._metrics = metrics_
        self._settings = settings_
        self._connections = connections.ConnectionPool(
            settings_.platform.key_value,
            timeout_seconds=settings_.platform.timeout_seconds,
        )
        # The highest era of all answers.
        self._era = 0

    def __enter__(self) -> 'KeyValue':
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def get(self, key: str) -> Entry | None:
        """Return one key's entry, or None if the key does not exist.

        Raises
        ------
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        return self.read_key(key).entry

    def read_key(self, key: str) -> 'KeyRead':
        """Return one key's entry and the service's revision; see `get`."""
        reply = self._send_read(_KEY, {'key': key}, absent=True)
        entry = None
        if reply.status == 200:
            entry = _read_entry(reply.values, reply.era)
        at = int(reply.values.get('at', 0))
        return KeyRead(entry, revisions.join(reply.era, at))

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys have a prefix, in key order.

        Raises
        ------
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        return self.read_entries(prefix).entries

    def read_entries(self, prefix: str) -> Entries:
        """Return the entries whose keys have a prefix, and a revision.

        The service returns a long list in pages, which are no snapshot. The
        revision is that of the first page, so that a watch from there repeats
        the changes between the pages and misses none. Raises the errors of
        `read_prefix`, also if the store is restored between two pages.
        """
        reply = self._send_read(_RANGE, {'prefix': prefix})
        revision = reply.read_joined('at')
        entries = _read_entries(reply)
        while reply.values.get('has_more') and entries:
            page = {'prefix': prefix, 'after': entries[-1].key}
            reply = self._send_read(_RANGE, page)
            if reply.era != revisions.read_era(revision):
                raise self._fail('restored', 'restored during a read')
            entries += _read_entries(reply)
        return Entries(entries, revision)

    def poll(self, prefix: str, *, after: int, wait_seconds: float) -> Entries:
        """Wait for a change after a revision, and return the changes.

        The next call continues after the revision of the result. The result
        has no entries if nothing changed for `wait_seconds`.

        Raises
        ------
        HistoryLost
            The service has dropped the changes after this revision, or was
            restored from an older copy since; read the whole prefix again.
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        era = revisions.read_era(after)
        if era < self._era:
            raise self._lose_history('restored')
        query = {
            'prefix': prefix,
            'after': revisions.read_number(after),
            'wait_ms': int(wait_seconds * 1000),
        }
        reply = self._send_read(_WATCH, query, wait_seconds=wait_seconds)
        if reply.era != era:
            # The number may have been given out again, so that the answer
            # looks complete and lacks changes.
            raise self._lose_history('restored')
        if reply.status == 410:
            raise self._lose_history('history_lost')
        return Entries(
            _read_items(reply, 'events', _read_event),
            reply.read_joined('at'),
        )

    def _lose_history(self, reason: str) -> errors.HistoryLost:
        self._metrics.count('platform_failures', reason)
        return errors.HistoryLost(
            'key-value service: the changes after the revision are not'
            ' available; read the whole prefix again'
        )

    @contextlib.contextmanager
    def watch(
        self,
        prefix: str,
        *,
        start_revision: int = 0,
        idle_timeout_seconds: float = WATCH_IDLE_TIMEOUT_SECONDS,
    ) -> typing.Iterator[typing.Iterator[Entry]]:
        """Watch the keys that have a prefix, as a context manager.

        The iterator blocks until the next change. It ends when a call of the
        watch fails; the caller then reads the prefix and starts a new watch.

        Parameters
        ----------
        start_revision : int
            The first revision to report; 0 reports only later changes.
            Starting one above the highest revision of a `read_prefix` misses
            no change.
        idle_timeout_seconds : float
            See `WATCH_IDLE_TIMEOUT_SECONDS`.

        Raises
        ------
        PlatformUnavailable
            The watch could not be started.
        """
        after = start_revision - 1
        if not start_revision:
            after = self.read_key(prefix).revision
        yield self._iterate_changes(prefix, after, idle_timeout_seconds)

    def _iterate_changes(
        self, prefix: str, after: int, idle_timeout_seconds: float
    ) -> typing.Iterator[Entry]:
        while True:
            started_at = time.monotonic()
            try:
                changed = self.poll(
                    prefix, after=after, wait_seconds=idle_timeout_seconds
                )
            except errors.PlatformError:
                timed_out = (
                    time.monotonic() - started_at >= idle_timeout_seconds
                )
                reason = 'watch_quiet' if timed_out else 'watch_ended'
                self._metrics.count('platform_failures', reason)
                return
            yield from changed.entries
            after = changed.revision

    def swap(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> int | None:
        """Write a value if the key's revision is still the expected one.

        Parameters
        ----------
        expected : int
            The entry's revision; 0 if the key must not exist. The comparison
            fails with a revision of an earlier era.
        lease : int
            The lease that the key is bound to; 0 for none.

        Returns
        -------
        int or None
            The new revision, or None if the comparison failed and nothing
            was changed.

        Raises
        ------
        PlatformUnavailable
            The call had no effect.
        AnswerLost
            The call may have taken effect, or may still do so; read the key.
            Also if the store was restored meanwhile, and the comparison holds
            for a number that was given out again.
        PlatformRefused
            The value is too large, or the service refused the call.
        """
        return self._write(key, value, lease, expected=expected)

    def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write a value unconditionally; raises the errors of `swap`."""
        revision = self._write(key, value, lease)
        if revision is None:
            raise self._fail('refused', 'an unconditional write was refused')
        return revision

    def _write(
        self,
        key: str,
        value: bytes,
        lease: int,
        *,
        expected: int | None = None,
    ) -> int | None:
        if len(value) > MAX_VALUE_BYTES:
            self._metrics.count('platform_failures', 'too_large')
            raise errors.PlatformRefused(
                f'{key}: {len(value)} bytes; the service stores values of up '
                f'to {MAX_VALUE_BYTES}; split the value over several keys'
            )
        if self._is_outdated(expected):
            return None
        if self._is_outdated(lease):
            raise self._fail('restored', 'the lease is of an earlier era')
        text = base64.b64encode(value).decode()
        number = revisions.read_number(lease)
        reply = self._send_write(
            _TRANSACTION,
            {
                'expected_revision': _list_conditions(key, expected),
                'write': [{'key': key, 'value': text, 'lease': number}],
                'remove': [],
            },
        )
        if reply.status == 412:
            return None
        self._check_same_era(reply, expected, lease)
        return reply.read_joined('revision')

    def _is_outdated(self, joined: int | None) -> bool:
        """Return whether a revision or lease is of an earlier era; not 0."""
        return bool(joined) and revisions.read_era(joined) < self._era

    def _check_same_era(self, reply: _Reply, *used: int | None) -> None:
        """Raise if a write used revisions or leases of an earlier era."""
        for joined in used:
            if joined and revisions.read_era(joined) != reply.era:
                raise self._fail('answer_lost', 'restored during a write')

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete a key if its revision is still the expected one.

        Returns False if the comparison failed; raises the errors of `swap`.
        """
        if self._is_outdated(expected):
            return False
        reply = self._send_write(
            _TRANSACTION,
            {
                'expected_revision': _list_conditions(key, expected),
                'write': [],
                'remove': [key],
            },
        )
        if reply.status == 412:
            return False
        self._check_same_era(reply, expected)
        return True

    def grant(self, ttl_seconds: float) -> int:
        """Return a new lease; raises the errors of `swap`."""
        reply = self._send_write(_LEASE, {'ttl_ms': int(ttl_seconds * 1000)})
        return reply.read_joined('lease')

    def renew(self, lease: int) -> bool:
        """Renew a lease, and return False if the lease has already ended.

        A lease ends with its era, even if the restored store has one with the
        same number. Raises the errors of `get`.
        """
        if self._is_outdated(lease):
            return False
        reply = self._send(
            'POST',
            f'{_RENEWAL}/{revisions.read_number(lease)}',
            _RENEWAL,
            accepted=(200, 404),
            writes=False,
        )
        same_era = reply.era == revisions.read_era(lease)
        return same_era and reply.status == 200

    def _send_read(
        self,
        path: str,
        query: dict[str, typing.Any],
        *,
        absent: bool = False,
        wait_seconds: float = 0.0,
    ) -> _Reply:
        accepted = (200, 404) if absent else (200, 410)
        return self._send(
            'GET',
            f'{path}?{urllib.parse.urlencode(query)}',
            path,
            accepted=accepted,
            writes=False,
            wait_seconds=wait_seconds,
        )

    def _send_write(self, path: str, values: dict[str, typing.Any]) -> _Reply:
        return self._send(
            'POST',
            path,
            path,
            body=json.dumps(values).encode(),
            accepted=(200, 412),
            writes=True,
        )

    def _send(
        self,
        method: str,
        target: str,
        path: str,
        *,
        accepted: tuple[int, ...],
        writes: bool,
        body: bytes = b'',
        wait_seconds: float = 0.0,
    ) -> _Reply:
        self._metrics.count('platform_calls', _CALL_KINDS[path])
        try:
            answer = self._connections.call(
                method, target, body, wait_seconds=wait_seconds
            )
        except connections.RequestNotSent as error:
            raise self._fail('unavailable', str(error)) from None
        except connections.RequestMaybeSent as error:
            reason = 'answer_lost' if writes else 'unavailable'
            raise self._fail(reason, str(error)) from None
        return self._check(answer, accepted, writes)

    def _check(
        self,
        answer: connections.Answer,
        accepted: tuple[int, ...],
        writes: bool,
    ) -> _Reply:
        try:
            values = json.loads(answer.body)
        except (ValueError, RecursionError):
            values = None
        era = self._read_era(answer, writes)
        if answer.status in accepted and isinstance(values, dict):
            return _Reply(answer.status, era, values)
        message = f'status {answer.status}: {answer.body[:200]!r}'
        # The service guarantees that calls with status 429 or 503 changed
        # nothing.
        if answer.status == 429:
            raise self._fail('throttled', message)
        if answer.status == 503:
            raise self._fail('unavailable', message)
        if 400 <= answer.status < 500:
            raise self._fail('refused', message)
        raise self._fail('answer_lost' if writes else 'unavailable', message)

    def _read_era(self, answer: connections.Answer, writes: bool) -> int:
        text = answer.headers.get(_ERA_HEADER)
        if text is None:
            return self._era
        if not text.isdecimal() or int(text) > revisions.MAX_ERA:
            reason = 'answer_lost' if writes else 'unavailable'
            raise self._fail(reason, f'the era {text[:40]!r} is invalid')
        era = int(text)
        if era < self._era:
            # Sent before the store was restored, and delivered after answers
            # of the restored one.
            reason = 'answer_lost' if writes else 'restored'
            raise self._fail(reason, f'an answer of era {era} came late')
        self._era = era
        return era

    def _fail(self, reason: str, message: str) -> errors.PlatformError:
        self._metrics.count('platform_failures', reason)
        kind, remedy = _FAILURES[reason]
        return kind(f'key-value service: {message}; {remedy}')


class KeyRead:
    """One key's entry or None, and the service's revision of the read."""

    __slots__ = ('entry', 'revision')

    def __init__(self, entry: Entry | None, revision: int) -> None:
        self.entry = entry
        self.revision = revision


_FAILURES: dict[str, tuple[type[errors.PlatformError], str]] = {
    'unavailable': (
        errors.PlatformUnavailable,
        'nothing was changed; try again later',
    ),
    'throttled': (
        errors.PlatformUnavailable,
        'too many calls; nothing was changed, call less often',
    ),
    'restored': (
        errors.PlatformUnavailable,
        'it was restored from an older copy; read it again',
    ),
    'answer_lost': (
        errors.AnswerLost,
        'the change may have been made; read the key to find out',
    ),
    'refused': (
        errors.PlatformRefused,
        'nothing was changed; correct the call',
    ),
}


def _list_conditions(
    key: str, expected: int | None
) -> list[dict[str, typing.Any]]:
    if expected is None:
        return []
    return [{'key': key, 'revision': revisions.read_number(expected)}]


def _read_entries(reply: _Reply) -> list[Entry]:
    return _read_items(reply, 'entries', _read_entry)


def _read_items(
    reply: _Reply,
    name: str,
    read: typing.Callable[[dict[str, typing.Any], int], Entry],
) -> list[Entry]:
    """Return the items of a list, without those that can't be read."""
    found = []
    for item in reply.values.get(name, ()):
        try:
            found.append(read(item, reply.era))
        except Exception as error:
            _LOG.warning(
                'entry_unreadable',
                extra={'item': repr(item)[:200], 'error': repr(error)[:200]},
            )
    return found


def _read_entry(item: dict[str, typing.Any], era: int) -> Entry:
    lease = int(item.get('lease') or 0)
    return Entry(
        _read_key(item),
        base64.b64decode(item.get('value', '')),
        revisions.join(era, int(item['revision'])),
        lease=revisions.join(era, lease) if lease else 0,
    )


def _read_key(item: dict[str, typing.Any]) -> str:
    key = str(item['key'])
    # Surrogates can't be encoded, neither in messages nor in the next call.
    key.encode()
    return key


def _read_event(event: dict[str, typing.Any], era: int) -> Entry:
    if event.get('deleted'):
        revision = revisions.join(era, int(event['revision']))
        return Entry(_read_key(event), None, revision)
    return _read_entry(event, era)
