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
