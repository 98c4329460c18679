"""Measures the cost of dispatch per request, account and member change."""

import random
import time

import gevent

from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import registry
from amaranthslip.members import members
from amaranthslip.requests import outcomes
from amaranthslip.shares import ledger
from amaranthslip.shares import queues
from bench import slope
from tests.support import dispatching

_INSTANCES = 8
_SERVERS = 9
_SLOTS = 16
_ACCOUNTS = 312
# Stream events of one request, and the tokens that each delivers.
_CHUNKS = 5
_CHUNK_TOKENS = 49.0
_WARMUP_SECONDS = 2.0
# Concurrent callers of a backlogged account at each instance.
_BACKLOG_CALLERS = 2
# Mean pause between two requests of an account that is not backlogged.
_PAUSE_SECONDS = 3.0
_STATE_ACCOUNTS = 20000
_REGION_SERVERS = 2000
_REGION_MEMBERS = 120


class _CountingNetwork(dispatching.Network):
    """A fake network that counts the encoded bytes of each message kind."""

    def __init__(self, *arguments, **options) -> None:
        self.bytes: dict[str, float] = {}
        self._deflaters: dict[tuple[str, str], frames.Deflater] = {}
        super().__init__(*arguments, **options)

    def send(self, sender: str, name: str, message: object) -> bool:
        if sender != name:
            kind = type(message).__name__
            pair = (sender, name)
            deflater = self._deflaters.setdefault(pair, frames.Deflater())
            size = len(deflater.pack(codec.encode([message])))
            self.bytes[kind] = self.bytes.get(kind, 0.0) + size
        return super().send(sender, name, message)


def measure_requests(seconds: float, **dispatch: int) -> list[slope.Slope]:
    """Measure messages, bytes and processor time per request.

    The fleet has eight instances, nine servers of 16 slots and 312 accounts.
    A tenth of the accounts always has requests waiting; each of the other
    accounts sends single requests with pauses. A request delivers 245 tokens,
    the mean of the target deployment. Each message is counted as a frame of
    its own, which overstates the bytes on a busy link, where a frame carries
    several messages. `dispatch` holds settings of the `dispatch` section.
    """
    registry.register_all()
    accounts = {f'account-{index}': 1.0 for index in range(_ACCOUNTS)}
    network = _CountingNetwork(
        dispatching.build_document(
            servers=_SERVERS, slots=_SLOTS, accounts=accounts
        ),
        [f'router-{index}' for index in range(_INSTANCES)],
        **dispatch,
    )
    counts = _run_callers(network, list(accounts), seconds)
    return _build_figures(network, counts, seconds)


def _run_callers(
    network: _CountingNetwork, accounts: list[str], seconds: float
) -> dict[str, float]:
    generator = random.Random(1)
    finished_count = [0]

    def send_requests(account: str, entry: str, pause: float) -> None:
        scheduler = network.instances[entry].scheduler
        gevent.sleep(generator.uniform(0, pause))
        while True:
            ticket = dispatching.build_ticket(
                'pool', account, estimate=_CHUNKS * _CHUNK_TOKENS
            )
            lease = scheduler.acquire(ticket)
            for _ in range(_CHUNKS):
                gevent.sleep(0.1)
                lease.charge(_CHUNK_TOKENS)
            lease.finish(outcomes.Outcome.DONE)
            finished_count[0] += 1
            gevent.sleep(generator.expovariate(1 / pause) if pause else 0)

    entries = list(network.instances)
    callers = []
    for index, account in enumerate(accounts):
        backlogged = index % 10 == 0
        for number in range(
            len(entries) * _BACKLOG_CALLERS if backlogged else 1
        ):
            entry = entries[(index + number) % len(entries)]
            pause = 0.0 if backlogged else _PAUSE_SECONDS
            callers.append(gevent.spawn(send_requests, account, entry, pause))
    gevent.sleep(_WARMUP_SECONDS)
    network.sent.clear()
    network.bytes.clear()
    before, started = finished_count[0], time.process_time()
    gevent.sleep(seconds)
    processor_seconds = time.process_time() - started
    gevent.killall(callers)
    network.close()
    return {
        'requests': finished_count[0] - before,
        'processor_seconds': processor_seconds,
    }


def _build_figures(
    network: _CountingNetwork, counts: dict[str, float], seconds: float
) -> list[slope.Slope]:
    requests = counts['requests']
    messages = sum(network.sent.values())
    sent = sum(network.bytes.values())
    figures = [
        slope.Slope('requests', requests / seconds, 'a second, the fleet'),
        slope.Slope('messages', messages / requests, 'a request'),
        slope.Slope('bytes', sent / requests, 'a request'),
        slope.Slope(
            'processor time',
            counts['processor_seconds'] / requests * 1e6,
            'us a request',
            'includes the callers, the encoding and the fake network',
        ),
    ]
    for kind in sorted(network.bytes):
        count = network.sent[kind]
        figures.append(slope.Slope(kind, count / requests, 'a request'))
        figures.append(
            slope.Slope(kind, network.bytes[kind] / count, 'bytes each')
        )
    return figures


def measure_state(seconds: float) -> list[slope.Slope]:
    """Measure memory per account at a dispatcher and at an entry instance."""
    before = slope.read_resident_bytes()
    service_ledger = ledger.Ledger(commit_tokens=400.0)
    for index in range(_STATE_ACCOUNTS):
        for entry in ('router-1', 'router-2', 'router-3', 'router-4'):
            service_ledger.charge(
                f'account-{index}',
                entry,
                share=1.0,
                total=10.0,
                base=0.0,
                hint=0.0,
            )
            service_ledger.report(f'account-{index}', entry, running=1, seen=0)
    middle = slope.read_resident_bytes()
    # Holds references, so that the queues stay in memory.
    account_queues = []
    for index in range(_STATE_ACCOUNTS):
        queue = queues.AccountQueue('pool', f'account-{index}')
        for name in range(8):
            queue.reported[f'router-{name}'] = queues.ReportedState(0.0)
        account_queues.append(queue)
    after = slope.read_resident_bytes()
    return [
        slope.Slope(
            'account at a dispatcher',
            (middle - before) / _STATE_ACCOUNTS,
            'bytes',
            'reported by four entries',
        ),
        slope.Slope(
            'account at an entry',
            (after - middle) / _STATE_ACCOUNTS,
            'bytes',
            'reported to eight home dispatchers',
        ),
    ]


def measure_ownership(seconds: float) -> list[slope.Slope]:
    """Measure the processor time of ownership updates on member changes.

    Dispatch waits during an update. The sizes are those of one region of the
    target deployment: 120 members, with all 2,000 servers in the region.
    """
    configuration = dispatching.build_document(
        servers=_REGION_SERVERS, slots=8, accounts={'account-1': 1.0}
    )
    names = [f'router-{index}' for index in range(_REGION_MEMBERS)]
    network = dispatching.Network(configuration, names[:1], manual=True)
    for name in names[1:]:
        network.roster.set_state(name, members.MemberState.ALIVE)
    ownership = network.instances[names[0]].ownership
    # Makes the refresh compute all owners instead of the affected ones.
    ownership._document = None
    full = _time_refresh(network, ownership)
    network.roster.set_state(names[-1], members.MemberState.DEAD)
    loss = _time_refresh(network, ownership)
    network.roster.set_state(names[-1], members.MemberState.ALIVE)
    gain = _time_refresh(network, ownership)
    network.close()
    return [
        slope.Slope('all owners', full, 'ms', '2,000 servers, 120 members'),
        slope.Slope('a member dies', loss, 'ms'),
        slope.Slope('a member comes', gain, 'ms'),
    ]


def _time_refresh(network: dispatching.Network, ownership: object) -> float:
    network.roster.generation += 1
    started = time.process_time()
    ownership.refresh()
    return (time.process_time() - started) * 1e3
