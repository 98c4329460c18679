"""Requests of all instances at the servers that this instance keeps."""

import functools
import logging
import time
import typing

from amaranthslip.capacity import engines as engines_module
from amaranthslip.capacity import outliers as outliers_module
from amaranthslip.capacity import prefill
from amaranthslip import identity
from amaranthslip.members import roster as roster_module
from amaranthslip.shares import answer_times
from amaranthslip.shares import kept_memory
from amaranthslip.shares import load_messages
from amaranthslip.shares import plain
from amaranthslip.shares import plain_loads

_LOG = logging.getLogger(__name__)

# Seconds after which a request of another instance is no longer counted: its
# end was lost with a connection. Longer than the timeout of any route.
_REMOTE_REQUEST_TTL_SECONDS = 30.0
# Seconds after the deadline of a plain request at which it is no longer
# counted: its sender gave it up by then, and a request that is counted for
# longer takes a place that no other request gets.
_PLAIN_TTL_SLACK_SECONDS = 0.5


class _RemoteRequest:
    """Another instance's request at a server that this instance keeps."""

    __slots__ = (
        'engine',
        'mark',
        'held',
        'expires_at',
        'probe_number',
        'decision',
    )

    def __init__(
        self,
        engine: engines_module.Engine,
        mark: prefill.Mark,
        held: int,
        received_at: float,
        probe_number: int,
        decision: plain_loads.Decision,
    ) -> None:
        self.engine = engine
        self.mark = mark
        self.held = held
        self.probe_number = probe_number
        self.decision = decision
        self.expires_at = received_at + _REMOTE_REQUEST_TTL_SECONDS
        if decision.terms is not None:
            self.expires_at = received_at + (
                decision.terms.left_seconds + _PLAIN_TTL_SLACK_SECONDS
            )


class KeptRequests:
    """Counts other instances' requests at kept servers, and answers asks.

    Parameters
    ----------
    roster : Roster
        The live instances.
    outbox : Outbox
        Sends the messages.
    plain_servers : PlainServers
        Decides on requests to plain services that adapt.
    engines : Engines
        The servers and their load.
    outliers : Outliers
        Servers that are ejected because their requests fail.
    kept : KeptEngines
        Counts the memory that requests take.
    metrics : Metrics
        Counts changes of servers' limits.
    find_keeper : callable
        Returns the name of the instance that keeps a server.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_plain',
        '_engines',
        '_outliers',
        '_kept',
        '_find_keeper',
        '_clock',
        '_times',
        '_remote_requests',
        '_server_names',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        plain_servers: plain.PlainServers,
        engines: engines_module.Engines,
        outliers: outliers_module.Outliers,
        kept: kept_memory.KeptEngines,
        metrics: typing.Any,
        *,
        find_keeper: typing.Callable[[str], str],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._plain = plain_servers
        self._engines = engines
        self._outliers = outliers
        self._kept = kept
        self._find_keeper = find_keeper
        self._clock = clock
        self._times = answer_times.TimesRecorder(metrics, clock=clock)
        self._remote_requests: dict[tuple[str, int], _RemoteRequest] = {}
        self._server_names: dict[int, str] = {}

    def forget_peer(self, name: str) -> None:
        """Drop the requests that an instance had before it restarted."""
        for key in [each for each in self._remote_requests if each[0] == name]:
            self._release_remote(key)
        self._kept.forget_peer(name)

    def release_lost(self) -> None:
        """Drop requests of dead instances, and those given up."""
        self._release_dead_instances()
        self._release_given_up()

    def receive(self, sender: str, message: object) -> None:
        """Handle one message of `shares.load_messages`."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_handle.register
    def _(self, message: load_messages.PlaceAsk, sender: str) -> None:
        engine = self._find_engine(message.server)
        if engine is None:
            # The server is not listed here yet: without an answer the sender
            # decides from its own data.
            return
        now = self._clock()
        decision = self._plain.decide(engine, message, now)
        waits = message.waits and not decision.granted
        answer = self._build_answer(engine, message, decision)
        if decision.terms is None:
            answer.refused = not self._kept.has_room(engine, message.held)
        waits = waits and self._enqueue(engine, message, sender, decision)
        answer.waits = waits
        self._outbox.send(sender, answer)
        if decision.granted:
            self._count_remote(engine, message, sender, decision)
        elif waits:
            self._plain.serve_waiting(engine, now)

    def _enqueue(
        self,
        engine: engines_module.Engine,
        ask: load_messages.PlaceAsk,
        sender: str,
        decision: plain_loads.Decision,
    ) -> bool:
        """Let another instance's request wait; return whether it does."""

        def resolve(granted: bool) -> None:
            decision.granted = granted
            decision.running = self._plain.count_running(engine)
            answer = self._build_answer(engine, ask, decision)
            if self._outbox.send(sender, answer) and granted:
                self._count_remote(engine, ask, sender, decision)

        key = (sender, ask.number)
        return self._plain.enqueue(
            engine, key, decision.terms, resolve, self._clock()
        )

    def _build_answer(
        self,
        engine: engines_module.Engine,
        ask: load_messages.PlaceAsk,
        decision: plain_loads.Decision,
    ) -> load_messages.PlaceAnswer:
        return load_messages.PlaceAnswer(
            number=ask.number,
            ahead=engine.queue.read_backlog(self._clock()),
            rate=engine.queue.rate,
            congestion=engine.queue.congestion,
            running=decision.running,
            held=engine.total_held_tokens,
            admitted=self._outliers.admits(engine.server.name),
            slowdown=_read_slowdown(engine, self._clock()),
            limit=decision.limit,
            seconds=decision.seconds,
            refused=not decision.granted,
        )

    def _count_remote(
        self,
        engine: engines_module.Engine,
        message: load_messages.PlaceAsk,
        sender: str,
        decision: plain_loads.Decision,
    ) -> None:
        """Count another instance's request at a server."""
        now = self._clock()
        probe_number = self._outliers.note_request(engine.server.name)
        running = engine.total_running
        mark = engine.queue.add(
            message.unread,
            now,
            running=running,
            other=self._engines.read_slot_wait(engine, running),
            uncertain=message.uncertain,
        )
        engine.remote_running += 1
        engine.remote_held_tokens += message.held
        self._remote_requests[sender, message.number] = _RemoteRequest(
            engine, mark, message.held, now, probe_number, decision
        )
        if decision.terms is not None:
            self._plain.count(engine, 1)
            return
        # Also where it was refused, until its sender reports its end: a sender
        # that did not wait for the answer may have placed it.
        self._kept.count(engine, (sender, message.number), message.held)

    @_handle.register
    def _(self, message: load_messages.PlaceStarted, sender: str) -> None:
        remote = self._remote_requests.get((sender, message.number))
        if remote is None:
            return
        now = self._clock()
        load = message.read_load()
        if load is not None and remote.engine.adaptive:
            remote.engine.estimate.note_load(load, now)
        remote.engine.queue.start(remote.mark, now)

    @_handle.register
    def _(self, message: load_messages.PlaceEnded, sender: str) -> None:
        key = (sender, message.number)
        remote = self._release_remote(key)
        engine = self._find_engine(message.server)
        if engine is None:
            return
        if remote is not None and remote.engine is not engine:
            # The request ran at an earlier start of the server.
            return
        self._plain.leave(engine, key)
        times = message.read_times()
        if times is not None and engine.adaptive:
            if remote is not None:
                # This instance counts all requests, the sender does not.
                times.running = remote.decision.running + 1
            self.record_times(remote.engine if remote else engine, times)
        self._kept.reduce_report(engine, sender, message.held)
        server = engine.server
        if remote is not None and message.rejected:
            self._plain.note_rejection(
                engine, remote.decision.running, self._clock()
            )
        if remote is not None and not (message.succeeded or message.failed):
            self._outliers.release_probe(server.name, remote.probe_number)
        if message.succeeded:
            self._outliers.note_success(server.name, server.service)
        elif message.failed:
            self.note_failure(
                server.name, server.service, connected=message.connected
            )
        self._plain.serve_waiting(engine, self._clock())

    @_handle.register
    def _(self, message: load_messages.PlacesHeld, sender: str) -> None:
        engine = self._find_engine(message.server)
        if engine is None:
            return
        for key, remote in list(self._remote_requests.items()):
            if key[0] == sender and remote.engine is engine:
                self._release_remote(key)
        self._kept.receive_report(engine, sender, message)

    @_handle.register
    def _(self, message: load_messages.ServerEjected, sender: str) -> None:
        engine = self._find_engine(message.server)
        if engine is not None:
            self._outliers.apply_remote_ejection(
                engine.server.name,
                engine.server.service,
                seconds=message.seconds,
            )

    def note_failure(
        self, server: str, service: str, *, connected: bool
    ) -> None:
        """Count a failed request; broadcast the ejection if it causes one."""
        seconds = self._outliers.note_failure(
            server, service, connected=connected
        )
        if (
            not seconds
            or self._find_keeper(server) != self._roster.member.name
        ):
            return
        ejection = load_messages.ServerEjected(
            server=identity.hash_name(server), seconds=seconds
        )
        for member in self._roster.list_others():
            self._outbox.send(member.name, ejection)

    def drop_expired(self) -> None:
        """Drop requests whose end was lost; called periodically."""
        now = self._clock()
        for key, remote in list(self._remote_requests.items()):
            if remote.expires_at < now:
                self._release_remote(key)
                self._plain.serve_waiting(remote.engine, now)
        self._kept.drop_expired(now - _REMOTE_REQUEST_TTL_SECONDS)

    def _release_remote(self, key: tuple[str, int]) -> _RemoteRequest | None:
        remote = self._remote_requests.pop(key, None)
        if remote is None:
            return None
        engine = remote.engine
        engine.queue.drop(remote.mark, self._clock())
        if self._kept.release(engine, key):
            return remote
        engine.remote_running = max(0, engine.remote_running - 1)
        engine.remote_held_tokens = max(
            0, engine.remote_held_tokens - remote.held
        )
        if remote.decision.terms is not None:
            self._plain.count(engine, -1)
        return remote

    def _release_dead_instances(self) -> None:
        live = {each.name for each in self._roster.list_live()}
        for key in [
            each for each in self._remote_requests if each[0] not in live
        ]:
            self._release_remote(key)

    def _release_given_up(self) -> None:
        """Drop plain requests at servers that another instance keeps now.

        Their ends go to the new keeper. If this instance keeps the server
        again, they would take places that no request uses.
        """
        for key, remote in list(self._remote_requests.items()):
            if remote.decision.terms is not None and (
                self._find_keeper(remote.engine.server.name)
                != self._roster.member.name
            ):
                self._release_remote(key)

    def record_times(
        self,
        engine: engines_module.Engine,
        times: answer_times.AnswerTimes,
    ) -> None:
        """Record the times of an answer for its server's estimate."""
        keeps = (
            self._find_keeper(engine.server.name) == self._roster.member.name
        )
        self._times.record(engine, times, keeps=keeps)

    def _find_engine(self, number: int) -> engines_module.Engine | None:
        name = self._server_names.get(number)
        engine = self._engines.get(name) if name else None
        if engine is not None:
            return engine
        self._server_names = {
            identity.hash_name(each.server.name): each.server.name
            for each in self._engines.list_all()
        }
        name = self._server_names.get(number)
        return self._engines.get(name) if name else None


def _read_slowdown(engine: engines_module.Engine, now: float) -> float:
    """Return a server's present slowdown; 0 if it is not learnt."""
    return engine.estimate.slowdown.read(now) if engine.adaptive else 0.0
