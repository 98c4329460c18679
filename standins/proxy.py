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

import collections
import struct
import time
import typing

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket

from standins import server

_BACKLOG = 1024
_CHUNK_BYTES = 65536
_QUEUED_BYTES_LIMIT = 16 * 1024 * 1024
_CONNECT_SECONDS = 5.0
_RESET = struct.pack('ii', 1, 0)


class Direction:
    """The faults and the count of one direction of a listener.

    A dropped direction is read and thrown away, as a network that loses
    each packet one way looks to both ends until a timeout.
    """

    __slots__ = (
        'delay_seconds',
        'drop',
        'bytes_per_second',
        'reset_after_bytes',
        'bytes',
        '_released',
    )

    def __init__(self) -> None:
        self.bytes = 0
        self._released = event.Event()
        self.heal()

    def heal(self) -> None:
        """End every fault of this direction."""
        self.delay_seconds = 0.0
        self.drop = False
        self.bytes_per_second = 0.0
        self.reset_after_bytes: int | None = None
        self.hold = False

    @property
    def hold(self) -> bool:
        """Whether bytes are kept back, to be released later in order."""
        return not self._released.is_set()

    @hold.setter
    def hold(self, value: bool) -> None:
        if value:
            self._released.clear()
        else:
            self._released.set()

    def wait_for_release(self) -> None:
        """Return when bytes are not held."""
        self._released.wait()


class _Pipe:
    """One direction of one connection: a reader and a late writer."""

    __slots__ = (
        '_source',
        '_sink',
        '_direction',
        '_queue',
        '_queued_bytes',
        '_changed',
        '_passed',
        '_reset',
    )

    def __init__(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
        reset: typing.Callable[[], None],
    ) -> None:
        self._source = source
        self._sink = sink
        self._direction = direction
        self._reset = reset
        self._queue: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._changed = event.Event()
        self._passed = 0

    def read(self) -> None:
        """Queue what comes in, with the time at which it may go on."""
        while True:
            try:
                data = self._source.recv(_CHUNK_BYTES)
            except OSError:
                data = b''
            if data and self._direction.drop:
                continue
            due = time.monotonic() + self._direction.delay_seconds
            self._queue.append((due, data))
            self._queued_bytes += len(data)
            self._changed.set()
            if not data:
                return
            while self._queued_bytes > _QUEUED_BYTES_LIMIT or (
                self._direction.hold and self._queued_bytes > _CHUNK_BYTES
            ):
                gevent.sleep(0.01)

    def write(self) -> None:
        """Pass the queue on, at the ordered time and pace."""
        direction = self._direction
        while True:
            while not self._queue:
                self._changed.clear()
                self._changed.wait()
            due, data = self._queue.popleft()
            self._queued_bytes -= len(data)
            gevent.sleep(max(0.0, due - time.monotonic()))
            direction.wait_for_release()
            if not data:
                # A dropped direction loses the end of the stream as well.
                if not direction.drop:
                    self._shut()
                return
            if direction.drop:
                continue
            if not self._pass(data):
                return

    def _shut(self) -> None:
        try:
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def _pass(self, data: bytes) -> bool:
        direction = self._direction
        limit = direction.reset_after_bytes
        if limit is not None:
            data = data[: max(0, limit - self._passed)]
        if direction.bytes_per_second:
            gevent.sleep(len(data) / direction.bytes_per_second)
        try:
            self._sink.sendall(data)
        except OSError:
            self._reset()
            return False
        self._passed += len(data)
        direction.bytes += len(data)
        if limit is not None and self._passed >= limit:
            self._reset()
            return False
        return True


class _Connection:
    """One accepted connection and its way to the target."""

    __slots__ = ('_sockets', '_greenlets')

    def __init__(self, *sockets: socket.socket) -> None:
        self._sockets = sockets
        self._greenlets: list[gevent.Greenlet] = []

    def run(self, up: Direction, down: Direction) -> None:
        """Forward until both directions have ended."""
        near, far = self._sockets
        pipes = [
            _Pipe(near, far, up, self.cut),
            _Pipe(far, near, down, self.cut),
        ]
        for pipe in pipes:
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
    )

    def __init__(self, target: str, *, port: int = 0) -> None:
        self.target = target
        self.port = port
        self.up = Direction()
        self.down = Direction()
        self.half_open = False
        self.accepted = 0
        self._connections: set[_Connection] = set()
        self._server: gevent_server.StreamServer | None = None
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

    def close(self) -> None:
        """Stop listening and cut everything."""
        self.refuse()
        self._reserved.close()
        self.cut()

    def _serve(self, near: socket.socket, address: object) -> None:
        self.accepted += 1
        if self.half_open:
            self._hold(near)
            return
        host, port = self.target.rsplit(':', 1)
        try:
            far = socket.create_connection(
                (host.strip('[]'), int(port)), timeout=_CONNECT_SECONDS
            )
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
            connection.run(self.up, self.down)
        finally:
            self._connections.discard(connection)

    def _hold(self, near: socket.socket) -> None:
        # As a host that vanished after its handshake: nothing is answered.
        held = _Connection(near)
        self._connections.add(held)
        try:
            while near.recv(_CHUNK_BYTES):
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
