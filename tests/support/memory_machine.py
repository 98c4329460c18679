"""A Hypothesis state machine for grants of an engine's memory in a fleet.

The instances are real ones of `bench.patterns`; messages arrive in order, or
are lost with the connection. What the machine assumes:

1. An engine frees a request's memory when its connection ends, and all
   connections of a lost instance end.
2. A new connection begins with the sender's reports, and its peer drops what
   it counted of the sender before.
3. All live instances see a change of the fleet within 0.9 s, the last keeper
   of a server before the new one grants. A partition longer than that is seen
   by both sides, and the bound then holds for what each side placed.
4. What an instance that decides without the exact total does not know of is at
   most a tenth of the memory: a new keeper for a second, a sender whose keeper
   does not answer, and a keeper that does not know yet that it is cut off.
   Such a keeper uses the whole memory, so that as much may be exceeded.
"""

import collections

from hypothesis import stateful
from hypothesis import strategies

from amaranthslip import errors
from amaranthslip.requests import prompts
from amaranthslip.shares import places
from bench import patterns

NAMES = ('one', 'two', 'three', 'four')
MEMORY = patterns.CACHE_TOKENS
_ENGINE = 'engine-0'
# Seconds within which all instances have seen a change of the fleet.
_NOTICE_SECONDS = 0.9
_NAME_STRATEGY = strategies.sampled_from(NAMES)


def build_request(now, tokens):
    """Return a request that holds a number of tokens and may wait long."""
    request = places.PlacementRequest(
        service=patterns.SERVICE,
        client_account='',
        route=patterns.build_route(patterns.KINDS[0]),
        prompt=prompts.Prompt(
            model='m',
            parts=[prompts.PromptPart('own', tokens - 100)],
            prompt_tokens=tokens - 100,
            max_output_tokens=100,
        ),
        arrived=now,
        deadline=now + 1e6,
    )
    request.admitted_before = True
    return request


class MemoryFleet:
    """Instances that place requests at the same engines."""

    def __init__(
        self, names=NAMES, servers=1, *, adaptive='always', incarnation=1
    ):
        self.now = 100.0
        self.adaptive = adaptive
        self.names = list(names)
        self.servers = [
            patterns.build_server(each, incarnation=incarnation)
            for each in range(servers)
        ]
        self.holder = patterns.build_holder()
        self.counts = collections.Counter()
        # Names of the instances whose connections are cut.
        self.cut = set()
        # Instance: what was sent to it while it does not read.
        self.unread = {}
        self.sent = []
        self.instances = {}
        for name in names:
            self.instances[name] = patterns.Instance(self, name)

    def read_clock(self):
        return self.now

    def count(self, name, label, amount=1):
        """Count in place of the metrics."""
        self.counts[name, label] += amount

    def deliver(self, sender, name, message):
        self.sent.append((sender, name, message))
        if sender in self.cut or name in self.cut:
            return
        if name in self.unread:
            self.unread[name].append((sender, message))
        elif name in self.instances and sender in self.instances:
            self.instances[name].keepers.receive(sender, message)

    def connect(self, sender, name):
        """Begin a new connection."""
        target = self.instances[name].keepers
        target.forget_peer(sender)
        for message in self.instances[sender].keepers.grants.greet(name):
            self.deliver(sender, name, message)

    def resume(self, name):
        """Let an instance read what was sent to it."""
        for sender, message in self.unread.pop(name):
            if sender in self.instances and sender not in self.cut:
                self.instances[name].keepers.receive(sender, message)

    def read_roster(self, name):
        return self.instances[name].keepers._roster

    def find_engine(self, name, server=_ENGINE):
        return self.instances[name].placement.engines.get(server)

    def end_takeovers(self):
        """Let all instances have known the servers and the fleet for long."""
        for name in self.instances:
            for engine in self.instances[name].placement.list_engines():
                self.read_kept(name).has_room(engine, 0)
        self.now += 2.0

    def find_keeper(self, name, server=_ENGINE):
        return self.instances[name].keepers.find_keeper(server)

    def read_kept(self, name):
        return self.instances[name].keepers._kept

    def is_exact(self, name):
        """Return whether an instance knows the exact total of the engine."""
        kept = self.read_kept(name)._read_kept(self.find_engine(name))
        return kept.is_exact(self.now)


class MemoryMachine(stateful.RuleBasedStateMachine):
    """Requests at one engine while instances start, are cut off and lost.

    Oracles: no request is placed where the requests of its sender's side
    then exceed the engine's memory. Once all changes are seen, the keeper
    counts exactly what the engine holds.
    """

    def __init__(self):
        super().__init__()
        self.fleet = MemoryFleet(NAMES[:3])
        # The requests in progress, with their instances.
        self.running = []
        # Changes that an instance has not seen: (time, observer, other).
        self.unseen = []
        self.cut_at = 0.0
        self.sides = {}
        self.fleet.end_takeovers()

    def _sum_held(self, name):
        side = self.sides.get(name)
        return sum(
            place.held
            for holder, place in self.running
            if self.sides.get(holder) == side
        )

    def _find_decider(self, name):
        """Return who decides on a request of an instance, and if exactly."""
        fleet = self.fleet
        keeper = fleet.find_keeper(name)
        reachable = (
            keeper in fleet.instances
            and not {keeper, name} & fleet.cut
            and not {keeper, name} & fleet.unread.keys()
            and fleet.instances[name].keepers._silent_until.get(keeper, 0)
            <= fleet.now
        )
        decider = keeper if reachable or keeper == name else name
        return decider, decider == keeper and fleet.is_exact(decider)

    @stateful.rule(
        name=_NAME_STRATEGY,
        tokens=strategies.sampled_from([9190, 24000, 60000, 100000]),
    )
    def place(self, name, tokens):
        if name not in self.fleet.instances:
            return
        decider, exact = self._find_decider(name)
        engine = self.fleet.find_engine(decider)
        missing = self._sum_held(name) - engine.total_held_tokens
        is_unaware = bool(self.fleet.cut or self.fleet.unread)
        if (is_unaware or not exact) and missing > MEMORY / 10:
            return
        keepers = self.fleet.instances[name].keepers
        request = build_request(self.fleet.now, tokens)
        try:
            self.running.append((name, keepers.reserve(request)))
        except errors.RequestRefused as refusal:
            assert refusal.reason == 'no_memory', refusal
            return
        total = self._sum_held(name)
        limit = MEMORY * (1.1 if is_unaware else 1.0)
        assert total <= limit, (name, decider, exact, total)

    @stateful.rule(name=_NAME_STRATEGY)
    def place_many(self, name):
        for _ in range(5):
            self.place(name, 24000)

    @stateful.rule(
        number=strategies.integers(0, 30), good=strategies.booleans()
    )
    def end(self, number, good):
        if self.running:
            _, place = self.running.pop(number % len(self.running))
            (place.succeed if good else place.cancel)()

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.3, 0.6, 1.2]))
    def wait(self, seconds):
        """Let time pass; what is due is seen."""
        for _ in range(round(seconds / 0.1)):
            self.fleet.now += 0.1
            if self.fleet.cut and self.fleet.now - self.cut_at > (
                _NOTICE_SECONDS
            ):
                self._see_partition()
            for change in list(self.unseen):
                if self.fleet.now - change[0] >= _NOTICE_SECONDS - 0.1:
                    self._see(change)
            for name in self._list_reading():
                self.fleet.instances[name].keepers.grants.report_changes()

    def _list_reading(self):
        fleet = self.fleet
        return [each for each in fleet.instances if each not in fleet.unread]

    @stateful.rule(name=_NAME_STRATEGY)
    def see(self, name):
        for change in [each for each in self.unseen if each[1] == name]:
            self._see(change)

    def _see(self, change):
        self.unseen.remove(change)
        _, name, other = change
        if name not in self.fleet.instances:
            return
        roster = self.fleet.read_roster(name)
        if other in self.fleet.instances:
            roster.put(patterns.build_member(other))
        else:
            roster.remove(other)

    def _is_stable(self):
        return not (self.fleet.cut or self.fleet.unread or self.unseen)

    @stateful.rule(name=_NAME_STRATEGY)
    def lose(self, name):
        if not self._is_stable() or len(self.fleet.instances) < 2:
            return
        if name not in self.fleet.instances:
            return
        del self.fleet.instances[name]
        self.running = [each for each in self.running if each[0] != name]
        for other in self.fleet.instances:
            self.unseen.append((self.fleet.now, other, name))

    @stateful.rule(name=_NAME_STRATEGY)
    def start(self, name):
        fleet = self.fleet
        if name in fleet.instances or not self._is_stable():
            return
        old_keeper = fleet.find_keeper(next(iter(fleet.instances)))
        fleet.names = [*fleet.instances, name]
        fleet.instances[name] = patterns.Instance(fleet, name)
        fleet.instances[name].placement.list_engines()
        for other in fleet.names[:-1]:
            self.unseen.append((fleet.now, other, name))
        self.see(old_keeper)
        for other in fleet.names[:-1]:
            fleet.connect(name, other)
            fleet.connect(other, name)

    @stateful.rule(name=_NAME_STRATEGY)
    def stop_reading(self, name):
        if name in self.fleet.instances and self._is_stable():
            self.fleet.unread[name] = []

    @stateful.rule()
    def resume_reading(self):
        for name in list(self.fleet.unread):
            self.fleet.resume(name)

    @stateful.rule(name=_NAME_STRATEGY)
    def cut_off(self, name):
        if name in self.fleet.instances and self._is_stable():
            self.fleet.cut.add(name)
            self.cut_at = self.fleet.now

    def _see_partition(self):
        for name in self.fleet.cut:
            self.sides[name] = 'cut'
            for other in self.fleet.instances:
                if other != name:
                    self.fleet.read_roster(name).remove(other)
                    self.fleet.read_roster(other).remove(name)

    @stateful.rule()
    def heal(self):
        fleet = self.fleet
        cut, fleet.cut = fleet.cut, set()
        self.sides.clear()
        for name in cut:
            for other in fleet.instances:
                if other == name:
                    continue
                fleet.read_roster(name).put(patterns.build_member(other))
                fleet.read_roster(other).put(patterns.build_member(name))
        for name in cut:
            for other in fleet.instances:
                if other != name:
                    fleet.connect(name, other)
                    fleet.connect(other, name)
        for instance in fleet.instances.values():
            instance.keepers.grants.report_changes()

    @stateful.rule()
    def settle(self):
        """Let all changes be seen, and all reports arrive."""
        self.resume_reading()
        self.heal()
        self.wait(2.4)
        self.fleet.end_takeovers()
        keeper = self.fleet.find_keeper(next(iter(self.fleet.instances)))
        assert self.fleet.is_exact(keeper)
        self.fleet.read_kept(keeper).drop_expired(0.0)
        counted = self.fleet.find_engine(keeper).total_held_tokens
        held = self._sum_held(keeper)
        assert counted == held, (keeper, counted, held)
