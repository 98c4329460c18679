"""WSGI applications that handle callers' requests."""

import json
import logging
import time
import typing
import uuid

from amaranthslip.configuration import document
from amaranthslip.entry import accounts as accounts_
from amaranthslip.entry import attempts as attempts_
from amaranthslip.entry import bodies
from amaranthslip.entry import callers
from amaranthslip.entry import calls
from amaranthslip.entry import headers
from amaranthslip.entry import paths
from amaranthslip.entry import progress as progress_
from amaranthslip.entry import replies
from amaranthslip import errors
from amaranthslip import metrics as metrics_
from amaranthslip import settings as settings_

_log = logging.getLogger(__name__)

# Keys that `server.Handler` adds to the WSGI environment: the connection's
# socket, the request target exactly as received, and the bytes held.
SOCKET = 'amaranthslip.socket'
MEMORY = bodies.MEMORY
TARGET = 'amaranthslip.target'

_GENERATION_PATHS = ('/v1/chat/completions', '/v1/completions')
_SERVICES_PREFIX = '/services/'
_STATUSES_WITHOUT_BODY = (204, 304)

Environ = dict[str, typing.Any]


class Application:
    """WSGI application that answers callers' requests.

    Each call of the object handles one request.
    """

    # Whether `Retry-After` may hold a fraction of a second.
    _fractional_retry_after = False

    __slots__ = ('_settings', '_accounts', '_metrics', '_progress')

    def __init__(
        self,
        settings: settings_.Settings,
        accounts: accounts_.AccountIndexCache,
        metrics: metrics_.Metrics,
        progress: progress_.Progress,
    ) -> None:
        self._settings = settings
        self._accounts = accounts
        self._metrics = metrics
        self._progress = progress

    def __call__(
        self, environ: Environ, start_response: typing.Callable
    ) -> list[bytes]:
        """Answer one request; the signature is that of WSGI."""
        request_id = self._choose_request_id(environ)
        caller = callers.Caller(
            environ[SOCKET],
            start_response,
            write_seconds=self._settings.limits.write_seconds,
            memory=environ[MEMORY],
            progress=self._progress,
        )
        try:
            self._answer(environ, caller, request_id)
            return []
        except callers.CallerDisconnected:
            self._metrics.count('requests', 'caller_left')
            _log.info('caller_left', extra={'request_id': request_id})
            raise
        except callers.AnswerAborted:
            self._metrics.count('requests', 'aborted')
            _log.warning('stream_aborted', extra={'request_id': request_id})
            raise
        finally:
            caller.memory.release()

    def _choose_request_id(self, environ: Environ) -> str:
        return uuid.uuid4().hex

    def _should_close_connection(self) -> bool:
        """Return whether this answer should close its connection.

        The caller then sends its next request on a new connection, which a
        load balancer may route to another instance.
        """
        return False

    def _answer(
        self, environ: Environ, caller: callers.Caller, request_id: str
    ) -> None:
        arrived = time.monotonic()
        try:
            reply = self._serve(environ, caller, request_id, arrived)
        except Exception as error:
            reply = self._build_error_reply(error, caller, request_id, arrived)
            if caller.started:
                # The stream has begun. An error reply after it would end
                # the chunked coding properly, and the caller would take
                # the partial stream for a complete one.
                raise callers.AnswerAborted() from error
        if not _is_body_read(environ):
            # Does not wait for the rest of the body: a refused caller
            # could keep the connection open by sending it slowly.
            caller.closing = True
            _mark_body_read(environ)
        outcome = 'answered' if reply is None else reply.outcome
        # Refused callers usually retry on a new connection and keep the old
        # one open, so many open connections are closed upon refusal.
        close_refused = self._progress.nearly_full and outcome != 'answered'
        if (
            self._progress.stopping
            or close_refused
            or self._should_close_connection()
        ):
            caller.closing = True
        self._metrics.count('requests', outcome)
        self._metrics.record('whole', time.monotonic() - arrived)
        if outcome == 'answered':
            _log.info(
                'request_ended',
                extra={
                    'request_id': request_id,
                    'status': 200 if reply is None else reply.status,
                    'took_ms': int((time.monotonic() - arrived) * 1000),
                }
                | caller.list_fields(),
            )
        if reply is not None:
            _send_reply(environ, caller, reply, request_id)

    def _build_error_reply(
        self,
        error: Exception,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply:
        if not isinstance(error, errors.AmaranthslipError):
            _log.exception('router_error', extra={'request_id': request_id})
        failure = replies.describe_error(error)
        if failure.not_run:
            self._metrics.count('refusals', failure.code)
        _log.info(
            'request_failed',
            extra={'request_id': request_id, 'reason': failure.code}
            | caller.list_fields()
            | {
                'not_run': failure.not_run,
                'status': failure.status,
                'took_ms': int((time.monotonic() - arrived) * 1000),
                'retry_after': round(failure.retry_after or 0.0, 3),
                'detail': str(error),
            },
        )
        return failure.build_reply(
            request_id, fractions=self._fractional_retry_after
        )

    def _serve(
        self,
        environ: Environ,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply | None:
        self._progress.check_accepting()
        return self._dispatch(environ, caller, request_id, arrived)

    def _read_body(self, environ: Environ) -> bytes:
        """Read a request's whole body.

        Raises
        ------
        RequestRefused
            See `bodies.read_body`; or a stop began while the body came, which
            may take as long as the stop.
        """
        body = bodies.read_body(environ, self._settings)
        self._progress.check_accepting()
        return body

    def _dispatch(
        self,
        environ: Environ,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply | None:
        raise NotImplementedError


class ServiceApplication(Application):
    """Serves model services by OpenAI's API, and plain HTTP services."""

    __slots__ = ('_attempts',)

    def __init__(
        self,
        settings: settings_.Settings,
        accounts: accounts_.AccountIndexCache,
        attempts: attempts_.CallRunner,
        metrics: metrics_.Metrics,
        progress: progress_.Progress,
    ) -> None:
        super().__init__(settings, accounts, metrics, progress)
        self._attempts = attempts

    def _dispatch(
        self,
        environ: Environ,
        caller: callers.Caller,
        request_id: str,
        arrived: float,
    ) -> replies.Reply | None:
        index = self._accounts.read()
        check_ready(index.document)
        account = index.authorise(environ.get('HTTP_AUTHORIZATION', ''))
        path = environ['PATH_INFO']
        if path == '/v1/models':
            return _list_models(environ, index, account)
        if path in _GENERATION_PATHS:
            _check_method(environ, 'POST')
            call = self._read_model_request(
                environ, index, account, request_id, arrived
            )
        elif path.startswith(_SERVICES_PREFIX):
            call = self._read_plain_request(
                environ, index, account, request_id, arrived
            )
        else:
            raise errors.RequestRefused(
                'path_unknown',
                f'nothing is served at {path!r}; use /v1/chat/completions,'
                ' /v1/completions, /v1/models or /services/<name>/',
                status=404,
            )
        return self._attempts.run(call, caller)

    def _read_model_request(
        self,
        environ: Environ,
        index: accounts_.AccountIndex,
        account: document.ClientAccount,
        request_id: str,
        arrived: float,
    ) -> calls.Call:
        body = self._read_body(environ)
        bodies.reserve_parsed(environ, body)
        values = bodies.parse_body(body, chat='chat' in environ['PATH_INFO'])
        service = index.find_service(
            account, values['model'], document.ServiceKind.MODEL
        )
        kind = index.find_named_kind(
            service, environ.get('HTTP_X_REQUEST_KIND', '')
        )
        return calls.Call(
            request_id=request_id,
            account=account,
            service=service,
            kind=kind,
            method='POST',
            target=environ['PATH_INFO'],
            headers=(('Content-Type', 'application/json'),),
            body=body,
            values=values,
            idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            arrived=arrived,
        )

    def _read_plain_request(
        self,
        environ: Environ,
        index: accounts_.AccountIndex,
        account: document.ClientAccount,
        request_id: str,
        arrived: float,
    ) -> calls.Call:
        target = environ[TARGET]
        name, separator, rest = target[len(_SERVICES_PREFIX) :].partition('/')
        service = index.find_service(account, name, document.ServiceKind.PLAIN)
        target = separator + rest or '/'
        method = environ['REQUEST_METHOD']
        kind = index.find_matching_kind(
            service, method, paths.normalise_path(target)
        )
        return calls.Call(
            request_id=request_id,
            account=account,
            service=service,
            kind=kind,
            method=method,
            target=target,
            headers=headers.collect_request_headers(environ, account.name),
            body=self._read_body(environ),
            values=None,
            idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            arrived=arrived,
        )


def check_ready(configuration: document.Document) -> None:
    """Check that a configuration is in force on this instance.

    A router that restarts while neither the key-value service nor a peer
    answers has no client accounts yet. A 401 for an unknown key would make
    callers give up instead of retrying at another instance.

    Raises
    ------
    RequestRefused
        The configuration is still the empty one, version 0.
    """
    if configuration.version == 0:
        raise errors.RequestRefused(
            'not_ready',
            'this instance has no configuration yet; send the request'
            ' again, another instance will take it',
            retry_after=1.0,
        )


def _check_method(environ: Environ, method: str) -> None:
    if environ['REQUEST_METHOD'] != method:
        raise errors.RequestRefused(
            'method_not_allowed',
            f'this path takes {method} only',
            status=405,
        )


def _list_models(
    environ: Environ,
    index: accounts_.AccountIndex,
    account: document.ClientAccount,
) -> replies.Reply:
    _check_method(environ, 'GET')
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'operator'}
        for name in index.list_models(account)
    ]
    body = json.dumps({'object': 'list', 'data': models}).encode()
    return replies.Reply(200, [('Content-Type', 'application/json')], body)


def _is_body_read(environ: Environ) -> bool:
    source = environ['wsgi.input']
    if source.chunked_input:
        return source.chunk_length == 0
    return source.position >= (source.content_length or 0)


def _mark_body_read(environ: Environ) -> None:
    # gevent's server reads the rest of a body before it closes the
    # connection. Marking the input as fully read prevents this.
    source = environ['wsgi.input']
    source.chunked_input = False
    source.content_length = source.position


def _send_reply(
    environ: Environ,
    caller: callers.Caller,
    reply: replies.Reply,
    request_id: str,
) -> None:
    body = reply.body
    if environ['REQUEST_METHOD'] == 'HEAD':
        body = b''
        if not any(_is_content_length(each) for each in reply.headers):
            reply.headers.append(('Content-Length', '0'))
    elif reply.status not in _STATUSES_WITHOUT_BODY:
        reply.headers.append(('Content-Length', str(len(body))))
    caller.begin(reply, request_id)
    caller.write(body)


def _is_content_length(pair: tuple[str, str]) -> bool:
    return pair[0].lower() == 'content-length'
