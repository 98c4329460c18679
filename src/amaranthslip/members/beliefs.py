"""What this instance believes of the others, and how news changes it."""

import collections
import logging
import typing

from amaranthslip.members import clock as clock_module
from amaranthslip.members import incarnations
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import outbox as outbox_module
from amaranthslip.members import roster as roster_module
from amaranthslip.members import rumours as rumours_module
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)
_ALIVE = members.MemberState.ALIVE
_SUSPECT = members.MemberState.SUSPECT
_LEAVING = members.MemberState.LEAVING
_DEAD = members.MemberState.DEAD
# How long the dead are remembered, and now and then tried: longer than the
# hour for which regions lose each other.
_FORGET_SECONDS = 7200.0
# A bound on what news can make this instance remember.
_MOST_MEMBERS = 10000
# Lifeguard's local health: an instance with reason to doubt itself gives
# the others this many times longer, at most.
_MOST_DOUBT = 3


class Beliefs:
    """Applies news to the roster, and passes on what was new.

    Parameters
    ----------
    settings : Settings
        Its `members` section is used.
    roster : Roster
        Where beliefs are kept.
    outbox : Outbox
        Told each member's address.
    metrics : Metrics
        Counts each change of belief in `members`.
    clock : Clock
        Times suspicions.
    """

    __slots__ = (
        'rumours',
        'doubt',
        'contradicted',
        '_settings',
        '_roster',
        '_outbox',
        '_metrics',
        '_clock',
        '_suspected',
        '_died',
        '_filler',
        '_counted_generation',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        roster: roster_module.Roster,
        outbox: outbox_module.Outbox,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self.rumours = rumours_module.Rumours()
        self.doubt = 0
        self.contradicted: collections.deque[str] = collections.deque(
            maxlen=64
        )
        self._settings = settings
        self._roster = roster
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock
        self._suspected: dict[str, float] = {}
        self._died: dict[str, float] = {}
        self._filler: typing.Iterator[members.Member] = iter(())
        self._counted_generation = 0

    @property
    def dead(self) -> list[str]:
        """The names of the dead that are still remembered."""
        return list(self._died)

    def learn(self, news: messages.News, *, spread: bool = True) -> bool:
        """Take in one piece of news; True where it changed a belief.

        Parameters
        ----------
        news : News
            What was heard.
        spread : bool
            Whether to pass it on, where it was new. A contradiction to
            news of this instance itself is passed on in any case.
        """
        if not _is_valid(news):
            return False
        if news.name == self._roster.member.name:
            return self._learn_of_self(news)
        known = self._roster.get(news.name)
        if known is None:
            return self._learn_of_stranger(news, spread)
        if not _overrules(news, known):
            self._note_contradiction(news, known)
            return False
        state = members.MemberState(news.state)
        if state is _DEAD and known.state is _ALIVE:
            # One instance that was cut off, or slept, may declare many
            # others dead. What it says of a member in service here opens
            # a suspicion, which that member has the time to refute.
            state = _SUSPECT
        self._change(known, news, state, spread=spread)
        return True

    def suspect(self, name: str) -> None:
        """A member answered neither this instance nor others for it."""
        member = self._roster.get(name)
        if member is None or member.state in (_SUSPECT, _DEAD):
            return
        if member.state is _LEAVING:
            # It gets no work in any case, so that a suspicion is no news;
            # it has the same time to answer, and `confirm` ends this.
            self._suspected.setdefault(name, self._find_deadline())
            return
        self._change(member, describe(member), _SUSPECT)

    def confirm(self, name: str) -> None:
        """A member answered: a leaving one is still there."""
        member = self._roster.get(name)
        if member is not None and member.state is _LEAVING:
            self._suspected.pop(name, None)

    def expire(self) -> None:
        """Declare dead whoever did not refute a suspicion in time."""
        now = self._clock.now()
        late = [n for n, until in self._suspected.items() if until <= now]
        for name in late:
            member = self._roster.get(name)
            self._change(member, describe(member), _DEAD)
        old = [
            n for n, at in self._died.items() if at <= now - _FORGET_SECONDS
        ]
        for name in old:
            del self._died[name]
            self._roster.remove(name)
            self._outbox.forget(name)

    def excuse_pause(self, seconds: float) -> None:
        """This instance did not run for a while: nobody's silence counts.

        A process that was stopped and goes on finds every deadline passed.
        Without this it would declare all suspects dead at once, and by its
        news disturb the fleet. The others get the time that it slept.
        """
        for name in self._suspected:
            self._suspected[name] += seconds
        self.raise_doubt()
        self._metrics.count('members', 'paused')
        _LOG.warning('member_paused', extra={'seconds': round(seconds, 2)})

    def raise_doubt(self) -> None:
        """There is a reason to think that the fault is here."""
        self.doubt = min(self.doubt + 1, _MOST_DOUBT)

    def lower_doubt(self) -> None:
        """A member was reached as it should be."""
        self.doubt = max(self.doubt - 1, 0)

    def leave(self) -> None:
        """Announce that this instance takes no new work."""
        self._roster.member.state = _LEAVING
        self._roster.note_change()
        self.rumours.put(describe(self._roster.member))

    def gather(self) -> list[messages.News]:
        """Return the news for one message: rumours, and one known member.

        The one more is taken in turn. It mends what rumours missed, for a
        bounded price; only members in service or leaving are named, since
        repeating old deaths would kill members that came back.
        """
        news = self.rumours.take(len(self._roster))
        own = self._roster.member
        if own.state is _LEAVING:
            news.append(describe(own))
        filler = self._next_filler()
        if filler.state is _ALIVE:
            news.append(describe(filler))
        return news

    def gather_all(self) -> list[messages.News]:
        """Return news of every member but the dead, for a newcomer."""
        return [
            describe(member)
            for member in self._roster
            if member.state is not _DEAD
        ]

    def report(self) -> None:
        """Set the gauges, where something changed."""
        if self._counted_generation == self._roster.generation:
            return
        self._counted_generation = self._roster.generation
        counts = collections.Counter(member.state for member in self._roster)
        for state in members.MemberState:
            self._metrics.set_gauge(
                'members_alive', state.name.lower(), counts[state]
            )

    def _next_filler(self) -> members.Member:
        filler = next(self._filler, None)
        if filler is None:
            self._filler = iter(self._roster.live())
            filler = next(self._filler, self._roster.member)
        return self._roster.get(filler.name) or self._roster.member

    def _learn_of_self(self, news: messages.News) -> bool:
        own = self._roster.member
        if news.incarnation < own.incarnation:
            return False
        if news.incarnation == own.incarnation and news.state <= own.state:
            return False
        if news.state == _ALIVE and news.address != own.address:
            _LOG.warning(
                'member_name_taken',
                extra={
                    'member': own.name,
                    'other_address': news.address,
                    'remedy': 'give each instance a name of its own, unless'
                    ' this one has moved',
                },
            )
        own.incarnation = incarnations.raise_above(
            own.incarnation, news.incarnation
        )
        if news.state in (_SUSPECT, _DEAD):
            self.raise_doubt()
            self._metrics.count('members', 'refuted_own')
            _LOG.info('member_refuted', extra={'incarnation': own.incarnation})
        self.rumours.put(describe(own))
        return True

    def _learn_of_stranger(self, news: messages.News, spread: bool) -> bool:
        # Of a member never heard of, only news that says where it is can
        # be of use; that it is dead need not be remembered.
        full = len(self._roster) >= _MOST_MEMBERS
        if news.state == _DEAD or not news.address or full:
            return False
        state = members.MemberState(news.state)
        member = _build_member(news, state)
        self._apply(member, spread)
        self._note('joined', member)
        return True

    def _note_contradiction(
        self, news: messages.News, known: members.Member
    ) -> None:
        # After a partition both halves hold each other for dead, at the
        # incarnation that the others still have. Whoever says otherwise
        # gives a reason to try that member again soon.
        if known.state is _DEAD and news.incarnation == known.incarnation:
            if known.name not in self.contradicted:
                self.contradicted.append(known.name)

    def _change(
        self,
        known: members.Member,
        news: messages.News,
        state: members.MemberState,
        *,
        spread: bool = True,
    ) -> None:
        member = _build_member(news, state, fallback=known)
        self._apply(member, spread)
        self._note(_name_event(known, member), member)

    def _apply(self, member: members.Member, spread: bool) -> None:
        now = self._clock.now()
        self._suspected.pop(member.name, None)
        self._died.pop(member.name, None)
        if member.state is _SUSPECT:
            self._suspected[member.name] = self._find_deadline()
        if member.state is _DEAD:
            self._died[member.name] = now
        self._roster.put(member)
        self._outbox.set_address(member.name, member.address)
        if spread:
            self.rumours.put(describe(member))

    def _find_deadline(self) -> float:
        patience = self._settings.members.suspect_seconds
        return self._clock.now() + patience * (1 + self.doubt)

    def _note(self, event: str, member: members.Member) -> None:
        self._metrics.count('members', event)
        _LOG.info(
            f'member_{event}',
            extra={
                'member': member.name,
                'incarnation': member.incarnation,
                'address': member.address,
            },
        )


def describe(member: members.Member) -> messages.News:
    """Return a member's present state as news."""
    return messages.News(
        name=member.name,
        incarnation=member.incarnation,
        address=member.address,
        failure_domain=member.failure_domain,
        region=member.region,
        state=int(member.state),
    )


def _is_valid(news: messages.News) -> bool:
    return (
        bool(news.name)
        and news.state <= _DEAD
        and incarnations.is_credible(news.incarnation)
    )


def _overrules(news: messages.News, known: members.Member) -> bool:
    if news.incarnation != known.incarnation:
        return news.incarnation > known.incarnation
    return news.state > known.state


def _build_member(
    news: messages.News,
    state: members.MemberState,
    *,
    fallback: members.Member | None = None,
) -> members.Member:
    place = news if news.address or fallback is None else fallback
    return members.Member(
        name=news.name,
        incarnation=news.incarnation,
        address=place.address,
        failure_domain=place.failure_domain,
        region=place.region,
        state=state,
    )


def _name_event(old: members.Member, new: members.Member) -> str:
    if new.state is _SUSPECT:
        return 'suspected'
    if new.state is _LEAVING:
        return 'leaving'
    if new.state is _DEAD:
        return 'left' if old.state is _LEAVING else 'died'
    start = incarnations.start_of
    if start(old.incarnation) != start(new.incarnation):
        return 'restarted'
    return 'returned' if old.state is _DEAD else 'refuted'
