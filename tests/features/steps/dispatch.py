"""Steps for dispatch: queues, grants, slots and scores."""

import logging
import time
from unittest import mock

import behave
import gevent
import hypothesis
from hypothesis import stateful

from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip import identity
from amaranthslip.members import members
from amaranthslip.requests import outcomes
from amaranthslip.shares import ledger
from amaranthslip.shares import ownership
from amaranthslip.shares import queues
from tests.support import dispatchfuzz
from tests.support import dispatching

_STEP_SECONDS = 0.01
_STEP_TOKENS = 20.0
_TIMEOUT_SECONDS = 45.0
_CHARGE_TOKENS = 50


class _Traffic:
    """Callers that send the next request after the last one has ended."""

    def __init__(self, context) -> None:
        self._context = context
        self.greenlets = []
        context.add_cleanup(gevent.killall, self.greenlets)

    def keep(self, account, count, tokens, entries) -> None:
        for entry in entries:
            for _ in range(count):
                caller = gevent.spawn(self._call, account, tokens, entry)
                self.greenlets.append(caller)

    def _call(self, account, tokens, entry) -> None:
        context = self._context
        while True:
            ticket = dispatching.build_ticket('pool', account, estimate=tokens)
            instance = context.network.instances[entry]
            lease = instance.scheduler.acquire(ticket)
            context.engines.run(lease, tokens)


def _wait_until(condition) -> None:
    end = time.monotonic() + _TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end, 'timed out waiting for the condition'
        gevent.sleep(0.02)


@behave.given(
    'a dispatch fleet of {count:d} instances with {servers:d} servers of '
    '{slots:d} slots and 1 home'
)
def set_fleet_with_one_home(context, count, servers, slots):
    context.fleet = (count, servers, slots, 1)


@behave.given(
    'a dispatch fleet of {count:d} instances with {servers:d} servers of '
    '{slots:d} slots'
)
@behave.given(
    'a dispatch fleet of {count:d} instances with {servers:d} server of '
    '{slots:d} slots'
)
def set_fleet(context, count, servers, slots):
    context.fleet = (count, servers, slots, 4)


@behave.given(
    'the dispatch accounts "{first}" of share {share:g} and "{second}" of '
    'share {other:g}'
)
def start_fleet(context, first, share, second, other):
    count, servers, slots, homes = context.fleet
    context.shares = {first: share, second: other}
    context.configuration = dispatching.build_document(
        servers=servers, slots=slots, accounts=context.shares
    )
    context.names = [f'r{index}' for index in range(count)]
    context.network = dispatching.Network(
        context.configuration,
        context.names,
        homes=homes,
        charge_tokens=_CHARGE_TOKENS,
    )
    context.add_cleanup(context.network.close)
    context.engines = dispatching.Engines(
        step_seconds=_STEP_SECONDS, step_tokens=_STEP_TOKENS
    )
    context.traffic = _Traffic(context)
    context.largest = 0.0


@behave.given('the dispatch accounts "{first}" and "{second}" of equal share')
def start_equal_fleet(context, first, second):
    start_fleet(context, first, 1.0, second, 1.0)


@behave.when(
    '"{account}" keeps {count:d} dispatch requests of {tokens:d} tokens at '
    '{where}'
)
def keep_requests(context, account, count, tokens, where):
    entries = {
        'every entry': context.names,
        'one entry': context.names[:1],
        'that entry': [getattr(context, 'remote_entry', '')],
        'the other entry': [getattr(context, 'owner', '')],
    }[where]
    context.largest = max(context.largest, tokens)
    context.traffic.keep(account, count, tokens, entries)


@behave.then(
    'the dispatch score gap stays within its bound until each had '
    '{tokens:d} tokens'
)
def check_gap(context, tokens):
    """Compare the largest change of the score difference with its bound.

    The bound is the work in progress in all slots and the unreported
    service, divided by the smallest share. It is the formula of
    docs/design/dispatch.md with every slot held by one account.
    """
    count, servers, slots, _ = context.fleet
    in_progress = servers * slots * context.largest
    unreported = count * (_CHARGE_TOKENS + _STEP_TOKENS)
    bound = (in_progress + unreported) / min(context.shares.values())
    served = context.engines.served
    differences = []

    def reached():
        first, second = (
            served.get(name, 0.0) / share
            for name, share in context.shares.items()
        )
        differences.append(first - second)
        return all(served.get(name, 0.0) >= tokens for name in context.shares)

    _wait_until(reached)
    gap = max(differences) - min(differences)
    assert gap <= bound, f'gap {gap:.0f} tokens, bound {bound:.0f}'


@behave.then('no dispatch server ever had more than {slots:d} requests')
def check_peak(context, slots):
    _wait_until(lambda: sum(context.engines.finished.values()) >= 4)
    assert context.engines.peak_running, 'no request ran'
    assert max(context.engines.peak_running.values()) <= slots, (
        context.engines.peak_running
    )


@behave.then('all {slots:d} dispatch slots come into use')
def check_all_used(context, slots):
    _wait_until(lambda: sum(context.engines.running.values()) == slots)


@behave.when('the dispatch owner restarts without state')
def restart_owner(context):
    running = context.engines.running
    _wait_until(lambda: sum(running.values()) == 4)
    context.network.start(context.owner)


@behave.then(
    'the dispatch server "{server}" counts {slots:d} slots in use again'
)
def check_slots_in_use(context, server, slots):
    instances = context.network.instances
    owner = instances['r0'].ownership.find_owner(server)
    _wait_until(
        lambda: instances[owner].dispatcher.describe()[server]['used'] == slots
    )


@behave.given('a dispatch ledger without records')
def build_empty_ledger(context):
    context.ledger = ledger.Ledger(commit_tokens=400.0)


@behave.when(
    'entries report totals of {first:g} and {second:g} with the dispatch '
    'hint {hint:g}'
)
def report_totals(context, first, second, hint):
    for name, total in (('old', first), ('new', second)):
        context.ledger.charge(
            name, 'r1', share=1.0, total=total, base=total, hint=hint
        )


@behave.then('both dispatch scores are {score:g}')
def check_scores(context, score):
    for name in ('old', 'new'):
        assert context.ledger.read_reported(name) == score


@behave.given('a dispatch ledger with an account at score {score:g}')
def build_ledger(context, score):
    build_empty_ledger(context)
    context.ledger.charge(
        'cut', 'r1', share=1.0, total=score, base=0.0, hint=0.0
    )


@behave.when('an entry reports {tokens:g} more tokens after a partition')
def report_after_partition(context, tokens):
    context.before = context.ledger.read_reported('cut')
    total = context.before + tokens
    for _ in range(2):
        context.ledger.charge(
            'cut', 'r1', share=1.0, total=total, base=total, hint=0.0
        )


@behave.then('the dispatch score has grown by {tokens:g}')
def check_growth(context, tokens):
    assert context.ledger.read_reported('cut') - context.before == tokens


@behave.given(
    'a dispatch fleet whose owners track the health of {servers:d} servers'
)
def start_health_fleet(context, servers):
    configuration = dispatching.build_document(
        servers=servers, slots=4, accounts={'one': 1.0}
    )
    context.network = dispatching.Network(
        configuration, ['r0', 'r1'], real_health=True
    )
    context.add_cleanup(context.network.close)
    owned = [
        len(each.dispatcher.describe())
        for each in context.network.instances.values()
    ]
    assert owned == [1, 1], owned


@behave.when(
    '{count:d} dispatch requests in a row fail at the server "{server}"'
)
def fail_requests(context, count, server):
    scheduler = context.network.instances['r0'].scheduler
    failed = 0
    while failed < count:
        ticket = dispatching.build_ticket('pool', 'one', estimate=10)
        lease = scheduler.acquire(ticket)
        if lease.backend_server.name == server:
            failed += 1
            lease.finish(outcomes.Outcome.FAILED)
        else:
            lease.finish(outcomes.Outcome.DONE)
    gevent.sleep(0.05)


@behave.then('the dispatch owner of "{server}" grants none of its slots')
def check_ejected(context, server):
    owner = context.network.instances['r0'].ownership.find_owner(server)
    _wait_until(
        lambda: not context.network.instances[owner].health.admits(server)
    )


@behave.when('the dispatch owner dies and only its successor detects it')
def kill_owner(context):
    _wait_until(lambda: sum(context.engines.running.values()) == 4)
    network = context.network
    context.successor = max(
        (name for name in context.names if name != context.owner),
        key=lambda name: identity.rendezvous_hash('engine-0', name),
    )
    refresh = ownership.Ownership.refresh

    def refresh_late(owned):
        return owned.name != context.remote_entry and refresh(owned)

    patch = mock.patch.object(ownership.Ownership, 'refresh', refresh_late)
    patch.start()
    context.add_cleanup(patch.stop)
    network.instances.pop(context.owner).close()
    network.roster.set_state(context.owner, members.MemberState.DEAD)


@behave.then('the successor counts {slots:d} dispatch slots in use')
def check_successor(context, slots):
    instance = context.network.instances[context.successor]
    _wait_until(
        lambda: instance.dispatcher.describe()['engine-0']['used'] == slots
    )


@behave.when(
    'an entry reports {count:d} running dispatch requests of {tokens:g} tokens'
)
def report_running(context, count, tokens):
    context.ledger.set_estimate('cut', tokens)
    context.ledger.report('cut', 'r1', running=count, seen=0)


@behave.when('another entry reports the dispatch estimate {tokens:g}')
def report_estimate(context, tokens):
    context.ledger.set_estimate('cut', tokens)


@behave.then('the dispatch score with running requests is {score:g}')
def check_score_in_progress(context, score):
    assert context.ledger.read_score('cut', 1.0) == score


@behave.given('an entry that is not the dispatch owner')
def choose_remote_entry(context):
    context.owner = context.network.instances['r0'].ownership.find_owner(
        'engine-0'
    )
    context.remote_entry = min(
        (name for name in context.names if name != context.owner),
        key=lambda name: identity.rendezvous_hash('engine-0', name),
    )


@behave.when(
    '{count:d} dispatch requests of that entry end while its messages are lost'
)
def end_during_cut(context, count):
    network = context.network
    scheduler = network.instances[context.remote_entry].scheduler
    leases = []
    for _ in range(count):
        ticket = dispatching.build_ticket('pool', 'one', estimate=10)
        leases.append(scheduler.acquire(ticket))
    owner = network.instances[context.owner].dispatcher
    # Wait until the entry has confirmed that all grants arrived.
    _wait_until(
        lambda: not owner._holdings.has_unconfirmed(context.remote_entry)
    )
    network.blocked.add((context.remote_entry, context.owner))
    for lease in leases:
        lease.finish(outcomes.Outcome.DONE)
    gevent.sleep(0.05)
    assert owner.describe()['engine-0']['used'] == count


@behave.when('that dispatch link reconnects')
def reconnect_entry(context):
    context.network.blocked.clear()
    context.network.reconnect(context.remote_entry, context.owner)


@behave.when('grants to that entry are lost')
def lose_grants(context):
    context.network.blocked.add((context.owner, context.remote_entry))


@behave.when('grants to that entry arrive again')
def unblock_grants(context):
    context.network.blocked.clear()


@behave.then('"{account}" completes {count:d} dispatch requests')
def check_completed(context, account, count):
    _wait_until(lambda: context.engines.finished.get(account, 0) >= count)


@behave.when(
    '{count:d} dispatch callers of "{account}" disconnect as their '
    'slots are granted'
)
def disconnect_when_granted(context, count, account):
    scheduler = context.network.instances['r0'].scheduler
    callers = []
    pop = queues.AccountQueue.pop

    def pop_and_disconnect(line, server, known):
        # The kill is scheduled before the wake-up by the grant, so that the
        # caller has ended when the grant would be delivered.
        callers[-1].kill(block=False)
        return pop(line, server, known)

    with mock.patch.object(queues.AccountQueue, 'pop', pop_and_disconnect):
        for _ in range(count):
            ticket = dispatching.build_ticket('pool', account, estimate=10)
            callers.append(gevent.spawn(scheduler.acquire, ticket))
            callers[-1].join(timeout=_TIMEOUT_SECONDS)
            assert isinstance(callers[-1].value, gevent.GreenletExit)


@behave.when('"{account}" has {count:d} dispatch requests at one entry')
def send_requests(context, account, count):
    context.callers = []
    context.add_cleanup(gevent.killall, context.callers)
    _spawn_callers(context, account, 4)
    _wait_until(lambda: all(each.ready() for each in context.callers))
    _spawn_callers(context, account, count - 4)
    scheduler = context.network.instances['r0'].scheduler
    _wait_until(lambda: scheduler.describe().get(account) == count - 4)


def _spawn_callers(context, account, count):
    scheduler = context.network.instances['r0'].scheduler
    for _ in range(count):
        ticket = dispatching.build_ticket('pool', account, estimate=10)
        context.callers.append(gevent.spawn(scheduler.acquire, ticket))


@behave.then(
    'one more dispatch request of "{account}" is refused as "{reason}"'
)
def check_refused(context, account, reason):
    scheduler = context.network.instances['r0'].scheduler
    ticket = dispatching.build_ticket('pool', account, estimate=10)
    try:
        scheduler.acquire(ticket)
    except errors.RequestRefused as refused:
        assert refused.reason == reason, refused.reason
        assert refused.status == 429 and refused.retry_after >= 1
    else:
        raise AssertionError('the request was not refused')


@behave.then('"{account}" completes {count:d} dispatch requests there')
def complete_requests(context, account, count):
    for caller in context.callers:
        context.traffic.greenlets.append(
            gevent.spawn(_run_granted, context, caller)
        )
    context.traffic.keep(account, 1, 10, ['r0'])
    check_completed(context, account, count)


def _run_granted(context, caller):
    lease = caller.get()
    if not isinstance(lease, gevent.GreenletExit):
        context.engines.run(lease, 10)


def _reconfigure(context, **changes):
    old = context.configuration
    values = {
        name: list(getattr(old, name).values())
        for name in document.SECTION_CLASSES
    }
    newer = document.Document(version=2, **(values | changes))
    context.network.holder.apply(newer)


@behave.when('the configuration removes the dispatch account "{account}"')
def remove_account(context, account):
    accounts = context.configuration.client_accounts.values()
    kept = [each for each in accounts if each.name != account]
    _reconfigure(context, client_accounts=kept)


@behave.then(
    'its {count:d} queued dispatch requests are refused as "{reason}"'
)
def check_all_refused(context, count, reason):
    _wait_until(lambda: all(each.ready() for each in context.callers))
    refused = [each for each in context.callers if not each.successful()]
    assert len(refused) == count
    assert {each.exception.reason for each in refused} == {reason}


@behave.then('its {count:d} running dispatch requests continue')
def check_running(context, count):
    running = [each for each in context.callers if each.successful()]
    assert len(running) == count
    check_slots_in_use(context, 'engine-0', count)


@behave.when(
    'the configuration marks the dispatch server "{server}" as leaving'
)
def mark_leaving(context, server):
    servers = context.configuration.backend_servers
    servers[server].leaving = True
    _reconfigure(context)


@behave.then('the dispatch server "{server}" had {count:d} requests')
def check_request_count(context, server, count):
    assert context.engines.peak_running.get(server, 0) == count


@behave.given('the dispatch fuzz with {runs:d} runs of {steps:d} steps')
def set_fuzz(context, runs, steps):
    context.fuzz = hypothesis.settings(
        max_examples=runs,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@behave.then('the dispatch fuzz finds no failure')
def run_fuzz(context):
    logging.getLogger('amaranthslip').setLevel(logging.ERROR)
    stateful.run_state_machine_as_test(
        dispatchfuzz.DispatchMachine, settings=context.fuzz
    )
