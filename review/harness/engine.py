"""A sound engine, which registers itself in the platform's store."""

import base64
import contextlib
import json
import socket
import threading
import time
import typing

from review.harness import http
from review.harness import record

_HEARTBEAT_SECONDS = 1.2
_LEASE_SECONDS = 3.6
_MISDIRECTED = 'HTTP/1.1 421 Misdirected Request'


class Engine:
    """Answers each request after its work; echoes the attempt id.

    Parameters
    ----------
    name, service : str
        The id and the service of its entry.
    store : str
        Address of the platform's store.
    log : Record
        Gets a line for each run.
    work_seconds : float
        Time from the start of each run to its answer, or its first event.
    slots : int
        As in its entry.
    event_count : int
        Events of each answer, if it is a stream; 0 for a whole answer.
    event_seconds : float
        Time between two events.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: str,
        log: record.Record,
        *,
        work_seconds: float = 0.02,
        slots: int = 6,
        event_count: int = 0,
        event_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.runs: list[tuple[float, http.Message]] = []
        self._service = service
        self._store = store
        self._log = log
        self._work_seconds = work_seconds
        self._slots = slots
        self._event_count = event_count
        self._event_seconds = event_seconds
        self._lease = 0
        self._written = ''
        self.state = 'ready'
        self._closed = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]

    def start(self) -> None:
        """Serve and register in the background."""
        for loop in (self._accept, self._register):
            threading.Thread(target=loop, daemon=True).start()

    def close(self) -> None:
        """Stop serving and registering."""
        self._closed.set()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = http.Reader(sock)
        with sock, contextlib.suppress(OSError):
            while (request := reader.read()) is not None:
                for data in self._answer(request):
                    sock.sendall(data)

    def _answer(self, request: http.Message) -> typing.Iterator[bytes]:
        attempt = request.headers.get('amaranthslip-attempt-id', '')
        headers = {
            'Amaranthslip-Attempt-Id': attempt,
            'Amaranthslip-Server-Load': f'1,0,{self._slots}',
        }
        expected = request.headers.get('amaranthslip-expect-instance')
        if expected not in (None, self.name):
            headers |= {
                'Amaranthslip-Not-Executed': '1',
                'Content-Length': '0',
            }
            yield http.write(_MISDIRECTED, headers)
            return
        self.runs.append((time.monotonic(), request))
        self._log.log(
            f'engine {self.name} runs {attempt}: {request.start},'
            f' account {request.headers.get("amaranthslip-tenant")},'
            f' after event {request.headers.get("last-event-id", 0)},'
            f' {len(request.body)} bytes {request.body[:200]!r}'
        )
        headers['Amaranthslip-Server-Seal'] = f'seal-{self.name}-{attempt}'
        if self._event_count:
            after = int(request.headers.get('last-event-id', '0'))
            yield from self._stream(attempt, headers, after)
            return
        time.sleep(self._work_seconds)
        body = f'{self.name}:{attempt}'.encode()
        headers['Content-Length'] = str(len(body))
        yield http.write('HTTP/1.1 200 OK', headers, body)

    def _stream(
        self, attempt: str, headers: dict[str, str], after: int
    ) -> typing.Iterator[bytes]:
        headers |= {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        time.sleep(self._work_seconds)
        for number in range(after + 1, self._event_count + 1):
            event = f'id: {number}\ndata: {attempt}:{number}\n\n'.encode()
            chunk = b'%x\r\n%s\r\n' % (len(event), event)
            if number == after + 1:
                chunk = http.write('HTTP/1.1 200 OK', headers, chunk)
            yield chunk
            time.sleep(self._event_seconds)
        yield b'0\r\n\r\n'

    def _register(self) -> None:
        while not self._closed.is_set():
            with contextlib.suppress(OSError, ValueError, AttributeError):
                self._renew()
            self._closed.wait(_HEARTBEAT_SECONDS)

    def _renew(self) -> None:
        answer = self._post(f'/-/kv-keep/{self._lease}', {})
        if answer.status == 404:
            ttl = {'ttl_ms': int(_LEASE_SECONDS * 1000)}
            granted = self._post('/-/kv-lease', ttl)
            self._lease = json.loads(granted.body)['lease']
            self._written = ''
        text = json.dumps(self._describe())
        if text == self._written:
            return
        write = {
            'key': f'servers/{self.name}',
            'value': base64.b64encode(text.encode()).decode(),
            'lease': self._lease,
        }
        if self._post('/-/kv-txn', {'write': [write]}).status == 200:
            self._written = text

    def _describe(self) -> dict[str, typing.Any]:
        return {
            'service': self._service,
            'address': self.address,
            'zone': 'hn-a',
            'version': 'v1',
            'slots': self._slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 1,
        }

    def _post(self, path: str, values: dict[str, typing.Any]) -> http.Message:
        body = json.dumps(values).encode()
        return http.call(self._store, 'POST', path, body)
