"""What a message costs, and a link that is idle."""

import contextlib
import inspect
import random
import typing

import gevent
from gevent import event
from gevent import server
from gevent import socket

from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import links
from amaranthslip.links import registry
from amaranthslip.links import sockets
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip import metrics
from bench import slope
from tests.support import member_settings

_LINKS = 400
_CALLS = 3000
_ITEMS = 2
_BATCH = 16
_NAMES = 2500
# Fits the smallest integer field.
_MOST_STATE = 200
_KEEP_SECONDS = 3600


def measure_messages(seconds: float) -> list[slope.Slope]:
    """Measure bytes and processor time for each kind of message.

    Each field holds a random value, each text one of 2,500 names, each list
    two items. Bytes are those of a frame in the middle of a connection,
    with the four bytes of its length.
    """
    registry.register_all()
    found = []
    for kind in codec._BY_CLASS:
        found += _measure_kind(kind)
    return found


def _measure_kind(kind: type) -> list[slope.Slope]:
    source = random.Random(1)
    name = kind.__name__
    found = []
    for count in (1, _BATCH):
        batches = [
            [_build_sample(kind, source) for _ in range(count)]
            for _ in range(_CALLS // count)
        ]
        what = f'{name}, {count} in a frame'
        size = _count_bytes(batches) / count
        spent = _time_way(batches) / count
        found.append(slope.Slope(what, size, 'bytes a message'))
        found.append(slope.Slope(what, spent, 'us a message, both ends'))
    return found


def _build_sample(kind: type, source: random.Random) -> object:
    """Return a message with a random value of its type in each field."""
    lists = codec._BY_CLASS[kind].lists
    values: dict[str, typing.Any] = {}
    for name, parameter in inspect.signature(kind).parameters.items():
        if name in lists:
            item = lists[name].message_class
            values[name] = [_build_item(item, source) for _ in range(_ITEMS)]
        else:
            values[name] = _draw_value(parameter.annotation, source)
    return kind(**values)


def _build_item(item: type, source: random.Random) -> object:
    parameters = inspect.signature(item).parameters
    return item(
        **{
            name: _draw_value(parameter.annotation, source)
            for name, parameter in parameters.items()
        }
    )


def _draw_value(annotation: object, source: random.Random) -> typing.Any:
    name = getattr(annotation, '__name__', str(annotation))
    if name == 'str':
        return f'account-{source.randrange(_NAMES)}'
    if name == 'bytes':
        return source.randbytes(16)
    if name == 'bool':
        return source.random() < 0.5
    if name == 'float':
        return source.random() * 1000
    return source.randrange(_MOST_STATE)


def _count_bytes(batches: list[list[object]]) -> float:
    deflater = frames.Deflater()
    lengths = [len(deflater.pack(codec.encode(each))) for each in batches]
    later = lengths[len(lengths) // 2 :]
    return sum(later) / len(later)


def _time_way(batches: list[list[object]]) -> float:
    deflater, inflater = frames.Deflater(), frames.Inflater()
    waiting = iter(batches)

    def carry() -> None:
        frame = deflater.pack(codec.encode(next(waiting)))
        codec.decode(inflater.unpack(frame[4:]))

    return slope.time_call(carry, count=len(batches) - 1)


def measure_dialling(seconds: float) -> list[slope.Slope]:
    """Measure the memory of idle links on the side that dialled."""
    held: list[socket.socket] = []
    with contextlib.ExitStack() as stack:
        sink = _open_sink(stack, held)
        address = sockets.join_address(sink.address)
        raw = _measure_raw(stack, address, held)
        end = _open_links(stack)
        start = slope.read_resident_bytes()
        for index in range(_LINKS):
            end.set_address(f'peer-{index}', address)
        known = slope.read_resident_bytes()
        for index in range(_LINKS):
            end.send(f'peer-{index}', messages.Probe(number=index))
        _wait_for(held, 2 * _LINKS)
        gevent.sleep(0.5)
        grown = slope.read_resident_bytes() - known
    return [
        slope.Slope('known peer', (known - start) / _LINKS, 'bytes'),
        slope.Slope(
            'idle dialled link',
            grown / _LINKS - raw,
            'bytes',
            'greenlet, deflater; a held socket pair subtracted',
        ),
    ]


def measure_accepted(seconds: float) -> list[slope.Slope]:
    """Measure the memory of idle links on the side that accepted."""
    held: list[socket.socket] = []
    with contextlib.ExitStack() as stack:
        sink = _open_sink(stack, held)
        raw = _measure_raw(stack, sockets.join_address(sink.address), held)
        got: list[str] = []
        end = _open_links(stack, receive=lambda name, _: got.append(name))
        frames_ = [_pack_hello(f'peer-{index}') for index in range(_LINKS)]
        start = slope.read_resident_bytes()
        for frame in frames_:
            sock = socket.create_connection(sockets.split_address(end.address))
            stack.callback(sock.close)
            sock.sendall(frame)
        _wait_for(got, _LINKS)
        grown = slope.read_resident_bytes() - start
    return [
        slope.Slope(
            'idle accepted link',
            grown / _LINKS - raw,
            'bytes',
            'reader, inflater; a held socket pair subtracted',
        ),
    ]


def _open_sink(
    stack: contextlib.ExitStack, held: list[socket.socket]
) -> server.StreamServer:
    """Accept connections, and hold them without reading."""
    ended = event.Event()

    def hold(sock: socket.socket, address: object) -> None:
        held.append(sock)
        ended.wait()

    sink = server.StreamServer(('127.0.0.1', 0), hold)
    sink.start()
    stack.callback(sink.close)
    stack.callback(ended.set)
    return sink


def _measure_raw(
    stack: contextlib.ExitStack, address: str, held: list[socket.socket]
) -> float:
    start = slope.read_resident_bytes()
    for _ in range(_LINKS):
        sock = socket.create_connection(sockets.split_address(address))
        stack.callback(sock.close)
    _wait_for(held, _LINKS)
    return (slope.read_resident_bytes() - start) / _LINKS


def _open_links(
    stack: contextlib.ExitStack,
    *,
    receive: links.Receive = lambda name, message: None,
) -> links.Links:
    kept = {'idle_seconds': _KEEP_SECONDS}
    end = links.Links(
        member_settings.build('poa-a-0', links=kept),
        metrics.Metrics(),
        members.Member(
            name='poa-a-0',
            incarnation=1,
            address='',
            failure_domain='poa-a',
            region='rs-sul',
        ),
        receive,
    )
    end.start()
    stack.callback(end.close)
    return end


def _pack_hello(name: str) -> bytes:
    hello = messages.Hello(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='poa-a',
        region='rs-sul',
    )
    return frames.Deflater().pack(codec.encode([hello]))


def _wait_for(counted: list[typing.Any], count: int) -> None:
    with gevent.Timeout(30, RuntimeError('the links were not made')):
        while len(counted) < count:
            gevent.sleep(0.01)
