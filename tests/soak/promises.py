"""Checks the routers' guarantees against records of callers and servers."""

import collections
import json
import re

from standins import listed
from tests.soak import callers as callers_module
from tests.soak import deployment as deployment_module

# Statuses that guarantee that an attempt was not and never will be executed.
_NOT_EXECUTED = (408, 421, 429, 503)
_RETRYABLE = (429, 503)
_ALLOWED = (0, 200, 500, 502, 504, *_NOT_EXECUTED)
# Upper bound for server crashes by one request after all faults have ended.
_MAX_FURTHER_CRASHES = 3
# Crashes under a part of a prompt from which on that bound holds for it.
_CRASHES_BEFORE_BOUND = 5
# Upper bounds for the executions of one attempt, by route.
_MAX_EXECUTIONS = {'write': 1, 'once': 1}
_DEFAULT_MAX_EXECUTIONS = 2
# Tolerance added to the bounds of configuration changes. All times come from
# one clock, so that it only covers the way of the store's acknowledgement.
_STORE_DELAY_SECONDS = 0.3
# After a response with Retry-After, any number of requests may arrive for the
# grace time, and this many from one router in the rest of the backoff.
_BACKOFF_GRACE_SECONDS = 0.5
_MAX_BACKOFF_REQUESTS = 2
_ACCOUNTS = {'key-a': 'account-a', 'key-b': 'account-b', '': ''}


class Execution:
    """One execution of an attempt, as logged by the backend server."""

    __slots__ = (
        'server',
        'seal',
        'account',
        'has_key',
        'after',
        'body',
        'parts',
    )

    def __init__(self, server, values):
        self.server = server
        self.seal = f'seal-{values["server"]}'
        self.account = values['account']
        self.has_key = values['has_key']
        self.after = values['after']
        self.body = values['body'].encode()
        self.parts = values['parts']


def read_executions(folder):
    """Return the executions of each attempt from the servers' logs."""
    executions = collections.defaultdict(list)
    for path in sorted(folder.glob('*.*.log')):
        for line in path.read_text().splitlines():
            if line.startswith('{"run"'):
                values = json.loads(line)
                executions[values['run']].append(Execution(path.name, values))
    return executions


def check(deployment, attempts, executions):
    """Yield a line for each violated guarantee."""
    for attempt in attempts:
        for violation in _check_attempt(
            deployment, attempt, executions[attempt.name]
        ):
            yield (
                f'{_describe(attempt, executions[attempt.name])}: {violation}'
            )
    yield from _check_retry_budget(attempts, executions)
    yield from _check_crashes(deployment, executions)
    yield from _check_deadly_runs(deployment, executions)
    yield from _check_leaving(attempts, executions)
    yield from _check_backoffs(deployment, attempts)
    for path in sorted(deployment.folder.glob('router-*.log')):
        text = path.read_text()
        for match in re.finditer(r'.*(?:Traceback|level=error).*', text):
            yield f'{path.name}: {match[0][:300]}'


def _describe(attempt, executions):
    answer = attempt.answer
    received = answer.data[:400] if answer else None
    locations = [(each.server, each.after) for each in executions]
    return (
        f'{attempt.name} {attempt.route} key={attempt.key!r}'
        f' start={attempt.router_start_count} runs={locations}'
        f' received={received!r}'
    )


def _check_attempt(deployment, attempt, executions):
    if attempt.timed_out:
        yield 'the attempt did not end'
    if len(executions) > _MAX_EXECUTIONS.get(
        attempt.route, _DEFAULT_MAX_EXECUTIONS
    ):
        yield 'executed too often'
    if attempt.status in _NOT_EXECUTED and executions:
        yield 'reported as not executed, but was executed'
    if attempt.status in _RETRYABLE:
        invited = 'retry-after' in attempt.answer.headers
        if invited == _is_refused_for_part(attempt):
            yield 'the refusal has no Retry-After header, or should have none'
    if any(each.has_key for each in executions):
        yield 'a backend server received the API key'
    if _is_quarantined(attempt) and not attempt.body:
        yield 'quarantined, but the request crashes no server'
    if _is_refused_for_part(attempt) and not attempt.deadly:
        yield 'refused for a part, but it has none that crashes servers'
    account = _ACCOUNTS.get(attempt.key)
    if account is not None and any(
        each.account != account for each in executions
    ):
        yield 'a backend server received the wrong account'
    yield from _check_admission(deployment, attempt)
    if attempt.status == 200:
        yield from _check_body(attempt, executions)


def _is_quarantined(attempt):
    return _read_refusal(attempt) == 'crashes_servers'


def _is_refused_for_part(attempt):
    return _read_refusal(attempt) == 'part_crashes_servers'


def _read_refusal(attempt):
    if attempt.status != 429 or not attempt.answer.complete:
        return ''
    return attempt.answer.error['code']


def _check_admission(deployment, attempt):
    """Check the status against the configuration at the time."""
    status, key, route = attempt.status, attempt.key, attempt.route
    revoked = key == deployment_module.REVOKED_KEY
    if key == 'key-unknown':
        if status in (200, 500, 404):
            yield 'an unknown key was admitted'
    elif route == 'nowhere':
        if status not in (0, 404, 503):
            yield 'a nonexistent route was found'
    elif revoked:
        bound = deployment_module.REVOKE_SECONDS
        if (
            _is_past_bound(attempt, deployment.revoked_at, bound)
            and status == 200
        ):
            yield 'a revoked key was admitted'
        if status == 401 and deployment.revoked_at is None:
            yield 'a valid key was refused'
    elif route == deployment_module.ADDED_ROUTE:
        bound = deployment_module.APPLY_SECONDS
        if (
            _is_past_bound(attempt, deployment.added_at, bound)
            and status == 404
        ):
            yield 'an added route was not found'
        if status == 200 and deployment.added_at is None:
            yield 'a route was found before it was added'
    elif status not in _ALLOWED:
        yield f'unexpected status {status}'


def _is_past_bound(attempt, changed, bound):
    if changed is None:
        return False
    return attempt.sent_at > changed + bound + _STORE_DELAY_SECONDS


def _check_body(attempt, executions):
    answer = attempt.answer
    seal = answer.headers.get('amaranthslip-server-seal', '')
    if not seal.startswith('seal-') or seal == 'seal-another':
        yield 'the seal is missing or belongs to another attempt'
    if not executions:
        yield 'answered, but no backend server executed the request'
    if attempt.route in callers_module.STREAM_ROUTES:
        yield from _check_events(attempt)
    elif answer.complete:
        values = json.loads(answer.body)
        if values['attempt'] != attempt.name:
            yield 'the answer belongs to another attempt'
        if seal != f'seal-{values["server"]}':
            yield 'the seal belongs to another backend server'


def _check_events(attempt):
    answer = attempt.answer
    events = attempt.events
    numbers = [number for number, _, _ in events]
    first = attempt.continued.last_event + 1 if attempt.continued else 1
    if numbers != list(range(first, first + len(events))):
        yield f'events out of order: {numbers} from {first} on'
    for number, text, _ in events:
        if text != b'%s:%d' % (attempt.name.encode(), number):
            yield f'the event {number} belongs to another attempt'
    if answer.complete and attempt.last_event != listed.EVENTS:
        yield f'ended as complete after event {attempt.last_event}'
    if len(attempt.versions) > 1:
        yield f'the stream has events of {sorted(attempt.versions)}'


def _check_retry_budget(attempts, executions):
    """Check repeated executions by all routers against the retry budget."""
    repeated_executions = sum(
        max(0, len(executions[each.name]) - 1) for each in attempts
    )
    seconds = attempts[-1].sent_at - attempts[0].sent_at if attempts else 0.0
    windows = 1 + seconds / deployment_module.RETRY_WINDOW_SECONDS
    allowed = (
        deployment_module.RETRY_RATIO * len(attempts)
        + deployment_module.RETRY_SLACK * windows
    )
    if repeated_executions > allowed:
        yield (
            f'{repeated_executions} repeated executions'
            f' in {len(attempts)} attempts;'
            f' the retry budget allows {allowed:.0f}'
        )


def count_crashes(executions, body):
    """Return how many servers the request with this body has crashed."""
    return sum(
        each.body == body
        for attempt_executions in executions.values()
        for each in attempt_executions
    )


def count_deadly_runs(executions):
    """Return how often requests with a part that crashes servers ran."""
    return sum(
        listed.DEADLY_PART in each.parts
        for attempt_executions in executions.values()
        for each in attempt_executions
    )


def _check_deadly_runs(deployment, executions):
    """Check that requests with a deadly part are refused after the faults."""
    before = deployment.deadly_runs_before
    after = count_deadly_runs(executions) - before
    allowed = _MAX_FURTHER_CRASHES + max(0, _CRASHES_BEFORE_BOUND - before)
    if after > allowed:
        yield (
            f'requests with a deadly part ran {after} times after the faults,'
            f' {before} times before; {allowed} are allowed'
        )


def _check_crashes(deployment, executions):
    """Check that crashing requests stop crashing servers after the faults."""
    for _, _, body in callers_module.CRASHING_REQUESTS:
        before = deployment.crashes_before.get(body, 0)
        after = count_crashes(executions, body) - before
        if after > _MAX_FURTHER_CRASHES:
            yield (
                f'{body.decode()} crashed {before} servers, and {after} more'
                ' after all faults had ended'
            )


def _check_leaving(attempts, executions):
    """Check that routers stop sending to servers that report leaving."""
    reported = {}
    for attempt in attempts:
        if attempt.answer and 'server-leaving' in attempt.answer.headers:
            # A resumed stream is executed by several servers; only the one
            # whose seal is in the headers reported that it is leaving.
            seal = attempt.answer.headers['amaranthslip-server-seal']
            key = (attempt.router, attempt.router_start_count, seal)
            earliest = reported.get(key, attempt.answered_at)
            reported[key] = min(attempt.answered_at, earliest)
    bound = deployment_module.DRAIN_SECONDS
    for attempt in attempts:
        for execution in executions[attempt.name]:
            key = (attempt.router, attempt.router_start_count, execution.seal)
            since = reported.get(key)
            if since is not None and attempt.sent_at > since + bound:
                yield (
                    f'{attempt.name} reached {execution.server}'
                    f' {attempt.sent_at - since:.1f} s after it reported to'
                    f' {attempt.router} that it is leaving'
                )


def _read_times(deployment, attempts):
    """Yield (server log name, router, arrival times, backoff times).

    Backoff times are the times of responses with Retry-After. Each start of a
    server or of a router is reported separately.
    """
    routers = {
        each.name: (each.router, each.router_start_count) for each in attempts
    }
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
    """Check that routers stop sending to servers that send Retry-After."""
    for server, router, arrivals, backoffs in _read_times(
        deployment, attempts
    ):
        names = (server.split('.')[0], router)
        for since in backoffs:
            until = since + listed.RETRY_AFTER_SECONDS
            if _was_traffic_impaired(deployment, names, since, until):
                continue
            first = since + _BACKOFF_GRACE_SECONDS
            count = sum(first < each < until for each in arrivals)
            if count > _MAX_BACKOFF_REQUESTS:
                yield (
                    f'{count} requests from {router} reached {server}'
                    ' during the backoff'
                )


def _was_traffic_impaired(deployment, names, since, until):
    return any(
        name in names and start < until and since < end
        for name, start, end in deployment.impairments
    )


def count_continuations(attempts):
    """Return how many streams were taken up, and how many of them went on."""
    continuations = [each for each in attempts if each.continued]
    return len(continuations), sum(bool(each.events) for each in continuations)


def summarize(attempts):
    """Return the number of attempts for each status."""
    return dict(
        sorted(collections.Counter(each.status for each in attempts).items())
    )
