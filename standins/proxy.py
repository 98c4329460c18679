"""A TCP proxy that injects faults, for one or several listeners.

In a process: `proxy = Proxy(); listener = proxy.listen('127.0.0.1:7000')`,
then `listener.up.delay_seconds = 0.1`. As a program:

    python -m standins.proxy --target a=127.0.0.1:7000 --target b=...

which prints `{"port": control port, "listeners": {"a": port, ...}}`.
`POST /standin/faults` with `{"listener": "a", "direction": "up"|"down"|"both",
"delay_seconds": 0.1, "drop": true, "bytes_per_second": 1000,
"reset_after_bytes": 10, "hold": true}` sets what is named and leaves the
rest; `up` is from the dialling side to the target. For a whole listener:
`{"listener": "a", "half_open": true}` (new connections are accepted and never
forwarded), `"refuse": true` (new connections are refused by the kernel),
`"cut": true` (all present connections are closed now) and `"heal": true`
(no faults any more). `POST /standin/listen` with `{"name", "target"}` adds a
listener and returns its port. `GET /standin/stats` returns bytes and
connections.
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
_RESET = struct.pack('ii', 1, 0)


class _Connection:
    """One accepted connection and its way to the target."""

    __slots__ = ('_sockets', '_greenlets')

    def __init__(self, *sockets: socket.socket) -> None:
        self._sockets = sockets
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
            Called when the target closes the connection, before this is
            forwarded to the dialling side.
        """
        near, far = self._sockets
        both = [
            pipes.Pipe(near, far, up, self.cut),
            pipes.Pipe(far, near, down, self.cut, on_end=on_target_end),
        ]
        for pipe in both:
            self._greenlets.append(gevent.spawn(pipe.read))
            self._greenlets.append(gevent.spawn(pipe.write))
        gevent.joinall(self._greenlets)
        self._close()

    def cut(self) -> None:
        """Reset both ends at once."""
        for each in self._sockets:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            except OSError:
                pass
        self._close()
        current = gevent.getcurrent()
        others = [each for each in self._greenlets if each is not current]
        gevent.killall(others, block=False)

    def _close(self) -> None:
        for each in self._sockets:
            each.close()


def _bind(port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind(('127.0.0.1', port))
    return bound


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
        '_reserved',
        '_probe',
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
        self._probe: gevent.Greenlet | None = None
        # Bound and never listening, it keeps the port from other processes
        # while connections are refused: without it, `accept` found the port
        # taken now and then.
        self._reserved = _bind(port)
        self.port = self._reserved.getsockname()[1]
        self.accept()

    @property
    def address(self) -> str:
        """Where to dial, as `IP:port`."""
        return f'127.0.0.1:{self.port}'

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def accept(self) -> None:
        """Listen (again)."""
        if self._server is None:
            listening = _bind(self.port)
            listening.listen(_BACKLOG)
            self._server = gevent_server.StreamServer(listening, self._serve)
            self._server.start()

    def refuse(self) -> None:
        """Stop listening: the kernel refuses new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut(self) -> None:
        """Reset every present connection, and return when that is done."""
        present = list(self._connections)
        for connection in present:
            connection.cut()
        while any(each in self._connections for each in present):
            gevent.sleep(0.001)

    def heal(self) -> None:
        """End every fault; connections that were cut stay cut."""
        self.up.heal()
        self.down.heal()
        self.half_open = False
        self.accept()

    def refuse_until_target_listens(self) -> None:
        """Refuse new connections while the target refuses them.

        Otherwise the dialling side would see a reset, and could not detect
        that the target process has exited.
        """
        if self._probe is None and not self._is_target_listening():
            self.refuse()
            self._probe = gevent.spawn(self._wait_for_target)

    def _wait_for_target(self) -> None:
        while not self._is_target_listening():
            gevent.sleep(_PROBE_INTERVAL_SECONDS)
        self._probe = None
        self.accept()

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
        """Stop listening and cut everything."""
        if self._probe is not None:
            self._probe.kill()
        self.refuse()
        self._reserved.close()
        self.cut()

    def _serve(self, near: socket.socket, address: object) -> None:
        self.accepted += 1
        if self.half_open:
            self._hold(near)
            return
        try:
            far = self._dial_target()
        except OSError:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            near.close()
            return
        far.settimeout(None)
        for each in (near, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(near, far)
        self._connections.add(connection)
        try:
            connection.run(
                self.up, self.down, self.refuse_until_target_listens
            )
        finally:
            self._connections.discard(connection)

    def _hold(self, near: socket.socket) -> None:
        # As a host that vanished after its handshake: nothing is answered.
        held = _Connection(near)
        self._connections.add(held)
        try:
            while near.recv(pipes.CHUNK_BYTES):
                pass
        except OSError:
            pass
        finally:
            held.cut()
            self._connections.discard(held)


class Proxy:
    """Owns listeners; `close` ends them all."""

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
    """The HTTP control of a proxy that runs as a program."""

    __slots__ = ('_proxy',)

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        values = server.read_json(environ)
        match environ['PATH_INFO']:
            case '/standin/faults':
                _order(self._proxy.listeners[values['listener']], values)
                answer: dict[str, typing.Any] = {}
            case '/standin/listen':
                listener = self._proxy.listen(
                    values['target'], name=values.get('name', '')
                )
                answer = {'port': listener.port}
            case '/standin/stats':
                answer = {
                    name: _describe(listener)
                    for name, listener in self._proxy.listeners.items()
                }
            case _:
                return server.answer_json(
                    start_response, {}, status='404 Not Found'
                )
        return server.answer_json(start_response, answer)


def _order(listener: Listener, values: dict[str, typing.Any]) -> None:
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


def _describe(listener: Listener) -> dict[str, typing.Any]:
    return {
        'port': listener.port,
        'accepted': listener.accepted,
        'connections': listener.connections,
        'up_bytes': listener.up.bytes,
        'down_bytes': listener.down.bytes,
    }


def main() -> None:
    """Run the program."""
    parser = server.build_parser('A TCP proxy that injects faults.')
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
