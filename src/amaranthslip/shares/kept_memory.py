"""Memory of the engines that an instance keeps, as it counts it.

`capacity.memory` decides. This module hands it what other instances announce,
report and end, and writes the totals to the engines' load.
"""

import logging
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import memory
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import load_messages
from amaranthslip.shares import memory_limits

_LOG = logging.getLogger(__name__)


class KeptEngines:
    """What other instances' requests hold at the engines.

    Parameters
    ----------
    roster : Roster
        The live instances.
    limits : MemoryLimits
        The memory of each service's engines.
    engines : Engines
        The servers and their load.
    find_keeper : callable
        Returns the instance that keeps a server.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_limits',
        '_engines',
        '_find_keeper',
        '_clock',
        '_kept',
        '_roster_generation',
        '_roster_changed_at',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        limits: memory_limits.MemoryLimits,
        engines: engines_module.Engines,
        find_keeper: typing.Callable[[str], str],
        clock: typing.Callable[[], float],
    ) -> None:
        self._roster = roster
        self._limits = limits
        self._engines = engines
        self._find_keeper = find_keeper
        self._clock = clock
        # By server name: the start of the server, and what is known of it.
        self._kept: dict[
            str, tuple[engines_module.Engine, memory.KeptMemory]
        ] = {}
        self._roster_generation = -1
        self._roster_changed_at = clock()

    def has_room(
        self, engine: engines_module.Engine, held: int, *, counted: int = 0
    ) -> bool:
        """Return whether a request fits into an engine's memory.

        Parameters
        ----------
        engine : Engine
            The engine.
        held : int
            Tokens that the request holds.
        counted : int
            Those of them that are in the engine's load already.
        """
        limit = self._limits.read(engine.server.service)
        if not limit:
            return True
        kept = self._read_kept(engine)
        self._update_engine(engine)
        return memory.fits(
            held,
            engine.total_held_tokens - counted,
            limit,
            exact=kept.is_exact(self._clock()),
        )

    def count(
        self, engine: engines_module.Engine, key: tuple[str, int], held: int
    ) -> None:
        """Count a request that another instance announced."""
        if self._is_counted(engine):
            self._read_kept(engine).count(*key, held)
            self._update_engine(engine)

    def release(
        self, engine: engines_module.Engine, key: tuple[str, int]
    ) -> bool:
        """Remove an announced request; return False if none is counted."""
        if not self._is_known(engine):
            return False
        self._read_kept(engine).release(*key)
        self._update_engine(engine)
        return True

    def receive_report(
        self,
        engine: engines_module.Engine,
        sender: str,
        message: load_messages.PlacesHeld,
    ) -> None:
        """Count what an instance reported of its requests."""
        if not self._is_counted(engine):
            return
        total = memory.HeldTotal(message.running, message.held, self._clock())
        self._read_kept(engine).report(sender, total)
        self._update_engine(engine)

    def reduce_report(
        self, engine: engines_module.Engine, sender: str, held: int
    ) -> None:
        """Remove a request that ended from an instance's report."""
        if held and self._is_known(engine):
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
                continue
            kept.drop_reports(before)
            self._update_engine(engine)

    def note_roster(self) -> None:
        """Drop the requests of dead instances, if the fleet changed."""
        if self._roster_generation == self._roster.generation:
            return
        self._roster_generation = self._roster.generation
        self._roster_changed_at = self._clock()
        live = {each.name for each in self._roster.list_live()}
        for _, kept in self._kept.values():
            kept.keep_peers(live)

    def _is_known(self, engine: engines_module.Engine) -> bool:
        known = self._kept.get(engine.server.name)
        return known is not None and known[0] is engine

    def _is_counted(self, engine: engines_module.Engine) -> bool:
        # Goes on where a service adapts no longer, as while an entry without
        # the time of the start is listed: the counts would else be wrong when
        # it adapts again.
        return self._is_known(engine) or self._limits.apply_to(engine)

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
        self.note_roster()
        since = self._roster_changed_at
        known = self._kept.get(name)
        if known is None or known[0] is not engine:
            known = self._kept[name] = (engine, memory.KeptMemory())
            # Where the service adapts only now, requests are running.
            since = self._clock()
        kept = known[1]
        keeps = self._find_keeper(name) == self._roster.member.name
        if keeps and not kept.is_keeper:
            self._take_over(engine, kept, since)
        elif not keeps and kept.is_keeper:
            kept.hand_over()
        return kept

    def _take_over(
        self,
        engine: engines_module.Engine,
        kept: memory.KeptMemory,
        since: float,
    ) -> None:
        last_known = memory.HeldTotal(
            engine.remote_running,
            engine.remote_held_tokens,
            engine.remote_known_at,
        )
        kept.take_over(last_known, since)
        _LOG.info(
            'keeper_took_over',
            extra={
                'server': engine.server.name,
                'running': last_known.running,
                'held': last_known.held,
                'exact': kept.is_exact(self._clock()),
            },
        )
