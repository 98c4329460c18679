"""What routers promise, checked against what callers and servers saw."""

import collections
import json
import re

from standins import listed
from tests.soak import callers as callers_module
from tests.soak import deployment as deployment_module

# Statuses that promise that an attempt has not run and never will.
_NOT_RUN = (408, 421, 429, 503)
_RETRIED = (429, 503)
_ALLOWED = (0, 200, 500, 502, 504, *_NOT_RUN)
# Further crashes that one request may cause after all faults have ended.
_MOST_FURTHER_CRASHES = 3
# Runs that one attempt may have at most, by its route.
_MOST_RUNS = {'write': 1, 'once': 1}
_USUAL_RUNS = 2
# Seconds between the store's acknowledgement and the next attempts counted:
# the clocks are one, so only the way from the store to here.
_SLACK_SECONDS = 0.3
# Seconds after an answer with Retry-After in which any number of requests may
# arrive, and how many may arrive from one router in the rest of the backoff.
_BACKOFF_GRACE_SECONDS = 0.5
_MOST_BACKOFF_REQUESTS = 2
_ACCOUNTS = {'key-a': 'account-a', 'key-b': 'account-b', '': ''}
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


class Run:
    """One run of an attempt, as its backend server printed it."""

    __slots__ = ('server', 'seal', 'account', 'has_key', 'after', 'body')

    def __init__(self, server, values):
        self.server = server
        self.seal = f'seal-{values["server"]}'
        self.account = values['account']
        self.has_key = values['has_key']
        self.after = values['after']
        self.body = values['body'].encode()


def read_runs(folder):
    """Return the runs of each attempt, out of the servers' output."""
    runs = collections.defaultdict(list)
    for path in sorted(folder.glob('*.*.log')):
        for line in path.read_text().splitlines():
            if line.startswith('{"run"'):
                values = json.loads(line)
                runs[values['run']].append(Run(path.name, values))
    return runs


def check(deployment, attempts, runs):
    """Yield a line for each promise that was broken."""
    for attempt in attempts:
        for broken in _check_attempt(deployment, attempt, runs[attempt.name]):
            yield f'{_describe(attempt, runs[attempt.name])}: {broken}'
    yield from _check_budget(attempts, runs)
    yield from _check_crashing(deployment, runs)
    yield from _check_leaving(attempts, runs)
    yield from _check_backoffs(deployment, attempts)
    for path in sorted(deployment.folder.glob('router-*.log')):
        text = path.read_text()
        for found in re.finditer(r'.*(?:Traceback|level=error).*', text):
            yield f'{path.name}: {found[0][:300]}'


def _describe(attempt, runs):
    answer = attempt.answer
    got = answer.data[:400] if answer else None
    places = [(each.server, each.after) for each in runs]
    return (
        f'{attempt.name} {attempt.route} key={attempt.key!r}'
        f' start={attempt.starts} runs={places} got={got!r}'
    )


def _check_attempt(deployment, attempt, runs):
    if attempt.stuck:
        yield 'no end of it'
    if len(runs) > _MOST_RUNS.get(attempt.route, _USUAL_RUNS):
        yield 'it ran too often'
    if attempt.status in _NOT_RUN and runs:
        yield 'said not to have run, though it has'
    if attempt.status in _RETRIED:
        if 'retry-after' not in attempt.answer.headers:
            yield 'not told when to come back'
    if any(each.has_key for each in runs):
        yield 'a backend server got the key'
    if _is_quarantined(attempt) and not attempt.body:
        yield 'quarantined, though it crashes no server'
    account = _ACCOUNTS.get(attempt.key)
    if account is not None and any(each.account != account for each in runs):
        yield 'a backend server was told another account'
    yield from _check_admission(deployment, attempt)
    if attempt.status == 200:
        yield from _check_body(attempt, runs)


def _is_quarantined(attempt):
    if attempt.status != 429 or not attempt.answer.complete:
        return False
    return attempt.answer.error['code'] == 'crashes_servers'


def _check_admission(deployment, attempt):
    """Check keys and routes against the configuration of the moment."""
    status, key, route = attempt.status, attempt.key, attempt.route
    revoked = key == deployment_module.REVOKED_KEY
    if key == 'key-unknown':
        if status in (200, 500, 404):
            yield 'an unknown key was admitted'
    elif route == 'nowhere':
        if status not in (0, 404, 503):
            yield 'a route was found that there is not'
    elif revoked:
        bound = deployment_module.REVOKE_SECONDS
        if _is_later(attempt, deployment.revoked, bound) and status == 200:
            yield 'a revoked key was admitted'
        if status == 401 and deployment.revoked is None:
            yield 'a key was refused that holds'
    elif route == deployment_module.ADDED:
        bound = deployment_module.APPLY_SECONDS
        if _is_later(attempt, deployment.added, bound) and status == 404:
            yield 'an added route was not found'
        if status == 200 and deployment.added is None:
            yield 'a route was found that there is not yet'
    elif status not in _ALLOWED:
        yield f'the status {status} has no reason'


def _is_later(attempt, changed, bound):
    if changed is None:
        return False
    return attempt.sent > changed + bound + _SLACK_SECONDS


def _check_body(attempt, runs):
    answer = attempt.answer
    seal = answer.headers.get('amaranthslip-server-seal', '')
    if not seal.startswith('seal-') or seal == 'seal-another':
        yield "the seal is not a backend server's of this attempt"
    if not runs:
        yield 'answered, though no backend server ran it'
    if attempt.route in callers_module.STREAMS:
        yield from _check_events(attempt)
    elif answer.complete:
        values = json.loads(answer.body)
        if values['attempt'] != attempt.name:
            yield "the answer is another attempt's"
        if seal != f'seal-{values["server"]}':
            yield "the seal is another backend server's"


def _check_events(attempt):
    answer = attempt.answer
    events = _EVENT.findall(answer.body)
    numbers = [int(number) for number, _ in events]
    if numbers != list(range(1, len(events) + 1)):
        yield f'events out of order: {numbers}'
    for number, text in events:
        if text != b'%s:%s' % (attempt.name.encode(), number):
            yield f"the event {number} is another attempt's"
    if answer.complete and len(events) != listed.EVENTS:
        yield f'ended as whole after {len(events)} events'


def _check_budget(attempts, runs):
    """Check second runs of all routers together against their budget."""
    again = sum(max(0, len(runs[each.name]) - 1) for each in attempts)
    seconds = attempts[-1].sent - attempts[0].sent if attempts else 0.0
    windows = 1 + seconds / deployment_module.RETRY_WINDOW_SECONDS
    allowed = (
        deployment_module.RETRY_RATIO * len(attempts)
        + deployment_module.RETRY_SLACK * windows
    )
    if again > allowed:
        yield f'{again} second runs of {len(attempts)}, allowed {allowed:.0f}'


def count_crashes(runs, body):
    """Return the number of server crashes under the request with this body."""
    return sum(each.body == body for found in runs.values() for each in found)


def _check_crashing(deployment, runs):
    """Check that crashes under each request end once all faults have."""
    for _, _, body in callers_module.CRASHING_REQUESTS:
        before = deployment.crashes_before.get(body, 0)
        after = count_crashes(runs, body) - before
        if after > _MOST_FURTHER_CRASHES:
            yield (
                f'{body.decode()} crashed {before} servers, and {after} more'
                ' after all faults had ended'
            )


def _check_leaving(attempts, runs):
    """Check that routers stop sending to servers that reported leaving."""
    reported = {}
    for attempt in attempts:
        if attempt.answer and 'server-leaving' in attempt.answer.headers:
            # A resumed stream runs on several servers; only the one that
            # signed the headers reported that it is leaving.
            seal = attempt.answer.headers['amaranthslip-server-seal']
            key = (attempt.router, attempt.starts, seal)
            earliest = reported.get(key, attempt.answered)
            reported[key] = min(attempt.answered, earliest)
    bound = deployment_module.DRAIN_SECONDS
    for attempt in attempts:
        for run in runs[attempt.name]:
            key = (attempt.router, attempt.starts, run.seal)
            since = reported.get(key)
            if since is not None and attempt.sent > since + bound:
                yield (
                    f'{attempt.name} reached {run.server}'
                    f' {attempt.sent - since:.1f} s after it reported to'
                    f' {attempt.router} that it is leaving'
                )


def _read_times(deployment, attempts):
    """Yield a server's log name, a router and two lists of times.

    The times are those of arrivals, and of answers with Retry-After. Each
    start of a server or of a router counts separately.
    """
    routers = {each.name: (each.router, each.starts) for each in attempts}
    times = collections.defaultdict(lambda: ([], []))
    for path in sorted(deployment.folder.glob('*.*.log')):
        for line in path.read_text().splitlines():
            for index, kind in enumerate(('arrival', 'back_off')):
                if line.startswith(f'{{"{kind}"'):
                    values = json.loads(line)
                    key = (path.name, routers[values[kind]])
                    times[key][index].append(values['at'])
    for (server, (router, _)), (arrivals, backoffs) in times.items():
        yield server, router, arrivals, backoffs


def _check_backoffs(deployment, attempts):
    """Check that routers stop sending to servers that sent Retry-After."""
    for server, router, arrivals, backoffs in _read_times(
        deployment, attempts
    ):
        names = (server.split('.')[0], router)
        for since in backoffs:
            until = since + listed.RETRY_AFTER_SECONDS
            if _was_impaired(deployment, names, since, until):
                continue
            first = since + _BACKOFF_GRACE_SECONDS
            count = sum(first < each < until for each in arrivals)
            if count > _MOST_BACKOFF_REQUESTS:
                yield (
                    f'{count} requests from {router} reached {server}'
                    ' during its backoff'
                )


def _was_impaired(deployment, names, since, until):
    return any(
        name in names and start < until and since < end
        for name, start, end in deployment.impairments
    )


def summarize(attempts):
    """Return how many attempts ended with which status."""
    return dict(
        sorted(collections.Counter(each.status for each in attempts).items())
    )
