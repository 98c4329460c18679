"""Faults that are injected into a fleet while a load runs.

Each fault is a function of the fleet, the load and the service that receives
the load. The function returns when the fault has ended. Every fault except
the rolling replacement ends within the duration of its load.
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
    """A fault's name, the function that injects it and its run's options.

    Parameters
    ----------
    name : str
        Name in tables and for the option `--scenario`.
    inject : callable
        Injects the fault and returns when it has ended. Called with the
        fleet, the load and the name of the service.
    seconds : float
        Duration of the load.
    stale_list : bool
        Whether the platform's list of instances contains an entry of an
        instance that has ended.
    """

    __slots__ = ('name', 'inject', 'seconds', 'stale_list')

    def __init__(
        self,
        name: str,
        inject: typing.Callable[
            [fleet_module.Fleet, load_module.Load, str], None
        ],
        *,
        seconds: float = 30.0,
        stale_list: bool = False,
    ) -> None:
        self.name = name
        self.inject = inject
        self.seconds = seconds
        self.stale_list = stale_list


def find_dispatcher(
    fleet: fleet_module.Fleet, service: str, *, policy: str = 'fleet'
) -> str:
    """Return the router that dispatches for the most engines of a service."""
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
    time.sleep(max(0.0, seconds - load.read_elapsed_seconds()))


def _restart_router(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.restart(name)
    fleet.wait_until_ready([name])


def kill_router(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash a router other than the main dispatcher and restart it.

    The restarted process has none of its earlier state.
    """
    dispatcher = find_dispatcher(fleet, service)
    name = next(each for each in fleet.routers if each != dispatcher)
    fleet.kill(name)
    time.sleep(_DOWN_SECONDS)
    _restart_router(fleet, name)


def kill_dispatcher(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash and restart the router that dispatches for the most engines."""
    name = find_dispatcher(fleet, service)
    fleet.kill(name)
    time.sleep(_FAULT_SECONDS)
    _restart_router(fleet, name)


def pause_dispatcher(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Pause a dispatcher for longer than its peers wait, then resume it."""
    name = find_dispatcher(fleet, service)
    fleet.pause(name)
    time.sleep(_PAUSE_SECONDS)
    fleet.resume(name)


def partition_halves(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Partition the fleet into two halves, then heal the partition."""
    fleet.network.partition(list(fleet.routers)[::2])
    time.sleep(_FAULT_SECONDS)
    fleet.network.heal()


def drop_one_way(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Drop what a dispatcher sends to one peer, but not the reverse."""
    name = find_dispatcher(fleet, service)
    peer = next(each for each in fleet.routers if each != name)
    fleet.network.lose(name, peer)
    time.sleep(_FAULT_SECONDS)
    fleet.network.heal()


def slow_link(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Delay a dispatcher's messages by 0.2 s in each direction."""
    name = find_dispatcher(fleet, service)
    fleet.network.slow(name, _SLOW_SECONDS)
    time.sleep(_FAULT_SECONDS)
    fleet.network.delay(fleet.deployment.delay_seconds)


def restart_with_stale_list(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash and restart a router while the store lists an ended instance.

    An entry expires after ten minutes. Until then it lists an instance that
    has ended, and routers that start try to connect to that instance too.
    """
    kill_dispatcher(fleet, load, service)


def stop_key_value(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Make the key-value service unavailable until the load ends."""
    fleet.key_value.fail('down')
    _wait_until(load, load.plan.seconds)
    fleet.key_value.fail('up')


def stop_key_value_and_dispatcher(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Crash and restart a dispatcher while the key-value service is down."""
    fleet.key_value.fail('down')
    kill_dispatcher(fleet, load, service)
    fleet.key_value.fail('up')


def partition_twice(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Partition the fleet into two halves twice in a row."""
    for _ in range(2):
        fleet.network.partition(list(fleet.routers)[::2])
        time.sleep(_FAULT_SECONDS / 2)
        fleet.network.heal()
        time.sleep(_FAULT_SECONDS / 4)


def replace_routers(
    fleet: fleet_module.Fleet, load: load_module.Load, service: str
) -> None:
    """Stop and restart every router gracefully, one after the other.

    Raises
    ------
    RuntimeError
        A router did not exit with code 0.
    """
    for name in fleet.routers:
        fleet.begin_stop(name)
        code = fleet.routers[name].process.wait(_STOP_TIMEOUT_SECONDS)
        if code != 0:
            raise RuntimeError(f'{name} stopped with exit code {code}')
        _restart_router(fleet, name)


FAULTS = (
    Fault('router_killed', kill_router),
    Fault('dispatcher_killed', kill_dispatcher),
    Fault('dispatcher_paused', pause_dispatcher),
    Fault('partition', partition_halves),
    Fault('one_way_loss', drop_one_way),
    Fault('slow_link', slow_link),
    Fault('list_behind', restart_with_stale_list, stale_list=True),
    Fault('key_value_down', stop_key_value),
    Fault('key_value_and_dispatcher', stop_key_value_and_dispatcher),
    Fault('partition_twice', partition_twice),
    Fault('rolling_replacement', replace_routers, seconds=75.0),
)
