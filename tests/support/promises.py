"""Callers and version polling for a fleet of real processes."""

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
# Generous for a busy machine; no scenario here checks the speed of the fleet.
_TIMEOUT_SECONDS = 60.0
_POLL_SECONDS = 0.05


class BookingAnswer:
    """The answer to a booking."""

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
    """Send a booking; return its answer or the connection error."""
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
        return BookingAnswer(
            response.status, response.headers, response.read()
        )
    except (OSError, http.client.HTTPException) as error:
        return error
    finally:
        connection.close()


def wait_until(condition, describe=lambda: ''):
    """Wait for a condition; after a timeout, fail with `describe()`."""
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, describe()
        time.sleep(_POLL_SECONDS)


class BackgroundCall:
    """A function call in a separate thread."""

    def __init__(self, function, *arguments, **options):
        self.result = None

        def call():
            self.result = function(*arguments, **options)

        self._thread = threading.Thread(target=call, daemon=True)
        self._thread.start()

    def wait(self):
        self._thread.join(_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), 'the call did not return'
        return self.result


class Load:
    """Callers of several client accounts at several routers, in a thread.

    Each caller sends requests sequentially until `stop`, or a single request
    with `once`.
    """

    def __init__(self, fleet, *, accounts, callers, length, once=False):
        self._fleet = fleet
        self._accounts = accounts
        self._callers_per_router = callers
        self._answer_tokens = length
        self._once = once
        self._stop_requested = threading.Event()
        self._sender = build_sender()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def records(self):
        return list(self._sender.observation.records)

    def select(self, *, entries=None, since=0.0):
        """Return the records of requests to some routers since a time."""
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
        """Wait until each caller has ended its current request."""
        self._stop_requested.set()
        self.wait()

    def wait(self):
        self._thread.join(_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), 'callers did not get an answer'

    def _run(self):
        greenlets = [
            gevent.spawn(self._run_caller, router, account, index)
            for router in self._fleet.routers.values()
            for account in self._accounts
            for index in range(self._callers_per_router)
        ]
        gevent.joinall(greenlets, raise_error=True)

    def _run_caller(self, router, account, index):
        traffic = plans.Traffic(
            account=account,
            key=deployments.read_key(account),
            service=SERVICE,
            entries=[router.callers],
        )
        count = 0
        while not self._stop_requested.is_set():
            count += 1
            name = f'{router.name}-{account}-{index}-{count}'
            pause = self._sender.call(traffic, name, self._answer_tokens)
            if self._once:
                return
            gevent.sleep(min(pause, 0.1))


def build_sender():
    """Return callers that send requests on demand, not from a plan."""
    return callers.Callers(plans.Plan(traffics=[], seconds=1.0))


def describe_records(records):
    """Return entry, outcome and reason of each record, for error messages."""
    return [(each.entry, each.outcome, each.reason) for each in records]


def read_status(router):
    """Return a router's status from the operators' API."""
    answer = control.get(
        router.operators, '/api/status', headers=control.sign_in('operator')
    )
    assert answer.status == 200, answer.body
    return answer.read_json()


def list_alive_members(router):
    """Return the names of the members that a router considers alive."""
    return {
        member['name']
        for member in read_status(router)['members']
        if member['state'] == 'alive'
    }


class VersionWatch:
    """Polls the configuration versions of routers and records each change."""

    def __init__(self, routers):
        self.observed = {router.name: [] for router in routers}
        self._stop_requested = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._poll_versions, args=[router], daemon=True
            )
            for router in routers
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop_requested.set()
        for thread in self._threads:
            thread.join(_TIMEOUT_SECONDS)

    def _poll_versions(self, router):
        observed = self.observed[router.name]
        while not self._stop_requested.wait(_POLL_SECONDS):
            try:
                version = read_status(router)['version']
            except (OSError, http.client.HTTPException):
                # The router is killed or paused.
                continue
            if not observed or observed[-1] != version:
                observed.append(version)
