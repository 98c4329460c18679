"""Steps for membership and rendezvous hashing."""

import itertools
import json
import random
import signal
import subprocess
import sys
import time

import behave
from gevent import subprocess as gevent_subprocess

from amaranthslip.members import members
from amaranthslip.members import rendezvous
from tests.support import link_pair
from tests.support import live_fleet
from tests.support import machines
from tests.support import members_machine
from tests.support import virtual_fleet

# Longest pause of a member in a run with pauses.
_MAX_PAUSE_SECONDS = 6


def _open(context, count, *, forwarded=True):
    names = [f'm{index}' for index in range(count)]
    context.fleet = live_fleet.LiveFleet(names, forwarded=forwarded)
    context.add_cleanup(context.fleet.stack.close)
    context.fleet_names = set(names)


def _wait_agreement(context, names):
    fleet = context.fleet
    link_pair.wait_for(
        lambda: fleet.agrees(names), f'{sorted(names)} to agree'
    )


def _read_deaths(context):
    return {
        observed.name
        for member in context.fleet.members.values()
        for observed in member.roster
        if observed.state is members.MemberState.DEAD
    }


@behave.given('a fleet of {count:d} members that agree')
def open_fleet(context, count):
    _open(context, count)
    context.fleet.start()
    _wait_agreement(context, context.fleet_names)


@behave.given('a fleet of {count:d} members that agree without forwarders')
def open_plain_fleet(context, count):
    _open(context, count, forwarded=False)
    context.fleet.start()
    _wait_agreement(context, context.fleet_names)


@behave.given(
    'a fleet of {count:d} members whose list also has two removed instances'
)
def open_fleet_with_removed(context, count):
    _open(context, count)
    context.fleet.list_all()
    context.fleet.list.members += [
        live_fleet.build_listed('gone-1', '127.0.0.1:1'),
        live_fleet.build_listed('gone-2', '127.0.0.1:2'),
    ]
    for member in context.fleet.members.values():
        member.detector.start()
    _wait_agreement(context, context.fleet_names)


@behave.given('a member "{name}" in a separate process')
def open_process(context, name):
    command = [sys.executable, '-m', 'tests.support.member_process', name]
    for other, member in context.fleet.members.items():
        command.append(f'{other}={member.links.address}')
    context.process = gevent_subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    context.add_cleanup(_end_process, context.process)
    assert context.process.stdout.readline()
    context.expected_live = context.fleet_names | {name}
    _wait_all_live(context)


def _end_process(process):
    process.kill()
    process.wait()


def _wait_all_live(context):
    link_pair.wait_for(
        lambda: all(
            member.read_live() == context.expected_live
            for member in context.fleet.members.values()
        ),
        'every member to list the process as live',
    )


def _ask_process(context):
    context.process.stdin.write('\n')
    context.process.stdin.flush()
    return json.loads(context.process.stdout.readline())


@behave.when('member "{name}" dies')
def kill_member(context, name):
    context.fleet.members.pop(name).close()


@behave.when(
    'member "{name}" dies and restarts with its clock set back an hour'
)
def restart_member(context, name):
    context.fleet.members.pop(name).close()
    context.fleet.add(name, wall_seconds=time.time() - 3600).detector.start()


@behave.when('member "{name}" announces that it leaves')
def announce_leaving(context, name):
    context.fleet.members[name].detector.leave()


@behave.when('a partition separates "{first}" from "{second}"')
def make_partition(context, first, second):
    sides = set(first.split()), set(second.split())
    context.forwarders = context.fleet.between(*sides)
    for forwarder in context.forwarders:
        forwarder.refuse()
        forwarder.cut()


@behave.when('the partition between members heals')
def heal_partition(context):
    for forwarder in context.forwarders:
        forwarder.heal()


@behave.when(
    'all messages from member "{first}" to member "{second}" are lost'
)
def lose_one_way(context, first, second):
    forwarder = context.fleet.forwarders[first, second]
    forwarder.up.drop = True


@behave.when(
    'all messages to and from member "{name}" are delayed by {seconds:g} s'
)
def slow_member(context, name, seconds):
    for forwarder in context.fleet.between({name}, context.fleet_names):
        forwarder.up.delay_seconds = seconds


@behave.when('each member has sent {count:d} more probes')
def wait_probes(context, count):
    def read(member):
        return member.metrics.read('control_messages', 'Probe')

    before = {
        name: read(member) for name, member in context.fleet.members.items()
    }
    link_pair.wait_for(
        lambda: all(
            read(member) >= before[name] + count
            for name, member in context.fleet.members.items()
        ),
        'each member to send its probes',
    )


@behave.when(
    'the process of member "{name}" is stopped until all members drop it'
)
def stop_process(context, name):
    context.process.send_signal(signal.SIGSTOP)
    link_pair.wait_for(
        lambda: all(
            name not in member.read_live()
            for member in context.fleet.members.values()
        ),
        'every member to drop the stopped process',
    )


@behave.when('the process of member "{name}" resumes')
def continue_process(context, name):
    context.process.send_signal(signal.SIGCONT)


@behave.when('a member "{name}" that is not on the list starts')
def start_unlisted(context, name):
    context.fleet.add(name).detector.start()


@behave.when('the platform\'s list marks member "{name}" as leaving')
def list_leaving(context, name):
    address = context.fleet.members[name].links.address
    context.fleet.list.members = [
        live_fleet.build_listed(
            name, address, state=members.MemberState.LEAVING
        )
    ]
    for member in context.fleet.members.values():
        member.detector.refresh_list()


@behave.then('the members "{names}" agree on one another')
def check_agreement(context, names):
    _wait_agreement(context, set(names.split()))


@behave.then('no member but "{name}" was declared dead')
def check_deaths(context, name):
    assert _read_deaths(context) <= {name}
    counted = sum(m.count('died') for m in context.fleet.members.values())
    most = len(context.fleet.members) if name != 'none' else 0
    assert counted <= most, counted


@behave.then('the other members count one restart of "{name}"')
def check_restart(context, name):
    others = [
        member
        for other, member in context.fleet.members.items()
        if other != name
    ]
    link_pair.wait_for(
        lambda: all(member.count('restarted') for member in others),
        'every other member to count the restart',
    )
    wait_probes(context, 8)
    for member in others:
        assert member.count('restarted') == 1, member.name


@behave.then('every member counts a returned member and no restart')
def check_no_restart(context):
    for member in context.fleet.members.values():
        assert member.count('restarted') == 0
        assert member.count('returned') >= 1


@behave.then('the other members remove "{name}" from their live members')
def check_removed(context, name):
    others = context.fleet_names - {name}
    link_pair.wait_for(
        lambda: all(
            context.fleet.members[other].read_live() == others
            for other in others
        ),
        'the leaving member to be removed from the live members',
    )


@behave.then(
    'member "{name}" stays in the state leaving and is not declared dead'
)
def check_leaving(context, name):
    wait_probes(context, 12)
    assert not _read_deaths(context)
    for other, member in context.fleet.members.items():
        state = member.roster.get(name).state
        assert state is members.MemberState.LEAVING, (other, state)


@behave.then('the members list "{name}" as live again')
def check_live_again(context, name):
    _wait_all_live(context)


@behave.then(
    'the process of "{name}" detected its pause and declared no member dead'
)
def check_pause(context, name):
    link_pair.wait_for(
        lambda: _ask_process(context)['refuted_own'] >= 1,
        'the process to refute its suspicion',
    )
    counts = _ask_process(context)
    assert counts['paused'] >= 1, counts
    assert counts['died'] == 0, counts
    assert set(counts['live']) == context.expected_live, counts
    for member in context.fleet.members.values():
        assert member.count('died') <= 1


@behave.then('no member has the removed instances in its roster')
def check_no_removed(context):
    wait_probes(context, 15)
    for member in context.fleet.members.values():
        names = {observed.name for observed in member.roster}
        assert not names & {'gone-1', 'gone-2'}
        assert member.count('died') == 0


@behave.then('member "{name}" refutes the mark once and all members agree')
def check_refutation(context, name):
    member = context.fleet.members[name]
    first = member.member.incarnation
    link_pair.wait_for(
        lambda: all(
            other.roster.get(name).incarnation > first - 1
            and other.read_live() == context.fleet_names
            for other in context.fleet.members.values()
        ),
        'every member to accept the refutation',
    )
    wait_probes(context, 8)
    raised = member.member.incarnation
    for other in context.fleet.members.values():
        other.detector.refresh_list()
    wait_probes(context, 8)
    assert member.member.incarnation == raised
    assert context.fleet.agrees(context.fleet_names)


@behave.then('each member receives version {version:d} from every other one')
def check_versions(context, version):
    for name, member in context.fleet.members.items():
        others = context.fleet_names - {name}
        link_pair.wait_for(
            lambda: member.versions.keys() >= others,
            'the versions of all other members',
        )
        assert set(member.versions.values()) == {version}


@behave.given(
    'the rendezvous picks of {keys:d} keys among {count:d} member names'
)
def pick_keys(context, keys, count):
    context.picked_names = [f'poa-a-{index}' for index in range(count)]
    context.picks = {
        f'key-{index}': rendezvous.pick(
            f'key-{index}', context.picked_names, 4
        )
        for index in range(keys)
    }


@behave.when('one of the member names is removed')
def remove_name(context):
    context.removed_name = context.picked_names.pop(7)


@behave.then('only the keys of the removed name get a new pick')
def check_moves(context):
    for key, before in context.picks.items():
        after = rendezvous.pick(key, context.picked_names, 4)
        stayed = [name for name in before if name != context.removed_name]
        assert after[: len(stayed)] == stayed


@behave.then('each member name has its share of the keys within a third')
def check_shares(context):
    share = 4 * len(context.picks) / (len(context.picked_names) + 1)
    for name in context.picked_names:
        count = sum(name in picked for picked in context.picks.values())
        assert share * 2 / 3 < count < share * 4 / 3, (name, count)


@behave.given(
    '{count:d} virtual members whose halves were partitioned for {seconds:d} s'
)
def partition_virtual(context, count, seconds):
    context.network = virtual_fleet.Network(seed=1)
    names = [f'm{index}' for index in range(count)]
    listed = members_machine.StaleList()
    for name in names:
        member = virtual_fleet.VirtualMember(
            context.network, name, instance_list=listed
        )
        context.add_cleanup(member.stop)
    context.network.advance(60)
    first = set(names[: count // 2])
    context.network.cut(
        (one, other)
        for one, other in itertools.permutations(names, 2)
        if (one in first) != (other in first)
    )
    context.network.advance(seconds)
    for name, member in context.network.running.items():
        assert (name in first) == (member.read_live() == sorted(first))


@behave.when(
    'the network of the virtual members has been healed for {seconds:d} s'
)
def heal_virtual(context, seconds):
    context.network.heal()
    context.network.advance(seconds)


@behave.then('all {count:d} virtual members agree')
def check_virtual(context, count):
    names = sorted(context.network.running)
    assert len(names) == count
    for member in context.network.running.values():
        assert member.read_live() == names, (member.name, member.read_live())


class HalvesRun:
    """A fleet whose halves are partitioned while messages are lost.

    Parameters
    ----------
    seed : int
        Seed of the network, of the members and of the pauses.
    count : int
        Number of members.
    """

    def __init__(self, seed, *, count):
        self._random = random.Random(seed)
        self._network = virtual_fleet.Network(seed=seed)
        self._names = [f'm{index}' for index in range(count)]
        listed = members_machine.StaleList(self._names)
        for index, name in enumerate(self._names):
            virtual_fleet.VirtualMember(
                self._network,
                name,
                seed=seed * 100 + index,
                instance_list=listed,
            )
        self._network.advance(60)
        self._halves = (
            self._names[: count // 2],
            self._names[count // 2 :],
        )

    def disturb(self, *, loss, seconds, pauses):
        """Partition the halves, and end the loss and the pauses after it."""
        _partition(self._network, *self._halves)
        self._network.loss = loss
        until = self._network.now + seconds
        for _ in range(pauses):
            self._network.advance(self._random.uniform(0, seconds / pauses))
            member = self._network.running[self._random.choice(self._names)]
            if not member.clock.paused:
                member.pause()
                self._network.call_at(
                    self._network.now + self._random.uniform(1, 5),
                    member.resume,
                )
        self._network.advance(until - self._network.now + _MAX_PAUSE_SECONDS)
        self._network.loss = 0.0

    def wait_until_agreed(self, seconds):
        """Wait until each half agrees on itself; return whether it does."""
        until = self._network.now + seconds
        while not self._agrees() and self._network.now < until:
            self._network.advance(1)
        return self._agrees()

    def _agrees(self):
        return all(
            self._network.running[name].read_live() == half
            for half in self._halves
            for name in half
        )

    def close(self):
        for member in list(self._network.running.values()):
            member.stop()


def _partition(network, first, second):
    pairs = list(itertools.product(first, second))
    network.cut(pairs + [(other, one) for one, other in pairs])


@behave.when(
    'the halves of {count:d} virtual members are partitioned with {loss:g} of'
    ' the messages lost for {seconds:d} s and {pauses:d} pauses, for {runs:d}'
    ' seeds from {first:d}'
)
def run_halves(context, count, loss, seconds, pauses, runs, first):
    context.halves_runs = {}
    for seed in range(first, first + runs):
        run = context.halves_runs[seed] = HalvesRun(seed, count=count)
        context.add_cleanup(run.close)
        run.disturb(loss=loss, seconds=seconds, pauses=pauses)


@behave.then('each half agreed on itself within {seconds:d} s for every seed')
def check_halves(context, seconds):
    disagreeing = [
        seed
        for seed, run in context.halves_runs.items()
        if not run.wait_until_agreed(seconds)
    ]
    assert not disagreeing, disagreeing


@behave.given('{count:d} virtual members that agree')
def start_virtual(context, count):
    start_listed(context, count)
    context.network.advance(60)
    check_virtual(context, count)


@behave.when(
    'one of the virtual members dies, and {count:d} others miss the gossip of'
    ' it'
)
def kill_virtual(context, count):
    members_ = list(context.network.running.values())
    context.dead_name = members_[0].name
    members_[0].stop()
    context.network.advance(60)
    for member in members_[1 : count + 1]:
        # As if no message about the death had reached this member.
        member.put_live(context.dead_name)


@behave.then('all virtual members consider it dead within {seconds:d} s')
def check_dead(context, seconds):
    context.network.advance(seconds)
    for member in context.network.running.values():
        assert context.dead_name not in member.read_live(), member.name


@behave.then('no virtual member that runs was declared dead')
def check_running_live(context):
    check_virtual(context, len(context.network.running))


@behave.when(
    'their halves are partitioned for {cut:d} s and rejoin for {healed:d} s'
)
def rejoin_halves(context, cut, healed):
    names = sorted(context.network.running)
    _partition(
        context.network, names[: len(names) // 2], names[len(names) // 2 :]
    )
    context.network.advance(cut)
    context.deaths = _count_deaths(context.network)
    context.network.heal()
    context.network.advance(healed)


def _count_deaths(network):
    return sum(
        each.metrics.read('members', 'died')
        for each in network.running.values()
    )


@behave.then('no virtual member was declared dead after the halves rejoined')
def check_no_death_after(context):
    assert _count_deaths(context.network) == context.deaths


def _pause_suspecting(offset):
    network = virtual_fleet.Network(seed=1)
    names = ('m0', 'm1', 'm2')
    listed = members_machine.StaleList()
    fleet = [
        virtual_fleet.VirtualMember(network, name, instance_list=listed)
        for name in names
    ]
    network.advance(10)
    network.cut({('m0', 'm1'), ('m2', 'm1')})
    suspect = members.MemberState.SUSPECT
    for _ in range(200):
        network.advance(0.05)
        if fleet[0].roster.get('m1').state is suspect:
            break
    assert fleet[0].roster.get('m1').state is suspect
    network.heal()
    network.advance(offset)
    fleet[0].pause()
    network.advance(30)
    fleet[0].resume()
    network.advance(1)
    died = fleet[0].metrics.read('members', 'died')
    for member in fleet:
        member.stop()
    return died


@behave.when(
    'm0 suspects m1 and is paused for 30 s at {count:d} points of its period'
)
def pause_suspecting(context, count):
    context.deaths = [
        _pause_suspecting(offset=index / count) for index in range(count)
    ]


@behave.then('m0 declares m1 dead at none of these points')
def check_no_deaths(context):
    assert not any(context.deaths), context.deaths


@behave.when(
    'the membership state machine runs {runs:d} times with {steps:d} steps'
)
def run_machine(context, runs, steps):
    machines.run_machine(
        context, members_machine.MembersMachine, runs=runs, steps=steps
    )


@behave.then('no run of the membership state machine violated its oracle')
def check_machine(context):
    assert context.machine_error is None, context.machine_error


@behave.when('{count:d} virtual members on the list start together')
def start_listed(context, count):
    context.network = virtual_fleet.Network(seed=1)
    names = [f'm{index}' for index in range(count)]
    for name in names:
        member = virtual_fleet.VirtualMember(
            context.network,
            name,
            instance_list=members_machine.StaleList(names),
        )
        context.add_cleanup(member.stop)


@behave.then('all {count:d} virtual members agree after {seconds:g} s')
def check_virtual_after(context, count, seconds):
    context.network.advance(seconds)
    check_virtual(context, count)
