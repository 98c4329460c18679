"""A TCP proxy with one or more listeners that injects network faults.

As a library: `proxy = Proxy(); listener = proxy.listen('127.0.0.1:7000')`,
then `listener.up.delay_seconds = 0.1`. As a program:

    python -m standins.proxy --target a=127.0.0.1:7000 --target b=...

The program prints `{"port": control port, "listeners": {"a": port, ...}}`.

`POST /standin/faults` with `{"listener": "a", "direction": "up"|"down"|"both",
"delay_seconds": 0.1, "drop": true, "bytes_per_second": 1000,
"reset_after_bytes": 10, "hold": true}` sets the given fields and keeps the
others; `up` is the direction from the client to the target. These fields apply
to the whole listener:

- `"half_open": true`: new connections are accepted and never forwarded;
- `"refuse": true`: new connections are refused by the kernel;
- `"cut": true`: all open connections are reset now;
- `"heal": true`: all faults are cleared.

`POST /standin/listen` with `{"name", "target"}` adds a listener and returns
its port. `GET /standin/stats` returns byte and connection counts by listener.
"""

import struct
import typing

import gevent
from gevent import server as gevent_server
from gevent import socket

from standins import pipes
from standins import server

_BACKLOG = 1024
_CONNECT_SECONDS = 5.0
_PROBE_INTERVAL_SECONDS = 0.05
_LINGER_RESET = struct.pack('ii', 1, 0)


class _Connection:
    """An accepted connection and the matching connection to the target."""

    __slots__ = ('_endpoints', '_greenlets')

    def __init__(self, *sockets: socket.socket) -> None:
        self._endpoints = sockets
        self._greenlets: list[gevent.Greenlet] = []

    def run(
        self,
        up: pipes.Direction,
        down: pipes.Direction,
        on_target_end: typing.Callable[[], None],
    ) -> None:
        """Forward until both directions have ended.

        Parameters
        ----------
        on_target_end : callable
            Called when the target closes the connection or can't be written
            to, before the client's connection is closed.
        """
        client_socket, target_socket = self._endpoints

        def reset_from_target() -> None:
            on_target_end()
            self.cut()

        both_pipes = [
            pipes.Pipe(client_socket, target_socket, up, reset_from_target),
            pipes.Pipe(
                target_socket,
                client_socket,
                down,
                self.cut,
                on_end=on_target_end,
            ),
        ]
        for pipe in both_pipes:
            self._greenlets.append(gevent.spawn(pipe.read))
            self._greenlets.append(gevent.spawn(pipe.write))
        gevent.joinall(self._greenlets)
        self._close_sockets()

    def cut(self) -> None:
        """Reset the connections to client and target immediately."""
        for each in self._endpoints:
            try:
                each.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            except OSError:
                pass
        self._close_sockets()
        current = gevent.getcurrent()
        others = [each for each in self._greenlets if each is not current]
        gevent.killall(others, block=False)

    def _close_sockets(self) -> None:
        for each in self._endpoints:
            each.close()


def _bind(port: int) -> socket.socket:
    bound_socket = socket.socket()
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound_socket.bind(('127.0.0.1', port))
    return bound_socket


class Listener:
    """One listening port that forwards to one target."""

    __slots__ = (
        'target',
        'port',
        'up',
        'down',
        'half_open',
        'accepted',
        '_connections',
        '_server',
        '_refusing',
        '_port_reservation',
        '_target_probe',
    )

    def __init__(self, target: str, *, port: int = 0) -> None:
        self.target = target
        self.port = port
        self.up = pipes.Direction()
        self.down = pipes.Direction()
        self.half_open = False
        self.accepted = 0
        self._connections: set[_Connection] = set()
        self._server: gevent_server.StreamServer | None = None
        self._refusing = False
        # Runs while the target refuses connections.
        self._target_probe: gevent.Greenlet | None = None
        # Reserves the port while connections are refused: this socket is
        # bound and never listens. Without it, another process occasionally
        # took the port before `accept` listened on it again.
        self._port_reservation = _bind(port)
        self.port = self._port_reservation.getsockname()[1]
        self.accept()

    @property
    def address(self) -> str:
        """Listening address, as `IP:port`."""
        return f'127.0.0.1:{self.port}'

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def accept(self) -> None:
        """Accept connections, unless the target refuses them."""
        self._refusing = False
        self._update_server()

    def refuse(self) -> None:
        """Stop listening: the kernel refuses new connections."""
        self._refusing = True
        self._update_server()

    def _update_server(self) -> None:
        refusing = self._refusing or self._target_probe is not None
        if refusing and self._server is not None:
            self._server.close()
            self._server = None
        elif not refusing and self._server is None:
            listening = _bind(self.port)
            listening.listen(_BACKLOG)
            self._server = gevent_server.StreamServer(
                listening, self._handle_connection
            )
            self._server.start()

    def cut(self) -> None:
        """Reset every open connection and wait until all have ended."""
        open_connections = list(self._connections)
        for connection in open_connections:
            connection.cut()
        while any(each in self._connections for each in open_connections):
            gevent.sleep(0.001)

    def heal(self) -> None:
        """Clear every fault; connections that were reset stay closed."""
        self.up.heal()
        self.down.heal()
        self.half_open = False
        self.accept()

    def check_target(self) -> None:
        """Refuse new connections while the target refuses them.

        Otherwise the client would see a reset instead of a refused
        connection, and could not detect that the target process has exited.
        """
        if not self._is_target_listening():
            self._refuse_until_target_listens()

    def _refuse_until_target_listens(self) -> None:
        if self._target_probe is None:
            self._target_probe = gevent.spawn(self._wait_for_target)
            self._update_server()

    def _wait_for_target(self) -> None:
        while not self._is_target_listening():
            gevent.sleep(_PROBE_INTERVAL_SECONDS)
        self._target_probe = None
        self._update_server()

    def _is_target_listening(self) -> bool:
        try:
            self._dial_target().close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True

    def _dial_target(self) -> socket.socket:
        host, port = self.target.rsplit(':', 1)
        return socket.create_connection(
            (host.strip('[]'), int(port)), timeout=_CONNECT_SECONDS
        )

    def close(self) -> None:
        """Stop listening and reset every connection."""
        self.refuse()
        if self._target_probe is not None:
            self._target_probe.kill()
        self._port_reservation.close()
        self.cut()

    def _handle_connection(
        self, client_socket: socket.socket, address: object
    ) -> None:
        self.accepted += 1
        if self.half_open:
            self._serve_half_open(client_socket)
            return
        try:
            target_socket = self._dial_target()
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                # An exiting target may still have listened when its
                # connections ended.
                self._refuse_until_target_listens()
            client_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
            client_socket.close()
            return
        target_socket.settimeout(None)
        for each in (client_socket, target_socket):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(client_socket, target_socket)
        self._connections.add(connection)
        try:
            connection.run(self.up, self.down, self.check_target)
        finally:
            self._connections.discard(connection)

    def _serve_half_open(self, client_socket: socket.socket) -> None:
        # Simulates a host that fails after the TCP handshake: received bytes
        # are discarded and nothing is sent.
        connection = _Connection(client_socket)
        self._connections.add(connection)
        try:
            while client_socket.recv(pipes.CHUNK_BYTES):
                pass
        except OSError:
            pass
        finally:
            connection.cut()
            self._connections.discard(connection)


class Proxy:
    """A set of listeners; `close` closes all of them."""

    __slots__ = ('listeners',)

    def __init__(self) -> None:
        self.listeners: dict[str, Listener] = {}

    def listen(self, target: str, *, name: str = '') -> Listener:
        """Add a listener on a free port that forwards to `IP:port`."""
        listener = Listener(target)
        self.listeners[name or target] = listener
        return listener

    def close(self) -> None:
        """Close every listener."""
        for listener in self.listeners.values():
            listener.close()
        self.listeners.clear()

    def __enter__(self) -> 'Proxy':
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()


class Control:
    """WSGI application that controls a proxy that runs as a program."""

    __slots__ = ('_proxy',)

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        match environ['PATH_INFO']:
            case '/standin/faults':
                _apply_faults(
                    self._proxy.listeners[values['listener']], values
                )
                response: dict[str, typing.Any] = {}
            case '/standin/listen':
                listener = self._proxy.listen(
                    values['target'], name=values.get('name', '')
                )
                response = {'port': listener.port}
            case '/standin/stats':
                response = {
                    name: _format_stats(listener)
                    for name, listener in self._proxy.listeners.items()
                }
            case _:
                return server.respond_json(
                    start_response, {}, status='404 Not Found'
                )
        return server.respond_json(start_response, response)


def _apply_faults(listener: Listener, values: dict[str, typing.Any]) -> None:
    if values.get('heal'):
        listener.heal()
    if 'half_open' in values:
        listener.half_open = values['half_open']
    if 'refuse' in values:
        listener.refuse() if values['refuse'] else listener.accept()
    directions = {'up': [listener.up], 'down': [listener.down]}.get(
        values.get('direction', 'both'), [listener.up, listener.down]
    )
    for direction in directions:
        for name in (
            'delay_seconds',
            'drop',
            'bytes_per_second',
            'reset_after_bytes',
            'hold',
        ):
            if name in values:
                setattr(direction, name, values[name])
    if values.get('cut'):
        listener.cut()


def _format_stats(listener: Listener) -> dict[str, typing.Any]:
    return {
        'port': listener.port,
        'accepted': listener.accepted,
        'connections': listener.connections,
        'up_bytes': listener.up.bytes,
        'down_bytes': listener.down.bytes,
    }


def main() -> None:
    """Run the proxy as a program."""
    parser = server.build_parser('A TCP proxy that injects network faults.')
    parser.add_argument(
        '--target', action='append', default=[], metavar='NAME=IP:PORT'
    )
    options = parser.parse_args()
    proxy = Proxy()
    for each in options.target:
        name, target = each.split('=', 1)
        proxy.listen(target, name=name)
    ports = {name: each.port for name, each in proxy.listeners.items()}
    server.run(Control(proxy), port=options.port, listeners=ports)


if __name__ == '__main__':
    main()
