"""A simulated HTTP service that counts the executions of each booking.

    python -m standins.plain --port 0 --work-ms 20 --slots 8

Executes a request of any method and path, and responds with the request's body
and the booking's number of executions in the header `X-Executions`. The
booking is the header `X-Booking` or the JSON field `booking`.

`POST /standin/faults` takes `{"mode": ..., "count": n}`: the mode applies to
the next n requests, or until changed if there is no count. Modes:

- `ok`: no fault;
- `fail_before`, `fail_after`: a 500 before or after the execution;
- `cut_before`, `cut_after`: the connection is closed before or after the
  execution, without a response;
- `hang`: the request is neither executed nor answered;
- `hang_after`: the request is executed and not answered.

`GET /standin/stats` returns the counts.
"""

import json
import time
import typing

import gevent
from gevent import lock

from standins import server

_FAILURE_STATUS = '500 Internal Server Error'


class PlainService:
    """Executes and counts bookings, with faults on demand."""

    __slots__ = (
        '_work_seconds',
        '_slots',
        '_executions',
        '_requests',
        '_running',
        '_max_running',
        '_fault_mode',
        '_fault_count',
        '_busy_seconds',
    )

    def __init__(self, *, work_seconds: float = 0.0, slots: int = 64) -> None:
        self._work_seconds = work_seconds
        self._slots = lock.BoundedSemaphore(slots)
        self._executions: dict[str, int] = {}
        self._requests = 0
        self._running = 0
        self._max_running = 0
        self._fault_mode = 'ok'
        self._fault_count: int | None = None
        self._busy_seconds = 0.0

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        match environ['REQUEST_METHOD'], environ['PATH_INFO']:
            case 'GET', '/standin/stats':
                return server.respond_json(start_response, self._build_stats())
            case 'GET', '/health':
                return server.respond_json(start_response, {'status': 'ok'})
            case 'POST', '/standin/faults':
                values = server.read_json(environ)
                self._fault_mode = values['mode']
                self._fault_count = values.get('count')
                return server.respond_json(start_response, {})
        return self._handle_booking(environ, start_response)

    def _handle_booking(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        self._requests += 1
        body = environ['wsgi.input'].read()
        mode = self._consume_fault()
        if mode == 'fail_before':
            return server.respond_json(
                start_response, {}, status=_FAILURE_STATUS
            )
        if mode == 'cut_before':
            server.abort_connection(environ)
        if mode == 'hang':
            server.hang(environ)
        booking = _find_booking(environ, body)
        executions = self._execute(booking)
        if mode == 'fail_after':
            return server.respond_json(
                start_response, {}, status=_FAILURE_STATUS
            )
        if mode == 'cut_after':
            server.abort_connection(environ)
        if mode == 'hang_after':
            server.hang(environ)
        return _respond_with_echo(environ, start_response, body, executions)

    def _consume_fault(self) -> str:
        mode = self._fault_mode
        if mode != 'ok' and self._fault_count is not None:
            self._fault_count -= 1
            if self._fault_count <= 0:
                self._fault_mode = 'ok'
        return mode

    def _execute(self, booking: str) -> int:
        with self._slots:
            start = time.monotonic()
            self._running += 1
            self._max_running = max(self._max_running, self._running)
            count = self._executions.get(booking, 0) + 1
            self._executions[booking] = count
            try:
                gevent.sleep(self._work_seconds)
            finally:
                self._running -= 1
                self._busy_seconds += time.monotonic() - start
        return count

    def _build_stats(self) -> dict[str, typing.Any]:
        return {
            'requests': self._requests,
            'executions': self._executions,
            'running': self._running,
            'max_running': self._max_running,
            'busy_slot_seconds': self._busy_seconds,
        }


def _find_booking(environ: server.Environ, body: bytes) -> str:
    header_booking = environ.get('HTTP_X_BOOKING')
    if header_booking:
        return header_booking
    try:
        return str(json.loads(body)['booking'])
    except (ValueError, KeyError, TypeError):
        return ''


def _respond_with_echo(
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
    """Run the service as a program."""
    parser = server.build_parser(
        'A simulated HTTP service that counts the executions of bookings.'
    )
    parser.add_argument('--work-ms', type=float, default=0.0)
    parser.add_argument('--slots', type=int, default=64)
    options = parser.parse_args()
    service = PlainService(
        work_seconds=options.work_ms / 1000, slots=options.slots
    )
    server.run(service, port=options.port)


if __name__ == '__main__':
    main()
