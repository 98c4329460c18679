"""Client of a router's operators' port."""

import base64
import json
import os
import pathlib
import typing
import urllib.parse

import gevent
import geventhttpclient
from geventhttpclient import response as client_response

from amaranthslip import errors
from amaranthslip import reading

_TIMEOUT_SECONDS = 30.0
# Bytes of an answer; the configuration of the target fleet has some megabytes.
_MAX_ANSWER_BYTES = 67108864
_RECEIVE_BYTES = 65536
_CONFIGURATION = '/api/configuration'
_STATUS = '/api/status'
# Alternatives to the options. The password is never an argument, because every
# user of the machine can read a process's arguments.
_OPERATOR_VARIABLE = 'AMARANTHSLIP_OPERATOR'
_PASSWORD_VARIABLE = 'AMARANTHSLIP_PASSWORD'  # noqa: S105

JsonObject = dict[str, typing.Any]


class Credentials:
    """An operator's name and password."""

    __slots__ = ('name', 'password')

    def __init__(self, name: str, password: str) -> None:
        self.name = name
        self.password = password


def read_credentials(
    name: str, password_file: pathlib.Path | None
) -> Credentials:
    """Return credentials from the options or from the environment.

    Raises
    ------
    OperatorRefused
        The name or the password is missing, or the file is unreadable.
    """
    name = name or os.environ.get(_OPERATOR_VARIABLE, '')
    password = os.environ.get(_PASSWORD_VARIABLE, '')
    try:
        if password_file is not None:
            password = password_file.read_text(encoding='utf-8').rstrip('\r\n')
    except OSError as error:
        raise errors.OperatorRefused(
            f'the password file cannot be read ({error})'
        ) from None
    if not name or not password:
        raise errors.OperatorRefused(
            'no operator: use --operator and --password-file, or set '
            f'{_OPERATOR_VARIABLE} and {_PASSWORD_VARIABLE}'
        )
    return Credentials(name, password)


class OperatorsClient:
    """Client of the operators' port of one router.

    Parameters
    ----------
    url : str
        URL of the port, such as `http://10.0.0.5:9090`.
    credentials : Credentials
        Name and password of the operator.
    """

    __slots__ = ('_client', '_headers', '_url')

    def __init__(self, url: str, credentials: Credentials) -> None:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise errors.RouterUnreachable(
                f'{url!r} is not a URL; use one such as http://10.0.0.5:9090'
            )
        self._url = url
        self._client = geventhttpclient.HTTPClient(
            parts.hostname,
            parts.port or (443 if parts.scheme == 'https' else 80),
            ssl=parts.scheme == 'https',
            block_size=_RECEIVE_BYTES,
            connection_timeout=_TIMEOUT_SECONDS,
            network_timeout=_TIMEOUT_SECONDS,
        )
        pair = f'{credentials.name}:{credentials.password}'
        token = base64.b64encode(pair.encode()).decode()
        self._headers = {'Authorization': f'Basic {token}'}

    def __enter__(self) -> 'OperatorsClient':
        return self

    def __exit__(self, *exception: object) -> None:
        self._client.close()

    def read_status(self) -> JsonObject:
        """Return the fleet's status as this router reports it.

        Raises
        ------
        RouterUnreachable, OperatorRefused
            See the classes.
        """
        try:
            status, content = self._call('GET', _STATUS, b'', {})
        except (OSError, client_response.HTTPParseError) as error:
            raise self._make_unreachable_error(error) from None
        if status != 200:
            raise _parse_error(status, content, source='')
        return content

    def submit(self, values: object, *, base: int, source: str) -> int:
        """Submit a document and return its version number.

        Raises
        ------
        SettingsInvalid, ConfigurationConflict, ConfigurationRefused
            Nothing was applied.
        ConfigurationOutcomeUnknown
            The response was lost after the document was sent.
        RouterUnreachable, OperatorRefused
            The document was not sent, or it was rejected.
        """
        headers = {
            'Content-Type': 'application/json',
            'If-Match': f'"{base}"',
        }
        body = json.dumps(values).encode()
        try:
            status, content = self._call('PUT', _CONFIGURATION, body, headers)
        except ConnectionRefusedError as error:
            raise self._make_unreachable_error(error) from None
        except (OSError, client_response.HTTPParseError) as error:
            # The router may have accepted the document by then.
            raise errors.ConfigurationOutcomeUnknown(
                f'{self._url} sent no response ({error}): check the author of '
                f'version {base + 1} with `GET /api/history`, or submit '
                'again, which fails with a conflict if it was accepted',
                submission='not known',
                version=base + 1,
            ) from None
        if status != 200:
            raise _parse_error(status, content, source=source)
        return int(content['version'])

    def _make_unreachable_error(
        self, error: Exception
    ) -> errors.RouterUnreachable:
        return errors.RouterUnreachable(
            f'{self._url} does not answer ({error}): use the operators '
            'address of a running router'
        )

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, JsonObject]:
        # The client's time limit begins anew with each byte that it reads.
        with gevent.Timeout(
            _TIMEOUT_SECONDS, TimeoutError('the answer took too long')
        ):
            reading.prepare_connection(
                self._client, max_bytes=_MAX_ANSWER_BYTES
            )
            with self._client.request(
                method, path, body, self._headers | headers
            ) as response:
                data = response.read()
                status = response.status_code
        try:
            content = json.loads(data)
        except ValueError:
            content = {}
        return status, content if isinstance(content, dict) else {}


def _parse_error(
    status: int, content: JsonObject, *, source: str
) -> Exception:
    """Return the error that a response of the operators' port reports."""
    message = str(content.get('message', f'the router returned {status}'))
    match status:
        case 401 | 403:
            return errors.OperatorRefused(message)
        case 409:
            return errors.ConfigurationConflict(
                message,
                base=content['base'],
                current=content['current'],
                difference=_format_changes(content['difference']),
                changes_since_base=_format_changes(content['theirs']),
            )
        case 422:
            return errors.SettingsInvalid(
                'configuration invalid',
                [
                    errors.SettingError(
                        source, each['path'], each['found'], each['allowed']
                    )
                    for each in content['mistakes']
                ],
            )
        case 504:
            return errors.ConfigurationOutcomeUnknown(
                message,
                submission=content['submission'],
                version=content['version'],
            )
    reason = str(content.get('reason', f'status_{status}'))
    return errors.ConfigurationRefused(reason, message)


def _format_changes(changes: list[JsonObject] | None) -> str:
    lines = []
    for change in changes or ():
        shown = ', '.join(
            f'{field["name"]} {field["before"]} -> {field["after"]}'
            for field in change['fields']
        )
        line = f'{change["section"]} {change["name"]}: {change["kind"]}'
        lines.append(f'{line} ({shown})' if shown else line)
    return '\n'.join(lines)
