"""Engines of several software versions, and clients that take streams up."""

import re

import gevent

from tests.support import exchanges
from tests.support import operated

LAST_EVENT = 9
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


class Engine(operated.Backend):
    """An engine that breaks off each stream after some more events.

    Each event names the version of the engine. Like the users' engines, it
    refuses a request that expects another engine, and goes on after any event
    without a check of what wrote the events before it.
    """

    def __init__(self, name, version):
        super().__init__(name, service='llm')
        self.version = version
        self.default_plan = self._serve_stream
        # Events after which a stream is broken off; None: at its end.
        self.events_per_run = None

    def build_entry(self, state='ready', **values):
        return super().build_entry(state, version=self.version, **values)

    def _serve_stream(self, backend, sock, request):
        if request.headers['amaranthslip-expect-instance'] != self.name:
            sock.sendall(
                operated.write_refusal(
                    backend, request, '421 Misdirected Request'
                )
            )
            return True
        first = int(request.headers.get('last-event-id', 0)) + 1
        last = LAST_EVENT
        if self.events_per_run is not None:
            last = min(last, first + self.events_per_run - 1)
        sock.sendall(operated.write_stream_head(backend, request))
        events = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, self.version.encode())
            for number in range(first, last + 1)
        )
        sock.sendall(exchanges.write_chunk(events))
        if last < LAST_EVENT:
            return False
        sock.sendall(b'0\r\n\r\n')
        return True


class Client:
    """A client of one stream, which it takes up where it was broken off."""

    def __init__(self, name):
        self.name = name
        # (Number, version) of each event received.
        self.events = []
        # Whether it names the attempt that brought its first event.
        self.names_attempt = True
        # The attempt that brought its first event.
        self.first_attempt = ''
        self.complete = False
        self.answers = []

    @property
    def last_event(self):
        return self.events[-1][0] if self.events else 0

    @property
    def versions(self):
        return {version for _, version in self.events}

    def send_attempt(self, side):
        """Request the stream, or the rest of it, from an instance."""
        headers = {
            'Amaranthslip_Model': 'm',
            'Amaranthslip_Token_Usage': '20,9',
            'Amaranthslip_Prompt_Prefix': f'{self.name}:10',
        }
        if self.events:
            if self.names_attempt:
                headers['Resumes'] = self.first_attempt
            headers['Last-Event-Id'] = str(self.last_event)
        attempt = f'{self.name}-{len(self.answers)}'
        answer = side.send_request('/chat/x', attempt=attempt, **headers)
        self.answers.append(answer)
        if answer.status != 200:
            return
        self.first_attempt = self.first_attempt or attempt
        for number, version in _EVENT.findall(answer.body):
            assert int(number) == self.last_event + 1, answer.body
            self.events.append((int(number), version.decode()))
        self.complete = answer.complete

    def wait_as_told(self):
        """Wait as the last answer says; return whether it was a refusal."""
        answer = self.answers[-1]
        if answer.status not in (429, 503):
            return False
        gevent.sleep(float(answer.headers['retry-after']))
        return True
