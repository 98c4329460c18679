"""Streams can't be taken up again once all instances have been killed.

Clients read streams of a resumable route. All instances are killed at once and
come back. The engines serve all the while, all of one software version, and
new streams begin. The clients take theirs up again with `Last-Event-Id`, as
the pages let them. Each is refused: no process knows any more at which version
it began, and that only one version has served is not believed for ten minutes.
"""

import signal
import threading
import time
import zlib

from review.harness import case
from review.harness import fleet
from review.harness import http

_STREAMS = 20
# As `tag-chat`: 70 events, and a deadline of 15 s.
_EVENTS = 70
_EVENT_SECONDS = 0.15
_DEADLINE_SECONDS = 15.0
_READ_SECONDS = 2.0
_DOWN_SECONDS = 0.6
# Time from the instances' return until they are in touch.
_STABLE_SECONDS = 3.0
_MAX_TRIES = 3
_MAX_PAUSE_SECONDS = 1.0


class _Stream:
    """One client's stream, over its attempts."""

    def __init__(self, name: str, deployment: case.Deployment) -> None:
        self.name = name
        self._log = deployment.log
        self._deadline = time.monotonic() + _DEADLINE_SECONDS
        self._first_attempt = ''
        self._tries = 0
        self.last_event = 0
        # Whether the latest call of `read` brought an event.
        self.brought = False

    def read(self, router: fleet.Router, until: float) -> None:
        """Begin or take up the stream, and read it until a time."""
        self.brought = False
        for _ in range(_MAX_TRIES):
            pause = self._try(router, until)
            if self.brought or pause is None:
                return
            time.sleep(min(pause, _MAX_PAUSE_SECONDS))

    def _try(self, router: fleet.Router, until: float) -> float | None:
        """Make one attempt; return the pause before the next one, if any."""
        self._tries += 1
        attempt = f'{self.name}-{self._tries}'
        more = {}
        if self.last_event:
            more['Last_Event_Id'] = str(self.last_event)
            more['Resumes'] = self._first_attempt
        left = self._deadline - time.monotonic()
        part = zlib.crc32(self.name.encode())
        headers = fleet.build_headers(
            attempt,
            Amaranthslip_Model='m',
            Amaranthslip_Token_Usage='715,280',
            Amaranthslip_Prompt_Prefix=f'5c1e07a2:172,{part:08x}:543',
            Content_Length='2',
            **more,
        )
        headers['Amaranthslip-Deadline-Ms'] = str(max(1, int(left * 1000)))
        start, answer = 'no answer', None
        try:
            with http.connect(router.callers) as sock:
                sock.settimeout(max(0.1, until - time.monotonic()))
                data = http.write('POST /chat/x HTTP/1.1', headers, b'{}')
                sock.sendall(data)
                reader = http.Reader(sock)
                answer = reader.read_head()
                if answer is not None:
                    start = answer.start
                if answer is not None and answer.status == 200:
                    self._read_events(reader, attempt, until)
        except OSError:
            pass
        self._log.log(
            f'client {attempt} at {router.name}, with'
            f' {more or "no event yet"}: {start},'
            f' now at event {self.last_event}'
        )
        if answer is None:
            return 0.3
        pause = answer.headers.get('retry-after')
        return None if pause is None else float(pause)

    def _read_events(
        self, reader: http.Reader, attempt: str, until: float
    ) -> None:
        while time.monotonic() < until:
            chunk = reader.read_chunk()
            if not chunk:
                return
            for line in chunk.split(b'\n'):
                if not line.startswith(b'id: '):
                    continue
                self.last_event = int(line[4:])
                self.brought = True
                self._first_attempt = self._first_attempt or attempt


def _read_all(
    streams: list[_Stream], routers: list[fleet.Router], seconds: float
) -> list[threading.Thread]:
    """Let all clients read for some time, in the background."""
    until = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=each.read, args=(routers[number % len(routers)], until)
        )
        for number, each in enumerate(streams)
    ]
    for each in threads:
        each.start()
    return threads


def _kill_all(deployment: case.Deployment) -> None:
    for each in deployment.routers:
        each.signal(signal.SIGKILL)
    deployment.log.log('all instances are killed')
    for each in deployment.routers:
        each.wait(10.0)
    time.sleep(_DOWN_SECONDS)
    for each in deployment.routers:
        each.start()


def check(deployment: case.Deployment, trouble: bool) -> bool:
    """Return whether streams go on less than half as often as others begin."""
    log = deployment.log
    route = fleet.build_route(
        'chat',
        'streaming',
        'pool',
        timeout_ms=15000,
        target_gap_ms=400,
        resumable=True,
        session_affinity=True,
    )
    configuration = fleet.build_configuration(
        1, [route], ['pool'], memory_tokens=353113
    )
    deployment.store.put('op/config', configuration)
    deployment.start_engines(
        'pool',
        4,
        slots=64,
        event_count=_EVENTS,
        event_seconds=_EVENT_SECONDS,
    )
    deployment.start_routers(3)
    # The instances have started over `stable_window_ms` ago.
    time.sleep(_STABLE_SECONDS + 1.0)
    streams = [_Stream(f'old-{n}', deployment) for n in range(_STREAMS)]
    threads = _read_all(streams, deployment.routers, _READ_SECONDS)
    time.sleep(_READ_SECONDS / 2)
    if trouble:
        _kill_all(deployment)
    for each in threads:
        each.join()
    begun = [each for each in streams if each.last_event]
    log.log(f'{len(begun)} of {_STREAMS} streams began, and have broken off')
    for each in deployment.routers:
        each.wait_until_ready()
    time.sleep(_STABLE_SECONDS)
    log.log('all instances are in touch; clients take their streams up')
    new = [_Stream(f'new-{n}', deployment) for n in range(_STREAMS)]
    # Taken up at another instance than before.
    routers = [*deployment.routers[1:], deployment.routers[0]]
    for each in [
        *_read_all(begun, routers, _READ_SECONDS),
        *_read_all(new, routers, _READ_SECONDS),
    ]:
        each.join()
    went_on = sum(each.brought for each in begun)
    newly_begun = sum(each.brought for each in new)
    log.log(
        f'{went_on} of {len(begun)} streams that were taken up went on,'
        f' {newly_begun} of {_STREAMS} new ones began'
    )
    if len(begun) < 12:
        raise RuntimeError('fewer than 12 streams were taken up')
    share = newly_begun / _STREAMS
    return went_on / len(begun) < share / 2


if __name__ == '__main__':
    case.run(__file__, check)
