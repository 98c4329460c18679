"""HTTP client for the control ports of stand-ins and the operators' ports.

Used from the main process of a benchmark or a test.
"""

import base64
import contextlib
import http.client
import json
import pathlib
import typing

from bench import deployments
from bench import processes

_REQUEST_TIMEOUT_SECONDS = 5.0


class Response:
    """The status and body of an HTTP response."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def read_json(self) -> typing.Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


def get(
    address: str, path: str, *, headers: dict[str, str] | None = None
) -> Response:
    """Send a GET request and return the response."""
    return _send_request(address, 'GET', path, None, headers or {})


def sign_in(operator: str) -> dict[str, str]:
    """Return Basic authentication headers for an operator of the examples."""
    credentials = f'{operator}:{deployments.read_password(operator)}'
    token = base64.b64encode(credentials.encode()).decode()
    return {'Authorization': f'Basic {token}'}


def post(address: str, path: str, values: object) -> Response:
    """Send a POST request with a JSON value and return the response."""
    return _send_request(
        address, 'POST', path, json.dumps(values).encode(), {}
    )


def _send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> Response:
    connection = http.client.HTTPConnection(
        address, timeout=_REQUEST_TIMEOUT_SECONDS
    )
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Response(response.status, response.read())
    finally:
        connection.close()


def start_standin(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    name: str,
    module: str,
    *arguments: str,
) -> 'StandIn':
    """Start a stand-in as a process that the exit stack ends.

    Parameters
    ----------
    stack : ExitStack
        Ends the process when it is closed.
    folder, name : Path and str
        Folder of the output file, and its name without the suffix.
    module : str
        Name of the module within `standins`.
    """
    command = processes.build_python_command(
        f'standins.{module}', '--port', '0', *arguments
    )
    process = processes.Process(name, command, folder)
    stack.callback(process.close)
    process.start()
    return StandIn(process)


class StandIn:
    """A stand-in that runs as a separate process."""

    __slots__ = ('process', 'address')

    def __init__(self, process: processes.Process) -> None:
        self.process = process
        self.address = f'127.0.0.1:{process.wait_for_port()}'

    def order(self, path: str, **values: object) -> typing.Any:
        """Post a control request and return the response's JSON value.

        Raises
        ------
        processes.ProcessFailed
            The response's status is not 200.
        """
        answer = post(self.address, path, values)
        if answer.status != 200:
            raise processes.ProcessFailed(
                f'{self.process.name} rejected the control request '
                f'{path}: {answer.body!r}'
            )
        return answer.read_json()

    def fail(self, mode: str, **values: object) -> None:
        """Set a fault mode; the mode `ok` or `up` ends the fault."""
        self.order('/standin/faults', mode=mode, **values)

    def read_stats(self) -> dict[str, typing.Any]:
        """Return the counters of the stand-in."""
        return get(self.address, '/standin/stats').read_json()
