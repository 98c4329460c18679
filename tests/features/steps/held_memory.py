"""Steps about the memory held for callers and servers that read slowly."""

import itertools
import json
import random
import string
import time
import tracemalloc
from unittest import mock

import behave
import gevent
from gevent import event
from gevent import socket

from amaranthslip.entry import bodies
from amaranthslip.entry import routing
from amaranthslip.requests import prompts
from tests.support import exchanges
from tests.support import operated

_KILOBYTE = 1000
_MEGABYTE = 1000000
_PARTS = random.Random(1)
_MAX_TRIES = 20
_EVENT = exchanges.write_chunk(b'data: %s\n\n' % (b'x' * 4096))


@behave.given(
    'an instance with {megabytes:d} megabytes of memory and a server of each'
    ' service'
)
def start_instance(context, megabytes):
    context.side = operated.InstanceFixture(
        bounds={'revoke_milliseconds': 60000, 'apply_milliseconds': 30000},
        limits={'memory_megabytes': megabytes},
    )
    context.add_cleanup(context.side.close)
    context.side.configure()
    context.plain = operated.Backend('plain-1', service='plain', slots=64)
    context.engine = operated.Backend('llm-1', service='llm', slots=64)
    for each in (context.plain, context.engine):
        context.side.register(each)
    context.side.start()
    context.memory = context.side.instance._entry.memory


@behave.given('the plain server answers with 1 megabyte')
def answer_megabyte(context):
    context.body = b'x' * _MEGABYTE
    context.plain.default_plan = operated.answer('200 OK', context.body)


@behave.given('the plain server answers once it is released')
def answer_later(context):
    context.release = event.Event()

    def respond(backend, sock, request):
        context.release.wait()
        return operated.answer('200 OK')(backend, sock, request)

    context.plain.default_plan = respond


@behave.given('the engine sends events without end')
def send_events(context):
    context.sent_bytes = 0

    def respond(backend, sock, request):
        # The engine's own buffer would hold megabytes.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        sock.sendall(operated.write_stream_head(backend, request))
        while True:
            sock.sendall(_EVENT)
            context.sent_bytes += len(_EVENT)

    context.engine.default_plan = respond


@behave.when(
    '{count:d} callers request "{path}" and read nothing for {seconds:g} s'
)
def request_unread(context, count, path, seconds):
    context.callers = []
    for number in range(count):
        caller = exchanges.Caller.__new__(exchanges.Caller)
        caller.socket = socket.socket()
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        caller.socket.settimeout(20)
        caller.socket.connect(context.side.address)
        context.add_cleanup(caller.close)
        caller.send(operated.write_request(path, f'a-{number}'))
        context.callers.append(caller)
    gevent.sleep(seconds)


@behave.when('the callers read on')
def read_on(context):
    reads = [gevent.spawn(each.receive) for each in context.callers]
    context.answers = [each.get() for each in reads]


@behave.when('{count:d} callers send {length:d} bytes each to "{path}"')
def upload(context, count, length, path):
    context.uploads = [
        gevent.spawn(
            context.side.send_request,
            path,
            attempt=f'a-{number}',
            body=b'x' * length,
        )
        for number in range(count)
    ]
    gevent.sleep(1)


@behave.when('the server is released')
def release(context):
    context.release.set()


@behave.then('at most {megabytes:d} megabytes of answers are held')
def check_held(context, megabytes):
    assert 0 < context.memory.answers.count <= megabytes * _MEGABYTE


@behave.then('no answer is held')
def check_nothing_held(context):
    exchanges.wait_until(lambda: not context.memory.answers.count)


@behave.then('each caller receives the whole answer')
def check_answers(context):
    assert all(each.body == context.body for each in context.answers)


@behave.then(
    'at least {least:d} and at most {most:d} requests are sent to the server'
)
def check_sent(context, least, most):
    context.sent_count = len(context.plain.requests)
    assert least <= context.sent_count <= most, context.sent_count


@behave.then('the others are answered 503 with the code "{code}"')
def check_refused(context, code):
    answers = [each.get() for each in context.uploads if each.ready()]
    assert len(answers) == len(context.uploads) - context.sent_count
    for each in answers:
        assert (each.status, each.error['code']) == (503, code), each.data
        assert each.error['not_run'] and each.headers['retry-after']


@behave.then('each request that was sent is answered 200')
def check_answered(context):
    statuses = [each.get().status for each in context.uploads]
    assert statuses.count(200) == context.sent_count, statuses


@behave.then('the engine could send at most {megabytes:d} megabyte')
def check_sent_bytes(context, megabytes):
    before = context.sent_bytes
    gevent.sleep(0.1)
    assert context.sent_bytes == before, 'the engine is still read'
    assert 0 < before <= megabytes * _MEGABYTE, before


@behave.then('another caller of "{path}" is answered within {seconds:g} s')
def check_other(context, path, seconds):
    started = time.monotonic()
    assert context.side.send_request(path, attempt='b-1').status == 200
    assert time.monotonic() - started < seconds


@behave.then('1 caller is closed as blocked for longest')
def check_closed(context):
    metrics = context.side.instance.metrics
    exchanges.wait_until(lambda: metrics.read('unread', 'closed') == 1)
    assert metrics.read('requests', 'caller_left') == 1


@behave.then('no failure was charged to the engine')
def check_uncharged(context):
    assert not context.side.instance.metrics.read('ejections', 'failures')
    assert not context.side.instance.metrics.read('tries_failed', 'cut')


def _write_parts(count):
    """Return a header of parts, none of which was sent before."""
    return ','.join(f'{_PARTS.getrandbits(32):08x}:1' for _ in range(count))


def _write_fields(count, length):
    """Return so many short headers with values of one length."""
    names = itertools.product(string.ascii_lowercase, repeat=3)
    return {
        ''.join(name): 'x' * length for name in itertools.islice(names, count)
    }


@behave.given('the allocations of the instance are measured')
@behave.when('the allocations of the instance are measured')
def measure(context):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)


def _ask_until_served(context, path, attempt, **headers):
    """Send a request again for as long as it is refused as not run."""
    for number in range(_MAX_TRIES):
        answer = context.side.send_request(
            path, attempt=f'{attempt}-{number}', **headers
        )
        if answer.status not in (429, 503):
            return answer
        gevent.sleep(float(answer.headers['retry-after']))
    return answer


@behave.given('the instance has {count:d} more engines')
def add_engines(context, count):
    context.engines = [context.engine]
    for number in range(count):
        engine = operated.Backend(f'llm-{number + 2}', service='llm')
        context.side.register(engine)
        context.engines.append(engine)
    for engine in context.engines:
        engine.default_plan = operated.stream(1, 3)
    context.side.wait_until_synced()


@behave.when(
    '{count:d} callers request "{path}" with {prompts:d} prompts of'
    ' {parts:d} parts each'
)
def request_prompts(context, count, path, prompts, parts):
    context.statuses = []

    def ask(caller):
        for number in range(prompts):
            answer = _ask_until_served(
                context,
                path,
                f'a-{caller}-{number}',
                Amaranthslip_Model='m',
                Amaranthslip_Token_Usage=f'{parts},9',
                Amaranthslip_Prompt_Prefix=_write_parts(parts),
            )
            context.statuses.append(answer.status)
            # What the stand-in keeps does not count.
            for engine in context.engines:
                engine.requests.clear()

    gevent.joinall([gevent.spawn(ask, each) for each in range(count)])
    context.expected_count = count * prompts


@behave.then('each of these requests is answered 200')
def check_all_answered(context):
    assert context.statuses == [200] * context.expected_count, context.statuses


@behave.then('at most {megabytes:d} megabytes were allocated at a time')
def check_peak(context, megabytes):
    _, peak = tracemalloc.get_traced_memory()
    assert peak <= megabytes * _MEGABYTE, peak


@behave.when('a prompt of {parts:d} parts is sent to each server')
def send_everywhere(context, parts):
    for engine in context.instance.placement.engines.list_all():
        context.prompt = prompts.Prompt(
            model='m',
            parts=[
                prompts.PromptPart(f'{_PARTS.getrandbits(32):08x}', 7)
                for _ in range(parts)
            ],
            prompt_tokens=7 * parts,
            max_output_tokens=9,
        )
        engine.prefix_cache.note(context.prompt.prefix_keys, 0.0)
        context.last_engine = engine


@behave.then('part of the last prompt is known to be cached')
def check_known(context):
    keys = context.prompt.prefix_keys
    cache = context.last_engine.prefix_cache
    assert any(cache.count_parts([key], 0.0, 1.0) for key in keys)


@behave.when(
    'a caller sends a head of {count:d} fields of {length:d} bytes and keeps'
    ' it open'
)
def send_first_head(context, count, length):
    _send_heads(context, 1, count, length)


@behave.when(
    '{callers:d} callers send heads of {count:d} fields of {length:d} bytes'
    ' and keep them open'
)
def send_heads(context, callers, count, length):
    _send_heads(context, callers, count, length)
    context.connection_count = callers


def _send_heads(context, callers, count, length):
    # Measuring makes the instance slow, which would close connections.
    keeps = mock.patch.object(
        routing.RoutedApplication, '_should_close_connection', lambda _: False
    )
    keeps.start()
    context.add_cleanup(keeps.stop)
    for number in range(callers):
        context.add_cleanup(
            _connect_with_head(context, f'a-{number}', count, length).close
        )
        context.plain.requests.clear()


def _connect_with_head(context, attempt, count, length):
    """Return a connection on which a head was answered, and that is kept."""
    for number in range(_MAX_TRIES):
        caller = exchanges.Caller(context.side.address)
        answer = context.side.send_request(
            '/read/x',
            attempt=f'{attempt}-{number}',
            caller=caller,
            **_write_fields(count, length),
        )
        if answer.status == 200:
            assert 'connection' not in answer.headers, answer.data
            return caller
        caller.close()
        gevent.sleep(float(answer.headers['retry-after']))
    raise AssertionError(answer.data)


@behave.then(
    'at most {kilobytes:d} kilobytes are allocated for each connection'
)
def check_connections(context, kilobytes):
    current, _ = tracemalloc.get_traced_memory()
    each = current / context.connection_count
    assert each <= kilobytes * _KILOBYTE, each


@behave.when(
    '{callers:d} callers send heads of {count:d} fields of {length:d} bytes to'
    ' "{path}"'
)
def send_blocked_heads(context, callers, count, length, path):
    fields = _write_fields(count, length)
    context.uploads = [
        gevent.spawn(
            context.side.send_request, path, attempt=f'a-{number}', **fields
        )
        for number in range(callers)
    ]

    def count_decided():
        refused = sum(each.ready() for each in context.uploads)
        return refused + len(context.plain.requests)

    exchanges.wait_until(lambda: count_decided() == callers)


@behave.when(
    'a caller sends a request with a target of {length:d} bytes to "{path}"'
)
def send_long_target(context, length, path):
    target = path + '?' + 'q' * (length - len(path) - 1)
    context.uploads = [
        gevent.spawn(context.side.send_request, target, attempt='a-1')
    ]
    exchanges.wait_until(lambda: context.plain.requests)
    context.sent_count = 1


@behave.then('at least {kilobytes:d} kilobytes of heads are held')
def check_heads(context, kilobytes):
    count = context.memory.heads.count
    assert count >= kilobytes * _KILOBYTE, count


_VALUES = (
    '[]',
    '{}',
    '""',
    '[[]]',
    '{"":0}',
    '1e9',
    '"é"',
    '"😀"',
    '1234567890123',
    'null',
    '"' + 'a' * 500 + '"',
    '["b",{"c":[1.5,{}]}]',
)


@behave.when('{count:d} JSON bodies are drawn from seed {seed:d}')
def draw_json(context, count, seed):
    draw = random.Random(seed)
    context.json_bodies = [_draw_json(draw) for _ in range(count)]


def _draw_json(draw):
    """Return an array or an object of values that are alike or mixed."""
    values = draw.sample(_VALUES, draw.choice((1, 1, 2, 4)))
    drawn = [draw.choice(values) for _ in range(draw.randint(1, 3000))]
    if draw.random() < 0.5:
        return f'[{",".join(drawn)}]'.encode()
    pairs = ','.join(
        f'"{number:x}":{value}' for number, value in enumerate(drawn)
    )
    return f'{{{pairs}}}'.encode()


@behave.then(
    'parsing each of them takes no more memory than is reserved for it'
)
def check_parsed(context):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for body in context.json_bodies:
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        values = json.loads(body)
        _, peak = tracemalloc.get_traced_memory()
        # Small objects that Python itself keeps are no part of the body.
        limit = bodies.estimate_parsed(body) + 1024
        assert peak - before <= limit, (body[:60], peak - before, limit)
        del values
