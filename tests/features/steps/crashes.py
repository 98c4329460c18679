"""Steps about backend servers that crash during requests."""

import logging

import behave
from gevent import event

from tests.support import exchanges
from tests.support import operated


class LogCapture(logging.Handler):
    """Captures the log records of one logger."""

    def __init__(self, name):
        super().__init__()
        self.records = []
        self._logger = logging.getLogger(name)
        self._level = self._logger.level
        self._logger.addHandler(self)
        self._logger.setLevel(logging.INFO)

    def emit(self, record):
        self.records.append(record)

    def find(self, event_name):
        return [each for each in self.records if each.msg == event_name]

    def close(self):
        self._logger.removeHandler(self)
        self._logger.setLevel(self._level)
        super().close()


_BOUNDS = {'revoke_milliseconds': 60000, 'apply_milliseconds': 30000}
# Servers that may crash before a request is refused, and further ones that it
# may still reach.
_MOST_CRASHES = 3
_MOST_RETRIES = 3


@behave.given('{count:d} instances before {servers:d} engines')
def start_instances(context, count, servers):
    context.sides = []
    for number in range(count):
        side = operated.Side(
            beside=context.sides[0] if context.sides else None,
            bounds=_BOUNDS,
            instance={'name': f'e{number}'},
        )
        context.add_cleanup(side.close)
        context.sides.append(side)
    first = context.sides[0]
    first.configure()
    for number in range(servers):
        name = f'llm-{number}'
        first.register(operated.Backend(name, service='llm'))
    for side in context.sides:
        side.start()
    for side in context.sides:
        exchanges.wait_until(lambda: _count_alive(side) == count)


def _count_alive(side):
    members = side.read_status()['members']
    return sum(each['state'] == 'alive' for each in members)


@behave.given('the engines crash under the request "{body}"')
def crash_under(context, body):
    def follow(backend, sock, request):
        if request.body == body.encode():
            return operated.crash(backend, sock, request)
        return operated.stream(1, 3)(backend, sock, request)

    for each in context.sides[0].backends.values():
        each.always = follow


@behave.when(
    'the request "{body}" for "{path}" comes {count:d} times, at each'
    ' instance in turn'
)
def ask_in_turn(context, body, path, count):
    context.answers = [
        context.sides[number % len(context.sides)].ask(
            path, body=body.encode(), attempt=f'{body}-{number}'
        )
        for number in range(count)
    ]


def _count_crashed(context):
    backends = context.sides[0].backends.values()
    return sum(each.crashed for each in backends)


@behave.then('it reached no more servers than may crash under it')
def check_reached(context):
    crashed = _count_crashed(context)
    assert crashed <= _MOST_CRASHES + _MOST_RETRIES, crashed


@behave.given("the instance's log is captured")
def capture_log(context):
    context.log = LogCapture('amaranthslip.entry.forwarding')
    context.add_cleanup(context.log.close)


@behave.given('the servers crash when released')
def crash_on_release(context):
    context.release = event.Event()

    def follow(backend, sock, request):
        context.release.wait()
        return operated.crash(backend, sock, request)

    for each in context.side.backends.values():
        each.always = follow


@behave.when('a request for "{path}" waits for its answer')
def start_request(context, path):
    context.waiting = operated.spawn(context.side.ask, path)
    exchanges.wait_until(lambda: _list_asked(context))


def _list_asked(context):
    return [each for each in context.side.backends.values() if each.requests]


@behave.when('the server running it registers as draining and exits')
def drain_and_exit(context):
    (asked,) = _list_asked(context)
    context.side.register(asked, state='draining')
    context.side.wait_known()
    context.release.set()
    context.answer = context.waiting.get()


@behave.then('each failed try is logged with server crashed: {crashed}')
def check_server_crashed(context, crashed):
    failed = context.log.find('try_failed')
    found = [each.server_crashed for each in failed]
    assert found and set(found) == {crashed == 'yes'}, found


@behave.then('these requests match the fingerprint of the first as listed')
def check_fingerprints(context):
    for index, row in enumerate(context.table):
        body = row['body'].encode()
        for attempt in (f'f-{index}-1', f'f-{index}-2'):
            context.side.ask(
                row['path'], key=row['key'], body=body, attempt=attempt
            )
    sent = {
        each.request_id: each.fingerprint
        for each in context.log.find('request_sent')
    }
    first = sent['f-0-1']
    for index, row in enumerate(context.table):
        same = row['same'] == 'yes'
        own = sent[f'f-{index}-1']
        assert own == sent[f'f-{index}-2'], row
        assert (own == first) is same, row
