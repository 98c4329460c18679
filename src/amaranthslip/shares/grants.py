"""Grants of memory at the sender: which of its requests may be placed.

`capacity.memory` decides. This module also reports the requests of this
instance to the new keeper of a server.
"""

import logging
import typing

import gevent

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import memory
from amaranthslip import errors
from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import kept_memory
from amaranthslip.shares import load_messages
from amaranthslip.shares import memory_limits
from amaranthslip.shares import places

_LOG = logging.getLogger(__name__)

# Minimum seconds between two log lines on the full memory of one server: an
# overloaded fleet refuses hundreds of requests a second.
_LOG_SECONDS = 1.0
# Seconds between looks for servers whose keeper changed: the new keeper waits
# ten times as long for reports.
_REPORT_SECONDS = 0.1


class Grants:
    """Grants of memory to this instance's requests.

    Parameters
    ----------
    roster : Roster
        The live instances.
    send : callable
        Sends a message to a named instance.
    limits : MemoryLimits
        The memory of each service's engines.
    engines : Engines
        The servers and their load.
    kept : KeptEngines
        Decides where this instance is the keeper, or has no answer.
    find_keeper : callable
        Returns the instance that keeps a server.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_send',
        '_limits',
        '_engines',
        '_kept',
        '_find_keeper',
        '_clock',
        '_own',
        '_reported_generation',
        '_reported_incarnation',
        '_logged_at',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        send: typing.Callable[[str, object], bool],
        limits: memory_limits.MemoryLimits,
        engines: engines_module.Engines,
        kept: kept_memory.KeptEngines,
        find_keeper: typing.Callable[[str], str],
        clock: typing.Callable[[], float],
    ) -> None:
        self._roster = roster
        self._send = send
        self._limits = limits
        self._engines = engines
        self._kept = kept
        self._find_keeper = find_keeper
        self._clock = clock
        # By server name: the start of the server, and its places.
        self._own: dict[
            str, tuple[engines_module.Engine, memory.OwnPlaces]
        ] = {}
        self._reported_generation = -1
        self._reported_incarnation = roster.member.incarnation
        # By server: when its full memory was last logged.
        self._logged_at: dict[str, float] = {}

    def run(self) -> None:
        """Report to new keepers, without end."""
        while True:
            gevent.sleep(_REPORT_SECONDS)
            self.report_changes()

    def limits(self, place: places.Place) -> bool:
        """Return whether a place needs a grant."""
        return self._limits.apply_to(self._engines.get(place.server.name))

    def check_size(self, placement_request: places.PlacementRequest) -> None:
        """Refuse a request that is larger than an engine's memory.

        Raises
        ------
        RequestRefused
            It has no Retry-After: the request never fits.
        """
        placement_request.full_servers.clear()
        size = self._limits.read(placement_request.service)
        held = placement_request.held
        if not size or held <= size:
            return
        raise errors.RequestRefused(
            'no_memory',
            f'the request takes {held} tokens of memory, and a backend server'
            f' has {size}; send a shorter prompt, or ask for less output',
        )

    def is_granted(
        self,
        place: places.Place,
        answer: load_messages.PlaceAnswer | None,
    ) -> bool:
        """Return whether a request may use its place.

        Parameters
        ----------
        place : Place
            The place, whose load is counted here.
        answer : PlaceAnswer or None
            The answer of the server's keeper; None if this instance is the
            keeper, or the keeper did not answer.
        """
        engine = self._engines.get(place.server.name)
        if not self._limits.apply_to(engine):
            return True
        if answer is not None:
            return not answer.refused
        if not self._kept.has_room(engine, place.held, counted=place.held):
            return False
        name = place.server.name
        if self._find_keeper(name) == self._roster.member.name:
            return True
        return memory.may_grow(
            engine.held - place.held,
            self._read_own(engine).answered_held,
            self._limits.read(place.server.service),
        )

    def note_answer(
        self, engine: engines_module.Engine, granted: int = 0
    ) -> None:
        """Record that an engine's keeper answered.

        Parameters
        ----------
        engine : Engine
            The engine.
        granted : int
            Tokens that were granted and are not in the engine's load.
        """
        if self._limits.apply_to(engine):
            self._read_own(engine).answered_held = engine.held + granted

    def note_refused(
        self,
        placement_request: places.PlacementRequest,
        place: places.Place,
    ) -> None:
        """Record that a server has no room; the place was withdrawn."""
        name = place.server.name
        engine = self._engines.get(name)
        service = place.server.service
        total = engine.total_held_tokens if engine else 0
        size = self._limits.read(service)
        seconds = memory.expect_free_seconds(
            place.held,
            total,
            size,
            self._engines.read_stream_seconds(service),
        )
        placement_request.full_servers[name] = seconds
        now = self._clock()
        if now < self._logged_at.get(name, 0.0) + _LOG_SECONDS:
            return
        self._logged_at[name] = now
        _LOG.info(
            'memory_full',
            extra={
                'server': name,
                'held': place.held,
                'total': total,
                'memory': size,
                'free_ms': int(seconds * 1000),
                'keeper': self._find_keeper(name),
            },
        )

    def note_asked(self, place: places.Place) -> None:
        """Record that a request is announced to its server's keeper."""
        engine = self._engines.get(place.server.name)
        if self._is_counted(engine):
            own = self._report_to_new_keeper(engine, excluded=place)
            own.announce(place.ask_number)

    def note_end(self, place: places.Place) -> int:
        """Record a request's end, after its load was removed.

        Returns
        -------
        int
            The tokens by which the report to the keeper shrinks.
        """
        engine = self._engines.get(place.server.name)
        if not self._is_counted(engine) or (
            engine.server.incarnation != place.server.incarnation
        ):
            return 0
        own = self._read_own(engine)
        if own.keeper != self._find_keeper(engine.server.name):
            self._report_to_new_keeper(engine)
            return 0
        return place.held if own.end(place.ask_number) else 0

    def note_unanswered(self, place: places.Place) -> None:
        """Record that a keeper may not count what was announced to it.

        The next request is preceded by a report, which replaces all that the
        keeper counts of this instance.
        """
        engine = self._engines.get(place.server.name)
        if self._is_counted(engine):
            self._read_own(engine).keeper = ''

    def report_changes(self) -> None:
        """Report this instance's requests to new keepers."""
        self._kept.note_roster()
        if self._reported_generation == self._roster.generation:
            return
        self._reported_generation = self._roster.generation
        incarnation = self._roster.member.incarnation
        if self._reported_incarnation != incarnation:
            # This instance refuted that it was dead. Those that believed it
            # have dropped what they counted, while their links stayed open.
            self._reported_incarnation = incarnation
            for engine in self._list_own():
                self._read_own(engine).keeper = ''
        for engine in self._list_own():
            self._report_to_new_keeper(engine)

    def _list_own(self) -> list[engines_module.Engine]:
        """Return the limited engines of which a keeper may need a report.

        Includes those whose keeper was this instance, which asked nobody.
        """
        return [
            each
            for each in self._engines.list_all()
            if (each.running or each.server.name in self._own)
            and self._is_counted(each)
        ]

    def greet(self, name: str) -> list[object]:
        """Return the reports that go first on a new connection to a keeper.

        The keeper drops what it counted of this instance when the connection
        begins.
        """
        reports: list[object] = []
        for engine in self._list_own():
            if engine.running and self._find_keeper(engine.server.name) == (
                name
            ):
                self._read_own(engine).change_keeper(name, engine.running)
                reports.append(_build_report(engine))
        return reports

    def _is_counted(self, engine: engines_module.Engine | None) -> bool:
        # As `KeptEngines` does, also where the service adapts no longer.
        if engine is None:
            return False
        known = self._own.get(engine.server.name)
        if known is not None and known[0] is engine:
            return True
        return self._limits.apply_to(engine)

    def _report_to_new_keeper(
        self,
        engine: engines_module.Engine,
        excluded: places.Place | None = None,
    ) -> memory.OwnPlaces:
        own = self._read_own(engine)
        keeper = self._find_keeper(engine.server.name)
        if own.keeper == keeper:
            return own
        report = _build_report(engine, excluded)
        is_needed = own.change_keeper(keeper, report.running)
        if is_needed and keeper != self._roster.member.name:
            self._send(keeper, report)
        return own

    def _read_own(self, engine: engines_module.Engine) -> memory.OwnPlaces:
        name = engine.server.name
        known = self._own.get(name)
        if known is None or known[0] is not engine:
            known = self._own[name] = (engine, memory.OwnPlaces())
        return known[1]

    def drop_removed(self) -> None:
        """Drop what belongs to removed servers; called periodically."""
        for name, (engine, _) in list(self._own.items()):
            if self._engines.get(name) is not engine:
                del self._own[name]
                self._logged_at.pop(name, None)


def _build_report(
    engine: engines_module.Engine, excluded: places.Place | None = None
) -> load_messages.PlacesHeld:
    return load_messages.PlacesHeld(
        server=identity.hash_name(engine.server.name),
        running=engine.running - (excluded is not None),
        held=engine.held - (excluded.held if excluded else 0),
    )
