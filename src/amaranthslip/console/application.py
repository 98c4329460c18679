"""Which request goes where on the operators' port, and who may send it."""

import typing
import urllib.parse

from werkzeug import exceptions
from werkzeug import routing
from werkzeug import utils
from werkzeug import wrappers

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import submission as submission_module
from amaranthslip.console import api
from amaranthslip.console import authentication
from amaranthslip.console import editing
from amaranthslip.console import pages as pages_module
from amaranthslip import metrics as metrics_module

_HEADERS = {
    'Cache-Control': 'no-store',
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    'Referrer-Policy': 'same-origin',
    'X-Content-Type-Options': 'nosniff',
}
# An operator without a session may send the sign-in form, so may a stranger.
_MOST_FORM_BYTES = 256 * 1024
_BASIC = {'WWW-Authenticate': 'Basic realm="amaranthslip", charset="UTF-8"'}

# Endpoint names say who may come: `public` anybody, `api` with the Basic
# scheme, `page` with a session. `edit` after it: editors only.
URLS = routing.Map(
    [
        routing.Rule('/health', endpoint='public.health', methods=['GET']),
        routing.Rule('/ready', endpoint='public.ready', methods=['GET']),
        routing.Rule('/sign-in', endpoint='public.sign_in'),
        routing.Rule(
            '/api/configuration', endpoint='api.read', methods=['GET']
        ),
        routing.Rule(
            '/api/configuration', endpoint='api.edit.write', methods=['PUT']
        ),
        routing.Rule('/api/history', endpoint='api.history', methods=['GET']),
        routing.Rule('/api/status', endpoint='api.status', methods=['GET']),
        routing.Rule('/metrics', endpoint='api.metrics', methods=['GET']),
        routing.Rule('/', endpoint='page.overview', methods=['GET']),
        routing.Rule('/history', endpoint='page.history', methods=['GET']),
        routing.Rule(
            '/list/<section>', endpoint='page.items', methods=['GET']
        ),
        routing.Rule(
            '/edit/<section>',
            endpoint='page.edit.item',
            methods=['GET', 'POST'],
        ),
        routing.Rule(
            '/draft', endpoint='page.edit.draft', methods=['GET', 'POST']
        ),
        routing.Rule('/sign-out', endpoint='page.sign_out', methods=['POST']),
    ]
)

Answer = typing.Callable[..., wrappers.Response]


class Application:
    """The WSGI application of the operators' port.

    Parameters are those of `server.Console`.
    """

    __slots__ = (
        '_holder',
        '_submission',
        '_status',
        'stopping',
        '_metrics',
        '_authenticator',
        '_pages',
        '_answers',
    )

    def __init__(
        self,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        status: pages_module.Status,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder
        self._submission = submission
        self._status = status
        self.stopping = False
        self._metrics = metrics
        self._authenticator = authentication.Authenticator(holder)
        self._pages = pages_module.Pages(
            holder, submission, status, self._authenticator
        )
        edits = editing.Editing(holder, submission, self._pages)
        self._answers: dict[str, Answer] = {
            'public.health': self._answer_health,
            'public.ready': self._answer_ready,
            'public.sign_in': self._pages.sign_in,
            'api.read': self._read_configuration,
            'api.edit.write': self._write_configuration,
            'api.history': self._read_history,
            'api.status': self._read_status,
            'api.metrics': self._read_metrics,
            'page.overview': self._pages.show_overview,
            'page.history': self._pages.show_history,
            'page.items': self._pages.show_items,
            'page.edit.item': edits.edit_item,
            'page.edit.draft': edits.show_draft,
            'page.sign_out': self._pages.sign_out,
        }

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Answer one request."""
        request = wrappers.Request(environ)
        request.max_content_length = _MOST_FORM_BYTES
        if request.path.startswith('/api/'):
            request.max_content_length = api.MOST_BODY_BYTES
        try:
            response = self._answer(request)
        except exceptions.HTTPException as error:
            response = self._answer_error(request, error)
        for name, value in _HEADERS.items():
            response.headers.setdefault(name, value)
        return response(environ, start_response)

    def _answer(self, request: wrappers.Request) -> wrappers.Response:
        urls = URLS.bind_to_environ(request.environ)
        endpoint, arguments = urls.match()
        answer = self._answers[endpoint]
        kind, _, rest = endpoint.partition('.')
        if kind == 'public':
            return answer(request)
        edits = rest.startswith('edit.')
        if kind == 'api':
            return self._answer_api(request, answer, edits)
        session = self._authenticator.read_session(request)
        if session is None:
            return utils.redirect('/sign-in', 303)
        if edits and not authentication.may_edit(session.operator):
            raise exceptions.Forbidden('Your role lets you look, not change.')
        if request.method == 'POST':
            _check_origin(request)
            self._pages.check_token(request, session)
        return answer(request, session, **arguments)

    def _answer_api(
        self, request: wrappers.Request, answer: Answer, edits: bool
    ) -> wrappers.Response:
        operator = self._authenticator.check_basic(request)
        if operator is None:
            content = {
                'error': 'unauthorised',
                'message': "send an operator's name and password with the "
                'Basic scheme',
            }
            response = api.answer_json(content, 401)
            response.headers.update(_BASIC)
            return response
        if edits and not authentication.may_edit(operator):
            content = {
                'error': 'forbidden',
                'message': 'nothing was applied: only editors may submit',
            }
            return api.answer_json(content, 403)
        return answer(request, operator)

    def _answer_error(
        self, request: wrappers.Request, error: exceptions.HTTPException
    ) -> wrappers.Response:
        session = self._authenticator.read_session(request)
        if session is None or request.path.startswith('/api/'):
            content = {'error': error.name, 'message': error.description}
            return api.answer_json(content, error.code or 500)
        return self._pages.render(
            'error.html',
            session,
            status=error.code or 500,
            title=error.name,
            text=error.description,
        )

    def _answer_health(self, request: wrappers.Request) -> wrappers.Response:
        return api.answer_json({'alive': True, 'ready': self._holder.ready})

    def _answer_ready(self, request: wrappers.Request) -> wrappers.Response:
        if self.stopping:
            content = {
                'ready': False,
                'reason': 'this instance is stopping: send requests to '
                'another one',
            }
            return api.answer_json(content, 503)
        if self._holder.ready:
            return api.answer_json({'ready': True})
        content = {
            'ready': False,
            'reason': 'no configuration is in force here yet: the key-value '
            'service and the peers are asked for it. In a new fleet, submit '
            'the first one with `amaranthslip submit`',
        }
        return api.answer_json(content, 503)

    def _read_configuration(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return api.read_configuration(self._holder)

    def _write_configuration(
        self, request: wrappers.Request, operator: typing.Any
    ) -> wrappers.Response:
        return api.write_configuration(
            request, operator, self._holder, self._submission
        )

    def _read_history(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return api.read_history(self._submission)

    def _read_status(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return api.answer_json(self._status())

    def _read_metrics(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return wrappers.Response(
            self._metrics.render(),
            content_type='text/plain; version=0.0.4; charset=utf-8',
        )


def _check_origin(request: wrappers.Request) -> None:
    """Refuse a form that a page of another site sent.

    Browsers say where a form came from; the token is the second guard.
    """
    origin = request.headers.get('Origin')
    if origin is None:
        return
    if urllib.parse.urlsplit(origin).netloc != request.host:
        raise exceptions.Forbidden('The form came from another site.')
