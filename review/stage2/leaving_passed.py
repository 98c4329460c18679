"""Case: an answer that says that its engine leaves comes through a peer."""

import asyncio
import os
import pathlib
import subprocess
import sys
import time

from review.stage2 import case as case_
from review.stage2 import engine as engine_
from review.stage2 import fleet
from review.stage2 import kept
from review.stage2 import rolling_stop
from review.stage2 import senders
from review.stage2 import store as store_

_FOLDER = pathlib.Path(__file__).resolve().parents[1] / '10'
_DRAIN_SECONDS = 2.0
_DOWN_SECONDS = 4.5
# Seconds after the begin of the outage at which the busy clients have left.
_BUSY_SECONDS = 1.0
_WARM_UP_REQUESTS = 4
_PAUSE_SECONDS = 0.1
_AT_ONCE = 6
_MODEL_HEADERS = (
    'Amaranthslip-Model: m',
    'Amaranthslip-Token-Usage: 2300,90',
    'Amaranthslip-Prompt-Prefix: aa01:2000,bb02:300',
)


async def _chat(router, attempts):
    """Send one short stream on a connection of its own."""
    connection = kept.KeptConnection(router)
    await connection.open()
    attempt = await connection.send(
        '/chat/x',
        kind='chat',
        key='key-a',
        deadline_ms=6000,
        headers=_MODEL_HEADERS,
    )
    connection.close()
    attempts.append(attempt)
    return attempt


async def _wait_until_passing_all(router):
    for _ in range(100):
        await asyncio.sleep(0.2)
        if (await router.read_status())['passed_fraction'] >= 1.0:
            return
    raise fleet.CannotRun(f'{router.name} does not pass all requests')


def _find_run(engines, attempt):
    return next(
        (
            run
            for engine in engines
            for run in engine.runs
            if run.attempt == attempt.id
        ),
        None,
    )


async def main(case):
    store = store_.Store()
    await store.start()
    store.put_json('op/config', rolling_stop.build_configuration())
    engines = [
        engine_.Engine(
            store,
            f'i-pool-{index}',
            'pool',
            'zone-a',
            slots=64,
            registers_start=False,
            event_count=2,
            event_seconds=0.01,
        )
        for index in range(6)
    ]
    desks = [
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
    for engine in engines + desks:
        await engine.start()
    routers = [
        case.build_router(f'edge-{index}', 'zone-a', store.address)
        for index in range(4)
    ]
    for router in routers:
        router.start()
    for router in routers:
        await router.wait_ready()
    case.note('the routers are ready')
    hot = routers[-1]
    load = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'review.stage2.load',
            str(hot.callers),
            str(hot.process.pid),
            '0.9',
            '60.0',
        ],
        cwd=fleet.ROOT,
        env=dict(os.environ, PYTHONDONTWRITEBYTECODE='1'),
    )
    find_sender = senders.SenderFinder(routers)
    for engine in engines:
        engine.find_sender = find_sender
    attempts = []
    try:
        await rolling_stop.wait_until_passing(case, hot)
        await _wait_until_passing_all(hot)
        for _ in range(_WARM_UP_REQUESTS):
            await _chat(hot, attempts)
        run = _find_run(engines, attempts[-1])
        if run is None:
            raise fleet.CannotRun('the warm-up requests were not run')
        leaver = run.engine
        began_at = time.monotonic()
        if case.trouble:
            store.set_down(True)
            case.note('the store is down: every call gets 503')
            leaver.leaving = True
            case.note(f'{leaver.name} leaves, and says so in its answers')
        await asyncio.sleep(0.1)
        told = await _chat(hot, attempts)
        told_at = told.ended_at
        await asyncio.sleep(began_at + _BUSY_SECONDS - time.monotonic())
        load.kill()
        case.note('the busy clients leave')
        await asyncio.sleep(told_at + _DRAIN_SECONDS + 0.1 - time.monotonic())
        while time.monotonic() < began_at + _DOWN_SECONDS:
            await asyncio.gather(
                *[_chat(hot, attempts) for _ in range(_AT_ONCE)]
            )
            await asyncio.sleep(_PAUSE_SECONDS)
        if case.trouble:
            store.set_down(False)
            case.note('the store answers again')
    finally:
        load.kill()
        load.wait()
    late = 0
    for each in attempts:
        run = _find_run(engines, each)
        is_late = bool(
            case.trouble
            and run is not None
            and run.engine is leaver
            and run.sender == hot.name
            and each.sent_at > told_at + _DRAIN_SECONDS
        )
        late += is_late
        case.note(
            f'sent {each.id} at {case.since_start(each.sent_at):.3f},'
            f' answered {each.status}'
            f' at {case.since_start(each.ended_at):.3f}'
            + (
                ' with Server-Leaving'
                if each.headers.get('server-leaving')
                else ''
            )
            + (f', run at {run.engine.name} from {run.sender}' if run else '')
            + (': too late' if is_late else '')
        )
    run = _find_run(engines, told)
    if case.trouble and (
        run is None or run.engine is not leaver or run.sender == hot.name
    ):
        raise fleet.CannotRun('the first request was not passed to a peer')
    case.note(
        f'{late} requests that were sent more than {_DRAIN_SECONDS:g} s after'
        f' {hot.name} had passed on that {leaver.name} leaves reached it from'
        f' {hot.name}'
    )
    return late == 0


if __name__ == '__main__':
    case_.run(main, _FOLDER / 'run.sh')
