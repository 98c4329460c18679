"""The command line's side of a router's operators' port."""

import base64
import json
import os
import pathlib
import typing
import urllib.parse

import geventhttpclient
from geventhttpclient import response as client_response

from amaranthslip import errors

_TIMEOUT_SECONDS = 30.0
_CONFIGURATION = '/api/configuration'
_STATUS = '/api/status'
# Instead of the options; the password is never an argument, since every user
# of the machine can read a process's arguments.
_OPERATOR_VARIABLE = 'AMARANTHSLIP_OPERATOR'
_PASSWORD_VARIABLE = 'AMARANTHSLIP_PASSWORD'  # noqa: S105

Values = dict[str, typing.Any]


class Credentials:
    """An operator's name and password."""

    __slots__ = ('name', 'password')

    def __init__(self, name: str, password: str) -> None:
        self.name = name
        self.password = password


def read_credentials(
    name: str, password_file: pathlib.Path | None
) -> Credentials:
    """Return credentials from a file or from the environment.

    Raises
    ------
    OperatorRefused
        There is no name or no password.
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
            'no operator: give --operator and --password-file, or set '
            f'{_OPERATOR_VARIABLE} and {_PASSWORD_VARIABLE}'
        )
    return Credentials(name, password)


class Operators:
    """Calls one router's operators' port.

    Parameters
    ----------
    url : str
        Such as `http://10.0.0.5:9090`.
    credentials : Credentials
        Who calls.
    """

    __slots__ = ('_client', '_headers', '_url')

    def __init__(self, url: str, credentials: Credentials) -> None:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise errors.RouterUnreachable(
                f'{url!r} is no URL; give one such as http://10.0.0.5:9090'
            )
        self._url = url
        self._client = geventhttpclient.HTTPClient(
            parts.hostname,
            parts.port or (443 if parts.scheme == 'https' else 80),
            ssl=parts.scheme == 'https',
            connection_timeout=_TIMEOUT_SECONDS,
            network_timeout=_TIMEOUT_SECONDS,
        )
        pair = f'{credentials.name}:{credentials.password}'
        token = base64.b64encode(pair.encode()).decode()
        self._headers = {'Authorization': f'Basic {token}'}

    def __enter__(self) -> 'Operators':
        return self

    def __exit__(self, *exception: object) -> None:
        self._client.close()

    def read_status(self) -> Values:
        """Return the fleet's status as the router sees it.

        Raises
        ------
        RouterUnreachable, OperatorRefused
            See the classes.
        """
        try:
            status, content = self._call('GET', _STATUS, b'', {})
        except (OSError, client_response.HTTPParseError) as error:
            raise self._make_unreachable(error) from None
        if status != 200:
            raise _read_error(status, content, source='')
        return content

    def submit(self, values: object, *, base: int, source: str) -> int:
        """Submit a document; return the version that it was accepted as.

        Raises
        ------
        SettingsInvalid, ConfigurationConflict, ConfigurationRefused
            Nothing was applied.
        ConfigurationUnknown
            The answer was lost after the document was sent.
        RouterUnreachable, OperatorRefused
            Nothing was sent, or nothing was taken.
        """
        headers = {
            'Content-Type': 'application/json',
            'If-Match': f'"{base}"',
        }
        body = json.dumps(values).encode()
        try:
            status, content = self._call('PUT', _CONFIGURATION, body, headers)
        except ConnectionRefusedError as error:
            raise self._make_unreachable(error) from None
        except (OSError, client_response.HTTPParseError) as error:
            # The router may have submitted it before the connection ended.
            raise errors.ConfigurationUnknown(
                f'{self._url} gave no answer ({error}): see whether version '
                f'{base + 1} is by you with `GET /api/history`, or submit '
                'again, which conflicts if it was accepted',
                submission='not known',
                version=base + 1,
            ) from None
        if status != 200:
            raise _read_error(status, content, source=source)
        return int(content['version'])

    def _make_unreachable(self, error: Exception) -> errors.RouterUnreachable:
        return errors.RouterUnreachable(
            f'{self._url} does not answer ({error}): give the operators '
            'address of a router that runs'
        )

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, Values]:
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


def _read_error(status: int, content: Values, *, source: str) -> Exception:
    """Return the error that an answer of the operators' port stands for."""
    message = str(content.get('message', f'the router answered {status}'))
    match status:
        case 401 | 403:
            return errors.OperatorRefused(message)
        case 409:
            return errors.ConfigurationConflict(
                message,
                base=content['base'],
                current=content['current'],
                difference=_describe(content['difference']),
                theirs=_describe(content['theirs']),
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
            return errors.ConfigurationUnknown(
                message,
                submission=content['submission'],
                version=content['version'],
            )
    reason = str(content.get('reason', f'status_{status}'))
    return errors.ConfigurationRefused(reason, message)


def _describe(changes: list[Values] | None) -> str:
    lines = []
    for change in changes or ():
        shown = ', '.join(
            f'{field["name"]} {field["before"]} -> {field["after"]}'
            for field in change['fields']
        )
        line = f'{change["section"]} {change["name"]}: {change["kind"]}'
        lines.append(f'{line} ({shown})' if shown else line)
    return '\n'.join(lines)
