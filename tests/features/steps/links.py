"""Steps about the links between instances."""

import contextlib
import random
import struct
import zlib

import behave
import gevent
from gevent import server
from gevent import socket

from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import sockets
from amaranthslip.members import messages
from standins import proxy
from tests.support import link_pair

_LENGTH = struct.Struct('>I')


def _open(context, *names, **sections):
    context.link_stack = contextlib.ExitStack()
    context.add_cleanup(context.link_stack.close)
    context.link_ends = {
        name: link_pair.open_end(context.link_stack, name, **sections)
        for name in names
    }


def _connect(context, first, second, *, address=''):
    ends = context.link_ends
    ends[first].know(ends[second], address=address)


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
    _open(context, first, second)
    _connect(context, first, second)


@behave.given('linked instances "{first}" and "{second}" behind a forwarder')
def open_forwarded_pair(context, first, second):
    _open(context, first, second)
    forwarder = context.link_stack.enter_context(proxy.Proxy())
    address = context.link_ends[second].links.address
    context.link_forwarder = forwarder.listen(address)
    via = context.link_ends[first].settings.links.via
    via[second] = context.link_forwarder.address
    _connect(context, first, second)


@behave.given('another linked instance "{name}" without a forwarder')
def open_third(context, name):
    end = link_pair.open_end(context.link_stack, name)
    context.link_ends[name] = end
    _connect(context, 'poa-a-1', name)


@behave.given('linked instances that close links after 0.3 s of idleness')
def open_idle_pair(context):
    _open(context, 'poa-a-1', 'poa-b-1', links={'idle_seconds': 0.3})
    _connect(context, 'poa-a-1', 'poa-b-1')


@behave.given('an instance "{name}" that waits 0.3 s for a Hello')
def open_impatient(context, name):
    _open(context, name, links={'hello_seconds': 0.3})


@behave.given('"{name}" gives the state {number:d} on each new link')
def give_state(context, name, number):
    context.link_ends[name].first = [messages.Probe(number=number)]


@behave.given('"{name}" fails over the link message {number:d}')
def fail_over(context, name, number):
    context.link_ends[name].fail_on = number


@behave.given('a peer "{name}" of "{sender}" that accepts and never reads')
def open_stuck_peer(context, name, sender):
    end = context.link_ends[sender]
    end.settings.links._values['lost_seconds'] = 1.0
    held = []
    stuck = server.StreamServer(
        ('127.0.0.1', 0), lambda sock, _: held.append(sock)
    )
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


@behave.when('"{name}" sends itself the link messages {first:d} to {last:d}')
def send_to_self(context, name, first, last):
    _send_probes(context.link_ends[name], name, first, last)


@behave.when('"{name}" sends "{peer}" link messages until its queue is full')
def fill_queue(context, name, peer):
    end = context.link_ends[name]
    # Random text, so that deflating does not keep the buffers from filling.
    source = random.Random(1)
    address = source.randbytes(2000).hex()
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
        news.address = source.randbytes(2000).hex()
        if not end.links.send(peer, message):
            return
        gevent.sleep(0)
    raise AssertionError('the queue never filled')


@behave.when("the link's forwarder resets every connection")
def reset_all(context):
    link_pair.wait_for(
        lambda: len(context.link_ends['poa-b-1'].got) >= 4, 'messages'
    )
    context.link_forwarder.cut()


@behave.when("the link's forwarder refuses connections")
def refuse(context):
    context.link_forwarder.refuse()


@behave.when("the link's forwarder accepts connections again")
def accept(context):
    context.link_forwarder.accept()


@behave.when("the link's forwarder passes {count:d} bytes a second")
def throttle(context, count):
    context.link_forwarder.up.bytes_per_second = count


@behave.when('two raw links to "{name}" say Hello as "{sender}"')
def say_hello_twice(context, name, sender):
    context.raw_links = []
    end = context.link_ends[name]
    for count in (1, 2):
        sock = _dial_raw(context, name)
        deflater = frames.Deflater()
        hello = codec.encode([_build_hello(sender)])
        sock.sendall(deflater.pack(hello))
        context.raw_links.append((sock, deflater))
        link_pair.wait_for(lambda: len(end.got) == count, 'a Hello')


@behave.when('a raw link sends "{garbage}" to "{name}"')
def send_garbage(context, garbage, name):
    context.raw_link = _dial_raw(context, name)
    context.raw_link.sendall(_GARBAGE[garbage]())
    context.raw_link.shutdown(socket.SHUT_WR)


@behave.when('a raw link sends nothing to "{name}"')
def send_nothing(context, name):
    context.raw_link = _dial_raw(context, name)


@behave.when('the link to "{name}" has been closed for idleness')
def wait_idle(context, name):
    end = context.link_ends[name]
    link_pair.wait_for(lambda: len(end.got) == 2, 'the first message')
    link_pair.wait_for(lambda: not end.links._incoming, 'an idle close')


@behave.then(
    'link end "{name}" receives a Hello and the numbers {first:d} to {last:d}'
    ' in order'
)
def check_order(context, name, first, last):
    end = context.link_ends[name]
    expected = [0, *range(first, last + 1)]
    link_pair.wait_for(
        lambda: len(end.read_numbers('poa-a-1')) >= len(expected), 'messages'
    )
    assert end.read_numbers('poa-a-1') == expected
    assert isinstance(end.got[0][1], messages.Hello)


@behave.then(
    'link end "{name}" receives its own numbers {first:d} to {last:d}'
    ' and no Hello'
)
def check_own(context, name, first, last):
    end = context.link_ends[name]
    expected = list(range(first, last + 1))
    link_pair.wait_for(lambda: len(end.got) >= len(expected), 'messages')
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
    link_pair.wait_for(lambda: len(end.got) >= len(expected), 'state again')
    assert end.read_numbers('poa-a-1') == expected


@behave.then('link end "{name}" receives a Hello followed by state {number:d}')
def check_state(context, name, number):
    end = context.link_ends[name]
    link_pair.wait_for(lambda: len(end.got) >= 2, 'the state')
    assert end.read_numbers('poa-a-1') == [0, number]


@behave.then(
    'the links of "{name}" count {count:d} messages dropped as "{reason}"'
)
def check_drops(context, name, count, reason):
    read = context.link_ends[name].metrics.read
    link_pair.wait_for(
        lambda: read('dropped_messages', reason) == count, 'drops counted'
    )


@behave.then('the first raw link is closed and only the second one is read')
def check_replaced(context):
    (old, old_deflater), (new, new_deflater) = context.raw_links
    end = context.link_ends['poa-b-1']
    assert _is_closed(old)
    probe = codec.encode([messages.Probe(number=5)])
    with contextlib.suppress(OSError):
        old.sendall(old_deflater.pack(probe))
    new.sendall(new_deflater.pack(probe))
    link_pair.wait_for(lambda: len(end.got) >= 3, 'the second link')
    assert end.read_numbers('poa-c-1') == [0, 0, 5]


@behave.then('"{name}" closes the raw link')
def check_closed(context, name):
    assert _is_closed(context.raw_link)


@behave.then('"{name}" closes the raw link and counts it as invalid')
def check_invalid(context, name):
    assert _is_closed(context.raw_link)
    read = context.link_ends[name].metrics.read
    assert read('dropped_messages', 'invalid') == 1


@behave.then('the links of "{name}" in time give up the link to "{peer}"')
def check_given_up(context, name, peer):
    read = context.link_ends[name].metrics.read
    assert read('dropped_messages', 'queue_full') >= 1
    link_pair.wait_for(
        lambda: read('dropped_messages', 'connection_lost') >= 1,
        'the stuck link given up',
    )


@behave.then(
    'link end "{fast}" has all {count:d} before link end "{slow}" does'
)
def check_fast_first(context, fast, slow, count):
    end = context.link_ends[fast]
    link_pair.wait_for(lambda: len(end.got) == count + 1, 'the fast link')
    assert len(context.link_ends[slow].got) < count + 1


@behave.then('link end "{name}" receives all but 2 and counts one failure')
def check_failure(context, name):
    end = context.link_ends[name]
    link_pair.wait_for(lambda: len(end.got) >= 3, 'the other messages')
    assert end.read_numbers('poa-a-1') == [0, 1, 3]
    assert end.metrics.read('dropped_messages', 'receive_failed') == 1


@behave.then('link end "{name}" receives the numbers 0, 1, 0, 2')
def check_redial(context, name):
    end = context.link_ends[name]
    link_pair.wait_for(lambda: len(end.got) >= 4, 'a second link')
    assert end.read_numbers('poa-a-1') == [0, 1, 0, 2]


def _build_request():
    return b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


def _build_random():
    body = random.Random(1).randbytes(500)
    return _LENGTH.pack(len(body)) + body


def _build_bomb():
    stream = zlib.compressobj(9, zlib.DEFLATED, -12)
    body = stream.compress(bytes(1 << 26)) + stream.flush(zlib.Z_SYNC_FLUSH)
    return _LENGTH.pack(len(body)) + body


def _build_long_list():
    # A batch whose list claims two million elements of no size at all.
    root = struct.pack('<Q', 1 << 48)
    pointer = struct.pack('<II', 1, 7 | (0 << 3))
    tag = struct.pack('<II', 2_000_000 << 2, 0)
    segment = root + pointer + tag
    head = struct.pack('<II', 0, len(segment) // 8)
    return frames.Deflater().pack(head + segment)


def _build_probe():
    batch = codec.encode([messages.Probe(number=1)])
    return frames.Deflater().pack(batch)


_GARBAGE = {
    'an HTTP request': _build_request,
    'a length of 4 GiB': lambda: b'\xff\xff\xff\xff' + bytes(100),
    'a frame cut short': lambda: _build_probe()[:-3],
    'random bytes in frames': _build_random,
    'a deflate bomb': _build_bomb,
    'a list of 2 million': _build_long_list,
    'no Hello first': _build_probe,
}
