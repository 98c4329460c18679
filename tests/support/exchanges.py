"""Raw HTTP exchanges: test callers, scripted and stand-in servers."""

import json
import re
import struct

import gevent
from gevent import server
from gevent import socket
from geventhttpclient import response

from standins import batching
from standins import engine
from standins import generation
from standins import plain
from standins import server as standin_server

_TIMEOUT = 20
# The SO_LINGER value with which closing a socket resets its connection.
RESET = struct.pack('ii', 1, 0)


class ReceivedAnswer:
    """One answer as received by a caller."""

    def __init__(self, parser, body, data, *, was_reset=False):
        self.status = parser.status_code if parser.headers_complete else 0
        self.headers = {name.lower(): value for name, value in parser.items()}
        self.body = body
        self.complete = parser.message_complete
        self.data = data
        # Whether the connection was reset before the end was known.
        self.was_reset = was_reset

    @property
    def error(self):
        return json.loads(self.body)['error']

    @property
    def text(self):
        """The text of a stream's or a whole answer's first choice."""
        return ''.join(
            read_text(choice)
            for event in self.events
            for choice in event.get('choices', ())
        )

    @property
    def events(self):
        if not self.body.startswith(b'data: '):
            return [json.loads(self.body)]
        return [
            json.loads(line[6:])
            for line in self.body.split(b'\n')
            if line.startswith(b'data: {')
        ]

    @property
    def done(self):
        """Whether the answer holds the end marker of a stream."""
        return b'data: [DONE]' in self.body


def read_text(choice):
    if 'text' in choice:
        return choice['text']
    part = choice.get('delta') or choice.get('message') or {}
    return part.get('content') or ''


class _Parser(response.HTTPResponse):
    def __init__(self, method):
        super().__init__(method)
        self.body = b''

    def _on_body(self, buf):
        self.body += bytes(buf)


class Caller:
    """One caller's connection to an instance."""

    def __init__(self, address):
        self.socket = socket.create_connection(address, timeout=_TIMEOUT)

    def send(self, data):
        self.socket.sendall(data)

    def receive(self, method='GET'):
        """Return the next answer, complete or up to where it was cut."""
        parser, data, was_reset = _Parser(method), b'', False
        while not parser.message_complete:
            try:
                piece = self.socket.recv(65536)
            except ConnectionError:
                was_reset = True
                break
            if not piece:
                break
            data += piece
            parser.feed(piece)
        return ReceivedAnswer(parser, parser.body, data, was_reset=was_reset)

    def read_until(self, marker):
        """Return the bytes received until they contain `marker`."""
        data = b''
        while marker not in data:
            piece = self.socket.recv(65536)
            assert piece, f'the connection ended before {marker!r}: {data!r}'
            data += piece
        return data

    def ask(self, *args, **options):
        self.send(write_request(*args, **options))
        return self.receive(args[0])

    def close(self):
        self.socket.close()


def write_request(method, path, body=b'', *, key='key-sol', **headers):
    """Return a request's bytes; a body other than bytes is sent as JSON."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f'{method} {path} HTTP/1.1', 'Host: entry']
    if key:
        lines.append(f'Authorization: Bearer {key}')
    lines += [
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    ]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def write_chat(prompt, **values):
    """Return the values of a chat request."""
    messages = [{'role': 'user', 'content': prompt}]
    return {'model': 'llm', 'messages': messages} | values


def send_request(side, *args, **options):
    """Send one request on a new connection and return its answer."""
    caller = Caller(side.address)
    try:
        return caller.ask(*args, **options)
    finally:
        caller.close()


class ScriptedServer:
    """A backend server whose connections are handled by a function."""

    def __init__(self, respond):
        self.requests = []
        self.connections = 0
        self.crashed = False
        self._sockets = set()
        self._respond = respond
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    @property
    def open_connections(self):
        """The number of connections that neither side has closed."""
        return len(self._sockets)

    def _serve(self, sock, address):
        self.connections += 1
        self._sockets.add(sock)
        try:
            self._respond(self, sock)
        except OSError:
            return
        finally:
            self._sockets.discard(sock)

    def limit_receive(self, byte_count):
        """Let the kernel hold few bytes that were not read."""
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, byte_count
        )

    def crash(self):
        """Stop listening and close all connections, like a killed process."""
        self.crashed = True
        self._server.close()
        for sock in list(self._sockets):
            sock.shutdown(socket.SHUT_RDWR)

    def read(self, sock):
        """Read one request and return its bytes; b'' at the stream's end."""
        data = b''
        while b'\r\n\r\n' not in data:
            piece = sock.recv(65536)
            if not piece:
                return b''
            data += piece
        head, _, body = data.partition(b'\r\n\r\n')
        match = re.search(rb'(?i)content-length: (\d+)', head)
        while len(body) < (int(match[1]) if match else 0):
            piece = sock.recv(65536)
            if not piece:
                return b''
            body += piece
        self.requests.append(head + b'\r\n\r\n' + body)
        return self.requests[-1]

    def close(self):
        self._server.stop(timeout=0)


def write_answer(body, *, status='200 OK', **headers):
    """Return the bytes of a complete answer."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    lines += [
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def write_chunk(data):
    """Return `data` as one chunk of a chunked answer."""
    return b'%x\r\n%s\r\n' % (len(data), data)


class Engine:
    """A stand-in engine on its own port."""

    def __init__(self, *, step=0.002, slots=16):
        self.engine = batching.Engine(
            slots=slots,
            step_seconds=step,
            step_seconds_per_request=0,
            tokens_per_step=1,
            prefill_seconds_per_token=0,
            cache_blocks=1000,
        )
        self._server = standin_server.Server(engine.EngineService(self.engine))
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def fail(self, mode, tokens=0):
        caller = Caller(('127.0.0.1', self._server.server_port))
        faults = {'mode': mode, 'tokens': tokens}
        assert caller.ask('POST', '/standin/faults', faults).status == 200
        caller.close()

    def close(self):
        self._server.stop(timeout=0)


class Plain:
    """A stand-in plain service on its own port."""

    def __init__(self):
        self.service = plain.PlainService()
        self._server = standin_server.Server(self.service)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def fail(self, mode, count=None):
        caller = Caller(('127.0.0.1', self._server.server_port))
        faults = {'mode': mode, 'count': count}
        assert caller.ask('POST', '/standin/faults', faults).status == 200
        caller.close()

    def count(self, booking):
        caller = Caller(('127.0.0.1', self._server.server_port))
        stats = json.loads(caller.ask('GET', '/standin/stats').body)
        caller.close()
        return stats['executions'].get(booking, 0)

    def close(self):
        self._server.stop(timeout=0)


def find_free_address():
    """Return an address on which no server listens."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def wait_until(condition, seconds=_TIMEOUT):
    """Wait for a condition; raise AssertionError after `seconds`."""
    with gevent.Timeout(seconds, AssertionError('the condition never held')):
        while not condition():
            gevent.sleep(0.005)


class StreamPlan:
    """Positions at which an engine splits and cuts the body of its answer.

    Parameters
    ----------
    cut : int or None
        Bytes of the body after which the stream is cut; None for no cut.
    sizes : sequence of int
        Lengths of the chunks in which the body is sent, used cyclically.
    end : str
        How the connection ends at the cut: `close`, `reset`, or `hang` to
        keep it open without sending more.
    """

    def __init__(self, cut=None, sizes=(), *, end='close'):
        self.cut = cut
        self.sizes = sizes
        self.end = end

    def __repr__(self):
        return f'StreamPlan({self.cut}, {self.sizes}, end={self.end!r})'

    def split_body(self, body):
        """Yield the body's chunks up to the cut."""
        body = body if self.cut is None else body[: self.cut]
        position, chunk_number = 0, 0
        while position < len(body):
            size = (
                self.sizes[chunk_number % len(self.sizes)]
                if self.sizes
                else 4096
            )
            yield body[position : position + size]
            position, chunk_number = position + size, chunk_number + 1


class ChunkedEngine(ScriptedServer):
    """An engine whose streams are split and cut at given positions.

    `plan(text)` returns the StreamPlan for the prompt's text. The engine
    resumes streams like the stand-in engine, and keeps the request bodies
    that it got.
    """

    def __init__(self, plan):
        super().__init__(self._answer)
        self._plan = plan
        self.bodies = []
        # Always six digits, so that positions in a body are predictable.
        self.id_number = 100000 + self._server.server_port

    def _answer(self, script, sock):
        while request := self.read(sock):
            values = json.loads(request.partition(b'\r\n\r\n')[2])
            self.bodies.append(values)
            prompt = generation.read_chat(values)
            plan = self._plan(prompt.text)
            sock.sendall(STREAM_HEAD)
            body = write_events(prompt, self.id_number)
            for piece in plan.split_body(body):
                sock.sendall(write_chunk(piece))
                gevent.sleep(0)
            if plan.cut is not None and plan.cut < len(body):
                return self._cut(sock, plan)
            sock.sendall(b'0\r\n\r\n')

    def _cut(self, sock, plan):
        if plan.end == 'hang':
            sock.recv(1)
        if plan.end == 'reset':
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()


def write_events(prompt, id_number, *, done=True):
    """Return the events of a stream in vLLM's format."""
    base = {'id': f'chatcmpl-{id_number}', 'created': id_number % 1000}
    start = prompt.delivered
    events = []
    for index in range(start - 1, prompt.length):
        text = generation.write_tokens(
            prompt.mark, max(index, start), index + 1
        )
        delta = {'content': text}
        if index < start:
            delta['role'] = 'assistant'
        finish = 'stop' if index + 1 == prompt.length else None
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
        usage = {'prompt_tokens': 9, 'completion_tokens': index + 1 - start}
        events.append(base | {'choices': [choice], 'usage': usage})
    events.append(base | {'choices': [], 'usage': usage})
    lines = [json.dumps(each, separators=(',', ':')) for each in events]
    body = ''.join(f'data: {line}\n\n' for line in lines)
    return body.encode() + (b'data: [DONE]\n\n' if done else b'')
