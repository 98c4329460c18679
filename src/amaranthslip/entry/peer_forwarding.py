"""Passes requests to other instances, and recognises theirs.

A passed request is an HTTP request to the peer's address for callers, with one
header more. The peer treats it as its own caller's request: it finds the route
and the account, counts demand and retries, and chooses the backend server. It
never passes it on again. The passing instance relays the answer unchanged.

The peer gets the end of the request only after it asked for it. A peer that
stands still, is behind or can't be reached therefore holds nothing that it
could run later: the request stays at the passing instance. Once the end was
sent, the passing instance waits as long as the route and the caller allow. If
there is no answer by then, or the peer's connection ends without one, nobody
knows whether the request ran, and the caller is told so.
"""

import logging
import time
import typing

import gevent

from amaranthslip.backends import connections as connections_
from amaranthslip.backends import outgoing
from amaranthslip.backends import responses
from amaranthslip.capacity import directory as directory_
from amaranthslip.configuration import document
from amaranthslip.configuration import routes
from amaranthslip.entry import application
from amaranthslip.entry import callers
from amaranthslip.entry import deadlines
from amaranthslip.entry import events
from amaranthslip.entry import headers
from amaranthslip.entry import outcomes
from amaranthslip.entry import overflow as overflow_
from amaranthslip.entry import replies
from amaranthslip import errors
from amaranthslip.links import sockets
from amaranthslip.members import roster as roster_
from amaranthslip import metrics as metrics_
from amaranthslip.platform import headers as wire
from amaranthslip import settings as settings_

_LOG = logging.getLogger(__name__)

_PASSED_KEY = 'HTTP_AMARANTHSLIP_PASSED_VERSION'
_NOT_PASSED_ON = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        wire.ATTEMPT_ID.lower(),
        wire.DEADLINE.lower(),
        headers.PASSED_VERSION.lower(),
    )
)
# Seconds for which the answer of a peer may be late: the peer itself answers
# when the caller's time is over.
_DEADLINE_SLACK_SECONDS = 0.2
# Seconds within which a peer asks for the end of a request. Short, because the
# request waits meanwhile; a peer with time for requests asks within a few
# milliseconds.
_TAKE_SECONDS = 0.2
_SERVICE_UNAVAILABLE = 503
# A timeout of 0 would never expire.
_MIN_SECONDS = 0.001


class PassedSummary:
    """Log fields of a request that was passed to a peer."""

    __slots__ = ('peer',)

    def __init__(self, peer: str) -> None:
        self.peer = peer

    def list_fields(self) -> dict[str, typing.Any]:
        """Return the fields for the request's final log record."""
        return {'passed_to': self.peer}


class RelayedAnswer:
    """The answer of a peer; `reply` is None if it was relayed as a stream."""

    __slots__ = ('reply',)

    def __init__(self, reply: replies.Reply | None) -> None:
        self.reply = reply


class StreamInterrupted(errors.AmaranthslipError):
    """A peer that stops broke off a stream that may go on elsewhere.

    Parameters
    ----------
    server : ListedServer
        The server that sent the stream.
    last_event : int
        Number of the last event that the caller received.
    runs : int
        Times that a server may have run the request.
    """

    def __init__(
        self, server: document.ListedServer, *, last_event: int, runs: int
    ) -> None:
        super().__init__('the peer that had the stream stopped; resume it')
        self.server = server
        self.last_event = last_event
        self.runs = runs


class Origin:
    """The instance that passed a request, and its configuration's version."""

    __slots__ = ('version',)

    def __init__(self, version: int) -> None:
        self.version = version


class PassedRequest:
    """One request that is passed to a peer, and what may be said of it.

    Parameters
    ----------
    peer : Peer
        What `PeerForwarder.take_peer` returned.
    environ : dict
        The WSGI environment of the request.
    body : bytes
        The whole body.
    caller : Caller
        Gets the answer.
    request_id : str
        The caller's attempt id.
    route : Route
        The route by which the request came here.
    version : int
        The version of the configuration that is in force here.
    deadline : float
        Monotonic time until which the route and the caller allow to wait.

    Attributes
    ----------
    is_asked : bool
        Whether the peer was asked to take the request, and has not answered.
    may_run : bool
        Whether the peer may have got the whole request.
    """

    __slots__ = (
        'peer',
        'environ',
        'body',
        'caller',
        'request_id',
        'route',
        'version',
        'deadline',
        'is_asked',
        'may_run',
    )

    def __init__(
        self,
        peer: overflow_.Peer,
        environ: application.Environ,
        body: bytes,
        caller: callers.Caller,
        *,
        request_id: str,
        route: routes.Route,
        version: int,
        deadline: float,
    ) -> None:
        self.route = route
        self.peer = peer
        self.environ = environ
        self.body = body
        self.caller = caller
        self.request_id = request_id
        self.version = version
        self.deadline = deadline
        self.is_asked = False
        self.may_run = False

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline, above 0."""
        return max(self.deadline - time.monotonic(), _MIN_SECONDS)


class PeerForwarder:
    """Passes requests to peers and relays their answers.

    Parameters
    ----------
    settings : Settings
        The `limits` section is used.
    roster : Roster
        The live instances, whose addresses may pass requests to this one.
    overflow : Overflow
        Chooses the requests and the peers.
    connections : Connections
        Connections to peers.
    metrics : Metrics
        Counts passed requests by outcome.
    directory : Directory
        Records servers whose answers report that they are leaving.
    read_batch_seconds : callable
        Returns the seconds for which a stream's events are batched before
        they are written to the caller.
    """

    __slots__ = (
        '_settings',
        '_roster',
        '_overflow',
        '_connections',
        '_metrics',
        '_directory',
        '_read_batch_seconds',
        '_generation',
        '_hosts',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        roster: roster_.Roster,
        overflow: overflow_.Overflow,
        connections: connections_.Connections,
        metrics: metrics_.Metrics,
        directory: directory_.Directory,
        *,
        read_batch_seconds: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._read_batch_seconds = read_batch_seconds
        self._settings = settings
        self._roster = roster
        self._overflow = overflow
        self._connections = connections
        self._metrics = metrics
        self._directory = directory
        self._generation = -1
        self._hosts: frozenset[str] = frozenset()

    def may_pass(self, environ: application.Environ) -> bool:
        """Return whether a request may be passed on.

        None that carries the header of a passed one is, whoever sent it: an
        instance that is not known here yet may have.
        """
        return _PASSED_KEY not in environ

    def read_origin(self, environ: application.Environ) -> Origin | None:
        """Return where a request was passed from; None if by no instance.

        Only the addresses of instances are trusted: a request that is declined
        gets an answer that is not for callers.
        """
        version = environ.get(_PASSED_KEY)
        if version is None or not version.isdigit():
            return None
        if self._generation != self._roster.generation:
            self._generation = self._roster.generation
            self._hosts = frozenset(
                sockets.split_address(each.address)[0] for each in self._roster
            )
        if environ.get('REMOTE_ADDR') not in self._hosts:
            return None
        return Origin(int(version))

    def takes(self, origin: Origin, version: int) -> bool:
        """Return whether this instance takes a request that was passed."""
        taken = version >= origin.version and self._overflow.takes_requests()
        self._metrics.count(
            'passed_requests', 'taken' if taken else 'declined'
        )
        return taken

    def build_decline(self) -> replies.Reply:
        """Return the answer for a request that this instance does not take."""
        return replies.Reply(
            503,
            [(headers.PASSED_DECLINED, '1')],
            b'',
            outcome='passed_declined',
        )

    def is_behind(self, environ: application.Environ) -> bool:
        """Return whether this instance has no time for a request."""
        return self._overflow.is_behind(environ.get('REMOTE_ADDR', ''))

    def wants_to_pass(self) -> bool:
        """Return whether the next request should be passed, if possible."""
        return self._overflow.wants_to_pass()

    def take_peer(self) -> overflow_.Peer | None:
        """Return the peer for a request that `run` passes, or None.

        The request counts as in progress there until `run` returns.
        """
        return self._overflow.take_peer()

    def run(self, request: PassedRequest) -> RelayedAnswer | None:
        """Pass a request to a peer and relay its answer.

        Returns
        -------
        RelayedAnswer or None
            None if the peer did not take the request, which was not run.

        Raises
        ------
        RequestRefused
            The time was over before the peer took the request.
        BackendFailed
            The request may have run.
        StreamInterrupted
            The stream can go on at another server.
        CallerDisconnected, AnswerAborted
            The connection to the caller has to be closed.
        """
        caller = request.caller
        seconds = request.seconds_left + _DEADLINE_SLACK_SECONDS
        try:
            caller.watch()
            # The request may have waited here for longer than its caller did.
            caller.check_connected()
            caller.memory.reserve_exchange()
            with deadlines.DeadlineTimer(caller, seconds):
                return self._exchange(request)
        except deadlines.DeadlinePassed as passed:
            self._metrics.count('passed_requests', 'overdue')
            if caller.started:
                raise callers.AnswerAborted() from None
            error = _build_late_error(request)
            if not request.may_run:
                error = deadlines.build_error(passed, error)
            raise error from None
        finally:
            caller.stop_watching()
            self._overflow.note_end(request.peer)

    def _exchange(self, request: PassedRequest) -> RelayedAnswer | None:
        answer = self._send(request)
        if answer is None:
            return None
        with answer:
            if _is_declined(answer):
                self._metrics.count('passed_requests', 'refused')
                self._overflow.pause(request.peer)
                return None
            self._metrics.count('passed_requests', 'passed')
            request.caller.summary = PassedSummary(request.peer.name)
            self._note_server(answer)
            if outcomes.is_stream(answer) and request.route.resumable:
                self._relay_events(answer, request)
                return RelayedAnswer(None)
            return RelayedAnswer(
                self._relay(answer, request.caller, request.request_id)
            )

    def _note_server(self, answer: responses.Response) -> None:
        """Note what an answer tells of the backend server that gave it.

        The caller gets it from this instance, which is bound by it like the
        peer.
        """
        server = headers.read_server(answer.headers)
        if server is None:
            return
        if wire.read_answer(answer.status, answer.headers).leaving:
            self._directory.note_leaving_by_name(
                server.name, server.incarnation
            )

    def _relay_events(
        self, answer: responses.Response, request: PassedRequest
    ) -> None:
        """Relay a stream that may be resumed, in whole events."""
        last_event = wire.read_request(request.environ).resume_after
        # The events that were written last, whose ids the peer has checked.
        written = b''
        try:
            for data in events.read_whole_events(answer):
                self._write(answer, request.caller, request.request_id, data)
                written = data
        except errors.BackendFailed as failure:
            last_event = events.find_last_id(written) or last_event
            interrupted = self._find_interruption(
                answer, request, last_event, failure
            )
            _LOG.info(
                'passed_stream_cut',
                extra={
                    'request_id': request.request_id,
                    'passed_to': request.peer.name,
                    'reason': failure.reason,
                    'last_event': last_event,
                    'peer_live': self._overflow.is_live(request.peer),
                    'taken_back': interrupted is not None,
                },
            )
            if interrupted is not None:
                raise interrupted from failure
            if request.caller.started:
                raise callers.AnswerAborted() from failure
            raise
        if not request.caller.started:
            self._begin(answer, request.caller, request.request_id)

    def _find_interruption(
        self,
        answer: responses.Response,
        request: PassedRequest,
        last_event: int,
        failure: errors.BackendFailed,
    ) -> StreamInterrupted | None:
        """Return how a stream can go on that its peer did not finish.

        Only after an orderly end of the connection to a peer that leaves the
        fleet: its process ended the run at the server, too. A peer that goes
        on may have given the stream up after several tries.
        """
        named = headers.read_server(answer.headers)
        if (
            failure.reason != 'cut'
            or named is None
            or named.runs >= request.route.max_runs
            or self._overflow.is_live(request.peer)
        ):
            return None
        server = self._directory.get(named.name)
        if server is None or server.incarnation != named.incarnation:
            return None
        self._metrics.count('passed_requests', 'taken_back')
        return StreamInterrupted(
            server, last_event=last_event, runs=named.runs
        )

    def _send(self, request: PassedRequest) -> responses.Response | None:
        """Return the peer's answer, or None if it did not get the request."""
        peer = request.peer
        server = document.BackendServer(
            name=peer.name,
            service='',
            address=peer.address,
            failure_domain='',
        )

        def note_taken() -> None:
            self._end_asking(request)
            self._overflow.note_sign(peer)
            # The caller may have left while the peer was asked.
            request.caller.check_connected()
            request.may_run = True

        request.is_asked = True
        self._overflow.note_asked(peer)
        try:
            answer = self._connections.send(
                server,
                _compose(request, note_taken),
                first_byte_seconds=(
                    request.seconds_left + 2 * _DEADLINE_SLACK_SECONDS
                ),
            )
        except errors.BackendFailed as failure:
            if not failure.sent:
                self._metrics.count('passed_requests', 'unreachable')
                self._overflow.pause(peer, silent=True)
                return None
            self._metrics.count('passed_requests', 'lost')
            self._overflow.pause(peer)
            raise _build_unknown_error(peer.name, failure) from failure
        finally:
            self._end_asking(request)
        self._overflow.note_sign(peer)
        return answer

    def _end_asking(self, request: PassedRequest) -> None:
        if request.is_asked:
            request.is_asked = False
            self._overflow.note_asked_end(request.peer)

    def _relay(
        self,
        answer: responses.Response,
        caller: callers.Caller,
        request_id: str,
    ) -> replies.Reply | None:
        pairs = headers.strip_answer_headers(answer.headers)
        if not outcomes.is_stream(answer):
            body = answer.read_body(
                self._settings.limits.answer_bytes,
                caller.memory.answer.reserve,
            )
            return replies.Reply(answer.status, pairs, body)
        answer.limit_receive()
        try:
            while data := answer.read():
                self._write(answer, caller, request_id, data)
        except errors.BackendFailed as failure:
            if caller.started:
                raise callers.AnswerAborted() from failure
            raise
        if not caller.started:
            self._begin(answer, caller, request_id)
        return None

    def _write(
        self,
        answer: responses.Response,
        caller: callers.Caller,
        request_id: str,
        data: bytes,
    ) -> None:
        if not caller.started:
            self._begin(answer, caller, request_id)
        caller.write(data)
        gevent.sleep(self._read_batch_seconds())

    def _begin(
        self,
        answer: responses.Response,
        caller: callers.Caller,
        request_id: str,
    ) -> None:
        pairs = headers.strip_answer_headers(answer.headers)
        caller.begin(replies.Reply(200, pairs, b''), request_id)


def _is_declined(answer: responses.Response) -> bool:
    name = headers.PASSED_DECLINED.lower()
    return answer.status == _SERVICE_UNAVAILABLE and any(
        each.lower() == name for each, _ in answer.headers
    )


def _compose(
    request: PassedRequest, note_taken: typing.Callable[[], None]
) -> outgoing.BackendRequest:
    environ, seconds_left = request.environ, request.seconds_left
    pairs = headers.collect_forwarded(environ, _NOT_PASSED_ON)
    pairs.append((wire.DEADLINE, str(max(1, int(seconds_left * 1000)))))
    pairs.append((headers.PASSED_VERSION, str(request.version)))
    return outgoing.BackendRequest(
        method=environ['REQUEST_METHOD'],
        target=environ[application.TARGET],
        headers=pairs,
        body=request.body,
        # Not resent if the connection breaks: the peer may have run it.
        reuse=outgoing.Reuse.RECENT,
        request_id=request.request_id,
        id_header=wire.ATTEMPT_ID,
        host=environ.get('HTTP_HOST', ''),
        continue_seconds=min(_TAKE_SECONDS, seconds_left),
        check_server=note_taken,
    )


def _build_unknown_error(
    peer: str, failure: errors.BackendFailed
) -> errors.BackendFailed:
    return errors.BackendFailed(
        'outcome_unknown',
        f'the instance {peer} that had the request did not answer ({failure});'
        ' the request may have run',
        sent=True,
        status=502,
    )


def _build_late_error(
    request: PassedRequest,
) -> errors.RequestRefused | errors.BackendFailed:
    if not request.may_run:
        return errors.RequestRefused(
            'deadline',
            'no instance took the request within the time that its caller'
            ' allows; send it again later',
        )
    return errors.BackendFailed(
        'outcome_unknown',
        'no answer within the time that the route and the caller allow; the'
        ' request may have run',
        sent=True,
        status=504,
    )
