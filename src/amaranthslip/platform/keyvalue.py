"""The client of the key-value service: etcd v3's JSON gateway.

Keys are whole: callers put `settings.platform.prefix` before their own.
"""

import base64
import contextlib
import json
import typing

from amaranthslip import errors
from amaranthslip import metrics
from amaranthslip.platform import connections
from amaranthslip import settings

# The platform holds values up to a megabyte.
MOST_VALUE_BYTES = 1000000

# A watch that says nothing for so long is ended and read anew: it may have
# stopped silently, which looks like a prefix where nothing changes.
QUIET_SECONDS = 30.0

_RANGE = '/v3/kv/range'
_TXN = '/v3/kv/txn'
_WATCH = '/v3/watch'


class Entry:
    """One key's value; `revision` grows with each change of it.

    A deletion that a watch tells of has `None` for its value.
    """

    __slots__ = ('key', 'value', 'revision')

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class KeyValue:
    """Calls to the key-value service, each bounded in time and counted.

    Parameters
    ----------
    settings_ : Settings
        `platform.key_value` and `platform.timeout_seconds` are used.
    metrics_ : Metrics
        Where calls and failures are counted by kind.
    """

    __slots__ = ('_connections', '_metrics')

    def __init__(
        self, settings_: settings.Settings, metrics_: metrics.Metrics
    ) -> None:
        self._metrics = metrics_
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
        entries = self._read({'key': _encode(key.encode())})
        return entries[0] if entries else None

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys begin so, in the keys' order.

        Raises
        ------
        PlatformUnavailable
            The service gave no usable answer; try again later.
        """
        return self._read(_select_prefix(prefix))

    def _read(self, selected: dict[str, typing.Any]) -> list[Entry]:
        answer = self._call(_RANGE, selected, writes=False)
        return [_read_entry(each) for each in answer.get('kvs', ())]

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Write a value if the key's revision is still the expected one.

        Parameters
        ----------
        expected : int
            The entry's revision; 0 where the key must be absent.

        Returns
        -------
        int or None
            The new revision; None: the comparison failed, nothing changed.

        Raises
        ------
        PlatformUnavailable
            The call surely had no effect.
        AnswerLost
            It may have had one: read the key to find out.
        PlatformRefused
            The value is too large, or the service refused the call.
        """
        if len(value) > MOST_VALUE_BYTES:
            self._metrics.count('platform_failures', 'too_large')
            raise errors.PlatformRefused(
                f'{key}: {len(value)} bytes; the service holds values up to '
                f'{MOST_VALUE_BYTES}: split the value over several keys'
            )
        put = {'key': _encode(key.encode()), 'value': _encode(value)}
        answer = self._compare(key, expected, {'request_put': put})
        if not answer.get('succeeded'):
            return None
        return int(answer['header']['revision'])

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete a key if its revision is still the expected one.

        Returns False where the comparison failed; raises as `swap` does.
        """
        gone = {'key': _encode(key.encode())}
        answer = self._compare(key, expected, {'request_delete_range': gone})
        return bool(answer.get('succeeded'))

    def _compare(
        self, key: str, expected: int, operation: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        comparison = {
            'key': _encode(key.encode()),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected),
        }
        transaction = {'compare': [comparison], 'success': [operation]}
        return self._call(_TXN, transaction, writes=True)

    def _call(
        self, path: str, values: dict[str, typing.Any], *, writes: bool
    ) -> dict[str, typing.Any]:
        self._metrics.count('platform_calls', path.rsplit('/', 1)[1])
        body = json.dumps(values).encode()
        try:
            answer = self._connections.call('POST', path, body)
        except connections.NeverSent as error:
            raise self._fail('unavailable', str(error)) from None
        except connections.MaybeSent as error:
            reason = 'answer_lost' if writes else 'unavailable'
            raise self._fail(reason, str(error)) from None
        return self._check(answer, writes)

    def _check(
        self, answer: connections.Answer, writes: bool
    ) -> dict[str, typing.Any]:
        try:
            values = json.loads(answer.body)
        except ValueError:
            values = {}
        if answer.status == 200 and 'header' in values:
            return values
        message = f'status {answer.status}: {values.get("message", "")}'
        if answer.status == 400:
            raise self._fail('refused', message)
        # A 5xx may come from a gateway whose call to the store timed out.
        raise self._fail('answer_lost' if writes else 'unavailable', message)

    def _fail(self, reason: str, message: str) -> errors.PlatformError:
        self._metrics.count('platform_failures', reason)
        kind, remedy = _FAILURES[reason]
        return kind(f'key-value service: {message}; {remedy}')

    @contextlib.contextmanager
    def watch(
        self,
        prefix: str,
        *,
        start_revision: int = 0,
        quiet_seconds: float = QUIET_SECONDS,
    ) -> typing.Iterator[typing.Iterator[Entry]]:
        """Watch the keys that begin so, as a context manager.

        The iterator blocks for the next change. It ends when the watch does,
        or when it was quiet for `quiet_seconds`: read the prefix, then watch
        anew.

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
        self._metrics.count('platform_calls', 'watch')
        request = _select_prefix(prefix)
        if start_revision:
            request['start_revision'] = str(start_revision)
        body = json.dumps({'create_request': request}).encode()
        client = self._connections.open(quiet_seconds=quiet_seconds)
        with contextlib.closing(client):
            try:
                connections.connect(client)
                answer = client.request(
                    'POST', self._connections.extend(_WATCH), body
                )
                first = answer.readline(b'\n')
            except connections.BROKEN as error:
                raise self._fail('unavailable', str(error)) from None
            if answer.status_code != 200:
                raise self._fail(
                    'unavailable', f'watch: status {answer.status_code}'
                )
            yield self._follow(answer, first)

    def _follow(
        self, answer: typing.Any, first: bytes
    ) -> typing.Iterator[Entry]:
        data = first
        while data:
            # The library may hand over several lines at once.
            for line in data.splitlines():
                result = json.loads(line).get('result', {})
                for event in result.get('events', ()):
                    yield _read_event(event)
                if result.get('canceled'):
                    return
            try:
                data = answer.readline(b'\n')
            except connections.BROKEN as error:
                quiet = isinstance(error, TimeoutError)
                reason = 'watch_quiet' if quiet else 'watch_ended'
                self._metrics.count('platform_failures', reason)
                return


_FAILURES: dict[str, tuple[type[errors.PlatformError], str]] = {
    'unavailable': (
        errors.PlatformUnavailable,
        'nothing was changed, try again later',
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


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _select_prefix(prefix: str) -> dict[str, typing.Any]:
    start = prefix.encode()
    # etcd's way to say prefix: up to the key after all that begin so.
    end = start[:-1] + bytes([start[-1] + 1])
    return {'key': _encode(start), 'range_end': _encode(end)}


def _read_entry(item: dict[str, typing.Any]) -> Entry:
    return Entry(
        base64.b64decode(item['key']).decode(),
        base64.b64decode(item.get('value', '')),
        int(item['mod_revision']),
    )


def _read_event(event: dict[str, typing.Any]) -> Entry:
    entry = _read_entry(event['kv'])
    if event.get('type') == 'DELETE':
        entry.value = None
    return entry
