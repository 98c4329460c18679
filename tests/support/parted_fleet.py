"""Instances that are out of step while engines of a new version join.

On one virtual clock, in steps of a tenth of a second. Each instance applies
the store's list at times of its own, so that it believes one that is up to two
seconds old. Some are cut off from others, one way or both, from the store or
not, or stand still, around the moment at which the new version joins. Callers
take streams up at any instance, with or without the attempt that began them.
"""

import random

from tests.support import stream_fleet

STEP_SECONDS = 0.1
_SECONDS = 24.0
# Seconds after which an instance takes one that it can't reach for dead.
_SUSPECT_SECONDS = 2.0
_MAX_LIST_AGE_SECONDS = 1.5
_MAX_STREAM_SECONDS = 8.0


class Instance(stream_fleet.Instance):
    """One process, which syncs with the store and its peers at its times."""

    def __init__(self, fleet, name):
        self.inbox = []
        self.next_sync_at = 0.0
        super().__init__(fleet, name, first_of_fleet=True)

    def sync(self):
        """Apply the store's list of servers; draw the time of the next."""
        self.apply_store()
        self.next_sync_at = self._fleet.now + self._fleet.random.uniform(
            STEP_SECONDS, _MAX_LIST_AGE_SECONDS
        )

    def send(self, name, message):
        return self._fleet.carry(self.name, name, message)


class Stream(stream_fleet.Stream):
    """A stream, its request, and whether its caller names the attempt."""

    def __init__(self, request_key, *arguments, **options):
        super().__init__(*arguments, **options)
        self.request_key = request_key


class Fleet(stream_fleet.Fleet):
    """A fleet of which some instances are out of step during a rollout.

    Parameters
    ----------
    seed : int
        Determines the history.
    parted : bool
        Whether some instances are out of step at all.
    equal_fraction : float
        Fraction of the requests that equal an earlier one.
    """

    def __init__(self, seed, *, parted=True, equal_fraction=0.0):
        self._parted = parted
        self._equal_fraction = equal_fraction
        self._out_of_step = []
        self.cuts = {}
        self.storeless = set()
        self._requests = 0
        super().__init__(seed, random.Random(seed).randint(2, 20))
        self._joins_at = self.random.uniform(4.0, 8.0)

    def build_instance(self, name):
        return Instance(self, name)

    def list_present(self):
        return self.names

    def carry(self, sender, receiver, message):
        """Deliver a message at once, late or not at all."""
        if (sender, receiver) in self.cuts:
            return True
        instance = self.running[receiver]
        if receiver in self.frozen:
            instance.inbox.append((sender, message))
        else:
            instance.versions.receive(sender, message)
        return True

    def play(self):
        """Play the whole history; return it."""
        self._plan_troubles()
        for _ in range(round(_SECONDS / STEP_SECONDS)):
            self.now = round(self.now + STEP_SECONDS, 3)
            self._change()
            self.sync()
            if self.random.random() < 0.5:
                self._begin_stream()
            self._take_streams_up()
        return self

    def _plan_troubles(self):
        """Draw who is out of step, how, and when, as (time, action)."""
        self._plans = 3 * [(self._joins_at, self.replace_engine)]
        for number in range(1, self.random.randrange(2, 7)):
            at = self._joins_at + number * self.random.uniform(0.5, 2.0)
            self._plans.append((at, self.replace_engine))
        if self._parted:
            self._plan_parting()
        self._plans.sort(key=lambda each: each[0])

    def _plan_parting(self):
        count = self.random.randint(1, max(1, len(self.names) // 2))
        self._out_of_step = self.random.sample(self.names, count)
        for name in self._out_of_step:
            begin = self._joins_at + self.random.uniform(-3.0, 3.0)
            end = begin + self.random.uniform(0.3, 6.0)
            if self.random.random() < 0.2:
                self._plans.append((begin, self._stop, name))
                self._plans.append((end, self._wake, name))
                continue
            others = [each for each in self.names if each != name]
            if self.random.random() < 0.5:
                others = self.random.sample(
                    others, self.random.randint(1, len(others))
                )
            pairs = self._draw_pairs(name, others)
            keeps_store = self.random.random() < 0.4
            self._plans.append((begin, self._cut, name, pairs, keeps_store))
            self._plans.append((end, self._heal, name, pairs))

    def _draw_pairs(self, name, others):
        way = self.random.choice(('both', 'in', 'out'))
        pairs = []
        for other in others:
            if way != 'in':
                pairs.append((name, other))
            if way != 'out':
                pairs.append((other, name))
        return pairs

    def _stop(self, name):
        self.frozen.add(name)

    def _wake(self, name):
        self.frozen.discard(name)
        instance = self.running[name]
        waiting, instance.inbox = instance.inbox, []
        for sender, message in waiting:
            instance.versions.receive(sender, message)

    def _cut(self, name, pairs, keeps_store):
        for pair in pairs:
            self.cuts.setdefault(pair, self.now)
        if not keeps_store:
            self.storeless.add(name)

    def _heal(self, name, pairs):
        for pair in pairs:
            self.cuts.pop(pair, None)
        self.storeless.discard(name)

    def _change(self):
        while self._plans and self._plans[0][0] <= self.now:
            _, action, *arguments = self._plans.pop(0)
            action(*arguments)

    def sync(self):
        """Let instances apply the store's entries, and judge their peers."""
        for name, instance in self.running.items():
            if name in self.frozen:
                continue
            if name not in self.storeless and (
                self.now >= instance.next_sync_at
            ):
                instance.sync()
            instance.tell_requests()
            for other in self.names:
                if other != name:
                    self._judge(instance, other)

    def _judge(self, instance, other):
        pairs = ((instance.name, other), (other, instance.name))
        cut_at = min((self.cuts.get(each, self.now) for each in pairs))
        if self.now - cut_at > _SUSPECT_SECONDS:
            instance.roster.remove(other)
        else:
            instance.roster.put(stream_fleet.build_member(other))

    def _begin_stream(self):
        name = self.random.choice(self.names)
        if name in self.frozen:
            return
        server = self.draw_server(name)
        if server is None or server.name not in self.engines:
            return
        self._requests += 1
        number = self._requests
        if self.random.random() < self._equal_fraction:
            number = self.random.randint(max(1, number - 10), number)
        stream = Stream(
            f'request:{number}',
            f'attempt-{self._requests}',
            server.software_version,
            self.now,
            in_touch=True,
        )
        self.running[name].versions.note_begun(
            stream.attempt,
            stream_fleet.SERVICE,
            stream.version,
            request_key=stream.request_key,
        )
        self.streams.append(stream)

    def _take_streams_up(self):
        self.streams = [
            each
            for each in self.streams
            if self.now - each.began_at <= _MAX_STREAM_SECONDS
        ]
        for stream in self.streams:
            if self.random.random() < 0.05:
                self._take_up(stream)

    def _take_up(self, stream):
        # Half of them at instances that are out of step at some time.
        name = self.random.choice(self.names)
        if self._out_of_step and self.random.random() < 0.5:
            name = self.random.choice(self._out_of_step)
        if name in self.frozen:
            return
        attempt = stream.attempt if self.random.random() < 0.3 else ''
        record = self.running[name].versions.find(
            attempt, stream_fleet.SERVICE, request_key=stream.request_key
        )
        found = None if record is None else record.software_version
        self.results.append((found, stream.version, self._is_easy(name)))

    def _is_easy(self, name):
        """Return whether the instance can know the version for sure.

        There has been one, and the instance has a list that is recent enough.
        """
        age = self.now - self.running[name].synced_at
        return self.now < self._joins_at and age <= _MAX_LIST_AGE_SECONDS
