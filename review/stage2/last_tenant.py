"""Case: a new version takes the keys of the last tenant away."""

import asyncio
import pathlib
import time

from review.stage2 import case as case_
from review.stage2 import client
from review.stage2 import engine as engine_
from review.stage2 import store as store_

_FOLDER = pathlib.Path(__file__).resolve().parents[1] / '7'
_REVOKE_SECONDS = 5.0
_PAUSE_SECONDS = 0.05
_KEYS = ('key-a', 'key-that-never-was')


def _build_configuration(version, tenants):
    return {
        'version': version,
        'routes': [
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
                'public': False,
            }
        ],
        'services': [
            {'name': 'desk', 'health_path': '/health', 'max_connections': 400}
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 20000,
        },
        'tenants': tenants,
    }


async def _send_traffic(routers, attempts, until):
    number = 0
    while time.monotonic() < until:
        number += 1
        key = _KEYS[number % len(_KEYS)]
        router = routers[number // len(_KEYS) % len(routers)]
        attempts.append(
            await client.send(
                router, '/booking/x', kind=key, key=key, method='POST'
            )
        )
        await asyncio.sleep(_PAUSE_SECONDS)


async def main(case):
    store = store_.Store()
    await store.start()
    tenant = {'name': 'tenant-a', 'api_keys': ['key-a'], 'priority': 1}
    store.put_json('op/config', _build_configuration(3, [tenant]))
    engine = engine_.Engine(store, 'i-0', 'desk', 'zone-a')
    await engine.start()
    routers = [
        case.build_router(f'edge-{index}', 'zone-a', store.address)
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
        _send_traffic(routers, attempts, begin + 14.0)
    )
    await asyncio.sleep(4.0)
    store.put_json(
        'op/config',
        _build_configuration(8, [] if case.trouble else [tenant]),
    )
    acknowledged_at = time.monotonic()
    case.note(
        'version 8 is acknowledged: '
        + ('no tenant is left' if case.trouble else 'the tenant stays')
    )
    await traffic
    runs = {each.attempt: each for each in engine.runs}
    broken = []
    for each in attempts:
        run = runs.get(each.id)
        is_run = run is not None
        case.note(
            f'sent {each.id} with {each.kind}'
            f' at {case.since_start(each.sent_at):.3f},'
            f' answered {each.status},'
            f' {"run" if is_run else "not run"}'
            + (f' for tenant {run.tenant}' if is_run else '')
        )
        revoked = case.trouble and (
            each.sent_at > acknowledged_at + _REVOKE_SECONDS
        )
        if is_run and (revoked or each.kind == 'key-that-never-was'):
            broken.append(each)
    before = [each for each in attempts if each.sent_at < acknowledged_at]
    if not any(each.status == 200 for each in before):
        raise RuntimeError('nothing was served before the change')
    for key in _KEYS:
        count = sum(each.kind == key for each in broken)
        case.note(
            f'{count} requests with {key} ran that no configuration allows'
            f' (more than {_REVOKE_SECONDS:g} s after the acknowledgement,'
            ' or with a key that no configuration ever held)'
        )
    await store.stop()
    await engine.crash()
    return not broken


if __name__ == '__main__':
    case_.run(main, _FOLDER / 'run.sh')
