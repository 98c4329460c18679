"""Clients that send streamed chat requests and verify every answer."""

import functools
import json
import time
import typing
import zlib

import gevent
import geventhttpclient
from geventhttpclient import response as client_response
import numpy

from bench import plans
from bench import records
from standins import generation

_PATH = '/v1/chat/completions'
_READ_TIMEOUT_SECONDS = 300.0
_MAX_CONNECTIONS = 4096
_PAUSE_SECONDS = 0.05
_PROMPT_WEIGHT = 0.1
_EVENT_PREFIX = b'data: '
_END_MARKER = b'[DONE]'
# Prefix of every token that the stand-in engine generates; see
# standins.generation.
_TOKEN_PREFIX = b' w'
_CONNECTION_ERRORS = (
    OSError,
    ValueError,
    client_response.HTTPParseError,
)


class Request:
    """One request and the answer that the stand-in engine must return.

    Parameters
    ----------
    traffic : Traffic
        The traffic that the request belongs to.
    name : str
        Unique within the run. It is part of the prompt, so the expected
        answer differs from that of every other request.
    length : int
        Tokens to generate.
    """

    __slots__ = ('body', 'headers', 'expected', 'prompt_tokens')

    def __init__(self, traffic: plans.Traffic, name: str, length: int) -> None:
        prefix = _build_prompt_prefix(traffic.account, traffic.prompt_words)
        prompt = f'{prefix} {name} LENGTH={length}'
        messages = [{'role': 'user', 'content': prompt}]
        text = generation.flatten(messages)
        self.expected = generation.write_answer(text)
        self.prompt_tokens = generation.count_tokens(text)
        self.body = json.dumps(
            {'model': traffic.service, 'stream': True, 'messages': messages}
        ).encode()
        self.headers = {
            'Authorization': f'Bearer {traffic.key}',
            'Content-Type': 'application/json',
        }
        if traffic.kind:
            self.headers['X-Request-Kind'] = traffic.kind


@functools.cache
def _build_prompt_prefix(account: str, words: int) -> str:
    return ' '.join(f'{account}-{index}' for index in range(words))


class Callers:
    """Runs the traffic of one plan in this process."""

    __slots__ = ('_plan', '_clients', 'observation', '_count')

    def __init__(self, plan: plans.Plan) -> None:
        self._plan = plan
        self._clients: dict[str, geventhttpclient.HTTPClient] = {}
        self._count = 0
        self.observation = records.Observation(
            start=plan.start,
            seconds=plan.seconds,
            step_seconds=plan.step_seconds,
        )

    def run(self) -> None:
        """Send the planned traffic until the planned time has passed.

        Requests in progress at that time are cancelled.
        """
        gevent.sleep(max(0.0, self._plan.start - time.monotonic()))
        greenlets = []
        for index, traffic in enumerate(self._plan.traffics):
            for caller in range(traffic.callers):
                random = self._build_generator(traffic, index, caller)
                greenlets.append(
                    gevent.spawn(self._run_closed_loop, traffic, random)
                )
            if traffic.rate:
                random = self._build_generator(traffic, index, -1)
                greenlets.append(
                    gevent.spawn(self._run_open_loop, traffic, random)
                )
        left = self._plan.start + self._plan.seconds - time.monotonic()
        gevent.sleep(max(0.0, left))
        gevent.killall(greenlets)

    def _build_generator(
        self, traffic: plans.Traffic, index: int, caller: int
    ) -> numpy.random.Generator:
        name = zlib.crc32(traffic.account.encode())
        return numpy.random.default_rng(
            [self._plan.seed, name, index, caller + 1]
        )

    def _read_elapsed_seconds(self) -> float:
        return time.monotonic() - self._plan.start

    def _run_closed_loop(
        self, traffic: plans.Traffic, random: numpy.random.Generator
    ) -> None:
        while True:
            if not traffic.is_active(self._read_elapsed_seconds()):
                gevent.sleep(_PAUSE_SECONDS)
                continue
            wait = self._send_random_request(traffic, random)
            if wait:
                gevent.sleep(wait * random.uniform(0.75, 1.25))

    def _run_open_loop(
        self, traffic: plans.Traffic, random: numpy.random.Generator
    ) -> None:
        greenlets: set[gevent.Greenlet] = set()
        try:
            while True:
                gevent.sleep(random.exponential(1 / traffic.rate))
                if traffic.is_active(self._read_elapsed_seconds()):
                    greenlet = gevent.spawn(
                        self._send_random_request, traffic, random
                    )
                    greenlets.add(greenlet)
                    greenlet.rawlink(greenlets.discard)
        finally:
            gevent.killall(list(greenlets))

    def _send_random_request(
        self, traffic: plans.Traffic, random: numpy.random.Generator
    ) -> float:
        """Send one request of random length to a random router.

        Returns the seconds to wait before the next request.
        """
        self._count += 1
        name = f'{traffic.account}-{random.integers(1 << 40):x}-{self._count}'
        entry = traffic.entries[random.integers(len(traffic.entries))]
        length = traffic.draw_length(random)
        return self.call(traffic, name, length, entry=entry)

    def call(
        self,
        traffic: plans.Traffic,
        name: str,
        length: int,
        *,
        entry: str = '',
    ) -> float:
        """Send one request and record its outcome.

        Parameters
        ----------
        traffic : Traffic
            The traffic that the request belongs to.
        name : str
            Unique within the run.
        length : int
            Tokens to generate.
        entry : str
            Address of the router to send to; by default the first of the
            traffic's routers.

        Returns
        -------
        float
            Seconds to wait before the next request.
        """
        request = Request(traffic, name, length)
        record = records.Record(
            account=traffic.account,
            entry=entry or traffic.entries[0],
            start=time.monotonic(),
        )
        self.observation.records.append(record)
        try:
            return self._send(request, record)
        except ConnectionRefusedError:
            # Nothing was sent, so the request counts as refused: a real
            # caller's load balancer would send it to another router.
            record.outcome = records.REFUSED
            record.reason = 'no_connection'
            record.end = time.monotonic()
            return _PAUSE_SECONDS
        except _CONNECTION_ERRORS as error:
            record.outcome = records.FAILED
            record.reason = f'connection: {type(error).__name__}'
            record.end = time.monotonic()
            return self._plan.most_wait_seconds

    def _get_client(self, entry: str) -> geventhttpclient.HTTPClient:
        if entry not in self._clients:
            address, _, port = entry.rpartition(':')
            self._clients[entry] = geventhttpclient.HTTPClient(
                address,
                int(port),
                concurrency=_MAX_CONNECTIONS,
                connection_timeout=5.0,
                network_timeout=_READ_TIMEOUT_SECONDS,
            )
        return self._clients[entry]

    def _send(self, request: Request, record: records.Record) -> float:
        client = self._get_client(record.entry)
        with client.post(_PATH, request.body, request.headers) as response:
            record.status = response.status_code
            if response.status_code != 200:
                return self._record_refusal(response, record)
            self._read_stream(response, request, record)
            return 0.0

    def _record_refusal(
        self,
        response: client_response.HTTPSocketPoolResponse,
        record: records.Record,
    ) -> float:
        body = response.read()
        record.end = time.monotonic()
        error = _read_error(body)
        record.reason = str(error.get('code') or f'status {record.status}')
        refused = error.get('not_run', False)
        record.outcome = records.REFUSED if refused else records.FAILED
        retry_after = float(response.get('retry-after', 0) or 0)
        max_wait = self._plan.most_wait_seconds
        return min(max_wait, retry_after) if retry_after else max_wait

    def _read_stream(
        self,
        response: client_response.HTTPSocketPoolResponse,
        request: Request,
        record: records.Record,
    ) -> None:
        lines, last_token_time = [], 0.0
        ended = False
        while line := response.readline(b'\n'):
            if not line.startswith(_EVENT_PREFIX):
                continue
            if line.startswith(_END_MARKER, len(_EVENT_PREFIX)):
                ended = True
                continue
            tokens = line.count(_TOKEN_PREFIX)
            lines.append(bytes(line))
            if not tokens:
                continue
            now = time.monotonic()
            if record.first is None:
                record.first = now
                prompt = request.prompt_tokens * _PROMPT_WEIGHT
                self.observation.record_delivery(record.account, now, prompt)
            else:
                self.observation.gaps.append(now - last_token_time)
            last_token_time = now
            record.tokens += tokens
            self.observation.record_delivery(record.account, now, tokens)
        record.end = time.monotonic()
        _set_outcome(record, lines, request.expected, ended)


def _set_outcome(
    record: records.Record,
    lines: typing.Sequence[bytes],
    expected: str,
    ended: bool,
) -> None:
    """Set the outcome of a record from the streamed answer.

    Only the complete expected text counts as done. A correct but incomplete
    text without an end marker counts as failed, any other text as wrong.
    """
    text = ''
    for line in lines:
        event = json.loads(line[len(_EVENT_PREFIX) :])
        if 'error' in event:
            record.outcome = records.FAILED
            record.reason = f'stream: {event["error"].get("code")}'
            return
        for choice in event['choices']:
            text += choice['delta'].get('content') or ''
    if ended and text == expected:
        record.outcome = records.DONE
    elif not ended and expected.startswith(text):
        record.outcome = records.FAILED
        record.reason = 'stream cut'
    else:
        record.outcome = records.WRONG
        record.reason = f'{len(text)} characters, expected {len(expected)}'


def _read_error(body: bytes) -> dict[str, typing.Any]:
    try:
        error = json.loads(body).get('error')
    except (ValueError, AttributeError):
        return {}
    return error if isinstance(error, dict) else {}
