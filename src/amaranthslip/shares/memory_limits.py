"""Limits of memory: which engines have one, and how large it is."""

from amaranthslip.capacity import engines as engines_module
from amaranthslip.shares import placement as placement_module


class MemoryLimits:
    """The memory of engines of services that adapt.

    Parameters
    ----------
    placement : Placement
        Knows the memory of a service's engines.
    engines : Engines
        The servers and their load.
    """

    __slots__ = ('_placement', '_engines', '_adapts', '_generation')

    def __init__(
        self,
        placement: placement_module.Placement,
        engines: engines_module.Engines,
    ) -> None:
        self._placement = placement
        self._engines = engines
        # By service, at one generation of the engines.
        self._adapts: dict[str, bool] = {}
        self._generation = -1

    def read(self, service: str) -> int:
        """Return the tokens that each engine of a service may hold.

        0 if there is no limit.
        """
        size = self._placement.read_memory(service)
        return size if size and self._adapts_service(service) else 0

    def apply_to(self, engine: engines_module.Engine | None) -> bool:
        """Return whether an engine's memory is limited."""
        return engine is not None and self.read(engine.server.service) > 0

    def _adapts_service(self, service: str) -> bool:
        # `Engines.adapts` looks at each server of the service.
        generation = self._engines.generation
        if self._generation != generation:
            self._generation = generation
            self._adapts.clear()
        known = self._adapts.get(service)
        if known is None:
            known = self._adapts[service] = self._engines.adapts(service)
        return known
