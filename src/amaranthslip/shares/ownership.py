"""Assignment of backend servers to the instances that dispatch for them.

Every instance computes the owners independently, by rendezvous hashing over
the members that it considers alive. Instances with different member lists may
both dispatch for one server for a while. Slot counts and load reports limit
the resulting overload, and nothing else depends on a single owner.
"""

import functools
import time
import typing

from amaranthslip.configuration import document
from amaranthslip import identity
from amaranthslip.members import members
from amaranthslip import settings as settings_module

_LOST_SECONDS = 3600.0


class FleetPolicy:
    """Distributed dispatch: each instance owns some backend servers."""

    __slots__ = ()


class SinglePolicy:
    """One dispatcher for each service, as a baseline for benchmarks."""

    __slots__ = ()


class LocalPolicy:
    """Each entry dispatches its own requests to its part of every server."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        self.name = name


def build_policy(settings: settings_module.Settings) -> object:
    """Return the policy that the settings name."""
    if settings.dispatch.policy == 'local':
        return LocalPolicy(settings.instance.name)
    if settings.dispatch.policy == 'single':
        return SinglePolicy()
    return FleetPolicy()


@functools.singledispatch
def pick_owner(
    policy: object, server: document.BackendServer, names: tuple[str, ...]
) -> str:
    """Return the owner of a backend server among the named candidates."""
    return max(
        names, key=lambda name: identity.rendezvous_hash(server.name, name)
    )


@pick_owner.register
def _(
    policy: SinglePolicy,
    server: document.BackendServer,
    names: tuple[str, ...],
) -> str:
    return max(
        names, key=lambda name: identity.rendezvous_hash(server.service, name)
    )


@pick_owner.register
def _(
    policy: LocalPolicy,
    server: document.BackendServer,
    names: tuple[str, ...],
) -> str:
    return policy.name


@functools.singledispatch
def compute_slot_fraction(policy: object, live: int, lost: int) -> float:
    """Return the guaranteed part of each server's slots.

    With all members reachable this is 1. During a partition it is the
    proportion of reachable members; load reports show whether the unreachable
    members use the rest.

    Parameters
    ----------
    policy : object
        The dispatch policy.
    live : int
        Number of members that are reachable.
    lost : int
        Number of members that became unreachable lately.
    """
    return live / (live + lost)


@compute_slot_fraction.register
def _(policy: LocalPolicy, live: int, lost: int) -> float:
    return 1.0 / (live + lost)


class Ownership:
    """The current owners of backend servers and homes of client accounts.

    Parameters
    ----------
    settings : Settings
        Uses `instance` and `dispatch`.
    roster : Roster
        The members, by the contract in docs/architecture.md.
    holder : Holder
        The configuration in force.
    clock : callable
        Seconds, monotonic.

    Attributes
    ----------
    name : str
        This instance.
    generation : int
        Incremented whenever owners may have changed.
    """

    __slots__ = (
        '_settings',
        '_roster',
        '_holder',
        '_policy',
        '_clock',
        '_generations',
        '_alive',
        '_owners',
        '_document',
        '_homes',
        '_phases',
        '_lost_at',
        'name',
        'generation',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        roster: typing.Any,
        holder: typing.Any,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self.name = settings.instance.name
        self._roster = roster
        self._holder = holder
        self._clock = clock
        self._policy = build_policy(settings)
        self._generations: tuple[int, int] | None = None
        self._alive: dict[str, members.Member] = {}
        self._owners: dict[str, str] = {}
        self._document: document.Document | None = None
        self._homes: dict[tuple[str, str], tuple[str, ...]] = {}
        self._phases: dict[tuple[str, str], float] = {}
        self._lost_at: dict[str, float] = {}
        self.generation = 0

    @property
    def is_local(self) -> bool:
        """Whether each entry dispatches only its own requests."""
        return isinstance(self._policy, LocalPolicy)

    def refresh(self) -> bool:
        """Recompute owners if members or the configuration changed.

        Returns
        -------
        bool
            Whether anything had changed.
        """
        generations = (self._roster.generation, self._holder.generation)
        if generations == self._generations:
            return False
        self._generations = generations
        before = dict(self._alive)
        self._update_members()
        self._homes.clear()
        self._phases.clear()
        self._assign_owners(before)
        self.generation += 1
        return True

    def _assign_owners(self, before: dict[str, members.Member]) -> None:
        """Compute the owners that a change of members can affect.

        Ranking 2,000 servers over a region's members takes a tenth of a
        second, during which no stream is relayed. A single member that joins
        or leaves changes the owners of only a few servers.
        """
        configuration = self._holder.document
        joined = [name for name in self._alive if name not in before]
        reusable = configuration is self._document and len(joined) <= 1
        self._document = configuration
        owners = {}
        for server in configuration.backend_servers.values():
            owner = self._owners.get(server.name) if reusable else None
            if owner in self._alive and _is_same_region(
                self._alive[owner], server, configuration
            ):
                names = {owner, *joined}
            else:
                names = set(self._alive)
            owners[server.name] = pick_owner(
                self._policy, server, self._list_candidates(server, names)
            )
        self._owners = owners

    def find_owner(self, server: str) -> str | None:
        """Return the name of the instance that owns a backend server."""
        self.refresh()
        return self._owners.get(server)

    def list_owned(self) -> list[document.BackendServer]:
        """Return the backend servers that this instance owns."""
        self.refresh()
        servers = self._holder.document.backend_servers.values()
        return [
            server
            for server in servers
            if self._owners[server.name] == self.name
        ]

    def list_owners(self, service: str) -> set[str]:
        """Return the instances that own a service's backend servers."""
        self.refresh()
        servers = self._holder.document.backend_servers.values()
        return {
            self._owners[server.name]
            for server in servers
            if server.service == service
        }

    def list_homes(self, service: str, client_account: str) -> tuple[str, ...]:
        """Return the dispatchers that schedule a client account, in order.

        The homes are the owners of the servers that rank highest for the
        account, so that accounts are distributed over dispatchers in
        proportion to the servers that they own.
        """
        self.refresh()
        key = (service, client_account)
        homes = self._homes.get(key)
        if homes is None:
            homes = self._homes[key] = self._pick_homes(*key)
        return homes

    def find_phase(self, service: str, client_account: str) -> float:
        """Return this instance's relative position among an account's homes.

        The position is between 0 and 1, and 1 outside the homes.
        """
        self.refresh()
        key = (service, client_account)
        phase = self._phases.get(key)
        if phase is None:
            homes = self.list_homes(service, client_account)
            phase = 1.0
            if self.name in homes:
                phase = (homes.index(self.name) + 0.5) / len(homes)
            self._phases[key] = phase
        return phase

    def list_alive(self) -> tuple[str, ...]:
        """Return the names of the members considered alive, in order."""
        self.refresh()
        return tuple(self._alive)

    def is_dead(self, name: str) -> bool:
        """Return whether an instance is known to be dead."""
        member = self._roster.get(name)
        return member is None or member.state == members.MemberState.DEAD

    def fraction(self) -> float:
        """Return the guaranteed part of each server's slots.

        Members that became unreachable count for `_LOST_SECONDS`.
        """
        self.refresh()
        since = self._clock() - _LOST_SECONDS
        lost = sum(1 for at in self._lost_at.values() if at >= since)
        return compute_slot_fraction(self._policy, len(self._alive), lost)

    def _pick_homes(
        self, service: str, client_account: str
    ) -> tuple[str, ...]:
        servers = self._holder.document.backend_servers.values()
        ranked = sorted(
            (server.name for server in servers if server.service == service),
            key=lambda name: identity.rendezvous_hash(client_account, name),
            reverse=True,
        )
        owners = dict.fromkeys(self._owners[name] for name in ranked)
        return tuple(owners)[: self._settings.dispatch.homes]

    def _update_members(self) -> None:
        alive = {
            member.name: member
            for member in self._roster.list_live()
            if member.name == self.name
            or member.state == members.MemberState.ALIVE
        }
        if not alive:
            # All members are leaving, including this instance. This instance
            # serves its own remaining requests.
            alive = {self.name: self._roster.get(self.name)}
        for name in self._alive.keys() - alive.keys():
            member = self._roster.get(name)
            leaving = members.MemberState.LEAVING
            if member is not None and member.state != leaving:
                self._lost_at[name] = self._clock()
        for name in alive:
            self._lost_at.pop(name, None)
        self._alive = alive

    def _list_candidates(
        self, server: document.BackendServer, names: set[str]
    ) -> tuple[str, ...]:
        """Return the members that may own a server.

        Members of the server's region are used if there are any: partitions
        between regions of up to an hour occur, and a server owned in its own
        region continues to serve that region's callers.
        """
        configuration = self._holder.document
        same_region = tuple(
            name
            for name in sorted(names)
            if _is_same_region(self._alive[name], server, configuration)
        )
        return same_region or tuple(sorted(names))


def _is_same_region(
    member: members.Member,
    server: document.BackendServer,
    configuration: document.Document,
) -> bool:
    domain = configuration.failure_domains.get(server.failure_domain)
    return domain is not None and member.region == domain.region
