"""Steps about the HTTP entry: requests, answers, claims and shutdown."""

import behave
import gevent
from gevent import socket

from amaranthslip import errors
from amaranthslip.requests import claim_messages
from amaranthslip.requests import outcomes
from standins import generation
from tests.support import callers
from tests.support import exchanges
from tests.support import sides

_PROMPT = 'resumo do mês LENGTH={}'


def flatten_prompt(prompt):
    return generation.flatten([{'role': 'user', 'content': prompt}])


@behave.given(
    'an entry before a stand-in engine and a stand-in booking service'
)
def start(context):
    sides.start_served(context)


@behave.when(
    'a caller requests an unstreamed chat of {count:d} tokens from the entry'
)
def request_chat(context, count):
    values = exchanges.write_chat(_PROMPT.format(count))
    sides.ask_chat(context, values)


@behave.when(
    'a caller requests a streamed chat of {count:d} tokens from the entry'
)
def request_chat_stream(context, count):
    values = exchanges.write_chat(_PROMPT.format(count), stream=True)
    sides.ask_chat(context, values)


@behave.when(
    'a caller requests a streamed completion of {count:d} tokens from'
    ' the entry'
)
def request_completion_stream(context, count):
    values = {'model': 'llm', 'prompt': _PROMPT.format(count), 'stream': True}
    received = exchanges.send_request(
        context.side, 'POST', '/v1/completions', values
    )
    context.received.append(received)


@behave.then(
    'each caller of the entry got a complete answer of {count:d} tokens'
)
def check_texts(context, count):
    prompt = _PROMPT.format(count)
    chat = generation.write_answer(flatten_prompt(prompt))
    expected = [chat, chat, generation.write_answer(prompt)]
    assert [each.text for each in context.received] == expected
    assert [each.done for each in context.received] == [False, True, True]
    assert all(each.complete for each in context.received)


@behave.then('the entry charged each grant for prompt and generated tokens')
def check_charges(context):
    prompt = _PROMPT.format(6)
    chat = generation.count_tokens(flatten_prompt(prompt)) * 0.5 + 6
    completion = generation.count_tokens(prompt) * 0.5 + 6
    grants = context.side.scheduler.grants
    charged = [each.charged for each in grants]
    assert charged == [chat, chat, completion], charged
    assert context.side.estimator.recorded == charged
    counted = context.side.metrics.read('service_tokens', 'escola-sol')
    assert counted == sum(charged)
    assert all(each.outcome is outcomes.Outcome.DONE for each in grants)


@behave.then('no caller of the entry gets usage that it did not request')
def check_no_usage(context):
    for received in context.received[1:]:
        assert b'usage' not in received.body
        assert all(event['choices'] for event in received.events)


@behave.when('a caller requests a stream with final usage from the entry')
def request_final_usage(context):
    options = {'include_usage': True}
    values = exchanges.write_chat('LENGTH=4', stream=True)
    sides.ask_chat(context, values | {'stream_options': options})


@behave.when(
    'a caller requests a stream with usage in each event from the entry'
)
def request_usage_in_each_event(context):
    options = {'include_usage': True, 'continuous_usage_stats': True}
    values = exchanges.write_chat('LENGTH=4', stream=True)
    sides.ask_chat(context, values | {'stream_options': options})


@behave.then("only the last event of the entry's stream holds usage")
def check_final_usage(context):
    *events, last = context.received[-1].events
    assert last['choices'] == [] and last['usage']['completion_tokens'] == 4
    assert not any('usage' in event for event in events)
    assert context.received[-1].done


@behave.then("each event of the entry's stream holds usage")
def check_usage_in_each_event(context):
    events = context.received[-1].events
    assert len(events) >= 5 and all('usage' in event for event in events)


@behave.given('the booking service executes requests but loses every answer')
def lose_answers(context):
    context.plain.fail('cut_after')


@behave.when('a caller of the entry books at "{path}"')
def book(context, path):
    booking = path.rpartition('/')[2]
    received = exchanges.send_request(
        context.side, 'POST', path, {'booking': booking}
    )
    context.received.append(received)


@behave.then("the entry reports an unknown outcome to both bookings' callers")
def check_outcome_unknown(context):
    for received in context.received:
        assert received.status == 502, received.data
        assert received.error['code'] == 'outcome_unknown'
        assert received.error['not_run'] is False


@behave.then("each of the entry's bookings was executed once")
def check_executions(context):
    assert [context.plain.count(each) for each in '12'] == [1, 1]


@behave.when(
    'a caller of the entry sends a plain request with its own headers'
)
def send_plain(context):
    def respond(script, sock):
        script.read(sock)
        answer = exchanges.write_answer(b'ok', X_Mine='1', Connection='close')
        sock.sendall(answer)

    context.script = sides.serve_plain(context, respond)
    received = exchanges.send_request(
        context.side,
        'PUT',
        '/services/booking/status/a%20b?q=%2F&r=1',
        b'\x00\xffbody',
        Connection='close, X-Gone',
        X_Gone='1',
        X_Kept='caf\xe9'.encode('latin-1').decode('latin-1'),
        TE='trailers',
        X_Client_Account='forged',
    )
    assert received.body == b'ok' and received.headers['x-mine'] == '1'


@behave.then('the service behind the entry got the same method, path and body')
def check_plain(context):
    head, _, body = context.script.requests[0].partition(b'\r\n\r\n')
    assert head.startswith(b'PUT /status/a%20b?q=%2F&r=1 HTTP/1.1\r\n'), head
    assert body == b'\x00\xffbody'
    context.request_head = head.lower()


@behave.then(
    "the service got neither the bearer key nor the caller's"
    ' hop-by-hop headers'
)
def check_headers(context):
    for name in (b'authorization', b'key-sol', b'x-gone', b'te:', b'forged'):
        assert name not in context.request_head, context.request_head
    assert b'x-kept: caf' in context.request_head
    assert b'x-client-account: escola-sol' in context.request_head


@behave.when('a caller of the entry books with the idempotency key "{key}"')
@behave.when('a caller of the entry repeats the booking with the key "{key}"')
def book_with_key(context, key):
    received = exchanges.send_request(
        context.side,
        'POST',
        '/services/booking/bookings',
        {'booking': key},
        Idempotency_Key=key,
    )
    context.received.append(received)


@behave.then('the entry\'s claim of "{key}" is settled as {outcome}')
def check_settled(context, key, outcome):
    claim = context.side.claims.claimed['escola-sol', key]
    exchanges.wait_until(lambda: claim.state is not None)
    assert claim.state is claim_messages.ClaimState[outcome]
    status = context.received[-1].status
    assert status == (200 if outcome == 'DONE' else 502)


@behave.then(
    'the entry answers "already_done" and the booking was executed once'
)
def check_already_done(context):
    received = context.received[-1]
    assert received.status == 409 and received.error['not_run'] is False
    assert received.error['code'] == 'already_done'
    assert context.plain.count('k1') == 1


@behave.given("the entry's claims are refused")
def refuse_claims(context):
    context.side.claims.refusal = errors.RequestRefused(
        'claims_down', 'no claim can be made; send the request again later'
    )


@behave.then('the entry answers "{code}" and reports the request as not run')
def check_not_run(context, code):
    error = context.received[-1].error
    assert error['code'] == code and error['not_run'] is True


@behave.then('the booking behind the entry was never executed')
def check_not_executed(context):
    assert context.plain.count('k2') == 0


@behave.then('the entry returned its grant unused')
def check_grant_unused(context):
    grant = context.side.scheduler.grants[-1]
    assert grant.outcome is outcomes.Outcome.UNUSED


@behave.when('the key of "{name}" is removed from the entry\'s configuration')
def remove_key(context, name):
    configuration = callers.build_document([context.engine.address])
    configuration.client_accounts[name].keys = ()
    context.side.holder.document = configuration


@behave.then('the entry refuses the next request of "{name}" with {status:d}')
def check_key_refused(context, name, status):
    received = sides.ask_chat(
        context, exchanges.write_chat('LENGTH=2'), key=callers.KEYS[name]
    )
    assert received.status == status


@behave.then('the entry still serves "{name}"')
def check_served(context, name):
    received = sides.ask_chat(
        context, exchanges.write_chat('LENGTH=2'), key=callers.KEYS[name]
    )
    assert received.status == 200, received.data


@behave.given('the entry relays a stream of {count:d} tokens')
def run_stream(context, count):
    values = exchanges.write_chat(_PROMPT.format(count), stream=True)
    context.running_stream = gevent.spawn(sides.ask_chat, context, values)
    context.add_cleanup(context.running_stream.kill)
    exchanges.wait_until(lambda: context.engine.engine.started == 1)


@behave.given('a caller keeps a connection to the entry open')
def keep_connection(context):
    context.open_caller = sides.connect(context)
    assert context.open_caller.ask('GET', '/v1/models').status == 200


@behave.when('the entry drains')
def drain(context):
    context.draining = gevent.spawn(context.side.entry.drain)
    gevent.sleep(0)


@behave.then(
    'the open connection to the entry gets {status:d} "{code}" and is closed'
)
def check_refused_while_stopping(context, status, code):
    received = context.open_caller.ask(
        'POST', '/v1/chat/completions', exchanges.write_chat('LENGTH=2')
    )
    assert (received.status, received.error['code']) == (status, code)
    assert received.error['not_run'] is True
    assert received.headers['retry-after'] == '1'
    assert received.headers['connection'] == 'close'
    assert context.open_caller.socket.recv(1) == b''
    assert not context.running_stream.ready()


@behave.then("the entry's stream completes with {count:d} tokens")
def check_stream_whole(context, count):
    received = context.running_stream.get(timeout=20)
    expected = generation.write_answer(flatten_prompt(_PROMPT.format(count)))
    assert received.text == expected and received.done and received.complete


@behave.then('the entry no longer listens')
def check_not_listening(context):
    assert context.draining.get(timeout=20) is True
    try:
        socket.create_connection(context.side.address, timeout=5).close()
    except ConnectionRefusedError:
        return
    raise AssertionError('the entry still listens')


@behave.given(
    'the entry is sending a long answer to a caller that reads slowly'
)
def start_long_answer(context):
    body = b'x' * 30_000_000

    def respond(script, sock):
        script.read(sock)
        sock.sendall(exchanges.write_answer(body))

    sides.serve_plain(context, respond)
    context.slow_caller = sides.connect(context)
    context.slow_caller.send(
        exchanges.write_request('GET', '/services/booking/status')
    )
    head = context.slow_caller.read_until(b'xxx')
    context.remaining_bytes = len(body) - len(head.partition(b'\r\n\r\n')[2])


@behave.then('the entry waits until the slow caller has the complete answer')
def check_slow_caller(context):
    length = 0
    for _ in range(100):
        gevent.sleep(0.001)
        assert not context.draining.ready()
        length += len(context.slow_caller.socket.recv(65536))
    while piece := context.slow_caller.socket.recv(1048576):
        length += len(piece)
    assert length == context.remaining_bytes, length
    assert context.draining.get(timeout=20) is True
