"""Case: an engine crashes and returns cold while the store is down."""

import asyncio
import pathlib
import random
import time

from review.stage2 import case as case_
from review.stage2 import client
from review.stage2 import engine as engine_
from review.stage2 import store as store_

_FOLDER = pathlib.Path(__file__).resolve().parents[1] / '8'
# The figures of the deployment whose pages name cold engines.
_COLD_SECONDS = 3.0
_COLD_PER_SECOND = 9.1
_OVERAGE = 1.5
_SLACK = 5.0
_BOUND = _COLD_PER_SECOND * _OVERAGE + _SLACK
# The figures that the deployment's site file has for both disruptions.
_DOWN_SECONDS = 4.5
_RETURN_SECONDS = 1.0
_RATE = 90.0


def _build_configuration():
    return {
        'version': 3,
        'routes': [
            {
                'name': 'lookup',
                'host': 'host.example',
                'prefix': '/lookup/',
                'kind': 'idempotent',
                'service': 'desk',
                'max_attempts': 2,
                'timeout_ms': 2500,
                'target_latency_ms': 200,
                'priority': 2,
            },
            {
                'name': 'booking',
                'host': 'host.example',
                'prefix': '/booking/',
                'kind': 'non_idempotent',
                'service': 'desk',
                'max_attempts': 1,
                'timeout_ms': 2500,
                'target_latency_ms': 200,
                'priority': 2,
            },
        ],
        'services': [
            {
                'name': 'desk',
                'health_path': '/health',
                'max_connections': 400,
                'cold_start_s': _COLD_SECONDS,
                'cold_per_s': _COLD_PER_SECOND,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 20000,
        },
        'tenants': [
            {'name': 'tenant-a', 'api_keys': ['key-a'], 'priority': 1}
        ],
    }


async def _send_traffic(routers, attempts, until):
    """Send requests at a steady rate, evenly to all routers."""
    pending = set()
    rng = random.Random(1)
    number = 0
    while time.monotonic() < until:
        number += 1
        router = routers[number % len(routers)]

        kind = 'booking' if number // 2 % 2 else 'lookup'

        async def send_one(router=router, kind=kind):
            attempts.append(
                await client.send(
                    router,
                    f'/{kind}/x',
                    kind=kind,
                    key='key-a',
                    method='POST' if kind == 'booking' else 'GET',
                    deadline_ms=2500,
                )
            )

        task = asyncio.create_task(send_one())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(rng.uniform(0.5, 1.5) / _RATE)
    await asyncio.gather(*pending)


def _find_worst_second(runs, begin, end):
    """Return the most arrivals in any second within a span, and its begin."""
    times = sorted(each.at for each in runs if begin <= each.at <= end)
    worst, worst_at = 0, begin
    for index, at in enumerate(times):
        count = sum(1 for each in times[index:] if each < at + 1.0)
        if count > worst:
            worst, worst_at = count, at
    return worst, worst_at


async def main(case):
    store = store_.Store()
    await store.start()
    store.put_json('op/config', _build_configuration())
    bounds = {'cold_rate_factor': _OVERAGE, 'cold_slack': _SLACK}
    engines = [
        engine_.Engine(store, f'i-{index}', 'desk', zone, work_seconds=0.045)
        for index, zone in enumerate(('zone-b', 'zone-a'))
    ]
    for engine in engines:
        await engine.start()
    routers = [
        case.build_router(f'edge-{index}', 'zone-a', store.address, **bounds)
        for index in range(2)
    ]
    for router in routers:
        router.start()
    for router in routers:
        await router.wait_ready()
    case.note('the routers are ready')
    attempts = []
    begin = time.monotonic()
    traffic = asyncio.create_task(
        _send_traffic(routers, attempts, begin + 16.0)
    )
    await asyncio.sleep(6.0)
    victim = engines[0]
    cold_from = cold_until = time.monotonic()
    if case.trouble:
        store.set_down(True)
        case.note('the store is down: every call gets 503')
        await asyncio.sleep(0.3)
        await victim.crash()
        case.note(f'{victim.name}, the only engine of its zone, crashes')
        await asyncio.sleep(_RETURN_SECONDS)
        victim.cold_bound = _BOUND
        await victim.start(cold_seconds=_COLD_SECONDS)
        cold_from, cold_until = time.monotonic(), victim.cold_until
        case.note(f'{victim.name} starts again under its id, cold for 3 s')
        await asyncio.sleep(_DOWN_SECONDS - 0.3 - _RETURN_SECONDS)
        store.set_down(False)
        case.note('the store answers again')
    await traffic
    if not case.trouble:
        cold_from, cold_until = begin, begin
    for each in attempts:
        case.note(
            f'sent {each.id} ({each.kind})'
            f' at {case.since_start(each.sent_at):.3f},'
            f' answered {each.status}'
            f' at {case.since_start(each.ended_at):.3f}'
        )
    for engine in engines:
        for run in engine.runs:
            case.note(
                f'run {run.attempt} at {engine.name}'
                f' at {case.since_start(run.at):.3f}'
            )
    served = sum(each.status == 200 for each in attempts)
    case.note(f'{len(attempts)} attempts, {served} served')
    if served < len(attempts) / 2:
        raise RuntimeError('less than half of the requests was served')
    if victim.crashed_at is not None:
        lost = sum(
            each.kind == 'booking'
            and each.status == 502
            and abs(each.ended_at - victim.crashed_at) < 0.5
            for each in attempts
        )
        case.note(
            f'{victim.name} crashed under these requests at'
            f' {case.since_start(victim.crashed_at):.3f}: {lost} bookings'
            ' ended with 502 then'
        )
    worst, worst_at = _find_worst_second(victim.runs, cold_from, cold_until)
    case.note(
        f'most requests in one second at {victim.name} while cold: {worst}'
        f' from {case.since_start(worst_at):.3f}; bound {_BOUND:.2f}'
    )
    for router in routers:
        if router.process.poll() is not None:
            raise RuntimeError(f'{router.name} ended')
    await store.stop()
    for engine in engines:
        await engine.crash()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return worst <= _BOUND


if __name__ == '__main__':
    case_.run(main, _FOLDER / 'run.sh')
