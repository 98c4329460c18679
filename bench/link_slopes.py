"""Measures the cost of messages and the memory of idle links."""

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
_MESSAGES = 3000
_LIST_ITEMS = 2
_BATCH_SIZE = 16
# Distinct values of text fields.
_TEXTS = 2500
# Bounds random integers, so that they fit the smallest integer field.
_INTEGER_LIMIT = 200
# Longer than any measurement, so that no link is closed for being idle.
_LINK_IDLE_SECONDS = 3600


def measure_messages(seconds: float) -> list[slope.Slope]:
    """Measure bytes and processor time for each message kind.

    Each field holds a random value, each text one of 2,500 names, each list
    two items. Bytes are those of a frame in the middle of a connection, when
    the compression dictionary is filled, and include the four-byte length.
    """
    registry.register_all()
    figures = []
    for kind in codec._MAPPINGS_BY_CLASS:
        figures += _measure_kind(kind)
    return figures


def _measure_kind(kind: type) -> list[slope.Slope]:
    generator = random.Random(1)
    name = kind.__name__
    figures = []
    for count in (1, _BATCH_SIZE):
        batches = [
            [_build_sample(kind, generator) for _ in range(count)]
            for _ in range(_MESSAGES // count)
        ]
        label = f'{name}, {count} in a frame'
        size = _count_bytes(batches) / count
        duration = _time_transfer(batches) / count
        figures.append(slope.Slope(label, size, 'bytes a message'))
        figures.append(slope.Slope(label, duration, 'us a message, both ends'))
    return figures


def _build_sample(kind: type, generator: random.Random) -> object:
    """Return a message whose fields hold random values of their types."""
    lists = codec._MAPPINGS_BY_CLASS[kind].list_fields
    values: dict[str, typing.Any] = {}
    for name, parameter in inspect.signature(kind).parameters.items():
        if name in lists:
            item = lists[name].message_class
            values[name] = [
                _build_item(item, generator) for _ in range(_LIST_ITEMS)
            ]
        else:
            values[name] = _draw_value(parameter.annotation, generator)
    return kind(**values)


def _build_item(item: type, generator: random.Random) -> object:
    parameters = inspect.signature(item).parameters
    return item(
        **{
            name: _draw_value(parameter.annotation, generator)
            for name, parameter in parameters.items()
        }
    )


def _draw_value(annotation: object, generator: random.Random) -> typing.Any:
    name = getattr(annotation, '__name__', str(annotation))
    if name == 'str':
        return f'account-{generator.randrange(_TEXTS)}'
    if name == 'bytes':
        return generator.randbytes(16)
    if name == 'bool':
        return generator.random() < 0.5
    if name == 'float':
        return generator.random() * 1000
    return generator.randrange(_INTEGER_LIMIT)


def _count_bytes(batches: list[list[object]]) -> float:
    deflater = frames.Deflater()
    lengths = [len(deflater.pack(codec.encode(each))) for each in batches]
    second_half = lengths[len(lengths) // 2 :]
    return sum(second_half) / len(second_half)


def _time_transfer(batches: list[list[object]]) -> float:
    deflater, inflater = frames.Deflater(), frames.Inflater()
    remaining = iter(batches)

    def transfer() -> None:
        frame = deflater.pack(codec.encode(next(remaining)))
        codec.decode(inflater.unpack(frame[4:]))

    return slope.time_call(transfer, count=len(batches) - 1)


def measure_dialling(seconds: float) -> list[slope.Slope]:
    """Measure the memory of idle links at the instance that connects."""
    accepted: list[socket.socket] = []
    with contextlib.ExitStack() as stack:
        sink = _open_sink(stack, accepted)
        address = sockets.join_address(sink.address)
        socket_bytes = _measure_socket_pair(stack, address, accepted)
        endpoint = _start_links(stack)
        start = slope.read_resident_bytes()
        for index in range(_LINKS):
            endpoint.set_address(f'peer-{index}', address)
        addressed = slope.read_resident_bytes()
        for index in range(_LINKS):
            endpoint.send(f'peer-{index}', messages.Probe(number=index))
        _wait_for_count(accepted, 2 * _LINKS)
        gevent.sleep(0.5)
        growth = slope.read_resident_bytes() - addressed
    return [
        slope.Slope('known peer', (addressed - start) / _LINKS, 'bytes'),
        slope.Slope(
            'idle dialled link',
            growth / _LINKS - socket_bytes,
            'bytes',
            'greenlet and deflater; the memory of a socket pair is subtracted',
        ),
    ]


def measure_accepted(seconds: float) -> list[slope.Slope]:
    """Measure the memory of idle links at the instance that accepts."""
    accepted: list[socket.socket] = []
    with contextlib.ExitStack() as stack:
        sink = _open_sink(stack, accepted)
        socket_bytes = _measure_socket_pair(
            stack, sockets.join_address(sink.address), accepted
        )
        received: list[str] = []
        endpoint = _start_links(
            stack, receive=lambda name, _: received.append(name)
        )
        hello_frames = [
            _pack_hello(f'peer-{index}') for index in range(_LINKS)
        ]
        start = slope.read_resident_bytes()
        for frame in hello_frames:
            sock = socket.create_connection(
                sockets.split_address(endpoint.address)
            )
            stack.callback(sock.close)
            sock.sendall(frame)
        _wait_for_count(received, _LINKS)
        growth = slope.read_resident_bytes() - start
    return [
        slope.Slope(
            'idle accepted link',
            growth / _LINKS - socket_bytes,
            'bytes',
            'reader and inflater; the memory of a socket pair is subtracted',
        ),
    ]


def _open_sink(
    stack: contextlib.ExitStack, accepted: list[socket.socket]
) -> server.StreamServer:
    """Start a server that accepts connections and never reads from them."""
    stopped = event.Event()

    def accept(sock: socket.socket, address: object) -> None:
        accepted.append(sock)
        stopped.wait()

    sink = server.StreamServer(('127.0.0.1', 0), accept)
    sink.start()
    stack.callback(sink.close)
    stack.callback(stopped.set)
    return sink


def _measure_socket_pair(
    stack: contextlib.ExitStack, address: str, accepted: list[socket.socket]
) -> float:
    start = slope.read_resident_bytes()
    for _ in range(_LINKS):
        sock = socket.create_connection(sockets.split_address(address))
        stack.callback(sock.close)
    _wait_for_count(accepted, _LINKS)
    return (slope.read_resident_bytes() - start) / _LINKS


def _start_links(
    stack: contextlib.ExitStack,
    *,
    receive: links.MessageHandler = lambda name, message: None,
) -> links.Links:
    section = {'idle_seconds': _LINK_IDLE_SECONDS}
    endpoint = links.Links(
        member_settings.build('poa-a-0', links=section),
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
    endpoint.start()
    stack.callback(endpoint.close)
    return endpoint


def _pack_hello(name: str) -> bytes:
    hello = messages.Hello(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='poa-a',
        region='rs-sul',
    )
    return frames.Deflater().pack(codec.encode([hello]))


def _wait_for_count(items: list[typing.Any], count: int) -> None:
    with gevent.Timeout(
        30, RuntimeError('too few links were established within 30 seconds')
    ):
        while len(items) < count:
            gevent.sleep(0.01)
