"""Random histories of a fleet whose engines crash under one part of prompts.

    python -m bench.part_histories --seeds 40

Plays several ways to find the part, in virtual time: instances with the real
evidence, exchange and store entries; links with delays and partitions; engines
that end for this reason and for others; instances that restart; a store that
is down or restored from a copy. Prints, for each way, what the worst history
and all of them together gave.
"""

import argparse
import collections
import heapq
import itertools
import random

from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import registry
from amaranthslip.members import members
from amaranthslip.members import roster
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined_parts
from amaranthslip.requests import fingerprints
from amaranthslip.requests import part_causes
from amaranthslip.requests import part_crashes
from amaranthslip.requests import part_exchange
from amaranthslip.requests import part_trials
from amaranthslip.requests import suspects
from amaranthslip import settings as settings_module

STABLE_SECONDS = 3.0
CRASHES_BEFORE = 5
MAX_LATE_RUNS = 3
_DEADLY = 'dead'
_SETTINGS = {
    'instance': {'name': 'm0', 'failure_domain': 'a', 'region': 'r'},
    'addresses': {
        'callers': '127.0.0.1:0',
        'operators': '127.0.0.1:0',
        'peers': '127.0.0.1:0',
    },
    'platform': {'key_value': 'http://127.0.0.1:1'},
}
_ACCOUNTS = ('a', 'b', 'c', 'd')
# The account that puts a part of another one beside a deadly one.
_ABUSER, _VICTIM_PART = 'd', 'victim'
_ENGINE_RESTART_SECONDS = 3.0
_DETECTION_SECONDS = 0.005
_MAX_TRIES = 3
_QUIET_SECONDS = 4.0
_SETTLED_SECONDS = 2 * STABLE_SECONDS


class Whole(suspects.Suspects):
    """Requests are only compared as a whole: no part is refused."""

    __slots__ = ()

    def _find_suspicions(self):
        return []


class EachPart(suspects.Suspects):
    """Refuses each part that was present at three crashes."""

    __slots__ = ()

    def _find_suspicions(self):
        return [
            part_causes.Suspicion(digest, None)
            for digest, record in self._records.items()
            if len(record.server_crashes) >= part_causes.CRASH_LIMIT
        ]


class Blame(EachPart):
    """As `EachPart`, and completed answers clear no part."""

    __slots__ = ()

    def is_cleared(self, digest, crashed_at):
        return False


class Common(suspects.Suspects):
    """Refuses the parts that were present at the latest three crashes."""

    __slots__ = ()

    def _find_suspicions(self):
        crashes = sorted(
            {
                crash
                for record in self._records.values()
                for crash in record.server_crashes
            },
            key=lambda each: each.crashed_at,
        )[-part_causes.CRASH_LIMIT :]
        if len(crashes) < part_causes.CRASH_LIMIT:
            return []
        return [
            part_causes.Suspicion(digest, None)
            for digest, record in self._records.items()
            if record.server_crashes.issuperset(crashes)
        ]


WAYS = {
    'whole requests': Whole,
    'each part at three crashes, never cleared': Blame,
    'each part at three crashes': EachPart,
    'parts common to the latest three': Common,
    'best explanation': suspects.Suspects,
}


class FakeMetrics:
    """Discards all counts."""

    def count(self, name, label, amount=1):
        pass


class Store:
    """A key-value store in memory that can be down, copied and restored."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.down = False
        self._copy = {}

    def grant(self, seconds):
        self._check()
        return 1

    def put(self, key, value, *, lease):
        self._check()
        self.revision += 1
        self.entries[key] = keyvalue.Entry(key, value, self.revision)

    def swap(self, key, value, *, expected, lease):
        self._check()
        known = self.entries.get(key)
        if known is None or known.revision != expected:
            return None
        self.put(key, value, lease=lease)
        return self.revision

    def get(self, key):
        self._check()
        return self.entries.get(key)

    def delete(self, key, *, expected):
        self._check()
        entry = self.entries.get(key)
        if entry is not None and entry.revision == expected:
            self.revision += 1
            del self.entries[key]

    def take_copy(self):
        self._copy = dict(self.entries)

    def restore(self):
        self.entries = dict(self._copy)

    def _check(self):
        if self.down:
            raise errors.PlatformUnavailable('the store is down')


class Instance:
    """The evidence of one instance, empty as after a start."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        self.suspects = fleet.way(clock=lambda: fleet.now)
        settings = settings_module.check_settings(_SETTINGS)
        self.stored = quarantined_parts.StoredParts(
            settings, fleet.store, self.suspects
        )
        self.exchange = part_exchange.PartExchange(
            build_roster(name, fleet.names),
            self,
            self.suspects,
            self.stored,
            part_trials.PartTrials(self.stored, self.suspects.read_clock),
            FakeMetrics(),
        )

    def send(self, name, message):
        self._fleet.send_message(self.name, name, message)
        return True

    def admits(self, sent_parts):
        try:
            return self.exchange.check(sent_parts) or True
        except errors.RequestRefused:
            return False

    def synchronize(self, *, restored=False):
        """Write what is queued, and read all entries, unless it is cut."""
        if self._fleet.store.down or self.name in self._fleet.storeless:
            return
        self.stored._write_pending()
        self.stored.replace_entries(
            self._fleet.store.entries.values(), restored=restored
        )


def build_roster(own_name, names):
    """Return the roster of an instance that knows all others as alive."""
    found = roster.Roster(build_member(own_name))
    for name in names:
        if name != own_name:
            found.put(build_member(name))
    return found


def build_member(name):
    return members.Member(
        name=name,
        incarnation=1,
        address='127.0.0.1:7000',
        failure_domain='a',
        region='r',
    )


class Request:
    """One request, and how it ended."""

    __slots__ = ('parts', 'account', 'sent', 'at', 'tries', 'status')

    def __init__(self, account, parts, at):
        self.account = account
        self.parts = parts
        self.sent = part_crashes.SentParts(
            fingerprints.compute_account_digest(account),
            fingerprints.compute_part_digests('s', parts),
        )
        self.at = at
        self.tries = 0
        self.status = ''

    @property
    def deadly(self):
        return _DEADLY in self.parts


class Engine:
    """An engine and the requests that it runs."""

    __slots__ = ('name', 'up', 'starts', 'running')

    def __init__(self, name):
        self.name = name
        self.up = True
        self.starts = 1
        # The request and the instance of each run, and when it was sent.
        self.running = {}


class Fleet:
    """One random history.

    Parameters
    ----------
    way : type
        The class that keeps the evidence.
    seed : int
        Determines the history.
    loss : float
        Share of the messages between instances that are lost.
    """

    def __init__(self, way, seed, *, loss=0.0):
        registry.register_all()
        self.way = way
        self.now = 100.0
        self.random = random.Random(seed)
        # Apart, so that a history is the same with and without losses.
        self._loss = loss
        self._loss_random = random.Random(-seed)
        self.store = Store()
        self.names = [f'm{n}' for n in range(self.random.choice([3, 6, 12]))]
        # Instances that reach no other one; those that don't reach the store.
        self.cut = set()
        self.storeless = set()
        self.disturbed_at = dict.fromkeys(self.names, float('-inf'))
        self.store_disturbed_at = float('-inf')
        self.running = {name: Instance(self, name) for name in self.names}
        self.engines = [
            Engine(f'e{n}') for n in range(self.random.choice([6, 9, 16]))
        ]
        self.requests = []
        self.deadly_runs = []
        self.crashes = []
        self._events = []
        self._order = itertools.count()
        self._runs = itertools.count()
        self._extra = [f'x{n}' for n in range(self.random.choice([0, 2, 4]))]
        self._place = self.random.randrange(3)
        self._accounts = self.random.sample(
            _ACCOUNTS[:3], self.random.choice([1, 2, 3])
        )

    def play(self, seconds=40.0):
        """Play the history; return it."""
        self._schedule_all(self.now + seconds)
        self.run_for(seconds)
        return self

    def run_for(self, seconds):
        """Let time pass, with all that is scheduled."""
        until = self.now + seconds
        while self._events and self._events[0][0] < until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def after(self, seconds, action, *arguments):
        heapq.heappush(
            self._events,
            (self.now + seconds, next(self._order), action, arguments),
        )

    def _schedule_all(self, until):
        rng = self.random
        span = until - self.now
        for at in _draw_times(rng, rng.choice([15, 40]), span):
            self.after(at, self._begin, self._build_sound)
        rate = rng.choice([0.5, 1.5, 4, 10])
        for at in _draw_times(rng, rate, span):
            if at > _QUIET_SECONDS:
                self.after(at, self._begin, self._build_deadly)
        for at in _draw_times(rng, 0.5, span):
            self.after(at, self._begin, self._build_abusive)
        for at in _draw_times(rng, 1.0, span):
            self.after(at, self._begin, self._build_victim)
        for at in _draw_times(rng, 5.0, span):
            self.after(at, self._synchronize)
        for _ in range(rng.choice([0, 2, 4])):
            self.after(rng.uniform(1, span), self._end_engines)
        for _ in range(rng.choice([0, 2])):
            self.after(rng.uniform(4, span), self._restart_some)
        for _ in range(rng.choice([0, 2])):
            self.after(rng.uniform(4, span), self._partition)
        if rng.random() < 0.5:
            self.after(rng.uniform(4, span), self._fail_store)

    def _build_sound(self):
        rng = self.random
        subject = f's{rng.randrange(12)}-{int(self.now) // 10}'
        return rng.choice(_ACCOUNTS), ['system', 'tools', subject, 'own']

    def _build_deadly(self):
        rng = self.random
        parts = ['system', 'tools', *rng.sample(self._extra, len(self._extra))]
        parts = parts[: 2 + rng.randrange(len(self._extra) + 1)]
        parts.insert(min(self._place, len(parts)), _DEADLY)
        return rng.choice(self._accounts), [*parts, 'own']

    def _build_abusive(self):
        # Each one crashes its engine by a part of its own.
        made_up = f'{_DEADLY}-{next(self._order)}'
        return _ABUSER, ['system', _VICTIM_PART, made_up, 'own']

    def _build_victim(self):
        return 'a', ['system', _VICTIM_PART, 'own']

    def _begin(self, build):
        account, parts = build()
        request = Request(account, parts, self.now)
        self.requests.append(request)
        name = self.random.choice(self.names)
        if not self.running[name].admits(request.sent):
            request.status = 'refused'
            return
        self._try(request, name)

    def _try(self, request, name):
        up = [each for each in self.engines if each.up]
        if not up:
            request.status = request.status or 'no engine'
            return
        engine = self.random.choice(up)
        request.tries += 1
        request.sent.sent_at = self.now
        if request.deadly:
            self.deadly_runs.append((self.now, name, self.is_in_touch(name)))
        run = next(self._runs)
        engine.running[run] = (request, name, self.now)
        if any(each.startswith(_DEADLY) for each in request.parts):
            # It waits in the engine's queue before it begins.
            wait = self.random.choice([0.1, 0.3, 1.0])
            self.after(wait, self._crash, engine, engine.starts, request)
        else:
            seconds = self.random.choice([0.4, 1.0, 3.0])
            self.after(seconds, self._complete, engine, run)

    def _complete(self, engine, run):
        if run not in engine.running:
            return
        request, name, _ = engine.running.pop(run)
        request.status = request.status or 'served'
        self.running[name].exchange.complete(request.sent)

    def _crash(self, engine, starts, request=None):
        if not engine.up or engine.starts != starts:
            return
        if request is not None and request.deadly:
            self.crashes.append(self.now)
        engine.up = False
        running, engine.running = engine.running, {}
        for each, name, sent_at in running.values():
            each.status = each.status or 'cut'
            self.after(
                _DETECTION_SECONDS,
                self._report,
                each,
                name,
                engine.name,
                engine.starts,
                self.now,
                sent_at,
                self.running[name],
            )
        engine.starts += 1
        self.after(_ENGINE_RESTART_SECONDS, setattr, engine, 'up', True)

    def _report(self, request, name, server, starts, at, sent_at, instance):
        if self.running[name] is not instance:
            # It was killed with the request.
            return
        instance.exchange.report(
            request.sent, server, starts, crashed_at=at, sent_at=sent_at
        )
        if request.tries >= _MAX_TRIES:
            return
        if instance.exchange.is_quarantined(request.sent):
            return
        if instance.exchange.is_suspected(request.sent):
            return
        self._try(request, name)

    def send_message(self, sender, name, message):
        if self._loss_random.random() < self._loss:
            return
        self.after(
            self.random.uniform(0.002, 0.1),
            self._deliver,
            sender,
            name,
            codec.encode([message]),
        )

    def _deliver(self, sender, name, data):
        if {sender, name} & self.cut:
            return
        (message,) = codec.decode(data)
        self.running[name].exchange.receive(sender, message)

    def _connect(self, name):
        for other in self.names:
            if other == name:
                continue
            for sender, receiver in ((name, other), (other, name)):
                for each in self.running[sender].exchange.greet(receiver):
                    self.send_message(sender, receiver, each)

    def _synchronize(self):
        for instance in self.running.values():
            instance.synchronize()

    def _end_engines(self):
        """End a third of the engines at the same moment."""
        up = [each for each in self.engines if each.up]
        for engine in self.random.sample(up, len(up) // 3):
            self._crash(engine, engine.starts)

    def _restart_some(self):
        for name in self.random.sample(self.names, len(self.names) // 3):
            self.running[name] = Instance(self, name)
            self.disturbed_at[name] = self.now
            self.running[name].synchronize()
            self._connect(name)

    def _partition(self):
        count = self.random.choice([1, len(self.names) // 2])
        cut = set(self.random.sample(self.names, count))
        # Some keep their way to the store.
        storeless = {each for each in cut if self.random.random() < 0.5}
        self.cut |= cut
        self.storeless |= storeless
        self.after(self.random.uniform(1, 8), self._heal, cut, storeless)

    def _heal(self, cut, storeless):
        self.cut -= cut
        self.storeless -= storeless
        for name in cut:
            self.disturbed_at[name] = self.now
            self._connect(name)

    def _fail_store(self):
        self.store.take_copy()
        self.store.down = True
        restored = self.random.random() < 0.5
        self.after(self.random.uniform(1, 6), self._return_store, restored)

    def _return_store(self, restored):
        self.store.down = False
        self.store_disturbed_at = self.now
        if restored:
            self.store.restore()
        for instance in self.running.values():
            instance.synchronize(restored=restored)

    def is_in_touch(self, name):
        """Return whether the rules with a time bound hold for an instance."""
        since = self.now - STABLE_SECONDS
        return not (
            self.store.down
            or name in self.storeless
            or self.store_disturbed_at > since
            or self.disturbed_at[name] > since
        )

    def count_late_runs(self):
        """Return how often the part reached engines beyond its time."""
        if len(self.crashes) < CRASHES_BEFORE:
            return 0
        late_from = self.crashes[CRASHES_BEFORE - 1] + STABLE_SECONDS
        return sum(
            at > late_from and in_touch for at, _, in_touch in self.deadly_runs
        )

    def count_sound(self):
        """Count sound requests by their ends, once the part is known."""
        if not self.crashes:
            return collections.Counter()
        known = self.crashes[:CRASHES_BEFORE][-1] + _SETTLED_SECONDS
        return collections.Counter(
            each.status
            for each in self.requests
            if each.at > known
            and each.status
            and not any(part.startswith(_DEADLY) for part in each.parts)
        )

    def count_victims(self):
        """Count the requests with the part that the abuser adds to its own."""
        return collections.Counter(
            each.status
            for each in self.requests
            if _VICTIM_PART in each.parts and each.account != _ABUSER
        )


def _draw_times(rng, rate, span):
    at = rng.expovariate(rate)
    while at < span:
        yield at
        at += rng.expovariate(rate)


def play_all(way, seeds, *, loss=0.0):
    """Play the histories of some seeds one after the other."""
    return [Fleet(way, seed, loss=loss).play() for seed in seeds]


def main():
    """Print one line for each way."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=40)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    print(
        'way | histories beyond 3 | late runs, worst | crashes, mean |', end=''
    )
    print(' sound refused | sound cut | victims refused')
    for title, way in WAYS.items():
        fleets = play_all(way, seeds)
        late = [each.count_late_runs() for each in fleets]
        sound = sum(
            (each.count_sound() for each in fleets),
            start=collections.Counter(),
        )
        victims = sum(
            (each.count_victims() for each in fleets),
            start=collections.Counter(),
        )
        beyond = [
            seed for seed, count in zip(seeds, late) if count > MAX_LATE_RUNS
        ]
        crashes = sum(len(each.crashes) for each in fleets) / len(fleets)
        print(
            f'{title} | {len(beyond)} of {len(fleets)} | {max(late)} |'
            f' {crashes:.1f} |'
            f' {sound["refused"] / max(1, sound.total()):.4f} |'
            f' {sound["cut"] / max(1, sound.total()):.3f} |'
            f' {victims["refused"]} of {victims.total()}'
        )
        if way is suspects.Suspects and beyond:
            print(f'  seeds beyond: {beyond}')


if __name__ == '__main__':
    main()
