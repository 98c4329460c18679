"""Steps about the entry: what callers may send, and what they get."""

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


def flatten(prompt):
    return generation.flatten([{'role': 'user', 'content': prompt}])


@behave.given(
    'an entry before a stand-in engine and a stand-in booking service'
)
def start(context):
    sides.start_served(context)


@behave.when('a caller asks the entry for a whole chat of {count:d} tokens')
def ask_whole(context, count):
    values = exchanges.write_chat(_PROMPT.format(count))
    sides.ask_chat(context, values)


@behave.when('a caller asks the entry for a streamed chat of {count:d} tokens')
def ask_stream(context, count):
    values = exchanges.write_chat(_PROMPT.format(count), stream=True)
    sides.ask_chat(context, values)


@behave.when(
    'a caller asks the entry for a streamed completion of {count:d} tokens'
)
def ask_completion(context, count):
    values = {'model': 'llm', 'prompt': _PROMPT.format(count), 'stream': True}
    received = exchanges.ask(context.side, 'POST', '/v1/completions', values)
    context.received.append(received)


@behave.then('each caller of the entry got its {count:d} tokens and the end')
def check_texts(context, count):
    prompt = _PROMPT.format(count)
    chat = generation.write_answer(flatten(prompt))
    expected = [chat, chat, generation.write_answer(prompt)]
    assert [each.text for each in context.received] == expected
    assert [each.done for each in context.received] == [False, True, True]
    assert all(each.complete for each in context.received)


@behave.then('the entry charged each grant for prompt and tokens')
def check_charges(context):
    prompt = _PROMPT.format(6)
    chat = generation.count_tokens(flatten(prompt)) * 0.5 + 6
    completion = generation.count_tokens(prompt) * 0.5 + 6
    grants = context.side.scheduler.grants
    charged = [each.charged for each in grants]
    assert charged == [chat, chat, completion], charged
    assert context.side.estimator.learnt == charged
    counted = context.side.metrics.read('service_tokens', 'escola-sol')
    assert counted == sum(charged)
    assert all(each.outcome is outcomes.Outcome.DONE for each in grants)


@behave.then('no caller of the entry sees usage that it did not ask for')
def check_no_usage(context):
    for received in context.received[1:]:
        assert b'usage' not in received.body
        assert all(event['choices'] for event in received.events)


@behave.when('a caller asks the entry for a stream with the usage at the end')
def ask_usage(context):
    options = {'include_usage': True}
    values = exchanges.write_chat('LENGTH=4', stream=True)
    sides.ask_chat(context, values | {'stream_options': options})


@behave.when('a caller asks the entry for a stream with usage all along')
def ask_all_usage(context):
    options = {'include_usage': True, 'continuous_usage_stats': True}
    values = exchanges.write_chat('LENGTH=4', stream=True)
    sides.ask_chat(context, values | {'stream_options': options})


@behave.then("the entry's stream ends with the usage and has none before")
def check_last_usage(context):
    *events, last = context.received[-1].events
    assert last['choices'] == [] and last['usage']['completion_tokens'] == 4
    assert not any('usage' in event for event in events)
    assert context.received[-1].done


@behave.then("each event of the entry's stream holds usage")
def check_all_usage(context):
    events = context.received[-1].events
    assert len(events) >= 5 and all('usage' in event for event in events)


@behave.given('the booking service loses every answer after executing')
def lose_answers(context):
    context.plain.fail('cut_after')


@behave.when('a caller of the entry books at "{path}"')
def book(context, path):
    booking = path.rpartition('/')[2]
    received = exchanges.ask(context.side, 'POST', path, {'booking': booking})
    context.received.append(received)


@behave.then(
    "the entry tells both bookings' callers that the outcome is unknown"
)
def check_unknown(context):
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
    def follow(script, sock):
        script.read(sock)
        answer = exchanges.write_answer(b'ok', X_Mine='1', Connection='close')
        sock.sendall(answer)

    context.script = sides.serve_plain(context, follow)
    received = exchanges.ask(
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
    context.head = head.lower()


@behave.then(
    "it got neither the bearer key nor the entry's hop-by-hop headers"
)
def check_headers(context):
    for name in (b'authorization', b'key-sol', b'x-gone', b'te:', b'forged'):
        assert name not in context.head, context.head
    assert b'x-kept: caf' in context.head
    assert b'x-client-account: escola-sol' in context.head


@behave.when('a caller of the entry books with the idempotency key "{key}"')
@behave.when('the same booking comes again to the entry with the key "{key}"')
def book_with_key(context, key):
    received = exchanges.ask(
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


@behave.then('the entry says so and the booking was executed once')
def check_once(context):
    received = context.received[-1]
    assert received.status == 409 and received.error['not_run'] is False
    assert received.error['code'] == 'already_done'
    assert context.plain.count('k1') == 1


@behave.given("the entry's claims are refused")
def refuse_claims(context):
    context.side.claims.refusal = errors.RequestRefused(
        'claims_down', 'no claim can be made; send it again later'
    )


@behave.then('the entry\'s answer says "{code}" as not run')
def check_not_run(context, code):
    error = context.received[-1].error
    assert error['code'] == code and error['not_run'] is True


@behave.then('the booking behind the entry was never executed')
def check_never(context):
    assert context.plain.count('k2') == 0


@behave.then("the entry's grant came back unused")
def check_unused(context):
    grant = context.side.scheduler.grants[-1]
    assert grant.outcome is outcomes.Outcome.UNUSED


@behave.when('the entry\'s configuration drops the key of "{name}"')
def drop_key(context, name):
    held = callers.build_document([context.engine.address])
    held.client_accounts[name].keys = ()
    context.side.holder.document = held


@behave.then('the entry refuses the next request of "{name}" with {status:d}')
def check_key_dropped(context, name, status):
    received = sides.ask_chat(
        context, exchanges.write_chat('LENGTH=2'), key=callers.KEYS[name]
    )
    assert received.status == status


@behave.then('the entry serves "{name}" as before')
def check_served(context, name):
    received = sides.ask_chat(
        context, exchanges.write_chat('LENGTH=2'), key=callers.KEYS[name]
    )
    assert received.status == 200, received.data


@behave.given('a stream of {count:d} tokens runs through the entry')
def run_stream(context, count):
    values = exchanges.write_chat(_PROMPT.format(count), stream=True)
    context.running = gevent.spawn(sides.ask_chat, context, values)
    context.add_cleanup(context.running.kill)
    exchanges.wait_until(lambda: context.engine.engine.started == 1)


@behave.given('a caller keeps its connection to the entry')
def keep_connection(context):
    context.kept = sides.connect(context)
    assert context.kept.ask('GET', '/v1/models').status == 200


@behave.when('the entry drains')
def drain(context):
    context.draining = gevent.spawn(context.side.entry.drain)
    gevent.sleep(0)


@behave.then(
    'the kept connection of the entry gets {status:d} "{code}" and is closed'
)
def check_stopping(context, status, code):
    received = context.kept.ask(
        'POST', '/v1/chat/completions', exchanges.write_chat('LENGTH=2')
    )
    assert (received.status, received.error['code']) == (status, code)
    assert received.error['not_run'] is True
    assert received.headers['retry-after'] == '1'
    assert received.headers['connection'] == 'close'
    assert context.kept.socket.recv(1) == b''
    assert not context.running.ready()


@behave.then("the entry's stream ends whole with {count:d} tokens")
def check_stream_whole(context, count):
    received = context.running.get(timeout=20)
    expected = generation.write_answer(flatten(_PROMPT.format(count)))
    assert received.text == expected and received.done and received.complete


@behave.then('the entry no longer listens')
def check_closed(context):
    assert context.draining.get(timeout=20) is True
    try:
        socket.create_connection(context.side.address, timeout=5).close()
    except ConnectionRefusedError:
        return
    raise AssertionError('it still listens')


@behave.given('the entry has a long answer for a caller that reads slowly')
def start_long_answer(context):
    body = b'x' * 30_000_000

    def follow(script, sock):
        script.read(sock)
        sock.sendall(exchanges.write_answer(body))

    sides.serve_plain(context, follow)
    context.slow = sides.connect(context)
    context.slow.send(
        exchanges.write_request('GET', '/services/booking/status')
    )
    head = context.slow.read_until(b'xxx')
    context.left = len(body) - len(head.partition(b'\r\n\r\n')[2])


@behave.then('the entry waits until the slow caller has it whole')
def check_slow(context):
    length = 0
    for _ in range(100):
        gevent.sleep(0.001)
        assert not context.draining.ready()
        length += len(context.slow.socket.recv(65536))
    while piece := context.slow.socket.recv(1048576):
        length += len(piece)
    assert length == context.left, length
    assert context.draining.get(timeout=20) is True
