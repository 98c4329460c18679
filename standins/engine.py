"""A model engine: OpenAI's completions over continuous batching.

    python -m standins.engine --port 0 --slots 16 --step-ms 30

Serves /v1/chat/completions and /v1/completions, whole and streamed,
/v1/models, /health and /metrics (vLLM names, `--report-lag-seconds` late). See
`standins.generation` for the text and for how an answer is resumed, and
`standins.batching` for the pace. `GET /standin/stats` returns counters
(`GET /standin/busy` the few that are read often);
`POST /standin/faults` takes `{"mode": ..., "tokens": n}` with one of the
modes `ok`, `fail_500`, `hang`, `cut_after_tokens`, `hang_after_tokens` and
`unhealthy` (only /health fails).
"""

import collections
import json
import time
import typing

import gevent

from standins import batching
from standins import generation
from standins import server

_MOST_REMEMBERED_IDS = 200000
_REPORT_SECONDS = 0.05


class Faults:
    """What goes wrong at present."""

    __slots__ = ('mode', 'tokens')

    def __init__(self, mode: str = 'ok', tokens: int = 0) -> None:
        self.mode = mode
        self.tokens = tokens


class Report:
    """The load at one moment, as /metrics tells it later."""

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
    """The HTTP side of one engine."""

    __slots__ = (
        '_engine',
        '_faults',
        '_lag_seconds',
        '_reports',
        '_executions',
        '_requests',
    )

    def __init__(
        self, engine: batching.Engine, *, report_lag_seconds: float = 0.0
    ) -> None:
        self._engine = engine
        self._faults = Faults()
        self._lag_seconds = report_lag_seconds
        self._reports = collections.deque([Report(engine)])
        self._executions: dict[str, int] = {}
        self._requests = 0
        gevent.spawn(engine.run)
        if report_lag_seconds:
            gevent.spawn(self._take_reports)

    def _take_reports(self) -> None:
        while True:
            self._reports.append(Report(self._engine))
            seen_until = time.monotonic() - self._lag_seconds
            while len(self._reports) > 1 and (
                self._reports[1].time <= seen_until
            ):
                self._reports.popleft()
            gevent.sleep(_REPORT_SECONDS)

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
                return server.answer_json(
                    start_response, {'object': 'list', 'data': [model]}
                )
            case 'GET', '/metrics':
                return self._answer_metrics(start_response)
            case 'GET', '/health':
                return self._answer_health(start_response)
            case 'GET', '/standin/stats':
                return server.answer_json(start_response, self._read_stats())
            case 'GET', '/standin/busy':
                return server.answer_json(start_response, self._read_busy())
            case 'POST', '/standin/faults':
                values = server.read_json(environ)
                self._faults = Faults(values['mode'], values.get('tokens', 0))
                return server.answer_json(start_response, {})
        return server.answer_json(start_response, {}, status='404 Not Found')

    def _answer_health(
        self, start_response: server.StartResponse
    ) -> list[bytes]:
        failing = self._faults.mode in ('unhealthy', 'fail_500')
        status = '503 Service Unavailable' if failing else '200 OK'
        return server.answer_json(start_response, {}, status=status)

    def _answer_metrics(
        self, start_response: server.StartResponse
    ) -> list[bytes]:
        report = self._reports[0]
        if not self._lag_seconds:
            report = Report(self._engine)
        start_response('200 OK', [('Content-Type', 'text/plain')])
        return [report.text.encode()]

    def _read_busy(self) -> dict[str, typing.Any]:
        engine = self._engine
        engine.measure()
        return {
            'busy_slot_seconds': engine.busy_slot_seconds,
            'running': len(engine.running),
            'waiting': len(engine.waiting),
        }

    def _read_stats(self) -> dict[str, typing.Any]:
        engine = self._engine
        engine.measure()
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
            read = generation.read_chat if chat else generation.read_completion
            prompt = read(body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _answer_error(start_response, '400 Bad Request', error)
        faults = self._faults
        if faults.mode == 'fail_500':
            return _answer_error(
                start_response, '500 Internal Server Error', 'engine failed'
            )
        if faults.mode == 'hang':
            server.hang(environ)
        job = batching.Job(prompt, _read_max_tokens(body))
        self._remember(environ.get('HTTP_X_REQUEST_ID', ''))
        answer = _Answer(self._engine, job, body, environ, faults, chat=chat)
        if body.get('stream'):
            headers = [('Content-Type', 'text/event-stream; charset=utf-8')]
            start_response('200 OK', headers)
            return answer.stream()
        return server.answer_json(start_response, answer.complete())

    def _remember(self, request_id: str) -> None:
        if request_id and len(self._executions) < _MOST_REMEMBERED_IDS:
            count = self._executions.get(request_id, 0) + 1
            self._executions[request_id] = count


class _Answer:
    """One request's answer, as its job goes on."""

    __slots__ = (
        '_engine',
        '_job',
        '_environ',
        '_faults',
        '_chat',
        '_base',
        '_usage_chunk',
        '_usage_always',
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
        self._usage_chunk = bool(options.get('include_usage'))
        self._usage_always = bool(options.get('continuous_usage_stats'))
        kind = 'chat.completion' if chat else 'text_completion'
        if chat and body.get('stream'):
            kind += '.chunk'
        self._base = {
            'id': f'cmpl-{job.prompt.mark}-{id(job):x}',
            'object': kind,
            'created': int(time.time()),
            'model': body.get('model', 'standin'),
        }

    def _watch(self) -> None:
        # A caller that leaves frees its slot at once.
        if server.wait_for_close(self._environ):
            self._engine.cancel(self._job)

    def _start(self) -> gevent.Greenlet:
        self._engine.submit(self._job)
        return gevent.spawn(self._watch)

    def _finish(self, watcher: gevent.Greenlet) -> None:
        # Killed before the connection's next read: two greenlets may not
        # wait for the same socket.
        watcher.kill()
        self._engine.cancel(self._job)

    def _check_faults(self) -> None:
        job, faults = self._job, self._faults
        if job.produced - job.start < faults.tokens:
            return
        if faults.mode == 'cut_after_tokens':
            server.cut(self._environ)
        if faults.mode == 'hang_after_tokens':
            server.hang(self._environ)

    def complete(self) -> dict[str, typing.Any]:
        """Return the whole answer when it is generated."""
        job = self._job
        watcher = self._start()
        try:
            while not job.over:
                job.wait(job.produced)
                self._check_faults()
        finally:
            self._finish(watcher)
        if job.cancelled:
            server.cut(self._environ)
        text = generation.write_tokens(job.prompt.mark, job.start, job.end)
        choice = {'index': 0, 'finish_reason': self._read_finish()}
        if self._chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return self._base | {
            'choices': [choice],
            'usage': self._read_usage(job.end),
        }

    def stream(self) -> typing.Iterator[bytes]:
        """Yield the answer's events while it is generated."""
        job = self._job
        sent = job.start
        watcher = self._start()
        try:
            if self._chat:
                yield self._write_chunk('', sent, role=True)
            while not job.over or sent < job.produced or sent == job.end:
                produced = job.wait(sent)
                if job.cancelled:
                    break
                text = generation.write_tokens(job.prompt.mark, sent, produced)
                sent = produced
                yield self._write_chunk(text, sent)
                self._check_faults()
                if sent == job.end:
                    break
        finally:
            self._finish(watcher)
        if job.cancelled:
            server.cut(self._environ)
        if self._usage_chunk:
            usage = {'choices': [], 'usage': self._read_usage(job.end)}
            yield _write_event(self._base | usage)
        yield b'data: [DONE]\n\n'

    def _read_finish(self) -> str:
        job = self._job
        return 'stop' if job.end >= job.prompt.length else 'length'

    def _read_usage(self, produced: int) -> dict[str, typing.Any]:
        job = self._job
        generated = produced - job.start
        return {
            'prompt_tokens': job.prompt_tokens,
            'completion_tokens': generated,
            'total_tokens': job.prompt_tokens + generated,
            'prompt_tokens_details': {'cached_tokens': job.cached_tokens},
        }

    def _write_chunk(
        self, text: str, sent: int, *, role: bool = False
    ) -> bytes:
        ended = sent >= self._job.end and not role
        choice = {
            'index': 0,
            'finish_reason': self._read_finish() if ended else None,
        }
        if self._chat:
            choice['delta'] = {'content': text}
            if role:
                choice['delta']['role'] = 'assistant'
        else:
            choice['text'] = text
        chunk = self._base | {'choices': [choice]}
        if self._usage_always:
            chunk['usage'] = self._read_usage(sent)
        return _write_event(chunk)


def _write_event(chunk: dict[str, typing.Any]) -> bytes:
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


def _read_max_tokens(body: dict[str, typing.Any]) -> int:
    for name in ('max_completion_tokens', 'max_tokens'):
        if body.get(name) is not None:
            return int(body[name])
    return generation.DEFAULT_MAX_TOKENS


def _answer_error(
    start_response: server.StartResponse, status: str, message: object
) -> list[bytes]:
    error = {'message': str(message), 'type': 'standin', 'code': status[:3]}
    return server.answer_json(start_response, {'error': error}, status=status)


def main() -> None:
    """Run the program."""
    parser = server.build_parser('A model engine.')
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
