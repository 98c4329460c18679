"""Keepers: one instance for each backend server knows all that goes there.

Whoever sends a prompt to an engine asks the engine's keeper first, which
answers what stands before it. One round trip a request, of some three
milliseconds, buys an exact queue at any size of the fleet: telling every
instance everything costs messages that grow with its square, and is a step of
an engine too late. A keeper that
is frozen or cut off costs each request a few milliseconds, for the moment
until the next is picked; the sender then decides on what it knows itself.
"""

import collections
import functools
import logging
import time
import typing

from gevent import event
from gevent import timeout as timeouts

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.capacity import reading
from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import activity
from amaranthslip.shares import placement as placement_module
from amaranthslip.shares import places

_LOG = logging.getLogger(__name__)

# Seconds for a keeper's answer: three times the way there and back between
# failure domains, and a slow turn of both loops.
_ANSWER_SECONDS = 0.02
# Seconds for which a keeper that did not answer is not asked again: were
# each request to wait for it, all would be late together.
_SILENT_SECONDS = 0.3
# Seconds by which this instance's own loop may be behind for it to wait: an
# answer is then read a whole turn of the loop later, and asking holds each
# request up by more than it tells.
_MOST_LAG_SECONDS = 0.02
# Asks whose answers are taken when they come after all, at most: a keeper
# that is behind answers some hundred of them together.
_MOST_OVERDUE = 256
# Keepers that one request asks at most: its engine, and two others.
_MOST_ASKS = 3
# Seconds after which an asked request is no longer counted: its end was lost
# with a connection. Longer than any route's time.
_LOST_SECONDS = 30.0


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is one."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; False where that can't be done."""


class _Foreign:
    """A request that another instance has at a server kept here."""

    __slots__ = ('engine', 'mark', 'held', 'since')

    def __init__(
        self,
        engine: engines_module.Engine,
        mark: reading.Mark,
        held: int,
        since: float,
    ) -> None:
        self.engine = engine
        self.mark = mark
        self.held = held
        self.since = since


class _Overdue:
    """An ask that was not waited for, and this instance's own load then.

    The keeper's answer tells of the load without this request.
    """

    __slots__ = ('server', 'unread', 'running', 'held')

    def __init__(
        self, place: places.Place, engine: engines_module.Engine
    ) -> None:
        self.server = place.server.name
        self.unread = place.unread
        self.running = engine.running - 1
        self.held = engine.held - place.held


class Keepers:
    """Finds places with the servers' keepers, and keeps some servers itself.

    Parameters
    ----------
    roster : Roster
        Who is alive.
    outbox : Outbox
        Carries the messages.
    placement : Placement
        Chooses servers.
    engines : Engines
        The servers and their load.
    outliers : Outliers
        Which servers fail.
    metrics : Metrics
        Counts asks by how they ended.
    read_lag : callable
        Returns by how many seconds this instance's loop is behind.
    clock : callable
        Seconds that only grow.
    """

    __slots__ = (
        '_roster',
        '_read_lag',
        '_outbox',
        '_placement',
        '_engines',
        '_outliers',
        '_metrics',
        '_clock',
        '_generation',
        '_keepers',
        '_number',
        '_answers',
        '_silent',
        '_overdue',
        '_foreign',
        '_names',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: Outbox,
        placement: placement_module.Placement,
        engines: engines_module.Engines,
        outliers: outliers_module.Outliers,
        metrics: typing.Any,
        *,
        read_lag: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._read_lag = read_lag
        self._outbox = outbox
        self._placement = placement
        placement.ends = self
        self._engines = engines
        self._outliers = outliers
        self._metrics = metrics
        self._clock = clock
        self._generation = -1
        self._keepers: dict[str, str] = {}
        self._number = 0
        self._answers: dict[int, event.AsyncResult] = {}
        self._silent: dict[str, float] = {}
        # By number.
        self._overdue: collections.OrderedDict[int, _Overdue] = (
            collections.OrderedDict()
        )
        self._foreign: dict[tuple[str, int], _Foreign] = {}
        self._names: dict[int, str] = {}

    def find_keeper(self, server: str) -> str:
        """Return the instance that keeps a server, by rendezvous hashing."""
        if self._generation != self._roster.generation:
            self._generation = self._roster.generation
            self._keepers.clear()
            self._forget_gone()
        keeper = self._keepers.get(server)
        if keeper is None:
            # One that is leaving is not among the live ones itself.
            names = [each.name for each in self._roster.live()] or [self._own]
            keeper = max(names, key=lambda name: identity.rank(server, name))
            self._keepers[server] = keeper
        return keeper

    # -- requests of this instance's callers ------------------------------

    def reserve(self, need: places.Need) -> places.Place:
        """Return a place for a request, agreed with the server's keeper.

        Raises
        ------
        RequestRefused
            No server can have it now; it was not run.
        """
        place = self._placement.take(need)
        if need.prompt is None:
            return place
        asked: set[str] = set()
        while len(asked) < _MOST_ASKS and place.server.name not in asked:
            asked.add(place.server.name)
            answer = self._ask(place)
            if answer is None:
                break
            # Weighed anew, on what the keeper knows: mostly it stays.
            place.withdraw()
            self._take_answer(place, answer)
            try:
                newer = self._placement.take(need)
            except BaseException:
                self._tell_ended(place)
                raise
            if newer.server.name == place.server.name:
                newer.number = place.number
                return newer
            self._tell_ended(place)
            place = newer
        return place

    def note_start(self, place: places.Place) -> None:
        """Tell the keeper that a request's answer has begun."""
        if place.number:
            self._outbox.send(
                self.find_keeper(place.server.name),
                activity.PlaceStarted(number=place.number),
            )

    def note_end(self, place: places.Place) -> None:
        """Tell the keeper how a request ended."""
        self._tell_ended(place)

    def _ask(self, place: places.Place) -> activity.PlaceAnswer | None:
        keeper = self.find_keeper(place.server.name)
        if keeper == self._roster.member.name:
            return None
        now = self._clock()
        self._number += 1
        place.number = self._number
        ask = activity.PlaceAsk(
            number=place.number,
            server=identity.identify(place.server.name),
            unread=place.unread,
            held=place.held,
        )
        if self._silent.get(keeper, 0.0) > now or (
            self._read_lag() > _MOST_LAG_SECONDS
        ):
            # Told all the same, or it and all who ask it would reckon with
            # an empty server: an instance that is slow itself sends much.
            self._outbox.send(keeper, ask)
            self._note_overdue(place)
            return None
        answer = self._exchange(keeper, ask)
        if answer is None:
            self._note_overdue(place)
            self._silent[keeper] = now + _SILENT_SECONDS
            self._metrics.count('keeper_asks', 'silent')
            _LOG.info('keeper_silent', extra={'keeper': keeper})
        else:
            self._metrics.count('keeper_asks', 'answered')
        return answer

    def _exchange(
        self, keeper: str, ask: activity.PlaceAsk
    ) -> activity.PlaceAnswer | None:
        result = self._answers[ask.number] = event.AsyncResult()
        try:
            if not self._outbox.send(keeper, ask):
                return None
            return result.get(timeout=_ANSWER_SECONDS)
        except timeouts.Timeout as passed:
            if passed.seconds != _ANSWER_SECONDS:
                # The request's own deadline, not the wait here.
                raise
            return None
        finally:
            del self._answers[ask.number]

    def _note_overdue(self, place: places.Place) -> None:
        engine = self._engines.get(place.server.name)
        if engine is None:
            return
        self._overdue[place.number] = _Overdue(place, engine)
        while len(self._overdue) > _MOST_OVERDUE:
            self._overdue.popitem(last=False)

    def _take_late(self, answer: activity.PlaceAnswer) -> None:
        """Take an answer that was not waited for.

        It is too late for its own request. But where keepers are behind, all
        that an instance knows of others' requests is from such answers, and
        without them it fills servers that are full.
        """
        overdue = self._overdue.pop(answer.number, None)
        if overdue is None:
            return
        engine = self._engines.get(overdue.server)
        if engine is None:
            return
        now = self._clock()
        backlog = answer.ahead + overdue.unread
        if backlog > engine.queue.read_backlog(now):
            # Less may only mean that own requests came after the answer.
            engine.queue.correct(backlog, now)
        self._take_load(engine, answer, overdue.running, overdue.held)

    def _take_answer(
        self, place: places.Place, answer: activity.PlaceAnswer
    ) -> None:
        engine = self._engines.get(place.server.name)
        if engine is None:
            return
        engine.queue.correct(answer.ahead, self._clock())
        self._take_load(engine, answer, engine.running, engine.held)

    def _take_load(
        self,
        engine: engines_module.Engine,
        answer: activity.PlaceAnswer,
        own_running: int,
        own_held: int,
    ) -> None:
        engine.queue.rate = answer.rate
        engine.queue.congestion = answer.congestion
        engine.others_running = max(0, answer.running - own_running)
        engine.others_held = max(0, answer.held - own_held)
        if not answer.admitted:
            server = engine.server
            self._outliers.hear(server.name, server.service)

    def _tell_ended(self, place: places.Place) -> None:
        keeper = self.find_keeper(place.server.name)
        if keeper == self._roster.member.name:
            return
        if not place.number and not (place.succeeded or place.failed):
            return
        self._outbox.send(
            keeper,
            activity.PlaceEnded(
                number=place.number,
                server=identity.identify(place.server.name),
                succeeded=place.succeeded,
                failed=place.failed,
                connected=place.connected,
            ),
        )

    # -- servers that this instance keeps ---------------------------------

    def greet(self, name: str) -> None:
        """Drop what an instance had asked for before it restarted."""
        for key in [each for each in self._foreign if each[0] == name]:
            self._release(key)

    def receive(self, sender: str, message: object) -> None:
        """Take one message of `shares.activity`."""
        self._take(message, sender)

    @functools.singledispatchmethod
    def _take(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_take.register
    def _(self, message: activity.PlaceAsk, sender: str) -> None:
        engine = self._find_engine(message.server)
        if engine is None:
            # Not listed here yet: silence makes the sender decide alone.
            return
        now = self._clock()
        name = engine.server.name
        self._outbox.send(
            sender,
            activity.PlaceAnswer(
                number=message.number,
                ahead=engine.queue.read_backlog(now),
                rate=engine.queue.rate,
                congestion=engine.queue.congestion,
                running=engine.all_running,
                held=engine.all_held,
                admitted=self._outliers.admits(name),
            ),
        )
        self._outliers.begin(name)
        running = engine.all_running
        mark = engine.queue.add(
            message.unread,
            now,
            running=running,
            other=self._engines.read_slot_wait(engine, running),
        )
        engine.others_running += 1
        engine.others_held += message.held
        self._foreign[sender, message.number] = _Foreign(
            engine, mark, message.held, now
        )

    @_take.register
    def _(self, message: activity.PlaceAnswer, sender: str) -> None:
        result = self._answers.get(message.number)
        if result is None:
            self._take_late(message)
        else:
            result.set(message)

    @_take.register
    def _(self, message: activity.PlaceStarted, sender: str) -> None:
        foreign = self._foreign.get((sender, message.number))
        if foreign is not None:
            foreign.engine.queue.start(foreign.mark, self._clock())

    @_take.register
    def _(self, message: activity.PlaceEnded, sender: str) -> None:
        self._release((sender, message.number))
        engine = self._find_engine(message.server)
        if engine is None:
            return
        server = engine.server
        if message.succeeded:
            self._outliers.note_success(server.name, server.service)
        elif message.failed:
            self.note_failure(
                server.name, server.service, connected=message.connected
            )

    @_take.register
    def _(self, message: activity.ServerEjected, sender: str) -> None:
        engine = self._find_engine(message.server)
        if engine is not None:
            self._outliers.hear(
                engine.server.name,
                engine.server.service,
                seconds=message.seconds,
            )

    def note_failure(
        self, server: str, service: str, *, connected: bool
    ) -> None:
        """Count a failure; tell the others if the server is out for it."""
        seconds = self._outliers.note_failure(
            server, service, connected=connected
        )
        if not seconds or self.find_keeper(server) != self._own:
            return
        news = activity.ServerEjected(
            server=identity.identify(server), seconds=seconds
        )
        for member in self._roster.live():
            if member.name != self._own:
                self._outbox.send(member.name, news)

    @property
    def _own(self) -> str:
        return self._roster.member.name

    def purge(self) -> None:
        """Drop requests whose end was lost; called from time to time."""
        before = self._clock() - _LOST_SECONDS
        for key, foreign in list(self._foreign.items()):
            if foreign.since < before:
                self._release(key)

    def _release(self, key: tuple[str, int]) -> None:
        foreign = self._foreign.pop(key, None)
        if foreign is None:
            return
        engine = foreign.engine
        engine.queue.drop(foreign.mark, self._clock())
        engine.others_running = max(0, engine.others_running - 1)
        engine.others_held = max(0, engine.others_held - foreign.held)

    def _forget_gone(self) -> None:
        live = {each.name for each in self._roster.live()}
        for key in [each for each in self._foreign if each[0] not in live]:
            self._release(key)

    def _find_engine(self, number: int) -> engines_module.Engine | None:
        name = self._names.get(number)
        engine = self._engines.get(name) if name else None
        if engine is not None:
            return engine
        self._names = {
            identity.identify(each.server.name): each.server.name
            for each in self._engines.list_all()
        }
        name = self._names.get(number)
        return self._engines.get(name) if name else None
