"""Faults of a soak; the seed determines kind, time, target and duration.

Each fault is a function that takes the deployment and a random number
generator, begins the fault, and returns a function that ends the fault, or
None if there is nothing to end. Faults overlap.
"""

import contextlib
import heapq
import itertools
import time

from tests.soak import deployment as deployment_module

# Longer than every timeout by which the routers' settings detect a fault.
_MAX_FAULT_SECONDS = 3.0
_MIN_FAULT_SECONDS = 0.2
# Longest outage of the store before it is restored from a copy.
_MAX_RESTORE_SECONDS = 0.5
# Longest time between the beginnings of two faults.
_MAX_PAUSE_SECONDS = 0.6
# Time limit for a server to stop; generous for a busy machine.
_LEAVE_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.02
# Name of the store in `Deployment.faulted`.
_STORE = 'store'
_SEQUENCE_NUMBERS = itertools.count()


def _pick_router(deployment, rng):
    return deployment.routers[rng.choice(sorted(deployment.routers))]


def _pick_server(deployment, rng):
    """Return a random server without an active process fault, or None."""
    available = sorted(set(deployment.servers) - deployment.faulted)
    return deployment.servers[rng.choice(available)] if available else None


def _reserve_process(deployment, name, end_fault):
    """Exclude a process from other faults until this fault has ended."""
    deployment.faulted.add(name)

    def release():
        end_fault()
        deployment.faulted.discard(name)

    return release


def _record_impairment(deployment, name, end_fault):
    """Record the interval in which a router's or server's traffic suffers."""
    since = time.monotonic()

    def end_and_record():
        end_fault()
        deployment.impairments.append((name, since, time.monotonic()))

    return end_and_record


def _restart(router):
    if not router.process.is_running():
        router.start()


def kill_router(deployment, rng):
    """Kill a router; restart it without its in-memory state."""
    router = _pick_router(deployment, rng)
    router.process.kill()
    return lambda: _restart(router)


def kill_all_routers(deployment, rng):
    """Kill all routers at once, as a power failure does."""
    for router in deployment.routers.values():
        router.process.kill()

    def restart_all():
        for router in deployment.routers.values():
            _restart(router)

    return restart_all


def kill_all_during_rollout(deployment, rng):
    """Kill all routers at once, some twice, while engines change versions.

    The engines of the older version have left, or both versions serve. The
    store is up, slow or down, and may lose all leased entries meanwhile.
    """
    if _STORE in deployment.faulted:
        return None
    leaving = []
    if rng.random() < 0.5:
        leaving = _pick_older_servers(deployment)
    for server in leaving:
        server.process.terminate()
        server.process.wait(_LEAVE_TIMEOUT_SECONDS)
    mode = rng.choice(['up', 'slow', 'down'])
    if mode != 'up':
        deployment.store.fail(mode, seconds=rng.uniform(0.1, 1.0))
    for router in deployment.routers.values():
        router.process.kill()
    if rng.random() < 0.5:
        deployment.store.order('/standin/expire')
    for name in rng.sample(
        sorted(deployment.routers), rng.randrange(len(deployment.routers))
    ):
        router = deployment.routers[name]
        _restart(router)
        router.process.kill()

    def restart_all():
        deployment.store.fail('up')
        for router in deployment.routers.values():
            _restart(router)
        for server in leaving:
            deployment.faulted.discard(server.name)
            deployment.start_server(server.name)

    deployment.faulted.update(each.name for each in leaving)
    return _reserve_process(deployment, _STORE, restart_all)


def _pick_older_servers(deployment):
    """Return the running servers of the older version of the engines."""
    versions = {each.software_version for each in deployment.servers.values()}
    return [
        each
        for name, each in deployment.servers.items()
        if each.software_version == min(versions)
        and name not in deployment.faulted
        and each.process.is_running()
    ]


def pause_router(deployment, rng):
    """Pause a router: its peers declare it dead, and its clocks jump."""
    router = _pick_router(deployment, rng)
    router.process.pause()
    return _record_impairment(deployment, router.name, router.process.resume)


def stop_router(deployment, rng):
    """Stop a router with SIGTERM, mostly during requests; restart it."""
    router = _pick_router(deployment, rng)
    start_count = router.start_count
    router.process.terminate()

    def start_again():
        if router.start_count == start_count:
            deployment.wait_for_stop(router)
            router.start()

    return start_again


def change_settings(deployment, rng):
    """Change a router's settings file, with or without sending SIGHUP."""
    router = _pick_router(deployment, rng)
    limits = {'header_bytes': rng.choice([16384, 32768])}
    deployment.write_settings(router, limits=limits)
    if rng.random() < 0.5:
        router.process.hang_up()
    # Within about 10 ms of its start, before the program has installed its
    # handler, SIGHUP kills the process. A supervisor would restart it.
    return lambda: _restart(router)


def fail_store(deployment, rng):
    """Let the store fail all calls in a random mode."""
    if _STORE in deployment.faulted:
        return None
    mode = rng.choice(
        ['down', 'refuse', 'throttle', 'slow', 'lose_answers', 'lose_some']
    )
    deployment.store.fail(mode, seconds=rng.uniform(0.1, 1.0))
    return _reserve_process(
        deployment, _STORE, lambda: deployment.store.fail('up')
    )


def silence_watches(deployment, rng):
    """Stop the delivery of events to all open watches."""
    if _STORE not in deployment.faulted:
        deployment.store.order('/standin/faults', silent_watches=True)


def compact_store(deployment, rng):
    """Drop the store's history, which ends all open watches."""
    if _STORE not in deployment.faulted:
        deployment.store.order('/standin/compact')


def restore_store(deployment, rng):
    """Copy the store, and restore that copy some seconds later.

    The operator then writes the configuration again, and servers register
    again, as their leases may be gone.
    """
    if _STORE in deployment.faulted:
        return None
    deployment.store.order('/standin/snapshot', name='soak')

    def restore():
        deployment.store.fail('down')
        time.sleep(rng.uniform(0.0, _MAX_RESTORE_SECONDS))
        deployment.store.order('/standin/restore', name='soak')
        deployment.store.fail('up')
        deployment.write_configuration_again()

    return _reserve_process(deployment, _STORE, restore)


def pause_store(deployment, rng):
    """Pause the process of the store."""
    if _STORE in deployment.faulted:
        return None
    process = deployment.store.process
    process.pause()
    return _reserve_process(deployment, _STORE, process.resume)


def _impair(deployment, rng, name):
    """Impair one proxy listener; return a function that ends the fault."""
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
    deployment.set_proxy_faults(name, direction=direction, **faults)
    return lambda: deployment.set_proxy_faults(name, heal=True, cut=True)


def impair_store_connection(deployment, rng):
    """Impair the connection of a single router to the store."""
    router = _pick_router(deployment, rng)
    return _impair(
        deployment, rng, deployment_module.name_store_listener(router.name)
    )


def impair_server_connection(deployment, rng):
    """Impair the connections of all routers to one backend server."""
    name = rng.choice(sorted(deployment.servers))
    end_fault = _impair(deployment, rng, name)
    return _record_impairment(deployment, name, end_fault)


def impair_peer_connection(deployment, rng):
    """Drop a router's messages to another one, or delay all its messages."""
    sender, receiver = rng.sample(sorted(deployment.routers), 2)
    if rng.random() < 0.5:
        deployment.network.lose(sender, receiver)
    else:
        deployment.network.slow(sender, rng.uniform(0.01, 0.5))
    return deployment.clear_peer_faults


def partition_peers(deployment, rng):
    """Partition one router from all others."""
    deployment.network.partition([_pick_router(deployment, rng).name])
    return deployment.clear_peer_faults


def kill_server(deployment, rng):
    """Kill a backend server; restart it under its name, without state."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    server.process.kill()
    return _reserve_process(
        deployment, server.name, lambda: deployment.start_server(server.name)
    )


def pause_server(deployment, rng):
    """Pause a backend server."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    server.process.pause()
    resume = _record_impairment(deployment, server.name, server.process.resume)
    return _reserve_process(deployment, server.name, resume)


def leave_server(deployment, rng):
    """Stop a backend server gracefully, then restart it."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    server.process.terminate()

    def start_again():
        server.process.wait(_LEAVE_TIMEOUT_SECONDS)
        deployment.start_server(server.name)

    return _reserve_process(deployment, server.name, start_again)


def leave_server_unlisted(deployment, rng):
    """Announce in a server's responses that it leaves; stop it afterwards.

    Its entry in the store doesn't announce this before the server is stopped.
    """
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    # A crashed server accepts no control requests; after its restart it does
    # not report that it is leaving.
    with contextlib.suppress(OSError):
        server.standin.order('/standin/leaving')

    def leave():
        server.process.terminate()
        server.process.wait(_LEAVE_TIMEOUT_SECONDS)
        deployment.start_server(server.name)

    return _reserve_process(deployment, server.name, leave)


def fail_server(deployment, rng):
    """Let a backend server fail some or all requests in a random mode."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    mode = rng.choice(['errors', 'hang', 'cut', 'foreign', 'refuse', 'slow'])
    _set_server_faults(server, mode, rng.choice([0.1, 0.5, 1.0]))
    return _reserve_process(
        deployment, server.name, lambda: _set_server_faults(server, 'ok', 0.0)
    )


def back_off_server(deployment, rng):
    """Let a backend server reject some or all requests with Retry-After."""
    server = _pick_server(deployment, rng)
    if server is None:
        return None
    _set_server_faults(server, 'back_off', rng.choice([0.1, 0.5, 1.0]))
    return _reserve_process(
        deployment, server.name, lambda: _set_server_faults(server, 'ok', 0.0)
    )


def _set_server_faults(server, mode, fraction):
    # A crashed server accepts no control requests, and restarts without
    # faults.
    with contextlib.suppress(OSError):
        server.standin.fail(mode, fraction=fraction)


def revoke_key(deployment, rng):
    """Revoke the key, unless already done."""
    if _STORE not in deployment.faulted:
        deployment.change_configuration(revoked=True)


def add_route(deployment, rng):
    """Add the route, unless already done."""
    if _STORE not in deployment.faulted:
        deployment.change_configuration(added=True)


# Relative frequency of each fault. Killing all routers ends every request in
# progress. At the frequency of the other faults it would hide their effects.
FAULTS = {
    kill_router: 2,
    kill_all_routers: 1,
    kill_all_during_rollout: 1,
    pause_router: 3,
    stop_router: 3,
    change_settings: 2,
    fail_store: 4,
    silence_watches: 2,
    compact_store: 1,
    restore_store: 3,
    pause_store: 2,
    impair_store_connection: 4,
    impair_server_connection: 6,
    impair_peer_connection: 3,
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


def inject_faults(deployment, rng, *, seconds, log):
    """Inject faults for some seconds; return when all have ended."""
    deadline = time.monotonic() + seconds
    next_begin = time.monotonic()
    scheduled_ends = []
    while time.monotonic() < deadline or scheduled_ends:
        deployment.restart_crashed_servers()
        now = time.monotonic()
        if scheduled_ends and scheduled_ends[0][0] <= now:
            _, _, name, end_fault = heapq.heappop(scheduled_ends)
            log(f'end {name}')
            end_fault()
        elif next_begin <= now < deadline:
            next_begin = now + rng.uniform(0.0, _MAX_PAUSE_SECONDS)
            fault = rng.choices(list(FAULTS), list(FAULTS.values()))[0]
            log(f'begin {fault.__name__}')
            end_fault = fault(deployment, rng)
            if end_fault is not None:
                due = now + rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)
                # The unique number prevents the heap from comparing functions.
                entry = (
                    due,
                    next(_SEQUENCE_NUMBERS),
                    fault.__name__,
                    end_fault,
                )
                heapq.heappush(scheduled_ends, entry)
        else:
            time.sleep(_POLL_SECONDS)
