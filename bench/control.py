"""HTTP to stand-ins and to operators' ports, from the bench's main process."""

import base64
import contextlib
import http.client
import json
import pathlib
import typing

from bench import deployments
from bench import processes

_TIMEOUT_SECONDS = 5.0


class Answer:
    """A status and a body."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def read_json(self) -> typing.Any:
        """Return the body, parsed."""
        return json.loads(self.body)


def get(
    address: str, path: str, *, headers: dict[str, str] | None = None
) -> Answer:
    """Return the answer to a GET."""
    return _ask(address, 'GET', path, None, headers or {})


def sign_in(operator: str) -> dict[str, str]:
    """Return the headers of an operator of the examples."""
    pair = f'{operator}:{deployments.read_password(operator)}'
    token = base64.b64encode(pair.encode()).decode()
    return {'Authorization': f'Basic {token}'}


def post(address: str, path: str, values: object) -> Answer:
    """Return the answer to a POST of a JSON value."""
    return _ask(address, 'POST', path, json.dumps(values).encode(), {})


def _ask(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> Answer:
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Answer(response.status, response.read())
    finally:
        connection.close()


def start_standin(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    name: str,
    module: str,
    *arguments: str,
) -> 'StandIn':
    """Start a stand-in as a process that ends with the stack.

    Parameters
    ----------
    stack : ExitStack
        Owns the process.
    folder, name : Path and str
        Where its output goes, and the output file's name.
    module : str
        Of `standins`.
    """
    command = processes.build_python_command(
        f'standins.{module}', '--port', '0', *arguments
    )
    process = processes.Process(name, command, folder)
    stack.callback(process.close)
    process.start()
    return StandIn(process)


class StandIn:
    """A stand-in that runs as a process of its own."""

    __slots__ = ('process', 'address')

    def __init__(self, process: processes.Process) -> None:
        self.process = process
        self.address = f'127.0.0.1:{process.wait_for_port()}'

    def order(self, path: str, **values: object) -> typing.Any:
        """Post an order; return the answer's JSON value."""
        answer = post(self.address, path, values)
        if answer.status != 200:
            raise processes.ProcessFailed(
                f'{self.process.name} refused {path}: {answer.body!r}'
            )
        return answer.read_json()

    def fail(self, mode: str, **values: object) -> None:
        """Order a fault; the mode `ok` or `up` ends it."""
        self.order('/standin/faults', mode=mode, **values)

    def read_stats(self) -> dict[str, typing.Any]:
        """Return its counters."""
        return get(self.address, '/standin/stats').read_json()
