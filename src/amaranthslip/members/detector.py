"""Finds out who is alive by probing, in the manner of SWIM.

Each instance probes one of its partners a period, in a shuffled round-robin;
where no answer comes it asks a few others to probe, and where those stay
silent too it spreads a suspicion. What this costs an instance does not
depend on how many there are; see docs/design/members.md.
"""

import contextlib
import functools
import random
import typing

import gevent

from amaranthslip.members import beliefs as beliefs_module
from amaranthslip.members import clock as clock_module
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import outbox as outbox_module
from amaranthslip.members import partners
from amaranthslip.members import roster as roster_module
from amaranthslip.members import rumours
from amaranthslip.members import seeds as seeds_module
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_ALIVE = members.MemberState.ALIVE
_DEAD = members.MemberState.DEAD
# The dead, and names only listed, are tried once in so many periods.
_RETRY_PERIODS = 10
# As long as nobody answers, so many names of the list are tried a period.
_JOIN_TRIES = 3
# Names of the list that are greeted at a start, at once: one of them tells the
# whole roster, the others learn of this instance. Until it knows the others,
# an instance places requests as if every engine were its own: all that came
# back together from a loss of power would fill the same engines.
_GREETED = 16
# Whole rosters that are asked for after that, and seconds between two: with
# each, what one knows doubles, and a round trip is some milliseconds.
_GREET_ROUNDS = 3
_GREET_SECONDS = 0.05
_LEAVE_TELLS = 5
_MOST_ERRANDS = 256
_NUMBERS = 1 << 32
# After so many periods a newcomer asks for a whole roster again: where many
# instances start at once, whoever it asked first knew few of them.
_ROSTER_PERIODS = (5, 15, 40)
# Two probes in a row without any answer: perhaps this instance is cut off.
_DOUBTFUL_MISSES = 2

HeardVersion = typing.Callable[[str, int], None]
ReadVersion = typing.Callable[[], int]


class _Errand:
    """A probe sent for another member, whose answer is passed on."""

    __slots__ = ('requester', 'number', 'target')

    def __init__(self, requester: str, number: int, target: str) -> None:
        self.requester = requester
        self.number = number
        self.target = target


class Detector:
    """Keeps a roster true: the membership of one instance.

    Parameters
    ----------
    settings : Settings
        Its `members` and `platform` sections are used.
    roster : Roster
        Kept up to date; holds this instance as `roster.member`.
    outbox : Outbox
        Carries the messages; `receive` is to be handed what arrives.
    metrics : Metrics
        Counts changes of belief in `members`.
    instance_list : InstanceList or None
        The platform's list, from which others are found at the start.
    heard_version : callable or None
        Called with a member's name and the version of the configuration
        that is in force there, with each probe and answer.
    read_version : callable or None
        Returns the version in force here.
    clock : Clock or None
        Tests hand in a virtual one.
    seed : int or None
        Makes the choices repeatable.
    """

    __slots__ = (
        '_settings',
        '_roster',
        '_outbox',
        '_metrics',
        '_heard_version',
        '_read_version',
        '_clock',
        '_random',
        '_beliefs',
        '_seeds',
        '_order',
        '_retries',
        '_number',
        '_awaited',
        '_answered',
        '_paused',
        '_misses',
        '_periods',
        '_wants_roster',
        '_asked',
        '_errands',
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
        heard_version: HeardVersion | None = None,
        read_version: ReadVersion | None = None,
        clock: clock_module.Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._roster = roster
        self._outbox = outbox
        self._metrics = metrics
        self._heard_version = heard_version
        self._read_version = read_version
        self._clock = clock or clock_module.Clock()
        self._random = random.Random(seed)
        self._beliefs = beliefs_module.Beliefs(
            settings, roster, outbox, metrics, self._clock
        )
        self._seeds = seeds_module.Seeds(
            instance_list, roster, self._beliefs, outbox
        )
        self._order: list[str] = []
        self._retries: list[str] = []
        self._number = 0
        self._awaited = 0
        self._answered = False
        self._paused = False
        self._misses = 0
        self._periods = 0
        self._wants_roster = True
        self._asked = False
        self._errands: dict[int, _Errand] = {}
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Begin to probe."""
        for task in (self._probe_for_ever, self._refresh_for_ever):
            self._stack.callback(gevent.spawn(task).kill)

    def close(self) -> None:
        """Stop at once; the others notice unless `leave` came before."""
        self._stack.close()

    def leave(self) -> None:
        """Announce that this instance takes no new work, and go on.

        A few members are told at once, the rest by them. Probes are
        answered until `close`, so that a leaving instance that still
        finishes requests is not taken for dead.
        """
        self._beliefs.leave()
        for member in self._choose_others(_LEAVE_TELLS, set()):
            self._send_probe(member.name)

    def seed_roster(self) -> None:
        """Read the platform's list now; it is read at intervals as well."""
        self._seeds.refresh()

    def receive(self, sender: str, message: object) -> None:
        """Take one message from a peer; other kinds are ignored."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        """Ignore messages that are not about membership."""

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
        self._learn_all([news])
        self._answer_at(message)

    @_handle.register
    def _handle_probe(self, message: messages.Probe, sender: str) -> None:
        self._learn_all(message.news)
        self._note_version(sender, message.config_version)
        news = self._gather_for(sender)
        if message.wants_roster:
            news = self._beliefs.gather_all()
        answer = messages.ProbeAnswer(
            number=message.number,
            news=news,
            config_version=self._own_version(),
        )
        self._outbox.send(sender, answer)

    @_handle.register
    def _handle_answer(
        self, message: messages.ProbeAnswer, sender: str
    ) -> None:
        self._learn_all(message.news)
        self._note_version(sender, message.config_version)
        self._beliefs.confirm(sender)
        if not message.target:
            self._wants_roster = False
        if message.number == self._awaited:
            self._answered = True
        errand = self._errands.pop(message.number, None)
        if errand is not None and errand.target == sender:
            answer = messages.ProbeAnswer(
                number=errand.number,
                target=errand.target,
                config_version=self._own_version(),
            )
            self._outbox.send(errand.requester, answer)

    @_handle.register
    def _handle_request(
        self, message: messages.ProbeRequest, sender: str
    ) -> None:
        if self._roster.get(message.target) is None:
            return
        while len(self._errands) >= _MOST_ERRANDS:
            self._errands.pop(next(iter(self._errands)))
        number = self._send_probe(message.target)
        self._errands[number] = _Errand(sender, message.number, message.target)

    def _probe_for_ever(self) -> None:
        # Instances that started together shall not probe together.
        self._sleep(self._random.random() * self._period())
        while True:
            self._beliefs.expire()
            self._beliefs.report()
            self._try_lost()
            name = self._next_target()
            if name is None:
                self._sleep(self._period())
            else:
                self._probe(name)

    def _refresh_for_ever(self) -> None:
        interval = self._settings.platform.list_interval_seconds
        self._seeds.refresh()
        self._greet_listed()
        while True:
            self._clock.sleep(interval * self._random.uniform(0.75, 1.25))
            self._seeds.refresh()

    def _greet_listed(self) -> None:
        for name in self._seeds.draw_untried(_GREETED, self._random):
            self._send_probe(name)
        # Whoever was asked first has just started, too, and knew nobody.
        for _ in range(_GREET_ROUNDS):
            self._clock.sleep(_GREET_SECONDS)
            self._wants_roster, self._asked = True, False
            for member in self._choose_others(1, set()):
                self._send_probe(member.name)

    def _probe(self, name: str) -> None:
        period = self._period()
        wait = self._settings.members.probe_timeout_seconds
        wait = min(wait * (1 + self._beliefs.doubt), period)
        self._answered = self._paused = False
        self._awaited = self._send_probe(name)
        self._sleep(wait)
        if not self._answered:
            self._ask_others(name)
        self._sleep(period - wait)
        if self._answered:
            self._misses = 0
            self._beliefs.lower_doubt()
        elif not self._paused:
            self._note_silence(name)

    def _note_silence(self, name: str) -> None:
        self._misses += 1
        if self._misses >= _DOUBTFUL_MISSES:
            self._beliefs.raise_doubt()
        self._beliefs.suspect(name)
        # The suspect itself is told at once: if it lives it refutes.
        self._send_probe(name)

    def _ask_others(self, name: str) -> None:
        count = self._settings.members.indirect_probes
        request = messages.ProbeRequest(number=self._awaited, target=name)
        for member in self._choose_others(count, {name}):
            self._outbox.send(member.name, request)

    def _choose_others(
        self, count: int, excluded: set[str]
    ) -> list[members.Member]:
        excluded = excluded | {self._roster.member.name}
        live = self._roster.live()
        wanted = min(count + len(excluded), len(live))
        chosen = self._random.sample(live, wanted)
        return [m for m in chosen if m.name not in excluded][:count]

    def _next_target(self) -> str | None:
        while self._order:
            member = self._roster.get(self._order.pop())
            if member is not None and member.state is not _DEAD:
                return member.name
        names = [m.name for m in self._roster if m.state is not _DEAD]
        self._order = partners.choose(self._roster.member.name, names)
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _try_lost(self) -> None:
        # Two halves of a partition hold each other for dead. If nobody
        # tried the dead again, they would stay apart after it healed.
        self._periods += 1
        # A whole roster is asked of one other in each period.
        self._asked = False
        if self._periods in _ROSTER_PERIODS:
            self._wants_roster = True
        untried = self._seeds.next_untried()
        if untried is not None:
            self._send_probe(untried)
        if len(self._roster.live()) < 2:
            self._wants_roster = True
            for _ in range(_JOIN_TRIES):
                self._try_one_lost()
        elif self._beliefs.contradicted:
            self._send_probe(self._beliefs.contradicted.popleft())
        elif self._periods % _RETRY_PERIODS == 0:
            self._try_one_lost()

    def _try_one_lost(self) -> None:
        if not self._retries:
            self._retries = self._beliefs.dead + self._seeds.unheard
            self._random.shuffle(self._retries)
        if self._retries:
            self._send_probe(self._retries.pop())

    def _send_probe(self, name: str) -> int:
        self._number = self._number % (_NUMBERS - 1) + 1
        probe = messages.Probe(
            number=self._number,
            news=self._gather_for(name),
            config_version=self._own_version(),
            wants_roster=self._wants_roster and not self._asked,
        )
        self._asked = True
        self._outbox.send(name, probe)
        return self._number

    def _gather_for(self, name: str) -> list[messages.News]:
        known = self._roster.get(name)
        if known is None:
            return []
        if known.state is _ALIVE:
            return self._beliefs.gather()
        if known.state is members.MemberState.LEAVING:
            told = beliefs_module.describe(known)
            return [*self._beliefs.gather(), told]
        # It hears what is believed of it, so that it can contradict. It
        # may be gone, or of a half with news of its own: rumours, which
        # are passed on a few times only, are kept for the others.
        return [beliefs_module.describe(known)]

    def _answer_at(self, hello: messages.Hello) -> None:
        # A restart with a clock that was set back brings a number below
        # the one remembered, perhaps from a new address. It is no news, yet
        # answers must reach it there: they tell it what is remembered, and
        # it goes above that.
        known = self._roster.get(hello.name)
        if known is None or known.incarnation <= hello.incarnation:
            return
        if known.name != self._roster.member.name:
            self._outbox.set_address(hello.name, hello.address)

    def _learn_all(self, news: typing.Sequence[messages.News]) -> None:
        # A whole roster is no news to the fleet: nothing of it is passed on.
        spread = len(news) <= rumours.MOST_NEWS
        for item in news:
            self._beliefs.learn(item, spread=spread)

    def _sleep(self, seconds: float) -> None:
        before = self._clock.now()
        self._clock.sleep(seconds)
        gap = self._clock.now() - before - seconds
        if gap > self._settings.members.probe_timeout_seconds:
            self._paused = True
            self._beliefs.excuse_pause(gap)
        if gap > self._settings.members.suspect_seconds:
            # Only what a long sleep missed is worth a whole roster: asked
            # for after each short stall, rosters would keep an overloaded
            # instance overloaded.
            self._wants_roster = True

    def _period(self) -> float:
        seconds = self._settings.members.probe_seconds
        return seconds * (1 + self._beliefs.doubt)

    def _note_version(self, sender: str, version: int) -> None:
        if self._heard_version is not None:
            self._heard_version(sender, version)

    def _own_version(self) -> int:
        return 0 if self._read_version is None else self._read_version()
