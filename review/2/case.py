"""Prompts of many parts make instances exceed their memory.

Callers send prompts of the usual size, cut into many parts, within
`max_header_bytes`. An instance keeps 4,000 keys for each engine, and each key
holds the ids of all parts before it, so that they take a hundred times the
memory that the limit of entries was meant for. The platform ends the process
for it, and with it the requests that engines run.
"""

import random
import threading
import time

from review.harness import case
from review.harness import fleet
from review.harness import http

# As in the deployment `psul-ativos`: 150 MB for each instance, 6 engines of 64
# slots, and prompts of 8,600 tokens.
_MEMORY_MEGABYTES = 150
_ENGINES = 6
_SLOTS = 64
_MEMORY_TOKENS = 240898
_PROMPT_TOKENS = 8610
_OUTPUT_TOKENS = 50
_MANY_PARTS = 1230
_FEW_PARTS = 3
_CALLERS_PER_ROUTER = 8
_WORK_SECONDS = 0.5
_TRAFFIC_SECONDS = 25.0
_MEMORY_POLL_SECONDS = 0.02
_RESTART_SECONDS = 0.5
# Requests that may be lost, by the rule.
_MAX_LOST = 3


class _Platform:
    """Ends processes that exceed their memory, and starts them again."""

    def __init__(self, deployment: case.Deployment) -> None:
        self._deployment = deployment
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(each,))
            for each in deployment.routers
        ]
        self.ends = 0

    def start(self) -> None:
        """Watch all routers in the background."""
        for each in self._threads:
            each.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        for each in self._threads:
            each.join()

    def _watch(self, router: fleet.Router) -> None:
        log, most = self._deployment.log, 0.0
        while not self._stopped.wait(_MEMORY_POLL_SECONDS):
            used = router.read_memory()
            most = max(most, used)
            if used <= _MEMORY_MEGABYTES:
                continue
            log.log(f'platform ends {router.name}, which uses {used:.0f} MB')
            self.ends += 1
            router.close()
            time.sleep(_RESTART_SECONDS)
            router.start()
        log.log(f'{router.name} used {most:.0f} MB at most')


class _Caller:
    """A caller that keeps its connection, one request after the other."""

    def __init__(
        self, number: int, router: fleet.Router, deployment: case.Deployment
    ) -> None:
        self._name = f'{router.name}-{number}'
        self._router = router
        self._log = deployment.log
        self._random = random.Random(self._name)
        # Attempts whose kept connection ended without any byte of an answer.
        self.unanswered: list[str] = []
        self.count = 0

    def run(self, until: float, part_count: int) -> None:
        """Send requests until a time."""
        while time.monotonic() < until:
            try:
                with http.connect(self._router.callers) as sock:
                    self._use(sock, until, part_count)
            except OSError:
                time.sleep(0.1)

    def _use(self, sock, until: float, part_count: int) -> None:
        reader, kept = http.Reader(sock), False
        while time.monotonic() < until:
            self.count += 1
            attempt = f'{self._name}-{self.count}'
            sock.sendall(self._build(attempt, part_count))
            answer = reader.read()
            if answer is None:
                self._log.log(f'client gets no answer to {attempt}')
                if kept:
                    self.unanswered.append(attempt)
                return
            kept = True
            self._log.log(f'client gets {answer.start} to {attempt}')
            if not answer.complete or answer.status != 200:
                time.sleep(0.1)
            if answer.headers.get('connection') == 'close':
                return

    def _build(self, attempt: str, part_count: int) -> bytes:
        tokens = _PROMPT_TOKENS // part_count
        parts = ','.join(
            f'{self._random.getrandbits(32):08x}:{tokens}'
            for _ in range(part_count)
        )
        headers = fleet.build_headers(
            attempt,
            Amaranthslip_Model='m',
            Amaranthslip_Token_Usage=f'{_PROMPT_TOKENS},{_OUTPUT_TOKENS}',
            Amaranthslip_Prompt_Prefix=parts,
            Content_Length='2',
        )
        return http.write('POST /recon/x HTTP/1.1', headers, b'{}')


def check(deployment: case.Deployment, trouble: bool) -> bool:
    """Return whether requests that engines ran were lost."""
    log = deployment.log
    route = fleet.build_route(
        'recon', 'streaming', 'pool', timeout_ms=6000, resumable=True
    )
    configuration = fleet.build_configuration(
        1, [route], ['pool'], memory_tokens=_MEMORY_TOKENS
    )
    deployment.store.put('op/config', configuration)
    deployment.start_engines(
        'pool',
        _ENGINES,
        slots=_SLOTS,
        event_count=13,
        work_seconds=_WORK_SECONDS,
    )
    deployment.start_routers(2, memory_megabytes=_MEMORY_MEGABYTES)
    # The instances have started over `stable_window_ms` ago.
    time.sleep(4.0)
    platform = _Platform(deployment)
    platform.start()
    until = time.monotonic() + _TRAFFIC_SECONDS
    callers = [
        _Caller(number, router, deployment)
        for router in deployment.routers
        for number in range(_CALLERS_PER_ROUTER)
    ]
    part_count = _MANY_PARTS if trouble else _FEW_PARTS
    threads = [
        threading.Thread(target=each.run, args=(until, part_count))
        for each in callers
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    platform.stop()
    ran = {
        request.headers['amaranthslip-attempt-id']
        for each in deployment.engines
        for _, request in each.runs
    }
    unanswered = {name for each in callers for name in each.unanswered}
    lost = sorted(ran & unanswered)
    log.log(
        f'{sum(each.count for each in callers)} requests, {platform.ends} ends'
        f' for memory; {len(lost)} requests on kept connections ran and got'
        f' no answer: {lost}'
    )
    return len(lost) > _MAX_LOST


if __name__ == '__main__':
    case.run(__file__, check)
