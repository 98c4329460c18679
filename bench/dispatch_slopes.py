"""What dispatch costs: a request, an account, a slot, a change of members."""

import random
import time

import gevent

from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import registry
from amaranthslip.members import members
from amaranthslip.requests import outcomes
from amaranthslip.shares import ledger
from amaranthslip.shares import lines
from bench import slope
from tests.support import dispatching

_INSTANCES = 8
_SERVERS = 9
_SLOTS = 16
_ACCOUNTS = 312
_CHUNKS = 5
_CHUNK_TOKENS = 49.0
_WARM_SECONDS = 2.0
_CALLERS = 2
_PAUSE_SECONDS = 3.0
_STANDINGS = 20000
_TARGET_SERVERS = 2000
_REGION_MEMBERS = 120


class _Counted(dispatching.Network):
    """A network that also counts the bytes of what crosses it."""

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
    """Measure messages, bytes and processor time for one request.

    Eight instances, nine servers of 16 slots, 312 accounts of which a tenth
    keeps requests waiting and the others send one now and then; a request
    delivers 245 tokens, the target's mean. Each message is counted as a
    frame of its own, which is more than a busy link sends. `dispatch` are
    settings of that section.
    """
    registry.register_all()
    accounts = {f'account-{index}': 1.0 for index in range(_ACCOUNTS)}
    network = _Counted(
        dispatching.build_document(
            servers=_SERVERS, slots=_SLOTS, accounts=accounts
        ),
        [f'router-{index}' for index in range(_INSTANCES)],
        **dispatch,
    )
    counts = _drive(network, list(accounts), seconds)
    return _report(network, counts, seconds)


def _drive(
    network: _Counted, accounts: list[str], seconds: float
) -> dict[str, float]:
    source = random.Random(1)
    finished = [0]

    def call(account: str, entry: str, pause: float) -> None:
        scheduler = network.instances[entry].scheduler
        gevent.sleep(source.uniform(0, pause))
        while True:
            ticket = dispatching.build_ticket(
                'pool', account, estimate=_CHUNKS * _CHUNK_TOKENS
            )
            lease = scheduler.acquire(ticket)
            for _ in range(_CHUNKS):
                gevent.sleep(0.1)
                lease.charge(_CHUNK_TOKENS)
            lease.finish(outcomes.Outcome.DONE)
            finished[0] += 1
            gevent.sleep(source.expovariate(1 / pause) if pause else 0)

    entries = list(network.instances)
    callers = []
    for index, account in enumerate(accounts):
        backlogged = index % 10 == 0
        for number in range(len(entries) * _CALLERS if backlogged else 1):
            entry = entries[(index + number) % len(entries)]
            pause = 0.0 if backlogged else _PAUSE_SECONDS
            callers.append(gevent.spawn(call, account, entry, pause))
    gevent.sleep(_WARM_SECONDS)
    network.sent.clear()
    network.bytes.clear()
    before, started = finished[0], time.process_time()
    gevent.sleep(seconds)
    spent = time.process_time() - started
    gevent.killall(callers)
    network.close()
    return {'requests': finished[0] - before, 'seconds': spent}


def _report(
    network: _Counted, counts: dict[str, float], seconds: float
) -> list[slope.Slope]:
    requests = counts['requests']
    messages = sum(network.sent.values())
    sent = sum(network.bytes.values())
    found = [
        slope.Slope('requests', requests / seconds, 'a second, the fleet'),
        slope.Slope('messages', messages / requests, 'a request'),
        slope.Slope('bytes', sent / requests, 'a request'),
        slope.Slope(
            'processor time',
            counts['seconds'] / requests * 1e6,
            'us a request',
            'with callers, encoding and the fake network',
        ),
    ]
    for kind in sorted(network.bytes):
        count = network.sent[kind]
        found.append(slope.Slope(kind, count / requests, 'a request'))
        found.append(
            slope.Slope(kind, network.bytes[kind] / count, 'bytes each')
        )
    return found


def measure_state(seconds: float) -> list[slope.Slope]:
    """Measure memory for an account at a dispatcher and at an entry."""
    before = slope.read_resident_bytes()
    kept = ledger.Ledger(commit_tokens=400.0)
    for index in range(_STANDINGS):
        for entry in ('router-1', 'router-2', 'router-3', 'router-4'):
            kept.charge(
                f'account-{index}',
                entry,
                share=1.0,
                total=10.0,
                base=0.0,
                hint=0.0,
            )
            kept.report(f'account-{index}', entry, running=1, seen=0)
    middle = slope.read_resident_bytes()
    queued = []
    for index in range(_STANDINGS):
        line = lines.Line('pool', f'account-{index}')
        for name in range(8):
            line.told[f'router-{name}'] = lines.Told(0.0)
        queued.append(line)
    after = slope.read_resident_bytes()
    return [
        slope.Slope(
            'account at a dispatcher',
            (middle - before) / _STANDINGS,
            'bytes',
            'reported by four entries',
        ),
        slope.Slope(
            'account at an entry',
            (after - middle) / _STANDINGS,
            'bytes',
            'told to eight homes',
        ),
    ]


def measure_ownership(seconds: float) -> list[slope.Slope]:
    """Measure how long a change of members holds dispatch up.

    A region of the target: 120 members, and all 2,000 servers in it.
    """
    configuration = dispatching.build_document(
        servers=_TARGET_SERVERS, slots=8, accounts={'account-1': 1.0}
    )
    names = [f'router-{index}' for index in range(_REGION_MEMBERS)]
    network = dispatching.Network(configuration, names[:1], manual=True)
    for name in names[1:]:
        network.roster.set_state(name, members.MemberState.ALIVE)
    owned = network.instances[names[0]].ownership
    owned._document = None
    whole = _time_refresh(network, owned)
    network.roster.set_state(names[-1], members.MemberState.DEAD)
    loss = _time_refresh(network, owned)
    network.roster.set_state(names[-1], members.MemberState.ALIVE)
    gain = _time_refresh(network, owned)
    network.close()
    return [
        slope.Slope('all owners', whole, 'ms', '2,000 servers, 120 members'),
        slope.Slope('a member dies', loss, 'ms'),
        slope.Slope('a member comes', gain, 'ms'),
    ]


def _time_refresh(network: dispatching.Network, owned: object) -> float:
    network.roster.generation += 1
    started = time.process_time()
    owned.refresh()
    return (time.process_time() - started) * 1e3
