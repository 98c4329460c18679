"""Grants of memory: what the instances tell one another of it.

`capacity.memory` decides. This module hands it what arrives, and reports the
requests of this instance to the new keeper of a server.
"""

import logging
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import memory
from amaranthslip import errors
from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import load_messages
from amaranthslip.shares import placement as placement_module
from amaranthslip.shares import places

_LOG = logging.getLogger(__name__)

# Minimum seconds between two log lines on the full memory of one server: an
# overloaded fleet refuses hundreds of requests a second.
_LOG_SECONDS = 1.0


class Grants:
    """The memory of engines, at the sender of requests and at the keeper.

    Only engines with known memory, of services that adapt, are limited.

    Parameters
    ----------
    roster : Roster
        The live instances.
    send : callable
        Sends a message to a named instance.
    placement : Placement
        Knows the memory of a service's engines.
    engines : Engines
        The servers and their load.
    find_keeper : callable
        Returns the instance that keeps a server.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_send',
        '_placement',
        '_engines',
        '_find_keeper',
        '_clock',
        '_kept',
        '_own',
        '_roster_generation',
        '_reported_generation',
        '_roster_changed_at',
        '_adapts',
        '_adapts_generation',
        '_logged_at',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        send: typing.Callable[[str, object], bool],
        placement: placement_module.Placement,
        engines: engines_module.Engines,
        find_keeper: typing.Callable[[str], str],
        clock: typing.Callable[[], float],
    ) -> None:
        self._roster = roster
        self._send = send
        self._placement = placement
        self._engines = engines
        self._find_keeper = find_keeper
        self._clock = clock
        # By server name: the start of the server, and what is known of it.
        self._kept: dict[
            str, tuple[engines_module.Engine, memory.KeptMemory]
        ] = {}
        self._own: dict[
            str, tuple[engines_module.Engine, memory.OwnPlaces]
        ] = {}
        self._roster_generation = -1
        self._reported_generation = -1
        self._roster_changed_at = clock()
        # By service, at one generation of the engines.
        self._adapts: dict[str, bool] = {}
        self._adapts_generation = -1
        # By server: when its full memory was last logged.
        self._logged_at: dict[str, float] = {}

    def limits(self, engine: engines_module.Engine | None) -> bool:
        """Return whether requests need a grant of an engine's memory."""
        if engine is None:
            return False
        service = engine.server.service
        return bool(self._placement.read_memory(service)) and (
            self._adapts_service(service)
        )

    def _adapts_service(self, service: str) -> bool:
        # `Engines.adapts` looks at each server of the service.
        generation = self._engines.generation
        if self._adapts_generation != generation:
            self._adapts_generation = generation
            self._adapts.clear()
        known = self._adapts.get(service)
        if known is None:
            known = self._adapts[service] = self._engines.adapts(service)
        return known

    # -- requests of this instance's callers ------------------------------

    def check_size(self, placement_request: places.PlacementRequest) -> None:
        """Refuse a request that is larger than an engine's memory.

        Raises
        ------
        RequestRefused
            It has no Retry-After: the request never fits.
        """
        placement_request.full_servers.clear()
        service = placement_request.service
        size = self._placement.read_memory(service)
        held = placement_request.held
        if not size or held <= size or not self._adapts_service(service):
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
        if not self.limits(engine):
            return True
        if answer is not None:
            return not answer.refused
        return self._fits(engine, place.held, own_held=place.held)

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
        size = self._placement.read_memory(service)
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
        if self.limits(engine):
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
        if not self.limits(engine) or (
            engine.server.incarnation != place.server.incarnation
        ):
            return 0
        own = self._read_own(engine)
        if own.keeper != self._find_keeper(engine.server.name):
            self._report_to_new_keeper(engine)
            return 0
        return place.held if own.end(place.ask_number) else 0

    def report_changes(self) -> None:
        """Report this instance's requests to new keepers."""
        self._note_roster()
        if self._reported_generation == self._roster.generation:
            return
        self._reported_generation = self._roster.generation
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
            and self.limits(each)
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

    # -- servers of which this instance is the keeper ---------------------

    def has_room(self, engine: engines_module.Engine, held: int) -> bool:
        """Return whether another instance's request fits."""
        return not self.limits(engine) or self._fits(engine, held)

    def count(
        self, engine: engines_module.Engine, key: tuple[str, int], held: int
    ) -> None:
        """Count a request that another instance announced."""
        if self.limits(engine):
            self._read_kept(engine).count(*key, held)
            self._update_engine(engine)

    def release(
        self, engine: engines_module.Engine, key: tuple[str, int]
    ) -> bool:
        """Remove an announced request; return False if none is counted."""
        known = self._kept.get(engine.server.name)
        if known is None or known[0] is not engine or not self.limits(engine):
            return False
        known[1].release(*key)
        self._update_engine(engine)
        return True

    def receive_report(
        self,
        engine: engines_module.Engine,
        sender: str,
        message: load_messages.PlacesHeld,
    ) -> None:
        """Count what an instance reported of its requests."""
        if not self.limits(engine):
            return
        total = memory.HeldTotal(message.running, message.held, self._clock())
        self._read_kept(engine).report(sender, total)
        self._update_engine(engine)

    def reduce_report(
        self, engine: engines_module.Engine, sender: str, held: int
    ) -> None:
        """Remove a request that ended from an instance's report."""
        if held and self.limits(engine):
            self._read_kept(engine).reduce_report(sender, held)
            self._update_engine(engine)

    def forget_peer(self, name: str) -> None:
        """Drop the requests of an instance."""
        for engine, kept in self._kept.values():
            kept.forget_peer(name)
            self._update_engine(engine)

    def drop_expired(self, before: float) -> None:
        """Drop reports from before a time; called periodically."""
        for engine, kept in list(self._kept.values()):
            name = engine.server.name
            if self._engines.get(name) is not engine:
                del self._kept[name]
                self._own.pop(name, None)
                self._logged_at.pop(name, None)
                continue
            kept.drop_reports(before)
            self._update_engine(engine)

    def _fits(
        self, engine: engines_module.Engine, held: int, *, own_held: int = 0
    ) -> bool:
        """Return whether a request fits; `own_held` of it is counted."""
        kept = self._read_kept(engine)
        self._update_engine(engine)
        return memory.fits(
            held,
            engine.total_held_tokens - own_held,
            self._placement.read_memory(engine.server.service),
            exact=kept.is_exact(self._clock()),
        )

    def _update_engine(self, engine: engines_module.Engine) -> None:
        """Set the load of other instances, if this is the keeper."""
        kept = self._read_kept(engine)
        if kept.is_keeper:
            total = kept.read_total(self._clock())
            engine.remote_running = total.running
            engine.remote_held_tokens = total.held
            engine.remote_known_at = total.at

    def _read_kept(self, engine: engines_module.Engine) -> memory.KeptMemory:
        name = engine.server.name
        known = self._kept.get(name)
        if known is None or known[0] is not engine:
            known = self._kept[name] = (engine, memory.KeptMemory())
        kept = known[1]
        keeps = self._find_keeper(name) == self._roster.member.name
        self._note_roster()
        if keeps and not kept.is_keeper:
            self._take_over(engine, kept)
        elif not keeps and kept.is_keeper:
            kept.hand_over()
        return kept

    def _note_roster(self) -> None:
        if self._roster_generation == self._roster.generation:
            return
        self._roster_generation = self._roster.generation
        self._roster_changed_at = self._clock()
        live = {each.name for each in self._roster.list_live()}
        for _, kept in self._kept.values():
            kept.keep_peers(live)

    def _take_over(
        self, engine: engines_module.Engine, kept: memory.KeptMemory
    ) -> None:
        last_known = memory.HeldTotal(
            engine.remote_running,
            engine.remote_held_tokens,
            engine.remote_known_at,
        )
        kept.take_over(last_known, self._roster_changed_at)
        _LOG.info(
            'keeper_took_over',
            extra={
                'server': engine.server.name,
                'running': last_known.running,
                'held': last_known.held,
                'exact': kept.is_exact(self._clock()),
            },
        )


def _build_report(
    engine: engines_module.Engine, excluded: places.Place | None = None
) -> load_messages.PlacesHeld:
    return load_messages.PlacesHeld(
        server=identity.hash_name(engine.server.name),
        running=engine.running - (excluded is not None),
        held=engine.held - (excluded.held if excluded else 0),
    )
