"""Faults of a soak, drawn by its seed: what, when, where, for how long.

Each is a function of the deployment and a generator of random numbers that
begins the fault and returns what ends it. They come in series and overlap.
"""

import contextlib
import heapq
import itertools
import time

from tests.soak import deployment as deployment_module

# Seconds: the longest fault; above every timeout of the routers' settings.
_LONGEST_SECONDS = 3.0
_SHORTEST_SECONDS = 0.2
# Seconds between the beginnings of two faults, at most.
_PAUSE_SECONDS = 0.6
# For a server to leave, on a busy machine.
_STOP_SECONDS = 30.0
_TICK_SECONDS = 0.02
# The name under which the store's process is held by one fault.
_STORE = 'store'
_NUMBERS = itertools.count()


def _pick_router(deployment, rng):
    return deployment.routers[rng.choice(sorted(deployment.routers))]


def _pick_server(deployment, rng):
    """Return a server whose process has no fault, or None."""
    idle = sorted(set(deployment.servers) - deployment.faulty)
    return deployment.servers[rng.choice(idle)] if idle else None


def _hold(deployment, name, end):
    """Keep other faults from a process until this one has ended."""
    deployment.faulty.add(name)

    def release():
        end()
        deployment.faulty.discard(name)

    return release


def _record_impairment(deployment, name, end):
    """Record from when to when a router's or server's traffic is impaired."""
    since = time.monotonic()

    def end_and_record():
        end()
        deployment.impairments.append((name, since, time.monotonic()))

    return end_and_record


def _restart(router):
    if not router.process.is_running():
        router.start()


def kill_router(deployment, rng):
    """Crash one; it starts again without memory."""
    router = _pick_router(deployment, rng)
    router.process.kill()
    return lambda: _restart(router)


def kill_all_routers(deployment, rng):
    """Crash all at once, as a loss of power does."""
    for router in deployment.routers.values():
        router.process.kill()

    def restart_all():
        for router in deployment.routers.values():
            _restart(router)

    return restart_all


def pause_router(deployment, rng):
    """Freeze one: its peers give it up, and its clocks jump."""
    router = _pick_router(deployment, rng)
    router.process.pause()
    return _record_impairment(deployment, router.name, router.process.resume)


def stop_router(deployment, rng):
    """Ask one to stop, mostly in the midst of requests; start it again."""
    router = _pick_router(deployment, rng)
    starts = router.starts
    router.process.terminate()

    def start_again():
        if router.starts == starts:
            deployment.finish(router)
            router.start()

    return start_again


def change_settings(deployment, rng):
    """Change a settings file, with and without a signal for it."""
    router = _pick_router(deployment, rng)
    limits = {'header_bytes': rng.choice([16384, 32768])}
    deployment.write_settings(router, limits=limits)
    if rng.random() < 0.5:
        router.process.hang_up()
    # In the first hundredth of a second of its life, before a line of the
    # program has run, a hang-up ends it, and its machine starts it again.
    return lambda: _restart(router)


def fail_store(deployment, rng):
    """Let the store fail everyone in one of its ways."""
    if _STORE in deployment.faulty:
        return None
    mode = rng.choice(
        ['down', 'refuse', 'throttle', 'slow', 'lose_answers', 'lose_some']
    )
    deployment.store.fail(mode, seconds=rng.uniform(0.1, 1.0))
    return _hold(deployment, _STORE, lambda: deployment.store.fail('up'))


def silence_watches(deployment, rng):
    """Let watches that wait now say nothing ever again."""
    if _STORE not in deployment.faulty:
        deployment.store.order('/standin/faults', silent_watches=True)


def compact_store(deployment, rng):
    """Drop the store's history: watches begin anew."""
    if _STORE not in deployment.faulty:
        deployment.store.order('/standin/compact')


def pause_store(deployment, rng):
    """Freeze the store's process."""
    if _STORE in deployment.faulty:
        return None
    process = deployment.store.process
    process.pause()
    return _hold(deployment, _STORE, process.resume)


def _impair(deployment, rng, name):
    """Impair one way of the network; return what ends it."""
    direction = rng.choice(['up', 'down', 'both'])
    faults = rng.choice(
        [
            {'delay_seconds': rng.uniform(0.05, 0.6)},
            {'drop': True},
            {'hold': True},
            {'bytes_per_second': 2000},
            {'reset_after_bytes': rng.randrange(1, 3000)},
            {'half_open': True, 'cut': True},
            {'refuse': True, 'cut': True},
            {'cut': True},
        ]
    )
    deployment.set_way(name, direction=direction, **faults)
    return lambda: deployment.set_way(name, heal=True, cut=True)


def impair_store_way(deployment, rng):
    """Impair one router's way to the store; the others reach it."""
    router = _pick_router(deployment, rng)
    return _impair(
        deployment, rng, deployment_module.name_store_way(router.name)
    )


def impair_server_way(deployment, rng):
    """Impair the way to one backend server."""
    name = rng.choice(sorted(deployment.servers))
    end = _impair(deployment, rng, name)
    return _record_impairment(deployment, name, end)


def lose_peer_way(deployment, rng):
    """Lose or delay what one router sends another, but not the reverse."""
    sender, receiver = rng.sample(sorted(deployment.routers), 2)
    if rng.random() < 0.5:
        deployment.network.lose(sender, receiver)
    else:
        deployment.network.slow(sender, rng.uniform(0.01, 0.5))
    return deployment.heal_peers


def partition_peers(deployment, rng):
    """Cut one router off from all others."""
    deployment.network.partition([_pick_router(deployment, rng).name])
    return deployment.heal_peers


def kill_server(deployment, rng):
    """Crash a backend server; it is back under its name, and knows nothing."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    server.process.kill()
    return _hold(
        deployment, server.name, lambda: deployment.start_server(server.name)
    )


def pause_server(deployment, rng):
    """Freeze a backend server."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    server.process.pause()
    resume = _record_impairment(deployment, server.name, server.process.resume)
    return _hold(deployment, server.name, resume)


def leave_server(deployment, rng):
    """Let a backend server leave, and come back."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    server.process.terminate()

    def start_again():
        server.process.wait(_STOP_SECONDS)
        deployment.start_server(server.name)

    return _hold(deployment, server.name, start_again)


def leave_server_unlisted(deployment, rng):
    """Let a backend server report in answers that it leaves, then leave."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    # A crashed server accepts no orders, and restarts without reporting it.
    with contextlib.suppress(OSError):
        server.standin.order('/standin/leaving')

    def leave():
        server.process.terminate()
        server.process.wait(_STOP_SECONDS)
        deployment.start_server(server.name)

    return _hold(deployment, server.name, leave)


def fail_server(deployment, rng):
    """Let a backend server fail some or all requests in one way."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    mode = rng.choice(['errors', 'hang', 'cut', 'foreign', 'refuse', 'slow'])
    _order_faults(server, mode, rng.choice([0.1, 0.5, 1.0]))
    return _hold(
        deployment, server.name, lambda: _order_faults(server, 'ok', 0.0)
    )


def back_off_server(deployment, rng):
    """Let a backend server refuse some or all requests with Retry-After."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    _order_faults(server, 'back_off', rng.choice([0.1, 0.5, 1.0]))
    return _hold(
        deployment, server.name, lambda: _order_faults(server, 'ok', 0.0)
    )


def _order_faults(server, mode, fraction):
    # A crashed server accepts no orders, and restarts without faults.
    with contextlib.suppress(OSError):
        server.standin.fail(mode, fraction=fraction)


def revoke_key(deployment, rng):
    """Take the key away, once."""
    if _STORE not in deployment.faulty:
        deployment.change(revoked=True)


def add_route(deployment, rng):
    """Add the route, once."""
    if _STORE not in deployment.faulty:
        deployment.change(added=True)


# How often each is drawn. Losing all routers ends all that is under way, and
# would hide what else went wrong, were it as frequent as the others.
FAULTS = {
    kill_router: 2,
    kill_all_routers: 1,
    pause_router: 3,
    stop_router: 3,
    change_settings: 2,
    fail_store: 4,
    silence_watches: 2,
    compact_store: 1,
    pause_store: 2,
    impair_store_way: 4,
    impair_server_way: 6,
    lose_peer_way: 3,
    partition_peers: 3,
    kill_server: 4,
    pause_server: 3,
    leave_server: 2,
    leave_server_unlisted: 4,
    fail_server: 10,
    back_off_server: 4,
    revoke_key: 2,
    add_route: 2,
}


def play(deployment, rng, *, seconds, tell):
    """Play faults for some seconds; all have ended when it returns."""
    over = time.monotonic() + seconds
    begin = time.monotonic()
    ends = []
    while time.monotonic() < over or ends:
        deployment.restart_crashed_servers()
        now = time.monotonic()
        if ends and ends[0][0] <= now:
            _, _, name, end = heapq.heappop(ends)
            tell(f'end {name}')
            end()
        elif begin <= now < over:
            begin = now + rng.uniform(0.0, _PAUSE_SECONDS)
            fault = rng.choices(list(FAULTS), list(FAULTS.values()))[0]
            tell(f'begin {fault.__name__}')
            end = fault(deployment, rng)
            if end is not None:
                due = now + rng.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
                # The number keeps functions from being compared.
                entry = (due, next(_NUMBERS), fault.__name__, end)
                heapq.heappush(ends, entry)
        else:
            time.sleep(_TICK_SECONDS)
