"""Idle limits: how many idle connections an instance keeps to one server.

A server accepts a number of connections from all instances together and
resets those beyond it. An instance keeps as many idle ones as it last had
requests at once, for several seconds. In a fleet of 59 instances these alone
reached the limit, and requests on new connections were reset.
"""

import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.configuration import document

# Fraction of a server's connections that may be idle. The others are for
# requests in progress, and for servers that accept fewer while requests wait.
_IDLE_FRACTION = 0.5


class IdleLimits:
    """The idle connections that this instance may keep to each server.

    Parameters
    ----------
    holder : Holder
        The configuration in force.
    engines : Engines
        Tells which services adapt.
    count_instances : callable
        Returns the number of live instances, this one included.
    """

    __slots__ = (
        '_holder',
        '_engines',
        '_count_instances',
        '_adapts',
        '_generation',
    )

    def __init__(
        self,
        holder: typing.Any,
        engines: engines_module.Engines,
        count_instances: typing.Callable[[], int],
    ) -> None:
        self._holder = holder
        self._engines = engines
        self._count_instances = count_instances
        self._adapts: dict[str, bool] = {}
        self._generation = -1

    def read(self, server: document.BackendServer) -> int | None:
        """Return the number of connections; None if it isn't limited."""
        service = self._holder.document.services.get(server.service)
        most = getattr(service, 'max_connections', 0)
        if not most or not self._is_adaptive(server.service):
            return None
        return int(_IDLE_FRACTION * most / max(1, self._count_instances()))

    def _is_adaptive(self, service: str) -> bool:
        if self._generation != self._engines.generation:
            self._generation = self._engines.generation
            self._adapts.clear()
        adapts = self._adapts.get(service)
        if adapts is None:
            adapts = self._adapts[service] = self._engines.adapts(service)
        return adapts
