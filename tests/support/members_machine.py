"""Hypothesis state machine for the membership of a small fleet."""

import itertools
import typing

from hypothesis import stateful
from hypothesis import strategies

from amaranthslip.members import members
from tests.support import virtual_fleet

_NAMES = ('m0', 'm1', 'm2', 'm3', 'm4')
_HEAL_SECONDS = 150.0
_INDEX = strategies.integers(0, len(_NAMES) - 1)


class StaleList:
    """The platform's list with all names, including stopped instances.

    Parameters
    ----------
    names : sequence of str
        Names of the listed members.
    """

    def __init__(self, names: typing.Sequence[str] = _NAMES) -> None:
        self._names = names

    def read(self) -> list[members.Member]:
        return [
            members.Member(
                name=name,
                incarnation=0,
                address=f'127.0.0.1:{7000 + int(name[1:])}',
                failure_domain='poa-a',
                region='rs-sul',
            )
            for name in self._names
        ]


class MembersMachine(stateful.RuleBasedStateMachine):
    """Instances start, stop, pause, leave and are partitioned at random.

    Oracle: after the faults end, each running instance lists exactly the
    running instances that did not leave as live. Incarnations never decrease
    in any roster; `MonotonicRoster` fails as soon as one does.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = virtual_fleet.Network(seed=1)
        self.seeds = itertools.count(1)
        self.leaving: set[str] = set()
        for name in _NAMES:
            self._start(name, 0.0)

    def _start(self, name: str, clock_back_seconds: float) -> None:
        self.leaving.discard(name)
        virtual_fleet.VirtualMember(
            self.network,
            name,
            seed=next(self.seeds),
            clock_back_seconds=clock_back_seconds,
            instance_list=StaleList(),
        )

    @stateful.rule(seconds=strategies.sampled_from([0.3, 1.0, 4.0, 12.0]))
    def wait(self, seconds):
        self.network.advance(seconds)

    @stateful.rule(index=_INDEX)
    def stop(self, index):
        if _NAMES[index] in self.network.running:
            self.network.running[_NAMES[index]].stop()

    @stateful.rule(
        index=_INDEX, back=strategies.sampled_from([0.0, 0.0, 3600.0])
    )
    def restart(self, index, back):
        self.stop(index)
        self._start(_NAMES[index], back)

    @stateful.rule(index=_INDEX)
    def leave(self, index):
        name = _NAMES[index]
        member = self.network.running.get(name)
        if member is not None and not member.clock.paused:
            member.detector.leave()
            self.leaving.add(name)

    @stateful.rule(index=_INDEX, seconds=strategies.sampled_from([2.0, 9.0]))
    def sleep(self, index, seconds):
        member = self.network.running.get(_NAMES[index])
        if member is not None:
            member.pause()
            self.network.advance(seconds)
            member.resume()

    @stateful.rule(index=_INDEX)
    def pause(self, index):
        if _NAMES[index] in self.network.running:
            self.network.running[_NAMES[index]].pause()

    @stateful.rule(first=_INDEX, second=_INDEX)
    def cut_one_way(self, first, second):
        self.network.cut({(_NAMES[first], _NAMES[second])})

    @stateful.rule(mask=strategies.integers(1, 2 ** (len(_NAMES) - 1) - 1))
    def partition(self, mask):
        side = {n for i, n in enumerate(_NAMES) if mask >> i & 1}
        pairs = itertools.permutations(_NAMES, 2)
        self.network.cut(
            pair for pair in pairs if (pair[0] in side) != (pair[1] in side)
        )

    @stateful.rule(loss=strategies.sampled_from([0.1, 0.4]))
    def lose(self, loss):
        self.network.loss = loss

    @stateful.rule(delay=strategies.sampled_from([0.1, 0.4]))
    def slow(self, delay):
        self.network.delay = delay

    @stateful.rule()
    def heal(self):
        """End all faults, then check the live members of each instance."""
        self.network.heal()
        for member in list(self.network.running.values()):
            if member.clock.paused:
                member.resume()
        self.network.advance(_HEAL_SECONDS)
        expected = sorted(set(self.network.running) - self.leaving)
        for member in self.network.running.values():
            live = [n for n in expected if n != member.name]
            found = [n for n in member.read_live() if n != member.name]
            assert found == live, (member.name, found, live)
            states = member.read_states().values()
            assert members.MemberState.SUSPECT not in states

    def teardown(self):
        self.heal()
        for member in list(self.network.running.values()):
            member.stop()
