"""Callers and watchers around a fleet of real processes."""

import http.client
import json
import threading
import time

import gevent

from bench import callers
from bench import control
from bench import deployments
from bench import plans

SERVICE = 'chat'
# For a busy machine; nothing here asserts how fast the fleet is.
_TIMEOUT_SECONDS = 60.0
_PAUSE_SECONDS = 0.05


class Answer:
    """What a caller of a booking got."""

    def __init__(self, status, headers, body):
        self.status = status
        self.retry_after = headers.get('Retry-After')
        self.executions = headers.get('X-Executions')
        values = json.loads(body) if body else {}
        self.error = values.get('error') or {}

    @property
    def code(self):
        return self.error.get('code', '')

    @property
    def not_run(self):
        return self.error.get('not_run')

    def __repr__(self):
        return f'{self.status} {self.code} not_run={self.not_run}'


def book(address, booking, *, key):
    """Send a booking; return its answer or the error that ended it."""
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    headers = {
        'Authorization': f'Bearer {deployments.read_key("account-1")}',
        'Content-Type': 'application/json',
        'Idempotency-Key': key,
    }
    body = json.dumps({'booking': booking})
    try:
        connection.request(
            'POST', '/services/bookings/bookings', body, headers
        )
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read())
    except (OSError, http.client.HTTPException) as error:
        return error
    finally:
        connection.close()


def wait_until(condition, describe=lambda: ''):
    """Wait for a condition; fail with what `describe` returns."""
    end = time.monotonic() + _TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end, describe()
        time.sleep(_PAUSE_SECONDS)


class Background:
    """A call in a thread of its own, with its result."""

    def __init__(self, function, *arguments, **options):
        self.result = None

        def call():
            self.result = function(*arguments, **options)

        self._thread = threading.Thread(target=call, daemon=True)
        self._thread.start()

    def wait(self):
        self._thread.join(_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), 'no answer'
        return self.result


class Load:
    """Callers of several accounts at several routers, in a thread.

    Each sends one request after the other, until `stop`, or just one.
    """

    def __init__(self, fleet, *, accounts, callers, length, once=False):
        self._fleet = fleet
        self._accounts = accounts
        self._callers = callers
        self._length = length
        self._once = once
        self._over = threading.Event()
        self._sender = build_sender()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def records(self):
        return list(self._sender.observation.records)

    def select(self, *, entries=None, since=0.0):
        """Return the records of some entries, begun since a time."""
        return [
            each
            for each in self.records
            if each.start >= since
            and (entries is None or each.entry in entries)
        ]

    def count(self, outcome, **options):
        found = self.select(**options)
        return sum(each.outcome == outcome for each in found)

    def stop(self):
        """Let each caller get its last answer."""
        self._over.set()
        self.wait()

    def wait(self):
        self._thread.join(_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), 'callers without an answer'

    def _run(self):
        greenlets = [
            gevent.spawn(self._call, router, account, index)
            for router in self._fleet.routers.values()
            for account in self._accounts
            for index in range(self._callers)
        ]
        gevent.joinall(greenlets, raise_error=True)

    def _call(self, router, account, index):
        traffic = plans.Traffic(
            account=account,
            key=deployments.read_key(account),
            service=SERVICE,
            entries=[router.callers],
        )
        count = 0
        while not self._over.is_set():
            count += 1
            name = f'{router.name}-{account}-{index}-{count}'
            wait = self._sender.call(traffic, name, self._length)
            if self._once:
                return
            gevent.sleep(min(wait, 0.1))


def build_sender():
    """Return callers that send what they are told."""
    return callers.Callers(plans.Plan(traffics=[], seconds=1.0))


def describe(records):
    """Return what became of each, for a failure's message."""
    return [(each.entry, each.outcome, each.reason) for each in records]


def read_status(router):
    """Return a router's status, as its operators see it."""
    answer = control.get(
        router.operators, '/api/status', headers=control.sign_in('operator')
    )
    assert answer.status == 200, answer.body
    return answer.read_json()


def list_live(router):
    """Return the names of the members that a router holds alive."""
    return {
        member['name']
        for member in read_status(router)['members']
        if member['state'] == 'alive'
    }


class VersionWatch:
    """Polls routers' versions, each in a thread, and keeps each change."""

    def __init__(self, routers):
        self.seen = {router.name: [] for router in routers}
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=[router], daemon=True)
            for router in routers
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._over.set()
        for thread in self._threads:
            thread.join(_TIMEOUT_SECONDS)

    def _watch(self, router):
        seen = self.seen[router.name]
        while not self._over.wait(_PAUSE_SECONDS):
            try:
                version = read_status(router)['version']
            except (OSError, http.client.HTTPException):
                # Killed, or paused.
                continue
            if not seen or seen[-1] != version:
                seen.append(version)
