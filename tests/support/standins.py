"""Stand-in programs that tests start and stop."""

import json
import subprocess
import sys
import typing

import geventhttpclient

_STOP_SECONDS = 10


class Standin:
    """A running stand-in program."""

    __slots__ = ('process', 'port', 'ready')

    def __init__(self, name: str, *options: str) -> None:
        command = [sys.executable, '-m', f'standins.{name}', '--port', '0']
        self.process = subprocess.Popen(
            [*command, *options], stdout=subprocess.PIPE, text=True
        )
        self.ready = json.loads(self.process.stdout.readline())
        self.port: int = self.ready['port']

    @property
    def address(self) -> str:
        """The listening address, as `IP:port`."""
        return f'127.0.0.1:{self.port}'

    @property
    def url(self) -> str:
        """The HTTP URL of the listening address."""
        return f'http://{self.address}'

    def call(self, path: str, **values: object) -> typing.Any:
        """Call a control path, by POST with `values` or else by GET."""
        client = geventhttpclient.HTTPClient('127.0.0.1', self.port)
        method = 'POST' if values else 'GET'
        body = json.dumps(values) if values else ''
        try:
            return json.loads(client.request(method, path, body).read())
        finally:
            client.close()

    def stop(self) -> None:
        """Stop the program; has no effect if it has already ended."""
        self.process.terminate()
        self.process.wait(_STOP_SECONDS)
        self.process.stdout.close()


def start(context: typing.Any, name: str, *options: str) -> Standin:
    """Start a stand-in that is stopped at the end of the scenario."""
    standin = Standin(name, *options)
    context.add_cleanup(standin.stop)
    return standin
