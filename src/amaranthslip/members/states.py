"""Applies membership updates to the roster and spreads them as gossip."""

import collections
import logging
import typing

from amaranthslip.members import clock as clock_module
from amaranthslip.members import gossip as gossip_module
from amaranthslip.members import incarnations
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip.members import outbox as outbox_module
from amaranthslip.members import roster as roster_module
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)
_ALIVE = members.MemberState.ALIVE
_SUSPECT = members.MemberState.SUSPECT
_LEAVING = members.MemberState.LEAVING
_DEAD = members.MemberState.DEAD
# Seconds for which a dead member is remembered and probed from time to time.
# A partition between regions can last an hour, so the value is larger.
_DEAD_RETENTION_SECONDS = 7200.0
# Upper bound of the members that received news can add to the roster.
_MAX_MEMBERS = 10000
# Upper bound of the dead members that are to be probed because another member
# considers them live; the oldest entries are dropped.
_MAX_CONTRADICTIONS = 64
# Upper bound of the local health score, after Lifeguard: an instance that
# suspects a fault of its own extends its timeouts by this many times their
# length at most.
_MAX_LOCAL_HEALTH_SCORE = 3


class MemberStates:
    """Applies news to the roster and queues new information as gossip.

    Parameters
    ----------
    settings : Settings
        Its `members` section is used.
    roster : Roster
        Holds the state of each known member.
    outbox : Outbox
        Receives the address of each member.
    metrics : Metrics
        Counts each change of a member's state in `members`.
    clock : Clock
        Used for the deadlines of suspicions.
    """

    __slots__ = (
        'gossip',
        'local_health_score',
        'contradictions',
        '_settings',
        '_roster',
        '_outbox',
        '_metrics',
        '_clock',
        '_suspicion_deadlines',
        '_died_at',
        '_live_members',
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
        self.gossip = gossip_module.GossipQueue()
        self.local_health_score = 0
        self.contradictions: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._settings = settings
        self._roster = roster
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock
        self._suspicion_deadlines: dict[str, float] = {}
        self._died_at: dict[str, float] = {}
        self._live_members: typing.Iterator[members.Member] = iter(())
        self._counted_generation = 0

    @property
    def dead(self) -> list[str]:
        """Names of the dead members that are still remembered."""
        return list(self._died_at)

    def apply(
        self, news: messages.News, *, sender: str = '', gossip: bool = True
    ) -> bool:
        """Apply one piece of news; return True if it changed a state.

        Parameters
        ----------
        news : News
            The received state of one member.
        sender : str
            Name of the member that sent the news, if any.
        gossip : bool
            Whether to gossip the news if it is new. A refutation of news
            about this instance itself is always gossiped.
        """
        if not _is_valid(news):
            return False
        if news.name == self._roster.member.name:
            return self._apply_own_news(news)
        known = self._roster.get(news.name)
        if known is None:
            return self._add_member(news, gossip)
        if not _supersedes(news, known):
            self._record_contradiction(news, known, sender)
            return False
        state = members.MemberState(news.state)
        if state is _DEAD and known.state is _ALIVE:
            # An instance that was partitioned or paused may declare many
            # members dead. If such a member is alive here, the news only
            # starts a suspicion, which the member has time to refute.
            state = _SUSPECT
        self._change_state(known, news, state, gossip=gossip)
        return True

    def suspect(self, name: str) -> None:
        """Suspect a member that answered no direct or indirect probe."""
        member = self._roster.get(name)
        if member is None or member.state in (_SUSPECT, _DEAD):
            return
        if member.state is _LEAVING:
            # A leaving member gets no work anyway, so the suspicion is not
            # gossiped. The member has the usual time to answer;
            # `confirm_leaving` ends the suspicion.
            self._suspicion_deadlines.setdefault(
                name, self._compute_deadline()
            )
            return
        self._change_state(member, describe(member), _SUSPECT)

    def confirm_leaving(self, name: str) -> None:
        """End the suspicion of a leaving member that answered."""
        member = self._roster.get(name)
        if member is not None and member.state is _LEAVING:
            self._suspicion_deadlines.pop(name, None)

    def expire(self) -> None:
        """Declare overdue suspects dead, and remove old dead members."""
        now = self._clock.now()
        late = [
            n for n, until in self._suspicion_deadlines.items() if until <= now
        ]
        for name in late:
            member = self._roster.get(name)
            self._change_state(member, describe(member), _DEAD)
        old = [
            n
            for n, at in self._died_at.items()
            if at <= now - _DEAD_RETENTION_SECONDS
        ]
        for name in old:
            del self._died_at[name]
            self._roster.remove(name)
            self._outbox.remove_peer(name)

    def extend_suspicions(self, seconds: float) -> None:
        """Extend all suspicion deadlines by a pause of this process.

        After a pause of the process every deadline has passed. Without the
        extension this instance would declare all suspects dead at once and
        gossip false news to the fleet.

        Parameters
        ----------
        seconds : float
            Length of the pause.
        """
        for name in self._suspicion_deadlines:
            self._suspicion_deadlines[name] += seconds
        self.raise_local_health_score()
        self._metrics.count('members', 'paused')
        _LOG.warning('member_paused', extra={'seconds': round(seconds, 2)})

    def raise_local_health_score(self) -> None:
        """Raise the score because the fault may be in this instance."""
        self.local_health_score = min(
            self.local_health_score + 1, _MAX_LOCAL_HEALTH_SCORE
        )

    def lower_local_health_score(self) -> None:
        """Lower the score because a probe was answered in time."""
        self.local_health_score = max(self.local_health_score - 1, 0)

    def leave(self) -> None:
        """Mark this instance as leaving, and gossip the change."""
        self._roster.member.state = _LEAVING
        self._roster.invalidate()
        self.gossip.put(describe(self._roster.member))

    def select_news(self) -> list[messages.News]:
        """Return the news for one message: queued gossip and one live member.

        The additional member is chosen in round-robin order and repairs gaps
        that gossip left, at a bounded cost. Dead members are never repeated
        this way: an outdated death would remove a member that came back.
        """
        news = self.gossip.select(len(self._roster))
        own = self._roster.member
        if own.state is _LEAVING:
            news.append(describe(own))
        additional = self._next_live_member()
        if additional.state is _ALIVE:
            news.append(describe(additional))
        return news

    def list_roster_news(self) -> list[messages.News]:
        """Return news of every member that is not dead, for a new instance."""
        return [
            describe(member)
            for member in self._roster
            if member.state is not _DEAD
        ]

    def report(self) -> None:
        """Set the gauges if the roster has changed since the last call."""
        if self._counted_generation == self._roster.generation:
            return
        self._counted_generation = self._roster.generation
        counts = collections.Counter(member.state for member in self._roster)
        for state in members.MemberState:
            self._metrics.set_gauge(
                'members_alive', state.name.lower(), counts[state]
            )

    def _next_live_member(self) -> members.Member:
        additional = next(self._live_members, None)
        if additional is None:
            self._live_members = iter(self._roster.list_live())
            additional = next(self._live_members, self._roster.member)
        return self._roster.get(additional.name) or self._roster.member

    def _apply_own_news(self, news: messages.News) -> bool:
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
                    'remedy': 'give each instance a unique name; ignore this'
                    ' if the instance moved to a new address',
                },
            )
        own.incarnation = incarnations.raise_above(
            own.incarnation, news.incarnation
        )
        if news.state in (_SUSPECT, _DEAD):
            self.raise_local_health_score()
            self._metrics.count('members', 'refuted_own')
            _LOG.info('member_refuted', extra={'incarnation': own.incarnation})
        self.gossip.put(describe(own))
        return True

    def _add_member(self, news: messages.News, gossip: bool) -> bool:
        # News of an unknown member is useful only if it contains an address.
        # An unknown member that is dead need not be remembered.
        full = len(self._roster) >= _MAX_MEMBERS
        if news.state == _DEAD or not news.address or full:
            return False
        state = members.MemberState(news.state)
        member = _build_member(news, state)
        self._store_member(member, gossip)
        self._record_event('joined', member)
        return True

    def _record_contradiction(
        self, news: messages.News, known: members.Member, sender: str
    ) -> None:
        # After a partition each half considers the other dead at its current
        # incarnation. News about such a member at the same incarnation, which
        # `apply` rejects, is a reason to probe the member again soon. If it
        # does not answer, a sender that considers it live missed its death.
        if known.state is _DEAD and news.incarnation == known.incarnation:
            if news.state == _DEAD:
                sender = self.contradictions.get(known.name, '')
            self.contradictions[known.name] = sender
            if len(self.contradictions) > _MAX_CONTRADICTIONS:
                self.contradictions.popitem(last=False)

    def _change_state(
        self,
        known: members.Member,
        news: messages.News,
        state: members.MemberState,
        *,
        gossip: bool = True,
    ) -> None:
        member = _build_member(news, state, fallback=known)
        self._store_member(member, gossip)
        self._record_event(_classify_event(known, member), member)

    def _store_member(self, member: members.Member, gossip: bool) -> None:
        now = self._clock.now()
        self._suspicion_deadlines.pop(member.name, None)
        self._died_at.pop(member.name, None)
        if member.state is _SUSPECT:
            self._suspicion_deadlines[member.name] = self._compute_deadline()
        if member.state is _DEAD:
            self._died_at[member.name] = now
        self._roster.put(member)
        self._outbox.set_address(member.name, member.address)
        if gossip:
            self.gossip.put(describe(member))

    def _compute_deadline(self) -> float:
        timeout = self._settings.members.suspect_seconds
        return self._clock.now() + timeout * (1 + self.local_health_score)

    def _record_event(self, event: str, member: members.Member) -> None:
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
    """Return the present state of a member as news."""
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


def _supersedes(news: messages.News, known: members.Member) -> bool:
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


def _classify_event(old: members.Member, new: members.Member) -> str:
    if new.state is _SUSPECT:
        return 'suspected'
    if new.state is _LEAVING:
        return 'leaving'
    if new.state is _DEAD:
        return 'left' if old.state is _LEAVING else 'died'
    start = incarnations.get_start
    if start(old.incarnation) != start(new.incarnation):
        return 'restarted'
    return 'returned' if old.state is _DEAD else 'refuted'
