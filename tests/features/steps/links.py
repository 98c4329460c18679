"""Steps for the links between instances."""

import contextlib
import random
import struct
import zlib

import behave
import gevent
from gevent import event
from gevent import server
from gevent import socket

from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import sockets
from amaranthslip.members import messages
from standins import proxy
from tests.support import link_pair

_LENGTH = struct.Struct('>I')


def _open_ends(context, *names, **sections):
    context.link_stack = contextlib.ExitStack()
    context.add_cleanup(context.link_stack.close)
    context.link_ends = {
        name: link_pair.open_end(context.link_stack, name, **sections)
        for name in names
    }


def _connect(context, first, second, *, address=''):
    ends = context.link_ends
    ends[first].add_peer(ends[second], address=address)


def _build_hello(name):
    return messages.Hello(
        name=name,
        incarnation=1,
        address='127.0.0.1:1',
        failure_domain='poa-a',
        region='rs-sul',
    )


def _dial_raw(context, name):
    address = sockets.split_address(context.link_ends[name].links.address)
    sock = socket.create_connection(address, timeout=20)
    context.link_stack.callback(sock.close)
    return sock


def _is_closed(sock):
    try:
        return sock.recv(1) == b''
    except ConnectionError:
        return True


def _send_probes(end, name, first, last):
    for number in range(first, last + 1):
        assert end.links.send(name, messages.Probe(number=number))


@behave.given('linked instances "{first}" and "{second}"')
def open_pair(context, first, second):
    _open_ends(context, first, second)
    _connect(context, first, second)


@behave.given('linked instances "{first}" and "{second}" behind a forwarder')
def open_forwarded_pair(context, first, second):
    _open_ends(context, first, second)
    forwarder = context.link_stack.enter_context(proxy.Proxy())
    address = context.link_ends[second].links.address
    context.link_forwarder = forwarder.listen(address)
    via = context.link_ends[first].settings.links.via
    via[second] = context.link_forwarder.address
    _connect(context, first, second)


@behave.given('another linked instance "{name}" without a forwarder')
def open_direct_instance(context, name):
    end = link_pair.open_end(context.link_stack, name)
    context.link_ends[name] = end
    _connect(context, 'poa-a-1', name)


@behave.given('linked instances with a connection idle timeout of 0.3 s')
def open_idle_pair(context):
    _open_ends(context, 'poa-a-1', 'poa-b-1', links={'idle_seconds': 0.3})
    _connect(context, 'poa-a-1', 'poa-b-1')


@behave.given('an instance "{name}" with a Hello timeout of 0.3 s')
def open_with_hello_timeout(context, name):
    _open_ends(context, name, links={'hello_seconds': 0.3})


@behave.given('"{name}" sends the state {number:d} on each new connection')
def set_initial_state(context, name, number):
    context.link_ends[name].initial_messages = [messages.Probe(number=number)]


@behave.given('"{name}" fails to handle the link message {number:d}')
def set_failing_message(context, name, number):
    context.link_ends[name].fail_on = number


@behave.given('a peer "{name}" of "{sender}" that accepts and never reads')
def open_stuck_peer(context, name, sender):
    end = context.link_ends[sender]
    end.settings.links._values['lost_seconds'] = 1.0
    # The server closes a connection when its handler returns.
    never = event.Event()
    stuck = server.StreamServer(('127.0.0.1', 0), lambda sock, _: never.wait())
    stuck.start()
    context.link_stack.callback(stuck.close)
    end.links.set_address(name, sockets.join_address(stuck.address))


@behave.when('"{name}" sends the link messages {first:d} to {last:d}')
def send_numbers(context, name, first, last):
    _send_probes(context.link_ends[name], 'poa-b-1', first, last)


@behave.when('"{name}" sends the link messages {first:d} to {last:d} to both')
def send_to_both(context, name, first, last):
    for peer in ('poa-b-1', 'poa-c-1'):
        _send_probes(context.link_ends[name], peer, first, last)


@behave.when(
    '"{name}" sends the link messages 1, minus 1, a text and 2 at once'
)
def send_unsendable(context, name):
    send = context.link_ends[name].links.send
    for message in (
        messages.Probe(number=1),
        messages.Probe(number=-1),
        'not a registered message class',
        messages.Probe(number=2),
    ):
        assert send('poa-b-1', message)


@behave.when('"{name}" sends itself the link messages {first:d} to {last:d}')
def send_to_self(context, name, first, last):
    _send_probes(context.link_ends[name], name, first, last)


@behave.when('"{name}" sends "{peer}" link messages until its queue is full')
def fill_queue(context, name, peer):
    end = context.link_ends[name]
    # Random text, so that compression does not keep the socket buffers from
    # filling.
    rng = random.Random(1)
    address = rng.randbytes(2000).hex()
    news = messages.News(
        name='x',
        incarnation=1,
        address=address,
        failure_domain='',
        region='',
        state=0,
    )
    message = messages.Probe(number=1, news=[news] * 8)
    for _ in range(200000):
        news.address = rng.randbytes(2000).hex()
        if not end.links.send(peer, message):
            return
        gevent.sleep(0)
    raise AssertionError('the queue did not fill up')


@behave.when("the link's forwarder resets every connection")
def reset_connections(context):
    link_pair.wait_for(
        lambda: len(context.link_ends['poa-b-1'].received) >= 4,
        'the messages to be received',
    )
    context.link_forwarder.cut()


@behave.when("the link's forwarder refuses connections")
def refuse_connections(context):
    context.link_forwarder.refuse()


@behave.when("the link's forwarder accepts connections again")
def accept_connections(context):
    context.link_forwarder.accept()


@behave.when("the link's forwarder passes {count:d} bytes a second")
def limit_throughput(context, count):
    context.link_forwarder.up.bytes_per_second = count


@behave.when('two raw connections to "{name}" send a Hello as "{sender}"')
def send_hello_twice(context, name, sender):
    context.raw_connections = []
    end = context.link_ends[name]
    for count in (1, 2):
        sock = _dial_raw(context, name)
        deflater = frames.Deflater()
        hello = codec.encode([_build_hello(sender)])
        sock.sendall(deflater.pack(hello))
        context.raw_connections.append((sock, deflater))
        link_pair.wait_for(
            lambda: len(end.received) == count, 'a Hello to be received'
        )


@behave.when('a raw connection sends "{garbage}" to "{name}"')
def send_invalid_input(context, garbage, name):
    context.raw_connection = _dial_raw(context, name)
    context.raw_connection.sendall(_INVALID_INPUT[garbage]())
    # Only an incomplete frame needs an end of stream to be detected; the
    # instance must reject all other input while the connection is open.
    if garbage == 'a frame cut short':
        context.raw_connection.shutdown(socket.SHUT_WR)


@behave.when(
    '{count:d} raw connections to "{name}" each send a Hello and a damaged'
    ' batch'
)
def send_damaged(context, count, name):
    rng = random.Random(1)
    probe = codec.encode([messages.Probe(number=1)])
    for index in range(count):
        sock = _dial_raw(context, name)
        deflater = frames.Deflater()
        hello = codec.encode([_build_hello(f'peer-{index}')])
        sock.sendall(deflater.pack(hello))
        frame = bytearray(deflater.pack(probe))
        frame[rng.randrange(4, len(frame))] ^= 1 << rng.randrange(8)
        sock.sendall(frame)
        assert _is_closed(sock)


@behave.when(
    'a raw connection to "{name}" sends an unknown kind between 1 and 2'
)
def send_unknown_kind(context, name):
    sock = _dial_raw(context, name)
    deflater = frames.Deflater()
    hello = codec.encode([_build_hello('poa-c-1')])
    batch = bytearray(
        codec.encode([messages.Probe(number=n) for n in (1, 9, 2)])
    )
    # Each message is one word with its tag, then one pointer (16 bytes). The
    # first message follows the segment table, the root pointer, the list
    # pointer and the list's tag word (8 bytes each).
    second = 8 + 8 + 8 + 8 + 16
    assert batch[second : second + 2] == struct.pack('<H', 1)
    batch[second : second + 2] = struct.pack('<H', 60000)
    sock.sendall(deflater.pack(hello) + deflater.pack(bytes(batch)))


@behave.when('a raw connection to "{name}" sends a Hello as "{sender}"')
def send_hello(context, name, sender):
    sock, deflater = _dial_raw(context, name), frames.Deflater()
    sock.sendall(deflater.pack(codec.encode([_build_hello(sender)])))
    context.raw_connections = [(sock, deflater)]
    end = context.link_ends[name]
    link_pair.wait_for(lambda: end.received, 'a Hello to be received')


@behave.when(
    '{count:d} raw connections to "{name}" each send {size:d} bytes of a frame'
)
def begin_frames(context, count, name, size):
    data = struct.pack('>I', frames.MAX_FRAME_BYTES) + b'f' * size
    for _ in range(count):
        # Those for which there is no room are closed.
        with contextlib.suppress(OSError):
            _dial_raw(context, name).sendall(data)


@behave.when('the first raw connection sends {count:d} numbers in a frame')
def send_long_frame(context, count):
    rng = random.Random(1)
    context.numbers = [rng.getrandbits(32) for _ in range(count)]
    sock, deflater = context.raw_connections[0]
    probes = [messages.Probe(number=each) for each in context.numbers]
    sock.sendall(deflater.pack(codec.encode(probes)))


@behave.then('link end "{name}" receives these numbers from "{sender}"')
def check_long_frame(context, name, sender):
    end = context.link_ends[name]
    link_pair.wait_for(
        lambda: len(end.received) > len(context.numbers), 'the numbers'
    )
    assert end.read_numbers(sender) == [0, *context.numbers]


@behave.when('a raw connection sends nothing to "{name}"')
def send_nothing(context, name):
    context.raw_connection = _dial_raw(context, name)


@behave.when('the connection to "{name}" has been closed as idle')
def wait_idle(context, name):
    end = context.link_ends[name]
    link_pair.wait_for(
        lambda: len(end.received) == 2, 'the first message to be received'
    )
    link_pair.wait_for(
        lambda: not end.links._incoming_sockets,
        'the idle connection to be closed',
    )


@behave.then(
    'link end "{name}" receives a Hello and the numbers {first:d} to {last:d}'
    ' in order'
)
def check_order(context, name, first, last):
    end = context.link_ends[name]
    expected = [0, *range(first, last + 1)]
    link_pair.wait_for(
        lambda: len(end.read_numbers('poa-a-1')) >= len(expected),
        'the messages to be received',
    )
    assert end.read_numbers('poa-a-1') == expected
    assert isinstance(end.received[0][1], messages.Hello)


@behave.then(
    'link end "{name}" receives its own numbers {first:d} to {last:d}'
    ' and no Hello'
)
def check_own(context, name, first, last):
    end = context.link_ends[name]
    expected = list(range(first, last + 1))
    link_pair.wait_for(
        lambda: len(end.received) >= len(expected),
        'the messages to be received',
    )
    assert end.read_numbers(name) == expected
    assert end.metrics.read('control_bytes', 'Probe') == 0


@behave.then('the links of "{name}" count {count:d} probes and their bytes')
def check_counts(context, name, count):
    read = context.link_ends[name].metrics.read
    assert read('control_messages', 'Probe') == count
    assert read('control_messages', 'Hello') == 1
    assert read('control_bytes', 'Probe') > count
    assert read('control_bytes', 'Hello') > 10


@behave.then(
    'link end "{name}" receives two Hellos, each followed by state {number:d}'
)
def check_state_again(context, name, number):
    end = context.link_ends[name]
    expected = [0, number, 1, 2, 3, 0, number]
    link_pair.wait_for(
        lambda: len(end.received) >= len(expected),
        'the state to be sent again',
    )
    assert end.read_numbers('poa-a-1') == expected


@behave.then('link end "{name}" receives a Hello followed by state {number:d}')
def check_state(context, name, number):
    end = context.link_ends[name]
    link_pair.wait_for(
        lambda: len(end.received) >= 2, 'the state to be received'
    )
    assert end.read_numbers('poa-a-1') == [0, number]


@behave.then(
    'the links of "{name}" count {count:d} messages dropped as "{reason}"'
)
def check_drops(context, name, count, reason):
    read = context.link_ends[name].metrics.read
    link_pair.wait_for(
        lambda: read('dropped_messages', reason) == count,
        'the dropped messages to be counted',
    )


@behave.then(
    'the first raw connection is closed and only the second one is read'
)
def check_replaced(context):
    (old, old_deflater), (new, new_deflater) = context.raw_connections
    end = context.link_ends['poa-b-1']
    assert _is_closed(old)
    probe = codec.encode([messages.Probe(number=5)])
    with contextlib.suppress(OSError):
        old.sendall(old_deflater.pack(probe))
    new.sendall(new_deflater.pack(probe))
    link_pair.wait_for(
        lambda: len(end.received) >= 3, 'the second connection to be read'
    )
    assert end.read_numbers('poa-c-1') == [0, 0, 5]


@behave.then('"{name}" closes the raw connection')
def check_closed(context, name):
    assert _is_closed(context.raw_connection)


@behave.then('"{name}" closes the raw connection and counts it as invalid')
def check_invalid(context, name):
    assert _is_closed(context.raw_connection)
    read = context.link_ends[name].metrics.read
    assert read('dropped_messages', 'invalid') == 1


@behave.then('"{name}" counts {count:d} connections as invalid')
def check_damaged(context, name, count):
    end = context.link_ends[name]
    assert end.metrics.read('dropped_messages', 'invalid') == count
    assert all(
        isinstance(message, messages.Hello) for _, message in end.received
    )


@behave.then('link end "{name}" receives 1 and 2 from the newer release')
def check_newer(context, name):
    end = context.link_ends[name]
    link_pair.wait_for(
        lambda: len(end.received) >= 3, 'the known messages to be received'
    )
    assert end.read_numbers('poa-c-1') == [0, 1, 2]


@behave.then(
    'the links of "{name}" eventually close the connection to "{peer}"'
)
def check_stuck_connection_closed(context, name, peer):
    read = context.link_ends[name].metrics.read
    assert read('dropped_messages', 'queue_full') >= 1
    link_pair.wait_for(
        lambda: read('dropped_messages', 'connection_lost') >= 1,
        'the connection to the stuck peer to be closed',
    )


@behave.then(
    'link end "{fast}" has all {count:d} before link end "{slow}" does'
)
def check_fast_link_first(context, fast, slow, count):
    end = context.link_ends[fast]
    link_pair.wait_for(
        lambda: len(end.received) == count + 1,
        'all messages to be received over the fast link',
    )
    assert len(context.link_ends[slow].received) < count + 1


@behave.then(
    'link end "{name}" receives all messages but 2 and counts one failure'
)
def check_failure(context, name):
    end = context.link_ends[name]
    link_pair.wait_for(
        lambda: len(end.received) >= 3, 'the other messages to be received'
    )
    assert end.read_numbers('poa-a-1') == [0, 1, 3]
    assert end.metrics.read('dropped_messages', 'receive_failed') == 1


@behave.then('link end "{name}" receives the numbers {numbers}')
def check_numbers(context, name, numbers):
    end = context.link_ends[name]
    expected = [int(number) for number in numbers.split(',')]
    link_pair.wait_for(
        lambda: len(end.received) >= len(expected),
        'the messages to be received',
    )
    assert end.read_numbers('poa-a-1') == expected


def _build_http_request():
    return b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


def _build_random_frame():
    body = random.Random(1).randbytes(500)
    return _LENGTH.pack(len(body)) + body


def _build_deflate_bomb():
    # As sent by a peer that knows the secret: the digest is correct, and the
    # batch is valid except for its length.
    stream = zlib.compressobj(9, zlib.DEFLATED, -11)
    hello = codec.encode([_build_hello('poa-c-1')])
    body = stream.compress(hello + bytes(1 << 26))
    body += stream.flush(zlib.Z_SYNC_FLUSH)
    digest_and_body = frames._FrameDigester('').compute(body) + body
    return _LENGTH.pack(len(digest_and_body)) + digest_and_body


def _build_repeated_frame():
    hello = frames.Deflater().pack(codec.encode([_build_hello('poa-c-1')]))
    return hello + hello


def _build_foreign_frame():
    hello = codec.encode([_build_hello('poa-c-1')])
    return frames.Deflater('another secret').pack(hello)


def _build_probe_frame():
    batch = codec.encode([messages.Probe(number=1)])
    return frames.Deflater().pack(batch)


_INVALID_INPUT = {
    'an HTTP request': _build_http_request,
    'a length of 4 GiB': lambda: b'\xff\xff\xff\xff' + bytes(100),
    'a frame cut short': lambda: _build_probe_frame()[:-3],
    'random bytes in frames': _build_random_frame,
    'a deflate bomb': _build_deflate_bomb,
    'a frame sent twice': _build_repeated_frame,
    "another fleet's frames": _build_foreign_frame,
    'no Hello first': _build_probe_frame,
}
