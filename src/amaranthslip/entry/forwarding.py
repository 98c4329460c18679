"""Forwarding of routed requests to backend servers, with retries."""

import functools
import logging
import time
import typing

from amaranthslip.backends import connections as connections_
from amaranthslip.backends import outgoing
from amaranthslip.backends import responses
from amaranthslip.capacity import coldstarts as coldstarts_
from amaranthslip.capacity import directory as directory_
from amaranthslip.configuration import document
from amaranthslip.entry import callers
from amaranthslip.entry import continuations as continuations_
from amaranthslip.entry import crashes
from amaranthslip.entry import deadlines
from amaranthslip.entry import events
from amaranthslip.entry import headers
from amaranthslip.entry import outcomes
from amaranthslip.entry import replies
from amaranthslip.entry import routed
from amaranthslip.entry import unread
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip.platform import headers as wire
from amaranthslip.requests import budget as budget_
from amaranthslip import settings as settings_
from amaranthslip.shares import demand as demand_
from amaranthslip.shares import keepers as keepers_
from amaranthslip.shares import places

_LOG = logging.getLogger(__name__)

# Minimum seconds before the deadline for another try to start: with less, the
# deadline would pass before the server could answer.
_MIN_TRY_SECONDS = 0.02
# Timeout for the first byte of an answer to a request that may be sent to
# another server: this many seconds, plus the factor times the expected time
# to the first event. An engine that became unreachable without closing its
# connections can only be detected by a timeout. An engine under full load
# answers late, which the factor allows for.
_FIRST_BYTE_TIMEOUT_SECONDS = 1.0
_FIRST_BYTE_TIMEOUT_FACTOR = 3.0
# Seconds by which a first event may be later than expected before the delay
# is logged. About half of the shortest latency objective of a streaming
# route, so that every answer that misses its objective for this reason is
# logged.
_LATE_FIRST_EVENT_SECONDS = 0.25
# Seconds without bytes in the middle of a resumable stream after which it is
# resumed at another engine. Callers abandon a stream after two seconds or more
# without data; engines that preempt a request send nothing for about one.
_STREAM_IDLE_SECONDS = 1.5
# Failure reason for an answer with a 5xx status that the server itself sent.
_SERVER_ERROR = 'server_error'
_MIN_ERROR_STATUS = 400
# Retry-After in seconds for a request whose retry lapsed in the budget.
_RETRY_BUDGET_SECONDS = 0.2
# Statuses by which a caller concludes that its request was not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Forwarder:
    """Sends routed calls to backend servers and relays their answers.

    Parameters
    ----------
    settings : Settings
        The `limits` section is used.
    reader : RouteResolver
        Checks whether the known API keys are recent enough to be trusted.
    keepers : Keepers
        Reserves places at backend servers.
    demand : Demand
        Counts the tokens that client accounts request and are granted.
    budget : FleetBudget
        Limits retries across all instances.
    directory : Directory
        Records servers whose answers report that they are leaving or carry
        Retry-After with a 503, and is checked before each request is sent.
    cold_starts : ColdStarts
        Limits requests to cold servers.
    connections : Connections
        Connections to backend servers.
    crash_guard : CrashGuard
        Reports server crashes and refuses quarantined requests.
    continuations : Continuations
        Keeps streams at the software version that began them.
    metrics : Metrics
        Counts failed tries, retries and denied retries by reason, and records
        the latencies of first events.
    read_batch_seconds : callable
        Returns the seconds for which a stream's events are batched before
        they are written to the caller.
    """

    __slots__ = (
        '_settings',
        '_reader',
        '_keepers',
        '_demand',
        '_budget',
        '_directory',
        '_cold_starts',
        '_connections',
        '_crash_guard',
        '_continuations',
        '_metrics',
        '_read_batch_seconds',
    )

    def __init__(
        self,
        settings: settings_.Settings,
        reader: routed.RouteResolver,
        keepers: keepers_.Keepers,
        demand: demand_.Demand,
        budget: budget_.FleetBudget,
        directory: directory_.Directory,
        cold_starts: coldstarts_.ColdStarts,
        connections: connections_.Connections,
        crash_guard: crashes.CrashGuard,
        continuations: continuations_.Continuations,
        metrics: metrics_.Metrics,
        *,
        read_batch_seconds: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._read_batch_seconds = read_batch_seconds
        self._settings = settings
        self._reader = reader
        self._keepers = keepers
        self._demand = demand
        self._budget = budget
        self._directory = directory
        self._cold_starts = cold_starts
        self._connections = connections
        self._crash_guard = crash_guard
        self._continuations = continuations
        self._metrics = metrics

    def run(
        self, call: routed.RoutedCall, caller: callers.Caller
    ) -> replies.Reply | None:
        """Run a call with retries until its answer, an error or its deadline.

        Returns
        -------
        Reply or None
            The whole answer, or None if it was relayed as a stream.

        Raises
        ------
        RequestRefused
            The request was not run.
        BackendFailed
            The request may have run.
        CallerDisconnected, AnswerAborted
            The connection to the caller has to be closed.
        """
        self._continuations.bind(call)
        relay = None
        if call.route.streams:
            relay = events.EventRelay(
                caller,
                call.request_id,
                last_id=call.resumed_after,
                read_batch_seconds=self._read_batch_seconds,
            )
        if not call.is_taken_back:
            self._count_requested(call)
        caller.watch()
        try:
            return self._run_until_deadline(call, relay, caller)
        except errors.AmaranthslipError as error:
            if relay is not None and relay.started:
                _LOG.warning(
                    'stream_cut',
                    extra={
                        'request_id': call.request_id,
                        'last_event': relay.last_id,
                        'tries': call.tries,
                        'detail': str(error),
                    },
                )
                raise callers.AnswerAborted() from error
            raise outcomes.build_final_error(call, error) from error
        finally:
            caller.stop_watching()
            call.release_retry()

    def _run_until_deadline(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay | None,
        caller: callers.Caller,
    ) -> replies.Reply | None:
        left = max(call.seconds_left, 0.001)
        try:
            with deadlines.DeadlineTimer(caller, left):
                return self._try_until_done(call, relay, caller)
        except deadlines.DeadlinePassed as passed:
            error = deadlines.build_error(passed, _build_late_error())
        raise error

    def _try_until_done(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay | None,
        caller: callers.Caller,
    ) -> replies.Reply | None:
        while True:
            self._reader.check_keys_trusted(call)
            self._reader.check_servers_current()
            self._crash_guard.check(call)
            caller.check_connected()
            place = self._keepers.reserve(call.placement_request)
            self._count_granted(call)
            call.tries += 1
            with place:
                try:
                    return self._run_try(call, relay, place, caller)
                except errors.BackendFailed as failure:
                    if failure.reason == unread.REASON:
                        self._end_unread(call, relay, place, caller)
                    crashed = self._record_failure(call, relay, place, failure)
                    self._check_retry_allowed(
                        call, relay, failure, server_crashed=crashed
                    )
                except callers.CallerDisconnected:
                    place.cancel()
                    raise
                except deadlines.DeadlinePassed as passed:
                    if (
                        caller.overdue
                        or caller.memory.answer.waiting
                        or isinstance(passed, deadlines.StopPassed)
                    ):
                        # Callers were slow, or this instance stops: it was
                        # not the server.
                        place.cancel()
                    raise
                except errors.RequestRefused:
                    # The request was not sent: it can't be encoded as HTTP,
                    # it was quarantined while it waited for its place, or its
                    # retry is no longer in the budget.
                    call.runs -= 1
                    place.cancel()
                    raise

    def _count_requested(self, call: routed.RoutedCall) -> None:
        request = call.placement_request
        if request.prompt is not None and request.client_account:
            self._demand.note_requested(request.client_account, request.tokens)
        self._budget.note_request(request.service)

    def _count_granted(self, call: routed.RoutedCall) -> None:
        # Counted once per request, as its demand is. A retry uses the engines
        # again, but the client account did not request it.
        if call.placement_request.placed_before:
            return
        call.placement_request.placed_before = True
        if (
            call.placement_request.client_account
            and call.placement_request.prompt
        ):
            self._demand.note_granted(
                call.placement_request.client_account,
                call.placement_request.tokens,
            )

    def _end_unread(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay,
        place: places.Place,
        caller: callers.Caller,
    ) -> None:
        """Handle an answer that was cut off because its caller didn't read.

        Raises
        ------
        AnswerAborted
            The caller still has unread bytes. Another engine would generate
            the rest for nobody.
        """
        place.cancel()
        caught_up = unread.wait_for_caller(caller)
        self._metrics.count('unread', 'resumed' if caught_up else 'aborted')
        _LOG.info(
            'caller_reads_slowly',
            extra={
                'request_id': call.request_id,
                'server': place.server.name,
                'last_event': relay.last_id,
                'caught_up': caught_up,
            },
        )
        if not caught_up:
            raise callers.AnswerAborted()

    def _record_failure(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay | None,
        place: places.Place,
        failure: errors.BackendFailed,
    ) -> bool:
        """Record a failed try; return whether its server crashed."""
        call.placement_request.excluded_servers.add(place.server.name)
        if failure.reason in outcomes.REJECTIONS:
            place.reject()
        else:
            place.fail(connected=failure.reason != 'connect')
        if not failure.sent:
            call.runs -= 1
        self._metrics.count('tries_failed', failure.reason)
        last_event = 0 if relay is None else relay.last_id
        crashed = (
            failure.reason != unread.REASON
            and self._crash_guard.note_failure(
                call, place.server, failure, last_event=last_event
            )
        )
        extra = {
            'request_id': call.request_id,
            'fingerprint': call.fingerprint.hex(),
            'server': place.server.name,
            'reason': failure.reason,
            'may_have_run': failure.sent,
            'server_crashed': crashed,
            'last_event': last_event,
            'tries': call.tries,
        }
        if crashed:
            extra['prompt_parts'] = ','.join(
                each.hex() for each in call.sent_parts.digests
            )
        _LOG.info('try_failed', extra=extra)
        return crashed

    def _check_retry_allowed(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay | None,
        failure: errors.BackendFailed,
        *,
        server_crashed: bool,
    ) -> None:
        """Raise the failure unless a retry is allowed and in the budget."""
        if call.runs and not call.route.repeatable:
            raise failure
        if relay is not None and relay.started and not call.route.resumable:
            raise failure
        if not self._crash_guard.may_retry(call, after_crash=server_crashed):
            self._deny_retry(failure, 'crashes_servers')
        if call.runs >= call.route.max_runs:
            self._deny_retry(failure, 'most_runs')
        if call.seconds_left < _MIN_TRY_SECONDS:
            self._deny_retry(failure, 'deadline')
        if call.arrived and not self._reserve_retry(call):
            self._deny_retry(failure, 'budget')
        if relay is not None:
            call.resumed_after = relay.last_id
        self._metrics.count('retries', failure.reason)

    def _reserve_retry(self, call: routed.RoutedCall) -> bool:
        """Reserve a retry for a call that has none; return False if denied.

        Reserved before the wait for a place, so that a caller without a retry
        gets its answer at once.
        """
        if call.retry is None:
            service = call.placement_request.service
            call.retry = self._budget.reserve_retry(service)
        return call.retry is not None

    def _charge_arrival(self, call: routed.RoutedCall) -> None:
        """Charge the budget for a try that is sent now, except the first.

        Raises
        ------
        RequestRefused
            The budget does not allow it; nothing was sent in this try.
        """
        if not call.arrived:
            call.arrived = True
            return
        if self._reserve_retry(call):
            retry, call.retry = call.retry, None
            if retry.use():
                return
        self._metrics.count('retries_denied', 'budget_lapsed')
        raise errors.RequestRefused(
            'retry_budget',
            'too many requests for this service were sent again while this one'
            ' waited for a place; come back later',
            retry_after=_RETRY_BUDGET_SECONDS,
        )

    def _deny_retry(
        self, failure: errors.BackendFailed, reason: str
    ) -> typing.NoReturn:
        self._metrics.count('retries_denied', reason)
        raise failure

    def _run_try(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay | None,
        place: places.Place,
        caller: callers.Caller,
    ) -> replies.Reply | None:
        # Counted as run from here on, until the server reports otherwise or
        # the try fails before the request is sent.
        call.runs += 1
        caller.memory.reserve_exchange()
        # Checked again: the request may have been quarantined while it waited
        # for a place.
        self._crash_guard.check(call)
        call.kept_connection_broke = False
        request = self._compose(call, place, caller)
        started_at = time.monotonic()
        call.sent_parts.sent_at = started_at
        _LOG.info(
            'request_sent',
            extra={
                'request_id': call.request_id,
                'fingerprint': call.fingerprint.hex(),
                'server': place.server.name,
                'service': place.server.service,
                'software_version': place.server.software_version,
                'resumed_after': call.resumed_after,
                'tries': call.tries,
                'expected_ms': int(place.expected_seconds * 1000),
                'waited_ms': int(
                    (started_at - call.placement_request.arrived) * 1000
                ),
                'left_ms': int(call.seconds_left * 1000),
            },
        )
        with self._connections.send(
            place.server,
            request,
            first_byte_seconds=self._choose_first_byte_timeout(call, place),
        ) as answer:
            facts = wire.read_answer(answer.status, answer.headers)
            if facts.leaving:
                self._directory.note_leaving(place.server)
            if facts.retry_after is not None:
                self._directory.note_backoff(place.server, facts.retry_after)
            outcomes.check_run(answer, facts)
            if facts.signed:
                place.note_load(facts.load)
            if relay is not None and outcomes.is_stream(answer):
                self._relay_stream(call, relay, answer, place, started_at)
                return None
            if relay is not None and relay.started:
                # A whole answer must not be appended to a partial stream:
                # the caller would read it as the regular end of the stream.
                raise errors.BackendFailed(
                    'resume_refused',
                    f'the engine did not go on with the stream'
                    f' ({answer.status})',
                    sent=True,
                )
            return self._read_reply(call, answer, place, caller)

    def _compose(
        self,
        call: routed.RoutedCall,
        place: places.Place,
        caller: callers.Caller,
    ) -> outgoing.BackendRequest:
        pairs = call.headers + wire.build_try_headers(
            server_name=place.server.name,
            client_account=call.placement_request.client_account,
            seconds_left=call.seconds_left,
            resume_after=call.resumed_after,
        )
        return outgoing.BackendRequest(
            method=call.method,
            target=call.target,
            headers=pairs,
            body=call.body,
            reuse=_choose_reuse(call),
            request_id=call.facts.attempt_id,
            id_header=wire.ATTEMPT_ID,
            host=call.host,
            accept_unframed=True,
            may_resend=functools.partial(self._prepare_resend, call),
            check_server=functools.partial(
                self._begin_send, call, place.server, caller
            ),
        )

    def _begin_send(
        self,
        call: routed.RoutedCall,
        server: document.ListedServer,
        caller: callers.Caller,
    ) -> None:
        """Charge a call that is sent now, or raise if it must not be sent.

        The server may have become leaving, evacuated, in backoff, cold or
        unlisted, or have restarted, since it was selected, or this instance
        may not know it yet. The process may have been suspended for longer
        than the caller waited.
        """
        caller.check_connected()
        self._reader.check_servers_current()
        listed = self._directory.get(server.name)
        if listed is None or listed.leaving:
            raise _build_unsent_failure(
                'leaving', 'the backend server is leaving'
            )
        if listed.incarnation != server.incarnation:
            raise _build_unsent_failure(
                'restarted', 'the backend server has restarted'
            )
        if self._directory.is_evacuated(listed):
            raise _build_unsent_failure(
                'evacuated',
                "the backend server's failure domain is evacuated",
            )
        seconds = self._directory.read_backoff(server)
        if seconds > 0:
            raise _build_unsent_failure(
                'backoff',
                'the backend server is in backoff for another'
                f' {seconds:.1f} s',
            )
        if self._cold_starts.read_wait(listed):
            raise _build_unsent_failure(
                'cold',
                'the backend server has just started and takes no more'
                ' requests in this second',
            )
        self._charge_arrival(call)
        self._cold_starts.take(listed)

    def _prepare_resend(self, call: routed.RoutedCall) -> bool:
        """Return whether a request may be resent; count the resend if so.

        Called when a kept connection broke during the request. The server
        may have run the request before, so the resend counts as a run and
        needs a retry of the budget. Otherwise a server that crashes under
        load would get each request once more than its route and the budget
        of all instances allow.
        """
        call.kept_connection_broke = True
        if call.runs >= call.route.max_runs:
            return False
        if not self._reserve_retry(call):
            return False
        call.runs += 1
        self._metrics.count('retries', 'kept_connection')
        return True

    def _choose_first_byte_timeout(
        self, call: routed.RoutedCall, place: places.Place
    ) -> float:
        left = max(call.seconds_left, 0.001)
        if not call.route.repeatable:
            return left
        if call.runs >= call.route.max_runs:
            return left
        timeout = _FIRST_BYTE_TIMEOUT_SECONDS
        timeout += _FIRST_BYTE_TIMEOUT_FACTOR * place.expected_seconds
        return min(left, timeout)

    def _relay_stream(
        self,
        call: routed.RoutedCall,
        relay: events.EventRelay,
        answer: responses.Response,
        place: places.Place,
        sent_at: float,
    ) -> None:
        answer.limit_receive()
        if call.route.resumable and call.runs < call.route.max_runs:
            answer.set_idle_timeout(_STREAM_IDLE_SECONDS)
        else:
            answer.set_idle_timeout(max(call.seconds_left, 0.001))

        def note_start() -> None:
            place.start()
            self._record_first_event(call, place, sent_at)

        pairs = _list_caller_headers(call, answer, place.server)
        note_begun = functools.partial(
            self._continuations.note_begun, call, place.server
        )
        relay.relay(answer, pairs, note_start, note_begun)
        self._continuations.note_completed(call, place.server)
        self._note_completion(call, answer, place)
        place.start()
        place.note_pause(relay.longest_pause)
        place.succeed()

    def _note_completion(
        self,
        call: routed.RoutedCall,
        answer: responses.Response,
        place: places.Place,
    ) -> None:
        self._crash_guard.note_completion(
            call,
            place.server,
            succeeded=answer.status < _MIN_ERROR_STATUS,
            delimited=answer.complete,
        )

    def _record_first_event(
        self, call: routed.RoutedCall, place: places.Place, sent_at: float
    ) -> None:
        """Compare the time to the first event with the expected time."""
        now = time.monotonic()
        call.summary.note_answer_start(now)
        took_seconds = now - sent_at
        self._metrics.record(
            'first_token', now - call.placement_request.arrived
        )
        late_seconds = took_seconds - place.expected_seconds
        self._metrics.record('first_token_error', abs(late_seconds))
        if late_seconds < _LATE_FIRST_EVENT_SECONDS:
            return
        _LOG.info(
            'first_event_late',
            extra={
                'request_id': call.request_id,
                'server': place.server.name,
                'expected_ms': int(place.expected_seconds * 1000),
                'took_ms': int(took_seconds * 1000),
                'unread': int(place.unread_tokens),
            },
        )

    def _read_reply(
        self,
        call: routed.RoutedCall,
        answer: responses.Response,
        place: places.Place,
        caller: callers.Caller,
    ) -> replies.Reply:
        memory = caller.memory.answer
        # An earlier try may have left an answer that was discarded.
        memory.release()
        body = answer.read_body(
            self._settings.limits.answer_bytes, memory.reserve
        )
        self._note_completion(call, answer, place)
        call.summary.note_answer_start(time.monotonic())
        place.start()
        if answer.status >= 500:
            self._retry_server_error(call, answer)
            place.fail()
        else:
            place.succeed(regular=answer.status < _MIN_ERROR_STATUS)
        pairs = _list_caller_headers(call, answer, place.server)
        status = answer.status
        if status in _NOT_RUN_STATUSES:
            # The answer lacks the header that marks a request as not run, so
            # the request may have run. The status alone would make the caller
            # conclude that it did not.
            status, pairs, body = 502, wire.strip_status_specific(pairs), b''
        return replies.Reply(status, pairs, body)

    def _retry_server_error(
        self, call: routed.RoutedCall, answer: responses.Response
    ) -> None:
        """Raise BackendFailed if a 5xx answer should be retried."""
        if not call.route.repeatable:
            return
        if call.runs >= call.route.max_runs:
            return
        if call.seconds_left < _MIN_TRY_SECONDS:
            return
        # Reserved before the answer is discarded: without budget for a retry,
        # the answer is passed on to the caller.
        if self._reserve_retry(call):
            raise errors.BackendFailed(
                _SERVER_ERROR,
                f'the backend server failed with {answer.status}',
                sent=True,
            )


def _build_late_error() -> errors.RequestRefused:
    return errors.RequestRefused(
        'deadline',
        'no answer within the time that the route and the caller allow; send'
        ' it again later',
    )


def _list_caller_headers(
    call: routed.RoutedCall,
    answer: responses.Response,
    server: document.ListedServer,
) -> wire.HeaderList:
    pairs = outcomes.list_caller_headers(answer)
    if call.is_passed:
        described = headers.AnsweringServer(
            server.name, server.incarnation, call.runs
        )
        pairs.append(described.build_header())
    return pairs


def _build_unsent_failure(reason: str, text: str) -> errors.BackendFailed:
    return errors.BackendFailed(
        reason,
        f'{text}; it was not sent, so it is safe to send it again',
        sent=False,
        status=503,
    )


def _choose_reuse(call: routed.RoutedCall) -> outgoing.Reuse:
    """Return which kept connections the next try of a call may use.

    When only requests that could be resent used kept connections, 2,600 of
    the 4,600 requests of a busy minute opened a new connection, which costs a
    round trip and processor time of the server.
    """
    if call.route.repeatable and call.runs < call.route.max_runs:
        return outgoing.Reuse.ANY
    if call.route.repeatable or call.route.streams:
        # The request can't be resent if the connection breaks: its route
        # allows no further run. Whether a failed request ran need not be known
        # for sure here, because running an idempotent or streaming request
        # has no effect that matters to the caller.
        return outgoing.Reuse.RECENT
    return outgoing.Reuse.NEVER
