"""A plain service that counts how often each booking was executed.

    python -m standins.plain --port 0 --work-ms 20 --slots 8

Any method and path is executed and answered with the echoed body and the
booking's number of executions (also in the header `X-Executions`). The
booking is the JSON field `booking` or the header `X-Booking`.
`POST /standin/faults` with `{"mode": ..., "count": n}` (no count: until
changed), where the mode is one of `ok`, `fail_before` and `fail_after`
(a 500 before or after executing), `cut_before` and `cut_after` (the
connection is closed instead), `hang` (never executed nor answered), and
`hang_after`. `GET /standin/stats` returns the counts.
"""

import json
import time
import typing

import gevent
from gevent import lock

from standins import server

_FAILURE = '500 Internal Server Error'


class PlainService:
    """Executes bookings and keeps count, with faults on demand."""

    __slots__ = (
        '_work_seconds',
        '_slots',
        '_executions',
        '_requests',
        '_running',
        '_most_running',
        '_mode',
        '_fault_count',
        '_busy_seconds',
    )

    def __init__(self, *, work_seconds: float = 0.0, slots: int = 64) -> None:
        self._work_seconds = work_seconds
        self._slots = lock.BoundedSemaphore(slots)
        self._executions: dict[str, int] = {}
        self._requests = 0
        self._running = 0
        self._most_running = 0
        self._mode = 'ok'
        self._fault_count: int | None = None
        self._busy_seconds = 0.0

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        match environ['REQUEST_METHOD'], environ['PATH_INFO']:
            case 'GET', '/standin/stats':
                return server.answer_json(start_response, self._read_stats())
            case 'GET', '/health':
                return server.answer_json(start_response, {'status': 'ok'})
            case 'POST', '/standin/faults':
                values = server.read_json(environ)
                self._mode = values['mode']
                self._fault_count = values.get('count')
                return server.answer_json(start_response, {})
        return self._serve(environ, start_response)

    def _serve(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        self._requests += 1
        body = environ['wsgi.input'].read()
        mode = self._take_fault()
        if mode == 'fail_before':
            return server.answer_json(start_response, {}, status=_FAILURE)
        if mode == 'cut_before':
            server.cut(environ)
        if mode == 'hang':
            server.hang(environ)
        booking = _find_booking(environ, body)
        executions = self._execute(booking)
        if mode == 'fail_after':
            return server.answer_json(start_response, {}, status=_FAILURE)
        if mode == 'cut_after':
            server.cut(environ)
        if mode == 'hang_after':
            server.hang(environ)
        return _echo(environ, start_response, body, executions)

    def _take_fault(self) -> str:
        mode = self._mode
        if mode != 'ok' and self._fault_count is not None:
            self._fault_count -= 1
            if self._fault_count <= 0:
                self._mode = 'ok'
        return mode

    def _execute(self, booking: str) -> int:
        with self._slots:
            started = time.monotonic()
            self._running += 1
            self._most_running = max(self._most_running, self._running)
            count = self._executions.get(booking, 0) + 1
            self._executions[booking] = count
            try:
                gevent.sleep(self._work_seconds)
            finally:
                self._running -= 1
                self._busy_seconds += time.monotonic() - started
        return count

    def _read_stats(self) -> dict[str, typing.Any]:
        return {
            'requests': self._requests,
            'executions': self._executions,
            'running': self._running,
            'max_running': self._most_running,
            'busy_slot_seconds': self._busy_seconds,
        }


def _find_booking(environ: server.Environ, body: bytes) -> str:
    named = environ.get('HTTP_X_BOOKING')
    if named:
        return named
    try:
        return str(json.loads(body)['booking'])
    except (ValueError, KeyError, TypeError):
        return ''


def _echo(
    environ: server.Environ,
    start_response: server.StartResponse,
    body: bytes,
    executions: int,
) -> list[bytes]:
    headers = [
        ('Content-Type', environ.get('CONTENT_TYPE') or 'text/plain'),
        ('Content-Length', str(len(body))),
        ('X-Executions', str(executions)),
        ('X-Echo-Path', environ['PATH_INFO']),
        ('X-Echo-Query', environ.get('QUERY_STRING', '')),
    ]
    start_response('200 OK', headers)
    return [body]


def main() -> None:
    """Run the program."""
    parser = server.build_parser('A plain service that counts bookings.')
    parser.add_argument('--work-ms', type=float, default=0.0)
    parser.add_argument('--slots', type=int, default=64)
    options = parser.parse_args()
    service = PlainService(
        work_seconds=options.work_ms / 1000, slots=options.slots
    )
    server.run(service, port=options.port)


if __name__ == '__main__':
    main()
