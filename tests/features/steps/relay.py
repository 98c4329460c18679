"""Steps about relaying answers: cuts, resumption, mismatched answers."""

import behave
import gevent
from gevent import event

from amaranthslip.requests import outcomes
from standins import generation
from tests.support import callers
from tests.support import exchanges
from tests.support import sides

_PROMPT = 'relatório LENGTH={}'
_WAIT_SECONDS = 20


def _start(context, **options):
    sides.start(context, backends={'idle_seconds': 0.3}, **options)


def _add_chunked(context, plan):
    return sides.close_after_scenario(context, exchanges.ChunkedEngine(plan))


def _build_expected_text(count, *, chat=True):
    prompt = _PROMPT.format(count)
    if chat:
        message = {'role': 'user', 'content': prompt}
        prompt = generation.flatten([message])
    return generation.write_answer(prompt)


@behave.given('a relay before {count:d} stand-in engines')
def start_engines(context, count):
    context.engines = [exchanges.Engine() for _ in range(count)]
    for engine in context.engines:
        sides.close_after_scenario(context, engine)
    _start(context, engines=[each.address for each in context.engines])


@behave.given(
    'the first engine of the relay has the fault {mode} after'
    ' {tokens:d} tokens'
)
def fail_engine(context, mode, tokens):
    context.engines[0].fail(mode, tokens)


def _stream(context, count, *, path='chat/completions', kind='chat', **fields):
    prompt = _PROMPT.format(count)
    values = exchanges.write_chat(prompt, stream=True, **fields)
    if path == 'completions':
        values = {'model': 'llm', 'prompt': prompt, 'stream': True} | fields
    context.received = exchanges.send_request(
        context.side, 'POST', f'/v1/{path}', values, X_Request_Kind=kind
    )


_USAGE_IN_EACH_EVENT = {'include_usage': True, 'continuous_usage_stats': True}


@behave.when('a caller of the relay streams {count:d} tokens from {path}')
def stream_by(context, count, path):
    context.path = path
    _stream(context, count, path=path, stream_options=_USAGE_IN_EACH_EVENT)


@behave.when(
    'a caller of the relay streams {count:d} tokens of the kind "{kind}"'
)
def stream_kind(context, count, kind):
    _stream(context, count, kind=kind)


@behave.when(
    'a caller of the relay streams {count:d} tokens with guided decoding'
)
def stream_guided(context, count):
    _stream(context, count, guided_regex='a+')


@behave.then(
    'the caller of the relay got {count:d} tokens once each, one id'
    ' and "[DONE]"'
)
def check_resumed(context, count):
    received = context.received
    chat = context.path != 'completions'
    assert received.text == _build_expected_text(count, chat=chat), (
        received.text
    )
    assert len({each['id'] for each in received.events}) == 1
    assert received.done and received.complete
    finished = [
        each['choices'][0]['finish_reason']
        for each in received.events
        if each['choices']
    ]
    assert finished[-1] == 'stop' and not any(finished[:-1])
    roles = [each for each in received.events if 'role' in str(each)]
    assert len(roles) == (1 if chat else 0)
    assert context.engines[1].engine.started == 1
    assert context.side.metrics.read('retries', 'cut') == 1


@behave.then("the relay's usage adds up to {count:d} tokens")
def check_usage(context, count):
    counts = [
        each['usage']['completion_tokens'] for each in context.received.events
    ]
    assert counts == sorted(counts) and counts[-1] == count, counts
    last = context.received.events[-1]['usage']
    first = context.received.events[0]['usage']
    assert last['prompt_tokens'] == first['prompt_tokens']
    assert last['total_tokens'] == count + last['prompt_tokens']


@behave.then('the relay charged the prompt once and {count:d} tokens')
def check_charged(context, count):
    prompt = context.received.events[0]['usage']['prompt_tokens']
    charged = sum(each.charged for each in context.side.scheduler.grants)
    assert charged == prompt * 0.5 + count, charged
    # Tokens are charged as they are delivered: the first engine never sent
    # the end of its stream.
    assert context.side.scheduler.grants[0].charged == prompt * 0.5 + 7
    assert [each.outcome for each in context.side.scheduler.grants] == [
        outcomes.Outcome.FAILED,
        outcomes.Outcome.DONE,
    ]


@behave.then(
    'the relay\'s stream holds {count:d} tokens and an error, but no "[DONE]"'
)
def check_error(context, count):
    received = context.received
    *events, last = received.events
    text = ''.join(exchanges.read_text(each['choices'][0]) for each in events)
    assert text == ''.join(
        f'{word}' for word in _split_words(_build_expected_text(30))[:count]
    ), text
    assert last['error']['code'] == 'outcome_unknown'
    assert last['error']['not_run'] is False
    assert not received.done and not received.complete


def _split_words(text):
    return [f' {word}' for word in text.split()]


@behave.then('the second engine of the relay got no request')
def check_second_engine_unused(context):
    assert context.engines[1].engine.started == 0


@behave.given(
    'a relay before an engine that fails just before the end of its stream'
)
def start_without_end(context):
    done_length = len(b'data: [DONE]\n\n')

    def plan(text):
        prompt = generation.Prompt(text, '')
        body = exchanges.write_events(prompt, 100000)
        usage = body.rindex(b'data: {')
        return exchanges.StreamPlan(cut=usage + done_length, sizes=(50,))

    context.failing_engine = _add_chunked(context, plan)
    _start(context, engines=[context.failing_engine.address])


@behave.given(
    'a relay before an engine that sends an error event, and a working one'
)
def start_sending_error(context):
    def respond(script, sock):
        script.read(sock)
        message = {'role': 'user', 'content': _PROMPT.format(5)}
        prompt = generation.Prompt(generation.flatten([message]), '')
        body = exchanges.write_events(prompt, 7)
        body = body[: body.index(b'data: {', 400)]
        body += b'data: {"error":{"message":"out of memory"}}\n\n'
        body += b'data: [DONE]\n\n'
        sock.sendall(exchanges.STREAM_HEAD + exchanges.write_chunk(body))
        sock.sendall(b'0\r\n\r\n')

    failing = sides.add_script(context, respond)
    working = _add_chunked(context, lambda text: exchanges.StreamPlan())
    _start(context, engines=[failing.address, working.address])


@behave.given('a relay before an engine that stops sending, and a working one')
def start_silent(context):
    silent = exchanges.StreamPlan(cut=600, sizes=(50,), end='hang')
    engines = [
        _add_chunked(context, lambda text: silent),
        _add_chunked(context, lambda text: exchanges.StreamPlan()),
    ]
    _start(context, engines=[each.address for each in engines])


@behave.then('the relay counts a retry for "{reason}"')
def check_retry_reason(context, reason):
    assert context.side.metrics.read('retries', reason) == 1


@behave.when('a caller of the relay streams with final usage')
def stream_usage(context):
    _stream(context, 5, stream_options={'include_usage': True})


@behave.then(
    'the caller of the relay got {count:d} tokens, the usage and "[DONE]"'
)
def check_final_usage(context, count):
    received = context.received
    assert received.text == _build_expected_text(count), received.body
    assert received.done and received.complete
    assert received.body.count(b'[DONE]') == 1
    assert received.body.count(b'"usage"') == 1
    assert received.events[-1]['usage']['completion_tokens'] == count
    assert b'"error"' not in received.body


@behave.then('the failing engine of the relay got one request')
def check_one_request(context):
    assert len(context.failing_engine.bodies) == 1


_FAULTY_ANSWERS = {
    'truncated': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwrong',
    'unframed': b'HTTP/1.1 200 OK\r\n\r\nwrong',
    'unterminated': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\nwrong\r\n',
    'cut in header': b'HTTP/1.1 200 OK\r\nContent-Le',
    'mismatched': exchanges.write_answer(b'wrong', X_Request_Id='another'),
    'not HTTP': b'wrong wrong wrong\r\n\r\n',
}


@behave.given('a relay before a server whose answers are {fault}')
def start_faulty(context, fault):
    def respond(script, sock):
        script.read(sock)
        sock.sendall(_FAULTY_ANSWERS[fault])

    context.faulty = sides.add_script(context, respond)
    _start(context, plain=[context.faulty.address])


@behave.when('a caller of the relay requests a status')
def request_status(context):
    context.received = exchanges.send_request(
        context.side, 'GET', '/services/booking/status'
    )


@behave.then('the relay reports an unknown outcome')
def check_outcome_unknown(context):
    assert context.received.status == 502, context.received.data
    assert context.received.error['code'] == 'outcome_unknown'
    assert context.received.error['not_run'] is False
    assert b'wrong' not in context.received.data


@behave.given('the relay also has a working server')
def add_working_server(context):
    def respond(script, sock):
        while script.read(sock):
            sock.sendall(exchanges.write_answer(b'good'))

    working = sides.add_script(context, respond)
    context.side.holder.document = callers.build_document(
        plain=[context.faulty.address, working.address]
    )


@behave.then("the caller of the relay got the working server's answer")
def check_working_answer(context):
    assert context.received.status == 200, context.received.data
    assert context.received.body == b'good'


@behave.given('a relay before a server whose answers come {fault}')
def start_repeating(context, fault):
    context.answered, context.late_sent = event.Event(), event.Event()

    def respond(script, sock):
        while request := script.read(sock):
            target = request.split()[1]
            answer = exchanges.write_answer(target)
            sock.sendall(answer * 2 if fault == 'twice' else answer)
            if fault == 'late' and len(script.requests) == 1:
                gevent.spawn(_send_late_answer, context, sock, answer)

    context.script = sides.add_script(context, respond)
    _start(context, plain=[context.script.address])
    if fault == 'twice':
        context.late_sent.set()


def _send_late_answer(context, sock, answer):
    context.answered.wait()
    sock.sendall(answer)
    context.late_sent.set()


@behave.when('two callers of the relay request a status one after the other')
def request_two_statuses(context):
    context.answers = []
    for number in '12':
        path = f'/services/booking/status/{number}'
        received = exchanges.send_request(context.side, 'GET', path)
        context.answers.append(received.body)
        context.answered.set()
        assert context.late_sent.wait(_WAIT_SECONDS)


@behave.then('each caller of the relay got its own answer')
def check_own_answers(context):
    assert context.answers == [b'/status/1', b'/status/2'], context.answers
