"""Case: two machines are stopped in turn; one passes streams to the other."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

from review.stage2 import case as case_
from review.stage2 import engine as engine_
from review.stage2 import fleet
from review.stage2 import kept
from review.stage2 import store as store_

_FOLDER = pathlib.Path(__file__).resolve().parents[1] / '6'
_GRACE_SECONDS = 8.0
# The site file's figure where all are stopped in turn.
_STOP_GAP_SECONDS = 2.0
_STREAMS = 30
# The gap in the site file of the deployment, where all are stopped in turn.
_WAIT_SECONDS = 30.0
_PASSED_PER_HALF_SECOND = 60
_EVENTS = 92
_EVENT_SECONDS = 0.1
_MODEL_HEADERS = (
    'Amaranthslip-Model: m',
    'Amaranthslip-Token-Usage: 300,90',
    'Amaranthslip-Prompt-Prefix: aa01:200,bb02:100',
)


def build_route(name, kind, service, timeout_ms, **fields):
    return {
        'name': name,
        'host': 'host.example',
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'max_attempts': 2,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 1,
    } | fields


def build_configuration():
    return {
        'version': 3,
        'routes': [
            build_route('lookup', 'idempotent', 'desk', 2500),
            build_route(
                'chat',
                'streaming',
                'pool',
                15000,
                resumable=True,
                target_gap_ms=400,
                session_affinity=True,
            ),
        ],
        'services': [
            {'name': 'desk', 'health_path': '/health', 'max_connections': 400},
            {
                'name': 'pool',
                'health_path': '/health',
                'max_connections': 400,
                'engine': {'kv_capacity': 240898},
            },
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


async def _stop(case, router, stops):
    """Stop a router as the platform does: SIGTERM, then SIGKILL."""
    stops[router.name] = time.monotonic()
    case.note(f'SIGTERM to {router.name}')
    router.process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + _GRACE_SECONDS
    while router.process.poll() is None and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    if router.process.poll() is None:
        router.process.kill()
        router.process.wait()
        case.note(f'{router.name} was killed after the grace time')
    else:
        case.note(f'{router.name} ended with {router.process.returncode}')
    router.start()
    case.note(f'{router.name} starts again')


async def wait_until_passing(case, router):
    """Wait until a router passes most of its requests to others.

    Raises
    ------
    CannotRun
        The load did not bring it to that.
    """
    counter = ('amaranthslip_passed_requests', '"passed"')
    deadline = time.monotonic() + _WAIT_SECONDS
    last = await router.read_counter(*counter)
    while time.monotonic() < deadline:
        await asyncio.sleep(0.5)
        count = await router.read_counter(*counter)
        if count - last >= _PASSED_PER_HALF_SECOND:
            case.note(f'{router.name} passes requests: {count:.0f} so far')
            return
        last = count
    raise fleet.CannotRun(f'{router.name} passes no requests')


async def main(case):
    store = store_.Store()
    await store.start()
    store.put_json('op/config', build_configuration())
    engines = [
        engine_.Engine(
            store,
            f'i-pool-{index}',
            'pool',
            'zone-a',
            slots=64,
            registers_start=False,
            event_count=_EVENTS,
            event_seconds=_EVENT_SECONDS,
        )
        for index in range(2)
    ]
    engines += [
        engine_.Engine(
            store,
            f'i-desk-{index}',
            'desk',
            'zone-a',
            work_seconds=0.002,
            slots=64,
            registers_start=False,
        )
        for index in range(2)
    ]
    for engine in engines:
        await engine.start()
    routers = [
        case.build_router(f'edge-{index}', 'zone-a', store.address)
        for index in range(3)
    ]
    for router in routers:
        router.start()
    for router in routers:
        await router.wait_ready()
    case.note('the routers are ready')
    hot = routers[-1]
    connections = [kept.KeptConnection(hot) for _ in range(_STREAMS)]
    for each in connections:
        await each.open()
        await each.send('/lookup/x', key='key-a')
    load = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'review.stage2.load',
            str(hot.callers),
            str(hot.process.pid),
            '0.85',
            '45.0',
        ],
        cwd=fleet.ROOT,
        env=dict(os.environ, PYTHONDONTWRITEBYTECODE='1'),
    )
    stops, tasks = {}, []
    try:
        await wait_until_passing(case, hot)
        for each in connections:
            tasks.append(
                asyncio.create_task(
                    each.send(
                        '/chat/x',
                        kind='chat',
                        key='key-a',
                        deadline_ms=15000,
                        headers=_MODEL_HEADERS,
                    )
                )
            )
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        stopping = []
        # The busy clients leave; only the streams and the stops go on.
        load.kill()
        if case.trouble:
            # Two machines at a time are the most that may be lost.
            for router in (routers[0], hot):
                stopping.append(
                    asyncio.create_task(_stop(case, router, stops))
                )
                await asyncio.sleep(_STOP_GAP_SECONDS)
        attempts = await asyncio.gather(*tasks)
        await asyncio.gather(*stopping)
    finally:
        load.kill()
        load.wait()
    runs = {}
    for engine in engines:
        for run in engine.runs:
            runs.setdefault(run.attempt, []).append(run)
    term_at = stops.get(hot.name)
    last_sixth = None
    if term_at is not None:
        last_sixth = term_at + _GRACE_SECONDS * 5 / 6
    lost = 0
    for each in attempts:
        own = runs.get(each.id, [])
        ended_at = max((run.ended_at for run in own), default=0.0)
        is_lost = bool(
            own
            and not each.complete
            and term_at is not None
            and each.ended_at > term_at
            and each.ended_at < last_sixth
            and not any(run.finished for run in own)
        )
        lost += is_lost
        case.note(
            f'sent {each.id} at {case.since_start(each.sent_at):.3f},'
            f' status {each.status}, {len(each.events)} events,'
            f' {"complete" if each.complete else "cut"}'
            f' at {case.since_start(each.ended_at):.3f}'
            f' {getattr(each, "problem", "")},'
            f' run {len(own)} times, the last until'
            f' {case.since_start(ended_at):.3f}'
            + (': lost' if is_lost else '')
        )
    logs = (case.working_folder / f'{hot.name}.log').read_text()
    case.note(f'{logs.count("passed_to=")} log lines name a passed request')
    if last_sixth is not None:
        case.note(
            f'the last sixth of the grace time of {hot.name} begins at'
            f' {case.since_start(last_sixth):.3f}'
        )
    case.note(f'{len(attempts)} streams, {lost} lost')
    if not any(each.status == 200 for each in attempts):
        raise RuntimeError('no stream began')
    for each in connections:
        each.close()
    await store.stop()
    for engine in engines:
        await engine.crash()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    if not case.trouble:
        return all(each.complete for each in attempts if each.status == 200)
    return lost == 0


if __name__ == '__main__':
    case_.run(main, _FOLDER / 'run.sh')
