"""Failure detector that probes members, after the SWIM protocol.

In each period an instance probes one of its probe targets, in a shuffled
round-robin order. If the target does not answer, the instance requests
indirect probes from a few other members; if these get no answer either, it
gossips a suspicion. The cost for one instance does not depend on the size of
the fleet; see docs/design/members.md.
"""

import contextlib
import functools
import random
import typing

import gevent

from amaranthslip.members import clock as clock_module
from amaranthslip.members import gossip as gossip_module
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import outbox as outbox_module
from amaranthslip.members import probe_targets
from amaranthslip.members import roster as roster_module
from amaranthslip.members import seeds as seeds_module
from amaranthslip.members import states as states_module
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_ALIVE = members.MemberState.ALIVE
_DEAD = members.MemberState.DEAD
# Dead members, and listed names without a known member, are probed once in
# this many periods.
_LOST_PROBE_PERIODS = 10
# Number of dead or only listed members probed in each period while no other
# member is live.
_JOIN_PROBES = 3
# Number of listed names probed immediately after a start: one of them returns
# the whole roster, the others learn of this instance. An instance that knows
# no other member places requests as if it owned every engine, so instances
# that restart together after a power failure would overload the same engines.
_START_PROBES = 16
# Number of whole rosters requested after that, and the seconds before each
# request. Each roster about doubles the number of known members, and a round
# trip takes some milliseconds.
_START_ROSTERS = 3
_START_ROSTER_SECONDS = 0.05
_LEAVE_PROBES = 5
_MAX_INDIRECT_PROBES = 256
_PROBE_NUMBERS = 1 << 32
# Periods after its start in which an instance requests a whole roster again:
# when many instances start at once, the first rosters contain few of them.
_ROSTER_PERIODS = (5, 15, 40)
# Consecutive unanswered probes after which this instance may itself be the one
# that is partitioned.
_LOCAL_FAULT_MISSES = 2

HeardVersion = typing.Callable[[str, int], None]
ReadVersion = typing.Callable[[], int]


class _IndirectProbe:
    """An indirect probe, whose answer is relayed to the requester."""

    __slots__ = ('requester', 'number', 'target')

    def __init__(self, requester: str, number: int, target: str) -> None:
        self.requester = requester
        self.number = number
        self.target = target


class Detector:
    """Keeps the roster of one instance up to date by probes and gossip.

    Parameters
    ----------
    settings : Settings
        Its `members` and `platform` sections are used.
    roster : Roster
        The roster to update; `roster.member` is this instance.
    outbox : Outbox
        Sends the messages. The caller passes received ones to `receive`.
    metrics : Metrics
        Counts changes of member states in `members`.
    instance_list : InstanceList or None
        The platform's list of instances, for the discovery of members.
    on_version : callable or None
        Called on each received probe and answer, with the name of the sender
        and the version of the configuration in force there.
    get_version : callable or None
        Returns the version of the configuration in force at this instance.
    clock : Clock or None
        Time source; tests pass a virtual clock.
    seed : int or None
        Seed of the random choices, for repeatable tests.
    """

    __slots__ = (
        '_settings',
        '_roster',
        '_outbox',
        '_metrics',
        '_on_version',
        '_get_version',
        '_clock',
        '_random',
        '_states',
        '_seeds',
        '_probe_order',
        '_lost_names',
        '_last_number',
        '_awaited_number',
        '_answered',
        '_paused',
        '_consecutive_misses',
        '_periods',
        '_rechecked',
        '_wants_roster',
        '_roster_requested',
        '_indirect_probes',
        '_stack',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        roster: roster_module.Roster,
        outbox: outbox_module.Outbox,
        metrics: metrics_module.Metrics,
        *,
        instance_list: seeds_module.InstanceList | None = None,
        on_version: HeardVersion | None = None,
        get_version: ReadVersion | None = None,
        clock: clock_module.Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._roster = roster
        self._outbox = outbox
        self._metrics = metrics
        self._on_version = on_version
        self._get_version = get_version
        self._clock = clock or clock_module.Clock()
        self._random = random.Random(seed)
        self._states = states_module.MemberStates(
            settings, roster, outbox, metrics, self._clock
        )
        self._seeds = seeds_module.Seeds(
            instance_list, roster, self._states, outbox
        )
        self._probe_order: list[str] = []
        self._lost_names: list[str] = []
        self._last_number = 0
        self._awaited_number = 0
        self._answered = False
        self._paused = False
        self._consecutive_misses = 0
        self._periods = 0
        # The dead member that was probed, and who considers it live.
        self._rechecked = ('', '')
        self._wants_roster = True
        self._roster_requested = False
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Start to probe members and to refresh the list of instances."""
        for task in (self._run_probes, self._run_refreshes):
            self._stack.callback(gevent.spawn(task).kill)

    def close(self) -> None:
        """Stop at once; without a preceding `leave`, peers see a failure."""
        self._stack.close()

    def leave(self) -> None:
        """Announce that this instance takes no new work, and keep running.

        A few members are notified at once, and gossip notifies the rest.
        Probes are answered until `close`, so that a leaving instance that
        still finishes requests is not declared dead.
        """
        self._states.leave()
        for member in self._choose_members(_LEAVE_PROBES, set()):
            self._send_probe(member.name)

    def refresh_list(self) -> None:
        """Read the platform's list now, besides the periodic refresh."""
        self._seeds.refresh()

    def receive(self, sender: str, message: object) -> None:
        """Handle one message from a peer; ignore other message types."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        """Ignore messages that do not concern membership."""

    @_handle.register
    def _handle_hello(self, message: messages.Hello, sender: str) -> None:
        news = messages.News(
            name=message.name,
            incarnation=message.incarnation,
            address=message.address,
            failure_domain=message.failure_domain,
            region=message.region,
            state=int(_ALIVE),
        )
        self._apply_news([news], sender)
        self._set_answer_address(message)

    @_handle.register
    def _handle_probe(self, message: messages.Probe, sender: str) -> None:
        self._apply_news(message.news, sender)
        self._report_version(sender, message.config_version)
        news = self._select_news(sender)
        if message.wants_roster:
            news = self._states.list_roster_news()
        answer = messages.ProbeAnswer(
            number=message.number,
            news=news,
            config_version=self._get_own_version(),
        )
        self._outbox.send(sender, answer)

    @_handle.register
    def _handle_answer(
        self, message: messages.ProbeAnswer, sender: str
    ) -> None:
        self._apply_news(message.news, sender)
        self._report_version(sender, message.config_version)
        self._states.confirm_leaving(sender)
        if not message.target:
            self._wants_roster = False
        if message.number == self._awaited_number:
            self._answered = True
        indirect = self._indirect_probes.pop(message.number, None)
        if indirect is not None and indirect.target == sender:
            answer = messages.ProbeAnswer(
                number=indirect.number,
                target=indirect.target,
                config_version=self._get_own_version(),
            )
            self._outbox.send(indirect.requester, answer)

    @_handle.register
    def _handle_request(
        self, message: messages.ProbeRequest, sender: str
    ) -> None:
        if self._roster.get(message.target) is None:
            return
        while len(self._indirect_probes) >= _MAX_INDIRECT_PROBES:
            self._indirect_probes.pop(next(iter(self._indirect_probes)))
        number = self._send_probe(message.target)
        self._indirect_probes[number] = _IndirectProbe(
            sender, message.number, message.target
        )

    def _run_probes(self) -> None:
        # The random delay prevents instances that started together from
        # probing at the same moments.
        self._sleep(self._random.random() * self._get_period_seconds())
        while True:
            self._states.expire()
            self._states.report()
            self._probe_lost_members()
            name = self._next_target()
            if name is None:
                self._sleep(self._get_period_seconds())
            else:
                self._probe(name)

    def _run_refreshes(self) -> None:
        interval = self._settings.platform.list_interval_seconds
        self._seeds.refresh()
        self._probe_listed()
        while True:
            self._clock.sleep(interval * self._random.uniform(0.75, 1.25))
            self._seeds.refresh()

    def _probe_listed(self) -> None:
        for name in self._seeds.draw_unprobed(_START_PROBES, self._random):
            self._send_probe(name)
        # The members that were probed first may have just started as well and
        # know no other member yet.
        for _ in range(_START_ROSTERS):
            self._clock.sleep(_START_ROSTER_SECONDS)
            self._wants_roster, self._roster_requested = True, False
            for member in self._choose_members(1, set()):
                self._send_probe(member.name)

    def _probe(self, name: str) -> None:
        period = self._get_period_seconds()
        wait = self._settings.members.probe_timeout_seconds
        wait = min(wait * (1 + self._states.local_health_score), period)
        self._answered = self._paused = False
        self._awaited_number = self._send_probe(name)
        self._sleep(wait)
        if not self._answered:
            self._request_indirect_probes(name)
        self._sleep(period - wait)
        if self._answered:
            self._consecutive_misses = 0
            self._states.lower_local_health_score()
        elif not self._paused:
            self._handle_missing_answer(name)

    def _handle_missing_answer(self, name: str) -> None:
        self._consecutive_misses += 1
        if self._consecutive_misses >= _LOCAL_FAULT_MISSES:
            self._states.raise_local_health_score()
        self._states.suspect(name)
        # Notify the suspect at once: if it is alive, it refutes the suspicion.
        self._send_probe(name)

    def _request_indirect_probes(self, name: str) -> None:
        count = self._settings.members.indirect_probes
        request = messages.ProbeRequest(
            number=self._awaited_number, target=name
        )
        for member in self._choose_members(count, {name}):
            self._outbox.send(member.name, request)

    def _choose_members(
        self, count: int, excluded: set[str]
    ) -> list[members.Member]:
        excluded = excluded | {self._roster.member.name}
        live = self._roster.list_live()
        wanted = min(count + len(excluded), len(live))
        chosen = self._random.sample(live, wanted)
        return [m for m in chosen if m.name not in excluded][:count]

    def _next_target(self) -> str | None:
        while self._probe_order:
            member = self._roster.get(self._probe_order.pop())
            if member is not None and member.state is not _DEAD:
                return member.name
        names = [m.name for m in self._roster if m.state is not _DEAD]
        self._probe_order = probe_targets.choose(
            self._roster.member.name, names
        )
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _probe_lost_members(self) -> None:
        # The two halves of a partition consider each other dead. Without
        # probes of dead members they would not merge after it healed.
        self._periods += 1
        self._notify_contradicting_member()
        # At most one probe in each period requests a whole roster.
        self._roster_requested = False
        if self._periods in _ROSTER_PERIODS:
            self._wants_roster = True
        unprobed = self._seeds.next_unprobed()
        if unprobed is not None:
            self._send_probe(unprobed)
        if len(self._roster.list_live()) < 2:
            self._wants_roster = True
            for _ in range(_JOIN_PROBES):
                self._probe_lost_member()
        elif self._states.contradictions:
            self._rechecked = self._states.contradictions.popitem(last=False)
            self._send_probe(self._rechecked[0])
        elif self._periods % _LOST_PROBE_PERIODS == 0:
            self._probe_lost_member()

    def _notify_contradicting_member(self) -> None:
        """Send a death to a member that missed it.

        Only this member is notified. Gossip about a death would, after a
        partition, remove members of the other half that are still live there.
        """
        (name, sender), self._rechecked = self._rechecked, ('', '')
        member = self._roster.get(name)
        if sender and member is not None and member.state is _DEAD:
            self._metrics.count('members', 'death_repeated')
            self._send_probe(sender, news=[states_module.describe(member)])

    def _probe_lost_member(self) -> None:
        if not self._lost_names:
            self._lost_names = self._states.dead + self._seeds.unknown
            self._random.shuffle(self._lost_names)
        if self._lost_names:
            self._send_probe(self._lost_names.pop())

    def _send_probe(
        self, name: str, *, news: typing.Sequence[messages.News] = ()
    ) -> int:
        self._last_number = self._last_number % (_PROBE_NUMBERS - 1) + 1
        probe = messages.Probe(
            number=self._last_number,
            news=[*self._select_news(name), *news],
            config_version=self._get_own_version(),
            wants_roster=self._wants_roster and not self._roster_requested,
        )
        self._roster_requested = True
        self._outbox.send(name, probe)
        return self._last_number

    def _select_news(self, name: str) -> list[messages.News]:
        known = self._roster.get(name)
        if known is None:
            return []
        if known.state is _ALIVE:
            return self._states.select_news()
        if known.state is members.MemberState.LEAVING:
            leaving = states_module.describe(known)
            return [*self._states.select_news(), leaving]
        # The probe contains the state recorded for the target, so that the
        # target can refute it. No queued gossip is sent: each piece is sent
        # a limited number of times only, and the target may be gone or in
        # the other half of a partition.
        return [states_module.describe(known)]

    def _set_answer_address(self, hello: messages.Hello) -> None:
        # After a restart with a clock that was set back, the incarnation is
        # lower than the remembered one, and the address may be new. The state
        # is rejected as outdated, but answers must reach the new address:
        # they carry the remembered incarnation, which the instance then
        # supersedes.
        known = self._roster.get(hello.name)
        if known is None or known.incarnation <= hello.incarnation:
            return
        if known.name != self._roster.member.name:
            self._outbox.set_address(hello.name, hello.address)

    def _apply_news(
        self, news: typing.Sequence[messages.News], sender: str
    ) -> None:
        # A whole roster contains nothing new to the fleet, so it is not
        # gossiped.
        gossip = len(news) <= gossip_module.MAX_NEWS
        for item in news:
            self._states.apply(item, sender=sender, gossip=gossip)

    def _sleep(self, seconds: float) -> None:
        before = self._clock.now()
        self._clock.sleep(seconds)
        gap = self._clock.now() - before - seconds
        if gap > self._settings.members.probe_timeout_seconds:
            self._paused = True
            self._states.extend_suspicions(gap)
        if gap > self._settings.members.suspect_seconds:
            # A whole roster is requested only after a long pause: requests
            # after each short stall would keep an overloaded instance
            # overloaded.
            self._wants_roster = True

    def _get_period_seconds(self) -> float:
        seconds = self._settings.members.probe_seconds
        return seconds * (1 + self._states.local_health_score)

    def _report_version(self, sender: str, version: int) -> None:
        if self._on_version is not None:
            self._on_version(sender, version)

    def _get_own_version(self) -> int:
        return 0 if self._get_version is None else self._get_version()
