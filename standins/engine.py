"""A simulated model engine: OpenAI completions over continuous batching.

    python -m standins.engine --port 0 --slots 16 --step-ms 30

Serves /v1/chat/completions and /v1/completions (complete and streamed),
/v1/models, /health and /metrics (vLLM metric names; the values are
`--report-lag-seconds` old). `standins.generation` defines the generated text
and how an answer is resumed; `standins.batching` defines the generation speed.

`GET /standin/stats` returns all counters, `GET /standin/busy` only those that
are polled frequently. `POST /standin/faults` takes
`{"mode": ..., "tokens": n}` with one of these modes:

- `ok`: no fault;
- `fail_500`: completions get a 500, and /health a 503;
- `hang`: completions get no response;
- `cut_after_tokens`: the connection is closed after `tokens` tokens;
- `hang_after_tokens`: the response stops after `tokens` tokens;
- `unhealthy`: only /health fails.
"""

import collections
import json
import time
import typing

import gevent

from standins import batching
from standins import generation
from standins import server

_MAX_COUNTED_REQUEST_IDS = 200000
_REPORT_INTERVAL_SECONDS = 0.05


class Faults:
    """The active fault mode."""

    __slots__ = ('mode', 'tokens')

    def __init__(self, mode: str = 'ok', tokens: int = 0) -> None:
        self.mode = mode
        self.tokens = tokens


class LoadReport:
    """A snapshot of the engine's load in the format of /metrics."""

    __slots__ = ('time', 'text')

    def __init__(self, engine: batching.Engine) -> None:
        self.time = time.monotonic()
        usage = min(1.0, len(engine.running) / engine.slots)
        samples = {
            'num_requests_running': len(engine.running),
            'num_requests_waiting': len(engine.waiting),
            'gpu_cache_usage_perc': usage,
            'prefix_cache_queries_total': engine.cache.queries,
            'prefix_cache_hits_total': engine.cache.hits,
            'generation_tokens_total': engine.tokens,
            'prompt_tokens_total': engine.prompt_tokens,
        }
        self.text = ''.join(
            f'# TYPE vllm:{name} '
            f'{"counter" if name.endswith("_total") else "gauge"}\n'
            f'vllm:{name}{{model_name="standin"}} {value}\n'
            for name, value in samples.items()
        )


class EngineService:
    """WSGI application of one engine."""

    __slots__ = (
        '_engine',
        '_faults',
        '_report_lag_seconds',
        '_reports',
        '_executions',
        '_requests',
    )

    def __init__(
        self, engine: batching.Engine, *, report_lag_seconds: float = 0.0
    ) -> None:
        self._engine = engine
        self._faults = Faults()
        self._report_lag_seconds = report_lag_seconds
        self._reports = collections.deque([LoadReport(engine)])
        self._executions: dict[str, int] = {}
        self._requests = 0
        gevent.spawn(engine.run)
        if report_lag_seconds:
            gevent.spawn(self._record_reports)

    def _record_reports(self) -> None:
        while True:
            self._reports.append(LoadReport(self._engine))
            visible_until = time.monotonic() - self._report_lag_seconds
            while len(self._reports) > 1 and (
                self._reports[1].time <= visible_until
            ):
                self._reports.popleft()
            gevent.sleep(_REPORT_INTERVAL_SECONDS)

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> typing.Iterable[bytes]:
        match environ['REQUEST_METHOD'], environ['PATH_INFO']:
            case 'POST', '/v1/chat/completions':
                return self._generate(environ, start_response, chat=True)
            case 'POST', '/v1/completions':
                return self._generate(environ, start_response, chat=False)
            case 'GET', '/v1/models':
                model = {'id': 'standin', 'object': 'model'}
                return server.respond_json(
                    start_response, {'object': 'list', 'data': [model]}
                )
            case 'GET', '/metrics':
                return self._respond_metrics(start_response)
            case 'GET', '/health':
                return self._respond_health(start_response)
            case 'GET', '/standin/stats':
                return server.respond_json(start_response, self._build_stats())
            case 'GET', '/standin/busy':
                return server.respond_json(
                    start_response, self._build_busy_stats()
                )
            case 'POST', '/standin/faults':
                values = server.read_json(environ)
                self._faults = Faults(values['mode'], values.get('tokens', 0))
                return server.respond_json(start_response, {})
        return server.respond_json(start_response, {}, status='404 Not Found')

    def _respond_health(
        self, start_response: server.StartResponse
    ) -> list[bytes]:
        failing = self._faults.mode in ('unhealthy', 'fail_500')
        status = '503 Service Unavailable' if failing else '200 OK'
        return server.respond_json(start_response, {}, status=status)

    def _respond_metrics(
        self, start_response: server.StartResponse
    ) -> list[bytes]:
        report = self._reports[0]
        if not self._report_lag_seconds:
            report = LoadReport(self._engine)
        start_response('200 OK', [('Content-Type', 'text/plain')])
        return [report.text.encode()]

    def _build_busy_stats(self) -> dict[str, typing.Any]:
        engine = self._engine
        engine.update_busy_time()
        return {
            'busy_slot_seconds': engine.busy_slot_seconds,
            'running': len(engine.running),
            'waiting': len(engine.waiting),
        }

    def _build_stats(self) -> dict[str, typing.Any]:
        engine = self._engine
        engine.update_busy_time()
        return {
            'requests': self._requests,
            'started': engine.started,
            'finished': engine.finished,
            'cancelled': engine.cancelled,
            'running': len(engine.running),
            'waiting': len(engine.waiting),
            'max_running': engine.max_running,
            'max_waiting': engine.max_waiting,
            'tokens': engine.tokens,
            'prompt_tokens': engine.prompt_tokens,
            'cache_queries': engine.cache.queries,
            'cache_hits': engine.cache.hits,
            'slots': engine.slots,
            'busy_slot_seconds': engine.busy_slot_seconds,
            'executions': self._executions,
        }

    def _generate(
        self,
        environ: server.Environ,
        start_response: server.StartResponse,
        *,
        chat: bool,
    ) -> typing.Iterable[bytes]:
        self._requests += 1
        try:
            body = server.read_json(environ)
            parse = (
                generation.read_chat if chat else generation.read_completion
            )
            prompt = parse(body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _respond_error(start_response, '400 Bad Request', error)
        faults = self._faults
        if faults.mode == 'fail_500':
            return _respond_error(
                start_response, '500 Internal Server Error', 'engine failed'
            )
        if faults.mode == 'hang':
            server.hang(environ)
        job = batching.Job(prompt, _read_max_tokens(body))
        self._count_execution(environ.get('HTTP_X_REQUEST_ID', ''))
        response = _CompletionResponse(
            self._engine, job, body, environ, faults, chat=chat
        )
        if body.get('stream'):
            headers = [('Content-Type', 'text/event-stream; charset=utf-8')]
            start_response('200 OK', headers)
            return response.stream()
        return server.respond_json(start_response, response.build_body())

    def _count_execution(self, request_id: str) -> None:
        if request_id and len(self._executions) < _MAX_COUNTED_REQUEST_IDS:
            count = self._executions.get(request_id, 0) + 1
            self._executions[request_id] = count


class _CompletionResponse:
    """The response to one completion request, built while its job runs."""

    __slots__ = (
        '_engine',
        '_job',
        '_environ',
        '_faults',
        '_chat',
        '_base',
        '_final_usage_chunk',
        '_usage_per_chunk',
    )

    def __init__(
        self,
        engine: batching.Engine,
        job: batching.Job,
        body: dict[str, typing.Any],
        environ: server.Environ,
        faults: Faults,
        *,
        chat: bool,
    ) -> None:
        self._engine = engine
        self._job = job
        self._environ = environ
        self._faults = faults
        self._chat = chat
        options = body.get('stream_options') or {}
        self._final_usage_chunk = bool(options.get('include_usage'))
        self._usage_per_chunk = bool(options.get('continuous_usage_stats'))
        kind = 'chat.completion' if chat else 'text_completion'
        if chat and body.get('stream'):
            kind += '.chunk'
        self._base = {
            'id': f'cmpl-{job.prompt.mark}-{id(job):x}',
            'object': kind,
            'created': int(time.time()),
            'model': body.get('model', 'standin'),
        }

    def _cancel_on_disconnect(self) -> None:
        # A client that disconnects frees its slot immediately.
        if server.wait_for_close(self._environ):
            self._engine.cancel(self._job)

    def _submit(self) -> gevent.Greenlet:
        self._engine.submit(self._job)
        return gevent.spawn(self._cancel_on_disconnect)

    def _release(self, disconnect_watcher: gevent.Greenlet) -> None:
        # The watcher is killed before the server reads the connection again:
        # gevent doesn't allow two greenlets to wait for the same socket.
        disconnect_watcher.kill()
        self._engine.cancel(self._job)

    def _apply_faults(self) -> None:
        job, faults = self._job, self._faults
        if job.produced - job.start < faults.tokens:
            return
        if faults.mode == 'cut_after_tokens':
            server.abort_connection(self._environ)
        if faults.mode == 'hang_after_tokens':
            server.hang(self._environ)

    def build_body(self) -> dict[str, typing.Any]:
        """Return the response body once the job has ended."""
        job = self._job
        disconnect_watcher = self._submit()
        try:
            while not job.ended:
                job.wait(job.produced)
                self._apply_faults()
        finally:
            self._release(disconnect_watcher)
        if job.cancelled:
            server.abort_connection(self._environ)
        text = generation.write_tokens(job.prompt.mark, job.start, job.end)
        choice = {'index': 0, 'finish_reason': self._get_finish_reason()}
        if self._chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return self._base | {
            'choices': [choice],
            'usage': self._build_usage(job.end),
        }

    def stream(self) -> typing.Iterator[bytes]:
        """Yield server-sent events while tokens are generated."""
        job = self._job
        sent = job.start
        disconnect_watcher = self._submit()
        try:
            if self._chat:
                yield self._encode_chunk('', sent, role=True)
            while not job.ended or sent < job.produced or sent == job.end:
                produced = job.wait(sent)
                if job.cancelled:
                    break
                text = generation.write_tokens(job.prompt.mark, sent, produced)
                sent = produced
                yield self._encode_chunk(text, sent)
                self._apply_faults()
                if sent == job.end:
                    break
        finally:
            self._release(disconnect_watcher)
        if job.cancelled:
            server.abort_connection(self._environ)
        if self._final_usage_chunk:
            usage = {'choices': [], 'usage': self._build_usage(job.end)}
            yield _encode_event(self._base | usage)
        yield b'data: [DONE]\n\n'

    def _get_finish_reason(self) -> str:
        job = self._job
        return 'stop' if job.end >= job.prompt.length else 'length'

    def _build_usage(self, produced: int) -> dict[str, typing.Any]:
        job = self._job
        generated = produced - job.start
        return {
            'prompt_tokens': job.prompt_tokens,
            'completion_tokens': generated,
            'total_tokens': job.prompt_tokens + generated,
            'prompt_tokens_details': {'cached_tokens': job.cached_tokens},
        }

    def _encode_chunk(
        self, text: str, sent: int, *, role: bool = False
    ) -> bytes:
        is_last = sent >= self._job.end and not role
        choice = {
            'index': 0,
            'finish_reason': self._get_finish_reason() if is_last else None,
        }
        if self._chat:
            choice['delta'] = {'content': text}
            if role:
                choice['delta']['role'] = 'assistant'
        else:
            choice['text'] = text
        chunk = self._base | {'choices': [choice]}
        if self._usage_per_chunk:
            chunk['usage'] = self._build_usage(sent)
        return _encode_event(chunk)


def _encode_event(chunk: dict[str, typing.Any]) -> bytes:
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


def _read_max_tokens(body: dict[str, typing.Any]) -> int:
    for name in ('max_completion_tokens', 'max_tokens'):
        if body.get(name) is not None:
            return int(body[name])
    return generation.DEFAULT_MAX_TOKENS


def _respond_error(
    start_response: server.StartResponse, status: str, message: object
) -> list[bytes]:
    error = {'message': str(message), 'type': 'standin', 'code': status[:3]}
    return server.respond_json(start_response, {'error': error}, status=status)


def main() -> None:
    """Run the engine as a program."""
    parser = server.build_parser('A simulated model engine.')
    parser.add_argument('--slots', type=int, default=16)
    parser.add_argument('--step-ms', type=float, default=30.0)
    parser.add_argument('--step-ms-per-request', type=float, default=0.0)
    parser.add_argument('--tokens-per-step', type=int, default=1)
    parser.add_argument('--prefill-us-per-token', type=float, default=0.0)
    parser.add_argument('--cache-blocks', type=int, default=4096)
    parser.add_argument('--report-lag-seconds', type=float, default=0.0)
    options = parser.parse_args()
    engine = batching.Engine(
        slots=options.slots,
        step_seconds=options.step_ms / 1000,
        step_seconds_per_request=options.step_ms_per_request / 1000,
        tokens_per_step=options.tokens_per_step,
        prefill_seconds_per_token=options.prefill_us_per_token / 1e6,
        cache_blocks=options.cache_blocks,
    )
    service = EngineService(
        engine, report_lag_seconds=options.report_lag_seconds
    )
    server.run(service, port=options.port)


if __name__ == '__main__':
    main()
