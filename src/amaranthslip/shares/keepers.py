"""Keepers: one instance counts all requests sent to a backend server.

An instance that is about to send a prompt to an engine first asks the engine's
keeper, which answers with the load ahead of it. One round trip per request,
about 3 ms, gives an exact queue length at any fleet size. Broadcasting each
request to all instances would take a number of messages that grows with the
square of the fleet size, and would arrive one engine step too late. A keeper
that is frozen or partitioned delays each request by a few milliseconds until
another keeper is selected; the sender then decides from its own data.
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
from amaranthslip import errors
from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.requests import return_exchange
from amaranthslip.shares import grants as grants_module
from amaranthslip.shares import kept_memory
from amaranthslip.shares import kept_requests
from amaranthslip.shares import load_messages
from amaranthslip.shares import memory_limits
from amaranthslip.shares import placement as placement_module
from amaranthslip.shares import places
from amaranthslip.shares import plain_places
from amaranthslip.shares import plain_waits

_LOG = logging.getLogger(__name__)

# Seconds to wait for a keeper's answer: three times the round trip between
# failure domains plus a slow turn of both event loops.
_ANSWER_TIMEOUT_SECONDS = 0.02
# Seconds without waiting for a keeper that did not answer in time: if each
# request waited for it, all of them would be late.
_SILENT_BACKOFF_SECONDS = 0.3
# Event loop lag of this instance in seconds above which it does not wait for
# answers: each answer is read one loop turn late, and the wait delays a
# request by more than the answer is worth.
_MAX_LAG_SECONDS = 0.02
# Seconds after which the load that a keeper reported is no reason to refuse a
# request: that load may be gone, and only a request that is placed asks again.
_LOAD_TTL_SECONDS = 0.25
# Maximum number of unanswered asks whose late answers are still used: an
# overloaded keeper answers about a hundred of them at once.
_MAX_UNANSWERED = 256
# Maximum number of servers whose keepers are asked for one request: the first
# server selected and two others.
_MAX_ASKS = 3


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is an implementation."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; return False if it can't be queued."""


class _UnansweredAsk:
    """An ask without an answer in time, and this instance's load before it.

    The load leaves the asking request out, as the load in the keeper's answer
    does.
    """

    __slots__ = ('server', 'unread_tokens', 'running', 'held')

    def __init__(
        self, place: places.Place, engine: engines_module.Engine
    ) -> None:
        self.server = place.server.name
        self.unread_tokens = place.unread_tokens
        self.running = engine.running - 1
        self.held = engine.held - place.held


class Keepers:
    """Reserves places by asking keepers, and is the keeper of some servers.

    Parameters
    ----------
    roster : Roster
        The live instances.
    outbox : Outbox
        Sends the messages.
    placement : Placement
        Selects servers.
    engines : Engines
        The servers and their load.
    outliers : Outliers
        Servers that are ejected because their requests fail.
    metrics : Metrics
        Counts asks by outcome.
    returns : ReturnExchange or None
        The turns of requests that were refused for load; None for none.
    read_lag : callable
        Returns the lag of this instance's event loop in seconds.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_returns',
        '_read_lag',
        '_outbox',
        '_placement',
        '_plain',
        '_waits',
        'wait_for',
        '_engines',
        '_outliers',
        '_metrics',
        '_clock',
        '_roster_generation',
        '_keeper_by_server',
        '_last_ask_number',
        '_pending_answers',
        '_silent_until',
        '_unanswered',
        '_requests',
        '_reviewed_at',
        '_kept',
        'grants',
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
        returns: return_exchange.ReturnExchange | None = None,
        read_lag: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._returns = returns
        self._read_lag = read_lag
        self._outbox = outbox
        self._placement = placement
        placement.listener = self
        self._plain = placement.plain
        self._plain.keeps = self.keeps
        self._waits = plain_waits.PlainWaits(self, placement, clock)
        # Replaced by simulations, whose time is virtual.
        self.wait_for = _wait_for
        self._engines = engines
        self._outliers = outliers
        self._metrics = metrics
        self._clock = clock
        self._roster_generation = -1
        self._keeper_by_server: dict[str, str] = {}
        self._last_ask_number = 0
        self._pending_answers: dict[int, event.AsyncResult] = {}
        self._silent_until: dict[str, float] = {}
        # By the number of the ask.
        self._unanswered: collections.OrderedDict[int, _UnansweredAsk] = (
            collections.OrderedDict()
        )
        # By service: when a refusal last left outdated reports out.
        self._reviewed_at: dict[str, float] = {}
        limits = memory_limits.MemoryLimits(placement, engines)
        self._kept = kept_memory.KeptEngines(
            roster, limits, engines, self.find_keeper, clock
        )
        self.grants = grants_module.Grants(
            roster,
            outbox.send,
            limits,
            engines,
            self._kept,
            self.find_keeper,
            clock,
        )
        self._requests = kept_requests.KeptRequests(
            roster,
            outbox,
            self._plain,
            engines,
            outliers,
            self._kept,
            metrics,
            find_keeper=self.find_keeper,
            clock=clock,
        )

    def find_keeper(self, server: str) -> str:
        """Return the instance that keeps a server, by rendezvous hashing."""
        if self._roster_generation != self._roster.generation:
            self._roster_generation = self._roster.generation
            self._keeper_by_server.clear()
            self._requests.release_lost()
        keeper = self._keeper_by_server.get(server)
        if keeper is None:
            # The list is empty if all instances are leaving, this one too.
            names = [each.name for each in self._roster.list_live()] or [
                self._own_name
            ]
            keeper = max(
                names, key=lambda name: identity.rendezvous_hash(server, name)
            )
            self._keeper_by_server[server] = keeper
        return keeper

    # -- requests of this instance's callers ------------------------------

    def reserve(
        self, placement_request: places.PlacementRequest
    ) -> places.Place:
        """Return a place for a request, after asking the server's keeper.

        Raises
        ------
        RequestRefused
            No server can serve it in time; it was not run.
        """
        if self._plain.adapts(placement_request):
            place = self._reserve_plain(placement_request)
            place.confirm()
            return place
        try:
            place = self._reserve(placement_request)
        except errors.RequestRefused as refusal:
            if not self._use_turn(placement_request, refusal):
                raise
            place = self._reserve_turn(placement_request)
        place.confirm()
        return place

    def _reserve_turn(
        self, placement_request: places.PlacementRequest
    ) -> places.Place:
        try:
            return self._reserve(placement_request)
        except errors.RequestRefused:
            self._metrics.count('turns', 'refused')
            raise

    def _use_turn(
        self,
        placement_request: places.PlacementRequest,
        refusal: errors.RequestRefused,
    ) -> bool:
        """Return whether a refused request has a turn, and use the turn."""
        if (
            self._returns is None
            or refusal.reason not in return_exchange.LOAD_REASONS
            # Shares, by which turns become due, count prompts only.
            or placement_request.prompt is None
            or placement_request.waited_for_turn is not None
            or placement_request.placed_before
            or not self._engines.adapts(placement_request.service)
        ):
            return False
        estimate = placement_request.estimate
        if estimate is not None and not estimate.may_use_turn:
            return False
        placement_request.waited_for_turn = self._returns.take(
            placement_request, refusal
        )
        return placement_request.waited_for_turn is not None

    def _reserve(
        self, placement_request: places.PlacementRequest
    ) -> places.Place:
        self.grants.check_size(placement_request)
        try:
            place = self._placement.select_place(placement_request)
        except errors.RequestRefused as refusal:
            if placement_request.prompt is None:
                raise
            place = self._select_without_old_load(placement_request, refusal)
        if placement_request.prompt is None:
            return place
        asked_servers: set[str] = set()
        while (
            len(asked_servers) < _MAX_ASKS
            and place.server.name not in asked_servers
        ):
            asked_servers.add(place.server.name)
            answer = self._ask(place)
            if not self.grants.is_granted(place, answer):
                place = self._leave_full(placement_request, place, answer)
                continue
            if answer is None:
                return place
            # Selected again with the keeper's load data; in most cases the
            # result is the same server.
            place.withdraw()
            self._apply_answer(place, answer)
            try:
                reselected = self._placement.select_place(placement_request)
            except BaseException:
                self._send_ended(place)
                raise
            if reselected.server.name == place.server.name:
                reselected.ask_number = place.ask_number
                return reselected
            self._send_ended(place)
            place = reselected
        if not self.grants.limits(place):
            return place
        # The keeper that was asked earlier no longer counts the request.
        if self.grants.is_granted(place, self._ask(place)):
            return place
        self._release_refused(placement_request, place)
        raise self._placement.build_memory_refusal(placement_request)

    def _leave_full(
        self,
        placement_request: places.PlacementRequest,
        place: places.Place,
        answer: load_messages.PlaceAnswer | None,
    ) -> places.Place:
        """Return a place at another server than one without memory.

        Raises
        ------
        RequestRefused
            There is none, or as many servers as allowed were asked.
        """
        self._release_refused(placement_request, place, answer)
        if len(placement_request.full_servers) >= _MAX_ASKS:
            raise self._placement.build_memory_refusal(placement_request)
        return self._placement.select_place(placement_request)

    def _release_refused(
        self,
        placement_request: places.PlacementRequest,
        place: places.Place,
        answer: load_messages.PlaceAnswer | None = None,
    ) -> None:
        place.withdraw()
        if answer is not None:
            self._apply_answer(place, answer)
        self.grants.note_refused(placement_request, place)
        self._send_ended(place)
        self._metrics.count('keeper_asks', 'no_memory')

    def _select_without_old_load(
        self,
        placement_request: places.PlacementRequest,
        refusal: errors.RequestRefused,
    ) -> places.Place:
        """Return the place that a request gets without outdated reports.

        Its server's keeper is asked next, and the exact answer decides. The
        reports of all other servers stay as they are, so that no server is
        filled for lack of a report. At most once for a service in
        `_LOAD_TTL_SECONDS`.

        Raises
        ------
        RequestRefused
            The given refusal, if no report is outdated.
        """
        service = placement_request.service
        now = self._clock()
        oldest = now - _LOAD_TTL_SECONDS
        if self._reviewed_at.get(service, float('-inf')) > oldest:
            raise refusal
        self._reviewed_at[service] = now
        outdated = self._list_outdated(service, oldest)
        if not outdated:
            raise refusal
        loads = [
            (each, each.remote_running, each.remote_held_tokens)
            for each in outdated
        ]
        for engine in outdated:
            engine.remote_running = engine.remote_held_tokens = 0
        try:
            return self._placement.select_place(placement_request)
        finally:
            for engine, running, held in loads:
                engine.remote_running = running
                engine.remote_held_tokens = held

    def _list_outdated(
        self, service: str, oldest: float
    ) -> list[engines_module.Engine]:
        """Return the engines whose load was last reported before a time."""
        return [
            each
            for each in self._engines.list_ready(service)
            if each.remote_running
            and each.remote_known_at <= oldest
            # This instance counts the requests at servers that it keeps.
            and self.find_keeper(each.server.name) != self._own_name
        ]

    def note_start(self, place: places.Place) -> None:
        """Notify the keeper that a request's answer has begun."""
        if place.ask_number:
            self._outbox.send(
                self.find_keeper(place.server.name),
                load_messages.build_started(place.ask_number, place.load),
            )

    def note_end(self, place: places.Place) -> None:
        """Record a request's times, and notify the keeper of its outcome."""
        if self._read_lag() > _MAX_LAG_SECONDS:
            # The times are those of this instance, not of the server.
            place.times = None
        if place.times is not None:
            self._requests.record_times(place.engine, place.times)
        self._send_ended(place)

    def _reserve_plain(
        self, placement_request: places.PlacementRequest
    ) -> places.Place:
        placement_request.plain_limit = None
        try:
            return plain_places.reserve(self, placement_request)
        except errors.RequestRefused:
            limit = placement_request.plain_limit
            if limit is not None:
                self._metrics.count('plain_refusals', limit.value)
            raise

    def select(
        self, placement_request: places.PlacementRequest
    ) -> places.Place:
        """Return a place by what this instance knows."""
        return self._placement.select_place(placement_request)

    def ask(self, place: places.Place) -> load_messages.PlaceAnswer | None:
        """Return a keeper's decision on a plain request, and record it."""
        answer = self._ask(place)
        engine = self._engines.get(place.server.name)
        if answer is None or engine is None:
            return answer
        self._update_load(engine, answer, engine.running - 1, engine.held)
        self._plain.note_answer(
            engine, place.plain_start, answer, self._clock()
        )
        place.expected_seconds = answer.seconds or place.expected_seconds
        if answer.refused:
            place.ask_number = 0
        else:
            place.plain_start.running = answer.running
        return answer

    def drop(self, place: places.Place) -> None:
        """Release an unused place, and tell the keeper if it counts it."""
        place.withdraw()
        self._send_ended(place)
        engine = self._engines.get(place.server.name)
        if engine is not None and self.keeps(place.server.name):
            self._plain.serve_waiting(engine, self._clock())

    def wait(
        self, placement_request: places.PlacementRequest
    ) -> places.Place | None:
        """Return a place that became free in time; None if none did."""
        return self._waits.wait(placement_request)

    def start_wait(self, server: str) -> int:
        """Return the number of a request that waits; 0 if it must not."""
        keeper = self.find_keeper(server)
        if not self.keeps(server) and self._avoids(keeper, self._clock()):
            return 0
        self._last_ask_number += 1
        return self._last_ask_number

    def ask_twice(
        self, server: str, ask: load_messages.PlaceAsk, seconds: float
    ) -> load_messages.PlaceAnswer | None:
        """Return the last of an ask's answers; None if none came in time."""
        answer = self._await_answer(self.find_keeper(server), ask)
        if answer is None or not answer.waits:
            return answer
        result = self._pending_answers[ask.number] = event.AsyncResult()
        try:
            return self.wait_for(result, seconds)
        finally:
            del self._pending_answers[ask.number]

    def cancel(self, server: str, number: int) -> None:
        """Tell a server's keeper that a request needs no place."""
        self._outbox.send(
            self.find_keeper(server),
            load_messages.PlaceEnded(
                number=number,
                server=identity.hash_name(server),
                succeeded=False,
                failed=False,
                connected=True,
            ),
        )

    def refuse(
        self, placement_request: places.PlacementRequest, place: places.Place
    ) -> errors.RequestRefused:
        """Return the refusal of a request that no keeper granted a place."""
        late = place.expected_seconds > place.plain_start.terms.left_seconds
        return self._placement.build_plain_refusal(
            placement_request,
            place.server.name,
            place.expected_seconds,
            places.Limit.LATE if late else places.Limit.FULL,
        )

    def keeps(self, server: str) -> bool:
        """Return whether this instance keeps a server."""
        return self.find_keeper(server) == self._own_name

    def _ask(self, place: places.Place) -> load_messages.PlaceAnswer | None:
        keeper = self.find_keeper(place.server.name)
        if keeper == self._roster.member.name:
            return None
        now = self._clock()
        self._last_ask_number += 1
        place.ask_number = self._last_ask_number
        self.grants.note_asked(place)
        ask = load_messages.PlaceAsk(
            number=place.ask_number,
            server=identity.hash_name(place.server.name),
            unread=place.unread_tokens,
            held=place.held,
            uncertain=place.uncertain_tokens,
        )
        self._plain.add_terms(ask, place)
        if self._avoids(keeper, now):
            # The ask is sent without waiting for the answer, so that the
            # keeper counts the request. Otherwise the keeper, and all
            # instances that ask it, would take the server for idle, while an
            # instance that is slow itself sends many requests.
            ask.placed = True
            if not self._outbox.send(keeper, ask):
                self.grants.note_unanswered(place)
            self._note_unanswered(place)
            return None
        try:
            answer = self._await_answer(keeper, ask)
        except BaseException:
            # The request's deadline: nobody else releases the place, and its
            # memory would stay in use for good. `plain_places` drops those of
            # plain requests.
            if place.plain_start is None:
                place.withdraw()
                self._send_ended(place)
            raise
        if answer is None:
            self._note_unanswered(place)
            self.grants.note_unanswered(place)
            self._silent_until[keeper] = now + _SILENT_BACKOFF_SECONDS
            self._metrics.count('keeper_asks', 'silent')
            _LOG.info('keeper_silent', extra={'keeper': keeper})
        else:
            self._metrics.count('keeper_asks', 'answered')
        return answer

    def _avoids(self, keeper: str, now: float) -> bool:
        """Return whether this instance doesn't wait for a keeper now."""
        if self._silent_until.get(keeper, 0.0) > now:
            return True
        return self._read_lag() > _MAX_LAG_SECONDS

    def _await_answer(
        self, keeper: str, ask: load_messages.PlaceAsk
    ) -> load_messages.PlaceAnswer | None:
        result = self._pending_answers[ask.number] = event.AsyncResult()
        try:
            if not self._outbox.send(keeper, ask):
                return None
            return self.wait_for(result, _ANSWER_TIMEOUT_SECONDS)
        finally:
            del self._pending_answers[ask.number]

    def _note_unanswered(self, place: places.Place) -> None:
        engine = self._engines.get(place.server.name)
        if engine is None:
            return
        self._unanswered[place.ask_number] = _UnansweredAsk(place, engine)
        while len(self._unanswered) > _MAX_UNANSWERED:
            self._unanswered.popitem(last=False)

    def _apply_late_answer(self, answer: load_messages.PlaceAnswer) -> None:
        """Use the load data of an answer that came too late.

        The request of the answer is placed already. But while keepers are
        overloaded, late answers are the only source of other instances' load,
        and without them this instance would fill servers that are full.
        """
        unanswered = self._unanswered.pop(answer.number, None)
        if unanswered is None:
            return
        engine = self._engines.get(unanswered.server)
        if engine is None:
            return
        now = self._clock()
        backlog = answer.ahead + unanswered.unread_tokens
        if backlog > engine.queue.read_backlog(now):
            # A smaller backlog may only mean that the answer is older than
            # this instance's latest requests.
            engine.queue.correct(backlog, now)
        self._update_load(engine, answer, unanswered.running, unanswered.held)
        self.grants.note_answer(engine)

    def _apply_answer(
        self, place: places.Place, answer: load_messages.PlaceAnswer
    ) -> None:
        engine = self._engines.get(place.server.name)
        if engine is None:
            return
        engine.queue.correct(answer.ahead, self._clock())
        self._update_load(engine, answer, engine.running, engine.held)
        granted = 0 if answer.refused else place.held
        self.grants.note_answer(engine, granted)

    def _update_load(
        self,
        engine: engines_module.Engine,
        answer: load_messages.PlaceAnswer,
        own_running: int,
        own_held: int,
    ) -> None:
        engine.queue.rate = answer.rate
        engine.queue.congestion = answer.congestion
        if answer.slowdown:
            engine.estimate.slowdown.adopt(answer.slowdown, self._clock())
        engine.remote_running = max(0, answer.running - own_running)
        engine.remote_held_tokens = max(0, answer.held - own_held)
        engine.remote_known_at = self._clock()
        if not answer.admitted:
            server = engine.server
            self._outliers.apply_remote_ejection(server.name, server.service)

    def _send_ended(self, place: places.Place) -> None:
        keeper = self.find_keeper(place.server.name)
        if keeper == self._roster.member.name:
            return
        held = self.grants.note_end(place)
        if not (place.ask_number or held or place.succeeded or place.failed):
            return
        ended = load_messages.PlaceEnded(
            number=place.ask_number,
            server=identity.hash_name(place.server.name),
            succeeded=place.succeeded,
            failed=place.failed,
            connected=place.connected,
            rejected=place.plain_start is not None and place.rejected,
            held=held,
        )
        if place.times is not None:
            ended.set_times(place.times)
        self._outbox.send(keeper, ended)

    # -- servers of which this instance is the keeper ---------------------

    def count_servers(self) -> tuple[int, int]:
        """Return the number of kept engines, and how many are busy."""
        kept = [
            each
            for each in self._placement.list_engines()
            if self.find_keeper(each.server.name) == self._own_name
            and self._outliers.admits(each.server.name)
        ]
        return len(kept), sum(map(self._placement.is_busy, kept))

    def forget_peer(self, name: str) -> None:
        """Drop the requests that an instance had before it restarted."""
        self._requests.forget_peer(name)

    def drop_expired(self) -> None:
        """Drop requests whose end was lost; called periodically."""
        self._requests.drop_expired()
        self.grants.drop_removed()

    def note_failure(
        self, server: str, service: str, *, connected: bool
    ) -> None:
        """Count a failed request; broadcast the ejection if it causes one."""
        self._requests.note_failure(server, service, connected=connected)

    def receive(self, sender: str, message: object) -> None:
        """Handle one message of `shares.load_messages`."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        self._requests.receive(sender, message)

    @_handle.register
    def _(self, message: load_messages.PlaceAnswer, sender: str) -> None:
        result = self._pending_answers.get(message.number)
        if result is None:
            self._apply_late_answer(message)
        else:
            result.set(message)

    @property
    def _own_name(self) -> str:
        return self._roster.member.name


def _wait_for(
    result: event.AsyncResult, seconds: float
) -> load_messages.PlaceAnswer | None:
    """Return a result's value; None if it isn't set in time."""
    try:
        return result.get(timeout=seconds)
    except timeouts.Timeout as expired:
        if expired.seconds != seconds:
            # The request's own deadline expired, not this timeout.
            raise
        return None
