"""Candidates: the backend servers that are scored for one request.

Scoring takes about 6 microseconds per server, and happens twice per request.
With 70 servers, scoring all of them took most of an instance's processor time;
with 2,000 servers, an instance could do nothing else. Only the servers where a
prompt's shared parts belong are scored, and a random sample of the others: the
best of a dozen random servers is seldom much worse than the best of all, and
instances with different samples select different servers.
"""

import collections
import heapq
import random as random_

from amaranthslip.capacity import engines as engines_module
from amaranthslip import identity

# Maximum number of servers scored for one request: more take processor time
# and hardly improve the result.
_MAX_CANDIDATES = 12
# Of them, the first in the rendezvous order of the prompt's shared parts: two
# that cache the parts, and two more in case those are ejected or full.
_RANKED_CANDIDATES = 4
# Maximum number of cached orders, by service and shared part: 200 bytes each.
_MAX_CACHED_ORDERS = 4000


class Candidate:
    """A server, and whether the rendezvous order or the sample chose it."""

    __slots__ = ('engine', 'ranked')

    def __init__(self, engine: engines_module.Engine, ranked: bool) -> None:
        self.engine = engine
        self.ranked = ranked


class Candidates:
    """Selects candidates among the servers that accept requests.

    Parameters
    ----------
    engines : Engines
        The servers.
    random : random.Random
        Draws the samples.
    """

    __slots__ = ('_engines', '_random', '_orders', '_generation')

    def __init__(
        self, engines: engines_module.Engines, random: random_.Random
    ) -> None:
        self._engines = engines
        self._random = random
        # The first servers of each order; all servers if there are few.
        self._orders: collections.OrderedDict[
            tuple[str, str], tuple[engines_module.Engine, ...]
        ] = collections.OrderedDict()
        self._generation = -1

    def pick(self, service: str, key: str) -> list[Candidate]:
        """Return the candidates, those of the rendezvous order first.

        Parameters
        ----------
        service : str
            The service whose servers are candidates.
        key : str
            `Prompt.shared_prefix_key`; '' without a prompt.
        """
        ready = self._engines.list_ready(service)
        order = self._find_order(service, key, ready)
        picked = [Candidate(engine, True) for engine in order]
        if len(order) < len(ready):
            drawn = self._random.sample(ready, _MAX_CANDIDATES - len(order))
            picked += [
                Candidate(engine, False)
                for engine in drawn
                if engine not in order
            ]
        return picked

    def list_all(self, service: str, key: str) -> list[Candidate]:
        """Return all servers that accept requests, in rendezvous order."""
        ready = self._engines.list_ready(service)
        order = _rank_engines(key, ready, len(ready))
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
            count = (
                _RANKED_CANDIDATES
                if len(ready) > _MAX_CANDIDATES
                else len(ready)
            )
            order = tuple(_rank_engines(key, ready, count))
            self._orders[service, key] = order
            if len(self._orders) > _MAX_CACHED_ORDERS:
                self._orders.popitem(last=False)
        return order


def _rank_engines(
    key: str, ready: tuple[engines_module.Engine, ...], count: int
) -> list[engines_module.Engine]:
    """Return the first servers of the rendezvous order of a key."""
    return heapq.nlargest(
        count,
        ready,
        key=lambda each: identity.rendezvous_hash(key, each.server.name),
    )
