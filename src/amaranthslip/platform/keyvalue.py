"""The client of the platform's key-value service, HTTP with JSON bodies.

Keys are whole: callers put `settings.platform.prefix` before their own.
"""

import base64
import contextlib
import json
import time
import typing
import urllib.parse

from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.platform import connections
from amaranthslip import settings

# The platform holds values up to a megabyte.
MOST_VALUE_BYTES = 1000000

# A watch whose service answers nothing for so long is ended and read anew:
# it may have stopped silently, which looks like a prefix where nothing
# changes.
QUIET_SECONDS = 30.0

_KEY = '/-/kv-key'
_RANGE = '/-/kv-range'
_WATCH = '/-/kv-watch'
_TRANSACTION = '/-/kv-txn'
_LEASE = '/-/kv-lease'
_RENEWAL = '/-/kv-keep'

# Names of calls in the counters.
_KINDS = {
    _KEY: 'read',
    _RANGE: 'range',
    _WATCH: 'watch',
    _TRANSACTION: 'txn',
    _LEASE: 'lease',
    _RENEWAL: 'renewal',
}


class Entry:
    """One key's value; `revision` grows with each change of it.

    A deletion that a watch tells of has `None` for its value. `lease` is
    the one that the entry ends with; 0: none.
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
    """Entries, and the service's revision that they were read at."""

    __slots__ = ('entries', 'revision')

    def __init__(self, entries: list[Entry], revision: int) -> None:
        self.entries = entries
        self.revision = revision


class _Reply:
    """One decoded answer."""

    __slots__ = ('status', 'values')

    def __init__(self, status: int, values: dict[str, typing.Any]) -> None:
        self.status = status
        self.values = values


class KeyValue:
    """Calls to the key-value service, each bounded in time and counted.

    Parameters
    ----------
    settings_ : Settings
        `platform.key_value` and `platform.timeout_seconds` are used.
    metrics_ : Metrics
        Where calls and failures are counted by kind.
    """

    __slots__ = ('_connections', '_metrics', '_settings')

    def __init__(
        self, settings_: settings.Settings, metrics_: metrics.Metrics
    ) -> None:
        self._metrics = metrics_
        self._settings = settings_
        self._connections = connections.Connections(
            settings_.platform.key_value,
            timeout_seconds=settings_.platform.timeout_seconds,
        )

    def __enter__(self) -> 'KeyValue':
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def get(self, key: str) -> Entry | None:
        """Return one key's entry, or None where there is none.

        Raises
        ------
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        return self.read_key(key).entry

    def read_key(self, key: str) -> 'KeyRead':
        """Return one key's entry and the service's revision; see `get`."""
        reply = self._read(_KEY, {'key': key}, absent=True)
        entry = _read_entry(reply.values) if reply.status == 200 else None
        return KeyRead(entry, int(reply.values.get('at', 0)))

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys begin so, in the keys' order.

        Raises
        ------
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        return self.read_entries(prefix).entries

    def read_entries(self, prefix: str) -> Entries:
        """Return the entries whose keys begin so, and a revision.

        A long list comes in pages that are no snapshot: the revision is
        the first page's, so that a watch from there on repeats what changed
        between the pages, and misses nothing. Raises as `read_prefix` does.
        """
        reply = self._read(_RANGE, {'prefix': prefix})
        revision = int(reply.values['at'])
        entries = _read_entries(reply)
        while reply.values.get('has_more') and entries:
            page = {'prefix': prefix, 'after': entries[-1].key}
            reply = self._read(_RANGE, page)
            entries += _read_entries(reply)
        return Entries(entries, revision)

    def poll(self, prefix: str, *, after: int, wait_seconds: float) -> Entries:
        """Return what changed after a revision, waiting for a first change.

        The revision of the result is where to go on; it has no entries
        where nothing changed for `wait_seconds`.

        Raises
        ------
        HistoryLost
            The service no longer knows that far back: read all anew.
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'wait_ms': int(wait_seconds * 1000),
        }
        reply = self._read(_WATCH, query, wait_seconds=wait_seconds)
        if reply.status == 410:
            self._metrics.count('platform_failures', 'history_lost')
            raise errors.HistoryLost(
                'key-value service: changes were missed; read all anew'
            )
        events = reply.values.get('events', ())
        return Entries(
            [_read_event(each) for each in events], int(reply.values['at'])
        )

    @contextlib.contextmanager
    def watch(
        self,
        prefix: str,
        *,
        start_revision: int = 0,
        quiet_seconds: float = QUIET_SECONDS,
    ) -> typing.Iterator[typing.Iterator[Entry]]:
        """Watch the keys that begin so, as a context manager.

        The iterator blocks for the next change. It ends when the service
        can't be followed any longer: read the prefix then, and watch anew.

        Parameters
        ----------
        start_revision : int
            The first revision to tell of; 0: from now on. One above the
            highest revision of a `read_prefix` misses nothing.
        quiet_seconds : float
            See `QUIET_SECONDS`.

        Raises
        ------
        PlatformUnavailable
            The watch could not be started.
        """
        after = start_revision - 1
        if not start_revision:
            after = self.read_key(prefix).revision
        yield self._follow(prefix, after, quiet_seconds)

    def _follow(
        self, prefix: str, after: int, quiet_seconds: float
    ) -> typing.Iterator[Entry]:
        while True:
            asked = time.monotonic()
            try:
                changed = self.poll(
                    prefix, after=after, wait_seconds=quiet_seconds
                )
            except errors.PlatformError:
                quiet = time.monotonic() - asked >= quiet_seconds
                reason = 'watch_quiet' if quiet else 'watch_ended'
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
            The entry's revision; 0 where the key must be absent.
        lease : int
            The lease that the key ends with; 0: none.

        Returns
        -------
        int or None
            The new revision; None: the comparison failed, nothing changed.

        Raises
        ------
        PlatformUnavailable
            The call surely had no effect.
        AnswerLost
            It may have had one, or may have one yet: read the key.
        PlatformRefused
            The value is too large, or the service refused the call.
        """
        condition = [{'key': key, 'revision': expected}]
        return self._write(key, value, condition, lease)

    def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write a value whatever the key holds; raises as `swap` does."""
        revision = self._write(key, value, [], lease)
        if revision is None:
            raise self._fail('refused', 'an unconditional write was refused')
        return revision

    def _write(
        self,
        key: str,
        value: bytes,
        conditions: list[dict[str, typing.Any]],
        lease: int,
    ) -> int | None:
        if len(value) > MOST_VALUE_BYTES:
            self._metrics.count('platform_failures', 'too_large')
            raise errors.PlatformRefused(
                f'{key}: {len(value)} bytes; the service holds values up to '
                f'{MOST_VALUE_BYTES}: split the value over several keys'
            )
        text = base64.b64encode(value).decode()
        reply = self._call(
            _TRANSACTION,
            {
                'expected_revision': conditions,
                'write': [{'key': key, 'value': text, 'lease': lease}],
                'remove': [],
            },
        )
        if reply.status == 412:
            return None
        return int(reply.values['revision'])

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete a key if its revision is still the expected one.

        Returns False where the comparison failed; raises as `swap` does.
        """
        reply = self._call(
            _TRANSACTION,
            {
                'expected_revision': [{'key': key, 'revision': expected}],
                'write': [],
                'remove': [key],
            },
        )
        return reply.status != 412

    def grant(self, ttl_seconds: float) -> int:
        """Return a new lease; raises as `swap` does."""
        reply = self._call(_LEASE, {'ttl_ms': int(ttl_seconds * 1000)})
        return int(reply.values['lease'])

    def renew(self, lease: int) -> bool:
        """Renew a lease; False: it has ended. Raises as `get` does."""
        reply = self._send(
            'POST',
            f'{_RENEWAL}/{lease}',
            _RENEWAL,
            accepted=(200, 404),
            writes=False,
        )
        return reply.status == 200

    def _read(
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

    def _call(self, path: str, values: dict[str, typing.Any]) -> _Reply:
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
        self._metrics.count('platform_calls', _KINDS[path])
        try:
            answer = self._connections.call(
                method, target, body, wait_seconds=wait_seconds
            )
        except connections.NeverSent as error:
            raise self._fail('unavailable', str(error)) from None
        except connections.MaybeSent as error:
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
        except ValueError:
            values = None
        if answer.status in accepted and isinstance(values, dict):
            return _Reply(answer.status, values)
        message = f'status {answer.status}: {answer.body[:200]!r}'
        # These two surely changed nothing, as the service promises.
        if answer.status == 429:
            raise self._fail('throttled', message)
        if answer.status == 503:
            raise self._fail('unavailable', message)
        if 400 <= answer.status < 500:
            raise self._fail('refused', message)
        raise self._fail('answer_lost' if writes else 'unavailable', message)

    def _fail(self, reason: str, message: str) -> errors.PlatformError:
        self._metrics.count('platform_failures', reason)
        kind, remedy = _FAILURES[reason]
        return kind(f'key-value service: {message}; {remedy}')


class KeyRead:
    """One key's entry, or None, as of the service's revision."""

    __slots__ = ('entry', 'revision')

    def __init__(self, entry: Entry | None, revision: int) -> None:
        self.entry = entry
        self.revision = revision


_FAILURES: dict[str, tuple[type[errors.PlatformError], str]] = {
    'unavailable': (
        errors.PlatformUnavailable,
        'nothing was changed, try again later',
    ),
    'throttled': (
        errors.PlatformUnavailable,
        'too many calls; nothing was changed, call less often',
    ),
    'answer_lost': (
        errors.AnswerLost,
        'the change may have been made, read the key to find out',
    ),
    'refused': (
        errors.PlatformRefused,
        'nothing was changed, the call must be mended',
    ),
}


def _read_entries(reply: _Reply) -> list[Entry]:
    return [_read_entry(each) for each in reply.values.get('entries', ())]


def _read_entry(item: dict[str, typing.Any]) -> Entry:
    return Entry(
        str(item['key']),
        base64.b64decode(item.get('value', '')),
        int(item['revision']),
        lease=int(item.get('lease') or 0),
    )


def _read_event(event: dict[str, typing.Any]) -> Entry:
    if event.get('deleted'):
        return Entry(str(event['key']), None, int(event['revision']))
    return _read_entry(event)
