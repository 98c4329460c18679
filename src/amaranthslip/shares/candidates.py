"""Candidates: the few backend servers that are weighed for one request.

Weighing costs some six microseconds a server, and is done twice for a
request. With seventy servers that was most of an instance's processor time,
and with two thousand an instance could do nothing else. Weighed are the
servers where a prompt's shared parts belong, and some drawn at random: the
best of a dozen random ones is seldom far behind the best of all, and
instances that draw differently don't all pick the same one.
"""

import collections
import heapq
import random as random_

from amaranthslip.capacity import engines as engines_module
from amaranthslip import identity

# Servers weighed for a request: more cost processor time and find little that
# is better.
_MOST = 12
# Of them, the first of the rendezvous order of the prompt's shared parts: two
# that keep it, and two more for when those are out or full.
_FIRST = 4
# Orders that are kept, by service and shared part: 200 bytes each.
_ORDERS = 4000


class Candidate:
    """A server, and whether the prompt's order or a draw picked it."""

    __slots__ = ('engine', 'ordered')

    def __init__(self, engine: engines_module.Engine, ordered: bool) -> None:
        self.engine = engine
        self.ordered = ordered


class Candidates:
    """Picks candidates out of the servers that may get requests.

    Parameters
    ----------
    engines : Engines
        The servers.
    random : random.Random
        Draws.
    """

    __slots__ = ('_engines', '_random', '_orders', '_generation')

    def __init__(
        self, engines: engines_module.Engines, random: random_.Random
    ) -> None:
        self._engines = engines
        self._random = random
        # The first servers of the rendezvous order, or all of few.
        self._orders: collections.OrderedDict[
            tuple[str, str], tuple[engines_module.Engine, ...]
        ] = collections.OrderedDict()
        self._generation = -1

    def pick(self, service: str, key: str) -> list[Candidate]:
        """Return candidates, those of the order first.

        Parameters
        ----------
        service : str
            Whose servers.
        key : str
            `Prompt.shared_key`; '' without a prompt.
        """
        ready = self._engines.list_ready(service)
        order = self._find_order(service, key, ready)
        picked = [Candidate(engine, True) for engine in order]
        if len(order) < len(ready):
            drawn = self._random.sample(ready, _MOST - len(order))
            picked += [
                Candidate(engine, False)
                for engine in drawn
                if engine not in order
            ]
        return picked

    def list_all(self, service: str, key: str) -> list[Candidate]:
        """Return every server that may get requests, in the key's order."""
        ready = self._engines.list_ready(service)
        order = _rank(key, ready, len(ready))
        return [Candidate(engine, True) for engine in order]

    def _find_order(
        self,
        service: str,
        key: str,
        ready: tuple[engines_module.Engine, ...],
    ) -> tuple[engines_module.Engine, ...]:
        if self._generation != self._engines.generation:
            self._generation = self._engines.generation
            self._orders.clear()
        order = self._orders.get((service, key))
        if order is None:
            count = _FIRST if len(ready) > _MOST else len(ready)
            order = tuple(_rank(key, ready, count))
            self._orders[service, key] = order
            if len(self._orders) > _ORDERS:
                self._orders.popitem(last=False)
        return order


def _rank(
    key: str, ready: tuple[engines_module.Engine, ...], count: int
) -> list[engines_module.Engine]:
    """Return the first servers of the rendezvous order of a key."""
    return heapq.nlargest(
        count,
        ready,
        key=lambda each: identity.rank(key, each.server.name),
    )
