"""Faults: what goes wrong with a fleet while a load runs.

Each fault is a function of the fleet, the load and the service that the load
is for. It returns when the fault is over; all but the last one end by
themselves within the load's time.
"""

import time
import typing

from amaranthslip.configuration import document
from amaranthslip.shares import ownership
from bench import fleet as fleet_module
from bench import load as load_module

FAULT_START_SECONDS = 8.0
_PAUSE_SECONDS = 10.0
_FAULT_SECONDS = 8.0
_DOWN_SECONDS = 3.0
_SLOW_SECONDS = 0.2
_STOP_TIMEOUT_SECONDS = 60.0


class Fault:
    """A fault's name, what it does, and what its run needs.

    Parameters
    ----------
    name : str
        As tables and `--scenario` name it.
    act : callable
        See the module.
    seconds : float
        How long its load runs.
    stale_list : bool
        Whether the platform's list is minutes behind in its run.
    """

    __slots__ = ('name', 'act', 'seconds', 'stale_list')

    def __init__(
        self,
        name: str,
        act: typing.Callable[
            [fleet_module.Fleet, load_module.Load, str], None
        ],
        *,
        seconds: float = 30.0,
        stale_list: bool = False,
    ) -> None:
        self.name = name
        self.act = act
        self.seconds = seconds
        self.stale_list = stale_list


def find_dispatcher(
    fleet: fleet_module.Fleet, service: str, *, policy: str = 'fleet'
) -> str:
    """Return the router that dispatches for most engines of a service."""
    policies = {
        'fleet': ownership.FleetPolicy(),
        'single': ownership.SinglePolicy(),
    }
    names = tuple(sorted(fleet.routers))
    owned = dict.fromkeys(names, 0)
    for values in fleet.deployment.document['backend_servers']:
        if values['service'] == service:
            server = document.BackendServer(**values)
            owner = ownership.pick_owner(
                policies.get(policy, policies['fleet']), server, names
            )
            owned[owner] += 1
    return max(names, key=lambda name: owned[name])


def _wait_until(load: load_module.Load, seconds: float) -> None:
    time.sleep(max(0.0, seconds - load.measure_time()))


def _bring_back(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.restart(name)
    fleet.wait_until_ready([name])


def kill_router(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash a router that owns few engines; start it without memory."""
    dispatcher = find_dispatcher(fleet, service)
    name = next(each for each in fleet.routers if each != dispatcher)
    fleet.kill(name)
    time.sleep(_DOWN_SECONDS)
    _bring_back(fleet, name)


def kill_dispatcher(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash the router that dispatches for most engines."""
    name = find_dispatcher(fleet, service)
    fleet.kill(name)
    time.sleep(_FAULT_SECONDS)
    _bring_back(fleet, name)


def pause_dispatcher(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Freeze a dispatcher for longer than its peers wait; let it go on."""
    name = find_dispatcher(fleet, service)
    fleet.pause(name)
    time.sleep(_PAUSE_SECONDS)
    fleet.resume(name)


def partition_halves(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Cut the fleet into halves and join them again."""
    fleet.network.partition(list(fleet.routers)[::2])
    time.sleep(_FAULT_SECONDS)
    fleet.network.heal()


def lose_one_way(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Lose what a dispatcher sends to one peer, but not the reverse."""
    name = find_dispatcher(fleet, service)
    other = next(each for each in fleet.routers if each != name)
    fleet.network.lose(name, other)
    time.sleep(_FAULT_SECONDS)
    fleet.network.heal()


def slow_link(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Delay all that a dispatcher sends and receives by 0.2 s one way."""
    name = find_dispatcher(fleet, service)
    fleet.network.slow(name, _SLOW_SECONDS)
    time.sleep(_FAULT_SECONDS)
    fleet.network.delay(fleet.deployment.delay_seconds)


def list_behind(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash and restart a router while the store lists one that ended.

    An entry lasts ten minutes: it names an instance that is long gone, and
    those that start try it as well.
    """
    kill_dispatcher(fleet, load, service)


def lose_key_value(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Take the key-value service down until the load is over."""
    fleet.key_value.fail('down')
    _wait_until(load, load.plan.seconds)
    fleet.key_value.fail('up')


def lose_key_value_and_dispatcher(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Two at once: no key-value service, and a dispatcher restarts."""
    fleet.key_value.fail('down')
    kill_dispatcher(fleet, load, service)
    fleet.key_value.fail('up')


def partition_twice(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Cut the fleet into halves two times in a row."""
    for _ in range(2):
        fleet.network.partition(list(fleet.routers)[::2])
        time.sleep(_FAULT_SECONDS / 2)
        fleet.network.heal()
        time.sleep(_FAULT_SECONDS / 4)


def replace_all(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Stop every router gracefully, one after the other, and start it."""
    for name in fleet.routers:
        fleet.begin_stop(name)
        code = fleet.routers[name].process.wait(_STOP_TIMEOUT_SECONDS)
        if code != 0:
            raise RuntimeError(f'{name} stopped with exit code {code}')
        _bring_back(fleet, name)


FAULTS = (
    Fault('router_killed', kill_router),
    Fault('dispatcher_killed', kill_dispatcher),
    Fault('dispatcher_paused', pause_dispatcher),
    Fault('partition', partition_halves),
    Fault('one_way_loss', lose_one_way),
    Fault('slow_link', slow_link),
    Fault('list_behind', list_behind, stale_list=True),
    Fault('key_value_down', lose_key_value),
    Fault('key_value_and_dispatcher', lose_key_value_and_dispatcher),
    Fault('partition_twice', partition_twice),
    Fault('rolling_replacement', replace_all, seconds=75.0),
)
